package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// Guards against an urgent request that waits for a slot while all engines run long requests of a low tier. One of these must
// be suspended for it, and still complete with all its text.
func TestUrgentWorkDisplacesAndTheDisplacedWorkIsWhole(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	o := fastEngine()
	o.Batch = 2
	b.addEngine("e1", "zone-a", o)
	b.addEngine("e2", "zone-a", o)
	b.start()
	low := make(chan fleet.Response, 4)
	for i := 0; i < 4; i++ {
		go func() {
			prompt := fmt.Sprint("tag ", i)
			a := tierCaller("low").Chat(testCtx(t), b.addr([]string{"a1", "a2"}[i%2]), "notes", prompt, 1500, true)
			if a.OK() && a.Text != fullAnswer(prompt, 1500) {
				a.Err = fmt.Errorf("torn text")
			}
			low <- a
		}()
	}
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 4 }))
	time.Sleep(100 * time.Millisecond)
	a := tierCaller("top").Chat(testCtx(t), b.addr("a1"), "notes", "urgent", 10, true)
	require.True(t, a.OK(), "%+v", a)
	require.Equal(t, fullAnswer("urgent", 10), a.Text)
	suspended := 0
	for _, e := range b.engines {
		suspended += e.Stats().Suspended
	}
	require.Positive(t, suspended, "no request was suspended for the urgent one")
	for i := 0; i < 4; i++ {
		answer := <-low
		require.True(t, answer.OK(), "%+v", answer.Err)
	}
	b.requireNoneRanTwice()
}

// Guards against load shedding that hits urgent requests: a burst over all tiers arrives at three times the capacity. All
// requests of the top tier must be answered, and what is refused as not run must have a retry delay.
func TestBurstShedsFromTheBottom(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	o := fastEngine()
	o.Batch = 4
	b.addEngine("e1", "zone-a", o)
	b.start()
	type result struct {
		tier string
		fleet.Response
	}
	results := make(chan result, 300)
	tiers := []string{"low", "mid", "top"}
	for i := 0; i < 300; i++ {
		tier := tiers[min(2, i%10/4)] // 4 low, 4 mid, 2 top in ten
		go func() {
			c := tierCaller(tier).WithHeader("Fireflyshift-Deadline-Ms", "6000")
			results <- result{tier, c.Chat(testCtx(t), b.addr([]string{"a1", "a2"}[i%2]), "notes", fmt.Sprint("p", i), 20, true)}
		}()
	}
	answered, refused := map[string]int{}, map[string]int{}
	for i := 0; i < 300; i++ {
		r := <-results
		if r.OK() {
			answered[r.tier]++
			continue
		}
		refused[r.tier]++
		require.NotEmpty(t, r.ErrorKind, "%+v", r.Response)
		if r.Work == "not run" {
			require.NotEmpty(t, r.RetryAfter, "%+v", r.Response)
			require.Zero(t, b.runsByRequest()[r.RequestID])
		}
	}
	require.Equal(t, 60, answered["top"], "answered %v, refused %v", answered, refused)
	require.GreaterOrEqual(t, answered["mid"], answered["low"])
	b.requireNoneRanTwice()
}

// Guards against requests lost with the scheduler: its host dies in the middle of a burst. Streams through other hosts must
// continue, and waiting requests must move to the next scheduler.
func TestSchedulerDiesInTheMiddleOfABurst(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "a3")
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	oldScheduler := b.schedulerOf("notes", "zone-a")
	entry := b.otherHost("zone-a", oldScheduler)
	answers := make(chan fleet.Response, 60)
	for i := 0; i < 60; i++ {
		go func() {
			prompt := fmt.Sprint("p", i)
			a := tierCaller("mid").Chat(testCtx(t), b.addr(entry), "notes", prompt, 100, true)
			if a.OK() && a.Text != fullAnswer(prompt, 100) {
				a.Err = fmt.Errorf("torn text")
			}
			answers <- a
		}()
	}
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) > 10 }))
	b.hosts[oldScheduler].Kill()
	for i := 0; i < 60; i++ {
		a := <-answers
		require.True(t, a.OK(), "%+v", a)
	}
	b.requireNoneRanTwice()
}

