package sched

import (
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/record"
)

// Bounds of the time to come back that a refusal names.
const (
	retryLeast = 500 * time.Millisecond
	retryMost  = 30 * time.Second
	// hardQueueFactor bounds the queue absolutely, also while displaced work makes room.
	hardQueueFactor = 4
	// finishMargin is put on the estimate of a finish before it is held against a deadline.
	finishMargin = 1.15
)

// pump grants as long as the most urgent waiting request fits somewhere, then displaces for it.
func (g *Group) pump(now time.Duration) {
	if !g.settled {
		return
	}
	for g.grantNext(now) {
	}
}

// grantNext serves one request and reports whether it did.
func (g *Group) grantNext(now time.Duration) bool {
	if ignoresTiers(g.service.Policy) {
		w := g.queue.oldest()
		return w != nil && g.try(now, w) == granted
	}
	for p := Priorities - 1; p >= 0; p-- {
		for _, line := range []*tierQueue{g.queue.resumed[p], g.queue.fresh[p]} {
			switch g.grantFrom(now, line) {
			case granted:
				return true
			case noRoom:
				g.displace(now, line.head())
				if line == g.queue.fresh[p] {
					return false // what fresh urgent work could use, lower work must not take
				}
			}
		}
	}
	return false
}

// verdict is what became of an attempt to place a request.
type verdict int

const (
	granted verdict = iota + 1
	// noRoom: no server that could serve it in time has a free slot.
	noRoom
	// tooSlow: free slots are left, on servers that would not finish it in time.
	tooSlow
	// nothing: nobody waits.
	nothing
)

// headsTried is how many workspaces of a tier are looked at when the first one's work is too long
// for the servers that are free.
const headsTried = 8

// grantFrom serves one tier: its next workspace, or another whose work fits the free servers.
func (g *Group) grantFrom(now time.Duration, t *tierQueue) verdict {
	out := nothing
	for _, w := range t.heads(headsTried) {
		switch g.try(now, w) {
		case granted:
			return granted
		case noRoom:
			return noRoom
		default:
			out = tooSlow
		}
	}
	return out
}

// try grants a request if it can.
func (g *Group) try(now time.Duration, w *waiting) verdict {
	b, v := g.place(now, w)
	if v == granted {
		g.reserveSlot(now, w, b)
	}
	return v
}

// place filters and scores.
func (g *Group) place(now time.Duration, w *waiting) (*backend, verdict) {
	score := scorers[g.service.Policy]
	if score == nil {
		score = scoreCost
	}
	var best *backend
	least := 0.0
	v := noRoom
	for _, name := range g.order {
		b := g.backends[name]
		if !g.able(now, w, b) || len(b.runs) >= b.limitFor(g.reserveFor(w.Priority)) {
			continue
		}
		if !g.inTime(now, w, b) {
			v = tooSlow
			continue
		}
		if s := score(g, &w.Request, b); best == nil || s < least {
			best, least = b, s
		}
	}
	if best != nil {
		v = granted
	}
	return best, v
}

// able tells whether the server could serve the request if it had room.
func (g *Group) able(now time.Duration, w *waiting, b *backend) bool {
	return b.ready(now) && (!w.Resume || b.spec.CanSuspend)
}

// inTime tells whether the server would finish the request before its deadline. It keeps long
// answers off slow servers: they would be canceled halfway, and their prefill thrown away.
func (g *Group) inTime(now time.Duration, w *waiting, b *backend) bool {
	if ignoresTiers(g.service.Policy) {
		return true
	}
	return now+fromMS(b.shown(&w.Request, g.answered)*finishMargin) <= w.Deadline
}

func (g *Group) reserveFor(priority uint32) int {
	if ignoresTiers(g.service.Policy) {
		return 0
	}
	return g.reserve[priority]
}

// reserveSlot takes the slot and grants it.
func (g *Group) reserveSlot(now time.Duration, w *waiting, b *backend) {
	g.queue.serve(w)
	g.grants++
	g.start(b, &run{
		Held: Held{Key: w.Key, Attempt: w.Attempt, Backend: b.spec.Name, Workspace: w.Workspace,
			Priority: w.Priority, OutputTokens: w.OutputTokens, NonIdempotent: w.NonIdempotent},
		granted: now, confirmed: now, uncached: b.uncached(&w.Request),
	})
	b.prefix.add(w.Prefix)
	g.inv.Check(!b.spec.Leaving, "grant of %d on leaving backend server %s", w.Key.Request, b.spec.Name)
	g.out = append(g.out, Grant{w.Key, w.Attempt, b.spec.Name, g.opt.Lease})
}

// admit refuses at once what cannot be served in time.
func (g *Group) admit(now time.Duration, w *waiting) (fault.Kind, time.Duration, bool) {
	if len(g.order) == 0 || !g.anyActive() {
		return fault.NoBackend, time.Second, false
	}
	if now > w.latest {
		return fault.DeadlineUnmeetable, 0, false
	}
	if w.Resume || ignoresTiers(g.service.Policy) {
		return "", 0, true
	}
	if w.Spilled && !g.takesSpill(w.Priority) {
		return fault.Overloaded, retryLeast, false
	}
	// Lower work can still make room: then the wait cannot be known, and nothing is shed.
	if g.lowerRunning(w.Priority) > 0 {
		return "", 0, true
	}
	if wait := g.wait(w); g.paceShown() && now+wait > w.latest {
		return fault.DeadlineUnmeetable, clampRetry(wait), false
	}
	return "", 0, true
}

