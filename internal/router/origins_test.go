package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

// originFleet is a fleet whose engines are of two software versions, and callers that take streams up.
type originFleet struct {
	*zone
	listing Update
	sent    map[uint64]Dispatch
	refused map[uint64]Cause
}

// resumable is the route of streams that callers may take up.
var resumable = &routing.Route{Name: "r", Kind: routing.Streaming, Resumable: true, MaxAttempts: 2, Target: time.Second, Shares: []routing.Share{{Service: "m", Weight: 1}}}

// newOriginFleet starts a fleet. Each engine's version is the one of its index in the list of versions, in turn.
func newOriginFleet(t testing.TB, zones, hosts int, versions ...string) *originFleet {
	const engines = 12
	f := &originFleet{zone: newZones(t, zones, hosts, engines), sent: map[uint64]Dispatch{}, refused: map[uint64]Cause{}}
	f.listing = Update{FromStore: true, Full: true, AsOf: rev(70), Changes: routing.Changes{Config: f.hosts[0].r.table.Config}}
	for i := range zones * engines {
		ch := changeOf(fmt.Sprintf("e%03d", i), 60, false)
		ch.Slots, ch.Zone, ch.Version = 4, fmt.Sprintf("z%d", i/engines), versions[i%len(versions)]
		f.listing.Backends = append(f.listing.Backends, ch)
	}
	f.onDispatch = func(_ *zoneHost, e Dispatch) {
		f.sent[e.ID] = e
		f.runs[e.ID].ends = never
	}
	f.onRefuse = func(e Refuse) { f.refused[e.ID] = e.Cause }
	f.list()
	f.zone.run(time.Second, 0)
	return f
}

// list has all hosts read the store.
func (f *originFleet) list() {
	for _, h := range f.hosts {
		f.post(h, f.listing)
	}
}

// submit makes a caller's attempt at a host; resumes is the stream that it takes up, or zero.
func (f *originFleet) submit(h *zoneHost, resumes streams.ID, continues bool) uint64 {
	f.next++
	f.runs[f.next] = &zoneRun{host: h, submittedAt: f.now}
	f.post(h, Submit{ID: f.next, Route: resumable, Stream: streams.ID(f.next), Resumes: resumes, Continues: continues, OutputTok: 100,
		Deadline: f.now - h.startedAt + 10*time.Second})
	return f.next
}

// begin starts a stream at a host, delivers its first event and breaks it off a little later.
func (f *originFleet) begin(h *zoneHost) uint64 {
	id := f.submit(h, 0, false)
	f.zone.run(60*time.Millisecond, 0)
	require.Contains(f.t, f.sent, id, "refused as %s", f.refused[id])
	f.post(h, StreamStarted{ID: id, First: 50 * time.Millisecond})
	f.zone.run(5*zoneStep, 0)
	f.leave(id)
	return id
}

// leave ends a caller's attempt.
func (f *originFleet) leave(id uint64) {
	run := f.runs[id]
	if run == nil {
		return
	}
	f.streams[run.engine]--
	f.post(run.host, CallerLeft{ID: id})
	delete(f.runs, id)
}

// restart starts a host's process again, without its state.
func (f *originFleet) restart(h *zoneHost) {
	for id, run := range f.runs {
		if run.host == h {
			delete(f.runs, id)
		}
	}
	h.startedAt, h.dead = f.now, false
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: h.r.opt.Incarnation + 1000, Seed: h.r.opt.Seed, Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds})
	f.post(h, f.listing)
}

// takeUp takes streams up, each at the host that at chooses, and returns how many went on, and how many of these at another version.
func (f *originFleet) takeUp(begun []uint64, at func(i int, origin *zoneHost) *zoneHost, origins map[uint64]*zoneHost) (wentOn, mixed int) {
	for i, stream := range begun {
		id := f.submit(at(i, origins[stream]), streams.ID(stream), true)
		f.zone.run(3*originQueryTimeout, 0)
		if e, ok := f.sent[id]; ok {
			wentOn++
			if e.Backend.Version != f.sent[stream].Backend.Version {
				mixed++
			}
		}
		f.leave(id)
	}
	return wentOn, mixed
}

