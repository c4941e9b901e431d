package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/record"
	"fireflyshift/internal/sched"
)

// singleHost is one reducer that a test drives message by message. Host "peer" schedules the group of
// service.
type singleHost struct {
	t    *testing.T
	core *core.Core
	now  time.Duration
}

const (
	selfIncarnation = 7
	peerIncarnation = 9
)

func newSingleHost(t *testing.T, records ...record.Raw) *singleHost {
	l := &singleHost{t: t, now: time.Second}
	l.core = core.New(core.Options{Self: member.Host{ID: "self", Zone: "z", Addr: "a"}, Incarnation: selfIncarnation,
		Sched: sched.DefaultOptions(), MaxRequests: 100})
	l.feed(core.PeerLinked{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}, Incarnation: peerIncarnation})
	l.heartbeat()
	base := []record.Raw{
		{Kind: record.KindService, Name: service, Schema: 1, Revision: 1, Body: []byte(`{"kind":"plain"}`)},
		backendRecord("b0", 2, "active"),
	}
	l.feed(core.PlatformRecords{Records: append(base, records...), Current: true})
	return l
}

func backendRecord(name string, revision uint64, state string) record.Raw {
	return record.Raw{Kind: record.KindBackend, Name: name, Schema: 1, Revision: revision,
		Body: []byte(fmt.Sprintf(`{"service":%q,"zone":"z","addr":"10.0.0.1:80","slots":4,"state":%q}`, service, state))}
}

func (l *singleHost) feed(e core.Event) []core.Effect {
	l.t.Helper()
	out := l.core.Reduce(l.now, e)
	require.Empty(l.t, l.core.Violations())
	return out
}

func (l *singleHost) heartbeat() {
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond)}}})
}

func (l *singleHost) message(m *peerpb.Message) []core.Effect {
	return l.feed(core.PeerMessage{From: "peer", Incarnation: peerIncarnation, Message: m})
}

// submit submits a request and returns the Acquire that the peer receives.
func (l *singleHost) submit(id string) *peerpb.Acquire {
	l.t.Helper()
	effects := l.feed(core.Submit{ID: id, Workspace: "w", Service: service, Priority: 1, Deadline: time.Minute, OutputTokens: 1})
	for _, e := range effects {
		if s, ok := e.(core.Send); ok && s.Message.GetAcquire() != nil {
			return s.Message.GetAcquire()
		}
	}
	l.t.Fatalf("no Acquire was sent: %v", effects)
	return nil
}

func (l *singleHost) grant(a *peerpb.Acquire, backend string, echo time.Duration, incarnation uint64) []core.Effect {
	return l.message(&peerpb.Message{Body: &peerpb.Message_Grant{Grant: &peerpb.Grant{Request: a.Request, Attempt: a.Attempt,
		Backend: backend, LeaseMs: 2000, EchoMs: uint64(echo / time.Millisecond), EchoIncarnation: incarnation}}})
}

func dispatches(effects []core.Effect) []core.Dispatch {
	var out []core.Dispatch
	for _, e := range effects {
		if d, ok := e.(core.Dispatch); ok {
			out = append(out, d)
		}
	}
	return out
}

// service is a service whose group the peer schedules by rendezvous hashing.
var service = func() string {
	for i := 0; ; i++ {
		name := fmt.Sprint("s", i)
		if member.Owner("sched/"+name+"/0", []string{"peer", "self"}) == "peer" {
			return name
		}
	}
}()

// Guards against a grant that waited out a pause in a socket buffer. Others count its lease as ended, and
// the slot may have been granted again or the server may be leaving.
func TestGrantThatWaitedOutAPauseIsNotUsed(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	echo := l.now
	l.now += 3 * time.Second
	l.heartbeat()
	require.Empty(t, dispatches(l.grant(a, "b0", echo, selfIncarnation)))
}

// Guards against a dispatch to a leaving server. The scheduler sends a grant just before it learns that
// the server leaves; this host knows already.
func TestGrantSentBeforeTheSchedulerLearnsOfLeavingIsNotUsed(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	l.feed(core.PlatformRecords{Records: []record.Raw{backendRecord("b0", 3, "leaving")}, Current: true})
	require.Empty(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)))
}

