package ingress

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"fireflyshift/internal/membudget"
)

// connState is the state of a connection.
type connState int32

const (
	// stateIdle: no byte of the next request has been read.
	stateIdle connState = iota
	// stateReading: from the first byte of a request to the end of its head.
	stateReading
	// stateServing: from there until the last byte of the answer is written.
	stateServing
	// stateClosing: received bytes are discarded.
	stateClosing
)

func (s connState) inUse() bool { return s == stateReading || s == stateServing }

// conn is a caller's connection.
type conn struct {
	net.Conn
	owner *Connections
	// state is written under the owner's lock.
	state      atomic.Int32
	acceptedAt time.Time
	// idleSince is zero before the first request. It is guarded by the owner's lock.
	idleSince time.Time
	// resetOnClose is set while an answer is in progress that only the end of the connection would mark as complete.
	resetOnClose atomic.Bool
	// peerClosed is set once the caller has closed its side, or the connection is broken.
	peerClosed atomic.Bool
	account    *membudget.Account
}

func (k *conn) load() connState { return connState(k.state.Load()) }

// Read implements net.Conn. It counts the connection as in use before http.Server sees the first byte, because the
// server reports StateActive only after the complete head. On a closing connection it discards what it reads.
func (k *conn) Read(p []byte) (int, error) {
	for {
		n, err := k.Conn.Read(p)
		if n == 0 {
			k.peerClosed.Store(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
			return 0, err
		}
		if k.load().inUse() || k.owner.startReading(k) {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// SetReadDeadline implements net.Conn. The server's deadlines don't apply to a closing connection.
func (k *conn) SetReadDeadline(t time.Time) error {
	k.owner.mu.Lock()
	defer k.owner.mu.Unlock()
	if k.load() == stateClosing {
		return nil
	}
	return k.Conn.SetReadDeadline(t)
}

// closeWriter is a connection whose write side can be closed separately, such as *net.TCPConn and *tls.Conn.
type closeWriter interface{ CloseWrite() error }

// CloseWrite lets http.Server close the write side first.
func (k *conn) CloseWrite() error {
	if w, ok := k.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// setResetOnClose makes the connection end with a reset, also at the end of the process.
func (k *conn) setResetOnClose(on bool) {
	k.resetOnClose.Store(on)
	linger := -1 // the default: the kernel closes in order
	if on {
		linger = 0
	}
	if tcp, ok := k.transport().(*net.TCPConn); ok {
		_ = tcp.SetLinger(linger) // fails only if the connection is closed
	}
}

// transport returns the connection below TLS, if there is any.
func (k *conn) transport() net.Conn {
	if secure, ok := k.Conn.(*tls.Conn); ok {
		return secure.NetConn()
	}
	return k.Conn
}

// Close implements net.Conn. It discards what the caller still sends until the caller has seen the close (RFC 9112,
// 9.6): closing a connection with unread bytes would reset it, and the last answer would be lost.
func (k *conn) Close() error {
	linger, notice := k.owner.startClosing(k)
	if k.resetOnClose.Load() {
		return k.transport().Close()
	}
	if linger {
		k.closeWriteSide(notice)
		_, _ = io.Copy(io.Discard, k.Conn)
	}
	return k.Conn.Close()
}

// closeWriteSide closes the write side and bounds further reading to the linger timeout. Errors are ignored: they come
// from connections that have already ended.
func (k *conn) closeWriteSide(notice bool) {
	// The deadline covers writes too, because a TLS handshake still in progress has to read before the notice can be
	// written.
	_ = k.Conn.SetDeadline(time.Now().Add(k.owner.linger))
	if notice {
		_, _ = k.Write(k.owner.notice)
	}
	_ = k.CloseWrite()
}
