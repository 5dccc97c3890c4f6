package replaycmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// runCommand runs a command line and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var buf bytes.Buffer
	c := &cli.Command{
		Name: "yuccaspindle", Commands: Commands(), Writer: &buf, ErrWriter: &buf,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	err := c.Run(context.Background(), append([]string{"yuccaspindle"}, args...))
	var exit cli.ExitCoder
	switch {
	case err == nil:
		return buf.String(), 0
	case errors.As(err, &exit):
		return buf.String() + err.Error(), exit.ExitCode()
	}
	return buf.String() + err.Error(), 1
}

// Guards against exit codes that scripts cannot rely on: a missed outcome, a
// damaged trace and wrong arguments must be told apart from success.
func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	if text, code := runCommand(t, "trace", "generate", "--deployment", "lango", "--scenario", "crash-request", "--dir", dir); code != 0 {
		t.Fatalf("generate: exit code %d: %s", code, text)
	}
	path := filepath.Join(dir, "lango-crash-request.jsonl")
	outcomes := filepath.Join(dir, "lango-crash-request.outcomes.json")
	write := func(path, text string) {
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	bound := func(limit string) string {
		return `{"trace":"lango-crash-request","bounds":[{"metric":"completed","policy":"any","min":` + limit + `,"goal":"planted"}]}`
	}
	broken := filepath.Join(dir, "broken.jsonl")
	write(broken, "{\"kind\":\"program\"}\n")
	events := filepath.Join(dir, "events.jsonl")
	write(outcomes, bound("1"))
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{"trace validate " + path, 0, "1 stated outcomes"},
		{"replay --policy round-robin --outcomes --events " + events + " " + path, 0, "were met"},
		{"report burn --objective 0.5 " + events, 0, "Burn report"},
		{"report burn --objective 0.5 --format html --output " + filepath.Join(dir, "b.html") + " " + events, 0, ""},
		{"report burn --objective 2 " + events, 2, "objectives"},
		{"report burn " + path, 1, "line 1"},
		{"trace validate " + broken, 1, "line 1"},
		{"replay " + broken, 1, "line 1"},
		{"replay --policy nosuch " + path, 2, "unknown policy"},
		{"replay --without nosuch " + path, 2, "unknown part"},
		{"replay", 2, "no trace"},
		{"load --speed 0 " + path, 2, "must be positive"},
	} {
		text, code := runCommand(t, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(text, c.want) {
			t.Errorf("%s: exit code %d, want %d with %q: %s", c.args, code, c.code, c.want, text)
		}
	}
	write(outcomes, bound("100000"))
	if text, code := runCommand(t, "replay", "--policy", "round-robin", "--outcomes", path); code != 1 {
		t.Errorf("planted miss: exit code %d, want 1: %s", code, text)
	}
}
