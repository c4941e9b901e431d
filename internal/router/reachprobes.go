package router

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// probeInterval is the least time between two probes of one backend server.
	probeInterval = 300 * time.Millisecond
	// probeTimeout is how long the result of a probe is awaited. Connections are given up a little earlier.
	probeTimeout = 300 * time.Millisecond
	// maxProbesLargeFleet limits the probes under way at a time in a large fleet, where many hosts see the same failures.
	maxProbesLargeFleet = 4
	// maxSampledBackends limits the backend servers of a service that are probed to find out whether this host is cut off.
	maxSampledBackends = 16
	// recoveryProbeInterval is how often recoveryProbes backend servers are probed while most cannot be reached.
	recoveryProbeInterval = 500 * time.Millisecond
	recoveryProbes        = 2
	// silenceTimeout is how long a request may wait for the first byte of its answer, with nothing else heard from its
	// backend server, until that is probed, one server at a time.
	silenceTimeout = 500 * time.Millisecond
	// reachCheckInterval is how often the time limits of this file are checked.
	reachCheckInterval = 50 * time.Millisecond
	// verifyInterval is the least time between two probes of a backend server that other hosts report as unreachable.
	verifyInterval = time.Second
	// surveyTimeout limits how long results of probes are awaited to find out whether this host is at fault.
	surveyTimeout = 600 * time.Millisecond
)

// reachSample returns the backend servers of a service by which its reachability is judged: all usable ones, or some of
// those in this host's zone if there are many.
func (r *Router) reachSample(service string) []*backend {
	all := r.usableOf(r.backendsOf(service))
	if len(all) <= maxSampledBackends {
		return all
	}
	if zone := r.usableOf(r.zoneBackendsOf(service)); len(zone) >= minLostBackends {
		all = zone
	}
	if len(all) <= maxSampledBackends {
		return all
	}
	own := uint32(hashOfService(r.opt.Host))
	slices.SortFunc(all, func(a, b *backend) int { return cmp.Compare(a.hash^own, b.hash^own) })
	return all[:maxSampledBackends]
}

func (r *Router) usableOf(list []*backend) []*backend {
	var out []*backend
	for _, b := range list {
		if ok, doubtful := b.usable(r.now); ok && !doubtful {
			out = append(out, b)
		}
	}
	return out
}

// requestProbe probes a backend server, at once or as soon as the limits allow.
func (r *Router) requestProbe(b *backend) {
	s := &b.reach
	if r.table == nil || s.probing && r.now-s.probeAt < probeTimeout {
		return
	}
	if s.probeAt > 0 && r.now-s.probeAt < probeInterval || r.probeLimitReached() {
		if !s.probeDue {
			s.probeDue = true
			r.reach.due = append(r.reach.due, b)
		}
		return
	}
	s.probeAt, s.probing, s.probeDue = max(1, r.now), true, false
	r.reach.probing = append(r.reach.probing, b)
	r.emit(Probe{Backend: b.Backend, MaxIdleConns: r.idleConnLimit(b)})
}

// probeLimitReached reports whether another probe must wait for the result of an earlier one.
func (r *Router) probeLimitReached() bool {
	r.reach.probing = slices.DeleteFunc(r.reach.probing, func(b *backend) bool {
		return !b.reach.probing || r.now-b.reach.probeAt >= probeTimeout
	})
	return r.largeFleet() && len(r.reach.probing) >= maxProbesLargeFleet
}

// startSurvey begins to probe a service's backend servers to find out whether this host or a server is at fault.
func (r *Router) startSurvey(s *serviceReach) {
	if s.surveying || (s.surveyAt > 0 && r.now-s.surveyAt < probeInterval) {
		return
	}
	s.surveying, s.surveyAt = true, max(1, r.now)
}

// continueSurvey probes the backend servers without a result since the start of the survey.
func (r *Router) continueSurvey(service string, s *serviceReach) {
	if !s.surveying {
		return
	}
	for _, b := range r.reachSample(service) {
		if max(b.reach.failedAt, b.reach.connectedAt) >= s.surveyAt || b.reach.probeAt >= s.surveyAt {
			continue
		}
		if r.probeLimitReached() {
			return
		}
		r.requestProbe(b)
	}
}

