package soak

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// largeTurns is the number of turns that each of turnCallers sends one after the other,
	// with inputs of largeInput bytes. Together they exceed crowdMemoryMB several times.
	largeTurns  = 40
	turnCallers = 4
	largeInput  = 1_000_000 // the limit of a body is 1 MiB
	// turnStorageMB holds all these turns, which a storage process keeps in memory.
	turnStorageMB = 1024
	turnTime      = 30 * time.Second // of one turn
)

// newTurnSite returns a site with an upstream for turns and a storage process with a memory
// limit of its own.
func newTurnSite(t *testing.T, storageMB int) *crowdSite {
	site := newCrowdSiteWith(t, build(t), crowdFDs, storageMB)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set("Response-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: ok\n\n")
	}))
	t.Cleanup(func() { up.CloseClientConnections(); up.Close() })
	site.s.store.Put(platform.KindUpstreams, "u2", map[string]any{
		"Service": "llm", "Address": strings.TrimPrefix(up.URL, "http://"), "Zone": "a1", "Slots": 8, "State": "ready", "born": 1,
	})
	return site
}

// sendTurn sends a turn on a connection that is closed afterwards, and reports whether it was
// answered whole. Every other answer is allowed.
func (site *crowdSite) sendTurn(c net.Conn, id, parent, input string) bool {
	head := fmt.Sprintf("POST /turn/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2900\r\nContent-Length: %d\r\nConnection: close\r\n", id, len(input))
	if parent != "" {
		head += "Parent-Turn: " + parent + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+input); err != nil {
		return false
	}
	answer, err := io.ReadAll(c)
	return err == nil && strings.HasPrefix(string(answer), "HTTP/1.1 200") && strings.HasSuffix(string(answer), "0\r\n\r\n")
}

// playTurns lets callers send turns one after the other on connections of their own and checks
// the memory of p. parentOf returns the turn that a caller's next one continues.
func (site *crowdSite) playTurns(p *process, parentOf func(last string) string) {
	var answered, next atomic.Int64
	site.play(p, site.edge.caller, turnCallers, crowdFDs, func(c *net.TCPConn) error {
		caller, last := next.Add(1), ""
		_ = c.Close()
		for turn := range largeTurns {
			c, err := net.DialTimeout("tcp", site.edge.caller, turnTime)
			if err != nil {
				return err
			}
			_ = c.SetDeadline(time.Now().Add(turnTime))
			id := "turn-" + strconv.FormatInt(caller, 10) + "-" + strconv.Itoa(turn)
			if site.sendTurn(c, id, parentOf(last), strings.Repeat("a", largeInput)) {
				answered.Add(1)
				last = id
			}
			_ = c.Close()
		}
		return nil
	})
	site.s.t.Logf("%d of %d turns answered whole", answered.Load(), turnCallers*largeTurns)
}

func noParent(string) string { return "" }

// Guards against turns with large inputs, inside the limits of a request, that the edge keeps in
// memory for later turns until it exceeds its own.
func TestCrowdOfLargeTurns(t *testing.T) {
	site := newTurnSite(t, turnStorageMB)
	site.playTurns(site.edge, noParent)
}

// Guards against conversations whose turns are inside the limits of a request and that become,
// read whole by the edge for each turn, larger than its memory.
func TestCrowdOfLongConversations(t *testing.T) {
	site := newTurnSite(t, turnStorageMB)
	site.playTurns(site.edge, func(last string) string { return last })
}

// Guards against the same turns at a storage process, which keeps all that it stores in memory
// until their retention time is over.
func TestCrowdOfLargeTurnsAtStorage(t *testing.T) {
	site := newTurnSite(t, crowdMemoryMB)
	site.playTurns(site.storage, noParent)
}
