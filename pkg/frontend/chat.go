package frontend

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/identity"
)

// bytesPerToken estimates token counts before an engine has counted them. Four
// bytes is the usual average of English text.
const bytesPerToken = 4

// Message is one message of a chat. Unknown fields are kept in Raw.
type Message struct {
	Role    string
	Content string
	Raw     json.RawMessage
}

// UnmarshalJSON keeps the raw form beside the fields the scheduler reads.
func (m *Message) UnmarshalJSON(b []byte) error {
	var head struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(b, &head); err != nil {
		return err
	}
	if head.Role == "" {
		return errors.New(`message has no "role"`)
	}
	m.Role = head.Role
	m.Raw = append(m.Raw[:0], b...)
	// Content is a string, or a list of parts that only the engine reads.
	if err := json.Unmarshal(head.Content, &m.Content); err != nil {
		m.Content = string(head.Content)
	}
	return nil
}

// MarshalJSON returns the message as it was received.
func (m Message) MarshalJSON() ([]byte, error) {
	if len(m.Raw) > 0 {
		return m.Raw, nil
	}
	return json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{m.Role, m.Content})
}

// ChatRequest is the part of an OpenAI chat completion request that the
// scheduler reads. All other fields are passed on unchanged.
type ChatRequest struct {
	Model     string    `json:"model"`
	Adapter   string    `json:"adapter"`
	Messages  []Message `json:"messages"`
	MaxTokens int64     `json:"max_tokens"`
	Stream    bool      `json:"stream"`

	body   []byte
	fields map[string]json.RawMessage
}

// ParseChat checks and decodes a chat completion request.
func ParseChat(body []byte) (*ChatRequest, error) {
	r := ChatRequest{body: body}
	if err := json.Unmarshal(body, &r.fields); err != nil {
		return nil, errors.Wrap(err, "body is not a JSON object")
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return nil, errors.Wrap(err, "chat completion request")
	}
	if r.Model == "" {
		return nil, errors.New(`field "model" is missing`)
	}
	if len(r.Messages) == 0 {
		return nil, errors.New(`field "messages" is missing or empty`)
	}
	if r.MaxTokens < 0 {
		return nil, errors.Errorf(`field "max_tokens" is %d, expected 0 or more`, r.MaxTokens)
	}
	return &r, nil
}

// UpstreamBody returns the request for the engine: the history before the
// request's own messages, and the text that the answer is to continue, if any.
// The body is put together from its encoded parts, since a long history would
// take milliseconds to encode again.
func (r *ChatRequest) UpstreamBody(history []Message, partial string, maxTokens int64) ([]byte, error) {
	if len(history) == 0 && partial == "" && (maxTokens == 0 || maxTokens == r.MaxTokens) {
		return r.body, nil
	}
	size := len(r.body) + len(partial) + 128
	for _, m := range history {
		size += len(m.Raw) + 1
	}
	out := make([]byte, 0, size)
	out = append(out, `{"messages":[`...)
	for _, list := range [][]Message{history, r.Messages} {
		for _, m := range list {
			out = append(append(out, m.Raw...), ',')
		}
	}
	if partial == "" {
		out = out[:len(out)-1]
	} else {
		last, err := json.Marshal(Message{Role: "assistant", Content: partial})
		if err != nil {
			return nil, errors.Wrap(err, "encode partial answer")
		}
		out = append(out, last...)
	}
	out = append(out, ']')
	if partial != "" {
		out = append(out, `,"continue_final_message":true`...)
	}
	if maxTokens > 0 {
		out = strconv.AppendInt(append(out, `,"max_tokens":`...), maxTokens, 10)
	}
	return r.appendOthers(out, partial, maxTokens)
}

// appendOthers adds the fields that are passed on unchanged.
func (r *ChatRequest) appendOthers(out []byte, partial string, maxTokens int64) ([]byte, error) {
	for name, value := range r.fields {
		switch {
		case name == "messages", name == "max_tokens" && maxTokens > 0, name == "continue_final_message" && partial != "":
			continue
		}
		key, err := json.Marshal(name)
		if err != nil {
			return nil, errors.Wrap(err, "encode field name")
		}
		out = append(append(append(append(out, ','), key...), ':'), value...)
	}
	return append(out, '}'), nil
}

// Content returns what the request asks for, independently of its key, so that a request
// that crashes upstreams is recognised when resent. history is the program whose earlier
// turns precede the messages; empty: the messages are complete.
func (r *ChatRequest) Content(history core.ProgramID) identity.Content {
	parts := [][]byte{[]byte(r.Model), []byte(r.Adapter), []byte(history)}
	for _, m := range r.Messages {
		parts = append(parts, []byte(m.Role), []byte(m.Content))
	}
	return identity.NewContent(parts...)
}

// SharedPrefix returns an identifier and the estimated length of the leading
// system messages, which programs of one application have in common.
func (r *ChatRequest) SharedPrefix() (id uint64, tokens int64) {
	h := xxhash.New()
	for _, m := range r.Messages {
		if m.Role != "system" {
			break
		}
		_, _ = h.WriteString(m.Content + "\x00")
		tokens += estimateTokens(m)
	}
	if tokens == 0 {
		return 0, 0
	}
	return h.Sum64(), tokens
}

func estimateTokens(messages ...Message) int64 {
	n := 0
	for _, m := range messages {
		n += len(m.Content)
	}
	return int64(n/bytesPerToken) + int64(len(messages))
}

// turnRequest is the stored form of what one turn added to the history.
type turnRequest struct {
	// Reset tells that Messages replace the history, since the caller sent
	// one that does not extend the stored history.
	Reset    bool      `json:"reset,omitempty"`
	Messages []Message `json:"messages"`
}

// sameMessages reports whether two messages have the same role and content.
func sameMessages(a, b Message) bool {
	return a.Role == b.Role && a.Content == b.Content
}

// newTurn returns what the messages of a full request add to the history.
func newTurn(history, messages []Message) turnRequest {
	if len(messages) <= len(history) {
		return turnRequest{Reset: len(history) > 0, Messages: messages}
	}
	for i, m := range history {
		if !sameMessages(m, messages[i]) {
			return turnRequest{Reset: true, Messages: messages}
		}
	}
	return turnRequest{Messages: messages[len(history):]}
}
