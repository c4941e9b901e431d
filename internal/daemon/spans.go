package daemon

import (
	"context"
	"sync"

	oteltrace "go.opentelemetry.io/otel/trace"

	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/telemetry"
)

// maxSpans bounds the spans of requests that wait at this scheduler.
const maxSpans = 20_000

// slotSpans makes the scheduler's hop visible: from Acquire to Grant or Refusal.
type slotSpans struct {
	tracing *telemetry.Tracing
	mu      sync.Mutex
	open    map[string]oteltrace.Span
}

func newSlotSpans(t *telemetry.Tracing) *slotSpans {
	return &slotSpans{tracing: t, open: map[string]oteltrace.Span{}}
}

func (s *slotSpans) received(m *peerpb.Message) {
	a := m.GetAcquire()
	if a == nil || a.Traceparent == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, waits := s.open[a.Request]; waits || len(s.open) >= maxSpans {
		return
	}
	_, span := s.tracing.Start(s.tracing.FromTraceparent(context.Background(), a.Traceparent), "scheduler: wait for slot")
	if !span.IsRecording() {
		return
	}
	s.open[a.Request] = span
}

func (s *slotSpans) sent(m *peerpb.Message) {
	id := m.GetGrant().GetRequest()
	if id == "" {
		id = m.GetRefusal().GetRequest()
	}
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if span, ok := s.open[id]; ok {
		span.End()
		delete(s.open, id)
	}
}
