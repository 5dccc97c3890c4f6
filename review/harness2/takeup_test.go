//go:build review2

package harness2

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case "takeup": an edge is killed while it serves streams of a route that keeps its history and
// may be resumed. Their clients take the streams up at other edges, as they may, and none goes on.

const (
	takeUps        = 24 // streams of each route; the rule needs 12
	takeUpTries    = 3
	chatEvents     = 8
	chatGap        = 100 * time.Millisecond
	takeUpKillTime = 450 * time.Millisecond // after the streams were sent
)

// chatStream is one stream of a client over its attempts.
type chatStream struct {
	path, key string
	first     string // attempt that brought the first event
	last      int    // event
	whole     bool
	wentOn    bool
	statuses  []string
}

// serveChat writes the events of a stream from the one after Last-Event-Id on.
func serveChat(rw http.ResponseWriter, r *http.Request, body string) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	key := strings.TrimSpace(body)
	for i := from + 1; i <= chatEvents; i++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", i, key, i)
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
		time.Sleep(chatGap)
	}
}

// attempt sends the stream to an edge and reads it to its end.
func (s *chatStream) attempt(w *world, e *process, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.frontend+s.path, strings.NewReader(s.key+"\n"))
	if err != nil {
		return err
	}
	req.Host = host
	h := req.Header
	h.Set("Attempt-Id", id)
	h.Set("Program-Id", "p"+s.key)
	h.Set("Session-Id", "s"+s.key)
	h.Set("Program-Deadline-Ms", "30000")
	h.Set("Deadline-Ms", "4000")
	h.Set("Model", "m")
	h.Set("Token-Count", fmt.Sprintf("1000,%d", chatEvents*chunkTokens))
	h.Set("Token-Budget", "2240")
	takesUp := s.first != ""
	if takesUp {
		h.Set("Last-Event-Id", strconv.Itoa(s.last))
		h.Set("Resumes", s.first)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := c.Do(req)
	if err != nil {
		s.statuses = append(s.statuses, "no answer")
		return err
	}
	defer resp.Body.Close()
	s.statuses = append(s.statuses, strconv.Itoa(resp.StatusCode))
	if resp.StatusCode != http.StatusOK {
		wait, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		time.Sleep(min(time.Duration(wait*float64(time.Second)), time.Second))
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		number, ok := strings.CutPrefix(lines.Text(), "id: ")
		if !ok {
			continue
		}
		if !takesUp && s.first == "" {
			s.first = id
		}
		s.last, _ = strconv.Atoi(number)
		s.wentOn = s.wentOn || takesUp
	}
	s.whole = lines.Err() == nil && s.last == chatEvents
	return lines.Err()
}

func takeUpWithHistory(rec *record) int {
	w, err := newWorld(rec, config(60, 5*time.Second))
	if err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	defer w.stop()
	if err := w.startAll(); err != nil {
		rec.line("cannot run: %v", err)
		return cannotRun
	}
	time.Sleep(8 * time.Second) // traffic starts 10 s after the machines do
	var kept, plain []*chatStream
	for i := range takeUps {
		kept = append(kept, &chatStream{path: "/chat/x", key: fmt.Sprintf("kept%02d", i)})
		plain = append(plain, &chatStream{path: "/talk/x", key: fmt.Sprintf("plain%02d", i)})
	}
	all := append(append([]*chatStream{}, kept...), plain...)
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Go(func() {
			err := s.attempt(w, w.edges[0], s.key+"-0")
			rec.line("%s-0 sent to %s: first event by %q, last event %d, whole %v, %v, %v", s.key, w.edges[0].name, s.first, s.last, s.whole, s.statuses, err)
			for try := 1; !s.whole && s.first != "" && try <= takeUpTries; try++ {
				e := w.edges[1+(try+len(s.key))%(edgeCount-1)]
				id := fmt.Sprintf("%s-%d", s.key, try)
				err := s.attempt(w, e, id)
				rec.line("%s takes up %s after a broken channel at %s: last event %d, went on %v, whole %v, %v, %v", id, s.first, e.name, s.last, s.wentOn, s.whole, s.statuses, err)
			}
		})
	}
	if w.trouble {
		time.Sleep(takeUpKillTime)
		rec.line("%s is killed", w.edges[0].name)
		w.edges[0].signal(syscall.SIGKILL)
		w.edges[0].waitEnd(time.Second)
	}
	wg.Wait()
	begun, asked := 0, takeUps
	for i := range takeUps {
		s := &chatStream{path: "/chat/x", key: fmt.Sprintf("new%02d", i)}
		err := s.attempt(w, w.edges[1+i%(edgeCount-1)], s.key+"-0")
		if s.first != "" {
			begun++
		}
		if i < 3 || err != nil {
			rec.line("new stream %s: whole %v, %v, %v", s.key, s.whole, s.statuses, err)
		}
	}
	count := func(list []*chatStream) (taken, wentOn int) {
		for _, s := range list {
			if s.first != "" && (len(s.statuses) > 1 || !s.whole) {
				taken++
				if s.wentOn {
					wentOn++
				}
			}
		}
		return taken, wentOn
	}
	taken, wentOn := count(kept)
	plainTaken, plainWentOn := count(plain)
	rec.line("route with history: %d streams taken up, %d went on; without history: %d and %d; new streams: %d of %d began", taken, wentOn, plainTaken, plainWentOn, begun, asked)
	switch {
	case w.trouble && taken < 12:
		rec.line("cannot judge: too few streams were taken up")
		return cannotRun
	case taken >= 12 && 2*wentOn*asked < begun*taken:
		rec.line("RULE BROKEN: LOST")
		return broken
	}
	rec.line("RULE HELD")
	return held
}
