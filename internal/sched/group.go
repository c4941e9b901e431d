package sched

import (
	"sort"
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/invariant"
	"fireflyshift/internal/record"
)

// sweepEvery is how often lost runs are looked for: the look costs a pass over all runs.
const sweepEvery = 250 * time.Millisecond

// Group is the scheduler's state for one group of backend servers of one service in one
// availability zone. It is not safe for concurrent use.
type Group struct {
	opt      Options
	service  record.Service
	backends map[string]*backend
	order    []string // names, sorted
	queue    *queue
	runs     map[Key]*run // over all backend servers
	hosts    map[string]*entryHost
	reserve  [Priorities]int // percent of slots that tiers above each priority reserve
	running  [Priorities]int // how many run at each priority
	grants   uint64
	answered float64 // share of the output bound that answers come to; zero before the first
	settled  bool
	settleAt time.Duration
	sweptAt  time.Duration
	awaiting map[string]bool // hosts whose Holdings a new scheduler waits for
	inv      *invariant.Log
	out      []Decision
	// CappedSheds counts refusals by the hard bound of the queue.
	CappedSheds int
}

// NewGroup returns a group that grants once the hosts have said what they run, or after
// Options.Settle. Without that wait a scheduler that takes over would fill engines twice.
func NewGroup(now time.Duration, opt Options, service record.Service, hosts []string, inv *invariant.Log) *Group {
	g := &Group{
		opt:      opt,
		service:  service,
		backends: map[string]*backend{},
		queue:    newQueue(),
		runs:     map[Key]*run{},
		hosts:    map[string]*entryHost{},
		settleAt: now + opt.Settle,
		awaiting: map[string]bool{},
		inv:      inv,
	}
	for _, h := range hosts {
		g.awaiting[h] = true
	}
	g.settled = len(g.awaiting) == 0
	return g
}

// SetService takes a changed service record.
func (g *Group) SetService(s record.Service) { g.service = s }

// SetTiers takes the tiers in force, for their reserves.
func (g *Group) SetTiers(tiers []*record.Tier) {
	g.reserve = [Priorities]int{}
	for _, t := range tiers {
		for p := uint32(0); p < t.Priority; p++ {
			g.reserve[p] = min(90, g.reserve[p]+t.ReservePercent)
		}
	}
}

// SetBackends takes the backend servers in force. One that is gone keeps its runs until they end.
func (g *Group) SetBackends(now time.Duration, specs []record.Backend) []Decision {
	present := map[string]bool{}
	for _, s := range specs {
		present[s.Name] = true
		g.setBackend(s)
	}
	for name, b := range g.backends {
		if present[name] {
			continue
		}
		b.spec.Leaving = true
		if len(b.runs) == 0 {
			delete(g.backends, name)
		}
	}
	g.reorder()
	g.pump(now)
	return g.take()
}

func (g *Group) setBackend(s record.Backend) {
	b, ok := g.backends[s.Name]
	if !ok {
		g.backends[s.Name] = newBackend(s)
		return
	}
	if b.spec.Addr != s.Addr {
		// A server at another address is another machine: nothing learned holds for it.
		fresh := newBackend(s)
		fresh.runs = b.runs // they end at the old address, but hold the name's slots until then
		g.backends[s.Name] = fresh
		return
	}
	if b.spec.Slots != s.Slots {
		b.window = float64(s.Slots)
	}
	b.spec = s
}

func (g *Group) reorder() {
	g.order = g.order[:0]
	for name := range g.backends {
		g.order = append(g.order, name)
	}
	sort.Strings(g.order)
}

func (g *Group) position(name string) int { return sort.SearchStrings(g.order, name) }

// Acquire queues a request, or answers it at once.
func (g *Group) Acquire(now time.Duration, r Request) []Decision {
	if r.Priority >= Priorities {
		r.Priority = Priorities - 1
	}
	if g.repeated(now, r) {
		return g.take()
	}
	w := g.newWaiting(now, r)
	if kind, after, ok := g.admit(now, w); !ok {
		g.refuse(w, kind, after)
		return g.take()
	}
	g.queue.push(w)
	g.pump(now)
	g.overflow(now)
	return g.take()
}