// Guards against a host that runs out of memory or stalls when thousands of callers return at once after an outage: each must
// get an answer or a refusal, and the host must serve normally afterwards.
func TestThunderingReturnOfCallers(t *testing.T) {
	b := newTestbed(t, "a1")
	b.extraSettings = "[limits]\nmax_requests = 200\n"
	b.binDir = noRaceBinDir
	o := fastEngine()
	o.Batch = 4
	b.addEngine("e1", "zone-a", o)
	b.start()
	const callers = 2000
	results := make(chan fleet.Response, callers)
	c := tierCaller("mid").WithHeader("Fireflyshift-Deadline-Ms", "5000")
	c.Client.Transport.(*http.Transport).MaxConnsPerHost = 500
	for i := 0; i < callers; i++ {
		go func() { results <- c.Chat(testCtx(t), b.addr("a1"), "notes", fmt.Sprint("p", i), 5, false) }()
	}
	var all []fleet.Response
	for i := 0; i < callers; i++ {
		all = append(all, <-results)
	}
	for _, a := range all {
		require.True(t, a.OK() || a.ErrorKind != "", "%+v", a)
	}
	resident := residentKB(t, b.hosts["a1"].Pid())
	t.Logf("resident: %d KB", resident)
	require.Less(t, resident, 150_000)
	a := tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "after", 5, false)
	require.True(t, a.OK(), "%+v", a)
	b.requireNoneRanTwice()
}

func residentKB(t *testing.T, pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	require.NoError(t, err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, err := strconv.Atoi(strings.Fields(rest)[0])
			require.NoError(t, err)
			return n
		}
	}
	t.Fatal("no VmRSS")
	return 0
}

// Guards against slow callers that hold up others: their bodies never complete, and each must be refused with the reason.
func TestSlowCallersCostOthersNothing(t *testing.T) {
	b := newTestbed(t, "a1")
	b.extraSettings = "[limits]\nbody_timeout = 500ms\nmax_requests = 10\n"
	b.addEngine("e1", "zone-a", fastEngine())
	b.start()
	slow := make(chan string, 50)
	for i := 0; i < 50; i++ {
		go func() { slow <- sendHalfBody(b.addr("a1")) }()
	}
	for i := 0; i < 10; i++ {
		a := tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "p", 5, false)
		require.True(t, a.OK(), "%+v", a)
	}
	for i := 0; i < 50; i++ {
		require.Contains(t, <-slow, "slow_body")
	}
}

// sendHalfBody sends an incomplete body and returns what the host sends back.
func sendHalfBody(addr string) string {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{", workspaceKey)
	_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
	data, _ := io.ReadAll(conn)
	return string(data)
}

// Guards against a slot that stays taken after its caller has disconnected.
func TestCallerWhoLeavesGivesItsSlotBack(t *testing.T) {
	b := newTestbed(t, "a1")
	o := fastEngine()
	o.Batch = 1
	b.addEngine("e1", "zone-a", o)
	b.start()
	for i := 0; i < 3; i++ {
		c, cancel := context.WithCancel(context.Background())
		go tierCaller("mid").Chat(c, b.addr("a1"), "notes", fmt.Sprint("leaves ", i), 4000, true)
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return len(b.runsByRequest()) == 2*i+1 }))
		cancel()
		a := tierCaller("mid").Chat(testCtx(t), b.addr("a1"), "notes", "stays", 5, false)
		require.True(t, a.OK(), "%+v", a)
	}
	b.requireNoneRanTwice()
}

// Guards against a rate limit that affects others: a workspace over its rate is refused with a retry delay, and other
// workspaces are served.
func TestWorkspaceOverItsRate(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	r := fleet.Workspace("greedy", "greedy-key", []string{"top"}, 1)
	r.Body = bytes.Replace(r.Body, []byte(`"weight":1`), []byte(`"weight":1,"limits":{"requests_per_second":0.5,"burst":3}`), 1)
	b.platform.PublishRaw(r)
	b.start()
	refused := 0
	for i := 0; i < 10; i++ {
		a := fleet.NewCaller("greedy-key").WithHeader("Fireflyshift-Tier", "top").Call(testCtx(t), "GET", b.addr("a1"), "git", "x", nil)
		if a.ErrorKind == "rate_limited" {
			refused++
			require.Equal(t, http.StatusTooManyRequests, a.Status)
			require.NotEmpty(t, a.RetryAfter)
		}
		require.True(t, tierCaller("top").Call(testCtx(t), "GET", b.addr("a1"), "git", "x", nil).OK())
	}
	require.GreaterOrEqual(t, refused, 6)
}
