package node

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleSlack is how much longer than the configured limit an idle connection is kept. Callers use
// connections up to four fifths of the limit, so that none is closed as a request comes.
const idleSlack = 1.25

// connections are the callers' connections: those that are idle are closed after the limit, which is part of
// the configuration and which http.Server cannot change while it runs; those in use keep a stopping host
// from ending.
type connections struct {
	mu        sync.Mutex
	idleSince map[net.Conn]time.Time
	// inUse are those on which a request was read whose answer is not written to its last byte.
	inUse map[net.Conn]struct{}
	// ended tells that the host takes no request any more.
	ended bool
}

func newConnections() *connections {
	return &connections{idleSince: map[net.Conn]time.Time{}, inUse: map[net.Conn]struct{}{}}
}

// note is the server's ConnState hook.
func (c *connections) note(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.idleSince, conn)
	delete(c.inUse, conn)
	switch s {
	case http.StateIdle:
		c.idleSince[conn] = time.Now()
	case http.StateActive:
		c.inUse[conn] = struct{}{}
	}
}

// used is how many connections are in use.
func (c *connections) used() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.inUse)
}

// end makes the host take no request any more, unless one is in hand.
func (c *connections) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = len(c.inUse) == 0
	return c.ended
}

// gate turns a request away that comes after the end: nobody would wait for its answer.
func (c *connections) gate(next http.Handler, turnAway http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		ended := c.ended
		c.mu.Unlock()
		if ended {
			turnAway(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// expire closes the connections that have been idle for longer than the limit.
func (c *connections) expire(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, since := range c.idleSince {
		if now.Sub(since) > time.Duration(idleSlack*float64(limit)) {
			_ = conn.Close()
			delete(c.idleSince, conn)
		}
	}
}
