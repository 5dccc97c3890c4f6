package edge

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

// memberHolds reports whether a storage process stores a record.
func (p *process) memberHolds(t *testing.T, address string, rec *peerv1.LedgerRecord) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	digest := ledger.Digest(rec)
	r, err := ledger.Call(ctx, p.edge.transport, address, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Compare{Compare: &peerv1.Compare{Digests: []uint64{digest}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return len(r.GetMissing()) == 0
}

// TestBudgetAfterReplacement guards against a budget that is exceeded after a storage
// process was replaced: another member takes its place in a program's replica group, and
// a quorum of the new group could lack the records of the old one.
func TestBudgetAfterReplacement(t *testing.T) {
	t.Parallel()
	const members, programs = 8, 40
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	var stores []*process
	for i := range members {
		stores = append(stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir()))
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, members)
	var reserved []*peerv1.Usage
	for i := range programs {
		u := &peerv1.Usage{Program: fmt.Sprint("p", i), Attempt: 1, Tokens: 70}
		if _, err := p.edge.ledger.Reserve(t.Context(), u, 100, 0, 0); err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, u)
	}
	stores[0].stop()
	s := d.settings("127.0.0.19")
	s.DataDir, s.FirstStart = t.TempDir(), false
	d.storageWith(s)
	eventually(t, "the lost process is still a member", func() bool { return d.node(stores[0].settings).Removed })
	eventually(t, "the edge still lists the lost process", func() bool {
		return !slices.ContainsFunc(p.edge.view.Storage(), func(m ledger.Member) bool { return m.Name == stores[0].settings.Node })
	})
	p.ready(t, 1, members)
	p.checkReplicas(t, reserved)
}

// checkReplicas checks that each quorum of a program's replica group has its reservation.
func (p *process) checkReplicas(t *testing.T, reserved []*peerv1.Usage) {
	t.Helper()
	for _, u := range reserved {
		group := ledger.ReplicaGroup(p.edge.view.Storage(), u.GetProgram())
		holders := 0
		for _, m := range group {
			if p.memberHolds(t, m.Address, usageRecord(u)) {
				holders++
			}
		}
		if without, need := len(group)-holders, ledger.Majority(len(group)); without >= need {
			t.Errorf("%s: %d of %d members lack the reservation, a read needs %d", u.GetProgram(), without, len(group), need)
		}
	}
}

// staleDirectory is a list of members that is not updated.
type staleDirectory []ledger.Member

func (d staleDirectory) Storage() []ledger.Member { return d }
func (d staleDirectory) Relays() []string         { return nil }
func (d staleDirectory) ReadStorage(context.Context) ([]ledger.Member, error) {
	return d, nil
}

// TestBudgetWithStaleMembers guards against a budget that is exceeded while a storage
// process joins: an entry that has not learnt of it writes to a quorum of the old replica
// group, and a quorum of the new one could lack the record.
func TestBudgetWithStaleMembers(t *testing.T) {
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
	for i := range 2 { // not reached, so that quorums have members of a low rank, which a new member displaces
		old[i].Address = d.settings("127.0.0.20").PeerAddress()
	}
	stale := ledger.NewClient(p.edge.transport, old, 1, d.logger())
	s := d.settings("127.0.0.19")
	s.DataDir, s.FirstStart = t.TempDir(), false
	d.storageWith(s)
	p.ready(t, 1, members+1)
	var reserved []*peerv1.Usage
	for i := range programs {
		u := &peerv1.Usage{Program: fmt.Sprint("p", i), Attempt: 1, Tokens: 70}
		if _, err := stale.Reserve(t.Context(), u, 100, 0, 0); err != nil {
			t.Fatal(err)
		}
		reserved = append(reserved, u)
	}
	d.storedTurn(t, p)
	eventually(t, "the new process does not catch up", func() bool { return d.holds(s, "t1") })
	p.checkReplicas(t, reserved)
}

