package router

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	loadSlots = 6
	// loadService is how long a request occupies a slot, loadCapacity what an engine serves in a second.
	loadService  = 200 * time.Millisecond
	loadCapacity = loadSlots * int(time.Second/loadService)
	loadInterval = 10 * time.Millisecond // between events, of 8 tokens each
	// loadPatience is when a caller abandons a stream without an event, loadDeadline how long it can wait in all.
	loadPatience = 3200 * time.Millisecond
	loadDeadline = 10 * time.Second
)

var loadRoute = &routing.Route{Name: "load", Kind: routing.Streaming, MaxAttempts: 1, Target: loadPatience / 4, Shares: []routing.Share{{Service: "m", Weight: 1}}}

var loadQueues = AdmissionSettings{Enabled: true, MaxRequests: 512}

// loadFleet is a fleet whose engines have slots and a queue in order of arrival, with callers that leave and return.
type loadFleet struct {
	*zone
	t       require.TestingT
	engines map[string]*loadEngine
	calls   map[uint64]*loadCall
	timers  map[time.Duration][]func()
	sources []*loadSource
	callers []*loadCaller
	// cutZone is the zone that is cut off from the others; empty if none is.
	cutZone string
	// outOfBalancer are the hosts that get no new requests.
	outOfBalancer map[*zoneHost]bool
	onStepEnd     func()
	// longestOver is the longest time that a request waited beyond its patience, idleLong the engines that had a free slot for
	// longer than maxIdle while a request waited at their owner.
	longestOver time.Duration
	idleLong    map[string]time.Duration
}

type loadEngine struct {
	running int
	queue   []*loadCall
	served  int
}

// loadSource sends requests of one workspace.
type loadSource struct {
	workspace *routing.Workspace
	perSecond float64
	rank      func() float64 // nil for the most urgent
	host      *zoneHost      // of all its connections; nil for any
	zone      string         // of the hosts that it connects to; empty for any
	// retries is how often a refused request is sent again: when told, or at once.
	retries int
	atOnce  bool
	cost    time.Duration // that a request occupies a slot
	route   *routing.Route
	prompt  int // tokens
	owing   float64
}

// loadCaller is a caller over all its attempts.
type loadCaller struct {
	source   *loadSource
	rank     float64
	began    time.Duration
	deadline time.Duration
	attempts int
	firstAt  time.Duration // of the first event; zero if there is none
	served   bool
	started  int // times that an engine has started it
	refusals []Refuse
}

// loadCall is one attempt of a caller.
type loadCall struct {
	*loadCaller
	id     uint64
	host   *zoneHost
	sentAt time.Duration
	engine string // where it has arrived
	gone   bool   // its caller has left, or it has ended
}

func newLoadFleet(t testing.TB, zones, hosts, engines int, admission AdmissionSettings) *loadFleet {
	f := &loadFleet{t: t, zone: newZonesWith(t, zones, hosts, engines, loadSlots, admission), engines: map[string]*loadEngine{}, calls: map[uint64]*loadCall{},
		timers: map[time.Duration][]func(){}, outOfBalancer: map[*zoneHost]bool{}}
	for _, b := range f.hosts[0].r.allBackends() {
		f.engines[b.ID] = &loadEngine{}
	}
	f.onEffect = f.carryOut
	f.onStep = f.step
	f.drops = func(from, to string, _ *gossippb.Packet) bool { return f.apart(f.byIP[from].zone, f.byIP[to].zone) }
	return f
}

func (f *loadFleet) apart(a, b string) bool { return a != b && (a == f.cutZone || b == f.cutZone) }

// capacity returns what all engines serve in a second.
func (f *loadFleet) capacity() float64 { return float64(len(f.engines) * loadCapacity) }

func (f *loadFleet) after(d time.Duration, do func()) {
	at := f.now + max(zoneStep, (d+zoneStep-1).Truncate(zoneStep))
	f.timers[at] = append(f.timers[at], do)
}

func (f *loadFleet) add(perSecond float64, name string) *loadSource {
	s := &loadSource{workspace: &routing.Workspace{Name: name}, perSecond: perSecond, cost: loadService, owing: f.rng.Float64(), route: loadRoute, prompt: 100}
	f.sources = append(f.sources, s)
	return s
}

