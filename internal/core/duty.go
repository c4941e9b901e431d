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
	// maxGroup is the most backend servers in one group: one scheduler hears them all.
	maxGroup = 32
	// readersPerZone is how many hosts of a zone watch the configuration service.
	readersPerZone = 2
	// liveEvery is how often deaths are looked for.
	liveEvery = 50 * time.Millisecond
	// readersSilent is when a host reads the platform itself, since no live host has said for so
	// many heartbeats that it does.
	readersSilent = 5
	forgetEvery   = time.Second
	// auditTurn is how long each host of a zone in turn watches the platform besides its readers.
	auditTurn = 4 * time.Second
)

// dutyState is what this host computes from its membership view.
type dutyState struct {
	live     []string
	liveAt   time.Duration
	forgotAt time.Duration
	shards   map[string]uint32     // shards of each service with backend servers in this zone
	owners   map[GroupKey]string   // scheduler of each group of this zone
	summary  map[GroupKey]groupRow // what schedulers of this zone tell
	groupOf  map[string]GroupKey   // group of each backend server of this zone
	reading  readingMode
}

// groupRow is a scheduler's latest summary of a group.
type groupRow struct {
	*peerpb.ServiceSummary
	at time.Duration
}

func newDutyState() dutyState {
	return dutyState{shards: map[string]uint32{}, owners: map[GroupKey]string{}, summary: map[GroupKey]groupRow{}}
}

func (c *Core) tickDuties() {
	if c.now-c.duty.liveAt >= liveEvery {
		c.duty.liveAt = c.now
		if live := c.view.Live(c.now); !slices.Equal(live, c.duty.live) {
			c.refreshDuties()
		}
		c.refreshReading()
	}
	if c.now-c.duty.forgotAt >= forgetEvery {
		c.duty.forgotAt = c.now
		c.view.Forget(c.now)
	}
}

// refreshDuties computes again which host schedules which group.
func (c *Core) refreshDuties() {
	before := c.duty.live
	c.duty.live = c.view.Live(c.now)
	specs := c.zoneBackends()
	c.countShards(specs)
	changed := c.reassign()
	c.refreshGroups(specs)
	for _, id := range before {
		if !c.view.Reachable(c.now, id) {
			c.hostLost(id)
		}
	}
	c.regroup()
	for _, k := range changed {
		c.ownerChanged(k)
	}
	c.refreshReading()
}

// zoneBackends lists the backend servers of this zone by service, with the host list's word on
// leaving taken in.
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
	c.duty.shards = map[string]uint32{}
	c.duty.groupOf = map[string]GroupKey{}
	for service, list := range specs {
		n := uint32((len(list) + maxGroup - 1) / maxGroup)
		c.duty.shards[service] = n
		for i, b := range list {
			c.duty.groupOf[b.Name] = GroupKey{service, shardOf(i, n)}
		}
	}
}

// shardOf deals a service's servers, sorted by name, into equal groups.
func shardOf(index int, shards uint32) uint32 { return uint32(index) % shards }

