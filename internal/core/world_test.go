package core_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
	"fireflyshift/internal/sched"
	"fireflyshift/internal/ticket"
)

// world simulates the surroundings of several reducers: links that keep order but can be cut, backend
// servers that count runs, and a platform that can be down or stale. Time is simulated.
type world struct {
	fail          func(format string, args ...any)
	rng           *rand.Rand
	now           time.Duration
	hosts         map[string]*fakeHost
	ids           []string
	links         map[[2]string][]queuedMessage
	cut           map[[2]string]bool // pairs of zones: from, to
	platform      fakePlatform
	backends      map[string]*fakeBackend
	requests      map[string]*fakeRequest
	ops           []*operation
	seq           int
	lastFaultAt   time.Duration // latest time at which a fault was active
	lastOutageAt  time.Duration // the same without pauses, which excuse nothing that a host does after it
	lastBlockedAt time.Duration // latest time at which updates could not reach every host
	history       []published
	steps         int
	faults        int
	sheds         int
	// deadly requests crash the backend servers that run them, which restart at once; deadlyRuns counts
	// these runs.
	deadly     map[string]bool
	deadlyRuns int
}

type fakeHost struct {
	id, zone    string
	core        *core.Core
	incarnation uint64
	startedAt   time.Duration
	alive       bool
	paused      bool
	reading     bool
	readAt      time.Duration
	tickAt      time.Duration
	draining    bool
	inbox       []core.Event // events that arrived while the process was paused
	deferred    []func()     // effects that are carried out at the next tick, or after a pause
	revision    map[record.Key]uint64
}

func (h *fakeHost) clock(now time.Duration) time.Duration { return now - h.startedAt }

type queuedMessage struct {
	at          time.Duration
	from        string
	incarnation uint64
	msg         *peerpb.Message
}

type fakePlatform struct {
	log   []record.Raw
	down  map[string]bool // by host
	stale map[string]int  // by host: length of the visible part of the log
}

type fakeBackend struct {
	name, zone, service string
	down                bool
	leavingAt           time.Duration
	leaving             bool
	runs                map[string]int
	running             map[string]time.Duration // end time by request
	remaining           map[string]time.Duration // remaining run time by suspended request
	losesAnswers        bool                     // answers are lost after the run
}

type fakeRequest struct {
	id              string
	service         string
	priority        uint32
	began           time.Duration // start of the run on a backend server
	host            *fakeHost
	hostIncarnation uint64 // incarnation of the host that accepted it
	backend         string
	answers         []*fault.Error
	attempt         uint32
	lost            bool // the host was killed
	until           time.Duration
}

type operation struct {
	id     int
	ticket *ticket.Ticket
	tries  []*fakeRequest
}

// published is a revision and the time at which it was published.
type published struct {
	at       time.Duration
	revision uint64
}

const (
	inForceTimeout = 16 * time.Second
	modelService   = "notes"
	plainService   = "git"
	leaveTimeout   = 4 * time.Second
	shedSettleTime = 2 * time.Second
)

var fakeZones = []string{"za", "zb"}

func newWorld(seed uint64, fail func(string, ...any)) *world {
	w := &world{fail: fail, rng: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*fakeHost{}, links: map[[2]string][]queuedMessage{},
		cut: map[[2]string]bool{}, platform: fakePlatform{down: map[string]bool{}, stale: map[string]int{}},
		backends: map[string]*fakeBackend{}, requests: map[string]*fakeRequest{}}
	for i, name := range []string{"low", "mid", "high"} {
		w.publish(record.KindTier, name, map[string]any{"priority": i, "deadline_ms": 5000, "reserve_percent": 10 * (i / 2)})
	}
	hash := fmt.Sprintf("%064d", 1)
	w.publish(record.KindWorkspace, "school", map[string]any{"key_sha256": []string{hash}, "tiers": []string{"low", "mid", "high"}})
	w.publish(record.KindService, modelService, map[string]any{"kind": "model"})
	w.publish(record.KindService, plainService, map[string]any{"kind": "plain"})
	for _, z := range fakeZones {
		for i := 1; i <= 2; i++ {
			w.addBackend(fmt.Sprintf("%s-m%d", z, i), z, modelService)
		}
		w.addBackend(z+"-p1", z, plainService)
	}
	for _, z := range fakeZones {
		for i := 1; i <= 3; i++ {
			w.start(fmt.Sprintf("%s-h%d", z, i), z)
		}
	}
	return w
}

