package sched

import (
	"time"

	"fireflyshift/internal/record"
)

// Learned quantities start here until a backend server has shown its own.
const (
	initialInterval  = 10 * time.Millisecond  // between tokens
	initialPrefill   = 200 * time.Microsecond // per uncached prompt token
	ewmaGain         = 0.2
	slowFactor       = 1.6 // interval over its own best that calls for a smaller window
	windowDecrease   = 0.85
	baselineDrift    = 1.001 // lets the best interval follow a lasting change
	minCoolDown      = 500 * time.Millisecond
	maxCoolDown      = 10 * time.Second
	minPrefillSample = 128
	tokensPerBlock   = 64 // tokens in the shortest prefix that a host hashes
)

// run is a granted or running request.
type run struct {
	Held
	uncached    float64 // prompt tokens believed not cached when it was granted; -1 if unknown
	grantedAt   time.Duration
	confirmedAt time.Duration // latest time that its entry host named it
	preemptedAt time.Duration
	displacing  bool
	orphanedAt  time.Duration // when its entry host was lost; zero if it was not
}

// backend is what the scheduler knows of one backend server.
type backend struct {
	spec             record.Backend
	runs             map[Key]*run
	window           float64
	interval         float64 // learned, ms between tokens
	bestInterval     float64 // the least it has shown of late
	prefill          float64 // learned, ms per uncached prompt token
	cachedFirstToken float64 // learned, ms to the first token of a cached prompt
	samples          int
	prefixes         *prefixCache
	failures         int
	coolUntil        time.Duration
	// reportedLoad is the engine's own lagging word on its load.
	reportedLoad int
}

func newBackend(spec record.Backend) *backend {
	return &backend{
		spec:     spec,
		runs:     map[Key]*run{},
		window:   float64(spec.Slots),
		interval: ms(initialInterval),
		prefill:  ms(initialPrefill),
		prefixes: newPrefixCache(),
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func fromMS(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// limit is how many requests may be outstanding now.
func (b *backend) limit() int { return max(1, int(b.window)) }

// limitFor leaves the slots that more urgent tiers have reserved.
func (b *backend) limitFor(reservePercent int) int {
	reserved := (b.limit()*reservePercent + 99) / 100
	return max(1, b.limit()-reserved)
}

// uncached is how many prompt tokens the server is believed to have to compute.
func (b *backend) uncached(r *Request) float64 {
	if r.Resume {
		return 0
	}
	return float64(r.PromptTokens) - float64(b.prefixes.matched(r.Prefix, r.PromptTokens))
}

// estimate is the time that a request would take from grant to last token, in ms. A share of the
// output bound is expected, since most answers end before their bound.
func (b *backend) estimate(r *Request, share float64) float64 {
	return b.cachedFirstToken + b.uncached(r)*b.prefill + float64(r.OutputTokens)*share*b.interval
}

// measuredEstimate is the estimate once the server has measuredEstimate its pace, zero before: a guess may order servers,
// but must never refuse a request.
func (b *backend) measuredEstimate(r *Request, share float64) float64 {
	if b.samples == 0 {
		return 0
	}
	return b.estimate(r, share)
}

// learn takes a finished dispatch into the estimates and the window.
//
// The window guards against a backend server that slows down without warning: the engine admits
// whatever it is sent, so every request in it would miss its time. It shows as token intervals far
// above the server's own best; the window then shrinks by a factor, and grows by one per window.
func (b *backend) learn(now time.Duration, res Result, uncached float64, modelService bool) {
	if res.Outcome == Failed {
		b.coolDown(now)
		return
	}
	if res.Outcome != Done {
		return
	}
	b.failures = 0
	b.learnPrefill(res, uncached)
	if res.Interval <= 0 {
		return
	}
	sample := ms(res.Interval)
	if b.samples == 0 {
		b.interval = sample
	}
	b.samples++
	b.interval += ewmaGain * (sample - b.interval)
	b.bestInterval = b.bestInterval * baselineDrift
	if b.bestInterval == 0 || sample < b.bestInterval {
		b.bestInterval = sample
	}
	if !modelService {
		return
	}
	if sample > slowFactor*b.bestInterval {
		b.window = max(1, b.window*windowDecrease)
		return
	}
	if len(b.runs)+1 >= b.limit() {
		b.window = min(float64(b.spec.Slots), b.window+1/b.window)
	}
}

// learnPrefill splits the time to the first token: what a cached prompt takes, and what each uncached
// token adds.
func (b *backend) learnPrefill(res Result, uncached float64) {
	if res.FirstToken <= 0 || uncached < 0 {
		return
	}
	if uncached < minPrefillSample {
		b.cachedFirstToken += ewmaGain * (ms(res.FirstToken) - b.cachedFirstToken)
		return
	}
	sample := max(0, ms(res.FirstToken)-b.cachedFirstToken) / uncached
	b.prefill += ewmaGain * (sample - b.prefill)
}

// coolDown keeps new work off a backend server that failed, for longer each time in a row.
func (b *backend) coolDown(now time.Duration) {
	d := minCoolDown << min(b.failures, 5)
	b.coolUntil = now + min(d, maxCoolDown)
	b.failures++
}

// ready tells whether the server may get work. After a failure it gets one request at a time.
func (b *backend) ready(now time.Duration) bool {
	if b.spec.Leaving || now < b.coolUntil {
		return false
	}
	return b.failures == 0 || len(b.runs) == 0
}
