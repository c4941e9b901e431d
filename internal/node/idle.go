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

// idleConns closes callers' connections that have been idle for too long. The limit is part of the
// configuration, which http.Server cannot change while it runs.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// note is the server's ConnState hook.
func (i *idleConns) note(c net.Conn, s http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if s == http.StateIdle {
		i.since[c] = time.Now()
		return
	}
	delete(i.since, c)
}

// expire closes the connections that have been idle for longer than the limit.
func (i *idleConns) expire(now time.Time, limit time.Duration) {
	if limit <= 0 {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for c, since := range i.since {
		if now.Sub(since) > time.Duration(idleSlack*float64(limit)) {
			_ = c.Close()
			delete(i.since, c)
		}
	}
}
