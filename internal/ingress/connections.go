// Package ingress keeps callers' connections from the first byte of a request to the last one of its answer, and ends
// them so that no request is left without an answer or a refusal.
package ingress

import (
	"context"
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
	// the connection would be reset and the notice lost.
	lingerFor  = 500 * time.Millisecond
	lingerPoll = 5 * time.Millisecond
)

// closingNotice tells the caller of a request that crosses the end of its connection that the request was not read and
// never will be (RFC 9110, 15.5.9). A caller that has sent none sees that the connection ends. The empty line that ends
// the head is still to come.
const closingNotice = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n"

// Connections are the callers' connections of one host. Idle ones are closed after a limit that may change while
// http.Server runs; those in use keep a stopping host from ending.
type Connections struct {
	notice []byte
	mu     sync.Mutex
	open   map[*conn]struct{}
	// inUse is how many of them read or serve a request.
	inUse int
	// ended tells that no request is taken any more, closed that idle connections are ended at once.
	ended, closed bool
	// notified is how many got the closing notice.
	notified int
}

// New returns an empty set. The closing notice carries the header lines, each "Name: value".
func New(headerLines ...string) *Connections {
	notice := closingNotice
	for _, line := range headerLines {
		notice += line + "\r\n"
	}
	return &Connections{notice: []byte(notice + "\r\n"), open: map[*conn]struct{}{}}
}

// Listener makes the connections of l known. It has to be what http.Server serves, outside of TLS.
func (c *Connections) Listener(l net.Listener) net.Listener { return listener{l, c} }

type listener struct {
	net.Listener
	owner *Connections
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.owner.add(inner), nil
}

func (c *Connections) add(inner net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := &conn{Conn: inner, owner: c}
	c.open[k] = struct{}{}
	if c.closed {
		c.retire(k)
	}
	return k
}

// Note is http.Server's ConnState hook.
func (c *Connections) Note(nc net.Conn, s http.ConnState) {
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
		if c.closed {
			c.retire(k)
		}
	case http.StateClosed, http.StateHijacked:
		c.enter(k, closing)
		delete(c.open, k)
	}
}

// enter moves a connection to a phase; one that is closing stays so. The lock is held.
func (c *Connections) enter(k *conn, p phase) {
	was := phase(k.phase.Load())
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
	switch phase(k.phase.Load()) {
	case closing:
		return false
	case idle:
		c.enter(k, reading)
	}
	return true
}

// retire ends a connection that serves no request: its caller is told, and what still comes is read and dropped until the caller
// has seen it. The lock is held.
func (c *Connections) retire(k *conn) {
	c.enter(k, closing)
	c.notified++
	go k.sayClosing()
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

// End makes the host take no request any more, unless one is in hand.
func (c *Connections) End() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = c.inUse == 0
	return c.ended
}

// Gate turns a request away that comes after the end: nobody would wait for its answer.
func (c *Connections) Gate(next, turnAway http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		ended := c.ended
		c.mu.Unlock()
		if ended {
			turnAway.ServeHTTP(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Close ends the connections: at once those that serve no request, the others with their answer. It returns when all have
// ended, or with ctx, and tells how many have not.
func (c *Connections) Close(ctx context.Context) (left int) {
	c.mu.Lock()
	c.ended, c.closed = true, true
	for k := range c.open {
		if phase(k.phase.Load()) != serving {
			c.retire(k)
		}
	}
	c.mu.Unlock()
	poll := time.NewTicker(lingerPoll)
	defer poll.Stop()
	for {
		if left = c.left(); left == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return c.InUse()
		case <-poll.C:
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
		if phase(k.phase.Load()) == idle && !k.idleSince.IsZero() && now.Sub(k.idleSince) > time.Duration(idleSlack*float64(limit)) {
			c.retire(k)
		}
	}
}
