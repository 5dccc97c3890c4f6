package edge

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// headerTimeout limits the time to receive request headers. The platform's
	// callers need at most 3 s.
	headerTimeout = 5 * time.Second
	// idleTimeout exceeds the longest time for which callers keep an idle connection,
	// so that the caller closes it and not the edge.
	idleTimeout    = 120 * time.Second
	maxHeaderBytes = 64 << 10
	// drainListenTime is how long a stopping edge still accepts connections: the
	// platform checks readiness once a second and reacts to the second failed check.
	drainListenTime = 2500 * time.Millisecond
	// stopMargin is the time reserved between the end of draining and the kill.
	stopMargin = 400 * time.Millisecond
)

// serveCallers serves until stop is done and all requests are answered.
func (e *Edge) serveCallers(ctx, stop context.Context) error {
	callers := &http.Server{
		Handler:           http.HandlerFunc(e.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		// net/http reports panics of handlers and failed accepts here, nothing regular.
		ErrorLog:    slog.NewLogLogger(e.logger.Handler(), slog.LevelWarn),
		ConnContext: withCallerConn,
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
	}{
		{e.settings.CallerListen, callers},
		{e.settings.ReadyListen, &http.Server{Handler: ready, ReadHeaderTimeout: headerTimeout}},
		{e.settings.MetricsListen, &http.Server{Handler: admin, ReadHeaderTimeout: headerTimeout}},
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
		if tcp, ok := ln.(*net.TCPListener); ok && s.server == callers {
			ln = &callerListener{TCPListener: tcp}
		}
		wg.Go(func() {
			if err := s.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				e.logger.Error("server failed", "address", s.address, "err", err)
			}
		})
	}
	e.logger.Info("started", "node", e.settings.Node, "callers", e.settings.CallerListen, "failure_domain", e.settings.FailureDomain)
	select {
	case <-stop.Done():
	case <-ctx.Done():
	}
	return e.drain(callers)
}

// drain completes the accepted requests. Responses now close their connections, and
// the listener stays open until the platform sends no more callers.
func (e *Edge) drain(callers *http.Server) error {
	began := time.Now()
	e.stopping.Store(&began)
	e.draining.Store(true)
	e.logger.Info("draining", "grace", e.settings.StopGrace)
	time.Sleep(min(drainListenTime, e.settings.StopGrace/2))
	ctx, cancel := context.WithDeadline(context.Background(), e.stopDeadline())
	defer cancel()
	err := callers.Shutdown(ctx)
	if err != nil {
		n, ids := e.inFlight.ids()
		e.logger.Warn("shutdown interrupted requests", "err", err, "requests", n, "ids", ids)
		e.metrics.cutAtStop(n)
		return errors.Wrap(callers.Close(), "close callers' connections")
	}
	e.logger.Info("drained", "took", time.Since(began))
	return nil
}

func (e *Edge) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.draining.Load() || !e.view.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
