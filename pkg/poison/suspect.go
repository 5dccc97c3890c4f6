package poison

import (
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// Suspect describes a request that was in flight at a crash and is not cleared.
type Suspect struct {
	Fingerprint identity.Content `json:"fingerprint"`
	Caller      identity.Caller  `json:"caller"`
	Crashes     int              `json:"crashes"`
	Upstreams   []string         `json:"upstreams"` // that crashed with the request in flight
	Until       time.Time        `json:"until"`     // end of the quarantine; zero: not quarantined
}

// Suspects returns all suspects, sorted by fingerprint and caller.
func (set *EvidenceSet) Suspects(now time.Time) []Suspect {
	var list []Suspect
	for _, q := range set.sortedRequests() {
		v := set.Restriction(q, now)
		if v.Crashes == 0 {
			continue
		}
		s := Suspect{Fingerprint: q.Content, Caller: q.Caller, Crashes: v.Crashes, Until: v.Until}
		for _, run := range set.requests[q].sortedRuns() {
			if set.requests[q].crashes[run].isCrash() {
				s.Upstreams = append(s.Upstreams, run.ID)
			}
		}
		list = append(list, s)
	}
	return list
}
