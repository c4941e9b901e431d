package router

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

func inEra(era, number uint64) routing.Revision { return routing.Revision{Era: era, Number: number} }

// servers returns registrations at a revision.
func servers(at routing.Revision, ids ...string) routing.Changes {
	var c routing.Changes
	for _, id := range ids {
		ch := changeOf(id, 0, false)
		ch.Revision = at
		c.Backends = append(c.Backends, ch)
	}
	return c
}

// listing is the update that a reader of the store posts for a complete listing.
func listing(asOf routing.Revision, c routing.Changes) Update {
	return Update{FromStore: true, Full: true, AsOf: asOf, Changes: c}
}

func usable(r *Router, id string) bool {
	b := r.backends[id]
	if b == nil {
		return false
	}
	ok, _ := b.usable(r.now)
	return ok
}

// The store is restored thirty revisions back. Its changes must be applied from then on, though their numbers are lower than
// known ones. A peer that does not know of this must not restore what was lost.
func TestLaterEraGoesFirst(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a", "b") // registered at revision 10, complete as of 50
	r.Reduce(12*time.Second, listing(inEra(2, 20), servers(inEra(2, 10), "a", "b")))
	c := servers(inEra(2, 21), "new")
	gone := changeOf("b", 0, true)
	gone.Revision = inEra(2, 22)
	c.Backends = append(c.Backends, gone)
	r.Reduce(13*time.Second, Update{FromStore: true, After: inEra(2, 20), AsOf: inEra(2, 22), Changes: c})
	require.True(t, usable(r, "new"))
	require.False(t, usable(r, "b"))
	r.Reduce(14*time.Second, Update{After: rev(0), AsOf: rev(90), Revision: rev(90), Changes: servers(rev(80), "b", "ghost")})
	require.False(t, usable(r, "b"))
	require.False(t, usable(r, "ghost"))
	require.Equal(t, inEra(2, 22), r.updates.completeTo)
}

// A host knows that a server is leaving, while the older copy lists it as ready, as does a later registration of the same
// start. A server that the host knows to have left is listed in the copy too.
func TestOlderCopyIsNoEvidence(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "leaves", "left", "stays")
	drain := changeOf("leaves", 60, false)
	drain.Draining = true
	register(r, 12*time.Second, drain)
	register(r, 12*time.Second, changeOf("left", 61, true))
	r.Reduce(13*time.Second, listing(inEra(1, 20), servers(inEra(1, 10), "leaves", "left", "stays")))
	require.True(t, usable(r, "stays"))
	require.False(t, usable(r, "leaves"))
	require.False(t, usable(r, "left"))
	r.Reduce(14*time.Second, Update{FromStore: true, After: inEra(1, 20), AsOf: inEra(1, 31), Changes: servers(inEra(1, 31), "leaves", "left")})
	require.False(t, usable(r, "leaves"))
	require.True(t, usable(r, "left"), "it is alive, as it has registered again")
}

// A server has joined in the seconds that the store has lost. It stays in use, as it is alive and registers again; one that does
// not within lostBackendTTL is removed.
func TestLostServersHaveTimeToWriteAgain(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "old")
	register(r, time.Second, changeOf("lives", 51, false))
	register(r, time.Second, changeOf("ended", 52, false))
	at := 12 * time.Second
	out := r.Reduce(at, listing(inEra(1, 20), servers(inEra(1, 10), "old")))
	note := noteOf(out, "store restored from an older copy")
	require.NotNil(t, note)
	require.Equal(t, "store", note.Subject)
	require.Contains(t, note.Detail, "1/20 after 0/52")
	for _, id := range []string{"old", "lives", "ended"} {
		require.True(t, usable(r, id), id)
	}
	r.Reduce(at+time.Second, Update{FromStore: true, After: inEra(1, 20), AsOf: inEra(1, 21), Changes: servers(inEra(1, 21), "lives")})
	r.Reduce(at+lostBackendTTL, Tick{})
	require.True(t, usable(r, "lives"))
	require.False(t, usable(r, "ended"))
}

