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
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
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

// Permission is asked once more as a call's first byte is written. It guards against a process that is paused between
// its decision and the write: on waking it would send on a lease that others count as ended. What is left is a
// pause in the few instructions between the question and the system call, so that nothing else belongs there.
type Permission struct {
	// Ask tells whether the call may still be made. It must not wait.
	Ask func() bool
	// Told, if set, is called after the write, or after Ask has said no, with what Ask said.
	Told func(permitted bool)
}

// WithPermission makes a call ask; the zero Permission takes an earlier one off.
func WithPermission(ctx context.Context, p Permission) context.Context {
	return context.WithValue(ctx, permissionKey{}, p)
}

// countingConn counts bytes before they are handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// permission is asked before the next write, once.
	permission atomic.Pointer[Permission]
}

// Write counts, then writes: a count that has not moved proves that nothing left.
func (c *countingConn) Write(p []byte) (int, error) {
	permission := c.permission.Swap(nil)
	if permission == nil {
		c.written.Add(int64(len(p)))
		return c.Conn.Write(p)
	}
	n, err := c.writePermitted(p, permission.Ask)
	if permission.Told != nil {
		permission.Told(!errors.Is(err, ErrNotPermitted))
	}
	if err != nil || n == len(p) {
		return n, err
	}
	more, err := c.Conn.Write(p[n:])
	return n + more, err
}

// writePermitted asks with the descriptor in hand, and writes as much as the socket takes at once: whatever the
// library does before a write is done before the question.
func (c *countingConn) writePermitted(p []byte, ask func() bool) (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	waited := raw.Write(func(fd uintptr) bool {
		if !ask() {
			err = ErrNotPermitted
			return true
		}
		n, err = unix.Write(int(fd), p)
		if err == unix.EAGAIN || err == unix.EINTR {
			n, err = 0, nil
			return false // asked again once the socket takes bytes
		}
		c.written.Add(int64(max(1, n))) // a failed write counts too: nobody knows what left
		return true
	})
	if err == nil {
		err = waited
	}
	return max(0, n), err
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
			if p, ok := req.Context().Value(permissionKey{}).(Permission); ok && p.Ask != nil {
				c.permission.Store(&p)
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
