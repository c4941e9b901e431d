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

// inForceBound is the users' bound for the target; today's few hosts are far faster.
const inForceBound = 16 * time.Second

// awaitRevision waits until a revision is in force on the named hosts.
func (b *bed) awaitRevision(revision uint64, hosts ...string) {
	for _, id := range hosts {
		require.True(b.t, fleet.WaitUntil(inForceBound, func() bool { return b.status(id).Revision >= revision }),
			"revision %d is not in force on %s", revision, id)
	}
}

// tierServed tells which deadline-free word a host gives on a tier: served or unknown_tier.
func (b *bed) tierServed(id, tier string) string {
	a := fleet.NewCaller(school).WithHeader("Fireflyshift-Tier", tier).Call(ctx(b.t), "GET", b.callers(id), "git", "x", nil)
	if a.OK() {
		return "served"
	}
	return a.ErrorKind
}

func (b *bed) grantTiers(tiers ...string) uint64 {
	return b.platform.PublishRaw(fleet.Workspace("school", school, tiers, 1))
}

// One zone is cut off from the platform when an operator changes a workspace's tiers. Its callers
// would go on under the old rights; the other zone's hosts bring the news.
func TestChangeReachesAZoneThatIsCutFromThePlatform(t *testing.T) {
	b := newBed(t, "a1", "a2", "b1", "b2")
	b.addPlain("git-1", "zone-a", time.Millisecond)
	b.start()
	b.toPlat["b1"].Stop()
	b.toPlat["b2"].Stop()
	r := b.grantTiers("top", "mid")
	b.awaitRevision(r, b.order...)
	require.Equal(t, "tier_not_granted", b.tierServed("b1", "low"))
}

// The platform goes down, a host is replaced meanwhile, and comes up knowing nothing. It must serve
// its zone all the same, with what its peers hold, and say that it is ready only then.
func TestFreshHostWhileThePlatformIsDown(t *testing.T) {
	b := newBed(t, "a1", "a2")
	b.addPlain("git-1", "zone-a", time.Millisecond)
	b.start()
	r := b.grantTiers("top")
	b.awaitRevision(r, b.order...)
	b.platform.SetMode(platform.Mode{Down: true})
	b.hosts["a2"].Kill()
	spec := b.specs["a2"]
	spec.Seeds = []string{"a1/zone-a/" + b.specs["a1"].Peers}
	b.specs["a2"] = spec
	b.startHost("a2")
	require.True(t, fleet.Ready(patience, spec.Admin), "%s", b.hosts["a2"].Log)
	require.Equal(t, r, b.status("a2").Revision)
	require.Equal(t, "served", b.tierServed("a2", "top"))
	require.Equal(t, "tier_not_granted", b.tierServed("a2", "low"))
	b.platform.SetMode(platform.Mode{})
	b.awaitRevision(b.grantTiers("top", "low"), b.order...)
	require.Equal(t, "served", b.tierServed("a2", "low"))
}

