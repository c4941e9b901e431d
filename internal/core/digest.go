package core

import (
	"fmt"
	"slices"
	"time"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// zoneReporters is how many hosts of a zone speak to each other zone.
	zoneReporters = 2
	// Zones tell each other of their load and configuration less often the more there are, so that
	// the bytes per host stay level.
	digestIntervalPerZone = 200 * time.Millisecond
	minDigestInterval     = 500 * time.Millisecond
	maxDigestInterval     = 2 * time.Second
	// digestTTL is when another zone's word no longer counts.
	digestTTL = 3 * maxDigestInterval
)

// zoneState is the latest word of another zone.
type zoneState struct {
	digest *peerpb.ZoneDigest
	at     time.Duration
}

// sendDigests tells other zones of this one. Two hosts a zone speak to each other zone, to two
// hosts there that change with time, so that a dead one costs one beat.
func (c *Core) sendDigests() {
	zones := c.view.OtherZones()
	c.gossip.digestInterval = min(max(time.Duration(len(zones))*digestIntervalPerZone, minDigestInterval), maxDigestInterval)
	groups, suspects := c.zoneSummaries(), c.suspects.ledger.ForZones(c.now)
	for _, zone := range zones {
		if !slices.Contains(member.Top("delegate/"+zone, c.roles.live, zoneReporters), c.opt.Self.ID) {
			continue
		}
		digest := &peerpb.ZoneDigest{Zone: c.opt.Self.Zone, Sequence: c.nowMS(), Origin: c.opt.Self.ID,
			Groups: groups, ConfigRevision: c.conf.Revision(), ConfigDigest: c.conf.Digest(), Suspects: suspects}
		for _, id := range c.digestTargets(zone) {
			c.send(id, &peerpb.Message{Body: &peerpb.Message_ZoneDigest{ZoneDigest: digest}})
		}
	}
}

func (c *Core) digestTargets(zone string) []string {
	var ids []string
	for _, h := range c.view.InZone(zone) {
		ids = append(ids, h.ID)
	}
	turn := uint64(c.now / c.gossip.digestInterval)
	return member.Top(fmt.Sprintf("digest/%s/%d", c.opt.Self.ID, turn), ids, zoneReporters)
}

// zoneSummaries gives one row a service: the group with the most room speaks for the zone.
func (c *Core) zoneSummaries() []*peerpb.ServiceSummary {
	best := map[string]*peerpb.ServiceSummary{}
	consider := func(s *peerpb.ServiceSummary, scheduler string) {
		old, ok := best[s.Service]
		if !ok || s.Free > old.Free {
			best[s.Service] = &peerpb.ServiceSummary{Service: s.Service, Shard: s.Shard, Scheduler: scheduler,
				Free: s.Free, Waiting: s.Waiting, LowestRunning: s.LowestRunning}
		}
	}
	for _, s := range c.ownSummaries() {
		consider(s, c.opt.Self.ID)
	}
	keys := make([]GroupKey, 0, len(c.roles.summaries))
	for k := range c.roles.summaries {
		keys = append(keys, k)
	}
	sortGroupKeys(keys)
	for _, k := range keys {
		row := c.roles.summaries[k]
		if c.now-row.at <= digestTTL && row.Scheduler == c.roles.schedulers[k] {
			consider(row.ServiceSummary, row.Scheduler)
		}
	}
	services := make([]string, 0, len(best))
	for name := range best {
		services = append(services, name)
	}
	slices.Sort(services)
	out := make([]*peerpb.ServiceSummary, len(services))
	for i, name := range services {
		out[i] = best[name]
	}
	return out
}

// zoneDigest keeps the newest word of another zone and relays it inside this one.
func (c *Core) zoneDigest(from string, d *peerpb.ZoneDigest) {
	if d.Zone == c.opt.Self.Zone || d.Zone == "" {
		return
	}
	old, ok := c.gossip.zones[d.Zone]
	if ok && old.digest.Origin == d.Origin && d.Sequence <= old.digest.Sequence && c.now-old.at < digestTTL {
		return
	}
	c.gossip.zones[d.Zone] = &zoneState{d, c.now}
	c.suspects.ledger.Merge(c.now, d.Suspects)
	if d.Relayed {
		return
	}
	c.reconcileConfig(from, d.ConfigRevision, d.ConfigDigest)
	if ok && c.now-old.at < c.gossip.digestInterval/2 {
		return // another host has just relayed this zone's word
	}
	relay := &peerpb.ZoneDigest{Zone: d.Zone, Sequence: d.Sequence, Origin: d.Origin, Groups: d.Groups,
		ConfigRevision: d.ConfigRevision, ConfigDigest: d.ConfigDigest, Suspects: d.Suspects, Relayed: true}
	for _, h := range c.view.ZonePeers() {
		c.send(h.ID, &peerpb.Message{Body: &peerpb.Message_ZoneDigest{ZoneDigest: relay}})
	}
}
