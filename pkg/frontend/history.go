package frontend

import (
	"encoding/json"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// completion is the part of a chat completion answer that becomes history.
type completion struct {
	Choices []struct {
		Message Message `json:"message"`
	} `json:"choices"`
}

// cachedPrograms bounds the programs whose decoded history is kept. An entry of
// the target size owns about 76 programs.
const cachedPrograms = 256

// Histories decodes the chats of programs and keeps them, so that a call decodes
// only the turns that came since the last one. It is safe for concurrent use.
type Histories struct {
	mu    sync.Mutex
	cache *lru.Cache[core.ProgramID, *history]
}

// history is the decoded chat of a program up to one of its turns.
type history struct {
	turns    int
	attempt  string // of the last decoded turn
	messages []Message
}

// NewHistories returns an empty cache.
func NewHistories() *Histories {
	cache, err := lru.New[core.ProgramID, *history](cachedPrograms)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Histories{cache: cache}
}

// Messages returns the chat that the durable model turns of a program form. The
// result is shared and must not be changed.
func (h *Histories) Messages(id core.ProgramID, turns []core.Turn) ([]Message, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known, ok := h.cache.Get(id)
	if !ok || !known.precedes(turns) {
		known = &history{}
	}
	next := &history{turns: len(turns), messages: known.messages}
	for _, t := range turns[known.turns:] {
		var err error
		if next.messages, err = appendTurn(next.messages, &t); err != nil {
			return nil, errors.Wrapf(err, "turn %d", t.Number)
		}
	}
	if len(turns) > 0 {
		next.attempt = turns[len(turns)-1].Attempt
	}
	h.cache.Add(id, next)
	return next.messages, nil
}

// precedes reports whether the decoded turns are the first of these turns.
func (h *history) precedes(turns []core.Turn) bool {
	if h.turns > len(turns) {
		return false
	}
	return h.turns == 0 || turns[h.turns-1].Attempt == h.attempt
}

// appendTurn adds the messages of one turn. Other readers may hold the slice, so
// a reset starts a new one.
func appendTurn(messages []Message, t *core.Turn) ([]Message, error) {
	if t.Service != "" {
		return messages, nil
	}
	var req turnRequest
	if err := json.Unmarshal(t.Request, &req); err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if req.Reset {
		messages = nil
	}
	messages = append(messages, req.Messages...)
	var answer completion
	if err := json.Unmarshal(t.Answer, &answer); err != nil {
		return nil, errors.Wrap(err, "answer")
	}
	if len(answer.Choices) > 0 {
		messages = append(messages, answer.Choices[0].Message)
	}
	return messages, nil
}

// DispatchBody returns the body to send to the upstream for a call: for model
// calls the history of the program followed by the turn's own messages. It is
// computed at dispatch, when all earlier calls of the program have ended.
func (h *Histories) DispatchBody(req *CallRequest, turns []core.Turn, partial string, maxTokens int64) ([]byte, error) {
	if req.Chat == nil {
		return req.Body, nil
	}
	if !req.Append {
		return req.Chat.UpstreamBody(nil, partial, maxTokens)
	}
	history, err := h.Messages(req.Target, turns)
	if err != nil {
		return nil, err
	}
	return req.Chat.UpstreamBody(history, partial, maxTokens)
}

// SetTurn fills in what the call adds to the stored history and the estimated
// length of its whole prompt.
func (h *Histories) SetTurn(r *CallRequest, turns []core.Turn) error {
	history, err := h.Messages(r.Target, turns)
	if err != nil {
		return err
	}
	turn := turnRequest{Messages: r.Chat.Messages}
	if r.Append {
		r.Call.PromptTokens += estimateTokens(history...)
	} else {
		turn = newTurn(history, r.Chat.Messages)
	}
	if r.Call.Request, err = json.Marshal(turn); err != nil {
		return errors.Wrap(err, "encode turn")
	}
	return nil
}
