package sidecar

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	decide "github.com/yuccaspindle/yuccaspindle/pkg/core/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

// The roles in Hello.
const (
	roleEntry   = "entry"
	roleSidecar = "sidecar"
)

// Sidecar is the daemon.
type Sidecar struct {
	cfg    Config
	log    *slog.Logger
	tr     *transport.Transport
	up     *upstream
	met    *meters
	ctx    context.Context // ends when the sidecar has stopped
	cancel context.CancelFunc
	idle   chan struct{} // closed when draining and no attempt is under way
	http   *http.Server
	httpLn net.Listener

	loopMu sync.Mutex
	ended  bool
	loops  sync.WaitGroup

	mu            sync.Mutex
	state         *decide.State
	lastRef       decide.Ref
	waiters       map[decide.Ref]chan decide.Effect
	calls         map[core.AttemptID]*call
	info          *peerv1.UpstreamInfo
	infoVersion   uint64
	reachable     bool
	load          *peerv1.Load
	cache         cacheLog
	crashes       []crashReport
	peers         map[*transport.Session]*peerState
	configVersion uint64
	configText    []byte
	fetching      bool // a configuration is being fetched
	stopping      bool
}

// New checks the settings. Start begins to serve.
func New(cfg Config) (*Sidecar, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	s := &Sidecar{
		cfg: cfg, log: cfg.Logger.With("instance", cfg.Instance, "upstream", cfg.Upstream.ID),
		state: decide.New(decide.Options{
			Incarnation: cfg.Incarnation, PinTerm: cfg.PinTerm, ResultTerm: cfg.ResultTerm,
			OutcomeByKey: cfg.Upstream.OutcomeByKey,
		}),
		waiters: make(map[decide.Ref]chan decide.Effect),
		calls:   make(map[core.AttemptID]*call),
		peers:   make(map[*transport.Session]*peerState),
		cache:   newCacheLog(uint64(time.Now().UnixMilli()) << 10),
		info: &peerv1.UpstreamInfo{
			Id: cfg.Upstream.ID, Kind: string(cfg.Upstream.Kind), Service: cfg.Upstream.Service,
			Slots: int64(cfg.Upstream.Slots), ChecksOrders: cfg.Upstream.ChecksOrders, ChecksFencing: cfg.Upstream.ChecksFencing,
		},
		infoVersion: 1, idle: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.met = newMeters(s)
	s.up = newUpstream(cfg)
	s.tr, err = transport.New(transport.Config{
		Listen: cfg.Listen, TLS: cfg.TLS, Hello: s.hello, Logger: s.log, Link: cfg.Link,
	}, s.serve)
	return s, err
}

// Start listens and begins to watch the upstream.
func (s *Sidecar) Start(context.Context) error {
	if err := s.tr.Start(); err != nil {
		return err
	}
	if s.cfg.HTTPListen != "" {
		ln, err := net.Listen("tcp", s.cfg.HTTPListen)
		if err != nil {
			return errors.Wrap(err, "sidecar: listen for http")
		}
		s.httpLn = ln
		s.http = &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 5 * time.Second}
		go func() { _ = s.http.Serve(ln) }()
	}
	s.background(s.monitor)
	if s.cfg.Upstream.Kind == core.KindModel {
		s.background(s.readCacheEvents)
	}
	s.log.Info("sidecar started", "step", "start", "addr", s.Addr(), "incarnation", s.cfg.Incarnation)
	return nil
}

// Addr returns the address on which peers are served.
func (s *Sidecar) Addr() string { return s.tr.Addr() }

// HTTPAddr returns the address of the metrics, or an empty string.
func (s *Sidecar) HTTPAddr() string {
	if s.httpLn == nil {
		return ""
	}
	return s.httpLn.Addr().String()
}

// Stop drains: it announces that it is leaving, refuses new attempts, finishes
// those under way, waits a short time for owners to fetch outcomes that they
// have not received, and ends. Work is cut when the context ends.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.mu.Lock()
	if s.stopping {
		s.mu.Unlock()
		return nil
	}
	s.stopping = true
	s.mu.Unlock()
	s.step(decide.DrainStarted{At: now()})
	s.log.Info("sidecar is draining", "step", "drain", "running", s.Running())
	var err error
	select {
	case <-s.idle:
		s.linger(ctx)
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "sidecar: drain")
	}
	s.endHeartbeats()
	closing, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if cerr := s.tr.Close(closing); err == nil && cerr != nil && ctx.Err() != nil {
		err = cerr
	}
	s.cancel()
	if s.http != nil {
		_ = s.http.Close()
	}
	s.loopMu.Lock()
	s.ended = true
	s.loopMu.Unlock()
	s.loops.Wait()
	s.up.close()
	s.log.Info("sidecar stopped", "step", "stop", "err", err)
	return err
}

