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

// ended notes that a backend server ended with some requests in flight.
func ended(l *Ledger, at time.Duration, backend uint32, requests ...string) {
	for _, name := range requests {
		l.Saw(at, digestOf(name), "school", End{backend, at})
	}
}

func blamed(l *Ledger, name string) bool { return l.Blamed(digestOf(name)) != nil }

// A request ends each backend server that runs it; others were beside it, as its callers' streams. It is shut out after
// the third end, and the others go on.
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

// One end is told by several hosts, of one request sent there by each: it is one end.
func TestOneEndCountsOnce(t *testing.T) {
	l := NewLedger()
	for i := range 5 {
		ended(l, time.Duration(i)*time.Second, 1, "popular")
	}
	require.False(t, blamed(l, "popular"))
}

// A popular request, the same each time, is at three backend servers that a rack takes with it. It runs elsewhere to a
// good end, also a moment later, so that its callers are not shut out.
func TestGoodEndClears(t *testing.T) {
	l := NewLedger()
	for b := range uint32(3) {
		ended(l, time.Second, b, "popular")
	}
	require.True(t, blamed(l, "popular"))
	require.True(t, l.Ran(1100*time.Millisecond, digestOf("popular")))
	require.False(t, blamed(l, "popular"))
	ended(l, 2*time.Second, 7, "popular")
	ended(l, 2*time.Second, 8, "popular")
	require.False(t, blamed(l, "popular"), "only ends after the good one count")
	require.False(t, l.Saw(3*time.Second, digestOf("popular"), "school", End{9, time.Second}), "an old end comes late")
}

// A popular request is beside the deadly one at every end, and is found at three ends as soon. While both were at the same
// ends nobody can tell; the next end without it shows who it is, and its callers are served again.
func TestBystanderIsFreeOnceTheCauseStandsOut(t *testing.T) {
	for _, deadly := range []string{"x", "y"} {
		popular := map[string]string{"x": "y", "y": "x"}[deadly]
		l := NewLedger()
		for b := range uint32(3) {
			ended(l, time.Second, b, deadly, popular)
		}
		require.NotEqual(t, blamed(l, deadly), blamed(l, popular), "one of them, as both explain all ends")
		ended(l, 2*time.Second, 9, deadly)
		require.True(t, blamed(l, deadly))
		require.False(t, blamed(l, popular))
	}
}

// Two deadly requests take turns, and a third request is beside them each time, so that it alone would explain all ends. Its
// next good end shows that it does not, and both causes are found.
func TestTwoCauses(t *testing.T) {
	l := NewLedger()
	for b := range uint32(6) {
		ended(l, time.Duration(b)*time.Second, b, []string{"x", "y"}[b%2], "beside")
	}
	require.True(t, blamed(l, "beside"))
	l.Ran(6*time.Second, digestOf("beside"))
	require.True(t, blamed(l, "x"))
	require.True(t, blamed(l, "y"))
	require.False(t, blamed(l, "beside"))
}

// What was blamed gets a chance after a minute, one at a time, and a longer wait with each end.
func TestTrials(t *testing.T) {
	l := NewLedger()
	for b := range uint32(3) {
		ended(l, time.Duration(b)*time.Second, b, "deadly")
	}
	c := l.Blamed(digestOf("deadly"))
	require.False(t, l.Try(2*time.Second+trialFirst-1, c, time.Second))
	require.True(t, l.Try(2*time.Second+trialFirst, c, time.Second))
	require.False(t, l.Try(2*time.Second+trialFirst, c, time.Second), "one at a time")
	ended(l, 62*time.Second, 4, "deadly")
	require.Equal(t, 62*time.Second+trialGrowth*62*time.Second, c.TrialAt())
	for b := range uint32(2 * maxEnds) {
		ended(l, time.Hour+time.Duration(b)*time.Second, 10+b, "deadly")
	}
	require.Len(t, c.Ends, maxEnds)
	require.Equal(t, time.Duration(0), c.Ends[0].At, "how long it has gone on is not forgotten")
}

// One workspace has many requests in flight at ends, on purpose. What is remembered stays bounded, the other workspaces'
// cases stay, and its own that tell more than others.
func TestMemoryIsBoundedByWorkspace(t *testing.T) {
	l := NewLedger()
	ended(l, 0, 1, "deadly")
	ended(l, 0, 2, "deadly", "lately")
	for i := range 3 * maxCases {
		l.Saw(time.Second, digestOf(fmt.Sprint("flood", i)), "flood", End{uint32(100 + i), time.Second})
	}
	l.Saw(time.Second, digestOf("worse"), "flood", End{3, time.Second})
	l.Saw(time.Second, digestOf("worse"), "flood", End{4, time.Second})
	for i := range 3 * maxCases {
		l.Saw(2*time.Second, digestOf(fmt.Sprint("more", i)), "flood", End{uint32(100 + i), time.Second})
	}
	require.Len(t, l.Cases(), maxOfWorkspace+2)
	require.NotNil(t, l.cases[digestOf("lately")], "another workspace's, though it tells least")
	ended(l, 2*time.Second, 3, "deadly")
	require.True(t, blamed(l, "deadly"))
	require.Len(t, l.Cases()[1].Ends, 2)
	for w := range 8 {
		for i := range maxOfWorkspace {
			l.Saw(3*time.Second, digestOf(fmt.Sprint(w, "/", i)), fmt.Sprint(w), End{uint32(i), 3 * time.Second})
		}
	}
	require.LessOrEqual(t, len(l.Cases()), maxCases)
	require.True(t, blamed(l, "deadly"))
}

// What is old is forgotten: a suspicion after an hour, a cause after a day.
func TestExpiry(t *testing.T) {
	l := NewLedger()
	ended(l, 0, 1, "deadly", "beside")
	ended(l, 0, 2, "deadly")
	ended(l, 0, 3, "deadly")
	l.Expire(suspectFor + 1)
	require.Len(t, l.Cases(), 1)
	l.Expire(blameFor + 1)
	require.True(t, l.Empty())
}

// Hosts hear of the same ends and good runs in any order, late and more than once. They must come to the same verdict, or
// callers would be refused at one host and served at another, and the deadly request would go on.
func TestVerdictDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var words []func(*Ledger)
		for range rapid.IntRange(1, 30).Draw(t, "words") {
			d := digestOf(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "request")))
			at := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")) * 2 * clearSlack
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				words = append(words, func(l *Ledger) { l.Cleared(time.Minute, d, at) })
				continue
			}
			e := End{uint32(rapid.IntRange(0, 8).Draw(t, "backend")), 0}
			e.At = time.Duration(e.Backend) * clearSlack // a backend server ends once
			words = append(words, func(l *Ledger) { l.Ended(time.Minute, d, "w", e) })
		}
		a, b := NewLedger(), NewLedger()
		other := slices.Concat(words, words)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "order"), 1))
		rng.Shuffle(len(other), func(i, j int) { other[i], other[j] = other[j], other[i] })
		for _, say := range slices.Concat(words, words) {
			say(a)
		}
		for _, say := range slices.Concat(other, words) {
			say(b)
		}
		for i := range 4 {
			require.Equal(t, a.Blamed(digestOf(fmt.Sprint(i))) != nil, b.Blamed(digestOf(fmt.Sprint(i))) != nil)
		}
	})
}

// A caller cannot word a request that is taken for another workspace's, or shift bytes between its parts.
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
