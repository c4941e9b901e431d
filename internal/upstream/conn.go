// Package upstream calls backend servers over kept-alive HTTP/1.1 connections. A request is written at most once:
// nothing here retries, and every error comes with whether a byte may have left the host.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"fireflyshift/internal/socket"
)

const (
	// dialTimeout is many times a round trip between zones; a server behind a network partition does not answer.
	dialTimeout = 200 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are when keep-alive probes are sent to a peer that has nothing to acknowledge.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is Linux's maximum, so that the silence limit decides when a peer is given up.
	keepAliveCount = 127
	readBuffer     = 8 << 10
)

// Dialer returns a dialer whose connections detect unreachable peers.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         SetIdleSilence,
	}
}

// KeepAlive returns the TCP keep-alive configuration.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// conn is one connection to a backend server. It serves one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// via is the host that relays the connection; empty if it is direct.
	via string
	// idleUntil is when the server may close the connection for being idle.
	idleUntil time.Time
	// deadline ends the current exchange; stallTimeout, if not zero, is how long the server may send nothing until
	// onStall is asked whether to abandon it.
	deadline     time.Time
	stallTimeout time.Duration
	onStall      func() bool
	// limited is set while at most allowance more bytes may be read.
	limited   bool
	allowance int
	// heardAt is when the last bytes were read, or when the current exchange began.
	heardAt time.Time
	// answering is set once bytes were read in the current exchange.
	answering atomic.Bool
}

// ErrStalled is returned if a call is abandoned because the server sent nothing for the stall timeout.
var ErrStalled = errors.New("the server sent nothing within the stall timeout")

// ErrTooLong is returned if a server sends more bytes before the body of its answer than any answer has.
var ErrTooLong = errors.New("the server sent too many bytes before the body of its answer; restart it")

// limitReads allows n more bytes to be read from the connection.
func (c *conn) limitReads(n int) { c.limited, c.allowance = true, n }

// unlimitReads ends the limit and returns what is left of it.
func (c *conn) unlimitReads() int {
	c.limited = false
	return c.allowance
}

// Read implements io.Reader. io.EOF means that the server has closed the connection in order.
func (c *conn) Read(p []byte) (int, error) {
	if c.limited && c.allowance <= 0 {
		return 0, ErrTooLong
	}
	if c.limited {
		p = p[:min(len(p), c.allowance)]
	}
	n, err := c.readUnlessStalled(p)
	err = socket.End(c.Conn, err) // the writer of the body may have got the only report of a reset
	c.allowance -= n
	if n > 0 {
		c.heardAt = time.Now()
		c.answering.Store(true)
	}
	return n, err
}

// abort closes the connection of an exchange that has not ended. Until the server answers, it may not have all of the
// request: a reset keeps the kernel from sending the rest to a server that is silent now, which would run it later.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !c.answering.Load() {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// readUnlessStalled reads. The stall timeout is applied here, below all buffers, so that reading can continue if the
// call is not abandoned.
func (c *conn) readUnlessStalled(p []byte) (int, error) {
	if c.stallTimeout <= 0 {
		return c.Conn.Read(p)
	}
	for {
		until := time.Now().Add(c.stallTimeout)
		last := !until.Before(c.deadline)
		if last {
			until = c.deadline
		}
		if err := c.Conn.SetReadDeadline(until); err != nil {
			return 0, trace.Wrap(err)
		}
		n, err := c.Conn.Read(p)
		if n > 0 || last || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if c.onStall() {
			return 0, ErrStalled
		}
	}
}

func dial(ctx context.Context, d ContextDialer, addr string) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no connection to %s: %v", addr, err)
	}
	return newConn(c), nil
}

// reusable reports whether an idle connection is open and has nothing to read. Bytes that follow a complete answer
// belong to no request, and a server's close that has already arrived would lose the next request. Checking before each
// use costs one system call.
func (c *conn) reusable() bool {
	if c.r.Buffered() > 0 || time.Now().After(c.idleUntil) {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = err == unix.EAGAIN
		return true
	})
	return err == nil && idle
}

const (
	// defaultIdleTimeout is how long a connection is kept if the server states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleFraction is the fraction of the server's stated timeout, which is in whole seconds, for which a connection is
	// kept: a request that crosses with the server's close cannot be told from one that has run.
	idleFraction = 0.6
)

// idleTimeout returns how long to keep a connection after resp; zero if the server closes it.
func idleTimeout(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(s) * idleFraction * float64(time.Second))
		}
	}
	return defaultIdleTimeout
}

// Transport returns a client transport whose connections detect unreachable peers, for calls that may be retried, such
// as reads of the store.
func Transport() *http.Transport {
	return &http.Transport{DialContext: Dialer(dialTimeout).DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes}
}
