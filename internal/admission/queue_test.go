package admission

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/fairqueue"
)

// testRequest is a request of a workspace that asks at a time, with the patience of a stream with a target of 0.8 s.
func testRequest(number uint64, workspace string, priority int, now time.Duration) Request {
	return Request{Key: Key{"host", number}, Workspace: workspace, Priority: priority, Cost: 200,
		OnTimeBy: now + 800*time.Millisecond, PatienceEnds: now + 2240*time.Millisecond, Deadline: now + 10*time.Second}
}

func testQueue(maxRequests int) *Queue {
	q := New(Config{MaxRequests: maxRequests})
	q.SetRoom(testSlots, testService)
	return q
}

func mustAdd(t testing.TB, q *Queue, now time.Duration, r Request) {
	_, queued, refusals := q.Add(now, r)
	require.True(t, queued)
	require.Empty(t, refusals)
}

func any1(*Request) bool { return true }

// order serves everything that waits and returns the numbers of the requests.
func order(q *Queue, now time.Duration) []uint64 {
	var numbers []uint64
	for {
		r, _, ok := q.Next(now, any1)
		if !ok {
			return numbers
		}
		numbers = append(numbers, r.Key.Number)
	}
}

// Each rule of the order must decide before those below it.
func TestOrder(t *testing.T) {
	with := func(r Request, change func(*Request)) Request { change(&r); return r }
	base := func(n uint64, w string, p int) Request { return testRequest(n, w, p, 0) }
	for _, c := range []struct {
		name     string
		requests []Request
		at       time.Duration
		want     []uint64
	}{
		{"priority before workspace", []Request{base(1, "a", 2), base(2, "b", 0), base(3, "a", 1)}, 0, []uint64{2, 3, 1}},
		{"workspaces in turn", []Request{base(1, "a", 0), base(2, "a", 0), base(3, "b", 0), base(4, "b", 0)}, 0, []uint64{1, 3, 2, 4}},
		{"turns by weight", []Request{base(1, "a", 0), base(2, "a", 0), base(3, "a", 0),
			with(base(4, "b", 0), func(r *Request) { r.Weight = 2 }), with(base(5, "b", 0), func(r *Request) { r.Weight = 2 }),
			with(base(6, "b", 0), func(r *Request) { r.Weight = 2 })}, 0, []uint64{1, 4, 5, 2, 6, 3}},
		{"turns by work", []Request{with(base(1, "a", 0), func(r *Request) { r.Cost = 400 }), base(2, "a", 0),
			base(3, "b", 0), base(4, "b", 0), base(5, "b", 0)}, 0, []uint64{1, 3, 4, 2, 5}},
		{"earliest deadline", []Request{base(1, "a", 0), with(base(2, "a", 0), func(r *Request) { r.Deadline = 5 * time.Second })},
			0, []uint64{2, 1}},
		{"equal deadlines in order of arrival", []Request{base(2, "a", 0), base(1, "a", 0)}, 0, []uint64{2, 1}},
		{"on time before late", []Request{with(base(1, "a", 0), func(r *Request) { r.OnTimeBy, r.Deadline = -1, time.Second }),
			base(2, "a", 0)}, 0, []uint64{2, 1}},
		{"turned late while waiting", []Request{
			with(base(1, "a", 0), func(r *Request) { r.OnTimeBy, r.Deadline = 100*time.Millisecond, 5*time.Second }), base(2, "a", 0)},
			101 * time.Millisecond, []uint64{2, 1}},
		{"new before returning, returning on time before late", []Request{
			with(base(1, "a", 0), func(r *Request) { r.OnTimeBy = -1 }),
			with(base(2, "a", 0), func(r *Request) { r.Returning, r.Deadline = true, 5*time.Second }), base(3, "a", 0)},
			0, []uint64{3, 2, 1}},
	} {
		q := testQueue(0)
		for _, r := range c.requests {
			mustAdd(t, q, 0, r)
		}
		assert.Equal(t, c.want, order(q, c.at), c.name)
	}
}

