package frontend

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

var (
	ssePrefix = []byte("data: ")
	sseEnd    = []byte("\n\n")
	sseDone   = []byte("data: [DONE]\n\n")
	// ssePending is a comment with the header that a whole answer would have.
	ssePending = []byte(": " + HeaderDurable + ": " + durablePending + "\n\n")
)

// sseSink writes chunks as server-sent events. Headers are sent with the first
// chunk, so that a refusal before it keeps its HTTP status.
type sseSink struct {
	w       http.ResponseWriter
	program core.ProgramID
	started bool
	buf     []byte // of the event, used again for each chunk
}

func (k *sseSink) start() {
	if k.started {
		return
	}
	k.started = true
	h := k.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderProgram, string(k.program))
	k.w.WriteHeader(http.StatusOK)
}

// Chunk implements Sink.
func (k *sseSink) Chunk(chunk []byte) error {
	k.start()
	k.buf = append(k.buf[:0], ssePrefix...)
	k.buf = append(k.buf, bytes.TrimSpace(chunk)...)
	k.buf = append(k.buf, sseEnd...)
	if _, err := k.w.Write(k.buf); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	flush(k.w)
	return nil
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// runStream answers as server-sent events. The last chunk and the end marker
// follow only when the whole turn is durable, or after a comment that says that
// it is not yet, so that a cut stream never looks whole.
func (s *Server) runStream(c *gin.Context, t Target, req *CallRequest, body []byte) {
	sink := &sseSink{w: c.Writer, program: req.Target}
	res, err := s.opt.Backend.Call(c.Request.Context(), req, sink)
	if err != nil {
		if s.rerouted(c, t, body, err) {
			return
		}
		refusal := asRefusal(err)
		if !sink.started {
			c.Header(HeaderProgram, string(req.Target))
			writeRefusal(c, refusal)
			return
		}
		abortStream(c, refusal)
		return
	}
	if !sink.started {
		setResultHeaders(c.Writer.Header(), res)
		if err := sink.Chunk(wholeChunk(res.Answer)); err != nil {
			return
		}
	}
	if err := sink.Chunk(finalChunk(res.Answer)); err != nil {
		return
	}
	if res.Pending {
		_, _ = c.Writer.Write(ssePending)
	}
	_, _ = c.Writer.Write(sseDone)
	flush(c.Writer)
}

// abortStream ends a started stream with an error event and without the end
// marker.
func abortStream(c *gin.Context, r core.Refusal) {
	body, err := json.Marshal(bodyOf(r))
	if err != nil {
		return
	}
	_, _ = c.Writer.Write([]byte("event: error\ndata: "))
	_, _ = c.Writer.Write(body)
	_, _ = c.Writer.Write(sseEnd)
	flush(c.Writer)
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkUsage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CachedTokens     int64 `json:"cached_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

type chunkBody struct {
	ID      string        `json:"id,omitempty"`
	Object  string        `json:"object"`
	Model   string        `json:"model,omitempty"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chunkUsage   `json:"usage,omitempty"`
}

// wholeChunk carries the whole text of a stored answer in one chunk.
func wholeChunk(a core.Answer) []byte {
	var whole completion
	text := ""
	if err := json.Unmarshal(a.Body, &whole); err == nil && len(whole.Choices) > 0 {
		text = whole.Choices[0].Message.Content
	}
	return encodeChunk(chunkBody{
		Object:  "chat.completion.chunk",
		Choices: []chunkChoice{{Delta: chunkDelta{Role: "assistant", Content: text}}},
	})
}

// finalChunk carries the finish reason and the usage.
func finalChunk(a core.Answer) []byte {
	reason := a.FinishReason
	if reason == "" {
		reason = "stop"
	}
	return encodeChunk(chunkBody{
		Object:  "chat.completion.chunk",
		Choices: []chunkChoice{{FinishReason: &reason}},
		Usage:   &chunkUsage{a.PromptTokens, a.CachedTokens, a.OutputTokens},
	})
}

func encodeChunk(b chunkBody) []byte {
	out, err := json.Marshal(b)
	if err != nil {
		// The type holds only strings and numbers, which always encode.
		panic(err)
	}
	return out
}

// TextChunk returns a chunk with a piece of text.
func TextChunk(text string) []byte {
	return encodeChunk(chunkBody{
		Object:  "chat.completion.chunk",
		Choices: []chunkChoice{{Delta: chunkDelta{Content: text}}},
	})
}

// chunkText is the part of a chunk that ChunkText reads. It is decoded for each
// token, so the fields that are not needed are left out.
type chunkText struct {
	Choices []chunkTextChoice `json:"choices"`
	first   [1]chunkTextChoice
}

type chunkTextChoice struct {
	Delta struct {
		Content string `json:"content"`
	} `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// ChunkText returns the text of a chunk and whether it carries a finish reason.
func ChunkText(chunk []byte) (text string, final bool) {
	var b chunkText
	b.Choices = b.first[:0] // an answer has one choice, which needs no allocation
	if err := json.Unmarshal(chunk, &b); err != nil || len(b.Choices) == 0 {
		return "", err == nil
	}
	return b.Choices[0].Delta.Content, b.Choices[0].FinishReason != nil
}

// PrependText puts text before the content of a whole chat completion. Other
// bodies are returned unchanged.
func PrependText(body []byte, text string) []byte {
	if text == "" {
		return body
	}
	var fields map[string]json.RawMessage
	var whole completion
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(body, &whole) != nil || len(whole.Choices) == 0 {
		return body
	}
	choices := []map[string]any{{
		"index":         0,
		"message":       map[string]string{"role": "assistant", "content": text + whole.Choices[0].Message.Content},
		"finish_reason": "stop",
	}}
	encoded, err := json.Marshal(choices)
	if err != nil {
		return body
	}
	fields["choices"] = encoded
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
