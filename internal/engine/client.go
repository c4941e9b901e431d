// Package engine is the client of model engines. This file holds the wire format: chat completions over server-sent
// events, with calls to re-attach to a stream, to suspend one and to resume it.
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/propagation"

	"fireflyshift/internal/wire"
)

const (
	callTimeout  = 2 * time.Second
	maxLine      = 16 << 10
	maxKV        = 8 << 20
	headerStream = "X-Request-Id"
)

// Chunk is one event of a stream.
type Chunk struct {
	ID     string `json:"id"`
	Offset int    `json:"offset"` // index of the chunk's token in the answer, from 0
	Model  string `json:"model"`
	// Choices has one element.
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Raw is the event's data as received.
	Raw []byte `json:"-"`
}

// Choice is the part of a chunk that carries text.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Delta is the text that a chunk adds.
type Delta struct {
	Content string `json:"content"`
}

// Usage holds token counts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// finishSuspended is the finish reason of an exported stream; others are passed on without being read.
const finishSuspended = "suspended"

// Text returns the text that the chunk adds.
func (c *Chunk) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}

// Finished returns the finish reason, or "" while the answer continues.
func (c *Chunk) Finished() string {
	if len(c.Choices) == 0 || c.Choices[0].FinishReason == nil {
		return ""
	}
	return *c.Choices[0].FinishReason
}

// Suspended reports whether the stream ended because it was exported.
func (c *Chunk) Suspended() bool { return c.Finished() == finishSuspended }

// KV is an exported stream: its cache and position.
type KV struct {
	Data   json.RawMessage `json:"kv"`
	Offset int             `json:"offset"`
}

// Client calls model engines.
type Client struct{ http *http.Client }

// NewClient returns a client with its own connections.
func NewClient() *Client { return &Client{&http.Client{Transport: wire.NewTransport()}} }

// Start starts a request on an engine. sent is false only if nothing was written.
func (c *Client) Start(ctx context.Context, addr, id string, body []byte, h propagation.HeaderCarrier) (*Stream, bool, error) {
	return c.open(ctx, http.MethodPost, addr, "/v1/chat/completions", id, body, h)
}

// Import resumes a suspended stream, possibly on another engine.
func (c *Client) Import(ctx context.Context, addr, id string, kv *KV, h propagation.HeaderCarrier) (*Stream, bool, error) {
	body, err := json.Marshal(kv)
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	return c.open(ctx, http.MethodPost, addr, "/v1/streams/"+id+"/import", id, body, h)
}

// Reattach continues reading a stream that broke off, from the offset of the first missing token. It is part of the
// same dispatch: the engine runs nothing again.
func (c *Client) Reattach(ctx context.Context, addr, id string, offset int) (*Stream, error) {
	ctx = wire.WithPermission(ctx, wire.Permission{}) // the dispatch was permitted
	s, _, err := c.open(ctx, http.MethodGet, addr, fmt.Sprintf("/v1/streams/%s?offset=%d", id, offset), id, nil, nil)
	return s, err
}

func (c *Client) open(ctx context.Context, method, addr, path, id string, body []byte, h propagation.HeaderCarrier) (*Stream, bool, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, trace.Wrap(err)
	}
	for k, v := range h {
		req.Header[k] = v
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerStream, id)
	resp, sent, err := wire.Do(c.http, req)
	if err != nil {
		return nil, sent, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 512))
		resp.Body.Close()
		return nil, true, &StatusError{resp.StatusCode, strings.TrimSpace(string(text))}
	}
	return &Stream{body: resp.Body, lines: bufio.NewReaderSize(resp.Body, maxLine)}, true, nil
}

// StatusError is an engine's answer with a status other than 200.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the engine's message.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the engine answered %d: %s", e.Status, e.Text)
}

// Suspend exports a stream. The stream itself ends with a chunk that has the finish reason "suspended".
func (c *Client) Suspend(ctx context.Context, addr, id string) (*KV, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/streams/"+id+"/suspend", nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, &StatusError{resp.StatusCode, "suspend"}
	}
	var kv KV
	err = json.NewDecoder(io.LimitReader(resp.Body, maxKV)).Decode(&kv)
	return &kv, trace.Wrap(err)
}

// Cancel stops a stream whose answer is no longer needed. Errors are ignored.
func (c *Client) Cancel(ctx context.Context, addr, id string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+addr+"/v1/streams/"+id, nil)
	if err != nil {
		return
	}
	if resp, err := c.http.Do(req); err == nil {
		resp.Body.Close()
	}
}

// Load is an engine's load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Load reads an engine's load report, which lags behind.
func (c *Client) Load(ctx context.Context, addr string) (Load, error) {
	var l Load
	return l, c.getJSON(ctx, addr, "/load", callTimeout, &l)
}

// Evictions are cache events; they arrive late and with gaps.
type Evictions struct {
	Next    uint64   `json:"next"`
	Evicted []uint64 `json:"evicted"`
}

// Evictions reads the cache events after a sequence number.
func (c *Client) Evictions(ctx context.Context, addr string, after uint64) (Evictions, error) {
	var e Evictions
	return e, c.getJSON(ctx, addr, fmt.Sprintf("/cache/events?after=%d", after), callTimeout, &e)
}

func (c *Client) getJSON(ctx context.Context, addr, path string, timeout time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{resp.StatusCode, path}
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxKV)).Decode(into))
}

// Stream is an answer that is read as it arrives.
type Stream struct {
	body  io.ReadCloser
	lines *bufio.Reader
}

// ErrDone is returned by Next once the engine has ended the answer with [DONE].
var ErrDone = fmt.Errorf("the answer is complete")

// Next returns the next chunk, ErrDone after the last, and any other error if the stream broke off. A body that ends
// without [DONE] is io.ErrUnexpectedEOF, never a short success.
func (s *Stream) Next() (*Chunk, error) {
	for {
		line, err := s.lines.ReadSlice('\n')
		if err == io.EOF {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, trace.Wrap(err)
		}
		data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return nil, ErrDone
		}
		c := &Chunk{Raw: bytes.Clone(data)}
		if err := json.Unmarshal(c.Raw, c); err != nil {
			return nil, trace.Wrap(err, "the engine's event is malformed")
		}
		return c, nil
	}
}

// Close releases the connection.
func (s *Stream) Close() { s.body.Close() }
