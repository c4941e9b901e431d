package router

import (
	"slices"
	"time"

	"fireflyshift/internal/routing"
)

const (
	// headroom is how many requests above its slots an engine gets for the most urgent priority, and
	// perRank how many fewer for each rank below: engines admit in order of arrival and know no
	// priorities, so what may queue there is what ranks. Measured against limits without ranks,
	// this serves a tenth more of the worth on the heaviest days.
	headroom = 4
	perRank  = 2
	// queueShare of its objective is how long a stream may wait for a place at an engine where all are
	// taken: an engine of one slot frees one a second, one of eleven ten, and places to wait that are too
	// many make late what other engines would serve.
	queueShare = 0.5
	// plainDepth is how many requests a slot a plain service's server may hold: answers there take
	// a few tens of milliseconds against an objective several times that.
	plainDepth = 2
	// farPenalty makes a backend server of another zone count as that much busier: at equal load
	// the bytes stay in the zone.
	farPenalty = 1.08
	// farFull is the same in a large fleet, where other zones' counts are half a second old.
	farFull = 1.6
	// farRoom is how many places below its limit a backend server of another zone must be there.
	farRoom = 3
	// lengthDoubt makes up for estimates of a stream's length, which are right at the median only.
	lengthDoubt = 1.5
	// choices is how many candidates a host of a large fleet draws at random to take the best of.
	choices = 6
)

// candidate is a backend server that passed the filter, with its score: lower is better.
type candidate struct {
	b     *backend
	score float64
}

// chooseService draws one of the route's services by weight, among those with a usable backend
// server.
func (r *Router) chooseService(route *routing.Route, w *routing.Workspace) string {
	sum := 0.0
	var open []routing.Share
	for _, s := range route.Shares {
		if s.Weight > 0 && r.hasBackend(s.Service, route, w) {
			open = append(open, s)
			sum += s.Weight
		}
	}
	at := r.rng.Float64() * sum
	for _, s := range open {
		if at -= s.Weight; at <= 0 {
			return s.Service
		}
	}
	if len(open) > 0 {
		return open[len(open)-1].Service
	}
	if len(route.Shares) > 0 {
		return route.Shares[0].Service
	}
	return ""
}

func (r *Router) hasBackend(name string, route *routing.Route, w *routing.Workspace) bool {
	for _, b := range r.backendsOf(name) {
		if ok, _ := b.usable(r.now); ok && fits(b, r.serviceOf(b)) && r.mayServe(route, w, b.Zone) {
			return true
		}
	}
	return false
}

// limitFor is how many requests a backend server may hold for one of this priority to join.
func (s *search) limitFor(b *backend) int {
	slots := max(1, b.Slots)
	if s.q.Route.Kind != routing.Streaming {
		return slots * plainDepth
	}
	extra := headroom - int(perRank*s.q.Rank+0.5)
	if turn := s.turnover(b); extra > 0 && s.q.Route.Target > 0 {
		extra = min(extra, int(queueShare*float64(s.q.Route.Target)/float64(turn)+0.5))
	}
	return max(1, slots+extra)
}

// class is how far a backend server is trusted with a request. A class is used only where those before
// it have no candidate.
type class int

const (
	good class = iota
	slow
	doubtful
	suspect
	dead
	classes
)

// classOf tells how far a usable backend server is trusted with a request.
func (s *search) classOf(b *backend, doubt bool) class {
	now := s.r.now
	switch {
	case b.dead(now):
		return dead
	case doubt:
		return doubtful
	case b.suspect(now) || s.r.zoneSilent(b.Zone) || s.r.outOfReach(b) || (b.onProbation() && s.triedNow(b)):
		return suspect
	case s.tooSlow(b):
		return slow
	default:
		return good
	}
}

// triedNow tells whether a backend server on probation has as many requests as it may: one, and one more for each that it
// has served. They count if they are this host's, or at its owner, which places everybody's, anybody's.
func (s *search) triedNow(b *backend) bool {
	if s.scope == owned {
		return b.inFlight() > b.trials
	}
	return b.own.total() > b.trials
}

// search is the choice of a backend server for one request.
type search struct {
	r *Router
	q *request
	// svc is what is believed of the request's service, cfg its configuration; nil where there is none.
	svc   *service
	cfg   *routing.Service
	scope scope
}

// scope is which backend servers a search looks at.
type scope int

const (
	anywhere scope = iota
	inZone         // those of this host's zone
	owned          // those that this host owns
)

// choice is what a search found; b is nil where none has room.
type choice struct {
	b       *backend
	class   class
	grounds DecisionBasis
}

func (r *Router) searchFor(q *request, where scope) search {
	s := search{r: r, q: q, svc: r.serviceNamed(q.service), scope: where}
	if r.table != nil {
		s.cfg = r.table.Service(q.service)
	}
	return s
}

// place chooses a backend server anywhere by what this host believes.
func (r *Router) place(q *request) (*backend, DecisionBasis) {
	c := r.placeIn(q, anywhere)
	c.grounds.ViewAge = r.oldestBelief()
	return c.b, c.grounds
}

