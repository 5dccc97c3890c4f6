// Package deploy embeds the worked deployments, so that the quickstart needs no
// files.
package deploy

import (
	"embed"
	"fmt"
)

//go:embed lango/shared.ini brackenfield/shared.ini
var files embed.FS

// Shared returns the shared configuration of a worked deployment.
func Shared(name string) ([]byte, error) {
	text, err := files.ReadFile(name + "/shared.ini")
	if err != nil {
		return nil, fmt.Errorf("deployment %q is not known, expected lango or brackenfield", name)
	}
	return text, nil
}
