// Package wire makes HTTP calls to backend servers that are written at most once, and proves it
// when nothing was written.
package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	dialTimeout    = time.Second
	maxIdlePerHost = 256
	idleTimeout    = 30 * time.Second
)

// NewTransport returns a transport whose connections count the bytes written to them.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: c}, nil
		},
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// ErrNotPermitted tells that the permission to make a call had ended before its first byte was written.
var ErrNotPermitted = errors.New("the permission to send has ended")

type permissionKey struct{}

// WithPermission lets a call ask once more as its first byte is written. It guards against a process that is
// paused between its decision and the write: on waking it would send on a lease that others count as ended.
// What is left is a pause between the question and the system call. A nil function takes an earlier one off.
func WithPermission(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, permitted)
}

// countingConn counts bytes before they are handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// permitted is asked before the next write, once.
	permitted atomic.Pointer[func() bool]
}

// Write counts, then writes: a count that has not moved proves that nothing left.
func (c *countingConn) Write(p []byte) (int, error) {
	if permitted := c.permitted.Swap(nil); permitted != nil && !(*permitted)() {
		return 0, ErrNotPermitted
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// onceBody hides what kind of body it is. net/http repeats a request by itself on another
// connection when it can rewind the body or thinks there is none; with this body it cannot, so no
// request is written twice. It shows otherwise as one GET that a plain service runs twice when a
// kept connection dies.
type onceBody struct{ io.ReadCloser }

// Do makes a call. sent is false only when no byte of the request was written to any connection.
func Do(client *http.Client, req *http.Request) (resp *http.Response, sent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyReader{})
	}
	req.Body = onceBody{req.Body}
	req.GetBody = nil
	var used atomic.Pointer[countingConn]
	var before atomic.Int64
	var unknown atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*countingConn)
			if !ok || used.Load() != nil {
				unknown.Store(true)
				return
			}
			before.Store(c.written.Load())
			if permitted, ok := req.Context().Value(permissionKey{}).(func() bool); ok && permitted != nil {
				c.permitted.Store(&permitted)
			}
			used.Store(c)
		},
	})
	resp, err = client.Do(req.WithContext(ctx))
	if err == nil {
		return resp, true, nil
	}
	c := used.Load()
	sent = unknown.Load() || (c != nil && c.written.Load() != before.Load())
	return nil, sent, err
}

type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }
