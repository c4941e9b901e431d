package limit

import "time"

// Allowance tells how far a quota may be overdrawn, as the operators bound it: over any window,
// (rate x window + burst) x (1 + Over) + Slack.
type Allowance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

const (
	// useOver and useSlack are the parts of the allowance that hosts use on purpose. The rest covers
	// what they admit before they have heard of each other: a beat's age times the demand.
	useOver  = 0.3
	useSlack = 0.35
	// waitMost bounds the time to come back that an exhausted quota names.
	waitMost = 10 * time.Second
)

// Quota is one workspace's bucket as one host believes it to be: its own admissions at once, the
// other hosts' as their beats tell.
type Quota struct {
	rate, burst float64
	allow       Allowance
	level       float64
	at          time.Duration
	spent       float64 // by this host, since its start; what its beats tell
	heard       map[string]float64
}

// NewQuota returns a full bucket.
func NewQuota(now time.Duration, rate, burst float64, a Allowance) *Quota {
	q := &Quota{allow: a, at: now, heard: map[string]float64{}}
	q.Set(rate, burst)
	q.level = q.cap()
	return q
}

// Set takes a new rate and burst. The level falls at once to a lower bucket.
func (q *Quota) Set(rate, burst float64) {
	q.rate, q.burst = rate, burst
	q.level = min(q.level, q.cap())
}

func (q *Quota) cap() float64 { return q.burst + q.allow.Slack*useSlack }

// refill lets time pass. heardShare is the part of the hosts whose admissions are being heard: the
// others, cut off or just gone, are taken to use their even share of the rate meanwhile.
func (q *Quota) refill(now time.Duration, heardShare float64) {
	if now > q.at {
		rate := q.rate * (1 + q.allow.Over*useOver) * heardShare
		q.level = min(q.cap(), q.level+rate*(now-q.at).Seconds())
		q.at = now
	}
}

// Admit takes cost from the bucket, or tells when to come back.
func (q *Quota) Admit(now time.Duration, cost, heardShare float64) (ok bool, back time.Duration) {
	q.refill(now, heardShare)
	// A bucket in credit admits a request of any size, or one above the burst would never run.
	if q.level <= 0 {
		need := (-q.level + cost) / max(1, q.rate)
		return false, min(waitMost, time.Duration(need*float64(time.Second)))
	}
	q.level -= cost
	q.spent += cost
	return true, 0
}

// Refund gives back what did not run after all.
func (q *Quota) Refund(cost float64) {
	q.level = min(q.cap(), q.level+cost)
	q.spent -= cost
}

// Spent is what this host has admitted since its start.
func (q *Quota) Spent() float64 { return q.spent }

// Heard takes another host's sum since its start; host must name its incarnation too.
func (q *Quota) Heard(host string, spent float64) {
	q.level -= spent - q.heard[host]
	q.level = min(q.cap(), q.level)
	q.heard[host] = spent
}

// Forget drops the memory of a host incarnation that is gone.
func (q *Quota) Forget(host string) { delete(q.heard, host) }