// placeIn chooses a backend server: filter, score, reserve. Where none has room, the grounds are those of
// the least loaded one. The age of beliefs is left to who acts on the choice.
func (r *Router) placeIn(q *request, where scope) choice {
	s := r.searchFor(q, where)
	g := r.grounds()
	g.InFlight = -1
	lists := &r.candidates
	for c := range lists {
		lists[c] = lists[c][:0]
	}
	for _, b := range s.backends() {
		s.consider(b, &g, lists)
	}
	// Suspects and dead servers look idle. In an overload every request would try some of them before it is refused; they are
	// tried only where no better one is left at all, full or not, as the fault may be this host's own.
	if g.Full > g.suspects {
		lists[suspect] = lists[suspect][:0]
	}
	if g.Full > 0 {
		lists[dead] = lists[dead][:0]
	}
	for c, list := range lists {
		if len(list) > 0 {
			b := s.pick(list)
			g.InFlight, g.Limit = b.inFlight(), s.limitFor(b)
			g.Wait = s.waitAt(b, g.InFlight)
			return choice{b, class(c), g}
		}
	}
	return choice{grounds: g}
}

func (s *search) backends() []*backend {
	if s.scope == anywhere {
		return s.r.backendsOf(s.q.service)
	}
	return s.r.zoneBackendsOf(s.q.service)
}

// admits tells whether a search looks at a backend server: one whose owner has just said that it has no
// place for the request is left out.
func (s *search) admits(b *backend) bool {
	if s.scope == owned {
		return s.r.owns(b)
	}
	return len(s.q.full) == 0 || !slices.Contains(s.q.full, s.r.ownerOf(b))
}

// consider puts a backend server into the list of its class, if it may be used and has room.
func (s *search) consider(b *backend, g *DecisionBasis, lists *[classes][]candidate) {
	ok, doubt := b.usable(s.r.now)
	if !ok || !s.r.mayServe(s.q.Route, s.q.Workspace, b.Zone) {
		if !b.removed {
			g.Excluded++
		}
		return
	}
	if slices.Contains(s.q.tried, b.ID) || !fits(b, s.cfg) || !s.admits(b) {
		return
	}
	g.Known++
	c := s.classOf(b, doubt)
	if c == dead {
		g.Unreachable++
	}
	held, limit := b.inFlight(), s.limitFor(b)
	if g.InFlight < 0 || held < g.InFlight {
		g.InFlight, g.Limit = held, limit
	}
	cold := b.cold(s.r.now) && (s.scope == owned || !s.r.bears(b))
	if cold {
		g.Cold++
	}
	if cold || held >= limit-s.r.farMargin(b) {
		if c != dead {
			g.Full++
		}
		if c == suspect {
			g.suspects++
		}
		return
	}
	lists[c] = append(lists[c], candidate{b, s.score(b, held)})
}

// serviceOf is the configuration of a backend server's service; nil where there is none.
func (r *Router) serviceOf(b *backend) *routing.Service {
	if r.table == nil {
		return nil
	}
	return r.table.Service(b.Service)
}

// fits tells whether a backend server is of its service's kind: a registration without models in a
// service of model engines was not written by one of them.
func fits(b *backend, s *routing.Service) bool {
	return s == nil || !s.Model || b.Model
}

// farMargin is how much of its limit a backend server of another zone must have free in a large fleet:
// its counts are old, and all who overflow see the same free places.
func (r *Router) farMargin(b *backend) int {
	if b.Zone == r.opt.Zone || !r.relaying() {
		return 0
	}
	return farRoom
}

// tooSlow tells whether a stream would most likely not end in time at an engine. The longest outputs
// are ten times the mean, and slow engines take four times as long for each event, so that these
// would run for nothing until their deadline.
func (s *search) tooSlow(b *backend) bool {
	if b.interval == 0 || s.q.OutputTok == 0 || s.cfg == nil || s.cfg.TokensPerEvent == 0 {
		return false
	}
	events := float64(s.q.OutputTok) / float64(s.cfg.TokensPerEvent)
	return events*float64(b.interval)*lengthDoubt > float64(s.q.Deadline-s.r.now)
}

// pick takes the best candidate, or in a large fleet the best of a few drawn at random: many hosts
// that choose by the same counts, a beat old, would all send to the same one. An owner's counts are exact.
func (s *search) pick(list []candidate) *backend {
	r := s.r
	var best candidate
	draws := len(list)
	if r.relaying() && s.scope != owned {
		draws = min(draws, choices)
	}
	for i := 0; i < draws; i++ {
		j := i + r.rng.IntN(len(list)-i)
		if draws == len(list) {
			j = i
		}
		list[i], list[j] = list[j], list[i]
		best = better(best, list[i])
	}
	return best.b
}

func better(a, b candidate) candidate {
	if a.b == nil || b.score < a.score {
		return b
	}
	return a
}

// oldestBelief is the age of the oldest beat whose counts are in use.
func (r *Router) oldestBelief() time.Duration {
	var age time.Duration
	for _, h := range r.members.order {
		if m := r.members.byHost[h]; !m.unreachable {
			age = max(age, r.now-m.lastSeen)
		}
	}
	return age
}
