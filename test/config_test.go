package test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/platform"
)

// applyTimeout is the required upper bound for a configuration change to be active on all hosts of a full-size cluster; the
// few hosts of these tests are far faster.
const applyTimeout = 16 * time.Second

// awaitRevision waits until the revision, or a later one, is active on the given hosts.
func (b *testbed) awaitRevision(revision uint64, hosts ...string) {
	for _, id := range hosts {
		require.True(b.t, fleet.WaitUntil(applyTimeout, func() bool { return b.status(id).Revision >= revision }),
			"revision %d is not active on %s", revision, id)
	}
}

// tierOutcome calls a host on a tier and returns "served" or the kind of the refusal.
func (b *testbed) tierOutcome(id, tier string) string {
	a := fleet.NewCaller(workspaceKey).WithHeader("Fireflyshift-Tier", tier).Call(testCtx(b.t), "GET", b.addr(id), "git", "x", nil)
	if a.OK() {
		return "served"
	}
	return a.ErrorKind
}

func (b *testbed) grantTiers(tiers ...string) uint64 {
	return b.platform.PublishRaw(fleet.Workspace("school", workspaceKey, tiers, 1))
}

// Guards against a zone that keeps serving under old permissions: one zone cannot reach the platform while an operator
// changes a workspace's tiers, and has to receive the change from the hosts of the other zone.
func TestChangeReachesAZoneThatIsCutFromThePlatform(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "b1", "b2")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	b.platformProxies["b1"].Stop()
	b.platformProxies["b2"].Stop()
	r := b.grantTiers("top", "mid")
	b.awaitRevision(r, b.hostIDs...)
	require.Equal(t, "tier_not_granted", b.tierOutcome("b1", "low"))
}

// Guards against a host that cannot start without the platform: a host is replaced while the platform is down. It must serve
// its zone with the configuration of its peers, and report ready only once it has that.
func TestFreshHostWhileThePlatformIsDown(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	r := b.grantTiers("top")
	b.awaitRevision(r, b.hostIDs...)
	b.platform.SetMode(platform.Mode{Down: true})
	b.hosts["a2"].Kill()
	spec := b.hostSpecs["a2"]
	spec.Seeds = []string{"a1/zone-a/" + b.hostSpecs["a1"].Peers}
	b.hostSpecs["a2"] = spec
	b.startHost("a2")
	require.True(t, fleet.Ready(waitTimeout, spec.Admin), "%s", b.hosts["a2"].Log)
	require.Equal(t, r, b.status("a2").Revision)
	require.Equal(t, "served", b.tierOutcome("a2", "top"))
	require.Equal(t, "tier_not_granted", b.tierOutcome("a2", "low"))
	b.platform.SetMode(platform.Mode{})
	b.awaitRevision(b.grantTiers("top", "low"), b.hostIDs...)
	require.Equal(t, "served", b.tierOutcome("a2", "low"))
}