// repeated handles a second copy of a request: links are cut and answers lost, so entry hosts ask
// again until they are answered. It reports whether there is nothing left to do.
func (g *Group) repeated(now time.Duration, r Request) bool {
	if w, ok := g.queue.byKey[r.Key]; ok {
		if r.Attempt <= w.Attempt {
			return true
		}
		g.queue.remove(w)
		return false
	}
	held := g.find(r.Key)
	if held == nil {
		return false
	}
	switch {
	case r.Attempt < held.Attempt:
		return true
	case r.Attempt > held.Attempt:
		g.free(held)
		return false
	}
	held.confirmed = now
	g.out = append(g.out, Grant{r.Key, r.Attempt, held.Backend, g.opt.Lease})
	return true
}

func (g *Group) newWaiting(now time.Duration, r Request) *waiting {
	w := &waiting{Request: r, arrived: now}
	least := -1.0
	for _, name := range g.order {
		b := g.backends[name]
		w.cost += b.estimate(&r, g.share()) / float64(len(g.order))
		if shown := b.shown(&r, g.answered); least < 0 || shown < least {
			least = shown
		}
	}
	w.latest = r.Deadline - fromMS(max(least, 0)*finishMargin)
	return w
}

// share is the part of the output bound that answers come to, learned from those that ended.
func (g *Group) share() float64 {
	if g.answered == 0 {
		return 1
	}
	return g.answered
}

// learnShare takes the length of a whole answer.
func (g *Group) learnShare(r *run, res Result) {
	if res.Outcome != Done || r.OutputTokens == 0 || res.Tokens == 0 {
		return
	}
	sample := min(1, float64(res.Tokens)/float64(r.OutputTokens))
	if g.answered == 0 {
		g.answered = sample
		return
	}
	g.answered += ewmaGain * (sample - g.answered)
}

// Withdraw forgets a request whose caller has gone or whose entry host gave it up.
func (g *Group) Withdraw(now time.Duration, k Key, attempt uint32) []Decision {
	if w, ok := g.queue.byKey[k]; ok && w.Attempt <= attempt {
		g.queue.remove(w)
	}
	if r := g.find(k); r != nil && r.Attempt <= attempt {
		g.free(r)
	}
	g.pump(now)
	return g.take()
}

// Release takes the end of a dispatch.
func (g *Group) Release(now time.Duration, res Result) []Decision {
	b, ok := g.backends[res.Backend]
	uncached := -1.0
	if r := g.find(res.Key); r != nil && r.Attempt <= res.Attempt {
		uncached = r.uncached
		g.learnShare(r, res)
		g.free(r)
	}
	if ok {
		b.learn(now, res, uncached, g.service.Kind == record.ServiceModel)
	}
	g.pump(now)
	return g.take()
}

// Hold takes the full list of what one entry host runs here: it renews, adds and removes.
func (g *Group) Hold(now time.Duration, host string, held []Held) []Decision {
	named := map[Key]bool{}
	for _, h := range held {
		named[h.Key] = true
		g.adopt(now, h)
	}
	for _, r := range g.runsOf(host) {
		// A grant may be on its way while the list is on its own: wait out the lease.
		if !named[r.Key] && now-r.granted > g.opt.Lease {
			g.free(r)
		}
	}
	delete(g.awaiting, host)
	if len(g.awaiting) == 0 {
		g.settled = true
	}
	g.pump(now)
	return g.take()
}

func (g *Group) adopt(now time.Duration, h Held) {
	if r := g.find(h.Key); r != nil {
		r.confirmed, r.orphanAt = now, 0
		return
	}
	b, ok := g.backends[h.Backend]
	if !ok {
		return
	}
	if w, queued := g.queue.byKey[h.Key]; queued {
		if w.Attempt > h.Attempt {
			return
		}
		g.queue.remove(w)
	}
	h.Priority = min(h.Priority, Priorities-1)
	g.start(b, &run{Held: h, granted: now, confirmed: now, uncached: -1})
}

