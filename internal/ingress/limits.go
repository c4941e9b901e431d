package ingress

import (
	"context"

	"fireflyshift/internal/membudget"
)

// Limits bound what the callers of one listener may hold.
type Limits struct {
	// Budget is the memory for what handlers reserve; nil for no limit.
	Budget *membudget.Budget
}

func (l Limits) withDefaults() Limits {
	if l.Budget == nil {
		l.Budget = membudget.New(0)
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
