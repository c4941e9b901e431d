package core

import (
	"fmt"
	"slices"
	"time"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
)

const (
	// zoneReporters is the number of hosts per zone that report to each other zone, and of hosts there
	// that they report to.
	zoneReporters = 2
	// The interval between digests grows with the number of zones, so that the bytes per host stay
	// constant.
	digestIntervalPerZone = 200 * time.Millisecond
	minDigestInterval     = 500 * time.Millisecond
	maxDigestInterval     = 2 * time.Second
	// digestTTL is the age at which a digest of another zone is ignored.
	digestTTL = 3 * maxDigestInterval
)

// zoneState is the latest digest of another zone and the time at which it was received.
type zoneState struct {
	digest *peerpb.ZoneDigest
	at     time.Duration
}

// sendDigests sends digests of this zone to the other zones. The receivers change with time, so that a
// dead receiver costs one digest only.
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

// zoneSummaries returns one summary per service, sorted by service: that of the group with the most free
// slots.
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

// zoneDigest keeps the latest digest of another zone and relays it within this zone.
func (c *Core) zoneDigest(from string, d *peerpb.ZoneDigest) {
	if d.Zone == c.opt.Self.Zone || d.Zone == "" {
		return
	}
	old, ok := c.gossip.zones[d.Zone]
	if ok && old.digest.Origin == d.Origin && d.Sequence <= old.digest.Sequence && c.now-old.at < digestTTL {
		return
	}
	c.gossip.zones[d.Zone] = &zoneState{d, c.now}
	c.suspects.runs.Merge(c.suspects.ledger, c.now, d.Suspects)
	if d.Relayed {
		return
	}
	c.reconcileConfig(from, d.ConfigRevision, d.ConfigDigest)
	if ok && c.now-old.at < c.gossip.digestInterval/2 {
		return // another host has just relayed a digest of this zone
	}
	relay := &peerpb.ZoneDigest{Zone: d.Zone, Sequence: d.Sequence, Origin: d.Origin, Groups: d.Groups,
		ConfigRevision: d.ConfigRevision, ConfigDigest: d.ConfigDigest, Suspects: d.Suspects, Relayed: true}
	for _, h := range c.view.ZonePeers() {
		c.send(h.ID, &peerpb.Message{Body: &peerpb.Message_ZoneDigest{ZoneDigest: relay}})
	}
}
