package node

import (
	gometrics "github.com/rcrowley/go-metrics"

	"fireflyshift/internal/gossip"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/telemetry"
)

// trafficCounters counts datagrams and their bytes by kind.
type trafficCounters map[string]counters

type counters struct{ datagrams, bytes gometrics.Counter }

// newTraffic registers the counters datagrams.DIRECTION.KIND and datagrams.DIRECTION_bytes.KIND.
func newTraffic(m telemetry.Metrics, direction string) trafficCounters {
	t := trafficCounters{}
	for _, kind := range gossip.Kinds {
		t[kind] = counters{m.Counter("datagrams." + direction + "." + kind), m.Counter("datagrams." + direction + "_bytes." + kind)}
	}
	return t
}

func (t trafficCounters) add(p *gossippb.Packet, datagrams, bytes int) {
	c := t[gossip.Kind(p)]
	c.datagrams.Inc(int64(datagrams))
	c.bytes.Inc(int64(bytes))
}
