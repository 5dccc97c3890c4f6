package frontend

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
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

	fields map[string]json.RawMessage
}

// ParseChat checks and decodes a chat completion request.
func ParseChat(body []byte) (*ChatRequest, error) {
	var r ChatRequest
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

// UpstreamBody returns the request for the engine with the whole prompt.
func (r *ChatRequest) UpstreamBody(messages []Message, partial string, maxTokens int64) ([]byte, error) {
	out := make(map[string]json.RawMessage, len(r.fields)+2)
	for name, value := range r.fields {
		out[name] = value
	}
	if partial != "" {
		messages = append(messages[:len(messages):len(messages)], Message{Role: "assistant", Content: partial})
		out["continue_final_message"] = json.RawMessage("true")
	}
	encoded, err := json.Marshal(messages)
	if err != nil {
		return nil, errors.Wrap(err, "encode messages")
	}
	out["messages"] = encoded
	if maxTokens > 0 {
		if out["max_tokens"], err = json.Marshal(maxTokens); err != nil {
			return nil, errors.Wrap(err, "encode max_tokens")
		}
	}
	return json.Marshal(out)
}

// Fingerprint identifies the content of a request independently of its key and
// program, so that a request that crashes upstreams is recognised when resent.
func (r *ChatRequest) Fingerprint() uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Model)
	_, _ = h.WriteString("\x00" + r.Adapter)
	for _, m := range r.Messages {
		_, _ = h.WriteString("\x00" + m.Role + "\x00" + m.Content)
	}
	return h.Sum64()
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
