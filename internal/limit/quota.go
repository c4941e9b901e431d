package limit

import (
	"math"
	"time"
)

// Allowance tells how far a quota may be overdrawn, as the operators bound it: over any window,
// (rate x window + burst) x (1 + Over) + Slack.
type Allowance struct {
	Window time.Duration
	Over   float64
	Slack  float64
}

const (
	// useExtra is the part of the allowance above the plain quota that hosts use on purpose, evenly over
	// the window. The rest covers what they admit before they have heard of each other, a beat's age
	// times the demand, and what a restart of all hosts forgets. A workspace whose quota falls to a
	// third of its usual demand had a tenth of all requests refused while the allowance only made
	// the bucket deeper, though the operators' bound left room for nearly all of them.
	useExtra = 0.3
	// useExtraCoarse is the same where a host's own part of the burst is smaller than a usual request: more is admitted there
	// before hosts have heard of each other.
	useExtraCoarse = 0.1
	// useExtraZone is the same where a host decides for its zone: zones hear of each other later than hosts.
	useExtraZone = 0.2
	// restartLevel is how full a bucket is at first: all hosts may have restarted at once, and have
	// then forgotten what they admitted just before.
	restartLevel = 0.5
	// cutExtra is the part by which each side of a cut may go beyond its even share, out of the allowance: the callers
	// of a zone that is cut off ask a little more or less than that. It is a part of the share and not of the quota,
	// so that all sides together go beyond the quota by no more than this, however many they are.
	cutExtra = 0.1
	// skew is how many times its even part of a quota one host may use: the balancer spreads callers
	// by a hash, and workspaces unevenly. It bounds what all hosts together admit within a beat's
	// age when a workspace suddenly asks for many times its quota.
	skew = 3
	// largeFleet is from how many hosts on skewLarge holds: words take longer there, as they go through
	// zones' sums, and even parts are more even. With three times the even part 79 hosts admitted 4 %
	// over the allowance of a workspace that asked for nine times its quota. What goes beyond the even part
	// shrinks with the hosts that are heard: nobody makes up for it by admitting less.
	largeFleet = 17
	skewLarge  = 1.5
	// skewZone is the same for a host that decides for a whole zone: zones are more even than hosts.
	skewZone = 1.25
	// ownSkew is the same for a workspace most of whose callers have lately come to this host: its
	// part of what was admitted, and half of that more.
	ownSkew = 1.5
	// withheldMost bounds what is kept back, in seconds of the quota.
	withheldMost = 15 * time.Second
	// latelyFor is how long admissions count as lately.
	latelyFor = 5 * time.Second
	// latelyLeast, in seconds of the quota, is taken as admitted by others before anything is heard:
	// all hosts may have started at once.
	latelyLeast = 0.5
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
	zone        float64 // by the hosts of this zone, as heard since its start, this one included
	heard       map[string]float64
	// share is this host's own bucket, which bounds what it admits before it has heard of others.
	share   float64
	shareAt time.Duration
	// withheld is what was not refilled for the sake of silent parties.
	withheld float64
	// stagger is set until the first admission; see Stagger.
	stagger float64
	// turn is how full the bucket must be, as a part of the burst, for this host's next request, where requests are larger
	// than its own part; see TakeTurns. usual is the learned cost of a request.
	turn, usual float64
	// coarse tells that a usual request is larger than this host's own part of the burst, in a large fleet.
	coarse bool
	// forZone tells that this host decides for its zone.
	forZone bool
	// ownLately and othersLately are admissions that fade with latelyFor.
	ownLately, othersLately float64
}

// NewQuota returns a full bucket.
func NewQuota(now time.Duration, rate, burst float64, a Allowance) *Quota {
	q := &Quota{allow: a, at: now, heard: map[string]float64{}}
	q.Set(rate, burst)
	q.level = restartLevel * q.burst
	q.share, q.shareAt = q.burst, now
	return q
}

// Stagger is for a host that has just started, with a random part between 0 and 1: in a large fleet its own
// bucket begins between full and as much in debt. A bucket in credit admits a request of any size, so that
// after a start of all of 86 hosts each admitted one at once, together several times what the workspace may
// save up, and 3 to 5 % more than the operators' bound in the window; staggered, they do over a second or two.
func (q *Quota) Stagger(part float64) { q.stagger = part }

