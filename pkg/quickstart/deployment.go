// Package quickstart runs a small deployment in one process on loopback: the
// stand-ins of the platform and of the upstreams, sidecars and entries. It
// serves the quickstart command and the end-to-end tests.
package quickstart

import (
	"context"
	"fmt"
	"log/slog"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/entry"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	standinstore "github.com/yuccaspindle/yuccaspindle/pkg/standin/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
)

// Place says where an instance stands.
type Place struct {
	Region        string
	FailureDomain string
}

// EntrySpec describes an entry instance.
type EntrySpec struct {
	Name string
	Place
	HTTPListen string // default: a free loopback port
	DataFolder string
	Seeds      []string // peers to dial while the instance list cannot be read
	Record     int      // programs to record as a trace in the data folder
}

// EngineSpec describes a model engine with its sidecar.
type EngineSpec struct {
	Name string
	Place
	Model model.Options
}

// ServiceSpec describes a plain service with its sidecar.
type ServiceSpec struct {
	Name     string // of the instance
	Service  string
	Outcomes bool // the service answers by key
	Place
}

// Options describe a deployment.
type Options struct {
	Shared   []byte // shared configuration
	Entries  []EntrySpec
	Engines  []EngineSpec
	Services []ServiceSpec
	ListLag  time.Duration // age of the instance list
	Logger   *slog.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	opt   Options
	log   *slog.Logger
	ctx   context.Context
	stop  context.CancelFunc
	net   *partition
	Store *standinstore.Server

	mu       sync.Mutex
	starts   map[string]uint64 // start number of each instance
	Entries  map[string]*entry.Entry
	Engines  map[string]*engine.Server
	Services map[string]*service.Server
	Sidecars map[string]*sidecar.Sidecar
	listed   map[string]objectapi.Instance
}

// Start brings a deployment up and waits until its entries are ready.
func Start(ctx context.Context, opt Options) (*Deployment, error) {
	if opt.Logger == nil {
		opt.Logger = slog.New(slog.DiscardHandler)
	}
	d := &Deployment{
		opt:      opt,
		log:      opt.Logger,
		net:      newPartition(),
		Store:    standinstore.New(standinstore.Options{InstanceLag: opt.ListLag, Logger: opt.Logger}),
		starts:   make(map[string]uint64),
		Entries:  make(map[string]*entry.Entry),
		Engines:  make(map[string]*engine.Server),
		Services: make(map[string]*service.Server),
		Sidecars: make(map[string]*sidecar.Sidecar),
		listed:   make(map[string]objectapi.Instance),
	}
	d.ctx, d.stop = context.WithCancel(context.WithoutCancel(ctx))
	if err := d.start(ctx); err != nil {
		d.stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.Store.Start(d.ctx); err != nil {
		return err
	}
	if err := d.applyShared(ctx); err != nil {
		return err
	}
	for _, e := range d.opt.Engines {
		if err := d.StartEngine(e); err != nil {
			return err
		}
	}
	for _, s := range d.opt.Services {
		if err := d.StartService(s); err != nil {
			return err
		}
	}
	for _, e := range d.opt.Entries {
		if err := d.StartEntry(ctx, e); err != nil {
			return err
		}
	}
	return d.WaitReady(ctx)
}

func (d *Deployment) applyShared(ctx context.Context) error {
	client, err := d.storeClient("operator")
	if err != nil {
		return err
	}
	_, err = config.NewStore(client).Apply(ctx, 0, d.opt.Shared, "quickstart", "first configuration")
	return errors.Wrap(err, "apply shared configuration")
}

func (d *Deployment) storeClient(name string) (*objectapi.HTTPClient, error) {
	return objectapi.Dial(objectapi.ClientConfig{Address: d.Store.Addr(), Name: name})
}

func (d *Deployment) nextIncarnation(name string) core.Incarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts[name]++
	return core.Incarnation(fmt.Sprintf("%s.%d", name, d.starts[name]))
}

// StartEntry starts an entry and lists it.
func (d *Deployment) StartEntry(ctx context.Context, spec EntrySpec) error {
	client, err := d.storeClient(spec.Name)
	if err != nil {
		return err
	}
	inc := d.nextIncarnation(spec.Name)
	n, err := entry.New(entry.Config{
		Instance: spec.Name, Incarnation: inc, Region: spec.Region, FailureDomain: spec.FailureDomain,
		HTTPListen: spec.HTTPListen, DataFolder: spec.DataFolder, RecordTrace: spec.Record, Seeds: spec.Seeds,
		Dialer:            d.net.dialer(spec.Region),
		TrustCallerHeader: true, Operators: []string{"operator"}, Store: client, Logger: d.log,
	})
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	d.mu.Lock()
	d.Entries[spec.Name] = n
	d.mu.Unlock()
	d.list(objectapi.Instance{
		ID: spec.Name, Role: config.RoleEntry, Address: n.PeerAddr(), Region: spec.Region,
		FailureDomain: spec.FailureDomain, State: "live", Incarnation: string(inc),
	})
	return nil
}

// StartEngine starts an engine stand-in with its sidecar.
func (d *Deployment) StartEngine(spec EngineSpec) error {
	spec.Model.ID = core.UpstreamID(spec.Name)
	e, err := engine.New(engine.Config{Model: spec.Model, Logger: d.log})
	if err != nil {
		return err
	}
	if err := e.Start(d.ctx); err != nil {
		return err
	}
	d.mu.Lock()
	d.Engines[spec.Name] = e
	d.mu.Unlock()
	return d.StartSidecar(spec.Name, spec.Place, sidecar.Upstream{
		ID: spec.Name, Kind: core.KindModel, URL: "http://" + e.Addr(), ChecksFencing: spec.Model.Fencing,
	})
}

