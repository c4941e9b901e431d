package gateway

import (
	"context"
	"sync"
	"time"
)

// pauses measures the longest pause between what the caller gets of a stream, over all its dispatches.
type pauses struct {
	last    time.Time
	longest time.Duration
}

// piece notes that events go to the caller.
func (p *pauses) piece(now time.Time) {
	if !p.last.IsZero() {
		p.longest = max(p.longest, now.Sub(p.last))
	}
	p.last = now
}

// cut breaks off the call under way from another goroutine.
type cut struct {
	mu      sync.Mutex
	cancel  context.CancelFunc
	attempt int
	// aborted is the latest attempt that was broken off, perhaps before its call began.
	aborted int
}

// begin notes the call of an attempt.
func (c *cut) begin(attempt int, cancel context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempt, c.cancel = attempt, cancel
	if c.aborted == attempt {
		cancel()
	}
}

// abort breaks off the call of an attempt.
func (c *cut) abort(attempt int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = attempt
	if c.attempt == attempt {
		c.cancel()
	}
}