// linger gives owners the time to ask for outcomes that did not reach them.
func (s *Sidecar) linger(ctx context.Context) {
	deadline := time.NewTimer(s.cfg.LingerTerm)
	defer deadline.Stop()
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for {
		s.mu.Lock()
		n := s.state.Undelivered()
		s.mu.Unlock()
		if n == 0 {
			return
		}
		select {
		case <-tick.C:
		case <-deadline.C:
			s.log.Warn("outcomes were not fetched", "step", "drain", "outcomes", n)
			return
		case <-ctx.Done():
			return
		}
	}
}

// Running returns the number of attempts under way.
func (s *Sidecar) Running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Running()
}

func now() decide.At { return decide.At{Time: time.Now()} }

func (s *Sidecar) hello() *peerv1.Hello {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.cfg.Advertise
	if addr == "" {
		addr = s.tr.Addr()
	}
	return &peerv1.Hello{
		Instance: s.cfg.Instance, Incarnation: s.cfg.Incarnation, Role: roleSidecar, Region: s.cfg.Region,
		FailureDomain: s.cfg.FailureDomain, Address: addr, ConfigVersion: s.configVersion, Upstream: s.info,
	}
}

// step applies an event: effects with a Ref go to their waiter, the others are
// carried out.
func (s *Sidecar) step(e decide.Event) {
	s.mu.Lock()
	rest := s.stepLocked(e)
	s.mu.Unlock()
	s.carryOut(rest)
}

func (s *Sidecar) stepLocked(e decide.Event) []decide.Effect {
	var rest []decide.Effect
	for _, eff := range s.state.Step(e) {
		ref := refOf(eff)
		if ref == 0 {
			rest = append(rest, eff)
			continue
		}
		if ch := s.waiters[ref]; ch != nil {
			ch <- eff // buffered for the two effects that a Ref can get
		}
	}
	if s.state.Draining() && s.state.Running() == 0 {
		select {
		case <-s.idle:
		default:
			close(s.idle)
		}
	}
	return rest
}

func refOf(e decide.Effect) decide.Ref {
	switch e := e.(type) {
	case decide.StartAttempt:
		return e.Ref
	case decide.AllowSend:
		return e.Ref
	case decide.RefuseAttempt:
		return e.Ref
	case decide.Answer:
		return e.Ref
	case decide.Outcome:
		return e.Ref
	case decide.LookUpOutcome:
		return e.Ref
	case decide.SendOrder:
		return e.Ref
	case decide.RefuseOrder:
		return e.Ref
	}
	return 0
}

// await registers a waiter and returns its Ref. The channel takes every effect
// that can answer one Ref.
func (s *Sidecar) await() (decide.Ref, chan decide.Effect, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRef++
	ref, ch := s.lastRef, make(chan decide.Effect, 4)
	s.waiters[ref] = ch
	return ref, ch, func() {
		s.mu.Lock()
		delete(s.waiters, ref)
		s.mu.Unlock()
	}
}

// ask applies an event that is answered at once and returns the answer.
func (s *Sidecar) ask(event func(decide.Ref) decide.Event) decide.Effect {
	ref, ch, done := s.await()
	defer done()
	s.step(event(ref))
	return <-ch
}

// carryOut executes the effects that answer no request.
func (s *Sidecar) carryOut(effects []decide.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case decide.ReportCrash:
			s.upstreamCrashed(e)
		case decide.AnnounceDrain:
			s.pushHeartbeats()
		case decide.RenewPin:
			s.background(func() {
				s.engineOrder(&peerv1.Order{Order: core.OrderPin, Program: e.Program, TermMs: e.Term.Milliseconds()})
			})
		case decide.ReleasePin:
			s.log.Info("released an unclaimed prefix", "step", "pins", "program", e.Program)
			s.background(func() { s.engineOrder(&peerv1.Order{Order: core.OrderRelease, Program: e.Program}) })
		case decide.ListPins:
			if s.cfg.Upstream.Kind == core.KindModel {
				s.background(func() { s.listHeld(true) })
			}
		}
	}
}

