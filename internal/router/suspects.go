package router

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// endConfirmWindow is how long after a broken answer the end of its backend server is attributed to it. A
	// registration expires some seconds after the process ends.
	endConfirmWindow = 10 * time.Second
	// completeEndWindow is the same for an answer that ended with its connection and may have been complete.
	completeEndWindow = time.Second
	// maxBrokenRequests limits the broken requests remembered per backend server until it is known whether it ended.
	maxBrokenRequests = 64
	// fullListSenders is the number of hosts in a zone that send the full list of suspects to it.
	fullListSenders = 2
)

// suspectState records the requests suspected of crashing backend servers.
type suspectState struct {
	ledger *quarantine.Ledger
	// runs is what completed runs show of the parts of prompts.
	runs *quarantine.PromptRuns
	// nextFullListAt is when this host next sends the full list to its zone.
	nextFullListAt time.Duration
	// hostJoined is set if a host has joined since this host last sent the full list.
	hostJoined bool
	expireAt   time.Duration
	// quarantined holds the requests in quarantine as last logged.
	quarantined map[quarantine.Digest]quarantine.Kind
}

func newSuspectState() suspectState {
	return suspectState{ledger: quarantine.NewLedger(), runs: quarantine.NewPromptRuns(), quarantined: map[quarantine.Digest]quarantine.Kind{}}
}

// brokenRequest is a request whose answer broke at a backend server that may have ended.
type brokenRequest struct {
	digest    quarantine.Digest
	workspace string
	at        time.Duration
	// parts are the digests of the shared parts of its prompt, and events the number of events that this dispatch has had.
	parts  []quarantine.Digest
	events int
	// inFlight is the number of requests believed in flight at the backend server, this one included.
	inFlight int
	// window is how long after it the end of its backend server is attributed to it.
	window time.Duration
}

// String describes the request for logs.
func (b brokenRequest) String() string {
	return fmt.Sprintf("%s %s parts=%s events=%d in_flight=%d", b.digest, b.workspace, strings.Join(quarantine.Strings(b.parts), ","), b.events, b.inFlight)
}

// HasSuspects reports whether any request is suspected, so that the digests of all requests are needed.
func (r *Router) HasSuspects() bool { return !r.suspects.ledger.Empty() }

// recordRequestOutcome records what the end of a dispatch shows of the request itself. If backend servers crash one
// after another while they run the same request, that request is the likely cause, and its callers repeat it at any host.
func (r *Router) recordRequestOutcome(b *backend, q *request, e DispatchEnded) {
	if !e.Digest.Zero() {
		q.Digest = e.Digest
	}
	switch e.Outcome {
	case Answered:
		if e.Success {
			r.recordCompletedRun(b, q)
		} else if e.EndedWithConnection {
			r.holdSuspect(b, q, e)
		}
	case Broken, TimedOut, Canceled:
		r.holdSuspect(b, q, e)
	}
}

// recordCompletedRun records that a backend server has completed a request.
func (r *Router) recordCompletedRun(b *backend, q *request) {
	changed := r.suspects.ledger.ObserveSuccess(r.now, q.Digest, r.now)
	if b.Model {
		changed = r.suspects.runs.Record(r.suspects.ledger, r.now, b.Service, r.suspects.runs.PartsAt(b.Service, q.Parts)) || changed
	}
	if changed {
		r.applyVerdicts()
	}
}

// holdSuspect remembers a request until it is known whether its backend server has ended. The requests in flight at
// a server that was leaving are not suspected, as it ends by itself.
func (r *Router) holdSuspect(b *backend, q *request, e DispatchEnded) {
	if q.onTrial {
		r.endTrial(q)
	}
	run := brokenRequest{digest: q.Digest, workspace: workspaceName(q), at: r.now, parts: r.suspectParts(b, q, e), events: e.Events, inFlight: b.inFlight() + 1,
		window: endConfirmWindow}
	if e.Outcome == Answered {
		run.window = completeEndWindow
	}
	if b.exited {
		r.recordEndWithRequest(b, run)
		return
	}
	if b.Draining || b.leaving || b.removed {
		return
	}
	if len(b.brokenRuns) < maxBrokenRequests {
		b.brokenRuns = append(b.brokenRuns, run)
	}
	if (e.Outcome == Broken || e.Outcome == Answered && r.HasSuspects()) && !r.knownLost(b) {
		r.requestProbe(b)
	}
}

// suspectParts returns the parts of a request's prompt that are suspected if its backend server has ended. A caller that leaves
// ends the run, which then no longer is in flight.
func (r *Router) suspectParts(b *backend, q *request, e DispatchEnded) []quarantine.Digest {
	if e.Outcome == Canceled {
		return nil
	}
	return r.suspects.runs.PartsAt(b.Service, q.Parts)
}

