package gossip

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

// Guards against sending a datagram to all hosts of a zone faster than a small host's link allows.
func TestDatagramsToManyHostsArePaced(t *testing.T) {
	const hosts, port = 40, 18931
	var received atomic.Int64
	to := make([]string, hosts)
	for i := range to {
		to[i] = fmt.Sprintf("127.88.1.%d", i+1)
		s, err := Listen(to[i], port)
		require.NoError(t, err)
		defer s.Close()
		go s.Receive(func(string, *gossippb.Packet, int) { received.Add(1) }, func() {})
	}
	s, err := Listen("127.88.2.1", port)
	require.NoError(t, err)
	defer s.Close()
	packet := &gossippb.Packet{Relay: &gossippb.Relay{Zones: []*gossippb.ZoneSum{{Zone: "z", Owners: make([]string, 1000)}}}}
	p := NewPacer(s, 8) // 300 KB a second
	require.True(t, p.ShouldPace(hosts, 2000))
	require.False(t, p.ShouldPace(2, 2000))
	require.False(t, NewPacer(s, 0).ShouldPace(hosts, 2000))
	go p.Run(t.Context(), func(err error) { t.Error(err) })
	began := time.Now()
	require.True(t, p.Send(to, packet))
	require.Eventually(t, func() bool { return received.Load() == hosts }, 20*time.Second, 5*time.Millisecond)
	require.Greater(t, time.Since(began), 100*time.Millisecond, "80 KB")
}

// Guards against a queue that grows without limit if the link is too slow.
func TestPacerDropsWhatIsTooMuch(t *testing.T) {
	p := NewPacer(nil, 1)
	for range maxQueued {
		require.True(t, p.Send([]string{"10.0.0.1"}, &gossippb.Packet{}))
	}
	require.False(t, p.Send([]string{"10.0.0.1"}, &gossippb.Packet{}))
}
