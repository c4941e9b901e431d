package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against waiting requests that are all refused before the first slot can become free: while nothing is granted because every
// answer takes a second, the measured capacity must not fall.
func TestCapacityHoldsUntilTheFirstSlotIsFree(t *testing.T) {
	const slots, service = 5, time.Second
	q := New(Config{MaxRequests: 64})
	q.SetRoom(slots, service)
	request := func(n uint64, now time.Duration) Request {
		return Request{Key: Key{Host: "h", Number: n}, Workspace: "w", Cost: 1000, OnTimeBy: now + 2*time.Second,
			PatienceEnds: now + 2500*time.Millisecond, Deadline: now + 10*time.Second}
	}
	for n := range uint64(slots) {
		q.Admit(0, request(n, 0))
	}
	queued := 0
	for n := uint64(slots); n < 2*slots; n++ {
		if _, ok, _ := q.Add(50*time.Millisecond, request(n, 50*time.Millisecond)); ok {
			queued++
		}
	}
	require.Equal(t, slots, queued, "the next five get the slots after a second")
	for now := 75 * time.Millisecond; now < service; now += 25 * time.Millisecond {
		require.Empty(t, q.Expire(now), "at %s", now)
	}
}
