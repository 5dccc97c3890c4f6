package sidecar

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

var errObject = errors.New("request body is not a JSON object")

// member is one member of the top level of an object.
type member struct {
	key        string
	start, end int // of the member in the body
	value      int // start of the value
}

// engineFields are the fields that the sidecar sets; the caller's are dropped,
// in any case of letters, since decoders differ in that and in the choice
// among repeated members.
var engineFields = []string{"request_id", "stream", "priority", "program", "max_tokens"}

// engineRequest sets the engine's fields in the caller's request and returns
// the limit of generated tokens. It copies the other members without decoding
// them: a long history is a megabyte, and decoding it takes many times the
// sidecar's share of the time to the first token.
func engineRequest(d *peerv1.Dispatch) ([]byte, int64, error) {
	members, err := scanObject(d.Body)
	if err != nil {
		return nil, 0, err
	}
	limit := d.MaxTokens
	for _, m := range members {
		if !strings.EqualFold(m.key, "max_tokens") {
			continue
		}
		var asked int64
		if err := json.Unmarshal(d.Body[m.value:m.end], &asked); err != nil {
			return nil, 0, errors.Wrap(err, "max_tokens")
		}
		if asked > 0 && (limit <= 0 || asked < limit) {
			limit = asked
		}
	}
	own := struct {
		RequestID string `json:"request_id"`
		Stream    bool   `json:"stream"`
		Priority  int64  `json:"priority"`
		Program   string `json:"program"`
		MaxTokens int64  `json:"max_tokens,omitempty"`
	}{d.Attempt, true, d.Priority, d.Program, max(limit, 0)}
	head, err := json.Marshal(own)
	if err != nil {
		return nil, 0, err
	}
	out := make([]byte, 0, len(head)+len(d.Body)+len(members))
	out = append(out, head[:len(head)-1]...)
	for _, m := range members {
		if !isEngineField(m.key) {
			out = append(out, ',')
			out = append(out, d.Body[m.start:m.end]...)
		}
	}
	return append(out, '}'), limit, nil
}

func isEngineField(key string) bool {
	for _, f := range engineFields {
		if strings.EqualFold(f, key) {
			return true
		}
	}
	return false
}

// scanObject finds the members of an object's top level. It checks the
// structure only; the engine checks the values.
func scanObject(b []byte) ([]member, error) {
	i := skipSpace(b, 0)
	if i >= len(b) || b[i] != '{' {
		return nil, errObject
	}
	var list []member
	for i = skipSpace(b, i+1); i < len(b) && b[i] != '}'; {
		m := member{start: i}
		end := skipString(b, i)
		if end < 0 {
			return nil, errObject
		}
		if err := json.Unmarshal(b[i:end], &m.key); err != nil {
			return nil, errObject
		}
		i = skipSpace(b, end)
		if i >= len(b) || b[i] != ':' {
			return nil, errObject
		}
		m.value = skipSpace(b, i+1)
		if m.end = skipValue(b, m.value); m.end < 0 {
			return nil, errObject
		}
		list = append(list, m)
		i = skipSpace(b, m.end)
		if i < len(b) && b[i] == ',' {
			if i = skipSpace(b, i+1); i < len(b) && b[i] == '}' {
				return nil, errObject
			}
		} else if i >= len(b) || b[i] != '}' {
			return nil, errObject
		}
	}
	if i >= len(b) || skipSpace(b, i+1) != len(b) {
		return nil, errObject
	}
	return list, nil
}

func skipSpace(b []byte, i int) int {
	for i < len(b) && (b[i] == ' ' || b[i] == '\n' || b[i] == '\t' || b[i] == '\r') {
		i++
	}
	return i
}

// skipString returns the position after the string at i, or -1.
func skipString(b []byte, i int) int {
	if i >= len(b) || b[i] != '"' {
		return -1
	}
	for i++; ; {
		n := bytes.IndexByte(b[i:], '"')
		if n < 0 {
			return -1
		}
		end := i + n
		escapes := 0
		for k := end - 1; k >= i && b[k] == '\\'; k-- {
			escapes++
		}
		i = end + 1
		if escapes%2 == 0 {
			return i
		}
	}
}

// skipValue returns the position after the value at i, or -1.
func skipValue(b []byte, i int) int {
	if i >= len(b) {
		return -1
	}
	if b[i] == '"' {
		return skipString(b, i)
	}
	if b[i] != '{' && b[i] != '[' {
		n := bytes.IndexAny(b[i:], ",}] \t\r\n")
		if n <= 0 {
			return -1
		}
		return i + n
	}
	for depth := 0; i < len(b); {
		switch b[i] {
		case '"':
			if i = skipString(b, i); i < 0 {
				return -1
			}
			continue
		case '{', '[':
			depth++
		case '}', ']':
			if depth--; depth == 0 {
				return i + 1
			}
		}
		i++
	}
	return -1
}
