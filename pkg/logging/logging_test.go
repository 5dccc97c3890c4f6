package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

// Guards against a stack trace in the log, which breaks the rule of one line of
// key=value pairs per event.
func TestErrorIsOneLine(t *testing.T) {
	var out bytes.Buffer
	New(&out, slog.LevelInfo).Info("connection ended", "error", errors.Wrap(errors.New("reset"), "read"))
	if strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), `error="read: reset"`) {
		t.Errorf("log line is %q", out.String())
	}
}
