package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
)

// A host that loses its path to the backend servers sees every one of them fail, as if they had all ended, while other
// hosts still reach them. It must neither report them nor draw conclusions from failed connections, and needs another
// host for its requests. This file decides from connection attempts and the word of peers whether that is the case.

const (
	// connectFailureTTL is how long a failed connection counts if nothing shows that most of the service's backend
	// servers cannot be reached.
	connectFailureTTL = 2 * time.Second
	// knownFailureTTL is how long a further failed connection to the same backend server is no reason to try the others.
	knownFailureTTL = 10 * time.Second
	// ownReachTTL is how long contact with a backend server outweighs what other hosts report of it.
	ownReachTTL = 2 * time.Second
	// confirmDelay is how long peers have to probe the backend servers that this host does not reach.
	confirmDelay = 300 * time.Millisecond
	// reachesTTL is how recent the contact with a service must be that a host reports to others.
	reachesTTL = 1500 * time.Millisecond
	// minLostBackends is the number of unreachable backend servers from which the fault may be this host's.
	minLostBackends = 2
	// maxReachServices limits the services named in a heartbeat, so that it fits into a datagram.
	maxReachServices = 32
	// askedHostsPerZone is the number of hosts of each other zone that are asked whether they reach a service.
	askedHostsPerZone = 2
)

// reachState is what this host's own attempts show of its path to a backend server.
type reachState struct {
	// heardAt is the time of the latest answer or new connection; connectedAt and failedAt are those of the latest
	// new connection and the latest failed one. Zero if there was none.
	heardAt, connectedAt, failedAt time.Duration
	// restoredAt is the time of the latest connection that followed a failed one.
	restoredAt time.Duration
	// failingSince is when connections began to fail.
	failingSince time.Duration
	// probeAt is the time of the latest probe. probeDue is set if another one is to follow.
	probeAt  time.Duration
	probing  bool
	probeDue bool
}

// connectFails reports whether the latest connection attempt failed. Answers do not count: open connections may live on
// while new ones are refused.
func (s *reachState) connectFails() bool { return s.failedAt > s.connectedAt }

// outweighsReports reports whether recent contact, or a probe that may still show it, outweighs other hosts' reports.
func (s *reachState) outweighsReports(now time.Duration) bool {
	switch {
	case s.heardAt == 0 || s.connectFails():
		return false
	case s.probeAt > s.heardAt:
		return s.probing && now-s.probeAt < probeTimeout
	default:
		return now-s.heardAt < ownReachTTL
	}
}

// serviceReach is whether this host reaches the backend servers of one service.
type serviceReach struct {
	hash uint32
	// heardAt and failedAt are the times of the latest contact with any of them and of the latest failed connection.
	heardAt, failedAt time.Duration
	// lost is set while most backend servers cannot be reached, and cut while a peer reaches them nevertheless.
	lost, cut         bool
	lostSince, cutAt  time.Duration
	surveying         bool
	surveyAt          time.Duration
	nextRecoveryProbe time.Duration
	// refusals await the outcome of a survey.
	refusals []refusal
}

// reachTracker holds this host's contact with the services.
type reachTracker struct {
	services map[string]*serviceReach
	// probing are the backend servers with a probe under way, due those with one that must wait.
	probing, due []*backend
	checkAt      time.Duration
	askAt        time.Duration
	silenceAt    time.Duration
}

func newReachTracker() reachTracker { return reachTracker{services: map[string]*serviceReach{}} }

