package edge

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// Keys of the workspaces of the tests.
const (
	northKey = "north-key-5f0c7e"
	southKey = "south-key-91ab3d"
)

// tenant returns a workspace as in the configuration.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"Name": name, "ApiKeys": keys}
}

// workspaces puts a configuration with the routes so far and workspaces in force.
func (d *deployment) workspaces(list ...map[string]any) {
	d.version += 3
	d.store.Put(platform.KindConfig, platform.ConfigName, map[string]any{
		"Version": d.version, "Routes": d.routes, "Tenants": list,
		"Services": []map[string]any{{"Name": "llm", "Engine": map[string]any{"ChunkTokens": 14}}, {"Name": "app"}},
		"Limits":   map[string]any{"MaxBodyBytes": 4 << 20},
	})
}

// inForce waits until the last configuration is in force at the edges.
func (d *deployment) inForce(list ...*process) {
	d.t.Helper()
	for _, p := range list {
		eventually(d.t, "the configuration is not in force", func() bool {
			table := p.edge.view.table.Load()
			return table != nil && table.Version() == uint64(d.version)
		})
	}
}

// noKeyShown fails the test if a log line, the status or a metric of the edges contains a key.
func (d *deployment) noKeyShown(list ...*process) {
	d.t.Helper()
	var shown bytes.Buffer
	shown.WriteString(d.log.text())
	for _, p := range list {
		w := httptest.NewRecorder()
		p.edge.serveStatus(w, nil)
		p.edge.metrics.serve(w, nil)
		_, _ = io.Copy(&shown, w.Body)
	}
	for _, key := range []string{northKey, southKey} {
		if i := strings.Index(shown.String(), key); i >= 0 {
			d.t.Errorf("a key is shown: ...%s", shown.String()[max(0, i-200):i+len(key)])
		}
	}
}

func withKey(key string, more ...string) map[string]string {
	h := map[string]string{"Attempt-Id": "a1", "Authorization": "Token " + key}
	for i := 0; i+1 < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

// told fails the test unless an upstream was told the workspace and no key.
func told(t *testing.T, h http.Header, workspace string) {
	t.Helper()
	if h.Get("Authorization") != "" || strings.Join(h.Values("Tenant"), ",") != workspace {
		t.Errorf("the upstream got authorization %q, workspace %q; want workspace %q", h.Values("Authorization"), h.Values("Tenant"), workspace)
	}
}

// Guards against requests that are served without a key of the configuration, against keys
// that upstreams, logs, metrics or the status show, and against callers that choose their
// workspace themselves.
func TestKeys(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	public := clone(safeRoute)
	public["Name"], public["PathPrefix"], public["Public"] = "open", "/open/", true
	d.route(public)
	d.workspaces(tenant("north", northKey, "north-second"), tenant("south", southKey))
	var r runs
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	d.inForce(p)
	for _, c := range []struct {
		name, path, authorization string
		status                    int
		workspace                 string
	}{
		{"no key", "/safe/1", "", 401, ""},
		{"unknown key", "/safe/1", "Token no-such-key", 401, ""},
		{"other scheme", "/safe/1", "Bearer " + northKey, 401, ""},
		{"no route", "/none/1", "Token no-such-key", 404, ""},
		{"key", "/safe/1", "Token " + northKey, 200, "north"},
		{"second key", "/safe/1", "token north-second", 200, "north"},
		{"key of the other workspace", "/safe/1", "Token " + southKey, 200, "south"},
		{"public route without a key", "/open/1", "", 200, ""},
		{"public route with a key", "/open/1", "Token " + northKey, 200, ""},
	} {
		before := r.count()
		caller := p.raw(t)
		lines := []string{"tenant: south", "TENANT: south"}
		if c.authorization != "" {
			lines = append(lines, "authorization: "+c.authorization)
		}
		caller.send(rawRequest("GET", c.path, "id", "", lines...))
		a := caller.receive("GET")
		if a.status != c.status || (a.header.Get("Www-Authenticate") != "") != (c.status == 401) {
			t.Errorf("%s: %+v, want %d", c.name, a, c.status)
		}
		if ran := r.count() > before; ran != (c.status == 200) {
			t.Errorf("%s: ran %v", c.name, ran)
		} else if ran {
			_, h := r.last()
			told(t, h, c.workspace)
		}
	}
	d.noKeyShown(p)
}

// Guards against a deployment without workspaces whose headers change.
func TestHeadersWithoutWorkspaces(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	var r runs
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	p.call(t, "GET", "/safe/1", "", withKey("any", "Tenant", "mine"))
	if _, h := r.last(); h.Get("Authorization") != "Token any" || h.Get("Tenant") != "mine" {
		t.Errorf("the upstream got %v", h)
	}
}

// Guards against a key that is accepted for a retry although it was removed since the first
// attempt, and against a retry that shows the key.
func TestKeyRemovedBeforeRetry(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		removed   bool // during the first attempt
		mayHave   bool // run at the first attempt
		status    int
		wantTries int
	}{
		{"kept", false, false, 200, 2},
		{"removed before it ran", true, false, 401, 1},
		{"removed after it may have run", true, true, 502, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDeployment(t)
			d.route(clone(safeRoute))
			d.workspaces(tenant("north", northKey), tenant("south", southKey))
			var r runs
			var p *process
			serve := func(w http.ResponseWriter, req *http.Request) {
				if r.record(req) > 1 {
					sign(w, req)
					return
				}
				if c.removed {
					d.workspaces(tenant("north", "another"), tenant("south", southKey))
					d.inForce(p)
				}
				status(http.StatusServiceUnavailable, !c.mayHave)(w, req)
			}
			d.upstream("u1", "app", serve)
			d.upstream("u2", "app", serve)
			p = d.edge("127.0.0.1")
			p.ready(t, 2, 0)
			d.inForce(p)
			if a := p.call(t, "GET", "/safe/1", "", withKey(northKey)); a.status != c.status || r.count() != c.wantTries {
				t.Errorf("%+v after %d attempts, want %d after %d", a, r.count(), c.status, c.wantTries)
			}
			for _, h := range r.headers {
				told(t, h, "north")
			}
			d.noKeyShown(p)
		})
	}
}

