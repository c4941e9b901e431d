package router

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Some limits on the requests to a backend server apply to all hosts together. Hosts share no counter, so only a few of
// them, computed by every host alike, send to such a server, each with a fixed share of its rate. A network cut, a late
// message or a restart then adds no requests.

const (
	// maxSenders limits the hosts that share the rate of a backend server. Each may have saved a token, so that with many
	// senders a low rate would be exceeded by these alone.
	maxSenders = 4
	// minSenderAge is how long a host must have run to be one of them. By then it knows its zone peers, and anything sent by
	// its previous process is more than a second old.
	minSenderAge = 2 * time.Second
	// After rateTrialDelay without a statement of a server, one host after the other sends it a single request, in the order of
	// their ranks and rateTrialStagger apart: its senders may be gone, or its rate is so low that the limit would never be seen
	// to end.
	rateTrialDelay   = 30 * time.Second
	rateTrialStagger = 5 * time.Second
)

// trialDue reports whether this host may send a single request to a backend server with few senders, after nothing was heard of
// it since the given time.
func (r *Router) trialDue(b *backend, quietSince time.Duration) bool {
	quiet := r.now - quietSince
	if quiet < rateTrialDelay || r.now < minSenderAge || !r.exchangesHeartbeats(b.Zone) {
		return false
	}
	rank, _ := r.senderRank(b)
	return quiet >= rateTrialDelay+time.Duration(rank)*rateTrialStagger
}

// maySendToLimited reports whether this host may be a sender of a backend server at all.
func (r *Router) maySendToLimited(b *backend) bool {
	return r.now >= minSenderAge && r.drain == nil && r.exchangesHeartbeats(b.Zone) && !r.noPeersSeen()
}

// noPeersSeen reports whether this host has seen no other host since its start although it has seeds. It then
// cannot know which hosts send.
func (r *Router) noPeersSeen() bool {
	return len(r.members.order) == 0 && slices.ContainsFunc(r.opt.Seeds, func(h string) bool { return h != r.opt.Host })
}

// senderRank returns this host's position in the order of the hosts that may send to a backend server, from 0, and the
// number of these hosts. Unreachable hosts count because they may only be disconnected and still send. Draining hosts do
// not, as they stop sending to limited servers at once.
func (r *Router) senderRank(b *backend) (rank, hosts int) {
	hosts = 1
	mine := senderHash(b.hash, r.opt.Host)
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if m.leaving || !r.exchangesHeartbeats(m.zone) {
			continue
		}
		hosts++
		if senderHash(b.hash, h) < mine {
			rank++
		}
	}
	return rank, hosts
}

// otherSenders returns the other hosts that may send to a cold or rate-limited backend server. Of those in a zone whose hosts
// this one does not hear, it returns the likely ones: one that has no share grants nothing.
func (r *Router) otherSenders(b *backend) []string {
	hosts := r.hostsOfZone(b.Zone)
	if r.exchangesHeartbeats(b.Zone) {
		hosts = []string{r.opt.Host}
		for _, h := range r.members.order {
			if m := r.members.byHost[h]; !m.leaving && r.exchangesHeartbeats(m.zone) {
				hosts = append(hosts, h)
			}
		}
	}
	slices.SortFunc(hosts, func(a, c string) int { return cmp.Compare(senderHash(b.hash, a), senderHash(b.hash, c)) })
	hosts = hosts[:min(len(hosts), maxSenders)]
	return slices.DeleteFunc(hosts, func(h string) bool { return h == r.opt.Host })
}

// hostsOfZone returns the hosts that are known to be in an availability zone.
func (r *Router) hostsOfZone(zone string) []string {
	var hosts []string
	for h, z := range r.members.zoneOf {
		if z == zone {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// chooseLender returns a host that may have a share left at a backend server that takes few requests from all hosts together,
// and at which a request would fit by the known load, or "" if there is none to ask. All requests may come to a host whose own
// shares are small or that has none.
func (r *Router) chooseLender(q *request) string {
	if q.decideLocally || len(q.fullOwners) >= maxSlotRequests {
		return ""
	}
	s := r.newSelector(q, scopeAll)
	var shared []*backend
	for _, b := range r.backendsOf(q.service) {
		if (b.ratesShared(r.now) || r.isBrittle(b)) && r.mayBorrow(q, b) && !b.suspect(r.now) && b.inFlight() < s.requestLimit(b) {
			shared = append(shared, b)
		}
	}
	for tries := 0; tries < maxSlotRequests && len(shared) > 0; tries++ {
		i := r.rng.IntN(len(shared))
		lenders := slices.DeleteFunc(r.sharersOf(shared[i]), func(h string) bool {
			return !r.canAsk(h) || slices.Contains(q.fullOwners, h) || r.now-r.statusOf(h).fullAt[q.priority()] < fullTTL
		})
		if len(lenders) > 0 {
			return lenders[r.rng.IntN(len(lenders))]
		}
		shared = slices.Delete(shared, i, i+1)
	}
	return ""
}

// sharersOf returns the other hosts that have a share of what a backend server takes from all hosts together. A host that has
// just started knows few of them.
func (r *Router) sharersOf(b *backend) []string {
	if b.ratesShared(r.now) && r.now >= minSenderAge {
		return r.otherSenders(b)
	}
	if r.largeFleet() || !r.isBrittle(b) {
		return nil
	}
	return r.brittleSenders(b)
}

// ratesShared reports whether a few hosts have shares of the backend server's rate.
func (b *backend) ratesShared(now time.Duration) bool { return b.cold(now) || b.rateLimited() }

// mayBorrow reports whether a request may use a slot at a backend server out of another host's share.
func (r *Router) mayBorrow(q *request, b *backend) bool {
	return r.mayGet(q, b) && b.Service == q.service && !slices.Contains(q.tried, b.ID)
}

// takeShares takes what one request needs of this host's shares at a backend server.
func (r *Router) takeShares(b *backend) {
	r.takeColdToken(b)
	r.takeRateToken(b)
}

// senderHash orders hosts for a backend server.
func senderHash(backend uint32, host string) uint64 {
	return xxhash.Sum64String(host + "|cold " + strconv.FormatUint(uint64(backend), 36))
}
