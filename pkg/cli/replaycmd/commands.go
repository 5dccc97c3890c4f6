// Package replaycmd holds the commands replay, trace, load and report.
package replaycmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes of the commands.
const (
	exitMissed = 1 // a stated outcome was missed, or the run failed
	exitUsage  = 2 // the arguments are wrong
)

// Commands returns the commands of this package.
func Commands() []*cli.Command {
	return []*cli.Command{replayCommand(), traceCommand(), loadCommand(), reportCommand()}
}

// usageError is returned for wrong arguments.
func usageError(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), exitUsage)
}

// failure ends a command with exit code 1.
func failure(err error) error {
	if err == nil {
		return nil
	}
	return cli.Exit(err.Error(), exitMissed)
}

// out returns the writer for results.
func out(c *cli.Command) io.Writer {
	if w := c.Root().Writer; w != nil {
		return w
	}
	return os.Stdout
}

func writeJSON(w io.Writer, v any) error {
	return errors.Wrap(json.NewEncoder(w).Encode(v), "write JSON")
}

// checkFormat accepts the names of output formats.
func checkFormat(got string, valid ...string) error {
	for _, v := range valid {
		if got == v {
			return nil
		}
	}
	return usageError("unknown format %q, want one of %s", got, strings.Join(valid, ", "))
}

// create opens an output file in an existing or new directory.
func create(path string) (*os.File, error) {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return nil, errors.Wrap(err, "create directory")
	}
	f, err := os.Create(path)
	return f, errors.Wrap(err, "create file")
}

// writeFile writes a file through a callback and reports the error of closing.
func writeFile(path string, write func(io.Writer) error) error {
	f, err := create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "close file")
}
