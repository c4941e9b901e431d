package gateway

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"fireflyshift/internal/core"
)

// maxHistories bounds the number of requests whose history is kept for operators.
const maxHistories = 2048

// histories holds the steps of the latest requests, by the caller's attempt ID.
type histories struct {
	mu    sync.Mutex
	byID  map[string]*history
	order []string
}

// history holds the steps of one request.
type history struct{ steps []core.TraceEvent }

func newHistories() *histories { return &histories{byID: map[string]*history{}} }

func (t *histories) add(id string, at time.Duration, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.byID[id]
	if h == nil {
		id = strings.Clone(id) // it may be a part of a long head
		h = &history{}
		t.byID[id] = h
		t.order = append(t.order, id)
		if len(t.order) > maxHistories {
			delete(t.byID, t.order[0])
			t.order = t.order[1:]
		}
	}
	h.steps = append(h.steps, core.TraceEvent{At: at, What: fmt.Sprintf(format, args...)})
}

// History returns the recorded steps of a request, or nil if none are kept.
func (g *Gateway) History(id string) []core.TraceEvent {
	g.histories.mu.Lock()
	defer g.histories.mu.Unlock()
	h := g.histories.byID[truncate(id)]
	if h == nil {
		return nil
	}
	return slices.Clone(h.steps)
}
