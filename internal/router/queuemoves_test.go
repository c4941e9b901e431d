package router

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// streamsAt returns the streams of a host at engines, at most one of each engine, in order.
func (f *queueFleet) streamsAt(h *zoneHost) []uint64 {
	var ids []uint64
	engines := map[string]bool{}
	for id := uint64(1); id <= f.next; id++ {
		d, ok := f.sent[id]
		if ok && f.runs[id].host == h && !engines[d.Backend.ID] {
			engines[d.Backend.ID] = true
			ids = append(ids, id)
		}
	}
	return ids
}

// stall reports that a stream's engine is silent and returns whether the stream moves.
func (f *queueFleet) stall(id uint64) bool {
	h, moves := f.runs[id].host, false
	for _, e := range h.r.Reduce(f.now, Stalled{ID: id}) {
		if d, ok := e.(StallDecision); ok {
			moves = d.Reassign
			continue
		}
		f.effect(h, e)
	}
	return moves
}

// breakOff ends a stream's dispatch with the loss of its connection.
func (f *queueFleet) breakOff(id uint64) {
	f.streams[f.sent[id].Backend.ID]--
	delete(f.sent, id)
	delete(f.settled, id)
	f.post(f.runs[id].host, DispatchEnded{ID: id, Outcome: Broken, Fault: true})
}

// Guards against a moved stream that takes a slot which its host sees first, ahead of the requests that wait at the owner.
func TestMovedStreamTakesNoSlotAheadOfThoseThatWait(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 5)
	ids, owner := f.wait(4)
	h := f.hostOtherThan(owner)
	for i := 0; len(f.streamsAt(h)) < 2; i++ {
		h = f.hosts[i]
	}
	require.NotSame(t, owner, h)
	streams := f.streamsAt(h)
	waiting := owner.r.waiting()
	f.finish(streams[0])
	delete(f.sent, streams[0])
	require.False(t, f.stall(streams[1]), "others wait for the slot")
	require.Nil(t, h.r.requests[streams[1]].reserved)
	f.run(4*time.Millisecond, 0)
	require.Equal(t, waiting-1, owner.r.waiting(), "the slot goes to one that waits")
	f.finishAny(20)
	f.allSettled(ids)
}

// Guards the same where the host has not heard yet that requests wait: it must ask the owner.
func TestMovedStreamAsksTheOwner(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 6)
	f.fill()
	owner := f.byIP[f.owners()[0]]
	h := f.hostOtherThan(owner)
	f.finishAny(20)
	stream := f.streamsAt(h)[0]
	first := f.sent[stream].Backend.ID
	f.run(time.Second, 0)
	require.Zero(t, owner.r.waiting())
	require.True(t, f.stall(stream))
	if r := h.r.requests[stream].reserved; r != nil {
		require.Equal(t, h.ip, h.r.ownerOf(r.backend), "only an owner takes a place unasked")
	}
	f.packets = nil
	f.breakOff(stream)
	f.run(5*time.Millisecond, 0)
	require.True(t, slices.ContainsFunc(f.packets, func(p zoneDatagram) bool { return p.from == h.ip && p.p.Ask != nil }), "no owner is asked")
	require.NotEqual(t, first, f.sent[stream].Backend.ID)
	f.countsAgree()
}

// Guards against a place at an owner's own engine that is not charged to the workspace of the moved stream.
func TestOwnerChargesForAMovedStream(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 6)
	owner := f.byIP[f.owners()[0]]
	id := f.submitTo(owner, nil)
	f.run(10*time.Millisecond, 0)
	require.True(t, has(f.sent, id))
	granted := func() int {
		n := 0
		for _, w := range owner.r.queueOf(f.sent[id].Backend.Service).queue.View(owner.r.now).Workspaces {
			n += w.Granted
		}
		return n
	}
	before := granted()
	require.True(t, f.stall(id))
	require.NotNil(t, owner.r.requests[id].reserved)
	require.Equal(t, before+1, granted())
	first := f.sent[id].Backend.ID
	f.breakOff(id)
	require.NotEqual(t, first, f.sent[id].Backend.ID)
	f.countsAgree()
}

// freeUnseen frees a slot at an engine of a host without an event, as when an exclusion ends by time.
func (f *queueFleet) freeUnseen(owner *zoneHost, engine string) {
	b := owner.r.backends[engine]
	require.Positive(f.t, b.othersLoad.counts[0])
	b.othersLoad.counts[0]--
}

// Guards against an owner's own stream that moves to a slot which has become free with time, ahead of those that wait.
func TestOwnersStreamMovesAfterTheQueueIsServed(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 5)
	_, owner := f.wait(4)
	stream := f.streamsAt(owner)[0]
	other := "e000"
	if f.sent[stream].Backend.ID == other {
		other = "e001"
	}
	waiting := owner.r.waiting()
	f.freeUnseen(owner, other)
	require.False(t, f.stall(stream))
	require.Equal(t, waiting-1, owner.r.waiting())
}