func (f *loadFleet) step() {
	due := f.timers[f.now]
	delete(f.timers, f.now)
	for _, do := range due {
		do()
	}
	for _, s := range f.sources {
		for s.owing += s.perSecond * zoneStep.Seconds(); s.owing >= 1; s.owing-- {
			c := &loadCaller{source: s, began: f.now, deadline: f.now + loadDeadline}
			if s.rank != nil {
				c.rank = s.rank()
			}
			f.callers = append(f.callers, c)
			f.attempt(c)
		}
	}
	if f.onStepEnd != nil {
		f.onStepEnd()
	}
}

func (f *loadFleet) attempt(c *loadCaller) {
	h := c.source.host
	for h == nil || h.dead || f.outOfBalancer[h] || c.source.zone != "" && h.zone != c.source.zone {
		h = f.hosts[f.rng.IntN(len(f.hosts))]
	}
	c.attempts++
	f.next++
	call := &loadCall{loadCaller: c, id: f.next, host: h, sentAt: f.now}
	f.calls[call.id] = call
	f.after(min(loadPatience, c.deadline-f.now), func() {
		if !call.gone && c.firstAt == 0 {
			f.end(call)
			f.post(h, CallerLeft{ID: call.id})
		}
	})
	f.post(h, Submit{ID: call.id, Route: c.source.route, Workspace: c.source.workspace, Rank: c.rank, PromptTok: c.source.prompt, OutputTok: int(8 * c.source.cost / loadInterval), Deadline: c.deadline - h.startedAt, Allowed: c.deadline - f.now})
}

func (f *loadFleet) end(c *loadCall) {
	c.gone = true
	delete(f.calls, c.id)
}

func (f *loadFleet) carryOut(h *zoneHost, e Effect) bool {
	switch e := e.(type) {
	case Dispatch:
		c := f.calls[e.ID]
		require.Empty(f.t, c.engine, "request %d is sent again", c.id)
		f.decided(c)
		if f.apart(h.zone, e.Backend.Zone) {
			f.after(dialTimeout, func() {
				if !c.gone {
					f.post(h, DispatchEnded{ID: c.id, Outcome: NotSent, Fault: true})
				}
			})
			return true
		}
		c.engine = e.Backend.ID
		engine := f.engines[c.engine]
		engine.queue = append(engine.queue, c)
		f.after(zoneStep, func() { f.serve(engine) })
	case Refuse:
		c := f.calls[e.ID]
		require.Empty(f.t, c.engine, "request %d is refused as not run, though it has run", c.id)
		f.decided(c)
		f.end(c)
		c.refusals = append(c.refusals, e)
		if wait := e.RetryAfter; c.attempts <= c.source.retries && f.now+wait < c.deadline {
			if c.source.atOnce {
				wait = 0
			}
			f.after(wait, func() { f.attempt(c.loadCaller) })
		}
	case GiveUp:
		if c := f.calls[e.ID]; c != nil {
			f.end(c)
		}
	default:
		return false
	}
	return true
}

// decided records the end of a request's wait.
func (f *loadFleet) decided(c *loadCall) {
	patience := min(time.Duration(streamWaitShare*float64(loadPatience)), (c.deadline-c.sentAt)/patienceDivisor)
	f.longestOver = max(f.longestOver, f.now-c.sentAt-patience)
}

// serve fills an engine's slots from its queue.
func (f *loadFleet) serve(e *loadEngine) {
	for e.running < loadSlots && len(e.queue) > 0 {
		c := e.queue[0]
		e.queue = e.queue[1:]
		if c.gone {
			continue
		}
		e.running++
		e.served++
		c.started++
		require.Equal(f.t, 1, c.started, "a caller's request runs twice")
		c.firstAt = f.now
		cost := c.source.cost
		f.post(c.host, StreamStarted{ID: c.id, First: f.now - c.sentAt})
		f.after(cost, func() {
			e.running--
			if !c.gone {
				c.served = true
				f.end(c)
				f.post(c.host, DispatchEnded{ID: c.id, Outcome: Answered, Success: true, First: c.firstAt - c.sentAt, Interval: loadInterval, Events: int(cost / loadInterval)})
			}
			f.serve(e)
		})
	}
}

// kill ends a host's process, and with it the requests there.
func (f *loadFleet) kill(h *zoneHost) {
	h.dead = true
	for _, c := range f.calls {
		if c.host == h {
			f.end(c)
		}
	}
}

