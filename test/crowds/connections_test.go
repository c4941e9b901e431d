package crowds

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/platform/platformtest"
)

// connectionCrowd is more than the descriptors of the tests of connections.
const (
	connectionCrowd = 600
	fewDescriptors  = 400
)

// Guards against connections that take all descriptors, so that no other caller, probe or backend server gets one.
func TestCrowdOfConnections(t *testing.T) {
	for name, send := range map[string]func(b *bed) sender{
		"idle":        func(*bed) sender { return sends(nothing) },
		"half a head": func(b *bed) sender { return sends(func() string { return b.head("h: x") }) },
		"half a body": func(b *bed) sender { return sends(func() string { return b.head("Content-Length: 100", "", "half") }) },
		"half a body of a request that is refused": func(b *bed) sender {
			return sends(func() string {
				return strings.Replace(b.head("Content-Length: 100", "", "half"), "/browse/", "/nothing/", 1)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := defaultLimits()
			l.descriptors = fewDescriptors
			l.headTimeout, l.idleTimeout = time.Minute, time.Minute
			b := newBed(t, l)
			c := b.gather(b.callers(), connectionCrowd, true, send(b))
			b.requireBears(c)
		})
	}
}

// requireBears checks a host beside a crowd of connections and after it.
func (b *bed) requireBears(c *crowd) {
	b.t.Helper()
	c.awaitSent(settle)
	b.eventually("the readiness probe is answered", func() bool { return probe(b.host()) })
	b.requireServesBeside()
	c.leave()
	b.requireServes("after the crowd has gone")
	b.requireWithinLimits()
}

// probe asks for readiness on a new connection, as a load balancer does.
func probe(host string) bool {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + host + platformtest.ReadyPort + "/api/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// otherPorts are the listeners that are not for callers.
var otherPorts = map[string]string{"readiness": platformtest.ReadyPort, "control": platformtest.ControlPort, "peers": fmt.Sprintf(":%d", platformtest.PeerPort)}

// Guards against heads of a megabyte at the ports that are not for callers.
func TestCrowdOfHeadsAtOtherPorts(t *testing.T) {
	for name, port := range otherPorts {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, defaultLimits())
			c := b.gather(b.host()+port, 100, true, sends(func() string { return "GET /api/readyz HTTP/1.1\r\nHost: x\r\nh: " + strings.Repeat("x", 1000<<10) }))
			b.requireBears(c)
		})
	}
}

// Guards against connections at the ports that are not for callers, which take all descriptors.
func TestCrowdOfConnectionsAtOtherPorts(t *testing.T) {
	const head = "POST /api/readyz HTTP/1.1\r\nHost: x\r\n"
	for name, port := range otherPorts {
		for sent, text := range map[string]string{"nothing": "", "half a head": head, "half a body": head + "Content-Length: 100\r\n\r\nhalf"} {
			t.Run(name+", "+sent, func(t *testing.T) {
				l := defaultLimits()
				l.descriptors = fewDescriptors
				b := newBed(t, l)
				c := b.gather(b.host()+port, connectionCrowd, true, sends(func() string { return text }))
				b.requireBears(c)
			})
		}
	}
}

// Guards against a stopping host that waits for callers which never finish, until its grace period is over.
func TestCrowdDoesNotHoldAStoppingHost(t *testing.T) {
	l := defaultLimits()
	l.graceSeconds = 18 // less than waitTimeout
	l.headTimeout = time.Minute
	b := newBed(t, l)
	b.gather(b.callers(), 20, false, b.bodyShortOfItsEnd(100_000, 8<<10)).awaitSent(settle)
	b.gather(b.callers(), 20, false, b.bodyShortOfItsEnd(600_000, 64<<10)).awaitSent(settle)
	b.gather(b.callers(), 20, false, sends(func() string { return b.head("h: x") })).awaitSent(settle)
	require.NoError(t, b.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-b.exited:
	case <-time.After(waitTimeout):
		require.Fail(t, "the host does not end")
	}
	require.Contains(t, b.logText(), "Drained.")
	require.NotContains(t, b.logText(), "Grace period over.")
}
