package soak

import (
	"bufio"
	"bytes"
	"context"
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
	lostDeadline = 3 * time.Second // time budget of a request
	// answerTimeout is how long a caller waits for an answer. It covers the time
	// budget and the longest pause of an edge.
	answerTimeout = 8 * time.Second
	largeBody     = 200 << 10             // bytes
	thinkTime     = 10 * time.Millisecond // between the requests of a caller
)

// lostCaller sends requests on connections that it keeps for each edge until the edge
// closes them. It repeats nothing by itself, so that no closed connection stays hidden.
type lostCaller struct {
	l     *lostSoak
	rng   *rand.Rand
	conns map[*process]*callerConn
}

type callerConn struct {
	net.Conn
	r *bufio.Reader
}

func (l *lostSoak) newCaller(n int) *lostCaller {
	return &lostCaller{l: l, rng: rand.New(rand.NewPCG(l.seed, uint64(200+n))), conns: make(map[*process]*callerConn)}
}

func (c *lostCaller) close() {
	for e := range c.conns {
		c.drop(e)
	}
}

func (c *lostCaller) drop(e *process) {
	if conn := c.conns[e]; conn != nil {
		_ = conn.Close()
		delete(c.conns, e)
	}
}

// answer is what a caller got. Status 0: no answer had begun.
type answer struct {
	status int
	body   string
	whole  bool
	sent   bool // the whole request was sent
}

// send sends one request to an edge and waits for the whole answer.
func (c *lostCaller) send(e *process, method, path, id, body string, h map[string]string) answer {
	conn := c.conns[e]
	if conn == nil {
		raw, err := net.DialTimeout("tcp", e.caller, time.Second)
		if err != nil {
			time.Sleep(20 * time.Millisecond) // the edge is restarting
			return answer{}
		}
		conn = &callerConn{Conn: raw, r: bufio.NewReader(raw)}
		c.conns[e] = conn
	}
	var req bytes.Buffer
	fmt.Fprintf(&req, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, lostDeadline.Milliseconds())
	for k, v := range h {
		fmt.Fprintf(&req, "%s: %s\r\n", k, v)
	}
	fmt.Fprintf(&req, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, err := conn.Write(req.Bytes())
	a := answer{sent: err == nil}
	sent := time.Now()
	if err == nil {
		err = c.receive(conn, e, &a)
	}
	if err != nil {
		lost := time.Now() // at once: on a busy machine a close may take a part of a second
		c.drop(e)
		if a.sent {
			c.l.recordCut(cutRequest{id: id, edge: e, sent: sent, lost: lost, head: a.status != 0, err: err})
		}
	}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusPaymentRequired, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.l.runs.recordRefusal(id, strconv.Itoa(a.status))
	}
	c.l.count(a.status)
	c.l.countShare(e, a)
	return a
}

