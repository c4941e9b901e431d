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
	// writeBuffer holds the head of a request and a body of usual length, some thousand tokens of prompt, so that
	// they leave in one write; more costs memory on each connection.
	writeBuffer = 16 << 10
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
		WriteBufferSize:     writeBuffer,
	}
}

// ErrNotPermitted tells that the permission to make a call had ended before its first byte was written.
var ErrNotPermitted = errors.New("the permission to send has ended")

type permissionKey struct{}

// Permission is asked once more as a call is written, before each write. It guards against a process that is paused
// between its decision and the write, or between two writes: on waking it would send on a lease that others count
// as ended. What is left is a pause in the few instructions between the question and the system call, so that nothing
// else belongs there.
type Permission struct {
	// Check tells whether the call may still be made. It must not wait.
	Check func() bool
	// OnResult, if set, is called once, after the first write or after Ask has said no to it, with what Ask said.
	OnResult func(permitted bool)
}

// WithPermission makes a call ask; the zero Permission takes an earlier one off.
func WithPermission(ctx context.Context, p Permission) context.Context {
	return context.WithValue(ctx, permissionKey{}, p)
}

// countingConn counts bytes before they are handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// permission is asked before each write of the request under way; told is set after its first one.
	permission atomic.Pointer[Permission]
	told       bool
}

// Write counts, then writes: a count that has not moved proves that nothing left.
func (c *countingConn) Write(p []byte) (written int, err error) {
	for permission := c.permission.Load(); permission != nil && err == nil && written < len(p); {
		var n int
		n, err = c.writePermitted(p[written:], permission.Check)
		written += n
		if permission.OnResult != nil && !c.told {
			permission.OnResult(!errors.Is(err, ErrNotPermitted))
		}
		c.told = true
	}
	if err != nil || written == len(p) {
		return written, err
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
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
// kept connection dies. A body of known length in memory is left as it is: the library cannot rewind it either without
// GetBody, and it writes the head of a request apart from a body that it does not know.
type onceBody struct{ io.ReadCloser }

// Do makes a call. sent is false only when no byte of the request was written to any connection.
func Do(client *http.Client, req *http.Request) (resp *http.Response, sent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyReader{})
	}
	if req.ContentLength <= 0 {
		req.Body = onceBody{req.Body}
	}
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
			c.told = false
			c.permission.Store(permissionOf(req))
			used.Store(c)
		},
		GotFirstResponseByte: func() { // what the server has begun is not taken back
			if c := used.Load(); c != nil {
				c.permission.Store(nil)
			}
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

func permissionOf(req *http.Request) *Permission {
	p, ok := req.Context().Value(permissionKey{}).(Permission)
	if !ok || p.Check == nil {
		return nil
	}
	return &p
}

type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }
