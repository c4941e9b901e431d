package test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/plain"
)

// postWithTicket sends a non-idempotent operation with a ticket.
func postWithTicket(t *testing.T, host, ticket, operation string) fleet.Response {
	c := tierCaller("top").WithHeader("Fireflyshift-Idempotent", "no").WithHeader("Fireflyshift-Ticket", ticket).WithHeader("X-Operation", operation)
	return c.Call(testCtx(t), "POST", host, "git", "grade-thread", []byte("well done"))
}

// Guards against a non-idempotent request that runs twice: the host that issued its ticket and runs it dies, and the caller
// retries at another host. The ticket's home host is gone, so the retry must be refused as "may have run".
func TestHostDiesWithNonIdempotentWorkInFlight(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	s := b.addPlainService("git-1", "zone-a", 500*time.Millisecond)
	b.start()
	ticket := b.newCaller().Ticket(testCtx(t), b.addr("a1"))
	first := make(chan fleet.Response, 1)
	go func() { first <- postWithTicket(t, b.addr("a1"), ticket, "note") }()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return s.RunsByKey()["note"] == 1 }))
	b.hosts["a1"].Kill()
	require.False(t, (<-first).OK())
	retry := postWithTicket(t, b.addr("a2"), ticket, "note")
	require.Equal(t, "ticket_home_gone", retry.ErrorKind)
	require.Equal(t, "may have run", retry.Work)
	require.Equal(t, 1, s.RunsByKey()["note"])
}

// Guards against a second run of a claimed ticket: the host that claimed it dies, while the ticket's home host lives. The home
// still holds the claim, so a retry must not run.
func TestOtherHostDiesWithAClaimedTicket(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	s := b.addPlainService("git-1", "zone-a", 500*time.Millisecond)
	b.start()
	ticket := b.newCaller().Ticket(testCtx(t), b.addr("a1"))
	go postWithTicket(t, b.addr("a2"), ticket, "note")
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return s.RunsByKey()["note"] == 1 }))
	b.hosts["a2"].Kill()
	retry := postWithTicket(t, b.addr("a3"), ticket, "note")
	require.Equal(t, "ticket_in_progress", retry.ErrorKind)
	require.Equal(t, "may have run", retry.Work)
	require.Equal(t, 1, s.RunsByKey()["note"])
}

// Guards against a ticket that is accepted in two zones during a network partition: only the home host's zone may run it.
func TestSameTicketInTwoZonesThatCannotSeeEachOther(t *testing.T) {
	b := newTestbed(t, "a1", "b1")
	sa, sb := b.addPlainService("git-a", "zone-a", 5*time.Millisecond), b.addPlainService("git-b", "zone-b", 5*time.Millisecond)
	b.start()
	ticket := b.newCaller().Ticket(testCtx(t), b.addr("a1"))
	heal := b.partitionZones("zone-a", "zone-b")
	crossZone := postWithTicket(t, b.addr("b1"), ticket, "note")
	require.Equal(t, "ticket_home_gone", crossZone.ErrorKind)
	homeZone := postWithTicket(t, b.addr("a1"), ticket, "note")
	require.True(t, homeZone.OK(), "%+v", homeZone)
	heal()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool {
		return postWithTicket(t, b.addr("b1"), ticket, "note").ErrorKind == "ticket_done"
	}), "after the heal the home host must report that the request ran")
	require.Equal(t, 1, sa.RunsByKey()["note"]+sb.RunsByKey()["note"])
}

// Guards against a paused process that acts on expired grants: it is stopped past every lease with requests waiting in it.
// No request may run twice, and none that was refused as "not run" may have run.
func TestHostResumesAfterEveryLeaseHasExpired(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.addEngine("e1", "zone-a", fastEngine())
	s := b.addPlainService("git-1", "zone-a", 5*time.Millisecond)
	b.start()
	pausedHost := b.otherHost("zone-a", b.schedulerOf("git", "zone-a"))
	l := startLoad(8, func(worker, i int) fleet.Response {
		if worker%2 == 0 {
			return tierCaller("top").Call(testCtx(t), "GET", b.addr(pausedHost), "git", fmt.Sprint("stock/", i), nil)
		}
		return tierCaller("mid").Chat(testCtx(t), b.addr(pausedHost), "notes", fmt.Sprint("p", worker, i), 10, true)
	})
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > 40 }))
	b.hosts[pausedHost].Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second)
	b.hosts[pausedHost].Signal(syscall.SIGCONT)
	before := l.answerCount()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > before+40 }))
	for _, a := range l.stop() {
		if !a.OK() && a.Work == "not run" && a.RequestID != "" {
			require.Zero(t, b.runsByRequest()[a.RequestID]+s.Runs()[a.RequestID], "request %s was refused as not run, but ran", a.RequestID)
		}
	}
	b.requireNoneRanTwice()
}

