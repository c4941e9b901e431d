package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/platform/platformtest"
)

// Each of these tests starts hosts as processes, lets a peak of callers wait at the owner of the backend servers, and injects one
// failure then.

const (
	// peakService is how long a backend server works on each request of a peak. Three servers of five slots serve 37 a second.
	peakService = 400 * time.Millisecond
	// peakCalls of each kind arrive within peakSpread. They take somewhat less than the patience of their callers.
	peakCalls  = 40
	peakSpread = 200 * time.Millisecond
	// peakWaves limits the waves of callers until some of them wait.
	peakWaves = 10
	// answerMargin is how long after the end of its patience a caller has its answer or refusal.
	answerMargin = time.Second
	// peakPause is how long a paused host stands still.
	peakPause = 1500 * time.Millisecond
	// peakRetryFor is how long a caller looks for a host that accepts its connection.
	peakRetryFor = 15 * time.Second
)

// peakPatience is how long a call waits for a slot at most: 0.7 of the time until a stream's caller leaves, four target latencies of
// any other.
var peakPatience = map[string]time.Duration{"stream": 1400 * time.Millisecond, "once": 2 * time.Second}

// queuePeak is a fleet whose hosts have admission queues.
type queuePeak struct {
	*soak
	callers         sync.WaitGroup
	served, refused int // under mu
}

func newQueuePeak(t *testing.T, seed uint64) *queuePeak {
	p := &queuePeak{soak: newSoakWith(t, seed, true)}
	p.endFaults()
	for _, b := range p.backends {
		b.Pace = peakService
		if b.Events > 0 {
			b.Pace = peakService / soakEvents
		}
	}
	return p
}

// queued returns the number of requests that wait at a host, zero if the host does not answer.
func (p *queuePeak) queued(h *soakHost) int {
	var s core.Status
	_, text, err := fleet.Get("http://" + h.ip + platformtest.ControlPort + "/status")
	if err != nil || json.Unmarshal([]byte(text), &s) != nil {
		return 0
	}
	n := 0
	for _, q := range s.Queues {
		n += q.Requests
	}
	return n
}

// begin starts waves of callers until some wait, and returns their owner. On a busy machine an owner may reply too late to queue any of
// the first wave.
func (p *queuePeak) begin() *soakHost {
	for range peakWaves {
		p.wave()
		for end := time.Now().Add(peakService); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			for _, h := range p.hosts {
				if p.queued(h) > 0 {
					return h
				}
			}
		}
	}
	require.Fail(p.t, "no request waits")
	return nil
}

// wave starts callers at all hosts.
func (p *queuePeak) wave() {
	for i := range peakCalls {
		for _, kind := range []string{"stream", "once"} {
			h, start := p.hosts[i%soakHosts], time.Duration(p.rng.Int64N(int64(peakSpread)))
			p.callers.Go(func() {
				time.Sleep(start)
				p.caller(h, kind)
			})
		}
	}
}

// caller makes a call, and another one at the next host if its host has closed the connection and the request may run again.
func (p *queuePeak) caller(h *soakHost, kind string) {
	next := 0
	for p.hosts[next] != h {
		next++
	}
	for end := time.Now().Add(peakRetryFor); time.Now().Before(end); next++ {
		c := p.hosts[next%soakHosts].dial()
		if c == nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		finished := p.ask(c, kind)
		_ = c.Close()
		if finished || kind == "once" {
			return
		}
	}
	p.addFailure("a caller of %s found no host", kind)
}

// ask makes one request and checks its time. It reports whether the caller has an answer or a refusal.
func (p *queuePeak) ask(c *soakConn, kind string) bool {
	id := p.newCall(c, kind)
	r := c.send(kind, id, requestPause{})
	if r.resp != nil {
		p.checkAnswer(id, kind, r.resp, r.body, r.err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.err != nil {
		if !r.sentAt.IsZero() {
			p.failedCalls = append(p.failedCalls, failedCall{r, c.process, id, kind, requestPause{}, c.opened})
		}
		return false
	}
	bound := peakPatience[kind] + answerMargin
	if c.process.pausedUntil.Load() >= r.sentAt.UnixMilli() {
		bound += peakPause
	}
	if p.calls[id].refused {
		p.refused++
	} else {
		p.served++
		bound += peakService
	}
	if took := r.receivedAt.Sub(r.sentAt); took > bound {
		p.failures = append(p.failures, fmt.Sprintf("%s at %s got its %d after %s, %s are allowed", id, c.process.host.ip, r.resp.StatusCode, took, bound))
	}
	return true
}

// end waits for all callers and checks what they, the backend servers and the hosts have seen.
func (p *queuePeak) end() {
	p.callers.Wait()
	require.Eventually(p.t, func() bool {
		waiting := 0
		for _, h := range p.hosts {
			waiting += p.queued(h)
		}
		return waiting == 0
	}, waitTimeout, 20*time.Millisecond, "requests wait although all callers have left")
	p.checkInvariants()
	for _, f := range p.failures {
		p.t.Error(f)
	}
	require.Positive(p.t, p.served)
	p.t.Logf("%d served, %d refused, %d failed as allowed: %v", p.served, p.refused, len(p.failedCalls), p.allowedFailures)
}

// TestQueuesThroughFailures guards against callers that get neither an answer nor a true refusal in time, and against requests that run
// twice, when the owner at which they wait fails.
func TestQueuesThroughFailures(t *testing.T) {
	for name, fail := range map[string]func(p *queuePeak, owner *soakHost){
		"owner killed":  func(p *queuePeak, owner *soakHost) { p.restartHost(owner, syscall.SIGKILL, time.Second) },
		"owner paused":  func(p *queuePeak, owner *soakHost) { p.pauseHost(owner, peakPause) },
		"owner drained": func(p *queuePeak, owner *soakHost) { p.restartHost(owner, syscall.SIGTERM, 0) },
		"all killed": func(p *queuePeak, _ *soakHost) {
			for _, h := range p.hosts {
				p.restartHost(h, syscall.SIGKILL, 200*time.Millisecond)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newQueuePeak(t, 1)
			fail(p, p.begin())
			p.end()
		})
	}
}

// TestQueuesWithoutTheStore guards the same where the store is unavailable throughout, and against a host that does not serve after a
// restart meanwhile.
func TestQueuesWithoutTheStore(t *testing.T) {
	t.Parallel()
	p := newQueuePeak(t, 1)
	p.store.SetFault(func(*http.Request) platformtest.Fault { return platformtest.Fault{Drop: true} })
	owner := p.begin()
	p.restartHost(owner, syscall.SIGKILL, 0)
	p.end()
	require.Eventually(t, func() bool { return platformtest.Ready(owner.ip) }, waitTimeout, 20*time.Millisecond)
}
