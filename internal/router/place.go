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
	headroom        = 4
	headroomPerRank = 2
	// maxWaitShare of its objective is how long a stream may wait for a place at an engine where all are
	// taken: an engine of one slot frees one a second, one of eleven ten, and places to wait that are too
	// many make late what other engines would serve.
	maxWaitShare = 0.5
	// plainRequestsPerSlot is how many requests a slot a plain service's server may hold: answers there take
	// a few tens of milliseconds against an objective several times that.
	plainRequestsPerSlot = 2
	// crossZonePenalty makes a backend server of another zone count as that much busier: at equal load
	// the bytes stay in the zone.
	crossZonePenalty = 1.08
	// crossZonePenaltyLarge is the same in a large fleet, where other zones' counts are half a second old.
	crossZonePenaltyLarge = 1.6
	// crossZoneMinFree is how many places below its limit a backend server of another zone must be there.
	crossZoneMinFree = 3
	// outputLengthMargin makes up for estimates of a stream's length, which are right at the median only.
	outputLengthMargin = 1.5
	// sampleSize is how many candidates a host of a large fleet draws at random to take the best of.
	sampleSize = 6
)

// candidate is a backend server that passed the filter, with its score: lower is better.
type candidate struct {
	backend *backend
	score   float64
}

// chooseService draws one of the route's services by weight, among those with a usable backend
// server.
func (r *Router) chooseService(route *routing.Route, w *routing.Workspace) string {
	sum := 0.0
	var eligible []routing.Share
	for _, s := range route.Shares {
		if s.Weight > 0 && r.hasUsableBackend(s.Service, route, w) {
			eligible = append(eligible, s)
			sum += s.Weight
		}
	}
	point := r.rng.Float64() * sum
	for _, s := range eligible {
		if point -= s.Weight; point <= 0 {
			return s.Service
		}
	}
	if len(eligible) > 0 {
		return eligible[len(eligible)-1].Service
	}
	if len(route.Shares) > 0 {
		return route.Shares[0].Service
	}
	return ""
}

func (r *Router) hasUsableBackend(name string, route *routing.Route, w *routing.Workspace) bool {
	for _, b := range r.backendsOf(name) {
		if ok, _ := b.usable(r.now); ok && kindMatches(b, r.serviceConfig(b)) && r.mayServe(route, w, b.Zone) {
			return true
		}
	}
	return false
}

// requestLimit is how many requests a backend server may hold for one of this priority to join.
func (s *selector) requestLimit(b *backend) int {
	slots := max(1, b.Slots)
	if s.q.Route.Kind != routing.Streaming {
		return slots * plainRequestsPerSlot
	}
	extra := headroom - int(headroomPerRank*s.q.Rank+0.5)
	if interval := s.slotReleaseInterval(b); extra > 0 && s.q.Route.Target > 0 {
		extra = min(extra, int(maxWaitShare*float64(s.q.Route.Target)/float64(interval)+0.5))
	}
	return max(1, slots+extra)
}

// class is how far a backend server is trusted with a request. A class is used only where those before
// it have no candidate.
type class int

const (
	classHealthy class = iota
	classSlow
	classDoubtful
	classSuspect
	classUnreachable
	numClasses
)

// classOf tells how far a usable backend server is trusted with a request.
func (s *selector) classOf(b *backend, doubtful bool) class {
	now := s.r.now
	switch {
	case b.isUnreachable(now):
		return classUnreachable
	case doubtful:
		return classDoubtful
	case b.suspect(now) || s.r.zoneUnreachable(b.Zone) || s.r.remoteOwnerUnresponsive(b) || (b.onProbation() && s.probationLimitReached(b)):
		return classSuspect
	case s.tooSlow(b):
		return classSlow
	default:
		return classHealthy
	}
}

// probationLimitReached tells whether a backend server on probation has as many requests as it may: one, and one more for each that it
// has served. They count if they are this host's, or at its owner, which places everybody's, anybody's.
func (s *selector) probationLimitReached(b *backend) bool {
	if s.scope == scopeOwned {
		return b.inFlight() > b.successes
	}
	return b.ownLoad.total() > b.successes
}

// selector is the choice of a backend server for one request.
type selector struct {
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
	scopeAll   scope = iota
	scopeZone        // those of this host's zone
	scopeOwned       // those that this host owns
)

// selection is what a search found; b is nil where none has room.
type selection struct {
	backend *backend
	class   class
	grounds DecisionBasis
}

func (r *Router) newSelector(q *request, where scope) selector {
	s := selector{r: r, q: q, svc: r.serviceState(q.service), scope: where}
	if r.table != nil {
		s.cfg = r.table.Service(q.service)
	}
	return s
}

// selectBackend chooses a backend server anywhere by what this host believes.
func (r *Router) selectBackend(q *request) (*backend, DecisionBasis) {
	c := r.selectInScope(q, scopeAll)
	c.grounds.ViewAge = r.oldestHeartbeatAge()
	return c.backend, c.grounds
}