// Guards against a dispatch to a machine that only the host list shows as leaving; the record of the
// server is unchanged.
func TestGrantOnAMachineThatTheHostListShowsLeaving(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	l.feed(core.HostList{Hosts: []core.ListedHost{{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}},
		{Host: member.Host{ID: "m", Addr: "10.0.0.1:80", Leaving: true}, Backend: true}}})
	require.Empty(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)))
}

// Guards against a dispatch that no scheduler accounts for: the grant is meant for the previous
// incarnation of this host, or for an attempt that it has given up.
func TestGrantForAnotherIncarnationOrAttempt(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	require.Empty(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation+1)))
	l.now += time.Second
	l.heartbeat()
	l.feed(core.Tick{})
	old := &peerpb.Acquire{Request: a.Request, Attempt: a.Attempt}
	require.Empty(t, dispatches(l.grant(old, "b0", l.now, selfIncarnation)), "the attempt was given up")
}

// Guards against a second dispatch if the scheduler repeats a grant, as it does when an answer may have
// been lost.
func TestRepeatedGrantIsDispatchedOnce(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	require.Len(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)), 1)
	require.Empty(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)))
}

// Guards against out-of-date messages of a replaced process: it resumes after a pause and its old links
// still deliver.
func TestMessageOfAReplacedProcessIsDropped(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	l.feed(core.PeerLinked{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}, Incarnation: peerIncarnation + 1})
	require.Empty(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)))
}

// Guards against a retry storm. All servers of a service refuse connections for a while and every request
// is retried at once; the retry budget limits the retries to a share of the requests.
func TestRetryBudgetEndsARetryStorm(t *testing.T) {
	l := newSingleHost(t)
	tries, refused := 0, 0
	for i := 0; i < 90; i++ {
		a := l.submit(fmt.Sprint("r", i))
		for a != nil {
			require.Len(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)), 1)
			tries++
			effects := l.feed(core.DispatchEnded{ID: fmt.Sprint("r", i), Attempt: a.Attempt, Outcome: core.NotSent})
			a = nil
			for _, e := range effects {
				if s, ok := e.(core.Send); ok && s.Message.GetAcquire() != nil {
					a = s.Message.GetAcquire()
				}
				if f, ok := e.(core.Finish); ok {
					refused++
					require.Equal(t, fault.NotRun, f.Fault.Ran)
				}
			}
		}
	}
	require.Equal(t, 90, refused)
	require.LessOrEqual(t, tries, 90+50+9, "one attempt per request, the saved budget, and a tenth")
}

// Guards against a rate limit that a network partition multiplies. If the rate were divided by the number
// of reachable hosts, each side would allow the whole rate.
func TestPartitionDoesNotMultiplyARate(t *testing.T) {
	workspace := record.Raw{Kind: record.KindWorkspace, Name: "w", Schema: 1, Revision: 9, Body: []byte(
		`{"key_sha256":["` + fmt.Sprintf("%064d", 1) + `"],"tiers":["t"],"limits":{"requests_per_second":40,"burst":40}}`)}
	l := newSingleHost(t, workspace)
	list := core.HostList{}
	for i := 0; i < 8; i++ {
		list.Hosts = append(list.Hosts, core.ListedHost{Host: member.Host{ID: fmt.Sprint("h", i), Zone: "other", Addr: "x"}})
	}
	l.feed(list)
	accepted := 0
	for i := 0; i < 100; i++ {
		for _, e := range l.feed(core.Submit{ID: fmt.Sprint("r", i), Workspace: "w", Service: service, Deadline: time.Minute}) {
			if s, ok := e.(core.Send); ok && s.Message.GetAcquire() != nil {
				accepted++
			}
		}
	}
	require.LessOrEqual(t, accepted, 8, "its part of 40 over 8 hosts, with slack for an uneven load balancer")
	require.Positive(t, accepted)
}

