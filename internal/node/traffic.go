package node

import (
	gometrics "github.com/rcrowley/go-metrics"

	"fireflyshift/internal/gossip"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/telemetry"
)

// traffic counts datagrams and their bytes by what they carry.
type traffic map[string]tally

type tally struct{ datagrams, bytes gometrics.Counter }

// newTraffic names the counters datagrams.DIRECTION.KIND and datagrams.DIRECTION_bytes.KIND.
func newTraffic(m telemetry.Metrics, direction string) traffic {
	t := traffic{}
	for _, kind := range gossip.Kinds {
		t[kind] = tally{m.Counter("datagrams." + direction + "." + kind), m.Counter("datagrams." + direction + "_bytes." + kind)}
	}
	return t
}

func (t traffic) add(p *gossippb.Packet, datagrams, bytes int) {
	c := t[gossip.Kind(p)]
	c.datagrams.Inc(int64(datagrams))
	c.bytes.Inc(int64(bytes))
}
