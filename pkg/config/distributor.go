package config

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// DistributorOptions configures a Distributor.
type DistributorOptions struct {
	Folder string // data folder; empty: nothing is kept
	// Applied is called with each version that comes into force, in order.
	Applied func(core.Config)
	Logger  *slog.Logger
}

// Distributor holds the configuration in force in this process. Its version
// only grows.
type Distributor struct {
	o DistributorOptions

	// applying orders the versions from the check to the call of Applied.
	applying sync.Mutex

	mu      sync.Mutex
	version uint64
	text    []byte
	cfg     core.Config
	changed chan struct{} // closed at each change
}

// Source offers a version, such as a peer or the store. It returns version 0 if
// it has none.
type Source func(ctx context.Context) (version uint64, text []byte, err error)

// NewDistributor returns a distributor with nothing in force.
func NewDistributor(o DistributorOptions) *Distributor {
	if o.Applied == nil {
		o.Applied = func(core.Config) {}
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	return &Distributor{o: o, changed: make(chan struct{})}
}

// Current returns the version in force and its text; version 0 before the first.
func (d *Distributor) Current() (version uint64, text []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version, d.text
}

// Config returns the configuration in force. ok is false before the first.
func (d *Distributor) Config() (cfg core.Config, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cfg, d.version > 0
}

// Changed returns a channel that is closed at the next change.
func (d *Distributor) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// Offer puts a version in force if it is higher than the one in force, and
// reports whether it did. A text that does not parse is refused as a whole.
func (d *Distributor) Offer(version uint64, text []byte) (bool, error) {
	d.applying.Lock()
	defer d.applying.Unlock()
	if cur, _ := d.Current(); version <= cur {
		return false, nil
	}
	cfg, err := Versioned{Version: version, Text: text}.Parse()
	if err != nil {
		return false, err
	}
	if err := d.save(version, text); err != nil {
		// The version takes effect all the same: a process that cannot write
		// its disk must not stay behind the others.
		d.o.Logger.Error("configuration not kept", "version", version, "error", err)
	}
	d.mu.Lock()
	d.version, d.text, d.cfg = version, append([]byte(nil), text...), cfg
	close(d.changed)
	d.changed = make(chan struct{})
	d.mu.Unlock()
	d.o.Applied(cfg)
	d.o.Logger.Info("configuration in force", "version", version, "bytes", len(text))
	return true, nil
}

// Start puts the highest version in force that the data folder and the sources
// offer. It asks all sources at once and waits for each until it answers or ctx
// is done. It returns an error if none of them, nor the data folder, offers a
// version: the process is not ready then.
func (d *Distributor) Start(ctx context.Context, sources ...Source) error {
	type offer struct {
		version uint64
		text    []byte
		err     error
	}
	offers := make(chan offer, len(sources))
	for _, s := range sources {
		go func() {
			var o offer
			o.version, o.text, o.err = s(ctx)
			offers <- o
		}()
	}
	errs := []error{d.load()}
	for range sources {
		select {
		case o := <-offers:
			if o.err == nil && o.version > 0 {
				_, o.err = d.Offer(o.version, o.text)
			}
			errs = append(errs, o.err)
		case <-ctx.Done():
			errs = append(errs, ctx.Err())
		}
	}
	for _, err := range errs {
		if err != nil {
			d.o.Logger.Warn("configuration source without an answer", "error", err)
		}
	}
	if v, _ := d.Current(); v == 0 {
		return errors.New("config: no peer, store or data folder offers a configuration")
	}
	return nil
}

// Source returns a source that offers the version in force in the store.
func (s *Store) Source() Source {
	return func(ctx context.Context) (uint64, []byte, error) {
		v, err := s.Current(ctx)
		return v.Version, v.Text, err
	}
}

// watchPause is the time between two watches when the store does not answer.
const watchPause = time.Second

// Follow watches the store and offers each version until ctx is done. pushed is
// called with each version that came into force this way.
func (d *Distributor) Follow(ctx context.Context, s *Store, pushed func(version uint64, text []byte)) error {
	var after uint64
	for {
		if cur, _ := d.Current(); cur > after {
			after = cur
		}
		v, err := s.Watch(ctx, after)
		if err == nil {
			// A version that does not parse is not asked for again.
			after = max(after, v.Version)
			var ok bool
			if ok, err = d.Offer(v.Version, v.Text); ok && pushed != nil {
				pushed(v.Version, v.Text)
			}
		}
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "config: follow the store")
		}
		if err != nil {
			d.o.Logger.Warn("configuration not followed", "error", err)
			select {
			case <-time.After(watchPause):
			case <-ctx.Done():
			}
		}
	}
}

const savedFile = "config.json"

func (d *Distributor) save(version uint64, text []byte) error {
	if d.o.Folder == "" {
		return nil
	}
	return Save(d.o.Folder, version, text)
}

// load offers the version in the data folder.
func (d *Distributor) load() error {
	if d.o.Folder == "" {
		return nil
	}
	version, text, err := Load(d.o.Folder)
	if err != nil || version == 0 {
		return err
	}
	_, err = d.Offer(version, text)
	return err
}

// Save keeps a version in a data folder. It replaces the previous version as a whole and
// returns after it is synced to disk.
func Save(folder string, version uint64, text []byte) error {
	data, err := json.Marshal(Versioned{Version: version, Text: text})
	if err != nil {
		return errors.Wrap(err, "config: keep")
	}
	return errors.Wrap(durable.WriteFile(filepath.Join(folder, savedFile), data), "config: keep")
}

// Load returns the version in a data folder, or version 0 if there is none.
func Load(folder string) (version uint64, text []byte, err error) {
	name := filepath.Join(folder, savedFile)
	data, err := os.ReadFile(name)
	if os.IsNotExist(err) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, "config: data folder")
	}
	v, err := decodeVersioned(objectapi.Object{Key: name, Value: data})
	return v.Version, v.Text, err
}
