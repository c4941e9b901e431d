package test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// In this profile the hosts have admission queues, and waves of a large workspace are beside the other faults. Some of its callers
// leave before they are answered, others repeat their requests at once.

const (
	largeWorkspace = "large"
	largeKey       = "large-key"
	// largePrefix begins the IDs of the large workspace's calls.
	largePrefix = "large-"
	// A wave has minWave to minWave+waveSpread callers at once. The engines have ten slots in all.
	minWave    = 20
	waveSpread = 60
)

// key returns the API key of the connection's requests.
func (c *soakConn) key() string {
	if c.large {
		return largeKey
	}
	return soakKey
}

// workspaceOf returns the workspace of a call.
func workspaceOf(id string) string {
	if strings.HasPrefix(id, largePrefix) {
		return largeWorkspace
	}
	return "soak"
}

// TestSoakQueues guards against requests that are lost, run twice, or are refused as not run although they ran, while requests
// wait at owners that are killed, paused and stopped, and against hosts that end with a violated invariant.
func TestSoakQueues(t *testing.T) {
	forSeeds(t, []uint64{1}, func(t *testing.T, seed uint64, duration time.Duration) {
		s := newSoakWith(t, seed, true)
		runSoakOn(s, seed, duration, (*soak).injectWave, (*soak).call)
		left := s.logLines(`"result":"ended"`)
		t.Logf("%d left while they waited, %d repeated a refused request at once, %d engines slowed down", left, s.repeated.Load(), s.slowed)
	})
}

// logLines returns the number of lines in the logs of all hosts that contain a text.
func (s *soak) logLines(text string) int {
	n := 0
	for _, h := range s.hosts {
		log, err := os.ReadFile(h.log.Name())
		require.NoError(s.t, err)
		n += bytes.Count(log, []byte(text))
	}
	return n
}

// slowWhenFull makes a backend server slow down when it has no or one free slot of its five.
func (s *soak) slowWhenFull() {
	s.slowed++
	s.randomBackend().SlowDownFrom(4+s.rng.IntN(2), float64(2+s.rng.IntN(5)))
}

// injectWave injects a wave, at times at a backend server that slows down, or another fault.
func (s *soak) injectWave() {
	switch s.rng.IntN(5) {
	case 0, 1:
		s.injectFault()
		return
	case 2:
		s.slowWhenFull()
	}
	oneHost, last := s.rng.IntN(3) == 0, s.rng.IntN(len(s.hosts))
	for range minWave + s.rng.IntN(waveSpread) {
		if !oneHost {
			last = s.rng.IntN(len(s.hosts))
		}
		h, kind, repeats := s.hosts[last], requestKinds[s.rng.IntN(len(requestKinds))], s.rng.IntN(3)
		start, leaves := time.Duration(s.rng.IntN(200))*time.Millisecond, time.Duration(0)
		if s.rng.IntN(3) == 0 {
			leaves = time.Duration(1+s.rng.IntN(100)) * time.Millisecond
		}
		s.stops.Add(1)
		go func() {
			defer s.stops.Done()
			time.Sleep(start)
			s.callLarge(h, kind, repeats, leaves)
		}()
	}
}

// callLarge makes a request of the large workspace and repeats it. If leaves is not zero, its caller closes the connection then.
func (s *soak) callLarge(h *soakHost, kind string, repeats int, leaves time.Duration) {
	if h.outOfBalancer.Load() {
		return
	}
	c := h.dial()
	if c == nil {
		return
	}
	defer c.Close()
	c.large = true
	if leaves > 0 {
		id := s.newCall(c, kind)
		time.AfterFunc(leaves, func() { _ = c.Close() })
		if r := c.send(kind, id, requestPause{}); r.resp != nil {
			s.checkAnswer(id, kind, r.resp, r.body, r.err)
		}
		return
	}
	for s.attempt(c, kind, requestPause{}) && repeats > 0 {
		repeats--
		if c.refused {
			s.repeated.Add(1)
		}
	}
}
