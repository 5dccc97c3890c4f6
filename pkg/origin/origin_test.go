package origin

import "testing"

// Guards against a stream that moves to another version after its caller got events, in
// this request or an earlier one.
func TestBegunStreamKeepsOrigin(t *testing.T) {
	v1, v2 := Origin{Service: "s", Version: "v1"}, Origin{Service: "s", Version: "v2"}
	var b Binding
	if b.Bound() {
		t.Error("bound before an origin is chosen")
	}
	if !b.Bind(v1) || !b.Bind(v2) || b.Origin() != v2 || b.Revision() != 2 {
		t.Errorf("a stream that has not begun does not move: %+v", b)
	}
	b.Begin()
	if b.Bind(v1) || b.Origin() != v2 {
		t.Errorf("a stream that has begun moves: %+v", b)
	}
	var continued Binding
	continued.Continue(v1)
	if continued.Bind(v2) || !continued.Bound() || !continued.Begun() {
		t.Errorf("a continued stream moves: %+v", continued)
	}
}

// Guards against an origin from a weaker source although a record says otherwise, and
// against taking an unknown origin for a known one.
func TestResolve(t *testing.T) {
	v1, v2 := &Origin{Version: "v1"}, &Origin{Version: "v2"}
	for _, c := range []struct {
		k    Knowledge
		want Source
	}{
		{Knowledge{}, Unknown},
		{Knowledge{Recorded: v1, Local: v2, Unversioned: v2}, Recorded},
		{Knowledge{Local: v1, Unversioned: v2}, Local},
		{Knowledge{Unversioned: v1}, Unversioned},
	} {
		o, source := c.k.Resolve()
		if source != c.want || source != Unknown && o != *v1 {
			t.Errorf("%+v: %v from %v", c.k, o, source)
		}
	}
}
