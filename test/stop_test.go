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
	// drainGrace is that of fleet.HostSpec.INI.
	drainGrace = 300 * time.Millisecond
	// headStart is how many bytes of a head a caller has sent as its host is told to stop.
	headStart = 30
	// longDeadline is far over what a stopping host may take.
	longDeadline = "600000"
	notRun       = "not run"
	mayHaveRun   = "may have run"
)

// restAfter are the times from the end of the drain grace until a caller sends the rest of its request; the host's own
// limits, 5 s for a head and 10 s for a body, leave room for all.
var restAfter = []time.Duration{time.Second, 3 * time.Second}

// connection is a caller's connection whose bytes the test writes itself.
type connection struct {
	*net.TCPConn
	in *bufio.Reader
}

// reply is what a caller reads on a connection; err is set where no whole answer came.
type reply struct {
	status int
	work   string
	last   bool // the host says that it closes the connection
	err    error
}

func connect(t *testing.T, addr string) *connection {
	conn, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &connection{conn.(*net.TCPConn), bufio.NewReader(conn)}
}

// connectKept returns a connection that has had an answer.
func connectKept(t *testing.T, addr string) *connection {
	c := connect(t, addr)
	_, err := c.Write([]byte(stockRequest))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, c.read().status)
	return c
}

func (c *connection) read() reply {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return reply{resp.StatusCode, resp.Header.Get("Fireflyshift-Work"), resp.Close, err}
}

// String leaves addresses out, so that like replies can be counted.
func (r reply) String() string {
	err := r.err
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err
	}
	return fmt.Sprintf("status %d, work %q, error %v", r.status, r.work, err)
}

// closing tells that the host has ended its side of the connection, or has sent something unasked.
func (c *connection) closing() bool {
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

// answered tells that a caller knows where it stands: a whole answer, or a refusal that says that nothing ran.
func (r reply) answered() bool {
	return r.err == nil && (r.status == http.StatusOK || (r.status >= http.StatusBadRequest && r.work == notRun))
}

func plainRequest(method, body string) string {
	return fmt.Sprintf("%s /services/git/stock HTTP/1.1\r\nHost: fireflyshift\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		method, school, len(body), body)
}

var stockRequest = plainRequest("GET", "")

// requireAnswerOverStop sends the first bytes of requests, tells the host to stop, and sends the rest later. Callers read
// from the start, so that no answer is lost to them.
func requireAnswerOverStop(t *testing.T, b *bed, open func(*testing.T, string) *connection, request string, first int, after ...time.Duration) {
	var callers []*connection
	for range after {
		c := open(t, b.callers("a1"))
		_, err := c.Write([]byte(request[:first]))
		require.NoError(t, err)
		callers = append(callers, c)
	}
	time.Sleep(50 * time.Millisecond) // the host has read them
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
		assert.True(t, r.answered(), "rest after %s: %s", after[i], r)
	}
	require.NoError(t, b.hosts["a1"].Wait(patience))
	b.requireOnce()
}

func stopBed(t *testing.T, work time.Duration) *bed {
	b := newBed(t, "a1")
	b.addPlain("git-1", "zone-a", work)
	return b.start()
}

// Guards against a stop that closes a new connection while the head of its first request is read.
func TestStopAnswersAHeadOnANewConnection(t *testing.T) {
	requireAnswerOverStop(t, stopBed(t, time.Millisecond), connect, stockRequest, headStart, restAfter...)
}

// Guards against a stop that takes a kept connection for idle while the head of its next request is read.
func TestStopAnswersAHeadOnAKeptConnection(t *testing.T) {
	requireAnswerOverStop(t, stopBed(t, time.Millisecond), connectKept, stockRequest, headStart, restAfter...)
}

// Guards against a stop that cuts a request whose body is still read; the last caller never sends the rest.
func TestStopAnswersABodyThatIsStillRead(t *testing.T) {
	body := strings.Repeat("x", 4000)
	request := plainRequest("POST", body)
	requireAnswerOverStop(t, stopBed(t, time.Millisecond), connectKept, request, len(request)-len(body)/2, append(restAfter, -1)...)
}

// Guards against an end that drops whole requests which arrive on idle connections as these are closed.
func TestStopDropsNoRequestOnAKeptConnection(t *testing.T) {
	const callers, rounds = 32, 8
	b := newBed(t, "a1", "a2")
	b.addPlain("git-1", "zone-a", time.Millisecond)
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
			c := connectKept(t, b.callers("a1"))
			wg.Add(1)
			go func() { defer wg.Done(); c.askUntilClosed(replies) }()
		}
		go func() { wg.Wait(); close(replies) }()
		b.hosts["a1"].Signal(syscall.SIGTERM)
		for r := range replies {
			if r.answered() {
				answered++
			} else {
				lost[r.String()]++
			}
		}
		require.NoError(t, b.hosts["a1"].Wait(patience))
	}
	t.Logf("%d answered, without an answer: %v", answered, lost)
	require.Empty(t, lost)
	b.requireOnce()
}

