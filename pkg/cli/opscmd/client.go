// Package opscmd holds the operators' commands that talk to a running entry.
package opscmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

// Exit codes of the operators' commands.
const (
	exitFailed      = 1 // the order or question failed
	exitUnreachable = 3 // the entry could not be reached
)

const requestTimeout = 10 * time.Second

func clientFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "address", Value: "http://127.0.0.1:8080", Usage: "URL of an entry", Sources: cli.EnvVars("YUCCASPINDLE_ADDRESS")},
		&cli.StringFlag{Name: "key", Usage: "bearer key of an operator", Sources: cli.EnvVars("YUCCASPINDLE_KEY")},
		&cli.StringFlag{Name: "caller", Value: "operator", Usage: "caller name, where the entry trusts the header on loopback"},
		formatFlag(),
	}
}

func formatFlag() cli.Flag {
	return &cli.StringFlag{Name: "format", Value: "text", Usage: "text or json", Validator: func(v string) error {
		if v != "text" && v != "json" {
			return fmt.Errorf("format %q is not known, expected text or json", v)
		}
		return nil
	}}
}

// do sends a request to the entry and returns the body of a successful answer.
func do(ctx context.Context, cmd *cli.Command, method, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := strings.TrimSuffix(cmd.String("address"), "/") + path
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, cli.Exit(errors.Wrap(err, "build request"), exitFailed)
	}
	if key := cmd.String("key"); key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Yucca-Caller", cmd.String("caller"))
	client := &http.Client{Transport: httpcheck.Transport(http.DefaultTransport)}
	resp, err := client.Do(req)
	if err != nil {
		return nil, cli.Exit(errors.Wrapf(err, "reach entry %s", cmd.String("address")), exitUnreachable)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, cli.Exit(errors.Wrapf(err, "read answer of %s", url), exitUnreachable)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, cli.Exit(errorOf(url, resp.Status, body), exitFailed)
	}
	return body, nil
}

// errorOf turns an error answer into a readable error.
func errorOf(url, status string, body []byte) error {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
			Step    string `json:"step"`
			Peer    string `json:"peer"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &e) != nil || e.Error.Code == "" {
		return errors.Errorf("%s: %s", url, status)
	}
	return errors.Errorf("%s: %s at step %s: %s", url, e.Error.Code, e.Error.Step, e.Error.Message)
}
