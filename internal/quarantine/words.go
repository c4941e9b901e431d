package quarantine

import (
	"slices"
	"time"

	"fireflyshift/internal/quarantine/quarantinepb"
)

const (
	// tellFor is how long what is new is told again and again: long enough that lost messages do not matter.
	tellFor = 3 * time.Second
	// maxNews bounds the requests in a message that tells what is new, and maxAll in one that tells all: some 50 bytes each.
	maxNews = 16
	maxAll  = 64
	// maxName bounds the name of a workspace that another host tells.
	maxName = 128
)

// TellAllEvery is how often all that is known is told, for hosts that started, slept or were cut off.
const TellAllEvery = time.Second

// OwnNews are the words of what this host has newly seen itself.
func (l *Ledger) OwnNews(now time.Duration) []*quarantinepb.Suspect {
	return l.words(now, maxNews, func(c *Case) bool { return c.seen && now-c.seenAt <= tellFor })
}

// news are the words of what this host has newly seen or heard.
func (l *Ledger) news(now time.Duration) []*quarantinepb.Suspect {
	return l.words(now, maxNews, func(c *Case) bool { return now-c.changedAt <= tellFor })
}

// All are the words of what this host knows, the most telling first.
func (l *Ledger) All(now time.Duration) []*quarantinepb.Suspect {
	return l.words(now, maxAll, func(*Case) bool { return true })
}

// ForZones are the words for other zones: all now and then, and what is new here meanwhile, whoever saw it.
func (l *Ledger) ForZones(now time.Duration) []*quarantinepb.Suspect {
	if now < l.allZonesAt {
		return l.news(now)
	}
	l.allZonesAt = now + TellAllEvery
	return l.All(now)
}

func (l *Ledger) words(now time.Duration, most int, tell func(*Case) bool) []*quarantinepb.Suspect {
	var told []*Case
	for _, c := range l.cases {
		if tell(c) {
			told = append(told, c)
		}
	}
	slices.SortFunc(told, moreTelling)
	var out []*quarantinepb.Suspect
	for _, c := range told[:min(len(told), most)] {
		out = append(out, c.word(now))
	}
	return out
}

func (c *Case) word(now time.Duration) *quarantinepb.Suspect {
	s := &quarantinepb.Suspect{Digest: slices.Clone(c.Digest[:]), Workspace: c.Workspace}
	if c.Cleared {
		s.ClearedMs = age(now, c.ClearedAt) + 1
	}
	for _, e := range c.Ends {
		s.Ends = append(s.Ends, &quarantinepb.BackendEnd{Backend: e.Backend, AgeMs: age(now, e.At)})
	}
	return s
}

// age is how long ago a moment was, in milliseconds. Cases are forgotten long before it does not fit.
func age(now, at time.Duration) uint32 { return uint32(max(0, now-at).Milliseconds()) }

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Hear takes another host's words and reports whether they held news. What cannot be a word is left out.
func (l *Ledger) Hear(now time.Duration, list []*quarantinepb.Suspect) bool {
	news := false
	for _, s := range list[:min(len(list), maxAll)] {
		news = l.hear(now, s) || news
	}
	return news
}

func (l *Ledger) hear(now time.Duration, s *quarantinepb.Suspect) bool {
	var d Digest
	if len(s.Digest) != len(d) || len(s.Workspace) > maxName {
		return false
	}
	copy(d[:], s.Digest)
	news := false
	for _, e := range s.Ends {
		news = l.Ended(now, d, s.Workspace, End{Backend: e.Backend, At: now - millis(e.AgeMs)}) || news
	}
	if s.ClearedMs > 0 {
		news = l.Cleared(now, d, now-millis(s.ClearedMs-1)) || news
	}
	return news
}