// A workspace that was served without waiting must not get its turn as if it had received nothing.
func TestAdmittedWorkCounts(t *testing.T) {
	q := testQueue(0)
	q.Admit(0, testRequest(1, "a", 0, 0))
	mustAdd(t, q, 0, testRequest(2, "a", 0, 0))
	mustAdd(t, q, 0, testRequest(3, "b", 0, 0))
	assert.Equal(t, []uint64{3, 2}, order(q, 0))
}

// A slot must not stay idle because the first requests in order do not fit it, and other priorities must not overtake those that do.
func TestNextTriesRequestsInOrderUntilOneFits(t *testing.T) {
	q := testQueue(0)
	for n := range uint64(100) {
		mustAdd(t, q, 0, testRequest(n, "a", 0, 0))
	}
	mustAdd(t, q, 0, testRequest(100, "b", 0, 0))
	mustAdd(t, q, 0, testRequest(101, "c", 1, 0))
	only := func(numbers ...uint64) func(*Request) bool {
		return func(r *Request) bool {
			for _, n := range numbers {
				if r.Key.Number == n {
					return true
				}
			}
			return false
		}
	}
	for _, c := range []struct {
		fits []uint64
		want uint64
	}{{[]uint64{90, 100}, 100}, {[]uint64{20, 21, 90}, 20}, {[]uint64{90, 101}, 90}, {[]uint64{101}, 101}} {
		r, _, ok := q.Next(0, only(c.fits...))
		assert.True(t, ok)
		assert.Equal(t, c.want, r.Key.Number)
	}
	_, _, ok := q.Next(0, only())
	assert.False(t, ok)
	tries := 0
	q.Next(0, func(*Request) bool { tries++; return false })
	assert.Equal(t, q.Len(), tries, "each is tried once")
}

// A grant after the end of the patience would be wasted.
func TestNextDoesNotGrantExpiredRequests(t *testing.T) {
	q := testQueue(0)
	r := testRequest(1, "a", 0, 0)
	mustAdd(t, q, 0, r)
	_, _, ok := q.Next(r.PatienceEnds, any1)
	assert.False(t, ok)
	refusals := q.Expire(r.PatienceEnds)
	require.Len(t, refusals, 1)
	assert.Equal(t, Expired, refusals[0].Cause)
	assert.Positive(t, refusals[0].RetryAfter)
	assert.LessOrEqual(t, refusals[0].RetryAfter, (r.Deadline-r.PatienceEnds)/returnPart)
	assert.Zero(t, q.Len())
}

// Every refusal must state its cause and happen at its bound, not before.
func TestRefusalCauses(t *testing.T) {
	t.Run("wait too long", func(t *testing.T) {
		q := testQueue(0)
		r := testRequest(1, "a", 0, 0)
		r.PatienceEnds = 5 * time.Millisecond // a slot becomes free every 5.6 ms
		wait, queued, refusals := q.Add(0, r)
		assert.False(t, queued)
		assert.InDelta(t, 5.56, float64(wait)/1e6, 0.01)
		require.Len(t, refusals, 1)
		assert.Equal(t, WaitTooLong, refusals[0].Cause)
		r.PatienceEnds = 6 * time.Millisecond
		_, queued, _ = q.Add(0, r)
		assert.True(t, queued)
	})
	t.Run("no slots", func(t *testing.T) {
		q := testQueue(0)
		q.SetRoom(0, testService)
		_, queued, refusals := q.Add(0, testRequest(1, "a", 0, 0))
		assert.False(t, queued)
		assert.Equal(t, WaitTooLong, refusals[0].Cause)
		q.SetRoom(testSlots, testService)
		mustAdd(t, q, 0, testRequest(1, "a", 0, 0))
	})
	t.Run("queue full", func(t *testing.T) {
		q := testQueue(2)
		mustAdd(t, q, 0, testRequest(1, "a", 1, 0))
		mustAdd(t, q, 0, testRequest(2, "a", 1, 0))
		for _, r := range []Request{testRequest(3, "a", 1, 0), testRequest(4, "a", 2, 0)} {
			_, queued, refusals := q.Add(0, r)
			assert.False(t, queued)
			require.Len(t, refusals, 1)
			assert.Equal(t, QueueFull, refusals[0].Cause)
			assert.Equal(t, r.Key, refusals[0].Request.Key)
			assert.Positive(t, refusals[0].RetryAfter)
		}
	})
	t.Run("owner gone", func(t *testing.T) {
		q := testQueue(0)
		for n := range uint64(5) {
			mustAdd(t, q, 0, testRequest(n, "a", int(n%3), 0))
		}
		refusals := q.Clear()
		require.Len(t, refusals, 5)
		for i, f := range refusals {
			assert.Equal(t, Refusal{Request: f.Request, Cause: OwnerGone}, f)
			assert.Equal(t, uint64(i), f.Request.Key.Number)
		}
		assert.Zero(t, q.Len())
	})
}

