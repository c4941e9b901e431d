// Package ingress tracks callers' connections, so that a stopping host closes none of them with an unanswered request
// on it.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"
)

const (
	// idleSlack is the factor by which an idle connection is kept beyond the configured limit. Callers use connections
	// up to four fifths of the limit, so that few are closed while a request arrives.
	idleSlack = 1.25
	// lingerTimeout bounds the wait for a caller to see that its connection is closed. If it is closed earlier with
	// unread bytes, the connection is reset and the last answer lost.
	lingerTimeout = 500 * time.Millisecond
	// firstRequestTimeout is how soon after its connection a caller's first request usually arrives, also on a slow
	// link. A host that ends sooner rejects requests that it could have answered.
	firstRequestTimeout = 250 * time.Millisecond
	// maxAwait bounds the total wait for such requests, if new connections keep arriving.
	maxAwait          = 4 * firstRequestTimeout
	drainPollInterval = 5 * time.Millisecond
	// acceptGrace lets connections be accepted that the kernel has already established: closing the listener resets
	// them.
	acceptGrace = 50 * time.Millisecond
)

// Statuses of notices.
const (
	statusTimeout     = "408 Request Timeout"
	statusHeadTooLong = "431 Request Header Fields Too Large"
)

// closingNotice informs the caller of a request that arrives on a closing connection that the request was not read and
// never will be (RFC 9110, 15.5.9). A caller that has sent no request sees that the connection ends. The empty line
// that ends the head is appended in New.
//
// With another status it says why the head of a request was not read to its end.
const closingNotice = "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n"

// Connections are the callers' connections of one host. Idle ones are closed after a limit that may change while
// http.Server runs; those in use keep a stopping host from ending.
//
// Connection states and rejecting change under one lock, so that a request either has a byte counted before TryStop
// checks, or is rejected.
type Connections struct {
	notice, headTooLong []byte
	limits              Limits
	// linger is lingerTimeout, or longer in tests.
	linger    time.Duration
	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []net.Listener
	// inUse is the number of connections that read or serve a request.
	inUse int
	// rejecting: requests are no longer accepted.
	rejecting bool
	// closing: connections that serve no request are closed.
	closing bool
	// noLinger: connections are closed without waiting for their callers.
	noLinger bool
	// awaitUntil ends the wait of at most maxAwait; it is set when new connections are the only reason for the host not
	// to end.
	awaitUntil time.Time
	// notified is the number of connections that got the closing notice.
	notified int
	// bulk is held by the connection that takes its turn to read a long body.
	bulk sync.Mutex
}

// New returns an empty set. headerLines, each "Name: value", are added to the closing notice.
func New(headerLines ...string) *Connections {
	notice := func(status string) []byte {
		text := fmt.Sprintf(closingNotice, status)
		for _, line := range headerLines {
			text += line + "\r\n"
		}
		return []byte(text + "\r\n")
	}
	return &Connections{notice: notice(statusTimeout), headTooLong: notice(statusHeadTooLong), limits: Limits{}.withDefaults(), linger: lingerTimeout,
		open: map[*conn]struct{}{}}
}

// Limit sets limits, before the first connection is accepted.
func (c *Connections) Limit(l Limits) { c.limits = l.withDefaults() }

// Guard configures a server to serve connections of Listener. Once TryStop has succeeded, requests go to reject.
func (c *Connections) Guard(s *http.Server, reject http.Handler) {
	s.Handler = c.admission(s.Handler, reject)
	s.ConnState = c.onStateChange
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
}

// connKey is the context key of a request's connection.
type connKey struct{}

// Listener tracks the connections of l. http.Server must serve the returned listener, which goes above TLS if there is
// any.
func (c *Connections) Listener(l net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, l)
	return listener{l, c}
}

type listener struct {
	net.Listener
	owner *Connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, http.ErrServerClosed
		}
		if err != nil {
			return nil, err
		}
		if l.owner.makeRoom() {
			return l.owner.add(nc), nil
		}
		_ = nc.Close()
	}
}

func (c *Connections) add(nc net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &conn{Conn: nc, owner: c, acceptedAt: time.Now(), account: c.limits.Budget.Open()}
	c.open[k] = struct{}{}
	if c.closing {
		c.notify(k)
	}
	return k
}

// onStateChange is http.Server's ConnState hook.
func (c *Connections) onStateChange(nc net.Conn, s http.ConnState) {
	k, ok := nc.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.setState(k, stateServing)
		k.endHead()
	case http.StateIdle:
		k.account.Close()
		c.setState(k, stateIdle)
		k.idleSince = time.Now()
		if c.closing {
			c.notify(k)
		}
	case http.StateHijacked:
		k.account.Close()
		c.setState(k, stateHijacked)
		delete(c.open, k)
	case http.StateClosed:
		k.account.Close()
		c.setState(k, stateClosing)
		delete(c.open, k)
	}
}

// setState changes a connection's state; stateClosing and stateHijacked are final. The caller holds the lock.
func (c *Connections) setState(k *conn, s connState) {
	previous := k.load()
	if previous == stateClosing || previous == stateHijacked {
		return
	}
	if previous.inUse() {
		c.inUse--
	}
	if s.inUse() {
		c.inUse++
	}
	k.state.Store(int32(s))
}

