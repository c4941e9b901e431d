package router

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// path is the state of the network between a host and an engine.
type path int

const (
	open path = iota
	refuses
	hangs
	// silent is a path that hangs while all requests find open connections.
	silent
	// refusesNew lets open connections live on.
	refusesNew
)

const (
	// dialTimeout and exchangeTimeout are when the node gives up a connection that is not answered, and an exchange whose
	// bytes are not acknowledged.
	dialTimeout     = 200 * time.Millisecond
	exchangeTimeout = 6 * time.Second
	// maxResetDelay is when the last exchange of a path that refuses is reset, as it sends or receives.
	maxResetDelay = 2 * time.Second
)

type zoneProbe struct {
	at     time.Duration
	host   *zoneHost
	result ProbeResult
}

func (z *zone) path(h *zoneHost, engine string) path {
	if z.paths == nil {
		return open
	}
	return z.paths(h, engine)
}

func (z *zone) probe(h *zoneHost, e Probe) {
	if z.probed != nil {
		z.probed[h.ip]++
	}
	if z.paths == nil {
		return
	}
	p := zoneProbe{z.now + zoneStep, h, ProbeResult{ID: e.Backend.ID, Start: e.Backend.Start}}
	switch z.path(h, e.Backend.ID) {
	case open:
		p.result.Reached = true
	case hangs, silent:
		p.at = z.now + dialTimeout
	default:
		p.result.Refused = true
	}
	z.probes = append(z.probes, p)
}

func (z *zone) answerProbes() {
	var rest []zoneProbe
	for _, p := range z.probes {
		if z.now < p.at {
			rest = append(rest, p)
		}
	}
	due := z.probes
	z.probes = rest
	for _, p := range due {
		if z.now >= p.at {
			z.post(p.host, p.result)
		}
	}
}

// applyPath sets how a dispatch ends if its path is cut. Where exchanges hang, every other one still found an open connection.
// The path of a relayed dispatch is that of its relay.
func (z *zone) applyPath(h *zoneHost, run *zoneRun) {
	if run.relayFault = z.failedRelays[run.via]; run.relayFault {
		run.outcome, run.ends = NotSent, z.now+zoneStep
		return
	}
	if run.via != "" {
		h = z.byIP[run.via]
	}
	switch z.path(h, run.engine) {
	case refuses:
		run.outcome, run.ends = NotSent, z.now+zoneStep
	case refusesNew:
		if z.rng.IntN(2) == 0 {
			run.outcome, run.ends = NotSent, z.now+zoneStep
		}
	case hangs:
		run.outcome, run.ends = NotSent, z.now+dialTimeout
		if z.rng.IntN(2) == 0 {
			run.outcome, run.ends = Broken, z.now+exchangeTimeout
		}
	case silent:
		run.outcome, run.ends = Broken, z.now+exchangeTimeout
	}
}

// cut sets the path from the first n hosts to the engines that match, and breaks their open exchanges with these. Those of a path
// that hangs break later.
func (z *zone) cut(n int, to path, match func(engine string) bool) {
	cutOff := map[string]bool{}
	for _, h := range z.hosts[:n] {
		cutOff[h.ip] = true
	}
	z.paths = func(h *zoneHost, engine string) path {
		if cutOff[h.ip] && match(engine) {
			return to
		}
		return open
	}
	for _, id := range slices.Sorted(maps.Keys(z.runs)) {
		run := z.runs[id]
		if run.engine == "" || run.via != "" || z.path(run.host, run.engine) == open || to == refusesNew {
			continue
		}
		run.outcome, run.ends = Broken, z.now+time.Duration(z.rng.Int64N(int64(maxResetDelay)))
		if to != refuses {
			run.ends = z.now + exchangeTimeout
		}
	}
}

// heal ends a cut.
func (z *zone) heal() { z.paths = func(*zoneHost, string) path { return open } }

func anyEngine(string) bool { return true }

// newCutWorld returns nine hosts in three zones with twelve engines, under a load of eight requests a second and host.
func newCutWorld(t *testing.T) *zone {
	z := newZones(t, 3, 3, 4)
	z.heal()
	z.run(3*time.Second, cutWorldRate)
	return z
}

// newLargeCutWorld returns sixty hosts in three zones with forty-five engines under load.
func newLargeCutWorld(t *testing.T) *zone {
	z := newZones(t, 3, 20, 15)
	z.heal()
	z.run(3*time.Second, largeCutWorldRate)
	return z
}

const (
	cutWorldRate      = 72
	largeCutWorldRate = 300
)

// runUntil runs until a condition holds, for no longer than most, and returns the time that it took.
func (z *zone) runUntil(most time.Duration, perSecond int, done func() bool) time.Duration {
	start := z.now
	for z.now-start < most && !done() {
		z.run(10*time.Millisecond, perSecond)
	}
	return z.now - start
}

func (z *zone) allCutOff(hosts []*zoneHost, want bool) func() bool {
	return func() bool {
		for _, h := range hosts {
			if h.r.cutOff("m") != want {
				return false
			}
		}
		return true
	}
}

var pathNames = map[path]string{refuses: "refuses", hangs: "hangs", silent: "is silent", refusesNew: "refuses new connections"}

func engineNumber(id string) int {
	var n int
	_, _ = fmt.Sscanf(id, "e%d", &n)
	return n
}
