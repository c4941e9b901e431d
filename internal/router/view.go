package router

import "time"

// View is what operators see of a reducer.
type View struct {
	Version    uint64
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
}

// PeerView is another host as this one sees it.
type PeerView struct {
	Host, Zone string
	Heard      bool
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
	v := View{Version: r.version(), Digest: r.digest(), Ready: r.Ready(), Draining: r.drain != nil, Reading: r.news.reading,
		StoreOK: !r.news.lost, StoreAge: -1, Requests: len(r.requests), Violations: r.inv.Total(), Now: r.now}
	if r.news.heardAt > 0 {
		v.StoreAge = r.now - r.news.heardAt
	}
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		v.Peers = append(v.Peers, PeerView{h, m.zone, !m.silent, r.now - m.heardAt})
	}
	for _, b := range r.allBackends() {
		v.Backends = append(v.Backends, BackendView{b.ID, b.Service, b.Zone, b.Addr, b.state(r.now), r.ownerOf(b),
			b.own.total(), b.believedOthers().total(), b.Slots, b.interval})
	}
	return v
}

// state words what is believed of a backend server.
func (b *backend) state(now time.Duration) string {
	switch {
	case b.removed && now < b.doubtUntil:
		return "doubtful"
	case b.removed:
		return "gone"
	case b.Draining:
		return "draining"
	case b.replaced:
		return "replaced"
	case b.dead(now):
		return "unreachable"
	case b.suspect(now):
		return "suspect"
	case b.onProbation():
		return "probation"
	default:
		return "ready"
	}
}
