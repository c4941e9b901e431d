// Package wire makes HTTP calls to backend servers that are written at most once, and proves it when nothing was
// written.
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

	"fireflyshift/internal/socket"
)

const (
	dialTimeout    = time.Second
	maxIdlePerHost = 256
	idleTimeout    = 30 * time.Second
	// writeBuffer holds the head of a request and a body of usual size (a prompt of some thousand tokens), so that they
	// are written at once. A larger buffer costs memory on each connection.
	writeBuffer = 16 << 10
	// maxHeadBytes limits the head of an answer, which is kept in memory.
	maxHeadBytes = 64 << 10
	// minStatus is the lowest status of an answer (RFC 9110, 15). net/http reads lower ones and panics when it writes them.
	minStatus = 100
)

// NewTransport returns a transport whose connections count the bytes written to them.
func NewTransport() *http.Transport { return newTransport(&net.Dialer{Timeout: dialTimeout}) }

// newTransport returns a transport that opens its connections with a dialer.
func newTransport(dialer *net.Dialer) *http.Transport {
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

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// ErrNotPermitted is returned if the permission for a call had ended before its first byte was written.
var ErrNotPermitted = errors.New("the permission to send has ended")

type permissionKey struct{}

// Permission is checked again before each write of a call. It guards against a process that is paused between its
// decision and the write, or between two writes: on waking it would send on a lease that others count as ended. Only a
// pause in the few instructions between the check and the system call remains possible, so nothing else belongs there.
type Permission struct {
	// Check reports whether the call may still be made. It must not block.
	Check func() bool
	// OnResult, if set, is called once, after the first write or after Check has refused it, with the result of Check.
	OnResult func(permitted bool)
}

// WithPermission attaches a permission to a call; the zero Permission removes an earlier one.
func WithPermission(ctx context.Context, p Permission) context.Context {
	return context.WithValue(ctx, permissionKey{}, p)
}

// countingConn counts bytes before they are handed to the kernel.
type countingConn struct {
	net.Conn
	written atomic.Int64
	// permission is checked before each write of the current request; reported is set after its first one.
	permission atomic.Pointer[Permission]
	reported   bool
	// refused is set once the permission of the current request had ended before a write.
	refused atomic.Bool
}

// Read implements io.Reader. io.EOF means that the server has closed the connection in order.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, socket.End(c.Conn, err) // a write may have got the only report of a reset
}

// Write counts, then writes: an unchanged count proves that nothing was sent.
func (c *countingConn) Write(p []byte) (written int, err error) {
	for permission := c.permission.Load(); permission != nil && err == nil && written < len(p); {
		var n int
		n, err = c.writePermitted(p[written:], permission.Check)
		written += n
		if permission.OnResult != nil && !c.reported {
			permission.OnResult(!errors.Is(err, ErrNotPermitted))
		}
		c.reported = true
	}
	if err != nil || written == len(p) {
		return written, err
	}
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// writePermitted calls check while it holds the file descriptor, and writes as much as the socket takes at once, so
// that whatever the library does before a write is done before the check.
func (c *countingConn) writePermitted(p []byte, check func() bool) (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	waitErr := raw.Write(func(fd uintptr) bool {
		if !check() {
			c.refused.Store(true)
			err = ErrNotPermitted
			return true
		}
		n, err = unix.Write(int(fd), p)
		if err == unix.EAGAIN || err == unix.EINTR {
			n, err = 0, nil
			return false // checked again once the socket is writable
		}
		c.written.Add(int64(max(1, n))) // a failed write counts too: what was sent is unknown
		return true
	})
	if err == nil {
		err = waitErr
	}
	return max(0, n), err
}

// unrewindableBody hides the type of a body. net/http retries a request on another connection if it can rewind the body
// or thinks there is none. This body prevents that, so no request is written twice; otherwise a plain service runs one
// GET twice if a kept-alive connection breaks. An in-memory body of known length is not wrapped: net/http cannot rewind
// it either without GetBody, and it writes the head of a request separately from a body of unknown type.
type unrewindableBody struct{ io.ReadCloser }

// Do makes a call. sent is false only if no byte of the request was written to any connection.
func Do(client *http.Client, req *http.Request) (resp *http.Response, sent bool, err error) {
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyReader{})
	}
	if req.ContentLength <= 0 {
		req.Body = unrewindableBody{req.Body}
	}
	req.GetBody = nil
	var used atomic.Pointer[countingConn]
	var before atomic.Int64
	var untracked atomic.Bool
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c, ok := info.Conn.(*countingConn)
			if !ok || used.Load() != nil {
				untracked.Store(true)
				return
			}
			before.Store(c.written.Load())
			c.reported = false
			c.refused.Store(false)
			c.permission.Store(permissionOf(req))
			used.Store(c)
		},
		GotFirstResponseByte: func() { // the server has started to answer, so the rest may be written
			if c := used.Load(); c != nil {
				c.permission.Store(nil)
			}
		},
	})
	resp, err = client.Do(req.WithContext(ctx))
	if err == nil && resp.StatusCode < minStatus {
		_ = resp.Body.Close()
		return nil, true, trace.BadParameter("the server answered with the invalid status %03d", resp.StatusCode)
	}
	if err == nil {
		return resp, true, nil
	}
	c := used.Load()
	sent = untracked.Load() || (c != nil && c.written.Load() != before.Load())
	if c != nil && c.refused.Load() {
		// net/http may report instead that it has closed the connection because of this error.
		err = trace.Wrap(ErrNotPermitted)
	}
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
