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

func digestOf(name string) Digest { return Identity{Target: name}.Digest() }

// ended records that a backend server ended with the given requests in flight.
func ended(l *Ledger, at time.Duration, backend uint32, requests ...string) {
	for _, name := range requests {
		l.Observe(at, Subject{Digest: digestOf(name), Workspace: "school"}, End{Backend: backend, At: at})
	}
}

func blamed(l *Ledger, name string) bool { return l.Blamed(digestOf(name)) != nil }

// A request crashes each backend server that runs it, with different requests in flight beside it. It is blamed after
// the third end, and the others are not.
func TestCauseOfThreeEndsIsBlamed(t *testing.T) {
	l := NewLedger()
	ended(l, 1*time.Second, 1, "deadly", "a", "b")
	ended(l, 2*time.Second, 2, "deadly", "c")
	require.False(t, blamed(l, "deadly"))
	ended(l, 3*time.Second, 3, "deadly", "a")
	require.True(t, blamed(l, "deadly"))
	for _, name := range []string{"a", "b", "c"} {
		require.False(t, blamed(l, name))
	}
}

// Several hosts report one end with the same request in flight at each: that counts as one end.
func TestOneEndCountsOnce(t *testing.T) {
	l := NewLedger()
	for i := range 5 {
		ended(l, time.Duration(i)*time.Second, 1, "popular")
	}
	require.False(t, blamed(l, "popular"))
}

// A request that many callers send is in flight on three backend servers that are lost with a rack. It completes
// elsewhere a moment later, and its callers must not be shut out.
func TestGoodEndClears(t *testing.T) {
	l := NewLedger()
	for b := range uint32(3) {
		ended(l, time.Second, b, "popular")
	}
	require.True(t, blamed(l, "popular"))
	require.True(t, l.ObserveSuccess(1100*time.Millisecond, digestOf("popular"), 1100*time.Millisecond))
	require.False(t, blamed(l, "popular"))
	ended(l, 2*time.Second, 7, "popular")
	ended(l, 2*time.Second, 8, "popular")
	require.False(t, blamed(l, "popular"), "only ends after the completed run count")
	require.False(t, l.Observe(3*time.Second, Subject{Digest: digestOf("popular"), Workspace: "school"}, End{Backend: 9, At: time.Second}), "an end from before the completed run arrives late")
}

// A popular request is in flight beside the crashing one at every end, and so reaches three ends as early. While both
// were in flight at the same ends, either may be the cause; the next end without the popular one decides, and its
// callers are served again.
func TestBystanderIsFreeOnceTheCauseStandsOut(t *testing.T) {
	for _, deadly := range []string{"x", "y"} {
		popular := map[string]string{"x": "y", "y": "x"}[deadly]
		l := NewLedger()
		for b := range uint32(3) {
			ended(l, time.Second, b, deadly, popular)
		}
		require.NotEqual(t, blamed(l, deadly), blamed(l, popular), "exactly one is blamed, as both explain all ends")
		ended(l, 2*time.Second, 9, deadly)
		require.True(t, blamed(l, deadly))
		require.False(t, blamed(l, popular))
	}
}

// Two crashing requests alternate, and a third one is in flight beside them each time, so that it alone would explain
// all ends. Once it completes it is released, and both causes are found.
func TestTwoCauses(t *testing.T) {
	l := NewLedger()
	for b := range uint32(6) {
		ended(l, time.Duration(b)*time.Second, b, []string{"x", "y"}[b%2], "beside")
	}
	require.True(t, blamed(l, "beside"))
	l.ObserveSuccess(6*time.Second, digestOf("beside"), 6*time.Second)
	require.True(t, blamed(l, "x"))
	require.True(t, blamed(l, "y"))
	require.False(t, blamed(l, "beside"))
}

// A blamed request gets a trial after a minute, one at a time, and the delay grows with each further end.
func TestTrials(t *testing.T) {
	l := NewLedger()
	for b := range uint32(3) {
		ended(l, time.Duration(b)*time.Second, b, "deadly")
	}
	c := l.Blamed(digestOf("deadly"))
	require.False(t, l.TakeTrial(2*time.Second+minTrialDelay-1, c, time.Second))
	require.True(t, l.TakeTrial(2*time.Second+minTrialDelay, c, time.Second))
	require.False(t, l.TakeTrial(2*time.Second+minTrialDelay, c, time.Second), "one at a time")
	ended(l, 62*time.Second, 4, "deadly")
	require.Equal(t, 62*time.Second+trialBackoff*62*time.Second, c.TrialAt())
	for b := range uint32(2 * maxEnds) {
		ended(l, time.Hour+time.Duration(b)*time.Second, 10+b, "deadly")
	}
	require.Len(t, c.Ends, maxEnds)
	require.Equal(t, time.Duration(0), c.Ends[0].At, "the first end is kept")
}

