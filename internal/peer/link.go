// Package peer transports messages between hosts over gRPC without interpreting them. Messages to a host go
// on one stream that this host dials. They are coalesced into batches and dropped when a queue is full: the
// protocol repeats every lost message or repairs its effects.
package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
)

const (
	queueLength    = 8192
	maxBatch       = 512
	minRedialDelay = 50 * time.Millisecond
	maxRedialDelay = time.Second
	dialTimeout    = 2 * time.Second
	keepaliveTime  = 10 * time.Second
	maxMessage     = 4 << 20
	// idleTimeout closes unused links, such as those to schedulers of other zones.
	idleTimeout = 30 * time.Second
)

// Counter is a metric that the daemon passes in.
type Counter interface{ Inc(int64) }

// Counters are the metrics of a Sender.
type Counters struct {
	SentMessages, SentBytes, Dropped Counter
}

// Sender sends messages over one link per receiving host.
type Sender struct {
	ctx    context.Context
	self   *peerpb.Sender
	creds  credentials.TransportCredentials
	routes map[string]string
	onOpen func(host string)
	count  Counters
	mu     sync.Mutex
	links  map[string]*link
	wg     sync.WaitGroup
	// closing is closed, and closed set, when no more messages are accepted.
	closing chan struct{}
	closed  bool
}

// Options configure a Sender.
type Options struct {
	Self  *peerpb.Sender
	Creds credentials.TransportCredentials
	// Routes overrides the advertised addresses of hosts, by host ID.
	Routes map[string]string
	Count  Counters
	// Opened is called each time a link has been opened or reopened.
	Opened func(host string)
}

// NewSender returns a Sender whose links are closed when ctx is done.
func NewSender(ctx context.Context, o Options) *Sender {
	return &Sender{ctx: ctx, self: o.Self, creds: o.Creds, routes: o.Routes, onOpen: o.Opened, count: o.Count, links: map[string]*link{},
		closing: make(chan struct{})}
}

// Send queues a message. It never blocks, since the control thread calls it.
func (s *Sender) Send(to member.Host, m *peerpb.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		s.count.Dropped.Inc(1)
		return
	}
	select {
	case s.linkTo(to).queue <- m:
	default:
		s.count.Dropped.Inc(1)
	}
}

// linkTo returns the link to a host, opened if necessary. The caller holds the mutex, so that no message is queued at a link that
// has been removed.
func (s *Sender) linkTo(to member.Host) *link {
	if other, ok := s.routes[to.ID]; ok {
		to.Addr = other
	}
	l, ok := s.links[to.ID]
	if ok && l.addr == to.Addr {
		return l
	}
	if ok {
		l.cancel() // the host has moved to another address
	}
	ctx, cancel := context.WithCancel(s.ctx)
	l = &link{sender: s, host: to.ID, addr: to.Addr, queue: make(chan *peerpb.Message, queueLength), cancel: cancel}
	s.links[to.ID] = l
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		l.run(ctx)
	}()
	return l
}

// removeLink removes a link that has ended and drops the messages that it has not sent.
func (s *Sender) removeLink(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(l)
	l.dropQueued()
}

// removeIdle removes a link unless a message is queued there. It reports whether it has.
func (s *Sender) removeIdle(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(l.queue) > 0 {
		return false
	}
	s.forget(l)
	return true
}

// forget removes l if it has not been replaced. The caller holds the mutex.
func (s *Sender) forget(l *link) {
	if s.links[l.host] == l {
		delete(s.links, l.host)
	}
}

// Close accepts no more messages. It returns when the other hosts have received those queued on open links, or when ctx is done.
func (s *Sender) Close(ctx context.Context) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Wait blocks until all links have ended, which the context given to NewSender triggers.
func (s *Sender) Wait() { s.wg.Wait() }

// link is the outgoing stream to one host.
type link struct {
	sender *Sender
	host   string
	addr   string
	queue  chan *peerpb.Message
	cancel context.CancelFunc
}

func (l *link) run(ctx context.Context) {
	defer l.cancel()
	defer l.sender.removeLink(l)
	conn, err := grpc.NewClient("passthrough:///"+l.addr,
		grpc.WithTransportCredentials(l.sender.creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: minRedialDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxRedialDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: 2 * time.Second}),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(16<<10))
	if err != nil {
		return
	}
	defer conn.Close()
	wait := minRedialDelay
	for ctx.Err() == nil {
		idle, used := l.stream(ctx, conn)
		if idle {
			return
		}
		if used {
			wait = minRedialDelay
		} else {
			l.dropQueued()
		}
		select {
		case <-ctx.Done():
		case <-l.sender.closing:
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, maxRedialDelay)
	}
}

// dropQueued drops the messages queued for an unreachable host. After a long outage they would arrive all at once and
// outdated. What still matters is sent again after LinkOpened and through digests.
func (l *link) dropQueued() {
	for {
		select {
		case <-l.queue:
			l.sender.count.Dropped.Inc(1)
		default:
			return
		}
	}
}

// stream opens a stream and sends until an error, until the link is idle, or until the sender closes. idle reports that
// the link is to end, used that the stream was open.
func (l *link) stream(ctx context.Context, conn *grpc.ClientConn) (idle, used bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := peerpb.NewPeerClient(conn).Link(ctx, grpc.WaitForReady(false))
	if err != nil {
		return false, false
	}
	if err := st.Send(&peerpb.Batch{From: l.sender.self}); err != nil {
		return false, false
	}
	l.sender.onOpen(l.host)
	timer := time.NewTimer(idleTimeout)
	defer timer.Stop()
	for {
		select {
		case <-st.Context().Done():
			return false, true
		case <-timer.C:
			if !l.sender.removeIdle(l) {
				continue // the queued message restarts the timer
			}
			_, _ = st.CloseAndRecv()
			return true, true
		case <-l.sender.closing:
			l.flush(st)
			return true, true
		case m := <-l.queue:
			batch := l.coalesce(m)
			if err := st.Send(batch); err != nil {
				return false, true
			}
			timer.Reset(idleTimeout)
		}
	}
}

// flush sends the queued messages and returns when the other host has received them.
func (l *link) flush(st grpc.ClientStreamingClient[peerpb.Batch, peerpb.LinkClosed]) {
	for len(l.queue) > 0 {
		if err := st.Send(l.coalesce(<-l.queue)); err != nil {
			return
		}
	}
	_, _ = st.CloseAndRecv()
}

// coalesce batches a message with those queued behind it, so that a burst costs one write.
func (l *link) coalesce(first *peerpb.Message) *peerpb.Batch {
	b := &peerpb.Batch{Messages: []*peerpb.Message{first}}
	for len(b.Messages) < maxBatch {
		select {
		case m := <-l.queue:
			b.Messages = append(b.Messages, m)
		default:
			l.sender.count.SentMessages.Inc(int64(len(b.Messages)))
			l.sender.count.SentBytes.Inc(int64(sizeOf(b)))
			return b
		}
	}
	l.sender.count.SentMessages.Inc(int64(len(b.Messages)))
	l.sender.count.SentBytes.Inc(int64(sizeOf(b)))
	return b
}
