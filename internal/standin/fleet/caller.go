package fleet

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
)

// Caller sends requests as a user of the system would.
type Caller struct {
	Key     string
	Client  *http.Client
	Headers map[string]string
}

// NewCaller returns a caller with its own connections.
func NewCaller(key string) *Caller {
	return &Caller{Key: key, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}, Headers: map[string]string{}}
}

// WithHeader returns a copy with one more header.
func (c *Caller) WithHeader(name, value string) *Caller {
	out := &Caller{Key: c.Key, Client: c.Client, Headers: map[string]string{name: value}}
	for k, v := range c.Headers {
		if k != name {
			out.Headers[k] = v
		}
	}
	return out
}

// Response is what came back.
type Response struct {
	Status     int
	Text       string // the model's text, or the body of a plain service
	Complete   bool   // a stream ended with [DONE], a body with its declared length
	ErrorKind  string
	Work       string
	Ticket     string
	RetryAfter string
	RequestID  string
	Backend    string
	FirstToken time.Duration
	Duration   time.Duration
	TokenGaps  []time.Duration // between tokens
	Err        error
}

// OK tells that the whole answer came.
func (a Response) OK() bool { return a.Err == nil && a.Status == http.StatusOK && a.Complete }

// Chat asks a model service on a host.
func (c *Caller) Chat(ctx context.Context, host, model, prompt string, tokens int, stream bool) Response {
	body, _ := json.Marshal(M{"model": model, "messages": []M{{"role": "user", "content": prompt}}, "max_tokens": tokens, "stream": stream})
	return c.do(ctx, http.MethodPost, "http://"+host+"/v1/chat/completions", body, stream)
}

// Call asks a plain service on a host.
func (c *Caller) Call(ctx context.Context, method, host, service, path string, body []byte) Response {
	return c.do(ctx, method, "http://"+host+"/services/"+service+"/"+path, body, false)
}

// Do sends any request.
func (c *Caller) Do(ctx context.Context, method, url string, body []byte) Response {
	return c.do(ctx, method, url, body, false)
}

// Ticket asks a host for a ticket.
func (c *Caller) Ticket(ctx context.Context, host string) string {
	a := c.do(ctx, http.MethodPost, "http://"+host+"/fireflyshift/v1/tickets", nil, false)
	var out struct {
		Ticket string `json:"ticket"`
	}
	_ = json.Unmarshal([]byte(a.Text), &out)
	return out.Ticket
}

func (c *Caller) do(ctx context.Context, method, url string, body []byte, stream bool) Response {
	started := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	for k, v := range c.Headers {
		req.Header.Set(k, v)
	}
	resp, err := c.Client.Do(req)
	if err != nil {
		return Response{Err: err, Duration: time.Since(started)}
	}
	defer resp.Body.Close()
	a := Response{Status: resp.StatusCode, Work: resp.Header.Get("Fireflyshift-Work"), RequestID: resp.Header.Get("Fireflyshift-Request-Id"),
		Backend: resp.Header.Get("Fireflyshift-Backend"), Ticket: resp.Header.Get("Fireflyshift-Ticket"), RetryAfter: resp.Header.Get("Retry-After")}
	if stream && resp.StatusCode == http.StatusOK {
		a.readStream(resp.Body, started)
	} else {
		a.readBody(resp.Body, started)
	}
	a.Duration = time.Since(started)
	return a
}

func (a *Response) readBody(body io.Reader, started time.Time) {
	data, err := io.ReadAll(body)
	a.Err, a.FirstToken = err, time.Since(started)
	a.Text, a.Complete = string(data), err == nil
	a.setError(data)
	var chat struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(data, &chat) == nil && len(chat.Choices) == 1 {
		a.Text = chat.Choices[0].Message.Content
	}
}

func (a *Response) setError(data []byte) {
	var f struct {
		Error struct {
			Kind string `json:"kind"`
			Work string `json:"work"`
		} `json:"error"`
	}
	if json.Unmarshal(data, &f) == nil && f.Error.Kind != "" {
		a.ErrorKind, a.Work = f.Error.Kind, f.Error.Work
	}
}

func (a *Response) readStream(body io.Reader, started time.Time) {
	var text strings.Builder
	lines := bufio.NewReader(body)
	var latest time.Time
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			a.Text = text.String()
			if err != io.EOF {
				a.Err = err
			} else if a.ErrorKind == "" {
				a.Err = fmt.Errorf("the stream ended without [DONE]")
			}
			return
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		now := time.Now()
		if latest.IsZero() {
			a.FirstToken = now.Sub(started)
		} else {
			a.TokenGaps = append(a.TokenGaps, now.Sub(latest))
		}
		latest = now
		if data == "[DONE]" {
			a.Text, a.Complete = text.String(), true
			return
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1 {
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		a.setError([]byte(data))
	}
}
