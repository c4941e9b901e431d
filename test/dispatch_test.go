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

// The host that took a review note dies while the note is being posted. The pupil's client asks
// again through the balancer, at another host. A second note would confuse the grade thread; the
// ticket's home is gone, so the second try is told that the work may have run.
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

// The host that took the request is not the ticket's home, and dies. The home still knows that the
// ticket is held: a second try must not run, before or after the first has been forgotten.
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

// The same ticket reaches two zones that cannot see each other. Each could think itself the first;
// only the home's zone may run it.
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
	}), "after the heal the home says that the work ran")
	require.Equal(t, 1, sa.RunsByKey()["note"]+sb.RunsByKey()["note"])
}

// A whole process is paused with requests waiting in it, past every lease, and wakes up believing
// its old grants. Its callers must get one true answer each, and no request may run twice.
func TestHostWakesPastEveryLease(t *testing.T) {
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
			require.Zero(t, b.runsByRequest()[a.RequestID]+s.Runs()[a.RequestID], "request %s was said not to have run", a.RequestID)
		}
	}
	b.requireNoneRanTwice()
}

// The host that schedules a group is paused, the others take the duty, and it wakes up believing
// that it still has it. Two schedulers then grant on the same servers: callers must not notice.
func TestTwoHostsBelieveTheyHoldTheSameDuty(t *testing.T) {
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
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > before+20 }), "nobody took the duty")
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

// A plain service runs a price check and its connection dies before the answer. A customer would
// see two prices if anybody on the way, the HTTP library included, sent the call once more.
func TestLostAnswerOfAPlainServiceIsNotAskedForAgain(t *testing.T) {
	b := newTestbed(t, "a1")
	s := b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	for i := 0; i < 5; i++ { // so that connections are kept and used again
		require.True(t, tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "price", nil).OK())
	}
	s.SetMode(plain.Mode{DieAfter: true})
	a := tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "price", nil)
	require.Equal(t, "outcome_unknown", a.ErrorKind)
	require.Equal(t, "may have run", a.Work)
	b.requireNoneRanTwice()
	require.Len(t, s.Runs(), 6)
}

// A backend server refuses connections. The work cannot have begun there, so it is done elsewhere;
// with no server left the answer is "not run", and that is true.
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
		// The connection that was kept from the calls before closed as the request was written: that
		// is no refused connection, and "may have run" is the true word. It is gone now.
		require.Equal(t, "may have run", a.Work)
		a = call()
	}
	require.Equal(t, "not run", a.Work, "%+v", a)
	require.NotEmpty(t, a.RetryAfter)
	require.Empty(t, one.Runs())
	require.Len(t, two.Runs(), 10)
}

// An answer is cut on its way from the engine, again and again. The teacher reading the summary
// must get all of it, in order, with no sentence twice, and the engine must compute it once.
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

// An engine closes a body early without an error, sends a chunk of somebody else's answer, leaves a
// token out, or says too early that it is done. A caller would read a short or torn answer as
// whole, or another workspace's text; the stream is taken up again at the right place.
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

// A plain service ends a body before its declared length, or is cut in one of unknown length. The buyer's page must show an error, not
// half a price list.
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

// An engine dies for good in the middle of an answer. The caller learns at once that the answer is
// not whole and may have run; it does not wait out its deadline, and nothing runs again.
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
