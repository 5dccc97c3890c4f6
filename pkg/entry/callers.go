package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callerPollInterval is how often a stopping entry looks for idle connections of callers.
const callerPollInterval = 20 * time.Millisecond

// callerConns counts the open connections of callers.
type callerConns struct{ open atomic.Int64 }

// track is a hook of http.Server.
func (c *callerConns) track(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		c.open.Add(-1)
	}
}

// drainCallers closes the listener and answers the requests of the connections that are
// open. http.Server.Shutdown alone drops requests that it reads after its call.
func (n *Entry) drainCallers(ctx context.Context) error {
	if err := n.httpListener.Close(); err != nil {
		n.log.Warn("listener for callers not closed", "error", err)
	}
	t := time.NewTicker(callerPollInterval)
	defer t.Stop()
	for n.callers.open.Load() > 0 && ctx.Err() == nil {
		// Closes connections that are idle, or have sent no request for 5 s after they
		// were accepted. Answers close theirs.
		n.httpServer.SetKeepAlivesEnabled(false)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	if err := n.httpServer.Shutdown(ctx); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