// Guards against a stream that breaks off because its key was removed after it began, and
// against a resumed stream that shows the key to the next upstream.
func TestStreamOutlivesItsKey(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	d.workspaces(tenant("north", northKey))
	var r runs
	var p *process
	serve := func(w http.ResponseWriter, req *http.Request) {
		if r.record(req) > 1 {
			events(w, req, 3, 4)
			return
		}
		events(w, req, 1, 2)
		d.workspaces(tenant("north", "another"))
		d.inForce(p)
		cut(w)
	}
	d.upstream("u1", "llm", serve)
	d.upstream("u2", "llm", serve)
	p = d.edge("127.0.0.1")
	p.ready(t, 2, 0)
	d.inForce(p)
	a := p.call(t, "POST", "/resumable/1", "in", withKey(northKey, "Tenant", "south"))
	if ids := eventIDs(a.body); a.status != 200 || a.err != nil || ids != "1 2 3 4" {
		t.Errorf("%+v, events %s", a, ids)
	}
	for _, h := range r.headers {
		told(t, h, "north")
	}
	if len(r.headers) != 2 {
		t.Errorf("%d attempts", len(r.headers))
	}
	d.noKeyShown(p)
}

// Guards against a workspace whose requests have the priority of the route instead of its
// own.
func TestPriorityOfWorkspace(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	route := clone(resumable)
	route["Priority"] = 1
	d.route(route)
	north := tenant("north", northKey)
	north["Priority"] = 0
	d.workspaces(north, tenant("south", southKey))
	var r runs
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 1)
	})
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 0)
	d.inForce(p)
	for key, priority := range map[string]int{northKey: 0, southKey: 1} {
		p.call(t, "POST", "/resumable/1", "in", withKey(key))
		want := fmt.Sprint(urgencyOf(turnState{priority: priority}))
		if _, h := r.last(); h.Get("Request-Priority") != want {
			t.Errorf("%s: sent with priority %q, want %s", key, h.Get("Request-Priority"), want)
		}
	}
}
