package limit

import (
	"math"
	"time"
)

// Allowance is the operators' bound on how far a quota may be overdrawn: over any window at most (rate x Window +
// burst) x (1 + Overage) + Slack is admitted.
type Allowance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

const (
	// allowanceUse is the fraction of the allowance above the plain quota that is refilled on purpose, evenly over the
	// window. The rest covers what hosts admit before their totals reach each other (heartbeat age times demand) and
	// what a restart of all hosts forgets. When the allowance only made the bucket deeper, a workspace whose quota was
	// lowered to a third of its usual demand had a tenth of all requests refused, although the operators' bound left
	// room for nearly all of them.
	allowanceUse = 0.3
	// allowanceUseCoarse replaces allowanceUse where a host's own share of the burst is smaller than a usual request:
	// more is then admitted before the hosts' totals reach each other.
	allowanceUseCoarse = 0.1
	// allowanceUseZone replaces allowanceUse where a host decides for its zone: totals of other zones arrive later than
	// those of hosts in the same zone.
	allowanceUseZone = 0.2
	// initialLevel is the initial fill of a bucket as a fraction of the burst. All hosts may have restarted at once and
	// lost track of what they admitted just before.
	initialLevel = 0.5
	// partitionOverage is the fraction by which each side of a network partition may exceed its even share, paid from
	// the allowance, because the callers of a partitioned zone request a little more or less than that. It is a
	// fraction of the share and not of the quota, so that all sides together exceed the quota by no more than this,
	// however many they are.
	partitionOverage = 0.1
	// maxSkew is how many times its even share of a quota one host may use, because the load balancer spreads callers
	// by a hash and workspaces are spread unevenly. It bounds what all hosts together admit within the age of a
	// heartbeat when a workspace suddenly requests many times its quota.
	maxSkew = 3
	// largeFleetSize is the number of hosts from which maxSkewLargeFleet applies. In a large fleet, totals travel
	// through zone summaries and take longer, and the hosts' shares are more even. With three times the even share, 79
	// hosts admitted 4 % over the allowance of a workspace that requested nine times its quota. The part above the even
	// share shrinks with the fraction of hosts that can be reached, because hosts that cannot be reached do not
	// compensate by admitting less.
	largeFleetSize    = 17
	maxSkewLargeFleet = 1.5
	// maxSkewZone applies to a host that decides for a whole zone: load is spread more evenly over zones than over
	// hosts.
	maxSkewZone = 1.25
	// recentSkew lets a host to which most of a workspace's callers have recently connected use its fraction of the
	// recent admissions, and half of that more.
	recentSkew = 1.5
	// maxWithheld bounds what is withheld from the refill, in seconds of the quota.
	maxWithheld = 15 * time.Second
	// recentDecay is the time constant with which recent admissions decay.
	recentDecay = 5 * time.Second
	// minOthersRecent, in seconds of the quota, is assumed to have been admitted by other hosts before any total has
	// arrived, because all hosts may have started at once.
	minOthersRecent = 0.5
	// maxRetryAfter bounds the retry time returned for an exhausted quota.
	maxRetryAfter = 10 * time.Second
)

// Quota is one host's view of a workspace's token bucket. Its own admissions are charged at once, those of other hosts
// when their totals arrive with heartbeats.
type Quota struct {
	rate, burst float64
	allowance   Allowance
	level       float64
	refilledAt  time.Duration
	spent       float64 // admitted by this host since its start, as sent in its heartbeats
	zoneSpent   float64 // admitted by this zone's hosts, itself included, as known since its start
	peerTotals  map[string]float64
	// ownLevel is this host's own bucket, which bounds what it admits before the totals of others arrive.
	ownLevel      float64
	ownRefilledAt time.Duration
	// withheld is what was not refilled on account of unreachable hosts.
	withheld float64
	// stagger is non-zero until the first admission; see StaggerStart.
	stagger float64
	// admitThreshold is the fraction of the burst that the bucket must hold for this host's next request, where
	// requests are larger than the host's own share; see SetAdmitThreshold. usualCost is the moving average of request
	// costs.
	admitThreshold, usualCost float64
	// coarse is set if a usual request costs more than this host's own share of the burst, in a large fleet.
	coarse bool
	// forZone is set if this host decides for its zone.
	forZone bool
	// ownRecent and othersRecent are admissions that decay with recentDecay.
	ownRecent, othersRecent float64
}

// NewQuota returns a bucket that is filled to initialLevel, with the host's own bucket full.
func NewQuota(now time.Duration, rate, burst float64, a Allowance) *Quota {
	q := &Quota{allowance: a, refilledAt: now, peerTotals: map[string]float64{}}
	q.SetRate(rate, burst)
	q.level = initialLevel * q.burst
	q.ownLevel, q.ownRefilledAt = q.burst, now
	return q
}

