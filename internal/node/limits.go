package node

import (
	"net/http"
	"syscall"
	"time"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/membudget"
	"fireflyshift/internal/upstream"
)

const (
	// peerFraction is the fraction of the sockets for other hosts, and auxFraction that for each port of operators and load balancers.
	peerFraction = 0.125
	auxFraction  = 1.0 / 32
	// minAuxConnections is enough for a probe a second and some operators.
	minAuxConnections = 8

	// defaultHeadBytes and defaultHeadTime limit heads until a configuration sets limits.
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	// maxConfiguredHeaderBytes is the highest limit of heads that a configuration can set.
	maxConfiguredHeaderBytes = 1 << 20
	// auxHeaderBytes and auxHeadTime limit heads at the ports that are not for callers, and auxIdleTimeout closes unused connections there.
	// Hosts, load balancers and operators send some hundred bytes at once.
	auxHeaderBytes = 16 << 10
	auxHeadTime    = 10 * time.Second
	auxIdleTimeout = time.Minute
	// reportInterval is the least time between two log lines on callers that were turned away.
	reportInterval = time.Second
)

// limits are a host's limits on what callers and others make it hold.
type limits struct {
	// budget is the memory for callers' requests.
	budget *membudget.Budget
	// Numbers of connections; zero stands for no limit.
	callers, peers, aux int

	reportedAt time.Time
	reported   map[string]int64
}

func newLimits(set *Settings) limits {
	l := limits{budget: membudget.ForHost(set.MemoryMB), reported: map[string]int64{}}
	if set.MaxDescriptors == 0 {
		return l
	}
	sockets := float64(ingress.Sockets(set.MaxDescriptors))
	l.callers, l.peers, l.aux = ingress.CallerConnections(set.MaxDescriptors), int(peerFraction*sockets), max(minAuxConnections, int(auxFraction*sockets))
	return l
}

// headLimits returns the limits of callers' heads: those of the configuration in force.
func (n *Node) headLimits() ingress.HeadLimits {
	l := ingress.HeadLimits{Bytes: defaultHeadBytes, Time: defaultHeadTime}
	t := n.control.Table()
	if t == nil {
		return l
	}
	if c := t.Config.Limits; c.HeaderBytes > 0 {
		l.Bytes = c.HeaderBytes
	}
	if c := t.Config.Limits; c.HeaderTimeout > 0 {
		l.Time = c.HeaderTimeout
	}
	return l
}

func auxHeadLimits() ingress.HeadLimits {
	return ingress.HeadLimits{Bytes: auxHeaderBytes, Time: auxHeadTime}
}

// withoutBodies closes connections on which a body follows a request, instead of waiting for its end: h reads none.
func withoutBodies(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(time.Now())
		}
		h.ServeHTTP(w, r)
	})
}

// callerSocket sets options of the callers' listener, which its connections inherit.
func callerSocket(network, addr string, c syscall.RawConn) error {
	ingress.LimitBuffers(c)
	return upstream.SetCallerSilence(network, addr, c)
}

// auxSocket does so for the other listeners.
func auxSocket(network, addr string, c syscall.RawConn) error {
	ingress.LimitBuffers(c)
	return upstream.SetIdleSilence(network, addr, c)
}

// turnedAwayCounts are the counters of what limits have done to callers and others, by their names in the log.
var turnedAwayCounts = map[string]string{
	"callers.head_too_long":       "head_too_long",
	"callers.head_timeout":        "head_timeout",
	"callers.head_without_memory": "head_without_memory",
	"callers.closed_for_others":   "closed_for_others",
	"callers.connection_refused":  "connection_refused",
	"callers.stalled":             "stalled",
	"callers.stalled_places":      "stalled_places",
	"requests.no_memory":          "no_memory",
}

// reportTurnedAway logs in one line how many callers limits have turned away since the last one, by cause.
func (n *Node) reportTurnedAway(now time.Time) {
	s := n.limits.budget.Stats()
	n.metrics.Set("callers.memory", s.Used)
	n.metrics.Count("callers.stalled", s.TurnedAway-n.metrics.Counter("callers.stalled").Count())
	if now.Sub(n.limits.reportedAt) < reportInterval {
		return
	}
	more := map[string]int64{}
	for counter, field := range turnedAwayCounts {
		count := n.metrics.Counter(counter).Count()
		if count > n.limits.reported[counter] {
			more[field] = count - n.limits.reported[counter]
			n.limits.reported[counter] = count
		}
	}
	if len(more) == 0 {
		return
	}
	n.limits.reportedAt = now
	line := n.log.Warn().Int64("memory", s.Used).Int64("memory_limit", s.Capacity).Int("connections", n.connections.Open())
	for field, count := range more {
		line = line.Int64(field, count)
	}
	line.Msg("Callers turned away by limits.")
}
