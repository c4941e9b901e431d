package router

import (
	"fmt"
	"slices"

	"fireflyshift/internal/routing"
)

// applyBackendChange merges one change. Changes arrive in any order, from the store and from peers. The latest
// start of a backend server wins, and within a start the highest revision: the store may still accept a write
// of the earlier start after the first one of the new start, which must neither restore the earlier start
// nor hide the new one. A removal overrides every change before it.
func (r *Router) applyBackendChange(ch routing.BackendChange) {
	b, known := r.backends[ch.ID]
	switch {
	case !known:
		r.addUnknown(ch)
	case ch.Removed:
		if ch.Revision.After(b.revision) || (ch.Foreign && ch.Revision == b.revision) {
			r.removeBackend(b, ch)
		} else if b.removed {
			r.learnDraining(b, ch)
		}
	case !ch.Revision.After(b.removedRevision):
		// A later removal overrides this change.
	case ch.Start == 0 && b.Start > 0:
		// A backend server that has once registered with a start always does: another program has written this.
		if ch.Revision.After(b.revision) {
			r.removeBackend(b, routing.BackendChange{Revision: ch.Revision, Removed: true, Foreign: true})
		}
	case ch.Start > b.Start && b.Start == 0 && b.revision.After(ch.Revision):
		// The same in reverse order: the known registration was written by another program, later.
		r.removeBackend(b, routing.BackendChange{Revision: b.revision, Removed: true, Foreign: true})
		r.setStart(b, ch.Start)
	case ch.Start > b.Start:
		r.replaceStart(b, ch)
	case ch.Start == b.Start && r.isStaleCopy(b, ch):
		b.revision, b.removedRevision = ch.Revision, ch.Revision
	case ch.Start == b.Start && ch.Revision.After(b.revision):
		r.updateBackend(b, ch)
	}
}

// isStaleCopy reports whether a registration from a later era of the store is the one that was known before the
// backend server was removed. The store was then restored from a copy made before the removal, which is no sign that the
// server is back: one that is alive registers anew, under another revision.
func (r *Router) isStaleCopy(b *backend, ch routing.BackendChange) bool {
	removedBefore := b.removed && ch.Revision.Era > b.removedRevision.Era
	return removedBefore && ch.Revision.Number == b.registeredRevision.Number
}

// setStart records which start of a backend server is registered, so that other hosts' reports on it are matched.
func (r *Router) setStart(b *backend, start uint64) {
	delete(r.byHash, b.hash)
	b.Start = start
	b.hash = hashOf(b.Backend)
	r.indexBackend(b)
}

// indexBackend makes a backend server known by its hash in messages, and adds what others have reported of it.
func (r *Router) indexBackend(b *backend) {
	r.byHash[b.hash] = b
	b.othersLoad, b.unreachableReports, b.failingReports = r.othersLoadAt(b.hash), r.unreachableReportsFor(b.hash), r.countFailingReports(b.hash)
}

// addUnknown adds a backend server that was not known.
func (r *Router) addUnknown(ch routing.BackendChange) {
	if ch.Removed {
		return
	}
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	if !ch.Revision.After(r.updates.completeTo) {
		return // it has been removed since; the sender does not know yet
	}
	r.emit(Note{What: "backend server joined", Subject: ch.ID, Detail: describe(ch.Backend)})
	r.addBackend(ch)
}

// describe formats a registration for logs.
func describe(b routing.Backend) string {
	return fmt.Sprintf("%s %s slots=%d version=%s", b.Service, b.Addr, b.Slots, b.Version)
}

// describeChange formats a change of a registration, and how it reached this host, for logs.
func (r *Router) describeChange(ch routing.BackendChange) string {
	return fmt.Sprintf("%s revision=%s via=%s", ch.Service, ch.Revision, r.updates.source)
}

func (r *Router) addBackend(ch routing.BackendChange) {
	b := newBackend(ch.Backend)
	b.revision, b.registeredRevision, b.changedAt = ch.Revision, ch.Revision, r.now-ch.Age
	r.updates.changes++
	r.backends[ch.ID] = b
	r.indexBackend(b)
	r.invalidateBackendLists()
	r.updates.fingerprints += b.fingerprint()
	b.evacuated = r.evacuated(b.Zone)
	r.setCold(b, ch.Cold, "registration")
	if s := r.serviceConfig(b); s != nil && s.Model && !b.Model {
		r.emit(Note{What: "backend server is not a model engine", Subject: b.ID, Detail: b.Service})
	}
}

