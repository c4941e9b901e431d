package router

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// Another version of the daemon, or any other program, sends datagrams to the port. The host must continue:
// no panic, no violated invariant, and its own requests are still scheduled.
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
	add(&gossippb.Beat{Host: "10.0.0.5", Zone: "z0", Incarnation: 1, Seq: 1, Failing: []uint32{e0, e0, 7}, Evacuations: []*gossippb.Evacuation{
		{Zone: "z9", Revision: math.MaxUint64, Era: math.MaxUint64}, {}, {Zone: "z1", Ended: true}}})
	f.Fuzz(func(t *testing.T, data []byte) {
		var beat gossippb.Beat
		if proto.Unmarshal(data, &beat) != nil {
			return
		}
		b := newFixture(t, 2)
		b.post(HeartbeatReceived{&beat})
		b.now += time.Second
		b.post(Tick{})
		b.post(HeartbeatReceived{&beat})
		b.submit(urgentRoute, 0, 10)
		b.prompt(1 << 30)
		for _, e := range b.r.allBackends() {
			s := b.r.newSelector(&request{Submit: Submit{Route: urgentRoute, PromptTok: 1 << 30}, service: "m"}, scopeAll)
			require.Positive(t, s.predictedWait(e, e.inFlight()), "an overflow would make it look idle")
		}
		b.now += time.Minute
		b.post(Tick{})
	})
}

// The same for other datagrams: a slot request whose rank is not a number, a report of more requests than there were,
// an unknown owner. No count becomes negative, and no choice fails.
func FuzzPacket(f *testing.F) {
	hash := newBackend(routing.Backend{ID: "e0"}).hash
	for _, p := range []*gossippb.Packet{
		{Ask: &gossippb.Ask{Number: 1, Service: "m", Streaming: true, Rank: float32(math.NaN()), Prompt: math.MaxUint32, Output: math.MaxUint32, WorstClass: math.MaxUint32}},
		{Ask: &gossippb.Ask{Number: 2, Service: "none", Rank: -1, Avoid: []uint32{hash, 7}}},
		{Offer: &gossippb.Offer{Number: 1, Place: &gossippb.Load{Backend: hash, InFlight: math.MaxUint32, Unread: math.MaxUint32}}},
		{Report: &gossippb.Report{Backend: hash, Priority: math.MaxUint32, Requests: math.MinInt32, Unread: math.MinInt32, Outcome: 77, IntervalUs: math.MaxUint32, ReadNs: math.MaxUint32, Events: math.MaxUint32}},
		{Report: &gossippb.Report{Backend: hash, Requests: math.MaxInt32, Unread: math.MaxInt32}},
		{Occupancy: &gossippb.Occupancy{Loads: []*gossippb.Load{{Backend: hash, InFlight: math.MaxUint32}}, Speeds: []*gossippb.Speed{{Backend: hash, IntervalUs: math.MaxUint32, ReadNs: 1}},
			Failing: []uint32{hash, 0}}},
		{Report: &gossippb.Report{Backend: hash, Requests: -1, Outcome: gossippb.Outcome_OUTCOME_FAULTY, AgeMs: math.MaxUint32}},
		{Report: &gossippb.Report{Backend: hash, Requests: -1, Outcome: gossippb.Outcome_OUTCOME_SOUND, AgeMs: math.MaxUint32}},
		{Relay: &gossippb.Relay{Zones: []*gossippb.ZoneSum{{Zone: "z1", Speaker: "x", Owners: []string{"", "nobody"}, AgeMs: math.MaxUint32, Failing: []uint32{hash}}}}},
	} {
		data, err := proto.Marshal(p)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p gossippb.Packet
		if proto.Unmarshal(data, &p) != nil || p.Beat != nil {
			return
		}
		b := newFixture(t, 3)
		for i := range maxFullMesh + 1 {
			b.r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
		}
		b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
		ev := eventOf("10.0.0.2", &p)
		if _, beat := ev.(HeartbeatReceived); beat {
			return // an empty datagram
		}
		b.post(ev)
		b.post(ev)
		b.submit(urgentRoute, 0, 10)
		b.prompt(1 << 30)
		for _, e := range b.r.allBackends() {
			require.GreaterOrEqual(t, e.inFlight(), 0)
			require.GreaterOrEqual(t, e.prefillBacklog(b.now), 0)
			s := b.r.newSelector(&request{Submit: Submit{Route: urgentRoute, PromptTok: 1 << 30}, service: "m"}, scopeAll)
			require.Positive(t, s.predictedWait(e, e.inFlight()), "an overflow would make it look idle")
		}
		b.now += time.Minute
		b.post(Tick{})
	})
}

