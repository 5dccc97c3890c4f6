package upstream

import (
	"io"
	"net/http"
)

const (
	// maxHead bounds the head of an answer with all interim answers before it, in
	// bytes. net/http bounds chunk extensions and trailers itself.
	maxHead = 64 << 10
	// maxHeadFields bounds the header lines of an answer.
	maxHeadFields = 256
	// maxInterim bounds the interim answers before the final one.
	maxInterim = 8
)

// boundedReader fails with ErrHeadTooLarge once more was read than is left of a
// bound. Without a bound it reads on.
type boundedReader struct {
	r       io.Reader
	bounded bool
	left    int // bytes
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if !b.bounded {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// readHead reads the head of the final answer.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.bound.bounded, c.bound.left = true, maxHead
	defer func() { c.bound.bounded = false }()
	for interim := 0; interim <= maxInterim; interim++ {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, ErrProtocolSwitch
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		if fields > maxHeadFields {
			return nil, ErrHeadTooLarge
		}
		return resp, nil
	}
	return nil, ErrHeadTooLarge
}