// takesSpill tells whether work of another availability zone is welcome: only where it starts at
// once, on a free slot or in the place of lower work. So two zones cannot fill each other's queues.
func (g *Group) takesSpill(priority uint32) bool {
	if g.queue.waitsFrom(priority) {
		return false
	}
	return g.lowerRunning(priority) > 0 || g.slots() > len(g.runs)
}

func (g *Group) anyActive() bool {
	for _, b := range g.backends {
		if !b.spec.Leaving {
			return true
		}
	}
	return false
}

// wait estimates how long a request waits before it starts.
func (g *Group) wait(w *waiting) time.Duration {
	slots := g.slots()
	if slots == 0 {
		return retryMost
	}
	return fromMS(g.queue.costAhead(w) / float64(slots))
}

// paceShown tells whether the estimates rest on what every server in use has shown.
func (g *Group) paceShown() bool {
	for _, b := range g.backends {
		if !b.spec.Leaving && b.samples == 0 {
			return false
		}
	}
	return true
}

func (g *Group) slots() int {
	n := 0
	for _, b := range g.backends {
		if !b.spec.Leaving {
			n += b.limit()
		}
	}
	return n
}

func (g *Group) lowerRunning(priority uint32) int {
	n := 0
	for p := uint32(0); p < priority; p++ {
		n += g.running[p]
	}
	return n
}

// overflow sheds from the bottom once the queue is over its bound.
//
// It guards against shedding urgent work while lower work runs: a request is only shed when no
// lower run is left that could make room; until then the queue may go over its bound, up to a hard
// one, and the lower runs are displaced at once instead of after DisplaceAfter.
func (g *Group) overflow(now time.Duration) {
	bound := max(g.opt.MinQueue, g.opt.QueuePerSlot*g.slots())
	for g.queue.len() > bound {
		w := g.queue.last()
		if ignoresTiers(g.service.Policy) {
			g.shed(now, w)
			continue
		}
		g.displaceAllBelow(now, w)
		if g.lowerRunning(w.Priority) > 0 && g.queue.len() <= hardQueueFactor*bound {
			return
		}
		if g.lowerRunning(w.Priority) > 0 {
			g.CappedSheds++
		}
		g.shed(now, w)
	}
}

func (g *Group) shed(now time.Duration, w *waiting) {
	if !ignoresTiers(g.service.Policy) {
		r := g.displaceable(now, w)
		g.inv.Check(r == nil, "shed %d at priority %d while lower work runs", w.Key.Request, w.Priority)
	}
	wait := clampRetry(g.wait(w))
	g.queue.remove(w)
	g.refuse(w, fault.Overloaded, wait)
}

func (g *Group) refuse(w *waiting, kind fault.Kind, after time.Duration) {
	g.out = append(g.out, Refuse{w.Key, w.Attempt, kind, after})
}

// expire ends waits that can no longer meet their deadline; they are answered at once, not held.
func (g *Group) expire(now time.Duration) {
	for g.queue.len() > 0 && g.queue.expiry.Min().latest < now {
		w := g.queue.expiry.Min()
		wait := clampRetry(g.wait(w))
		g.queue.remove(w)
		g.refuse(w, fault.DeadlineUnmeetable, wait)
	}
}

func clampRetry(d time.Duration) time.Duration {
	return min(max(d, retryLeast), retryMost)
}

// Summary is what the group tells other hosts.
type Summary struct {
	Free          int
	Waiting       int
	LowestRunning int // -1 when idle
}

// Summary counts free slots over the servers that may get work.
func (g *Group) Summary(now time.Duration) Summary {
	s := Summary{Waiting: g.queue.len(), LowestRunning: -1}
	for _, b := range g.backends {
		if b.ready(now) {
			s.Free += max(0, b.limit()-len(b.runs))
		}
	}
	for p, n := range g.running {
		if n > 0 {
			s.LowestRunning = p
			break
		}
	}
	return s
}

// BackendStatus is one server as operators see it.
type BackendStatus struct {
	Name     string  `json:"name"`
	Zone     string  `json:"zone"`
	Addr     string  `json:"addr"`
	Leaving  bool    `json:"leaving"`
	Cooling  bool    `json:"cooling"`
	Running  int     `json:"running"`
	Window   int     `json:"window"`
	Slots    int     `json:"slots"`
	Interval float64 `json:"token_interval_ms"`
}

// Status lists the servers, by name.
func (g *Group) Status(now time.Duration) []BackendStatus {
	out := make([]BackendStatus, 0, len(g.order))
	for _, name := range g.order {
		b := g.backends[name]
		out = append(out, BackendStatus{name, b.spec.Zone, b.spec.Addr, b.spec.Leaving, now < b.coolTill,
			len(b.runs), b.limit(), b.spec.Slots, b.interval})
	}
	return out
}

// Suspendable tells whether a service kind lets running work be displaced.
func (g *Group) suspendable(b *backend) bool {
	return g.service.Kind == record.ServiceModel && b.spec.CanSuspend
}
