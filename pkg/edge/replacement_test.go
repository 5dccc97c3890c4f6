package edge

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

// spreadStorages starts storage processes in the given failure domains, one after the
// other. Each one is newer than those before it.
func (d *deployment) spreadStorages(t *testing.T, p *process, disksToLose int, domains ...string) []*process {
	t.Helper()
	var list []*process
	for i, domain := range domains {
		s := d.settings(fmt.Sprintf("127.0.0.%d", 11+i))
		s.DataDir, s.FailureDomain, s.DisksToLose = t.TempDir(), domain, disksToLose
		list = append(list, d.storageWith(s))
		p.ready(t, 1, i+1)
	}
	return list
}

// loseRegistration puts a proxy in front of the store that loses the answer to the first
// registration of a node, which the store has stored. It returns the proxy's address.
func (d *deployment) loseRegistration(node string) (address string, lost *atomic.Bool) {
	lost = &atomic.Bool{}
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			rec := httptest.NewRecorder()
			d.store.ServeHTTP(rec, req)
			if _, _, stored := d.store.Get(platform.KindNodes, node); stored && !lost.Swap(true) {
				reset(w)
				return
			}
			w.WriteHeader(rec.Code)
			_, _ = w.Write(rec.Body.Bytes())
			return
		}
		d.store.ServeHTTP(w, req)
	}))
	d.t.Cleanup(func() { srv.CloseClientConnections(); srv.Close() })
	return strings.TrimPrefix(srv.URL, "http://"), lost
}

// TestReplacementWithLostAnswer guards against a storage process that never finishes joining,
// and a lost member that stays in the ledger, because the store's answer to the registration
// was lost: all turns with a budget are refused from then on (issue 32).
func TestReplacementWithLostAnswer(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	p := d.edge("127.0.0.1")
	stores := d.spreadStorages(t, p, 1, "a1", "a2", "a3")
	stores[0].stop()
	s := d.settings("127.0.0.19")
	s.DataDir, s.FirstStart = t.TempDir(), false
	address, lost := d.loseRegistration(s.Node)
	s.StoreAddress = address
	d.storageWith(s)
	eventually(t, "the new process does not register", lost.Load)
	within(t, 15*time.Second, "the lost process is taken out", func() bool { return d.node(stores[0].settings).Removed })
	if _, err := p.edge.ledger.Reserve(t.Context(), &peerv1.Usage{Program: "p", Attempt: 1, Tokens: 70}, 100, 0, 0); err != nil {
		t.Error(err)
	}
}

// TestTwoLostInTwoDomains guards against members that stay in the ledger for good because
// the process that would take one out waits for the records of the other (issue 32).
func TestTwoLostInTwoDomains(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	p := d.edge("127.0.0.1")
	stores := d.spreadStorages(t, p, 2, "a1", "a2", "a3", "a1", "a2", "a3")
	stores[0].stop()
	stores[1].stop()
	for _, lost := range stores[:2] {
		within(t, 20*time.Second, "the lost processes are taken out", func() bool { return d.node(lost.settings).Removed })
	}
}

// TestBudgetWithTwoJoining guards against a budget that is exceeded after two processes have
// joined a small ledger at once: an entry that has not learnt of them writes to a quorum of
// the old members, and the two form a quorum with one that lacks the record (issue 32).
func TestBudgetWithTwoJoining(t *testing.T) {
	t.Parallel()
	const members, programs = 3, 10
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	d.storages()
	p := d.edge("127.0.0.1")
	p.ready(t, 1, members)
	old := staleDirectory(p.edge.view.Storage())
	old[0].Address = d.settings("127.0.0.20").PeerAddress() // not reached
	stale := ledger.NewClient(p.edge.transport, old, 1, d.logger())
	var joining []*platform.Settings
	for _, ip := range []string{"127.0.0.18", "127.0.0.19"} {
		s := d.settings(ip)
		s.DataDir, s.FirstStart = t.TempDir(), false
		d.storageWith(s)
		joining = append(joining, s)
	}
	p.ready(t, 1, members+len(joining))
	var reserved []*peerv1.Usage
	for i := range programs {
		u := &peerv1.Usage{Program: fmt.Sprint("p", i), Attempt: 1, Tokens: 70}
		if _, err := stale.Reserve(t.Context(), u, 100, 0, 0); err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, u)
	}
	d.storedTurn(t, p)
	for _, s := range joining {
		eventually(t, "a new process does not catch up", func() bool { return d.holds(s, "t1") })
	}
	p.checkReplicas(t, reserved)
}

