package storage

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// joinInterval is the pause between the steps of joining.
	joinInterval = 200 * time.Millisecond
	// replacedAfter is how long an older member of the same failure domain must
	// be out of reach before a new process takes its place while joining.
	replacedAfter = 2500 * time.Millisecond
	// goneAfter is the same for a process that has joined: longer than a
	// restart and most partitions last.
	goneAfter = 7 * time.Second
	// reachTimeout bounds the making of a connection to a member, so that one
	// that is gone is known as such within replacedAfter and one more try.
	reachTimeout = 700 * time.Millisecond
	// pullTimeout bounds the wait for each part of a member's records.
	pullTimeout = 1500 * time.Millisecond
	pingTimeout = 500 * time.Millisecond
	// pingInterval is how often older members of the failure domain are tried.
	pingInterval = time.Second
)

// join brings this process into the ledger and keeps it there.
func (s *Storage) join(ctx context.Context) {
	if s.settings.FirstStart && s.ledger.Status() == peerv1.LedgerReply_CATCHING_UP {
		if err := s.ledger.MarkComplete(ctx); err != nil {
			s.logger.Error("ledger not started", "err", err)
		}
	}
	away := newAway()
	pulled := newPulled()
	pinged := time.Now()
	for ctx.Err() == nil {
		s.step(ctx, away, pulled)
		if time.Since(pinged) >= pingInterval && s.ledger.Status() == peerv1.LedgerReply_OK {
			pinged = time.Now()
			s.dropGone(ctx, away)
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval):
		}
	}
}

// step does the next thing that is needed to be an active member.
func (s *Storage) step(ctx context.Context, away *away, pulled *pulled) {
	if _, known := s.members.others(); !known {
		return
	}
	if doubtful, total := s.ledger.CheckSuspension(); doubtful {
		s.trustAgain(ctx, total)
		return
	}
	own, registered := s.members.own()
	status := s.ledger.Status()
	switch {
	case status == peerv1.LedgerReply_LEAVING:
	case status == peerv1.LedgerReply_OK && registered && own.Removed:
		s.logger.Warn("taken out of the ledger, catching up", "node", s.settings.Node)
		s.ledger.SetRemoved()
		pulled.clear()
	case status == peerv1.LedgerReply_CATCHING_UP:
		s.catchUp(ctx, own, registered, away, pulled)
	case !registered || !own.Active || own.Address != s.settings.PeerAddress():
		s.register(ctx)
	}
}

// trustAgain reads the registrations after a suspension, in which others may have
// taken this process out of the ledger.
func (s *Storage) trustAgain(ctx context.Context, total time.Duration) {
	nodes, _, err := s.store.Load().List(ctx, platform.KindNodes)
	if err != nil {
		nodes, err = s.nodesOfEntry(ctx)
	}
	if err != nil {
		s.logger.Info("members not known after a suspension", "err", err)
		return
	}
	for _, o := range nodes {
		s.members.put(o)
	}
	if own, registered := s.members.own(); registered && own.Removed {
		s.ledger.SetRemoved()
	}
	s.ledger.ConfirmMembership(total)
	s.logger.Warn("machine was suspended, members read anew", "suspended", total)
}

func (s *Storage) register(ctx context.Context) {
	n := platform.Node{
		Role: platform.RoleStorage, Address: s.settings.PeerAddress(), FailureDomain: s.settings.FailureDomain,
		Active: true, Started: time.Now().Round(0),
	}
	if err := platform.Register(ctx, s.store.Load(), s.settings.Node, n); err != nil {
		s.logger.Debug("registration failed", "err", err)
		return
	}
	s.logger.Info("registered", "node", s.settings.Node, "address", n.Address)
	s.members.noteOwn(n)
	s.ledger.SetMember()
}

// pulled keeps the names of the members whose records were read.
type pulled struct{ usage, turns map[string]bool }

func newPulled() *pulled {
	return &pulled{usage: make(map[string]bool), turns: make(map[string]bool)}
}

func (p *pulled) clear() {
	clear(p.usage)
	clear(p.turns)
}

