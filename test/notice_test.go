package test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that ends a connection in the middle of a head: the caller would get no reason and no time to come
// back.
func TestStopWaitsForAHeadThatIsStillRead(t *testing.T) {
	b := stopBed(t, time.Millisecond)
	c := connect(t, b.callers("a1"))
	_, err := c.Write([]byte(stockRequest[:headStart]))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // the host has read them
	b.hosts["a1"].Signal(syscall.SIGTERM)
	time.AfterFunc(drainGrace+time.Second, func() { _, _ = c.Write([]byte(stockRequest[headStart:])) })
	r := c.read()
	require.Equal(t, http.StatusServiceUnavailable, r.status, "%s", r)
	require.Equal(t, notRun, r.work)
	require.NoError(t, b.hosts["a1"].Wait(patience))
}

// Guards against an idle connection that ends without the word that a request which has just been sent on it has not run.
func TestStopTellsIdleConnectionsThatNothingRan(t *testing.T) {
	b := stopBed(t, time.Millisecond)
	c := connectKept(t, b.callers("a1"))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	r := c.read()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusRequestTimeout, r.status)
	require.Equal(t, notRun, r.work)
	require.True(t, r.last)
	require.NoError(t, b.hosts["a1"].Wait(patience))
}
