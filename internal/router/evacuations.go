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
	// evacuationEndTTL is how long beats tell that an availability zone was taken back; who has not heard it by then finds by the
	// digest that its news differ.
	evacuationEndTTL = 10 * time.Second
	// lostEvacuationTTL is how long an evacuation stays that a later era of the store does not list: operators write again
	// what an older copy has lost.
	lostEvacuationTTL = 10 * time.Second
	// maxEvacuations bounds the zones that are remembered, as others' words name them.
	maxEvacuations = 64
)

// evacuation is the latest word of operators on whether an availability zone's backend servers may get requests.
type evacuation struct {
	routing.Evacuation
	at time.Duration // when this host took it
}

// fingerprint stands for the word in a digest. That a zone was taken back is none: a host that starts later need not know.
func (e *evacuation) fingerprint() uint64 {
	if e.Ended {
		return 0
	}
	return xxhash.Sum64String(e.Zone + "/" + e.Revision.String())
}

// evacuated tells whether nothing may be sent to an availability zone's backend servers.
func (r *Router) evacuated(zone string) bool {
	e, ok := r.evacuations[zone]
	return ok && !e.Ended
}

// applyEvacuation takes the word of the store or of a peer on one availability zone.
func (r *Router) applyEvacuation(e routing.Evacuation, from string) {
	known, ok := r.evacuations[e.Zone]
	if ok && !e.Revision.After(known.Revision) {
		return
	}
	if !ok && len(r.evacuations) >= maxEvacuations && !r.evictEnded() {
		r.emit(Note{What: "evacuation not taken: too many zones", Subject: e.Zone, Detail: from})
		return
	}
	was := r.evacuated(e.Zone)
	if ok {
		r.updates.fingerprints -= known.fingerprint()
	}
	taken := &evacuation{e, r.now}
	r.evacuations[e.Zone] = taken
	r.updates.fingerprints += taken.fingerprint()
	r.updates.revision = routing.Latest(r.updates.revision, e.Revision)
	if was == !e.Ended {
		return
	}
	r.heartbeatPending = true // others are told at once
	what := "zone evacuated"
	if e.Ended {
		what = "zone taken back"
	}
	if _, known := r.opt.Regions[e.Zone]; !known && len(r.opt.Regions) > 0 {
		what += ", but the settings name no such zone"
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

// evictEnded forgets the zone that was taken back first; false where all are still evacuated.
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

// endUnlisted takes back the zones that a complete listing no longer names. Where the listing is of a later era, the store may
// have lost the request.
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

// expireEvacuations takes back zones whose evacuation the store has lost for good.
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

// evacuationsToSend are what beats tell: the zones that are evacuated, and those that were taken back lately.
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

// applyEvacuations takes another host's words.
func (r *Router) applyEvacuations(from string, list []*gossippb.Evacuation) {
	for _, e := range list {
		r.applyEvacuation(routing.Evacuation{Zone: e.Zone, Revision: routing.Revision{Era: e.Era, Number: e.Revision}, Ended: e.Ended}, from)
	}
}
