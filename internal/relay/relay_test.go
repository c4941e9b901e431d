package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/socket"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
)

const (
	waitTimeout = 20 * time.Second
	localhost   = "127.0.0.1"
)

// pair is a relay and a client of it.
type pair struct {
	t      *testing.T
	server *Server
	client *Client
	// permission is what the relay replies to all hosts, and dial how it connects.
	permission atomic.Int32
	dial       atomic.Pointer[Dial]
	// fellThrough counts requests that the relay passed on to the next handler.
	fellThrough atomic.Int32
	stop        func()
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t}
	direct := DirectDial()
	p.dial.Store(&direct)
	p.server = NewServer(func(string, string) router.RelayPermission { return router.RelayPermission(p.permission.Load()) },
		func(ctx context.Context, network, addr string) (net.Conn, error) {
			return (*p.dial.Load())(ctx, network, addr)
		},
		zerolog.Nop(), telemetry.NewMetrics())
	s := httptest.NewServer(p.server.Handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { p.fellThrough.Add(1) })))
	p.stop = s.Close
	t.Cleanup(func() {
		p.server.Close()
		s.Close()
	})
	_, port, err := net.SplitHostPort(s.Listener.Addr().String())
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	p.client = NewClient(localhost, n)
	return p
}

// listen starts a backend server that runs serve for each connection, and returns its address.
func (p *pair) listen(serve func(c *net.TCPConn)) string {
	l, err := net.Listen("tcp", localhost+":0")
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (p *pair) open(addr string) net.Conn {
	p.t.Helper()
	c, err := p.client.Dial(context.Background(), localhost, addr)
	require.NoError(p.t, err)
	p.t.Cleanup(func() { _ = c.Close() })
	require.NoError(p.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

func (p *pair) eventually(what string, f func() bool) {
	p.t.Helper()
	require.Eventually(p.t, f, waitTimeout, 5*time.Millisecond, what)
}

// Guards against an answer without a length that ends early and looks complete: it is complete only if the backend server
// closed its connection, not if that was reset or the relay ended.
func TestOnlyTheBackendServersCloseIsAnOrderlyEnd(t *testing.T) {
	const answer = "half an answer"
	for name, k := range map[string]struct {
		end      func(p *pair, c *net.TCPConn)
		complete bool
	}{
		"closed":     {func(_ *pair, c *net.TCPConn) { _ = c.Close() }, true},
		"write side": {func(_ *pair, c *net.TCPConn) { _ = c.CloseWrite() }, true},
		"reset": {func(_ *pair, c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
		"relay ends": {func(p *pair, _ *net.TCPConn) { p.server.Close() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			read := make(chan struct{})
			c := p.open(p.listen(func(c *net.TCPConn) {
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, answer)
				<-read
				k.end(p, c)
			}))
			_, err := c.Write([]byte{'?'})
			require.NoError(t, err)
			_, err = io.ReadFull(c, make([]byte, len(answer)))
			require.NoError(t, err)
			close(read)
			_, err = c.Read(make([]byte, 1))
			if k.complete {
				require.Equal(t, io.EOF, err)
				return
			}
			require.Error(t, err)
			require.NotEqual(t, io.EOF, err)
		})
	}
}

// Guards against work that a backend server goes on with after the host has closed its connection, and against tunnels
// that are never given back.
func TestClosedTunnelEndsAtTheBackendServer(t *testing.T) {
	p := newPair(t)
	ended := make(chan error, 1)
	c := p.open(p.listen(func(c *net.TCPConn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}))
	require.Equal(t, 1, p.server.InUse())
	require.NoError(t, c.Close())
	p.eventually("the backend server's connection has ended", func() bool { return len(ended) == 1 })
	require.Error(t, <-ended)
	p.eventually("no tunnel is left", func() bool { return p.server.InUse() == 0 })
}

// A backend server may answer and close its side before it has read all of a body. Guards against a relay that waits for the
// body to be taken first.
func TestAnswerBeforeTheEndOfTheBodyArrives(t *testing.T) {
	p := newPair(t)
	answer := make([]byte, 1<<20)
	received := make(chan struct{})
	c := p.open(p.listen(func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = c.Write(answer)
		_ = c.CloseWrite()
		<-received
		_ = c.Close()
	}))
	defer close(received)
	go func() { _, _ = c.Write(make([]byte, unreadBody)) }()
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, len(answer), len(got))
}

// unreadBody is more than the buffers on the way to a backend server hold.
const unreadBody = 32 << 20

// A backend server resets its connection while a body is on its way to it. The kernel reports that once, to a write or to a
// read. Guards against a relay whose write gets it, and which then passes on an orderly end: a short answer without a length
// looked complete. What the backend server had sent before must arrive.
func TestResetWhileABodyIsSentIsNoOrderlyEnd(t *testing.T) {
	const length = 512 << 10
	p := newPair(t)
	body := make([]byte, unreadBody)
	blocked := make(chan struct{}, 1)
	addr := p.listen(func(c *net.TCPConn) {
		_, _ = c.Read(make([]byte, 1))
		_, _ = c.Write(make([]byte, length))
		<-blocked
		for socket.Unacknowledged(c) > 0 {
			time.Sleep(time.Millisecond)
		}
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range 20 {
		c := p.open(addr)
		_, err := c.Write(body[:1])
		require.NoError(t, err)
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(50*time.Millisecond)))
		_, err = c.Write(body)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		blocked <- struct{}{}
		time.Sleep(5 * time.Millisecond) // the reset is under way before anything is read
		_, err = io.ReadFull(c, make([]byte, length))
		require.NoError(t, err)
		_, err = c.Read(make([]byte, 1))
		require.Error(t, err)
		require.NotEqual(t, io.EOF, err)
		_ = c.Close()
	}
}

// Guards against a host that blames a backend server for its relay, or the reverse.
func TestErrorsTellTheRelayFromTheBackendServer(t *testing.T) {
	p := newPair(t)
	closed, err := net.Listen("tcp", localhost+":0")
	require.NoError(t, err)
	refused := closed.Addr().String()
	require.NoError(t, closed.Close())
	sound := p.listen(func(*net.TCPConn) {})
	dial := func(addr string) error {
		c, err := p.client.Dial(context.Background(), localhost, addr)
		if err == nil {
			_ = c.Close()
		}
		return err
	}
	for permission, relay := range map[router.RelayPermission]error{
		router.RelayUnknownHost: upstream.ErrRelay, router.RelayUnavailable: upstream.ErrRelay, router.RelayUnknownBackend: upstream.ErrUnknownAtRelay,
	} {
		p.permission.Store(int32(permission))
		require.ErrorIs(t, dial(sound), relay)
	}
	p.permission.Store(int32(router.RelayAllowed))
	require.NoError(t, dial(sound))
	err = dial(refused)
	require.True(t, upstream.IsRefused(err), err)
	require.NotErrorIs(t, err, upstream.ErrRelay)
	timeout := Dial(func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: context.DeadlineExceeded}
	})
	p.dial.Store(&timeout)
	err = dial(sound)
	require.Error(t, err)
	require.False(t, upstream.IsRefused(err), err)
	require.NotErrorIs(t, err, upstream.ErrRelay)
	hang := Dial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p.dial.Store(&hang)
	require.ErrorIs(t, dial(sound), upstream.ErrRelay)
	p.eventually("no tunnel is left", func() bool { return p.server.InUse() == 0 })
	p.server.Close()
	p.stop()
	require.ErrorIs(t, dial(sound), upstream.ErrRelay)
	require.Zero(t, p.fellThrough.Load())
}

