package edge

import (
	"math"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ratelimit"
)

// maxLimitAge bounds the age of a peer's observation, to avoid an overflow.
const maxLimitAge = 24 * time.Hour

func encodeLimits(list []ratelimit.Observation, now time.Time) []*peerv1.UpstreamLimit {
	var out []*peerv1.UpstreamLimit
	for _, o := range list {
		out = append(out, &peerv1.UpstreamLimit{
			Upstream: o.Run.ID, BornUnixMs: o.Run.StartedUnixMs, Limited: o.Reading.Limited, PerSecond: o.Reading.PerSecond,
			AgeMs: uint64(max(now.Sub(o.At), 0).Milliseconds()),
		})
	}
	return out
}

func decodeLimit(w *peerv1.UpstreamLimit, now time.Time) ratelimit.Observation {
	age := maxLimitAge
	if ms := w.GetAgeMs(); ms < uint64(maxLimitAge.Milliseconds()) {
		age = time.Duration(ms) * time.Millisecond
	}
	perSecond := w.GetPerSecond()
	if math.IsNaN(perSecond) || perSecond < 0 {
		perSecond = 0
	}
	return ratelimit.Observation{
		Run:     ratelimit.Run{ID: w.GetUpstream(), StartedUnixMs: w.GetBornUnixMs()},
		Reading: ratelimit.Reading{Limited: w.GetLimited(), PerSecond: perSecond},
		At:      now.Add(-age),
	}
}

func encodeShares(reply *peerv1.LimitShares, s ratelimit.Shares) {
	reply.Base = encodeSpan(s.Base)
	reply.Grants = make(map[string]*peerv1.LimitSpan, len(s.Grants))
	for region, span := range s.Grants {
		reply.Grants[region] = encodeSpan(span)
	}
}

func encodeSpan(s ratelimit.Span) *peerv1.LimitSpan { return &peerv1.LimitSpan{From: s.From, To: s.To} }

func decodeShares(reply *peerv1.LimitShares) ratelimit.Shares {
	s := ratelimit.Shares{Base: decodeSpan(reply.GetBase()), Grants: make(map[string]ratelimit.Span, len(reply.GetGrants()))}
	for region, span := range reply.GetGrants() {
		s.Grants[region] = decodeSpan(span)
	}
	return s
}

func decodeSpan(w *peerv1.LimitSpan) ratelimit.Span {
	return ratelimit.Span{From: w.GetFrom(), To: w.GetTo()}
}
