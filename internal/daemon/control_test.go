package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/member"
)

// Guards against a query that runs after its caller has given up and writes what the caller reads.
func TestLateQueryDoesNotWriteItsCallersResult(t *testing.T) {
	c := &control{queue: make(chan queueEntry, 1)}
	result, ok := query(c, time.Millisecond, func(*core.Core) []int { return []int{1} })
	require.False(t, ok)
	late := make(chan struct{})
	go func() {
		defer close(late)
		(<-c.queue).query(nil)
	}()
	require.Empty(t, result) // the race detector sees a write beside this
	<-late
	require.Empty(t, result)
}

// Guards against the same in what is built on queries: a status that is read while the control thread still fills it.
func TestStatusOfABusyHostIsEmpty(t *testing.T) {
	k := core.New(core.Options{Self: member.Host{ID: "a", Zone: "z"}})
	d := &Daemon{control: &control{core: k, queue: make(chan queueEntry, 1)}}
	late := make(chan struct{})
	go func() {
		defer close(late)
		e := <-d.control.queue
		time.Sleep(queryTimeout + 100*time.Millisecond)
		e.query(k)
	}()
	s, ok := d.Status()
	require.False(t, ok)
	require.Empty(t, s)
	<-late
}