// Guards against a relay that runs out of memory or descriptors because hosts open tunnels without bound.
func TestTunnelsAreBounded(t *testing.T) {
	p := newPair(t)
	addr := p.listen(func(*net.TCPConn) {})
	var first net.Conn
	for range maxTunnels {
		first = p.open(addr)
	}
	_, err := p.client.Dial(context.Background(), localhost, addr)
	require.ErrorIs(t, err, upstream.ErrRelay)
	require.NoError(t, first.Close())
	p.eventually("another tunnel is opened", func() bool {
		c, err := p.client.Dial(context.Background(), localhost, addr)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

// Guards against a cut between the caller's end and the opening of the tunnel: a host that gives up must not leave one.
func TestCanceledDialLeavesNoTunnel(t *testing.T) {
	p := newPair(t)
	dialing := make(chan struct{})
	hang := Dial(func(ctx context.Context, _, _ string) (net.Conn, error) {
		close(dialing)
		<-ctx.Done()
		return nil, errors.New("canceled")
	})
	p.dial.Store(&hang)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-dialing
		cancel()
	}()
	_, err := p.client.Dial(ctx, localhost, p.listen(func(*net.TCPConn) {}))
	require.Error(t, err)
	p.eventually("no tunnel is left", func() bool { return p.server.InUse() == 0 })
}
