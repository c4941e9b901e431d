package router

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

const (
	worldStep = 20 * time.Millisecond
	storeRead = 2 // steps until a change in the store reaches a host
)

// world simulates many hosts, a store and backend servers, with faults as events.
type world struct {
	t        *rapid.T
	now      time.Duration
	nextID   uint64
	hosts    []*worldHost
	messages []message
	// config, backends, evacuations and revision are the content of the store.
	config           *routing.Config
	publishedVersion uint64 // version of the configuration that was published last
	backends         map[string]routing.BackendChange
	// evacuations hold the latest state of each zone; a listing shows only those that have not ended.
	evacuations map[string]routing.Evacuation
	revision    uint64
	storeDown   bool
	// era counts how often the store was restored from copy. sinceCopy are the writes after the copy was taken, and lostWrites
	// those that a restore has lost and that are still to be repeated.
	era        uint64
	copy       *storeCopy
	sinceCopy  []func()
	lostWrites []func()
	// calls are all requests ever submitted.
	calls map[uint64]*call
	// streams are those that callers may take up.
	streams []*worldStream
	// queues are the settings of hosts as they start. With admission queues, engines have one slot and requests come in bursts.
	queues AdmissionSettings
	// onSubmit, if set, is called before a host gets a request.
	onSubmit func(h *worldHost)
}

// worldStream is a stream as its caller sees it over all attempts.
type worldStream struct {
	origin  streams.ID // zero until its first event
	version string     // of the servers that sent its events
	latest  *call
}

type worldHost struct {
	r                *Router
	ip               string
	zone             string
	frozen           time.Duration // until this time
	cut              bool          // from other hosts
	refused          bool          // by the store
	seen             uint64        // revision read from the store
	listed           bool
	reading          bool
	version          uint64
	inc              uint64
	announcedLeaving map[string]bool // backend servers that have announced to it in an answer that they are leaving
}

// storeCopy is the content of the store at some moment.
type storeCopy struct {
	config      *routing.Config
	backends    map[string]routing.BackendChange
	evacuations map[string]routing.Evacuation
	revision    uint64
}

// copyStore takes a copy that the store may be restored from.
func (w *world) copyStore() {
	w.copy = &storeCopy{w.config, maps.Clone(w.backends), maps.Clone(w.evacuations), w.revision}
	w.sinceCopy = nil
}

// restoreStore restores the store from its copy. The writes since then are repeated in order a little later, and before those
// that were still to be repeated.
func (w *world) restoreStore() {
	if w.copy == nil {
		return
	}
	w.era++
	w.config, w.backends, w.revision = w.copy.config, maps.Clone(w.copy.backends), w.copy.revision
	w.evacuations = maps.Clone(w.copy.evacuations)
	w.lostWrites = append(slices.Clone(w.sinceCopy), w.lostWrites...)
	w.sinceCopy = nil
	for _, h := range w.hosts {
		h.listed = false // its watch is rejected because the history is gone
	}
}

// write changes the content of the store. The write is repeated if the store loses it.
func (w *world) write(f func()) {
	if len(w.lostWrites) > 0 {
		w.lostWrites = append(w.lostWrites, f) // the operator and the servers write in order
		return
	}
	f()
	w.sinceCopy = append(w.sinceCopy, f)
}

// repeatLostWrites repeats at most so many of the writes that the store has lost.
func (w *world) repeatLostWrites(most int) {
	for ; most > 0 && len(w.lostWrites) > 0; most-- {
		f := w.lostWrites[0]
		w.lostWrites = w.lostWrites[1:]
		f()
		w.sinceCopy = append(w.sinceCopy, f)
	}
}

func (w *world) rev() routing.Revision { return routing.Revision{Era: w.era, Number: w.revision} }

// call is one request as seen by its caller and the backend servers.
type call struct {
	id       uint64
	host     *worldHost
	route    *routing.Route
	mayRun   int // dispatches that may have run
	sends    int
	current  string
	finished bool
	stream   *worldStream // nil if its caller may not take it up
}