// Guards against refusing an urgent request that another zone refused. This zone has no free slot, so the
// request spills to a zone that reported free slots but has none left. The caller got "overloaded" while
// lower work still ran in this zone; the request has to return and wait, or preempt, here.
func TestRequestRefusedByAnotherZoneComesBack(t *testing.T) {
	l := newSingleHost(t)
	l.feed(core.HostList{Hosts: []core.ListedHost{{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}},
		{Host: member.Host{ID: "far", Zone: "y", Addr: "f"}}}})
	overcommitted := &peerpb.ServiceSummary{Service: service, Waiting: 10, LowestRunning: 1}
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		SentMs: uint64(l.now / time.Millisecond), Groups: []*peerpb.ServiceSummary{overcommitted}}}})
	l.message(&peerpb.Message{Body: &peerpb.Message_ZoneDigest{ZoneDigest: &peerpb.ZoneDigest{Zone: "y", Origin: "far", Sequence: 1,
		Relayed: true, Groups: []*peerpb.ServiceSummary{{Service: service, Scheduler: "far", Free: 5}}}}})
	a := l.submit("r")
	require.True(t, a.Spilled, "the other zone reported free slots")
	l.feed(core.PeerLinked{Host: member.Host{ID: "far", Zone: "y", Addr: "f"}, Incarnation: 3})
	effects := l.feed(core.PeerMessage{From: "far", Incarnation: 3, Message: &peerpb.Message{Body: &peerpb.Message_Refusal{
		Refusal: &peerpb.Refusal{Request: a.Request, Attempt: a.Attempt, Kind: string(fault.Overloaded)}}}})
	require.Len(t, effects, 1)
	reacquired, ok := effects[0].(core.Send)
	require.True(t, ok, "%+v", effects[0])
	require.Equal(t, "peer", reacquired.To.ID)
	require.False(t, reacquired.Message.GetAcquire().Spilled)
}

// learnRemoteZone delivers a digest of another zone that serves the test's service.
func (l *singleHost) learnRemoteZone(s *peerpb.ServiceSummary) {
	l.t.Helper()
	l.feed(core.HostList{Hosts: []core.ListedHost{{Host: member.Host{ID: "peer", Zone: "z", Addr: "p"}},
		{Host: member.Host{ID: "far", Zone: "y", Addr: "f"}}, {Host: member.Host{ID: "far2", Zone: "y", Addr: "f2"}}}})
	l.message(&peerpb.Message{Body: &peerpb.Message_ZoneDigest{ZoneDigest: &peerpb.ZoneDigest{Zone: "y", Origin: "far",
		Sequence: uint64(l.now / time.Millisecond), Relayed: true, Groups: []*peerpb.ServiceSummary{s}}}})
}

// acquireTargets returns the hosts that effects send an Acquire to.
func acquireTargets(effects []core.Effect) []string {
	var out []string
	for _, e := range effects {
		if s, ok := e.(core.Send); ok && s.Message.GetAcquire() != nil {
			out = append(out, s.To.ID)
		}
	}
	return out
}

// Guards against repeating a request in an unreachable zone. The scheduler there is dead and the digest
// seconds old; the request was repeated there until its deadline, while servers of this zone were free.
func TestRequestToASilentZoneComesBack(t *testing.T) {
	l := newSingleHost(t)
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond),
		Groups: []*peerpb.ServiceSummary{{Service: service, Waiting: 10}}}}})
	l.learnRemoteZone(&peerpb.ServiceSummary{Service: service, Scheduler: "far", Free: 5})
	require.True(t, l.submit("r").Spilled)
	l.now += 600 * time.Millisecond
	l.heartbeat()
	require.Equal(t, []string{"peer"}, acquireTargets(l.feed(core.Tick{})))
}

// Guards against refusing a request whose service only another zone has. Its servers are busy, so the
// request has to wait there as it would here; it was refused as if no server existed.
func TestServiceThatOnlyAnotherZoneHas(t *testing.T) {
	l := newSingleHost(t)
	l.feed(core.PlatformRecords{Records: []record.Raw{{Kind: record.KindBackend, Name: "b0", Schema: 1, Revision: 20, Deleted: true}}, Current: true})
	l.learnRemoteZone(&peerpb.ServiceSummary{Service: service, Scheduler: "far", Free: 0, Waiting: 3})
	a := l.submit("r")
	require.False(t, a.Spilled, "the request may wait there")
	l.now += 1100 * time.Millisecond
	l.heartbeat()
	l.learnRemoteZone(&peerpb.ServiceSummary{Service: service, Scheduler: "far2", Free: 0, Waiting: 3})
	require.Equal(t, []string{"far2"}, acquireTargets(l.feed(core.Tick{})), "the request follows the scheduler role to the next host")
}

