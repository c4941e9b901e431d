package sched

import (
	"sort"
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/invariant"
	"fireflyshift/internal/record"
)

// sweepInterval is how often lost runs are searched for; each search visits all runs.
const sweepInterval = 250 * time.Millisecond

// Group is the scheduler's state for one group of backend servers of one service in one
// availability zone. It is not safe for concurrent use.
type Group struct {
	opt               Options
	service           record.Service
	backends          map[string]*backend
	sortedNames       []string
	queue             *queue
	runs              map[Key]*run // of all backend servers
	entryHosts        map[string]*entryHost
	reservePercent    [NumPriorities]int // percent of slots reserved for tiers above each priority
	runningByPriority [NumPriorities]int // number of runs at each priority
	grants            uint64
	outputRatio       float64 // learned ratio of output length to its maximum; zero before the first answer
	settled           bool
	settleBy          time.Duration
	sweptAt           time.Duration
	awaitingHoldings  map[string]bool // hosts whose holdings a new scheduler still waits for
	inv               *invariant.Log
	decisions         []Decision
	// HardBoundSheds counts refusals due to the hard bound of the queue.
	HardBoundSheds int
}

// NewGroup returns a group that starts to grant once the given hosts have sent their holdings, or after
// Options.SettleTimeout. Without that wait, a new scheduler would fill engines whose slots are in use.
func NewGroup(now time.Duration, opt Options, service record.Service, hosts []string, inv *invariant.Log) *Group {
	g := &Group{
		opt:              opt,
		service:          service,
		backends:         map[string]*backend{},
		queue:            newQueue(),
		runs:             map[Key]*run{},
		entryHosts:       map[string]*entryHost{},
		settleBy:         now + opt.SettleTimeout,
		awaitingHoldings: map[string]bool{},
		inv:              inv,
	}
	for _, h := range hosts {
		g.awaitingHoldings[h] = true
	}
	g.settled = len(g.awaitingHoldings) == 0
	return g
}

// SetService applies a changed service record.
func (g *Group) SetService(s record.Service) { g.service = s }

// SetTiers applies the active tiers and computes the slots that they reserve.
func (g *Group) SetTiers(tiers []*record.Tier) {
	g.reservePercent = [NumPriorities]int{}
	for _, t := range tiers {
		for p := uint32(0); p < t.Priority; p++ {
			g.reservePercent[p] = min(90, g.reservePercent[p]+t.ReservePercent)
		}
	}
}

// SetBackends applies the active backend server records. A removed server keeps its runs until they end.
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
	g.sortNames()
	g.schedule(now)
	return g.takeDecisions()
}

func (g *Group) setBackend(s record.Backend) {
	b, ok := g.backends[s.Name]
	if !ok {
		g.backends[s.Name] = newBackend(s)
		return
	}
	if b.spec.Addr != s.Addr {
		// A server at another address is another machine, to which the learned values do not apply.
		replacement := newBackend(s)
		replacement.runs = b.runs // they end at the old address but use slots under this name until then
		g.backends[s.Name] = replacement
		return
	}
	if b.spec.Slots != s.Slots {
		b.window = float64(s.Slots)
	}
	b.spec = s
}

func (g *Group) sortNames() {
	g.sortedNames = g.sortedNames[:0]
	for name := range g.backends {
		g.sortedNames = append(g.sortedNames, name)
	}
	sort.Strings(g.sortedNames)
}

func (g *Group) position(name string) int { return sort.SearchStrings(g.sortedNames, name) }

// Acquire queues a request, or grants or refuses it at once.
func (g *Group) Acquire(now time.Duration, r Request) []Decision {
	if r.Priority >= NumPriorities {
		r.Priority = NumPriorities - 1
	}
	if g.handleRepeated(now, r) {
		return g.takeDecisions()
	}
	w := g.newQueuedRequest(now, r)
	if kind, after, ok := g.admit(now, w); !ok {
		g.refuse(w, kind, after)
		return g.takeDecisions()
	}
	g.queue.push(w)
	g.schedule(now)
	g.enforceQueueBound(now)
	return g.takeDecisions()
}