type message struct {
	at     time.Duration
	to     string
	from   string
	packet []byte
	update *Update
}

func newWorld(t *rapid.T, zones, perZone int, queues AdmissionSettings) *world {
	w := &world{t: t, queues: queues, publishedVersion: 2, evacuations: map[string]routing.Evacuation{}, backends: map[string]routing.BackendChange{}, calls: map[uint64]*call{}, revision: 100}
	w.publish()
	for i := 0; i < 6; i++ {
		w.register(fmt.Sprintf("b%d", i), false)
	}
	for z := 0; z < zones; z++ {
		for i := 0; i < perZone; i++ {
			h := &worldHost{ip: fmt.Sprintf("10.0.%d.%d", z, i+1), zone: fmt.Sprintf("z%d", z)}
			w.hosts = append(w.hosts, h)
		}
	}
	for _, h := range w.hosts {
		w.boot(h)
	}
	return w
}

func (w *world) boot(h *worldHost) {
	h.inc++
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: h.inc*1000 + uint64(len(h.ip)), Seed: uint64(len(w.calls)),
		Seeds:  []string{w.hosts[0].ip, w.hosts[len(w.hosts)-1].ip},
		Bounds: Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 56, QuotaWindow: 8 * time.Second, QuotaOverage: 0.25}, Admission: w.queues})
	h.seen, h.listed, h.reading, h.version, h.frozen = 0, false, false, 0, 0
	h.announcedLeaving = map[string]bool{}
	for _, c := range w.calls {
		if c.host == h {
			c.finished = true // its caller sees a closed connection
		}
	}
}

func (w *world) publish() {
	w.publishedVersion += 1 + w.publishedVersion%3
	v := w.publishedVersion
	w.write(func() { w.put(v) })
}

func (w *world) put(v uint64) {
	w.revision++
	w.config = &routing.Config{Version: v, Services: []routing.Service{{Name: "s"}}, Routes: []routing.Route{
		{Name: "idem", Host: "h", Prefix: "/i/", Kind: routing.Idempotent, MaxAttempts: 2, Shares: []routing.Share{{Service: "s", Weight: 1}}},
		{Name: "once", Host: "h", Prefix: "/o/", Kind: routing.NonIdempotent, MaxAttempts: 3, Shares: []routing.Share{{Service: "s", Weight: 1}}},
		{Name: "stream", Host: "h", Prefix: "/s/", Kind: routing.Streaming, MaxAttempts: 2, Resumable: true, Shares: []routing.Share{{Service: "s", Weight: 1}}},
		{Name: "fragile", Host: "h", Prefix: "/f/", Kind: routing.Streaming, MaxAttempts: 2, Shares: []routing.Share{{Service: "s", Weight: 1}}},
	}}
}

func (w *world) register(id string, draining bool) {
	slots := 5
	if w.queues.Enabled {
		slots = 1
	}
	w.write(func() {
		w.revision++
		w.backends[id] = routing.BackendChange{Revision: w.rev(),
			Backend: routing.Backend{ID: id, Addr: id, Zone: fmt.Sprintf("z%d", id[1]%2), Service: "s", Version: fmt.Sprintf("v%d", id[1]/2%2), Slots: slots, Draining: draining}}
	})
}

func (w *world) evacuate(zone string, ended bool) {
	w.write(func() {
		w.revision++
		w.evacuations[zone] = routing.Evacuation{Zone: zone, Revision: w.rev(), Ended: ended}
	})
}

func (w *world) unregister(id string) {
	w.write(func() {
		w.revision++
		w.backends[id] = routing.BackendChange{Revision: w.rev(), Removed: true, Backend: routing.Backend{ID: id}}
	})
}

// post applies an event to a host and carries out the effects.
func (w *world) post(h *worldHost, ev Event) {
	if w.now < h.frozen {
		return
	}
	for _, e := range h.r.Reduce(w.now, ev) {
		w.effect(h, e)
	}
	require.Empty(w.t, h.r.Violations())
	require.GreaterOrEqual(w.t, h.r.version(), h.version, "a configuration went back")
	h.version = h.r.version()
}

