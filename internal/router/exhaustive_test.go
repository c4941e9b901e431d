package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// lifecycle tracks one request through the reducer, as its caller and the backend servers see it.
type lifecycle struct {
	b        *fixture
	route    *routing.Route
	mayRun   int // dispatches that may have run
	runs     int // all dispatches except those proved not to have run
	answered bool
	inFlight bool
	sends    int
	// bodySpent is set once a part of the body that is not kept may have been sent.
	bodySpent bool
}

// verify checks the effects of one event.
func (l *lifecycle) verify(path string, list []Effect) {
	for _, e := range list {
		switch e.(type) {
		case Dispatch:
			require.False(l.b.t, l.answered || l.inFlight, "%s: dispatched though answered or under way", path)
			require.False(l.b.t, l.mayRun > 0 && !l.route.Repeatable(), "%s: runs again", path)
			require.False(l.b.t, l.bodySpent, "%s: sent again without its body", path)
			l.inFlight = true
			l.sends++
			l.runs++
			l.mayRun++
		case Refuse:
			require.False(l.b.t, l.answered, "%s: answered twice", path)
			require.Zero(l.b.t, l.mayRun, "%s: refused as not run", path)
			l.answered = true
		case GiveUp:
			require.False(l.b.t, l.answered, "%s: answered twice", path)
			l.answered = true
		}
	}
	require.LessOrEqual(l.b.t, l.runs, l.route.MaxAttempts, "%s: more runs than the route allows", path)
	require.LessOrEqual(l.b.t, l.sends, maxSends, path)
}

// allDispatchEnds returns all ways in which a dispatch can end.
func allDispatchEnds() []DispatchEnded {
	var out []DispatchEnded
	for o := Answered; o <= Canceled; o++ {
		out = append(out, DispatchEnded{Outcome: o}, DispatchEnded{Outcome: o, Fault: true})
		if o == Broken {
			out = append(out, DispatchEnded{Outcome: o, Delivered: true}, DispatchEnded{Outcome: o, Delivered: true, Fault: true})
		}
		if o != NotSent {
			out = append(out, DispatchEnded{Outcome: o, BodySpent: true})
		}
	}
	return out
}

// step is one event in the life of a request.
type step struct {
	name string
	do   func(l *lifecycle) []Effect
}

func steps() []step {
	var out []step
	for _, end := range allDispatchEnds() {
		out = append(out, step{fmt.Sprintf("%d,%t,%t,%t", end.Outcome, end.Delivered, end.Fault, end.BodySpent), func(l *lifecycle) []Effect {
			if !l.inFlight {
				return nil
			}
			l.inFlight = false
			l.bodySpent = end.BodySpent
			switch end.Outcome {
			case NotSent, Rejected, WrongInstance:
				l.mayRun--
				l.runs--
			case Answered, Canceled:
				l.answered = true
			}
			end.ID = 1
			return l.b.post(end)
		}})
	}
	out = append(out,
		step{"stalled", func(l *lifecycle) []Effect { return l.b.post(Stalled{ID: 1}) }},
		step{"late", func(l *lifecycle) []Effect { l.b.now += 4 * time.Second; return l.b.post(Tick{}) }},
		step{"gone", func(l *lifecycle) []Effect { l.answered = true; l.inFlight = false; return l.b.post(CallerLeft{ID: 1}) }})
	return out
}

// Every sequence of up to four events for a request of each kind, with three engines: no second answer, no run beyond
// the limit, and "not run" only if proved. The reducer decides alike for longer sequences through the same states.
func TestEveryShortHistoryOfARequest(t *testing.T) {
	t.Parallel()
	const depth = 4
	all := steps()
	routes := []*routing.Route{
		{Name: "idempotent", Kind: routing.Idempotent, MaxAttempts: 2},
		{Name: "once", Kind: routing.NonIdempotent, MaxAttempts: 3},
		{Name: "stream", Kind: routing.Streaming, MaxAttempts: 2, Resumable: true},
		{Name: "fragile", Kind: routing.Streaming, MaxAttempts: 2},
	}
	sequences := 0
	for _, route := range routes {
		route.Shares = []routing.Share{{Service: "m", Weight: 1}}
		var walk func(path []int)
		walk = func(path []int) {
			l := &lifecycle{b: newFixture(t, 3), route: route}
			name := route.Name
			l.verify(name, l.b.post(Submit{ID: 1, Route: route, Deadline: l.b.now + 10*time.Second}))
			for _, i := range path {
				name += " " + all[i].name
				l.verify(name, all[i].do(l))
			}
			sequences++
			if l.answered {
				require.False(t, l.inFlight, "%s: answered while under way", name)
				require.Zero(t, l.b.r.Requests(), "%s: kept after its answer", name)
				require.Zero(t, l.b.held(), "%s: a place is held after its answer", name)
				return
			}
			require.True(t, l.inFlight, "%s: neither answered nor under way", name)
			if len(path) == depth {
				return
			}
			for i := range all {
				walk(append(path[:len(path):len(path)], i))
			}
		}
		walk(nil)
	}
	t.Logf("%d sequences", sequences)
}

// permute calls f with every permutation of n indices.
func permute(n int, f func(order []int)) {
	order := make([]int, 0, n)
	used := make([]bool, n)
	var next func()
	next = func() {
		if len(order) == n {
			f(order)
			return
		}
		for i := range used {
			if used[i] {
				continue
			}
			used[i] = true
			order = append(order, i)
			next()
			order = order[:len(order)-1]
			used[i] = false
		}
	}
	next()
}

// Six updates reach a host in every order, from the store and from peers, each twice. The state in force never goes
// back and ends the same.
func TestEveryOrderOfUpdates(t *testing.T) {
	t.Parallel()
	config := func(v uint64) routing.Changes { return routing.Changes{Config: &routing.Config{Version: v}} }
	backend := func(rev uint64, removed bool) routing.Changes {
		return routing.Changes{Backends: []routing.BackendChange{changeOf("x", rev, removed)}}
	}
	updates := []Update{
		{FromStore: true, After: rev(50), AsOf: rev(62), Revision: rev(61), Changes: backend(61, false)},
		{After: rev(50), AsOf: rev(60), Changes: config(3)},
		{FromStore: true, After: rev(62), AsOf: rev(70), Changes: config(5)},
		{After: rev(50), AsOf: rev(75), Revision: rev(72), Changes: backend(72, true)},
		{Changes: config(4)},
		{After: rev(10), AsOf: rev(40), Revision: rev(61), Changes: backend(61, false)},
	}
	permute(len(updates), func(order []int) {
		b := newFixture(t, 1)
		version, complete := b.r.version(), b.r.updates.completeTo
		for _, i := range append(append([]int(nil), order...), order...) {
			b.post(updates[i])
			require.GreaterOrEqual(t, b.r.version(), version, "%v", order)
			require.False(t, complete.After(b.r.updates.completeTo), "%v", order)
			version, complete = b.r.version(), b.r.updates.completeTo
		}
		require.EqualValues(t, 5, version, "%v", order)
		require.Equal(t, rev(75), complete, "%v", order)
		x := b.r.backends["x"]
		require.True(t, x == nil || x.removed, "%v: a removed server is back", order)
	})
}
