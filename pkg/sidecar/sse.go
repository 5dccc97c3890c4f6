package sidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// maxEvent bounds one event of an engine stream in bytes.
const maxEvent = 1 << 20

var (
	errEventSize = errors.Errorf("event of the stream exceeds %d bytes", maxEvent)
	doneMark     = []byte("[DONE]")
)

// eventReader reads the data of server-sent events.
type eventReader struct {
	r    *bufio.Reader
	data []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, 4096)}
}

// next returns the data of the next event, valid until the next call. An end
// of the input inside an event is io.ErrUnexpectedEOF.
func (e *eventReader) next() ([]byte, error) {
	e.data = e.data[:0]
	some := false
	for {
		line, err := e.line()
		if err != nil {
			if err == io.EOF && (some || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if len(line) == 0 {
			if some {
				return e.data, nil
			}
			continue
		}
		field, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue // comments and other fields
		}
		if some {
			e.data = append(e.data, '\n')
		}
		some = true
		e.data = append(e.data, bytes.TrimPrefix(field, []byte(" "))...)
		if len(e.data) > maxEvent {
			return nil, errEventSize
		}
	}
}

// line reads one line without its end.
func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return bytes.TrimRight(line, "\r\n"), nil
	}
	long := bytes.Clone(line)
	for err == bufio.ErrBufferFull {
		if len(long) > maxEvent {
			return nil, errEventSize
		}
		line, err = e.r.ReadSlice('\n')
		long = append(long, line...)
	}
	return bytes.TrimRight(long, "\r\n"), err
}

// usage counts the tokens of a call.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id,omitempty"`
	Type     string `json:"type,omitempty"`
	Function struct {
		Name      string `json:"name,omitempty"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

type delta struct {
	Content   string     `json:"content"`
	ToolCalls []toolCall `json:"tool_calls"`
}

// chunk is one event of a streamed answer.
type chunk struct {
	ID      string `json:"id"`
	Model   string `json:"model"`
	Choices []struct {
		Delta        delta  `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

func (c *chunk) delta() *delta {
	if len(c.Choices) == 0 {
		return &delta{}
	}
	return &c.Choices[0].Delta
}

func (c *chunk) finish() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].FinishReason
}

// generated reports whether the chunk carries a token.
func (c *chunk) generated() bool {
	d := c.delta()
	return d.Content != "" || len(d.ToolCalls) > 0
}

// parseChunk decodes the data of an event.
func parseChunk(data []byte) (*chunk, error) {
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, errors.Wrap(err, "chunk of the stream")
	}
	if u := c.Usage; u != nil && (u.PromptTokens < 0 || u.CachedTokens < 0 || u.CompletionTokens < 0) {
		return nil, errors.New("chunk of the stream has negative usage")
	}
	return &c, nil
}

// assembly collects the chunks of a stream into a whole answer.
type assembly struct {
	model   string
	content []byte
	tools   []toolCall
	usage   usage
	tokens  int64
}

func (a *assembly) add(c *chunk) {
	d := c.delta()
	a.content = append(a.content, d.Content...)
	for _, t := range d.ToolCalls {
		i := 0
		for i < len(a.tools) && a.tools[i].Index != t.Index {
			i++
		}
		if i == len(a.tools) {
			a.tools = append(a.tools, toolCall{Index: t.Index})
		}
		into := &a.tools[i]
		into.ID, into.Type = into.ID+t.ID, into.Type+t.Type
		into.Function.Name += t.Function.Name
		into.Function.Arguments += t.Function.Arguments
	}
	if c.generated() {
		a.tokens++
	}
	if c.Model != "" {
		a.model = c.Model
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
}

// whole returns the answer in the form of a call that is not streamed.
func (a *assembly) whole(id, reason string) ([]byte, error) {
	message := map[string]any{"role": "assistant", "content": string(a.content)}
	if len(a.tools) > 0 {
		message["tool_calls"] = a.tools
	}
	return json.Marshal(map[string]any{
		"id": id, "object": "chat.completion", "model": a.model, "usage": a.usage,
		"choices": []any{map[string]any{"index": 0, "message": message, "finish_reason": reason}},
	})
}
