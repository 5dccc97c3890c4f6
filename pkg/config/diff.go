package config

import (
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two configurations.
type Change struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"` // empty if a whole section came or went
	Old     string `json:"old,omitempty"`
	New     string `json:"new,omitempty"`
	Kind    string `json:"kind"` // ChangeAdded, ChangeRemoved or ChangeSet
}

// The kinds of changes.
const (
	ChangeAdded   = "added"
	ChangeRemoved = "removed"
	ChangeSet     = "changed"
)

// String returns the change as one line.
func (c Change) String() string {
	name := c.Section
	if c.Key != "" {
		name += "." + c.Key
	}
	switch c.Kind {
	case ChangeAdded:
		return strings.TrimRight(fmt.Sprintf("+ %s %s", name, c.New), " ")
	case ChangeRemoved:
		return strings.TrimRight(fmt.Sprintf("- %s %s", name, c.Old), " ")
	}
	return fmt.Sprintf("~ %s %s -> %s", name, c.Old, c.New)
}

// Diff returns the differences between two INI texts, in the order of their
// sections. Comments, order and spaces do not count. A text that cannot be read
// counts as empty; check it with ParseShared or ParseProcess first.
func Diff(a, b []byte) []Change {
	da, db := parse("a", a), parse("b", b)
	var names []string
	for _, d := range []*document{da, db} {
		for _, s := range d.sections {
			if !slices.Contains(names, s.name) {
				names = append(names, s.name)
			}
		}
	}
	slices.Sort(names)
	var out []Change
	for _, n := range names {
		sa, sb := da.find(n), db.find(n)
		if sa == nil {
			out = append(out, Change{Section: n, Kind: ChangeAdded})
			sa = &section{}
		}
		if sb == nil {
			out = append(out, Change{Section: n, Kind: ChangeRemoved})
			continue
		}
		out = append(out, diffKeys(n, sa, sb)...)
	}
	return out
}

func diffKeys(name string, a, b *section) []Change {
	var out []Change
	for _, e := range a.keys {
		switch n := b.find(e.key); {
		case n == nil:
			out = append(out, Change{Section: name, Key: e.key, Old: e.value, Kind: ChangeRemoved})
		case n.value != e.value:
			out = append(out, Change{Section: name, Key: e.key, Old: e.value, New: n.value, Kind: ChangeSet})
		}
	}
	for _, e := range b.keys {
		if a.find(e.key) == nil {
			out = append(out, Change{Section: name, Key: e.key, New: e.value, Kind: ChangeAdded})
		}
	}
	return out
}
