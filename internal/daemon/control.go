// Package daemon wires the parts of fireflyshiftd together: one control thread that owns the
// reducer, and the threads that carry traffic.
package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/confstate"
	"fireflyshift/internal/core"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/timing"
)

const (
	eventQueue = 16384
	// lateTick is a gap between ticks that is worth a line in the log: the process was paused.
	lateTick = 500 * time.Millisecond
)

// envelope is one entry of the control thread's queue.
type envelope struct {
	event   core.Event
	effects chan<- core.Effect // set with Submit
	query   func(*core.Core)
}

// outlets are where the control thread sends effects that are not for a caller.
type outlets struct {
	send         func(member.Host, *peerpb.Message)
	readPlatform func(on bool, after uint64)
	readHosts    func()
	watchEngines func([]core.WatchedEngine)
	spans        *slotSpans
}

// control is the control thread. Its exported methods may be called from any goroutine.
type control struct {
	core    *core.Core
	queue   chan envelope
	clock   *timing.BootClock
	config  atomic.Pointer[confstate.Snapshot]
	ready   atomic.Bool
	leaving atomic.Bool // shutting down, before the reducer knows
	held    atomic.Int64
	callers map[string]chan<- core.Effect
	out     outlets
	metrics telemetry.Metrics
	log     zerolog.Logger
	done    chan struct{}
}

func newControl(c *core.Core, m telemetry.Metrics, log zerolog.Logger) *control {
	ctl := &control{core: c, queue: make(chan envelope, eventQueue), clock: timing.NewBootClock(),
		callers: map[string]chan<- core.Effect{}, metrics: m, log: log, done: make(chan struct{})}
	ctl.config.Store(c.Config().Snapshot())
	return ctl
}

// Now is the time since the start of the process, the time that the machine was suspended included: leases end and
// pauses show by it.
func (c *control) Now() time.Duration { return c.clock.Now() }

// Config is the configuration in force.
func (c *control) Config() *confstate.Snapshot { return c.config.Load() }

// Submit passes a caller's request to the reducer.
func (c *control) Submit(s core.Submit, effects chan<- core.Effect) {
	c.put(envelope{event: s, effects: effects})
}

// Post passes an event to the reducer. It waits while the queue is full.
func (c *control) Post(e core.Event) { c.put(envelope{event: e}) }

func (c *control) put(e envelope) {
	select {
	case c.queue <- e:
	case <-c.done:
	}
}

// query runs f on the control thread and reports whether it did within the timeout.
func (c *control) query(timeout time.Duration, f func(*core.Core)) bool {
	ran := make(chan struct{})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case c.queue <- envelope{query: func(k *core.Core) { f(k); close(ran) }}:
	case <-timer.C:
		return false
	}
	select {
	case <-ran:
		return true
	case <-timer.C:
		return false
	}
}

// run is the control thread.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(core.TickInterval)
	defer timer.Stop()
	latest := c.Now()
	next := latest
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.queue:
			c.step(e)
			if soon := c.Now() + core.TickInterval; soon < next && c.core.NextTick() == core.TickInterval {
				next = soon
				timer.Reset(core.TickInterval)
			}
		case <-timer.C:
			if gap := c.Now() - latest; gap > lateTick {
				c.log.Warn().Dur("gap_ms", gap).Msg("The process was paused.")
			}
			latest = c.Now()
			c.reduce(core.Tick{})
			c.publish()
			wait := c.core.NextTick()
			next = c.Now() + wait
			timer.Reset(wait)
		}
	}
}

func (c *control) step(e envelope) {
	if e.query != nil {
		e.query(c.core)
		return
	}
	if s, ok := e.event.(core.Submit); ok {
		c.callers[s.ID] = e.effects
	}
	c.reduce(e.event)
}

func (c *control) reduce(e core.Event) {
	started := time.Now()
	for _, eff := range c.core.Reduce(c.Now(), e) {
		c.carryOut(eff)
	}
	c.metrics.Timer("control.reduce").UpdateSince(started)
	for _, v := range c.core.Violations() {
		c.metrics.Count("invariant.violations", 1)
		c.log.Error().Str("violation", v).Msg("An invariant does not hold. Report this with the log.")
	}
}

func (c *control) carryOut(eff core.Effect) {
	switch e := eff.(type) {
	case core.Send:
		c.out.send(e.To, e.Message)
		c.out.spans.sent(e.To.ID, e.Message)
	case core.Dispatch:
		c.metrics.Count("dispatch", 1)
		c.toCaller(e.ID, e)
	case core.Suspend:
		c.toCaller(e.ID, e)
	case core.Finish:
		c.toCaller(e.ID, e)
		delete(c.callers, e.ID)
	case core.ConfigChanged:
		c.config.Store(c.core.Config().Snapshot())
		c.log.Info().Uint64("revision", c.core.Config().Revision()).Msg("Configuration in force.")
	case core.ReadPlatform:
		c.out.readPlatform(e.On, e.After)
	case core.ReadHosts:
		c.out.readHosts()
	case core.WatchEngines:
		c.out.watchEngines(e.Engines)
	}
}

// toCaller never blocks: the channel holds more than one request ever has outstanding.
func (c *control) toCaller(id string, e core.Effect) {
	ch, ok := c.callers[id]
	if !ok {
		return
	}
	select {
	case ch <- e:
	default:
		c.metrics.Count("control.effect_lost", 1)
		c.log.Error().Str("request", id).Msg("A request did not take its effects.")
	}
}

// publish updates what other goroutines read without asking.
func (c *control) publish() {
	c.ready.Store(c.core.Ready())
	c.held.Store(int64(c.core.Requests()))
	c.metrics.Set("requests.held", int64(c.core.Requests()))
	c.metrics.Set("control.queue", int64(len(c.queue)))
}

// unready takes the host out of the balancer while it still serves.
func (c *control) unready() { c.leaving.Store(true) }

// Linked implements peer.Receiver.
func (c *control) Linked(h member.Host, incarnation uint64) {
	c.Post(core.PeerLinked{Host: h, Incarnation: incarnation})
}

// Unlinked implements peer.Receiver.
func (c *control) Unlinked(host string, incarnation uint64) {
	c.Post(core.PeerUnlinked{Host: host, Incarnation: incarnation})
}

// Message implements peer.Receiver.
func (c *control) Message(from string, incarnation uint64, m *peerpb.Message) {
	c.out.spans.received(from, m)
	c.Post(core.PeerMessage{From: from, Incarnation: incarnation, Message: m})
}
