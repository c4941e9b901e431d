package quarantine

import (
	"bytes"
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// endsToBlame is how many backend servers must have ended with a request in flight for it to count as the cause.
	// With two, a caller that repeats once after a rack is lost would be shut out.
	endsToBlame = 3
	// maxEnds bounds the ends that are kept of a request: more than endsToBlame, so that the cause stands out from what
	// was beside it.
	maxEnds = 16
	// maxCases and maxOfWorkspace bound what is remembered, some 300 bytes a case. One workspace's requests cannot
	// displace what is known of the others'.
	maxCases       = 1024
	maxOfWorkspace = 256
	// suspectFor is how long a request at which too few ended is remembered, and blameFor one that is the cause.
	suspectFor = time.Hour
	blameFor   = 24 * time.Hour
	// trialFirst is how long a request stays shut out at least, and trialGrowth how many times as long as its ends have
	// lasted: one that is innocent gets a chance after a minute, one that goes on ending backend servers does so after
	// 11 minutes, two hours, and a day.
	trialFirst  = time.Minute
	trialGrowth = 10
	// clearSlack is how much later a success must be than the known one to be news: hosts' clocks are compared by the age
	// of what they say.
	clearSlack = time.Second
)

// End is the end of a backend server, named by a hash, with a request in flight.
type End struct {
	Backend uint32
	At      time.Duration
}

// Case is what is known of one request.
type Case struct {
	Digest    Digest
	Workspace string
	// Ends are in order of time; none is older than the latest success, at ClearedAt, if Cleared.
	Ends      []End
	Cleared   bool
	ClearedAt time.Duration
	// changedAt is when this host last learned something of it, and seenAt when it last saw something itself, if seen.
	changedAt, seenAt time.Duration
	seen, blamed      bool
	// triedUntil is until when a trial is under way.
	triedUntil time.Duration
}

// Blamed tells that the request counts as the cause of its ends.
func (c *Case) Blamed() bool { return c.blamed }

// TrialAt is the moment at which a request that is shut out may run once to show that it does no harm.
func (c *Case) TrialAt() time.Duration {
	first, last := c.Ends[0].At, c.Ends[len(c.Ends)-1].At
	return last + max(trialFirst, trialGrowth*(last-first))
}

func (c *Case) lastAt() time.Duration {
	at := c.ClearedAt
	if n := len(c.Ends); n > 0 {
		at = max(at, c.Ends[n-1].At)
	}
	return at
}

// Ledger remembers requests that were in flight when backend servers ended. Times are on one host's clock.
type Ledger struct {
	cases map[Digest]*Case
	// oneEnd is how far apart two words of an end of the same backend server are at most to mean the same end.
	oneEnd time.Duration
	// allZonesAt is when other zones are next told all.
	allZonesAt time.Duration
}

// NewLedger returns an empty one, where each start of a backend server has a name of its own: it ends once.
func NewLedger() *Ledger { return NewLedgerOfNames(math.MaxInt64) }

// NewLedgerOfNames returns an empty one, where a backend server keeps its name over its starts: two words of its end that are no
// further apart mean the same end.
func NewLedgerOfNames(oneEnd time.Duration) *Ledger {
	return &Ledger{cases: map[Digest]*Case{}, oneEnd: oneEnd}
}

// known tells whether an end is among some.
func (l *Ledger) known(ends []End, e End) bool {
	return slices.ContainsFunc(ends, func(k End) bool { return k.Backend == e.Backend && (k.At-e.At).Abs() <= l.oneEnd })
}

// Empty tells that there is nothing to look up.
func (l *Ledger) Empty() bool { return len(l.cases) == 0 }

// Blamed is the case of a request that is the cause of ends; nil where it is not.
func (l *Ledger) Blamed(d Digest) *Case {
	if c := l.cases[d]; c != nil && c.blamed {
		return c
	}
	return nil
}

// Saw notes an end that this host saw, and Ended one of which it was told. They report whether that was news.
func (l *Ledger) Saw(now time.Duration, d Digest, workspace string, e End) bool {
	if !l.Ended(now, d, workspace, e) {
		return false
	}
	l.cases[d].seen, l.cases[d].seenAt = true, now
	return true
}

