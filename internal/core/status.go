package core

import (
	"fireflyshift/internal/sched"
)

// Status is the state of a host as shown to operators.
type Status struct {
	Host        string        `json:"host"`
	Zone        string        `json:"zone"`
	Incarnation uint64        `json:"incarnation"`
	Ready       bool          `json:"ready"`
	Draining    bool          `json:"draining"`
	UptimeMS    int64         `json:"uptime_ms"`
	Revision    uint64        `json:"config_revision"`
	Digest      uint64        `json:"config_digest"`
	Reading     bool          `json:"reads_platform"`
	PlatformOK  bool          `json:"platform_ok"`
	Requests    int           `json:"requests"`
	Violations  int           `json:"invariant_violations"`
	Peers       []PeerStatus  `json:"peers"`
	Groups      []GroupStatus `json:"groups"`
	Refused     []Refused     `json:"refused_records"`
	Tickets     int           `json:"ticket_claims"`
	// Backends are the backend servers as seen by a host of the users' platform, where each host decides
	// on its own; empty elsewhere.
	Backends []BackendStatus `json:"beliefs,omitempty"`
	// StoreAgeMS is the age of the latest update from the platform's store there, -1 if there is none.
	StoreAgeMS int64 `json:"store_age_ms"`
	// StoreEra counts how often that store was restored from an older copy.
	StoreEra uint64 `json:"store_era,omitempty"`
	// Quarantined are the requests that are kept from backend servers there. Suspects is the number of
	// requests under observation, including these.
	Quarantined []QuarantineStatus `json:"quarantined,omitempty"`
	Suspects    int                `json:"suspects,omitempty"`
	// Streams is the number of streams of which the host knows what began them, StreamsDropped how many it did not record because
	// there were too many. On the users' platform only.
	Streams        int `json:"streams,omitempty"`
	StreamsDropped int `json:"streams_dropped,omitempty"`
	// Queues are the admission queues of the host as an owner of backend servers, on the users' platform only.
	Queues []QueueStatus `json:"queues,omitempty"`
	// EarlySpill is what the host sends to other zones before its own is full, by service. On the users' platform only, and empty if
	// it is off.
	EarlySpill []SpillStatus `json:"early_spill,omitempty"`
}

// SpillStatus is the forecast of the load of one service, from which a host computes the shares of new requests for other zones.
type SpillStatus struct {
	Service string            `json:"service"`
	Zones   []SpillZoneStatus `json:"zones"`
}

// SpillZoneStatus is one zone in such a forecast. Capacity, Demand and Expected are in milliseconds of engine time per second, at an
// engine with the default speed.
type SpillZoneStatus struct {
	Zone     string  `json:"zone"`
	Capacity float64 `json:"capacity_ms_per_s"`
	Demand   float64 `json:"demand_ms_per_s"`   // of the zone's own callers, by the latest report
	Expected float64 `json:"expected_ms_per_s"` // demand by the forecast
	AgeMS    int64   `json:"age_ms"`            // of the latest report; -1 if there is none that counts
	Share    float64 `json:"share"`             // of the host's new requests, from 0 to 1
	// Offered, Sent and NoSlot count requests since the host started: those that the share was for, and of these those that got a
	// slot there and those that did not.
	Offered int `json:"offered"`
	Sent    int `json:"sent"`
	NoSlot  int `json:"no_slot"`
}

// QueueStatus is the admission queue of one service at its owner.
type QueueStatus struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"` // waiting
	// Room is the room rate, in milliseconds of engine time granted per second while requests wait, RoomPerSlot its part of one slot.
	Room        float64 `json:"room_ms_per_s"`
	RoomPerSlot float64 `json:"slot_room_ms_per_s"`
	// WaitMS is the predicted wait by priority, the most urgent first; -1 if such a request would not be served.
	WaitMS     []int64                `json:"wait_ms"`
	Workspaces []QueueWorkspaceStatus `json:"workspaces,omitempty"`
}

// QueueWorkspaceStatus is one workspace at an admission queue. All but Weight and Waiting are of the last ten seconds.
type QueueWorkspaceStatus struct {
	Workspace string  `json:"workspace"` // empty for public routes
	Weight    float64 `json:"weight"`
	Waiting   int     `json:"waiting"`
	Offered   int     `json:"offered"` // requests that asked for a slot, each counted once
	Granted   int     `json:"granted"`
	Refused   int     `json:"refused"`
	// Provisional are the requests that were queued although the forecast had no slot for them.
	Provisional int     `json:"provisional,omitempty"`
	WorkMS      float64 `json:"work_ms"` // engine time of the granted requests
	Share       float64 `json:"share"`   // of all workspaces' work, from 0 to 1
}

