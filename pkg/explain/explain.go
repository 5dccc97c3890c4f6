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

const limitReason = "upstreams at their rate limit"

// Request returns the lines that concern a request, the turn that it continues, and the
// other requests of callers for the same stream, in the order of their time. It returns none if no log has a line of the request.
func Request(id string, sources ...Source) ([]Line, error) {
	var all []Line
	for _, s := range sources {
		lines, err := read(s)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	var own []Line
	sourceOf, upstreams := map[string]bool{}, map[string]bool{}
	limited := false
	related := sameStream(id, all)
	parent := parentOf(id, all)
	if parent != "" {
		related[parent] = true
	}
	for _, l := range all {
		if !related[l.fields["id"]] {
			continue
		}
		own = append(own, l)
		sourceOf[l.Source] = true
		upstreams[l.fields["upstream"]] = true
		limited = limited || l.fields["why"] == limitReason
	}
	if len(own) == 0 {
		return nil, nil
	}
	first := slices.MinFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) }).Time
	last := slices.MaxFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) }).Time
	for _, l := range all {
		if l.Time.Before(first.Add(-before)) || l.Time.After(last) || related[l.fields["id"]] {
			continue
		}
		msg := l.fields["msg"]
		if parent != "" && aboutLedger[msg] {
			own = append(own, l)
			continue
		}
		if !sourceOf[l.Source] {
			continue
		}
		if beliefs[msg] || aboutUpstream[msg] && upstreams[l.fields["upstream"]] || limited && aboutLimits[msg] {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return own, nil
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
