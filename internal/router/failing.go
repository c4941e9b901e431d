package router

import "time"

const (
	// failuresToAvoid in a row make a backend server suspect; a single failure is everyday.
	failuresToAvoid = 2
	// trialsToTrust are the requests that a suspect has to serve, one at a time at first, to be trusted again: one that fails
	// every other request serves the first of them as often as not.
	trialsToTrust = 3
	// avoidFirst and avoidMost bound how long a suspect is left alone; the time doubles.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 3 * time.Second
	// avoidDead is how long a backend server is left alone to which no connection can be made: its
	// registration outlives it by some heartbeats, and it looks idle meanwhile.
	avoidDead = 2 * time.Second
	// deadWord is how many other hosts must say that a backend server is dead, or fails, for this one to believe it.
	deadWord = 2
	// failingStale is how long an owner's word that a backend server fails holds.
	failingStale = time.Second
)

// failing is what is known of a backend server's failures.
type failing struct {
	// failures in a row, the time of the latest, and the trials that succeeded since.
	failures int
	failedAt time.Duration
	trials   int
	// avoidUntil is until when it is avoided because of them; not zero until it is trusted again.
	avoidUntil time.Duration
	avoidFor   time.Duration
	// unreachable is until when no connection could be made; saidDead are the hosts that say so.
	unreachable time.Duration
	saidDead    int
	// saidFailing are the hosts whose requests it fails, ownersFailing when its owner last said that it fails requests.
	saidFailing   int
	ownersFailing time.Duration
}

// suspect tells that a backend server should be left alone.
func (f *failing) suspect(now time.Duration) bool {
	return now < f.avoidUntil || f.dead(now) || f.saidFailing >= deadWord || f.ownerSays(now)
}

// ownerSays tells that its owner has lately said that it fails requests.
func (f *failing) ownerSays(now time.Duration) bool {
	return f.ownersFailing > 0 && now-f.ownersFailing < failingStale
}

// onProbation tells that the backend server failed lately and has not served enough since.
func (f *failing) onProbation() bool { return f.avoidUntil > 0 }

// dead tells that no connection can be made there, by this host's own try or by several others' word.
func (f *failing) dead(now time.Duration) bool {
	return now < f.unreachable || f.saidDead >= deadWord
}

// succeeded takes that a request which began at a moment was served. One that began before the latest failure says nothing:
// long streams go on at a backend server that breaks all new ones.
func (f *failing) succeeded(began time.Duration) {
	if f.failures > 0 && began < f.failedAt {
		return
	}
	f.trials++
	if f.failures >= failuresToAvoid && f.trials < trialsToTrust {
		return
	}
	*f = failing{saidDead: f.saidDead, saidFailing: f.saidFailing, ownersFailing: f.ownersFailing}
}

// refused notes that no connection could be made.
func (f *failing) refused(now time.Duration) {
	f.failures++
	f.failedAt, f.trials = now, 0
	f.avoidFor = avoidDead
	f.avoidUntil = now + avoidDead
	f.unreachable = now + avoidDead
}

// failed counts a fault in an answer.
func (f *failing) failed(now time.Duration) {
	f.failures++
	f.failedAt, f.trials = now, 0
	if f.failures < failuresToAvoid {
		return
	}
	f.avoidFor = min(avoidMost, max(avoidFirst, 2*f.avoidFor))
	f.avoidUntil = now + f.avoidFor
}

// fails tells that a backend server's failures are worth telling to other hosts.
func (f *failing) fails() bool { return f.onProbation() && f.failures >= failuresToAvoid }

// noteFailed counts a fault in an answer, and lets others hear soon of a backend server that becomes suspect by it.
func (r *Router) noteFailed(b *backend) {
	was := b.fails()
	b.failed(r.now)
	if was || !b.fails() || r.backends[b.ID] != b {
		return
	}
	r.heartbeatPending = r.heartbeatPending || !r.sharing()
	r.owners.tellAt = min(r.owners.tellAt, r.now)
	r.emit(Note{What: "backend server fails", Subject: b.ID, Detail: b.Service})
}

// takeFailing takes which backend servers fail another host's requests.
func (r *Router) takeFailing(m *member, list []uint32) {
	r.updateReportCounts(m.failingBackends, list, func(b *backend) *int { return &b.saidFailing })
	m.failingBackends = list
}

// saidFailingAt counts the hosts whose requests a backend server fails.
func (r *Router) saidFailingAt(hash uint32) int {
	return r.countReporting(hash, func(m *member) []uint32 { return m.failingBackends })
}

// takeOwnersFailing takes an owner's word of which of its backend servers fail requests. Those that it no longer names are
// trusted again after failingStale.
func (r *Router) takeOwnersFailing(list []uint32) {
	for _, hash := range list {
		if b, ok := r.byHash[hash]; ok && !r.owns(b) {
			b.ownersFailing = max(1, r.now)
		}
	}
}

// zoneFailing are those of this zone, as their owners say or this host knows itself.
func (r *Router) zoneFailing() []uint32 {
	return r.hashesOf(func(b *backend) bool {
		return b.Zone == r.opt.Zone && (b.ownerSays(r.now) || (b.fails() && r.owns(b)))
	})
}
