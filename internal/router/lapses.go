package router

import (
	"time"

	"fireflyshift/internal/routing"
)

const (
	// lapsedGracePeriod is how long a backend server may still be used whose registration lapsed around an outage of the
	// store: one that is alive registers again within two seconds of the store's return. With 0.25 s from a decision to the first
	// byte and 0.15 s to see the store's return, it ends before one that has left must get no more requests, 2 s after that.
	lapsedGracePeriod = 1600 * time.Millisecond
	// lapseWindow is how long after the store's return removals are treated as lapses caused by the outage.
	lapseWindow = 3 * time.Second
)

// storeOutage is what this host knows of outages of the store for all hosts. While the store answers any other host, a backend
// server that is alive keeps its registration, and a removal means that it has left.
type storeOutage struct {
	served bool          // the store answers some host
	endAt  time.Duration // when the latest outage ended
}

// noteStoreServes records that the store answers this host or a peer.
func (r *Router) noteStoreServes() {
	if !r.outage.served {
		r.outage = storeOutage{served: true, endAt: r.now}
	}
}

// detectOutage finds out whether the store has ceased to answer all hosts.
func (r *Router) detectOutage() {
	if !r.outage.served || !r.updates.storeLost {
		return
	}
	for _, m := range r.members.byHost {
		if m.readsStore && !m.unreachable {
			return
		}
	}
	r.outage.served = false
}

// mayHaveLapsed reports whether a registration that is removed now may have lapsed through an outage.
func (r *Router) mayHaveLapsed() bool {
	return !r.outage.served || r.now-r.outage.endAt < lapseWindow
}

// graceEnd returns until when a backend server is used whose registration may have lapsed, or zero if that is over. It is the same
// on all hosts, no matter when they learn of the removal.
func (r *Router) graceEnd(ch routing.BackendChange) time.Duration {
	end := r.now - ch.Age + lapsedGracePeriod
	if r.outage.served {
		end = min(end, r.outage.endAt+lapsedGracePeriod)
	}
	if end <= r.now {
		return 0
	}
	return end
}

// endGrace ends the further use of a backend server whose registration is removed.
func (r *Router) endGrace(b *backend) {
	if b.graceUntil > 0 {
		b.graceUntil = 0
		r.emit(BackendGone{Backend: b.Backend})
	}
}

// learnDraining records that a backend server whose registration is removed drained before.
func (r *Router) learnDraining(b *backend, ch routing.BackendChange) {
	if ch.Draining && ch.Start == b.Start {
		b.Draining = true
		r.endGrace(b)
	}
}
