package router

import "time"

// View is what operators see of a reducer.
type View struct {
	Version    uint64
	Era        uint64 // of the store
	Digest     uint64
	Ready      bool
	Draining   bool
	Reading    bool
	StoreOK    bool
	StoreAge   time.Duration // since the latest word of the store; negative where there is none
	Requests   int
	Violations int
	Now        time.Duration
	Peers      []PeerView
	Backends   []BackendView
	// Quarantined are the requests that are kept from backend servers, Suspects how many are remembered.
	Quarantined []QuarantineView
	Suspects    int
}

// QuarantineView is a request that is kept from backend servers.
type QuarantineView struct {
	Digest, Workspace string
	Ends              int           // that it explains, as far as they are remembered
	Age               time.Duration // since the latest of them
	TrialIn           time.Duration // until it may run once to show that it does no harm
}

// PeerView is another host as this one sees it.
type PeerView struct {
	Host, Zone string
	Reachable  bool
	Age        time.Duration
}

// BackendView is what is believed of one backend server.
type BackendView struct {
	ID, Service, Zone, Addr string
	State                   string
	Owner                   string // the host that is asked for places there; empty where none is
	Own, Others, Slots      int
	Interval                time.Duration
}

// View gathers what operators see.
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
		v.Backends = append(v.Backends, BackendView{b.ID, b.Service, b.Zone, b.Addr, b.state(r.now), r.ownerOf(b),
			b.ownLoad.total(), b.loadOfOthers().total(), b.Slots, b.interval})
	}
	for _, c := range r.suspects.ledger.Quarantined() {
		v.Quarantined = append(v.Quarantined, QuarantineView{c.Digest.String(), c.Workspace, len(c.Ends), r.now - c.Ends[len(c.Ends)-1].At, max(0, c.TrialAt()-r.now)})
	}
	v.Suspects = len(r.suspects.ledger.Cases())
	return v
}

// state words what is believed of a backend server.
func (b *backend) state(now time.Duration) string {
	if why := b.excluded(now); why != notExcluded {
		return string(why)
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
