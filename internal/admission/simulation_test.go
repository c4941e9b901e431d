package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fireflyshift/internal/indexheap"
)

// The load of the specification's first section at one queue: 36 slots of 0.2 s each, so 180 requests a second.
const (
	testSlots   = 36
	testService = 200 * time.Millisecond
	testTarget  = 800 * time.Millisecond
	// testAllowed is the time that a caller allows, testLeaves that after which it abandons a stream without an event.
	testAllowed = 10 * time.Second
	testLeaves  = 3200 * time.Millisecond
	testPass    = 50 * time.Millisecond // between two calls of Expire
)

// source sends requests of one workspace and priority.
type source struct {
	workspace string
	weight    float64
	priority  int
	perSecond float64
	from, to  time.Duration
	// atOnce is the number of times that a refused request is sent again at once. asTold sends it once more when told to.
	atOnce int
	asTold bool
	// even sends at equal gaps, with a tenth of variation; otherwise gaps are exponential.
	even bool
	// service is the time that the requests take; zero is testService.
	service time.Duration
}

// caller is one request of a source with its tries and its end.
type caller struct {
	source   *source
	begun    time.Duration
	tries    int
	served   bool
	granted  time.Duration
	refused  []Cause
	answered int // ends reported by the queue, for all tries
	queued   int
	// service is the time that the answer takes on a slot of mean speed, and retryAfter when the caller returns if it is not told.
	service, retryAfter time.Duration
	// delay is how much later than predicted the first event follows the grant.
	delay time.Duration
}

func (c *caller) onTime() bool { return c.served && c.granted+c.delay <= c.begun+testTarget }

type event struct {
	at     time.Duration
	number int
	do     func(at time.Duration)
}

func earlier(a, b event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.number < b.number
}

// load is an owner with its slots and the callers, in simulated time.
type load struct {
	queue *Queue // nil: requests without a free slot are refused
	// free are the speeds of the free slots.
	free    []float64
	events  *indexheap.Heap[event]
	number  int
	keys    uint64
	waiting map[Key]*caller
	callers []*caller
	rand    *rand.Rand
	// vary is the range of service times and costs around their mean; the cost is predicted without error in the mean.
	vary    float64
	longest int // queue
}

func newLoad(seed uint64) *load {
	l := &load{events: indexheap.New(earlier, func(event, int) {}), queue: New(Config{}), free: slices.Repeat([]float64{1}, testSlots), waiting: map[Key]*caller{}, rand: rand.New(rand.NewPCG(seed, 1))}
	l.queue.SetRoom(testSlots, testService)
	return l
}

func (l *load) at(t time.Duration, do func(at time.Duration)) {
	l.number++
	l.events.Push(event{t, l.number, do})
}

// run simulates until a time.
func (l *load) run(until time.Duration, sources ...source) {
	for i := range sources {
		l.send(&sources[i], sources[i].from)
	}
	l.at(0, l.pass)
	for l.events.Len() > 0 && l.events.Min().at <= until {
		e := l.events.Min()
		l.events.Remove(0)
		e.do(e.at)
	}
}

// send starts the next caller of a source.
func (l *load) send(s *source, at time.Duration) {
	gap := l.rand.ExpFloat64()
	if s.even {
		gap = 0.9 + 0.2*l.rand.Float64()
	}
	at += time.Duration(gap / s.perSecond * float64(time.Second))
	if at >= s.to {
		return
	}
	l.at(at, func(at time.Duration) {
		c := &caller{source: s, begun: at, service: cmp.Or(s.service, testService)}
		l.callers = append(l.callers, c)
		l.try(c, at)
		l.send(s, at)
	})
}

func (l *load) request(c *caller, at time.Duration) Request {
	l.keys++
	left := c.begun + testAllowed - at
	patience := min(testLeaves*7/10, left/2)
	return Request{Key: Key{"host", l.keys}, Workspace: c.source.workspace, Weight: c.source.weight, Priority: c.source.priority,
		Cost: float64(c.service / time.Millisecond), Returning: at-c.begun >= 100*time.Millisecond,
		OnTimeBy: c.begun + testTarget, PatienceEnds: at + patience, Deadline: c.begun + testAllowed}
}

