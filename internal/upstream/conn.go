// Package upstream calls backend servers over kept HTTP/1.1 connections. A call is written at most
// once: nothing here repeats by itself, and every error tells whether a byte has left the host.
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
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is many times a round trip between zones; a server behind a cut does not answer.
	dialTimeout = 200 * time.Millisecond
	// userTimeout ends a connection whose sent bytes nobody acknowledges: four retransmissions.
	userTimeout = time.Second
	// probeIdle, probeEvery and probeCount are TCP keep-alive: a connection that has fallen silent
	// without a reset is found within about three seconds.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
	readBuffer = 8 << 10
)

// Dialer returns a dialer whose connections notice silence.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control:         SetUserTimeout,
	}
}

// KeepAlive is the probing of idle connections.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount}
}

// SetUserTimeout makes the kernel end a connection whose bytes are not acknowledged.
func SetUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	if e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	}); e != nil {
		return trace.Wrap(e)
	}
	return trace.Wrap(err)
}

// conn is one connection to a backend server. It serves one request at a time.
type conn struct {
	net.Conn
	r *bufio.Reader
	// until is when the server may close it for being idle.
	until time.Time
	// deadline ends the exchange under way; stall, if not zero, is how long the server may be silent
	// until stalled is asked whether to give it up.
	deadline time.Time
	stall    time.Duration
	stalled  func() bool
}

// ErrStalled tells that the server was silent for so long that the call was given up.
var ErrStalled = errors.New("the server fell silent")

// Read implements io.Reader. The look for silence is here, below all buffers, so that reading can
// go on where the call is not given up.
func (c *conn) Read(p []byte) (int, error) {
	if c.stall <= 0 {
		return c.Conn.Read(p)
	}
	for {
		until := time.Now().Add(c.stall)
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
		if c.stalled() {
			return 0, ErrStalled
		}
	}
}

func dial(ctx context.Context, d *net.Dialer, addr string) (*conn, error) {
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "no connection to %s", addr)
	}
	out := &conn{Conn: c}
	out.r = bufio.NewReaderSize(out, readBuffer)
	return out, nil
}

// clean tells whether an idle connection is open and has nothing to read. Bytes that came after a
// complete answer belong to no request, and an end that has arrived would take the next request
// along; a look before each use costs one system call.
func (c *conn) clean() bool {
	if c.r.Buffered() > 0 || time.Now().After(c.until) {
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
	// idleDefault is how long a connection is kept where the server names no time.
	idleDefault = 4 * time.Second
	// idleMargin is kept from the time that a server names, which is in whole seconds: a request
	// that crosses the server's close cannot be told from one that has run.
	idleMargin = 0.6
)

// keepFor reads how long the server keeps an idle connection; zero if it closes it.
func keepFor(resp *http.Response) time.Duration {
	if resp.Close {
		return 0
	}
	for _, part := range strings.Split(resp.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(float64(s) * idleMargin * float64(time.Second))
		}
	}
	return idleDefault
}

// Transport returns a client transport whose connections notice silence, for calls that may be
// repeated: reads of the store.
func Transport() *http.Transport {
	return &http.Transport{DialContext: Dialer(dialTimeout).DialContext, MaxIdleConnsPerHost: 2, DisableCompression: true}
}