func (w *world) publish(kind record.Kind, name string, body map[string]any) uint64 {
	data, _ := json.Marshal(body)
	r := record.Raw{Kind: kind, Name: name, Schema: 1, Revision: uint64(len(w.platform.log) + 1), Body: data, Deleted: body == nil}
	w.platform.log = append(w.platform.log, r)
	w.history = append(w.history, published{w.now, r.Revision})
	return r.Revision
}

func (w *world) addBackend(name, zone, service string) {
	w.backends[name] = &fakeBackend{name: name, zone: zone, service: service, runs: map[string]int{},
		running: map[string]time.Duration{}, remaining: map[string]time.Duration{}}
	w.publishBackend(name, false)
}

func (w *world) publishBackend(name string, leaving bool) {
	b := w.backends[name]
	state := "active"
	if leaving {
		state = "leaving"
	}
	if leaving && !b.leaving {
		b.leavingAt = w.now
	}
	b.leaving = leaving
	w.publish(record.KindBackend, name, map[string]any{"service": b.service, "zone": b.zone,
		"addr": fmt.Sprintf("10.0.0.%d:80", len(name)), "slots": 2, "state": state, "suspend": b.service == modelService})
}

// start starts a host process without state, as a replaced host does.
func (w *world) start(id, zone string) {
	h := &fakeHost{id: id, zone: zone, alive: true, incarnation: w.rng.Uint64()>>12 | 1, startedAt: w.now, revision: map[record.Key]uint64{}}
	if _, known := w.hosts[id]; !known {
		w.ids = append(w.ids, id)
	}
	w.hosts[id] = h
	opt := sched.DefaultOptions()
	opt.MinQueue, opt.QueuePerSlot = 4, 1 // small, so that bursts exceed the bound
	h.core = core.New(core.Options{Self: member.Host{ID: id, Zone: zone, Addr: "addr-" + id}, Incarnation: h.incarnation,
		Sched: opt, MaxRequests: 1000})
	var list core.HostList
	for _, z := range fakeZones {
		for i := 1; i <= 3; i++ {
			other := fmt.Sprintf("%s-h%d", z, i)
			list.Hosts = append(list.Hosts, core.ListedHost{Host: member.Host{ID: other, Zone: z, Addr: "addr-" + other}})
		}
	}
	w.feed(h, list)
	for _, other := range w.ids {
		if o := w.hosts[other]; other != id && o.alive {
			w.link(h, o)
			w.link(o, h)
		}
	}
}

// link opens the stream from one host to another; messages in flight on an older one are lost.
func (w *world) link(from, to *fakeHost) {
	delete(w.links, [2]string{from.id, to.id})
	w.feed(to, core.PeerUnlinked{Host: from.id, Incarnation: from.incarnation})
	w.feed(to, core.PeerLinked{Host: member.Host{ID: from.id, Zone: from.zone, Addr: "addr-" + from.id}, Incarnation: from.incarnation})
	w.feed(from, core.LinkOpened{Host: to.id})
}

// kill kills a host with everything that it holds.
func (w *world) kill(h *fakeHost) {
	h.alive = false
	for _, id := range w.ids {
		w.feed(w.hosts[id], core.PeerUnlinked{Host: h.id, Incarnation: h.incarnation})
	}
	for _, r := range w.requests {
		if r.host == h {
			r.lost = true
		}
	}
}

func (w *world) feed(h *fakeHost, e core.Event) {
	if !h.alive {
		return
	}
	if h.paused {
		h.inbox = append(h.inbox, e)
		return
	}
	w.steps++
	effects := h.core.Reduce(h.clock(w.now), e)
	for _, v := range h.core.Violations() {
		w.fail("host %s: %s", h.id, v)
	}
	for _, eff := range effects {
		if _, changed := eff.(core.ConfigChanged); changed {
			w.checkRevisions(h)
		}
		w.execute(h, eff)
	}
}

// checkRevisions asserts that no active record goes back to an older revision.
func (w *world) checkRevisions(h *fakeHost) {
	for _, r := range h.core.Config().After(0) {
		if r.Revision < h.revision[r.Key()] {
			w.fail("host %s: %s reverted from revision %d to %d", h.id, r.Key(), h.revision[r.Key()], r.Revision)
		}
		h.revision[r.Key()] = r.Revision
	}
}

