package router

import (
	"maps"
	"math"
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
)

// Backend servers state limits on the requests of all hosts together in their answers. The statements spread in heartbeats
// and zone summaries.

const (
	// maxStatementDelay is the longest time that a statement is assumed to spend on its way from one host to the next.
	maxStatementDelay = 500 * time.Millisecond
	// endedLimitTTL is how long hosts remember and report that a limit has ended, so that one that missed it gets to know.
	endedLimitTTL = 15 * time.Second
)

// statement is what a backend server stated about a limit in one answer.
type statement struct {
	// perSecond is in requests per second; +Inf if it stated no limit.
	perSecond float64
	// The server made the statement between sentAt, when the answered request was sent, and heardAt, when its answer came.
	sentAt, heardAt time.Duration
}

func (s statement) limited() bool { return !math.IsInf(s.perSecond, 1) }

// supersedes reports whether the statement replaces a known one. Answers overtake each other, so a higher limit replaces a
// lower one only if it was certainly stated later.
func (s statement) supersedes(known statement) bool {
	switch {
	case s.heardAt < known.sentAt:
		return false
	case s.sentAt > known.heardAt, s.perSecond < known.perSecond:
		return true
	default:
		return s.perSecond == known.perSecond && s.heardAt > known.heardAt
	}
}

// statedLimit is the latest statement of a limit.
type statedLimit struct {
	statement
	// own is set if the statement was made to this host, inZone if to a host of this zone.
	own, inZone bool
	// since is when a limit was first stated, or when it ended.
	since time.Duration
}

// newStatedLimit returns a limit of which nothing was stated yet.
func newStatedLimit() statedLimit {
	return statedLimit{statement: statement{perSecond: math.Inf(1), sentAt: -never, heardAt: -never}}
}

// endedLongAgo reports whether the limit has ended and no host needs to be told any more.
func (l *statedLimit) endedLongAgo(now time.Duration) bool {
	return !l.limited() && now-l.since > endedLimitTTL
}

func toThisHost(l *statedLimit) bool { return l.own }

func toThisZone(l *statedLimit) bool { return l.inZone }

// ownStatement returns the statement of an answer that this host has just received.
func (r *Router) ownStatement(o *RateObservation) statement {
	return statement{perSecond: o.PerSecond, sentAt: o.SentAt, heardAt: r.now}
}

// observe applies a statement made to the host source. It returns the previous statement and whether it was replaced.
func (r *Router) observe(l *statedLimit, s statement, source string) (previous statement, replaced bool) {
	previous = l.statement
	if !s.supersedes(previous) {
		return previous, false
	}
	l.statement = s
	l.own = source == r.opt.Host
	l.inZone = l.own || r.members.zoneOf[source] == r.opt.Zone
	if previous.limited() != s.limited() {
		l.since = r.now
	}
	return previous, true
}

// statementsToSend returns the statements of those backend servers whose limit matches.
func (r *Router) statementsToSend(backends map[string]*backend, limitOf func(*backend) *statedLimit, match func(*statedLimit) bool) []*gossippb.RateLimit {
	var out []*gossippb.RateLimit
	for _, id := range slices.Sorted(maps.Keys(backends)) {
		b := backends[id]
		l := limitOf(b)
		if b.removed || b.replaced || !match(l) {
			continue
		}
		p := &gossippb.RateLimit{Backend: b.hash, Ended: !l.limited(), SentMsAgo: millisSince(r.now, l.sentAt), HeardMsAgo: millisSince(r.now, l.heardAt)}
		if l.limited() {
			p.PerSecond = l.perSecond
		}
		out = append(out, p)
	}
	return out
}

// millisSince returns the time from at until now in milliseconds, capped to what a message can carry.
func millisSince(now, at time.Duration) uint32 {
	return uint32(min(max(0, (now-at).Milliseconds()), math.MaxUint32))
}

// applyStatements passes on the statements that another host reports. They are taken to be older than it says by
// maxStatementDelay.
func (r *Router) applyStatements(list []*gossippb.RateLimit, observe func(*backend, statement)) {
	for _, p := range list {
		b, ok := r.byHash[p.Backend]
		if !ok || !(p.PerSecond >= 0) || math.IsInf(p.PerSecond, 1) {
			continue
		}
		s := statement{perSecond: p.PerSecond, heardAt: r.now - time.Duration(p.HeardMsAgo)*time.Millisecond}
		if p.Ended {
			s.perSecond = math.Inf(1)
		}
		s.sentAt = min(s.heardAt, r.now-time.Duration(p.SentMsAgo)*time.Millisecond-maxStatementDelay)
		observe(b, s)
	}
}