// selectInScope chooses a backend server: filter, score, reserve. Where none has room, the grounds are those of
// the least loaded one. The age of beliefs is left to who acts on the choice.
func (r *Router) selectInScope(q *request, where scope) selection {
	s := r.newSelector(q, where)
	g := r.grounds()
	g.InFlight = -1
	byClass := &r.candidates
	for c := range byClass {
		byClass[c] = byClass[c][:0]
	}
	for _, b := range s.backends() {
		s.addCandidate(b, &g, byClass)
	}
	// Suspects and dead servers look idle. In an overload every request would try some of them before it is refused; they are
	// tried only where no better one is left at all, full or not, as the fault may be this host's own.
	if g.Full > g.suspects {
		byClass[classSuspect] = byClass[classSuspect][:0]
	}
	if g.Full > 0 {
		byClass[classUnreachable] = byClass[classUnreachable][:0]
	}
	for c, list := range byClass {
		if len(list) > 0 {
			b := s.pickBest(list)
			g.InFlight, g.Limit = b.inFlight(), s.requestLimit(b)
			g.Wait = s.predictedWait(b, g.InFlight)
			return selection{b, class(c), g}
		}
	}
	return selection{grounds: g}
}

func (s *selector) backends() []*backend {
	if s.scope == scopeAll {
		return s.r.backendsOf(s.q.service)
	}
	return s.r.zoneBackendsOf(s.q.service)
}

// eligible tells whether a search looks at a backend server: one whose owner has just said that it has no
// place for the request is left out.
func (s *selector) eligible(b *backend) bool {
	if s.scope == scopeOwned {
		return s.r.owns(b)
	}
	return len(s.q.fullOwners) == 0 || !slices.Contains(s.q.fullOwners, s.r.ownerOf(b))
}

// addCandidate puts a backend server into the list of its class, if it may be used and has room.
func (s *selector) addCandidate(b *backend, g *DecisionBasis, byClass *[numClasses][]candidate) {
	ok, doubt := b.usable(s.r.now)
	if !ok || !s.r.mayServe(s.q.Route, s.q.Workspace, b.Zone) {
		if !b.removed {
			g.Excluded++
		}
		return
	}
	if slices.Contains(s.q.tried, b.ID) || !kindMatches(b, s.cfg) || !s.eligible(b) {
		return
	}
	g.Known++
	c := s.classOf(b, doubt)
	if c == classUnreachable {
		g.Unreachable++
	}
	held, limit := b.inFlight(), s.requestLimit(b)
	if g.InFlight < 0 || held < g.InFlight {
		g.InFlight, g.Limit = held, limit
	}
	cold := b.cold(s.r.now) && (s.scope == scopeOwned || !s.r.coldTokenAvailable(b))
	if cold {
		g.Cold++
	}
	if cold || held >= limit-s.r.crossZoneMargin(b) {
		if c != classUnreachable {
			g.Full++
		}
		if c == classSuspect {
			g.suspects++
		}
		return
	}
	byClass[c] = append(byClass[c], candidate{b, s.score(b, held)})
}

// serviceConfig is the configuration of a backend server's service; nil where there is none.
func (r *Router) serviceConfig(b *backend) *routing.Service {
	if r.table == nil {
		return nil
	}
	return r.table.Service(b.Service)
}

// kindMatches tells whether a backend server is of its service's kind: a registration without models in a
// service of model engines was not written by one of them.
func kindMatches(b *backend, s *routing.Service) bool {
	return s == nil || !s.Model || b.Model
}

// crossZoneMargin is how much of its limit a backend server of another zone must have free in a large fleet:
// its counts are old, and all who overflow see the same free places.
func (r *Router) crossZoneMargin(b *backend) int {
	if b.Zone == r.opt.Zone || !r.largeFleet() {
		return 0
	}
	return crossZoneMinFree
}

// tooSlow tells whether a stream would most likely not end in time at an engine. The longest outputs
// are ten times the mean, and slow engines take four times as long for each event, so that these
// would run for nothing until their deadline.
func (s *selector) tooSlow(b *backend) bool {
	if b.interval == 0 || s.q.OutputTok == 0 || s.cfg == nil || s.cfg.TokensPerEvent == 0 {
		return false
	}
	events := float64(s.q.OutputTok) / float64(s.cfg.TokensPerEvent)
	return events*float64(b.interval)*outputLengthMargin > float64(s.q.Deadline-s.r.now)
}

// pickBest takes the best candidate, or in a large fleet the best of a few drawn at random: many hosts
// that choose by the same counts, a beat old, would all send to the same one. An owner's counts are exact.
func (s *selector) pickBest(list []candidate) *backend {
	r := s.r
	var best candidate
	draws := len(list)
	if r.largeFleet() && s.scope != scopeOwned {
		draws = min(draws, sampleSize)
	}
	for i := 0; i < draws; i++ {
		j := i + r.rng.IntN(len(list)-i)
		if draws == len(list) {
			j = i
		}
		list[i], list[j] = list[j], list[i]
		best = lowerScore(best, list[i])
	}
	return best.backend
}

func lowerScore(a, b candidate) candidate {
	if a.backend == nil || b.score < a.score {
		return b
	}
	return a
}

// oldestHeartbeatAge is the age of the oldest beat whose counts are in use.
func (r *Router) oldestHeartbeatAge() time.Duration {
	var age time.Duration
	for _, h := range r.members.order {
		if m := r.members.byHost[h]; !m.unreachable {
			age = max(age, r.now-m.lastSeen)
		}
	}
	return age
}
