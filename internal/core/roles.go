package core

import (
	"fmt"
	"slices"
	"time"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/quarantine/quarantinepb"
	"fireflyshift/internal/record"
	"fireflyshift/internal/sched"
)

const (
	// maxGroupSize is the maximum number of backend servers per group: one scheduler handles the messages
	// of all of them.
	maxGroupSize = 32
	// readersPerZone is the number of hosts per zone that watch the configuration service.
	readersPerZone = 2
	// livenessInterval is how often the set of live hosts is checked for changes.
	livenessInterval = 50 * time.Millisecond
	// readerTimeoutHeartbeats is the number of heartbeat intervals after which a host reads the platform
	// itself if no live host has reported that it does.
	readerTimeoutHeartbeats = 5
	dropStaleInterval       = time.Second
	// auditDuration is how long each host of a zone in turn watches the platform, in addition to the
	// zone's readers.
	auditDuration = 4 * time.Second
)

// roleState is what this host derives from its membership view.
type roleState struct {
	live           []string
	livenessAt     time.Duration
	droppedStaleAt time.Duration
	shards         map[string]uint32         // number of shards of each service with backend servers in this zone
	schedulers     map[GroupKey]string       // scheduler of each group of this zone
	summaries      map[GroupKey]groupSummary // latest summaries from the schedulers of this zone
	groupOf        map[string]GroupKey       // group of each backend server of this zone
	readMode       readMode
}

// groupSummary is the latest summary of a group, with the time at which it was received.
type groupSummary struct {
	*peerpb.ServiceSummary
	at time.Duration
}

func newRoleState() roleState {
	return roleState{shards: map[string]uint32{}, schedulers: map[GroupKey]string{}, summaries: map[GroupKey]groupSummary{}}
}

func (c *Core) tickRoles() {
	if c.now-c.roles.livenessAt >= livenessInterval {
		c.roles.livenessAt = c.now
		if live := c.view.Live(c.now); !slices.Equal(live, c.roles.live) {
			c.refreshRoles()
		}
		c.refreshReadMode()
	}
	if c.now-c.roles.droppedStaleAt >= dropStaleInterval {
		c.roles.droppedStaleAt = c.now
		c.view.DropStale(c.now)
	}
}

// refreshRoles recomputes which host schedules which group and which hosts read the platform.
func (c *Core) refreshRoles() {
	before := c.roles.live
	c.roles.live = c.view.Live(c.now)
	specs := c.zoneBackends()
	c.countShards(specs)
	changed := c.reassign()
	c.refreshGroups(specs)
	for _, id := range before {
		if !c.view.Reachable(c.now, id) {
			c.hostLost(id)
		}
	}
	c.updateTargets()
	for _, k := range changed {
		c.schedulerChanged(k)
	}
	c.refreshReadMode()
}

// zoneBackends lists the backend servers of this zone by service. Servers that the host list shows as
// leaving are marked so.
func (c *Core) zoneBackends() map[string][]record.Backend {
	out := map[string][]record.Backend{}
	for _, b := range c.conf.Backends() {
		if b.Zone != c.opt.Self.Zone {
			continue
		}
		spec := *b
		spec.Leaving = spec.Leaving || c.leaving[spec.Addr]
		out[spec.Service] = append(out[spec.Service], spec)
	}
	return out
}

func (c *Core) countShards(specs map[string][]record.Backend) {
	c.roles.shards = map[string]uint32{}
	c.roles.groupOf = map[string]GroupKey{}
	for service, list := range specs {
		n := uint32((len(list) + maxGroupSize - 1) / maxGroupSize)
		c.roles.shards[service] = n
		for i, b := range list {
			c.roles.groupOf[b.Name] = GroupKey{service, shardOf(i, n)}
		}
	}
}

// shardOf distributes the servers of a service, sorted by name, over shards of equal size.
func shardOf(index int, shards uint32) uint32 { return uint32(index) % shards }

