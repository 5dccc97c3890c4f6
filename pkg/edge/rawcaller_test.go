package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// rawCaller is a caller on one connection. Unlike the client of net/http it never
// repeats a request, and it reports how the connection ends.
type rawCaller struct {
	t  *testing.T
	c  *net.TCPConn
	br *bufio.Reader
}

func (p *process) raw(t *testing.T) *rawCaller {
	t.Helper()
	c := p.dialCaller(t).(*net.TCPConn)
	return &rawCaller{t: t, c: c, br: bufio.NewReader(c)}
}

// rawRequest returns a request with a body of announced length.
func rawRequest(method, path, id, body string, header ...string) string {
	lines := append([]string{method + " " + path + " HTTP/1.1", "Host: h.example", "Attempt-Id: " + id}, header...)
	if body != "" {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

func (r *rawCaller) send(data string) {
	r.t.Helper()
	if _, err := io.WriteString(r.c, data); err != nil {
		r.t.Fatalf("send: %v", err)
	}
}

// receive reads the next answer.
func (r *rawCaller) receive(method string) response {
	resp, err := http.ReadResponse(r.br, &http.Request{Method: method})
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	h := resp.Header
	if resp.Close {
		h.Set("Connection", "close")
	}
	return response{status: resp.StatusCode, header: h, body: string(body), err: err}
}

// signedSuccess reports whether an answer is a complete success of an upstream.
func (a response) signedSuccess() bool {
	return a.err == nil && a.status/100 == 2 && a.header.Get("Response-Signature") != ""
}
