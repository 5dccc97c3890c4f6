package membudget

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

// Guards against one upstream that sends without end and takes the memory of
// all others.
func TestShareOfOneOwner(t *testing.T) {
	b := New(400)
	bad, good := b.Reservation("bad", CallerShare), b.Reservation("good", CallerShare)
	if err := bad.Grow(100); err != nil {
		t.Fatal(err)
	}
	if err := bad.Grow(1); !errors.Is(err, ErrShareExceeded) {
		t.Errorf("more than the share: %v", err)
	}
	if err := good.Grow(100); err != nil {
		t.Errorf("another owner: %v", err)
	}
	bad.Release()
	bad.Release()
	if err := b.Reservation("bad", CallerShare).Grow(100); err != nil {
		t.Errorf("after the release: %v", err)
	}
}

// Guards against a sum above the limit, and against memory that is never given
// back, whatever the order of reservations and releases.
func TestBudgetInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(64)
		holds := map[string][]*Reservation{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			owner := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "owner")
			list := holds[owner]
			if len(list) > 0 && rapid.Bool().Draw(t, "release") {
				list[len(list)-1].Release()
				holds[owner] = list[:len(list)-1]
				continue
			}
			h := b.Reservation(owner, CallerShare)
			_ = h.Grow(rapid.IntRange(1, 20).Draw(t, "bytes")) // may be refused
			holds[owner] = append(list, h)
			var sum, own int64
			for name, list := range holds {
				for _, h := range list {
					sum += h.bytes
					if name == owner {
						own += h.bytes
					}
				}
			}
			if u := b.Usage(); u.Used != sum || sum > 64 || own > 16 {
				t.Fatalf("used %d, sum %d, of one owner %d", u.Used, sum, own)
			}
		}
		for _, list := range holds {
			for _, h := range list {
				h.Release()
			}
		}
		if u := b.Usage(); u.Used != 0 || len(b.byOwner) != 0 {
			t.Fatalf("after all releases: %+v", u)
		}
	})
}

// Guards against cut data that passes for whole data, and against data that is
// read past its limit.
func TestReadAll(t *testing.T) {
	data := strings.Repeat("x", 300000)
	cut := func() io.Reader {
		return io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(io.ErrUnexpectedEOF))
	}
	for _, c := range []struct {
		name          string
		r             io.Reader
		length, limit int64
		want          string
		err           error
	}{
		{"known", strings.NewReader(data), int64(len(data)), 1 << 20, data, nil},
		{"unknown", strings.NewReader(data), -1, 1 << 20, data, nil},
		{"empty", strings.NewReader(""), -1, 1, "", nil},
		{"announced empty", strings.NewReader(""), 0, 1, "", nil},
		{"above the limit", strings.NewReader(data), -1, 1 << 10, "", ErrTooLarge},
		{"announced above the limit", strings.NewReader(data), 2000, 1000, "", ErrTooLarge},
		{"longer than announced", strings.NewReader("abcd"), 3, 10, "", ErrTooLarge},
		{"shorter than announced", strings.NewReader("ab"), 3, 10, "", io.ErrUnexpectedEOF},
		{"cut", cut(), -1, 10, "", io.ErrUnexpectedEOF},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("abcdef")), -1, 10, "abcdef", nil},
		{"above the share", strings.NewReader(data), -1, 1 << 20, "", ErrShareExceeded},
	} {
		b := New(4 << 20)
		if c.err == ErrShareExceeded {
			b = New(int64(len(data)))
		}
		h := b.Reservation("o", CallerShare)
		pieces, err := ReadAll(c.r, c.length, c.limit, h)
		if !errors.Is(err, c.err) || err == nil && !bytes.Equal(Join(pieces), []byte(c.want)) {
			t.Errorf("%s: %d bytes, %v", c.name, len(Join(pieces)), err)
		}
		h.Release()
		if u := b.Usage(); u.Used != 0 {
			t.Errorf("%s: %d bytes are still held", c.name, u.Used)
		}
	}
}

// Guards against data of one request that shows up in another one's memory while
// both are under way.
func TestRecycledMemory(t *testing.T) {
	b := New(16 << 20)
	read := func(h *Reservation, c string) []byte {
		pieces, err := ReadAll(strings.NewReader(strings.Repeat(c, 300000)), -1, 1<<20, h)
		if err != nil {
			t.Fatal(err)
		}
		return Join(pieces)
	}
	first, second := b.Reservation("a", UpstreamShare).ReuseBuffers(), b.Reservation("b", UpstreamShare).ReuseBuffers()
	pieces, err := ReadAll(strings.NewReader(strings.Repeat("x", 300000)), -1, 1<<20, first)
	if err != nil {
		t.Fatal(err)
	}
	if got := read(second, "y"); strings.Trim(string(got), "y") != "" {
		t.Error("the second request got other data")
	}
	if strings.Trim(string(Join(pieces)), "x") != "" {
		t.Error("the first request's data has changed")
	}
	first.Release()
	second.Release()
	kept := read(b.Reservation("c", CallerShare), "z") // not recycled
	other := b.Reservation("d", CallerShare).ReuseBuffers()
	read(other, "w")
	other.Release()
	if strings.Trim(string(kept), "z") != "" {
		t.Error("data that is kept has changed")
	}
	if u := b.Usage(); u.Used == 0 {
		t.Error("nothing is accounted for")
	}
}
