package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	budgetClients     = 3 // addresses of callers
	maxClientAttempts = 4 // of one request
	maxResends        = 2 // of a request that failed after all its attempts
)

// budgetAttempt is one attempt of a caller, the only record of which requests are guilty.
type budgetAttempt struct {
	id, target, body string
	streaming        bool
	edge             *process
	guilty           *guiltyRequest // nil: harmless
	key              string         // of a guilty request: path, caller and body
	deadline         time.Duration
	bodyDelay        time.Duration // until the body follows the head
	sent, done       time.Time
	runs             []*budgetRun
}

// programKind says which programs a caller names.
type programKind int

const (
	oneProgram programKind = iota
	newPrograms
	severalPrograms
	noProgram
)

func (k programKind) String() string {
	return []string{"one program", "a new program each time", "several programs", "no program"}[k]
}

// budgetRequest is what a caller sends.
type budgetRequest struct {
	route, path, body string // an empty path or body stands for the same one for all
	newBody           bool   // another body each time
	query             bool   // another query each time
	kind              programKind
	name              string // of its programs
	client            int    // its address
}

// guiltyRequest is a request that ends the upstreams that run it.
type guiltyRequest struct {
	budgetRequest
	n      int
	pause  time.Duration // between its retries
	twin   bool          // nothing distinguishes some harmless requests from it
	events bool          // upstreams send an event before they end
}

func (g *guiltyRequest) String() string {
	return fmt.Sprintf("guilty %d (/%s/%s, body %q, %v, query %t, every %v, events %t, twin %t)",
		g.n, g.route, g.path, g.body, g.kind, g.query, g.pause, g.events, g.twin)
}

// harmlessCaller sends requests that look like guilty ones.
type harmlessCaller struct {
	budgetRequest
	distinct     bool // something distinguishes its requests from all guilty ones
	sent, served int
	unserved     []string    // ids of the last attempts
	statuses     map[int]int // of all attempts
	ids          []string    // of all attempts
}

func (h *harmlessCaller) String() string {
	return fmt.Sprintf("harmless /%s/%s, body %q (new %t), %v %s, query %t", h.route, h.path, h.body, h.newBody, h.kind, h.name, h.query)
}

func (b *budgetSoak) drawGuilty(n int) *guiltyRequest {
	g := &guiltyRequest{n: n, pause: []time.Duration{200 * time.Millisecond, 900 * time.Millisecond, 3 * time.Second}[b.draw(3)]}
	g.route = []string{"safe", "unsafe", "stream", "resumable"}[b.draw(4)]
	g.path, g.name, g.client = []string{"a", "b"}[b.draw(2)], fmt.Sprint("g", n), b.draw(budgetClients)
	g.body = []string{"", "same", fmt.Sprint("body ", n)}[b.draw(3)]
	g.kind, g.query = programKind(b.draw(4)), b.draw(3) == 0
	g.events = budgetRoutes[g.route] == "streaming" && b.draw(2) == 0
	return g
}

// drawHarmless draws a caller whose requests differ from a guilty one in one property at
// most.
func (b *budgetSoak) drawHarmless(g *guiltyRequest) *harmlessCaller {
	h := &harmlessCaller{budgetRequest: g.budgetRequest, statuses: make(map[int]int)}
	h.query, h.client = g.query || b.draw(3) == 0, b.draw(budgetClients)
	switch b.draw(7) {
	case 0, 1:
		h.kind, h.name = oneProgram, fmt.Sprint("h", len(b.harmless))
	case 2:
		h.kind, h.name = newPrograms, fmt.Sprint("h", len(b.harmless))
	case 3:
		h.body, h.newBody = fmt.Sprint("other ", len(b.harmless)), b.draw(2) == 0
	case 4:
		h.path = fmt.Sprint("other", len(b.harmless))
	case 5:
		h.kind = noProgram
	case 6: // indistinguishable
		h.client = g.client
	}
	h.distinct = true
	for _, g := range b.guilty {
		if h.resembles(g) {
			h.distinct, g.twin = false, true
		}
	}
	return h
}

// resembles reports whether neither path, body nor program tell a request from a guilty
// one. A new program each time does not distinguish it from a guilty request that comes
// from several.
func (r *budgetRequest) resembles(g *guiltyRequest) bool {
	if r.route != g.route || r.path != g.path || r.body != g.body || r.newBody {
		return false
	}
	switch {
	case r.kind == noProgram || g.kind == noProgram:
		return r.kind == g.kind
	case r.kind == newPrograms:
		return g.kind == newPrograms || g.kind == severalPrograms
	case g.kind == newPrograms:
		return false
	}
	return r.name == g.name
}