// Guards against streams that go on at another software version, or do not go on, when callers take them up at any host of a small
// or a large fleet, with hosts that are killed, restart or are cut off, and lost datagrams.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	t.Parallel()
	const begun = 30
	other := func(f *originFleet, origin *zoneHost, match func(h *zoneHost) bool) *zoneHost {
		for {
			if h := f.hosts[f.rng.IntN(len(f.hosts))]; h != origin && !h.dead && match(h) {
				return h
			}
		}
	}
	old := func(f *originFleet) func(h *zoneHost) bool {
		return func(h *zoneHost) bool { return h.startedAt == 0 }
	}
	cases := []struct {
		name     string
		disturb  func(f *originFleet, origins map[uint64]*zoneHost)
		at       func(f *originFleet, origin *zoneHost) *zoneHost
		mayFail  bool // the callers' hosts cannot know
		lossRate float64
	}{
		{name: "same host", at: func(_ *originFleet, origin *zoneHost) *zoneHost { return origin }},
		{name: "other host of the zone", at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(h *zoneHost) bool { return h.zone == origin.zone })
		}},
		{name: "host of another zone", at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(h *zoneHost) bool { return h.zone != origin.zone })
		}},
		{name: "lost datagrams", lossRate: 0.1, at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(*zoneHost) bool { return true })
		}},
		{name: "first host killed", disturb: func(f *originFleet, origins map[uint64]*zoneHost) {
			for _, h := range origins {
				h.dead = true
			}
		}, at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(h *zoneHost) bool { return h.zone == origin.zone })
		}},
		{name: "two of three hosts killed and restarted", disturb: func(f *originFleet, _ map[uint64]*zoneHost) {
			for i, h := range f.hosts {
				if i%3 != 0 {
					f.restart(h)
				}
			}
			f.zone.run(time.Second, 0)
		}, at: func(f *originFleet, origin *zoneHost) *zoneHost { return other(f, origin, old(f)) }},
		{name: "restarted hosts", disturb: func(f *originFleet, _ map[uint64]*zoneHost) {
			for i, h := range f.hosts {
				if i%3 == 0 {
					f.restart(h)
				}
			}
			f.zone.run(time.Second, 0)
		}, at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(h *zoneHost) bool { return h.startedAt > 0 })
		}},
		{name: "zones cut apart", disturb: func(f *originFleet, _ map[uint64]*zoneHost) {
			f.drops = func(from, to string, _ *gossippb.Packet) bool { return f.byIP[from].zone != f.byIP[to].zone }
		}, at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, origin, func(h *zoneHost) bool { return h.zone == origin.zone })
		}},
		{name: "all hosts killed", mayFail: true, disturb: func(f *originFleet, _ map[uint64]*zoneHost) {
			for _, h := range f.hosts {
				f.restart(h)
			}
			f.zone.run(time.Second, 0)
		}, at: func(f *originFleet, origin *zoneHost) *zoneHost {
			return other(f, nil, func(*zoneHost) bool { return true })
		}},
	}
	for _, size := range []struct{ zones, hosts int }{{3, 3}, {3, 12}} {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%d hosts, %s", size.zones*size.hosts, c.name), func(t *testing.T) {
				t.Parallel()
				f := newOriginFleet(t, size.zones, size.hosts, "v1", "v2")
				if c.lossRate > 0 {
					f.drops = func(string, string, *gossippb.Packet) bool { return f.rng.Float64() < c.lossRate }
				}
				origins := map[uint64]*zoneHost{}
				var list []uint64
				for range begun {
					h := f.hosts[f.rng.IntN(len(f.hosts))]
					if c.name == "first host killed" {
						h = f.hosts[f.rng.IntN(2)*size.hosts]
					}
					id := f.begin(h)
					list = append(list, id)
					origins[id] = h
				}
				if c.disturb != nil {
					c.disturb(f, origins)
				}
				wentOn, mixed := f.takeUp(list, func(_ int, origin *zoneHost) *zoneHost { return c.at(f, origin) }, origins)
				t.Logf("%d of %d went on, %d at another version", wentOn, len(list), mixed)
				require.Zero(t, mixed)
				if !c.mayFail {
					require.GreaterOrEqual(t, 2*wentOn, len(list))
				}
			})
		}
	}
}