// StartService starts a service stand-in with its sidecar.
func (d *Deployment) StartService(spec ServiceSpec) error {
	s, err := service.New(service.Config{NoOutcomes: !spec.Outcomes, Logger: d.log})
	if err != nil {
		return err
	}
	if err := s.Start(d.ctx); err != nil {
		return err
	}
	d.mu.Lock()
	d.Services[spec.Name] = s
	d.mu.Unlock()
	return d.StartSidecar(spec.Name, spec.Place, sidecar.Upstream{
		ID: spec.Name, Kind: core.KindService, Service: spec.Service, URL: "http://" + s.Addr(),
		OutcomeByKey: spec.Outcomes, Slots: serviceSlots,
	})
}

// serviceSlots is the concurrency of a service stand-in.
const serviceSlots = 32

// StartSidecar starts the sidecar of an upstream and lists it.
func (d *Deployment) StartSidecar(upstream string, at Place, up sidecar.Upstream) error {
	name := "sidecar-" + upstream
	inc := d.nextIncarnation(name)
	s, err := sidecar.New(sidecar.Config{
		Instance: name, Incarnation: string(inc), Region: at.Region, FailureDomain: at.FailureDomain,
		Upstream: up, Logger: d.log,
	})
	if err != nil {
		return err
	}
	if err := s.Start(d.ctx); err != nil {
		return err
	}
	d.mu.Lock()
	d.Sidecars[upstream] = s
	d.mu.Unlock()
	d.list(objectapi.Instance{
		ID: name, Role: config.RoleSidecar, Address: s.Addr(), Region: at.Region,
		FailureDomain: at.FailureDomain, State: "live", Incarnation: string(inc),
	})
	return nil
}

// list adds an instance to the platform's list or replaces it.
func (d *Deployment) list(in objectapi.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.net.place(in.Address, in.Region)
	d.listed[in.ID] = in
	d.publishLocked()
}

// Unlist removes an instance from the platform's list.
func (d *Deployment) Unlist(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.listed, id)
	d.publishLocked()
}

func (d *Deployment) publishLocked() {
	var out []objectapi.Instance
	for _, in := range d.listed {
		out = append(out, in)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	d.Store.Memory().SetInstances(out)
}

// readyPoll is the interval at which readiness is checked.
const readyPoll = 20 * time.Millisecond

// WaitReady waits until every entry is ready, every slot has an owner, and
// every upstream is known to every entry.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for {
		err := d.notReady()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, "deployment not ready")
		case <-time.After(readyPoll):
		}
	}
}

func (d *Deployment) notReady() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	owned := 0
	for name, n := range d.Entries {
		if err := n.Ready(); err != nil {
			return errors.Wrapf(err, "entry %s", name)
		}
		st := n.Summary()
		if st.Upstreams < len(d.Sidecars) {
			return errors.Errorf("entry %s reaches %d of %d upstreams", name, st.Upstreams, len(d.Sidecars))
		}
		owned += st.SlotsOwned
		if st.SlotCount == 0 {
			return errors.Errorf("entry %s knows no slots", name)
		}
		if owned > st.SlotCount {
			return errors.Errorf("%d of %d slots owned", owned, st.SlotCount)
		}
	}
	for _, n := range d.Entries {
		if count := n.Summary().SlotCount; owned < count {
			return errors.Errorf("%d of %d slots owned", owned, count)
		}
	}
	return nil
}

// StopEntry stops an entry gracefully and takes it off the list.
func (d *Deployment) StopEntry(ctx context.Context, name string) error {
	n := d.takeEntry(name)
	if n == nil {
		return errors.Errorf("entry %s does not run", name)
	}
	err := n.Stop(ctx)
	d.Unlist(name)
	return err
}

// KillEntry ends an entry as a crash does. The list keeps it until Unlist.
func (d *Deployment) KillEntry(name string) {
	if n := d.takeEntry(name); n != nil {
		n.Kill()
	}
}

func (d *Deployment) takeEntry(name string) *entry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.Entries[name]
	delete(d.Entries, name)
	return n
}

// Entry returns a running entry.
func (d *Deployment) Entry(name string) *entry.Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Entries[name]
}

// StopSidecar stops the sidecar of an upstream gracefully.
func (d *Deployment) StopSidecar(ctx context.Context, upstream string) error {
	d.mu.Lock()
	s := d.Sidecars[upstream]
	delete(d.Sidecars, upstream)
	d.mu.Unlock()
	if s == nil {
		return errors.Errorf("sidecar of %s does not run", upstream)
	}
	err := s.Stop(ctx)
	d.Unlist("sidecar-" + upstream)
	return err
}

// Stop ends everything: entries and sidecars gracefully, then the stand-ins.
func (d *Deployment) Stop(ctx context.Context) error {
	var first error
	keep := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, name := range sortedNames(d.Entries) {
		keep(d.StopEntry(ctx, name))
	}
	for _, name := range sortedNames(d.Sidecars) {
		keep(d.StopSidecar(ctx, name))
	}
	d.stop()
	return first
}

func sortedNames[T any](m map[string]T) []string {
	var out []string
	for name := range m {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}