// askUntilClosed sends whole requests, each after a look whether the host has closed the connection.
func (c *connection) askUntilClosed(replies chan<- reply) {
	for {
		time.Sleep(rand.N(4 * time.Millisecond))
		if c.closing() {
			return
		}
		if _, err := c.Write([]byte(stockRequest)); err != nil {
			replies <- reply{err: err}
			return
		}
		r := c.read()
		replies <- r
		if r.last || r.err != nil {
			return
		}
	}
}

// Guards against a second signal that cuts connections on which no status was sent.
func TestSecondSignalAnswersWhoStillWaits(t *testing.T) { requireStatusAtTheEnd(t, true) }

// Guards against a drain limit that cuts connections on which no status was sent.
func TestDrainLimitAnswersWhoStillWaits(t *testing.T) { requireStatusAtTheEnd(t, false) }

// requireStatusAtTheEnd stops a host whose backend servers do not answer. What was sent to them may have run; what waits
// for a place has not.
func requireStatusAtTheEnd(t *testing.T, second bool) {
	b := newBed(t, "a1")
	b.extra = "limit = 2s\n" // in [drain], which the settings end with
	slow := engine.DefaultOptions()
	slow.Step, slow.Batch = time.Minute, 2
	b.addEngine("e1", "zone-a", slow)
	s := b.addPlain("git-1", "zone-a", time.Minute)
	b.start()
	answers := make(map[string]chan fleet.Response)
	ask := func(name string, call func(*fleet.Caller, context.Context) fleet.Response) {
		done := make(chan fleet.Response, 1)
		answers[name] = done
		c := b.caller().WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
		go func() { done <- call(c, ctx(t)) }()
	}
	chat := func(prompt string, stream bool) func(*fleet.Caller, context.Context) fleet.Response {
		return func(c *fleet.Caller, ctx context.Context) fleet.Response {
			return c.Chat(ctx, b.callers("a1"), "notes", prompt, 5, stream)
		}
	}
	ask("plain", func(c *fleet.Caller, ctx context.Context) fleet.Response {
		return c.Call(ctx, "GET", b.callers("a1"), "git", "stock", nil)
	})
	ask("chat", chat("one", false))
	ask("stream", chat("two", true))
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(b.engineRuns()) == 2 && len(s.Runs()) == 1 }))
	ask("waiting", chat("three", false))
	require.True(t, fleet.WaitUntil(patience, func() bool { return b.status("a1").Requests == len(answers) }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	if second {
		require.True(t, fleet.WaitUntil(patience, func() bool { return b.status("a1").Draining }))
		b.hosts["a1"].Signal(syscall.SIGTERM)
	}
	for name, done := range answers {
		a, work := <-done, mayHaveRun
		if name == "waiting" {
			work = notRun
		}
		assert.True(t, a.Err == nil && a.Status >= http.StatusInternalServerError && a.Work == work, "%s: %+v", name, a)
		if a.Work == notRun {
			assert.Zero(t, b.engineRuns()[a.RequestID]+s.Runs()[a.RequestID], "%s: %+v", name, a)
		}
	}
	require.NoError(t, b.hosts["a1"].Wait(patience))
	b.requireOnce()
}

// Guards against a stop that keeps the ticket of a request which never ran: its next try would be refused for ten minutes.
func TestDrainLimitGivesTheTicketBackOfWhatWaits(t *testing.T) {
	b := newBed(t, "a1", "a2")
	b.extra = "limit = 1s\n" // in [drain], which the settings end with
	s := b.addPlain("git-1", "zone-a", time.Minute)
	b.platform.PublishRaw(fleet.Backend("git-1", "git", "zone-a", b.toServer["git-1"].Listen, 1, "active"))
	b.start()
	patient := tiered("top").WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
	go patient.Call(ctx(t), "GET", b.callers("a1"), "git", "stock", nil) // takes the only place
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(s.Runs()) == 1 }))
	ticket := b.caller().Ticket(ctx(t), b.callers("a1"))
	first := make(chan fleet.Response, 1)
	go func() {
		first <- patient.WithHeader("Fireflyshift-Idempotent", "no").WithHeader("Fireflyshift-Ticket", ticket).
			Call(ctx(t), "POST", b.callers("a2"), "git", "grade-thread", []byte("well done"))
	}()
	require.True(t, fleet.WaitUntil(patience, func() bool { return b.status("a1").Tickets == 1 && b.status("a2").Requests == 1 }))
	b.hosts["a2"].Signal(syscall.SIGTERM)
	assert.Equal(t, notRun, (<-first).Work)
	require.NoError(t, b.hosts["a2"].Wait(patience))
	b.addPlain("git-2", "zone-a", time.Millisecond)
	again := post(t, b.callers("a1"), ticket, "note")
	require.True(t, again.OK(), "%+v", again)
	b.requireOnce()
}

