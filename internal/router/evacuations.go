package router

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	// evacuationEndTTL is how long heartbeats carry the end of an evacuation. A host that has not received it by then notices by
	// the digest that its state differs.
	evacuationEndTTL = 10 * time.Second
	// lostEvacuationTTL is how long an evacuation is kept that a later era of the store does not list. Operators repeat
	// what a restored copy of the store has lost.
	lostEvacuationTTL = 10 * time.Second
	// maxEvacuations limits the zones that are remembered, as messages from other hosts may name any.
	maxEvacuations = 64
)

// evacuation is the latest decision of operators on whether an availability zone's backend servers may get requests.
type evacuation struct {
	routing.Evacuation
	at time.Duration // when this host learned of it
}

// fingerprint is the evacuation's contribution to the digest. One that has ended contributes nothing, as a host that starts
// later need not know of it.
func (e *evacuation) fingerprint() uint64 {
	if e.Ended {
		return 0
	}
	return xxhash.Sum64String(e.Zone + "/" + e.Revision.String())
}

// evacuated reports whether an availability zone's backend servers may get no requests.
func (r *Router) evacuated(zone string) bool {
	e, ok := r.evacuations[zone]
	return ok && !e.Ended
}

// applyEvacuation merges the evacuation state of one availability zone, sent by the store or a peer.
func (r *Router) applyEvacuation(e routing.Evacuation, from string) {
	known, ok := r.evacuations[e.Zone]
	if ok && !e.Revision.After(known.Revision) {
		return
	}
	if !ok && len(r.evacuations) >= maxEvacuations && !r.evictEnded() {
		r.emit(Note{What: "evacuation ignored: too many zones", Subject: e.Zone, Detail: from})
		return
	}
	was := r.evacuated(e.Zone)
	if ok {
		r.updates.fingerprints -= known.fingerprint()
	}
	applied := &evacuation{e, r.now}
	r.evacuations[e.Zone] = applied
	r.updates.fingerprints += applied.fingerprint()
	r.updates.revision = routing.Latest(r.updates.revision, e.Revision)
	if was == !e.Ended {
		return
	}
	r.heartbeatPending = true // send it to the other hosts at once
	what := "zone evacuated"
	if e.Ended {
		what = "zone evacuation ended"
	}
	if _, known := r.opt.Regions[e.Zone]; !known && len(r.opt.Regions) > 0 {
		what += ", but the zone is not in the settings"
	}
	r.emit(Note{What: what, Subject: e.Zone, Detail: from + " revision " + e.Revision.String()})
	for _, b := range r.allBackends() {
		if b.Zone != e.Zone {
			continue
		}
		b.evacuated = !e.Ended
		if e.Ended {
			r.assumeCold(b)
		}
	}
}

// evictEnded forgets the evacuation that ended first. It returns false if none has ended.
func (r *Router) evictEnded() bool {
	var oldest *evacuation
	for _, zone := range slices.Sorted(maps.Keys(r.evacuations)) {
		if e := r.evacuations[zone]; e.Ended && (oldest == nil || e.at < oldest.at) {
			oldest = e
		}
	}
	if oldest == nil {
		return false
	}
	delete(r.evacuations, oldest.Zone)
	return true
}

// endUnlisted ends the evacuations that a complete listing no longer contains. It keeps those of an earlier era, which
// the store may have lost.
func (r *Router) endUnlisted(n Update) {
	listed := map[string]bool{}
	for _, e := range n.Evacuations {
		listed[e.Zone] = true
	}
	for _, zone := range slices.Sorted(maps.Keys(r.evacuations)) {
		e := r.evacuations[zone]
		if !e.Ended && !listed[zone] && e.Revision.Era == n.AsOf.Era && !e.Revision.After(n.AsOf) {
			r.applyEvacuation(routing.Evacuation{Zone: zone, Revision: n.AsOf, Ended: true}, "store")
		}
	}
}

// expireEvacuations ends the evacuations that the store has lost and nobody has repeated.
func (r *Router) expireEvacuations() {
	era := r.updates.completeTo.Era
	if era == 0 || len(r.evacuations) == 0 || r.now-r.updates.eraSeenAt < lostEvacuationTTL {
		return
	}
	for _, zone := range slices.Sorted(maps.Keys(r.evacuations)) {
		if e := r.evacuations[zone]; !e.Ended && e.Revision.Era < era {
			r.applyEvacuation(routing.Evacuation{Zone: zone, Revision: routing.Revision{Era: era}, Ended: true}, "store")
		}
	}
}

// evacuationsToSend returns the current evacuations and those that ended recently, for heartbeats.
func (r *Router) evacuationsToSend() []*gossippb.Evacuation {
	var out []*gossippb.Evacuation
	for _, zone := range slices.Sorted(maps.Keys(r.evacuations)) {
		e := r.evacuations[zone]
		if !e.Ended || r.now-e.at < evacuationEndTTL {
			out = append(out, &gossippb.Evacuation{Zone: zone, Revision: e.Revision.Number, Era: e.Revision.Era, Ended: e.Ended})
		}
	}
	return out
}

// applyEvacuations merges the evacuations reported by another host.
func (r *Router) applyEvacuations(from string, list []*gossippb.Evacuation) {
	for _, e := range list {
		r.applyEvacuation(routing.Evacuation{Zone: e.Zone, Revision: routing.Revision{Era: e.Era, Number: e.Revision}, Ended: e.Ended}, from)
	}
}
