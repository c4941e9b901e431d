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

// leaveBound is how long after its record a leaving backend server may still get work: the watch
// and the peers carry the news within a second, and a grant already out lives two seconds.
const leaveBound = 4 * time.Second

// totalRuns counts what an engine has begun.
func (b *bed) totalRuns(engine string) int { return len(b.engines[engine].Stats().Runs) }

// An operator takes an engine out, by its record or by the host list, while requests pour in, and
// one host sleeps through the news with grants in hand. The engine's last work must be within the
// bound; what it runs is answered whole.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	b := newBed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.addEngine("e2", "zone-a", fastEngine())
	b.start()
	sleeper := b.other("zone-a", b.scheduler("notes", "zone-a"))
	awake := b.other("zone-a", sleeper)
	l := startLoad(12, func(worker, i int) fleet.Response {
		return tiered("mid").Chat(ctx(t), b.callers([]string{awake, sleeper}[worker%2]), "notes", fmt.Sprint(worker, "-", i), 10, true)
	})
	busy := func(engine string) func() bool {
		before := b.totalRuns(engine)
		return func() bool { return b.totalRuns(engine) > before+5 }
	}
	require.True(t, fleet.WaitUntil(patience, busy("e1")))
	b.hosts[sleeper].Signal(syscall.SIGSTOP)
	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.toServer["e1"].Listen, 8, "leaving"))
	time.Sleep(leaveBound)
	after := b.totalRuns("e1")
	b.hosts[sleeper].Signal(syscall.SIGCONT)
	require.True(t, fleet.WaitUntil(patience, busy("e2")))
	require.Equal(t, after, b.totalRuns("e1"), "work after the bound, or from the host that woke up")

	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.toServer["e1"].Listen, 8, "active"))
	require.True(t, fleet.WaitUntil(patience, busy("e1")), "a server that returns gets work again")
	b.platform.SetHosts(b.hostRows(platform.Host{ID: "machine-1", Zone: "zone-a", Addr: b.toServer["e1"].Listen, Role: "backend", State: "leaving"}))
	time.Sleep(leaveBound)
	after = b.totalRuns("e1")
	require.True(t, fleet.WaitUntil(patience, busy("e2")))
	require.Equal(t, after, b.totalRuns("e1"), "the host list alone says that it is leaving")
	for _, a := range l.stop() {
		require.True(t, a.OK() || a.ErrorKind != "", "%+v", a)
	}
	b.requireOnce()
}

func (b *bed) hostRows(more ...platform.Host) []platform.Host {
	var rows []platform.Host
	for _, id := range b.order {
		rows = append(rows, platform.Host{ID: id, Zone: b.specs[id].Zone, Addr: b.specs[id].Peers, Role: "entry", State: "live"})
	}
	return append(rows, more...)
}

// balancer sends to hosts that say they are ready, as the platform's does, checking every 50 ms.
type balancer struct {
	mu    sync.Mutex
	ready []string
	next  int
	stop  chan struct{}
}

func newBalancer(b *bed) *balancer {
	l := &balancer{stop: make(chan struct{})}
	b.t.Cleanup(func() { close(l.stop) })
	check := func() {
		var ready []string
		for _, id := range b.order {
			if code, _, err := fleet.Get("http://" + b.specs[id].Admin + "/readyz"); err == nil && code == 200 {
				ready = append(ready, b.callers(id))
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.mu.Unlock()
	}
	check()
	go func() {
		for {
			select {
			case <-l.stop:
				return
			case <-time.After(50 * time.Millisecond):
				check()
			}
		}
	}()
	return l
}

func (l *balancer) pick() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return "127.0.0.1:1"
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

// All hosts of a zone are replaced one after the other under load, as for a new version. No caller
// behind the balancer may lose an answer, streamed or plain.
func TestRollOfAWholeZoneLosesNoAnswer(t *testing.T) {
	b := newBed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.addEngine("e2", "zone-a", fastEngine())
	b.addPlain("git-1", "zone-a", 3*time.Millisecond)
	b.start()
	lb := newBalancer(b)
	l := startLoad(8, func(worker, i int) fleet.Response {
		if worker%2 == 0 {
			return tiered("top").Call(ctx(t), "GET", lb.pick(), "git", fmt.Sprint(i), nil)
		}
		prompt := fmt.Sprint("p", worker, "-", i)
		a := tiered("mid").Chat(ctx(t), lb.pick(), "notes", prompt, 60, true)
		if a.OK() && a.Text != expected(prompt, 60) {
			a.Err = fmt.Errorf("torn text")
		}
		return a
	})
	for _, id := range b.order {
		b.hosts[id].Signal(syscall.SIGTERM)
		require.NoError(t, b.hosts[id].Wait(patience), "%s", b.hosts[id].Log)
		b.startHost(id)
		require.True(t, fleet.Ready(patience, b.specs[id].Admin))
		time.Sleep(200 * time.Millisecond) // the balancer has to see it
	}
	answers := l.stop()
	for _, a := range answers {
		require.True(t, a.OK(), "%s\n%+v", summarise(answers), a)
	}
	require.Greater(t, len(answers), 100)
	b.requireOnce()
}

// A host is told to stop while it streams a long answer. The answer goes on to its end; new callers
// are refused with "not run"; the process ends by itself after the last answer.
func TestShutdownWaitsForTheStream(t *testing.T) {
	b := newBed(t, "a1")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	done := make(chan fleet.Response, 1)
	go func() { done <- tiered("mid").Chat(ctx(t), b.callers("a1"), "notes", "long", 1000, true) }()
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(b.engineRuns()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	var late fleet.Response
	require.True(t, fleet.WaitUntil(patience, func() bool {
		late = tiered("mid").Chat(ctx(t), b.callers("a1"), "notes", "late", 1, false)
		return late.ErrorKind == "draining"
	}))
	require.Equal(t, "not run", late.Work)
	require.NotEmpty(t, late.RetryAfter)
	a := <-done
	require.True(t, a.OK(), "%+v", a)
	require.Equal(t, expected("long", 1000), a.Text)
	require.NoError(t, b.hosts["a1"].Wait(patience))
}

// A stream is stuck, and a host has to go. The drain limit ends the wait; and before that, a second
// signal does.
func TestSecondSignalAndDrainLimitEndTheWait(t *testing.T) {
	for _, second := range []bool{true, false} {
		b := newBed(t, "a1")
		b.extra = "limit = 2s\n" // in [drain], which the settings end with
		o := fastEngine()
		o.Step = 100 * time.Millisecond
		b.addEngine("e1", "zone-a", o)
		b.start()
		done := make(chan fleet.Response, 1)
		go func() {
			done <- tiered("mid").WithHeader("Fireflyshift-Deadline-Ms", "600000").Chat(ctx(t), b.callers("a1"), "notes", "stuck", 5000, true)
		}()
		require.True(t, fleet.WaitUntil(patience, func() bool { return len(b.engineRuns()) == 1 }))
		b.hosts["a1"].Signal(syscall.SIGTERM)
		if second {
			time.Sleep(600 * time.Millisecond)
			b.hosts["a1"].Signal(syscall.SIGTERM)
		}
		require.NoError(t, b.hosts["a1"].Wait(patience))
		require.False(t, (<-done).OK(), "a cut answer is not taken for a whole one")
		want := "Drain limit reached"
		if second {
			want = "Second signal"
		}
		require.Contains(t, b.hosts["a1"].Log.String(), want)
	}
}