// handleRepeated handles a repeated request: entry hosts repeat it until they get an answer, since links
// break and messages are lost. It reports whether the request needs no further handling.
func (g *Group) handleRepeated(now time.Duration, r Request) bool {
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
	held.confirmedAt = now
	g.decisions = append(g.decisions, Grant{r.Key, r.Attempt, held.Backend, g.opt.Lease})
	return true
}

func (g *Group) newQueuedRequest(now time.Duration, r Request) *queuedRequest {
	w := &queuedRequest{Request: r, arrived: now}
	minEstimate := -1.0
	for _, name := range g.sortedNames {
		b := g.backends[name]
		w.cost += b.estimate(&r, g.expectedOutputRatio()) / float64(len(g.sortedNames))
		if measured := b.measuredEstimate(&r, g.outputRatio); minEstimate < 0 || measured < minEstimate {
			minEstimate = measured
		}
	}
	w.latestStart = r.Deadline - fromMS(max(minEstimate, 0)*finishMargin)
	return w
}

// expectedOutputRatio returns the expected ratio of output length to its maximum, 1 before the first
// answer.
func (g *Group) expectedOutputRatio() float64 {
	if g.outputRatio == 0 {
		return 1
	}
	return g.outputRatio
}

// learnOutputRatio updates the output ratio from a complete answer.
func (g *Group) learnOutputRatio(r *run, res Result) {
	if res.Outcome != Done || r.OutputTokens == 0 || res.Tokens == 0 {
		return
	}
	sample := min(1, float64(res.Tokens)/float64(r.OutputTokens))
	if g.outputRatio == 0 {
		g.outputRatio = sample
		return
	}
	g.outputRatio += ewmaGain * (sample - g.outputRatio)
}

// Withdraw removes a request that its entry host no longer needs, such as one whose caller has
// disconnected.
func (g *Group) Withdraw(now time.Duration, k Key, attempt uint32) []Decision {
	if w, ok := g.queue.byKey[k]; ok && w.Attempt <= attempt {
		g.queue.remove(w)
	}
	if r := g.find(k); r != nil && r.Attempt <= attempt {
		g.free(r)
	}
	g.schedule(now)
	return g.takeDecisions()
}

// Release applies the end of a dispatch and frees its slot.
func (g *Group) Release(now time.Duration, res Result) []Decision {
	b, ok := g.backends[res.Backend]
	uncached := -1.0
	if r := g.find(res.Key); r != nil && r.Attempt <= res.Attempt {
		uncached = r.uncached
		g.learnOutputRatio(r, res)
		g.free(r)
	}
	if ok {
		b.learn(now, res, uncached, g.service.Kind == record.ServiceModel)
	}
	g.schedule(now)
	return g.takeDecisions()
}

// UpdateHoldings applies the full list of what one entry host runs here: it confirms known runs, adds
// unknown ones and frees those not listed.
func (g *Group) UpdateHoldings(now time.Duration, host string, held []Held) []Decision {
	listed := map[Key]bool{}
	for _, h := range held {
		listed[h.Key] = true
		g.adopt(now, h)
	}
	for _, r := range g.runsOf(host) {
		// A grant may still be on its way to the entry host, so keep unlisted runs for the lease.
		if !listed[r.Key] && now-r.grantedAt > g.opt.Lease {
			g.free(r)
		}
	}
	delete(g.awaitingHoldings, host)
	if len(g.awaitingHoldings) == 0 {
		g.settled = true
	}
	g.schedule(now)
	return g.takeDecisions()
}

