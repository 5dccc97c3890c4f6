package httpcheck

import (
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// ErrFieldName means that the name of a field in the head or the trailer of a response is not
// valid. A field that frames the body may be one of them, so its body may be any.
var ErrFieldName = errors.New("response has a field with an invalid name")

// separators are the visible characters that the name of a field can't hold.
const separators = `"(),/:;<=>?@[\]{}`

// ValidFieldName reports whether a name is a token (RFC 9110, section 5.6.2). The parser of
// net/http lets blanks pass.
func ValidFieldName(name string) bool {
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(separators, r) }
	return name != "" && !strings.ContainsFunc(name, invalid)
}

// Response checks the head of a response and prepares its body, which returns ErrFieldName in
// place of io.EOF if a field of the trailer has an invalid name. It returns ErrStatus or
// ErrFieldName.
func Response(resp *http.Response) error {
	if !ValidStatus(resp.StatusCode) {
		return errors.Wrapf(ErrStatus, "%d", resp.StatusCode)
	}
	if err := checkFields(resp.Header); err != nil {
		return err
	}
	if len(resp.TransferEncoding) > 0 { // only a chunked body has a trailer
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	}
	return nil
}

// IsInvalid reports whether an error is one that Response, or a body that it prepared, returns.
func IsInvalid(err error) bool { return errors.Is(err, ErrStatus) || errors.Is(err, ErrFieldName) }

// checkFields checks the names of fields. Those without a value were only announced.
func checkFields(h http.Header) error {
	for name, values := range h {
		if len(values) > 0 && !ValidFieldName(name) {
			return errors.Wrapf(ErrFieldName, "%q", name)
		}
	}
	return nil
}

// checkedBody is the body of a response whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if ferr := checkFields(b.resp.Trailer); ferr != nil {
		return n, ferr
	}
	return n, io.EOF
}
