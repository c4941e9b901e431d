package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Request is one call. Target is the request target exactly as the caller sent it.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	// Body is the buffered body, or its beginning where Rest follows. Length is the whole length,
	// or -1 where the caller sent chunks and the end is not known yet.
	Body   []byte
	Rest   io.Reader
	Length int64
	// Permitted, if set, is asked right before the first byte is written, after a connection was found or made.
	Permitted func() bool
	// IsOwn tells whether an answer belongs to this call, by its headers.
	IsOwn func(h http.Header) bool
	// Deadline ends the call.
	Deadline time.Time
	// MaxIdle is how many idle connections to the server may be held after the call.
	MaxIdle int
	// StallTimeout, if not zero, is how long the server may be silent until Stalled is asked whether to
	// give the call up; the call then ends with ErrStalled.
	StallTimeout time.Duration
	OnStall      func() bool
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 where it ends by chunks or with the connection.
	Length int64
	body   io.ReadCloser
	call   *call
	resp   *http.Response
	err    error
}

// maxStray bounds the answers of other requests that are read past on one connection.
const maxStray = 2

// smallBody is written together with the head, in one system call, before the answer is awaited.
const smallBody = 32 << 10

// call is one exchange on a connection.
type call struct {
	pool   *Pool
	addr   string
	conn   *conn
	keep   int
	stop   func() bool
	wrote  chan error // the end of a body that is written while the answer is awaited
	whole  bool       // the request is written to its end
	stray  bool       // an answer of another request was met
	closed bool
}

// ErrNotPermitted tells that the permission for a call had ended before its first byte was written.
var ErrNotPermitted = errors.New("the permission to send has ended")

// Do writes a request once and reads the head of its answer. sent tells whether bytes of it may
// have reached the server. When ctx ends the connection is closed, which stops the work.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (resp *Response, sent bool, err error) {
	c, err := p.get(ctx, addr)
	if err != nil {
		return nil, false, err
	}
	// The caller may have left, or the time run out, while the connection was made.
	if ctx.Err() != nil || !time.Now().Before(req.Deadline) {
		_ = c.Close()
		return nil, false, trace.Wrap(context.Cause(ctx), "the request ended before it was sent")
	}
	// A process that was paused after its decision, or waited long for a connection, would send on beliefs that
	// others have given up since: it shows as a request at a backend server that was told to leave before.
	if req.Permitted != nil && !req.Permitted() {
		p.giveBack(addr, c, req.MaxIdle)
		return nil, false, ErrNotPermitted
	}
	x := &call{pool: p, addr: addr, conn: c, keep: req.MaxIdle}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(req.Deadline)
	c.deadline, c.stall, c.stalled = req.Deadline, req.StallTimeout, req.OnStall
	if err := x.write(req); err != nil {
		x.end()
		return nil, true, err
	}
	resp, err = x.read(req)
	if err != nil {
		x.end()
		return nil, true, err
	}
	return resp, true, nil
}

// write sends the request. A long body is written beside the reading: a server may answer before it
// has read all, and would otherwise wait for us as we for it.
func (x *call) write(req *Request) error {
	hr := &http.Request{
		Method: req.Method, URL: &url.URL{Scheme: "http", Host: req.Host, Opaque: req.Target}, Host: req.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: req.Header, ContentLength: req.Length,
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // none, rather than the library's own
	}
	if req.Length != 0 {
		hr.Body = io.NopCloser(bytes.NewReader(req.Body))
		if req.Rest != nil {
			hr.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.Body), req.Rest))
		}
	}
	if req.Rest == nil && len(req.Body) <= smallBody {
		var buf bytes.Buffer
		if err := hr.Write(&buf); err != nil {
			return trace.Wrap(err)
		}
		_, err := x.conn.Write(buf.Bytes())
		x.whole = err == nil
		return trace.Wrap(err)
	}
	x.wrote = make(chan error, 1)
	go func() {
		err := hr.Write(x.conn)
		if err != nil {
			// Half a request is never run, and its answer would be waited for in vain.
			_ = x.conn.Close()
		}
		x.wrote <- err
	}()
	return nil
}

// read takes the head of the answer, past interim ones and past late answers of other requests,
// which bear another id.
func (x *call) read(req *Request) (*Response, error) {
	hr := &http.Request{Method: req.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.conn.r, hr)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, trace.BadParameter("the server switched protocols unasked")
			}
			continue
		}
		if !req.IsOwn(resp.Header) {
			stray++
			x.stray = true
			if stray > maxStray || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
				return nil, trace.BadParameter("the answer is not this request's")
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, trace.Wrap(err)
			}
			continue
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, call: x, resp: resp}, nil
	}
}

// Read implements io.Reader over the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil {
		r.err = err
	}
	return n, err
}

// SetStall sets another time of silence for the rest of the answer.
func (r *Response) SetStall(d time.Duration) { r.call.conn.stall = d }

// Close ends the call. The connection is kept only if both the request and the answer are through,
// no byte is left over and no answer of another request was met on it.
func (r *Response) Close() {
	keep := r.err == io.EOF && !r.call.stray && r.call.writtenWhole() && r.call.conn.r.Buffered() == 0
	if keep {
		if idle := keepFor(r.resp); idle > 0 && r.call.stop() {
			r.call.closed = true
			r.call.pool.put(r.call.addr, r.call.conn, idle, r.call.keep)
			return
		}
	}
	r.call.end()
}

// writtenWhole tells whether the request is written to its end.
func (x *call) writtenWhole() bool {
	if x.whole || x.wrote == nil {
		return x.whole
	}
	select {
	case err := <-x.wrote:
		x.whole = err == nil
	default:
	}
	return x.whole
}

// end closes the connection, which also stops the server's work.
func (x *call) end() {
	if x.closed {
		return
	}
	x.closed = true
	x.stop()
	_ = x.conn.Close()
}
