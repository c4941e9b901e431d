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

// A process is killed. Its callers' work waits at schedulers until its death is noticed; the broken
// link tells at once what missing heartbeats would tell after a second.
func TestBrokenLinkIsNoticedBeforeMissingHeartbeats(t *testing.T) {
	v := testView(3)
	v.Unlinked(0, "h1", 1)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(unlinkedGrace), "a link may break and come back")
	require.Equal(t, []string{"h0", "h2"}, v.Live(unlinkedGrace+1))
	v.Linked(time.Second, Host{ID: "h1", Zone: "z", Addr: "x"}, 1)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(unlinkedGrace+1))
	require.Equal(t, []string{"h0"}, v.Live(v.DeadAfter()+1), "a machine that dies closes nothing")
}

// A zone grows from 3 to 45 hosts. With a fixed interval each host would spend its whole allowance
// of control bytes on heartbeats alone.
func TestHeartbeatsPerHostStayLevelAsAZoneGrows(t *testing.T) {
	for _, n := range []int{8, 15, 30, 45, 80} {
		v := testView(n)
		perSecond := float64(n-1) / v.HeartbeatInterval().Seconds()
		require.LessOrEqual(t, perSecond, 40.0, "%d hosts", n)
	}
}

// The duty of a dead host goes to others, and only that one moves: every other group would pay for
// a move with its scheduler's memory.
func TestOnlyTheDutiesOfTheDeadMove(t *testing.T) {
	hosts := []string{"a", "b", "c", "d", "e"}
	for i := 0; i < 200; i++ {
		duty := fmt.Sprint("sched/s/", i)
		before := Owner(duty, hosts)
		after := Owner(duty, hosts[:4])
		if before != "e" {
			require.Equal(t, before, after)
		}
	}
}

// Guards against a zone that is shut down as a whole and in which nobody schedules what still waits; and against duties of a
// host that may know only what was before a pause.
func TestHostsThatAllDrainKeepTheirDuties(t *testing.T) {
	v := testView(3)
	v.SetDraining()
	v.HeartbeatReceived(0, "h1", 1, 2, true)
	require.Equal(t, []string{"h2"}, v.Live(0), "one that stays has all duties")
	v.HeartbeatReceived(0, "h2", 1, 2, true)
	require.Equal(t, []string{"h0", "h1", "h2"}, v.Live(0))
	v.SetPeerCatchingUp("h2", true)
	require.Equal(t, []string{"h0", "h1"}, v.Live(0))
	v.SetCatchingUp(true)
	require.Equal(t, []string{"h1"}, v.Live(0))
}
