package quarantine

import (
	"cmp"
	"slices"
)

// assignBlame blames the fewest requests that explain the ends: first the one that was in flight at most of them, the
// next by what that leaves unexplained. A bystander that was in flight together with the cause at all ends so far is
// released as soon as an end occurs with the cause in flight and without the bystander; until then, digest order
// decides between equals.
//
// It runs on the control thread, and callers can fill the ledger. Except for choosing the next cause, its work is
// proportional to the number of ends.
func (l *Ledger) assignBlame() {
	var suspects []*Case
	for _, c := range l.cases {
		c.blamed = false
		if len(c.Ends) >= minEndsToBlame {
			suspects = append(suspects, c)
		}
	}
	slices.SortFunc(suspects, byDigest) // the same on all hosts
	ends := l.groupEnds(suspects)
	unexplained, endsOf := make([]int, len(suspects)), make([][]int, len(suspects))
	for e, at := range ends {
		for _, i := range at {
			unexplained[i]++
			endsOf[i] = append(endsOf[i], e)
		}
	}
	for {
		worst := indexOfMax(unexplained)
		if worst < 0 || unexplained[worst] < minEndsToBlame {
			return
		}
		suspects[worst].blamed = true
		for _, e := range endsOf[worst] {
			for _, i := range ends[e] {
				unexplained[i]--
			}
			ends[e] = nil
		}
	}
}

// indexOfMax returns the first index of the greatest number, or -1 for an empty list.
func indexOfMax(numbers []int) int {
	best := -1
	for i, n := range numbers {
		if best < 0 || n > numbers[best] {
			best = i
		}
	}
	return best
}

// groupEnds groups the cases by end: each element holds the indices of the cases that were in flight at that end. Times
// reported for one end may differ by up to sameEndWithin.
func (l *Ledger) groupEnds(cases []*Case) [][]int {
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
	var out [][]int
	var first End
	for _, p := range all {
		if len(out) == 0 || p.Backend != first.Backend || p.At-first.At > l.sameEndWithin {
			first = p.End
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], p.index)
	}
	return out
}
