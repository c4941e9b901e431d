package test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// pauseCount is how often a host is paused: twice in CI, or FIREFLYSHIFT_PAUSES times.
func pauseCount() int {
	if n, err := strconv.Atoi(os.Getenv("FIREFLYSHIFT_PAUSES")); err == nil {
		return n
	}
	return 2
}

// Guards against requests sent to a leaving engine by a host that resumes after a pause of four seconds, in which the engine
// began to leave. The host's timer fired before it had read a socket, so it took all its peers for dead, became scheduler of
// the group itself, granted itself slots on the leaving engine and sent up to a full window of requests there. The log then
// had "Dispatch." with backend=e1, the resumed host as scheduler, granted_ago_ms of 3 to 27 and lease_left_ms of 1,971 to
// 1,995, right after "The process was paused.". Each request's trace showed a slot request to the host itself after one to
// the real scheduler.
func TestResumedHostSendsNothingToALeavingServer(t *testing.T) {
	for _, role := range []string{"entry", "scheduler"} {
		t.Run(role, func(t *testing.T) {
			b := newTestbed(t, "a1", "a2", "a3")
			b.addEngine("e1", "zone-a", fastEngine())
			b.addEngine("e2", "zone-a", fastEngine())
			b.start()
			pausedHost := b.schedulerOf("notes", "zone-a")
			if role == "entry" {
				pausedHost = b.otherHost("zone-a", pausedHost)
			}
			runningHost := b.otherHost("zone-a", pausedHost)
			l := startLoad(60, func(worker, i int) fleet.Response {
				return tierCaller("mid").Chat(testCtx(t), b.addr([]string{runningHost, pausedHost}[worker%2]), "notes", fmt.Sprint(worker, "-", i), 10, true)
			})
			rng := rand.New(rand.NewPCG(25, 1))
			late := 0
			for range pauseCount() {
				late += b.pauseWhileBackendLeaves(pausedHost, time.Duration(rng.IntN(40_000))*time.Microsecond)
			}
			for _, a := range l.stop() {
				require.True(t, a.OK() || a.ErrorKind != "", "%+v", a)
			}
			b.requireNoneRanTwice()
			require.Zero(t, late, "requests begun by the leaving engine after the time limit")
		})
	}
}

// pauseWhileBackendLeaves pauses a host while e1 begins to leave, and counts the requests that e1 begins after the time limit.
func (b *testbed) pauseWhileBackendLeaves(pausedHost string, after time.Duration) int {
	ranMore := func(engine string, more int) func() bool {
		before := b.runCount(engine)
		return func() bool { return b.runCount(engine) > before+more }
	}
	require.True(b.t, fleet.WaitUntil(waitTimeout, ranMore("e1", 20)))
	time.Sleep(after)
	b.hosts[pausedHost].Signal(syscall.SIGSTOP)
	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.backendProxies["e1"].Listen, 8, "leaving"))
	deadline := time.Now().Add(leaveTimeLimit)
	time.Sleep(time.Until(deadline))
	b.hosts[pausedHost].Signal(syscall.SIGCONT)
	require.True(b.t, fleet.WaitUntil(waitTimeout, ranMore("e2", 40)))
	late := 0
	for id, at := range b.engines["e1"].Stats().StartedAt {
		if at.After(deadline) {
			late++
			b.logLateRequest(pausedHost, id, at, deadline)
		}
	}
	b.engines["e1"].ResetStats()
	b.platform.PublishRaw(fleet.Backend("e1", "notes", "zone-a", b.backendProxies["e1"].Listen, 8, "active"))
	return late
}

// logLateRequest logs what the paused host recorded about a request that was begun too late.
func (b *testbed) logLateRequest(pausedHost, id string, at, deadline time.Time) {
	_, trace, err := fleet.Get("http://" + b.hostSpecs[pausedHost].Admin + "/explain/" + id)
	b.t.Logf("%s began at %s, %s after the time limit (%v)\n%s", id, at.UTC().Format("15:04:05.000000"), at.Sub(deadline), err, trace)
	for _, line := range strings.Split(b.hosts[pausedHost].Log.String(), "\n") {
		if strings.Contains(line, id) || strings.Contains(line, "paused") || strings.Contains(line, "Configuration activated") {
			b.t.Log(line)
		}
	}
}
