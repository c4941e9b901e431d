package relay

import (
	"bufio"
	"io"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/socket"
)

const (
	bufferSize = 16 << 10
	// legTimeout closes the connection between two hosts if the other one is gone. The first host limits its exchanges
	// itself, so this is longer than most of them.
	legTimeout = 15 * time.Second
	// keepAliveInterval is the interval of the probes of a silent connection between two hosts, and keepAliveCount is more
	// of them than legTimeout allows.
	keepAliveInterval = time.Second
	keepAliveCount    = 127
	// flushTimeout and flushPoll limit the wait for bytes on their way to the host before its connection is reset.
	flushTimeout = time.Second
	flushPoll    = 5 * time.Millisecond
	acceptedHead = "HTTP/1.1 200 OK\r\n\r\n"
)

var buffers = sync.Pool{New: func() any { return new([bufferSize]byte) }}

// tunnel joins a connection from another host with one to a backend server.
type tunnel struct {
	host *net.TCPConn
	// hostReader holds what the host sent behind the head of CONNECT.
	hostReader *bufio.Reader
	backend    net.Conn
	// up and down are the bytes carried to and from the backend server, and backendErr is how its side failed.
	up, down   int64
	backendErr error
}

// accept prepares the host's connection and answers CONNECT. The connection is reset when it is closed, also by the
// kernel at the end of this process: an answer that ends with its connection would otherwise look complete.
func (t *tunnel) accept() error {
	if err := setLegTimeout(t.host); err != nil {
		return trace.Wrap(err)
	}
	if err := t.host.SetLinger(0); err != nil {
		return trace.Wrap(err)
	}
	_, err := io.WriteString(t.host, acceptedHead)
	return trace.Wrap(err)
}

// carry copies both ways until both sides have ended.
func (t *tunnel) carry() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.carryUp()
	}()
	t.carryDown()
	<-done
	t.reset()
}

// carryUp copies to the backend server until the host closes its connection, which it does only as a whole, and which has
// to end the work at the backend server at once. What a backend server no longer takes is discarded: its answer may still
// be on the way.
func (t *tunnel) carryUp() {
	var writeErr error
	t.up, _, writeErr = pump(t.backend, t.hostReader)
	if writeErr != nil {
		_, _, _ = pump(io.Discard, t.hostReader)
	}
	t.reset()
}

// carryDown copies from the backend server and passes on how its side ends.
func (t *tunnel) carryDown() {
	var readErr, writeErr error
	t.down, readErr, writeErr = pump(t.host, t.backend)
	if writeErr == nil && readErr == io.EOF && socket.PeerClosed(t.backend) && t.host.CloseWrite() == nil {
		return
	}
	if writeErr == nil {
		t.backendErr = readErr
		t.flush()
	}
	t.reset()
}

// flush waits until the host has received what was written to it, which a reset would discard.
func (t *tunnel) flush() {
	for end := time.Now().Add(flushTimeout); time.Now().Before(end) && socket.Unacknowledged(t.host) > 0; {
		time.Sleep(flushPoll)
	}
}

// reset closes both connections, the host's with a reset.
func (t *tunnel) reset() {
	_ = t.host.Close()
	_ = t.backend.Close()
}

// pump copies until reading or writing fails, and returns which of them did. The end of src is io.EOF.
func pump(dst io.Writer, src io.Reader) (n int64, readErr, writeErr error) {
	buf := buffers.Get().(*[bufferSize]byte)
	defer buffers.Put(buf)
	for {
		k, err := src.Read(buf[:])
		if k > 0 {
			if _, err := dst.Write(buf[:k]); err != nil {
				return n, nil, err
			}
			n += int64(k)
		}
		if err != nil {
			return n, err, nil
		}
	}
}
