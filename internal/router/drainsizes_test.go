package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
)

// Guards against requests that reach a backend server long after it drains or its registration is removed, in fleets of the operators' sizes in which a tenth of the
// datagrams and all pushes to a tenth of the hosts are lost, all readers' watches but one in each zone hang, and a quarter of the hosts
// don't answer pulls.
func TestDrainingSpreadsAtTheOperatorsSizes(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]struct {
		zones, hosts int
		bound        time.Duration
	}{
		"30 hosts":  {3, 10, 3 * time.Second},
		"91 hosts":  {7, 13, 3 * time.Second},
		"295 hosts": {5, 59, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(4) {
				s := newSpread(t, size.zones, size.hosts, seed)
				s.run(time.Duration(53*seed)*time.Millisecond, 0)
				sighted, cutOff := map[string]bool{}, map[string]bool{}
				for i, h := range s.hosts {
					s.blind[h.ip] = !h.r.updates.reading || sighted[h.zone]
					sighted[h.zone] = sighted[h.zone] || !s.blind[h.ip]
					s.mute[h.ip] = i%4 == 0
					cutOff[h.ip] = i%10 == int(seed)
				}
				require.Len(t, sighted, size.zones)
				s.drops = func(_, to string, p *gossippb.Packet) bool {
					return (cutOff[to] && isPush(p)) || s.rng.IntN(10) == 0
				}
				took := s.drain("e001", 2*size.bound)
				t.Log(took)
				require.Less(t, took, size.bound-dispatchValidity)
				s.answerFor(time.Second)
				took = s.accept(changeOf("e002", 61, true), 2*size.bound)
				t.Log("removal", took)
				require.Less(t, took, size.bound-dispatchValidity)
			}
		})
	}
}
