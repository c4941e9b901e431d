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

// applyTimeout is the users' bound for the target; today's few hosts are far faster.
const applyTimeout = 16 * time.Second

// awaitRevision waits until a revision is in force on the named hosts.
func (b *testbed) awaitRevision(revision uint64, hosts ...string) {
	for _, id := range hosts {
		require.True(b.t, fleet.WaitUntil(applyTimeout, func() bool { return b.status(id).Revision >= revision }),
			"revision %d is not in force on %s", revision, id)
	}
}

// tierOutcome tells which deadline-free word a host gives on a tier: served or unknown_tier.
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

// One zone is cut off from the platform when an operator changes a workspace's tiers. Its callers
// would go on under the old rights; the other zone's hosts bring the news.
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

// The platform goes down, a host is replaced meanwhile, and comes up knowing nothing. It must serve
// its zone all the same, with what its peers hold, and say that it is ready only then.
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

// The platform is restored from an old copy and serves old revisions. A right that an operator took
// away would come back; also on a host that is replaced just then.
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

// Operators of both sides publish at once, some records are bad, some are deleted and made again.
// A bad one must leave the last good one in force, and say why to its operator.
func TestBadRecordsDeletionsAndBothSchemas(t *testing.T) {
	b := newTestbed(t, "a1", "b1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.start()
	bad := b.platform.PublishRaw(record.Raw{Kind: record.KindWorkspace, Name: "school", Schema: 1, Body: []byte(`{"key_sha256":["x"],"tiers":["top"]}`)})
	b.platform.PublishRaw(record.Raw{Kind: record.KindTier, Name: "mid", Schema: 9, Body: []byte(`{}`)})
	last := b.platform.PublishRaw(fleet.WorkspaceV2("cafe", "cafe-key", []string{"top"}, 50))
	b.awaitRevision(last, b.hostIDs...)
	for _, id := range b.hostIDs {
		require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return b.tierOutcome(id, "low") == "served" }), "the last good record stays in force")
		var reasons []string
		for _, r := range b.status(id).Refused {
			reasons = append(reasons, fmt.Sprint(r.Record, " ", r.Revision, " ", r.InForce, " ", r.Reason))
		}
		require.Len(t, reasons, 2)
		require.Contains(t, reasons[0]+reasons[1], "use schema 1 or 2")
		require.Contains(t, reasons[0]+reasons[1], fmt.Sprint("workspace/school ", bad))
	}
	cafe := fleet.NewCaller("cafe-key").WithHeader("Fireflyshift-Tier", "top")
	require.True(t, cafe.Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil).OK(), "a record in the new side's schema")
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

// A host comes up alone while the platform is away and no peer can be reached. It has nothing to
// judge callers by; it must say that it is not ready, and refuse with "not run".
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

// Two zones cannot see each other for a while. Callers of each must be served by its own servers,
// and what one zone lacks is refused as not run; after the heal all is as before, without a storm.
func TestPartitionOfZonesAndHeal(t *testing.T) {
	b := newTestbed(t, "a1", "a2", "b1", "b2")
	b.addEngine("ea", "zone-a", fastEngine())
	b.addEngine("eb", "zone-b", fastEngine())
	b.addPlainService("git-a", "zone-a", time.Millisecond)
	b.start()
	callFar := func() fleet.Response { return tierCaller("top").Call(testCtx(t), "GET", b.addr("b1"), "git", "x", nil) }
	require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return callFar().OK() }), "zone-b reaches the server of zone-a")
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
