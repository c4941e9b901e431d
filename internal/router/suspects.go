package router

import (
	"fmt"
	"slices"
	"time"

	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// confirmFor is how long after a broken answer its backend server may show to have ended: a registration goes some
	// seconds after the process.
	confirmFor = 10 * time.Second
	// maxBroken bounds the broken runs that are remembered of one backend server until it shows whether it has ended.
	maxBroken = 64
	// tellers are the hosts of a zone that tell it all that is known.
	tellers = 2
)

// suspectState is what this host knows of requests that end backend servers.
type suspectState struct {
	ledger *quarantine.Ledger
	// allAt is when this host next tells its zone all.
	allAt    time.Duration
	expireAt time.Duration
	// blamed are the requests in quarantine, for the notes of changes.
	blamed map[quarantine.Digest]bool
}

func newSuspectState() suspectState {
	return suspectState{ledger: quarantine.NewLedger(), blamed: map[quarantine.Digest]bool{}}
}

// brokenRun is a request whose answer broke at a backend server that may have ended.
type brokenRun struct {
	digest    quarantine.Digest
	workspace string
	at        time.Duration
}

// Suspects tells whether some requests are under suspicion, so that the digests of all are needed.
func (r *Router) Suspects() bool { return !r.suspects.ledger.Empty() }

// learnOfRequest takes what the end of a dispatch says of the request itself. The same request in the hands of one backend
// server after another that ends is most likely what ends them, and its callers repeat it at any host.
func (r *Router) learnOfRequest(b *backend, q *request, e DispatchEnded) {
	if !e.Digest.Zero() {
		q.Digest = e.Digest
	}
	if q.Digest.Zero() {
		return
	}
	switch e.Outcome {
	case Answered:
		if e.Success && r.suspects.ledger.ObserveSuccess(r.now, q.Digest) {
			r.noteBlame()
		}
	case Broken, TimedOut, Canceled:
		r.hold(b, q, e)
	}
}

// hold remembers a request until it shows whether its backend server has ended. One that was leaving ends by itself: what was
// still in flight there is innocent.
func (r *Router) hold(b *backend, q *request, e DispatchEnded) {
	q.onTrial = false
	run := brokenRun{q.Digest, workspaceName(q), r.now}
	if b.exited {
		r.sawEnd(b, run)
		return
	}
	if b.Draining || b.leaving || b.removed {
		return
	}
	if len(b.brokenRuns) < maxBroken {
		b.brokenRuns = append(b.brokenRuns, run)
	}
	if e.Outcome == Broken && r.now >= b.probedUntil {
		b.probedUntil = r.now + confirmFor
		r.emit(Probe{Backend: b.Backend, MaxIdleConns: r.keep(b)})
	}
}

func workspaceName(q *request) string {
	if q.Workspace == nil {
		return ""
	}
	return q.Workspace.Name
}

// checked takes whether a backend server whose answer broke can still be reached.
func (r *Router) checked(e ProbeResult) {
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
	b.refused(r.now)
	r.backendEnded(b)
}

// backendEnded takes that a backend server has ended without leaving: what was in flight there is under suspicion.
func (r *Router) backendEnded(b *backend) {
	b.exited = true
	broken := b.brokenRuns
	b.brokenRuns = nil
	for _, run := range broken {
		if r.now-run.at <= confirmFor {
			r.sawEnd(b, run)
		}
	}
}

// sawEnd books the end of a backend server on a request that was in flight there.
func (r *Router) sawEnd(b *backend, run brokenRun) {
	if !r.suspects.ledger.Observe(r.now, run.digest, run.workspace, quarantine.End{Backend: b.hash, At: run.at}) {
		return
	}
	r.emit(Note{What: "backend server ended with a request in hand", Subject: b.ID, Detail: run.digest.String() + " " + run.workspace})
	r.noteBlame()
	r.heartbeatPending = true // others are told at once
}

// noteBlame tells the log which requests are in quarantine from now on, and which no longer are.
func (r *Router) noteBlame() {
	now := map[quarantine.Digest]bool{}
	for _, c := range r.suspects.ledger.Quarantined() {
		now[c.Digest] = true
		if !r.suspects.blamed[c.Digest] {
			r.emit(Note{What: "request quarantined", Subject: c.Digest.String(), Detail: fmt.Sprintf("%s ends=%d", c.Workspace, len(c.Ends)), Age: r.now - c.Ends[0].At})
		}
	}
	for _, d := range sortedDigests(r.suspects.blamed) {
		if !now[d] {
			r.emit(Note{What: "request no longer quarantined", Subject: d.String()})
		}
	}
	r.suspects.blamed = now
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
	r.suspects.expireAt = r.now + confirmFor
	r.suspects.ledger.Expire(r.now)
	r.noteBlame()
}

// newSuspects are what this host has newly seen itself, for its beats.
func (r *Router) newSuspects() []*quarantinepb.Suspect { return r.suspects.ledger.OwnChanges(r.now) }

// allSuspects are all requests that are known, if this host is to tell its zone of them now.
func (r *Router) allSuspects() []*quarantinepb.Suspect {
	if r.now < r.suspects.allAt || !r.Suspects() || !r.hasRole("tells suspects", tellers) {
		return nil
	}
	r.suspects.allAt = r.now + quarantine.FullInterval
	return r.suspects.ledger.Full(r.now)
}

// takeSuspects takes what another host tells of requests.
func (r *Router) takeSuspects(list []*quarantinepb.Suspect) {
	if r.suspects.ledger.Merge(r.now, list) {
		r.noteBlame()
	}
}
