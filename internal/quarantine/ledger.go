package quarantine

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minEndsToBlame is how many ends a request must be in flight at to count as their cause. With two, a caller that
	// retries once after the loss of a rack would be quarantined.
	minEndsToBlame = 3
	// minPartEndsToBlame is the same for a part of prompts, in ends that count in full. Its loss refuses more than one caller's
	// request, and of many parts that are seldom used some are at a few ends by chance.
	minPartEndsToBlame = 5
	// maxEnds bounds the ends kept for a request. It is well above minEndsToBlame, so that the cause stands out from
	// requests that were in flight beside it.
	maxEnds = 16
	// maxCases and maxCasesPerWorkspace bound the memory for each kind of case, at about 400 bytes a case. One workspace's
	// requests cannot displace what is known of the others'.
	maxCases             = 1024
	maxCasesPerWorkspace = 256
	// suspectTTL is how long a case with too few ends is kept, and blameTTL one that counts as a cause.
	suspectTTL = time.Hour
	blameTTL   = 24 * time.Hour
	// refutedPartTTL is how long a part whose ends are all refuted is kept, so that late reports of them are recognised.
	refutedPartTTL = 10 * time.Second
	// minTrialDelay is how long a request stays quarantined at least, and trialBackoff the factor on the time over
	// which its ends have occurred: an innocent request gets a trial after a minute; one that keeps crashing backend
	// servers does so after 11 minutes, two hours, and a day.
	minTrialDelay = time.Minute
	trialBackoff  = 10
	// clearSlack is how much later than the known one a completed run must be to count as a change: hosts derive such
	// times from ages in each other's messages, which are not exact.
	clearSlack = time.Second
)

// End is the end of a backend server, identified by a hash of its name, while a request was in flight.
type End struct {
	Backend uint32
	At      time.Duration
	// InFlight is the number of requests believed in flight there; zero if unknown.
	InFlight int
}

// Kind is what a case is about.
type Kind int

// The kinds: a request, whatever its attempt, or a part of prompts that requests share.
const (
	Request Kind = iota
	Part
)

// String returns the kind's name for logs and operators.
func (k Kind) String() string {
	if k == Part {
		return "part of prompts"
	}
	return "request"
}

// Subject is what was in flight when a backend server ended.
type Subject struct {
	Kind   Kind
	Digest Digest
	// Workspace is that of the request, for a part that of the first one seen.
	Workspace string
	// Sample tells of a part in how many of the service's runs it was.
	Sample Sample
}

// Case is the record of one request, or of one part of prompts, that was in flight when backend servers ended.
type Case struct {
	Subject
	// Ends are in order of time; if Cleared, all are later than the latest completed run, at ClearedAt.
	Ends      []End
	Cleared   bool
	ClearedAt time.Duration
	// changedAt is when the case last changed on this host, and observedAt when this host last observed something
	// itself, if observed is set.
	changedAt, observedAt time.Duration
	observed, blamed      bool
	// toldAt is when OwnChanges last included the case; zero if it has not.
	toldAt time.Duration
	// trialUntil is when the current trial ends, or a later time before which there is no other.
	trialUntil time.Duration
}

// Blamed reports whether the request counts as the cause of its ends.
func (c *Case) Blamed() bool { return c.blamed }

// TrialAt is the time from which a quarantined request may run once, to show that it does no harm.
func (c *Case) TrialAt() time.Duration {
	first, last := c.Ends[0].At, c.Ends[len(c.Ends)-1].At
	return max(c.trialUntil, last+max(minTrialDelay, trialBackoff*(last-first)))
}

func (c *Case) lastEventAt() time.Duration {
	at := c.ClearedAt
	if n := len(c.Ends); n > 0 {
		at = max(at, c.Ends[n-1].At)
	}
	return at
}

// Ledger records the requests that were in flight when backend servers ended. All times are on the local host's clock.
type Ledger struct {
	cases map[Digest]*Case
	// quarantined are the cases that count as causes, in order of their digests.
	quarantined []*Case
	// sameEndWithin is the greatest difference in time at which two reports of an end of one backend server mean the
	// same end.
	sameEndWithin time.Duration
	// nextFullAt is when the full state is next sent to other zones.
	nextFullAt time.Duration
}

