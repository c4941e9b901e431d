package ingress

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/membudget"
)

// counts records the events of a host.
type counts struct {
	mu     sync.Mutex
	events map[string]int64
}

func (c *counts) count(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events[name] += n
}

func (c *counts) of(name string) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.events[name]
}

// limited sets the limits of a host.
func limited(l Limits) (*counts, func(*testHost)) {
	c := &counts{events: map[string]int64{}}
	l.Count = c.count
	return c, func(h *testHost) { h.c.Limit(l) }
}

func heads(bytes int, time time.Duration) func() HeadLimits {
	return func() HeadLimits { return HeadLimits{bytes, time} }
}

func (c *testCaller) write(t *testing.T, text string) {
	_, err := io.WriteString(c, text)
	require.NoError(t, err)
}

// Guards against heads and empty lines over the limit, and against ones inside it that are refused.
func TestHeadsAreLimited(t *testing.T) {
	const limit = 8 << 10
	for name, k := range map[string]struct {
		begin, piece string
		bytes        int
		status       int
	}{
		"inside the limit":                  {"GET / HTTP/1.1\r\nHost: x\r\n", "h: x\r\n", limit, http.StatusOK},
		"over the limit":                    {"GET / HTTP/1.1\r\nHost: x\r\n", "h: x\r\n", limit + 2*readAhead, http.StatusRequestHeaderFieldsTooLarge},
		"empty lines inside the limit":      {"", "\r\n", limit, http.StatusOK},
		"empty lines over the limit":        {"", "\r\n", limit + 2*readAhead, http.StatusRequestHeaderFieldsTooLarge},
		"bare line feeds inside the limit":  {"", "\n", 100, http.StatusOK},
		"one line without end over the one": {"GET /", strings.Repeat("x", 64), limit + 2*readAhead, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			counted, set := limited(Limits{Head: heads(limit, testTimeout)})
			c := newHost(t, set).caller()
			text := k.begin
			for len(text)+len(k.piece) <= k.bytes-64 {
				text += k.piece
			}
			if k.begin == "" {
				text += "GET / HTTP/1.1\r\nHost: x\r\n"
			}
			c.write(t, text+"\r\n")
			require.Equal(t, k.status, c.status(t))
			if k.status != http.StatusOK {
				require.EqualValues(t, 1, counted.of(countHeadTooLong))
			}
		})
	}
}

