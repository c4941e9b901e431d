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

// A process is paused for four seconds with a request waiting at the scheduler, another host. Meanwhile an operator
// takes the server b0 out. The process wakes up and its timer fires before it has read a socket: all other hosts have
// been silent for four seconds on its clock, so it takes them for dead, computes that the group is its own, grants itself
// a place on b0 and dispatches, with a fresh lease, to a server that has been leaving for four seconds.
func TestWokenHostDoesNotTakeOthersForDead(t *testing.T) {
	l := newSingleHost(t)
	l.submit("r")
	l.now += 4 * time.Second
	require.Empty(t, dispatches(l.feed(core.Tick{})), "it has heard nothing since it woke")
}

// resumedScheduler is a host that schedules the group of "mine" itself, settled, and has then been paused for four seconds.
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

// ownService is a service whose group this host schedules while it and the peer live.
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

// peerHeartbeat is a heartbeat of the peer that had heard this host's word of a moment of its clock.
func (l *singleHost) peerHeartbeat(echoed time.Duration, revision uint64, catchingUp bool) {
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond),
		ConfigRevision: revision, CatchingUp: catchingUp, EchoMs: uint64(echoed / time.Millisecond), EchoIncarnation: selfIncarnation}}})
}

// isServed lets half a second pass in ticks and tells whether a request is dispatched in it.
func (l *singleHost) isServed(id string) bool {
	out := dispatches(l.submitOwn(id))
	for range 5 {
		l.now += 100 * time.Millisecond
		out = append(out, dispatches(l.feed(core.Tick{}))...)
	}
	return len(out) > 0
}

// A scheduler is paused, others take its groups, and an operator takes a server out. It wakes up and a caller's request
// comes before any message. By its book the server has room: it granted itself a place there.
func TestWokenSchedulerGrantsNothingBeforeTheNews(t *testing.T) {
	l := resumedScheduler(t)
	require.False(t, l.isServed("after"))
}

// What proves that the news is in: a word of each host that lived before the pause, sent after it had heard this one's first
// word after waking, with a configuration that this host has; and the host list. A heartbeat that waited in a socket
// through the pause, one of a host that has itself just woken, and one that tells of newer records prove nothing.
func TestWhatProvesThatTheNewsIsIn(t *testing.T) {
	hosts := core.HostList{Hosts: []core.ListedHost{{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}}}}
	for _, c := range []struct {
		name       string
		behind     time.Duration // how long before waking the peer had last heard this host
		revision   uint64
		catchingUp bool
		list       bool
		served     bool
	}{
		{"of before the pause", time.Second, 4, false, true, false},
		{"the peer has just woken too", 0, 4, true, true, false},
		{"the peer has newer records", 0, 9, false, true, false},
		{"no host list", 0, 4, false, false, false},
		{"in", 0, 4, false, true, true},
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

// A host that nobody answers after a pause is cut off, or alone: after a second it serves what it can.
func TestWokenHostThatNobodyAnswersGoesOn(t *testing.T) {
	l := resumedScheduler(t)
	require.False(t, l.isServed("after"))
	l.now += 500 * time.Millisecond
	l.feed(core.Tick{})
	require.True(t, l.isServed("later"))
}

// A scheduler granted a place, the host that waits for it is paused for a second and a half, and finds the grant in
// its socket with half a second of the lease left. The scheduler knew nothing newer than the host did before its pause.
func TestGrantOfBeforeAPauseIsNotUsed(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	echo := l.now
	l.now += 1500 * time.Millisecond
	require.Empty(t, dispatches(l.grant(a, "b0", echo, selfIncarnation)))
}

// A grant is held up on the way for three seconds while both hosts run. The scheduler counts its lease as ended and
// may have given the slot away: this host's own clock has to say so, with no pause of its own in between.
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

// Two hosts of a rack wake up together. Each told the other that it had just woken, and was answered at once by one that
// had just woken too, which asked for an answer in turn: as fast as the network carries it, until both had caught up.
func TestTwoWokenHostsDoNotAnswerEachOther(t *testing.T) {
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
