package frontend

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// completion is the part of a chat completion answer that becomes history.
type completion struct {
	Choices []struct {
		Message Message `json:"message"`
	} `json:"choices"`
}

// Messages rebuilds the chat of a program from its durable model turns.
func Messages(turns []core.Turn) ([]Message, error) {
	var out []Message
	for i, t := range turns {
		if t.Service != "" {
			continue
		}
		var req turnRequest
		if err := json.Unmarshal(t.Request, &req); err != nil {
			return nil, errors.Wrapf(err, "turn %d: request", i+1)
		}
		if req.Reset {
			out = out[:0]
		}
		out = append(out, req.Messages...)
		var answer completion
		if err := json.Unmarshal(t.Answer, &answer); err != nil {
			return nil, errors.Wrapf(err, "turn %d: answer", i+1)
		}
		if len(answer.Choices) > 0 {
			out = append(out, answer.Choices[0].Message)
		}
	}
	return out, nil
}

// DispatchBody returns the body to send to the upstream for a call: for model
// calls the history of the program followed by the turn's own messages. It is
// computed at dispatch, when all earlier calls of the program have ended.
func DispatchBody(req *CallRequest, turns []core.Turn, partial string, maxTokens int64) ([]byte, error) {
	if req.Chat == nil {
		return req.Body, nil
	}
	messages := req.Chat.Messages
	if req.Append {
		history, err := Messages(turns)
		if err != nil {
			return nil, err
		}
		messages = append(history, messages...)
	}
	return req.Chat.UpstreamBody(messages, partial, maxTokens)
}

// SetTurn fills in what the call adds to the stored history and the estimated
// length of its whole prompt.
func (r *CallRequest) SetTurn(turns []core.Turn) error {
	history, err := Messages(turns)
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
