package quarantine

import (
	"cmp"
	"slices"
)

// judge blames the fewest requests that explain the ends: the one that was at most of them first, the next by what that
// leaves unexplained. A request that was beside the cause each time is at fewer ends than the cause as soon as either
// comes without the other, and is then free; where both were at the same ends, the next one decides.
//
// It runs on the control thread, and callers can fill the ledger: but for the choice of the next cause, its work is in
// proportion to the ends.
func (l *Ledger) judge() {
	var open []*Case
	for _, c := range l.cases {
		c.blamed = false
		if len(c.Ends) >= endsToBlame {
			open = append(open, c)
		}
	}
	slices.SortFunc(open, byDigest) // the same on all hosts
	ends := l.sameEnds(open)
	unexplained, endsOf := make([]int, len(open)), make([][]int, len(open))
	for e, at := range ends {
		for _, i := range at {
			unexplained[i]++
			endsOf[i] = append(endsOf[i], e)
		}
	}
	for {
		worst := mostOf(unexplained)
		if worst < 0 || unexplained[worst] < endsToBlame {
			return
		}
		open[worst].blamed = true
		for _, e := range endsOf[worst] {
			for _, i := range ends[e] {
				unexplained[i]--
			}
			ends[e] = nil
		}
	}
}

// mostOf is the first place of the greatest number; negative where there is none.
func mostOf(numbers []int) int {
	most := -1
	for i, n := range numbers {
		if most < 0 || n > numbers[most] {
			most = i
		}
	}
	return most
}

// sameEnds are the ends of some cases, each once, with the places of the cases that were at it. Words of one end may differ by a
// moment.
func (l *Ledger) sameEnds(cases []*Case) [][]int {
	type place struct {
		End
		of int
	}
	var all []place
	for i, c := range cases {
		for _, e := range c.Ends {
			all = append(all, place{e, i})
		}
	}
	slices.SortFunc(all, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.At, b.At), cmp.Compare(a.of, b.of))
	})
	var out [][]int
	var first End
	for _, p := range all {
		if len(out) == 0 || p.Backend != first.Backend || p.At-first.At > l.oneEnd {
			first = p.End
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], p.of)
	}
	return out
}
