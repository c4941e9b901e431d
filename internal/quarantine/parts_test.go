package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func partOf(name string) Digest { return PartDigests([]string{name})[0] }

// endedWith records that a backend server ended with parts of prompts in flight there, as one of five requests.
func endedWith(l *Ledger, at time.Duration, backend uint32, samples map[string]Sample, parts ...string) {
	for _, name := range parts {
		l.Observe(at, Subject{Kind: Part, Digest: partOf(name), Workspace: "school", Sample: samples[name]}, End{Backend: backend, At: at, InFlight: 5})
	}
}

func partBlamed(l *Ledger, name string) bool { return l.Blamed(partOf(name)) != nil }

// Guards against the wider of two suspects: the part that all prompts share was in flight at all ends too, and at one more.
func TestPartThatAllShareIsNotBlamed(t *testing.T) {
	l := NewLedger()
	samples := map[string]Sample{"system": {990, 1000}, "caller": {100, 1000}, "deadly": {0, 1000}}
	endedWith(l, 0, 99, samples, "system", "caller")
	for b := range uint32(minPartEndsToBlame) {
		require.False(t, partBlamed(l, "deadly"))
		endedWith(l, time.Duration(b)*time.Second, b, samples, "system", "caller", "deadly")
	}
	require.True(t, partBlamed(l, "deadly"))
	require.False(t, partBlamed(l, "system"))
	require.False(t, partBlamed(l, "caller"))
}

// Guards against verdicts of a host that has just started and knows no completed runs: to it, all parts look as if they were
// seldom used.
func TestStartedHostBlamesNoPart(t *testing.T) {
	l := NewLedger()
	for b := range uint32(maxEnds) {
		endedWith(l, time.Duration(b)*time.Second, b, nil, "system")
	}
	require.False(t, partBlamed(l, "system"))
	l.LearnRuns(time.Minute, partOf("system"), Sample{0, 1000}, 0, false)
	require.True(t, partBlamed(l, "system"), "with another host's knowledge")
}

// Guards against a part that stays blamed although a request with it completes.
func TestCompletedRunClearsAPart(t *testing.T) {
	l := NewLedger()
	samples := map[string]Sample{"rare": {0, 1000}}
	for b := range uint32(minPartEndsToBlame) {
		endedWith(l, time.Duration(b)*time.Second, b, samples, "rare")
	}
	require.True(t, partBlamed(l, "rare"))
	require.True(t, l.ObserveSuccess(time.Minute, partOf("rare"), time.Minute))
	require.False(t, partBlamed(l, "rare"))
	for b := range uint32(minPartEndsToBlame) {
		endedWith(l, time.Minute+time.Duration(b+1)*time.Second, 20+b, samples, "rare")
	}
	require.False(t, partBlamed(l, "rare"), "a part that has completed takes more ends")
	for b := range uint32(2) {
		endedWith(l, 2*time.Minute+time.Duration(b)*time.Second, 30+b, samples, "rare")
	}
	require.True(t, partBlamed(l, "rare"))
}

// Guards against one request with several ends that hides the part it shares with others.
func TestPartExplainsItsRequests(t *testing.T) {
	l := NewLedger()
	samples := map[string]Sample{"deadly": {0, 1000}}
	for b := range uint32(6) {
		at := time.Duration(b) * time.Second
		ended(l, at, b, fmt.Sprint("request", b/3))
		endedWith(l, at, b, samples, "deadly")
	}
	require.True(t, partBlamed(l, "deadly"))
	require.False(t, blamed(l, "request0"))
	require.False(t, blamed(l, "request1"))
}

// Guards against a host that reports many suspects at once and never gets to the one that counts.
func TestAllChangesAreToldInTurn(t *testing.T) {
	a, b := NewLedger(), NewLedger()
	for i := range uint32(10 * maxChanged) {
		endedWith(a, time.Second, i, nil, fmt.Sprint("part", i))
	}
	for at := time.Second; at < time.Second+announceDuration; at += 25 * time.Millisecond {
		list := a.OwnChanges(at)
		require.LessOrEqual(t, len(list), maxChanged)
		b.Merge(at, list)
	}
	require.Len(t, b.Cases(), 10*maxChanged)
}

// Guards against callers who make up parts: the record of completed runs stays bounded, and popular parts stay known.
func TestRunHistoryIsBounded(t *testing.T) {
	var h RunHistory
	for i := range 20_000 {
		parts := []Digest{partOf("system")}
		for p := range 31 {
			parts = append(parts, partOf(fmt.Sprint(i, "/", p)))
		}
		h.Record(time.Duration(i), parts)
		require.LessOrEqual(t, len(h.newer.parts)+len(h.older.parts), 2*(maxGenerationParts+32))
	}
	sample := h.Sample(partOf("system"))
	require.Equal(t, sample.Of, sample.With)
	require.Greater(t, sample.Of, 100)
	last, any := h.LastRun(partOf("system"))
	require.True(t, any)
	require.Equal(t, time.Duration(19_999), last)
}

// Hosts learn of the ends and samples of parts in any order, late and more than once. They must reach the same verdict.
func TestVerdictOnPartsDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []func(*Ledger)
		for range rapid.IntRange(1, 60).Draw(t, "reports") {
			s := Subject{Kind: Part, Digest: partOf(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "part"))), Workspace: "w"}
			if rapid.Bool().Draw(t, "request") {
				s = Subject{Digest: digestOf(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "number"))), Workspace: "w"}
			} else {
				s.Sample.Of = rapid.IntRange(0, 300).Draw(t, "runs")
				s.Sample.With = rapid.IntRange(0, s.Sample.Of).Draw(t, "with")
			}
			backend := rapid.Uint32Range(0, 12).Draw(t, "backend")
			e := End{Backend: backend, At: time.Duration(backend) * clearSlack, InFlight: rapid.IntRange(0, 9).Draw(t, "in flight")}
			reports = append(reports, func(l *Ledger) { l.RecordEnd(time.Minute, s, e) })
		}
		a, b := NewLedger(), NewLedger()
		other := slices.Clone(reports)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		for _, report := range reports {
			report(a)
		}
		for _, report := range slices.Concat(other, other) {
			report(b)
		}
		for d, c := range a.cases {
			require.Equal(t, c.blamed, b.cases[d].blamed)
		}
	})
}