// A full queue must take the more urgent request, at the expense of the newest of the longest backlog of the least urgent priority.
func TestDisplacement(t *testing.T) {
	for _, c := range []struct {
		name   string
		add    Request
		weight float64 // of workspace b
		want   uint64  // 0: refused
	}{
		{"more urgent", testRequest(9, "c", 0, 0), 1, 6},
		{"more urgent, b has the longer weighted backlog", testRequest(9, "c", 0, 0), 0.25, 7},
		{"same priority, shorter backlog", testRequest(9, "c", 3, 0), 1, 6},
		{"same priority, backlog would be as long", testRequest(9, "a", 3, 0), 1, 0},
		{"less urgent than all", testRequest(9, "c", 3, 0), 1, 6},
	} {
		q := testQueue(6)
		mustAdd(t, q, 0, testRequest(1, "d", 1, 0))
		for _, n := range []uint64{4, 5, 6} {
			mustAdd(t, q, 0, testRequest(n, "a", 3, 0))
		}
		r := testRequest(7, "b", 3, 0)
		r.Weight = c.weight
		mustAdd(t, q, 0, r)
		mustAdd(t, q, 0, testRequest(2, "d", 1, 0))
		_, queued, refusals := q.Add(0, c.add)
		require.Len(t, refusals, 1, c.name)
		assert.Equal(t, c.want != 0, queued, c.name)
		if c.want != 0 {
			assert.Equal(t, Displaced, refusals[0].Cause, c.name)
			assert.Equal(t, c.want, refusals[0].Request.Key.Number, c.name)
		}
		assert.Equal(t, 6, q.Len(), c.name)
	}
}

// Requests that would be held in vain must be refused as soon as this is known, the last ones in order first and no more than needed.
func TestExpireRefusesWhatTheCapacityNoLongerServes(t *testing.T) {
	q := testQueue(0)
	for n := range uint64(100) {
		r := testRequest(n, "a", 0, 0)
		r.OnTimeBy = 2 * time.Second
		mustAdd(t, q, 0, r)
	}
	assert.Empty(t, q.Expire(reviewInterval))
	q.SetRoom(testSlots/6, testService) // 30 requests a second: 2.1 s serve 64, and the tolerance holds half as many more
	refusals := q.Expire(2 * reviewInterval)
	assert.NotEmpty(t, refusals)
	for _, f := range refusals {
		assert.Equal(t, WaitTooLong, f.Cause)
		assert.GreaterOrEqual(t, f.Request.Key.Number, uint64(60))
	}
	assert.GreaterOrEqual(t, q.Len(), 60)
}

// Withdrawn requests and those of a lost host must leave nothing behind.
func TestRemove(t *testing.T) {
	q := testQueue(0)
	for n := range uint64(6) {
		r := testRequest(n, "a", int(n%2), 0)
		r.Key.Host = []string{"x", "y"}[n%2]
		mustAdd(t, q, 0, r)
	}
	assert.True(t, q.Remove(Key{"x", 0}))
	assert.False(t, q.Remove(Key{"x", 0}))
	removed := q.RemoveHost("y")
	require.Len(t, removed, 3)
	assert.Equal(t, []uint64{1, 3, 5}, []uint64{removed[0].Key.Number, removed[1].Key.Number, removed[2].Key.Number})
	assert.Equal(t, []uint64{2, 4}, order(q, 0))
	assert.Zero(t, q.levels[0].work+q.levels[1].work)
	assert.Zero(t, q.expiry.Len()+q.onTime.Len())
}