func (w *world) effect(h *worldHost, e Effect) {
	switch e := e.(type) {
	case SendHeartbeat:
		w.sendDatagrams(h, e.To, &gossippb.Packet{Beat: e.Heartbeat})
	case Send:
		w.sendDatagrams(h, e.To, e.Packet)
	case Pull:
		if from := w.host(e.Host); from != nil && !from.cut && !h.cut && w.now >= from.frozen {
			n := from.r.Snapshot(e.Since)
			w.messages = append(w.messages, message{at: w.now + worldStep, to: h.ip, update: &n})
		}
	case ReadStore:
		h.reading = e.On
		h.listed = false
	case Dispatch:
		w.dispatched(h, e)
	case Refuse:
		c := w.calls[e.ID]
		require.False(w.t, c.finished, "answered twice")
		require.Zero(w.t, c.mayRun, "refused as not run, though it may have run")
		c.finished = true
	case GiveUp:
		c := w.calls[e.ID]
		require.False(w.t, c.finished, "answered twice")
		c.finished = true
	}
}

// sendDatagrams sends a datagram to each host. Of twenty, one is lost, one is duplicated and one delayed.
func (w *world) sendDatagrams(h *worldHost, hosts []string, p *gossippb.Packet) {
	data, err := proto.Marshal(p)
	require.NoError(w.t, err)
	for _, to := range hosts {
		l := message{at: w.now + worldStep, to: to, from: h.ip, packet: data}
		switch rapid.IntRange(0, 19).Draw(w.t, "fate of a datagram") {
		case 0:
			continue
		case 1:
			w.messages = append(w.messages, l)
		case 2:
			l.at += 3 * worldStep
		}
		w.messages = append(w.messages, l)
	}
}

// eventOf returns the event that a datagram causes at its receiver.
func eventOf(from string, p *gossippb.Packet) Event {
	switch {
	case p.Ask != nil:
		return SlotRequestReceived{from, p.Ask}
	case p.Offer != nil:
		return SlotOfferReceived{from, p.Offer}
	case p.Withdraw != nil:
		return WithdrawReceived{from, p.Withdraw}
	case p.Report != nil:
		return ReportReceived{from, p.Report}
	case p.Occupancy != nil:
		return OccupancyReceived{from, p.Occupancy}
	case p.Relay != nil:
		return RelayReceived{from, p.Relay}
	case p.Charge != nil:
		return QuotaRequestReceived{from, p.Charge}
	case p.Charged != nil:
		return QuotaReplyReceived{from, p.Charged}
	case p.StreamOrigin != nil:
		return OriginReceived{from, p.StreamOrigin}
	case p.OriginQuery != nil:
		return OriginQueryReceived{from, p.OriginQuery}
	case p.OriginReply != nil:
		return OriginReplyReceived{from, p.OriginReply}
	default:
		return HeartbeatReceived{p.Beat}
	}
}

func (w *world) dispatched(h *worldHost, e Dispatch) {
	c := w.calls[e.ID]
	require.False(w.t, c.finished, "sent after its answer")
	require.Empty(w.t, c.current, "sent while it runs elsewhere")
	b := h.r.backends[e.Backend.ID]
	require.False(w.t, b.Draining, "sent to a server that is known to drain")
	require.False(w.t, h.r.evacuated(b.Zone), "sent to a zone that is known to be evacuated")
	require.False(w.t, h.announcedLeaving[b.ID], "sent to a server that has announced to this host that it is leaving")
	if b.removed {
		require.Less(w.t, w.now-b.removedAt, lapsedGracePeriod+worldStep, "sent to a server that is long gone")
	}
	c.sends++
	c.mayRun++
	c.current = e.Backend.ID
	require.LessOrEqual(w.t, c.sends, maxSends+c.route.MaxAttempts)
	if c.route.Repeatable() {
		require.LessOrEqual(w.t, c.mayRun, c.route.MaxAttempts)
	} else {
		require.LessOrEqual(w.t, c.mayRun, 1, "%s runs again", c.route.Name)
	}
}