// reassign computes the schedulers and returns the groups whose scheduler changed, in order.
func (c *Core) reassign() []GroupKey {
	owners := map[GroupKey]string{}
	var changed []GroupKey
	for service, n := range c.duty.shards {
		for shard := uint32(0); shard < n; shard++ {
			k := GroupKey{service, shard}
			owners[k] = member.Owner(fmt.Sprintf("sched/%s/%d", service, shard), c.duty.live)
			if owners[k] != c.duty.owners[k] {
				changed = append(changed, k)
			}
		}
	}
	c.duty.owners = owners
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

// refreshGroups starts, updates and gives up the groups that this host schedules.
func (c *Core) refreshGroups(specs map[string][]record.Backend) {
	for _, k := range c.groupKeys() {
		if c.duty.owners[k] != c.opt.Self.ID {
			c.decide(k, c.groups[k].Dissolve())
			delete(c.groups, k)
		}
	}
	mine := make([]GroupKey, 0, len(c.duty.owners))
	for k, owner := range c.duty.owners {
		if owner == c.opt.Self.ID {
			mine = append(mine, k)
		}
	}
	sortGroupKeys(mine)
	var watch []WatchedEngine
	for _, k := range mine {
		watch = append(watch, c.refreshGroup(k, specs[k.Service])...)
	}
	c.emit(WatchEngines{watch})
}

// refreshGroup returns the engines to hear for a group.
func (c *Core) refreshGroup(k GroupKey, all []record.Backend) []WatchedEngine {
	service := record.Service{Name: k.Service, Kind: record.ServiceModel, Policy: record.Policies[0]}
	if s := c.conf.Service(k.Service); s != nil {
		service = *s
	}
	g, ok := c.groups[k]
	if !ok {
		others := slices.DeleteFunc(slices.Clone(c.duty.live), func(id string) bool { return id == c.opt.Self.ID })
		g = sched.NewGroup(c.now, c.opt.Sched, service, others, &c.inv)
		c.groups[k] = g
	}
	g.SetService(service)
	g.SetTiers(c.conf.Tiers())
	var specs []record.Backend
	for i, b := range all {
		if shardOf(i, c.duty.shards[k.Service]) == k.Shard {
			specs = append(specs, b)
		}
	}
	c.decide(k, g.SetBackends(c.now, specs))
	if service.Kind != record.ServiceModel {
		return nil
	}
	watch := make([]WatchedEngine, len(specs))
	for i, b := range specs {
		watch[i] = WatchedEngine{b.Name, b.Addr, sched.ReadsLoad(service.Policy)}
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

// readingMode is why a host watches the configuration service.
type readingMode int

const (
	notReading readingMode = iota
	// auditing hosts look for what is newer than they have.
	auditing
	// onDuty hosts read everything, and then watch.
	onDuty
)

// refreshReading decides whether this host watches the configuration service: the first two of the
// zone do; any host does while no live host says that it reaches the service; and each takes a turn
// now and then.
//
// The second rule guards against both readers being cut off from the platform while others are
// not, the third against both being answered by a stale copy of it: no host of the zone would hear
// a change. They hold since every host judges by itself.
func (c *Core) refreshReading() {
	mode := notReading
	if rank := slices.Index(c.duty.live, c.opt.Self.ID); rank >= 0 {
		turn := int(c.now / auditTurn)
		if turn%len(c.duty.live) == rank {
			mode = auditing
		}
	}
	readers := member.Top("reader/"+c.opt.Self.Zone, c.duty.live, readersPerZone)
	silent := c.now-c.gossip.readElsewhere > readersSilent*c.view.Interval()
	if silent || slices.Contains(readers, c.opt.Self.ID) {
		mode = onDuty
	}
	if mode == c.duty.reading {
		return
	}
	if c.duty.reading != notReading {
		c.emit(ReadPlatform{})
	}
	c.duty.reading = mode
	switch mode {
	case auditing:
		c.emit(ReadPlatform{On: true, After: c.conf.Revision()})
	case onDuty:
		c.emit(ReadPlatform{On: true})
	}
}

func (c *Core) hostLost(id string) {
	for _, k := range c.groupKeys() {
		c.decide(k, c.groups[k].HostLost(c.now, id))
	}
}

func (c *Core) tickGossip() {
	if c.now-c.gossip.beatAt >= c.view.Interval() {
		c.sendHeartbeats()
	}
	if c.now-c.gossip.digestAt >= c.gossip.digestEvery {
		c.gossip.digestAt = c.now
		c.sendDigests()
	}
}

func (c *Core) sendHeartbeats() {
	c.gossip.beatAt = c.now
	groups, held, suspects := c.ownSummaries(), c.heldUnder(), c.ownSuspects()
	for _, h := range c.view.Zone() {
		c.sendHeartbeat(h.ID, groups, c.heldBy(held, h.ID), suspects)
	}
	c.confirmHeld(c.opt.Self.ID, c.heldBy(held, c.opt.Self.ID))
}

func (c *Core) sendHeartbeat(to string, groups []*peerpb.ServiceSummary, held []*peerpb.HeldDigest, suspects []*quarantinepb.Suspect) {
	echo, incarnation := c.view.Echo(to)
	c.send(to, &peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		SentMs:          c.nowMS(),
		Draining:        c.drain,
		ConfigRevision:  c.conf.Revision(),
		ConfigDigest:    c.conf.Digest(),
		Groups:          groups,
		Synced:          c.gossip.synced,
		ReadsPlatform:   c.gossip.everRead && c.now-c.gossip.readOK < platformAway,
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
	c.view.Heard(c.now, from, inc, h.SentMs, h.Draining || h.CatchingUp)
	c.view.NoteCatchingUp(from, h.CatchingUp)
	for _, s := range h.Groups {
		s.Scheduler = from
		c.duty.summary[GroupKey{s.Service, s.Shard}] = groupRow{s, c.now}
	}
	c.suspects.ledger.Hear(c.now, h.Suspects)
	if h.ReadsPlatform {
		c.gossip.readElsewhere = c.now
	}
	if c.view.Alive(c.now, from) != wasLive {
		c.refreshDuties()
	}
	c.confirmHeld(from, h.Held)
	c.compareConfig(from, h.ConfigRevision, h.ConfigDigest)
	c.syncedByPeer(h)
	c.answerWoken(from, h)
	c.hearAfterWaking(from, h)
}
