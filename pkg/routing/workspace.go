package routing

import (
	"crypto/sha256"
	"fmt"

	"github.com/pkg/errors"
)

// KeyDigest is the digest of a key. The table holds digests, so that a lookup takes the same
// time for each unknown key and no key is kept in a form that can be logged.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	Keys []KeyDigest
	// Priority replaces the priority of a route if HasPriority is set.
	Priority    int
	HasPriority bool
	// RatePerSecond and Burst are the quota in requests of all edges together. A workspace
	// without a rate has no quota.
	RatePerSecond, Burst float64
}

// HasQuota reports whether the requests of the workspace are limited.
func (w *Workspace) HasQuota() bool { return w != nil && w.RatePerSecond > 0 }

// ValidateWorkspaces returns an error that names the first invalid field.
func ValidateWorkspaces(list []Workspace) error {
	names := make(map[string]bool, len(list))
	owners := make(map[KeyDigest]string)
	for i, w := range list {
		field := fmt.Sprintf("workspace %d", i)
		if w.Name == "" {
			return errors.Errorf("%s has no name", field)
		}
		if names[w.Name] {
			return errors.Errorf("%s repeats the name %q", field, w.Name)
		}
		names[w.Name] = true
		if !(w.RatePerSecond >= 0) {
			return errors.Errorf("workspace %q has a rate of %g", w.Name, w.RatePerSecond)
		}
		if !(w.Burst >= 0) {
			return errors.Errorf("workspace %q has a burst of %g", w.Name, w.Burst)
		}
		for n, key := range w.Keys {
			if key == DigestKey("") {
				return errors.Errorf("key %d of workspace %q is empty", n, w.Name)
			}
			if owner, ok := owners[key]; ok && owner != w.Name {
				return errors.Errorf("key %d of workspace %q also belongs to workspace %q", n, w.Name, owner)
			}
			owners[key] = w.Name
		}
	}
	return nil
}

// HasWorkspaces reports whether requests of routes that are not public need a key.
func (t *Table) HasWorkspaces() bool { return len(t.cfg.Workspaces) > 0 }

// Workspaces returns the workspaces in the order of the configuration. The caller must not
// modify the slice.
func (t *Table) Workspaces() []Workspace { return t.cfg.Workspaces }

// Workspace returns the workspace that a key belongs to.
func (t *Table) Workspace(key string) (*Workspace, bool) {
	w, ok := t.byKey[DigestKey(key)]
	return w, ok
}

// WorkspaceByName returns the workspace with a name, or nil.
func (t *Table) WorkspaceByName(name string) *Workspace { return t.byName[name] }

// indexWorkspaces fills the indexes of the workspaces.
func (t *Table) indexWorkspaces() {
	t.byKey = make(map[KeyDigest]*Workspace)
	t.byName = make(map[string]*Workspace, len(t.cfg.Workspaces))
	for i := range t.cfg.Workspaces {
		w := &t.cfg.Workspaces[i]
		t.byName[w.Name] = w
		for _, key := range w.Keys {
			t.byKey[key] = w
		}
	}
}
