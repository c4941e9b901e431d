package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// referenceVerdict is the rule in its simplest form: repeatedly blame the request with the most unexplained ends, the
// lowest digest among equals.
func referenceVerdict(l *Ledger) map[Digest]bool {
	blamed, explained := map[Digest]bool{}, map[uint32]bool{}
	for {
		var worst *Case
		highest := minEndsToBlame - 1
		for _, c := range l.cases {
			n := 0
			for _, e := range c.Ends {
				if !explained[e.Backend] {
					n++
				}
			}
			if !blamed[c.Digest] && (n > highest || (n == highest && worst != nil && byDigest(c, worst) < 0)) {
				worst, highest = c, n
			}
		}
		if worst == nil {
			return blamed
		}
		blamed[worst.Digest] = true
		for _, e := range worst.Ends {
			explained[e.Backend] = true
		}
	}
}

// The verdict matches the reference for any combination of requests and ends.
func TestVerdictFollowsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		for range rapid.IntRange(1, 120).Draw(t, "words") {
			name := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "request"))
			backend := rapid.Uint32Range(0, 25).Draw(t, "backend")
			ended(l, time.Duration(backend)*time.Second, backend, name)
		}
		want := referenceVerdict(l)
		for d, c := range l.cases {
			require.Equal(t, want[d], c.blamed)
		}
	})
}

// fullLedger returns a ledger at its capacity, in groups of four requests, one of each of four workspaces, that share
// the same three ends.
func fullLedger() *Ledger {
	l := NewLedger()
	for w := range maxCases / maxCasesPerWorkspace {
		for i := range maxCasesPerWorkspace {
			for e := range minEndsToBlame {
				l.Observe(0, Subject{Digest: digestOf(fmt.Sprint(w, "/", i)), Workspace: fmt.Sprint(w)}, End{Backend: uint32(e*1000 + i), At: time.Duration(e)})
			}
		}
	}
	return l
}

// Requests that were in flight at the same ends explain them equally well; exactly one is blamed, and the same one on
// all hosts.
func TestExactlyOneOfEqualCausesIsBlamed(t *testing.T) {
	l := fullLedger()
	require.Len(t, l.cases, maxCases)
	require.Len(t, l.Quarantined(), maxCasesPerWorkspace)
}

// BenchmarkJudge measures the worst-case cost of one end on the control thread, which makes no other decision
// meanwhile. Comparing the cases pairwise took half a second.
func BenchmarkJudge(b *testing.B) {
	l := fullLedger()
	for b.Loop() {
		l.assignBlame()
	}
}