// replaceStart replaces a backend server by its next start under the same ID. Nothing learned about the
// earlier start applies to it. Requests sent to the earlier start are aborted: if it stopped without closing its
// connections they would wait for an answer that never comes, and whether they ran is unknown.
func (r *Router) replaceStart(b *backend, ch routing.BackendChange) {
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	r.emit(Note{What: "backend server started again", Subject: b.ID, Detail: describe(ch.Backend)})
	r.dropFingerprint(b)
	r.recordBackendEnd(b)
	r.noteEndedVersion(b)
	delete(r.byHash, b.hash)
	delete(r.tombstones, b.ID)
	delete(r.warming, b.ID)
	delete(r.rateLimits, b.ID)
	delete(r.brittle, b.ID)
	r.addBackend(ch)
	r.emit(BackendGone{Backend: b.Backend})
	r.abortRequests(b)
}

// abortRequests aborts the requests in flight at a backend server, in order of their IDs.
func (r *Router) abortRequests(b *backend) {
	var ids []uint64
	for id, q := range r.requests {
		if q.backend == b {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		r.emit(Abort{ID: id, Attempt: r.requests[id].attempt})
	}
}

// updateBackend applies a newer registration of the same start.
func (r *Router) updateBackend(b *backend, ch routing.BackendChange) {
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	if ch.Draining && !b.Draining {
		r.emit(Note{What: "backend server drains", Subject: ch.ID, Detail: r.describeChange(ch), Age: ch.Age})
	}
	if b.Draining && !ch.Draining {
		// No start of a server stops draining: it wrote this before, and the store accepted it late or was restored from an
		// older copy. Hosts that read only this write learn of the draining from the others.
		r.emit(Note{What: "draining was overwritten by an older state", Subject: ch.ID, Detail: r.describeChange(ch), Age: ch.Age})
		b.announcedLeaving = true
		r.markLeaving(b, "store")
	}
	if b.removed {
		b.exited = false // the registration had merely lapsed
		r.emit(Note{What: "backend server registered again", Subject: b.ID, Detail: describe(ch.Backend), Age: r.now - b.removedAt})
	}
	r.dropFingerprint(b)
	listsChange := b.Service != ch.Service || b.Zone != ch.Zone
	if b.Backend != ch.Backend || b.removed {
		r.updates.changes++
	}
	switch {
	case ch.Version == "":
		ch.Version = b.Version // from a host that does not report versions
	case b.Version != "" && b.Version != ch.Version:
		r.noteEndedVersion(b)
	}
	b.evacuated = r.evacuated(ch.Zone)
	r.setCold(b, ch.Cold, "registration")
	b.changedAt = r.now - ch.Age
	r.owners.valid = r.owners.valid && !b.removed
	b.Backend, b.revision, b.registeredRevision, b.removed = ch.Backend, ch.Revision, ch.Revision, false
	delete(r.tombstones, b.ID)
	r.updates.fingerprints += b.fingerprint()
	if listsChange {
		r.invalidateBackendLists()
	}
}

func (r *Router) dropFingerprint(b *backend) {
	if b.revision != (routing.Revision{}) && !b.removed {
		r.updates.fingerprints -= b.fingerprint()
	}
}

// removeBackend marks a registration as removed. If it lapsed during an outage of the store, the backend server stays usable a
// little longer: mostly it is alive and about to register again. One that has announced that it leaves does not, nor one overwritten
// by another program, as nothing shows that it is alive.
func (r *Router) removeBackend(b *backend, ch routing.BackendChange) {
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	r.dropFingerprint(b)
	b.revision, b.removedRevision, b.changedAt = ch.Revision, ch.Revision, r.now-ch.Age
	r.learnDraining(b, ch)
	if ch.Foreign {
		r.endGrace(b)
	}
	if b.removed {
		return
	}
	r.updates.changes++
	b.removed, b.removedAt, b.graceUntil = true, r.now, 0
	r.tombstones[b.ID] = b
	r.owners.valid = false
	announced := b.Draining || ch.Draining || b.leaving
	lapsed := !announced && !ch.Foreign && r.mayHaveLapsed()
	if lapsed {
		b.graceUntil = r.graceEnd(ch)
	}
	if !announced && !ch.Foreign && !lapsed {
		r.recordBackendEnd(b)
	}
	r.emit(Note{What: "backend server gone", Subject: b.ID, Age: ch.Age,
		Detail: fmt.Sprintf("%s doubt=%t foreign=%t revision=%s via=%s", b.Service, b.graceUntil > 0, ch.Foreign, ch.Revision, r.updates.source)})
	r.emit(BackendGone{Backend: b.Backend, Doubtful: b.graceUntil > 0})
}
