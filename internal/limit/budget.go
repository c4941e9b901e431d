// Package limit enforces limits that hold over all hosts without a shared counter: the retry budget, the workspaces'
// quotas, and hosts' shares of a backend server's rate. It is pure: the time is an argument.
package limit

import "time"

// Budget bounds retries over any window to a ratio of the requests plus a fixed extra. Each host spends only what its
// own requests have earned and its part of the extra, so that the sum over all hosts keeps the bound without any
// message between them.
type Budget struct {
	ratio      float64
	extra      float64 // per window, over all hosts
	window     time.Duration
	level      float64
	refilledAt time.Duration
}

const (
	// usedFraction is the fraction of the allowed ratio and extra that is used. The rest covers retries that count
	// elsewhere but that this host does not see, such as one sent just before a restart.
	usedFraction = 0.8
	// minHosts is the least number of hosts that the extra is divided by. After a restart of all hosts at once few
	// peers are known at first, and each host would otherwise take the whole extra for itself.
	minHosts = 8
)

// initialBudget lets a host that has just started retry after a few requests, while hosts that restart repeatedly spend
// little of the extra by it.
const initialBudget = 0.9

// NewBudget returns a budget that starts just short of one retry.
func NewBudget(ratio, extra float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * usedFraction, extra: extra * usedFraction, window: window, level: initialBudget}
}

// Earn records a request's first attempt.
func (b *Budget) Earn(now time.Duration, hosts int) {
	b.refill(now, hosts)
	b.level = min(b.maxLevel(hosts), b.level+b.ratio)
}

// Spend takes one retry from the budget and reports whether it was available.
func (b *Budget) Spend(now time.Duration, hosts int) bool {
	b.refill(now, hosts)
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// maxLevel is half of this host's part of the extra; the other half is refilled over the window, so that no window
// exceeds the whole.
func (b *Budget) maxLevel(hosts int) float64 {
	return max(1, b.extra/2/float64(max(hosts, minHosts)))
}

func (b *Budget) refill(now time.Duration, hosts int) {
	if b.window > 0 && now > b.refilledAt {
		refillPart := b.extra / 2 / float64(max(hosts, minHosts))
		b.level = min(b.maxLevel(hosts), b.level+refillPart*float64(now-b.refilledAt)/float64(b.window))
	}
	b.refilledAt = max(b.refilledAt, now)
}
