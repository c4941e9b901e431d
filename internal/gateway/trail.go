package gateway

import (
	"fmt"
	"sync"
	"time"

	"fireflyshift/internal/core"
)

// maxTrails bounds the requests that operators can ask about.
const maxTrails = 2048

// trails keep the steps of the latest requests, by the caller's attempt id.
type trails struct {
	mu    sync.Mutex
	byID  map[string][]core.TraceEvent
	order []string
}

func newTrails() *trails { return &trails{byID: map[string][]core.TraceEvent{}} }

func (t *trails) add(id string, at time.Duration, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.byID[id]; !ok {
		t.order = append(t.order, id)
		if len(t.order) > maxTrails {
			delete(t.byID, t.order[0])
			t.order = t.order[1:]
		}
	}
	t.byID[id] = append(t.byID[id], core.TraceEvent{At: at, What: fmt.Sprintf(format, args...)})
}

// History tells the steps of a request that this host lately held.
func (g *Gateway) History(id string) []core.TraceEvent {
	g.trails.mu.Lock()
	defer g.trails.mu.Unlock()
	return append([]core.TraceEvent(nil), g.trails.byID[id]...)
}
