package sidecar

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
)

// Guards against a caller that overrides the sidecar's fields, and against a
// request that is changed in any other way.
func FuzzEngineRequest(f *testing.F) {
	f.Add([]byte(`{"messages":[{"role":"user","content":"a \"b\\" }],"stream":false, "max_tokens" : 7}`))
	f.Add([]byte(`{"Stream":false,"str\u0065am":0,"a":[1,{"b":"]}"}],"request_id":"x","x":null}`))
	f.Add([]byte(` { } `))
	f.Fuzz(func(t *testing.T, in []byte) {
		out, limit, err := engineRequest(&peerv1.Dispatch{Attempt: "id", Program: "p", Priority: 2, MaxTokens: 50, Body: in})
		var want map[string]json.RawMessage
		if json.Unmarshal(in, &want) != nil || want == nil {
			return // whatever the engine makes of it
		}
		if err != nil {
			if strings.Contains(err.Error(), "max_tokens") {
				return
			}
			t.Fatalf("valid object refused: %v", err)
		}
		var got map[string]json.RawMessage
		if err := json.Unmarshal(out, &got); err != nil {
			t.Fatalf("%q: %v", out, err)
		}
		for k := range want {
			if isEngineField(k) {
				delete(want, k)
			}
		}
		for k, v := range map[string]string{"request_id": `"id"`, "stream": "true", "priority": "2", "program": `"p"`, "max_tokens": fmt.Sprint(limit)} {
			want[k] = json.RawMessage(v)
		}
		if !reflect.DeepEqual(got, want) || limit > 50 || limit < 1 {
			t.Fatalf("limit %d, got %s, want %s", limit, got, want)
		}
	})
}

// Guards against broken bodies that reach the engine in another form.
func TestBrokenRequestBodies(t *testing.T) {
	for _, in := range []string{"", "[]", "null", `{"a"}`, `{"a":}`, `{"a":1,}`, `{"a":1`, `{"a":"x}`, `{"a":[1}`, `{"a":1} x`, `{"max_tokens":"x"}`, `{a:1}`} {
		if out, _, err := engineRequest(&peerv1.Dispatch{Body: []byte(in)}); err == nil && !(json.Valid([]byte(in)) || in == `{"a":[1}`) {
			t.Errorf("%q became %q", in, out)
		}
	}
}

// BenchmarkEngineRequest measures the request of a long consultation.
func BenchmarkEngineRequest(b *testing.B) {
	var body bytes.Buffer
	body.WriteString(`{"model":"m","messages":[`)
	for i := range 270 {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"role":"user","content":%q}`, strings.Repeat("kerf and \"hook\" ", 260))
	}
	body.WriteString(`]}`)
	d := &peerv1.Dispatch{Attempt: "a", Program: "p", Body: body.Bytes()}
	b.SetBytes(int64(body.Len()))
	b.Run("scan", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, _, err := engineRequest(d); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			var q map[string]json.RawMessage
			if err := json.Unmarshal(d.Body, &q); err != nil {
				b.Fatal(err)
			}
			if _, err := json.Marshal(q); err != nil {
				b.Fatal(err)
			}
		}
	})
}