// TakeTurns sets where this host begins among those that share the quota, with a random part between 0 and 1. In a fleet of
// hundreds a host's own part is smaller than one request, and a bucket in credit admits any: all hosts would go into debt in
// the same moment, each time the bucket is in credit again. So their turns come one after the other as it fills.
func (q *Quota) TakeTurns(part float64) { q.turn = part }

// turnStep spreads a host's turns evenly, whatever their number: the golden ratio.
const turnStep = 0.6180339887498949

// usualRate is the weight of a request's cost: costs differ a hundredfold.
const usualRate = 0.05

func (q *Quota) learnUsual(cost float64, p Part) {
	if q.usual == 0 {
		q.usual = cost
	}
	q.usual += usualRate * (cost - q.usual)
	q.forZone = p.For > 1
	q.coarse = p.Hosts >= largeFleet && q.usual > q.burst*q.part(p)
}

// hasTurn tells whether the bucket is full enough for this host's next request.
func (q *Quota) hasTurn() bool { return !q.coarse || q.level > q.turn*q.burst }

// Set takes a new rate and burst. The level falls at once to a lower bucket.
func (q *Quota) Set(rate, burst float64) {
	q.rate, q.burst = rate, burst
	q.level = min(q.level, q.burst)
}

// Allow takes another allowance.
func (q *Quota) Allow(a Allowance) {
	q.allow = a
	q.level = min(q.level, q.burst)
}

// refillRate is what flows back a second: the quota's rate and a part of the allowance. Over any window
// the bucket then lets through rate x window + burst and useExtra of what the operators allow above it.
func (q *Quota) refillRate() float64 {
	w := q.allow.Window.Seconds()
	if w <= 0 {
		return q.rate
	}
	use := useExtra
	switch {
	case q.coarse:
		use = useExtraCoarse
	case q.forZone:
		use = useExtraZone
	}
	extra := q.allow.Over*(q.rate*w+q.burst) + q.allow.Slack
	return q.rate + use*extra/w
}

// refill lets time pass. heardShare is the part of the hosts whose admissions are being heard: the
// others, cut off or just gone, are taken to use their even share of the rate meanwhile.
func (q *Quota) refill(now time.Duration, heardShare float64) {
	if now > q.at {
		heardShare = min(1, heardShare*(1+cutExtra))
		whole := q.refillRate() * (now - q.at).Seconds()
		// What the bucket holds belongs to the silent parties too: twelve hosts that were each cut off from all
		// others let twelve full buckets through.
		q.level = min(q.burst*heardShare, q.level+whole*heardShare)
		// What is kept back is for parties that may never be heard again.
		q.withheld = min(q.rate*withheldMost.Seconds(), q.withheld+whole*(1-heardShare))
		q.at = now
	}
}

// Part tells for which part of the hosts that share a quota a host decides.
type Part struct {
	// Hosts are all that share it, and For those that the host decides for, itself included.
	Hosts, For int
	// Heard is the part of Hosts whose admissions are being heard.
	Heard float64
}

// even is the part of the quota that falls to the hosts decided for, if all use the same.
func (p Part) even() float64 { return float64(max(1, p.For)) / float64(max(p.Hosts, fewestHosts)) }

// part is how much of the quota this host may use by itself. What it lately admitted counts in proportion to
// the hosts that it hears: one that hears nobody takes all callers for its own.
func (q *Quota) part(p Part) float64 {
	times := float64(skew)
	switch {
	case p.For > 1:
		times = 1 + (skewZone-1)*p.Heard
	case p.Hosts >= largeFleet:
		times = 1 + (skewLarge-1)*p.Heard
	}
	lately := p.Heard * ownSkew * q.ownLately / max(1, q.ownLately+q.othersLately+latelyLeast*q.rate)
	return min(1, max(times*p.even(), lately))
}

// refillShare lets time pass in this host's own bucket.
func (q *Quota) refillShare(now time.Duration, p Part) {
	past := max(0, (now - q.shareAt).Seconds())
	fade := math.Exp(-past / latelyFor.Seconds())
	q.ownLately *= fade
	q.othersLately *= fade
	part := q.part(p)
	if q.stagger > 0 && p.Hosts >= largeFleet {
		q.share = q.burst * part * (1 - 2*q.stagger)
	}
	q.stagger = 0
	q.share = min(q.burst*part, q.share+q.refillRate()*part*past)
	q.shareAt = max(q.shareAt, now)
}