// A second Ask with the same number must not occupy two places or end twice.
func TestAddReplacesARequestWithTheSameKey(t *testing.T) {
	q := testQueue(0)
	mustAdd(t, q, 0, testRequest(1, "a", 1, 0))
	mustAdd(t, q, 0, testRequest(1, "a", 0, 0))
	assert.Equal(t, 1, q.Len())
	assert.Equal(t, 1, q.View(0).Workspaces[0].Offered)
	r, _, _ := q.Next(0, any1)
	assert.Equal(t, 0, r.Priority)
}

// The forecast must have the values of the specification's formula, as who may wait depends on it.
func TestForecastValues(t *testing.T) {
	const grant = 1000.0 / 180 // ms until the next slot becomes free
	fill := func(q *Queue, first uint64, count int, workspace string, priority int) {
		for i := range count {
			r := testRequest(first+uint64(i), workspace, priority, 0)
			r.OnTimeBy = 2 * time.Second
			mustAdd(t, q, 0, r)
		}
	}
	for _, c := range []struct {
		name    string
		fill    func(q *Queue)
		request Request
		want    float64 // milliseconds
	}{
		{"empty", func(*Queue) {}, testRequest(1, "a", 0, 0), grant},
		{"own workspace", func(q *Queue) { fill(q, 10, 18, "a", 0) }, testRequest(1, "a", 0, 0), 100 + grant},
		{"other workspace, own has nothing", func(q *Queue) { fill(q, 10, 18, "b", 0) }, testRequest(1, "a", 0, 0), grant},
		{"other workspace goes first among equals", func(q *Queue) { fill(q, 10, 18, "a", 0) }, testRequest(1, "b", 0, 0), 2 * grant},
		{"all of another workspace, as it has less", func(q *Queue) { fill(q, 10, 18, "a", 0); fill(q, 40, 4, "b", 0) },
			testRequest(1, "a", 0, 0), (18 + 4 + 1) * grant * 180 / (180 - 4)}, // 4 a second more are expected of it
		{"share of another workspace, as it has more", func(q *Queue) { fill(q, 10, 18, "a", 0); fill(q, 40, 36, "b", 0) },
			testRequest(1, "a", 0, 0), (18 + 18 + 1) * grant},
		{"less urgent work", func(q *Queue) { fill(q, 10, 18, "a", 2) }, testRequest(1, "a", 1, 0), grant},
	} {
		q := testQueue(0)
		c.fill(q)
		wait, ok := q.PredictedWait(0, c.request)
		assert.True(t, ok, c.name)
		assert.InDelta(t, c.want, float64(wait)/1e6, 0.01, c.name)
	}
}

// If arrivals that go ahead take the whole capacity, nothing is left, however little waits.
func TestForecastGivesNoSlotIfArrivalsAheadTakeTheCapacity(t *testing.T) {
	for _, c := range []struct {
		perSecond int
		want      bool
	}{{90, true}, {200, false}} {
		q := testQueue(0)
		number := uint64(0)
		for now := time.Duration(0); now < 4*time.Second; now += time.Second / time.Duration(c.perSecond) {
			number++
			q.Admit(now, testRequest(number, "a", 0, now))
		}
		wait, ok := q.PredictedWait(4*time.Second, testRequest(1, "b", 1, 4*time.Second))
		assert.Equal(t, c.want, ok, c.perSecond)
		if ok {
			assert.InDelta(t, 11, float64(wait)/1e6, 1, "half of the capacity is left")
		}
		assert.Equal(t, c.want, q.View(4 * time.Second).Wait[1] >= 0)
		_, ok = q.PredictedWait(4*time.Second, testRequest(1, "b", 0, 4*time.Second))
		assert.True(t, ok, "the same priority shares by weight")
	}
}

