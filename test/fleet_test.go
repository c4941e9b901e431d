package test

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/platform"
)

// leaveTimeLimit is how long after its record a leaving backend server may still get requests: the watch and the peers pass
// the record on within a second, and a grant issued before that lives two seconds.
const leaveTimeLimit = 4 * time.Second

// runCount is how many requests the engine has begun.
func (b *testbed) runCount(engine string) int { return len(b.engines[engine].Stats().Runs) }

// Guards against requests sent to a leaving engine: its record or the host list marks it as leaving under load, while one host
// is paused with unused grants. The engine must not begin requests after the time limit.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.addEngine("e2", "zone-a", fastEngine())
	b.start()
	pausedHost := b.otherHost("zone-a", b.schedulerOf("notes", "zone-a"))
	runningHost := b.otherHost("zone-a", pausedHost)
	l := startLoad(12, func(worker, i int) fleet.Response {
		return tierCaller("mid").Chat(testCtx(t), b.addr([]string{runningHost, pausedHost}[worker%2]), "notes", fmt.Sprint(worker, "-", i), 10, true)
	})
	ranMore := func(engine string) func() bool {
		before := b.runCount(engine)
		return func() bool { return b.runCount(engine) > before+5 }
	}
	require.True(t, fleet.WaitUntil(waitTimeout, ranMore("e1")))
	b.hosts[pausedHost].Signal(syscall.SIGSTOP)
	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.backendProxies["e1"].Listen, 8, "leaving"))
	time.Sleep(leaveTimeLimit)
	after := b.runCount("e1")
	b.hosts[pausedHost].Signal(syscall.SIGCONT)
	require.True(t, fleet.WaitUntil(waitTimeout, ranMore("e2")))
	require.Equal(t, after, b.runCount("e1"), "requests begun after the time limit, or sent by the resumed host")

	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.backendProxies["e1"].Listen, 8, "active"))
	require.True(t, fleet.WaitUntil(waitTimeout, ranMore("e1")), "an engine that is active again gets no requests")
	b.platform.SetHosts(b.hostList(platform.Host{ID: "machine-1", Zone: "zone-a", Addr: b.backendProxies["e1"].Listen, Role: "backend", State: "leaving"}))
	time.Sleep(leaveTimeLimit)
	after = b.runCount("e1")
	require.True(t, fleet.WaitUntil(waitTimeout, ranMore("e2")))
	require.Equal(t, after, b.runCount("e1"), "requests begun by an engine that only the host list marks as leaving")
	for _, a := range l.stop() {
		require.True(t, a.OK() || a.ErrorKind != "", "%+v", a)
	}
	b.requireNoneRanTwice()
}

func (b *testbed) hostList(more ...platform.Host) []platform.Host {
	var rows []platform.Host
	for _, id := range b.hostIDs {
		rows = append(rows, platform.Host{ID: id, Zone: b.hostSpecs[id].Zone, Addr: b.hostSpecs[id].Peers, Role: "entry", State: "live"})
	}
	return append(rows, more...)
}

// loadBalancer picks hosts that report ready in turn, as the platform's does; it probes every 50 ms.
type loadBalancer struct {
	mu    sync.Mutex
	ready []string
	next  int
	stop  chan struct{}
}

func newLoadBalancer(b *testbed) *loadBalancer {
	l := &loadBalancer{stop: make(chan struct{})}
	b.t.Cleanup(func() { close(l.stop) })
	probe := func() {
		var ready []string
		for _, id := range b.hostIDs {
			if code, _, err := fleet.Get("http://" + b.hostSpecs[id].Admin + "/readyz"); err == nil && code == 200 {
				ready = append(ready, b.addr(id))
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
	probe()
	go func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(50 * time.Millisecond):
				probe()
			}
		}
	}()
	return l
}

func (l *loadBalancer) pick() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return "127.0.0.1:1"
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

// Guards against answers lost in a rolling upgrade: all hosts of a zone are replaced one after the other under load, and no
// caller behind the load balancer may lose a streamed or plain answer.
func TestRollOfAWholeZoneLosesNoAnswer(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.addEngine("e2", "zone-a", fastEngine())
	b.addPlainService("git-1", "zone-a", 3*time.Millisecond)
	b.start()
	lb := newLoadBalancer(b)
	l := startLoad(8, func(worker, i int) fleet.Response {
		if worker%2 == 0 {
			return tierCaller("top").Call(testCtx(t), "GET", lb.pick(), "git", fmt.Sprint(i), nil)
		}
		prompt := fmt.Sprint("p", worker, "-", i)
		a := tierCaller("mid").Chat(testCtx(t), lb.pick(), "notes", prompt, 60, true)
		if a.OK() && a.Text != fullAnswer(prompt, 60) {
			a.Err = fmt.Errorf("torn text")
		}
		return a
	})
	for _, id := range b.hostIDs {
		b.hosts[id].Signal(syscall.SIGTERM)
		require.NoError(t, b.hosts[id].Wait(waitTimeout), "%s", b.hosts[id].Log)
		b.startHost(id)
		require.True(t, fleet.Ready(waitTimeout, b.hostSpecs[id].Admin))
		time.Sleep(200 * time.Millisecond) // until the load balancer has probed it
	}
	answers := l.stop()
	for _, a := range answers {
		require.True(t, a.OK(), "%s\n%+v", countOutcomes(answers), a)
	}
	require.Greater(t, len(answers), 100)
	b.requireNoneRanTwice()
}

// Guards against a stopping host that cuts a stream: the stream must complete, new requests are refused as "not run", and the
// process ends after the last answer.
func TestShutdownWaitsForTheStream(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	done := make(chan fleet.Response, 1)
	go func() { done <- tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "long", 1000, true) }()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	var late fleet.Response
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool {
		late = tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "late", 1, false)
		return late.ErrorKind == "draining"
	}))
	require.Equal(t, "not run", late.Work)
	require.NotEmpty(t, late.RetryAfter)
	a := <-done
	require.True(t, a.OK(), "%+v", a)
	require.Equal(t, fullAnswer("long", 1000), a.Text)
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
}

// Guards against a host that never stops because of a stuck stream: the drain limit, or a second signal before it, must end
// the wait.
func TestSecondSignalAndDrainLimitEndTheWait(t *testing.T) {
	for _, secondSignal := range []bool{true, false} {
		b := newTestbed(t, "a1")
		b.extraSettings = "limit = 2s\n" // belongs to [drain], the last section of the settings
		o := fastEngine()
		o.Step = 100 * time.Millisecond
		b.addEngine("e1", "zone-a", o)
		b.start()
		done := make(chan fleet.Response, 1)
		go func() {
			done <- tierCaller("mid").WithHeader("Fireflyshift-Deadline-Ms", "600000").Chat(testCtx(t), b.addr("a1"), "notes", "stuck", 5000, true)
		}()
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 1 }))
		b.hosts["a1"].Signal(syscall.SIGTERM)
		if secondSignal {
			time.Sleep(600 * time.Millisecond)
			b.hosts["a1"].Signal(syscall.SIGTERM)
		}
		require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
		require.False(t, (<-done).OK(), "an answer that was cut must not look complete")
		want := "Drain limit reached"
		if secondSignal {
			want = "Second signal"
		}
		require.Contains(t, b.hosts["a1"].Log.String(), want)
	}
}