func (w *world) execute(h *fakeHost, eff core.Effect) {
	switch e := eff.(type) {
	case core.Send:
		w.sendMessage(h, e)
	case core.Dispatch:
		// The traffic side runs a little later; a pause of the process may come in between.
		w.deferEffect(h, func() { w.dispatch(h, e) })
	case core.Suspend:
		w.deferEffect(h, func() { w.suspend(h, e.ID) })
	case core.Finish:
		w.finish(h, e)
	case core.ReadPlatform:
		h.reading = e.On
	}
}

func (w *world) deferEffect(h *fakeHost, f func()) { h.deferred = append(h.deferred, f) }

func (w *world) reachable(a, b *fakeHost) bool { return !w.cut[[2]string{a.zone, b.zone}] }

func (w *world) sendMessage(h *fakeHost, e core.Send) {
	to, ok := w.hosts[e.To.ID]
	if !ok || !to.alive || !w.reachable(h, to) {
		return
	}
	k := [2]string{h.id, to.id}
	at := w.now + time.Duration(w.rng.IntN(4000))*time.Microsecond
	if q := w.links[k]; len(q) > 0 {
		at = max(at, q[len(q)-1].at)
	}
	w.links[k] = append(w.links[k], queuedMessage{at, h.id, h.incarnation, e.Message})
}

// dispatch sends a request to a backend server as the edge does, unless the lease has expired.
func (w *world) dispatch(h *fakeHost, d core.Dispatch) {
	r := w.requests[d.ID]
	if r == nil || len(r.answers) > 0 {
		return
	}
	r.attempt, r.backend = d.Attempt, d.Backend.Name
	if h.clock(w.now) > d.ValidUntil {
		w.feed(h, core.DispatchEnded{ID: d.ID, Attempt: d.Attempt, Outcome: core.NotSent})
		return
	}
	b := w.backends[d.Backend.Name]
	if b.down {
		w.feed(h, core.DispatchEnded{ID: d.ID, Attempt: d.Attempt, Outcome: core.NotSent})
		return
	}
	since := max(b.leavingAt, w.lastOutageAt)
	if b.leaving && w.now > since+leaveTimeout {
		w.fail("backend server %s got a request %s after it began to leave", b.name, w.now-b.leavingAt)
	}
	work := time.Duration(20+w.rng.IntN(300)) * time.Millisecond
	if d.Resume {
		work = b.remaining[d.ID]
	} else {
		b.runs[d.ID]++
	}
	b.running[d.ID] = w.now + work
	r.began = w.now
}

// checkShed asserts that no request was shed while a run of a lower priority that could have been
// preempted for it ran on a server of its zone. While faults last, a scheduler may not know of all of
// these.
func (w *world) checkShed(r *fakeRequest) {
	if r.service != modelService || w.now-w.lastFaultAt < shedSettleTime {
		return
	}
	for _, b := range w.backends {
		if b.service != r.service || b.zone != r.host.zone || b.leaving || b.down {
			continue
		}
		for id := range b.running {
			if o := w.requests[id]; o.priority < r.priority && w.now-o.began > shedSettleTime/4 {
				w.fail("request %s at priority %d was shed while %s at %d ran on %s", r.id, r.priority, id, o.priority, b.name)
			}
		}
	}
}

func (w *world) suspend(h *fakeHost, id string) {
	r := w.requests[id]
	b := w.backends[r.backend]
	if b == nil {
		return // requested before the dispatch was carried out
	}
	end, ok := b.running[id]
	if !ok {
		return
	}
	delete(b.running, id)
	for _, other := range w.backends {
		other.remaining[id] = end - w.now // any server can import the export
	}
	w.feed(h, core.DispatchEnded{ID: id, Attempt: r.attempt, Outcome: core.Suspended})
}

func (w *world) finish(h *fakeHost, e core.Finish) {
	r := w.requests[e.ID]
	r.answers = append(r.answers, e.Fault)
	if e.Fault != nil && e.Fault.Kind == fault.Overloaded {
		w.sheds++
		w.checkShed(r)
	}
	if len(r.answers) > 1 {
		w.fail("request %s was answered %d times", e.ID, len(r.answers))
	}
	if b := w.backends[r.backend]; b != nil {
		delete(b.running, e.ID)
	}
}

func (w *world) runsOf(id string) int {
	n := 0
	for _, b := range w.backends {
		n += b.runs[id]
	}
	return n
}

