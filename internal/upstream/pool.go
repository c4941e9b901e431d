package upstream

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"
)

// Pool keeps idle connections by address, and knows the calls in progress.
type Pool struct {
	dialer ContextDialer
	relays RelayDialer
	mu     sync.Mutex
	idle   map[string][]*conn
	calls  map[*call]struct{}
	onDial func()
}

// NewPool returns an empty pool; onDial is called for each new connection.
func NewPool(onDial func()) *Pool {
	return &Pool{dialer: Dialer(dialTimeout), idle: map[string][]*conn{}, calls: map[*call]struct{}{}, onDial: onDial}
}

// get takes the most recently used idle connection through the host via, or dials; directly if via is empty.
func (p *Pool) get(ctx context.Context, addr, via string) (*conn, error) {
	for {
		c := p.pop(addr, via)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	return p.connect(ctx, addr, via)
}

func (p *Pool) pop(addr, via string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var c *conn
	c, p.idle[addr] = popVia(p.idle[addr], via)
	return c
}

// putUnused keeps a connection that was not used, for no longer than it would have been kept before.
func (p *Pool) putUnused(addr string, c *conn, maxIdle int) {
	keep := defaultIdleTimeout
	if !c.idleUntil.IsZero() {
		keep = time.Until(c.idleUntil)
	}
	p.put(addr, c, keep, maxIdle)
}

// IsRefused reports whether err is a refused connection: nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ProbeRefused reports whether a connection to addr is refused, which means that nothing listens there any more. A
// connection that succeeds is closed at once.
func ProbeRefused(ctx context.Context, addr string) bool {
	c, err := dial(ctx, Dialer(dialTimeout), addr)
	if err != nil {
		return IsRefused(err)
	}
	_ = c.Close()
	return false
}

// Probe reports whether addr accepts or refuses a connection; neither if there is no answer. A successful connection is
// kept for the next call, unless maxIdle are kept already.
func (p *Pool) Probe(ctx context.Context, addr string, maxIdle int) (reached, refused bool) {
	c, err := p.connect(ctx, addr, "")
	if err != nil {
		return false, IsRefused(err)
	}
	p.putUnused(addr, c, maxIdle)
	return true, false
}

// put keeps a connection for the given time, unless maxIdle are kept already.
func (p *Pool) put(addr string, c *conn, keep time.Duration, maxIdle int) {
	if keep <= 0 || c.SetDeadline(time.Time{}) != nil || c.limitSilence(idleSilence) != nil {
		_ = c.Close()
		return
	}
	if c.via != "" {
		keep = min(keep, maxRelayedIdle)
	}
	c.idleUntil = time.Now().Add(keep)
	c.stallTimeout, c.onStall = 0, nil
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) >= maxIdle && len(list) > 0 && list[0].via != c.via {
		// It was made before the way to the backend server changed.
		_ = list[0].Close()
		list = list[1:]
	}
	if len(list) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(list, c)
}

// CloseIdle closes the idle connections to an address that is no longer used.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Expire closes connections that have been idle for their full time.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(p.idle)
}
