package test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/platform/platformtest"
)

// idleStopTime is longer than a stopping host takes to end if no request arrives.
const idleStopTime = 2600 * time.Millisecond

// connectAndCall opens a connection to a host and completes one request on it.
func (s *soak) connectAndCall(h *soakHost, id string) *soakConn {
	c := h.dial()
	require.NotNil(s.t, c)
	s.t.Cleanup(func() { _ = c.Close() })
	require.NoError(s.t, c.send("check", id, requestPause{}).err)
	return c
}

// signalStop sends SIGTERM and returns once the host has logged that it is stopping.
func (s *soak) signalStop(h *soakHost) {
	h.signal(syscall.SIGTERM)
	require.Eventually(s.t, func() bool {
		log, err := os.ReadFile(h.log.Name())
		return err == nil && bytes.Contains(log, []byte("Stopping."))
	}, waitTimeout, time.Millisecond)
}

// Guards against a stopping host that closes keep-alive connections with unread requests on them, because it was paused or
// short of CPU time just before its end.
func TestRequestsThatAreUnreadAtTheEndOfAHost(t *testing.T) {
	s := newSoak(t, 1)
	s.endFaults()
	h := s.hosts[0]
	conns := make([]*soakConn, 20)
	for i := range conns {
		conns[i] = s.connectAndCall(h, fmt.Sprintf("before-%d", i))
	}
	s.signalStop(h)
	h.signal(syscall.SIGSTOP)
	errs, statuses := make([]error, len(conns)), make([]int, len(conns))
	var answered sync.WaitGroup
	for i, c := range conns {
		answered.Go(func() {
			r := c.send("check", fmt.Sprintf("unread-%d", i), requestPause{})
			if errs[i] = r.err; r.resp != nil {
				statuses[i] = r.resp.StatusCode
			}
		})
	}
	time.Sleep(idleStopTime)
	h.signal(syscall.SIGCONT)
	answered.Wait()
	for i, err := range errs {
		require.NoError(t, err, "request %d has neither an answer nor a refusal", i)
	}
	// How many requests the host reads before it ends depends on the scheduling of its goroutines.
	t.Logf("statuses: %v", statuses)
}

// Guards against a stopping host that dispatches a streaming request whose body arrived just before the host ends, and then
// cuts the stream.
func TestStreamWhoseBodyComesAroundTheEndIsAnsweredWhole(t *testing.T) {
	s := newSoak(t, 1)
	s.endFaults()
	s.mu.Lock()
	for _, b := range s.backends {
		b.Pace = 100 * time.Millisecond
	}
	s.mu.Unlock()
	var wg sync.WaitGroup
	for i, h := range s.hosts {
		c := s.connectAndCall(h, fmt.Sprintf("before-%d", i))
		wg.Go(func() {
			h.signal(syscall.SIGTERM)
			time.Sleep(2430 * time.Millisecond)
			_, err := fmt.Fprintf(c, "POST /stream/x HTTP/1.1\r\nHost: %s\r\nX-Fireflyshift-Attempt-Id: around-%d\r\nX-Fireflyshift-Credential: %s\r\n"+
				"X-Fireflyshift-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbo", soakDomain, i, soakKey)
			if err != nil {
				return // too late: the host has already ended
			}
			time.Sleep(time.Duration(100+10*i) * time.Millisecond)
			_, _ = io.WriteString(c, "dy")
			resp, err := http.ReadResponse(c.r, nil)
			if !assertComplete(t, err) || resp.StatusCode != http.StatusOK {
				return
			}
			body, err := io.ReadAll(resp.Body)
			if assertComplete(t, err) && string(body) != platformtest.Stream(0, soakEvents) {
				t.Errorf("host %d: %q", i, body)
			}
		})
	}
	wg.Wait()
}

func assertComplete(t *testing.T, err error) bool {
	if err != nil {
		t.Errorf("neither a complete answer nor a refusal: %v", err)
	}
	return err == nil
}

// Guards against a stopping host that ends before it has accepted connections opened before the load balancer stopped sending
// to it, because it was paused or short of CPU time: requests on them are reset.
func TestRequestsOnConnectionsThatWaitForTheirHostAreAnswered(t *testing.T) {
	s := newSoak(t, 1)
	s.endFaults()
	h := s.hosts[0]
	s.signalStop(h)
	time.Sleep(soakBalancerDelay / 2)
	h.signal(syscall.SIGSTOP)
	errs := make([]error, 20)
	var answered sync.WaitGroup
	for i := range errs {
		c := h.dial()
		require.NotNil(t, c)
		defer c.Close()
		answered.Go(func() { errs[i] = c.send("check", fmt.Sprintf("waiting-%d", i), requestPause{}).err })
	}
	time.Sleep(idleStopTime)
	h.signal(syscall.SIGCONT)
	answered.Wait()
	for i, err := range errs {
		require.NoError(t, err, "request %d has neither an answer nor a refusal", i)
	}
}