// The same for the messages of admission queues, at a host that keeps one and has a request waiting at another owner: an absurd
// weight or patience, an answer to no question, a queue that does not exist. No request of its own stays open for ever, and no
// queue outgrows its limit.
func FuzzQueuePacket(f *testing.F) {
	hash := newBackend(routing.Backend{ID: "e0"}).hash
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	for _, p := range []*gossippb.Packet{
		{Ask: &gossippb.Ask{Number: 1, Service: "m", Streaming: true, Queues: true, Workspace: "w", Weight: nan, PatienceMs: math.MaxUint32, LeftMs: math.MaxUint32, Output: math.MaxUint32}},
		{Ask: &gossippb.Ask{Number: math.MaxUint64, Service: "m", Queues: true, Weight: -inf, Rank: nan, PatienceMs: 1, LeftMs: 1, Returning: true}},
		{Ask: &gossippb.Ask{Number: 2, Service: "none", Queues: true, Weight: inf, PatienceMs: 1000, LeftMs: 5000, Avoid: []uint32{hash, 7}}},
		{Offer: &gossippb.Offer{Number: 1, Queued: true, WaitUs: math.MaxUint32}},
		{Offer: &gossippb.Offer{Number: 1, Queued: true, BackMs: math.MaxUint32, Place: &gossippb.Load{Backend: hash}}},
		{Offer: &gossippb.Offer{Number: 1, BackMs: math.MaxUint32, Cause: 77}},
		{Withdraw: &gossippb.Withdraw{Number: 1}},
		{Withdraw: &gossippb.Withdraw{}},
		{Occupancy: &gossippb.Occupancy{All: true, Backlogs: []*gossippb.Backlog{{Service: hash, Requests: math.MaxUint32, WaitMs: math.MaxUint32}, {}}}},
	} {
		data, err := proto.Marshal(p)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var p gossippb.Packet
		if proto.Unmarshal(data, &p) != nil || (p.Ask == nil && p.Offer == nil && p.Withdraw == nil && p.Occupancy == nil) {
			return
		}
		const maxRequests = 3
		b := newFixture(t, 2)
		b.post(SettingsChanged{Bounds: b.r.opt.Bounds, Admission: AdmissionSettings{Enabled: true, MaxRequests: maxRequests}})
		b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1, AgeMs: 10_000}})
		open := map[uint64]bool{}
		post := func(ev Event) {
			for _, e := range b.post(ev) {
				switch e := e.(type) {
				case Dispatch:
					delete(open, e.ID)
				case Refuse:
					require.GreaterOrEqual(t, e.RetryAfter, time.Duration(0))
					delete(open, e.ID)
				}
			}
			for service, s := range b.r.queues.byService {
				require.LessOrEqual(t, s.queue.Len(), maxRequests, service)
				require.Len(t, s.waiting, s.queue.Len(), service)
			}
		}
		for range 20 { // more than the engines' slots: some wait here, some ask the other owner
			b.next++
			open[b.next] = true
			post(Submit{ID: b.next, Route: urgentRoute, PromptTok: 100, OutputTok: 100, Deadline: b.now + 10*time.Second})
		}
		ev := eventOf("10.0.0.2", &p)
		for range 3 {
			post(ev)
			b.now += 10 * time.Millisecond
			post(Tick{})
		}
		post(SlotOfferReceived{"10.0.0.2", &gossippb.Offer{Number: 1, Queued: true, WaitUs: 1000}})
		post(ev)
		for range 30 {
			b.now += 500 * time.Millisecond
			post(Tick{})
		}
		require.Empty(t, open, "requests without a decision after their deadline")
		for _, e := range b.r.allBackends() {
			require.GreaterOrEqual(t, e.inFlight(), 0)
		}
		for service, s := range b.r.queues.byService {
			require.Zero(t, s.queue.Len(), service)
		}
	})
}