// Admit takes cost from the bucket, or tells when to come back.
func (q *Quota) Admit(now time.Duration, cost float64, p Part) (ok bool, back time.Duration) {
	q.refill(now, p.Heard)
	q.refillShare(now, p)
	q.learnUsual(cost, p)
	if q.share <= 0 {
		need := -q.share / max(1, q.refillRate()*q.part(p))
		return false, min(waitMost, time.Duration(need*float64(time.Second)))
	}
	// A bucket in credit admits a request of any size, or one above the burst would never run.
	if q.level <= 0 {
		need := (-q.level + cost) / max(1, q.refillRate())
		return false, min(waitMost, time.Duration(need*float64(time.Second)))
	}
	if !q.hasTurn() {
		need := (q.turn*q.burst - q.level) / max(1, q.refillRate())
		return false, min(waitMost, time.Duration(need*float64(time.Second)))
	}
	q.turn = math.Mod(q.turn+turnStep, 1)
	q.level -= cost
	q.share -= cost
	q.spent += cost
	q.zone += cost
	q.ownLately += cost
	return true, 0
}

// Decided notes that another host decided over a request for this one, whose own part is not saved up meanwhile: hosts that are
// all cut off at once would each spend it, beside what the others admit. They begin to admit one after the other.
func (q *Quota) Decided(now time.Duration, cost float64, p Part) {
	q.refillShare(now, p)
	q.learnUsual(cost, p)
	q.share = min(q.share, -q.turn*q.usual)
}

// Refund gives back what did not run after all; what was admitted before this host's start is not known to it.
func (q *Quota) Refund(cost float64) {
	cost = min(cost, q.spent)
	q.level = min(q.burst, q.level+cost)
	q.share += cost
	q.spent -= cost
	q.zone -= cost
}

// Left is what the bucket holds, and what this host's own part of it holds, for logs.
func (q *Quota) Left() (all, own float64) { return q.level, q.share }

// Tight tells that what others admit matters soon: the bucket is half empty, or this host is in debt by more than a usual request,
// as all hosts are at once when a workspace suddenly asks for many times its quota.
func (q *Quota) Tight() bool { return q.level < q.burst/2 || q.share < -q.usual }

// Spent is what this host has admitted since its start.
func (q *Quota) Spent() float64 { return q.spent }

// ZoneSpent is what the hosts of this zone have admitted, as this one has heard since its start.
func (q *Quota) ZoneSpent() float64 { return q.zone }

// Word is how another party's sum is to be taken.
type Word struct {
	// From names the party with its incarnation.
	From  string
	Spent float64
	// InZone tells that it counts for this zone's sum.
	InZone bool
	// Returned tells that the party was silent before: what it admitted meanwhile was withheld from
	// this host's refill already.
	Returned bool
	// Young tells that the party has just started, so that its whole sum is recent.
	Young bool
}

// Heard takes another host's or zone's sum since its start. The first word only sets where to count
// from, unless the party is young: a host that has just started would otherwise charge its bucket
// with all that the others have admitted in hours, and refuse everybody. Hosts that start together
// admit before they hear of each other, and that has to count.
func (q *Quota) Heard(w Word) {
	last, known := q.heard[w.From]
	q.heard[w.From] = w.Spent
	if !known && !w.Young {
		return
	}
	more := w.Spent - last
	q.othersLately += more
	if w.InZone {
		q.zone += more
	}
	if w.Returned {
		covered := min(q.withheld, more)
		q.withheld -= covered
		more -= covered
	}
	q.level = min(q.burst, max(q.lowest(), q.level-more))
}

// lowest bounds how far others' words overdraw the bucket: what a window can bring. A word that says
// more is wrong, and would refuse the workspace for good.
func (q *Quota) lowest() float64 {
	return -(q.burst + q.refillRate()*max(1, q.allow.Window.Seconds()))
}

// Forget drops the memory of a host incarnation that is gone.
func (q *Quota) Forget(host string) { delete(q.heard, host) }
