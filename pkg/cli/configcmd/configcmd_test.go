package configcmd

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"

	standin "github.com/yuccaspindle/yuccaspindle/pkg/standin/objectapi"
)

const lango = "../../../deploy/lango/shared.ini"

// run executes one command line and returns its output and exit code.
func run(t *testing.T, line ...string) (string, int) {
	t.Helper()
	var buf bytes.Buffer
	root := &cli.Command{Name: "yuccaspindle", Commands: Commands(), Writer: &buf, ErrWriter: &buf,
		ExitErrHandler: func(_ context.Context, _ *cli.Command, err error) {}}
	err := root.Run(t.Context(), append([]string{"yuccaspindle"}, line...))
	var code cli.ExitCoder
	switch {
	case err == nil:
		return buf.String(), ExitOK
	case errors.As(err, &code):
		return buf.String() + err.Error(), code.ExitCode()
	}
	return buf.String() + err.Error(), ExitFailed
}

// Guards against exit codes that differ from the documented ones and against
// output that leaves out what an operator needs.
func TestCommands(t *testing.T) {
	s := standin.New(standin.Options{})
	if err := s.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	store := "--store=" + s.Addr()
	data, err := os.ReadFile(lango)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := func(name, old, new string) string {
		text := strings.Replace(string(data), old, new, 1)
		if text == string(data) {
			t.Fatalf("%q does not occur in %s", old, lango)
		}
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	broken := file("broken.ini", "class = interactive", "class = fast")
	changed := file("changed.ini", "latency_weight = 3", "latency_weight = 4")
	for _, c := range []struct {
		line string
		code int
		want string
	}{
		{"config check " + lango, ExitOK, "is valid"},
		{"config check " + broken, ExitInvalid, "expected one of interactive"},
		{"config check --format json " + broken, ExitInvalid, `"key": "profile diagnose.class"`},
		{"config check --format yaml " + lango, ExitFailed, "want text or json"},
		{"config check --process ../../../deploy/lango/entry.ini", ExitOK, "is valid"},
		{"config check " + lango + " --format json", ExitOK, `"valid": true`},
		{"config check " + lango + " " + lango, ExitFailed, "got 2 arguments"},
		{"config diff " + lango + " " + lango, ExitOK, ""},
		{"config diff " + lango + " " + changed, ExitDiffers, "~ profile diagnose.latency_weight 3 -> 4"},
		{"config apply --base 0 --why x " + lango, ExitFailed, "--store"},
		{"config apply " + store + " --base 0 --who asha --why first " + lango, ExitOK, "version 1 by asha"},
		{"config apply " + store + " --base 0 --who neema --why other " + changed, ExitConflict, "by asha"},
		{"config apply " + store + " --base 1 --who neema --why other " + broken, ExitInvalid, "expected"},
		{"config apply " + store + " --base 1 --who neema --why other " + changed, ExitOK, "version 2 by neema"},
		{"config diff " + store + " " + lango, ExitDiffers, "4 -> 3"},
		{"config rollback " + store + " --who asha 1", ExitOK, "version 3 by asha"},
		{"config history " + store + " --format json", ExitOK, `"why": "roll back from version 2 to 1"`},
		{"profile list " + store, ExitOK, "diagnose class=interactive"},
		{"profile show diagnose " + changed, ExitOK, "latency_weight = 4"},
		{"profile show " + store + " nobody", ExitFailed, "does not exist"},
		{"config history --store 127.0.0.1:1", ExitUnavailable, "unavailable"},
	} {
		out, code := run(t, strings.Fields(c.line)...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%s: exit code %d, want %d with %q in:\n%s", c.line, code, c.code, c.want, out)
		}
	}
}