func noteOf(out []Effect, what string) *Note {
	for _, e := range out {
		if n, ok := e.(Note); ok && n.What == what {
			return &n
		}
	}
	return nil
}

// A host that the store refuses learns of the era from its peers' heartbeats and pulls, even if the copy lists no server. The
// update lacks the servers that the copy lacks, and they are kept for lostBackendTTL there too.
func TestPeersLearnOfAnEra(t *testing.T) {
	t.Parallel()
	reader, refused := newStandalone(t, "a"), newStandalone(t, "a")
	reader.Reduce(2*time.Second, listing(inEra(1, 20), routing.Changes{}))
	beat := func(seq uint64) *gossippb.Beat {
		return &gossippb.Beat{Host: "10.0.0.9", Zone: "z0", Incarnation: 1, Seq: seq, ConfigVersion: 1, Revision: reader.updates.revision.Number,
			Era: reader.updates.revision.Era, Digest: 7}
	}
	refused.Reduce(2*time.Second, HeartbeatReceived{beat(1)})
	pull, ok := findEffect[Pull](refused.Reduce(2*time.Second+pullDelay, HeartbeatReceived{beat(2)}))
	require.True(t, ok)
	require.Equal(t, rev(50), pull.Revision)
	update := reader.Snapshot(pull.Since)
	data, err := json.Marshal(update)
	require.NoError(t, err)
	var received Update
	require.NoError(t, json.Unmarshal(data, &received))
	received.From = "10.0.0.9"
	out := refused.Reduce(3*time.Second, received)
	require.Equal(t, "10.0.0.9", noteOf(out, "store restored from an older copy").Subject)
	require.Equal(t, inEra(1, 20), refused.updates.completeTo)
	require.True(t, usable(refused, "a"))
	refused.Reduce(3*time.Second+lostBackendTTL, Tick{})
	require.False(t, usable(refused, "a"))
}

// A configuration from before the restore stays in force until a later one arrives: keys, routes and quotas that the older copy
// still has were removed on purpose.
func TestOlderCopyDoesNotRevertTheConfiguration(t *testing.T) {
	t.Parallel()
	r := newStandalone(t, "a")
	r.Reduce(time.Second, Update{FromStore: true, After: rev(50), AsOf: rev(70), Changes: routing.Changes{Config: &routing.Config{Version: 9}}})
	r.Reduce(2*time.Second, listing(inEra(1, 20), routing.Changes{Config: &routing.Config{Version: 1}}))
	require.EqualValues(t, 9, r.version())
	r.Reduce(3*time.Second, Update{FromStore: true, After: inEra(1, 20), AsOf: inEra(1, 21), Changes: routing.Changes{Config: &routing.Config{Version: 11}}})
	require.EqualValues(t, 11, r.version())
}

// One host of each zone learns of the era from the store, which refuses the others. They learn of it from heartbeats within a
// second and a half, before they would pull because of a different digest.
func TestHeartbeatsReportTheEra(t *testing.T) {
	t.Parallel()
	z := newZones(t, 2, 12, 4)
	for _, h := range []*zoneHost{z.hosts[0], z.hosts[12]} {
		z.post(h, listing(inEra(1, 20), servers(inEra(1, 10), "e001")))
	}
	pulls := map[string]bool{}
	z.onPull = func(from string, p Pull) { pulls[from] = pulls[from] || p.Revision != (routing.Revision{}) }
	z.run(1500*time.Millisecond, 0)
	require.Len(t, pulls, 22, "all others pull the changes since their revision")
}

// The era adds few bytes to each heartbeat, and none in the first era.
func TestEraAddsFewBytesToHeartbeats(t *testing.T) {
	t.Parallel()
	b := &gossippb.Beat{Host: "10.0.0.9", Zone: "z0", Incarnation: 1, Seq: 1, ConfigVersion: 1, Revision: 4711, Digest: 7}
	first := proto.Size(b)
	b.Era = 100
	require.Equal(t, 3, proto.Size(b)-first)
}