func (g *Group) adopt(now time.Duration, h Held) {
	if r := g.find(h.Key); r != nil {
		r.confirmedAt, r.orphanedAt = now, 0
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
	h.Priority = min(h.Priority, NumPriorities-1)
	g.start(b, &run{Held: h, grantedAt: now, confirmedAt: now, uncached: -1})
}

// HostLost removes the waiting requests of an unreachable entry host. Its runs keep their slots for
// OrphanGrace, since the engines may not have noticed yet.
func (g *Group) HostLost(now time.Duration, host string) []Decision {
	for _, w := range g.waitingByKey() {
		if w.Key.Host == host {
			g.queue.remove(w)
		}
	}
	for _, r := range g.runsOf(host) {
		if r.orphanedAt == 0 {
			r.orphanedAt = now
		}
	}
	delete(g.awaitingHoldings, host)
	g.schedule(now)
	return g.takeDecisions()
}

// Dissolve refuses all waiting requests with Moved, so that they find the next scheduler of the group.
func (g *Group) Dissolve() []Decision {
	for _, w := range g.waitingByKey() {
		g.refuse(w, fault.Moved, 0)
		g.queue.remove(w)
	}
	return g.takeDecisions()
}

// waitingByKey returns the waiting requests sorted by key.
func (g *Group) waitingByKey() []*queuedRequest {
	all := make([]*queuedRequest, 0, g.queue.len())
	for _, w := range g.queue.byKey {
		all = append(all, w)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key.Less(all[j].Key) })
	return all
}

// Tick advances time: it refuses requests that can no longer meet their deadline and grants free slots.
func (g *Group) Tick(now time.Duration) []Decision {
	if !g.settled && now >= g.settleBy {
		g.settled = true
	}
	if now-g.sweptAt >= sweepInterval {
		g.sweptAt = now
		g.freeLostRuns(now)
	}
	g.expire(now)
	g.schedule(now)
	return g.takeDecisions()
}

// Busy reports whether the group needs frequent ticks: a request waits, or the group still waits for
// holdings.
func (g *Group) Busy() bool { return !g.settled || g.queue.len() > 0 }

// freeLostRuns frees the slots of runs whose entry host is dead or has not confirmed them for too long.
func (g *Group) freeLostRuns(now time.Duration) {
	lost := g.runsWhere(func(r *run) bool {
		orphan := r.orphanedAt > 0 && now-r.orphanedAt > g.opt.OrphanGrace
		return orphan || now-max(r.confirmedAt, g.entryHosts[r.Key.Host].confirmedAt) > g.opt.UnconfirmedTimeout
	})
	for _, r := range lost {
		g.free(r)
	}
}

// ReportLoad records an engine's own report of its load.
func (g *Group) ReportLoad(name string, outstanding int) {
	if b, ok := g.backends[name]; ok {
		b.reportedLoad = outstanding
	}
}

// CacheEvicted records evictions from an engine's prefix cache.
func (g *Group) CacheEvicted(name string, hashes []uint32) {
	b, ok := g.backends[name]
	if !ok {
		return
	}
	for _, h := range hashes {
		b.prefixes.remove(h)
	}
}

func (g *Group) find(k Key) *run { return g.runs[k] }

func (g *Group) runsOf(host string) []*run {
	return g.runsWhere(func(r *run) bool { return r.Key.Host == host })
}

// runsWhere returns the matching runs sorted by key.
func (g *Group) runsWhere(want func(*run) bool) []*run {
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
	g.runningByPriority[r.Priority]++
	h, ok := g.entryHosts[r.Key.Host]
	if !ok {
		h = &entryHost{}
		g.entryHosts[r.Key.Host] = h
	}
	h.count++
	h.digest ^= RunHash(r.Key.Request, r.Attempt)
}

func (g *Group) free(r *run) {
	if g.runs[r.Key] != r {
		return
	}
	delete(g.runs, r.Key)
	g.runningByPriority[r.Priority]--
	h := g.entryHosts[r.Key.Host]
	h.count--
	h.digest ^= RunHash(r.Key.Request, r.Attempt)
	if h.count == 0 {
		delete(g.entryHosts, r.Key.Host)
	}
	if b, ok := g.backends[r.Backend]; ok {
		delete(b.runs, r.Key)
	}
}

func (g *Group) takeDecisions() []Decision {
	out := g.decisions
	g.decisions = nil
	return out
}
