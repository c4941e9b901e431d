package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
)

// Guards against a host that takes the others for dead after a pause of its own process. A request waits
// at the scheduler, another host, when the process is paused for 4 s; meanwhile an operator takes the
// server b0 out. The timer fires before the process has read a socket. By its clock no host has sent a
// heartbeat for 4 s, so it would schedule the group itself and dispatch, with a fresh lease, to a server
// that has been leaving for 4 s.
func TestResumedHostDoesNotConsiderOthersDead(t *testing.T) {
	l := newSingleHost(t)
	l.submit("r")
	l.now += 4 * time.Second
	require.Empty(t, dispatches(l.feed(core.Tick{})), "no message received since the pause")
}

// resumedScheduler returns a host that schedules the group of ownService, has waited for holdings, and has
// just been paused for 4 s.
func resumedScheduler(t *testing.T) *singleHost {
	l := newSingleHost(t, record.Raw{Kind: record.KindService, Name: ownService, Schema: 1, Revision: 3, Body: []byte(`{"kind":"plain"}`)},
		record.Raw{Kind: record.KindBackend, Name: "m0", Schema: 1, Revision: 4,
			Body: []byte(fmt.Sprintf(`{"service":%q,"zone":"z","addr":"10.0.0.2:80","slots":4,"state":"active"}`, ownService))})
	for range 10 {
		l.now += 100 * time.Millisecond
		l.heartbeat()
		l.feed(core.Tick{})
	}
	require.Len(t, dispatches(l.submitOwn("before")), 1)
	l.now += 4 * time.Second
	return l
}

// ownService is a service whose group this host schedules while it and the peer are live.
var ownService = func() string {
	for i := 0; ; i++ {
		name := fmt.Sprint("m", i)
		if member.Owner("sched/"+name+"/0", []string{"peer", "self"}) == "self" {
			return name
		}
	}
}()

func (l *singleHost) submitOwn(id string) []core.Effect {
	return l.feed(core.Submit{ID: id, Workspace: "w", Service: ownService, Priority: 1, Deadline: time.Minute, OutputTokens: 1})
}

// peerHeartbeat delivers a heartbeat of the peer that echoes the given time of this host's clock.
func (l *singleHost) peerHeartbeat(echoed time.Duration, revision uint64, catchingUp bool) {
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond),
		ConfigRevision: revision, CatchingUp: catchingUp, EchoMs: uint64(echoed / time.Millisecond), EchoIncarnation: selfIncarnation}}})
}

// isServed submits a request, advances 500 ms in ticks, and reports whether it is dispatched.
func (l *singleHost) isServed(id string) bool {
	out := dispatches(l.submitOwn(id))
	for range 5 {
		l.now += 100 * time.Millisecond
		out = append(out, dispatches(l.feed(core.Tick{}))...)
	}
	return len(out) > 0
}

// Guards against a grant from out-of-date state. A scheduler is paused, others take its groups, and an
// operator takes a server out. After the pause a caller's request comes before any message; by the old
// state the server has a free slot.
func TestResumedSchedulerGrantsNothingBeforeItCaughtUp(t *testing.T) {
	l := resumedScheduler(t)
	require.False(t, l.isServed("after"))
}

// Guards against ending the catch-up too early. It needs the host list, and from each host that was live
// before the pause a heartbeat that was sent after a message of this host since the pause and whose
// configuration this host has. A heartbeat that waited in a socket during the pause, one from a host that
// is itself catching up, and one that announces newer records do not count.
func TestCatchUpEndsOnlyWithFreshHeartbeats(t *testing.T) {
	hosts := core.HostList{Hosts: []core.ListedHost{{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}}}}
	for _, c := range []struct {
		name       string
		behind     time.Duration // how long before the end of the pause the echoed clock reading is
		revision   uint64
		catchingUp bool
		list       bool
		served     bool
	}{
		{"sent before the pause", time.Second, 4, false, true, false},
		{"the peer is catching up too", 0, 4, true, true, false},
		{"the peer has newer records", 0, 9, false, true, false},
		{"no host list", 0, 4, false, false, false},
		{"complete", 0, 4, false, true, true},
	} {
		l := resumedScheduler(t)
		resumedAt := l.now
		l.feed(core.Tick{})
		if c.list {
			l.feed(hosts)
		}
		l.peerHeartbeat(resumedAt-c.behind, c.revision, c.catchingUp)
		require.Equal(t, c.served, l.isServed("after"), c.name)
	}
}

// Guards against a host that waits without end for answers after a pause. It is cut off or alone, and
// serves what it can after catchUpTimeout.
func TestResumedHostWithoutAnswersEndsItsCatchUp(t *testing.T) {
	l := resumedScheduler(t)
	require.False(t, l.isServed("after"))
	l.now += 500 * time.Millisecond
	l.feed(core.Tick{})
	require.True(t, l.isServed("later"))
}

// Guards against a grant from before a pause. The host that waits for it is paused for 1.5 s and finds it
// in its socket with 0.5 s of the lease left; the scheduler's state is no newer than what the host knew
// before its pause.
func TestGrantOfBeforeAPauseIsNotUsed(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	echo := l.now
	l.now += 1500 * time.Millisecond
	require.Empty(t, dispatches(l.grant(a, "b0", echo, selfIncarnation)))
}

// Guards against an expired grant. It is delayed by 3 s in the network while both hosts run. The scheduler
// counts the lease as ended and may have granted the slot again, so this host's own clock must reject the
// grant, without a pause of its own.
func TestGrantThatWasLateOnItsWayIsNotUsed(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	echo := l.now
	for range 30 {
		l.now += 100 * time.Millisecond
		l.heartbeat()
		l.feed(core.Tick{})
	}
	require.Empty(t, dispatches(l.grant(a, "b0", echo, selfIncarnation)))
}

// Guards against two hosts that catch up at the same time and answer each other's heartbeats without end:
// each answer reported that its sender was catching up and so was answered in turn, as fast as the network
// allowed.
func TestTwoResumedHostsDoNotAnswerEachOther(t *testing.T) {
	l := resumedScheduler(t)
	l.feed(core.Tick{})
	out := l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		SentMs: uint64(l.now / time.Millisecond), CatchingUp: true}}})
	for _, e := range out {
		if s, ok := e.(core.Send); ok {
			require.Nil(t, s.Message.GetHeartbeat())
		}
	}
}
