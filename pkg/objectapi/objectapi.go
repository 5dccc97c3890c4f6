// Package objectapi is the client of the platform's object store. The store
// keeps versioned values under keys and offers conditional updates and watches.
// docs/objectapi.md describes the protocol.
package objectapi

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Object is a stored value. Versions grow with each write of any key, so that a
// key that is deleted and created again never repeats a version.
type Object struct {
	Key     string
	Version uint64
	Value   []byte
}

// Instance is one line of the platform's instance list, which lags behind the
// processes it describes.
type Instance struct {
	ID            string `json:"id"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"` // StateLive or StateLeaving
	Incarnation   string `json:"incarnation"`
}

// The states of an instance.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Client gives access to the store. Methods are safe for concurrent use.
type Client interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// Create writes a new object. It fails with ErrExists if there is one.
	Create(ctx context.Context, key string, value []byte) (Object, error)
	// Update replaces an object of the given version, or fails with ErrConflict.
	Update(ctx context.Context, key string, version uint64, value []byte) (Object, error)
	// Delete removes an object. Deleting a missing object succeeds.
	Delete(ctx context.Context, key string) error
	// List returns all objects with the prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch returns the object once its version is higher than after.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
	// Instances returns the lagging instance list.
	Instances(ctx context.Context) ([]Instance, error)
}

// The outcomes of a call. Every error of a Client wraps one of them or the
// error of the context.
var (
	ErrNotFound    = errors.New("object does not exist")
	ErrExists      = errors.New("object already exists")
	ErrConflict    = errors.New("object has another version")
	ErrUnavailable = errors.New("store unavailable")
	ErrRateLimited = errors.New("store rate limit reached")
	ErrInvalid     = errors.New("invalid request")
)

// Error describes a failed call.
type Error struct {
	Step    string // get, create, update, delete, list, watch or instances
	Key     string
	Peer    string // address of the store
	Unknown bool   // the write may have taken effect
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	s := "objectapi: " + e.Step
	if e.Key != "" {
		s += " " + e.Key
	}
	if e.Peer != "" {
		s += " at " + e.Peer
	}
	s += ": " + e.Err.Error()
	if e.Unknown {
		s += " (outcome unknown)"
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsUnknown reports whether a failed write may have taken effect.
func IsUnknown(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.Unknown
}

// Limits of the store.
const (
	MaxValueBytes = 1_000_000
	MaxKeyBytes   = 512
)

// CheckKey reports whether a key can be used: segments of letters, digits and
// -._~@+ divided by slashes.
func CheckKey(key string) error {
	if key == "" || len(key) > MaxKeyBytes {
		return fmt.Errorf("%w: key of %d bytes, want 1 to %d", ErrInvalid, len(key), MaxKeyBytes)
	}
	for seg := range strings.SplitSeq(key, "/") {
		if seg == "" || seg == "." || seg == ".." {
			return fmt.Errorf("%w: key %q has an empty or relative segment", ErrInvalid, key)
		}
		for i := range len(seg) {
			if !keyByte(seg[i]) {
				return fmt.Errorf("%w: key %q has the byte %q", ErrInvalid, key, seg[i])
			}
		}
	}
	return nil
}

func keyByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
		strings.IndexByte("-._~@+", c) >= 0
}
