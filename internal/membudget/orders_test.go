package membudget

import (
	"cmp"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// orders are ways to choose who is turned away when a budget is used up. The last one turns nobody away: those that come last are refused.
var orders = []struct {
	name  string
	order Order
}{
	{"longest stalled", LongestStalled},
	{"largest", func(a, b Caller) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), a.ProgressAt.Compare(b.ProgressAt))
	}},
	{"nobody", nil},
}

// crowdKinds are crowds that stay, by what a member sends: a number of bytes at once, then so many every 100 ms.
var crowdKinds = []struct {
	name        string
	first, then int64
}{
	{"large bodies that stop", 512 << 10, 0},
	{"small bodies that stop", 2 << 10, 0},
	{"large bodies that trickle", 256 << 10, 100},
	{"bodies of 8 KB/s", 64 << 10, 800},
}

const (
	simulatedMembers = 1000
	simulatedBudget  = 64 << 20
	simulatedStep    = 10 * time.Millisecond
	simulatedTime    = 10 * time.Second
)

// simulation is a host's budget beside a crowd, honest small requests, and honest large ones that take two seconds.
type simulation struct {
	b       *Budget
	now     time.Time
	rng     *rand.Rand
	members []*simulatedCaller
	small   result
	large   result
	honest  []*simulatedCaller
}

type result struct{ served, lost int }

type simulatedCaller struct {
	a      *Account
	left   bool
	sent   int64
	backAt time.Time
}

func (s *simulation) open() *simulatedCaller {
	c := &simulatedCaller{a: s.b.Open()}
	c.a.Receive(func() { c.left = true })
	return c
}

func (c *simulatedCaller) send(n int64) bool {
	if c.left || c.a.Reserve(n) != nil {
		c.a.Close()
		c.left = true
		return false
	}
	c.a.Progress(int(n))
	c.sent += n
	return true
}

// step lets everybody send for one step. Members that were turned away come back after 250 ms.
func (s *simulation) step(first, then int64) {
	for _, m := range s.members {
		switch {
		case m.left && m.backAt.IsZero():
			m.a.Close()
			m.backAt = s.now.Add(250 * time.Millisecond)
		case m.left && s.now.After(m.backAt):
			*m = *s.open()
			m.a.turnAway = func() { m.left = true }
			m.send(first)
		case !m.left && then > 0 && s.rng.IntN(10) == 0:
			m.send(then)
		}
	}
	if c := s.open(); c.send(4 << 10) {
		s.small.served++
		c.a.Close()
	} else {
		s.small.lost++
	}
	if s.rng.IntN(5) == 0 {
		s.honest = append(s.honest, s.open())
	}
	var kept []*simulatedCaller
	for _, c := range s.honest {
		switch {
		case !c.send(512 << 10 / 200):
			s.large.lost++
		case c.sent >= 512<<10*99/100:
			s.large.served++
			c.a.Close()
		default:
			kept = append(kept, c)
		}
	}
	s.honest = kept
	s.now = s.now.Add(simulatedStep)
}

func simulate(order Order, first, then int64) *simulation {
	s := &simulation{b: New(simulatedBudget), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	s.b.now = func() time.Time { return s.now }
	s.b.order = order
	if order == nil {
		s.b.scanAfter = time.Unix(math.MaxInt32, 0)
	}
	for range simulatedMembers {
		m := &simulatedCaller{left: true, a: s.b.Open()}
		m.backAt = s.now.Add(-time.Second)
		s.members = append(s.members, m)
	}
	for end := s.now.Add(simulatedTime); s.now.Before(end); {
		s.step(first, then)
	}
	return s
}

// Guards against a crowd that stays and keeps honest callers out: small requests are all served, and large ones more than if nobody were
// turned away.
func TestHonestCallersAreServedBesideACrowd(t *testing.T) {
	for _, k := range crowdKinds {
		results := map[string]*simulation{}
		for _, o := range orders {
			s := simulate(o.order, k.first, k.then)
			results[o.name] = s
			require.Zero(t, s.small.lost, "%s, %s", k.name, o.name)
			t.Logf("%-26s %-16s small %4d served, %4d lost; large %4d served, %4d lost; turned away %d", k.name, o.name, s.small.served, s.small.lost, s.large.served, s.large.lost, s.b.Stats().TurnedAway)
		}
		chosen, nobody := results[orders[0].name].large, results[orders[len(orders)-1].name].large
		require.GreaterOrEqual(t, chosen.served, nobody.served, k.name)
		if k.first > SmallRequest {
			require.Greater(t, chosen.served, nobody.served, k.name)
		}
	}
}