// StaggerStart sets a random fraction between 0 and 1 on a host that has just started: in a large fleet its own bucket
// then starts between full and equally far in debt. A bucket with a positive level admits a request of any size. After
// a restart of all of 86 hosts each admitted one at once, together several times the workspace's burst and 3 to 5 %
// over the operators' bound in the window. Staggered, these admissions spread over a second or two.
func (q *Quota) StaggerStart(fraction float64) { q.stagger = fraction }

// SetAdmitThreshold sets this host's first admission threshold to a random fraction between 0 and 1. In a fleet of
// hundreds a host's own share is smaller than one request, and a bucket with a positive level admits a request of any
// size: without thresholds all hosts would go into debt at the same moment, whenever the bucket turns positive. With
// them, the hosts admit one after the other as the bucket fills.
func (q *Quota) SetAdmitThreshold(fraction float64) { q.admitThreshold = fraction }

// thresholdStep is the golden ratio, which spreads a host's successive thresholds evenly, whatever their number.
const thresholdStep = 0.6180339887498949

// usualCostWeight is the weight of one request in the moving average; costs differ a hundredfold.
const usualCostWeight = 0.05

func (q *Quota) updateUsualCost(cost float64, s Scope) {
	if q.usualCost == 0 {
		q.usualCost = cost
	}
	q.usualCost += usualCostWeight * (cost - q.usualCost)
	q.forZone = s.Members > 1
	q.coarse = s.Hosts >= largeFleetSize && q.usualCost > q.burst*q.allowedShare(s)
}

// aboveThreshold reports whether the bucket is full enough for this host's next request.
func (q *Quota) aboveThreshold() bool { return !q.coarse || q.level > q.admitThreshold*q.burst }

// SetRate changes rate and burst. A level above the new burst is lowered to it at once.
func (q *Quota) SetRate(rate, burst float64) {
	q.rate, q.burst = rate, burst
	q.level = min(q.level, q.burst)
}

// SetAllowance changes the allowance.
func (q *Quota) SetAllowance(a Allowance) {
	q.allowance = a
	q.level = min(q.level, q.burst)
}

// refillRate is the refill per second: the quota's rate plus a part of the allowance. Over any window the bucket then
// admits rate x window + burst and that part (allowanceUse) of what the operators allow above it.
func (q *Quota) refillRate() float64 {
	w := q.allowance.Window.Seconds()
	if w <= 0 {
		return q.rate
	}
	fraction := allowanceUse
	switch {
	case q.coarse:
		fraction = allowanceUseCoarse
	case q.forZone:
		fraction = allowanceUseZone
	}
	extra := q.allowance.Overage*(q.rate*w+q.burst) + q.allowance.Slack
	return q.rate + fraction*extra/w
}

// refill adds what has accrued since the last call. reachable is the fraction of hosts whose totals arrive; the others,
// partitioned or just gone, are assumed to use their even share of the rate meanwhile.
func (q *Quota) refill(now time.Duration, reachable float64) {
	if now > q.refilledAt {
		reachable = min(1, reachable*(1+partitionOverage))
		accrued := q.refillRate() * (now - q.refilledAt).Seconds()
		// Unreachable hosts may use a part of the level too: twelve hosts that were each cut off from all others
		// admitted twelve full buckets.
		q.level = min(q.burst*reachable, q.level+accrued*reachable)
		// withheld is bounded because it may be for hosts that never return.
		q.withheld = min(q.rate*maxWithheld.Seconds(), q.withheld+accrued*(1-reachable))
		q.refilledAt = now
	}
}

// Scope is the set of hosts that a decision covers, among those that share a quota.
type Scope struct {
	// Hosts is the number of hosts that share the quota, and Members the number that the decision covers, this host
	// included.
	Hosts, Members int
	// Reachable is the fraction of Hosts whose totals arrive.
	Reachable float64
}

// evenShare is the fraction of the quota that falls to the covered hosts if all hosts use the same.
func (s Scope) evenShare() float64 {
	return float64(max(1, s.Members)) / float64(max(s.Hosts, minHosts))
}

// allowedShare is the fraction of the quota that this host may use by itself. Its own recent admissions count in
// proportion to the hosts it can reach; otherwise a host that reaches no other would take all callers for its own.
func (q *Quota) allowedShare(s Scope) float64 {
	times := float64(maxSkew)
	switch {
	case s.Members > 1:
		times = 1 + (maxSkewZone-1)*s.Reachable
	case s.Hosts >= largeFleetSize:
		times = 1 + (maxSkewLargeFleet-1)*s.Reachable
	}
	recentShare := s.Reachable * recentSkew * q.ownRecent / max(1, q.ownRecent+q.othersRecent+minOthersRecent*q.rate)
	return min(1, max(times*s.evenShare(), recentShare))
}

// refillOwn refills this host's own bucket and decays the recent admissions.
func (q *Quota) refillOwn(now time.Duration, s Scope) {
	elapsed := max(0, (now - q.ownRefilledAt).Seconds())
	decay := math.Exp(-elapsed / recentDecay.Seconds())
	q.ownRecent *= decay
	q.othersRecent *= decay
	share := q.allowedShare(s)
	if q.stagger > 0 && s.Hosts >= largeFleetSize {
		q.ownLevel = q.burst * share * (1 - 2*q.stagger)
	}
	q.stagger = 0
	q.ownLevel = min(q.burst*share, q.ownLevel+q.refillRate()*share*elapsed)
	q.ownRefilledAt = max(q.ownRefilledAt, now)
}

