package router

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// Another version of the daemon, or anything else on the port, sends datagrams. The host must go on:
// no panic, no invariant broken, and its own requests still placed.
func FuzzBeat(f *testing.F) {
	add := func(b *gossippb.Beat) {
		data, err := proto.Marshal(b)
		require.NoError(f, err)
		f.Add(data)
	}
	add(&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1, Loads: []*gossippb.Load{{Backend: 1, InFlight: 1 << 31}},
		Spent: []*gossippb.Spent{{Workspace: "w", Amount: 1 << 63}}, Peers: []*gossippb.Peer{{}}, Dead: []uint32{0, 1, 1}})
	add(&gossippb.Beat{Host: "10.0.0.3", Zones: []*gossippb.ZoneSum{{Zone: "z1", Hosts: 1 << 31, Loads: []*gossippb.Load{{}}}, {}}, Changes: []byte(`[{"ID":"x"}]`)})
	e0 := newBackend(routing.Backend{ID: "e0"}).hash
	add(&gossippb.Beat{Host: "10.0.0.4", Zone: "z0", Incarnation: 1, Seq: 1, Loads: []*gossippb.Load{{Backend: e0, Unread: 1<<32 - 1}},
		Speeds: []*gossippb.Speed{{Backend: e0, IntervalUs: 1<<32 - 1, ReadNs: 1<<32 - 1}, {Backend: 7}, {}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var beat gossippb.Beat
		if proto.Unmarshal(data, &beat) != nil {
			return
		}
		b := newBench(t, 2)
		b.post(Heard{&beat})
		b.now += time.Second
		b.post(Tick{})
		b.post(Heard{&beat})
		b.submit(urgent, 0, 10)
		b.prompt(1 << 30)
		for _, e := range b.r.allBackends() {
			s := b.r.searchFor(&request{Submit: Submit{Route: urgent, PromptTok: 1 << 30}, service: "m"}, anywhere)
			require.Positive(t, s.waitAt(e, e.inFlight()), "an overflow would make it look idle")
		}
		b.now += time.Minute
		b.post(Tick{})
	})
}

// The same for what a peer answers to a question for news. A configuration never goes back by it.
func FuzzPeerNews(f *testing.F) {
	f.Add([]byte(`{"Config":{"Version":7},"Backends":[{"ID":"e0","Revision":99,"Removed":true}],"After":1,"AsOf":100}`))
	f.Add([]byte(`{"Config":{"Version":0,"Workspaces":[{"Name":"w","Rate":-1}]},"Full":true,"Backends":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var n News
		if json.Unmarshal(data, &n) != nil {
			return
		}
		n.Full, n.FromStore = false, false
		b := newBench(t, 2)
		before := b.r.version()
		b.post(n)
		require.GreaterOrEqual(t, b.r.version(), before)
		b.post(n)
		b.submit(urgent, 0, 10)
		b.now += time.Minute
		b.post(Tick{})
	})
}
