package router

import (
	"fmt"
	"slices"

	"fireflyshift/internal/routing"
)

// applyBackendChange merges one change. Changes come in any order, from the store and from peers. The latest
// start of a backend server wins, and of one start the highest revision: the store may still take a write
// of the earlier start after the first one of the new, and that must neither bring the earlier one back
// nor hide the new one. A removal stands against every change before it.
func (r *Router) applyBackendChange(ch routing.BackendChange) {
	b, known := r.backends[ch.ID]
	switch {
	case !known:
		r.addUnknown(ch)
	case ch.Removed:
		if ch.Revision.After(b.revision) || (ch.Foreign && ch.Revision == b.revision) {
			r.removeBackend(b, ch)
		}
	case !ch.Revision.After(b.removedRevision):
		// A removal came later than this.
	case ch.Start == 0 && b.Start > 0:
		// A start that is known by its moment always tells it: something else has written.
		if ch.Revision.After(b.revision) {
			r.removeBackend(b, routing.BackendChange{Revision: ch.Revision, Removed: true, Foreign: true})
		}
	case ch.Start > b.Start && b.Start == 0 && b.revision.After(ch.Revision):
		// The same the other way round: what is known was written by something else, later.
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

// isStaleCopy tells whether a registration that comes with a later era of the store is the one that was there before the
// backend server went: the store has come back from a copy that is older than its going, which is no word of its being
// back. A backend server that lives writes anew, and gets another number.
func (r *Router) isStaleCopy(b *backend, ch routing.BackendChange) bool {
	wentBefore := b.removed && ch.Revision.Era > b.removedRevision.Era
	return wentBefore && ch.Revision.Number == b.registeredRevision.Number
}

// setStart notes which start of a backend server is known, so that others' words of it are found.
func (r *Router) setStart(b *backend, start uint64) {
	delete(r.byHash, b.hash)
	b.Start = start
	b.hash = hashOf(b.Backend)
	r.indexBackend(b)
}

// indexBackend finds a backend server by its name in beats from now on, and takes what others have told of it.
func (r *Router) indexBackend(b *backend) {
	r.byHash[b.hash] = b
	b.othersLoad, b.unreachableReports, b.failingReports = r.othersLoadAt(b.hash), r.unreachableReportsFor(b.hash), r.countFailingReports(b.hash)
}

// addUnknown takes a backend server that was not known.
func (r *Router) addUnknown(ch routing.BackendChange) {
	if ch.Removed {
		return
	}
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	if !ch.Revision.After(r.updates.completeTo) {
		return // it was removed since; whoever tells of it has not heard
	}
	r.emit(Note{What: "backend server joined", Subject: ch.ID, Detail: describe(ch.Backend)})
	r.addBackend(ch)
}

// describe is what logs say of a backend server that joins.
func describe(b routing.Backend) string {
	return fmt.Sprintf("%s %s slots=%d", b.Service, b.Addr, b.Slots)
}

func (r *Router) addBackend(ch routing.BackendChange) {
	b := newBackend(ch.Backend)
	b.revision, b.registeredRevision = ch.Revision, ch.Revision
	r.updates.changes++
	r.backends[ch.ID] = b
	r.indexBackend(b)
	r.invalidateBackendLists()
	r.updates.fingerprints += b.fingerprint()
	b.evacuated = r.evacuated(b.Zone)
	r.setCold(b, ch.Cold, "registration")
	if s := r.serviceConfig(b); s != nil && s.Model && !b.Model {
		r.emit(Note{What: "backend server is no model engine", Subject: b.ID, Detail: b.Service})
	}
}

// replaceStart replaces a backend server by its next start under the same ID. Nothing that was learned of the
// earlier start holds for it. Calls that were sent to the earlier one are broken off: where it fell silent
// they would wait for an answer that never comes, and whether they ran is unknown.
func (r *Router) replaceStart(b *backend, ch routing.BackendChange) {
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	r.emit(Note{What: "backend server started again", Subject: b.ID, Detail: describe(ch.Backend)})
	r.dropFingerprint(b)
	r.recordBackendEnd(b)
	delete(r.byHash, b.hash)
	delete(r.tombstones, b.ID)
	delete(r.warming, b.ID)
	r.addBackend(ch)
	r.emit(BackendGone{b.Backend})
	r.abortRequests(b)
}

// abortRequests ends the calls that are under way at a backend server, in order of their requests.
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

// updateBackend takes a newer registration of the same start.
func (r *Router) updateBackend(b *backend, ch routing.BackendChange) {
	r.updates.revision = routing.Latest(r.updates.revision, ch.Revision)
	if b.Draining && !ch.Draining && ch.Revision.Era > b.revision.Era {
		// The store's copy is older than what this host has heard from it: no evidence against that.
		r.markLeaving(b, "store")
	}
	if ch.Draining && !b.Draining {
		r.emit(Note{What: "backend server drains", Subject: ch.ID, Detail: ch.Service})
	}
	if b.removed {
		b.exited = false // its registration had only lapsed
		r.emit(Note{What: "backend server back", Subject: b.ID, Detail: describe(ch.Backend), Age: r.now - b.removedAt})
	}
	r.dropFingerprint(b)
	moved := b.Service != ch.Service || b.Zone != ch.Zone
	if b.Backend != ch.Backend || b.removed {
		r.updates.changes++
	}
	b.evacuated = r.evacuated(ch.Zone)
	r.setCold(b, ch.Cold, "registration")
	r.owners.valid = r.owners.valid && !b.removed
	b.Backend, b.revision, b.registeredRevision, b.removed = ch.Backend, ch.Revision, ch.Revision, false
	delete(r.tombstones, b.ID)
	r.updates.fingerprints += b.fingerprint()
	if moved {
		r.invalidateBackendLists()
	}
}

func (r *Router) dropFingerprint(b *backend) {
	if b.revision != (routing.Revision{}) && !b.removed {
		r.updates.fingerprints -= b.fingerprint()
	}
}

// removeBackend marks a registration as gone. One that lapsed while the store was away is usable a little
// longer: the backend server mostly lives and is about to register again. One that another program has
// overwritten is not: nothing there says that it lives.
func (r *Router) removeBackend(b *backend, ch routing.BackendChange) {
	r.dropFingerprint(b)
	b.revision, b.removedRevision = ch.Revision, ch.Revision
	if ch.Foreign {
		b.usableUntil = 0
	}
	if b.removed {
		return
	}
	r.updates.changes++
	b.removed, b.removedAt, b.usableUntil = true, r.now, 0
	r.tombstones[b.ID] = b
	r.owners.valid = false
	if !b.Draining && !ch.Foreign && (r.updates.storeLost || r.now-r.updates.storeBackAt < lapseWindow) {
		b.usableUntil = r.now + lapsedGracePeriod
	}
	if !b.Draining && !b.leaving && !ch.Foreign && b.usableUntil == 0 {
		r.recordBackendEnd(b)
	}
	r.emit(Note{What: "backend server gone", Subject: b.ID, Detail: fmt.Sprintf("%s doubt=%t foreign=%t", b.Service, b.usableUntil > 0, ch.Foreign)})
	r.emit(BackendGone{b.Backend})
}