// program returns the program of a request.
func (r *budgetRequest) program(rng *rand.Rand) string {
	switch r.kind {
	case newPrograms:
		return fmt.Sprintf("%s-%08x", r.name, rng.Uint32())
	case severalPrograms:
		return fmt.Sprintf("%s-%d", r.name, rng.IntN(3))
	case noProgram:
		return ""
	}
	return r.name
}

// budgetHTTP opens a connection for each attempt, from an address for each caller.
var budgetHTTP = func() (list [budgetClients]*http.Client) {
	for i := range list {
		d := &net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(10+i))}}
		list[i] = &http.Client{Transport: &http.Transport{DialContext: d.DialContext, DisableKeepAlives: true, DisableCompression: true}}
	}
	return list
}()

// slowReader delays the first byte of a body.
type slowReader struct {
	io.Reader
	delay time.Duration
}

func (r *slowReader) Read(p []byte) (int, error) {
	time.Sleep(r.delay)
	r.delay = 0
	return r.Reader.Read(p)
}

// budgetAnswer is what a caller learns from an attempt.
type budgetAnswer struct {
	status     int // 0: no whole answer
	unread     bool
	retryAfter time.Duration
}

// attempt sends a request once and waits for at most patience.
func (b *budgetSoak) attempt(ctx context.Context, a *budgetAttempt, r *budgetRequest, program string, patience time.Duration) budgetAnswer {
	method := http.MethodPost
	if r.route == "safe" {
		method = http.MethodGet
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var body io.Reader = http.NoBody
	if a.body != "" {
		body = &slowReader{Reader: strings.NewReader(a.body), delay: a.bodyDelay}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.edge.caller+a.target, body)
	if err != nil {
		b.t.Error(err)
		return budgetAnswer{}
	}
	req.Host, req.ContentLength = "h.example", int64(len(a.body))
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(a.deadline.Milliseconds(), 10))
	if program != "" {
		req.Header.Set("Program-Id", program)
	}
	a.sent = time.Now()
	b.budgetMu.Lock()
	b.attempts[a.id] = a
	b.budgetMu.Unlock()
	defer func() {
		b.budgetMu.Lock()
		a.done = time.Now()
		b.budgetMu.Unlock()
	}()
	resp, err := budgetHTTP[r.client].Do(req)
	if err != nil {
		var op *net.OpError
		return budgetAnswer{unread: errors.As(err, &op) && op.Op == "dial"}
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return budgetAnswer{}
	}
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64) // 0: there is none
	return budgetAnswer{status: resp.StatusCode, retryAfter: time.Duration(s * float64(time.Second))}
}

// newAttempt returns an attempt at another edge than the last one.
func (b *budgetSoak) newAttempt(rng *rand.Rand, r *budgetRequest, last *process, left time.Duration) *budgetAttempt {
	a := &budgetAttempt{
		id: fmt.Sprintf("%016x", rng.Uint64()), target: "/" + r.route + "/" + r.path, body: r.body,
		streaming: budgetRoutes[r.route] == "streaming", deadline: left,
	}
	if r.query {
		a.target += fmt.Sprintf("?try=%d", rng.IntN(1000))
	}
	if rng.IntN(20) == 0 {
		a.bodyDelay = min(time.Duration(rng.IntN(1000))*time.Millisecond, left/2)
	}
	for a.edge == nil || a.edge == last && len(b.edges) > 1 {
		a.edge = b.edges[rng.IntN(len(b.edges))]
	}
	return a
}

// sleep waits until a duration or the context has ended.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runGuilty repeats a guilty request until the context ends.
func (b *budgetSoak) runGuilty(ctx context.Context, g *guiltyRequest) {
	rng := rand.New(rand.NewPCG(b.seed, uint64(1000+g.n)))
	sleep(ctx, time.Duration(rng.IntN(1500))*time.Millisecond)
	var last *process
	for ctx.Err() == nil {
		deadline := time.Duration(600+rng.IntN(2400)) * time.Millisecond
		a := b.newAttempt(rng, &g.budgetRequest, last, deadline)
		program := g.program(rng)
		a.guilty, a.key = g, g.String()
		if g.kind == severalPrograms {
			a.key += " " + program
		}
		patience := deadline
		if rng.IntN(4) == 0 {
			patience = time.Duration(50+rng.IntN(350)) * time.Millisecond
		}
		last = a.edge
		answer := b.attempt(ctx, a, &g.budgetRequest, program, patience)
		sleep(ctx, max(g.pause, min(answer.retryAfter, deadline/3)))
	}
}