func workspaceName(q *request) string {
	if q.Workspace == nil {
		return ""
	}
	return q.Workspace.Name
}

// handleProbeResult processes whether a backend server can be reached.
func (r *Router) handleProbeResult(e ProbeResult) {
	b, ok := r.backends[e.ID]
	if !ok || b.Start != e.Start {
		return
	}
	b.reach.probing = false
	if e.Reached {
		// These requests did not end it, even if it ends later. Keeping them would quarantine innocent requests.
		b.brokenRuns = nil
		r.connected(b)
		return
	}
	if !e.Refused {
		r.noteConnectFailure(b)
		return
	}
	r.connectionFailed(b)
	if len(b.brokenRuns) > 0 {
		r.refusedAfterBreak(b)
	}
}

// recordBackendEnd records that a backend server ended without draining, and suspects the requests in flight there.
func (r *Router) recordBackendEnd(b *backend) {
	b.exited = true
	broken := b.brokenRuns
	b.brokenRuns = nil
	for _, run := range broken {
		if r.now-run.at <= run.window {
			r.recordEndWithRequest(b, run)
		}
	}
}

// recordEndWithRequest adds the end of a backend server to the record of a request that was in flight there.
func (r *Router) recordEndWithRequest(b *backend, run brokenRequest) {
	end := quarantine.End{Backend: b.hash, At: run.at, InFlight: run.inFlight}
	changed := r.suspects.ledger.Observe(r.now, quarantine.Subject{Digest: run.digest, Workspace: run.workspace}, end)
	changed = r.suspects.runs.ObserveEnd(r.suspects.ledger, r.now, b.Service, run.workspace, run.parts, end) || changed
	if !changed {
		return
	}
	r.emit(Note{What: "backend server ended with a request in flight", Subject: b.ID, Detail: run.String(), Age: r.now - run.at})
	r.applyVerdicts()
	r.heartbeatPending = true // sends the next heartbeat early
}

// applyVerdicts logs what has entered or left quarantine, and withdraws requests that are now kept from backend servers.
func (r *Router) applyVerdicts() {
	now, added := map[quarantine.Digest]quarantine.Kind{}, false
	for _, c := range r.suspects.ledger.Quarantined() {
		now[c.Digest] = c.Kind
		if _, known := r.suspects.quarantined[c.Digest]; !known {
			added = true
			r.emit(Note{What: c.Kind.String() + " quarantined", Subject: c.Digest.String(), Detail: fmt.Sprintf("%s ends=%d runs_with=%d of=%d completed_before=%t",
				c.Workspace, len(c.Ends), c.Sample.With, c.Sample.Of, c.Cleared), Age: r.now - c.Ends[0].At})
		}
	}
	for _, d := range sortedDigests(r.suspects.quarantined) {
		if _, still := now[d]; !still {
			r.emit(Note{What: r.suspects.quarantined[d].String() + " no longer quarantined", Subject: d.String()})
		}
	}
	r.suspects.quarantined = now
	if added {
		r.withdrawQuarantined()
	}
}

func sortedDigests(digests map[quarantine.Digest]quarantine.Kind) []quarantine.Digest {
	var out []quarantine.Digest
	for d := range digests {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b quarantine.Digest) int { return slices.Compare(a[:], b[:]) })
	return out
}

// expireSuspects drops expired records.
func (r *Router) expireSuspects() {
	if r.now < r.suspects.expireAt {
		return
	}
	r.suspects.expireAt = r.now + endConfirmWindow
	r.suspects.ledger.Expire(r.now)
	r.applyVerdicts()
}

// newSuspects returns what this host has newly observed itself, for its heartbeats.
func (r *Router) newSuspects() []*quarantinepb.Suspect { return r.suspects.ledger.OwnChanges(r.now) }

// fullSuspectList returns all known suspects if this host is due to send them to its zone, or nil. A host that joins a small
// fleet gets them with the first heartbeat that it hears, as it serves requests soon after.
func (r *Router) fullSuspectList() []*quarantinepb.Suspect {
	due := r.now >= r.suspects.nextFullListAt && r.hasRole("tells suspects", fullListSenders)
	joined := r.suspects.hostJoined && !r.largeFleet()
	r.suspects.hostJoined = false
	if !r.HasSuspects() || !due && !joined {
		return nil
	}
	r.suspects.nextFullListAt = r.now + quarantine.FullInterval
	return r.suspects.ledger.Full(r.now)
}

// applySuspects applies another host's report on requests.
func (r *Router) applySuspects(list []*quarantinepb.Suspect) {
	if len(list) == 0 {
		return
	}
	if r.suspects.runs.Merge(r.suspects.ledger, r.now, list) {
		r.applyVerdicts()
	}
}
