package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/timing"
)

const (
	// paceShare is the part of the host's link that paced datagrams may fill: callers' answers need the rest.
	paceShare = 0.3
	// paceStep is how much is sent at once.
	paceStep = 16 << 10
	// paceQueue bounds the datagrams that wait, each to many hosts. What is told later replaces what is dropped.
	paceQueue = 64
)

// Pacer sends datagrams that go to many hosts at a part of the link's speed. Sent at once, a zone's sum to a hundred hosts overflows
// a small host's link, and always the last of them miss it.
type Pacer struct {
	socket *Socket
	// bytesPerSecond is zero where the link's speed is not known.
	bytesPerSecond float64
	queue          chan fanOut
}

type fanOut struct {
	to   []string
	data []byte
}

// NewPacer returns a pacer over a socket; a link speed of zero is unknown, and paces nothing.
func NewPacer(s *Socket, linkMbps float64) *Pacer {
	return &Pacer{socket: s, bytesPerSecond: linkMbps * 1e6 / 8 * paceShare, queue: make(chan fanOut, paceQueue)}
}

// Paces tells whether a datagram of some size to so many hosts is to be paced.
func (p *Pacer) Paces(hosts, size int) bool { return p.bytesPerSecond > 0 && hosts*size > paceStep }

// Send lets a datagram wait its turn; false where too many wait.
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

// Run sends until ctx ends. failed hears of hosts that could not be sent to.
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
				if sent += len(f.data); sent >= paceStep {
					timing.Sleep(ctx, time.Duration(float64(sent)/p.bytesPerSecond*float64(time.Second)))
					sent = 0
				}
			}
		}
	}
}

// writeTo sends a datagram beside Send.
func (s *Socket) writeTo(ip string, data []byte) error {
	addr, err := s.parse(ip)
	if err != nil {
		return err
	}
	_, err = s.conn.WriteToUDPAddrPort(data, addr)
	return err
}
