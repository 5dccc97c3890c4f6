package edge

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/fleet"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// keyResult is the result of a check of a request's key.
type keyResult int

// Results of a check of a key.
const (
	keyAccepted keyResult = iota // or none is needed
	keyMissing
	keyUnknown
	keyRevoked    // it was accepted before
	keyMoved      // it belongs to another workspace than before, or is needed only now
	keyNotCurrent // the configuration is not known to be current
)

// String returns the reason in logs and metrics.
func (r keyResult) String() string {
	return [...]string{"accepted", "no key", "unknown key", "key revoked", "key moved", "configuration may be old"}[r]
}

// unwrittenError is the error of an attempt that was not written because of the key of its
// request.
type unwrittenError struct{ result keyResult }

// Error implements error.
func (e *unwrittenError) Error() string { return "not written: " + e.result.String() }

// checkKey checks the key of the request against a table and notes the workspace that it
// belongs to.
func (c *call) checkKey(t *routing.Table) keyResult {
	if !t.HasWorkspaces() {
		return keyAccepted
	}
	c.hideKey = true
	if c.public(t) {
		c.workspace, c.checked = nil, t
		return keyAccepted
	}
	if !c.e.trustsKeys() {
		return keyNotCurrent
	}
	w, ok := t.Workspace(c.req.Key)
	switch {
	case c.req.Key == "":
		return keyMissing
	case !ok && c.workspace != nil:
		return keyRevoked
	case !ok:
		return keyUnknown
	case c.workspace != nil && c.workspace.Name != w.Name, c.workspace == nil && c.checked != nil:
		return keyMoved
	}
	c.workspace, c.checked = w, t
	return keyAccepted
}

// public reports whether the request needs no key according to a table. A route that the
// table no longer has keeps what the request began with.
func (c *call) public(t *routing.Table) bool {
	if t == c.table {
		return c.route.Public
	}
	if route := t.Match(c.r.Host, c.r.URL.EscapedPath()); route != nil {
		return route.Public
	}
	return c.route.Public
}

// recheckKey checks the key of the request before an attempt against the table in force. A
// stream that has begun goes on.
func (c *call) recheckKey() keyResult {
	t := c.e.view.table.Load()
	c.hideKey = c.hideKey || t.HasWorkspaces()
	if c.headSent {
		return keyAccepted
	}
	if t != c.checked {
		return c.checkKey(t)
	}
	if c.workspace != nil && !c.e.trustsKeys() {
		return keyNotCurrent
	}
	return keyAccepted
}

// mayWrite returns an error if the key of the request no longer allows the attempt that is
// about to be written.
func (c *call) mayWrite() error {
	if !c.hideKey {
		if c.e.view.table.Load().HasWorkspaces() {
			return &unwrittenError{keyMoved} // the attempt was prepared without workspaces and shows the key
		}
		return nil
	}
	if result := c.recheckKey(); result != keyAccepted {
		return &unwrittenError{result}
	}
	return nil
}

// endUnwritten ends a request whose attempt was not written because of its key, without counting
// a failure of the upstream. It reports whether it did.
func (c *call) endUnwritten(m *fleet.Member, err error) bool {
	unwritten := (*unwrittenError)(nil)
	if !errors.As(err, &unwritten) {
		return false
	}
	c.e.withFleet(func(f *fleet.Fleet) {
		f.EndWork(&c.work, false, c.writtenAt, time.Now())
		f.RecordEnd(m)
	})
	c.removeIsolated(m.ID)
	return c.refuseKey(unwritten.result)
}

// refuseKey refuses the request unless its key was accepted. It reports whether it did. The
// answer to a request that may have run does not claim that it has not run.
func (c *call) refuseKey(result keyResult) bool {
	if result == keyAccepted {
		return false
	}
	c.keyRefused = true
	c.e.metrics.keyRefused(result.String())
	if c.tracker != nil && c.tracker.MayHaveRun() {
		c.fail(c.tracker.NoUpstreamLeft(), result.String())
		return true
	}
	switch result {
	case keyNotCurrent:
		c.refuse(http.StatusServiceUnavailable, retryAfterUnready, result.String())
		return true
	case keyMoved:
		// A repeated request is valid, as one of the other workspace.
		c.refuse(http.StatusServiceUnavailable, retryAfterBusy, result.String())
		return true
	}
	platform.SetKeyRequired(c.w.Header())
	c.refuse(http.StatusUnauthorized, 0, result.String())
	return true
}

// priority returns the priority of the request: that of its workspace, if it has one.
func (c *call) priority() int {
	if w := c.workspace; w != nil && w.HasPriority {
		return w.Priority
	}
	return c.route.Priority
}

// workspaceName returns the name of the request's workspace; empty: it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}
