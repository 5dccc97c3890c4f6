// Package explain collects from the logs of several processes what concerns
// one request: its own lines, and the changes of upstreams and configuration
// that its decisions were based on.
package explain

import (
	"bufio"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// before is how far back changes of the upstreams, the configuration and the
// store are shown: the time in which a change has to be in force, and as much
// again.
const before = 8 * time.Second

// maxLine bounds one line of a log in bytes.
const maxLine = 1 << 20

// Source is the log of one process.
type Source struct {
	Name string
	R    io.Reader
}

// Line is one line of a log.
type Line struct {
	Source string
	Time   time.Time
	Text   string

	fields map[string]string
}

// beliefs are the events that change what a process believes.
var beliefs = map[string]bool{
	"configuration in force": true, "store lost": true, "store regained": true, "store history gone, listing again": true,
	"changes not heard of, listing again": true, "started": true, "draining": true, "settings reloaded": true,
}

// aboutUpstream are the events that name one upstream.
var aboutUpstream = map[string]bool{
	"upstream changed": true, "upstream gone": true, "upstream rate limit": true, "use of a limited upstream": true,
	"upstream has started again without a new registration": true,
}

// aboutLimits are the events that explain a refusal with the reason limitReason.
var aboutLimits = map[string]bool{
	"upstream rate limit": true, "use of a limited upstream": true, "coordinator of rate limits": true,
	"no coordinator of rate limits, using an equal share": true,
}

// aboutLedger are the events of any process that tell what became of a stored turn. They
// are shown for requests that continue a turn.
var aboutLedger = map[string]bool{
	"started": true, "ended": true, "caught up": true, "records not received": true, "ledger write failed": true,
	"taken out of the ledger": true, "member taken out": true, "retired": true, "turn only found in the memory of another edge": true,
}

// aboutCrashes are the events of any process that tell what speaks against a request, or
// no longer does. They are shown for all requests with its content.
var aboutCrashes = map[string]bool{
	"request suspected of a crash": true, "request cleared of a crash": true, "request quarantined": true,
	"lost attempt discounted": true, "request released by an operator": true,
}

// crashDetection is how long after an attempt its upstream may be found to have crashed.
const crashDetection = 30 * time.Second

const limitReason = "upstreams at their rate limit"

// story is what the lines of a request say about which other lines concern it.
type story struct {
	related      map[string]bool // ids of requests
	parent       string          // turn that the request continues; empty: none
	sources      map[string]bool
	upstreams    map[string]bool
	fingerprints map[string]bool
	limited      bool      // it was refused because of rate limits
	first, last  time.Time // of its own lines; zero: there are none
}

// Request returns the lines that concern a request, the turn that it continues, and the
// other requests of callers for the same stream, in the order of their time. It returns
// none if no log has a line of the request.
func Request(id string, sources ...Source) ([]Line, error) {
	var all []Line
	for _, s := range sources {
		lines, err := read(s)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	s := newStory(id, all)
	if s.first.IsZero() {
		return nil, nil
	}
	var list []Line
	for _, l := range all {
		if s.concerns(l) {
			list = append(list, l)
		}
	}
	slices.SortStableFunc(list, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return list, nil
}

func newStory(id string, all []Line) *story {
	s := &story{
		related: sameStream(id, all), parent: parentOf(id, all),
		sources: map[string]bool{}, upstreams: map[string]bool{}, fingerprints: map[string]bool{},
	}
	if s.parent != "" {
		s.related[s.parent] = true
	}
	for _, l := range all {
		if s.related[l.fields["id"]] {
			s.add(l)
		}
	}
	return s
}

// add takes over what a line of the request says.
func (s *story) add(l Line) {
	s.sources[l.Source] = true
	s.upstreams[l.fields["upstream"]] = true
	if fp := l.fields["fingerprint"]; fp != "" {
		s.fingerprints[fp] = true
	}
	s.limited = s.limited || l.fields["why"] == limitReason
	if s.first.IsZero() || l.Time.Before(s.first) {
		s.first = l.Time
	}
	if l.Time.After(s.last) {
		s.last = l.Time
	}
}

// concerns reports whether a line concerns the request.
func (s *story) concerns(l Line) bool {
	msg := l.fields["msg"]
	switch {
	case s.related[l.fields["id"]]:
		return true
	case aboutCrashes[msg]:
		return s.fingerprints[l.fields["fingerprint"]] && !l.Time.After(s.last.Add(crashDetection))
	case l.Time.Before(s.first.Add(-before)) || l.Time.After(s.last):
		return false
	case s.parent != "" && aboutLedger[msg]:
		return true
	case !s.sources[l.Source]:
		return false
	}
	return beliefs[msg] || aboutUpstream[msg] && s.upstreams[l.fields["upstream"]] || s.limited && aboutLimits[msg]
}

// parentOf returns the turn that a request continues; empty: none.
func parentOf(id string, lines []Line) string {
	for _, l := range lines {
		if l.fields["id"] == id && l.fields["parent"] != "" {
			return l.fields["parent"]
		}
	}
	return ""
}

// sameStream returns the ids of the request, of the one whose stream it takes up, and of
// all that take up the same stream.
func sameStream(id string, lines []Line) map[string]bool {
	origin := id
	for _, l := range lines {
		if l.fields["id"] == id && l.fields["resumes"] != "" {
			origin = l.fields["resumes"]
		}
	}
	ids := map[string]bool{id: true, origin: true}
	for _, l := range lines {
		if l.fields["resumes"] == origin {
			ids[l.fields["id"]] = true
		}
	}
	return ids
}

// read returns the lines of a log that are in its format; others, such as a
// trace of a crash, concern no request.
func read(s Source) ([]Line, error) {
	var lines []Line
	sc := bufio.NewScanner(s.R)
	sc.Buffer(nil, maxLine)
	for sc.Scan() {
		text := sc.Text()
		f := fields(text)
		at, err := time.Parse(time.RFC3339, f["time"])
		if err != nil {
			continue
		}
		lines = append(lines, Line{Source: s.Name, Time: at, Text: text, fields: f})
	}
	return lines, errors.Wrapf(sc.Err(), "read %s", s.Name)
}

// fields splits a line of key=value pairs; values with spaces are quoted.
func fields(text string) map[string]string {
	m := make(map[string]string)
	for text != "" {
		key, rest, ok := strings.Cut(text, "=")
		if !ok {
			break
		}
		var value string
		value, text = cutValue(rest)
		m[strings.TrimSpace(key)] = value
	}
	return m
}

// cutValue splits a value from the pairs behind it.
func cutValue(s string) (value, rest string) {
	if !strings.HasPrefix(s, `"`) {
		value, rest, _ = strings.Cut(s, " ")
		return value, rest
	}
	for i := 1; i < len(s); i++ {
		switch s[i] {
		case '\\':
			i++
		case '"':
			return s[1:i], strings.TrimPrefix(s[i+1:], " ")
		}
	}
	return s[1:], ""
}
