package ingress

import (
	"bytes"
	"cmp"
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
	// stateHijacked: a handler has taken the connection over.
	stateHijacked
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
	// closingSince is when the last answer was written; zero before. It is guarded by the owner's lock.
	closingSince time.Time
	// resetOnClose is set while an answer is in progress that only the end of the connection would mark as complete.
	resetOnClose atomic.Bool
	// peerClosed is set once the caller has closed its side, or the connection is broken.
	peerClosed atomic.Bool
	account    *membudget.Account
	// headLimits apply to the head that is being read, and headBytes are the bytes of it so far. bodyBytes are those after it. Only the
	// goroutine that reads uses them.
	headLimits HeadLimits
	headBytes  int
	bodyBytes  int
	// onlyEmptyLines is set while nothing else was read of the next request.
	onlyEmptyLines bool
}

const (
	// readAhead is what http.Server may read behind the end of a head at once.
	readAhead = 4 << 10
	// headCost is the memory in bytes that a byte of a head takes, and headLineCost what each line adds: a head is kept as read and in
	// a map, and copied for a backend server.
	headCost     = 2
	headLineCost = 150
	// bulkBytes is the size in bytes from which bodies are read in turns. Ordinary requests are smaller.
	bulkBytes = 4 << 10
	// maxDiscard is how many bytes are read behind the last answer of a connection, so that its caller sees it: more than the rest of
	// any body that is allowed. maxDiscardHead is the same behind a head that was rejected.
	maxDiscard     = 8 << 20
	maxDiscardHead = 1 << 20
	// answerTime is how long a closing connection stays open in any case, so that its caller can read the answer.
	answerTime = 50 * time.Millisecond
	// noticeTimeout is how long a write of the notice may block on a connection that is closed for others.
	noticeTimeout = 5 * time.Millisecond
)

func (k *conn) load() connState { return connState(k.state.Load()) }

// Read implements net.Conn. It counts the connection as in use before http.Server sees the first byte, because the
// server reports StateActive only after the complete head. On a closing connection it discards what it reads.
func (k *conn) Read(p []byte) (int, error) {
	discarded := 0
	for {
		n, err := k.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) && k.load() == stateReading {
			k.rejectHead(k.owner.notice, countHeadTimeout)
			continue
		}
		if n == 0 {
			k.peerClosed.Store(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
			return 0, err
		}
		switch k.load() {
		case stateServing:
			k.takeTurn(n)
			return n, err
		case stateHijacked:
			return n, err
		}
		if k.load() == stateReading || k.owner.startReading(k) {
			if n = k.countHead(p[:n]); n > 0 {
				return n, err
			}
		}
		if discarded += n; err != nil || discarded > maxDiscardHead {
			return 0, cmp.Or(err, io.EOF)
		}
	}
}

// beginHead starts the limits of a head. The caller holds the owner's lock.
func (k *conn) beginHead(l HeadLimits) {
	k.headLimits, k.headBytes, k.onlyEmptyLines = l, 0, true
	k.account.Receive(func() { k.owner.turnAway(k) })
	if l.Time > 0 {
		_ = k.Conn.SetReadDeadline(time.Now().Add(l.Time))
	}
}

// endHead ends them, as the head is complete.
func (k *conn) endHead() {
	k.account.Pause()
	k.bodyBytes = 0
	if k.headLimits.Time > 0 {
		_ = k.Conn.SetReadDeadline(time.Time{})
	}
}

// countHead applies the limits to bytes of a head. It removes empty lines before the request line (RFC 9112, 2.2) and returns how many bytes
// are left; zero if nothing is, also because the head was rejected.
func (k *conn) countHead(p []byte) int {
	rest := p
	if k.onlyEmptyLines {
		rest = bytes.TrimLeft(p, "\r\n")
	}
	k.headBytes += len(p)
	if k.headLimits.Bytes > 0 && k.headBytes > k.headLimits.Bytes+readAhead {
		k.rejectHead(k.owner.headTooLong, countHeadTooLong)
		return 0
	}
	if len(rest) == 0 {
		return 0
	}
	k.onlyEmptyLines = false
	k.account.Progress(len(rest))
	if k.account.Reserve(int64(headCost*len(rest)+headLineCost*bytes.Count(rest, []byte{'\n'}))) != nil {
		k.rejectHead(k.owner.notice, countNoMemory)
		return 0
	}
	return copy(p, rest)
}

