package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pool keeps idle connections by address.
type Pool struct {
	dialer *net.Dialer
	mu     sync.Mutex
	idle   map[string][]*conn
	dialed func()
}

// NewPool returns an empty pool; dialed is called for each new connection.
func NewPool(dialed func()) *Pool {
	return &Pool{dialer: Dialer(dialTimeout), idle: map[string][]*conn{}, dialed: dialed}
}

// get takes the idle connection that was used last, or dials.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.clean() {
			return c, nil
		}
		_ = c.Close()
	}
	p.dialed()
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

// giveBack keeps a connection that was not used, for no longer than it would have been kept.
func (p *Pool) giveBack(addr string, c *conn, most int) {
	keep := idleDefault
	if !c.until.IsZero() {
		keep = time.Until(c.until)
	}
	p.put(addr, c, keep, most)
}

// IsRefused tells that a connection was refused: nothing listens at the address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ProbeRefused tells whether nothing listens at an address any more, by a connection that is closed at once.
func ProbeRefused(ctx context.Context, addr string) bool {
	c, err := dial(ctx, Dialer(dialTimeout), addr)
	if err != nil {
		return IsRefused(err)
	}
	_ = c.Close()
	return false
}

// Probe tells whether an address can be reached, or refuses the connection; neither where there is no answer. A connection that
// is made is kept for the next call, unless most are kept already.
func (p *Pool) Probe(ctx context.Context, addr string, most int) (reached, refused bool) {
	p.dialed()
	c, err := dial(ctx, p.dialer, addr)
	if err != nil {
		return false, IsRefused(err)
	}
	p.giveBack(addr, c, most)
	return true, false
}

// put keeps a connection for a time, unless most are kept already.
func (p *Pool) put(addr string, c *conn, keep time.Duration, most int) {
	if keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.until = time.Now().Add(keep)
	c.stall, c.stalled = 0, nil
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[addr]) >= most {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
}

// CloseIdle closes the idle connections to an address that is not used any more.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Expire closes connections that have been idle for as long as they may.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
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
