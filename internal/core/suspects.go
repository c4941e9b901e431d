package core

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/member"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// sameEndWindow is the time within which reports of an end of the same backend server count as one
	// end: hosts see it at different times, and a server takes longer than this to start again.
	sameEndWindow = 2 * time.Second
	// suspectReporters is the number of hosts per zone that report all known suspects to it.
	suspectReporters = 2
	// suspectExpiryInterval is how often expired suspects are dropped.
	suspectExpiryInterval = 10 * time.Second
	// trialTimeout is how long a new trial of a request waits for the outcome of the previous one.
	trialTimeout = 15 * time.Second
)

// suspectState is what this host knows of requests that end backend servers.
type suspectState struct {
	ledger *quarantine.Ledger
	// runs is what completed runs show of the beginnings of prompts.
	runs                   *quarantine.PromptRuns
	fullReportAt, expireAt time.Duration
}

func newSuspectState() suspectState {
	return suspectState{ledger: quarantine.NewLedgerForReusedNames(sameEndWindow), runs: quarantine.NewPromptRuns()}
}

// recordOutcome records what the end of a dispatch shows about the request itself. If backend servers crash
// one after the other while they run the same request, the request is most likely the cause, and its
// callers repeat it at any host.
func (c *Core) recordOutcome(r *request, e DispatchEnded) {
	s := &c.suspects
	parts := s.runs.PartsAt(r.Service, r.Parts)
	switch {
	case e.Outcome == Done:
		s.ledger.ObserveSuccess(c.now, r.Digest, c.now)
		s.runs.Record(s.ledger, c.now, r.Service, parts)
	case e.BackendEnded:
		end := quarantine.End{Backend: uint32(xxhash.Sum64String(r.backend)), At: c.now, InFlight: c.slotsOf(r.backend)}
		observed := s.ledger.Observe(c.now, quarantine.Subject{Digest: r.Digest, Workspace: r.Workspace}, end)
		if s.runs.ObserveEnd(s.ledger, c.now, r.Service, r.Workspace, parts, end) || observed {
			c.trace(r, "backend server %s ended while it ran this request (digest %s)", r.backend, r.Digest)
			c.sendHeartbeats() // peers learn of it at once
		}
	}
}

// slotsOf returns how many requests a backend server runs at most, zero if that is unknown.
func (c *Core) slotsOf(backend string) int {
	spec, _ := c.usable(backend)
	return int(spec.Slots)
}

// quarantined returns the refusal of a request in quarantine, nil if the request may run.
func (c *Core) quarantined(r *request) *fault.Error {
	blamed := c.blamedFor(r)
	if len(blamed) == 0 || r.onTrial {
		return nil
	}
	wait := time.Second
	for _, found := range blamed {
		wait = max(wait, found.TrialAt()-c.now)
	}
	return fault.New(fault.Quarantined, "%s %s has ended %d backend servers", blamed[0].Kind, blamed[0].Digest, len(blamed[0].Ends)).WithRetryAfter(wait)
}

// blamedFor returns the cases for which a request is kept from backend servers: its own, and those of beginnings of its prompt.
func (c *Core) blamedFor(r *request) []*quarantine.Case {
	var blamed []*quarantine.Case
	for _, d := range append([]quarantine.Digest{r.Digest}, c.suspects.runs.PartsAt(r.Service, r.Parts)...) {
		if found := c.suspects.ledger.Blamed(d); found != nil {
			blamed = append(blamed, found)
		}
	}
	return blamed
}

// allowTrial reports whether a new request in quarantine may run to find out whether it still crashes backend
// servers. One host of the fleet lets it run now and then; otherwise a harmless request would be refused
// for a day.
func (c *Core) allowTrial(r *request) bool {
	blamed := c.blamedFor(r)
	return len(blamed) == 1 && c.isTrialHost(blamed[0].Digest) && c.suspects.ledger.TakeTrial(c.now, blamed[0], trialTimeout)
}

// isTrialHost reports whether this host is the one of the fleet that runs trials of a request.
func (c *Core) isTrialHost(d quarantine.Digest) bool {
	zones := []string{c.opt.Self.Zone}
	for _, zone := range c.view.OtherZones() {
		if z, ok := c.gossip.zones[zone]; ok && c.now-z.at <= digestTTL {
			zones = append(zones, zone)
		}
	}
	purpose := "tries/" + d.String()
	return member.Owner(purpose, zones) == c.opt.Self.Zone && member.Owner(purpose, c.roles.live) == c.opt.Self.ID
}

// suspectsToReport returns the suspects for the next heartbeats: those that this host has newly seen, or
// all if this host is a suspect reporter and its next full report is due.
func (c *Core) suspectsToReport() []*quarantinepb.Suspect {
	if c.now < c.suspects.fullReportAt || !slices.Contains(member.Top("tells suspects", c.roles.live, suspectReporters), c.opt.Self.ID) {
		return c.suspects.ledger.OwnChanges(c.now)
	}
	c.suspects.fullReportAt = c.now + quarantine.FullInterval
	return c.suspects.ledger.Full(c.now)
}

// expireSuspects drops expired suspects.
func (c *Core) expireSuspects() {
	if c.now >= c.suspects.expireAt {
		c.suspects.expireAt = c.now + suspectExpiryInterval
		c.suspects.ledger.Expire(c.now)
	}
}