// storedTurn stores the turn t1 at all members.
func (d *deployment) storedTurn(t *testing.T, p *process) {
	t.Helper()
	rec := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: "t1"}}}
	for _, m := range p.edge.view.Storage() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err := ledger.Call(ctx, p.edge.transport, m.Address, &peerv1.LedgerRequest{
			Op: &peerv1.LedgerRequest_Write{Write: &peerv1.Write{Records: []*peerv1.LedgerRecord{rec}}},
		})
		cancel()
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestTurnReplicasAfterRemoval guards against a turn that keeps one replica less for good:
// a member that is not new takes an unreachable one out of the ledger.
func TestTurnReplicasAfterRemoval(t *testing.T) {
	t.Parallel()
	const members, turns = 8, 20
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	var stores []*process
	p := d.edge("127.0.0.1")
	for i := range members {
		stores = append(stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir()))
		p.ready(t, 1, i+1)
	}
	var recs []*peerv1.LedgerRecord
	for i := range turns {
		rec := &peerv1.LedgerRecord{Body: &peerv1.LedgerRecord_Turn{Turn: &peerv1.TurnRecord{Id: fmt.Sprint("t", i)}}}
		if err := p.edge.ledger.Write(t.Context(), fmt.Sprint("p", i), []*peerv1.LedgerRecord{rec}); err != nil {
			t.Fatal(err)
		}
		recs = append(recs, rec)
	}
	stores[0].stop()
	within(t, 20*time.Second, "the lost process is taken out", func() bool { return d.node(stores[0].settings).Removed })
	p.ready(t, 1, members-1)
	for _, rec := range recs {
		replicas := 0
		for _, m := range p.edge.view.Storage() {
			if p.memberHolds(t, m.Address, rec) {
				replicas++
			}
		}
		if want := ledger.Majority(ledger.ReplicationFactor); replicas < want {
			t.Errorf("%s has %d replicas, want %d or more", rec.GetTurn().GetId(), replicas, want)
		}
	}
}

// TestBudgetWhileStarting guards against a budget that is exceeded while a deployment starts
// for the first time: an entry that knows the first storage processes reserves at these, and
// those that register later form quorums without them (issue 35; seed 202 of TestLostSoak
// with 60 edges and 24 storage processes).
func TestBudgetWhileStarting(t *testing.T) {
	t.Parallel()
	const members, early, programs = 8, 2, 40
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	for i := range early {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir())
	}
	p := d.edge("127.0.0.1")
	p.ready(t, 1, early)
	reserve := func(c *ledger.Client, program int, attempt uint64) error {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := c.Reserve(ctx, &peerv1.Usage{Program: fmt.Sprint("p", program), Attempt: attempt, Tokens: 70}, 100, 0, 0)
		return err
	}
	first := ledger.NewClient(p.edge.transport, staleDirectory(p.edge.view.Storage()), 1, d.logger())
	for i := early; i < members; i++ {
		d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir())
	}
	for i := range programs {
		if err := reserve(first, i, 1); err != nil {
			t.Fatal(err)
		}
	}
	p.ready(t, 1, members)
	for i := range programs {
		if err := reserve(p.edge.ledger, i, 2); !errors.Is(err, ledger.ErrOverBudget) {
			t.Errorf("p%d: 70 more tokens of a budget of 100 with 70 reserved: %v, want %v", i, err, ledger.ErrOverBudget)
		}
	}
}

// TestSettlingWithoutOthers guards against a new member that counts for reads although it
// could not copy the usage records: reservations of others would be missed (issue 35).
func TestSettlingWithoutOthers(t *testing.T) {
	t.Parallel()
	const members, early = 5, 3 // of which one may be lost
	d := newDeployment(t)
	d.route(clone(history))
	d.upstream("u1", "llm", func(w http.ResponseWriter, req *http.Request) { events(w, req, 1, 1) })
	p := d.edge("127.0.0.1")
	var stores []*process
	for i := range members {
		stores = append(stores, d.storage(fmt.Sprintf("127.0.0.%d", 11+i), t.TempDir()))
		p.ready(t, 1, i+1)
	}
	for _, s := range stores[:early] {
		s.stop()
	}
	time.Sleep(4 * time.Second) // a second more than a new member waits before it copies
	for _, s := range stores[early:] {
		if d.counts(s.settings) {
			t.Errorf("%s counts for reads without the records of %d others", s.settings.Node, early)
		}
	}
}
