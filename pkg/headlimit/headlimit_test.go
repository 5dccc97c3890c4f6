package headlimit

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Guards against a limit that depends on how a head is split into reads, that counts the body,
// or that a head without an end passes.
func TestLimits(t *testing.T) {
	l := Limits{Bytes: 200, Lines: 10}
	const start = "GET / HTTP/1.1\r\n"
	for name, c := range map[string]struct {
		data string
		want error
	}{
		"ordinary":             {start + "Host: a\r\n\r\n", nil},
		"body is not counted":  {start + "Host: a\r\n\r\n" + strings.Repeat("a\n\n", 500), nil},
		"LF only":              {"GET / HTTP/1.1\nHost: a\n\n" + strings.Repeat("a", 500), nil},
		"at the limits":        {start + strings.Repeat("a: b\r\n", 9) + "c: " + strings.Repeat("x", 139) + "\r\n\r\n", nil},
		"endless value":        {start + "a: " + strings.Repeat("x", 200), ErrTooLarge},
		"endless request line": {strings.Repeat("x", 201), ErrTooLarge},
		"lines":                {start + strings.Repeat("a: b\r\n", 11), ErrTooManyLines},
		"empty lines, CR LF":   {strings.Repeat("\r\n", 9), ErrEmptyLines},
		"empty lines, LF":      {strings.Repeat("\n", 9), ErrEmptyLines},
		"empty line before":    {"\r\n\n" + start + "\r\n", nil},
		"no empty line":        {start + "a: b\r\n\r\r\n" + strings.Repeat("x", 200), ErrTooLarge},
	} {
		for _, step := range []int{1, 2, 7, len(c.data)} {
			var s Scanner
			var err error
			for p := []byte(c.data); len(p) > 0 && err == nil; p = p[min(step, len(p)):] {
				err = s.Scan(p[:min(step, len(p))], l)
			}
			if !errors.Is(err, c.want) || err == nil && c.want != nil {
				t.Errorf("%s in steps of %d: got %v, want %v", name, step, err, c.want)
			}
		}
	}
}

// Guards against an end of a head that net/http does not see there: what follows would not be
// counted.
func TestEndOfHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		line := rapid.SampledFrom([]string{"\r\n", "\n", "a: b\r\n", "a: b\n", "a:\n", "\r\r\n"})
		data := "GET / HTTP/1.1\r\n" + strings.Join(rapid.SliceOfN(line, 0, 8).Draw(t, "lines"), "")
		var s Scanner
		if err := s.Scan([]byte(data), Limits{Bytes: 1 << 10, Lines: 100}); err != nil {
			t.Fatal(err)
		}
		if _, err := http.ReadRequest(bufio.NewReader(strings.NewReader(data))); err == nil && !s.complete {
			t.Fatalf("net/http reads a whole head in %q", data)
		} else if s.complete && err != nil && strings.Contains(err.Error(), "EOF") {
			t.Fatalf("net/http waits for more of %q", data)
		}
	})
}

// BenchmarkScan measures an ordinary head of 20 lines.
func BenchmarkScan(b *testing.B) {
	data := []byte("POST /a/b HTTP/1.1\r\n" + strings.Repeat("Some-Header: some-value-of-it\r\n", 20) + "\r\n")
	for b.Loop() {
		var s Scanner
		if s.Scan(data, Limits{Bytes: 16 << 10, Lines: 512}) != nil || !s.Complete() {
			b.Fatal("not complete")
		}
	}
}