// NewLedger returns an empty ledger for backend servers that get a new name with each start, so that each name ends
// once.
func NewLedger() *Ledger { return NewLedgerForReusedNames(math.MaxInt64) }

// NewLedgerForReusedNames returns an empty ledger for backend servers that keep their name over restarts: two reports
// of an end at most sameEndWithin apart mean the same end.
func NewLedgerForReusedNames(sameEndWithin time.Duration) *Ledger {
	return &Ledger{cases: map[Digest]*Case{}, sameEndWithin: sameEndWithin}
}

// find returns the index of e in ends, or -1.
func (l *Ledger) find(ends []End, e End) int {
	return slices.IndexFunc(ends, func(k End) bool { return k.Backend == e.Backend && (k.At-e.At).Abs() <= l.sameEndWithin })
}

// Empty reports whether there are no cases to look up.
func (l *Ledger) Empty() bool { return len(l.cases) == 0 }

// Blamed returns the case of a request that counts as a cause, or nil.
func (l *Ledger) Blamed(d Digest) *Case {
	if c := l.cases[d]; c != nil && c.blamed {
		return c
	}
	return nil
}

// Observe records an end that this host has observed itself. It reports whether that changed anything.
func (l *Ledger) Observe(now time.Duration, s Subject, e End) bool {
	if s.beyondBlame(e) || !l.RecordEnd(now, s, e) {
		return false
	}
	l.cases[s.Digest].observe(now)
	return true
}

// observe marks a case as one that this host tells others of.
func (c *Case) observe(now time.Duration) { c.observed, c.observedAt = true, now }

// RecordEnd records the end of a backend server with a request in flight, also one reported by another host. It reports
// whether that changed anything.
func (l *Ledger) RecordEnd(now time.Duration, s Subject, e End) bool {
	c := l.cases[s.Digest]
	switch {
	case s.Digest.Zero() || now-e.At > blameTTL:
		return false
	case c == nil:
		c = l.newCase(now, s)
	}
	refined := c.learnSample(s.Sample)
	if c.Cleared && e.At <= c.ClearedAt {
		c.observe(now) // whoever reports this end has not heard of the completed run
		return false
	}
	if known := l.find(c.Ends, e); known >= 0 {
		refined = refined || e.InFlight > c.Ends[known].InFlight
		c.Ends[known].InFlight = max(c.Ends[known].InFlight, e.InFlight)
		if refined && len(c.Ends) >= minEndsToBlame {
			l.assignBlame()
		}
		return false
	}
	at, _ := slices.BinarySearchFunc(c.Ends, e, byTime)
	c.Ends = slices.Insert(c.Ends, at, e)
	if len(c.Ends) > maxEnds {
		c.Ends = slices.Delete(c.Ends, 1, 2) // the first is kept: TrialAt measures from it
	}
	c.changedAt = now
	if len(c.Ends) >= minEndsToBlame {
		l.assignBlame()
	}
	return true
}

// learnSample keeps the sample with the most runs, as a host that has just started knows few, and reports whether that is a
// new one.
func (c *Case) learnSample(s Sample) bool {
	if s.Of > c.Sample.Of || (s.Of == c.Sample.Of && s.With > c.Sample.With) {
		c.Sample = s
		return true
	}
	return false
}

// LearnRuns adds what this host knows of a part's completed runs to its case, if there is one: the sample, and the latest run
// if it knows any. Others are told if that refutes ends, or is much more than they knew. It reports whether a verdict may have
// changed.
func (l *Ledger) LearnRuns(now time.Duration, d Digest, s Sample, last time.Duration, any bool) bool {
	c := l.cases[d]
	if c == nil || c.Kind != Part {
		return false
	}
	knew := c.Sample.Of
	refined := c.learnSample(s)
	if refined && s.Of >= 2*knew {
		c.observe(now)
	}
	if refined = refined && len(c.Ends) >= minEndsToBlame; refined {
		l.assignBlame()
	}
	return any && l.ObserveSuccess(now, d, last) || refined
}

func byTime(a, b End) int {
	if byAt := cmp.Compare(a.At, b.At); byAt != 0 {
		return byAt
	}
	return cmp.Compare(a.Backend, b.Backend)
}

