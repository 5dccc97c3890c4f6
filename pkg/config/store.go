package config

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// Keys of the shared configuration in the store.
const (
	ObjectKey     = "config"
	historyPrefix = "config-history/"
)

func historyKey(version uint64) string { return fmt.Sprintf("%s%012d", historyPrefix, version) }

// Versioned is one version of the shared configuration. Versions count from 1
// without gaps.
type Versioned struct {
	Version uint64    `json:"version"`
	Who     string    `json:"who"`
	Why     string    `json:"why"`
	At      time.Time `json:"at"`
	Text    Text      `json:"text"`
}

// Text is an INI text. In JSON it is a string.
type Text []byte

// MarshalText implements encoding.TextMarshaler.
func (t Text) MarshalText() ([]byte, error) { return t, nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (t *Text) UnmarshalText(data []byte) error {
	*t = append(Text(nil), data...)
	return nil
}

// Parse returns the configuration with its version.
func (v Versioned) Parse() (core.Config, error) {
	cfg, err := ParseShared(fmt.Sprintf("version %d", v.Version), v.Text)
	cfg.Version = v.Version
	return cfg, err
}

// ConflictError tells that another change came first.
type ConflictError struct {
	Base  uint64    // version on which the refused change is based
	Other Versioned // version in force
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("config: the change is based on version %d, but version %d is in force: by %s at %s, because: %s",
		e.Base, e.Other.Version, e.Other.Who, e.Other.At.Format(time.RFC3339), e.Other.Why)
}

// SlotCountError refuses a change of slot_count: programs belong to slots by
// their hash, so a program in progress would get another slot, and with it
// another owner.
type SlotCountError struct {
	InForce, Wanted int
}

// Error implements error.
func (e *SlotCountError) Error() string {
	return fmt.Sprintf("config: slot_count is %d and can not become %d while a configuration is in force; stop all entries, delete %s and apply anew",
		e.InForce, e.Wanted, ObjectKey)
}

// Store keeps the versions of the shared configuration in the object store.
type Store struct {
	// Now returns the time recorded with a change.
	Now func() time.Time

	c  objectapi.Client
	mu sync.Mutex
	// The newest version seen and the version of the object that held it,
	// from which Watch goes on.
	seen, object uint64
}

// NewStore returns a store.
func NewStore(c objectapi.Client) *Store { return &Store{c: c, Now: time.Now} }

func decodeVersioned(o objectapi.Object) (Versioned, error) {
	var v Versioned
	dec := json.NewDecoder(bytes.NewReader(o.Value))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&v); err != nil {
		return Versioned{}, errors.Wrapf(err, "config: object %s", o.Key)
	}
	if v.Version == 0 {
		return Versioned{}, errors.Errorf("config: object %s has no version", o.Key)
	}
	return v, nil
}

// Current returns the version in force. Before the first one it returns the
// zero value.
func (s *Store) Current(ctx context.Context) (Versioned, error) {
	v, _, err := s.current(ctx)
	return v, err
}

func (s *Store) current(ctx context.Context) (Versioned, uint64, error) {
	o, err := s.c.Get(ctx, ObjectKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return Versioned{}, 0, nil
	}
	if err != nil {
		return Versioned{}, 0, errors.Wrap(err, "config: read")
	}
	v, err := decodeVersioned(o)
	return v, o.Version, err
}

// Watch waits until a version above after is in force.
func (s *Store) Watch(ctx context.Context, after uint64) (Versioned, error) {
	for {
		s.mu.Lock()
		from := s.object
		if s.seen > after {
			from = 0 // the caller does not have what was seen last
		}
		s.mu.Unlock()
		o, err := s.c.Watch(ctx, ObjectKey, from)
		if err != nil {
			return Versioned{}, errors.Wrap(err, "config: watch")
		}
		v, err := decodeVersioned(o)
		if err != nil {
			return Versioned{}, err
		}
		s.mu.Lock()
		if o.Version > s.object {
			s.seen, s.object = v.Version, o.Version
		}
		s.mu.Unlock()
		if v.Version > after {
			return v, nil
		}
	}
}

