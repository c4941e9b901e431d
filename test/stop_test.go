package test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
)

const (
	// drainGrace is the drain grace period that fleet.HostSpec.INI sets.
	drainGrace = 300 * time.Millisecond
	// headBytesSent is how many bytes of the request head a caller has sent when its host is told to stop.
	headBytesSent = 30
	// longDeadline in milliseconds is far above the time that a stopping host may take.
	longDeadline = "600000"
	notRun       = "not run"
	mayHaveRun   = "may have run"
)

// remainderDelays are the delays from the end of the drain grace period until a caller sends the rest of its request. They
// are well within the host's own timeouts of 5 s for a head and 10 s for a body.
var remainderDelays = []time.Duration{time.Second, 3 * time.Second}

// rawConn is a caller's connection on which the test writes the bytes itself.
type rawConn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// reply is what a caller reads on a connection. err is set if there was no complete answer.
type reply struct {
	status int
	work   string
	closes bool // the answer announces that the host closes the connection
	err    error
}

func connect(t *testing.T, addr string) *rawConn {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &rawConn{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// connectReused returns a connection that has already carried a request and its answer.
func connectReused(t *testing.T, addr string) *rawConn {
	c := connect(t, addr)
	_, err := c.Write([]byte(stockRequest))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, c.read().status)
	return c
}

func (c *rawConn) read() reply {
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Fireflyshift-Work"), resp.Close, err}
}

// String omits addresses, so that equal failures can be counted together.
func (r reply) String() string {
	err := r.err
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err
	}
	return fmt.Sprintf("status %d, work %q, error %v", r.status, r.work, err)
}

// closedByHost reports whether the host has closed its side of the connection or has sent data without a request.
func (c *rawConn) closedByHost() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	open := false
	_ = raw.Control(func(fd uintptr) {
		_, _, err := unix.Recvfrom(int(fd), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	})
	return !open
}

// definitive reports whether the caller knows the outcome: it has a complete answer, or a refusal that states that nothing ran.
func (r reply) definitive() bool {
	return r.err == nil && (r.status == http.StatusOK || (r.status >= http.StatusBadRequest && r.work == notRun))
}

