package core

import (
	"time"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
)

const (
	// fullPullInterval limits how often a full copy is pulled: two software versions may refuse different
	// records, and so have different digests, for the duration of a rollout.
	fullPullInterval = 5 * time.Second
	pullInterval     = 200 * time.Millisecond
	// platformDownAfter is how long reads of the configuration service must fail until it counts as down.
	platformDownAfter = 3 * time.Second
	// Limits of one Records message.
	maxRecordsPerMessage = 256
	maxBytesPerMessage   = 512 << 10
)

// gossipState is what this host knows of the configuration and of the load in other zones.
type gossipState struct {
	synced         bool
	failingSince   time.Duration
	failing        bool
	platformReadAt time.Duration // latest successful read of the platform
	platformRead   bool
	peerReadAt     time.Duration // latest time that a live host reported that it reads the platform
	pulledAt       time.Duration
	fullPulledAt   time.Duration
	heartbeatAt    time.Duration
	digestAt       time.Duration
	digestInterval time.Duration
	zones          map[string]*zoneState
}

func newGossipState() gossipState {
	return gossipState{zones: map[string]*zoneState{}, digestInterval: minDigestInterval, pulledAt: -pullInterval, fullPulledAt: -fullPullInterval}
}

func (c *Core) platformRecords(e PlatformRecords) {
	c.gossip.failing = false
	c.gossip.platformReadAt, c.gossip.platformRead = c.now, true
	c.applyRecords(e.Records, true)
	if e.Current && c.conf.Revision() > 0 {
		c.gossip.synced = true
	}
	if e.Current {
		c.catchUp.records = false
		c.tickCatchUp()
	}
}

func (c *Core) platformFailed() {
	if !c.gossip.failing {
		c.gossip.failing, c.gossip.failingSince = true, c.now
	}
	if c.now-c.gossip.failingSince >= platformDownAfter && c.conf.Revision() > 0 {
		c.gossip.synced = true
	}
}

// applyRecords applies records from any source. Records that were read from the platform are forwarded to
// the zone peers.
func (c *Core) applyRecords(raws []record.Raw, fromPlatform bool) {
	before := c.conf.Revision()
	applied := c.conf.Apply(raws)
	c.inv.Check(c.conf.Revision() >= before, "configuration went back from revision %d to %d", before, c.conf.Revision())
	if len(applied) == 0 {
		return
	}
	if fromPlatform {
		for _, h := range c.view.ZonePeers() {
			c.sendRecords(h.ID, applied)
		}
	}
	c.emit(ConfigChanged{})
	c.refreshRoles()
}

func (c *Core) sendRecords(to string, raws []record.Raw) {
	batch := &peerpb.Records{}
	size := 0
	flush := func() {
		if len(batch.Records) > 0 {
			c.send(to, &peerpb.Message{Body: &peerpb.Message_Records{Records: batch}})
		}
		batch, size = &peerpb.Records{}, 0
	}
	for _, r := range raws {
		batch.Records = append(batch.Records, toPeerRecord(r))
		size += len(r.Body)
		if len(batch.Records) >= maxRecordsPerMessage || size >= maxBytesPerMessage {
			flush()
		}
	}
	flush()
}

func toPeerRecord(r record.Raw) *peerpb.RawRecord {
	return &peerpb.RawRecord{Kind: string(r.Kind), Name: r.Name, Revision: r.Revision, Schema: r.Schema,
		Deleted: r.Deleted, Body: r.Body}
}

func fromPeerRecord(r *peerpb.RawRecord) record.Raw {
	return record.Raw{Kind: record.Kind(r.Kind), Name: r.Name, Revision: r.Revision, Schema: r.Schema,
		Deleted: r.Deleted, Body: r.Body}
}

func (c *Core) peerRecords(m *peerpb.Records) {
	raws := make([]record.Raw, len(m.Records))
	for i, r := range m.Records {
		raws[i] = fromPeerRecord(r)
	}
	c.applyRecords(raws, false)
}

func (c *Core) recordsPull(from string, m *peerpb.RecordsPull) {
	c.sendRecords(from, c.conf.After(m.After))
}

// reconcileConfig pulls the records that a peer has and this host lacks. Digests also differ if the peer
// is behind, or holds a record that this host refuses; a full copy is pulled only if no higher revision
// explains the difference, and at most once per fullPullInterval.
func (c *Core) reconcileConfig(from string, revision, digest uint64) {
	if digest == c.conf.Digest() || c.now-c.gossip.pulledAt < pullInterval {
		return
	}
	after := c.conf.Revision()
	if revision <= after {
		if revision < after || c.now-c.gossip.fullPulledAt < fullPullInterval {
			return
		}
		after = 0
		c.gossip.fullPulledAt = c.now
	}
	c.gossip.pulledAt = c.now
	c.send(from, &peerpb.Message{Body: &peerpb.Message_RecordsPull{RecordsPull: &peerpb.RecordsPull{After: after}}})
}

// markSyncedByPeer marks this host as synced if a synced peer has the same configuration.
func (c *Core) markSyncedByPeer(h *peerpb.Heartbeat) {
	if h.Synced && c.conf.Revision() > 0 && h.ConfigDigest == c.conf.Digest() {
		c.gossip.synced = true
	}
}

// hostList applies the platform's list of hosts. The list lags, so it only adds hosts that may exist and
// marks backend servers as leaving.
func (c *Core) hostList(e HostList) {
	var entry []member.Host
	c.leaving = map[string]bool{}
	for _, h := range e.Hosts {
		if !h.Backend {
			entry = append(entry, h.Host)
			continue
		}
		if h.Leaving {
			c.leaving[h.Addr] = true
		}
	}
	c.view.SetList(entry)
	c.refreshRoles()
	c.catchUp.hosts = false
	c.tickCatchUp()
}
