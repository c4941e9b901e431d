package gateway

import (
	"fmt"
	"sync"
	"time"

	"fireflyshift/internal/core"
)

// maxHistories bounds the number of requests whose history is kept for operators.
const maxHistories = 2048

// histories holds the steps of the latest requests, by the caller's attempt ID.
type histories struct {
	mu    sync.Mutex
	byID  map[string][]core.TraceEvent
	order []string
}

func newHistories() *histories { return &histories{byID: map[string][]core.TraceEvent{}} }

func (t *histories) add(id string, at time.Duration, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.byID[id]; !ok {
		t.order = append(t.order, id)
		if len(t.order) > maxHistories {
			delete(t.byID, t.order[0])
			t.order = t.order[1:]
		}
	}
	t.byID[id] = append(t.byID[id], core.TraceEvent{At: at, What: fmt.Sprintf(format, args...)})
}

// History returns the recorded steps of a request, or nil if none are kept.
func (g *Gateway) History(id string) []core.TraceEvent {
	g.histories.mu.Lock()
	defer g.histories.mu.Unlock()
	return append([]core.TraceEvent(nil), g.histories.byID[id]...)
}
