package limit

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func (q *Quota) clone() *Quota {
	c := *q
	c.heard = maps.Clone(q.heard)
	return &c
}

// Two hosts share a quota. Every order of eight things (a request at either, a word to either, a quarter
// of a window) keeps the operators' bound, which is small here so that every request matters.
func TestEveryShortHistoryOfAQuota(t *testing.T) {
	const (
		depth       = 8
		rate, burst = 10.0, 10.0
		cost        = 4.0
		span        = time.Second
		quarter     = span / 4
	)
	allow := Allowance{Window: span, Over: 0.25, Slack: 20}
	bound := (rate*span.Seconds()+burst)*(1+allow.Over) + allow.Slack
	type state struct {
		q        [2]*Quota
		now      time.Duration
		admitted map[time.Duration]float64
	}
	var walk func(s state, left int)
	walk = func(s state, left int) {
		got := 0.0
		for at, v := range s.admitted {
			if at > s.now-span {
				got += v
			}
		}
		require.LessOrEqual(t, got, bound)
		if left == 0 {
			return
		}
		for what := 0; what < 5; what++ {
			n := state{[2]*Quota{s.q[0].clone(), s.q[1].clone()}, s.now, maps.Clone(s.admitted)}
			switch what {
			case 0, 1:
				if ok, _ := n.q[what].Admit(n.now, cost, alone(1, 2)); !ok {
					continue // refused: nothing has changed but the clock of the bucket
				}
				n.admitted[n.now] += cost
			case 2, 3:
				n.q[what-2].Heard(Word{From: "other", Spent: n.q[3-what].Spent(), Young: true})
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