// rejectHead closes the connection of a head that is not read to its end. What its caller still sends is discarded.
func (k *conn) rejectHead(notice []byte, count string) {
	if !k.owner.rejectHead(k) {
		return
	}
	k.owner.limits.Count(count, 1)
	k.closeWriteSide(notice)
}

// takeTurn lets other goroutines run before n more bytes of a body are processed, if it is long.
func (k *conn) takeTurn(n int) {
	if k.bodyBytes += n; k.bodyBytes > bulkBytes {
		k.owner.yield()
	}
}

// discardReader reads what is discarded, in turns with other connections.
type discardReader struct{ k *conn }

// Read implements io.Reader.
func (d discardReader) Read(p []byte) (int, error) {
	n, err := d.k.Conn.Read(p)
	d.k.owner.yield()
	return n, err
}

// idleFrom is when the connection was used last; when it was accepted if it never was.
func (k *conn) idleFrom() time.Time {
	if k.idleSince.IsZero() {
		return k.acceptedAt
	}
	return k.idleSince
}

// unusedSince reports whether the connection serves no request and may be closed for others, and since when. The caller holds the owner's
// lock.
func (k *conn) unusedSince(now time.Time) (time.Time, bool) {
	if k.load() == stateIdle {
		return k.idleFrom(), true
	}
	return k.closingSince, !k.closingSince.IsZero() && now.Sub(k.closingSince) > answerTime
}

// SetReadDeadline implements net.Conn. The server's deadlines don't apply to a closing connection, nor to a head that has a limit of its
// own.
func (k *conn) SetReadDeadline(t time.Time) error {
	k.owner.mu.Lock()
	defer k.owner.mu.Unlock()
	if k.load() == stateClosing || (k.load() == stateReading && k.headLimits.Time > 0) {
		return nil
	}
	return k.Conn.SetReadDeadline(t)
}

// closeWriter is a connection whose write side can be closed separately, such as *net.TCPConn and *tls.Conn.
type closeWriter interface{ CloseWrite() error }

// CloseWrite lets http.Server close the write side first.
func (k *conn) CloseWrite() error {
	k.owner.noteClosing(k)
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

// NetConn returns the connection that this one tracks.
func (k *conn) NetConn() net.Conn { return k.Conn }

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
	linger, sendNotice := k.owner.startClosing(k)
	if k.resetOnClose.Load() {
		return k.transport().Close()
	}
	if linger {
		var notice []byte
		if sendNotice {
			notice = k.owner.notice
		}
		k.closeWriteSide(notice)
		_, _ = io.CopyN(io.Discard, discardReader{k}, maxDiscard)
	}
	return k.Conn.Close()
}

// closeAtOnce sends the notice, if there is one, and closes without waiting for the caller.
func (k *conn) closeAtOnce(notice []byte) {
	if _, secure := k.Conn.(*tls.Conn); !secure && len(notice) > 0 { // TLS may have to shake hands first
		_ = k.SetWriteDeadline(time.Now().Add(noticeTimeout))
		_, _ = k.Write(notice)
	}
	_ = k.transport().Close()
}

// closeWriteSide sends the notice, if there is one, closes the write side and bounds further reading to the linger timeout. Errors are
// ignored: they come from connections that have already ended.
func (k *conn) closeWriteSide(notice []byte) {
	// The deadline covers writes too, because a TLS handshake still in progress has to read before the notice can be
	// written.
	_ = k.Conn.SetDeadline(time.Now().Add(k.owner.linger))
	if len(notice) > 0 {
		_, _ = k.Write(notice)
	}
	_ = k.CloseWrite()
}
