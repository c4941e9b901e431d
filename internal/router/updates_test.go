package router

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

func changeOf(id string, revision uint64, removed bool) routing.BackendChange {
	return routing.BackendChange{Revision: rev(revision), Removed: removed,
		Backend: routing.Backend{ID: id, Addr: "a", Zone: "z0", Service: "m", Slots: 5, Model: true}}
}

// A hundred hosts learn at once that a peer has a newer configuration, and pull it. With 1,000
// backend servers each full answer was a quarter of a megabyte; the links of small hosts were saturated for seconds,
// and requests followed the old configuration long after the new one should have been in force everywhere.
func TestPullAsksOnlyForWhatIsMissing(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1000) // complete as of revision 50
	peer := newFixture(t, 1000)
	peer.post(Update{FromStore: true, After: rev(50), AsOf: rev(90), Revision: rev(80), Changes: routing.Changes{
		Config: &routing.Config{Version: 9}, Backends: []routing.BackendChange{changeOf("new", 70, false), changeOf("e3", 80, true)}}})
	beat := func(seq uint64) *gossippb.Beat {
		return &gossippb.Beat{Host: "10.0.0.9", Zone: "z0", Incarnation: 1, Seq: seq, ConfigVersion: 9, Revision: 80, Digest: peer.r.digest()}
	}
	b.post(HeartbeatReceived{beat(1)})
	b.now += pullDelay + time.Millisecond
	pulls := effectsOf[Pull](b.post(HeartbeatReceived{beat(2)}))
	require.Len(t, pulls, 1)
	require.Equal(t, Since{Revision: rev(50), Version: 1}, pulls[0].Since)

	n := peer.r.Snapshot(pulls[0].Since)
	require.Len(t, n.Backends, 2)
	b.post(n)
	require.Equal(t, peer.r.digest(), b.r.digest())
	require.Equal(t, rev(90), b.r.updates.completeTo)
	require.Nil(t, b.r.Snapshot(Since{Revision: rev(90), Version: 9}).Config)
}

// A host gets a pushed change but missed the one before it. It must not consider itself complete up to
// the later one, or it would never pull what it missed.
func TestMissedChangeIsAskedFor(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(Update{After: rev(60), AsOf: rev(70), Revision: rev(70), Changes: routing.Changes{Backends: []routing.BackendChange{changeOf("later", 70, false)}}})
	require.Equal(t, rev(50), b.r.updates.completeTo)
}

// A backend server was removed while this host was down, and a peer that does not know this still reports
// it. The host must not send requests to an address that is unused, or that another service has now.
func TestOldRegistrationFromAPeerIsNotApplied(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1)
	b.post(Update{Revision: rev(40), Changes: routing.Changes{Backends: []routing.BackendChange{changeOf("ghost", 40, false)}}})
	require.Nil(t, b.r.backends["ghost"])
}

// When a zone's summary contained the backend servers of all zones, thousands of them relayed to all hosts four times a second
// took most of their bandwidth. So a zone reports only its own backend servers, including the load
// from other zones: without that they looked idle to the others, which all sent there.
// The receiver subtracts its own requests, or it would count them twice.
func TestEachZoneReportsOnlyItsOwnServers(t *testing.T) {
	t.Parallel()
	withServers := func() *fixture {
		b := newFixture(t, 0)
		var list []routing.BackendChange
		for i, zone := range []string{"z0", "z1", "z2"} {
			ch := changeOf(fmt.Sprintf("s%d", i), uint64(60+i), false)
			ch.Zone = zone
			list = append(list, ch)
		}
		b.post(Update{FromStore: true, After: rev(50), AsOf: rev(70), Changes: routing.Changes{Backends: list}})
		for i := 0; i < maxFullMesh; i++ {
			b.r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
		}
		for _, be := range b.r.backends {
			be.ownLoad.counts[0] = 1
		}
		return b
	}
	b := withServers()
	s0 := b.r.backends["s0"]
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.2.1", Zone: "z2", Incarnation: 1, Seq: 1,
		Loads: []*gossippb.Load{{Backend: s0.hash, InFlight: counts{4}.pack()}}}})
	sum := b.r.ownZoneSummary()
	loads := loadsFromProto(sum.Loads)
	require.Equal(t, 5, loads[s0.hash].total(), "this zone's and the third zone's")
	require.NotContains(t, loads, b.r.backends["s1"].hash)
	require.NotContains(t, loads, b.r.backends["s2"].hash)

	receiver := withServers()
	receiver.r.opt.Zone = "z1"
	receiver.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seq: 1}})
	sum.Speaker = "10.0.0.9"
	receiver.r.opt.Host = "10.0.1.1"
	receiver.post(RelayReceived{"10.0.1.2", &gossippb.Relay{Zones: []*gossippb.ZoneSum{sum}}})
	require.Equal(t, 5, receiver.r.backends["s0"].inFlight(), "its own request is included in the summary")
}

