package upstream

import (
	"io"
	"net/http"

	"github.com/yuccaspindle/yuccaspindle/pkg/httpcheck"
)

const (
	// maxHeadBytes limits a response head together with all interim (1xx)
	// responses before it. net/http limits chunk extensions and trailers itself.
	maxHeadBytes = 64 << 10
	// maxHeaderFields limits the header lines of a response.
	maxHeaderFields = 256
	// maxInterimResponses limits the interim (1xx) responses before the final one.
	maxInterimResponses = 8
)

// headLimitReader returns ErrHeadTooLarge after a number of bytes while the limit
// is active. Otherwise it reads without a limit.
type headLimitReader struct {
	r       io.Reader
	limited bool
	left    int // bytes until the limit
}

// Read implements io.Reader.
func (b *headLimitReader) Read(p []byte) (int, error) {
	if !b.limited {
		return b.r.Read(p)
	}
	if b.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// readHead reads the head of the final response and skips interim ones.
func (c *conn) readHead(method string) (*http.Response, error) {
	c.limiter.limited, c.limiter.left = true, maxHeadBytes
	defer func() { c.limiter.limited = false }()
	for interim := 0; interim <= maxInterimResponses; interim++ {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := httpcheck.Response(resp); err != nil {
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
		if fields > maxHeaderFields {
			return nil, ErrHeadTooLarge
		}
		return resp, nil
	}
	return nil, ErrHeadTooLarge
}