// runHarmless sends harmless requests until the context ends.
func (b *budgetSoak) runHarmless(ctx context.Context, h *harmlessCaller, n int) {
	rng := rand.New(rand.NewPCG(b.seed, uint64(2000+n)))
	for i := 0; ctx.Err() == nil; i++ {
		r := h.budgetRequest
		if h.newBody {
			r.body = fmt.Sprint(h.body, " ", i)
		}
		program := r.program(rng)
		served, last := false, ""
		for send := 0; send <= maxResends && !served && ctx.Err() == nil; send++ {
			if send > 0 {
				sleep(ctx, time.Duration(100+rng.IntN(300))*time.Millisecond)
			}
			served, last = b.sendHarmless(ctx, rng, h, &r, program)
		}
		if ctx.Err() != nil && !served {
			return // not finished
		}
		h.sent++
		if served {
			h.served++
		} else {
			h.unserved = append(h.unserved, last)
		}
		sleep(ctx, time.Duration(20+rng.IntN(100))*time.Millisecond)
	}
}

// sendHarmless sends a request with the attempts that a client has.
func (b *budgetSoak) sendHarmless(ctx context.Context, rng *rand.Rand, h *harmlessCaller, r *budgetRequest, program string) (served bool, id string) {
	end := time.Now().Add(time.Duration(1500+rng.IntN(1500)) * time.Millisecond)
	var last *process
	for range maxClientAttempts {
		left := time.Until(end)
		if left < 50*time.Millisecond || ctx.Err() != nil {
			break
		}
		a := b.newAttempt(rng, r, last, left)
		last, id = a.edge, a.id
		answer := b.attempt(ctx, a, r, program, left)
		h.statuses[answer.status]++
		h.ids = append(h.ids, a.id)
		wait := time.Duration(20+rng.IntN(80)) * time.Millisecond
		switch s := answer.status; {
		case s == http.StatusOK:
			return true, id
		case s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest:
			wait = max(wait, min(answer.retryAfter, time.Until(end)/3))
		case s >= 400 && s < 500:
			return false, id
		case r.route != "safe" && !answer.unread:
			return false, id
		}
		sleep(ctx, wait)
	}
	return false, id
}

const tokenCallers = 3

// runTokenPrograms runs programs with a budget, each with several lines of turns at
// different edges at the same time. Some lines go on until a turn is answered 402, and
// send two more.
func (b *budgetSoak) runTokenPrograms(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(b.seed, uint64(3000+n)))
	for p := 0; ctx.Err() == nil; p++ {
		program := tokenProgram{name: fmt.Sprintf("p%d-%d", n, p), budget: 40 + rng.IntN(400)}
		var wg sync.WaitGroup
		var mu sync.Mutex
		for line := range 1 + rng.IntN(3) {
			own, endless := rand.New(rand.NewPCG(rng.Uint64(), 1)), rng.IntN(2) == 0
			wg.Go(func() {
				delivered, refused := b.runLine(ctx, own, fmt.Sprintf("%s-%d", program.name, line), program, endless)
				mu.Lock()
				defer mu.Unlock()
				program.delivered += delivered
				program.refused += refused
			})
		}
		wg.Wait()
		b.budgetMu.Lock()
		b.tokens = append(b.tokens, program)
		b.budgetMu.Unlock()
	}
}

// runLine runs a line of turns. It returns the tokens that the caller was handed and the
// number of turns answered 402.
func (b *budgetSoak) runLine(ctx context.Context, rng *rand.Rand, line string, p tokenProgram, endless bool) (delivered, refused int) {
	parent, history := "", ""
	for turn := 0; ctx.Err() == nil && refused < 3 && (endless && turn < 60 || turn < 6); turn++ {
		id := fmt.Sprintf("turn-%s-%d", line, turn)
		input := "in " + id + "\n"
		b.runs.expect(id, history+input)
		events, status, whole := b.turn(ctx, rng, id, parent, p.name, input, p.budget)
		delivered += events * tokensPerEvent
		if whole {
			parent, history = id, history+input+output(id)
		}
		if status == http.StatusPaymentRequired {
			refused++
		}
		if !whole {
			sleep(ctx, time.Duration(100+rng.IntN(300))*time.Millisecond)
		}
	}
	return delivered, refused
}