// The hosts of a large fleet start together. The first readers do not know yet how many there are and
// open long watches. Their zone peers, which rely on them, considered them cut off from the store every few seconds, and
// all read the store at once.
func TestReaderWatchesShorterOnceOthersRelyOnIt(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 0)
	reads := func() []ReadStore { return effectsOf[ReadStore](b.post(Tick{})) }
	require.Equal(t, []ReadStore{{On: true}}, reads())
	for i := 0; i <= maxFullMesh; i++ {
		b.r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
	}
	require.Equal(t, []ReadStore{{On: true, Shared: true}}, reads())
	require.Empty(t, reads())
}

// Seventeen engines drain at once while others are replaced one after the other. The push of the seventeen
// was too large and was not sent. A later push of one change reached the other hosts, which considered themselves
// up to date by its revision and pulled the rest only three seconds later: meanwhile requests went to engines
// that were known to be draining.
func TestManyChangesAtOnceReachTheZone(t *testing.T) {
	t.Parallel()
	reader := newFixture(t, 0)
	for i := 0; i <= maxFullMesh; i++ {
		reader.r.learnHost(fmt.Sprintf("10.0.3.%d", i), "z3")
	}
	reader.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1}})
	var list []routing.BackendChange
	for i := 0; i < 17; i++ {
		ch := changeOf(fmt.Sprintf("e%d", i), uint64(60+i), false)
		ch.Draining = true
		list = append(list, ch)
	}
	peer := newFixture(t, 17)
	pushed := 0
	for _, e := range reader.post(Update{FromStore: true, After: rev(50), AsOf: rev(80), Revision: rev(76), Changes: routing.Changes{Backends: list}}) {
		if s, ok := e.(SendHeartbeat); ok && len(s.Heartbeat.Changes) > 0 {
			peer.r.applyPushedChanges("10.0.0.1", s.Heartbeat.Changes)
			pushed++
		}
	}
	require.Equal(t, 3, pushed)
	for _, b := range peer.r.allBackends() {
		require.True(t, b.Draining, b.ID)
	}
}

// The same with lost datagrams: a host gets a later change but not those before it, and a heartbeat of a peer that
// has them. It pulls all that it may have missed within a quarter of a second.
func TestGapBeforeAReceivedChangeIsRequested(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 1) // complete as of revision 50
	late, err := json.Marshal([]routing.BackendChange{changeOf("later", 90, false)})
	require.NoError(t, err)
	b.r.applyPushedChanges("10.0.0.1", late)
	beat := func(seq uint64) *gossippb.Beat {
		return &gossippb.Beat{Host: "10.0.0.9", Zone: "z0", Incarnation: 1, Seq: seq, ConfigVersion: 1, Revision: 90, Digest: 7}
	}
	b.post(HeartbeatReceived{beat(1)})
	b.now += pullDelay + time.Millisecond
	asked := effectsOf[Pull](b.post(HeartbeatReceived{beat(2)}))
	require.Len(t, asked, 1)
	require.Equal(t, rev(50), asked[0].Revision)
}

// rev returns a revision of the store's first era.
func rev(number uint64) routing.Revision { return routing.Revision{Number: number} }

// Guards against changes of backend servers that are lost because a later heartbeat overtakes the one that carries them.
func TestChangesInAnOvertakenHeartbeatAreApplied(t *testing.T) {
	t.Parallel()
	b := newFixture(t, 0)
	data, err := json.Marshal([]routing.BackendChange{changeOf("late", 60, false)})
	require.NoError(t, err)
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 2}})
	b.post(HeartbeatReceived{&gossippb.Beat{Host: "10.0.0.2", Zone: "z0", Incarnation: 1, Seq: 1, Changes: data}})
	require.Contains(t, b.r.backends, "late")
}