// advance advances time in ticks of the daemon.
func (w *world) advance(d time.Duration) {
	for until := w.now + d; w.now < until; {
		w.now += core.TickInterval
		if w.hasFault() {
			w.lastFaultAt = w.now
		}
		if w.hasOutage() {
			w.lastOutageAt = w.now
		}
		if w.updatesBlocked() {
			w.lastBlockedAt = w.now
		}
		w.deliver()
		w.work()
		for _, id := range w.ids {
			w.tick(w.hosts[id])
		}
	}
	w.checkInForce()
}

// updatesBlocked reports whether some host cannot receive a change: it is cut off, paused or dead, or no
// host reads the current state of the platform.
func (w *world) updatesBlocked() bool {
	readers := 0
	for _, id := range w.ids {
		h := w.hosts[id]
		_, stale := w.platform.stale[id]
		if h.paused || !h.alive || len(w.cut) > 0 {
			return true
		}
		if !w.platform.down[id] && !stale {
			readers++
		}
	}
	return readers == 0
}

// checkInForce asserts that a change is active on every host within the time limit, even if only one
// host can read the platform.
func (w *world) checkInForce() {
	for _, p := range w.history {
		if max(p.at, w.lastBlockedAt)+inForceTimeout > w.now {
			continue
		}
		for _, id := range w.ids {
			if w.hosts[id].startedAt+inForceTimeout > w.now {
				continue
			}
			if got := w.hosts[id].core.Config().Revision(); got < p.revision {
				w.fail("host %s has revision %d in force; revision %d is %s old", id, got, p.revision, w.now-p.at)
			}
		}
	}
}

func (w *world) hasFault() bool {
	for _, h := range w.hosts {
		if h.paused {
			return true
		}
	}
	return w.hasOutage()
}

// hasOutage reports whether updates may not reach every host, not counting pauses of processes.
func (w *world) hasOutage() bool {
	if len(w.cut) > 0 || len(w.platform.down) > 0 || len(w.platform.stale) > 0 {
		return true
	}
	for _, h := range w.hosts {
		if !h.alive {
			return true
		}
	}
	return false
}

// drain starts the graceful shutdown of a host.
func (w *world) drain(h *fakeHost) {
	h.draining = true
	w.feed(h, core.Drain{})
}

// stopDrained ends a draining host that holds no requests, as the daemon does, and replaces it.
func (w *world) stopDrained(h *fakeHost) {
	if !h.draining || h.core.Requests() > 0 {
		return
	}
	w.end(h)
}

// stop ends a host whose drain time is over, with the requests that it holds, and replaces it.
func (w *world) stop(h *fakeHost) {
	w.feed(h, core.Stop{})
	w.end(h)
}

func (w *world) end(h *fakeHost) {
	for _, r := range w.requests {
		if r.host == h && len(r.answers) == 0 {
			w.fail("host %s ended with request %s unanswered", h.id, r.id)
		}
	}
	w.kill(h)
	w.start(h.id, h.zone)
}

func (w *world) tick(h *fakeHost) {
	if !h.alive || h.paused {
		return
	}
	w.stopDrained(h)
	if !h.alive {
		return
	}
	late := h.deferred
	h.deferred = nil
	for _, f := range late {
		f()
	}
	if w.now >= h.tickAt {
		w.feed(h, core.Tick{})
		h.tickAt = w.now + h.core.NextTick()
	} else if h.core.NextTick() == core.TickInterval {
		h.tickAt = min(h.tickAt, w.now+core.TickInterval)
	}
	if h.reading && w.now-h.readAt >= 100*time.Millisecond {
		h.readAt = w.now
		w.read(h)
	}
}

func (w *world) read(h *fakeHost) {
	if w.platform.down[h.id] {
		w.feed(h, core.PlatformFailed{})
		return
	}
	log := w.platform.log
	if n, ok := w.platform.stale[h.id]; ok {
		log = log[:n]
	}
	latest := map[record.Key]record.Raw{}
	for _, r := range log {
		latest[r.Key()] = r
	}
	out := make([]record.Raw, 0, len(latest))
	for _, r := range latest {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	w.feed(h, core.PlatformRecords{Records: out, Current: true})
}

func (w *world) deliver() {
	keys := make([][2]string, 0, len(w.links))
	for k := range w.links {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i][0]+keys[i][1] < keys[j][0]+keys[j][1] })
	for _, k := range keys {
		for len(w.links[k]) > 0 && w.links[k][0].at <= w.now {
			p := w.links[k][0]
			w.links[k] = w.links[k][1:]
			to := w.hosts[k[1]]
			if w.reachable(w.hosts[k[0]], to) {
				w.feed(to, core.PeerMessage{From: p.from, Incarnation: p.incarnation, Message: p.msg})
			}
		}
	}
}

