package routing

import "testing"

func table() *Table {
	return NewTable(Config{Version: 7, Routes: []Route{
		{Name: "short", Host: "a.example", PathPrefix: "/x/"},
		{Name: "long", Host: "a.example", PathPrefix: "/x/y/"},
		{Name: "other", Host: "b.example", PathPrefix: "/x/"},
	}})
}

// Guards against matching a request to the route of a shorter prefix or another host.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/1", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against traffic that does not follow the weights, or reaches a service with
// weight 0.
func TestPick(t *testing.T) {
	r := Route{Targets: []Target{{Service: "a", Weight: 90}, {Service: "off", Weight: 0}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	const draws = 1000
	for i := range draws {
		count[r.Pick(float64(i)/draws)]++
	}
	if count["a"] != 900 || count["b"] != 100 || len(count) != 2 {
		t.Errorf("shares are %v, want 900 and 100", count)
	}
	if got := (&Route{}).Pick(0.5); got != "" {
		t.Errorf("a route without services picks %q", got)
	}
}

// Guards against retrying requests that must run at most once.
func TestIdempotent(t *testing.T) {
	for _, c := range []struct {
		r    Route
		want bool
	}{
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Safe}, true},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
		{Route{}, false},
	} {
		if got := c.r.Idempotent(); got != c.want {
			t.Errorf("%v resumable=%v: idempotent is %v", c.r.Kind, c.r.Resumable, got)
		}
	}
}
