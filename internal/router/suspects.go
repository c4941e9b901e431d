package router

import (
	"fmt"
	"slices"
	"time"

	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// endConfirmWindow is how long after a broken answer its backend server may show to have ended: a registration goes some
	// seconds after the process.
	endConfirmWindow = 10 * time.Second
	// maxBrokenRequests bounds the broken runs that are remembered of one backend server until it shows whether it has ended.
	maxBrokenRequests = 64
	// fullListSenders are the hosts of a zone that tell it all that is known.
	fullListSenders = 2
)

// suspectState is what this host knows of requests that end backend servers.
type suspectState struct {
	ledger *quarantine.Ledger
	// nextFullListAt is when this host next tells its zone all.
	nextFullListAt time.Duration
	expireAt       time.Duration
	// quarantined are the requests in quarantine, for the notes of changes.
	quarantined map[quarantine.Digest]bool
}

func newSuspectState() suspectState {
	return suspectState{ledger: quarantine.NewLedger(), quarantined: map[quarantine.Digest]bool{}}
}

// brokenRequest is a request whose answer broke at a backend server that may have ended.
type brokenRequest struct {
	digest    quarantine.Digest
	workspace string
	at        time.Duration
}

// HasSuspects tells whether some requests are under suspicion, so that the digests of all are needed.
func (r *Router) HasSuspects() bool { return !r.suspects.ledger.Empty() }

// recordRequestOutcome takes what the end of a dispatch says of the request itself. The same request in the hands of one backend
// server after another that ends is most likely what ends them, and its callers repeat it at any host.
func (r *Router) recordRequestOutcome(b *backend, q *request, e DispatchEnded) {
	if !e.Digest.Zero() {
		q.Digest = e.Digest
	}
	if q.Digest.Zero() {
		return
	}
	switch e.Outcome {
	case Answered:
		if e.Success && r.suspects.ledger.ObserveSuccess(r.now, q.Digest) {
			r.logQuarantineChanges()
		}
	case Broken, TimedOut, Canceled:
		r.holdSuspect(b, q, e)
	}
}

// holdSuspect remembers a request until it shows whether its backend server has ended. One that was leaving ends by itself: what was
// still in flight there is innocent.
func (r *Router) holdSuspect(b *backend, q *request, e DispatchEnded) {
	q.onTrial = false
	run := brokenRequest{q.Digest, workspaceName(q), r.now}
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
	if e.Outcome == Broken && r.now >= b.probedUntil {
		b.probedUntil = r.now + endConfirmWindow
		r.emit(Probe{Backend: b.Backend, MaxIdleConns: r.idleConnLimit(b)})
	}
}

func workspaceName(q *request) string {
	if q.Workspace == nil {
		return ""
	}
	return q.Workspace.Name
}

// handleChecked takes whether a backend server whose answer broke can still be reached.
func (r *Router) handleChecked(e ProbeResult) {
	b, ok := r.backends[e.ID]
	if !ok || b.Start != e.Start {
		return
	}
	if e.Reached {
		// What broke before did not end it, whatever becomes of it later: those who are refused for that would be innocent.
		b.brokenRuns = nil
	}
	if !e.Refused {
		b.probedUntil = r.now
		return
	}
	b.connectFailed(r.now)
	r.recordBackendEnd(b)
}

// recordBackendEnd takes that a backend server has ended without leaving: what was in flight there is under suspicion.
func (r *Router) recordBackendEnd(b *backend) {
	b.exited = true
	broken := b.brokenRuns
	b.brokenRuns = nil
	for _, run := range broken {
		if r.now-run.at <= endConfirmWindow {
			r.recordEndWithRequest(b, run)
		}
	}
}

// recordEndWithRequest books the end of a backend server on a request that was in flight there.
func (r *Router) recordEndWithRequest(b *backend, run brokenRequest) {
	if !r.suspects.ledger.Observe(r.now, run.digest, run.workspace, quarantine.End{Backend: b.hash, At: run.at}) {
		return
	}
	r.emit(Note{What: "backend server ended with a request in hand", Subject: b.ID, Detail: run.digest.String() + " " + run.workspace})
	r.logQuarantineChanges()
	r.heartbeatPending = true // others are told at once
}

// logQuarantineChanges tells the log which requests are in quarantine from now on, and which no longer are.
func (r *Router) logQuarantineChanges() {
	now := map[quarantine.Digest]bool{}
	for _, c := range r.suspects.ledger.Quarantined() {
		now[c.Digest] = true
		if !r.suspects.quarantined[c.Digest] {
			r.emit(Note{What: "request quarantined", Subject: c.Digest.String(), Detail: fmt.Sprintf("%s ends=%d", c.Workspace, len(c.Ends)), Age: r.now - c.Ends[0].At})
		}
	}
	for _, d := range sortedDigests(r.suspects.quarantined) {
		if !now[d] {
			r.emit(Note{What: "request no longer quarantined", Subject: d.String()})
		}
	}
	r.suspects.quarantined = now
}

func sortedDigests(set map[quarantine.Digest]bool) []quarantine.Digest {
	var out []quarantine.Digest
	for d := range set {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b quarantine.Digest) int { return slices.Compare(a[:], b[:]) })
	return out
}

// expireSuspects forgets what is old.
func (r *Router) expireSuspects() {
	if r.now < r.suspects.expireAt {
		return
	}
	r.suspects.expireAt = r.now + endConfirmWindow
	r.suspects.ledger.Expire(r.now)
	r.logQuarantineChanges()
}

// newSuspects are what this host has newly seen itself, for its beats.
func (r *Router) newSuspects() []*quarantinepb.Suspect { return r.suspects.ledger.OwnChanges(r.now) }

// fullSuspectList are all requests that are known, if this host is to tell its zone of them now.
func (r *Router) fullSuspectList() []*quarantinepb.Suspect {
	if r.now < r.suspects.nextFullListAt || !r.HasSuspects() || !r.hasRole("tells suspects", fullListSenders) {
		return nil
	}
	r.suspects.nextFullListAt = r.now + quarantine.FullInterval
	return r.suspects.ledger.Full(r.now)
}

// applySuspects takes what another host tells of requests.
func (r *Router) applySuspects(list []*quarantinepb.Suspect) {
	if r.suspects.ledger.Merge(r.now, list) {
		r.logQuarantineChanges()
	}
}
