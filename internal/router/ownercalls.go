package router

import (
	"slices"
	"time"
)

// ownerCall is a call to the owner of backend servers or quotas that is open or whose reply may still come.
type ownerCall struct {
	number    uint64
	requestID uint64
	owner     string
	sentAt    time.Duration
	// timedOut is set if no reply came in time. Anything granted later is returned.
	timedOut bool
}

func (q *ownerCall) call() *ownerCall { return q }

// ownerCalls holds the calls of one kind, the oldest first.
type ownerCalls[Q interface{ call() *ownerCall }] struct {
	pending    []Q
	lastNumber uint64
}

// next returns the number of a new call.
func (l *ownerCalls[Q]) next() uint64 {
	l.lastNumber++
	return l.lastNumber
}

func (l *ownerCalls[Q]) add(q Q) { l.pending = append(l.pending, q) }

// take removes and returns the call that a reply belongs to.
func (l *ownerCalls[Q]) take(from string, number uint64) (q Q, ok bool) {
	i := slices.IndexFunc(l.pending, func(q Q) bool { return q.call().number == number && q.call().owner == from })
	if i < 0 {
		return q, false
	}
	q = l.pending[i]
	l.pending = slices.Delete(l.pending, i, i+1)
	return q, true
}

// overdue returns the calls that have timed out since the last time, and drops those older than lateReplyTTL.
func (l *ownerCalls[Q]) overdue(now time.Duration) []Q {
	var out []Q
	for _, q := range l.pending {
		if a := q.call(); !a.timedOut && now-a.sentAt >= ownerCallTimeout {
			a.timedOut = true
			out = append(out, q)
		}
	}
	// Only after that, as a host that wakes up from a pause would otherwise forget calls that have not timed out yet.
	for len(l.pending) > 0 && now-l.pending[0].call().sentAt > lateReplyTTL {
		l.pending = l.pending[1:]
	}
	return out
}
