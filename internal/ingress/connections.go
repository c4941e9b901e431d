// Package ingress tracks callers' connections, so that a host ends none of them with an unanswered request on it.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// idleSlack is how much longer than the configured limit an idle connection is kept. Callers use
	// connections up to four fifths of the limit, so that few are closed as a request comes.
	idleSlack = 1.25
	// lingerFor bounds the wait for a caller to see that its connection ends. Closed before that, with bytes unread,
	// the connection would be reset and the last answer lost.
	lingerFor = 500 * time.Millisecond
	// firstWithin is how soon after its connection a caller's first request is here as a rule, on a slow link too. A host that
	// ends sooner refuses what it could have answered.
	firstWithin = 250 * time.Millisecond
	// awaitFor bounds how long a host waits for such requests in all, where new connections go on coming.
	awaitFor   = 4 * firstWithin
	lingerPoll = 5 * time.Millisecond
	// acceptFor is for connections that the kernel has made and nobody has accepted yet: closing the listener resets them.
	acceptFor = 50 * time.Millisecond
)

// closingNotice tells the caller of a request that arrives while its connection is closing that the request was not
// read and never will be (RFC 9110, 15.5.9). A caller that has sent none sees that the connection ends. The empty line
// that ends the head is still to come.
const closingNotice = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n"

// Connections are the callers' connections of one host. Idle ones are closed after a limit that may change while
// http.Server runs; those in use keep a stopping host from ending.
//
// Phases and refusing change under one lock: a byte of a request is counted before End looks, or its request is refused.
type Connections struct {
	notice []byte
	// linger is lingerFor, longer in tests.
	linger    time.Duration
	mu        sync.Mutex
	open      map[*conn]struct{}
	listeners []net.Listener
	// inUse is how many of them read or serve a request.
	inUse int
	// refusing: no request is taken any more.
	refusing bool
	// closing: connections that serve no request are ended.
	closing bool
	// abrupt: connections end without a wait for their callers.
	abrupt bool
	// awaitUntil is when awaitFor is over; it begins as nothing but new connections keeps the host from ending.
	awaitUntil time.Time
	// notified is how many got the closing notice.
	notified int
}

// New returns an empty set. The closing notice carries the header lines, each "Name: value".
func New(headerLines ...string) *Connections {
	notice := closingNotice
	for _, line := range headerLines {
		notice += line + "\r\n"
	}
	return &Connections{notice: []byte(notice + "\r\n"), linger: lingerFor, open: map[*conn]struct{}{}}
}

// Guard sets a server up to serve connections of Listener. Requests that come after End go to turnAway.
func (c *Connections) Guard(s *http.Server, turnAway http.Handler) {
	s.Handler = c.gate(s.Handler, turnAway)
	s.ConnState = c.connState
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Listener tracks the connections of l. It is what http.Server serves, above TLS if there is any.
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
	inner, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	return l.owner.add(inner), nil
}

func (c *Connections) add(inner net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &conn{Conn: inner, owner: c, acceptedAt: time.Now()}
	c.open[k] = struct{}{}
	if c.closing {
		c.notify(k)
	}
	return k
}

// connState is http.Server's hook.
func (c *Connections) connState(nc net.Conn, s http.ConnState) {
	k, ok := nc.(*conn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.enter(k, serving)
	case http.StateIdle:
		c.enter(k, idle)
		k.idleSince = time.Now()
		if c.closing {
			c.notify(k)
		}
	case http.StateClosed, http.StateHijacked:
		c.enter(k, closing)
		delete(c.open, k)
	}
}

// enter moves a connection to a phase; one that is closing stays so. The lock is held.
func (c *Connections) enter(k *conn, p phase) {
	was := k.in()
	if was == closing {
		return
	}
	if was.inUse() {
		c.inUse--
	}
	if p.inUse() {
		c.inUse++
	}
	k.phase.Store(int32(p))
}

// begin notes bytes of a request on a connection. It reports false where the connection is closing and they are to be
// dropped.
func (c *Connections) begin(k *conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch k.in() {
	case closing:
		return false
	case idle:
		c.enter(k, reading)
	}
	return true
}

// notify ends a connection that serves no request, with the notice; the server's pending Read drops what still comes. The
// lock is held.
func (c *Connections) notify(k *conn) {
	if k.in() == closing {
		return
	}
	c.enter(k, closing)
	c.notified++
	go k.endSending(true)
}

// finish makes a connection closing. It reports whether to wait for the caller to see that, as nobody has done so yet, and
// whether to give it the notice first, as no byte of a next request was read.
func (c *Connections) finish(k *conn) (linger, notice bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	was := k.in()
	c.enter(k, closing)
	linger = was != closing && !c.abrupt && !k.over.Load()
	notice = linger && was == idle
	if notice {
		c.notified++
	}
	return linger, notice
}

// InUse is how many connections read or serve a request.
func (c *Connections) InUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inUse
}

// Notified is how many connections have got the closing notice.
func (c *Connections) Notified() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.notified
}

// TryStop makes the host take no request any more, unless one is in hand or is likely to come on a new connection.
func (c *Connections) TryStop() bool { return c.end(time.Now()) }

func (c *Connections) end(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing = c.inUse == 0 && !c.awaited(now)
	return c.refusing
}

// awaited tells whether a new connection is about to bring its first request. The lock is held.
func (c *Connections) awaited(now time.Time) bool {
	if c.awaitUntil.IsZero() {
		c.awaitUntil = now.Add(awaitFor)
	}
	if now.After(c.awaitUntil) {
		return false
	}
	for k := range c.open {
		if k.in() == idle && k.idleSince.IsZero() && now.Sub(k.acceptedAt) < firstWithin {
			return true
		}
	}
	return false
}

// gate turns requests away that come after End, or whose connection is closing: nobody waits for their answer.
func (c *Connections) gate(next, turnAway http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, _ := r.Context().Value(connKey{}).(*conn)
		c.mu.Lock()
		away := c.refusing || (k != nil && k.in() == closing)
		c.mu.Unlock()
		if away {
			turnAway.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Close ends the connections: at once those that serve no request, the others after their answer. After acceptFor it closes
// the listeners. It returns when all connections have ended, or with ctx, and then tells how many still serve; http.Server's
// Close, which has to follow, cuts these.
func (c *Connections) Close(ctx context.Context) (serving int) {
	c.endUnserved()
	accepted := time.NewTimer(acceptFor)
	defer accepted.Stop()
	select {
	case <-accepted.C:
	case <-ctx.Done():
	}
	c.closeListeners()
	c.await(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abrupt = true
	return c.inUse
}

func (c *Connections) closeListeners() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.listeners {
		_ = l.Close()
	}
}

// await returns when no connection is open, or with ctx.
func (c *Connections) await(ctx context.Context) {
	poll := time.NewTicker(lingerPoll)
	defer poll.Stop()
	for c.left() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-poll.C:
		}
	}
}

func (c *Connections) endUnserved() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusing, c.closing = true, true
	for k := range c.open {
		if k.in() != serving {
			c.notify(k)
		}
	}
}

func (c *Connections) left() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// Expire ends the connections that have been idle for longer than the limit; zero is no limit.
func (c *Connections) Expire(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if k.in() == idle && !k.idleSince.IsZero() && now.Sub(k.idleSince) > time.Duration(idleSlack*float64(limit)) {
			c.notify(k)
		}
	}
}
