package objectapi

import (
	"encoding/json"
	"fmt"
	"io"
)

// The JSON bodies of the protocol. []byte fields are base64 in JSON.
type (
	// WireObject is an object in an answer.
	WireObject struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	// WirePut is the body of a PUT.
	WirePut struct {
		Value []byte `json:"value"`
	}
	// WireVersion is the answer of a PUT.
	WireVersion struct {
		Key     string `json:"key"`
		Version uint64 `json:"version"`
	}
	// WireList is one page of a list.
	WireList struct {
		Objects []WireObject `json:"objects"`
		Next    string       `json:"next,omitempty"`
	}
	// WireInstances is the instance list.
	WireInstances struct {
		Instances []Instance `json:"instances"`
	}
	// WireError is the body of every answer with a status of 400 or more.
	WireError struct {
		Error struct {
			Code    string `json:"code"`
			Message string `json:"message"`
		} `json:"error"`
	}
)

// ClientHeader names the client that makes a call.
const ClientHeader = "X-Client"

// MaxBodyBytes bounds every JSON body: a page of a list holds at most
// pageBytes of values, one value more at the end, and base64 adds a third.
const MaxBodyBytes = 4_000_000

// DecodeBody reads one JSON body of at most MaxBodyBytes.
func DecodeBody(r io.Reader, v any) error {
	data, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return err
	}
	if len(data) > MaxBodyBytes {
		return fmt.Errorf("%w: body is larger than %d bytes", ErrInvalid, MaxBodyBytes)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("%w: body: %w", ErrInvalid, err)
	}
	return nil
}
