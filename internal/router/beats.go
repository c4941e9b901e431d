package router

import (
	"slices"
	"strconv"
	"time"

	"fireflyshift/internal/gossip/gossippb"
)

// beatEvery is the period of heartbeats. Counts that are 25 to 100 ms old place work as well as
// current ones; older ones lose a few hundredths of the answers' worth on heavy days.
const beatEvery = 100 * time.Millisecond

func itoa(n uint64) string { return strconv.FormatUint(n, 36) }

func (r *Router) sendBeats() {
	r.beatAt = r.now + beatEvery
	to := r.beatTargets()
	if len(to) == 0 {
		return
	}
	r.seq++
	b := &gossippb.Beat{
		Host: r.opt.Host, Zone: r.opt.Zone, Incarnation: r.opt.Incarnation, Seq: r.seq, Leaving: r.drain != nil,
		ConfigVersion: r.version(), Revision: r.news.revision, Digest: r.news.digest,
		Loads: r.ownLoads(), Spent: r.ownSpent(),
	}
	for _, h := range r.members.order {
		b.Peers = append(b.Peers, &gossippb.Peer{Host: h, Zone: r.members.byHost[h].zone})
	}
	r.emit(SendBeat{To: to, Beat: b})
}

// beatTargets are the hosts that are heard, and now and then those that may be there.
func (r *Router) beatTargets() []string {
	var to []string
	for _, h := range r.members.order {
		if !r.members.byHost[h].silent || r.due(h) {
			to = append(to, h)
		}
	}
	for _, h := range r.opt.Seeds {
		r.meet(h)
	}
	var strangers []string
	for h := range r.members.greet {
		if r.members.byHost[h] == nil {
			strangers = append(strangers, h)
		}
	}
	slices.Sort(strangers)
	for _, h := range strangers {
		if r.due(h) {
			to = append(to, h)
		}
	}
	return to
}

// due paces the beats to hosts that do not answer.
func (r *Router) due(host string) bool {
	if r.now < r.members.greet[host] {
		return false
	}
	r.members.greet[host] = r.now + greetEvery
	return true
}

func (r *Router) ownLoads() []*gossippb.Load {
	var out []*gossippb.Load
	for _, id := range r.backendIDs() {
		b := r.backends[id]
		if b.removed || (b.total(b.own) == 0 && b.interval == 0 && !b.suspect(r.now)) {
			continue
		}
		l := &gossippb.Load{Backend: id, IntervalUs: uint32(b.interval.Microseconds()), Suspect: b.suspect(r.now)}
		if b.total(b.own) > 0 {
			for _, n := range b.own {
				l.InFlight = append(l.InFlight, uint32(n))
			}
		}
		out = append(out, l)
	}
	return out
}

func (r *Router) ownSpent() []*gossippb.Spent {
	names := make([]string, 0, len(r.quotas))
	for name := range r.quotas {
		names = append(names, name)
	}
	slices.Sort(names)
	var out []*gossippb.Spent
	for _, name := range names {
		if s := r.quotas[name].Spent(); s > 0 {
			out = append(out, &gossippb.Spent{Workspace: name, Amount: uint64(s)})
		}
	}
	return out
}