// attempt takes a stream up at a host and returns the dispatch, or the cause of the refusal.
func (f *originFleet) attempt(h *zoneHost, resumes streams.ID) (Dispatch, Cause) {
	id := f.submit(h, resumes, true)
	f.zone.run(4*originQueryTimeout, 0)
	e, cause := f.sent[id], f.refused[id]
	f.leave(id)
	return e, cause
}

// register gives the engines new versions, by their index, and removes those whose version is empty.
func (f *originFleet) register(revision uint64, version func(i int) string) {
	f.listing.AsOf = rev(revision)
	var rest []routing.BackendChange
	for i := range 3 * 12 {
		ch := changeOf(fmt.Sprintf("e%03d", i), revision, false)
		ch.Slots, ch.Zone, ch.Version = 4, fmt.Sprintf("z%d", i/12), version(i)
		if ch.Version != "" {
			rest = append(rest, ch)
		}
	}
	f.listing.Backends = rest
	f.list()
}

// Guards against a host that takes the only version that it knows for the one that began a stream, although it has just started
// and another version may be gone since.
func TestSoleVersionIsNotAssumedByHostsThatHaveJustStarted(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 12} {
		f := newOriginFleet(t, 3, hosts, "v2")
		named := streams.NewID("w", "an attempt that nobody knows")
		f.list()
		_, cause := f.attempt(f.hosts[0], named)
		require.Equal(t, OriginUnknown, cause, "%d hosts", 3*hosts)
		_, cause = f.attempt(f.hosts[0], 0)
		require.Equal(t, OriginUnknown, cause, "%d hosts, a caller that names no stream", 3*hosts)

		f.zone.run(streams.Lifetime, 0)
		f.follow()
		f.restart(f.hosts[0])
		f.zone.run(time.Second, 0)
		for _, resumes := range []streams.ID{named, 0} {
			sent, cause := f.attempt(f.hosts[0], resumes)
			require.Equal(t, BoundBySoleVersion, sent.Binding.Source, "a peer knows all versions: %s", cause)
		}
	}
}

// follow has all hosts get an answer of the store that tells of no change.
func (f *originFleet) follow() {
	for _, h := range f.hosts {
		f.post(h, Update{FromStore: true, After: f.listing.AsOf, AsOf: f.listing.AsOf})
	}
}

// Guards against callers that name no stream and are refused for longer than a stream of their route may last.
func TestUnnamedStreamsGoOnOnceTheyCannotBeOlderThanTheHost(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v2")
	config := *f.listing.Config
	config.Version++
	config.Routes = []routing.Route{*resumable, *resumable, {Name: "plain", Kind: routing.Idempotent, Timeout: 20 * time.Second, Shares: resumable.Shares}}
	config.Routes[0].Timeout, config.Routes[1].Timeout = 6*time.Second, 9*time.Second
	f.listing.Config = &config
	f.list()
	for f.now < 10*time.Second {
		for _, resumes := range []streams.ID{0, 77} {
			sent, cause := f.attempt(f.hosts[1], resumes)
			if resumes == 0 && f.hosts[1].r.now >= f.hosts[1].r.updates.followedSince+9*time.Second {
				require.Equal(t, "v2", sent.Backend.Version, "%s", cause)
				continue
			}
			require.Equal(t, OriginUnknown, cause, "after %s", f.now)
		}
		f.zone.run(time.Second, 0)
		f.follow()
	}
}

// Guards against a host that was paused or cut off from the store, and takes the only version of its next listing for the only one that
// has been there meanwhile.
func TestSoleVersionIsNotAssumedAfterAGapInTheStoresAnswers(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v2")
	f.zone.run(streams.Lifetime, 0)
	f.follow()
	sent, cause := f.attempt(f.hosts[0], 77)
	require.Equal(t, "v2", sent.Backend.Version, "%s", cause)
	f.zone.run(streams.Lifetime, 0)
	f.list()
	_, cause = f.attempt(f.hosts[0], 77)
	require.Equal(t, OriginUnknown, cause)
	for range int(streams.Lifetime / time.Second) {
		f.zone.run(time.Second, 0)
		f.list() // short gaps hide nothing
	}
	sent, cause = f.attempt(f.hosts[0], 77)
	require.Equal(t, "v2", sent.Backend.Version, "%s", cause)
}