// receive reads an answer. The connection stays open for the next request unless the
// edge closes it.
func (c *lostCaller) receive(conn *callerConn, e *process, a *answer) error {
	resp, err := http.ReadResponse(conn.r, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	a.body = string(data)
	if err != nil {
		return err
	}
	a.whole = true
	if resp.Close {
		c.drop(e)
	}
	return nil
}

func (l *lostSoak) recordCut(r cutRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.calm = l.core.calm()
	l.cut = append(l.cut, r)
}

func (l *lostSoak) count(status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.statuses[status]++
}

func (c *lostCaller) edge() *process { return c.l.edges[c.rng.IntN(len(c.l.edges))] }

// turnResult is the outcome of a turn.
type turnResult struct {
	status, events int
	whole          bool
	turn           answeredTurn
}

// turn runs a turn that follows another one, which may have no id, at a random edge.
// budget is in tokens; 0: none.
func (c *lostCaller) turn(id string, parent answeredTurn, input string, budget int) (r turnResult) {
	time.Sleep(thinkTime)
	l, e := c.l, c.edge()
	h := map[string]string{
		"Program-Id": parent.program, "Token-Count": "10," + strconv.Itoa(eventsPerTurn*tokensPerEvent),
	}
	if budget > 0 {
		h["Token-Budget"] = strconv.Itoa(budget)
	}
	if parent.id != "" {
		h["Parent-Turn"] = parent.id
	}
	l.runs.expect(id, parent.history+input)
	l.budgetOf(parent.program).begin(id)
	a := c.send(e, http.MethodPost, "/turn/x", id, input, h)
	r = turnResult{status: a.status}
	defer func() { l.budgetOf(parent.program).end(id, r) }()
	switch a.status {
	case http.StatusNotFound, http.StatusGone:
		l.violate("%s is answered %d by %s; its parent %s was answered whole at %s by %s",
			id, a.status, e.ip, parent.id, parent.at.UTC().Format("15:04:05.000"), parent.edge)
		return r
	case http.StatusOK:
	default:
		return r
	}
	r.whole = a.whole
	for i, ev := range strings.Split(strings.TrimSuffix(a.body, "\n\n"), "\n\n") {
		if ev == fmt.Sprintf("id: %d\ndata: %s-%d", i+1, id, i+1) {
			r.events++
		} else if a.whole {
			l.violate("%s: event %d is %q", id, i+1, ev)
		}
	}
	if a.whole && r.events != eventsPerTurn {
		l.violate("%s ends as complete after %d events", id, r.events)
		return r
	}
	r.turn = answeredTurn{id: id, program: parent.program, history: parent.history + input + output(id), at: time.Now(), edge: e.ip}
	if a.whole {
		l.mu.Lock()
		l.answered = append(l.answered, r.turn)
		l.mu.Unlock()
	}
	return r
}

// runCaller runs programs until the context ends: conversations with and without a
// budget, turns that follow older ones, and single requests.
func (l *lostSoak) runCaller(ctx context.Context, n int) {
	c, second := l.newCaller(n), l.newCaller(n+300)
	defer c.close()
	defer second.close()
	for p := 0; ctx.Err() == nil; p++ {
		c.runProgram(ctx, second, fmt.Sprintf("p%d-%d", n, p))
	}
}

// runProgram runs one program. Some turns follow the same turn at the same time, so that
// several edges reserve tokens of one budget.
func (c *lostCaller) runProgram(ctx context.Context, second *lostCaller, program string) {
	last, spent, budget := answeredTurn{program: program}, 0, 0
	if c.rng.IntN(2) == 0 {
		budget = 40 + c.rng.IntN(400)
		c.l.addProgram(program, budget)
	}
	for turn := 0; turn < 8 && ctx.Err() == nil; turn++ {
		id := fmt.Sprintf("turn-%s-%d", program, turn)
		var wg sync.WaitGroup
		var other turnResult
		parallel := c.rng.IntN(4) == 0
		if parallel {
			parent := last
			wg.Go(func() { other = second.turn(id+"-b", parent, "in "+id+"-b\n", budget) })
		}
		r := c.turn(id, last, "in "+id+"\n", budget)
		wg.Wait()
		if r.status == http.StatusPaymentRequired && !parallel {
			c.checkOverBudget(id, program)
		}
		spent += (r.events + other.events) * tokensPerEvent
		if budget > 0 && spent > budget+eventsPerTurn*tokensPerEvent {
			c.l.violate("%s handed out %d tokens of a budget of %d", program, spent, budget)
		}
		if r.whole {
			last = r.turn
		}
		if a, ok := c.l.anyAnswered(c.rng); ok && c.rng.IntN(4) == 0 {
			old := fmt.Sprintf("turn-%s-%d-old", program, turn)
			c.turn(old, a, "more "+old+"\n", 0)
		}
		c.single("safe", fmt.Sprintf("safe-%s-%d", program, turn), "")
		c.single("unsafe", fmt.Sprintf("unsafe-%s-%d", program, turn), "x")
		if c.rng.IntN(10) == 0 {
			c.single("unsafe", fmt.Sprintf("unsafe-large-%s-%d", program, turn), strings.Repeat("x", largeBody))
		}
	}
}

// anyAnswered draws a turn that was answered whole.
func (l *lostSoak) anyAnswered(rng *rand.Rand) (answeredTurn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.answered) == 0 {
		return answeredTurn{}, false
	}
	a := l.answered[rng.IntN(len(l.answered))]
	return a, time.Since(a.at) < lostRetention-lostDeadline
}