// tickReach runs what is due by time.
func (r *Router) tickReach() {
	if r.now < r.reach.checkAt {
		return
	}
	r.reach.checkAt = r.now + reachCheckInterval
	r.sendDueProbes()
	r.probeSilentBackend()
	for _, name := range r.reachNames() {
		s := r.reach.services[name]
		if !s.lost && !s.surveying && len(s.refusals) == 0 {
			continue
		}
		if s.awaitsSurvey() {
			r.startSurvey(s)
		}
		if s.surveying && r.now-s.surveyAt >= surveyTimeout && !s.lost {
			s.surveying = false
		}
		r.continueSurvey(name, s)
		r.probeForRecovery(name, s)
		if s.lost {
			r.askOtherZones(s.hash)
		}
		r.evaluateReach(name, s)
	}
}

func (r *Router) reachNames() []string { return slices.Sorted(maps.Keys(r.reach.services)) }

func (r *Router) sendDueProbes() {
	due := r.reach.due
	r.reach.due = nil
	for _, b := range due {
		b.reach.probeDue = false
		if r.backends[b.ID] == b && !b.removed {
			r.requestProbe(b)
		}
	}
}

// probeForRecovery probes a few backend servers of a service that this host does not reach, in turn.
func (r *Router) probeForRecovery(service string, s *serviceReach) {
	if !s.lost || r.now < s.nextRecoveryProbe {
		return
	}
	s.nextRecoveryProbe = r.now + recoveryProbeInterval
	var failing []*backend
	for _, b := range r.reachSample(service) {
		if b.reach.connectFails() || b.reach.connectedAt == 0 {
			failing = append(failing, b)
		}
	}
	for _, b := range leastRecentlyProbed(failing, recoveryProbes) {
		r.requestProbe(b)
	}
}

// probeSilentBackend probes the backend server that has sent nothing for the longest time since a request was sent there.
func (r *Router) probeSilentBackend() {
	if r.now < r.reach.silenceAt {
		return
	}
	var silent *backend
	var since time.Duration
	for _, q := range r.requests {
		b := q.backend
		if b == nil || q.slotCall != nil || q.begun {
			continue
		}
		at := max(q.sentAt, b.reach.heardAt, b.reach.probeAt)
		if silent == nil || at < since || (at == since && b.ID < silent.ID) {
			silent, since = b, at
		}
	}
	if silent != nil && r.now-since >= silenceTimeout {
		r.reach.silenceAt = r.now + silenceTimeout
		r.answerBroke(silent)
	}
}

// verify probes a backend server that other hosts report as unreachable, unless it was heard or probed recently.
func (r *Router) verify(b *backend) {
	s := &b.reach
	recent := s.heardAt > 0 && r.now-s.heardAt < probeInterval || s.probeAt > 0 && r.now-s.probeAt < verifyInterval
	if !recent && r.now >= b.unreachableUntil {
		r.answerBroke(b)
	}
}

// checkReachFor probes backend servers of the services that another host does not reach, so that it learns whether this host
// does: at first all, then a few whenever none was heard for a while. known are the services that it has reported before.
func (r *Router) checkReachFor(services, known []uint32) {
	if r.table == nil {
		return
	}
	for i := range r.table.Config.Services {
		if name := r.table.Config.Services[i].Name; slices.Contains(services, hashOfService(name)) {
			r.reachOf(name)
		}
	}
	for _, name := range r.reachNames() {
		s := r.reach.services[name]
		if s.lost || !slices.Contains(services, s.hash) {
			continue
		}
		if !slices.Contains(known, s.hash) {
			r.startSurvey(s)
			r.continueSurvey(name, s)
			continue
		}
		if r.now-s.heardAt < recoveryProbeInterval {
			continue
		}
		for _, b := range leastRecentlyProbed(r.reachSample(name), recoveryProbes) {
			if r.now-b.reach.probeAt >= recoveryProbeInterval {
				r.requestProbe(b)
			}
		}
	}
}

// leastRecentlyProbed returns the n backend servers whose latest probes are the oldest.
func leastRecentlyProbed(list []*backend, n int) []*backend {
	slices.SortStableFunc(list, func(a, b *backend) int { return cmp.Compare(a.reach.probeAt, b.reach.probeAt) })
	return list[:min(n, len(list))]
}
