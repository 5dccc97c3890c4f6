package config

import (
	"context"

	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

type Versioned struct {
	Version uint64
	Text    []byte
}
type Store struct{ c objectapi.Client }

func NewStore(c objectapi.Client) *Store { return &Store{c} }
func (s *Store) Apply(ctx context.Context, base uint64, text []byte, who, why string) (Versioned, error) {
	o, err := s.c.Create(ctx, "config", text)
	return Versioned{o.Version, text}, err
}
func (s *Store) Watch(ctx context.Context, after uint64) (Versioned, error) {
	o, err := s.c.Watch(ctx, "config", after)
	return Versioned{o.Version, o.Value}, err
}