// Ended notes the end of a backend server with a request in flight.
func (l *Ledger) Ended(now time.Duration, d Digest, workspace string, e End) bool {
	c := l.cases[d]
	switch {
	case d.Zero() || now-e.At > blameFor:
		return false
	case c == nil:
		c = l.open(now, d, workspace)
	case c.Cleared && e.At <= c.ClearedAt:
		return false
	case l.known(c.Ends, e):
		return false
	}
	at, _ := slices.BinarySearchFunc(c.Ends, e, byTime)
	c.Ends = slices.Insert(c.Ends, at, e)
	if len(c.Ends) > maxEnds {
		c.Ends = slices.Delete(c.Ends, 1, 2) // the first tells how long it has gone on
	}
	c.changedAt = now
	if len(c.Ends) >= endsToBlame {
		l.judge()
	}
	return true
}

func byTime(a, b End) int {
	if byAt := cmp.Compare(a.At, b.At); byAt != 0 {
		return byAt
	}
	return cmp.Compare(a.Backend, b.Backend)
}

// Ran notes that this host saw the request run to a good end, and Cleared that it was told so. Only what is under
// suspicion is noted. They report whether that was news.
func (l *Ledger) Ran(now time.Duration, d Digest) bool {
	if !l.Cleared(now, d, now) {
		return false
	}
	l.cases[d].seen, l.cases[d].seenAt = true, now
	return true
}

// Cleared notes that a request has run to a good end: what ends each backend server that runs it does not.
func (l *Ledger) Cleared(now time.Duration, d Digest, at time.Duration) bool {
	c := l.cases[d]
	if c == nil {
		return false
	}
	before := len(c.Ends)
	c.Ends = slices.DeleteFunc(c.Ends, func(e End) bool { return e.At <= at })
	if len(c.Ends) == before && c.Cleared && at < c.ClearedAt+clearSlack {
		return false
	}
	c.Cleared, c.ClearedAt, c.changedAt = true, max(c.ClearedAt, at), now
	if before >= endsToBlame {
		l.judge()
	}
	return true
}

// Try reports whether a request that is shut out may run once, and takes that chance.
func (l *Ledger) Try(now time.Duration, c *Case, during time.Duration) bool {
	if now < c.TrialAt() || now < c.triedUntil {
		return false
	}
	c.triedUntil = now + during
	return true
}

// open begins a case; where there are too many, the least telling one goes, of the same workspace if that has its share.
func (l *Ledger) open(now time.Duration, d Digest, workspace string) *Case {
	own := 0
	for _, c := range l.cases {
		if c.Workspace == workspace {
			own++
		}
	}
	if own >= maxOfWorkspace || len(l.cases) >= maxCases {
		l.drop(own >= maxOfWorkspace, workspace)
	}
	c := &Case{Digest: d, Workspace: workspace, changedAt: now}
	l.cases[d] = c
	return c
}

func (l *Ledger) drop(ofWorkspace bool, workspace string) {
	var least *Case
	for _, c := range l.cases {
		if ofWorkspace && c.Workspace != workspace {
			continue
		}
		if least == nil || moreTelling(least, c) < 0 {
			least = c
		}
	}
	delete(l.cases, least.Digest)
}

// moreTelling orders cases: those with more ends first, then those that changed last.
func moreTelling(a, b *Case) int {
	return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(b.changedAt, a.changedAt), byDigest(a, b))
}

// Cases are all, the most telling first.
func (l *Ledger) Cases() []*Case {
	out := make([]*Case, 0, len(l.cases))
	for _, c := range l.cases {
		out = append(out, c)
	}
	slices.SortFunc(out, moreTelling)
	return out
}

// Quarantined are the requests that count as causes, in order of their digests.
func (l *Ledger) Quarantined() []*Case {
	var out []*Case
	for _, c := range l.cases {
		if c.blamed {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, byDigest)
	return out
}

func byDigest(a, b *Case) int { return bytes.Compare(a.Digest[:], b.Digest[:]) }

// Expire forgets what is old.
func (l *Ledger) Expire(now time.Duration) {
	gone := false
	for d, c := range l.cases {
		keep := suspectFor
		if c.blamed {
			keep = blameFor
		}
		if now-c.lastAt() > keep {
			delete(l.cases, d)
			gone = true
		}
	}
	if gone {
		l.judge()
	}
}
