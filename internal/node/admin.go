package node

import (
	"cmp"
	"math"

	"fireflyshift/internal/core"
	"fireflyshift/internal/router"
)

// adminSource implements admin.Source with the state of a host.
type adminSource struct {
	node  *Node
	trail func(id string) []core.TraceEvent
}

// Ready implements admin.Source.
func (o adminSource) Ready() bool { return o.node.ready() }

// Healthy implements admin.Source. It reports whether the control thread responds.
func (o adminSource) Healthy() bool {
	_, ok := query(o.node.control, func(*router.Router) struct{} { return struct{}{} })
	return ok
}

// Explain implements admin.Source.
func (o adminSource) Explain(id string) ([]core.TraceEvent, bool) { return o.trail(id), true }

// Status implements admin.Source.
func (o adminSource) Status() (core.Status, bool) {
	v, ok := query(o.node.control, (*router.Router).View)
	if !ok {
		return core.Status{}, false
	}
	s := core.Status{Host: o.node.set.Name, Zone: o.node.set.Zone, Ready: v.Ready, Draining: v.Draining, UptimeMS: v.Now.Milliseconds(),
		Revision: v.Version, Digest: v.Digest, Reading: v.Reading, PlatformOK: v.StoreOK, Requests: v.Requests, Violations: v.Violations,
		StoreAgeMS: v.StoreAge.Milliseconds(), StoreEra: v.Era}
	for _, p := range v.Peers {
		s.Peers = append(s.Peers, core.PeerStatus{Host: p.Host, Zone: p.Zone, Addr: p.Host, Alive: p.Reachable, AgeMS: p.Age.Milliseconds()})
	}
	for _, q := range v.Quarantined {
		s.Quarantined = append(s.Quarantined, core.QuarantineStatus{Kind: q.Kind, Digest: q.Digest, Workspace: q.Workspace, Ends: q.Ends,
			AgeMS: q.Age.Milliseconds(), NextTrialMS: q.TrialIn.Milliseconds()})
	}
	s.Suspects = v.Suspects
	s.Queues = queueStatus(v.Queues)
	s.EarlySpill = spillStatus(v.Spill)
	s.Streams, s.StreamsDropped = v.Streams, v.StreamsDropped
	for _, b := range v.Backends {
		status := core.BackendStatus{Name: b.ID, Service: b.Service, Zone: b.Zone, Addr: b.Addr, Version: b.Version, State: b.State, Owner: b.Owner,
			Own: b.Own, Others: b.Others, Slots: b.Slots, IntervalMS: float64(b.Interval.Microseconds()) / 1000, LearnedLimit: b.LearnedLimit}
		if l := b.RateLimit; l != nil {
			status.RateLimit = &core.RateLimitStatus{PerSecond: l.PerSecond, Share: l.Share, SinceMS: (v.Now - l.Since).Milliseconds(), Sent: l.Sent}
		}
		s.Backends = append(s.Backends, status)
	}
	return s, true
}

// queueStatus converts the admission queues for operators.
func queueStatus(queues []router.QueueView) []core.QueueStatus {
	var out []core.QueueStatus
	for _, q := range queues {
		s := core.QueueStatus{Service: q.Service, Requests: q.Requests, Room: finite(q.Room), RoomPerSlot: finite(q.PerSlot)}
		for _, wait := range q.Wait {
			ms := int64(-1)
			if wait >= 0 {
				ms = wait.Milliseconds()
			}
			s.WaitMS = append(s.WaitMS, ms)
		}
		for _, w := range q.Workspaces {
			s.Workspaces = append(s.Workspaces, core.QueueWorkspaceStatus{Workspace: w.Workspace, Weight: cmp.Or(finite(w.Weight), 1), Waiting: w.Waiting,
				Offered: w.Offered, Granted: w.Granted, Refused: w.Refused, Provisional: w.Provisional, WorkMS: finite(w.Work), Share: finite(w.Share)})
		}
		out = append(out, s)
	}
	return out
}

// finite returns 0 for values that JSON cannot represent: one of them would make the whole status unreadable.
func finite(f float64) float64 {
	if math.IsNaN(f) || math.IsInf(f, 0) {
		return 0
	}
	return f
}