// One workspace deliberately has many requests in flight at ends. Memory stays bounded, the cases of other workspaces
// stay, and so do the workspace's own cases with the most ends.
func TestMemoryIsBoundedByWorkspace(t *testing.T) {
	l := NewLedger()
	ended(l, 0, 1, "deadly")
	ended(l, 0, 2, "deadly", "lately")
	for i := range 3 * maxCases {
		l.Observe(time.Second, Subject{Digest: digestOf(fmt.Sprint("flood", i)), Workspace: "flood"}, End{Backend: uint32(100 + i), At: time.Second})
	}
	l.Observe(time.Second, Subject{Digest: digestOf("worse"), Workspace: "flood"}, End{Backend: 3, At: time.Second})
	l.Observe(time.Second, Subject{Digest: digestOf("worse"), Workspace: "flood"}, End{Backend: 4, At: time.Second})
	for i := range 3 * maxCases {
		l.Observe(2*time.Second, Subject{Digest: digestOf(fmt.Sprint("more", i)), Workspace: "flood"}, End{Backend: uint32(100 + i), At: time.Second})
	}
	require.Len(t, l.Cases(), maxCasesPerWorkspace+2)
	require.NotNil(t, l.cases[digestOf("lately")], "a case of another workspace, though the least relevant")
	ended(l, 2*time.Second, 3, "deadly")
	require.True(t, blamed(l, "deadly"))
	require.Len(t, l.Cases()[1].Ends, 2)
	for w := range 8 {
		for i := range maxCasesPerWorkspace {
			l.Observe(3*time.Second, Subject{Digest: digestOf(fmt.Sprint(w, "/", i)), Workspace: fmt.Sprint(w)}, End{Backend: uint32(i), At: 3 * time.Second})
		}
	}
	require.LessOrEqual(t, len(l.Cases()), maxCases)
	require.True(t, blamed(l, "deadly"))
}

// Cases expire: suspects after an hour, causes after a day.
func TestExpiry(t *testing.T) {
	l := NewLedger()
	ended(l, 0, 1, "deadly", "beside")
	ended(l, 0, 2, "deadly")
	ended(l, 0, 3, "deadly")
	l.Expire(suspectTTL + 1)
	require.Len(t, l.Cases(), 1)
	l.Expire(blameTTL + 1)
	require.True(t, l.Empty())
}

// Hosts learn of the same ends and completed runs in any order, late and more than once. They must reach the same
// verdict; otherwise callers would be refused at one host and served at another, and the crashing request would go on.
func TestVerdictDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []func(*Ledger)
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			d := digestOf(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * 2 * clearSlack
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				reports = append(reports, func(l *Ledger) { l.RecordSuccess(time.Minute, d, at) })
				continue
			}
			e := End{Backend: uint32(rapid.IntRange(0, 8).Draw(t, "backend"))}
			e.At = time.Duration(e.Backend) * clearSlack // a backend server ends once
			reports = append(reports, func(l *Ledger) { l.RecordEnd(time.Minute, Subject{Digest: d, Workspace: "w"}, e) })
		}
		a, b := NewLedger(), NewLedger()
		other := slices.Concat(reports, reports)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		for _, report := range slices.Concat(reports, reports) {
			report(a)
		}
		for _, report := range slices.Concat(other, reports) {
			report(b)
		}
		for i := range 4 {
			require.Equal(t, a.Blamed(digestOf(fmt.Sprint(i))) != nil, b.Blamed(digestOf(fmt.Sprint(i))) != nil)
		}
	})
}

// A caller cannot craft a request that collides with one of another workspace, or shift bytes between the parts of an
// identity.
func TestDigestsDiffer(t *testing.T) {
	base := Identity{Workspace: "a", Method: "POST", Host: "h", Target: "/x", Body: []byte("yz"), Length: 2}
	seen := map[Digest]bool{base.Digest(): true}
	for _, change := range []func(*Identity){
		func(id *Identity) { id.Workspace = "b" },
		func(id *Identity) { id.Method = "GET" },
		func(id *Identity) { id.Host = "g" },
		func(id *Identity) { id.Target, id.Body = "/xy", []byte("z") },
		func(id *Identity) { id.Body = []byte("yy") },
		func(id *Identity) { id.Length = 3 },
	} {
		id := base
		change(&id)
		require.False(t, seen[id.Digest()])
		seen[id.Digest()] = true
	}
}
