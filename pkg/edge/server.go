package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/headlimit"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// headerTimeout limits the time to receive request headers. The platform's
	// callers need at most 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time for which callers keep an idle connection,
	// so that the caller closes it and not the edge.
	idleTimeout = 120 * time.Second
	// maxHeaderBytes is the most that a configuration can allow; see callerHeadLimits.
	maxHeaderBytes = 64 << 10
	// maxAdminBody limits the body of an operator's request.
	maxAdminBody = 4 << 10
	// adminTimeout limits the time to receive an operator's request, and to write its answer.
	adminTimeout = 10 * time.Second
	// drainListenTime is how long a stopping edge still accepts connections: the
	// platform checks readiness once a second and reacts to the second failed check.
	drainListenTime = 2500 * time.Millisecond
	// stopMargin is the time reserved between the end of draining and the kill.
	stopMargin = 400 * time.Millisecond
	// cutAnswerTime is how long before the end of draining the requests that are still
	// under way get an answer that says so, instead of a closed connection.
	cutAnswerTime = 100 * time.Millisecond
	// drainPollInterval is how often a draining edge looks for idle connections.
	drainPollInterval = 5 * time.Millisecond
)

// errStopped ends requests that are under way at the end of a stop.
var errStopped = errors.New("the edge has stopped")

// serveCallers serves until stop is done and all requests are answered.
func (e *Edge) serveCallers(ctx, stop context.Context) error {
	requests, endRequests := context.WithCancelCause(context.Background())
	defer endRequests(nil)
	listener := e.newListener("callers", callerLimits(e.settings), func() headlimit.Limits { return callerHeadLimits(e.view.table.Load()) })
	callers := &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// net/http reports panics of handlers and failed accepts here, nothing regular.
		ErrorLog:    slog.NewLogLogger(e.logger.Handler(), slog.LevelWarn),
		ConnContext: withCallerConn,
		ConnState:   trackState,
		BaseContext: func(net.Listener) context.Context { return requests },
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+platform.ReadinessPath, e.serveReadiness)
	admin := http.NewServeMux()
	admin.HandleFunc("GET "+platform.MetricsPath, e.metrics.serve)
	admin.HandleFunc("GET "+StatusPath, e.serveStatus)
	admin.HandleFunc("POST "+ReleasePath, e.serveRelease)
	servers := []struct {
		address string
		server  *http.Server
		conns   *callerListener
	}{
		{e.settings.CallerListen, callers, listener},
		{e.settings.ReadyListen, adminServer(ready), e.newAdminListener("readiness")},
		{e.settings.MetricsListen, adminServer(admin), e.newAdminListener("metrics")},
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, s := range servers {
		ln, err := net.Listen("tcp", s.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", s.address)
		}
		// Servers that were drained are closed already. This closes them after a
		// failed start.
		defer s.server.Close()
		if tcp, ok := ln.(*net.TCPListener); ok {
			s.conns.TCPListener = tcp
			ln = s.conns
		}
		wg.Go(func() {
			if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("server failed", "address", s.address, "err", err)
			}
		})
	}
	e.startup.end(stepListening)
	e.logger.Info("started", "node", e.settings.Node, "callers", e.settings.CallerListen, "failure_domain", e.settings.FailureDomain)
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	return e.drain(callers, listener, endRequests)
}

// newListener returns a listener that lacks its socket.
func (e *Edge) newListener(name string, l connLimits, head func() headlimit.Limits) *callerListener {
	conns := newCallerConns(l, head, e.transit, newLimitLog(e.logger, e.metrics, name).record)
	e.metrics.openConns(name, conns)
	return &callerListener{conns: conns, done: make(chan struct{})}
}

// newAdminListener returns a listener for the platform and for operators, which lacks its
// socket.
func (e *Edge) newAdminListener(name string) *callerListener {
	limits := connLimits{open: maxAdminConns / 2, headless: maxAdminConns / 2 / headlessDivisor}
	return e.newListener(name, limits, func() headlimit.Limits { return callerHeadLimits(nil) })
}

func adminServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(h, maxAdminBody),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       adminTimeout,
		WriteTimeout:      adminTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         trackState,
	}
}

// drain completes the accepted requests. Responses now close their connections, and
// the listener stays open until the platform sends no more callers. http.Server.Shutdown
// is not used: it drops requests that it has read, if they were received after its call.
func (e *Edge) drain(callers *http.Server, l *callerListener, endRequests context.CancelCauseFunc) error {
	began := time.Now()
	e.stopping.Store(&began)
	e.draining.Store(true)
	e.lines.recheck()
	e.logger.Info("draining", "grace", e.settings.StopGrace)
	time.Sleep(min(drainListenTime, e.settings.StopGrace/2))
	l.stopAccepting()
	end := e.stopDeadline()
	if !drainConns(l.conns, end.Add(-cutAnswerTime)) {
		if n, ids := e.inFlight.ids(); n > 0 {
			e.logger.Warn("shutdown interrupted requests", "requests", n, "ids", ids)
			e.metrics.cutAtStop(n)
		}
		endRequests(errStopped)
		drainConns(l.conns, end)
	}
	l.conns.waitLingering(end)
	e.logger.Info("drained", "took", time.Since(began))
	return errors.Wrap(callers.Close(), "close callers' connections")
}

// drainConns closes idle connections until none is open, or until a time. It reports
// whether none is open.
func drainConns(conns *callerConns, until time.Time) bool {
	for now := time.Now(); conns.expireIdle(now) > 0; now = time.Now() {
		if now.After(until) {
			return false
		}
		time.Sleep(drainPollInterval)
	}
	return true
}

func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.view.ready() || e.overloaded(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
