package daemon

import (
	"context"
	"sync"

	oteltrace "go.opentelemetry.io/otel/trace"

	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/telemetry"
)

// maxSpans limits the open spans of requests that wait at this scheduler.
const maxSpans = 20_000

// slotKey identifies a request by its entry host and its number there.
type slotKey struct {
	host    string
	request uint64
}

// slotSpans records a trace span for each request at the scheduler, from Acquire to Grant or Refusal.
type slotSpans struct {
	tracing *telemetry.Tracing
	mu      sync.Mutex
	open    map[slotKey]oteltrace.Span
}

func newSlotSpans(t *telemetry.Tracing) *slotSpans {
	return &slotSpans{tracing: t, open: map[slotKey]oteltrace.Span{}}
}

func (s *slotSpans) received(from string, m *peerpb.Message) {
	a := m.GetAcquire()
	if a == nil || a.Traceparent == "" {
		return
	}
	k := slotKey{from, a.Request}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, exists := s.open[k]; exists || len(s.open) >= maxSpans {
		return
	}
	_, span := s.tracing.Start(s.tracing.FromTraceparent(context.Background(), a.Traceparent), "scheduler: wait for slot")
	if span.IsRecording() {
		s.open[k] = span
	}
}

func (s *slotSpans) sent(to string, m *peerpb.Message) {
	k := slotKey{host: to}
	switch b := m.Body.(type) {
	case *peerpb.Message_Grant:
		k.request = b.Grant.Request
	case *peerpb.Message_Refusal:
		k.request = b.Refusal.Request
	default:
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if span, ok := s.open[k]; ok {
		span.End()
		delete(s.open, k)
	}
}