// Guards against failures while two hosts schedule the same group: the scheduler is paused, another host takes over the role,
// and the first resumes as if it still had it. Both then grant slots on the same engines, and callers must not notice.
func TestTwoHostsScheduleTheSameGroup(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	oldScheduler := b.schedulerOf("notes", "zone-a")
	entry := b.otherHost("zone-a", oldScheduler)
	l := startLoad(6, func(worker, i int) fleet.Response {
		return tierCaller("mid").Chat(testCtx(t), b.addr(entry), "notes", fmt.Sprint("p", worker, i), 10, true)
	})
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > 20 }))
	for round := 0; round < 2; round++ {
		b.hosts[oldScheduler].Signal(syscall.SIGSTOP)
		before := l.answerCount()
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > before+20 }), "no host took over the scheduler role")
		b.hosts[oldScheduler].Signal(syscall.SIGCONT)
		before = l.answerCount()
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > before+20 }))
	}
	answers := l.stop()
	for _, a := range answers {
		require.True(t, a.OK(), "%s", countOutcomes(answers))
	}
	b.requireNoneRanTwice()
}

// Guards against a repeated call when the connection to a plain service dies before the answer: the call may have run, so
// neither the host nor the HTTP library may send it again.
func TestLostAnswerOfAPlainServiceIsNotAskedForAgain(t *testing.T) {
	b := newTestbed(t, "a1")
	s := b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	for i := 0; i < 5; i++ { // so that connections are reused
		require.True(t, tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "price", nil).OK())
	}
	s.SetMode(plain.Mode{DieAfter: true})
	a := tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "price", nil)
	require.Equal(t, "outcome_unknown", a.ErrorKind)
	require.Equal(t, "may have run", a.Work)
	b.requireNoneRanTwice()
	require.Len(t, s.Runs(), 6)
}

// Guards against a false outcome after a refused connection. The request cannot have begun there, so it goes to another
// server, and without one it is refused as "not run".
func TestRefusedConnectionIsProvedNotRun(t *testing.T) {
	b := newTestbed(t, "a1")
	one, two := b.addPlainService("git-1", "zone-a", time.Millisecond), b.addPlainService("git-2", "zone-a", time.Millisecond)
	b.start()
	b.backendProxies["git-1"].Stop()
	for i := 0; i < 10; i++ {
		a := tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "stock", nil)
		require.True(t, a.OK(), "%+v", a)
		require.Equal(t, "git-2", a.Backend)
	}
	b.backendProxies["git-2"].Stop()
	call := func() fleet.Response {
		return tierCaller("top").WithHeader("Fireflyshift-Deadline-Ms", "1500").Call(testCtx(t), "GET", b.addr("a1"), "git", "stock", nil)
	}
	a := call()
	if a.ErrorKind == "outcome_unknown" {
		// The reused connection closed while the request was written. That is no refused connection, so "may have run" is
		// correct. The connection is gone now, and the next call is refused.
		require.Equal(t, "may have run", a.Work)
		a = call()
	}
	require.Equal(t, "not run", a.Work, "%+v", a)
	require.NotEmpty(t, a.RetryAfter)
	require.Empty(t, one.Runs())
	require.Len(t, two.Runs(), 10)
}

// Guards against lost or repeated text when an engine's stream breaks off repeatedly: the host must resume it at the right
// offset, and the engine must compute the answer once.
func TestCutStreamIsResumedAtItsOffset(t *testing.T) {
	b := newTestbed(t, "a1")
	e := b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	e.SetMode(engine.Mode{CutEvery: 7})
	for _, stream := range []bool{true, false} {
		prompt := fmt.Sprint("long summary ", stream)
		a := tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", prompt, 60, stream)
		require.True(t, a.OK(), "%+v", a)
		require.Equal(t, fullAnswer(prompt, 60), a.Text)
	}
	b.requireNoneRanTwice()
}

// Guards against a truncated or mixed-up answer that the caller takes for complete: the engine ends the body early without an
// error, sends a chunk of another request's answer, skips a token, or signals the end too early. The host must notice each
// and resume the stream at the right place.
func TestShortAndCrossedAnswersAreNoticed(t *testing.T) {
	b := newTestbed(t, "a1")
	e := b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	for i, mode := range []engine.Mode{{Truncate: true}, {WrongRequestID: true}, {SkipToken: true}, {EarlyDone: true}} {
		e.SetMode(mode)
		prompt := fmt.Sprint("prompt ", i)
		a := tierCaller("mid").WithHeader("Fireflyshift-Deadline-Ms", "8000").Chat(testCtx(t), b.addr("a1"), "notes", prompt, 30, true)
		require.True(t, a.OK(), "%+v", a)
		require.Equal(t, fullAnswer(prompt, 30), a.Text)
	}
	b.requireNoneRanTwice()
}

// Guards against a truncated body that the caller takes for complete: a plain service ends it before its declared length, or
// breaks off one of unknown length.
func TestShortBodyOfAPlainServiceIsAnError(t *testing.T) {
	b := newTestbed(t, "a1")
	s := b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	for _, mode := range []plain.Mode{{Truncate: true}, {CutBody: true}} {
		s.SetMode(mode)
		a := tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "prices", nil)
		require.False(t, a.OK(), "%+v", a)
	}
	b.requireNoneRanTwice()
}

// Guards against a caller that waits out its deadline when an engine dies during an answer: the caller must learn at once that
// the answer is incomplete and may have run, and nothing runs again.
func TestEngineDiesInMidAnswer(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	done := make(chan fleet.Response, 1)
	go func() { done <- tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "p", 2000, true) }()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 1 }))
	b.backendProxies["e1"].Stop()
	a := <-done
	require.False(t, a.OK())
	require.Equal(t, "answer_cut", a.ErrorKind)
	require.Equal(t, "may have run", a.Work)
	b.requireNoneRanTwice()
}
