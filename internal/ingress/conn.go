package ingress

import (
	"errors"
	"io"
	"net"
	"os"
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

// conn is one connection.
type conn struct {
	net.Conn
	owner *Connections
	// phase changes under the owner's lock.
	phase      atomic.Int32
	acceptedAt time.Time
	// idleSince is zero before the first request. It is guarded by the owner's lock.
	idleSince time.Time
	// over: the caller has ended its side, or the connection is broken.
	over atomic.Bool
}

func (k *conn) in() phase { return phase(k.phase.Load()) }

// Read implements net.Conn. It counts the connection as in use before http.Server sees the first byte, as the server's own
// StateActive comes after the whole head only. On a connection that is closing it drops what comes.
func (k *conn) Read(p []byte) (int, error) {
	for {
		n, err := k.Conn.Read(p)
		if n == 0 {
			k.over.Store(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
			return 0, err
		}
		if k.in().inUse() || k.owner.begin(k) {
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
	if k.in() == closing {
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

// Close implements net.Conn. It drops what the caller still sends until the caller has seen the end (RFC 9112, 9.6): with
// bytes unread the connection would be reset, and the last answer lost.
func (k *conn) Close() error {
	if linger, notice := k.owner.finish(k); linger {
		k.endSending(notice)
		_, _ = io.Copy(io.Discard, k.Conn)
	}
	return k.Conn.Close()
}

// endSending closes the sending side, and bounds what is still read to lingerFor. Errors are those of a connection that has
// ended already.
func (k *conn) endSending(notice bool) {
	// Both ways: a TLS handshake that is not over yet reads before the notice can be written.
	_ = k.Conn.SetDeadline(time.Now().Add(k.owner.linger))
	if notice {
		_, _ = k.Write(k.owner.notice)
	}
	_ = k.CloseWrite()
}