// startReading marks an idle connection as reading when bytes of a request arrive. It reports false if the connection
// is closing and the bytes are to be discarded.
func (c *Connections) startReading(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch k.load() {
	case stateClosing:
		return false
	case stateIdle:
		c.setState(k, stateReading)
		k.beginHead(c.limits.Head())
	}
	return true
}

// notify closes a connection that serves no request, with the notice; the server's pending Read discards what still
// arrives. The caller holds the lock.
func (c *Connections) notify(k *conn) {
	if k.load() == stateClosing {
		return
	}
	c.setState(k, stateClosing)
	c.notified++
	go k.closeWriteSide(c.notice)
}

// turnAway closes a connection whose head is not complete, with the notice.
func (c *Connections) turnAway(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.load() == stateReading {
		c.notify(k)
	}
}

// rejectHead begins to close a connection whose head is not read to its end. It reports false if that has begun already.
func (c *Connections) rejectHead(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.load() == stateClosing {
		return false
	}
	c.setState(k, stateClosing)
	return true
}

// noteClosing records when the write side of a connection was closed.
func (c *Connections) noteClosing(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k.closingSince.IsZero() {
		k.closingSince = time.Now()
	}
}

// yield lets other goroutines run. Connections with much to read do so one after another, so that many of them take no more of the
// processor than one.
func (c *Connections) yield() {
	c.bulk.Lock()
	defer c.bulk.Unlock()
	runtime.Gosched()
}

// startClosing moves a connection to stateClosing. It reports whether to wait for the caller to see the close, which is
// not needed if that has started already, and whether to send the notice first, because no byte of a next request was
// read.
func (c *Connections) startClosing(k *conn) (linger, notice bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous := k.load()
	c.setState(k, stateClosing)
	linger = previous != stateClosing && previous != stateHijacked && !c.noLinger && !k.peerClosed.Load()
	notice = linger && previous == stateIdle
	if notice {
		c.notified++
	}
	return linger, notice
}

// InUse returns the number of connections that read or serve a request.
func (c *Connections) InUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inUse
}

// Notified returns the number of connections that got the closing notice.
func (c *Connections) Notified() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notified
}

// TryStop makes the host reject all further requests and reports true, unless a request is in progress or likely to
// arrive on a new connection.
func (c *Connections) TryStop() bool { return c.tryStop(time.Now()) }

func (c *Connections) tryStop(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejecting = c.inUse == 0 && !c.expectsRequest(now)
	return c.rejecting
}

// expectsRequest reports whether a new connection is likely to bring its first request. The caller holds the lock.
func (c *Connections) expectsRequest(now time.Time) bool {
	if c.awaitUntil.IsZero() {
		c.awaitUntil = now.Add(maxAwait)
	}
	if now.After(c.awaitUntil) {
		return false
	}
	for k := range c.open {
		if k.load() == stateIdle && k.idleSince.IsZero() && now.Sub(k.acceptedAt) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// admission rejects requests that arrive after TryStop has succeeded, or whose connection is closing: no one waits for
// the answer to such a request, so it must not run.
func (c *Connections) admission(next, reject http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, _ := r.Context().Value(connKey{}).(*conn)
		c.mu.Lock()
		rejected := c.rejecting || (k != nil && k.load() == stateClosing)
		c.mu.Unlock()
		if rejected {
			reject.ServeHTTP(w, r)
			return
		}
		if k == nil || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		// An answer of HTTP/1.0 may end with its connection: one that is aborted must not end in order.
		k.setResetOnClose(true)
		next.ServeHTTP(w, r)
		k.setResetOnClose(false)
	})
}

// Close closes the connections: those that serve no request at once, the others after their answer. After acceptGrace
// it closes the listeners. It returns when all connections are closed or ctx is done, with the number that still serve
// a request; the http.Server.Close that must follow cuts these off.
func (c *Connections) Close(ctx context.Context) (serving int) {
	c.closeUnserved()
	accepted := time.NewTimer(acceptGrace)
	defer accepted.Stop()
	select {
	case <-accepted.C:
	case <-ctx.Done():
	}
	c.closeListeners()
	c.waitClosed(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noLinger = true
	return c.inUse
}

// CutOff makes the http.Server.Close that follows close all connections without waiting for their callers.
func (c *Connections) CutOff() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noLinger = true
}

func (c *Connections) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		_ = l.Close()
	}
}

// waitClosed returns when no connection is open, or ctx is done.
func (c *Connections) waitClosed(ctx context.Context) {
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for c.Open() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-poll.C:
		}
	}
}

func (c *Connections) closeUnserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejecting, c.closing = true, true
	for k := range c.open {
		if k.load() != stateServing {
			c.notify(k)
		}
	}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Expire closes the connections that have been idle for longer than the limit; zero means no limit.
func (c *Connections) Expire(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if k.load() == stateIdle && now.Sub(k.idleFrom()) > time.Duration(idleSlack*float64(limit)) {
			c.notify(k)
		}
	}
}
