package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
)

// isWaiting reports whether another host's request waits at this host.
func (r *Router) isWaiting(host string, number uint64) bool {
	for _, s := range r.queues.byService {
		if s.waiting[admission.Key{Host: host, Number: number}] != nil {
			return true
		}
	}
	return false
}

// queueAsk returns the last message with which a host asked an owner to queue a request.
func (f *queueFleet) queueAsk(host, owner *zoneHost) *gossippb.Ask {
	var ask *gossippb.Ask
	for _, p := range f.packets {
		if p.from == host.ip && p.to == owner.ip && p.p.Ask != nil && p.p.Ask.Queues {
			ask = p.p.Ask
		}
	}
	require.NotNil(f.t, ask)
	return ask
}

// quarantineAt lets a host blame the crashing request for the ends of three backend servers.
func (f *queueFleet) quarantineAt(h *zoneHost) {
	for i := range 3 {
		h.r.suspects.ledger.Observe(h.r.now, quarantine.Subject{Kind: quarantine.Request, Digest: crashing}, quarantine.End{Backend: uint32(1000 + i), At: h.r.now - time.Duration(i)*time.Second, InFlight: 1})
	}
	require.NotNil(f.t, h.r.suspects.ledger.Blamed(crashing))
}

// Guards against a request that ends backend servers and is sent to one because it was quarantined only while it waited, in its own
// host's queue or at another owner.
func TestRequestQuarantinedInTheQueueIsNotSent(t *testing.T) {
	t.Parallel()
	for _, own := range []bool{true, false} {
		f := newQueueFleet(t, 1, 6, 6)
		f.fill()
		owner := f.byIP[f.owners()[0]]
		h := owner
		if !own {
			h = f.hostOtherThan(owner)
		}
		id := f.submitTo(h, func(s *Submit) { s.Digest = crashing; s.Route = fragile })
		f.run(3*time.Millisecond, 0)
		require.Equal(t, owner.ip, f.queues[id].Owner)
		f.quarantineAt(h)
		f.finishAny(10)
		f.run(5*time.Millisecond, 0)
		require.False(t, has(f.sent, id), "own queue: %v", own)
		require.Equal(t, Quarantined, f.refuses[id].Cause, "own queue: %v", own)
	}
}

// Guards against a process that ends when a reply to an earlier one says that a request waits which did not ask to.
func TestQueuedOfferForAPlainRequestIsIgnored(t *testing.T) {
	t.Parallel()
	f := newQueueFleet(t, 1, 6, 6)
	owner := f.byIP[f.owners()[0]]
	h := f.hostOtherThan(owner)
	f.loses = func(from, to string, p *gossippb.Packet) bool { return p.Ask != nil }
	f.packets = nil
	id := f.submitTo(h, nil)
	var ask *gossippb.Ask
	for _, p := range f.packets {
		if p.p.Ask != nil {
			ask = p.p.Ask
		}
	}
	require.NotNil(t, ask)
	require.False(t, ask.Queues)
	f.post(h, SlotOfferReceived{owner.ip, &gossippb.Offer{Number: ask.Number, Queued: true, WaitUs: 1000}})
	f.loses = nil
	f.run(100*time.Millisecond, 0)
	require.True(t, has(f.sent, id), "the request goes on as without the reply")
}

// Guards against a request that runs and waits at once: a message that crossed its grant queues it again, and the next slot is for
// nobody.
func TestMessageThatCrossedTheGrantIsWithdrawn(t *testing.T) {
	t.Parallel()
	f := newQueueFleet(t, 1, 6, 6)
	ids, owner := f.wait(1)
	h := f.runs[ids[0]].host
	ask := f.queueAsk(h, owner)
	f.finishAny(len(f.queues))
	f.run(5*time.Millisecond, 0)
	require.True(t, has(f.sent, ids[0]))
	require.Zero(t, owner.r.waiting())
	for range 12 {
		f.submitTo(f.hosts[0], nil)
		f.run(3*time.Millisecond, 0)
	}
	f.post(owner, SlotRequestReceived{h.ip, ask})
	require.True(t, owner.r.isWaiting(h.ip, ask.Number), "the owner can't know better")
	f.run(50*time.Millisecond, 0)
	require.False(t, owner.r.isWaiting(h.ip, ask.Number))
}