func (w *world) host(ip string) *worldHost {
	for _, h := range w.hosts {
		if h.ip == ip {
			return h
		}
	}
	return nil
}

func (w *world) anyHost() *worldHost {
	return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "host")]
}

func (w *world) submit() {
	h := w.anyHost()
	if h.r.Table() == nil || w.now < h.frozen {
		return
	}
	if w.onSubmit != nil {
		w.onSubmit(h)
	}
	w.nextID++
	routes := h.r.Table().Config.Routes
	route := &routes[rapid.IntRange(0, len(routes)-1).Draw(w.t, "route")]
	w.calls[w.nextID] = &call{id: w.nextID, host: h, route: route}
	s := Submit{ID: w.nextID, Route: route, Deadline: w.now + 3*time.Second, Rank: rapid.Float64Range(0, 2).Draw(w.t, "rank")}
	if route.Resumable {
		stream := w.stream()
		stream.latest = w.calls[w.nextID]
		stream.latest.stream = stream
		s.Stream, s.Resumes, s.Continues = streams.ID(w.nextID), stream.origin, stream.origin != 0
	}
	w.post(h, s)
}

// stream returns a new stream, or one whose latest attempt has ended and that its caller takes up.
func (w *world) stream() *worldStream {
	var ended []*worldStream
	for _, s := range w.streams {
		if s.latest.finished {
			ended = append(ended, s)
		}
	}
	if len(ended) > 0 && rapid.Bool().Draw(w.t, "takes up") {
		return ended[rapid.IntRange(0, len(ended)-1).Draw(w.t, "stream")]
	}
	s := &worldStream{}
	w.streams = append(w.streams, s)
	return s
}

// sendEvent delivers an event of a running stream to its caller.
func (w *world) sendEvent(c *call) {
	if c.stream == nil || !rapid.Bool().Draw(w.t, "sends an event") {
		return
	}
	version := c.host.r.backends[c.current].Version
	w.post(c.host, StreamStarted{ID: c.id, First: time.Millisecond})
	if c.stream.origin == 0 {
		c.stream.origin, c.stream.version = streams.ID(c.id), version
	}
	require.Equal(w.t, c.stream.version, version, "a stream has events of two software versions")
}

// end ends one running dispatch with a random outcome.
func (w *world) end() {
	var open []uint64
	for id, c := range w.calls {
		if c.current != "" && !c.finished && w.now >= c.host.frozen {
			open = append(open, id)
		}
	}
	if len(open) == 0 {
		return
	}
	slices.Sort(open)
	c := w.calls[open[rapid.IntRange(0, len(open)-1).Draw(w.t, "call")]]
	w.sendEvent(c)
	if rapid.IntRange(0, 9).Draw(w.t, "stalls") == 0 {
		w.post(c.host, Stalled{ID: c.id})
	}
	if rapid.IntRange(0, 29).Draw(w.t, "says that it leaves") == 0 {
		c.host.announcedLeaving[c.current] = true
		w.post(c.host, BackendAnnouncement{ID: c.current, Leaving: true})
	}
	o := rapid.SampledFrom([]Outcome{Answered, Answered, Answered, Failed, NotSent, Rejected, WrongInstance, Broken, TimedOut, Canceled}).Draw(w.t, "outcome")
	c.current = ""
	switch o {
	case NotSent, Rejected, WrongInstance:
		c.mayRun--
	case Answered, Canceled:
		c.finished = true
	}
	w.post(c.host, DispatchEnded{ID: c.id, Outcome: o, Fault: true, First: time.Millisecond, Interval: time.Millisecond})
}