func hashOfService(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// reachOf returns this host's contact with a service and creates it if necessary.
func (r *Router) reachOf(service string) *serviceReach {
	s, ok := r.reach.services[service]
	if !ok {
		s = &serviceReach{hash: hashOfService(service)}
		r.reach.services[service] = s
	}
	return s
}

// cutOff reports whether this host is cut off from a service's backend servers while another host reaches them.
func (r *Router) cutOff(service string) bool {
	s, ok := r.reach.services[service]
	return ok && s.cut
}

// relayCandidates returns the hosts that reach a service's backend servers, those of this host's zone first.
func (r *Router) relayCandidates(service string) []string {
	hash := hashOfService(service)
	var own, others []string
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		switch {
		case m.leaving || !r.memberReaches(m, hash):
		case m.zone == r.opt.Zone:
			own = append(own, h)
		default:
			others = append(others, h)
		}
	}
	return append(own, others...)
}

// memberReaches reports whether another host says that it reaches a service.
func (r *Router) memberReaches(m *member, service uint32) bool {
	return !m.unreachable && slices.Contains(m.reaches, service) && !slices.Contains(m.cutOff, service)
}

func (r *Router) countPeersThatReach(service uint32) int {
	n := 0
	for _, h := range r.members.order {
		if r.memberReaches(r.members.byHost[h], service) {
			n++
		}
	}
	return n
}

// heard records contact with a backend server by an answer or a new connection.
func (r *Router) heard(b *backend) {
	b.reach.heardAt = max(1, r.now)
	r.reachOf(b.Service).heardAt = b.reach.heardAt
}

// connected records a new connection to a backend server.
func (r *Router) connected(b *backend) {
	failed := b.reach.connectFails()
	b.reach.connectedAt = max(1, r.now)
	r.heard(b)
	if failed {
		b.reach.restoredAt = r.now
		b.reachableAgain(r.now)
	}
	s := r.reachOf(b.Service)
	if s.lost {
		r.startSurvey(s)
	}
	r.continueSurvey(b.Service, s)
	r.evaluateReach(b.Service, s)
}

// connectionFailed records a failed connection to a backend server. While this host is cut off, it is no fault of the server.
func (r *Router) connectionFailed(b *backend) {
	r.noteConnectFailure(b)
	if !r.cutOff(b.Service) {
		b.connectFailed(r.now)
	}
}

// noteConnectFailure records a failed connection as evidence on this host's path only. The first one of a while is reason to try
// the other backend servers too.
func (r *Router) noteConnectFailure(b *backend) {
	if !b.reach.connectFails() {
		b.reach.failingSince = r.now
	}
	known := b.reach.connectFails() && r.now-b.reach.failedAt < knownFailureTTL
	b.reach.failedAt = max(1, r.now, b.reach.connectedAt+1)
	s := r.reachOf(b.Service)
	s.failedAt = b.reach.failedAt
	if !s.lost && !known {
		r.startSurvey(s)
	}
	r.continueSurvey(b.Service, s)
	r.evaluateReach(b.Service, s)
}

// answerBroke checks whether a backend server whose answer broke off or is overdue can still be reached.
func (r *Router) answerBroke(b *backend) {
	if ok, doubtful := b.usable(r.now); !ok || doubtful || r.knownLost(b) {
		return
	}
	r.requestProbe(b)
}

// pathLostSince reports whether this host's path to a backend server was lost after a request was sent there, so that neither a
// broken answer nor the time that it took says anything of the server.
func (r *Router) pathLostSince(b *backend, sentAt time.Duration) bool {
	return r.cutOff(b.Service) || sentAt < b.reach.restoredAt
}

// knownLost reports whether a backend server is among those that this host cannot reach, which are probed in turn.
func (r *Router) knownLost(b *backend) bool {
	return b.reach.connectFails() && r.reachOf(b.Service).lost
}

// reachCounts are the numbers of backend servers of a service that this host can and cannot connect to.
type reachCounts struct{ all, failed, connected, unknown int }

func (c reachCounts) mostFail() bool { return 3*c.failed > 2*c.all }

func (c reachCounts) halfFail() bool { return 2*c.failed > c.all }

