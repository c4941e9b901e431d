// Package timing holds what both paths measure and wait by.
package timing

import (
	"context"
	"time"
)

// Sleep waits and reports whether it did so to the end; it ends early with ctx.
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

// Stream measures the pieces of a streamed answer, from the moment at which it was asked for.
type Stream struct {
	Began       time.Time
	Pieces      int
	first, last time.Time
}

// Piece notes one piece.
func (s *Stream) Piece(now time.Time) {
	if s.Pieces == 0 {
		s.first = now
	}
	s.last = now
	s.Pieces++
}

// First is the time to the first piece; zero where none came.
func (s *Stream) First() time.Duration {
	if s.Pieces == 0 {
		return 0
	}
	return s.first.Sub(s.Began)
}

// Interval is the mean time between pieces; zero where fewer than two came.
func (s *Stream) Interval() time.Duration {
	if s.Pieces < 2 {
		return 0
	}
	return s.last.Sub(s.first) / time.Duration(s.Pieces-1)
}