// work ends the runs that the backend servers have completed.
func (w *world) work() {
	names := make([]string, 0, len(w.backends))
	for n := range w.backends {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		b := w.backends[n]
		var done []string
		for id, end := range b.running {
			if end <= w.now {
				done = append(done, id)
			}
		}
		sort.Strings(done)
		for _, id := range done {
			delete(b.running, id)
			w.ended(b, id)
		}
	}
}

func (w *world) ended(b *fakeBackend, id string) {
	r := w.requests[id]
	outcome := core.Done
	if b.losesAnswers || w.deadly[id] {
		outcome = core.Failed
	}
	if w.deadly[id] {
		w.deadlyRuns++
	}
	if r.host.incarnation == r.hostIncarnation {
		w.feed(r.host, core.DispatchEnded{ID: id, Attempt: r.attempt, Outcome: outcome, BackendEnded: w.deadly[id], FirstToken: 20 * time.Millisecond,
			Interval: 5 * time.Millisecond, Tokens: 10})
	}
}

// submit submits one attempt of a caller.
func (w *world) submit(h *fakeHost, op *operation, service string, priority uint32, nonIdempotent bool) *fakeRequest {
	w.seq++
	r := &fakeRequest{id: fmt.Sprintf("r%05d", w.seq), service: service, priority: priority, host: h, hostIncarnation: h.incarnation, until: w.now + 5*time.Second}
	r.lost = !h.alive // the connection is refused
	w.requests[r.id] = r
	op.tries = append(op.tries, r)
	w.feed(h, core.Submit{ID: r.id, Workspace: "school", Service: service, Tier: "t", Priority: priority, PromptTokens: 100,
		OutputTokens: 20, Deadline: 5 * time.Second, NonIdempotent: nonIdempotent, Ticket: op.ticket})
	return r
}

// heal ends all faults and restarts dead hosts.
func (w *world) heal() {
	w.cut = map[[2]string]bool{}
	w.platform.down, w.platform.stale = map[string]bool{}, map[string]int{}
	for _, b := range w.backends {
		b.down, b.losesAnswers = false, false
	}
	for _, id := range w.ids {
		h := w.hosts[id]
		if !h.alive {
			w.start(h.id, h.zone)
			continue
		}
		w.resume(h)
	}
}

// resume resumes a paused process: its timer may fire first; then come the deferred effects, then the
// events that arrived.
func (w *world) resume(h *fakeHost) {
	if !h.paused {
		return
	}
	h.paused = false
	if w.rng.IntN(2) == 0 {
		w.feed(h, core.Tick{})
	}
	late := h.deferred
	h.deferred = nil
	for _, f := range late {
		f()
	}
	inbox := h.inbox
	h.inbox = nil
	for _, e := range inbox {
		w.feed(h, e)
	}
}

// checkFinalState checks the invariants after all faults have been healed and time has passed.
func (w *world) checkFinalState() {
	for _, r := range w.requests {
		w.checkRequest(r)
	}
	for _, op := range w.ops {
		if op.ticket == nil {
			continue
		}
		runs := 0
		for _, r := range op.tries {
			runs += w.runsOf(r.id)
		}
		if runs > 1 {
			w.fail("operation %d ran %d times over %d attempts", op.id, runs, len(op.tries))
		}
	}
	want := uint64(len(w.platform.log))
	for _, h := range w.hosts {
		if h.core.Config().Revision() != want {
			w.fail("host %s has revision %d in force, the platform has %d", h.id, h.core.Config().Revision(), want)
		}
		if !h.core.Ready() {
			w.fail("host %s is not ready after the heal", h.id)
		}
	}
}

func (w *world) checkRequest(r *fakeRequest) {
	runs := w.runsOf(r.id)
	if runs > 1 {
		w.fail("request %s was dispatched %d times", r.id, runs)
	}
	if len(r.answers) == 0 && !r.lost {
		w.fail("request %s was never answered", r.id)
	}
	if len(r.answers) == 0 {
		return
	}
	f := r.answers[0]
	if f == nil && runs != 1 {
		w.fail("request %s got a complete answer with %d runs", r.id, runs)
	}
	if f != nil && f.Ran == fault.NotRun && runs != 0 {
		w.fail("request %s was refused as not run (%s) and ran", r.id, f.Kind)
	}
}
