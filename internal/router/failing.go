package router

import "time"

const (
	// suspectAfterFailures in a row make a backend server suspect; a single failure is everyday.
	suspectAfterFailures = 2
	// probationSuccesses are the requests that a suspect has to serve, one at a time at first, to be trusted again: one that fails
	// every other request serves the first of them as often as not.
	probationSuccesses = 3
	// minAvoidDuration and avoidMost bound how long a suspect is left alone; the time doubles.
	minAvoidDuration = 300 * time.Millisecond
	maxAvoidDuration = 3 * time.Second
	// unreachableDuration is how long a backend server is left alone to which no connection can be made: its
	// registration outlives it by some heartbeats, and it looks idle meanwhile.
	unreachableDuration = 2 * time.Second
	// reportQuorum is how many other hosts must say that a backend server is dead, or fails, for this one to believe it.
	reportQuorum = 2
	// ownerFailingTTL is how long an owner's word that a backend server fails holds.
	ownerFailingTTL = time.Second
)

// failureState is what is known of a backend server's failures.
type failureState struct {
	// failures in a row, the time of the latest, and the trials that succeeded since.
	failures  int
	failedAt  time.Duration
	successes int
	// avoidUntil is until when it is avoided because of them; not zero until it is trusted again.
	avoidUntil time.Duration
	avoidFor   time.Duration
	// unreachableUntil is until when no connection could be made; saidDead are the hosts that say so.
	unreachableUntil   time.Duration
	unreachableReports int
	// failingReports are the hosts whose requests it fails, ownersFailing when its owner last said that it fails requests.
	failingReports int
	ownerFailingAt time.Duration
}

// suspect tells that a backend server should be left alone.
func (f *failureState) suspect(now time.Duration) bool {
	return now < f.avoidUntil || f.isUnreachable(now) || f.failingReports >= reportQuorum || f.failingAtOwner(now)
}

// failingAtOwner tells that its owner has lately said that it fails requests.
func (f *failureState) failingAtOwner(now time.Duration) bool {
	return f.ownerFailingAt > 0 && now-f.ownerFailingAt < ownerFailingTTL
}

// onProbation tells that the backend server failed lately and has not served enough since.
func (f *failureState) onProbation() bool { return f.avoidUntil > 0 }

// isUnreachable tells that no connection can be made there, by this host's own try or by several others' word.
func (f *failureState) isUnreachable(now time.Duration) bool {
	return now < f.unreachableUntil || f.unreachableReports >= reportQuorum
}

// succeeded takes that a request which began at a moment was served. One that began before the latest failure says nothing:
// long streams go on at a backend server that breaks all new ones.
func (f *failureState) succeeded(began time.Duration) {
	if f.failures > 0 && began < f.failedAt {
		return
	}
	f.successes++
	if f.failures >= suspectAfterFailures && f.successes < probationSuccesses {
		return
	}
	*f = failureState{unreachableReports: f.unreachableReports, failingReports: f.failingReports, ownerFailingAt: f.ownerFailingAt}
}

// connectFailed notes that no connection could be made.
func (f *failureState) connectFailed(now time.Duration) {
	f.failures++
	f.failedAt, f.successes = now, 0
	f.avoidFor = unreachableDuration
	f.avoidUntil = now + unreachableDuration
	f.unreachableUntil = now + unreachableDuration
}

// failed counts a fault in an answer.
func (f *failureState) failed(now time.Duration) {
	f.failures++
	f.failedAt, f.successes = now, 0
	if f.failures < suspectAfterFailures {
		return
	}
	f.avoidFor = min(maxAvoidDuration, max(minAvoidDuration, 2*f.avoidFor))
	f.avoidUntil = now + f.avoidFor
}

// isFailing tells that a backend server's failures are worth telling to other hosts.
func (f *failureState) isFailing() bool { return f.onProbation() && f.failures >= suspectAfterFailures }

// recordFailure counts a fault in an answer, and lets others hear soon of a backend server that becomes suspect by it.
func (r *Router) recordFailure(b *backend) {
	was := b.isFailing()
	b.failed(r.now)
	if was || !b.isFailing() || r.backends[b.ID] != b {
		return
	}
	r.heartbeatPending = r.heartbeatPending || !r.usesOwners()
	r.owners.nextOccupancyAt = min(r.owners.nextOccupancyAt, r.now)
	r.emit(Note{What: "backend server fails", Subject: b.ID, Detail: b.Service})
}

// applyFailing takes which backend servers fail another host's requests.
func (r *Router) applyFailing(m *member, list []uint32) {
	r.updateReportCounts(m.failingBackends, list, func(b *backend) *int { return &b.failingReports })
	m.failingBackends = list
}

// countFailingReports counts the hosts whose requests a backend server fails.
func (r *Router) countFailingReports(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.failingBackends })
}

// applyOwnerFailing takes an owner's word of which of its backend servers fail requests. Those that it no longer names are
// trusted again after failingStale.
func (r *Router) applyOwnerFailing(list []uint32) {
	for _, hash := range list {
		if b, ok := r.byHash[hash]; ok && !r.owns(b) {
			b.ownerFailingAt = max(1, r.now)
		}
	}
}

// zoneFailingBackends are those of this zone, as their owners say or this host knows itself.
func (r *Router) zoneFailingBackends() []uint32 {
	return r.hashesOf(func(b *backend) bool {
		return b.Zone == r.opt.Zone && (b.failingAtOwner(r.now) || (b.isFailing() && r.owns(b)))
	})
}
