package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/timing"
)

const (
	// pacedLinkShare is the share of the host's link that paced datagrams may use. Callers' responses need the rest.
	pacedLinkShare = 0.3
	// burstBytes is how much is sent between two pauses.
	burstBytes = 16 << 10
	// maxQueued limits the queued datagrams, each to many hosts. Dropped ones are replaced by later reports.
	maxQueued = 64
)

// Pacer limits the rate of datagrams to many hosts to a share of the link's speed. A zone summary sent to a hundred hosts at once
// overflows a small host's link, and always the last receivers miss it.
type Pacer struct {
	socket *Socket
	// bytesPerSecond is zero if the link's speed is unknown.
	bytesPerSecond float64
	queue          chan fanOut
}

type fanOut struct {
	to   []string
	data []byte
}

// NewPacer returns a pacer for a socket. With a link speed of zero (unknown), nothing is paced.
func NewPacer(s *Socket, linkMbps float64) *Pacer {
	return &Pacer{socket: s, bytesPerSecond: linkMbps * 1e6 / 8 * pacedLinkShare, queue: make(chan fanOut, maxQueued)}
}

// ShouldPace reports whether a datagram of the given size to that many hosts has to be paced.
func (p *Pacer) ShouldPace(hosts, size int) bool {
	return p.bytesPerSecond > 0 && hosts*size > burstBytes
}

// Send queues a datagram. It returns false if the queue is full.
func (p *Pacer) Send(to []string, packet *gossippb.Packet) bool {
	data, err := proto.Marshal(packet)
	if err != nil {
		return false
	}
	select {
	case p.queue <- fanOut{to, data}:
		return true
	default:
		return false
	}
}

// Run sends queued datagrams until ctx is done. It calls failed for each host that cannot be sent to.
func (p *Pacer) Run(ctx context.Context, failed func(error)) {
	sent := 0
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-p.queue:
			for _, ip := range f.to {
				if err := p.socket.writeTo(ip, f.data); err != nil {
					failed(err)
				}
				if sent += len(f.data); sent >= burstBytes {
					timing.Sleep(ctx, time.Duration(float64(sent)/p.bytesPerSecond*float64(time.Second)))
					sent = 0
				}
			}
		}
	}
}

// writeTo sends an encoded datagram to one host. Unlike Send, it may run concurrently with Send.
func (s *Socket) writeTo(ip string, data []byte) error {
	addr, err := s.addrOf(ip)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(data, addr)
	return err
}
