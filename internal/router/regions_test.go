package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// Route and workspace may each list the only regions that may serve a request. It goes to no backend server elsewhere, and if
// the lists have no region in common it is refused as not run, with a time to retry after.
func TestRequestsStayInTheirRegions(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b", "c")
	r.opt.Regions = map[string]string{"z0": "north", "z1": "north", "z2": "south"}
	for i, id := range []string{"a", "b", "c"} {
		ch := changeOf(id, uint64(60+i), false)
		ch.Zone = []string{"z0", "z1", "z2"}[i]
		register(r, time.Second, ch)
	}
	regions := func(names ...string) []string { return names }
	id := uint64(0)
	at := 2 * time.Second
	goes := func(route, workspace []string) map[string]bool {
		seen := map[string]bool{}
		for range 40 {
			id++
			to := *urgentRoute
			to.Regions = route
			out := r.Reduce(at, Submit{ID: id, Route: &to, Workspace: &routing.Workspace{Name: "w", Regions: workspace}, Deadline: time.Minute})
			if back, refused := findEffect[Refuse](out); refused {
				require.Positive(t, back.RetryAfter)
				seen["refused"] = true
				continue
			}
			seen[dispatchOf(t, out).Backend.ID] = true
			r.Reduce(at, CallerLeft{ID: id})
		}
		return seen
	}
	only := func(id string) map[string]bool { return map[string]bool{id: true} }
	require.NotContains(t, goes(regions("north"), nil), "c")
	require.Equal(t, only("c"), goes(regions("south"), nil))
	require.Equal(t, only("c"), goes(nil, regions("south")))
	require.Equal(t, only("c"), goes(regions("north", "south"), regions("south")))
	require.Equal(t, only("refused"), goes(regions("north"), regions("south")))
	require.Equal(t, only("refused"), goes(regions("atlantis"), nil))
	register(r, 8*time.Second, changeOf("c", 90, true))
	r.Reduce(20*time.Second, Tick{})
	require.Equal(t, only("refused"), goes(regions("south"), nil), "its backend servers are gone")
}

// A configuration names a region that no zone belongs to: this is logged once each time the configuration changes.
func TestUnknownRegionsAreNoted(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.opt.Regions = map[string]string{"z0": "north"}
	out := r.Reduce(time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 2,
		Routes: []routing.Route{{Name: "x", Regions: []string{"north", "atlantis"}}, {Name: "y", Regions: []string{"atlantis"}}}}}})
	var noted []string
	for _, n := range effectsOf[Note](out) {
		if n.What == "region is unknown" {
			noted = append(noted, n.Subject)
		}
	}
	require.Equal(t, []string{"atlantis"}, noted)
}
