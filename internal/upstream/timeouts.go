package upstream

import (
	"math"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/socket"
)

// The silence limit of a connection is how long its peer may acknowledge nothing before the kernel closes it
// (TCP_USER_TIMEOUT). It covers unacknowledged bytes, a closed receive window and unanswered keep-alive probes alike:
// with it, the number of probes has no effect.
const (
	// idleSilence applies to connections that carry no exchange, and to calls that may be retried: closing them costs no
	// answer, and a request must not be written to a server that has vanished.
	idleSilence = time.Second
	// deadlineMargin is how much later than its deadline the kernel may end an exchange, so that its end is known to be
	// the deadline's.
	deadlineMargin = time.Second
	// goneSilence applies to exchanges with a server that is known to be gone. After a silence, the next retransmission
	// may take as long again as the silence lasted, so that one of two seconds is survived.
	goneSilence = 4 * time.Second
	// CallerSilence applies to callers' connections: a caller that has vanished is noticed within seconds, so that its
	// work ends. The limit leaves time for the retransmission after a silence of three seconds, 6.2 s after the first
	// transmission.
	CallerSilence = 7 * time.Second
)

// SetCallerSilence sets the silence limit of callers' connections, for the Control field of net.ListenConfig.
func SetCallerSilence(_, _ string, c syscall.RawConn) error {
	return setSilenceLimit(c, CallerSilence)
}

// SetIdleSilence sets the silence limit of connections whose calls may be retried, for the Control field of net.Dialer.
func SetIdleSilence(_, _ string, c syscall.RawConn) error {
	return setSilenceLimit(c, idleSilence)
}

func setSilenceLimit(c syscall.RawConn, d time.Duration) error {
	return socket.SetUserTimeout(c, int(min(max(1, d.Milliseconds()), math.MaxInt32)))
}

// limitSilence sets the silence limit of a connection.
func (c *conn) limitSilence(d time.Duration) error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return trace.BadParameter("not a socket: %T", c.Conn)
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return trace.Wrap(err)
	}
	return setSilenceLimit(raw, d)
}

// silenceLimit returns the silence limit during an exchange: as long as its caller waits, the answer is of use.
func (r *Request) silenceLimit(now time.Time) time.Duration {
	left := r.Deadline.Sub(now) + deadlineMargin
	if r.MaxSilence > 0 {
		return min(r.MaxSilence, left)
	}
	return left
}

// begin adds a call in progress.
func (p *Pool) begin(x *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[x] = struct{}{}
}

// finish removes a call before its connection is closed or kept.
func (p *Pool) finish(x *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, x)
}

// ServerGone shortens the silence limit of the calls in progress at a server that is known to be gone, so that they end
// soon unless its host still acknowledges: a server may finish its answers after its registration has ended. Later calls
// to the same address are not affected.
func (p *Pool) ServerGone(server string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for x := range p.calls {
		if x.server == server && x.silenceLimit > goneSilence {
			x.silenceLimit = goneSilence
			_ = x.conn.limitSilence(goneSilence) // fails only if the connection is closed
		}
	}
}
