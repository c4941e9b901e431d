package router

import (
	"slices"
	"time"

	"fireflyshift/internal/routing"
)

const (
	// headroom is the number of requests beyond its slots that an engine may hold for the most urgent
	// priority, reduced by headroomPerRank for each rank below. Engines admit in order of arrival and know
	// no priorities, so the depth of the queue in front of them enforces the ranks. Compared with limits
	// that ignore ranks, this completes 10% more weighted requests on the most heavily loaded days.
	headroom        = 4
	headroomPerRank = 2
	// maxWaitShare is the share of its target latency that a stream may spend waiting for a slot at a full
	// engine. An engine with one slot releases one a second, an engine with eleven releases ten. A longer
	// queue would delay requests that other engines could still serve in time.
	maxWaitShare = 0.5
	// plainRequestsPerSlot limits the requests that a backend server of a plain service may hold. Its
	// answers take tens of milliseconds, with a target several times as long.
	plainRequestsPerSlot = 2
	// crossZonePenalty multiplies the score of a backend server in another zone, so that at equal load
	// traffic stays in the zone.
	crossZonePenalty = 1.08
	// crossZonePenaltyLarge replaces crossZonePenalty in a large fleet, where load counts of other zones
	// are half a second old.
	crossZonePenaltyLarge = 1.6
	// crossZoneMinFree is the number of requests below its limit that a backend server of another zone
	// must be at in a large fleet.
	crossZoneMinFree = 3
	// outputLengthMargin allows for errors in output length estimates, which are correct only at the median.
	outputLengthMargin = 1.5
	// sampleSize is the number of candidates that a host of a large fleet samples at random.
	sampleSize = 6
)

// candidate is a usable backend server with its score. Lower is better.
type candidate struct {
	backend *backend
	score   float64
}

