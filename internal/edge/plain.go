package edge

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
	"fireflyshift/internal/upstream"
	"fireflyshift/internal/wire"
)

// hopHeaders apply to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// servePlain serves /services/NAME/... for plain services.
func (s *Server) servePlain(w http.ResponseWriter, c *call) *fault.Error {
	name := c.PathValue(pathService)
	sub, f := s.submission(c, name)
	if f != nil {
		return f
	}
	if c.config.Service(name).Kind != record.ServicePlain {
		return fault.New(fault.UnknownService, "service %q is a model service; use /v1/chat/completions", name)
	}
	body, f := s.readBody(w, c)
	if f != nil {
		return f
	}
	sub.Digest = digest(c, body)
	sub.PromptTokens, sub.OutputTokens = 0, 1
	s.run(c, sub, &plainAttempt{server: s, call: c, w: w, body: body, deadline: time.Now().Add(sub.Deadline)})
	return nil
}

// plainAttempt runs the dispatches of a request to a plain service.
type plainAttempt struct {
	server      *Server
	call        *call
	w           http.ResponseWriter
	body        []byte
	deadline    time.Time
	headWritten bool
}

func (p *plainAttempt) run(ctx context.Context, d core.Dispatch) core.DispatchEnded {
	started := time.Now()
	req, err := p.request(ctx, d.Backend.Addr)
	if err != nil {
		return core.DispatchEnded{Outcome: core.NotSent}
	}
	resp, sent, err := wire.Do(p.server.plain, req)
	if err != nil {
		return p.classifyFailure(ctx, d, sent, err)
	}
	defer resp.Body.Close()
	if err := p.relay(d, resp); err != nil {
		if ctx.Err() != nil {
			return core.DispatchEnded{Outcome: core.Canceled}
		}
		return core.DispatchEnded{Outcome: core.Failed, BackendEnded: upstream.ProbeRefused(ctx, d.Backend.Addr),
			Fault: fault.New(fault.AnswerCut, "backend server %s: %v", d.Backend.Name, err)}
	}
	took := time.Since(started)
	return core.DispatchEnded{Outcome: core.Done, FirstToken: took, Interval: took, Tokens: 1}
}

func (p *plainAttempt) request(ctx context.Context, addr string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, p.call.Method, "http://"+addr, bytes.NewReader(p.body))
	if err != nil {
		return nil, err
	}
	req.URL = targetURL(addr, p.call.PathValue(pathTarget))
	if len(p.body) == 0 {
		req.Body = nil
	}
	req.Header = p.call.Header.Clone()
	dropHopHeaders(req.Header)
	req.Header.Del("Authorization") // the workspace's key is not disclosed to backend servers
	req.Header.Set(headerBackendID, p.call.id)
	remaining := max(time.Until(p.deadline), time.Millisecond)
	req.Header.Set(headerDeadline, formatMS(remaining))
	p.server.tracing.Inject(ctx, carrier(req.Header))
	return req, nil
}

// The path values of a request to a plain service: its name, and the target that the service gets.
const (
	pathService = "service"
	pathTarget  = "target"
)

// splitTarget returns the plain service that a request is for, and the request target that the service gets: what follows the service's
// name, as the caller sent it.
func splitTarget(r *http.Request) (service, target string, ok bool) {
	raw := r.RequestURI
	if !strings.HasPrefix(raw, "/") {
		raw = r.URL.RequestURI() // the caller sent an absolute URL
	}
	path, query, hasQuery := strings.Cut(raw, "?")
	parts := strings.SplitN(path, "/", 4)
	if len(parts) < 4 || parts[1] != "services" {
		return "", "", false
	}
	service, err := url.PathUnescape(parts[2])
	if err != nil || service == "" {
		return "", "", false
	}
	target = "/" + parts[3]
	if hasQuery {
		target += "?" + query
	}
	return service, target, true
}

// targetURL returns a URL for a request whose target net/http writes unchanged. An opaque one that begins with two slashes would get
// the scheme in front.
func targetURL(addr, target string) *url.URL {
	u := &url.URL{Scheme: "http", Host: addr, Opaque: target}
	if !strings.HasPrefix(target, "//") {
		return u
	}
	path, query, hasQuery := strings.Cut(target, "?")
	u.Opaque, u.RawPath, u.RawQuery, u.ForceQuery = "", path, query, hasQuery
	u.Path, _ = url.PathUnescape(path) // net/http has parsed it before
	return u
}

func (p *plainAttempt) classifyFailure(ctx context.Context, d core.Dispatch, sent bool, err error) core.DispatchEnded {
	switch {
	case !sent:
		return core.DispatchEnded{Outcome: core.NotSent}
	case ctx.Err() != nil:
		return core.DispatchEnded{Outcome: core.Canceled}
	default:
		return core.DispatchEnded{Outcome: core.Failed, BackendEnded: upstream.ProbeRefused(ctx, d.Backend.Addr), Fault: fault.New(fault.OutcomeUnknown, "backend server %s: %v", d.Backend.Name, err)}
	}
}

// answerBuffer is how much of an answer is read before its status is written to the caller: an answer that breaks off
// within it becomes an error status instead of a closed connection.
const answerBuffer = 256 << 10

// relay passes the answer on. net/http reports a body that ends before its declared length as an error, so a short
// answer is never taken for a complete one.
func (p *plainAttempt) relay(d core.Dispatch, resp *http.Response) error {
	first, err := io.ReadAll(io.LimitReader(resp.Body, answerBuffer))
	if err != nil {
		return err
	}
	h := p.w.Header()
	dropHopHeaders(resp.Header)
	for k, v := range resp.Header {
		h[k] = v
	}
	h.Set(headerRequest, p.call.id)
	h.Set(headerBackend, d.Backend.Name)
	p.headWritten = true
	p.w.WriteHeader(resp.StatusCode)
	_, err = io.Copy(deadlineWriter{p.w}, io.MultiReader(bytes.NewReader(first), resp.Body))
	return err
}

// deadlineWriter ends the connections of callers that do not read.
type deadlineWriter struct{ http.ResponseWriter }

// Write allows writeTimeout for each piece.
func (d deadlineWriter) Write(b []byte) (int, error) {
	_ = http.NewResponseController(d.ResponseWriter).SetWriteDeadline(time.Now().Add(writeTimeout))
	return d.ResponseWriter.Write(b)
}

// suspend does nothing: a plain service cannot suspend work that has started.
func (p *plainAttempt) suspend(context.Context, string) {}

func (p *plainAttempt) finish(f *fault.Error) {
	if f == nil {
		return
	}
	if p.headWritten {
		abort()
	}
	writeFault(p.w, f)
}

func dropHopHeaders(h http.Header) {
	for _, name := range h.Values("Connection") {
		for _, k := range strings.Split(name, ",") {
			h.Del(strings.TrimSpace(k))
		}
	}
	for _, k := range hopHeaders {
		h.Del(k)
	}
}
