// Package peer carries messages between hosts over gRPC. It knows nothing of what they mean.
// Messages to a host go on one stream that this host dials; they are coalesced into batches, and
// dropped when a queue is full: every message of the protocol is repeated or repaired if lost.
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
	queueLength   = 8192
	maxBatch      = 512
	redialFirst   = 50 * time.Millisecond
	redialMost    = time.Second
	dialTimeout   = 2 * time.Second
	keepaliveTime = 10 * time.Second
	maxMessage    = 4 << 20
	// idleClose ends links that nothing uses, as those to schedulers of other zones.
	idleClose = 30 * time.Second
)

// Counter counts bytes and messages; the daemon passes metrics in.
type Counter interface{ Inc(int64) }

// Counters are what a Sender reports.
type Counters struct {
	SentMessages, SentBytes, Dropped Counter
}

// Sender keeps a link to each host that messages go to.
type Sender struct {
	ctx    context.Context
	self   *peerpb.Sender
	creds  credentials.TransportCredentials
	routes map[string]string
	opened func(host string)
	count  Counters
	mu     sync.Mutex
	links  map[string]*link
	wg     sync.WaitGroup
	// closing is closed, and closed set, when no more messages are taken.
	closing chan struct{}
	closed  bool
}

// Options of a Sender.
type Options struct {
	Self  *peerpb.Sender
	Creds credentials.TransportCredentials
	// Routes gives other addresses to dial hosts at than they advertise.
	Routes map[string]string
	Count  Counters
	// Opened is called each time that a link is open anew.
	Opened func(host string)
}

// NewSender returns a sender whose links end with ctx.
func NewSender(ctx context.Context, o Options) *Sender {
	return &Sender{ctx: ctx, self: o.Self, creds: o.Creds, routes: o.Routes, opened: o.Opened, count: o.Count, links: map[string]*link{},
		closing: make(chan struct{})}
}

// Send queues a message. It never blocks: the control thread calls it.
func (s *Sender) Send(to member.Host, m *peerpb.Message) {
	l := s.linkTo(to)
	if l == nil {
		s.count.Dropped.Inc(1)
		return
	}
	select {
	case l.queue <- m:
	default:
		s.count.Dropped.Inc(1)
	}
}

// linkTo is nil once the sender closes.
func (s *Sender) linkTo(to member.Host) *link {
	if other, ok := s.routes[to.ID]; ok {
		to.Addr = other
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	l, ok := s.links[to.ID]
	if ok && l.addr == to.Addr {
		return l
	}
	if ok {
		l.cancel() // the host was replaced at another address
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

// drop forgets a link that closed by itself.
func (s *Sender) drop(l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links[l.host] == l {
		delete(s.links, l.host)
	}
}

// Close takes no more messages, and returns when the other hosts have those that wait on open links, or with ctx.
func (s *Sender) Close(ctx context.Context) {
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.closing)
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Wait returns when all links have ended; the context given to NewSender ends them.
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
	defer l.sender.drop(l)
	conn, err := grpc.NewClient("passthrough:///"+l.addr,
		grpc.WithTransportCredentials(l.sender.creds),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialFirst, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMost},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: 2 * time.Second}),
		grpc.WithReadBufferSize(4<<10), grpc.WithWriteBufferSize(16<<10))
	if err != nil {
		return
	}
	defer conn.Close()
	wait := redialFirst
	for ctx.Err() == nil {
		idle, used := l.stream(ctx, conn)
		if idle {
			return
		}
		if used {
			wait = redialFirst
		} else {
			l.forget()
		}
		select {
		case <-ctx.Done():
		case <-l.sender.closing:
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, redialMost)
	}
}

// forget drops what waits for a host that cannot be reached. Sent after a long cut, it would be
// questions and answers of the past, all at once; what still matters is asked again by LinkOpened
// and by digests.
func (l *link) forget() {
	for {
		select {
		case <-l.queue:
			l.sender.count.Dropped.Inc(1)
		default:
			return
		}
	}
}

// stream sends until an error or until the link is idle; used tells that it was open for a while.
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
	l.sender.opened(l.host)
	timer := time.NewTimer(idleClose)
	defer timer.Stop()
	for {
		select {
		case <-st.Context().Done():
			return false, true
		case <-timer.C:
			_, _ = st.CloseAndRecv()
			return true, true
		case <-l.sender.closing:
			l.finish(st)
			return true, true
		case m := <-l.queue:
			batch := l.coalesce(m)
			if err := st.Send(batch); err != nil {
				return false, true
			}
			timer.Reset(idleClose)
		}
	}
}

// finish sends what waits and returns when the other host has it.
func (l *link) finish(st grpc.ClientStreamingClient[peerpb.Batch, peerpb.LinkClosed]) {
	for len(l.queue) > 0 {
		if err := st.Send(l.coalesce(<-l.queue)); err != nil {
			return
		}
	}
	_, _ = st.CloseAndRecv()
}

// coalesce takes what else waits, so that a burst costs one write.
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
