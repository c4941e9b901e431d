package edge

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
)

// writeTimeout ends the connection of a caller that does not read, so that its slot and memory are freed.
const writeTimeout = 30 * time.Second

// sink writes a model's answer to the caller.
type sink interface {
	setBackend(name string)
	chunk(*engine.Chunk) error
	done() error
	// fault ends the answer with a fault; nil after done.
	fault(*fault.Error)
}

func newSink(w http.ResponseWriter, c *call, stream bool, limit int64) sink {
	if stream {
		return &streamSink{w: w, control: http.NewResponseController(w)}
	}
	return &bufferedSink{w: w, id: c.id, limit: limit}
}

// streamSink passes server-sent events on as they arrive.
type streamSink struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	headWritten bool
}

func (s *streamSink) setBackend(name string) {
	if !s.headWritten {
		s.w.Header().Set(headerBackend, name)
	}
}

func (s *streamSink) chunk(c *engine.Chunk) error {
	if !s.headWritten {
		s.headWritten = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.WriteHeader(http.StatusOK)
	}
	return s.write(c.Raw)
}

func (s *streamSink) write(data []byte) error {
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(s.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return s.control.Flush()
}

func (s *streamSink) done() error { return s.write([]byte("[DONE]")) }

func (s *streamSink) fault(f *fault.Error) {
	switch {
	case f == nil:
	case s.headWritten:
		writeStreamFault(s.w, f)
	default:
		writeFault(s.w, f)
	}
}

// bufferedSink collects the answer and writes it at once.
type bufferedSink struct {
	w        http.ResponseWriter
	id       string
	limit    int64
	text     strings.Builder
	last     *engine.Chunk
	tooLarge bool
}

func (s *bufferedSink) setBackend(name string) { s.w.Header().Set(headerBackend, name) }

func (s *bufferedSink) chunk(c *engine.Chunk) error {
	s.text.WriteString(c.Text())
	if c.Finished() != "" {
		s.last = c
	}
	if int64(s.text.Len()) > s.limit {
		s.tooLarge = true
		return fmt.Errorf("the answer is larger than %d bytes", s.limit)
	}
	return nil
}

// completion is the complete answer in the chat-completions format.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *engine.Usage      `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *bufferedSink) done() error {
	writeJSON(s.w, http.StatusOK, completion{
		ID:      s.id,
		Object:  "chat.completion",
		Created: time.Now().Unix(),
		Model:   s.last.Model,
		Choices: []completionChoice{{0, completionMessage{"assistant", s.text.String()}, s.last.Finished()}},
		Usage:   s.last.Usage,
	})
	return nil
}

func (s *bufferedSink) fault(f *fault.Error) {
	if f == nil {
		return
	}
	if s.tooLarge {
		f = fault.New(fault.AnswerCut, "the answer is larger than %d bytes; ask for a stream", s.limit)
	}
	writeFault(s.w, f)
}