// HostLost drops what a dead entry host had waiting; its runs keep their slots for OrphanGrace,
// since the engines may not have noticed yet.
func (g *Group) HostLost(now time.Duration, host string) []Decision {
	for _, w := range g.sorted() {
		if w.Key.Host == host {
			g.queue.remove(w)
		}
	}
	for _, r := range g.runsOf(host) {
		if r.orphanAt == 0 {
			r.orphanAt = now
		}
	}
	delete(g.awaiting, host)
	g.pump(now)
	return g.take()
}

// Dissolve tells all that waits to look for the group's next scheduler.
func (g *Group) Dissolve() []Decision {
	for _, w := range g.sorted() {
		g.refuse(w, fault.Moved, 0)
		g.queue.remove(w)
	}
	return g.take()
}

// sorted lists what waits in a fixed order.
func (g *Group) sorted() []*waiting {
	all := make([]*waiting, 0, g.queue.len())
	for _, w := range g.queue.byKey {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key.Less(all[j].Key) })
	return all
}

// Tick lets time pass: it ends waits that cannot meet their deadline and looks for free slots.
func (g *Group) Tick(now time.Duration) []Decision {
	if !g.settled && now >= g.settleAt {
		g.settled = true
	}
	if now-g.sweptAt >= sweepEvery {
		g.sweptAt = now
		g.dropLost(now)
	}
	g.expire(now)
	g.pump(now)
	return g.take()
}

// Busy tells whether time alone may change something soon: a request waits, or the group is new.
func (g *Group) Busy() bool { return !g.settled || g.queue.len() > 0 }

// dropLost frees the slots of runs whose entry host is dead or no longer names them.
func (g *Group) dropLost(now time.Duration) {
	lost := g.pickRuns(func(r *run) bool {
		orphan := r.orphanAt > 0 && now-r.orphanAt > g.opt.OrphanGrace
		return orphan || now-max(r.confirmed, g.hosts[r.Key.Host].confirmed) > g.opt.Unconfirmed
	})
	for _, r := range lost {
		g.free(r)
	}
}

// Report takes an engine's lagging word on its load.
func (g *Group) Report(name string, outstanding int) {
	if b, ok := g.backends[name]; ok {
		b.reported = outstanding
	}
}

// Evicted takes cache events of an engine.
func (g *Group) Evicted(name string, hashes []uint32) {
	b, ok := g.backends[name]
	if !ok {
		return
	}
	for _, h := range hashes {
		b.prefix.drop(h)
	}
}

func (g *Group) find(k Key) *run { return g.runs[k] }

func (g *Group) runsOf(host string) []*run {
	return g.pickRuns(func(r *run) bool { return r.Key.Host == host })
}

// pickRuns lists runs in a fixed order.
func (g *Group) pickRuns(want func(*run) bool) []*run {
	var out []*run
	for _, r := range g.runs {
		if want(r) {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.Less(out[j].Key) })
	return out
}

func (g *Group) start(b *backend, r *run) {
	b.runs[r.Key] = r
	g.runs[r.Key] = r
	g.running[r.Priority]++
	h, ok := g.hosts[r.Key.Host]
	if !ok {
		h = &entryHost{}
		g.hosts[r.Key.Host] = h
	}
	h.count++
	h.digest ^= HeldStamp(r.Key.Request, r.Attempt)
}

func (g *Group) free(r *run) {
	if g.runs[r.Key] != r {
		return
	}
	delete(g.runs, r.Key)
	g.running[r.Priority]--
	h := g.hosts[r.Key.Host]
	h.count--
	h.digest ^= HeldStamp(r.Key.Request, r.Attempt)
	if h.count == 0 {
		delete(g.hosts, r.Key.Host)
	}
	if b, ok := g.backends[r.Backend]; ok {
		delete(b.runs, r.Key)
	}
}

func (g *Group) take() []Decision {
	out := g.out
	g.out = nil
	return out
}
