//go:build review3

package harness3

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// deadline is the time budget of a turn, from the site file.
const deadline = 3 * time.Second

// turn is one attempt of a turn as its client has seen it.
type turn struct {
	id     string
	status int // 0: none came
	events int
	whole  bool
}

// send sends a turn of a program to an edge, on a connection of its own, and reads its answer.
func (w *world) send(p *process, program string, budget, most int) turn {
	return w.sendTurn(p, program, "", budget, most, 1200)
}

// sendHistory sends a turn that continues from another one, with an input of a size.
func (w *world) sendHistory(p *process, program, parent string, size int) turn {
	return w.sendTurn(p, program, parent, 1<<20, 280, size)
}

func (w *world) sendTurn(p *process, program, parent string, budget, most, size int) turn {
	t := turn{id: fmt.Sprintf("%016x", rand.Uint64())}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.caller+"/lohu930/2f", strings.NewReader(strings.Repeat("t", size)))
	if err != nil {
		w.t.Error(err)
		return t
	}
	req.Host = "ficu95.example"
	for name, value := range map[string]string{
		"Attempt-Id": t.id, "Program-Id": program, "Session-Id": t.id[:6], "Program-Deadline-Ms": "20000", "Token-Budget": fmt.Sprint(budget),
		"Token-Count": fmt.Sprintf("600,%d", most), "Model": "m", "Prompt-Prefix": "5c1e07a2:512," + t.id[:8] + ":88", "Deadline-Ms": fmt.Sprint(deadline.Milliseconds()),
	} {
		req.Header.Set(name, value)
	}
	if parent != "" {
		req.Header.Set("Parent-Turn", parent)
	}
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer tr.CloseIdleConnections()
	resp, err := tr.RoundTrip(req)
	if err != nil {
		w.say("turn %s of program %s at %s: no answer", t.id, program, p.name)
		return t
	}
	defer resp.Body.Close()
	t.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data: ") {
			t.events++
		}
	}
	t.whole = lines.Err() == nil
	w.say("turn %s of program %s at %s: %d, %d events, whole %v", t.id, program, p.name, t.status, t.events, t.whole)
	return t
}