// reassign computes the scheduler of each group. It returns the groups whose scheduler changed, sorted.
func (c *Core) reassign() []GroupKey {
	schedulers := map[GroupKey]string{}
	var changed []GroupKey
	for service, n := range c.roles.shards {
		for shard := uint32(0); shard < n; shard++ {
			k := GroupKey{service, shard}
			schedulers[k] = member.Owner(fmt.Sprintf("sched/%s/%d", service, shard), c.roles.live)
			if schedulers[k] != c.roles.schedulers[k] {
				changed = append(changed, k)
			}
		}
	}
	c.roles.schedulers = schedulers
	sortGroupKeys(changed)
	return changed
}

func sortGroupKeys(keys []GroupKey) {
	slices.SortFunc(keys, func(a, b GroupKey) int {
		if a.Service != b.Service {
			if a.Service < b.Service {
				return -1
			}
			return 1
		}
		return int(a.Shard) - int(b.Shard)
	})
}

// refreshGroups creates, updates and dissolves the groups that this host schedules.
func (c *Core) refreshGroups(specs map[string][]record.Backend) {
	for _, k := range c.groupKeys() {
		if c.roles.schedulers[k] != c.opt.Self.ID {
			c.decide(k, c.groups[k].Dissolve())
			delete(c.groups, k)
		}
	}
	own := make([]GroupKey, 0, len(c.roles.schedulers))
	for k, scheduler := range c.roles.schedulers {
		if scheduler == c.opt.Self.ID {
			own = append(own, k)
		}
	}
	sortGroupKeys(own)
	var watch []WatchedEngine
	for _, k := range own {
		watch = append(watch, c.refreshGroup(k, specs[k.Service])...)
	}
	c.emit(WatchEngines{watch})
}

// refreshGroup returns the engines to watch for a group.
func (c *Core) refreshGroup(k GroupKey, all []record.Backend) []WatchedEngine {
	service := record.Service{Name: k.Service, Kind: record.ServiceModel, Policy: record.Policies[0]}
	if s := c.conf.Service(k.Service); s != nil {
		service = *s
	}
	g, ok := c.groups[k]
	if !ok {
		others := slices.DeleteFunc(slices.Clone(c.roles.live), func(id string) bool { return id == c.opt.Self.ID })
		g = sched.NewGroup(c.now, c.opt.Sched, service, others, &c.inv)
		c.groups[k] = g
	}
	g.SetService(service)
	g.SetTiers(c.conf.Tiers())
	var specs []record.Backend
	for i, b := range all {
		if shardOf(i, c.roles.shards[k.Service]) == k.Shard {
			specs = append(specs, b)
		}
	}
	c.decide(k, g.SetBackends(c.now, specs))
	if service.Kind != record.ServiceModel {
		return nil
	}
	watch := make([]WatchedEngine, len(specs))
	for i, b := range specs {
		watch[i] = WatchedEngine{b.Name, b.Addr, sched.UsesLoadReports(service.Policy)}
	}
	return watch
}

func (c *Core) groupKeys() []GroupKey {
	keys := make([]GroupKey, 0, len(c.groups))
	for k := range c.groups {
		keys = append(keys, k)
	}
	sortGroupKeys(keys)
	return keys
}

// readMode is how a host watches the configuration service.
type readMode int

const (
	notReading readMode = iota
	// auditing hosts watch for records newer than theirs, for auditDuration.
	auditing
	// reading hosts read all records first, and then watch.
	reading
)

// refreshReadMode decides whether this host watches the configuration service. Three rules apply: the
// first two hosts of the zone watch it; any host does if no live host reports that it reaches the service;
// and each host watches it for auditDuration in turn.
//
// The second rule covers readers that are cut off from the platform while other hosts are not. The third
// covers readers that are all served by a stale replica: without it no host of the zone would receive a
// change. Each host applies the rules on its own, without depending on the reports of the readers.
func (c *Core) refreshReadMode() {
	mode := notReading
	if rank := slices.Index(c.roles.live, c.opt.Self.ID); rank >= 0 {
		turn := int(c.now / auditDuration)
		if turn%len(c.roles.live) == rank {
			mode = auditing
		}
	}
	readers := member.Top("reader/"+c.opt.Self.Zone, c.roles.live, readersPerZone)
	noReader := c.now-c.gossip.peerReadAt > readerTimeoutHeartbeats*c.view.HeartbeatInterval()
	if noReader || slices.Contains(readers, c.opt.Self.ID) {
		mode = reading
	}
	if mode == c.roles.readMode {
		return
	}
	if c.roles.readMode != notReading {
		c.emit(ReadPlatform{})
	}
	c.roles.readMode = mode
	switch mode {
	case auditing:
		c.emit(ReadPlatform{On: true, After: c.conf.Revision()})
	case reading:
		c.emit(ReadPlatform{On: true})
	}
}

