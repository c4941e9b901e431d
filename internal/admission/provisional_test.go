package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// overload admits requests of priority 0 for some seconds, 200 per second for a capacity of 180.
func overload(q *Queue, from, to time.Duration) {
	for now := from; now < to; now += time.Second / 200 {
		q.Admit(now, testRequest(uint64(1e6+now), "a", 0, now))
	}
}

// provisional returns a queue in which as many requests of priority 1 wait as may, while more urgent ones take all slots.
func provisional(t *testing.T) (q *Queue, now time.Duration) {
	now = 4 * time.Second
	q = testQueue(0)
	overload(q, 0, now)
	for n := range uint64(200) {
		r := testRequest(n, "b", 1, now)
		wait, queued, _ := q.Add(now, r)
		if queued {
			assert.Equal(t, testTarget, wait)
		}
		assert.Equal(t, n < uint64(q.Len()), queued)
	}
	return q, now
}

// Guards against slots that stay idle when more urgent demand ends, and against a queue that holds more than it could serve in time.
func TestForecastWithoutASlotWaitsProvisionally(t *testing.T) {
	q, now := provisional(t)
	assert.InDelta(t, onTimePart*testTarget.Seconds()*180, q.Len(), 2)
	assert.Equal(t, q.Len(), q.View(now).Workspaces[1].Provisional)
	_, ok := q.PredictedWait(now, testRequest(1000, "c", 1, now))
	assert.False(t, ok, "no slot is promised")
	assert.Zero(t, q.levels[levelOf(1, onTime)].arrivals.value, "less urgent forecasts need not expect them")
	now += reviewInterval
	assert.Empty(t, q.Expire(now))
	_, _, ok = q.Next(now, any1)
	assert.True(t, ok)
}

// Guards against provisional waits that outlast their use: callers would be refused too late to be served on return.
func TestExpireEndsProvisionalWaitsAtTheTarget(t *testing.T) {
	q, now := provisional(t)
	count, refused := q.Len(), 0
	for end := now + testTarget + 2*reviewInterval; now < end; now += reviewInterval {
		overload(q, now, now+reviewInterval)
		for _, f := range q.Expire(now + reviewInterval) {
			refused++
			assert.Equal(t, WaitTooLong, f.Cause)
			assert.Positive(t, f.RetryAfter)
		}
	}
	assert.Equal(t, count, refused)
	assert.Zero(t, q.Len())
}

// Guards against a share of provisional waits above one, as operators compare them with what was offered: returning callers and
// requests that ask again are not offered anew.
func TestViewCountsProvisionalWaitsOnce(t *testing.T) {
	q, now := provisional(t)
	count := q.View(now).Workspaces[1].Provisional
	last := testRequest(uint64(q.Len()-1), "b", 1, now)
	_, queued, _ := q.Add(now, last)
	assert.True(t, queued)
	assert.True(t, q.Remove(last.Key))
	returning := testRequest(1000, "b", 1, now)
	returning.Returning = true
	_, queued, _ = q.Add(now, returning)
	assert.True(t, queued)
	assert.Equal(t, count, q.View(now).Workspaces[1].Provisional)
}
