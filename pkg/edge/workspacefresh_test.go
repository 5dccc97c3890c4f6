package edge

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/attempt"
	"github.com/yuccaspindle/yuccaspindle/pkg/routing"
	"github.com/yuccaspindle/yuccaspindle/pkg/suspend"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// revocationTime is that of the users' deployments.
const revocationTime = 5 * time.Second

// failClosed starts an edge that refuses keys if it may not know of their revocation. Its
// process seems to have been stopped, or its machine suspended, for what is added to jumped.
func (d *deployment) failClosed(ip string, jumped *atomic.Int64, seeds ...string) *process {
	d.t.Helper()
	s := d.settings(ip)
	s.Seeds, s.RevocationTime = seeds, revocationTime
	e, err := New(s, d.logger())
	if err != nil {
		d.t.Fatal(err)
	}
	e.view.sinceBoot = func() time.Duration { return suspend.Now() + time.Duration(jumped.Load()) }
	return d.run(s, e, e.Run)
}

// keyDeployment returns a deployment with a route that needs a key, a public one and one
// upstream.
func keyDeployment(t *testing.T, r *runs) *deployment {
	t.Helper()
	d := newDeployment(t)
	d.route(clone(safeRoute))
	public := clone(safeRoute)
	public["Name"], public["PathPrefix"], public["Public"] = "open", "/open/", true
	d.route(public)
	d.workspaces(tenant("north", northKey))
	d.upstream("u1", "app", func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		sign(w, req)
	})
	return d
}

// Guards against an edge that accepts keys by what it knew before it was stopped or
// suspended, or cut off from the store, and against one that does not accept them again.
func TestKeysNeedACurrentConfiguration(t *testing.T) {
	t.Parallel()
	var r runs
	d := keyDeployment(t, &r)
	var jumped atomic.Int64
	p := d.failClosed("127.0.0.1", &jumped)
	p.ready(t, 1, 0)
	served := func() bool { return p.call(t, "GET", "/safe/1", "", withKey(northKey)).status == 200 }
	eventually(t, "a key is not accepted", served)
	d.store.SetDown(true)
	jumped.Add(int64(revocationTime))
	ran := r.count()
	for _, key := range []string{northKey, "unknown"} {
		a := p.call(t, "GET", "/safe/1", "", withKey(key))
		if a.status != 503 || a.header.Get("Retry-After") == "" || r.count() != ran {
			t.Errorf("key %s with an old configuration: %+v, ran %d times", key, a, r.count()-ran)
		}
	}
	if a := p.call(t, "GET", "/open/1", "", nil); a.status != 200 {
		t.Errorf("public route with an old configuration: %+v", a)
	}
	if s := p.edge.Status().Workspaces; s.AcceptsKeys || s.CheckedAgo < revocationTime {
		t.Errorf("status %+v", s)
	}
	d.store.SetDown(false)
	eventually(t, "the key is not accepted again", served)
	d.noKeyShown(p)
}

// Guards against a follower that accepts keys although neither the store nor another edge
// says that its configuration is current, and against one that is told so and does not
// accept them.
func TestFollowerNeedsACurrentConfiguration(t *testing.T) {
	t.Parallel()
	var r runs
	d := keyDeployment(t, &r)
	var jumped, none atomic.Int64
	seed := d.failClosed("127.0.0.1", &none)
	p := d.failClosed("127.0.0.2", &jumped, "127.0.0.1")
	p.ready(t, 1, 0)
	served := func() bool { return p.call(t, "GET", "/safe/1", "", withKey(northKey)).status == 200 }
	eventually(t, "the follower does not accept a key", func() bool { return p.edge.Status().Follows != "" && served() })
	jumped.Add(int64(revocationTime))
	eventually(t, "the feed is not dated again", func() bool { return p.edge.Status().Follows != "" && served() })
	d.store.SetDown(true)
	seed.stop()
	jumped.Add(int64(revocationTime))
	if a := p.call(t, "GET", "/safe/1", "", withKey(northKey)); a.status != 503 {
		t.Errorf("without the store and other edges: %+v", a)
	}
	d.store.SetDown(false)
	eventually(t, "the key is not accepted again", served)
}