// Admit takes cost from the bucket, or returns the time after which to retry.
func (q *Quota) Admit(now time.Duration, cost float64, s Scope) (ok bool, retryAfter time.Duration) {
	q.refill(now, s.Reachable)
	q.refillOwn(now, s)
	q.updateUsualCost(cost, s)
	if q.ownLevel <= 0 {
		need := -q.ownLevel / max(1, q.refillRate()*q.allowedShare(s))
		return false, min(maxRetryAfter, time.Duration(need*float64(time.Second)))
	}
	// A bucket with a positive level admits a request of any size; otherwise one above the burst would never run.
	if q.level <= 0 {
		need := (-q.level + cost) / max(1, q.refillRate())
		return false, min(maxRetryAfter, time.Duration(need*float64(time.Second)))
	}
	if !q.aboveThreshold() {
		need := (q.admitThreshold*q.burst - q.level) / max(1, q.refillRate())
		return false, min(maxRetryAfter, time.Duration(need*float64(time.Second)))
	}
	q.admitThreshold = math.Mod(q.admitThreshold+thresholdStep, 1)
	q.level -= cost
	q.ownLevel -= cost
	q.spent += cost
	q.zoneSpent += cost
	q.ownRecent += cost
	return true, 0
}

// NoteRemoteDecision records that another host has decided on a request for this one. The host's own share doesn't
// accumulate meanwhile: hosts that all lose contact at once would each spend it, on top of what the others admit.
// Instead they start to admit one after the other.
func (q *Quota) NoteRemoteDecision(now time.Duration, cost float64, s Scope) {
	q.refillOwn(now, s)
	q.updateUsualCost(cost, s)
	q.ownLevel = min(q.ownLevel, -q.admitThreshold*q.usualCost)
}

// Refund returns the cost of a request that did not run. Admissions from before this host's start aren't refunded,
// since it has no record of them.
func (q *Quota) Refund(cost float64) {
	cost = min(cost, q.spent)
	q.level = min(q.burst, q.level+cost)
	q.ownLevel += cost
	q.spent -= cost
	q.zoneSpent -= cost
}

// Remaining is the level of the shared bucket and of this host's own, for logs.
func (q *Quota) Remaining() (shared, own float64) { return q.level, q.ownLevel }

// NearlyExhausted reports whether the admissions of others matter soon: the bucket is less than half full, or this host
// is in debt by more than a usual request, as all hosts are at once when a workspace suddenly requests many times its
// quota.
func (q *Quota) NearlyExhausted() bool { return q.level < q.burst/2 || q.ownLevel < -q.usualCost }

// Spent is the total that this host has admitted since its start.
func (q *Quota) Spent() float64 { return q.spent }

// ZoneSpent is the total that the hosts of this zone have admitted, as known since this host's start.
func (q *Quota) ZoneSpent() float64 { return q.zoneSpent }

// PeerTotal is a report of what another host or zone has admitted since its start.
type PeerTotal struct {
	// Peer names the host or zone with its incarnation.
	Peer  string
	Spent float64
	// InZone is set if the total counts towards this zone's own.
	InZone bool
	// Reconnected is set if the peer was unreachable before: what it admitted meanwhile was already withheld from this
	// host's refill.
	Reconnected bool
	// RecentlyStarted is set if the peer has just started, so that all of its total is recent.
	RecentlyStarted bool
}

// ApplyPeerTotal charges what a peer has admitted since its last total. The first total of a peer only sets where to
// count from, unless the peer has recently started: a host that has just started would otherwise charge its bucket with
// all that the others have admitted in hours, and refuse every request. What hosts that start together admit before
// their totals reach each other has to count, however.
func (q *Quota) ApplyPeerTotal(t PeerTotal) {
	last, known := q.peerTotals[t.Peer]
	q.peerTotals[t.Peer] = t.Spent
	if !known && !t.RecentlyStarted {
		return
	}
	more := t.Spent - last
	q.othersRecent += more
	if t.InZone {
		q.zoneSpent += more
	}
	if t.Reconnected {
		covered := min(q.withheld, more)
		q.withheld -= covered
		more -= covered
	}
	q.level = min(q.burst, max(q.minLevel(), q.level-more))
}

// minLevel bounds how far peers' totals can overdraw the bucket: by what can be admitted in one window. A total beyond
// that is wrong, and would block the workspace for good.
func (q *Quota) minLevel() float64 {
	return -(q.burst + q.refillRate()*max(1, q.allowance.Window.Seconds()))
}

// ForgetPeer drops the last total of a host incarnation that is gone.
func (q *Quota) ForgetPeer(peer string) { delete(q.peerTotals, peer) }
