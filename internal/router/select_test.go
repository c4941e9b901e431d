package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// fixture drives one reducer that has received a full update from the store.
type fixture struct {
	t    *testing.T
	r    *Router
	now  time.Duration
	next uint64
}

var (
	urgentRoute      = &routing.Route{Name: "urgent", Kind: routing.Streaming, MaxAttempts: 3, Resumable: true, Target: time.Second, Shares: []routing.Share{{Service: "m", Weight: 1}}}
	lowPriorityRoute = &routing.Route{Name: "hint", Kind: routing.Streaming, MaxAttempts: 1, Priority: 2, Target: time.Second, Shares: []routing.Share{{Service: "m", Weight: 1}}}
)

func newFixture(t *testing.T, engines int) *fixture {
	b := &fixture{t: t, now: time.Second}
	b.r = New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1,
		Bounds: Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000}})
	n := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1,
		Services: []routing.Service{{Name: "m", Model: true, TokensPerEvent: 3}}}}}
	for i := 0; i < engines; i++ {
		n.Backends = append(n.Backends, routing.BackendChange{Revision: rev(10), Backend: routing.Backend{ID: fmt.Sprintf("e%d", i), Addr: "a", Zone: "z0", Service: "m", Slots: 5, Model: true}})
	}
	b.post(n)
	return b
}

// effectsOf filters effects by type.
func effectsOf[E Effect](list []Effect) []E {
	var out []E
	for _, e := range list {
		if of, ok := e.(E); ok {
			out = append(out, of)
		}
	}
	return out
}

func (b *fixture) post(ev Event) []Effect {
	out := b.r.Reduce(b.now, ev)
	require.Empty(b.t, b.r.Violations())
	return out
}

// submit returns the engine that a request is dispatched to, or the refusal.
func (b *fixture) submit(route *routing.Route, rank float64, output int) (string, *Refuse) {
	b.next++
	for _, e := range b.post(Submit{ID: b.next, Route: route, Rank: rank, OutputTok: output, Deadline: b.now + 10*time.Second}) {
		switch e := e.(type) {
		case Dispatch:
			return e.Backend.ID, nil
		case Refuse:
			return "", &e
		}
	}
	b.t.Fatal("no decision")
	return "", nil
}

// observeInterval adds a sample to an engine's event interval.
func (b *fixture) observeInterval(engine string, interval time.Duration) {
	b.r.backends[engine].learnEventInterval(interval)
}

// Engines admit in order of arrival, so a burst of low-priority requests could fill the queues and delay urgent
// ones. The limits leave room for urgent requests at every engine.
func TestUrgentWorkFindsRoomInABurst(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	lowPriority := 0
	for {
		if _, refused := b.submit(lowPriorityRoute, routing.LeastUrgent, 100); refused != nil {
			require.Equal(t, Overloaded, refused.Cause)
			require.Positive(t, refused.RetryAfter, "has a retry delay")
			break
		}
		lowPriority++
	}
	require.Equal(t, 2*(5+headroom-2*headroomPerRank), lowPriority)
	urgent := 0
	for {
		if _, refused := b.submit(urgentRoute, 0, 100); refused != nil {
			break
		}
		urgent++
	}
	require.Equal(t, 2*2*headroomPerRank, urgent)
}

// Engines of one service differ fourfold in speed. A fast engine gets four requests before a slow one gets its
// first.
func TestFastEnginesAreFilledFirst(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	b.observeInterval("e0", 11*time.Millisecond)
	b.observeInterval("e1", 47*time.Millisecond)
	for i := 0; i < 4; i++ {
		engine, _ := b.submit(urgentRoute, 0, 100)
		require.Equal(t, "e0", engine)
	}
	engine, _ := b.submit(urgentRoute, 0, 100)
	require.Equal(t, "e1", engine)
}

// A stream of 1,800 tokens, three per event, takes 28 s at an engine with an event interval of 47 ms. Its caller leaves
// after 10 s, so the engine's work would be lost. It goes to a fast engine, however busy.
func TestLongStreamsAvoidSlowEngines(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	b.observeInterval("e0", 11*time.Millisecond)
	b.observeInterval("e1", 47*time.Millisecond)
	for i := 0; i < 5+headroom; i++ {
		engine, _ := b.submit(urgentRoute, 0, 1800)
		require.Equal(t, "e0", engine)
	}
	engine, _ := b.submit(urgentRoute, 0, 1800)
	require.Equal(t, "e1", engine, "used rather than refusing the request")
}

