package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pool keeps idle connections by address, and knows the calls in progress.
type Pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	calls  map[*call]struct{}
	onDial func()
}

// NewPool returns an empty pool; onDial is called for each new connection.
func NewPool(onDial func()) *Pool {
	return &Pool{dialer: Dialer(dialTimeout), idle: map[string][]*conn{}, calls: map[*call]struct{}{}, onDial: onDial}
}

// get takes the most recently used idle connection, or dials.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
	p.onDial()
	return dial(ctx, p.dialer, addr)
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
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
	p.onDial()
	c, err := dial(ctx, p.dialer, addr)
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
	c.idleUntil = time.Now().Add(keep)
	c.stallTimeout, c.onStall = 0, nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
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
