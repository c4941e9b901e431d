// Package timing provides the clock, the cancelable sleep and the stream timer that both request paths use.
package timing

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if ctx is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Stream measures when the chunks of a streamed answer arrive. Set StartedAt to the time of the request.
type Stream struct {
	StartedAt       time.Time
	Chunks          int
	firstAt, lastAt time.Time
}

// AddChunk records the arrival of one chunk.
func (s *Stream) AddChunk(now time.Time) {
	if s.Chunks == 0 {
		s.firstAt = now
	}
	s.lastAt = now
	s.Chunks++
}

// FirstChunk returns the time from StartedAt to the first chunk, or zero if none has arrived.
func (s *Stream) FirstChunk() time.Duration {
	if s.Chunks == 0 {
		return 0
	}
	return s.firstAt.Sub(s.StartedAt)
}

// Interval returns the mean time between chunks, or zero if fewer than two have arrived.
func (s *Stream) Interval() time.Duration {
	if s.Chunks < 2 {
		return 0
	}
	return s.lastAt.Sub(s.firstAt) / time.Duration(s.Chunks-1)
}