// countReach counts the sampled backend servers of a service by the outcome of the latest connection. While a survey is under way, those
// without an outcome since its start are unknown.
func (r *Router) countReach(s *serviceReach, sample []*backend) reachCounts {
	c := reachCounts{all: len(sample)}
	for _, b := range sample {
		latest := max(b.reach.failedAt, b.reach.connectedAt)
		expired := !s.lost && r.now-b.reach.failedAt >= connectFailureTTL
		switch {
		case b.reach.connectFails() && !expired:
			c.failed++
		case latest > 0 && latest >= s.surveyAt:
			c.connected++
		default:
			c.unknown++
		}
	}
	return c
}

// evaluateReach decides whether this host is cut off from a service, and what its refused connections prove.
func (r *Router) evaluateReach(service string, s *serviceReach) {
	c := r.countReach(s, r.reachSample(service))
	r.updateLost(service, s, c)
	r.updateCut(service, s, c)
	if s.surveying && (c.unknown == 0 || (r.largeFleet() && c.connected >= maxProbesLargeFleet && 2*c.failed <= c.connected)) {
		s.surveying = false
	}
	r.resolveRefusals(service, s, c)
}

func (r *Router) updateLost(service string, s *serviceReach, c reachCounts) {
	switch {
	case !s.lost && (c.mostFail() && c.failed >= minLostBackends || c.halfFail() && r.cutOffElsewhere(service)):
		s.lost, s.lostSince, s.nextRecoveryProbe = true, r.now, r.now+recoveryProbeInterval
		r.heartbeatPending = true
	case s.lost && !c.halfFail():
		s.lost = false
		r.heartbeatPending = true
	}
}

// cutOffElsewhere reports whether this host is cut off from another service.
func (r *Router) cutOffElsewhere(service string) bool {
	for name, s := range r.reach.services {
		if name != service && s.cut {
			return true
		}
	}
	return false
}

func (r *Router) updateCut(service string, s *serviceReach, c reachCounts) {
	if !s.lost && !s.cut {
		return
	}
	peers := r.countPeersThatReach(s.hash)
	cut := s.lost && peers > 0 && (s.cut || r.now-s.lostSince >= confirmDelay)
	if cut == s.cut {
		return
	}
	s.cut = cut
	r.heartbeatPending = true
	detail := fmt.Sprintf("unreachable=%d of=%d peers_reach=%d", c.failed, c.all, peers)
	if cut {
		s.cutAt = r.now
		r.forgetFailures(service)
		r.surveyOthers(service)
		r.emit(Note{What: "cut off from a service's backend servers", Subject: service, Detail: detail, Age: r.now - s.lostSince})
		return
	}
	r.emit(Note{What: "no longer cut off from a service's backend servers", Subject: service, Detail: detail, Age: r.now - s.cutAt})
}

// surveyOthers probes the backend servers of the other services, as their path may be lost too.
func (r *Router) surveyOthers(service string) {
	for _, name := range r.reachNames() {
		s := r.reach.services[name]
		if name != service && !s.lost {
			r.startSurvey(s)
			r.continueSurvey(name, s)
		}
	}
}

// forgetFailures drops the failures that this host has seen of a service's backend servers.
func (r *Router) forgetFailures(service string) {
	for _, b := range r.backendsOf(service) {
		b.failureState = b.onlyReports()
	}
}

// mayBeCutOff reports whether most of the service's backend servers that this host has tried to reach lately did not answer.
func (r *Router) mayBeCutOff(service string) bool {
	s, ok := r.reach.services[service]
	if !ok {
		return false
	}
	if s.lost || !s.surveying {
		return s.lost
	}
	c := r.countReach(s, r.reachSample(service))
	return c.failed >= minLostBackends && c.failed > 2*c.connected
}

// lostServices returns the hashes of the services most of whose backend servers this host cannot reach.
func (r *Router) lostServices() []uint32 {
	return r.servicesWhere(func(_ string, s *serviceReach) bool { return s.lost })
}

