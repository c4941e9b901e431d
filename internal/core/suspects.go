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
	// sameEndWindow is how far apart hosts may see one end of a backend server: it takes longer to start again.
	sameEndWindow = 2 * time.Second
	// suspectReporters are the hosts of a zone that tell it all that is known of suspects.
	suspectReporters = 2
	// suspectExpiryInterval paces the forgetting.
	suspectExpiryInterval = 10 * time.Second
	// trialTimeout is how long another trial of the same request waits for the outcome of one.
	trialTimeout = 15 * time.Second
)

// suspectState is what this host knows of requests that end backend servers.
type suspectState struct {
	ledger                 *quarantine.Ledger
	fullReportAt, expireAt time.Duration
}

func newSuspectState() suspectState {
	return suspectState{ledger: quarantine.NewLedgerForReusedNames(sameEndWindow)}
}

// recordOutcome takes what the end of a dispatch says of the request itself. The same request in the hands of one backend
// server after another that ends is most likely what ends them, and its callers repeat it at any host.
func (c *Core) recordOutcome(r *request, e Ended) {
	switch {
	case e.Outcome == Done:
		c.suspects.ledger.ObserveSuccess(c.now, r.Digest)
	case e.BackendEnded:
		end := quarantine.End{Backend: uint32(xxhash.Sum64String(r.backend)), At: c.now}
		if c.suspects.ledger.Observe(c.now, r.Digest, r.Workspace, end) {
			c.trace(r, "%s ended while it ran this request, %s", r.backend, r.Digest)
			c.sendHeartbeats() // others are told at once
		}
	}
}

// quarantined refuses a request that is kept from backend servers; nil where it is not.
func (c *Core) quarantined(r *request) *fault.Error {
	found := c.suspects.ledger.Blamed(r.Digest)
	if found == nil || r.onTrial {
		return nil
	}
	return fault.New(fault.Quarantined, "request %s has ended %d backend servers", r.Digest, len(found.Ends)).WithRetryAfter(max(time.Second, found.TrialAt()-c.now))
}

// allowTrial tells whether a new request in quarantine may run all the same, to show whether it does harm. One host of the fleet
// lets it run now and then: an innocent one would otherwise be refused for a day.
func (c *Core) allowTrial(d quarantine.Digest) bool {
	found := c.suspects.ledger.Blamed(d)
	return found != nil && c.isTrialHost(d) && c.suspects.ledger.TakeTrial(c.now, found, trialTimeout)
}

// isTrialHost tells whether this host is the one to let a request in quarantine run.
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

// suspectsToReport are what heartbeats tell of requests: what this host has newly seen, or all where it is to tell that now.
func (c *Core) suspectsToReport() []*quarantinepb.Suspect {
	if c.now < c.suspects.fullReportAt || !slices.Contains(member.Top("tells suspects", c.roles.live, suspectReporters), c.opt.Self.ID) {
		return c.suspects.ledger.OwnChanges(c.now)
	}
	c.suspects.fullReportAt = c.now + quarantine.FullInterval
	return c.suspects.ledger.Full(c.now)
}

// expireSuspects forgets what is old.
func (c *Core) expireSuspects() {
	if c.now >= c.suspects.expireAt {
		c.suspects.expireAt = c.now + suspectExpiryInterval
		c.suspects.ledger.Expire(c.now)
	}
}