// The platform is restored from an old copy and serves old revisions. A right that an operator took
// away would come back; also on a host that is replaced just then.
func TestStalePlatformRevertsNothing(t *testing.T) {
	b := newBed(t, "a1", "a2")
	b.addPlain("git-1", "zone-a", time.Millisecond)
	b.start()
	r := b.grantTiers("top")
	b.awaitRevision(r, b.order...)
	b.platform.SetMode(platform.Mode{StaleBefore: r})
	b.hosts["a2"].Kill()
	b.startHost("a2")
	require.True(t, fleet.Ready(patience, b.specs["a2"].Admin))
	b.awaitRevision(r, b.order...)
	for i := 0; i < 5; i++ {
		for _, id := range b.order {
			require.GreaterOrEqual(t, b.status(id).Revision, r)
			require.Equal(t, "tier_not_granted", b.tierServed(id, "low"))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// Operators of both sides publish at once, some records are bad, some are deleted and made again.
// A bad one must leave the last good one in force, and say why to its operator.
func TestBadRecordsDeletionsAndBothSchemas(t *testing.T) {
	b := newBed(t, "a1", "b1")
	b.addPlain("git-1", "zone-a", time.Millisecond)
	b.start()
	bad := b.platform.PublishRaw(record.Raw{Kind: record.KindWorkspace, Name: "school", Schema: 1, Body: []byte(`{"key_sha256":["x"],"tiers":["top"]}`)})
	b.platform.PublishRaw(record.Raw{Kind: record.KindTier, Name: "mid", Schema: 9, Body: []byte(`{}`)})
	last := b.platform.PublishRaw(fleet.WorkspaceV2("cafe", "cafe-key", []string{"top"}, 50))
	b.awaitRevision(last, b.order...)
	for _, id := range b.order {
		require.True(t, fleet.WaitUntil(patience, func() bool { return b.tierServed(id, "low") == "served" }), "the last good record stays in force")
		var why []string
		for _, r := range b.status(id).Refused {
			why = append(why, fmt.Sprint(r.Record, " ", r.Revision, " ", r.InForce, " ", r.Reason))
		}
		require.Len(t, why, 2)
		require.Contains(t, why[0]+why[1], "use schema 1 or 2")
		require.Contains(t, why[0]+why[1], fmt.Sprint("workspace/school ", bad))
	}
	cafe := fleet.NewCaller("cafe-key").WithHeader("Fireflyshift-Tier", "top")
	require.True(t, cafe.Call(ctx(t), "GET", b.callers("b1"), "git", "x", nil).OK(), "a record in the new side's schema")
	b.awaitRevision(b.platform.Delete(record.KindWorkspace, "cafe"), b.order...)
	require.Equal(t, "unknown_key", cafe.Call(ctx(t), "GET", b.callers("b1"), "git", "x", nil).ErrorKind)
	b.awaitRevision(b.platform.PublishRaw(fleet.WorkspaceV2("cafe", "cafe-key", []string{"top"}, 50)), b.order...)
	require.True(t, cafe.Call(ctx(t), "GET", b.callers("b1"), "git", "x", nil).OK())
	out, code := ctl("watch", "--revision", "1", "--host", b.specs["a1"].Admin, "--host", b.specs["b1"].Admin)
	require.Zero(t, code, out)
	out, code = ctl("status", "--host", b.specs["a1"].Admin)
	require.Zero(t, code)
	require.Contains(t, out, "refused workspace/school")
}

// A host comes up alone while the platform is away and no peer can be reached. It has nothing to
// judge callers by; it must say that it is not ready, and refuse with "not run".
func TestLoneHostWithoutConfigurationIsNotReady(t *testing.T) {
	b := newBed(t, "a1")
	b.platform.SetMode(platform.Mode{Down: true})
	b.startHost("a1")
	require.True(t, fleet.WaitUntil(patience, func() bool {
		code, _, err := fleet.Get("http://" + b.specs["a1"].Admin + "/healthz")
		return err == nil && code == 200
	}))
	time.Sleep(4 * time.Second)
	code, _, err := fleet.Get("http://" + b.specs["a1"].Admin + "/readyz")
	require.NoError(t, err)
	require.Equal(t, 503, code)
	b.platform.SetMode(platform.Mode{})
	require.True(t, fleet.Ready(patience, b.specs["a1"].Admin))
}

// Two zones cannot see each other for a while. Callers of each must be served by its own servers,
// and what one zone lacks is refused as not run; after the heal all is as before, without a storm.
func TestPartitionOfZonesAndHeal(t *testing.T) {
	b := newBed(t, "a1", "a2", "b1", "b2")
	b.addEngine("ea", "zone-a", fastEngine())
	b.addEngine("eb", "zone-b", fastEngine())
	b.addPlain("git-a", "zone-a", time.Millisecond)
	b.start()
	far := func() fleet.Response { return tiered("top").Call(ctx(t), "GET", b.callers("b1"), "git", "x", nil) }
	require.True(t, fleet.WaitUntil(patience, func() bool { return far().OK() }), "zone-b reaches the server of zone-a")
	heal := b.cutZones("zone-a", "zone-b")
	l := startLoad(8, func(worker, i int) fleet.Response {
		return tiered("mid").Chat(ctx(t), b.callers(b.order[worker%4]), "notes", fmt.Sprint(worker, "-", i), 10, true)
	})
	require.True(t, fleet.WaitUntil(patience, func() bool { return far().ErrorKind == "no_backend" }))
	require.Equal(t, "not run", far().Work)
	before := l.count()
	require.True(t, fleet.WaitUntil(patience, func() bool { return l.count() > before+100 }))
	heal()
	require.True(t, fleet.WaitUntil(patience, func() bool { return far().OK() }))
	answers := l.stop()
	for _, a := range answers {
		require.True(t, a.OK(), "%s", summarise(answers))
	}
	b.requireOnce()
}
