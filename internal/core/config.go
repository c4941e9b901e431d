package core

import (
	"time"

	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
)

const (
	// fullPullEvery bounds repairs by a full copy: two software versions may differ for a whole roll.
	fullPullEvery = 5 * time.Second
	pullEvery     = 200 * time.Millisecond
	// platformAway is how long the configuration service must fail to count as away.
	platformAway = 3 * time.Second
	// Bounds of one Records message.
	recordsPerMessage = 256
	bytesPerMessage   = 512 << 10
)

// gossipState is what this host knows of configuration and load elsewhere.
type gossipState struct {
	synced        bool
	failingSince  time.Duration
	failing       bool
	readOK        time.Duration // latest good read of the platform
	everRead      bool
	readElsewhere time.Duration // latest time a live host said it reads the platform
	pulledAt      time.Duration
	fullPulledAt  time.Duration
	beatAt        time.Duration
	digestAt      time.Duration
	digestEvery   time.Duration
	zones         map[string]*zoneState
}

func newGossipState() gossipState {
	return gossipState{zones: map[string]*zoneState{}, digestEvery: digestLeast, pulledAt: -pullEvery, fullPulledAt: -fullPullEvery}
}

func (c *Core) platformRecords(e PlatformRecords) {
	c.gossip.failing = false
	c.gossip.readOK, c.gossip.everRead = c.now, true
	c.accept(e.Records, true)
	if e.Current && c.conf.Revision() > 0 {
		c.gossip.synced = true
	}
	if e.Current {
		c.catch.records = false
		c.tickCatchUp()
	}
}

func (c *Core) platformFailed() {
	if !c.gossip.failing {
		c.gossip.failing, c.gossip.failingSince = true, c.now
	}
	if c.now-c.gossip.failingSince >= platformAway && c.conf.Revision() > 0 {
		c.gossip.synced = true
	}
}

// accept takes records from anywhere. What came from the platform is passed on in the zone.
func (c *Core) accept(raws []record.Raw, fromPlatform bool) {
	before := c.conf.Revision()
	fresh := c.conf.Apply(raws)
	c.inv.Check(c.conf.Revision() >= before, "configuration went back from revision %d to %d", before, c.conf.Revision())
	if len(fresh) == 0 {
		return
	}
	if fromPlatform {
		for _, h := range c.view.Zone() {
			c.sendRecords(h.ID, fresh)
		}
	}
	c.emit(ConfigChanged{})
	c.refreshDuties()
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
		if len(batch.Records) >= recordsPerMessage || size >= bytesPerMessage {
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
	c.accept(raws, false)
}

func (c *Core) recordsPull(from string, m *peerpb.RecordsPull) {
	c.sendRecords(from, c.conf.After(m.After))
}

// compareConfig asks a peer for what it has and we lack. Digests differ also when the peer is
// behind, or holds a record that we refuse; a full copy is asked for rarely, and only when no
// higher revision explains the difference.
func (c *Core) compareConfig(from string, revision, digest uint64) {
	if digest == c.conf.Digest() || c.now-c.gossip.pulledAt < pullEvery {
		return
	}
	after := c.conf.Revision()
	if revision <= after {
		if revision < after || c.now-c.gossip.fullPulledAt < fullPullEvery {
			return
		}
		after = 0
		c.gossip.fullPulledAt = c.now
	}
	c.gossip.pulledAt = c.now
	c.send(from, &peerpb.Message{Body: &peerpb.Message_RecordsPull{RecordsPull: &peerpb.RecordsPull{After: after}}})
}

// syncedByPeer takes a peer's word that its configuration is current when ours is the same.
func (c *Core) syncedByPeer(h *peerpb.Heartbeat) {
	if h.Synced && c.conf.Revision() > 0 && h.ConfigDigest == c.conf.Digest() {
		c.gossip.synced = true
	}
}

// hostList takes the platform's list of hosts. It lags, so it only adds knowledge: who may exist,
// and which backend servers are leaving.
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
	c.refreshDuties()
	c.catch.hosts = false
	c.tickCatchUp()
}
