package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// maxMin divides a capacity among demands by weight: nobody gets more than it asks for, and what one leaves goes to the others.
func maxMin(capacity float64, demands, weights []float64) []float64 {
	shares := make([]float64, len(demands))
	open := map[int]bool{}
	for i := range demands {
		open[i] = true
	}
	for len(open) > 0 {
		weight := 0.0
		for i := range demands {
			if open[i] {
				weight += weights[i]
			}
		}
		done := false
		for i := range demands {
			if fair := capacity * weights[i] / weight; open[i] && demands[i] <= fair {
				shares[i] = demands[i]
				capacity -= demands[i]
				delete(open, i)
				done = true
				break
			}
		}
		if done {
			continue
		}
		for i := range open {
			shares[i] = capacity * weights[i] / weight
		}
		break
	}
	return shares
}

// Work must be divided as weighted max-min fairness says, whatever the workspaces send and however long their requests are.
func TestSharesAreWeightedMaxMin(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const from, end = 5 * time.Second, 35 * time.Second
		capacity := float64(testSlots * 1000)
		var sources []source
		var demands, weights []float64
		for i := range rapid.IntRange(2, 6).Draw(t, "workspaces") {
			s := source{workspace: fmt.Sprint(i), to: end, even: true,
				weight:  float64(rapid.IntRange(1, 4).Draw(t, "weight")),
				service: time.Duration(rapid.IntRange(100, 400).Draw(t, "service")) * time.Millisecond}
			demand := float64(rapid.IntRange(5, 200).Draw(t, "percent")) / 100 * capacity
			s.perSecond = demand / float64(s.service/time.Millisecond)
			sources, demands, weights = append(sources, s), append(demands, demand), append(weights, s.weight)
		}
		l := newLoad(rapid.Uint64().Draw(t, "seed"))
		l.run(end, sources...)
		want := maxMin(capacity, demands, weights)
		got := map[string]float64{}
		for _, c := range l.callers {
			if c.served && c.granted >= from {
				got[c.source.workspace] += float64(c.source.service / time.Millisecond)
			}
		}
		for i, s := range sources {
			per := got[s.workspace] / (end - from).Seconds()
			assert.InEpsilon(t, want[i], per, 0.15, "workspace %d: demands %v, weights %v", i, demands, weights)
		}
	})
}

// machine runs random calls and verifies after each that the queue is consistent.
type machine struct {
	queue  *Queue
	now    time.Duration
	number uint64
	open   map[Key]Request // those that wait
	ends   map[Key]int
}

func (m *machine) request(t *rapid.T) Request {
	m.number++
	draw := func(name string, to int) time.Duration {
		return time.Duration(rapid.IntRange(0, to).Draw(t, name)) * time.Millisecond
	}
	return Request{Key: Key{rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "host"), m.number},
		Workspace: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "workspace")), Weight: float64(rapid.IntRange(0, 3).Draw(t, "weight")),
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"), Cost: float64(rapid.IntRange(1, 2000).Draw(t, "cost")),
		Returning: rapid.Bool().Draw(t, "returning"), OnTimeBy: m.now + draw("on time", 1000),
		PatienceEnds: m.now + draw("patience", 3000), Deadline: m.now + draw("deadline", 10000)}
}

func (m *machine) refused(t *rapid.T, refusals []Refusal) {
	for _, f := range refusals {
		m.end(t, f.Request.Key)
		left := f.Request.Deadline - m.now
		require.LessOrEqual(t, f.RetryAfter, max(left/returnPart, 0), "later than the caller honours")
	}
}

func (m *machine) end(t *rapid.T, k Key) {
	m.ends[k]++
	require.Equal(t, 1, m.ends[k], "one end for each request")
	delete(m.open, k)
}

func (m *machine) add(t *rapid.T) {
	r := m.request(t)
	m.open[r.Key] = r
	_, queued, refusals := m.queue.Add(m.now, r)
	m.refused(t, refusals)
	require.Equal(t, queued, m.ends[r.Key] == 0)
}

// next grants a slot that only some requests fit, and verifies that priorities are in order and that none that fits was left.
func (m *machine) next(t *rapid.T) {
	modulus := uint64(rapid.IntRange(1, 4).Draw(t, "fits"))
	fits := func(r *Request) bool { return r.Key.Number%modulus == 0 }
	r, _, ok := m.queue.Next(m.now, fits)
	for _, other := range m.open {
		if other.PatienceEnds > m.now && fits(&other) {
			require.True(t, ok, "a request that fits was left waiting")
			require.LessOrEqual(t, r.Priority, other.Priority)
		}
	}
	if ok {
		require.True(t, fits(&r))
		require.Greater(t, r.PatienceEnds, m.now)
		m.end(t, r.Key)
	}
}