func (c *Core) hostLost(id string) {
	for _, k := range c.groupKeys() {
		c.decide(k, c.groups[k].HostLost(c.now, id))
	}
}

func (c *Core) tickGossip() {
	if c.now-c.gossip.heartbeatAt >= c.view.HeartbeatInterval() {
		c.sendHeartbeats()
	}
	if c.now-c.gossip.digestAt >= c.gossip.digestInterval {
		c.gossip.digestAt = c.now
		c.sendDigests()
	}
}

func (c *Core) sendHeartbeats() {
	c.gossip.heartbeatAt = c.now
	groups, held, suspects := c.ownSummaries(), c.heldDigests(), c.suspectsToReport()
	for _, h := range c.view.ZonePeers() {
		c.sendHeartbeat(h.ID, groups, c.heldDigestsFor(held, h.ID), suspects)
	}
	c.confirmHeld(c.opt.Self.ID, c.heldDigestsFor(held, c.opt.Self.ID))
}

func (c *Core) sendHeartbeat(to string, groups []*peerpb.ServiceSummary, held []*peerpb.HeldDigest, suspects []*quarantinepb.Suspect) {
	echo, incarnation := c.view.Echo(to)
	c.send(to, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		SentMs:          c.nowMS(),
		Draining:        c.draining,
		ConfigRevision:  c.conf.Revision(),
		ConfigDigest:    c.conf.Digest(),
		Groups:          groups,
		Synced:          c.gossip.synced,
		ReadsPlatform:   c.gossip.platformRead && c.now-c.gossip.platformReadAt < platformDownAfter,
		Held:            held,
		CatchingUp:      c.view.CatchingUp(),
		EchoMs:          echo,
		EchoIncarnation: incarnation,
		Suspects:        suspects,
	}}})
}

func (c *Core) ownSummaries() []*peerpb.ServiceSummary {
	var out []*peerpb.ServiceSummary
	for _, k := range c.groupKeys() {
		s := c.groups[k].Summary(c.now)
		out = append(out, &peerpb.ServiceSummary{Service: k.Service, Shard: k.Shard, Free: uint32(s.Free),
			Waiting: uint32(s.Waiting), LowestRunning: uint32(s.LowestRunning + 1)})
	}
	return out
}

func (c *Core) heartbeat(from string, h *peerpb.Heartbeat) {
	inc := c.view.Incarnation(from)
	wasLive := c.view.Alive(c.now, from)
	c.view.HeartbeatReceived(c.now, from, inc, h.SentMs, h.Draining || h.CatchingUp)
	c.view.SetPeerCatchingUp(from, h.CatchingUp)
	for _, s := range h.Groups {
		s.Scheduler = from
		c.roles.summaries[GroupKey{s.Service, s.Shard}] = groupSummary{s, c.now}
	}
	c.suspects.runs.Merge(c.suspects.ledger, c.now, h.Suspects)
	if h.ReadsPlatform {
		c.gossip.peerReadAt = c.now
	}
	if c.view.Alive(c.now, from) != wasLive {
		c.refreshRoles()
	}
	c.confirmHeld(from, h.Held)
	c.reconcileConfig(from, h.ConfigRevision, h.ConfigDigest)
	c.markSyncedByPeer(h)
	c.answerCatchingUp(from, h)
	c.catchUpFromHeartbeat(from, h)
}
