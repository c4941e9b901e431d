package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// plainVerdict is the rule in its plainest form: again and again the request at most ends that nothing explains yet, the first by
// digest among equals.
func plainVerdict(l *Ledger) map[Digest]bool {
	blamed, explained := map[Digest]bool{}, map[uint32]bool{}
	for {
		var worst *Case
		most := endsToBlame - 1
		for _, c := range l.cases {
			n := 0
			for _, e := range c.Ends {
				if !explained[e.Backend] {
					n++
				}
			}
			if !blamed[c.Digest] && (n > most || (n == most && worst != nil && byDigest(c, worst) < 0)) {
				worst, most = c, n
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

// The verdict is that of the rule in its plainest form, for any requests at any ends.
func TestVerdictFollowsTheRule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		for range rapid.IntRange(1, 120).Draw(t, "words") {
			name := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "request"))
			backend := rapid.Uint32Range(0, 25).Draw(t, "backend")
			ended(l, time.Duration(backend)*time.Second, backend, name)
		}
		want := plainVerdict(l)
		for d, c := range l.cases {
			require.Equal(t, want[d], c.blamed)
		}
	})
}

// fullLedger has as many requests as it remembers, four of four workspaces at the same three ends each.
func fullLedger() *Ledger {
	l := NewLedger()
	for w := range maxCases / maxOfWorkspace {
		for i := range maxOfWorkspace {
			for e := range endsToBlame {
				l.Saw(0, digestOf(fmt.Sprint(w, "/", i)), fmt.Sprint(w), End{uint32(e*1000 + i), time.Duration(e)})
			}
		}
	}
	return l
}

// Requests that were at the same ends explain them equally well; one of them is blamed, the same on all hosts.
func TestEqualsAreToldApartByDigest(t *testing.T) {
	l := fullLedger()
	require.Len(t, l.cases, maxCases)
	require.Len(t, l.Quarantined(), maxOfWorkspace)
}

// BenchmarkJudge is what an end costs the control thread at worst, in which no request is decided: half a second when cases
// were compared one by one.
func BenchmarkJudge(b *testing.B) {
	l := fullLedger()
	for b.Loop() {
		l.judge()
	}
}