// The capacity must follow what is granted while requests wait, and forget a stalled engine.
func TestCapacityIsMeasured(t *testing.T) {
	t.Parallel()
	q := testQueue(0)
	number := uint64(0)
	now := time.Duration(0)
	for ; now < 5*time.Second; now += 10 * time.Millisecond { // 100 grants a second
		number++
		r := testRequest(number, "a", 0, now)
		r.OnTimeBy = now + 2*time.Second
		if number < 500 {
			q.Add(now, r)
			q.Add(now, testRequest(number+1000000, "b", 0, now))
		}
		q.Next(now, any1)
		q.Expire(now)
	}
	v := q.View(now)
	assert.InDelta(t, 20000, v.Room, 1500)
	assert.InDelta(t, v.Room/testSlots, v.PerSlot, 1e-6)
	q.SetRoom(testSlots/2, testService)
	assert.InDelta(t, v.Room/2, q.View(now).Room, 1, "in proportion to the slots")
	q.Clear()
	q.SetRoom(testSlots, testService)
	assert.InDelta(t, 36000, q.View(now+10*time.Minute).Room, 1, "the assumed capacity after idle time")
}

// Refused callers must come back spread, urgent ones first, and never later than they honour.
func TestReturns(t *testing.T) {
	t.Parallel()
	const perPlace = 9 // requests that the slots serve in 50 ms
	t.Run("spread and limited", func(t *testing.T) {
		q := testQueue(1)
		r := testRequest(0, "a", 3, 0)
		r.PatienceEnds = 0 // refused at once
		times := map[time.Duration]int{}
		for n := range uint64(300) {
			r.Key.Number = n
			_, _, refusals := q.Add(0, r)
			require.Len(t, refusals, 1)
			at := refusals[0].RetryAfter
			assert.Positive(t, at)
			assert.LessOrEqual(t, at, r.Deadline/returnPart)
			times[at/placeTime]++
		}
		for place, count := range times {
			assert.LessOrEqual(t, count, perPlace+1, place)
		}
	})
	t.Run("urgent first", func(t *testing.T) {
		q := testQueue(1)
		var last time.Duration
		for p := range Priorities {
			r := testRequest(uint64(p), "a", p, 0)
			r.PatienceEnds = 0
			_, _, refusals := q.Add(0, r)
			assert.Greater(t, refusals[0].RetryAfter, last)
			last = refusals[0].RetryAfter
		}
	})
	t.Run("as late as honoured above capacity", func(t *testing.T) {
		q := testQueue(0)
		var refusal Refusal
		now := time.Duration(0)
		for number := uint64(0); now < 3*time.Second; now += 2 * time.Millisecond {
			number++
			if _, queued, refusals := q.Add(now, testRequest(number, "a", 0, now)); !queued {
				refusal = refusals[0]
			}
			q.Next(now, func(*Request) bool { return number%3 == 0 })
		}
		limit := 10 * time.Second / returnPart
		assert.InDelta(t, limit.Seconds(), refusal.RetryAfter.Seconds(), limit.Seconds()*2/3)
	})
	t.Run("no time left", func(t *testing.T) {
		q := testQueue(0)
		r := testRequest(1, "a", 0, 0)
		r.Deadline, r.PatienceEnds = 0, 0
		_, _, refusals := q.Add(0, r)
		assert.Zero(t, refusals[0].RetryAfter)
	})
}

// Operators must see each request counted once, and the share of the work.
func TestView(t *testing.T) {
	q := testQueue(0)
	q.Admit(0, testRequest(1, "b", 0, 0))
	q.Admit(0, testRequest(2, "b", 0, 0))
	q.Admit(0, testRequest(3, "a", 0, 0))
	returning := testRequest(4, "a", 0, 0)
	returning.Returning = true
	mustAdd(t, q, 0, returning)
	refused := testRequest(5, "a", 1, 0)
	refused.PatienceEnds = 0
	q.Add(0, refused)
	v := q.View(time.Second)
	assert.Equal(t, []WorkspaceView{
		{Workspace: "a", Weight: 1, Waiting: 1, Offered: 2, Granted: 1, Refused: 1, Work: 200, Share: 1.0 / 3},
		{Workspace: "b", Weight: 1, Offered: 2, Granted: 2, Work: 400, Share: 2.0 / 3},
	}, v.Workspaces)
	q.Clear()
	assert.Empty(t, q.View(20*time.Second).Workspaces)
}

