// Package daemon assembles fireflyshiftd from the control thread (a single goroutine that owns the
// reducer), the servers for callers, peers and operators, and the links to other hosts.
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
	queueLength = 16384
	// pauseThreshold is the gap between ticks from which the log reports that the process was paused.
	pauseThreshold = 500 * time.Millisecond
)

// queueEntry is an entry of the control thread's queue: an event or a query.
type queueEntry struct {
	event   core.Event
	effects chan<- core.Effect // set for core.Submit only
	query   func(*core.Core)
}

// effectHandlers perform the effects that do not concern a caller.
type effectHandlers struct {
	send         func(member.Host, *peerpb.Message)
	readPlatform func(on bool, after uint64)
	readHosts    func()
	watchEngines func([]core.WatchedEngine)
	spans        *slotSpans
}

// control is the control thread. Its exported methods may be called from any goroutine.
type control struct {
	core           *core.Core
	queue          chan queueEntry
	clock          *timing.BootClock
	config         atomic.Pointer[confstate.Snapshot]
	ready          atomic.Bool
	shuttingDown   atomic.Bool // set at the start of a shutdown, before the reducer is informed
	activeRequests atomic.Int64
	callers        map[string]chan<- core.Effect
	out            effectHandlers
	metrics        telemetry.Metrics
	log            zerolog.Logger
	done           chan struct{}
}

func newControl(c *core.Core, m telemetry.Metrics, log zerolog.Logger) *control {
	ctl := &control{core: c, queue: make(chan queueEntry, queueLength), clock: timing.NewBootClock(),
		callers: map[string]chan<- core.Effect{}, metrics: m, log: log, done: make(chan struct{})}
	ctl.config.Store(c.Config().Snapshot())
	return ctl
}

// Now returns the time since the start of the process, including time in which the machine was suspended. Leases and the
// detection of pauses depend on that.
func (c *control) Now() time.Duration { return c.clock.Now() }

// Config returns the active configuration.
func (c *control) Config() *confstate.Snapshot { return c.config.Load() }

// Submit passes a caller's request to the reducer.
func (c *control) Submit(s core.Submit, effects chan<- core.Effect) {
	c.put(queueEntry{event: s, effects: effects})
}

// Post passes an event to the reducer. It blocks while the queue is full.
func (c *control) Post(e core.Event) { c.put(queueEntry{event: e}) }

func (c *control) put(e queueEntry) {
	select {
	case c.queue <- e:
	case <-c.done:
	}
}

// query runs f on the control thread and returns its result, or false if there is none within the timeout. f may still run after
// that, so it hands its result over instead of writing to what the caller reads.
func query[T any](c *control, timeout time.Duration, f func(*core.Core) T) (T, bool) {
	result := make(chan T, 1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var none T
	select {
	case c.queue <- queueEntry{query: func(k *core.Core) { result <- f(k) }}:
	case <-timer.C:
		return none, false
	}
	select {
	case out := <-result:
		return out, true
	case <-timer.C:
		return none, false
	}
}

// run is the control thread's loop. It returns when ctx is done.
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
			c.handle(e)
			if soon := c.Now() + core.TickInterval; soon < next && c.core.NextTick() == core.TickInterval {
				next = soon
				timer.Reset(core.TickInterval)
			}
		case <-timer.C:
			if gap := c.Now() - latest; gap > pauseThreshold {
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

func (c *control) handle(e queueEntry) {
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
		c.execute(eff)
	}
	c.metrics.Timer("control.reduce").UpdateSince(started)
	for _, v := range c.core.Violations() {
		c.metrics.Count("invariant.violations", 1)
		c.log.Error().Str("violation", v).Msg("An invariant does not hold. Report this with the log.")
	}
}

func (c *control) execute(eff core.Effect) {
	switch e := eff.(type) {
	case core.Send:
		c.out.send(e.To, e.Message)
		c.out.spans.sent(e.To.ID, e.Message)
	case core.Dispatch:
		c.metrics.Count("dispatch", 1)
		c.notifyCaller(e.ID, e)
	case core.Suspend:
		c.notifyCaller(e.ID, e)
	case core.Finish:
		c.notifyCaller(e.ID, e)
		delete(c.callers, e.ID)
	case core.ConfigChanged:
		c.config.Store(c.core.Config().Snapshot())
		c.log.Info().Uint64("revision", c.core.Config().Revision()).Msg("Configuration activated.")
	case core.ReadPlatform:
		c.out.readPlatform(e.On, e.After)
	case core.ReadHosts:
		c.out.readHosts()
	case core.WatchEngines:
		c.out.watchEngines(e.Engines)
	}
}

// notifyCaller never blocks: the channel's capacity exceeds the number of effects that a request can have outstanding.
func (c *control) notifyCaller(id string, e core.Effect) {
	ch, ok := c.callers[id]
	if !ok {
		return
	}
	select {
	case ch <- e:
	default:
		c.metrics.Count("control.effect_lost", 1)
		c.log.Error().Str("request", id).Msg("Effect dropped: the request's channel is full.")
	}
}

// publish updates the values that other goroutines read without a query.
func (c *control) publish() {
	c.ready.Store(c.core.Ready())
	c.activeRequests.Store(int64(c.core.Requests()))
	c.metrics.Set("requests.held", int64(c.core.Requests()))
	c.metrics.Set("control.queue", int64(len(c.queue)))
}

// setUnready makes the readiness probe fail while the host still serves.
func (c *control) setUnready() { c.shuttingDown.Store(true) }

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