// Apply checks a text in full and puts it in force if base is still the version
// in force. Otherwise it returns a ConflictError. Applying the same change by
// the same operator again returns the version that the first one made.
func (s *Store) Apply(ctx context.Context, base uint64, text []byte, who, why string) (Versioned, error) {
	if who == "" || why == "" {
		return Versioned{}, errors.New("config: apply: who and why must be given")
	}
	cfg, err := ParseShared("config", text)
	if err != nil {
		return Versioned{}, err
	}
	cur, object, err := s.current(ctx)
	if err != nil {
		return Versioned{}, err
	}
	if cur.Version != base {
		return conflict(base, cur, text, who, why)
	}
	if err := sameSlots(cur, cfg); err != nil {
		return Versioned{}, err
	}
	if cur.Version > 0 {
		// The writer of the version in force may have died before it wrote
		// the history.
		if err := s.keep(ctx, cur); err != nil {
			return Versioned{}, err
		}
	}
	next := Versioned{Version: base + 1, Who: who, Why: why, At: s.Now().UTC(), Text: text}
	if cur.Version == 0 {
		// A history without a version in force shows that the object was
		// deleted. The next version must still be above all of them.
		old, err := s.History(ctx)
		if err != nil {
			return Versioned{}, err
		}
		if len(old) > 0 {
			next.Version = old[len(old)-1].Version + 1
		}
	}
	data, err := json.Marshal(next)
	if err != nil {
		return Versioned{}, errors.Wrap(err, "config: encode")
	}
	if object == 0 {
		_, err = s.c.Create(ctx, ObjectKey, data)
	} else {
		_, err = s.c.Update(ctx, ObjectKey, object, data)
	}
	if errors.Is(err, objectapi.ErrConflict) || errors.Is(err, objectapi.ErrExists) {
		cur, rerr := s.Current(ctx)
		if rerr != nil {
			return Versioned{}, rerr
		}
		if objectapi.IsUnknown(err) && cur.Version > next.Version {
			// The change may have taken effect and been replaced before the
			// lost answer was resolved. The one that replaced it wrote its
			// history entry.
			was, rerr := s.Get(ctx, next.Version)
			if rerr != nil {
				return Versioned{}, rerr
			}
			if was.Who == who && was.At.Equal(next.At) && string(was.Text) == string(text) {
				return was, nil
			}
		}
		return conflict(base, cur, text, who, why)
	}
	if err != nil {
		return Versioned{}, errors.Wrap(err, "config: apply")
	}
	// The version is in force. Without its history entry it is still found,
	// because the next change writes the entry.
	_ = s.keep(ctx, next)
	return next, nil
}

// sameSlots compares a new configuration with the version in force. A version
// in force that can not be read must not keep an operator from repairing it.
func sameSlots(cur Versioned, next core.Config) error {
	if cur.Version == 0 {
		return nil
	}
	old, err := ParseShared("config", cur.Text)
	if err == nil && old.SlotCount != next.SlotCount {
		return &SlotCountError{InForce: old.SlotCount, Wanted: next.SlotCount}
	}
	return nil
}

// conflict answers a change whose base is not in force, unless the change
// itself made the version that is.
func conflict(base uint64, cur Versioned, text []byte, who, why string) (Versioned, error) {
	if cur.Version == base+1 && cur.Who == who && cur.Why == why && string(cur.Text) == string(text) {
		return cur, nil
	}
	return Versioned{}, &ConflictError{Base: base, Other: cur}
}

// keep writes the history entry of a version if it does not exist.
func (s *Store) keep(ctx context.Context, v Versioned) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "config: encode")
	}
	if _, err = s.c.Create(ctx, historyKey(v.Version), data); errors.Is(err, objectapi.ErrExists) {
		return nil
	}
	return errors.Wrapf(err, "config: history of version %d", v.Version)
}

// History returns all versions, the oldest first.
func (s *Store) History(ctx context.Context) ([]Versioned, error) {
	objs, err := s.c.List(ctx, historyPrefix)
	if err != nil {
		return nil, errors.Wrap(err, "config: history")
	}
	var out []Versioned
	for _, o := range objs {
		v, err := decodeVersioned(o)
		if err != nil {
			return nil, err
		}
		out = append(out, v)
	}
	cur, err := s.Current(ctx)
	if err != nil {
		return nil, err
	}
	if cur.Version > 0 && (len(out) == 0 || out[len(out)-1].Version < cur.Version) {
		out = append(out, cur)
	}
	return out, nil
}

// Get returns one version.
func (s *Store) Get(ctx context.Context, version uint64) (Versioned, error) {
	cur, err := s.Current(ctx)
	if err != nil || cur.Version == version && version > 0 {
		return cur, err
	}
	o, err := s.c.Get(ctx, historyKey(version))
	if err != nil {
		return Versioned{}, errors.Wrapf(err, "config: version %d", version)
	}
	return decodeVersioned(o)
}

// Rollback puts the text of an earlier version in force, as a new version.
func (s *Store) Rollback(ctx context.Context, to uint64, who string) (Versioned, error) {
	old, err := s.Get(ctx, to)
	if err != nil {
		return Versioned{}, err
	}
	cur, err := s.Current(ctx)
	if err != nil {
		return Versioned{}, err
	}
	return s.Apply(ctx, cur.Version, old.Text, who, fmt.Sprintf("roll back from version %d to %d", cur.Version, to))
}