// Guards against a stream that goes on at the remaining version shortly after a release has ended.
func TestVersionThatIsGoneStillCountsForAsLongAsAStream(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1", "v2")
	f.register(80, func(i int) string { return []string{"", "v2"}[i%2] })
	f.zone.run(streams.Lifetime/2, 0)
	f.follow()
	for _, resumes := range []streams.ID{0, 77} {
		_, cause := f.attempt(f.hosts[0], resumes)
		require.Equal(t, OriginUnknown, cause)
	}
	f.zone.run(streams.Lifetime/2, 0)
	f.follow()
	for _, resumes := range []streams.ID{0, 77} {
		sent, _ := f.attempt(f.hosts[0], resumes)
		require.Equal(t, "v2", sent.Backend.Version)
	}
}

// Guards against a server whose next start, under the same ID, hides the version of the one before.
func TestVersionOfAnEarlierStartStillCounts(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1")
	f.register(80, func(int) string { return "v2" })
	_, cause := f.attempt(f.hosts[0], 0)
	require.Equal(t, OriginUnknown, cause)
}

// Guards against a stream that goes on at another version, or that waits, when all servers of its version drain.
func TestStreamIsRefusedAtOnceWhenItsVersionDrains(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1", "v2")
	stream := f.begin(f.hosts[0])
	bound := f.sent[stream].Backend.Version
	for i, ch := range f.listing.Backends {
		ch.Revision, ch.Draining = rev(80+uint64(i)), ch.Version == bound
		f.listing.Backends[i] = ch
	}
	f.listing.AsOf = rev(200)
	f.list()
	id := f.submit(f.hosts[1], streams.ID(stream), true)
	require.Equal(t, NoBackendOfVersion, f.refused[id])
}

// Guards against a stream that goes on although its caller has given two streams the same name.
func TestAmbiguousStreamIsRefused(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1", "v2")
	for _, version := range []string{"v1", "v2"} {
		f.post(f.hosts[0], OriginReceived{From: f.hosts[1].ip, Origin: &gossippb.StreamOrigin{Stream: 7, Service: "m", Version: version}})
	}
	_, cause := f.attempt(f.hosts[0], 7)
	require.Equal(t, OriginUnknown, cause)
	_, cause = f.attempt(f.hosts[3], 7)
	require.Equal(t, OriginUnknown, cause)
}

// Guards against a stream that new requests keep out of the few servers that it can go on at.
func TestContinuedStreamIsAheadOfNewOnes(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1")
	r := f.hosts[0].r
	b := r.backends["e000"]
	begins := &request{service: "m", Submit: Submit{Route: resumable, Rank: routing.LeastUrgent}}
	continues := &request{service: "m", continued: true, Submit: begins.Submit}
	limit := func(q *request) int { s := r.newSelector(q, scopeAll); return s.requestLimit(b) }
	require.Greater(t, limit(continues), limit(begins))
	require.Equal(t, limit(&request{service: "m", Submit: Submit{Route: resumable}}), limit(continues), "as the most urgent")
}

// Guards against callers that name streams which nobody knows and so make a host send datagrams without a limit.
func TestQueriesForUnknownStreamsAreLimited(t *testing.T) {
	t.Parallel()
	f := newOriginFleet(t, 3, 3, "v1", "v2")
	queries := 0
	f.drops = func(_, _ string, p *gossippb.Packet) bool {
		if p.OriginQuery != nil {
			queries++
		}
		return false
	}
	for i := range 4 * maxOriginQueries {
		f.submit(f.hosts[0], streams.ID(1e9+i), true)
	}
	require.LessOrEqual(t, queries, maxOriginQueries*len(f.hosts))
	f.zone.run(4*originQueryTimeout, 0)
	require.Len(t, f.refused, 4*maxOriginQueries)
	require.Empty(t, f.hosts[0].r.origins.queries)
}