// Guards against limits that apply to the first head of a connection only, or to bodies.
func TestEachHeadHasTheWholeLimit(t *testing.T) {
	_, set := limited(Limits{Head: heads(2<<10, 100*time.Millisecond)})
	h := newHost(t, set)
	c := h.caller()
	for range 10 {
		c.write(t, "\r\nPOST / HTTP/1.1\r\nHost: x\r\nh: "+strings.Repeat("x", 1500)+"\r\nContent-Length: 100000\r\n\r\n")
		time.Sleep(30 * time.Millisecond)
		c.write(t, strings.Repeat("b", 100_000))
		require.Equal(t, http.StatusOK, c.status(t))
	}
	c.write(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n")
	time.Sleep(200 * time.Millisecond)
	c.write(t, "body")
	require.Equal(t, http.StatusOK, c.status(t))
	require.NoError(t, c.send())
	require.Equal(t, http.StatusOK, c.status(t), "the body was read, although it took longer than a head may")
}

// Guards against a head, or empty lines, that keep a connection and a stopping host.
func TestUnfinishedHeadsGetTheNotice(t *testing.T) {
	for _, text := range []string{"G", "GET / HTTP/1.1\r\nHost: x\r\n", "\r\n"} {
		counted, set := limited(Limits{Head: heads(0, 50*time.Millisecond)})
		h := newHost(t, set)
		c := h.idleCaller()
		c.write(t, text)
		require.Equal(t, http.StatusRequestTimeout, c.status(t))
		require.EqualValues(t, 1, counted.of(countHeadTimeout))
		require.Zero(t, h.c.InUse())
	}
}

// Guards against short lines that take many times their length in memory.
func TestHeadLinesCountForTheBudget(t *testing.T) {
	b := membudget.New(1 << 20)
	counted, set := limited(Limits{Head: heads(0, testTimeout), Budget: b})
	h := newHost(t, set)
	c := h.caller()
	c.write(t, "GET / HTTP/1.1\r\n"+strings.Repeat("h:\r\n", 1000))
	require.Eventually(t, func() bool { return b.Stats().Used > 1000*headLineCost }, testTimeout, time.Millisecond)
	c.write(t, strings.Repeat("h:\r\n", 10_000))
	require.Equal(t, http.StatusRequestTimeout, c.status(t))
	require.EqualValues(t, 1, counted.of(countNoMemory))
	require.NoError(t, c.Close())
	require.Eventually(t, func() bool { return b.Stats().Used == 0 }, testTimeout, time.Millisecond)
	require.NotNil(t, h.idleCaller())
	require.Eventually(t, func() bool { return b.Stats().Used == 0 }, testTimeout, time.Millisecond, "an idle connection holds nothing")
}

// Guards against connections that serve no request and keep others out, and against one in use that is closed for others.
func TestUnusedConnectionsMakeRoom(t *testing.T) {
	counted, set := limited(Limits{Connections: 4})
	h := newHost(t, set)
	h.c.linger = testTimeout
	busy := h.idleCaller()
	busy.write(t, requestText[:len(requestText)-1])
	require.Eventually(t, func() bool { return h.c.InUse() == 1 }, testTimeout, time.Millisecond)
	first, second := h.idleBeside(1), h.caller()
	for range 20 {
		h.idleBeside(1)
	}
	require.Equal(t, http.StatusRequestTimeout, first.status(t), "the notice: no request was read")
	require.Equal(t, http.StatusRequestTimeout, second.status(t), "also to one that has sent nothing")
	require.LessOrEqual(t, h.c.Open(), 4)
	require.GreaterOrEqual(t, counted.of(countClosedForOthers), int64(18))
	busy.write(t, requestText[len(requestText)-1:])
	require.Equal(t, http.StatusOK, busy.status(t))
}

// idleBeside returns a caller that has had an answer while a number of other connections are in use.
func (h *testHost) idleBeside(inUse int) *testCaller {
	c := h.caller()
	require.NoError(h.t, c.send())
	require.Equal(h.t, http.StatusOK, c.status(h.t))
	require.Eventually(h.t, func() bool { return h.c.InUse() == inUse }, testTimeout, time.Millisecond)
	return c
}

// Guards against callers that stop in the middle of a request and keep others out.
func TestStalledCallersMakeRoom(t *testing.T) {
	b := membudget.New(0)
	_, set := limited(Limits{Connections: 4, Budget: b, Head: heads(0, testTimeout)})
	h := newHost(t, set)
	var stalled []*testCaller
	for i := range 4 {
		c := h.caller()
		c.write(t, fmt.Sprintf("GET /%d HTTP/1.1\r\n", i))
		stalled = append(stalled, c)
	}
	require.Eventually(t, func() bool { return h.c.InUse() == 4 }, testTimeout, time.Millisecond)
	time.Sleep(membudget.StallTime)
	require.Eventually(t, func() bool {
		c := h.caller()
		return c.send() == nil && c.answered()
	}, testTimeout, 10*time.Millisecond)
	closed := 0
	for _, c := range stalled {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		if c.answered() {
			closed++
		}
	}
	require.Positive(t, closed, "with the notice")
}

func (c *testCaller) answered() bool {
	_, err := http.ReadResponse(c.r, nil)
	return err == nil
}

// Guards against more connections than there are descriptors, if all of them are in use.
func TestConnectionsInUseAreNotClosedForOthers(t *testing.T) {
	counted, set := limited(Limits{Connections: 2})
	h := newHost(t, set)
	h.blockReads()
	var busy []*testCaller
	for range 2 {
		c := h.caller()
		c.write(t, requestText)
		busy = append(busy, c)
	}
	h.allowReads()
	for _, c := range busy {
		require.Equal(t, http.StatusOK, c.status(t))
		c.write(t, requestText[:len(requestText)-1])
	}
	require.Eventually(t, func() bool { return h.c.InUse() == 2 }, testTimeout, time.Millisecond)
	refused := h.caller()
	_, err := refused.r.ReadByte()
	require.Error(t, err)
	require.EqualValues(t, 1, counted.of(countConnectionRefused))
	for _, c := range busy {
		c.write(t, requestText[len(requestText)-1:])
		require.Equal(t, http.StatusOK, c.status(t))
	}
}

// Guards against a connection that is reset before its caller has sent the rest of a long body, so that the answer is lost.
func TestAnswerBeforeTheEndOfALongBodyArrives(t *testing.T) {
	for range 5 {
		c := newHost(t, longLinger).caller()
		c.write(t, "POST /unread HTTP/1.1\r\nHost: x\r\nContent-Length: 5000000\r\n\r\n")
		c.write(t, strings.Repeat("b", 4_900_000))
		require.Equal(t, http.StatusRequestTimeout, c.status(t))
	}
}
