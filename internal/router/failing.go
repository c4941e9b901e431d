package router

import "time"

const (
	// suspectAfterFailures is the number of failures in a row that make a backend server suspect. Single failures
	// are common.
	suspectAfterFailures = 2
	// probationSuccesses is the number of requests that a backend server on probation must serve, at first one at a
	// time, to be trusted again. One that fails every other request has an even chance to serve the first.
	probationSuccesses = 3
	// minAvoidDuration and maxAvoidDuration limit how long a suspect backend server is avoided. The time doubles
	// with each failure.
	minAvoidDuration = 300 * time.Millisecond
	maxAvoidDuration = 3 * time.Second
	// unreachableDuration is how long a backend server is avoided after a failed connection. Its registration
	// outlives it by some heartbeats, and it looks idle meanwhile.
	unreachableDuration = 2 * time.Second
	// reportQuorum is the number of other hosts that must report a backend server as unreachable or failing for
	// this host to accept it.
	reportQuorum = 2
	// ownerFailingTTL is how long an owner's report that a backend server fails is valid.
	ownerFailingTTL = time.Second
)

// failureState holds the failures of a backend server.
type failureState struct {
	// failures counts failures in a row, failedAt is the time of the latest, and successes counts the requests
	// served since.
	failures  int
	failedAt  time.Duration
	successes int
	// faults counts those of the failures that were faults in answers.
	faults int
	// avoidUntil is when the backend server may be tried again. It stays set until the server is trusted again.
	avoidUntil time.Duration
	avoidFor   time.Duration
	// unreachableUntil is set after a failed connection, and unreachableReports counts the hosts that report one.
	unreachableUntil   time.Duration
	unreachableReports int
	// failingReports counts the hosts whose requests the backend server fails, and ownerFailingAt is the time of its
	// owner's latest report that it fails.
	failingReports int
	ownerFailingAt time.Duration
}

// suspect reports whether the backend server should be avoided.
func (b *backend) suspect(now time.Duration) bool {
	return now < b.avoidUntil || b.isUnreachable(now) || b.failingReports >= reportQuorum || b.failingAtOwner(now)
}

// failingAtOwner reports whether the owner has recently reported that the backend server fails.
func (f *failureState) failingAtOwner(now time.Duration) bool {
	return f.ownerFailingAt > 0 && now-f.ownerFailingAt < ownerFailingTTL
}

// onProbation reports whether the backend server failed and has not served enough requests since.
func (f *failureState) onProbation() bool { return f.avoidUntil > 0 }

// isUnreachable reports whether connections are expected to fail, by this host's own attempt or reports of others. Its own
// recent contact outweighs reports: their senders may be cut off.
func (b *backend) isUnreachable(now time.Duration) bool {
	return now < b.unreachableUntil || (b.unreachableReports >= reportQuorum && !b.reach.outweighsReports(now))
}

// succeeded records that a request sent at the given time was served. A request sent before the latest failure
// is ignored: long streams continue at a backend server that breaks all new ones.
func (f *failureState) succeeded(sentAt time.Duration) {
	if f.failures > 0 && sentAt < f.failedAt {
		return
	}
	f.successes++
	if f.failures >= suspectAfterFailures && f.successes < probationSuccesses {
		return
	}
	*f = f.onlyReports()
}

// onlyReports returns the part of the state that other hosts have reported.
func (f *failureState) onlyReports() failureState {
	return failureState{unreachableReports: f.unreachableReports, failingReports: f.failingReports, ownerFailingAt: f.ownerFailingAt}
}

// connectFailed records a failed connection. Faults in answers before it may have had the same cause.
func (f *failureState) connectFailed(now time.Duration) {
	f.failures++
	f.faults = 0
	f.failedAt, f.successes = now, 0
	f.avoidFor = unreachableDuration
	f.avoidUntil = now + unreachableDuration
	f.unreachableUntil = now + unreachableDuration
}

// reachableAgain ends the avoidance of a backend server that could not be reached. It stays on probation.
func (f *failureState) reachableAgain(now time.Duration) {
	f.faults = 0
	if now < f.unreachableUntil {
		f.unreachableUntil, f.avoidUntil = 0, now
	}
}

// failed records a fault in an answer.
func (f *failureState) failed(now time.Duration) {
	f.failures++
	f.faults++
	f.failedAt, f.successes = now, 0
	if f.failures < suspectAfterFailures {
		return
	}
	f.avoidFor = min(maxAvoidDuration, max(minAvoidDuration, 2*f.avoidFor))
	f.avoidUntil = now + f.avoidFor
}

// isFailing reports whether the failures should be reported to other hosts.
func (f *failureState) isFailing() bool { return f.onProbation() && f.faults >= suspectAfterFailures }

// reportsFailing reports whether this host tells others that a backend server fails. It does not if its own connections fail.
func (r *Router) reportsFailing(b *backend) bool {
	return b.isFailing() && !b.reach.connectFails() && !r.mayBeCutOff(b.Service)
}

// recordFailure records a fault in an answer and reports a backend server that becomes suspect to other hosts early.
func (r *Router) recordFailure(b *backend) {
	was := b.isFailing()
	b.failed(r.now)
	if was || !b.isFailing() || r.backends[b.ID] != b {
		return
	}
	r.heartbeatPending = r.heartbeatPending || !r.largeFleet()
	r.owners.nextOccupancyAt = min(r.owners.nextOccupancyAt, r.now)
	r.emit(Note{What: "backend server fails", Subject: b.ID, Detail: b.Service})
}

// applyFailing replaces the backend servers that another host reports as failing.
func (r *Router) applyFailing(m *member, list []uint32) {
	r.updateReportCounts(m.failingBackends, list, func(b *backend) *int { return &b.failingReports })
	m.failingBackends = list
}

// countFailingReports counts the hosts that report a backend server as failing.
func (r *Router) countFailingReports(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.failingBackends })
}

// applyOwnerFailing applies an owner's report of which of its backend servers fail. Those that it no longer lists are
// trusted again after ownerFailingTTL.
func (r *Router) applyOwnerFailing(list []uint32) {
	for _, hash := range list {
		if b, ok := r.byHash[hash]; ok && !r.owns(b) {
			b.ownerFailingAt = max(1, r.now)
		}
	}
}

// zoneFailingBackends returns the hashes of this zone's failing backend servers, by their owners' reports or by this
// host's own data if it is the owner.
func (r *Router) zoneFailingBackends() []uint32 {
	return r.hashesOf(func(b *backend) bool {
		return b.Zone == r.opt.Zone && (b.failingAtOwner(r.now) || (r.owns(b) && r.reportsFailing(b)))
	})
}
