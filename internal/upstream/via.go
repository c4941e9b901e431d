package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"
)

// ErrRelay is wrapped by errors of a relay itself: it does not answer, is busy or shuts down. They tell nothing of the
// backend server.
var ErrRelay = errors.New("the relay does not serve")

// ErrUnknownAtRelay is wrapped if a relay does not know the backend server.
var ErrUnknownAtRelay = errors.New("the relay does not know the backend server")

// maxRelayedIdle is how long a relayed connection is kept idle at most: a relay that shuts down waits for it, and it is
// of no use once the backend server can be reached again.
const maxRelayedIdle = 2 * time.Second

// ContextDialer makes connections; net.Dialer is one.
type ContextDialer interface {
	DialContext(ctx context.Context, network, addr string) (net.Conn, error)
}

// RelayDialer makes connections to backend servers through other hosts.
type RelayDialer interface {
	Dial(ctx context.Context, relay, addr string) (net.Conn, error)
}

// UseDialer replaces the dialer of direct connections.
func (p *Pool) UseDialer(d ContextDialer) { p.dialer = d }

// UseRelays sets the dialer of connections through relays.
func (p *Pool) UseRelays(d RelayDialer) { p.relays = d }

// connect makes a connection, through the host via if it is not empty.
func (p *Pool) connect(ctx context.Context, addr, via string) (*conn, error) {
	p.onDial()
	if via == "" {
		return dial(ctx, p.dialer, addr)
	}
	c, err := p.relays.Dial(ctx, via, addr)
	if err != nil {
		return nil, err
	}
	out := newConn(c)
	out.via = via
	return out, nil
}

func newConn(c net.Conn) *conn {
	out := &conn{Conn: c}
	out.r = bufio.NewReaderSize(out, readBuffer)
	return out
}

// popVia takes the most recently used idle connection through the host via out of a list; the direct one if via is empty.
func popVia(list []*conn, via string) (*conn, []*conn) {
	for i := len(list) - 1; i >= 0; i-- {
		if list[i].via == via {
			c := list[i]
			return c, append(list[:i], list[i+1:]...)
		}
	}
	return nil, list
}
