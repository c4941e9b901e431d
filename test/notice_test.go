package test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// Guards against a stop that closes a connection in the middle of a request head: the caller would get no reason and no
// retry delay.
func TestStopWaitsForAHeadThatIsStillRead(t *testing.T) {
	b := newSingleHostBed(t, time.Millisecond)
	c := connect(t, b.addr("a1"))
	_, err := c.Write([]byte(stockRequest[:headBytesSent]))
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond) // until the host has read them
	b.hosts["a1"].Signal(syscall.SIGTERM)
	time.AfterFunc(drainGrace+time.Second, func() { _, _ = c.Write([]byte(stockRequest[headBytesSent:])) })
	r := c.read()
	require.Equal(t, http.StatusServiceUnavailable, r.status, "%s", r)
	require.Equal(t, notRun, r.work)
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
}

// Guards against an idle connection that closes without a response: a caller that has just sent a request on it could not know
// that the request did not run.
func TestStopNotifiesIdleConnections(t *testing.T) {
	b := newSingleHostBed(t, time.Millisecond)
	c := connectReused(t, b.addr("a1"))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	r := c.read()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusRequestTimeout, r.status)
	require.Equal(t, notRun, r.work)
	require.True(t, r.closes)
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
}

// Guards against a drain limit that closes a connection without a status when the plain service has begun its answer but the
// host has sent none of it to the caller.
func TestDrainLimitWhereAPlainServiceHasBegun(t *testing.T) {
	b := newTestbed(t, "a1")
	b.extraSettings = "limit = 1s\n"
	begun := make(chan struct{}, 1)
	addr, stop := fleet.Serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "part")
		w.(http.Flusher).Flush()
		begun <- struct{}{}
		<-r.Context().Done()
	}))
	t.Cleanup(stop)
	b.platform.PublishRaw(fleet.Backend("git-1", "git", "zone-a", addr, 4, "active"))
	b.start()
	c := connect(t, b.addr("a1"))
	_, err := c.Write([]byte(strings.Replace(stockRequest, "Content-Length", "Fireflyshift-Deadline-Ms: "+longDeadline+"\r\nContent-Length", 1)))
	require.NoError(t, err)
	<-begun
	b.hosts["a1"].Signal(syscall.SIGTERM)
	r := c.read()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusBadGateway, r.status)
}

// Guards against a caller without a valid key that never sends its body, and so keeps a stopping host until its drain limit.
func TestRefusedCallerWhoseBodyStaysAwayDoesNotKeepAHost(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	c := connect(t, b.addr("a1"))
	_, err := c.Write([]byte("POST /services/git/x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 1000\r\n\r\nhalf"))
	require.NoError(t, err)
	b.hosts["a1"].Signal(syscall.SIGTERM)
	r := c.read()
	require.NoError(t, r.err)
	require.Equal(t, http.StatusUnauthorized, r.status)
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
}

// Guards against new connections that keep a stopping host until its drain limit, as from a load balancer that is late to
// probe readiness.
func TestConnectionsThatComeOnDoNotKeepAHost(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	done := make(chan struct{})
	go func() { // eight new connections a second; each sends one complete request 150 ms later
		for {
			select {
			case <-done:
				return
			case <-time.After(125 * time.Millisecond):
			}
			go func() {
				c, err := net.Dial("tcp", b.addr("a1"))
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(150 * time.Millisecond)
				fmt.Fprint(c, stockRequest)
				_ = c.SetDeadline(time.Now().Add(waitTimeout))
				_, _ = c.Read(make([]byte, 100))
			}()
		}
	}()
	time.Sleep(500 * time.Millisecond)
	b.hosts["a1"].Signal(syscall.SIGTERM)
	err := b.hosts["a1"].Wait(waitTimeout)
	close(done)
	require.NoError(t, err, "the host stopped only at its drain limit")
}
