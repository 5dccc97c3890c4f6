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

// pullProgress holds the names of the members whose usage records and turns have
// been copied, and whether these members had all their records.
type pullProgress struct{ usage, turns map[string]bool }

func newPullProgress() *pullProgress {
	return &pullProgress{usage: make(map[string]bool), turns: make(map[string]bool)}
}

func (p *pullProgress) clear() {
	clear(p.usage)
	clear(p.turns)
}

// pullFromOthers copies a part of the records, usage, turns or both, from the members
// that are not in done. It returns the members that are unreachable, and whether this
// process has all records of the part that were ever acknowledged.
func (j *joiner) pullFromOthers(ctx context.Context, part peerv1.Pull_Part, joining bool, done map[string]bool) (unreachable []platform.Node, complete bool) {
	s := j.s
	others, _ := s.members.others()
	delay := memberReplaceDelay
	if joining {
		delay = joiningReplaceDelay
	}
	waits := false
	for _, n := range others {
		if _, copied := done[n.Name]; copied {
			continue
		}
		whole, err := s.pullFrom(ctx, n.Address, part)
		if err == nil {
			j.outages.recordSuccess(n.Name)
			done[n.Name] = whole
			continue
		}
		outage := j.outages.recordFailure(n.Name, time.Now())
		s.logger.Info("records not received", "peer", n.Name, "address", n.Address, "part", part, "out_of_reach", outage, "err", err)
		unreachable = append(unreachable, n)
		waits = waits || outage < delay
	}
	switch {
	case len(unreachable) == 0:
		return nil, true
	case waits:
		return nil, false
	}
	if lost := len(unreachable) + forgetIncomplete(done); !s.mayLack(lost, len(others), !joining && !s.ledger.Kept()) {
		s.logger.Warn("too many members without their records to go on", "members", len(others), "unreachable", len(unreachable), "without_records", lost)
		return nil, false
	}
	return unreachable, true
}

// forgetIncomplete removes the members that did not have all their records when they were
// read, so that they are read again, and returns their number.
func forgetIncomplete(done map[string]bool) int {
	before := len(done)
	maps.DeleteFunc(done, func(_ string, whole bool) bool { return !whole })
	return before - len(done)
}

// mayLack reports whether each acknowledged record is at another member if lost ones of
// others lack theirs. ownLost is set for a member that has lost its own: these count, too, but
// not among the records of a list without it.
func (s *Storage) mayLack(lost, others int, ownLost bool) bool {
	return lost < s.replicas(others) && (!ownLost || lost+1 < s.replicas(others+1))
}

// pullFrom copies from a member the records that this process lacks. It reports whether the
// member has all records that it ever acknowledged.
func (s *Storage) pullFrom(ctx context.Context, address string, part peerv1.Pull_Part) (whole bool, err error) {
	start := time.Now()
	connectCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	sess, err := s.transport.Dial(connectCtx, address)
	if err != nil {
		return false, err
	}
	have := slices.Collect(maps.Keys(ledger.Digests(s.ledger.Records(part))))
	st, err := sess.Open(connectCtx, &peerv1.Envelope{Body: &peerv1.Envelope_LedgerRequest{LedgerRequest: &peerv1.LedgerRequest{
		Op: &peerv1.LedgerRequest_Pull{Pull: &peerv1.Pull{Have: have, Part: part}},
	}}})
	if err != nil {
		return false, err
	}
	defer st.Close()
	count, size := 0, 0
	for {
		if err := st.SetDeadline(time.Now().Add(pullTimeout)); err != nil {
			return false, errors.Wrap(err, "set deadline")
		}
		m, err := st.Recv()
		if err != nil {
			return false, err
		}
		r := m.GetLedgerReply()
		count += len(r.GetRecords())
		size += proto.Size(r)
		if len(r.GetRecords()) > 0 {
			if err := s.ledger.Write(ctx, r.GetRecords()); err != nil {
				return false, err
			}
		}
		if !r.GetMore() {
			s.logger.Info("records received", "peer", address, "part", part, "records", count, "bytes", size, "took", time.Since(start))
			return r.GetKept() || r.GetStatus() != peerv1.LedgerReply_CATCHING_UP, nil
		}
	}
}
