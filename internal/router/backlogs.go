package router

import (
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
)

const (
	// maxBacklogWait is the longest wait in reports, and stands for a wait without end.
	maxBacklogWait = time.Minute
	// reportedPriority is the priority whose wait is reported to other hosts.
	reportedPriority = admission.Priorities / 2
)

// ownWait returns the wait at this host's queue.
func (r *Router) ownWait(service string) time.Duration {
	if s := r.queues.byService[service]; s != nil && s.queue.Len() > 0 {
		return s.backlogWait(r.now)
	}
	return 0
}

// backlogWait returns the predicted wait of a request behind all others. It is kept for maintenanceInterval, as it takes a pass over
// all workspaces.
func (s *serviceQueue) backlogWait(now time.Duration) time.Duration {
	if s.waitAt > 0 && now-s.waitAt < maintenanceInterval {
		return s.wait
	}
	s.wait, s.waitAt = maxBacklogWait, now
	if wait := s.queue.View(now).Wait[reportedPriority]; wait >= 0 {
		s.wait = min(wait, maxBacklogWait)
	}
	return s.wait
}

// backlogsToSend returns the queues that hold requests, for other hosts.
func (r *Router) backlogsToSend() []*gossippb.Backlog {
	var out []*gossippb.Backlog
	for _, service := range r.queues.services() {
		s := r.queues.byService[service]
		if n := s.queue.Len(); n > 0 {
			out = append(out, &gossippb.Backlog{Service: hashOfService(service), Requests: uint32(n), WaitMs: uint32(s.backlogWait(r.now).Milliseconds())})
		}
	}
	return out
}

// sendBacklogs sends the queues of a host of a small fleet to the others, and once that there are none any more.
func (r *Router) sendBacklogs() {
	list := r.backlogsToSend()
	if len(list) > 0 || r.queues.backlogSent {
		r.emit(Send{To: r.ownerPeers(), Packet: &gossippb.Packet{Occupancy: &gossippb.Occupancy{Backlogs: list}}})
	}
	r.queues.backlogSent = len(list) > 0
}

// backlogReport is what an owner has last reported of its admission queues: the predicted waits by hash of the service.
type backlogReport struct {
	at    time.Duration
	waits map[uint32]time.Duration
}

func (r *Router) applyBacklogs(from string, list []*gossippb.Backlog) {
	m, ok := r.members.byHost[from]
	if !ok || !r.queueing() {
		return
	}
	m.backlogs = backlogReport{at: r.now}
	for _, l := range list {
		if m.backlogs.waits == nil {
			m.backlogs.waits = map[uint32]time.Duration{}
		}
		m.backlogs.waits[l.Service] = time.Duration(l.WaitMs) * time.Millisecond
	}
}

// noteWait records the wait that an owner has predicted for one request until its next report.
func (r *Router) noteWait(owner, service string, wait time.Duration) {
	m, ok := r.members.byHost[owner]
	if !ok {
		return
	}
	if m.backlogs.waits == nil {
		m.backlogs.waits = map[uint32]time.Duration{}
	}
	m.backlogs.at = r.now
	m.backlogs.waits[hashOfService(service)] = wait
}

// reportedWait returns the wait at an owner as far as this host knows.
func (r *Router) reportedWait(owner, service string) time.Duration {
	if owner == r.opt.Host {
		return r.ownWait(service)
	}
	m, ok := r.members.byHost[owner]
	if !ok || r.now-m.backlogs.at > occupancyStaleIntervals*r.occupancyInterval() {
		return 0
	}
	return m.backlogs.waits[hashOfService(service)]
}
