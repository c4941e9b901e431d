package edge

import (
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"fireflyshift/internal/engine"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/ingress"
	"fireflyshift/internal/membudget"
)

// bodyCopies is how often a body is held beside the one that was read: decoded, and encoded for the engine.
const bodyCopies = 2

// defaultOutputTokens is assumed if a caller sets no max_tokens.
const defaultOutputTokens = 256

// readBody reads the whole body within size and time limits. It is done before a slot is requested, so that a slow
// caller holds nothing but its own connection.
func (s *Server) readBody(w http.ResponseWriter, c *call) ([]byte, *fault.Error) {
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(time.Now().Add(s.opt.BodyTimeout))
	account := ingress.Account(c.Context())
	account.Receive(func() { _ = rc.SetReadDeadline(time.Now()) })
	stop := ingress.AbortReads(s.ending, rc)
	data, _, err := account.ReadAll(http.MaxBytesReader(w, c.Body, s.opt.MaxBodyBytes), c.ContentLength, int(s.opt.MaxBodyBytes)+1)
	stop()
	if !account.Pause() && (err == nil || errors.Is(err, os.ErrDeadlineExceeded)) {
		err = membudget.ErrExhausted
	}
	if err == nil {
		err = account.Reserve(bodyCopies * int64(len(data)))
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, fault.New(fault.BodyTooLarge, "the body has more than %d bytes", s.opt.MaxBodyBytes)
	case errors.Is(err, membudget.ErrExhausted) && s.ending.Err() == nil:
		account.Close()
		return nil, fault.New(fault.Overloaded, "the host has no memory for the body")
	case errors.Is(err, membudget.ErrExhausted), errors.Is(err, os.ErrDeadlineExceeded) && s.ending.Err() != nil:
		return nil, s.drainingFault()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.New(fault.SlowBody, "the body did not arrive within %s", s.opt.BodyTimeout)
	case err != nil:
		return nil, fault.New(fault.BadBody, "the body could not be read: %v", err)
	}
	_ = rc.SetReadDeadline(time.Time{})
	c.bodyRead = true
	return data, nil
}

// chatBody holds the fields of a chat-completions body that are read here.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream"`
	MaxTokens uint32        `json:"max_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func parseChat(data []byte) (chatBody, *fault.Error) {
	var b chatBody
	if err := json.Unmarshal(data, &b); err != nil {
		return b, fault.New(fault.BadBody, "the JSON is malformed: %v", err)
	}
	if b.Model == "" || len(b.Messages) == 0 {
		return b, fault.New(fault.BadBody, "model or messages is missing")
	}
	if b.MaxTokens == 0 {
		b.MaxTokens = defaultOutputTokens
	}
	return b, nil
}

// prompt returns the text whose prefixes engines cache.
func (b chatBody) prompt() string {
	var out strings.Builder
	for _, m := range b.Messages {
		out.WriteString(m.Role)
		out.WriteByte('\n')
		out.WriteString(m.text())
		out.WriteByte('\n')
	}
	return out.String()
}

// text returns the content as a string, or as raw JSON if it has parts.
func (m chatMessage) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	return string(m.Content)
}

func tokens(text string) uint32 { return uint32(len(text)/engine.BytesPerToken + 1) }

// engineBody returns the caller's body with streaming enabled: the answer has to be followed as it arrives, so that it
// can be resumed after a break.
func engineBody(data []byte) ([]byte, *fault.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fault.New(fault.BadBody, "the JSON is malformed: %v", err)
	}
	fields["stream"] = json.RawMessage("true")
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.New(fault.BadBody, "the JSON cannot be encoded for the engine: %v", err)
	}
	return out, nil
}
