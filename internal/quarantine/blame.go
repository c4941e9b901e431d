package quarantine

import (
	"cmp"
	"math"
	"slices"
)

const (
	// endWeight is the weight of an end that counts in full.
	endWeight = 1000
	// fullWeightChance is the probability, of a part being in flight at an end by chance, below which the end counts in full.
	fullWeightChance = 0.1
	// completedPartWeight is the most that an end counts against a part that has completed before, as far as is known.
	completedPartWeight = 750
	// maxInFlight limits how many requests are taken to be in flight at an end.
	maxInFlight = 64
)

// minWeight is the weight of unexplained ends from which a case is blamed.
func (s *Subject) minWeight() int {
	if s.Kind == Part {
		return minPartEndsToBlame * endWeight
	}
	return minEndsToBlame * endWeight
}

// weight returns how much an end tells against a case, up to endWeight. A request is one caller's. A part that many requests
// share is in flight at most ends whatever their cause, so an end counts by how unlikely that is.
func (c *Case) weight(e End) int {
	w := c.Subject.weight(e)
	if c.Kind == Part && c.Cleared {
		w = min(w, completedPartWeight)
	}
	return w
}

func (s *Subject) weight(e End) int {
	if s.Kind == Request {
		return endWeight
	}
	absent := math.Pow(1-s.Sample.share(), float64(min(max(e.InFlight, 1), maxInFlight)))
	return min(endWeight, int(endWeight*math.Log(1-absent)/math.Log(fullWeightChance)))
}

// minRunsToIgnore is how many completed runs with a part a host must know to ignore its ends.
const minRunsToIgnore = 4

// beyondBlame reports whether a part is so popular that it could not be blamed with any number of such ends.
func (s *Subject) beyondBlame(e End) bool {
	return s.Kind == Part && s.Sample.With >= minRunsToIgnore && s.weight(e)*maxEnds < s.minWeight()
}

// assignBlame blames the fewest requests and parts that explain the ends: first the one with the greatest weight of ends, the
// next by what that leaves unexplained. A bystander that was in flight together with the cause at all ends so far is
// released as soon as an end occurs with the cause in flight and without the bystander. Until then, of two that explain as
// much the one that fewer requests have is blamed: a request before a part, the part with fewer runs; digest order decides
// between equals.
//
// It runs on the control thread, and callers can fill the ledger. Except for choosing the next cause, its work is
// proportional to the number of ends.
func (l *Ledger) assignBlame() {
	defer l.listQuarantined()
	var suspects []*Case
	for _, c := range l.cases {
		c.blamed = false
		if len(c.Ends)*endWeight >= c.minWeight() {
			suspects = append(suspects, c)
		}
	}
	slices.SortFunc(suspects, byExtent) // the same on all hosts
	ends := l.groupEnds(suspects)
	unexplained, endsOf := make([]int, len(suspects)), make([][]int, len(suspects))
	for e, at := range ends {
		for _, p := range at {
			unexplained[p.index] += p.weight
			endsOf[p.index] = append(endsOf[p.index], e)
		}
	}
	for {
		worst := worstCause(suspects, unexplained)
		if worst < 0 {
			return
		}
		suspects[worst].blamed = true
		for _, e := range endsOf[worst] {
			for _, p := range ends[e] {
				unexplained[p.index] -= p.weight
			}
			ends[e] = nil
		}
	}
}

// byExtent orders cases by how many requests the verdict would refuse, as far as is known: requests before parts.
func byExtent(a, b *Case) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Sample.share(), b.Sample.share()), byDigest(a, b))
}

// worstCause returns the first index of the greatest weight among those that suffice for blame, or -1 if there is none.
func worstCause(suspects []*Case, unexplained []int) int {
	worst := -1
	for i, w := range unexplained {
		if w >= suspects[i].minWeight() && (worst < 0 || w > unexplained[worst]) {
			worst = i
		}
	}
	return worst
}

// presence is that a case was in flight at an end, with the weight of that.
type presence struct{ index, weight int }

// groupEnds groups the cases by end: each element holds the cases that were in flight at that end. Times
// reported for one end may differ by up to sameEndWithin.
func (l *Ledger) groupEnds(cases []*Case) [][]presence {
	type caseEnd struct {
		End
		index int
	}
	var all []caseEnd
	for i, c := range cases {
		for _, e := range c.Ends {
			all = append(all, caseEnd{e, i})
		}
	}
	slices.SortFunc(all, func(a, b caseEnd) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.At, b.At), cmp.Compare(a.index, b.index))
	})
	var out [][]presence
	var first End
	for _, p := range all {
		if len(out) == 0 || p.Backend != first.Backend || p.At-first.At > l.sameEndWithin {
			first = p.End
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], presence{p.index, cases[p.index].weight(p.End)})
	}
	return out
}