// A crashed engine looks idle until its registration lapses, and every host would try it for each request. The
// reports of two hosts are accepted; one host alone may be disconnected itself.
func TestDeadEnginesOfOthersAreAvoided(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	crashed := b.r.backends["e0"].hash
	report := func(host string) {
		b.post(HeartbeatReceived{&gossippb.Beat{Host: host, Zone: "z0", Incarnation: 1, Seq: 1, Dead: []uint32{crashed}}})
	}
	report("10.0.0.2")
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e0", engine, "reported by one host only")
	report("10.0.0.3")
	for i := 0; i < 4; i++ {
		engine, _ = b.submit(urgentRoute, 0, 10)
		require.Equal(t, "e1", engine)
	}
}

// A zone whose known hosts all stop sending heartbeats is disconnected. Requests to its engines would wait for a
// connection until their target has passed.
func TestEnginesOfASilentZoneAreAvoided(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	b.r.backends["e0"].Zone = "z1"
	b.r.backends["e1"].ownLoad.counts[0] = 3
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.1.1", Zone: "z1", Incarnation: 1, Seq: 1}})
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e0", engine)
	b.now += zoneTimeout
	engine, _ = b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e1", engine)
}

// A repeatable request breaks at one engine after another. It runs at no more engines than its route allows,
// whatever the retry budget holds.
func TestAttemptsAreBounded(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 8)
	for i := 0; i < 60; i++ { // earns retry budget
		b.submit(urgentRoute, 0, 10)
		b.post(DispatchEnded{ID: b.next, Outcome: Answered})
	}
	b.submit(urgentRoute, 0, 10)
	id := b.next
	runs := 1
	for {
		again := false
		for _, e := range b.post(DispatchEnded{ID: id, Outcome: Broken}) {
			if _, ok := e.(Dispatch); ok {
				again = true
				runs++
			}
		}
		if !again {
			break
		}
	}
	require.Equal(t, urgentRoute.MaxAttempts, runs)
}

// A stalled request moves only if another engine has room. Otherwise it would lose its position in the queue
// and be later still.
func TestStalledRequestStaysWithoutRoom(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	for i := 0; i < 20; i++ {
		b.submit(urgentRoute, 0, 10)
		b.post(DispatchEnded{ID: b.next, Outcome: Answered})
	}
	b.submit(urgentRoute, 0, 10)
	id := b.next
	reassigned := func() bool { return b.post(Stalled{ID: id})[0].(StallDecision).Reassign }
	for i := 0; i < 20; i++ {
		b.submit(urgentRoute, 0, 10)
	}
	require.False(t, reassigned())
	for i := uint64(1); i <= 20; i++ {
		b.post(DispatchEnded{ID: id + i, Outcome: Answered})
	}
	require.True(t, reassigned())
}

// All store readers of a zone lose contact with the store at once. The other hosts notice by the age of the last
// contact and read the store themselves; otherwise a removed key would stay valid in the zone.
func TestOthersReadWhenTheReadersLoseTheStore(t *testing.T) {
	t.Parallel()
	r := New(Options{Host: "10.0.0.99", Zone: "z0", Incarnation: 1, Seed: 1})
	now := time.Second
	heartbeats := func(seq uint64, contact bool) {
		for i := 1; i <= 20; i++ {
			r.Reduce(now, HeartbeatReceived{&gossippb.Beat{Host: fmt.Sprintf("10.0.0.%d", i), Zone: "z0", Incarnation: 1, Seq: seq, ReadsStore: contact}})
		}
	}
	reads := func() bool { return r.updates.reading }
	heartbeats(1, true)
	r.Reduce(now, Tick{})
	require.False(t, reads(), "this host's hash makes it a reader; choose another address")
	now += 100 * time.Millisecond
	heartbeats(2, false)
	r.Reduce(now, Tick{})
	require.False(t, reads(), "not at the first report")
	now += readersTimeout + time.Millisecond
	heartbeats(3, false)
	r.Reduce(now, Tick{})
	require.True(t, reads())
}

// A registration lapses while the store is unavailable. Its server is probably still up and stays in use, but only
// for two seconds after the store's return: by then its address may belong to another server.
func TestLapsedRegistrationIsUsedBrieflyOnly(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(StoreStatus{OK: false})
	b.post(Update{FromStore: true, Full: true, AsOf: rev(60)})
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e0", engine)
	b.now += lapsedGracePeriod
	_, refused := b.submit(urgentRoute, 0, 10)
	require.NotNil(t, refused)
	require.Equal(t, NoBackend, refused.Cause)
}

// Guards against ending answers of a server whose registration has merely lapsed with the store, and against waiting to
// the deadline for one that is gone.
func TestLapsedRegistrationIsGoneAfterItsGracePeriod(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	gone := func(effects []Effect) (out []bool) {
		for _, eff := range effects {
			if e, ok := eff.(BackendGone); ok {
				out = append(out, e.Doubtful)
			}
		}
		return out
	}
	b.r.Reduce(b.now, StoreStatus{OK: false})
	require.Equal(t, []bool{true}, gone(b.r.Reduce(b.now, Update{FromStore: true, Full: true, AsOf: rev(60)})))
	require.Empty(t, gone(b.r.Reduce(b.now+lapsedGracePeriod-time.Millisecond, Tick{})))
	require.Equal(t, []bool{false}, gone(b.r.Reduce(b.now+lapsedGracePeriod, Tick{})))
	require.Empty(t, gone(b.r.Reduce(b.now+lapsedGracePeriod+tombstoneTTL/2, Tick{})), "reported once")
}