// TestKilledWhileSettling guards against a budget that is exceeded because a storage process
// ends and starts again right after its registration: it must not count for reads before it
// has copied the usage records again (issue 32).
func TestKilledWhileSettling(t *testing.T) {
	t.Parallel()
	const members, programs = 8, 60
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	for i := range members {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir())
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, members)
	old := staleDirectory(p.edge.view.Storage())
	for i := range 2 { // not reached, so that quorums have members of a low rank
		old[i].Address = d.settings("127.0.0.20").PeerAddress()
	}
	stale := ledger.NewClient(p.edge.transport, old, 1, d.logger())
	s := d.settings("127.0.0.19")
	s.DataDir, s.FirstStart = t.TempDir(), false
	joining := d.storageWith(s)
	p.ready(t, 1, members+1)
	joining.stop()
	d.storageWith(s)
	time.Sleep(1500 * time.Millisecond) // less than an entry may need to learn of a member
	var reserved []*peerv1.Usage
	for i := range programs {
		u := &peerv1.Usage{Program: fmt.Sprint("p", i), Attempt: 1, Tokens: 70}
		if _, err := stale.Reserve(t.Context(), u, 100, 0, 0); err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, u)
	}
	d.storedTurn(t, p)
	eventually(t, "the new process does not count for reads", func() bool { return d.holds(s, "t1") })
	p.checkReplicas(t, reserved)
}

// TestReturnedAndKilledWhileSettling guards against a budget that is exceeded because a
// removed member returns, and ends and starts again right after its registration: the mark
// of a complete log that is left on its disk must not make it count for reads before it has
// copied the usage records again (issue 32).
func TestReturnedAndKilledWhileSettling(t *testing.T) {
	t.Parallel()
	const members, programs = 8, 60
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	for i := range members {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir())
	}
	returning := d.storage("127.0.0.19", t.TempDir())
	p := d.edge("127.0.0.1")
	p.ready(t, 1, members+1)
	returning.stop()
	n := d.node(returning.settings)
	n.Removed = true
	d.store.Put(platform.KindNodes, returning.settings.Node, n)
	p.ready(t, 1, members)
	old := staleDirectory(p.edge.view.Storage())
	for i := range 2 { // not reached, so that quorums have members of a low rank
		old[i].Address = d.settings("127.0.0.20").PeerAddress()
	}
	stale := ledger.NewClient(p.edge.transport, old, 1, d.logger())
	s := returning.settings
	s.FirstStart = false
	returned := d.storageWith(s)
	p.ready(t, 1, members+1)
	returned.stop()
	d.storageWith(s)
	time.Sleep(1500 * time.Millisecond) // less than an entry may need to learn of a member
	var reserved []*peerv1.Usage
	for i := range programs {
		u := &peerv1.Usage{Program: fmt.Sprint("p", i), Attempt: 1, Tokens: 70}
		if _, err := stale.Reserve(t.Context(), u, 100, 0, 0); err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, u)
	}
	d.storedTurn(t, p)
	eventually(t, "the returned process does not count for reads", func() bool { return d.holds(s, "t1") })
	p.checkReplicas(t, reserved)
}

// TestReplacementWaitsForMemberThatIsDown guards against a turn that is lost because a new
// process takes the places of two members at once, one lost for good and one only down:
// the two may be all that have a record (issue 32; seed 136 of TestLostSoak).
func TestReplacementWaitsForMemberThatIsDown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	dirs := []string{t.TempDir(), t.TempDir(), t.TempDir()}
	var stores []*process
	for i, dir := range dirs {
		stores = append(stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), dir))
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, 3)
	restart := func(i int) {
		s := *stores[i].settings
		s.FirstStart = false
		d.storageWith(&s)
	}
	stores[2].stop()
	if a := sendTurn(t, p, "t1", "", "A", 10000); a.status != http.StatusOK {
		t.Fatalf("%+v", a)
	}
	restart(2)
	stores[0].stop() // for good
	stores[1].stop()
	s := d.settings("127.0.0.14")
	s.DataDir, s.FirstStart = t.TempDir(), false
	d.storageWith(s)
	time.Sleep(5 * time.Second) // twice the time after which a new process replaces a lost one
	if d.node(stores[1].settings).Removed {
		t.Error("a member that is only down was taken out together with a lost one")
	}
	restart(1)
	eventually(t, "the new process does not get the turn", func() bool { return d.holds(s, "t1") })
}
