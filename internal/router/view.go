package router

import (
	"time"

	"fireflyshift/internal/admission"
)

// View is a host's state as shown to operators.
type View struct {
	Version    uint64
	Era        uint64 // of the store
	Digest     uint64
	Ready      bool
	Draining   bool
	Reading    bool
	StoreOK    bool
	StoreAge   time.Duration // since the store's latest answer; negative if there was none
	Requests   int
	Violations int
	Now        time.Duration
	Peers      []PeerView
	Backends   []BackendView
	// Quarantined are the requests and parts of prompts withheld from backend servers. Suspects is the number of those remembered.
	Quarantined []QuarantineView
	Suspects    int
	// Streams is the number of streams whose origin is recorded, StreamsDropped how many were not because there were too many.
	Streams, StreamsDropped int
	// Queues are the admission queues of this host as an owner, QueueCounts what has happened at them since the start.
	Queues      []QueueView
	QueueCounts QueueCounts
	// Spill is the state of early spill by service; empty if it is off.
	Spill []SpillView
	// SpillCounts are those of all services and zones.
	SpillCounts SpillCounts
	// LimitCounts is how often the learned limits of engines have changed since the start.
	LimitCounts LimitCounts
}

// QueueView is the admission queue of one service at this host.
type QueueView struct {
	Service  string
	Requests int // waiting
	admission.View
}

// QueueCounts counts what has happened at a host's admission queues since it started.
type QueueCounts struct {
	Added     int // requests queued
	Granted   int // queued requests that were granted a slot
	Withdrawn int // queued requests that were withdrawn by the hosts that took them
	Refused   map[admission.Cause]int
}

// QuarantineView is a request, or a part of prompts, withheld from backend servers.
type QuarantineView struct {
	Kind, Digest, Workspace string
	Ends                    int           // remembered crashes of backend servers attributed to it
	Age                     time.Duration // since the latest of them
	TrialIn                 time.Duration // until it may run once as a trial
}

// PeerView is another host as known to this one.
type PeerView struct {
	Host, Zone string
	Reachable  bool
	Age        time.Duration
}

// BackendView is a backend server as known to this host.
type BackendView struct {
	ID, Service, Zone, Addr string
	Version                 string // of its software
	State                   string
	Owner                   string // the host that grants its slots; empty if there is none
	Own, Others, Slots      int
	Interval                time.Duration
	// RateLimit is nil if the backend server has stated none.
	RateLimit *RateLimitView
	// LearnedLimit is the number of slots that are used as the engine slows down beyond it; zero if this host has learned none.
	LearnedLimit int
}

// RateLimitView is the rate limit that a backend server states in its answers, in requests per second.
type RateLimitView struct {
	PerSecond float64       // from all hosts together
	Share     float64       // of this host
	Since     time.Duration // the first statement of a limit
	Sent      int           // by this host since then
}

// View returns the current state for operators.
func (r *Router) View() View {
	v := View{Version: r.version(), Era: r.updates.completeTo.Era, Digest: r.digest(), Ready: r.Ready(), Draining: r.drain != nil, Reading: r.updates.reading,
		StoreOK: !r.updates.storeLost, StoreAge: -1, Requests: len(r.requests), Violations: r.invariants.Total(), Now: r.now}
	if r.updates.storeAnsweredAt > 0 {
		v.StoreAge = r.now - r.updates.storeAnsweredAt
	}
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		v.Peers = append(v.Peers, PeerView{h, m.zone, !m.unreachable, r.now - m.lastSeen})
	}
	for _, b := range r.allBackends() {
		v.Backends = append(v.Backends, BackendView{b.ID, b.Service, b.Zone, b.Addr, b.Version, r.backendState(b), r.ownerOf(b),
			b.ownLoad.total(), b.loadOfOthers().total(), b.Slots, b.interval, r.rateLimitView(b), r.learnedLimit(b)})
	}
	for _, c := range r.suspects.ledger.Quarantined() {
		v.Quarantined = append(v.Quarantined, QuarantineView{c.Kind.String(), c.Digest.String(), c.Workspace, len(c.Ends), r.now - c.Ends[len(c.Ends)-1].At, max(0, c.TrialAt()-r.now)})
	}
	v.Suspects = len(r.suspects.ledger.Cases())
	v.Streams, v.StreamsDropped = r.origins.ledger.Len(), r.origins.ledger.Dropped()
	r.viewQueues(&v)
	r.viewSpill(&v)
	v.LimitCounts = r.limitCounts
	return v
}

// backendState describes the state of a backend server for operators, which is this host's own if it is cut off from the server.
func (r *Router) backendState(b *backend) string {
	if r.cutOff(b.Service) && b.reach.connectFails() && b.excluded(r.now) == notExcluded {
		return "cut off"
	}
	return b.state(r.now)
}

// state describes the state of a backend server for operators.
func (b *backend) state(now time.Duration) string {
	if reason := b.excluded(now); reason != notExcluded {
		return string(reason)
	}
	switch {
	case b.removed:
		return "doubtful"
	case b.isUnreachable(now):
		return "unreachable"
	case b.cold(now):
		return "cold"
	case b.suspect(now):
		return "suspect"
	case b.onProbation():
		return "probation"
	default:
		return "ready"
	}
}