// start starts a host's process anew, as soon as the load balancer sees it.
func (f *loadFleet) start(h *zoneHost) {
	opt := h.r.opt
	opt.Incarnation += 1000
	h.r, h.dead, h.startedAt = New(opt), false, f.now
	for _, other := range f.hosts {
		if !other.dead && other != h {
			n := other.r.Snapshot(Since{})
			n.FromStore, n.Full = true, true
			f.post(h, n)
			break
		}
	}
	f.after(time.Second, func() { delete(f.outOfBalancer, h) })
}

// restart drains a host and starts it again after a few seconds.
func (f *loadFleet) restart(h *zoneHost) {
	const grace = 4 * time.Second
	f.post(h, Drain{Until: f.now - h.startedAt + grace, Grace: grace})
	f.after(time.Second, func() { f.outOfBalancer[h] = true })
	f.after(grace, func() { f.kill(h); f.start(h) })
}

// served returns how many of the callers since a moment were served, of those from some sources.
func (f *loadFleet) served(since time.Duration, sources ...*loadSource) (served, all int) {
	for _, c := range f.callers {
		if c.began >= since && slices.Contains(sources, c.source) {
			all++
			if c.served {
				served++
			}
		}
	}
	return served, all
}

// largeCase is a large workspace beside small ones. Rates are per second for every six engines.
type largeCase struct {
	name                  string
	zones, hosts, engines int
	small, large          int
	perLarge              float64
	oneHost               bool
	retries               int
	// meanwhile disturbs the fleet as the large workspace joins.
	meanwhile func(f *loadFleet)
}

var largeCases = []largeCase{
	{name: "six hosts", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 540},
	{name: "all connections at one host", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 540, oneHost: true},
	{name: "repeats at once", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 360, retries: 5},
	{name: "two large ones", zones: 3, hosts: 2, engines: 2, small: 3, large: 2, perLarge: 270},
	{name: "nine hosts", zones: 3, hosts: 3, engines: 2, small: 4, large: 1, perLarge: 540},
	{name: "two hosts restarted", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 540, meanwhile: func(f *loadFleet) {
		f.after(time.Second, func() { f.restart(f.hosts[1]) })
		f.after(3*time.Second, func() { f.restart(f.hosts[4]) })
	}},
	{name: "just over capacity", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 170},
	{name: "six hosts, a zone cut off", zones: 3, hosts: 2, engines: 2, small: 4, large: 1, perLarge: 540, meanwhile: cutZone},
	{name: "nine hosts, hosts started and an owner killed", zones: 3, hosts: 3, engines: 2, small: 4, large: 1, perLarge: 540, meanwhile: startAndKill},
	{name: "81 hosts", zones: 3, hosts: 27, engines: 27, small: 4, large: 1, perLarge: 540},
	{name: "81 hosts, a zone cut off, hosts started and an owner killed", zones: 3, hosts: 27, engines: 27, small: 4, large: 1, perLarge: 540,
		meanwhile: func(f *loadFleet) { cutZone(f); startAndKill(f) }},
}

func cutZone(f *loadFleet) { f.after(500*time.Millisecond, func() { f.cutZone = "z1" }) }

// startAndKill starts two hosts that were down and kills an owner.
func startAndKill(f *loadFleet) {
	down := []*zoneHost{f.hosts[len(f.hosts)-1], f.hosts[len(f.hosts)/2]}
	for _, h := range down {
		f.kill(h)
		f.outOfBalancer[h] = true
	}
	f.after(500*time.Millisecond, func() {
		for _, h := range down {
			f.start(h)
		}
	})
	f.after(2*time.Second, func() {
		if owners := f.owners(); len(owners) > 0 {
			f.kill(f.byIP[owners[0]])
		} else {
			f.kill(f.hosts[1])
		}
	})
}

const (
	loadBefore  = 4 * time.Second
	loadSettles = 3 * time.Second
	loadWatched = 7 * time.Second
	// watchedAtScale is loadWatched for fleets whose simulation takes many times longer.
	watchedAtScale = 3 * time.Second
)

// play lets the large workspaces join the small ones, and returns the sources of both.
func (c *largeCase) play(t testing.TB, admission AdmissionSettings) (f *loadFleet, small, large []*loadSource, from, until time.Duration) {
	f = newLoadFleet(t, c.zones, c.hosts, c.engines, admission)
	scale := float64(c.zones*c.engines) / 6
	for i := range c.small {
		small = append(small, f.add(9*scale, fmt.Sprintf("small%d", i)))
	}
	f.run(loadBefore, 0)
	for i := range c.large {
		s := f.add(c.perLarge*scale, fmt.Sprintf("large%d", i))
		s.retries, s.atOnce = c.retries, true
		if c.oneHost {
			s.host = f.hosts[0]
		}
		large = append(large, s)
	}
	if c.meanwhile != nil {
		c.meanwhile(f)
	}
	f.run(loadSettles, 0)
	from, until = f.now, f.now+loadWatched
	if c.hosts > 9 {
		until = f.now + watchedAtScale
	}
	f.run(until-from, 0)
	f.sources = nil
	f.run(loadPatience+time.Second, 0)
	return f, small, large, from, until
}