// catchUp reads the records of all other members, those of the budgets first,
// since no turn can begin without them. A process that was never a member, or is
// one no more, may do so without an older one of its failure domain that it
// replaces. Each member is read once, since what is written later has a majority
// without this process.
func (s *Storage) catchUp(ctx context.Context, own platform.Node, registered bool, away *away, pulled *pulled) {
	replacing := !registered || !own.Active || own.Removed
	if s.ledger.UsageStatus() != peerv1.LedgerReply_OK {
		if _, complete := s.pullPart(ctx, peerv1.Pull_USAGE, replacing, away, pulled.usage); !complete {
			return
		}
		s.ledger.SetUsageComplete()
		s.logger.Info("budgets caught up")
	}
	gone, complete := s.pullPart(ctx, peerv1.Pull_TURNS, replacing, away, pulled.turns)
	if !complete {
		return
	}
	if err := s.ledger.MarkComplete(ctx); err != nil {
		s.logger.Error("ledger not completed", "err", err)
		return
	}
	s.logger.Info("caught up", "records", len(s.ledger.Records(peerv1.Pull_ALL)))
	for _, n := range gone {
		s.remove(ctx, n)
	}
	if replacing {
		s.register(ctx)
	}
}

// pullPart reads a part of the records of the members that are not in done. It
// returns the members that this process replaces, and whether it has the part of
// all others.
func (s *Storage) pullPart(ctx context.Context, part peerv1.Pull_Part, replacing bool, away *away, done map[string]bool) (gone []platform.Node, complete bool) {
	others, _ := s.members.others()
	complete = true
	for _, n := range others {
		if done[n.Name] {
			continue
		}
		if err := s.pull(ctx, n.Address, part); err != nil {
			out := away.failed(n.Name, time.Now())
			s.logger.Info("records not received", "peer", n.Name, "address", n.Address, "part", part, "out_of_reach", out, "err", err)
			if !replacing || n.FailureDomain != s.settings.FailureDomain || out < replacedAfter {
				complete = false
				continue
			}
			gone = append(gone, n)
			continue
		}
		away.reached(n.Name)
		done[n.Name] = true
	}
	return gone, complete
}

// pull reads the records of a member that this process lacks.
func (s *Storage) pull(ctx context.Context, address string, part peerv1.Pull_Part) error {
	began := time.Now()
	dctx, cancel := context.WithTimeout(ctx, reachTimeout)
	defer cancel()
	sess, err := s.transport.Dial(dctx, address)
	if err != nil {
		return err
	}
	have := slices.Collect(maps.Keys(ledger.Digests(s.ledger.Records(part))))
	st, err := sess.Open(dctx, &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Pull{Pull: &peerv1.Pull{Have: have, Part: part}},
	}}})
	if err != nil {
		return err
	}
	defer st.Close()
	count, size := 0, 0
	for {
		if err := st.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
			return errors.Wrap(err, "set deadline")
		}
		m, err := st.Recv()
		if err != nil {
			return err
		}
		r := m.GetLedgerReply()
		count += len(r.GetRecords())
		size += proto.Size(r)
		if len(r.GetRecords()) > 0 {
			if err := s.ledger.Write(ctx, r.GetRecords()); err != nil {
				return err
			}
		}
		if !r.GetMore() {
			s.logger.Info("records received", "peer", address, "part", part, "records", count, "bytes", size, "took", time.Since(began))
			return nil
		}
	}
}

// dropGone takes older members of the failure domain out that were out of
// reach for long.
func (s *Storage) dropGone(ctx context.Context, away *away) {
	own, registered := s.members.own()
	if !registered || !own.Active {
		return
	}
	others, _ := s.members.others()
	for _, n := range others {
		if n.FailureDomain != s.settings.FailureDomain || n.Created == 0 || n.Created >= own.Created {
			continue
		}
		if err := s.ping(ctx, n.Address); err == nil {
			away.reached(n.Name)
			continue
		}
		if away.failed(n.Name, time.Now()) >= goneAfter {
			s.remove(ctx, n)
		}
	}
}

func (s *Storage) ping(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	_, err := ledger.Call(ctx, s.transport, address, &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Fetch{Fetch: &peerv1.FetchChain{}},
	})
	return err
}

// remove takes a member out of the ledger.
func (s *Storage) remove(ctx context.Context, n platform.Node) {
	store := s.store.Load()
	o, err := store.Get(ctx, platform.KindNodes, n.Name)
	if err == nil {
		n.Removed = true
		err = store.Update(ctx, platform.KindNodes, n.Name, o.Revision, n)
	}
	if err != nil {
		s.logger.Warn("member not taken out", "member", n.Name, "err", err)
		return
	}
	s.logger.Info("member taken out", "member", n.Name, "address", n.Address, "replaced_by", s.settings.Node)
}

// away keeps since when members are out of reach.
type away struct{ since map[string]time.Time }

func newAway() *away { return &away{since: make(map[string]time.Time)} }

// failed notes a failure and returns the time since the first in a row.
func (a *away) failed(name string, now time.Time) time.Duration {
	if a.since[name].IsZero() {
		a.since[name] = now
	}
	return now.Sub(a.since[name])
}

func (a *away) reached(name string) { delete(a.since, name) }