// nonReaderPeers returns zone peers with which this host is not one of the zone's readers of the platform.
func nonReaderPeers() []string {
	others := []string{"r0", "r1", "r2", "r3"}
	for i := 4; slices.Contains(member.Top("reader/z", append([]string{"self", "peer"}, others...), 2), "self"); i++ {
		others = append(others[1:], fmt.Sprint("r", i))
	}
	return append(others, "peer")
}

// heartbeatsFrom delivers a heartbeat from each host.
func (l *singleHost) heartbeatsFrom(hosts []string, readsPlatform bool) {
	l.t.Helper()
	for _, h := range hosts {
		l.feed(core.PeerLinked{Host: member.Host{ID: h, Zone: "z", Addr: "x"}, Incarnation: peerIncarnation})
		l.feed(core.PeerMessage{From: h, Incarnation: peerIncarnation, Message: &peerpb.Message{Body: &peerpb.Message_Heartbeat{
			Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond), ReadsPlatform: readsPlatform}}}})
	}
}

// Guards against readers that are served by a stale replica of the platform and correctly report that they
// reach it. No host would learn of a change while that lasts, so each host reads the platform in turn.
func TestEveryHostTakesATurnAtThePlatform(t *testing.T) {
	l := newSingleHost(t)
	others := nonReaderPeers()
	turns := 0
	for i := 0; i < 32*5; i++ { // six hosts take turns of 4 s each
		l.now += 200 * time.Millisecond
		l.heartbeatsFrom(others, true)
		for _, e := range l.feed(core.Tick{}) {
			if r, ok := e.(core.ReadPlatform); ok && r.On && r.After > 0 {
				turns++
			}
		}
	}
	require.GreaterOrEqual(t, turns, 1, "in 32 s")
}

// Guards against a late, repeated report of an old attempt. The dispatch was proved not sent and the
// request waits again; the caller would get an answer that no server gave.
func TestLateReportOfAnOldAttemptChangesNothing(t *testing.T) {
	l := newSingleHost(t)
	a := l.submit("r")
	require.Len(t, dispatches(l.grant(a, "b0", l.now, selfIncarnation)), 1)
	l.feed(core.DispatchEnded{ID: "r", Attempt: a.Attempt, Outcome: core.NotSent})
	require.Empty(t, l.feed(core.DispatchEnded{ID: "r", Attempt: a.Attempt, Outcome: core.Done}))
	require.Equal(t, 1, l.core.Requests())
}

// Guards against a zone whose readers are cut off from the platform. While no host reports that it reaches
// the platform, every host has to try within seconds and not only in its turn.
func TestHostReadsThePlatformWhenNoOtherHostDoes(t *testing.T) {
	l := newSingleHost(t)
	others := nonReaderPeers()
	l.heartbeatsFrom(others, true)
	l.feed(core.Tick{})
	on := false
	for i := 0; i < 15; i++ { // 3 s
		l.now += 200 * time.Millisecond
		l.heartbeatsFrom(others, false)
		for _, e := range l.feed(core.Tick{}) {
			if r, ok := e.(core.ReadPlatform); ok {
				on = r.On && r.After == 0
			}
		}
	}
	require.True(t, on)
}

// Guards against a lost push of records. The peer's heartbeat shows a different digest; the host must pull
// what it lacks, or the change would not be active here while the platform is down.
func TestLostRecordIsAskedFor(t *testing.T) {
	l := newSingleHost(t)
	out := l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{
		SentMs: uint64(l.now / time.Millisecond), ConfigRevision: 9, ConfigDigest: 12345}}})
	pulls := 0
	for _, e := range out {
		if s, ok := e.(core.Send); ok && s.Message.GetRecordsPull() != nil {
			require.Equal(t, "peer", s.To.ID)
			pulls++
		}
	}
	require.Equal(t, 1, pulls)
}
