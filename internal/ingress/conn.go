package ingress

import (
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection is in use for.
type phase int32

const (
	// idle: no byte of the next request has been read.
	idle phase = iota
	// reading: from the first byte of a request to the end of its head.
	reading
	// serving: from there until the last byte of the answer is written.
	serving
	// closing: what comes is dropped.
	closing
)

func (p phase) inUse() bool { return p == reading || p == serving }

// conn is one connection. It changes its phase under its owner's lock.
type conn struct {
	net.Conn
	owner *Connections
	phase atomic.Int32
	// idleSince is zero before the first request.
	idleSince time.Time
}

// Read implements net.Conn.
func (k *conn) Read(p []byte) (int, error) {
	for {
		n, err := k.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		if phase(k.phase.Load()).inUse() || k.owner.begin(k) {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// SetReadDeadline implements net.Conn. The server's limits do not concern a connection that is closing.
func (k *conn) SetReadDeadline(t time.Time) error {
	k.owner.mu.Lock()
	defer k.owner.mu.Unlock()
	if phase(k.phase.Load()) == closing {
		return nil
	}
	return k.Conn.SetReadDeadline(t)
}

// closeWriter is a connection whose sending side can be closed alone, as *net.TCPConn and *tls.Conn.
type closeWriter interface{ CloseWrite() error }

// CloseWrite lets http.Server close the sending side first.
func (k *conn) CloseWrite() error {
	if w, ok := k.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// sayClosing ends the sending side with the notice. The server goes on reading until the caller closes, or for lingerFor.
// Errors are those of a connection that has ended already.
func (k *conn) sayClosing() {
	// Both ways: a TLS handshake that is not over yet reads before the notice can be written.
	_ = k.Conn.SetDeadline(time.Now().Add(lingerFor))
	_, _ = k.Write(k.owner.notice)
	_ = k.CloseWrite()
}