// chooseService picks one of the route's services at random by weight, among those with a backend server that may get
// the request.
func (r *Router) chooseService(q *request) string {
	route := q.Route
	sum := 0.0
	var eligible []routing.Share
	for _, s := range route.Shares {
		if s.Weight > 0 && r.hasUsableBackend(q, s.Service) {
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

func (r *Router) hasUsableBackend(q *request, service string) bool {
	return slices.ContainsFunc(r.backendsOf(service), func(b *backend) bool { return r.mayGet(q, b) })
}

// requestLimit returns the number of requests in flight at which a backend server accepts no further
// request of this priority.
func (s *selector) requestLimit(b *backend) int { return s.r.capBySlotLimit(b, s.limitBySlots(b)) }

// limitBySlots is requestLimit as far as it follows from the number of slots.
func (s *selector) limitBySlots(b *backend) int {
	if s.r.isBrittle(b) {
		return s.brittleRequestLimit(b)
	}
	if s.r.queueing() {
		return queueLimit(b)
	}
	slots := max(1, b.Slots)
	if s.q.Route.Kind != routing.Streaming {
		return slots * plainRequestsPerSlot
	}
	rank := s.q.Rank
	if s.q.continued {
		rank = 0 // few backend servers may get it, and its caller loses the whole stream
	}
	extra := headroom - int(headroomPerRank*rank+0.5)
	if interval := s.slotReleaseInterval(b); extra > 0 && s.q.Route.Target > 0 {
		extra = min(extra, int(maxWaitShare*float64(s.q.Route.Target)/float64(interval)+0.5))
	}
	return max(1, slots+extra)
}

// class grades how likely a backend server is to serve a request. Candidates of a class are used only
// if no better class has any.
type class int

const (
	classHealthy class = iota
	classSlow
	classDoubtful // no longer registered, within the grace period
	classSuspect
	classUnreachable
	numClasses
)

// classOf returns the class of a usable backend server.
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

// probationLimitReached reports whether a backend server on probation already has as many requests as
// it may get: one, plus one for each request served since its last failure. The owner counts the
// requests of all hosts, any other host only its own.
func (s *selector) probationLimitReached(b *backend) bool {
	if s.scope == scopeOwned {
		return b.inFlight() > b.successes
	}
	return b.ownLoad.total() > b.successes
}

// selector chooses a backend server for one request.
type selector struct {
	r *Router
	q *request
	// svc is the learned state of the request's service and cfg its configuration, nil if there is none.
	svc   *service
	cfg   *routing.Service
	scope scope
	// rateTokens is whether there are rate tokens for the request, once rateTokensKnown is set.
	rateTokens, rateTokensKnown bool
	// lends is set if the request is another host's and may use this host's shares of backend servers' rates.
	lends bool
	// among are the backend servers to consider, nil for all of its scope.
	among []*backend
}

// scope limits the backend servers that a selector considers.
type scope int

const (
	scopeAll   scope = iota
	scopeZone        // those of this host's zone
	scopeOwned       // those that this host owns
)

// selection is the result of a selector. backend is nil if none has room.
type selection struct {
	backend *backend
	class   class
	basis   DecisionBasis
}

func (r *Router) newSelector(q *request, where scope) selector {
	s := selector{r: r, q: q, svc: r.serviceState(q.service), scope: where}
	if r.table != nil {
		s.cfg = r.table.Service(q.service)
	}
	return s
}

// selectBackend chooses a backend server in any zone by the load known to this host.
func (r *Router) selectBackend(q *request) (*backend, DecisionBasis) {
	c := r.selectInScope(q, scopeAll)
	c.basis.ViewAge = r.oldestHeartbeatAge()
	return c.backend, c.basis
}

// selectInScope filters and scores the backend servers in scope and picks one. If none has room, the basis
// describes the least loaded one. The caller sets the age of the load data.
func (r *Router) selectInScope(q *request, where scope) selection {
	return r.selectBy(r.newSelector(q, where))
}

func (r *Router) selectBy(s selector) selection {
	g := r.basis()
	g.InFlight = -1
	byClass := &r.candidates
	for c := range byClass {
		byClass[c] = byClass[c][:0]
	}
	for _, b := range s.backends() {
		s.addCandidate(b, &g, byClass)
	}
	// Suspect and unreachable servers look idle, so under overload every request would try some of them
	// before being refused. They are used only if no better server is left, even a full one: then the fault
	// may lie with this host.
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
	return selection{basis: g}
}

func (s *selector) backends() []*backend {
	if s.among != nil {
		return s.among
	}
	if s.scope == scopeAll || !s.r.largeFleet() {
		return s.r.backendsOf(s.q.service)
	}
	return s.r.zoneBackendsOf(s.q.service)
}

// eligible reports whether the selector considers a backend server. Servers of owners that have just
// reported no free slot for this request are skipped.
func (s *selector) eligible(b *backend) bool {
	if s.scope == scopeOwned && s.r.queueing() {
		return s.r.grantsTo(b, s.lends)
	}
	if s.scope == scopeOwned {
		return s.r.maySlotsBeRequested(b) || s.lends && b.ratesShared(s.r.now)
	}
	return len(s.q.fullOwners) == 0 || !slices.Contains(s.q.fullOwners, s.r.ownerOf(b))
}

// sharesBarred reports whether this host's shares of backend servers' rates are not for the request: one of another host that has
// not asked for them.
func (s *selector) sharesBarred() bool { return s.scope == scopeOwned && !s.lends }

// addCandidate adds a backend server to the candidates of its class if it is usable and has room.
func (s *selector) addCandidate(b *backend, g *DecisionBasis, byClass *[numClasses][]candidate) {
	switch reason := s.r.exclusionFor(s.q, b); {
	case reason == otherKind || (reason != notExcluded && b.removed):
		return
	case reason != notExcluded:
		g.Excluded++
		if reason == otherVersion {
			g.OtherVersion++
		}
		return
	}
	if slices.Contains(s.q.tried, b.ID) || !s.eligible(b) {
		return
	}
	g.Known++
	c := s.classOf(b, b.removed)
	if c == classUnreachable {
		g.Unreachable++
	}
	held, limit := b.inFlight(), s.requestLimit(b)
	if g.InFlight < 0 || held < g.InFlight {
		g.InFlight, g.Limit = held, limit
	}
	cold := b.cold(s.r.now) && (s.sharesBarred() || !s.r.coldTokenAvailable(b))
	if cold {
		g.Cold++
	}
	rateLimited := b.rateLimited() && (s.sharesBarred() || !s.mayTakeRateToken(b))
	if rateLimited {
		g.RateLimited++
	}
	brittle := !s.mayUseBrittle(b)
	if brittle {
		g.Brittle++
	}
	if cold || rateLimited || brittle || held >= limit-s.r.crossZoneMargin(b) {
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

// serviceConfig returns the configuration of a backend server's service, or nil.
func (r *Router) serviceConfig(b *backend) *routing.Service {
	if r.table == nil {
		return nil
	}
	return r.table.Service(b.Service)
}

// kindMatches reports whether a backend server is of its service's kind. In a service of model engines,
// a registration without models was not written by an engine.
func kindMatches(b *backend, s *routing.Service) bool {
	return s == nil || !s.Model || b.Model
}

// crossZoneMargin returns the part of its limit that must be free at a backend server of another zone in
// a large fleet. Its load counts are old, and all hosts with overflow see the same free slots.
func (r *Router) crossZoneMargin(b *backend) int {
	if b.Zone == r.opt.Zone || !r.largeFleet() {
		return 0
	}
	if r.queueing() {
		return 1 // the limit is one request beyond the slots
	}
	return crossZoneMinFree
}

// tooSlow reports whether a stream would probably miss its deadline at an engine. The longest outputs are
// ten times the mean and slow engines need four times as long per event, so such streams would occupy
// an engine until their deadline for nothing.
func (s *selector) tooSlow(b *backend) bool {
	if b.interval == 0 || s.q.OutputTok == 0 || s.cfg == nil || s.cfg.TokensPerEvent == 0 {
		return false
	}
	events := float64(s.q.OutputTok) / float64(s.cfg.TokensPerEvent)
	return events*float64(b.interval)*outputLengthMargin > float64(s.q.Deadline-s.r.now)
}

// pickBest returns the best candidate, in a large fleet the best of a random sample: hosts that decide by
// the same counts, one heartbeat old, would otherwise all choose the same one. The owner's counts are exact,
// so it compares all.
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

// oldestHeartbeatAge returns the age of the oldest heartbeat whose counts are in use.
func (r *Router) oldestHeartbeatAge() time.Duration {
	var age time.Duration
	for _, h := range r.members.order {
		if m := r.members.byHost[h]; !m.unreachable {
			age = max(age, r.now-m.lastSeen)
		}
	}
	return age
}
