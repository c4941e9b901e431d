package quarantine

import "time"

const (
	// maxGenerationRuns and maxGenerationParts limit what one generation of a run history holds. Two generations take about half
	// a megabyte for each service, whatever parts callers make up.
	maxGenerationRuns  = 2048
	maxGenerationParts = 4096
)

// RunHistory records which parts of prompts the completed runs of one service had. It holds the latest runs, in two
// generations: when the newer one is full, the older one is dropped.
type RunHistory struct{ newer, older generation }

type generation struct {
	runs  int
	parts map[Digest]partRuns
}

type partRuns struct {
	count int
	last  time.Duration
}

// Sample is how many completed runs had a part, of how many.
type Sample struct{ With, Of int }

// share estimates the fraction of a service's runs that have the part. It is positive also if none had it: the fewer runs
// are known, the less that says.
func (s Sample) share() float64 { return (float64(s.With) + 0.5) / (float64(s.Of) + 1) }

// Record adds a completed run.
func (h *RunHistory) Record(now time.Duration, parts []Digest) {
	if h.newer.runs >= maxGenerationRuns || len(h.newer.parts) >= maxGenerationParts {
		h.older, h.newer = h.newer, generation{}
	}
	if h.newer.parts == nil {
		h.newer.parts = map[Digest]partRuns{}
	}
	h.newer.runs++
	for _, d := range parts {
		h.newer.parts[d] = partRuns{h.newer.parts[d].count + 1, now}
	}
}

// Sample returns how many of the recorded runs had a part.
func (h *RunHistory) Sample(d Digest) Sample {
	return Sample{h.newer.parts[d].count + h.older.parts[d].count, h.newer.runs + h.older.runs}
}

// LastRun returns when the latest recorded run with a part completed, and false if there is none.
func (h *RunHistory) LastRun(d Digest) (time.Duration, bool) {
	if p, ok := h.newer.parts[d]; ok {
		return p.last, true
	}
	p, ok := h.older.parts[d]
	return p.last, ok
}