// A draining server is removed when the store returns. It announced that it leaves, so it is not kept as doubtful.
func TestDrainedServerIsNeverUsedAgain(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	ch := routing.BackendChange{Revision: rev(55), Backend: b.r.backends["e0"].Backend}
	ch.Draining = true
	b.post(Update{FromStore: true, Revision: rev(55), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	b.post(StoreStatus{OK: false})
	b.post(Update{FromStore: true, Full: true, AsOf: rev(60)})
	_, refused := b.submit(urgentRoute, 0, 10)
	require.NotNil(t, refused)
}

// Two engines of three crash under heavy load and the third is full. The crashed ones look idle until their
// registrations lapse, so hundreds of requests tried them, for up to 200 ms each, before being refused.
func TestDeadEnginesAreNotTriedWhileOthersAreFull(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	b.r.backends["e0"].connectFailed(b.now)
	for i := 0; i < 20; i++ {
		engine, _ := b.submit(urgentRoute, 0, 10)
		require.NotEqual(t, "e0", engine)
	}
	b.r.backends["e1"].connectFailed(b.now)
	engine, _ := b.submit(lowPriorityRoute, 2, 10)
	require.NotEmpty(t, engine, "if all are unreachable, the fault may be this host's own")
}

// A crashed engine restarts at its address under a new ID and rejects requests for the old one. The old one is never
// used again, however long its registration lives.
func TestReplacedEngineIsLeftForGood(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e0", engine)
	b.post(DispatchEnded{ID: 1, Outcome: WrongInstance})
	b.now += time.Minute
	_, refused := b.submit(urgentRoute, 0, 10)
	require.NotNil(t, refused)
	require.Equal(t, NoBackend, refused.Cause)
}

// A zone is reconnected after a network cut. Its engines get requests at once, one each until one is answered. They
// used to be avoided for two more seconds while the other engines refused a hundred requests.
func TestReconnectedZoneGetsWork(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 2)
	e0 := b.r.backends["e0"]
	e0.Zone = "z1"
	b.r.backends["e1"].ownLoad.counts[0] = 5 + headroom
	heartbeat := func(seq uint64) {
		b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.1.1", Zone: "z1", Incarnation: 1, Seq: seq}})
	}
	heartbeat(1)
	b.now += time.Second
	b.post(Tick{})
	e0.connectFailed(b.now)
	_, refused := b.submit(urgentRoute, 0, 10)
	require.NotNil(t, refused)
	heartbeat(2)
	engine, _ := b.submit(urgentRoute, 0, 10)
	require.Equal(t, "e0", engine)
	require.True(t, e0.onProbation())
}

// Hosts restart one after the other. A caller on a kept-alive connection sends a stream to a draining host, which
// would not finish it in time. The retry delay must be short, as the next connection leads to another host; with
// the usual delay nearly all such callers were late.
func TestDrainingHostSendsCallersOnAtOnce(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(Drain{Until: b.now + 8*time.Second, Grace: 8 * time.Second})
	b.now += drainAcceptDuration
	_, refused := b.submit(lowPriorityRoute, 2, 10)
	require.Equal(t, ShutDown, refused.Cause)
	require.LessOrEqual(t, refused.RetryAfter, 10*time.Millisecond)
	require.Positive(t, refused.RetryAfter)
}

// Engines with one slot release it once a second, those with many release one every few milliseconds. With a fixed
// queue of four at each, nearly all streams at one-slot engines were late. The queue now follows the slot release
// interval, and more urgent requests still go first.
func TestQueueFollowsTheSlotReleaseInterval(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	e0 := b.r.backends["e0"]
	e0.learnEventInterval(20 * time.Millisecond)
	limit := func(slots int, rank float64) int {
		e0.Slots = slots
		s := b.r.newSelector(&request{Submit: Submit{Route: urgentRoute, Rank: rank}, service: "m"}, scopeAll)
		return s.requestLimit(e0)
	}
	require.Equal(t, 1+1, limit(1, 0), "30 events of 20 ms exceed half of the target latency")
	require.Equal(t, 1, limit(1, routing.LeastUrgent))
	require.Equal(t, 11+headroom, limit(11, 0))
	require.Equal(t, 11+headroom-headroomPerRank, limit(11, 1))
	require.Equal(t, 64+headroom, limit(64, 0))
	for i := 0; i < 100; i++ {
		e0.learnEventInterval(time.Second)
	}
	require.Equal(t, 1, limit(1, 0))
}