// startedBetween counts the requests that engines started.
func (f *loadFleet) startedBetween(from, to time.Duration) int {
	n := 0
	for _, c := range f.callers {
		if c.firstAt >= from && c.firstAt < to {
			n++
		}
	}
	return n
}

// Guards against a workspace that takes the room of others by sending more: the small ones send a fifth of the capacity, and the
// large one, at the same priority, three times the capacity.
func TestLargeWorkspaceLeavesSmallOnesTheirRoom(t *testing.T) {
	t.Parallel()
	for _, c := range largeCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, small, large, from, until := c.play(t, loadQueues)
			served, all := f.served(from, small...)
			before, allBefore := f.served(0, small...)
			servedLarge, allLarge := f.served(from, large...)
			started, room := f.startedBetween(from, until), f.capacity()*(until-from).Seconds()
			t.Logf("small: %d of %d (from the start %d of %d), large: %d of %d, started %d of %.0f", served, all, before, allBefore, servedLarge, allLarge,
				started, room)
			require.GreaterOrEqual(t, served, all*9/10)
			require.GreaterOrEqual(t, float64(started), 0.9*room, "the large one gets the rest")
		})
	}
}

// waveCase is a wave of demand, as a multiple of the capacity for a time.
type waveCase struct {
	name         string
	zones, hosts int
	times        float64
	lasts        time.Duration
	allUrgent    bool
}

var waveCases = []waveCase{
	{"twice for 3 s", 3, 2, 2, 3 * time.Second, false},
	{"three times for 2 s", 3, 2, 3, 2 * time.Second, false},
	{"half more for 4 s at nine hosts", 3, 3, 1.5, 4 * time.Second, false},
	{"twice for 3 s, all urgent", 3, 2, 2, 3 * time.Second, true},
}

func (c *waveCase) play(t testing.TB, admission AdmissionSettings) *loadFleet {
	f := newLoadFleet(t, c.zones, c.hosts, 2, admission)
	s := f.add(f.capacity()/5, "w")
	s.retries = 1
	urgent := false
	s.rank = func() float64 {
		if urgent = !urgent; urgent || c.allUrgent {
			return 0
		}
		return 2
	}
	f.run(3*time.Second, 0)
	s.perSecond = c.times * f.capacity()
	f.run(c.lasts, 0)
	s.perSecond = f.capacity() / 5
	f.run(3*time.Second, 0)
	f.sources = nil
	f.run(loadDeadline+time.Second, 0)
	return f
}

// waitOf returns the callers of a rank that were served, all of them, and the median and longest time to the first event.
func (f *loadFleet) waitOf(rank float64) (served, all int, median, longest time.Duration) {
	var waits []time.Duration
	for _, c := range f.callers {
		if c.rank != rank {
			continue
		}
		all++
		if c.served {
			waits = append(waits, c.firstAt-c.began)
		}
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0, all, 0, 0
	}
	return len(waits), all, waits[len(waits)/2], waits[len(waits)-1]
}

// Guards against callers that are refused although the engines are idle soon after and they could wait: refused at once, they
// return into the same wave and are refused for good.
func TestWaveIsServedByWaiting(t *testing.T) {
	t.Parallel()
	for _, c := range waveCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := c.play(t, loadQueues)
			urgent, allUrgent, median, longest := f.waitOf(0)
			others, allOthers, medianOthers, longestOthers := f.waitOf(2)
			t.Logf("urgent: %d of %d, median %v, longest %v; others: %d of %d, %v, %v", urgent, allUrgent, median, longest, others, allOthers, medianOthers, longestOthers)
			require.GreaterOrEqual(t, urgent+others, (allUrgent+allOthers)*95/100)
			require.GreaterOrEqual(t, urgent, allUrgent*95/100)
			if allOthers > 0 {
				require.LessOrEqual(t, median, medianOthers, "the urgent ones are served first")
			}
		})
	}
}