// Guards against a rollback of the configuration: the platform is restored from an old copy and serves old revisions. A
// revoked permission must not return, also not on a host that is replaced at that time.
func TestStalePlatformRevertsNothing(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	r := b.grantTiers("top")
	b.awaitRevision(r, b.hostIDs...)
	b.platform.SetMode(platform.Mode{StaleBefore: r})
	b.hosts["a2"].Kill()
	b.startHost("a2")
	require.True(t, fleet.Ready(waitTimeout, b.hostSpecs["a2"].Admin))
	b.awaitRevision(r, b.hostIDs...)
	for i := 0; i < 5; i++ {
		for _, id := range b.hostIDs {
			require.GreaterOrEqual(t, b.status(id).Revision, r)
			require.Equal(t, "tier_not_granted", b.tierOutcome(id, "low"))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Guards against a bad record that replaces the last good one: records of both schemas are published, two of them invalid,
// and one is deleted and created again. The last good record must stay active and the status must name the reason.
func TestBadRecordsDeletionsAndBothSchemas(t *testing.T) {
	b := newTestbed(t, "a1", "b1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	bad := b.platform.PublishRaw(record.Raw{Kind: record.KindWorkspace, Name: "school", Schema: 1, Body: []byte(`{"key_sha256":["x"],"tiers":["top"]}`)})
	b.platform.PublishRaw(record.Raw{Kind: record.KindTier, Name: "mid", Schema: 9, Body: []byte(`{}`)})
	last := b.platform.PublishRaw(fleet.WorkspaceV2("cafe", "cafe-key", []string{"top"}, 50))
	b.awaitRevision(last, b.hostIDs...)
	for _, id := range b.hostIDs {
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.tierOutcome(id, "low") == "served" }), "the last good record is no longer active")
		var reasons []string
		for _, r := range b.status(id).Refused {
			reasons = append(reasons, fmt.Sprint(r.Record, " ", r.Revision, " ", r.InForce, " ", r.Reason))
		}
		require.Len(t, reasons, 2)
		require.Contains(t, reasons[0]+reasons[1], "use schema 1 or 2")
		require.Contains(t, reasons[0]+reasons[1], fmt.Sprint("workspace/school ", bad))
	}
	cafe := fleet.NewCaller("cafe-key").WithHeader("Fireflyshift-Tier", "top")
	require.True(t, cafe.Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil).OK(), "a record in schema 2 was not applied")
	b.awaitRevision(b.platform.Delete(record.KindWorkspace, "cafe"), b.hostIDs...)
	require.Equal(t, "unknown_key", cafe.Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil).ErrorKind)
	b.awaitRevision(b.platform.PublishRaw(fleet.WorkspaceV2("cafe", "cafe-key", []string{"top"}, 50)), b.hostIDs...)
	require.True(t, cafe.Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil).OK())
	out, code := runCtl("watch", "--revision", "1", "--host", b.hostSpecs["a1"].Admin, "--host", b.hostSpecs["b1"].Admin)
	require.Zero(t, code, out)
	out, code = runCtl("status", "--host", b.hostSpecs["a1"].Admin)
	require.Zero(t, code)
	require.Contains(t, out, "refused workspace/school")
}

// Guards against a host that reports ready without a configuration: it starts alone while the platform is down and no peer
// can be reached, and becomes ready only after the platform is back.
func TestLoneHostWithoutConfigurationIsNotReady(t *testing.T) {
	b := newTestbed(t, "a1")
	b.platform.SetMode(platform.Mode{Down: true})
	b.startHost("a1")
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool {
		code, _, err := fleet.Get("http://" + b.hostSpecs["a1"].Admin + "/healthz")
		return err == nil && code == 200
	}))
	time.Sleep(4 * time.Second)
	code, _, err := fleet.Get("http://" + b.hostSpecs["a1"].Admin + "/readyz")
	require.NoError(t, err)
	require.Equal(t, 503, code)
	b.platform.SetMode(platform.Mode{})
	require.True(t, fleet.Ready(waitTimeout, b.hostSpecs["a1"].Admin))
}

// Guards against failed requests during and after a network partition of two zones. Each zone must serve callers with its own
// backend servers, refuse what it lacks as not run, and serve across zones again after the heal.
func TestPartitionOfZonesAndHeal(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "b1", "b2")
	b.addEngine("ea", "zone-a", fastEngine())
	b.addEngine("eb", "zone-b", fastEngine())
	b.addPlainService("git-a", "zone-a", time.Millisecond)
	b.start()
	callFar := func() fleet.Response { return tierCaller("top").Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil) }
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return callFar().OK() }), "zone-b does not reach the backend server of zone-a")
	heal := b.partitionZones("zone-a", "zone-b")
	l := startLoad(8, func(worker, i int) fleet.Response {
		return tierCaller("mid").Chat(testCtx(t), b.addr(b.hostIDs[worker%4]), "notes", fmt.Sprint(worker, "-", i), 10, true)
	})
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return callFar().ErrorKind == "no_backend" }))
	require.Equal(t, "not run", callFar().Work)
	before := l.answerCount()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return l.answerCount() > before+100 }))
	heal()
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return callFar().OK() }))
	answers := l.stop()
	for _, a := range answers {
		require.True(t, a.OK(), "%s", countOutcomes(answers))
	}
	b.requireNoneRanTwice()
}