func plainRequest(method, body string) string {
	return fmt.Sprintf("%s /services/git/stock HTTP/1.1\r\nHost: fireflyshift\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, workspaceKey, len(body), body)
}

var stockRequest = plainRequest("GET", "")

// requireAnswersAcrossStop sends the first bytes of each request, signals the host to stop and sends the rest later, never if
// its delay is negative. Callers read from the start, so that they miss no answer.
func requireAnswersAcrossStop(t *testing.T, b *testbed, open func(*testing.T, string) *rawConn, request string, first int, after ...time.Duration) {
	var callers []*rawConn
	for range after {
		c := open(t, b.addr("a1"))
		_, err := c.Write([]byte(request[:first]))
		require.NoError(t, err)
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond) // until the host has read them
	b.hosts["a1"].Signal(syscall.SIGTERM)
	replies := make([]reply, len(callers))
	var wg sync.WaitGroup
	for i, c := range callers {
		wg.Add(1)
		go func() { defer wg.Done(); replies[i] = c.read() }()
		if after[i] >= 0 {
			time.AfterFunc(drainGrace+after[i], func() { _, _ = c.Write([]byte(request[first:])) })
		}
	}
	wg.Wait()
	for i, r := range replies {
		assert.True(t, r.definitive(), "remainder sent after %s: %s", after[i], r)
	}
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
	b.requireNoneRanTwice()
}

func newSingleHostBed(t *testing.T, work time.Duration) *testbed {
	b := newTestbed(t, "a1")
	b.addPlainService("git-1", "zone-a", work)
	return b.start()
}

// Guards against a stop that closes a new connection while the head of its first request is being read.
func TestStopAnswersAHeadOnANewConnection(t *testing.T) {
	requireAnswersAcrossStop(t, newSingleHostBed(t, time.Millisecond), connect, stockRequest, headBytesSent, remainderDelays...)
}

// Guards against a stop that treats a keep-alive connection as idle while the head of its next request is being read.
func TestStopAnswersAHeadOnAKeptConnection(t *testing.T) {
	requireAnswersAcrossStop(t, newSingleHostBed(t, time.Millisecond), connectReused, stockRequest, headBytesSent, remainderDelays...)
}

// Guards against a stop that drops a request whose body is still being read; the last caller never sends the rest.
func TestStopAnswersABodyThatIsStillRead(t *testing.T) {
	body := strings.Repeat("x", 4000)
	request := plainRequest("POST", body)
	requireAnswersAcrossStop(t, newSingleHostBed(t, time.Millisecond), connectReused, request, len(request)-len(body)/2, append(remainderDelays, -1)...)
}

// Guards against a stop that drops complete requests which arrive on idle connections while these are being closed.
func TestStopDropsNoRequestOnAKeptConnection(t *testing.T) {
	const callers, rounds = 32, 8
	b := newTestbed(t, "a1", "a2")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	answered, lost := 0, map[string]int{}
	for round := range rounds {
		if round > 0 {
			b.startHost("a1")
			b.awaitReady()
		}
		replies := make(chan reply)
		var wg sync.WaitGroup
		for range callers {
			c := connectReused(t, b.addr("a1"))
			wg.Add(1)
			go func() { defer wg.Done(); c.callUntilClosed(replies) }()
		}
		go func() { wg.Wait(); close(replies) }()
		b.hosts["a1"].Signal(syscall.SIGTERM)
		for r := range replies {
			if r.definitive() {
				answered++
			} else {
				lost[r.String()]++
			}
		}
		require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
	}
	t.Logf("%d answered, %v without an answer", answered, lost)
	require.Empty(t, lost)
	b.requireNoneRanTwice()
}

// callUntilClosed sends complete requests one after the other, and checks before each whether the host has closed the connection.
func (c *rawConn) callUntilClosed(replies chan<- reply) {
	for {
		time.Sleep(rand.N(4 * time.Millisecond))
		if c.closedByHost() {
			return
		}
		if _, err := c.Write([]byte(stockRequest)); err != nil {
			replies <- reply{err: err}
			return
		}
		r := c.read()
		replies <- r
		if r.closes || r.err != nil {
			return
		}
	}
}

// Guards against a second signal that closes connections on which no status was sent.
func TestSecondSignalAnswersWhoStillWaits(t *testing.T) { requireStatusOnForcedStop(t, true) }

// Guards against a drain limit that closes connections on which no status was sent.
func TestDrainLimitAnswersWhoStillWaits(t *testing.T) { requireStatusOnForcedStop(t, false) }

// requireStatusOnForcedStop forces a host to stop whose backend servers do not answer. Requests that were sent to them may
// have run; the request that waits for a slot has not.
func requireStatusOnForcedStop(t *testing.T, secondSignal bool) {
	b := newTestbed(t, "a1")
	b.extraSettings = "limit = 2s\n" // belongs to [drain], the last section of the settings
	slow := engine.DefaultOptions()
	slow.Step, slow.Batch = time.Minute, 2
	b.addEngine("e1", "zone-a", slow)
	s := b.addPlainService("git-1", "zone-a", time.Minute)
	b.start()
	answers := make(map[string]chan fleet.Response)
	start := func(name string, call func(*fleet.Caller, context.Context) fleet.Response) {
		done := make(chan fleet.Response, 1)
		answers[name] = done
		c := b.newCaller().WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
		go func() { done <- call(c, testCtx(t)) }()
	}
	chat := func(prompt string, stream bool) func(*fleet.Caller, context.Context) fleet.Response {
		return func(c *fleet.Caller, ctx context.Context) fleet.Response {
			return c.Chat(ctx, b.addr("a1"), "notes", prompt, 5, stream)
		}
	}
	start("plain", func(c *fleet.Caller, ctx context.Context) fleet.Response {
		return c.Call(ctx, "GET", b.addr("a1"), "git", "stock", nil)
	})
	start("chat", chat("one", false))
	start("stream", chat("two", true))
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 2 && len(s.Runs()) == 1 }))
	start("waiting", chat("three", false))
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.status("a1").Requests == len(answers) }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	if secondSignal {
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.status("a1").Draining }))
		b.hosts["a1"].Signal(syscall.SIGTERM)
	}
	for name, done := range answers {
		a, work := <-done, mayHaveRun
		if name == "waiting" {
			work = notRun
		}
		assert.True(t, a.Err == nil && a.Status >= http.StatusInternalServerError && a.Work == work, "%s: %+v", name, a)
		if a.Work == notRun {
			assert.Zero(t, b.runsByRequest()[a.RequestID]+s.Runs()[a.RequestID], "%s: %+v", name, a)
		}
	}
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
	b.requireNoneRanTwice()
}

