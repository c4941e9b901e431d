package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/telemetry"
)

// countingReceiver counts the messages that it receives.
type countingReceiver struct{ received int }

func (*countingReceiver) Linked(member.Host, uint64) {}
func (*countingReceiver) Unlinked(string, uint64)    {}
func (c *countingReceiver) Message(string, uint64, *peerpb.Message) {
	time.Sleep(time.Millisecond) // slower than the sender
	c.received++
}

// Guards against a host that exits before it has reported the outcomes of its requests to others: tickets of work that never
// ran would stay claimed.
func TestCloseSendsWhatWaits(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	to, m := &countingReceiver{}, telemetry.NewMetrics()
	server := NewServer(insecure.NewCredentials(), to, m.Counter("received"))
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := NewSender(ctx, Options{Self: &peerpb.Sender{Host: "a1", Incarnation: 1}, Creds: insecure.NewCredentials(), Opened: func(string) {},
		Count: Counters{m.Counter("messages"), m.Counter("bytes"), m.Counter("dropped")}})
	const messages = 300
	for range messages {
		s.Send(member.Host{ID: "a2", Addr: l.Addr().String()}, &peerpb.Message{})
	}
	closing, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	s.Close(closing)
	require.NoError(t, closing.Err())
	cancel()
	server.Stop() // returns when all links have ended
	require.Equal(t, messages, to.received)
	s.Send(member.Host{ID: "a3", Addr: l.Addr().String()}, &peerpb.Message{})
	s.Wait()
}

// Guards against messages to an unreachable host that are lost without a count as the sender closes.
func TestCloseCountsWhatItDrops(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := member.Host{ID: "a2", Addr: l.Addr().String()}
	require.NoError(t, l.Close())
	m := telemetry.NewMetrics()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	s := NewSender(ctx, Options{Self: &peerpb.Sender{Host: "a1", Incarnation: 1}, Creds: insecure.NewCredentials(), Opened: func(string) {},
		Count: Counters{m.Counter("messages"), m.Counter("bytes"), m.Counter("dropped")}})
	s.Send(unreachable, &peerpb.Message{})
	dropped := m.Counter("dropped")
	require.Eventually(t, func() bool { return dropped.Count() == 1 }, 20*time.Second, time.Millisecond)
	const messages = 300 // queued while the link waits before it dials again
	for range messages {
		s.Send(unreachable, &peerpb.Message{})
	}
	closing, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	s.Close(closing)
	s.Send(unreachable, &peerpb.Message{})
	s.Wait()
	require.Equal(t, int64(1+messages+1), dropped.Count())
}

// Guards against an idle link that ends with a message in its queue.
func TestIdleLinkWithAMessageStays(t *testing.T) {
	s := NewSender(t.Context(), Options{Routes: map[string]string{}})
	l := &link{sender: s, host: "a2", queue: make(chan *peerpb.Message, 1)}
	s.links["a2"] = l
	s.Send(member.Host{ID: "a2"}, &peerpb.Message{})
	require.False(t, s.removeIdle(l))
	<-l.queue
	require.True(t, s.removeIdle(l))
	require.Empty(t, s.links)
}