// The same for the demands and loads of early spill, at a host that knows another zone by heartbeats and a third one by summaries: an
// absurd demand or capacity, many services or zones. Not more than half of the new requests leave the zone, nothing is sent to a zone
// without engines, operators see numbers, and memory stays bounded.
func FuzzServiceLoads(f *testing.F) {
	m := hashOfService("m")
	for _, b := range []*gossippb.Beat{
		{Host: "10.0.0.2", Zone: "z1", Incarnation: 1, Seq: 1, AgeMs: 5000, ServiceDemands: []*gossippb.ServiceDemand{{Service: m, Demand: math.MaxUint32}, {Service: m}, {}}},
		{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1, AgeMs: 5000, ServiceDemands: []*gossippb.ServiceDemand{{Service: m, Demand: math.MaxUint32}, {Service: 7, Demand: 1}}},
		{Host: "10.0.0.2", Zone: "z1", Incarnation: 1, Seq: 1, Zones: []*gossippb.ZoneSum{{Zone: "z1", Speaker: "10.0.0.2", Hosts: 9, Known: 9,
			ServiceLoads: []*gossippb.ServiceLoad{{Service: m, Capacity: math.MaxUint32}, {Service: m, Capacity: 1, Demand: math.MaxUint32}, {}}}}},
		{Host: "10.0.0.2", Zone: "z2", Incarnation: 1, Seq: 1, Zones: []*gossippb.ZoneSum{{Zone: "z0", ServiceLoads: []*gossippb.ServiceLoad{{Service: m}}}, {}}},
	} {
		data, err := proto.Marshal(b)
		require.NoError(f, err)
		f.Add(data, false)
		f.Add(data, true)
	}
	f.Fuzz(func(t *testing.T, data []byte, large bool) {
		var beat gossippb.Beat
		if proto.Unmarshal(data, &beat) != nil {
			return
		}
		b := newFixture(t, 2)
		b.post(SettingsChanged{Bounds: b.r.opt.Bounds, Balancing: BalancingSettings{EarlySpill: true}})
		if large {
			for i := range maxFullMesh + 1 {
				b.r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
			}
		}
		for range 12 {
			beat.Seq++
			for _, s := range beat.Zones {
				s.Seq++
			}
			b.post(HeartbeatReceived{&beat})
			b.now += 125 * time.Millisecond
			b.post(Tick{})
			for range 10 {
				b.next++
				b.post(Submit{ID: b.next, Route: urgentRoute, PromptTok: 100, OutputTok: math.MaxInt32, Deadline: b.now + 10*time.Second})
			}
			s := b.r.spillOf("m")
			sum := 0.0
			for _, target := range s.targets {
				sum += target.Share
			}
			require.LessOrEqual(t, sum, 0.5+1e-9)
			require.LessOrEqual(t, len(s.forecaster.Forecasts(b.now)), 64)
			require.LessOrEqual(t, len(b.r.spill.services), maxDemandServices+1)
			for _, member := range b.r.members.byHost {
				require.LessOrEqual(t, len(member.demand.services), maxDemandServices)
			}
			_, err := json.Marshal(b.r.View().Spill)
			require.NoError(t, err)
		}
		for _, call := range b.r.requests {
			require.True(t, call.backend != nil && call.backend.Zone == "z0" || call.slotCall != nil)
		}
	})
}

// The same for the answer to a pull. It never brings an older configuration back.
func FuzzPeerNews(f *testing.F) {
	f.Add([]byte(`{"Config":{"Version":7},"Backends":[{"ID":"e0","Revision":99,"Removed":true}],"After":1,"AsOf":100}`))
	f.Add([]byte(`{"Config":{"Version":0,"Workspaces":[{"Name":"w","Rate":-1}]},"Full":true,"Backends":[{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var n Update
		if json.Unmarshal(data, &n) != nil {
			return
		}
		n.Full, n.FromStore = false, false
		b := newFixture(t, 2)
		before := b.r.version()
		b.post(n)
		require.GreaterOrEqual(t, b.r.version(), before)
		b.post(n)
		b.submit(urgentRoute, 0, 10)
		b.now += time.Minute
		b.post(Tick{})
	})
}
