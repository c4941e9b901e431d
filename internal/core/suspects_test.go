package core_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/quarantine/quarantinepb"
)

var deadly = quarantine.Identity{Workspace: "school", Target: "/deadly"}.Digest()

// sendDeadly submits a deadly request at a host and waits for its answer.
func (w *world) sendDeadly(h *fakeHost) *fakeRequest {
	w.seq++
	r := &fakeRequest{id: fmt.Sprintf("d%05d", w.seq), service: modelService, host: h, hostIncarnation: h.incarnation, until: w.now + 5*time.Second}
	w.requests[r.id] = r
	w.deadly[r.id] = true
	w.feed(h, core.Submit{ID: r.id, Workspace: "school", Service: modelService, Tier: "low", PromptTokens: 100, OutputTokens: 20,
		Deadline: 5 * time.Second, Digest: deadly})
	for len(r.answers) == 0 {
		w.advance(10 * time.Millisecond)
	}
	return r
}

func healthyWorld(t *testing.T) *world {
	w := newWorld(7, func(format string, args ...any) { require.Fail(t, fmt.Sprintf(format, args...)) })
	w.deadly = map[string]bool{}
	w.advance(5 * time.Second)
	return w
}

// Guards against a deadly request that keeps crashing backend servers. It comes to hosts of two zones in
// turn, so that no host sees more than one end at first. Once three ends are known, all hosts refuse it,
// truly as not run, also one that was replaced meanwhile. After a minute one host lets it run once as a
// trial.
func TestDeadlyRequestIsRefusedEverywhere(t *testing.T) {
	w := healthyWorld(t)
	hosts := []string{"za-h1", "zb-h1", "za-h2"}
	for _, id := range hosts {
		w.sendDeadly(w.hosts[id])
		w.advance(3 * time.Second) // longer than the window in which ends of one server count as one
	}
	require.Equal(t, 3, w.deadlyRuns)
	w.kill(w.hosts["zb-h2"])
	w.start("zb-h2", "zb")
	w.advance(3 * time.Second)
	for _, id := range w.ids {
		r := w.sendDeadly(w.hosts[id])
		require.Equal(t, fault.Quarantined, r.answers[0].Kind, id)
		require.Equal(t, fault.NotRun, r.answers[0].Ran)
		require.Positive(t, r.answers[0].RetryAfter)
	}
	require.Equal(t, 3, w.deadlyRuns)
	require.Len(t, w.hosts["zb-h3"].core.Status().Quarantined, 1)
	w.advance(2 * time.Minute)
	for range 2 {
		for _, id := range w.ids {
			w.sendDeadly(w.hosts[id])
		}
	}
	require.Equal(t, 4, w.deadlyRuns)
}

// Guards against dispatching a request that is quarantined while it waits for a slot: its grant must not
// be used, and is released.
func TestRequestQuarantinedWhileItWaitsIsNotDispatched(t *testing.T) {
	l := newSingleHost(t)
	effects := l.feed(core.Submit{ID: "r", Workspace: "w", Service: service, Priority: 1, Deadline: time.Minute, OutputTokens: 1, Digest: deadly})
	var a *peerpb.Acquire
	for _, e := range effects {
		if s, ok := e.(core.Send); ok && s.Message.GetAcquire() != nil {
			a = s.Message.GetAcquire()
		}
	}
	require.NotNil(t, a)
	suspect := &quarantinepb.Suspect{Digest: deadly[:], Workspace: "w"}
	for i := range uint32(3) {
		suspect.Ends = append(suspect.Ends, &quarantinepb.BackendEnd{Backend: i, AgeMs: 10})
	}
	l.message(&peerpb.Message{Body: &peerpb.Message_Heartbeat{Heartbeat: &peerpb.Heartbeat{SentMs: uint64(l.now / time.Millisecond),
		Suspects: []*quarantinepb.Suspect{suspect}}}})
	effects = l.grant(a, "b0", l.now, selfIncarnation)
	require.Empty(t, dispatches(effects))
	refused, returned := false, false
	for _, e := range effects {
		if f, ok := e.(core.Finish); ok {
			refused = f.Fault.Kind == fault.Quarantined
		}
		if s, ok := e.(core.Send); ok && s.Message.GetRelease() != nil {
			returned = true
		}
	}
	require.True(t, refused)
	require.True(t, returned)
}