// Guards against a stop that keeps the ticket claim of a request which never ran: a retry would be refused for ten minutes.
func TestDrainLimitGivesTheTicketBackOfWhatWaits(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.extraSettings = "limit = 1s\n" // belongs to [drain], the last section of the settings
	s := b.addPlainService("git-1", "zone-a", time.Minute)
	b.platform.PublishRaw(fleet.Backend("git-1", "git", "zone-a", b.backendProxies["git-1"].Listen, 1, "active"))
	b.start()
	longCaller := tierCaller("top").WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
	go longCaller.Call(testCtx(t), "GET", b.addr("a1"), "git", "stock", nil) // takes the only slot
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(s.Runs()) == 1 }))
	ticket := b.newCaller().Ticket(testCtx(t), b.addr("a1"))
	first := make(chan fleet.Response, 1)
	go func() {
		first <- longCaller.WithHeader("Fireflyshift-Idempotent", "no").WithHeader("Fireflyshift-Ticket", ticket).
			Call(testCtx(t), "POST", b.addr("a2"), "git", "grade-thread", []byte("well done"))
	}()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.status("a1").Tickets == 1 && b.status("a2").Requests == 1 }))
	b.hosts["a2"].Signal(syscall.SIGTERM)
	assert.Equal(t, notRun, (<-first).Work)
	require.NoError(t, b.hosts["a2"].Wait(waitTimeout))
	b.addPlainService("git-2", "zone-a", time.Millisecond)
	retry := postWithTicket(t, b.addr("a1"), ticket, "note")
	require.True(t, retry.OK(), "%+v", retry)
	b.requireNoneRanTwice()
}

// Guards against a drain in which a request waits for its whole deadline because no host schedules its service any more.
func TestDrainOfTheOnlyHostAnswersWhatWaits(t *testing.T) {
	b := newTestbed(t, "a1")
	o := fastEngine()
	o.Batch = 1
	b.addEngine("e1", "zone-a", o)
	b.start()
	chat := func(prompt string, tokens int) chan fleet.Response {
		done := make(chan fleet.Response, 1)
		c := b.newCaller().WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
		go func() { done <- c.Chat(testCtx(t), b.addr("a1"), "notes", prompt, tokens, false) }()
		return done
	}
	first := chat("first", 500)
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 1 }))
	second := chat("second", 5)
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.status("a1").Requests == 2 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	require.True(t, (<-first).OK())
	a := <-second
	require.True(t, a.OK() || (a.Err == nil && a.Work == notRun), "%+v", a)
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
	b.requireNoneRanTwice()
}

// Guards against a SIGHUP, as from a closed terminal, that ends the process with requests in flight.
func TestHangupCutsNoRequest(t *testing.T) {
	b := newSingleHostBed(t, time.Second)
	s := b.plainServices["git-1"]
	done := make(chan fleet.Response, 1)
	go func() { done <- tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "stock", nil) }()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(s.Runs()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGHUP)
	a := <-done
	require.True(t, a.OK(), "%+v", a)
	b.requireNoneRanTwice()
}

// Guards against a draining host that issues a ticket which is lost with it: its first use at another host would be refused
// as "may have run".
func TestTicketOfADrainingHostIsGoodElsewhere(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	s := b.addPlainService("git-1", "zone-a", 2*time.Second)
	b.start()
	go tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "stock", nil) // keeps the host draining
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(s.Runs()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.status("a1").Draining }))
	ticket := b.newCaller().Ticket(testCtx(t), b.addr("a1"))
	require.NoError(t, b.hosts["a1"].Wait(waitTimeout))
	if ticket != "" { // if it is empty, the host refused to issue one
		a := postWithTicket(t, b.addr("a2"), ticket, "note")
		require.True(t, a.OK(), "%+v", a)
	}
}