// Guards against a drain in which a request waits for its whole deadline, since no host schedules its service any more.
func TestDrainOfTheOnlyHostAnswersWhatWaits(t *testing.T) {
	b := newBed(t, "a1")
	o := fastEngine()
	o.Batch = 1
	b.addEngine("e1", "zone-a", o)
	b.start()
	chat := func(prompt string, tokens int) chan fleet.Response {
		done := make(chan fleet.Response, 1)
		c := b.caller().WithHeader("Fireflyshift-Deadline-Ms", longDeadline)
		go func() { done <- c.Chat(ctx(t), b.callers("a1"), "notes", prompt, tokens, false) }()
		return done
	}
	first := chat("first", 500)
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(b.engineRuns()) == 1 }))
	second := chat("second", 5)
	require.True(t, fleet.WaitUntil(patience, func() bool { return b.status("a1").Requests == 2 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	require.True(t, (<-first).OK())
	a := <-second
	require.True(t, a.OK() || (a.Err == nil && a.Work == notRun), "%+v", a)
	require.NoError(t, b.hosts["a1"].Wait(patience))
	b.requireOnce()
}

// Guards against a hangup, as of a closed terminal, that ends the process with requests in flight.
func TestHangupCutsNoRequest(t *testing.T) {
	b := stopBed(t, time.Second)
	s := b.plains["git-1"]
	done := make(chan fleet.Response, 1)
	go func() { done <- tiered("top").Call(ctx(t), "GET", b.callers("a1"), "git", "stock", nil) }()
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(s.Runs()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGHUP)
	a := <-done
	require.True(t, a.OK(), "%+v", a)
	b.requireOnce()
}

// Guards against a ticket of a draining host, which goes with it: its first use elsewhere would be refused as may have run.
func TestTicketOfADrainingHostIsGoodElsewhere(t *testing.T) {
	b := newBed(t, "a1", "a2")
	s := b.addPlain("git-1", "zone-a", 2*time.Second)
	b.start()
	go tiered("top").Call(ctx(t), "GET", b.callers("a1"), "git", "stock", nil) // keeps the host draining
	require.True(t, fleet.WaitUntil(patience, func() bool { return len(s.Runs()) == 1 }))
	b.hosts["a1"].Signal(syscall.SIGTERM)
	require.True(t, fleet.WaitUntil(patience, func() bool { return b.status("a1").Draining }))
	ticket := b.caller().Ticket(ctx(t), b.callers("a1"))
	require.NoError(t, b.hosts["a1"].Wait(patience))
	if ticket != "" { // a refusal sends the caller to another host
		a := post(t, b.callers("a2"), ticket, "note")
		require.True(t, a.OK(), "%+v", a)
	}
}
