package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/gateway"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/timing"
)

const (
	// tickInterval is the resolution of heartbeats and of timeouts of waiting requests.
	tickInterval = 25 * time.Millisecond
	// queueLength limits the events queued for the control thread. Request goroutines block while the queue is full.
	queueLength  = 4096
	queryTimeout = time.Second
)

// effectHandlers perform the effects that leave the host. They must not block.
type effectHandlers struct {
	send      func(to []string, p *gossippb.Packet)
	pull      func(p router.Pull)
	readStore func(on, shared bool)
	dropConns func(addr string)
	// limitWait ends the calls to a backend server that is gone unless its host still acknowledges.
	limitWait func(id string)
	// probe posts a ProbeResult event.
	probe func(c router.Probe)
}

// control is the control thread, a single goroutine that owns the reducer.
type control struct {
	router  *router.Router
	clock   *timing.BootClock
	out     effectHandlers
	log     zerolog.Logger
	metrics telemetry.Metrics
	queue   chan any
	done    chan struct{} // closed when run has returned
	// callers holds the effect channels of the gateway's requests, by request ID.
	callers map[uint64]gateway.Caller
	table   atomic.Pointer[routing.Table]
	// configured is closed when the first configuration is activated.
	configured chan struct{}
	ready      atomic.Bool
	draining   atomic.Bool
	suspects   atomic.Bool
}

// submission is a request together with the channel for its effects.
type submission struct {
	router.Submit
	caller gateway.Caller
}

// query is a function to be run on the control thread.
type queryEntry struct{ run func(*router.Router) }

func newControl(r *router.Router, log zerolog.Logger, m telemetry.Metrics) *control {
	return &control{router: r, clock: timing.NewBootClock(), log: log, metrics: m,
		queue: make(chan any, queueLength), done: make(chan struct{}), callers: map[uint64]gateway.Caller{}, configured: make(chan struct{})}
}

// run handles events until ctx is done.
func (c *control) run(ctx context.Context) {
	defer close(c.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	c.reduce(router.Tick{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			c.reduce(router.Tick{})
		case ev := <-c.queue:
			c.handle(ev)
		}
	}
}

func (c *control) handle(ev any) {
	switch e := ev.(type) {
	case submission:
		c.callers[e.ID] = e.caller
		c.reduce(e.Submit)
	case queryEntry:
		e.run(c.router)
	case router.Event:
		c.reduce(e)
		switch end := e.(type) {
		case router.DispatchEnded:
			if end.Outcome == router.Answered || end.Outcome == router.Canceled {
				delete(c.callers, end.ID)
			}
		case router.CallerLeft:
			delete(c.callers, end.ID)
		}
	}
}

func (c *control) reduce(ev router.Event) {
	for _, eff := range c.router.Reduce(c.clock.Now(), ev) {
		c.execute(eff)
	}
	for _, v := range c.router.Violations() {
		c.metrics.Count("invariant.violations", 1)
		c.log.Error().Str("violation", v).Msg("An invariant does not hold. Report this with the log.")
	}
	c.ready.Store(c.router.Ready())
	c.suspects.Store(c.router.HasSuspects())
}

func (c *control) execute(eff router.Effect) {
	switch e := eff.(type) {
	case router.Dispatch:
		c.notifyCaller(e.ID, e)
	case router.Abort:
		if caller, ok := c.callers[e.ID]; ok {
			caller.Abort(e.Attempt)
		}
	case router.Queued:
		c.notifyCaller(e.ID, e)
	case router.StallDecision:
		c.notifyCaller(e.ID, e)
	case router.Refuse:
		c.notifyCaller(e.ID, e)
		delete(c.callers, e.ID)
	case router.GiveUp:
		c.notifyCaller(e.ID, e)
		delete(c.callers, e.ID)
	case router.SendHeartbeat:
		c.out.send(e.To, &gossippb.Packet{Beat: e.Heartbeat})
	case router.Send:
		c.out.send(e.To, e.Packet)
	case router.ReadStore:
		c.out.readStore(e.On, e.Shared)
	case router.Pull:
		c.out.pull(e)
	case router.ConfigActivated:
		if c.table.Swap(e.Table) == nil {
			close(c.configured)
		}
		c.log.Info().Uint64("version", e.Table.Config.Version).Int("routes", len(e.Table.Config.Routes)).Msg("Configuration activated.")
	case router.BackendGone:
		c.out.dropConns(e.Backend.Addr)
		if !e.Doubtful {
			c.out.limitWait(e.Backend.ID)
		}
	case router.Probe:
		c.out.probe(e)
	case router.Note:
		c.metrics.Count("beliefs.changed", 1)
		c.log.Info().Str("what", e.What).Str("subject", e.Subject).Str("detail", e.Detail).Int64("age_ms", e.Age.Milliseconds()).Msg("Cluster state changed.")
	}
}

func (c *control) notifyCaller(id uint64, e router.Effect) {
	caller, ok := c.callers[id]
	if !ok {
		return
	}
	select {
	case caller.Effects <- e:
	default:
		c.log.Error().Uint64("request", id).Msg("Effect dropped: the request's channel is full.")
	}
}

// Submit implements gateway.Control.
func (c *control) Submit(s router.Submit, caller gateway.Caller) {
	c.put(submission{s, caller})
}

// Post implements gateway.Control.
func (c *control) Post(ev router.Event) { c.put(ev) }

// put queues an entry. It blocks while the queue is full and the control thread runs.
func (c *control) put(entry any) {
	select {
	case c.queue <- entry:
	case <-c.done:
	}
}

// Now implements gateway.Control.
func (c *control) Now() time.Duration { return c.clock.Now() }

// Table implements gateway.Control.
func (c *control) Table() *routing.Table { return c.table.Load() }

// Configured implements gateway.Control.
func (c *control) Configured() <-chan struct{} { return c.configured }

// Draining implements gateway.Control.
func (c *control) Draining() bool { return c.draining.Load() }

// NeedsDigests implements gateway.Control.
func (c *control) NeedsDigests() bool { return c.suspects.Load() }

// query runs f on the control thread and returns its result, or false if there is none within queryTimeout. f may still run after
// that, so it hands its result over instead of writing to what the caller reads.
func query[T any](c *control, f func(*router.Router) T) (T, bool) {
	result := make(chan T, 1)
	timer := time.NewTimer(queryTimeout)
	defer timer.Stop()
	var none T
	select {
	case c.queue <- queryEntry{func(r *router.Router) { result <- f(r) }}:
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

// Snapshot implements gossip.Source.
func (c *control) Snapshot(since router.Since) (router.Update, bool) {
	return query(c, func(r *router.Router) router.Update { return r.Snapshot(since) })
}

// RelayPermission reports whether another host may use this one as a relay to a backend server's address.
func (c *control) RelayPermission(host, addr string) router.RelayPermission {
	permission, ok := query(c, func(r *router.Router) router.RelayPermission { return r.RelayPermission(host, addr) })
	if !ok {
		return router.RelayUnavailable
	}
	return permission
}
