package crowds

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const headCrowd = 200

// Guards against heads that take more memory than the configuration allows.
func TestCrowdOfHeads(t *testing.T) {
	for name, send := range map[string]func(b *bed) sender{
		"half a head": func(b *bed) sender { return sends(func() string { return b.head(strings.Repeat("h: x\r\n", 100)) }) },
		"long without its end": func(b *bed) sender {
			return sends(func() string { return b.head("h: " + strings.Repeat("x", 60<<10)) })
		},
		"without end": func(b *bed) sender { return repeats(func() string { return b.head() }, "name: value\r\n", 8<<20) },
		"short lines": func(b *bed) sender { return repeats(func() string { return b.head() }, "h:\r\n", 8<<20) },
		"many names":  func(b *bed) sender { return sends(func() string { return b.manyNames(63 << 10) }) },
		"empty lines": func(b *bed) sender { return repeats(nothing, "\r\n", 8<<20) },
		"empty lines afterward": func(b *bed) sender {
			return repeats(func() string { return b.head("Content-Length: 0", "") }, "\r\n", 8<<20)
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := defaultLimits()
			l.memoryMB = 48
			b := newBed(t, l)
			b.endure(headCrowd, true, send(b))
		})
	}
}

// Guards against limits of the configuration that are read and not applied: a head over them gets a status that promises that nothing
// has run, and one inside them is served.
func TestHeadsAreLimitedByTheConfiguration(t *testing.T) {
	l := defaultLimits()
	l.headBytes = 100 << 10
	b := newBed(t, l)
	long := "h: " + strings.Repeat("x", 90<<10)
	b.requireAnswered("a head of 90 KB where 100 are allowed", sends(func() string { return b.head(long, "Content-Length: 0", "") }))

	l.headBytes = 2 << 10
	b = newBed(t, l)
	c, err := net.Dial("tcp", b.callers())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, b.head("h: "+strings.Repeat("x", 20<<10)))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 431 ")
}

// Guards against a caller that is cut off although the configuration gives it more time for its head.
func TestHeadsHaveTheTimeOfTheConfiguration(t *testing.T) {
	l := defaultLimits()
	l.headTimeout = 30 * time.Second
	b := newBed(t, l)
	b.requireAnswered("a head that takes eleven of thirty seconds", func(_ int, c net.Conn) error {
		if _, err := io.WriteString(c, b.head("h: x")); err != nil {
			return err
		}
		time.Sleep(11 * time.Second)
		_, err := io.WriteString(c, "Content-Length: 0\r\n\r\n")
		return err
	})
}

// Guards against a head that is never finished and whose connection ends without a word: its caller may send the request again.
func TestUnfinishedHeadGetsAStatus(t *testing.T) {
	l := defaultLimits()
	l.headTimeout = time.Second
	b := newBed(t, l)
	c, err := net.Dial("tcp", b.callers())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, b.head("h: x"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(waitTimeout)))
	answer, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(answer), "HTTP/1.1 408 ")
}

// Guards against a request that fails because of an empty line before it (RFC 9112, 2.2).
func TestEmptyLineBeforeARequestIsIgnored(t *testing.T) {
	b := newBed(t, defaultLimits())
	b.requireAnswered("one empty line", sends(func() string { return "\r\n" + b.head("Content-Length: 0", "") }))
}
