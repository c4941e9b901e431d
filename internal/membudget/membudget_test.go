package membudget

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

const capacity = 1 << 20

// clock is a budget's clock.
type clock struct{ now time.Time }

func newBudget() (*Budget, *clock) {
	c := &clock{time.Unix(1000, 0)}
	b := New(capacity)
	b.now = func() time.Time { return c.now }
	return b, c
}

// member is a caller whose account is closed when it is turned away, as a handler does.
func member(b *Budget) (a *Account, left *bool) {
	left = new(bool)
	a = b.Open()
	a.Receive(func() {
		*left = true
		a.Close()
	})
	return a, left
}

// Guards against memory that is counted for good, or twice.
func TestClosedAccountsHoldNothing(t *testing.T) {
	b, c := newBudget()
	for range 10 {
		a, _ := member(b)
		require.NoError(t, a.Reserve(1000))
		a.Progress(1000)
		require.True(t, a.Pause())
		a.Resume()
		require.Equal(t, int64(1), b.places.Load())
		c.now = c.now.Add(2 * StallTime)
		require.Equal(t, 1, b.FreePlaces())
		a.Close()
		require.Zero(t, b.Stats().Used)
		require.Zero(t, b.leaving)
		require.Zero(t, b.places.Load())
		require.Empty(t, b.accounts)
	}
}

// Guards against a crowd that stays and shuts everybody else out.
func TestCallersWithoutProgressMakeRoom(t *testing.T) {
	b, c := newBudget()
	var left []*bool
	for range capacity / (64 << 10) {
		a, gone := member(b)
		if a.Reserve(64<<10) != nil {
			a.Close()
			break
		}
		left = append(left, gone)
		c.now = c.now.Add(time.Millisecond)
	}
	c.now = c.now.Add(2 * StallTime)
	first, _ := member(b)
	_ = first.Reserve(64 << 10) // memory is free as soon as those that were turned away have gone
	first.Close()
	for range 100 {
		a, _ := member(b)
		require.NoError(t, a.Reserve(64<<10))
		a.Close()
	}
	require.True(t, *left[0], "the one that has been without progress for the longest time")
	require.False(t, *left[len(left)-1], "no more have to leave than it takes")
}

// Guards against honest callers that are turned away because others make no progress.
func TestCallersWithProgressStay(t *testing.T) {
	b, c := newBudget()
	steady, gone := member(b)
	require.NoError(t, steady.Reserve(100<<10))
	for range 100 {
		c.now = c.now.Add(StallTime / 5)
		steady.Progress(minProgress / 2)
		a, _ := member(b)
		_ = a.Reserve(512 << 10)
		b.TurnAwayStalled()
	}
	require.False(t, *gone)
}

// Guards against a caller that stays because it sends a byte now and then.
func TestSingleBytesAreNoProgress(t *testing.T) {
	b, c := newBudget()
	a, gone := member(b)
	for range 10 {
		c.now = c.now.Add(StallTime / 5)
		a.Progress(1)
	}
	require.True(t, b.TurnAwayOne())
	require.True(t, *gone)
}

// Guards against a caller that is turned away although this host does not read.
func TestPausesOfTheHostAreNoPausesOfTheCaller(t *testing.T) {
	b, c := newBudget()
	a, gone := member(b)
	require.True(t, a.Pause())
	c.now = c.now.Add(10 * StallTime)
	require.Zero(t, b.TurnAwayStalled())
	a.Resume()
	require.Zero(t, b.TurnAwayStalled())
	c.now = c.now.Add(2 * StallTime)
	require.Equal(t, 1, b.TurnAwayStalled())
	require.True(t, *gone)
}

// Guards against large bodies that leave no memory for ordinary requests.
func TestSmallRequestsHaveAReserve(t *testing.T) {
	b, _ := newBudget()
	large, _ := member(b)
	for range capacity / (64 << 10) {
		_ = large.Reserve(64 << 10)
	}
	small, _ := member(b)
	require.NoError(t, small.Reserve(SmallRequest))
	require.ErrorIs(t, small.Reserve(1), ErrExhausted)
}

// Guards against a complete request that is turned away: it has been promised an answer.
func TestCompleteRequestsStay(t *testing.T) {
	b, c := newBudget()
	a, gone := member(b)
	require.NoError(t, a.Reserve(512<<10))
	require.True(t, a.Pause())
	c.now = c.now.Add(time.Hour)
	other, _ := member(b)
	require.ErrorIs(t, other.Reserve(512<<10), ErrExhausted)
	require.Zero(t, b.TurnAwayStalled())
	require.False(t, *gone)
}

// Guards against an account that takes more after it was turned away, or after its request was answered.
func TestTurnedAwayIsFinal(t *testing.T) {
	b, c := newBudget()
	a := b.Open()
	a.Receive(func() {})
	require.NoError(t, a.Reserve(1000))
	c.now = c.now.Add(2 * StallTime)
	require.True(t, b.TurnAwayOne())
	require.False(t, b.TurnAwayOne(), "once")
	require.ErrorIs(t, a.Reserve(1), ErrExhausted)
	require.False(t, a.Pause())
	require.True(t, a.TurnedAway())
	a.Close()
	a.Receive(func() {})
	require.NoError(t, a.Reserve(1000), "the next request on the connection")
	require.True(t, a.Pause())
}

// Guards against buffers of another size than what is read, and against bytes that are lost as a buffer grows.
func TestReadAllHoldsWhatItReads(t *testing.T) {
	for _, size := range []int{0, 1, 2000, minBuffer, minBuffer + 1, 100_000} {
		for _, length := range []int64{-1, int64(size)} {
			b, _ := newBudget()
			a := b.Open()
			want := bytes.Repeat([]byte("x"), size)
			got, whole, err := a.ReadAll(iotest.HalfReader(bytes.NewReader(want)), length, 200_000)
			require.NoError(t, err)
			require.True(t, whole)
			require.Equal(t, len(want), len(got))
			require.Equal(t, int64(cap(got)), a.held)
		}
	}
	b, _ := newBudget()
	got, whole, err := b.Open().ReadAll(bytes.NewReader(make([]byte, 5000)), -1, 5000)
	require.NoError(t, err)
	require.False(t, whole, "there may be more")
	require.Len(t, got, 5000)
	_, _, err = b.Open().ReadAll(io.MultiReader(bytes.NewReader(make([]byte, 5000)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, 10_000)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	got, _, err = b.Open().ReadAll(bytes.NewReader(make([]byte, 2*capacity)), -1, 2*capacity)
	require.ErrorIs(t, err, ErrExhausted)
	require.NotEmpty(t, got)
	got, whole, err = (*Account)(nil).ReadAll(bytes.NewReader(make([]byte, 2*capacity)), -1, 4*capacity)
	require.NoError(t, errors.Join(err))
	require.True(t, whole, "a nil account has no limit")
	require.Len(t, got, 2*capacity)
}