// Guards against a request without an answer: its host is paused for longer than it remembers calls, and forgets one that has not
// timed out.
func TestPausedHostAnswersItsRequests(t *testing.T) {
	t.Parallel()
	f := newQueueFleet(t, 1, 6, 6)
	owner := f.byIP[f.owners()[0]]
	h := f.hostOtherThan(owner)
	f.loses = func(from, to string, p *gossippb.Packet) bool { return p.Offer != nil || p.Ask != nil }
	id := f.submitTo(h, nil)
	until := f.now + lateReplyTTL + 100*time.Millisecond
	f.frozen = func(x *zoneHost) bool { return x == h && f.now < until }
	f.run(lateReplyTTL+200*time.Millisecond, 0)
	f.loses = nil
	f.run(9*time.Second, 0)
	require.True(t, has(f.settled, id), "its deadline was after 10 s")
}

// Guards against requests that wait at an owner of another zone and are dropped there without an answer, as the owner no longer
// hears their host.
func TestRequestWaitsInAnotherZone(t *testing.T) {
	t.Parallel()
	for i := range 8 {
		f := newQueueFleet(t, 3, 8, 4)
		h := f.hosts[i]
		require.True(t, h.r.largeFleet())
		var owner *zoneHost
		for _, b := range h.r.allBackends() {
			if b.Zone != h.zone {
				owner = f.byIP[h.r.ownerOf(b)]
			}
		}
		for n := 0; owner.r.waiting() < 3; n++ {
			require.Less(t, n, 2000)
			f.submitTo(owner, nil)
			f.run(5*time.Millisecond, 0)
		}
		f.run(300*time.Millisecond, 0)
		q := f.waitAt(h, owner)
		call := q.slotCall
		for end := f.now + 1300*time.Millisecond; f.now < end && q.slotCall == call; {
			f.run(10*time.Millisecond, 0)
			if q.slotCall == call {
				require.True(t, owner.r.isWaiting(h.ip, call.number), "host %d: dropped without an answer", i)
			}
		}
	}
}

// waitAt lets a new request of a host wait at an owner of its choice.
func (f *queueFleet) waitAt(h, owner *zoneHost) *request {
	f.next++
	q := &request{Submit: Submit{ID: f.next, Route: urgentRoute, PromptTok: 100, OutputTok: 160, Deadline: f.now + 10*time.Second}, service: "m"}
	f.runs[q.ID] = &zoneRun{host: h, submittedAt: f.now}
	h.r.requests[q.ID] = q
	q.receivedAt = f.now
	q.patienceEnds = h.r.patienceEnd(q)
	h.r.askToQueue(q, owner.ip, classDoubtful)
	effects := h.r.effects
	h.r.effects = nil
	for _, e := range effects {
		f.effect(h, e)
	}
	f.run(5*time.Millisecond, 0)
	require.True(f.t, has(f.queues, q.ID))
	return q
}

// Guards against a new process that takes over the entry of the one before it under the same number and is then dropped without an
// answer.
func TestNewProcessUnderTheNumberOfAnOldOne(t *testing.T) {
	t.Parallel()
	f := newQueueFleet(t, 1, 6, 6)
	ids, owner := f.wait(1)
	h := f.runs[ids[0]].host
	ask := f.queueAsk(h, owner)
	f.end(h)
	f.post(owner, HeartbeatReceived{&gossippb.Beat{Host: h.ip, Zone: h.zone, Incarnation: 7777, Seq: 1, AgeMs: 10}})
	f.packets = nil
	f.post(owner, SlotRequestReceived{h.ip, ask})
	granted := false
	for _, p := range f.packets {
		granted = granted || p.to == h.ip && p.p.Offer != nil && p.p.Offer.Place != nil
	}
	f.post(owner, Tick{})
	require.True(t, granted || owner.r.isWaiting(h.ip, ask.Number), "it has a slot, or waits beyond the next tick")
}