// background runs f and reports true, unless the sidecar has stopped.
func (s *Sidecar) background(f func()) bool {
	s.loopMu.Lock()
	defer s.loopMu.Unlock()
	if !s.ended {
		s.loops.Go(f)
	}
	return !s.ended
}

// mayCommand reports whether the peer may dispatch and give orders.
func (s *Sidecar) mayCommand(p *transport.Session) bool {
	return s.authorized(p, roleEntry, s.cfg.EntryNames)
}

func (s *Sidecar) authorized(p *transport.Session, role string, names []string) bool {
	if s.cfg.TLS != nil {
		return slices.Contains(names, p.PeerName())
	}
	return p.Identity().Role == role
}

// serve answers one stream of a peer.
func (s *Sidecar) serve(ctx context.Context, p *transport.Session, st *transport.Stream, first *peerv1.Envelope) {
	switch b := first.Body.(type) {
	case *peerv1.Envelope_Dispatch:
		s.serveDispatch(ctx, p, st, b.Dispatch)
	case *peerv1.Envelope_Resolve:
		s.serveResolve(ctx, p, st, b.Resolve)
	case *peerv1.Envelope_Order:
		s.serveOrder(ctx, p, st, b.Order)
	case *peerv1.Envelope_Heartbeat:
		s.serveHeartbeats(p, st, b.Heartbeat)
	case *peerv1.Envelope_ConfigPush:
		s.servePush(p, st, b.ConfigPush)
	case *peerv1.Envelope_ConfigRequest:
		s.mu.Lock()
		m := &peerv1.ConfigPush{Version: s.configVersion, Text: s.configText}
		s.mu.Unlock()
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_ConfigPush{ConfigPush: m}})
	case *peerv1.Envelope_StatusRequest:
		text, _ := json.Marshal(s.Status())
		_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_StatusReply{StatusReply: &peerv1.StatusReply{Json: text}}})
	default:
		sendAck(st, "sidecar: request is not served here")
	}
}

func sendAck(st *transport.Stream, message string) {
	_ = st.Send(&peerv1.Envelope{Body: &peerv1.Envelope_Ack{Ack: &peerv1.Ack{Error: message}}})
}

// refusePeer logs a peer that is not on the list.
func (s *Sidecar) refusePeer(p *transport.Session, step string) string {
	s.met.unauthorized.Inc()
	s.log.Warn("peer is not allowed to command", "step", step, "peer", p.Addr(), "name", p.PeerName(), "role", p.Identity().Role)
	return "peer is not allowed to command this sidecar"
}

// servePush keeps the highest configuration.
func (s *Sidecar) servePush(p *transport.Session, st *transport.Stream, m *peerv1.ConfigPush) {
	if !s.mayCommand(p) {
		sendAck(st, s.refusePeer(p, "config"))
		return
	}
	if !s.takeConfig(p, m) {
		sendAck(st, "a higher configuration version is in force")
		return
	}
	sendAck(st, "")
}

// takeConfig reports false for a version below the one in force.
func (s *Sidecar) takeConfig(p *transport.Session, m *peerv1.ConfigPush) bool {
	s.mu.Lock()
	old := s.configVersion
	if m.Version > old {
		s.configVersion, s.configText = m.Version, m.Text
	}
	s.mu.Unlock()
	if m.Version > old {
		s.log.Info("configuration taken", "step", "config", "peer", p.Addr(), "version", m.Version, "previous", old)
	}
	return m.Version >= old
}

// catchUp fetches the configuration from an entry whose heartbeat names a
// higher version, in case a push was missed.
func (s *Sidecar) catchUp(p *transport.Session, version uint64) {
	s.mu.Lock()
	fetch := version > s.configVersion && !s.fetching
	s.fetching = s.fetching || fetch
	s.mu.Unlock()
	if !fetch {
		return
	}
	s.background(func() {
		defer func() {
			s.mu.Lock()
			s.fetching = false
			s.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(s.ctx, controlTimeout)
		defer cancel()
		st, err := p.Open(ctx, &peerv1.Envelope{Body: &peerv1.Envelope_ConfigRequest{ConfigRequest: &peerv1.ConfigRequest{}}})
		if err == nil {
			defer st.Close()
			_ = st.SetDeadline(time.Now().Add(controlTimeout))
			var m *peerv1.Envelope
			if m, err = st.Recv(); err == nil && m.GetConfigPush() != nil {
				s.takeConfig(p, m.GetConfigPush())
			}
		}
		if err != nil {
			s.log.Warn("configuration not fetched", "step", "config", "peer", p.Addr(), "err", err)
		}
	})
}