// Guards against an edge without the store that refuses keys although another one can tell
// it that its configuration is current, or can give it the current one.
func TestPeerDatesTheConfiguration(t *testing.T) {
	t.Parallel()
	var r runs
	d := keyDeployment(t, &r)
	var jumped, none atomic.Int64
	p := d.failClosed("127.0.0.1", &jumped)
	other := d.failClosed("127.0.0.2", &none)
	p.ready(t, 1, 0)
	other.ready(t, 1, 0)
	eventually(t, "the edges do not know each other", func() bool { return p.edge.view.edgeCount() == 2 })
	p.edge.SetStoreAddress("127.0.0.1:1") // nobody listens there
	d.workspaces(tenant("north", northKey, "new-key"))
	jumped.Add(int64(revocationTime))
	eventually(t, "the edge does not accept a new key", func() bool {
		return p.call(t, "GET", "/safe/1", "", withKey("new-key")).status == 200
	})
}

// Guards against an attempt that is written although the configuration became too old while
// the upstream was connected to, and against an upstream that counts as failed because of it.
func TestKeyIsCheckedRightBeforeTheWrite(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(resumable))
	d.workspaces(tenant("north", northKey))
	var jumped atomic.Int64
	var r runs
	upstream := httptest.NewServer(withState(func() int64 {
		d.store.SetDown(true)
		jumped.Store(int64(revocationTime))
		return 1
	}, func(w http.ResponseWriter, req *http.Request) {
		r.record(req)
		events(w, req, 1, 1)
	}))
	t.Cleanup(upstream.Close)
	d.register("u1", "llm", upstream.Listener.Addr().String(), "ready")
	p := d.failClosed("127.0.0.1", &jumped)
	p.ready(t, 1, 0)
	eventually(t, "the configuration was not checked", p.edge.trustsKeys)
	if jumped.Load() != 0 {
		t.Fatal("the upstream was asked before the request")
	}
	if a := p.call(t, "POST", "/resumable/1", "in", withKey(northKey)); a.status != 503 || r.count() != 0 || jumped.Load() == 0 {
		t.Errorf("%+v, ran %d times", a, r.count())
	}
	for _, u := range p.edge.Status().Upstreams {
		if u.InFlight != 0 {
			t.Errorf("the upstream counts as busy: %+v", u)
		}
	}
	d.store.SetDown(false)
}

// Guards against the checks before an attempt: of the age, of the key in the table in force,
// and of none once a stream has begun.
func TestKeyBeforeAnAttempt(t *testing.T) {
	t.Parallel()
	table := func(list ...routing.Workspace) *routing.Table {
		return routing.NewTable(routing.Config{Workspaces: list, Routes: []routing.Route{{Host: "h", PathPrefix: "/"}}})
	}
	north := routing.Workspace{Name: "north", Keys: []routing.KeyDigest{routing.DigestKey(northKey)}}
	south := routing.Workspace{Name: "south", Keys: north.Keys}
	other := routing.Workspace{Name: "north", Keys: []routing.KeyDigest{routing.DigestKey("other")}}
	for _, c := range []struct {
		name  string
		age   time.Duration
		table *routing.Table // put in force; nil: none
		begun bool
		want  keyResult
	}{
		{"nothing changes", time.Second, nil, false, keyAccepted},
		{"too old", 4 * time.Second, nil, false, keyNotCurrent},
		{"too old, stream has begun", 4 * time.Second, nil, true, keyAccepted},
		{"key revoked", time.Second, table(other), false, keyRevoked},
		{"key revoked, too old", 4 * time.Second, table(other), false, keyNotCurrent},
		{"key revoked, stream has begun", time.Second, table(other), true, keyAccepted},
		{"key moved", time.Second, table(south), false, keyMoved},
		{"same key in a new table", time.Second, table(north, routing.Workspace{Name: "x"}), false, keyAccepted},
		{"no workspaces any more", 4 * time.Second, table(), false, keyAccepted},
	} {
		now := time.Hour
		e := &Edge{metrics: newMetrics()}
		e.logger = (&deployment{log: &testLog{}}).logger()
		e.view = &view{e: e, configFreshness: configFreshness{keyLimit: 3400 * time.Millisecond, sinceBoot: func() time.Duration { return now }}}
		e.view.checked.Record(now)
		first := table(north)
		e.view.table.Store(first)
		call := &call{
			e: e, r: httptest.NewRequest("GET", "http://h/x", nil), req: platform.Request{Key: northKey},
			table: first, route: first.Match("h", "/x"), tracker: attempt.New(attempt.Request{}),
		}
		if got := call.checkKey(first); got != keyAccepted {
			t.Fatalf("%s: the request is not accepted at first: %v", c.name, got)
		}
		now += c.age
		if c.table != nil {
			e.view.table.Store(c.table)
		}
		call.headSent = c.begun
		got := keyAccepted
		if u, ok := call.mayWrite().(*unwrittenError); ok {
			got = u.result
		}
		if got != c.want || call.recheckKey() != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
