package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
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
	// Body is the buffered body, or its beginning if Rest follows. Length is the length of the whole body, or -1 if the
	// caller sends chunks and the end is not known yet.
	Body   []byte
	Rest   io.Reader
	Length int64
	// Permitted, if set, is called right before the first byte is written, when a connection is available.
	Permitted func() bool
	// IsOwn reports whether an answer belongs to this call, by its headers.
	IsOwn func(h http.Header) bool
	// Deadline ends the call.
	Deadline time.Time
	// Via is the host through which the server is called; empty for a direct call.
	Via string
	// Server names the server for Pool.ServerGone.
	Server string
	// MaxSilence, if not zero, is how long the server's host may acknowledge nothing until the call ends; otherwise that
	// is the time left until Deadline.
	MaxSilence time.Duration
	// MaxIdle is how many idle connections to the server may be kept after the call.
	MaxIdle int
	// StallTimeout, if not zero, is how long the server may send nothing until OnStall is asked whether to abandon the
	// call, which then ends with ErrStalled.
	StallTimeout time.Duration
	OnStall      func() bool
}

// Response is an answer whose body has not been read yet. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, or -1 if it ends with the last chunk or the connection.
	Length int64
	// EndsWithConnection is set if only the end of the connection marks the end of the body, as that of a server that crashes
	// does too.
	EndsWithConnection bool

	body io.ReadCloser
	call *call
	resp *http.Response
	err  error
}

// minStatus is the lowest status of an answer (RFC 9110, 15). net/http reads lower ones and panics when it writes them.
const minStatus = 100

// maxForeignAnswers bounds how many answers to other requests are skipped on one connection.
const maxForeignAnswers = 2

const (
	// maxHeadBytes limits the status lines and headers of one exchange, those of interim answers and of answers to other requests
	// included. Heads are kept in memory; servers send some hundred bytes.
	maxHeadBytes = 64 << 10
	// maxForeignBytes limits the bodies of answers to other requests that are skipped.
	maxForeignBytes = 1 << 20
)

// maxInlineBody is the size up to which a body is written together with the head, in one system call, before the answer
// is read.
const maxInlineBody = 32 << 10

// call is one exchange on a connection.
type call struct {
	pool             *Pool
	addr             string
	server           string
	conn             *conn
	maxIdle          int
	silenceLimit     time.Duration // guarded by the pool's lock
	stopCancel       func() bool
	writeDone        chan error // result of a body that is written while the answer is read
	written          bool       // the request was written completely
	sawForeignAnswer bool       // an answer to another request was read
	closed           bool
}

// ErrNotPermitted is returned if Permitted reported false before the first byte was written.
var ErrNotPermitted = errors.New("the permission to send has ended")

// Do writes a request once and reads the head of its answer. sent reports whether bytes of it may have reached the
// server. When ctx ends, the connection is closed, which stops the work.
func (p *Pool) Do(ctx context.Context, addr string, req *Request) (resp *Response, sent bool, err error) {
	c, err := p.get(ctx, addr, req.Via)
	if err != nil {
		return nil, false, err
	}
	if err := endedWhileConnecting(ctx, req.Deadline); err != nil {
		_ = c.Close()
		return nil, false, trace.Wrap(err, "the request ended before it was sent")
	}
	limit := req.silenceLimit(time.Now())
	_ = c.limitSilence(limit) // the deadline ends the call all the same
	// A process that was paused after its decision, or waited long for a connection, would send on a view that is
	// outdated: a request would reach a backend server that had been told to leave before.
	if req.Permitted != nil && !req.Permitted() {
		p.putUnused(addr, c, req.MaxIdle)
		return nil, false, ErrNotPermitted
	}
	x := &call{pool: p, addr: addr, server: req.Server, conn: c, maxIdle: req.MaxIdle, silenceLimit: limit}
	p.begin(x)
	x.stopCancel = context.AfterFunc(ctx, c.abort)
	_ = c.SetDeadline(req.Deadline)
	c.limited = false
	c.deadline, c.stallTimeout, c.onStall, c.heardAt = req.Deadline, req.StallTimeout, req.OnStall, time.Now()
	c.answering.Store(false)
	if err := x.write(req); err != nil {
		return nil, true, x.broken(err)
	}
	resp, err = x.read(req)
	if err != nil {
		return nil, true, x.broken(err)
	}
	return resp, true, nil
}

// endedWhileConnecting returns why a request is not to be sent any more: its caller has gone, or its time has run out. The deadline is
// not that of ctx.
func endedWhileConnecting(ctx context.Context, deadline time.Time) error {
	if ctx.Err() == nil && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return context.Cause(ctx)
}

