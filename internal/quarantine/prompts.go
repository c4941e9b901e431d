package quarantine

import (
	"time"

	"fireflyshift/internal/quarantine/quarantinepb"
)

// PromptRuns records, for each service, which parts of prompts its completed runs had. It adds that to a ledger where the ledger
// learns of ends with these parts in flight.
type PromptRuns struct{ services map[string]*serviceRuns }

type serviceRuns struct {
	digest  Digest
	history RunHistory
}

// NewPromptRuns returns an empty record.
func NewPromptRuns() *PromptRuns { return &PromptRuns{map[string]*serviceRuns{}} }

func (p *PromptRuns) of(service string) *serviceRuns {
	s := p.services[service]
	if s == nil {
		s = &serviceRuns{digest: ServiceDigest(service)}
		p.services[service] = s
	}
	return s
}

// PartsAt returns the digests of parts of a prompt at a service, under which the ledger has them.
func (p *PromptRuns) PartsAt(service string, parts []Digest) []Digest {
	if len(parts) == 0 {
		return nil
	}
	of := p.of(service).digest
	out := make([]Digest, len(parts))
	for i, d := range parts {
		out[i] = d.At(of)
	}
	return out
}

// Record adds a completed run with the given parts at its service, and reports whether that may change a verdict.
func (p *PromptRuns) Record(l *Ledger, now time.Duration, service string, partsAt []Digest) bool {
	p.of(service).history.Record(now, partsAt)
	changed := false
	for _, d := range partsAt {
		changed = l.ObserveSuccess(now, d, now) || changed
	}
	return changed
}

// ObserveEnd records the end of a backend server with the given parts in flight there, and reports whether that changed anything.
func (p *PromptRuns) ObserveEnd(l *Ledger, now time.Duration, service, workspace string, partsAt []Digest, end End) bool {
	changed, history := false, &p.of(service).history
	for _, d := range partsAt {
		sample := history.Sample(d)
		if l.Observe(now, Subject{Kind: Part, Digest: d, Workspace: workspace, Sample: sample}, end) {
			last, any := history.LastRun(d)
			l.LearnRuns(now, d, sample, last, any)
			changed = true
		}
	}
	return changed
}

// Merge applies another host's message to a ledger, adds what this host knows of the completed runs with its parts, and reports
// whether that changed anything.
func (p *PromptRuns) Merge(l *Ledger, now time.Duration, list []*quarantinepb.Suspect) bool {
	changed := l.Merge(now, list)
	for _, s := range list[:min(len(list), maxFull)] {
		if s.Part && len(s.Digest) == len(Digest{}) {
			changed = p.learn(l, now, Digest(s.Digest)) || changed
		}
	}
	return changed
}

func (p *PromptRuns) learn(l *Ledger, now time.Duration, d Digest) bool {
	for _, s := range p.services {
		if last, any := s.history.LastRun(d); any { // the digest is that of a part at one service
			return l.LearnRuns(now, d, s.history.Sample(d), last, true)
		}
	}
	return false
}
