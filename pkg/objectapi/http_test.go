package objectapi

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestInvalidResponseOfStore guards against a response of the store that is not valid HTTP and
// from which an object, its absence or an invalid request is concluded.
func TestInvalidResponseOfStore(t *testing.T) {
	const object = `{"version":1,"value":"YQ=="}`
	var response string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
			fmt.Fprint(c, response)
			_ = c.Close()
		}
	}))
	defer srv.Close()
	c, err := Dial(ClientConfig{Address: srv.URL, ReadTries: 1, Rate: 1e6, Burst: 1 << 20})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	whole := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(object), object)
	response = "HTTP/1.1 200 OK\r\n" + whole
	if o, err := c.Get(context.Background(), "a"); err != nil || string(o.Value) != "a" {
		t.Errorf("a valid response: %+v, %v", o, err)
	}
	for _, response = range []string{
		"HTTP/1.1 000 X\r\n" + whole,
		"HTTP/1.1 200 OK\r\nX Y: 1\r\n" + whole,
		"HTTP/1.1 404 Not Found\r\nX Y: 1\r\n" + whole,
		"HTTP/1.1 412 Precondition Failed\r\nContent-Length : 0\r\n\r\n",
	} {
		if o, err := c.Get(context.Background(), "a"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%q: %+v, %v", response, o, err)
		}
	}
}