// write sends the request. A long body is written concurrently with reading: a server may answer before it has read all
// of it, and both sides would otherwise wait for each other.
func (x *call) write(req *Request) error {
	hr := &http.Request{
		Method: req.Method, URL: &url.URL{Scheme: "http", Host: req.Host, Opaque: req.Target}, Host: req.Host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: req.Header, ContentLength: req.Length,
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = []string{""} // none, instead of net/http's default
	}
	if req.Length != 0 {
		hr.Body = io.NopCloser(bytes.NewReader(req.Body))
		if req.Rest != nil {
			hr.Body = io.NopCloser(io.MultiReader(bytes.NewReader(req.Body), req.Rest))
		}
	}
	if req.Rest == nil && len(req.Body) <= maxInlineBody {
		var buf bytes.Buffer
		if err := hr.Write(targetWriter(&buf, req)); err != nil {
			return trace.Wrap(err)
		}
		_, err := x.conn.Write(buf.Bytes())
		x.written = err == nil
		return trace.Wrap(err)
	}
	x.writeDone = make(chan error, 1)
	go func() {
		w := &errorKeeper{Writer: x.conn}
		err := hr.Write(targetWriter(w, req))
		if err != nil {
			// A partial request is never run, so waiting for its answer is pointless.
			_ = x.conn.Close()
		}
		if w.err != nil {
			err = w.err
		}
		x.writeDone <- err
	}()
	return nil
}

// errorKeeper keeps the error of a writer, which net/http hides in another.
type errorKeeper struct {
	io.Writer
	err error
}

// Write implements io.Writer.
func (w *errorKeeper) Write(p []byte) (n int, err error) {
	n, err = w.Writer.Write(p)
	if err != nil {
		w.err = err
	}
	return n, err
}

// read reads the head of the answer. It skips interim answers and late answers to other requests, which carry another
// ID.
func (x *call) read(req *Request) (*Response, error) {
	hr := &http.Request{Method: req.Method}
	headBytes, foreignBytes := maxHeadBytes, maxForeignBytes
	for skipped := 0; ; {
		x.conn.limitReads(headBytes)
		resp, err := http.ReadResponse(x.conn.r, hr)
		headBytes = x.conn.unlimitReads()
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if resp.StatusCode < minStatus {
			return nil, trace.BadParameter("the server answered with the invalid status %03d", resp.StatusCode)
		}
		if resp.StatusCode < 200 {
			if resp.StatusCode == http.StatusSwitchingProtocols {
				return nil, trace.BadParameter("the server switched protocols unasked")
			}
			continue
		}
		if !req.IsOwn(resp.Header) {
			skipped++
			x.sawForeignAnswer = true
			if skipped > maxForeignAnswers || endsWithConnection(resp) {
				return nil, trace.BadParameter("the answer belongs to another request")
			}
			x.conn.limitReads(foreignBytes)
			_, err := io.Copy(io.Discard, resp.Body)
			foreignBytes = x.conn.unlimitReads()
			if err != nil {
				return nil, trace.Wrap(err)
			}
			continue
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, EndsWithConnection: endsWithConnection(resp),
			body: resp.Body, call: x, resp: resp}, nil
	}
}

func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// Read implements io.Reader over the body. io.EOF means that the body is complete.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != nil && err != io.EOF {
		err = r.call.broken(err)
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// SetStall changes the stall timeout for the rest of the answer.
func (r *Response) SetStall(d time.Duration) { r.call.conn.stallTimeout = d }

// Close ends the call. The connection is kept only if request and answer are complete, no byte is left over and no
// answer to another request was read on it.
func (r *Response) Close() {
	keep := r.err == io.EOF && !r.call.sawForeignAnswer && r.call.fullyWritten() && r.call.conn.r.Buffered() == 0
	if keep {
		if idle := idleTimeout(r.resp); idle > 0 && r.call.stopCancel() {
			r.call.closed = true
			r.call.pool.finish(r.call)
			r.call.pool.put(r.call.addr, r.call.conn, idle, r.call.maxIdle)
			return
		}
	}
	r.call.end()
}

// fullyWritten reports whether the request was written completely.
func (x *call) fullyWritten() bool {
	if x.written || x.writeDone == nil {
		return x.written
	}
	select {
	case err := <-x.writeDone:
		x.written = err == nil
	default:
	}
	return x.written
}

// writerTimeout is how long to wait for the writer of a body to report why a connection ended.
const writerTimeout = 20 * time.Millisecond

// broken ends an exchange that has failed and returns its error. The kernel reports an error of a connection only once:
// if the writer of the body got it, the reader only sees the end of the connection, or that the writer has closed it.
func (x *call) broken(err error) error {
	if x.writeDone != nil && !x.written && (CauseOf(err) == CauseClosed || errors.Is(err, net.ErrClosed)) {
		select {
		case writeErr := <-x.writeDone:
			x.written = writeErr == nil
			if writeErr != nil {
				err = writeErr
			}
		case <-time.After(writerTimeout):
		}
	}
	x.end()
	return &BrokenError{Err: err, Silent: time.Since(x.conn.heardAt)}
}

// end closes the connection, which also stops the server's work.
func (x *call) end() {
	if x.closed {
		return
	}
	x.closed = true
	x.pool.finish(x)
	x.stopCancel()
	x.conn.abort()
}
