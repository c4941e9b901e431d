package ingress

import (
	"context"
	"time"

	"fireflyshift/internal/membudget"
)

// HeadLimits bound the head of a request and the empty lines before it. Zero stands for no limit.
type HeadLimits struct {
	Bytes int
	// Time is from the first byte to the last.
	Time time.Duration
}

// Limits bound what the callers of one listener may hold.
type Limits struct {
	// Head returns the present limits of heads; nil for none.
	Head func() HeadLimits
	// Budget is the memory for heads and for what handlers reserve; nil for no limit.
	Budget *membudget.Budget
	// Count counts an event by its name; it may be nil.
	Count func(name string, n int64)
}

// Names of counted events.
const (
	countHeadTooLong = "callers.head_too_long"
	countHeadTimeout = "callers.head_timeout"
	countNoMemory    = "callers.head_without_memory"
)

func (l Limits) withDefaults() Limits {
	if l.Head == nil {
		l.Head = func() HeadLimits { return HeadLimits{} }
	}
	if l.Budget == nil {
		l.Budget = membudget.New(0)
	}
	if l.Count == nil {
		l.Count = func(string, int64) {}
	}
	return l
}

// Account returns the memory account of a request's connection, or nil if it has none.
func Account(ctx context.Context) *membudget.Account {
	if k, ok := ctx.Value(connKey{}).(*conn); ok {
		return k.account
	}
	return nil
}
