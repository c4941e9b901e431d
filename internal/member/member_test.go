package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func testView(hosts int) *View {
	v := NewView(Host{ID: "h0", Zone: "z"})
	var list []Host
	for i := 0; i < hosts; i++ {
		list = append(list, Host{ID: fmt.Sprint("h", i), Zone: "z", Addr: "x"})
	}
	v.SetList(list)
	for _, h := range list[1:] {
		v.Linked(0, h, 1)
		v.HeartbeatReceived(0, h.ID, 1, 1, false)
	}
	return v
}

// Guards against late detection of a killed process: its requests wait at schedulers until then. The
// broken link shows the death at once, missing heartbeats only after about a second.
func TestBrokenLinkIsNoticedBeforeMissingHeartbeats(t *testing.T) {
	v := testView(3)
	v.Unlinked(0, "h1", 1)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(unlinkedGrace), "a link may break and be opened again")
	require.Equal(t, []string{"h0", "h2"}, v.Live(unlinkedGrace+1))
	v.Linked(time.Second, Host{ID: "h1", Zone: "z", Addr: "x"}, 1)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(unlinkedGrace+1))
	require.Equal(t, []string{"h0"}, v.Live(v.DeadAfter()+1), "a dead machine closes no links")
}

// Guards against a fixed heartbeat interval: in a zone of 45 hosts, heartbeats alone would use up each
// host's limit of control bytes.
func TestHeartbeatsPerHostStayLevelAsAZoneGrows(t *testing.T) {
	for _, n := range []int{8, 15, 30, 45, 80} {
		v := testView(n)
		perSecond := float64(n-1) / v.HeartbeatInterval().Seconds()
		require.LessOrEqual(t, perSecond, 40.0, "%d hosts", n)
	}
}

// Guards against moving the roles of live hosts when another host dies: each move costs a group the state
// of its scheduler.
func TestOnlyRolesOfDeadHostsMove(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for i := 0; i < 200; i++ {
		role := fmt.Sprint("sched/s/", i)
		before := Owner(role, hosts)
		after := Owner(role, hosts[:4])
		if before != "e" {
			require.Equal(t, before, after)
		}
	}
}

// Guards against a zone that is shut down as a whole and in which no host schedules the waiting requests,
// and against roles of a host whose state may be from before a pause.
func TestHostsThatAllDrainKeepTheirRoles(t *testing.T) {
	v := testView(3)
	v.SetDraining()
	v.HeartbeatReceived(0, "h1", 1, 2, true)
	require.Equal(t, []string{"h2"}, v.Live(0), "the only host that does not drain has all roles")
	v.HeartbeatReceived(0, "h2", 1, 2, true)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(0))
	v.SetPeerCatchingUp("h2", true)
	require.Equal(t, []string{"h0", "h1"}, v.Live(0))
	v.SetCatchingUp(true)
	require.Equal(t, []string{"h1"}, v.Live(0))
}
