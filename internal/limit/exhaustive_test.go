package limit

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (q *Quota) clone() *Quota {
	c := *q
	c.peerTotals = maps.Clone(q.peerTotals)
	return &c
}

// Two hosts share a quota. Every sequence of eight actions (a request at either, a total to either, a quarter of a
// window) must keep the operators' bound, which is small here so that every request matters.
func TestEveryShortHistoryOfAQuota(t *testing.T) {
	const (
		depth       = 8
		rate, burst = 10.0, 10.0
		cost        = 4.0
		span        = time.Second
		quarter     = span / 4
	)
	allow := Allowance{Window: span, Overage: 0.25, Slack: 20}
	bound := (rate*span.Seconds()+burst)*(1+allow.Overage) + allow.Slack
	type state struct {
		q        [2]*Quota
		now      time.Duration
		admitted map[time.Duration]float64
	}
	var walk func(s state, left int)
	walk = func(s state, left int) {
		admittedInSpan := 0.0
		for at, v := range s.admitted {
			if at > s.now-span {
				admittedInSpan += v
			}
		}
		require.LessOrEqual(t, admittedInSpan, bound)
		if left == 0 {
			return
		}
		for action := 0; action < 5; action++ {
			n := state{[2]*Quota{s.q[0].clone(), s.q[1].clone()}, s.now, maps.Clone(s.admitted)}
			switch action {
			case 0, 1:
				if ok, _ := n.q[action].Admit(n.now, cost, oneHost(1, 2)); !ok {
					continue // refused: only the bucket's clock has changed
				}
				n.admitted[n.now] += cost
			case 2, 3:
				n.q[action-2].ApplyPeerTotal(PeerTotal{Peer: "other", Spent: n.q[3-action].Spent(), RecentlyStarted: true})
			case 4:
				n.now += quarter
			}
			walk(n, left-1)
		}
	}
	first := state{admitted: map[time.Duration]float64{}}
	for i := range first.q {
		first.q[i] = NewQuota(0, rate, burst, allow)
	}
	walk(first, depth)
}