// QuarantineStatus is a request that is kept from backend servers because it has crashed several of them.
type QuarantineStatus struct {
	// Kind is what is in quarantine: a request, or a part of prompts. For a part, Workspace is the first one seen with it.
	Kind        string `json:"kind"`
	Digest      string `json:"digest"`
	Workspace   string `json:"workspace"`
	Ends        int    `json:"ends"`
	AgeMS       int64  `json:"latest_end_age_ms"`
	NextTrialMS int64  `json:"next_trial_ms"`
}

// BackendStatus is the state of a backend server as seen by a host.
type BackendStatus struct {
	Name       string  `json:"name"`
	Service    string  `json:"service"`
	Zone       string  `json:"zone"`
	Addr       string  `json:"addr"`
	Version    string  `json:"version,omitempty"` // of its software
	State      string  `json:"state"`
	Owner      string  `json:"owner,omitempty"`
	Own        int     `json:"in_flight_own"`
	Others     int     `json:"in_flight_others"`
	Slots      int     `json:"slots"`
	IntervalMS float64 `json:"interval_ms"`
	// LearnedLimit is the number of slots that the host uses as the engine slows down beyond it; zero if it has learned none.
	LearnedLimit int `json:"learned_limit,omitempty"`
	// RateLimit is nil if the backend server has stated none.
	RateLimit *RateLimitStatus `json:"rate_limit,omitempty"`
}

// RateLimitStatus is the rate limit that a backend server states in its answers, in requests per second.
type RateLimitStatus struct {
	PerSecond float64 `json:"per_second"` // from all hosts together
	Share     float64 `json:"share"`      // of this host
	SinceMS   int64   `json:"since_ms"`   // time since it was first stated
	Sent      int     `json:"sent"`       // by this host since then
}

// PeerStatus is another host as seen by this one.
type PeerStatus struct {
	Host  string `json:"host"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Alive bool   `json:"alive"`
	AgeMS int64  `json:"age_ms,omitempty"`
}

// GroupStatus is a group that this host schedules.
type GroupStatus struct {
	Service  string                `json:"service"`
	Shard    uint32                `json:"shard"`
	Waiting  int                   `json:"waiting"`
	Backends []sched.BackendStatus `json:"backends"`
}

// Refused is a published record that this host refuses, with the reason and the revision that is active
// instead.
type Refused struct {
	Record   string `json:"record"`
	Revision uint64 `json:"revision"`
	InForce  uint64 `json:"revision_in_force"`
	Reason   string `json:"reason"`
}

// Status returns the state of this host for operators.
func (c *Core) Status() Status {
	s := Status{
		Host:        c.opt.Self.ID,
		Zone:        c.opt.Self.Zone,
		Incarnation: c.opt.Incarnation,
		Ready:       c.Ready(),
		Draining:    c.draining,
		UptimeMS:    c.now.Milliseconds(),
		Revision:    c.conf.Revision(),
		Digest:      c.conf.Digest(),
		Suspects:    len(c.suspects.ledger.Cases()),
		Reading:     c.roles.readMode == reading,
		PlatformOK:  c.gossip.platformRead && !c.gossip.failing,
		Requests:    len(c.entry.requests),
		Violations:  c.inv.Total(),
		Tickets:     c.tickets.Len(),
	}
	for _, h := range c.view.ZonePeers() {
		s.Peers = append(s.Peers, PeerStatus{Host: h.ID, Zone: h.Zone, Addr: h.Addr, Alive: c.view.Alive(c.now, h.ID)})
	}
	for _, k := range c.groupKeys() {
		g := c.groups[k]
		s.Groups = append(s.Groups, GroupStatus{k.Service, k.Shard, g.Summary(c.now).Waiting, g.Status(c.now)})
	}
	for _, r := range c.conf.RefusedRecords() {
		s.Refused = append(s.Refused, Refused{r.Key.String(), r.Revision, c.conf.RevisionOf(r.Key), r.Reason})
	}
	for _, q := range c.suspects.ledger.Quarantined() {
		s.Quarantined = append(s.Quarantined, QuarantineStatus{Kind: q.Kind.String(), Digest: q.Digest.String(), Workspace: q.Workspace, Ends: len(q.Ends),
			AgeMS: (c.now - q.Ends[len(q.Ends)-1].At).Milliseconds(), NextTrialMS: max(0, q.TrialAt()-c.now).Milliseconds()})
	}
	return s
}