func (m *machine) expire(t *rapid.T) {
	m.refused(t, m.queue.Expire(m.now))
	for _, r := range m.open {
		require.Greater(t, r.PatienceEnds, m.now, "kept past its patience")
	}
}

func (m *machine) leave(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	keys := slices.SortedFunc(maps.Keys(m.open), func(a, b Key) int { return int(a.Number) - int(b.Number) })
	k := keys[rapid.IntRange(0, len(keys)-1).Draw(t, "left")]
	if rapid.IntRange(0, 9).Draw(t, "host lost") > 0 {
		require.True(t, m.queue.Remove(k))
		m.end(t, k)
		return
	}
	for _, r := range m.queue.RemoveHost(k.Host) {
		m.end(t, r.Key)
	}
}

func (m *machine) resize(t *rapid.T) {
	n := rapid.IntRange(1, 40).Draw(t, "new max")
	refusals := m.queue.SetMaxRequests(m.now, n)
	m.refused(t, refusals)
	if len(refusals) > 0 {
		require.Equal(t, n, m.queue.Len(), "refuses a request that fits")
	}
	for _, f := range refusals {
		for _, r := range m.open {
			require.LessOrEqual(t, r.Priority, f.Request.Priority)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	q := m.queue
	require.Equal(t, len(m.open), q.Len())
	require.LessOrEqual(t, q.Len(), q.max)
	count, work := 0, [levelCount]float64{}
	for _, tally := range q.ledger.workspaces {
		for p, l := range tally.lanes {
			if l == nil {
				continue
			}
			require.True(t, slices.IsSortedFunc(l.entries, func(a, b *entry) int {
				if before(a, b) {
					return -1
				}
				return 1
			}))
			sum := 0.0
			for i := range l.before {
				require.Equal(t, sum, l.before[i], "outdated sum of the work before a request")
				if i < len(l.entries) {
					sum += l.entries[i].Cost
				}
			}
			count += len(l.entries)
			work[p] += l.work
		}
	}
	require.Equal(t, q.Len(), count)
	require.Equal(t, q.Len(), q.expiry.Len())
	for p := range work {
		require.InDelta(t, work[p], q.levels[p].work, 1e-3)
	}
}

// Whatever is called in whatever order, each request must have exactly one end, in time, by the rules.
func TestRandomCalls(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{queue: testQueue(rapid.IntRange(1, 40).Draw(t, "max")), open: map[Key]Request{}, ends: map[Key]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"add":    m.add,
			"add2":   m.add,
			"add3":   m.add,
			"next":   m.next,
			"resize": m.resize,
			"expire": m.expire,
			"leave":  m.leave,
			"admit":  func(t *rapid.T) { m.queue.Admit(m.now, m.request(t)) },
			"time":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond },
			"room": func(t *rapid.T) {
				m.queue.SetRoom(rapid.IntRange(0, 40).Draw(t, "slots"), testService)
			},
			"view":  func(t *rapid.T) { m.queue.View(m.now) },
			"clear": func(t *rapid.T) { m.refused(t, m.queue.Clear()) },
			"":      m.check,
		})
	})
}

// The same calls must give the same results, so that a recorded run can be replayed.
func TestSameCallsGiveTheSameResults(t *testing.T) {
	t.Parallel()
	run := func() []caller {
		l := newLoad(7)
		var sources []source
		for i := range 30 {
			sources = append(sources, source{workspace: fmt.Sprint(i), priority: i % 3, perSecond: 12, to: 5 * time.Second, asTold: true})
		}
		l.run(10*time.Second, sources...)
		var all []caller
		for _, c := range l.callers {
			k := *c
			k.source = nil
			all = append(all, k)
		}
		return all
	}
	assert.Equal(t, run(), run())
}

func BenchmarkAddNext(b *testing.B) {
	for _, workspaces := range []int{1, 16, 512} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			q := testQueue(513)
			q.SetRoom(36000, testService)
			number := uint64(0)
			add := func() {
				number++
				mustAdd(b, q, 0, testRequest(number, fmt.Sprint(number%uint64(workspaces)), 0, 0))
			}
			for range 512 {
				add()
			}
			b.ReportAllocs()
			for b.Loop() {
				add()
				q.Next(0, any1)
			}
		})
	}
}

func BenchmarkExpire(b *testing.B) {
	for _, workspaces := range []int{1, 16, 512} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			q := testQueue(512)
			q.SetRoom(36000, testService)
			for n := range uint64(512) {
				mustAdd(b, q, 0, testRequest(n, fmt.Sprint(n%uint64(workspaces)), 0, 0))
			}
			for b.Loop() {
				q.reviewedAt = -time.Hour
				q.Expire(0)
			}
		})
	}
}