// Values from other hosts must not stop the queue, nor give their sender more than its share.
func TestHostileValues(t *testing.T) {
	numbers := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e-300, 1e300}
	times := []time.Duration{math.MinInt64, -1, 0, time.Second, math.MaxInt64}
	q := testQueue(64)
	number := uint64(0)
	for _, weight := range numbers {
		for _, cost := range numbers {
			for _, at := range times {
				for _, priority := range []int{math.MinInt, 0, 3, math.MaxInt} {
					number++
					r := Request{Key: Key{"h", number}, Workspace: "bad", Weight: weight, Cost: cost, Priority: priority,
						OnTimeBy: at, PatienceEnds: -at, Deadline: at}
					q.Add(times[number%5], r)
					q.Admit(times[number%5], r)
				}
			}
		}
	}
	q.SetRoom(math.MaxInt, math.MaxInt64)
	q.SetRoom(-1, -1)
	q.SetRoom(testSlots, testService)
	v := q.View(q.now)
	assert.False(t, math.IsNaN(v.Room) || math.IsInf(v.Room, 0), v.Room)
	for _, w := range v.Workspaces {
		assert.False(t, math.IsNaN(w.Work+w.Share) || math.IsInf(w.Work, 0))
	}
	q.Clear()
	now := q.now
	mustAdd(t, q, now, testRequest(1, "good", 0, now))
	r, _, ok := q.Next(now, any1)
	assert.True(t, ok)
	assert.Equal(t, "good", r.Workspace)
}

// Every value must be within its bounds before it is added to a sum: one NaN would make all forecasts NaN.
func TestValuesAreBounded(t *testing.T) {
	for given, want := range map[float64]float64{-1: 1, 0: 1, math.Inf(1): 1, math.Inf(-1): 1, 2.5: 2.5, 1e-9: fairqueue.MinWeight, 1e9: fairqueue.MaxWeight} {
		assert.Equal(t, want, boundedWeight(given), given)
	}
	assert.Equal(t, 1.0, boundedWeight(math.NaN()))
	for given, want := range map[float64]float64{-1: 1, 0: 1, math.Inf(1): maxCost, math.Inf(-1): 1, 2.5: 2.5, 1e9: maxCost} {
		assert.Equal(t, want, boundedCost(given), given)
	}
	assert.Equal(t, 1.0, boundedCost(math.NaN()))
	for given, want := range map[time.Duration]time.Duration{math.MaxInt64: 2 * time.Hour, math.MinInt64: 0, time.Minute: time.Minute} {
		assert.Equal(t, want, boundedTime(time.Hour, given), given)
	}
	for given, want := range map[int]int{-1: DefaultMaxRequests, 0: DefaultMaxRequests, 7: 7, 1 << 40: MaxRequests} {
		assert.Equal(t, want, boundedMaxRequests(given))
	}
}

// Memory must be bounded, whatever the number of workspaces.
func TestWorkspacesAreBounded(t *testing.T) {
	t.Parallel()
	q := testQueue(64)
	for n := range uint64(3 * maxWorkspaces) {
		r := testRequest(n, string(rune('a'+n%26))+time.Duration(n).String(), int(n%4), 0)
		if n%2 == 0 {
			q.Admit(0, r)
		} else {
			q.Add(0, r)
		}
	}
	assert.LessOrEqual(t, len(q.ledger.workspaces), maxWorkspaces)
	assert.LessOrEqual(t, q.Len(), 64)
	for p := range q.levels {
		assert.LessOrEqual(t, len(q.levels[p].lanes), maxWorkspaces)
	}
}

// Guards against an owner that keeps a free slot from a request, as it may wait, while the queue then refuses it or another one.
func TestRefusalsFollowHasPlace(t *testing.T) {
	for _, maxRequests := range []int{20, 0} {
		q := testQueue(maxRequests)
		for n := range uint64(600) {
			r := testRequest(n, "a", int(n/200)%2, 0)
			place := q.HasPlace(0, r)
			_, queued, refusals := q.Add(0, r)
			require.Equal(t, queued && len(refusals) == 0, place, "request %d", n)
		}
	}
}
