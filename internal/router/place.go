package router

import (
	"slices"
	"time"

	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

const (
	// headroom is how many requests above its slots an engine gets for the most urgent priority, and
	// perRank how many fewer for each rank below: engines admit in order of arrival and know no
	// priorities, so what may queue there is what ranks. Measured against limits without ranks,
	// this serves a tenth more of the worth on the heaviest days.
	headroom = 4
	perRank  = 2
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
	// unknownPace stands for a backend server's speed until any has been observed.
	unknownPace = 20 * time.Millisecond
)

// service is what this host believes of one service as a whole.
type service struct {
	// pace is the learned mean of its backend servers' intervals.
	pace time.Duration
	// read is the learned time to read a prompt token, and events the learned length of a stream.
	read   time.Duration
	events float64
	budget *limit.Budget
}

// candidate is a backend server that passed the filter, with its score: lower is better.
type candidate struct {
	b     *backend
	score float64
}

// serviceNamed finds what is believed of a service, which may be nothing yet.
func (r *Router) serviceNamed(name string) *service {
	s, ok := r.services[name]
	if !ok {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// chooseService draws one of the route's services by weight, among those with a usable backend
// server.
func (r *Router) chooseService(route *routing.Route) string {
	sum := 0.0
	var open []routing.Share
	for _, s := range route.Shares {
		if s.Weight > 0 && r.hasBackend(s.Service) {
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

func (r *Router) hasBackend(name string) bool {
	for _, b := range r.backendsOf(name) {
		if ok, _ := b.usable(r.now); ok && r.fits(b) {
			return true
		}
	}
	return false
}

// limitFor is how many requests a backend server may hold for one of this priority to join.
func (r *Router) limitFor(b *backend, q *request) int {
	slots := max(1, b.Slots)
	if q.Route.Kind != routing.Streaming {
		return slots * plainDepth
	}
	return max(1, slots+headroom-int(perRank*q.Rank+0.5))
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
func (r *Router) classOf(b *backend, q *request, doubt bool) class {
	switch {
	case b.dead(r.now):
		return dead
	case doubt:
		return doubtful
	case b.suspect(r.now) || r.zoneSilent(b.Zone) || (b.onProbation() && b.own.total() > 0):
		return suspect
	case r.tooSlow(b, q):
		return slow
	default:
		return good
	}
}

// place chooses a backend server: filter, score, reserve. It returns nil where none has room, with
// the grounds of the least loaded one.
func (r *Router) place(q *request) (*backend, Grounds) {
	g := Grounds{Version: r.version(), BeliefAge: r.oldestBelief(), InFlight: -1}
	var lists [classes][]candidate
	for _, b := range r.backendsOf(q.service) {
		ok, doubt := b.usable(r.now)
		if !ok || slices.Contains(q.tried, b.ID) || !r.fits(b) {
			continue
		}
		g.Known++
		dies := b.dead(r.now)
		if dies {
			g.Dead++
		}
		held, limit := b.inFlight(), r.limitFor(b, q)
		if g.InFlight < 0 || held < g.InFlight {
			g.InFlight, g.Limit = held, limit
		}
		if held >= limit-r.farMargin(b) {
			if !dies {
				g.Full++
			}
			continue
		}
		c := r.classOf(b, q, doubt)
		lists[c] = append(lists[c], candidate{b, r.score(b, q, held)})
	}
	// Dead servers look idle. In an overload every request would try some of them before it is refused;
	// they are tried only where no other is left at all, as the fault may be this host's own.
	if g.Full > 0 {
		lists[dead] = nil
	}
	for _, list := range lists {
		if len(list) > 0 {
			b := r.pick(list)
			g.InFlight, g.Limit = b.inFlight(), r.limitFor(b, q)
			g.Wait = r.waitAt(b, q, g.InFlight)
			return b, g
		}
	}
	return nil, g
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
func (r *Router) fits(b *backend) bool {
	s := r.serviceOf(b)
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
func (r *Router) tooSlow(b *backend, q *request) bool {
	s := r.serviceOf(b)
	if b.interval == 0 || q.OutputTok == 0 || s == nil || s.TokensPerEvent == 0 {
		return false
	}
	events := float64(q.OutputTok) / float64(s.TokensPerEvent)
	return events*float64(b.interval)*lengthDoubt > float64(q.Deadline-r.now)
}

// pick takes the best candidate, or in a large fleet the best of a few drawn at random: many hosts
// that choose by the same counts, a beat old, would all send to the same one.
func (r *Router) pick(list []candidate) *backend {
	var best candidate
	draws := len(list)
	if r.relaying() {
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

// score orders backend servers for a request: the lower the better.
func (r *Router) score(b *backend, q *request, held int) float64 {
	s := float64(r.waitAt(b, q, held))
	switch {
	case b.Zone == r.opt.Zone:
	case r.relaying():
		s *= farFull
	default:
		s *= farPenalty
	}
	return s
}

// waitAt estimates how long a request waits at a backend server: a stream for its first event, another
// for the server's work on what is there.
func (r *Router) waitAt(b *backend, q *request, held int) time.Duration {
	pace := b.interval
	if pace == 0 {
		pace = r.paceOf(b.Service)
	}
	if q.Route.Kind != routing.Streaming || q.PromptTok == 0 {
		return time.Duration(held+1) * pace
	}
	wait := pace + time.Duration(b.unread(r.now)+q.PromptTok)*r.readOf(b)
	if over := held + 1 - b.Slots; over > 0 && b.Slots > 0 {
		// A place comes free as often as streams of the usual length end.
		wait += time.Duration(float64(over) * r.eventsOf(b.Service) * float64(pace) / float64(b.Slots))
	}
	return wait
}

// usualEvents stands for the length of a service's streams until one has ended.
const usualEvents = 30

func (r *Router) eventsOf(name string) float64 {
	if s, ok := r.services[name]; ok && s.events > 0 {
		return s.events
	}
	return usualEvents
}

func (r *Router) paceOf(name string) time.Duration {
	if s, ok := r.services[name]; ok && s.pace > 0 {
		return s.pace
	}
	return unknownPace
}

func (r *Router) learnPace(name string, pace time.Duration) {
	if pace <= 0 {
		return
	}
	s := r.serviceNamed(name)
	s.pace += time.Duration(learnRate * float64(pace-s.pace))
}

// oldestBelief is the age of the oldest beat whose counts are in use.
func (r *Router) oldestBelief() time.Duration {
	var age time.Duration
	for _, h := range r.members.order {
		if m := r.members.byHost[h]; !m.silent {
			age = max(age, r.now-m.heardAt)
		}
	}
	return age
}