// step advances time by one step: datagrams arrive, hosts read the store and tick.
func (w *world) step() {
	w.now += worldStep
	rest := w.messages[:0]
	var due []message
	for _, l := range w.messages {
		if l.at <= w.now {
			due = append(due, l)
		} else {
			rest = append(rest, l)
		}
	}
	w.messages = rest
	for _, l := range due {
		h := w.host(l.to)
		if h == nil || h.cut {
			continue
		}
		if l.update != nil {
			w.post(h, *l.update)
			continue
		}
		p := &gossippb.Packet{}
		require.NoError(w.t, proto.Unmarshal(l.packet, p))
		if from := w.host(l.from); !from.cut {
			w.post(h, eventOf(l.from, p))
		}
	}
	if !w.storeDown && rapid.IntRange(0, 4).Draw(w.t, "writes again") == 0 {
		w.repeatLostWrites(1)
	}
	for _, h := range w.hosts {
		w.readStore(h)
		w.post(h, Tick{})
		for _, a := range h.r.queuedCalls.calls {
			require.True(w.t, w.now < h.frozen || w.now < h.r.requests[a.requestID].patienceEnds, "a request waits beyond its patience")
		}
	}
}

func (w *world) readStore(h *worldHost) {
	if !h.reading || w.now < h.frozen {
		return
	}
	if w.storeDown || h.refused {
		h.listed = false
		w.post(h, StoreStatus{})
		return
	}
	n := Update{AsOf: w.rev(), FromStore: true, Full: !h.listed}
	n.Config = w.config
	for _, id := range w.backendIDs() {
		ch := w.backends[id]
		ch.Revision.Era = w.era
		if !h.listed && !ch.Removed || h.listed && ch.Revision.Number > h.seen {
			n.Backends = append(n.Backends, ch)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(w.evacuations)) {
		e := w.evacuations[zone]
		e.Revision.Era = w.era
		if !h.listed && !e.Ended || h.listed && e.Revision.Number > h.seen {
			n.Evacuations = append(n.Evacuations, e)
		}
	}
	if h.listed && len(n.Backends)+len(n.Evacuations) == 0 && h.version == w.config.Version {
		return
	}
	if h.listed {
		n.After = routing.Revision{Era: w.era, Number: h.seen}
	}
	for _, ch := range n.Backends {
		n.Revision = routing.Latest(n.Revision, ch.Revision)
	}
	for _, e := range n.Evacuations {
		n.Revision = routing.Latest(n.Revision, e.Revision)
	}
	h.seen, h.listed = w.revision, true
	w.post(h, n)
}

func (w *world) backendIDs() []string {
	var ids []string
	for id := range w.backends {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) change() {
	switch rapid.IntRange(0, 13).Draw(w.t, "change") {
	case 12:
		w.evacuate(rapid.SampledFrom([]string{"z0", "z1"}).Draw(w.t, "zone"), false)
	case 13:
		w.evacuate(rapid.SampledFrom([]string{"z0", "z1"}).Draw(w.t, "zone"), true)
	case 10:
		w.copyStore()
	case 11:
		w.restoreStore()
	case 0:
		w.publish()
	case 1:
		id := rapid.SampledFrom(w.backendIDs()).Draw(w.t, "backend")
		w.register(id, true)
	case 2:
		w.unregister(rapid.SampledFrom(w.backendIDs()).Draw(w.t, "backend"))
	case 3:
		w.register(fmt.Sprintf("b%d", rapid.IntRange(0, 9).Draw(w.t, "new backend")), false)
	case 4:
		w.storeDown = !w.storeDown
	case 5:
		h := w.anyHost()
		h.refused = !h.refused
	case 6:
		h := w.anyHost()
		h.cut = !h.cut
	case 7:
		w.boot(w.anyHost())
	case 8:
		h := w.anyHost()
		h.frozen = w.now + time.Duration(rapid.IntRange(1, 200).Draw(w.t, "freeze"))*worldStep
	case 9:
		w.post(w.anyHost(), Drain{Until: w.now + 5*time.Second, Grace: 5 * time.Second})
	}
}

// heal ends all faults and checks that after a while every host has the content of the store.
func (w *world) heal() {
	w.storeDown = false
	w.repeatLostWrites(len(w.lostWrites))
	for _, h := range w.hosts {
		h.refused, h.cut, h.frozen = false, false, 0
	}
	for i := 0; i < 600; i++ {
		w.step()
	}
	for _, h := range w.hosts {
		for _, zone := range []string{"z0", "z1"} {
			e, ok := w.evacuations[zone]
			require.Equal(w.t, ok && !e.Ended, h.r.evacuated(zone), "%s of %s", zone, h.ip)
		}
		require.Equal(w.t, w.config.Version, h.r.version(), "host %s", h.ip)
		for id, ch := range w.backends {
			b := h.r.backends[id]
			if ch.Removed {
				require.True(w.t, b == nil || b.removed, "%s still considers %s registered", h.ip, id)
				continue
			}
			require.NotNil(w.t, b, "%s does not know %s", h.ip, id)
			require.False(w.t, b.removed, "%s considers %s removed", h.ip, id)
			require.Equal(w.t, ch.Draining, b.Draining, "%s of %s", id, h.ip)
		}
	}
}

func runWorld(t *rapid.T, zones, perZone int) { runWorldWith(t, zones, perZone, AdmissionSettings{}) }

func runWorldWith(t *rapid.T, zones, perZone int, queues AdmissionSettings) {
	newWorld(t, zones, perZone, queues).play()
}

func (w *world) play() {
	t, queues := w.t, w.queues
	for i := 0; i < 30; i++ {
		w.step()
	}
	n := rapid.IntRange(20, 120).Draw(t, "steps")
	for i := 0; i < n; i++ {
		switch rapid.IntRange(0, 5).Draw(t, "what") {
		case 0:
			w.change()
		case 1, 2:
			w.submit()
			if queues.Enabled {
				w.burst()
			}
		case 3:
			w.end()
		default:
			w.step()
		}
	}
	w.heal()
	for _, h := range w.hosts {
		require.Empty(t, h.r.queuedCalls.calls, "requests of %s wait for ever", h.ip)
		require.Zero(t, h.r.queuedCalls.bytes, "%s", h.ip)
		require.Zero(t, h.r.waiting(), "requests wait at %s for ever", h.ip)
	}
}

// burst submits requests that have to wait, and now and then switches a host's queues off or on.
func (w *world) burst() {
	for range rapid.IntRange(0, 6).Draw(w.t, "burst") {
		w.submit()
	}
	if rapid.IntRange(0, 19).Draw(w.t, "switches queues") == 0 {
		h := w.anyHost()
		s := h.r.opt.Admission
		s.Enabled = !s.Enabled
		w.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: s})
	}
}

// The same as TestPromisesSmallFleet with admission queues. In addition no request waits for ever, within its host or at an owner.
func TestPromisesSmallFleetWithQueues(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runWorldWith(t, 3, 2, AdmissionSettings{Enabled: true, MaxRequests: 8}) })
}

// The same as TestPromisesLargeFleet with admission queues.
func TestPromisesLargeFleetWithQueues(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runWorldWith(t, 2, 9, AdmissionSettings{Enabled: true, MaxRequests: 8}) })
}

// Checks a small fleet under crashes, freezes, partitions, a store that is unavailable or refuses some hosts, backend servers
// that drain, vanish and come back, and dispatches with every outcome. In any order of events, what may
// not be repeated runs at most once, a stream has events of one software version over all attempts, a refusal as not run is true, no request is answered twice, a configuration never goes
// back, and after the faults all hosts agree with the store.
func TestPromisesSmallFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runWorld(t, 3, 2) })
}

// The same for a fleet in which heartbeats stay within a zone and few hosts read the store, so that the others get updates only
// from their zone peers.
func TestPromisesLargeFleet(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { runWorld(t, 3, 7) })
}