// ObserveSuccess records that this host has seen the request, or one with the part, complete at a time. Only those that have
// a case are recorded. It reports whether that changed anything.
func (l *Ledger) ObserveSuccess(now time.Duration, d Digest, at time.Duration) bool {
	if !l.RecordSuccess(now, d, at) {
		return false
	}
	l.cases[d].observe(now)
	return true
}

// RecordSuccess records that a request has completed at the given time, also as reported by another host. That refutes
// the earlier ends as evidence: a request that crashes every backend server never completes. It reports whether that
// changed anything.
func (l *Ledger) RecordSuccess(now time.Duration, d Digest, at time.Duration) bool {
	c := l.cases[d]
	if c == nil {
		return false
	}
	before := len(c.Ends)
	if before == 0 && c.Cleared {
		c.ClearedAt = max(c.ClearedAt, at) // refutes nothing that is known
		return false
	}
	c.Ends = slices.DeleteFunc(c.Ends, func(e End) bool { return e.At <= at })
	if len(c.Ends) == before && c.Cleared && at < c.ClearedAt+clearSlack {
		return false
	}
	c.Cleared, c.ClearedAt, c.changedAt = true, max(c.ClearedAt, at), now
	if before >= minEndsToBlame {
		l.assignBlame()
	}
	return true
}

// TakeTrial reports whether a quarantined request may run once now, and if so starts a trial for the given duration.
func (l *Ledger) TakeTrial(now time.Duration, c *Case, duration time.Duration) bool {
	if now < c.TrialAt() {
		return false
	}
	c.trialUntil = now + duration
	return true
}

// DelayTrial puts the next trial off because one has run and not completed, whether or not that ended a backend server.
func (l *Ledger) DelayTrial(now time.Duration, c *Case) {
	c.trialUntil = max(c.trialUntil, now+trialBackoff*(now-c.Ends[0].At))
}

// newCase adds a case. If there are too many, it evicts the least relevant one, of the same workspace if that has
// reached its share.
func (l *Ledger) newCase(now time.Duration, s Subject) *Case {
	all, own := 0, 0
	for _, c := range l.cases {
		if c.Kind != s.Kind {
			continue
		}
		all++
		if c.Workspace == s.Workspace {
			own++
		}
	}
	if own >= maxCasesPerWorkspace || all >= maxCases {
		l.evict(own >= maxCasesPerWorkspace, s)
	}
	c := &Case{Subject: s, changedAt: now}
	l.cases[s.Digest] = c
	return c
}

// evict removes the least relevant case of the subject's kind, or of that kind and its workspace.
func (l *Ledger) evict(ofWorkspace bool, s Subject) {
	var least *Case
	for _, c := range l.cases {
		if c.Kind != s.Kind || ofWorkspace && c.Workspace != s.Workspace {
			continue
		}
		if least == nil || byRelevance(least, c) < 0 {
			least = c
		}
	}
	delete(l.cases, least.Digest)
	if least.blamed {
		l.listQuarantined()
	}
}

// listQuarantined rebuilds the list of the cases that count as causes.
func (l *Ledger) listQuarantined() {
	l.quarantined = nil
	for _, c := range l.cases {
		if c.blamed {
			l.quarantined = append(l.quarantined, c)
		}
	}
	slices.SortFunc(l.quarantined, byDigest)
}

// byRelevance orders cases with more ends first, then those that changed last.
func byRelevance(a, b *Case) int {
	return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(b.changedAt, a.changedAt), byDigest(a, b))
}

// Cases returns all cases, the most relevant first.
func (l *Ledger) Cases() []*Case { return l.selectCases(func(*Case) bool { return true }) }

// Quarantined returns the cases that count as causes, in order of their digests. The list must not be modified.
func (l *Ledger) Quarantined() []*Case { return l.quarantined }

func byDigest(a, b *Case) int { return bytes.Compare(a.Digest[:], b.Digest[:]) }

// Expire removes cases that are past their TTL.
func (l *Ledger) Expire(now time.Duration) {
	gone := false
	for d, c := range l.cases {
		keep := suspectTTL
		switch {
		case c.blamed:
			keep = blameTTL
		case c.Kind == Part && len(c.Ends) == 0:
			keep = refutedPartTTL
		}
		if now-c.lastEventAt() > keep {
			delete(l.cases, d)
			gone = true
		}
	}
	if gone {
		l.assignBlame()
	}
}
