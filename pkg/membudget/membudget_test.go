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

// Guards against one owner that uses the memory of all others, such as an
// upstream that never stops sending.
func TestShareOfOneOwner(t *testing.T) {
	b := New(400)
	bad, good := b.Reservation("bad", CallerShare), b.Reservation("good", CallerShare)
	if err := bad.Grow(100); err != nil {
		t.Fatal(err)
	}
	if err := bad.Grow(1); !errors.Is(err, ErrShareExceeded) {
		t.Errorf("growing beyond the share: got %v, want ErrShareExceeded", err)
	}
	if err := good.Grow(100); err != nil {
		t.Errorf("growing the reservation of another owner: %v", err)
	}
	bad.Release()
	bad.Release()
	if err := b.Reservation("bad", CallerShare).Grow(100); err != nil {
		t.Errorf("growing after the release: %v", err)
	}
}

// Guards against reservations beyond the limit or the owner's share, and against
// bytes that Release does not return, in any order of reservations and releases.
func TestBudgetInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(64)
		reservations := map[string][]*Reservation{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			owner := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "owner")
			list := reservations[owner]
			if len(list) > 0 && rapid.Bool().Draw(t, "release") {
				list[len(list)-1].Release()
				reservations[owner] = list[:len(list)-1]
				continue
			}
			res := b.Reservation(owner, CallerShare)
			_ = res.Grow(rapid.IntRange(1, 20).Draw(t, "bytes")) // may be refused
			reservations[owner] = append(list, res)
			var sum, own int64
			for name, list := range reservations {
				for _, res := range list {
					sum += res.bytes
					if name == owner {
						own += res.bytes
					}
				}
			}
			if u := b.Usage(); u.Used != sum || sum > 64 || own > 16 {
				t.Fatalf("budget counts %d bytes, all reservations hold %d, those of one owner hold %d", u.Used, sum, own)
			}
		}
		for _, list := range reservations {
			for _, res := range list {
				res.Release()
			}
		}
		if u := b.Usage(); u.Used != 0 || len(b.byOwner) != 0 {
			t.Fatalf("budget is not empty after all releases: %+v", u)
		}
	})
}

// Guards against truncated data that is returned as complete, and against data
// that is read beyond its limit.
func TestReadAll(t *testing.T) {
	data := strings.Repeat("x", 300000)
	truncated := func() io.Reader {
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
		{"cut", truncated(), -1, 10, "", io.ErrUnexpectedEOF},
		{"byte by byte", iotest.OneByteReader(strings.NewReader("abcdef")), -1, 10, "abcdef", nil},
		{"above the share", strings.NewReader(data), -1, 1 << 20, "", ErrShareExceeded},
	} {
		b := New(4 << 20)
		if c.err == ErrShareExceeded {
			b = New(int64(len(data)))
		}
		res := b.Reservation("o", CallerShare)
		chunks, err := ReadAll(c.r, c.length, c.limit, res)
		if !errors.Is(err, c.err) || err == nil && !bytes.Equal(Join(chunks), []byte(c.want)) {
			t.Errorf("%s: got %d bytes, error %v", c.name, len(Join(chunks)), err)
		}
		res.Release()
		if u := b.Usage(); u.Used != 0 {
			t.Errorf("%s: %d bytes are still reserved after the release", c.name, u.Used)
		}
	}
}

// Guards against a reused buffer that overwrites the data of another request in
// progress.
func TestRecycledMemory(t *testing.T) {
	b := New(16 << 20)
	read := func(res *Reservation, c string) []byte {
		chunks, err := ReadAll(strings.NewReader(strings.Repeat(c, 300000)), -1, 1<<20, res)
		if err != nil {
			t.Fatal(err)
		}
		return Join(chunks)
	}
	first, second := b.Reservation("a", UpstreamShare).ReuseBuffers(), b.Reservation("b", UpstreamShare).ReuseBuffers()
	chunks, err := ReadAll(strings.NewReader(strings.Repeat("x", 300000)), -1, 1<<20, first)
	if err != nil {
		t.Fatal(err)
	}
	if got := read(second, "y"); strings.Trim(string(got), "y") != "" {
		t.Error("the second request read data that is not its own")
	}
	if strings.Trim(string(Join(chunks)), "x") != "" {
		t.Error("the data of the first request has changed")
	}
	first.Release()
	second.Release()
	kept := read(b.Reservation("c", CallerShare), "z") // its buffers are not reused
	other := b.Reservation("d", CallerShare).ReuseBuffers()
	read(other, "w")
	other.Release()
	if strings.Trim(string(kept), "z") != "" {
		t.Error("the data of a reservation without buffer reuse has changed")
	}
	if u := b.Usage(); u.Used == 0 {
		t.Error("budget is empty although a reservation is not released")
	}
}
