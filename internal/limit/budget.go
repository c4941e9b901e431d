// Package limit keeps bounds that all hosts share without a counter that they share: the retry
// budget and the workspaces' quotas. It is pure: time is an argument.
package limit

import "time"

// Budget bounds repeats to a share of the requests plus a little, over any window. Each host spends
// only what its own requests earned and its part of the extra, so that the hosts' sum keeps the
// bound without a message between them.
type Budget struct {
	ratio  float64
	extra  float64 // saved up at most, and regained once a window
	window time.Duration
	level  float64
	at     time.Duration
}

const (
	// budgetShare is how much of the allowed ratio and extra is used: repeats that other parties
	// count and this host does not see, such as one sent just before a restart, take the rest.
	budgetShare = 0.8
	// fewestHosts divides the extra while few hosts have been heard: after a restart of all hosts
	// at once each would otherwise take the whole for itself.
	fewestHosts = 8
)

// startLevel lets a host that has just started repeat after few requests, while hosts that start
// again and again spend little of the extra by it.
const startLevel = 0.9

// NewBudget returns a budget that is nearly one repeat.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * budgetShare, extra: extra * budgetShare, window: window, level: startLevel}
}

// Earn counts a first arrival.
func (b *Budget) Earn(now time.Duration, hosts int) {
	b.refill(now, hosts)
	b.level = min(b.cap(hosts), b.level+b.ratio)
}

// Spend takes one repeat if the budget has it.
func (b *Budget) Spend(now time.Duration, hosts int) bool {
	b.refill(now, hosts)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// cap is half of this host's part of the extra; the other half flows in over the window, so that
// no window sees more than the whole.
func (b *Budget) cap(hosts int) float64 {
	return max(1, b.extra/2/float64(max(hosts, fewestHosts)))
}

func (b *Budget) refill(now time.Duration, hosts int) {
	if b.window > 0 && now > b.at {
		part := b.extra / 2 / float64(max(hosts, fewestHosts))
		b.level = min(b.cap(hosts), b.level+part*float64(now-b.at)/float64(b.window))
	}
	b.at = max(b.at, now)
}
