package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/routing"
)

// cutHosts cuts the first six of nine hosts off and waits until they know. It returns the others.
func cutHosts(t *testing.T, z *zone) (others []*zoneHost) {
	z.cut(6, refuses, anyEngine)
	require.Less(t, z.runUntil(maxRecognitionTime, cutWorldRate, z.allCutOff(z.hosts[:6], true)), maxRecognitionTime)
	z.refused = 0
	return z.hosts[6:]
}

// Hosts that were cut off refused their callers. Each of their calls must go through a host that reaches the servers and
// agrees to relay it, not all through one, and again directly soon after the end. The others call directly throughout.
func TestCutHostsCallThroughOthers(t *testing.T) {
	t.Parallel()
	z := newCutWorld(t)
	others := cutHosts(t, z)
	calls := map[string]int{}
	z.onDispatch = func(h *zoneHost, e Dispatch) {
		if !h.r.cutOff("m") {
			require.Empty(t, e.Via)
			return
		}
		calls[e.Via]++
		relay := z.byIP[e.Via]
		require.Contains(t, others, relay)
		require.Equal(t, RelayAllowed, relay.r.RelayPermission(h.ip, e.Backend.Addr))
		require.Equal(t, RelayUnavailable, h.r.RelayPermission(relay.ip, e.Backend.Addr), "one hop only")
	}
	z.run(5*time.Second, cutWorldRate)
	require.Zero(t, z.refused)
	sum := calls[others[0].ip] + calls[others[1].ip] + calls[others[2].ip]
	for _, h := range others {
		require.Greater(t, calls[h.ip], sum/6, "half of an equal share")
	}
	z.heal()
	require.Less(t, z.runUntil(maxReturnTime, cutWorldRate, z.allCutOff(z.hosts, false)), maxReturnTime)
}

// A relay that does not serve must cost no request its answer and no backend server its good name, and must not be tried
// by each request.
func TestRelayThatFailsIsReplaced(t *testing.T) {
	t.Parallel()
	z := newCutWorld(t)
	others := cutHosts(t, z)
	z.failedRelays = map[string]bool{others[0].ip: true}
	const seconds = 5
	tries := map[string]int{}
	z.onDispatch = func(h *zoneHost, e Dispatch) {
		if z.failedRelays[e.Via] {
			tries[h.ip]++
		}
	}
	z.run(seconds*time.Second, cutWorldRate)
	require.Zero(t, z.refused)
	for _, h := range z.hosts[:6] {
		require.LessOrEqual(t, tries[h.ip], int(seconds*time.Second/relayBackoff)+1)
		for _, b := range h.r.allBackends() {
			require.False(t, b.suspect(z.now), b.ID)
		}
	}
}

// A host that has lost its servers dials on the word of nobody but hosts of the fleet, for registered addresses only,
// and takes no new tunnels while it shuts down.
func TestRelayPermission(t *testing.T) {
	t.Parallel()
	z := newCutWorld(t)
	r, peer := z.hosts[0].r, z.hosts[1].ip
	const addr = "10.1.0.1:80"
	apply := func(revision uint64, removed bool) {
		ch := changeOf("new", revision, removed)
		ch.Addr = addr
		z.post(z.hosts[0], Update{FromStore: true, After: rev(50), AsOf: rev(revision), Revision: rev(revision), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
	}
	apply(80, false)
	require.Equal(t, RelayAllowed, r.RelayPermission(peer, addr))
	require.Equal(t, RelayUnknownHost, r.RelayPermission("10.9.9.9", addr))
	require.Equal(t, RelayUnknownBackend, r.RelayPermission(peer, peer+":80"))
	apply(90, true)
	require.Equal(t, RelayUnknownBackend, r.RelayPermission(peer, addr))
	z.post(z.hosts[0], Drain{Until: z.now + 10*time.Second, Grace: 10 * time.Second})
	require.Equal(t, RelayUnavailable, r.RelayPermission(peer, r.backends["e000"].Addr))
}

// All hosts of a zone of a large fleet are cut off. They have to call through hosts of other zones, which hear of them
// only now and must accept them.
func TestZoneThatIsCutOffCallsThroughOtherZones(t *testing.T) {
	t.Parallel()
	z := newLargeCutWorld(t)
	cut := z.hosts[:20]
	z.cut(20, refuses, anyEngine)
	require.Less(t, z.runUntil(maxRecognitionTime, largeCutWorldRate, z.allCutOff(cut, true)), maxRecognitionTime)
	z.refused = 0
	relays := map[string]int{}
	type tunnel struct {
		from, relay *zoneHost
		addr        string
		at          time.Duration
	}
	var opening []tunnel
	relayed := 0
	z.onDispatch = func(h *zoneHost, e Dispatch) {
		if e.Via == "" {
			require.NotContains(t, cut, h)
			return
		}
		relayed++
		relays[e.Via]++
		opening = append(opening, tunnel{h, z.byIP[e.Via], e.Backend.Addr, z.now + 2*zoneStep})
	}
	z.onStep = func() {
		for ; len(opening) > 0 && z.now >= opening[0].at; opening = opening[1:] {
			o := opening[0]
			require.Equal(t, RelayAllowed, o.relay.r.RelayPermission(o.from.ip, o.addr), "%s for %s", o.relay.ip, o.from.ip)
		}
	}
	z.run(3*time.Second, largeCutWorldRate)
	t.Logf("%d relayed by %d hosts, %d refused", relayed, len(relays), z.refused)
	require.Zero(t, z.refused)
	for host, n := range relays {
		require.Less(t, n, relayed/2, host)
	}
}
