package sched

import (
	"time"

	"fireflyshift/internal/record"
)

// Initial values of the learned quantities, and the constants of the estimators.
const (
	initialInterval  = 10 * time.Millisecond  // between tokens
	initialPrefill   = 200 * time.Microsecond // per uncached prompt token
	ewmaGain         = 0.2
	slowFactor       = 1.6 // the window shrinks if an interval exceeds this multiple of the best one
	windowDecrease   = 0.85
	baselineDrift    = 1.001 // growth per sample, so that the best interval follows a lasting change
	minCoolDown      = 500 * time.Millisecond
	maxCoolDown      = 10 * time.Second
	minPrefillSample = 128 // fewest uncached tokens that update prefill; fewer update cachedFirstToken
	tokensPerBlock   = 64  // tokens in the shortest prefix that an entry host hashes
)

// run is a granted or running request.
type run struct {
	Held
	uncached    float64 // estimated uncached prompt tokens when it was granted; -1 if unknown
	grantedAt   time.Duration
	confirmedAt time.Duration // latest time that its entry host listed it
	preemptedAt time.Duration
	preempting  bool
	orphanedAt  time.Duration // when its entry host was lost; zero if it was not
}

// backend is the scheduler's state of one backend server.
type backend struct {
	spec             record.Backend
	runs             map[Key]*run
	window           float64
	interval         float64 // learned ms between tokens
	bestInterval     float64 // recent minimum of the interval in ms
	prefill          float64 // learned ms per uncached prompt token
	cachedFirstToken float64 // learned ms to the first token of a cached prompt
	samples          int
	prefixes         *prefixCache
	failures         int
	coolUntil        time.Duration
	// reportedLoad is the engine's own report of its load, which lags.
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

// limit returns how many requests may be in flight now.
func (b *backend) limit() int { return max(1, int(b.window)) }

// limitFor returns the limit without the slots that are reserved for higher priorities.
func (b *backend) limitFor(reservePercent int) int {
	reserved := (b.limit()*reservePercent + 99) / 100
	return max(1, b.limit()-reserved)
}

// uncached returns the estimated number of prompt tokens that the server has to compute.
func (b *backend) uncached(r *Request) float64 {
	if r.Resume {
		return 0
	}
	return float64(r.PromptTokens) - float64(b.prefixes.matched(r.Prefix, r.PromptTokens))
}

// estimate returns the estimated time in ms from grant to last token. Only a share of the maximum output
// is expected, since most answers are shorter.
func (b *backend) estimate(r *Request, share float64) float64 {
	return b.cachedFirstToken + b.uncached(r)*b.prefill + float64(r.OutputTokens)*share*b.interval
}

// measuredEstimate returns the estimate if the server has samples, otherwise zero: initial values may
// order servers but must never cause a refusal.
func (b *backend) measuredEstimate(r *Request, share float64) float64 {
	if b.samples == 0 {
		return 0
	}
	return b.estimate(r, share)
}

// learn updates the estimates and the window from a finished dispatch.
//
// The window protects against a backend server that slows down without notice: an engine admits whatever
// it is sent, so that every request on it would miss its deadline. If a token interval exceeds slowFactor
// times the best interval, the window shrinks by windowDecrease; otherwise, while the window is full, it
// grows by about one per window of requests.
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

// learnPrefill splits the time to the first token into the time for a cached prompt and the time per
// uncached token.
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

// coolDown excludes a failed backend server from new requests, for longer with each failure in a row.
func (b *backend) coolDown(now time.Duration) {
	d := minCoolDown << min(b.failures, 5)
	b.coolUntil = now + min(d, maxCoolDown)
	b.failures++
}

// ready reports whether the server may get requests. After a failure it gets one at a time.
func (b *backend) ready(now time.Duration) bool {
	if b.spec.Leaving || now < b.coolUntil {
		return false
	}
	return b.failures == 0 || len(b.runs) == 0
}
