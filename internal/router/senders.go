package router

import (
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

// senderHash orders hosts for a backend server.
func senderHash(backend uint32, host string) uint64 {
	return xxhash.Sum64String(host + "|cold " + strconv.FormatUint(uint64(backend), 36))
}
