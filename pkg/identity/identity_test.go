package identity

import "testing"

// Guards against requests that are taken for one another because their parts join to the
// same text.
func TestPartsAreKeptApart(t *testing.T) {
	a := NewContent([]byte("POST"), []byte("/a"), []byte("b"))
	for _, parts := range [][][]byte{
		{[]byte("POST"), []byte("/ab"), nil},
		{[]byte("POST"), []byte("/a"), []byte("c")},
		{[]byte("POST"), []byte("/ab")},
		{[]byte("POST/a"), []byte("b")},
	} {
		if NewContent(parts...) == a {
			t.Errorf("the same content as %q", parts)
		}
	}
	if a != NewContent([]byte("POST"), []byte("/a"), []byte("b")) {
		t.Error("the content depends on more than its parts")
	}
}

// Guards against taking the callers behind one address for a single one, whose success
// clears all of them.
func TestSharedCallersAreNotSingle(t *testing.T) {
	for _, address := range []string{"", "10.0.0.1", "10.0.0.2", "10.0.0.3"} {
		if c := SharedCaller(address); c.Single() || c == 0 {
			t.Errorf("%q: %v", address, c)
		}
	}
	if !SingleCaller([]byte("program"), []byte("p1")).Single() {
		t.Error("a caller with a name of its own is not single")
	}
}

// Guards against requests of different callers that share a fingerprint, and against an
// unknown request that has one.
func TestFingerprint(t *testing.T) {
	c := NewContent([]byte("x"))
	a, b := Request{c, SingleCaller([]byte("a"))}, Request{c, SingleCaller([]byte("b"))}
	if a.Fingerprint() == b.Fingerprint() {
		t.Error("two callers have the same fingerprint")
	}
	if (Request{Caller: 3}).Fingerprint() != 0 {
		t.Error("a request with unknown content has a fingerprint")
	}
}

// Guards against fingerprints that an operator can't copy from a log to a command.
func TestContentText(t *testing.T) {
	c := NewContent([]byte("x"))
	if got, err := ParseContent(c.String()); err != nil || got != c {
		t.Errorf("%v: %v, %v", c, got, err)
	}
	if _, err := ParseContent("no number"); err == nil {
		t.Error("no error for a text that is no number")
	}
}

// Guards against a request that two releases, or two edges, identify differently because its body
// is given in pieces.
func TestContentOfPieces(t *testing.T) {
	want := NewContent([]byte("host"), []byte("path"), []byte("earlier turns and input"))
	for _, pieces := range [][][]byte{
		{[]byte("earlier turns and input")},
		{[]byte("earlier turns"), nil, []byte(" and input")},
	} {
		if got := NewContentOf(pieces, []byte("host"), []byte("path")); got != want {
			t.Errorf("%q: %v, want %v", pieces, got, want)
		}
	}
}