func (l *load) try(c *caller, at time.Duration) {
	c.tries++
	r := l.request(c, at)
	if l.queue == nil {
		l.tryWithoutQueue(c, r, at)
		return
	}
	if len(l.free) > 0 && l.queue.Len() == 0 {
		l.queue.Admit(at, r)
		c.answered++
		l.serve(c, r, at)
		return
	}
	l.waiting[r.Key] = c
	_, queued, refusals := l.queue.Add(at, r)
	if queued {
		c.queued++
	}
	l.refuse(refusals, at)
	l.longest = max(l.longest, l.queue.Len())
	l.grant(at)
}

// tryWithoutQueue serves a request if a slot is free; otherwise its caller returns once.
func (l *load) tryWithoutQueue(c *caller, r Request, at time.Duration) {
	c.answered++
	switch {
	case len(l.free) > 0:
		l.serve(c, r, at)
	case c.tries == 1:
		l.at(at+c.retryAfter, func(at time.Duration) { l.try(c, at) })
	}
}

func (l *load) grant(at time.Duration) {
	for len(l.free) > 0 {
		r, _, ok := l.queue.Next(at, func(*Request) bool { return true })
		if !ok {
			return
		}
		c := l.waiting[r.Key]
		delete(l.waiting, r.Key)
		c.answered++
		l.serve(c, r, at)
	}
}

func (l *load) serve(c *caller, r Request, at time.Duration) {
	c.served, c.granted = true, at
	speed := l.free[len(l.free)-1]
	l.free = l.free[:len(l.free)-1]
	took := time.Duration(r.Cost * (1 + l.vary*(2*l.rand.Float64()-1)) * float64(time.Millisecond) / speed)
	l.at(at+took, func(at time.Duration) {
		l.release(speed)
		if l.queue != nil {
			l.grant(at)
		}
	})
}

// release frees a slot. The fastest free slot is taken first.
func (l *load) release(speed float64) {
	i, _ := slices.BinarySearch(l.free, speed)
	l.free = slices.Insert(l.free, i, speed)
}

func (l *load) pass(at time.Duration) {
	if l.queue == nil {
		return
	}
	l.grant(at)
	l.refuse(l.queue.Expire(at), at)
	l.at(at+testPass, l.pass)
}

func (l *load) refuse(refusals []Refusal, at time.Duration) {
	for _, f := range refusals {
		c := l.waiting[f.Request.Key]
		delete(l.waiting, f.Request.Key)
		c.answered++
		c.refused = append(c.refused, f.Cause)
		switch {
		case c.tries <= c.source.atOnce:
			l.at(at+5*time.Millisecond, func(at time.Duration) { l.try(c, at) })
		case c.source.asTold && c.tries == 1 && cmp.Or(f.RetryAfter, c.retryAfter) > 0:
			l.at(at+cmp.Or(f.RetryAfter, c.retryAfter), func(at time.Duration) { l.try(c, at) })
		}
	}
}

// result counts callers.
type result struct{ callers, served, onTime, queued, heldInVain int }

func (l *load) count(match func(*caller) bool) result {
	var r result
	for _, c := range l.callers {
		if !match(c) {
			continue
		}
		r.callers++
		if c.served {
			r.served++
		}
		if c.onTime() {
			r.onTime++
		}
		r.queued += c.queued
		if c.queued > 0 && !c.served {
			r.heldInVain++
		}
	}
	return r
}

func (r result) share() float64 { return float64(r.served) / float64(max(r.callers, 1)) }

func (r result) String() string {
	return fmt.Sprintf("%d of %d served (%.3f), %d on time, %d queued, %d of them in vain", r.served, r.callers, r.share(), r.onTime,
		r.queued, r.heldInVain)
}
