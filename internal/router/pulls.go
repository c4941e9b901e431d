package router

import (
	"slices"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// pullDelay is how long a peer may hold newer data before this host pulls it: updates from the store mostly arrive within
	// milliseconds, which makes an earlier pull superfluous.
	pullDelay = 250 * time.Millisecond
	// pullInterval is the minimum interval between pulls.
	pullInterval = 300 * time.Millisecond
	// fullPullInterval is the same for pulls of everything, from hosts whose digest differs though they have nothing newer.
	fullPullInterval = 3 * time.Second
	// departureTTL is how long a change that takes a backend server out of use is pushed to hosts that lag behind: longer than a
	// watch of the store that hangs. Later, they have listed the store again.
	departureTTL = 4 * time.Second
)

// peerData is what a peer knows of the configuration and the backend servers, by its latest heartbeat.
type peerData struct {
	digest   uint64 // zero if it knows nothing
	version  uint64
	revision routing.Revision
	// differsSince is when its digest first differed from this host's; zero while they are equal.
	differsSince time.Duration
	// pulledAt is when this host last pulled from it, and pushedAt when this host last pushed changes to it.
	pulledAt, pushedAt time.Duration
	// pushedDeparture is the ID of the backend server whose departure was pushed to it last.
	pushedDeparture string
}

// compareDigests records what a peer knows. Data that differs for a while is pulled: the store may be unreachable for
// this host, or may refuse it alone.
func (r *Router) compareDigests(m *member, b *gossippb.Beat) {
	d := &m.data
	d.digest, d.version, d.revision = b.Digest, b.ConfigVersion, routing.Revision{Era: b.Era, Number: b.Revision}
	switch {
	case d.digest == r.digest():
		d.differsSince = 0
		return
	case d.differsSince == 0:
		d.differsSince = max(1, r.now)
	}
	if r.pullDue(m) {
		r.pullFromNextPeer(m)
	}
}

// pullMissing pulls without waiting for the next heartbeat. Not in a large fleet, where changes are pushed to many hosts, which
// takes longer than pullDelay over small links.
func (r *Router) pullMissing() {
	if !r.largeFleet() {
		r.pullFromNextPeer(nil)
	}
}

// pullFromNextPeer pulls from the peer that was not asked for the longest time, or from m if several were not asked at all. A
// peer that does not answer then delays the data by one pullInterval only.
func (r *Router) pullFromNextPeer(m *member) {
	next := m
	for _, h := range r.members.order {
		if c := r.members.byHost[h]; r.pullDue(c) && (next == nil || c.data.pulledAt < next.data.pulledAt) {
			next = c
		}
	}
	if next == nil {
		return
	}
	since := Since{Revision: r.updates.completeTo, Version: r.version()}
	if !r.isAhead(next) {
		since = Since{} // some change was missed before completeTo: pull everything
	}
	next.data.pulledAt, r.updates.pulledAt = r.now, r.now
	r.emit(Pull{next.host, since})
}

// pullDue reports whether a peer's data has differed for so long that it should be pulled now.
func (r *Router) pullDue(m *member) bool {
	if m.data.digest == 0 || !r.differs(m) {
		return false
	}
	wait, interval := pullDelay, pullInterval
	if !r.isAhead(m) {
		wait, interval = fullPullInterval, fullPullInterval
	}
	if r.table == nil {
		wait = 0
	}
	return r.now-m.data.differsSince >= wait && (r.updates.pulledAt == 0 || r.now-r.updates.pulledAt >= interval)
}

// isAhead reports whether a peer has newer data. There may be gaps between completeTo and the highest revision, if a push was
// lost and a later one arrived.
func (r *Router) isAhead(m *member) bool {
	return m.data.version > r.version() || m.data.revision.After(r.updates.completeTo)
}

// differs reports whether a reachable peer has other data than this host.
func (r *Router) differs(m *member) bool {
	return m.data.differsSince > 0 && !m.unreachable && m.data.digest != r.digest()
}

// pushDepartures pushes recent changes that take backend servers out of use to peers whose data has differed for a while. A peer
// whose watch hangs then depends neither on its pulls nor on the heartbeats that it gets. Not in a large fleet, where its readers
// push each change.
func (r *Router) pushDepartures() {
	if r.largeFleet() {
		return
	}
	var to []*member
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if r.differs(m) && r.now-m.data.differsSince >= pullDelay && r.now-m.data.pushedAt >= pullInterval {
			to = append(to, m)
		}
	}
	if len(to) == 0 {
		return
	}
	list := r.recentDepartures()
	if len(list) == 0 {
		return
	}
	for _, m := range to {
		m.data.pushedAt = r.now
		r.pushNextDepartures(m, list)
	}
}

// pushNextDepartures pushes to a peer the departures whose turn it is, in one datagram, as links may be small. Hosts begin with
// different ones, so that all are pushed soon.
func (r *Router) pushNextDepartures(m *member, list []routing.BackendChange) {
	next := slices.IndexFunc(list, func(ch routing.BackendChange) bool { return ch.ID > m.data.pushedDeparture })
	if m.data.pushedDeparture == "" {
		rank, _ := slices.BinarySearch(r.members.order, r.opt.Host)
		next = rank * len(list) / (len(r.members.order) + 1)
	}
	next = max(0, next)
	turn := slices.Concat(list[next:], list[:next])
	turn = turn[:min(len(turn), maxChangesPerPush)]
	m.data.pushedDeparture = turn[len(turn)-1].ID
	r.emitChanges([]string{m.host}, turn)
}

// recentDepartures returns the changes within departureTTL that take backend servers out of use, in order of ID.
func (r *Router) recentDepartures() []routing.BackendChange {
	var list []routing.BackendChange
	for _, b := range r.allBackends() {
		if (b.removed || b.Draining) && r.now-b.changedAt < departureTTL {
			list = append(list, r.latestChange(b))
		}
	}
	return list
}