// reachedServices returns the hashes of the services whose backend servers this host has reached lately.
func (r *Router) reachedServices() []uint32 {
	return r.servicesWhere(func(name string, s *serviceReach) bool {
		return !s.lost && s.heardAt > 0 && r.now-s.heardAt < reachesTTL && r.reachesMost(name, s)
	})
}

// reachesMost reports whether no more than half of a service's backend servers have refused this host lately.
func (r *Router) reachesMost(service string, s *serviceReach) bool {
	if s.failedAt == 0 || r.now-s.failedAt >= connectFailureTTL {
		return true
	}
	c := r.countReach(s, r.reachSample(service))
	return !c.halfFail()
}

func (r *Router) servicesWhere(match func(string, *serviceReach) bool) []uint32 {
	var out []uint32
	for name, s := range r.reach.services {
		if match(name, s) {
			out = append(out, s.hash)
		}
	}
	slices.Sort(out)
	if len(out) <= maxReachServices {
		return out
	}
	asked, rest := r.splitByAsked(out)
	return append(asked, rest...)[:maxReachServices]
}

// splitByAsked separates the services that some other host does not reach.
func (r *Router) splitByAsked(services []uint32) (asked, rest []uint32) {
	for _, hash := range services {
		if slices.ContainsFunc(r.members.order, func(h string) bool { return slices.Contains(r.members.byHost[h].cutOff, hash) }) {
			asked = append(asked, hash)
		} else {
			rest = append(rest, hash)
		}
	}
	return asked, rest
}

// applyReach applies which services another host reaches, and checks this host's own contact with those that it does not.
func (r *Router) applyReach(m *member, b *gossippb.Beat) {
	lost := m.cutOff
	m.cutOff, m.reaches = b.CutOff, b.Reaches
	for _, name := range r.reachNames() {
		s := r.reach.services[name]
		if s.lost {
			r.evaluateReach(name, s)
		}
	}
	if len(m.cutOff) > 0 {
		r.checkReachFor(m.cutOff, lost)
		r.replyToCutOff(m)
	}
}

// reportsCount reports whether what another host says of a service's backend servers is to be believed. One that reaches
// hardly any of them is most likely at fault itself.
func (m *member) reportsCount(b *backend) bool {
	return len(m.cutOff) == 0 || !slices.Contains(m.cutOff, hashOfService(b.Service))
}

// credible returns the reported backend servers of services that the reporting host reaches.
func (r *Router) credible(m *member, reported []uint32) []uint32 {
	if len(m.cutOff) == 0 {
		return reported
	}
	var out []uint32
	for _, hash := range reported {
		if b, ok := r.byHash[hash]; !ok || m.reportsCount(b) {
			out = append(out, hash)
		}
	}
	return out
}

// askOtherZones asks hosts of the other zones of a large fleet whether they reach a service if none of this zone does.
func (r *Router) askOtherZones(service uint32) {
	if !r.largeFleet() || r.now < r.reach.askAt {
		return
	}
	if slices.ContainsFunc(r.zonePeers(), func(h string) bool { return r.memberReaches(r.members.byHost[h], service) }) {
		return
	}
	r.reach.askAt = r.now + r.heartbeatInterval()
	var to []string
	for _, zone := range r.otherZones() {
		if z, ok := r.zones.summaries[zone]; ok && !z.stale {
			to = append(to, r.sample(z.owners, askedHostsPerZone)...)
		}
	}
	slices.Sort(to)
	if to = slices.Compact(to); len(to) > 0 {
		r.sendCrossZoneHeartbeat(to)
	}
}

// replyToCutOff sends a heartbeat to a host of another zone that asks which services this one reaches.
func (r *Router) replyToCutOff(m *member) {
	if !r.exchangesHeartbeats(m.zone) && r.now >= r.owners.announcedUntil[m.host] {
		r.sendCrossZoneHeartbeat([]string{m.host})
	}
}
