package core_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/ticket"
)

// answers returns the final answers among effects, by request.
func answers(effects []core.Effect) map[string]*fault.Error {
	out := map[string]*fault.Error{}
	for _, e := range effects {
		if f, ok := e.(core.Finish); ok {
			out[f.ID] = f.Fault
		}
	}
	return out
}

// Guards against a host that stops without answering its callers, with an answer that is not true, or
// without releasing their slots and tickets.
func TestStopAnswersEveryRequestCorrectly(t *testing.T) {
	l := newSingleHost(t)
	require.Len(t, dispatches(l.grant(l.submit("runs"), "b0", l.now, selfIncarnation)), 1)
	l.submit("waits")
	l.feed(core.Submit{ID: "claims", Workspace: "w", Service: service, Deadline: time.Minute, NonIdempotent: true,
		Ticket: &ticket.Ticket{Home: "peer", Incarnation: peerIncarnation, Nonce: "n"}})
	effects := l.feed(core.Stop{})
	got := answers(effects)
	require.Len(t, got, 3)
	require.Equal(t, fault.Stopped, got["runs"].Kind)
	require.Equal(t, fault.Draining, got["waits"].Kind)
	require.Equal(t, fault.Draining, got["claims"].Kind)
	var released, withdrawn, settled bool
	for _, e := range effects {
		s, ok := e.(core.Send)
		if !ok {
			continue
		}
		released = released || s.Message.GetRelease() != nil
		withdrawn = withdrawn || s.Message.GetWithdraw() != nil
		settled = settled || s.Message.GetSettleTicket().GetNotRun()
	}
	require.True(t, released && withdrawn && settled, "%v", effects)
	late := answers(l.feed(core.Submit{ID: "late", Workspace: "w", Service: service, Deadline: time.Minute}))
	require.Equal(t, fault.Draining, late["late"].Kind)
	require.Empty(t, answers(l.feed(core.Stop{})), "each request is answered once")
}
