package gateway

import (
	"context"
	"sync"
	"time"
)

// pauseTracker measures the longest gap between the events of a stream that are passed on to the caller, over all its
// dispatches.
type pauseTracker struct {
	last    time.Time
	longest time.Duration
}

// observe records that events are passed on to the caller.
func (p *pauseTracker) observe(now time.Time) {
	if !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// callCanceler cancels the current call to a backend server from another goroutine.
type callCanceler struct {
	mu      sync.Mutex
	cancel  context.CancelFunc
	attempt int
	// aborted is the latest attempt that was canceled, perhaps before its call started.
	aborted int
}

// start registers the call of an attempt.
func (c *callCanceler) start(attempt int, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.cancel = attempt, cancel
	if c.aborted == attempt {
		cancel()
	}
}

// abort cancels the call of an attempt.
func (c *callCanceler) abort(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = attempt
	if c.attempt == attempt {
		c.cancel()
	}
}
