package quarantine

import (
	"cmp"
	"slices"
	"time"

	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// announceDuration is how long a change is included in every message: long enough that lost messages do not matter.
	announceDuration = 3 * time.Second
	// maxChanged bounds the requests in a message with recent changes, and maxFull those in one with the full state, at
	// about 50 bytes each.
	maxChanged = 16
	maxFull    = 64
	// minTellInterval is how soon a host repeats a change that it has observed, so that many changes at once all get their turn.
	minTellInterval = 100 * time.Millisecond
	// maxWorkspaceName bounds the length of a workspace's name that is accepted from another host.
	maxWorkspaceName = 128
)

// FullInterval is how often the full state is sent, for hosts that have started, slept or were unreachable.
const FullInterval = time.Second

// OwnChanges returns what this host has recently observed itself, for all hosts that it tells. Of more than one message
// holds, it returns those first that it has not returned for longest.
func (l *Ledger) OwnChanges(now time.Duration) []*quarantinepb.Suspect {
	recent := l.selectCases(func(c *Case) bool {
		return c.observed && now-c.observedAt <= announceDuration && (c.toldAt == 0 || now-c.toldAt >= minTellInterval)
	})
	slices.SortStableFunc(recent, func(a, b *Case) int { return cmp.Compare(a.toldAt, b.toldAt) })
	recent = recent[:min(len(recent), maxChanged)]
	for _, c := range recent {
		c.toldAt = now
	}
	return messages(now, recent)
}

// changes returns what this host has recently observed or learned from others.
func (l *Ledger) changes(now time.Duration) []*quarantinepb.Suspect {
	recent := l.selectCases(func(c *Case) bool { return now-c.changedAt <= announceDuration })
	return messages(now, recent[:min(len(recent), maxChanged)])
}

// Full returns what this host knows, the most relevant cases first, up to maxFull.
func (l *Ledger) Full(now time.Duration) []*quarantinepb.Suspect {
	all := l.selectCases(func(*Case) bool { return true })
	return messages(now, all[:min(len(all), maxFull)])
}

// ForZones returns what is sent to other zones: the full state every FullInterval, and in between all recent changes,
// whichever host observed them.
func (l *Ledger) ForZones(now time.Duration) []*quarantinepb.Suspect {
	if now < l.nextFullAt {
		return l.changes(now)
	}
	l.nextFullAt = now + FullInterval
	return l.Full(now)
}

// selectCases returns the cases to include, the most relevant first.
func (l *Ledger) selectCases(include func(*Case) bool) []*Case {
	var selected []*Case
	for _, c := range l.cases {
		if include(c) {
			selected = append(selected, c)
		}
	}
	slices.SortFunc(selected, byRelevance)
	return selected
}

func messages(now time.Duration, cases []*Case) []*quarantinepb.Suspect {
	var out []*quarantinepb.Suspect
	for _, c := range cases {
		out = append(out, c.message(now))
	}
	return out
}

func (c *Case) message(now time.Duration) *quarantinepb.Suspect {
	s := &quarantinepb.Suspect{Digest: slices.Clone(c.Digest[:]), Workspace: c.Workspace, Part: c.Kind == Part,
		RunsWith: uint32(c.Sample.With), Runs: uint32(c.Sample.Of)}
	if c.Cleared {
		s.ClearedMs = age(now, c.ClearedAt) + 1
	}
	for _, e := range c.Ends {
		s.Ends = append(s.Ends, &quarantinepb.BackendEnd{Backend: e.Backend, AgeMs: age(now, e.At), InFlight: uint32(e.InFlight)})
	}
	return s
}

// age is the time since at in milliseconds. Cases expire long before it overflows.
func age(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Merge applies another host's message and reports whether it changed anything. Invalid entries are skipped.
func (l *Ledger) Merge(now time.Duration, list []*quarantinepb.Suspect) bool {
	changed := false
	for _, s := range list[:min(len(list), maxFull)] {
		changed = l.mergeOne(now, s) || changed
	}
	return changed
}

func (l *Ledger) mergeOne(now time.Duration, s *quarantinepb.Suspect) bool {
	var d Digest
	if len(s.Digest) != len(d) || len(s.Workspace) > maxWorkspaceName {
		return false
	}
	copy(d[:], s.Digest)
	subject := Subject{Digest: d, Workspace: s.Workspace}
	if s.Part {
		subject.Kind, subject.Sample = Part, Sample{int(min(s.RunsWith, s.Runs)), int(s.Runs)}
	}
	changed := false
	for _, e := range s.Ends {
		changed = l.RecordEnd(now, subject, End{Backend: e.Backend, At: now - millis(e.AgeMs), InFlight: int(min(e.InFlight, maxInFlight))}) || changed
	}
	if s.ClearedMs > 0 {
		changed = l.RecordSuccess(now, d, now-millis(s.ClearedMs-1)) || changed
	}
	return changed
}