// single sends a request to the safe or the unsafe route.
func (c *lostCaller) single(kind, id, body string) {
	time.Sleep(thinkTime)
	c.l.runs.expect(id, body)
	e := c.edge()
	method := http.MethodPost
	if kind == "safe" {
		method = http.MethodGet
	}
	a := c.send(e, method, "/"+kind+"/x", id, body, nil)
	if a.status == http.StatusOK && a.whole && a.body != "answer "+id {
		c.l.violate("%s got %q", id, a.body)
	}
	if a.status == http.StatusNotFound {
		c.l.violate("%s is answered 404 by %s on a route of all configurations", id, e.ip)
	}
}

// servedVersion is the newest version of the configuration that an edge has shown.
type servedVersion struct {
	version, starts int
	at              time.Time
}

// probeVersions checks until the context ends that no edge goes back to an older version
// of the configuration, and that edges in touch serve the newest one in time.
func (l *lostSoak) probeVersions(ctx context.Context) {
	c := l.newCaller(500)
	defer c.close()
	served := make(map[*process]servedVersion)
	for n := 0; ctx.Err() == nil; n++ {
		for _, e := range l.edges {
			c.probe(e, served, n)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// probe asks an edge for the newest route, and then for the newest one it has served.
func (c *lostCaller) probe(e *process, served map[*process]servedVersion, n int) {
	l := c.l
	l.mu.Lock()
	acked, ackedAt := l.acked, l.ackedAt
	l.mu.Unlock()
	starts, touch, sent := l.starts(e), l.inTouch(e), time.Now()
	if served[e].starts != starts {
		served[e] = servedVersion{starts: starts}
	}
	ask := func(version int) int {
		id := fmt.Sprintf("safe-cfg-%s-%d-%d", e.ip, n, version)
		l.runs.expect(id, "")
		return c.send(e, http.MethodGet, versionPrefix(version)+"x", id, "", nil).status
	}
	status := ask(acked)
	switch {
	case l.starts(e) != starts:
	case status == http.StatusOK:
		if served[e].version < acked {
			served[e] = servedVersion{version: acked, starts: starts, at: time.Now()}
		}
	case status == http.StatusNotFound && touch && l.inTouch(e) && sent.Sub(ackedAt) > configApplyTime:
		l.violate("%s does not serve version %d of the configuration %v after it was acknowledged", e.ip, acked, sent.Sub(ackedAt))
	}
	before := served[e]
	if before.version == 0 || before.version == acked && status != http.StatusNotFound || time.Since(before.at) < rollbackSlack {
		return
	}
	if ask(before.version) == http.StatusNotFound && l.starts(e) == starts {
		l.violate("%s goes back to a configuration before version %d", e.ip, before.version)
	}
}

// checkVersions checks that all edges serve the newest configuration.
func (l *lostSoak) checkVersions() {
	c := l.newCaller(600)
	defer c.close()
	for i, e := range l.edges {
		id := fmt.Sprintf("safe-last-%d", i)
		l.runs.expect(id, "")
		a := c.send(e, http.MethodGet, versionPrefix(l.acked)+"x", id, "", nil)
		if a.status == http.StatusNotFound {
			l.violate("%s does not serve version %d of the configuration after the recovery", e.ip, l.acked)
		}
	}
}
