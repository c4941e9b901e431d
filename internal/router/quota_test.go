package router

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

const (
	quotaRate   = 640_000.0
	quotaWindow = 8 * time.Second
	quotaStep   = 10 * time.Millisecond
	// burstAt is when the workspace begins to ask for six times its quota, and hotFor how long.
	burstAt       = 4 * time.Second
	burstDuration = 14 * time.Second
)

// busyWorkspace is a fleet of six zones in which one workspace asks for seven tenths of its quota and then for
// six times of it.
type busyWorkspace struct {
	*zone
	workspace routing.Workspace
	bounds    Bounds
	// admitted are tokens by step, byHost by host since the beginning.
	admitted []float64
	step     float64 // since the last of them
	byHost   map[string]float64
	// demand is how many demand its quota the workspace asks for when it is hot.
	demand float64
}

func newBusyWorkspace(t testing.TB, hostsPerZone int) *busyWorkspace {
	return newWorkspace(t, hostsPerZone, quotaRate)
}

// newWorkspace is a fleet with a workspace of another quota.
func newWorkspace(t testing.TB, hostsPerZone int, rate float64) *busyWorkspace {
	f := &busyWorkspace{zone: newZones(t, 6, hostsPerZone, 60), byHost: map[string]float64{}, demand: 6,
		workspace: routing.Workspace{Name: "w", Rate: rate, Burst: rate, InTokens: true},
		bounds: Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 1000, QuotaWindow: quotaWindow, QuotaOverage: 0.25,
			QuotaSlack: 190_000}}
	for _, h := range f.hosts {
		f.post(h, SettingsChanged{Seeds: []string{"10.0.0.1", "10.0.0.2"}, Bounds: f.bounds})
		cfg := *h.r.table.Config
		cfg.Version = 2
		cfg.Workspaces = []routing.Workspace{f.workspace}
		f.post(h, Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: &cfg}})
	}
	f.run(2*time.Second, 0)
	return f
}

// submitRequests runs the hot workspace; at is called at each step with the time since the beginning.
func (f *busyWorkspace) submitRequests(at func(time.Duration)) {
	due := 0.0
	for since := time.Duration(0); since < burstAt+burstDuration; since += quotaStep {
		at(since)
		demand := 0.7
		if since > burstAt {
			demand = f.demand
		}
		due += demand * f.workspace.Rate * quotaStep.Seconds()
		for due > 0 {
			cost := math.Min(53_000, 500+f.rng.ExpFloat64()*4000)
			due -= cost
			f.submitFor(&f.workspace, cost, func(host string) {
				f.step += cost
				f.byHost[host] += cost
			})
		}
		f.run(quotaStep, 0)
		f.admitted = append(f.admitted, f.step)
		f.step = 0
	}
}

// maxAdmitted is the most that was admitted in a window, as a part of the operators' bound.
func (f *busyWorkspace) maxAdmitted() float64 {
	bound := (f.workspace.Rate*quotaWindow.Seconds()+f.workspace.Rate)*(1+f.bounds.QuotaOverage) + f.bounds.QuotaSlack
	steps, worst := int(quotaWindow/quotaStep), 0.0
	for from := 0; from+steps <= len(f.admitted); from++ {
		sum := 0.0
		for _, v := range f.admitted[from : from+steps] {
			sum += v
		}
		worst = max(worst, sum)
	}
	return worst / bound
}

// restart starts a host again, with the configuration that others have.
func (f *busyWorkspace) restart(h *zoneHost, incarnation uint64) {
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: incarnation, Seed: incarnation, Seeds: []string{"10.0.0.1", "10.0.0.2"}, Bounds: f.bounds})
	h.startedAt = f.now
	cfg := *f.hosts[1].r.table.Config
	f.post(h, Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &cfg}})
}

// One workspace of a large fleet asks for six times its quota from one moment on. Hosts that heard of each other
// in slow beats only let it through to the last hundredth of the operators' bound, and on a day with cuts beside it
// beyond. While a quota is near its end, beats go out twice as often.
func TestQuotaHoldsInALargeFleet(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 16)
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 0.89)
}

// Three hundred hosts, and a workspace that asks for twenty times its quota from one moment on: more than the operators allow goes through.
// Each host's own part of what the workspace may save up is smaller than one request, and a bucket in credit admits a request of
// any size, so that nearly all hosts go into debt by most of a request in the same moment. With requests of a twentieth of
// the size, and twelve times the quota, such a fleet keeps to 0.86 of the bound.
func TestQuotaHoldsInAFleetOfHundreds(t *testing.T) {
	f := newBusyWorkspace(t, 49)
	f.demand = 20
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// Six times its quota again, in a fleet of 96 hosts, and a third of them start again in the middle of it.
func TestQuotaHoldsWhileHostsRestart(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 16)
	f.submitRequests(func(at time.Duration) {
		if at != burstAt+4*time.Second {
			return
		}
		for i, h := range f.hosts {
			if i%3 == 0 {
				f.restart(h, uint64(5000+i))
			}
		}
	})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// A third of the hosts of a large fleet are cut off from all others, each alone, while a workspace asks for six
// times its quota. Each heard no word of others any more, went on to refill as if they admitted nothing until it
// noticed, and took all callers for its own: together they let through twice the quota, twenty times their even
// part each. They keep to little more than their even part now.
func TestHostsThatHearNobodyKeepToTheirPart(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 16)
	cut := map[string]bool{}
	for i, h := range f.hosts {
		cut[h.ip] = i%3 == 0
	}
	cutOffTokens := func() float64 {
		sum := 0.0
		for host, tokens := range f.byHost {
			if cut[host] {
				sum += tokens
			}
		}
		return sum
	}
	var before float64
	f.submitRequests(func(at time.Duration) {
		switch at {
		case burstAt + 2*time.Second:
			f.drops = func(from, to string, _ *gossippb.Packet) bool { return cut[from] || cut[to] }
		case burstAt + 6*time.Second:
			before = cutOffTokens()
		}
	})
	share := (cutOffTokens() - before) / (quotaRate * (burstDuration - 6*time.Second).Seconds())
	require.Less(t, share, 0.5, "their even part is a third")
	require.Less(t, f.maxAdmitted(), 1.0)
	require.Positive(t, share)
}

// The zones of a fleet are cut off from each other for longer than a quarter of a minute, as regions are for an hour
// now and then, and a workspace asks all of them for six times its quota. After fifteen seconds each zone had forgotten
// the others, divided the quota among its own hosts only and let a whole quota through: 4.16 times the bound together.
func TestQuotaHoldsWhileZonesAreApartForLong(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 16)
	zoneOf := map[string]string{}
	for _, h := range f.hosts {
		zoneOf[h.ip] = h.zone
	}
	f.drops = func(from, to string, _ *gossippb.Packet) bool { return zoneOf[from] != zoneOf[to] }
	f.run(20*time.Second, 0)
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// The same with twelve hosts, each of them cut off from all others: 4.16 times the bound, and 2.25 with the longer
// memory alone, since each had kept a bucket as full as the whole fleet's.
func TestQuotaHoldsWhileHostsAreAloneForLong(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 2)
	f.drops = func(string, string, *gossippb.Packet) bool { return true }
	f.run(20*time.Second, 0)
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

const smallRate = 47_000.0

// Guards against a workspace that is refused far under its quota because its callers come to few of hundreds of hosts, each of
// whose parts of the quota is a small fraction of one request.
func TestSmallWorkspaceIsNotRefusedUnderItsQuota(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 49, smallRate)
	callers := []*zoneHost{}
	for i := range 6 {
		callers = append(callers, f.hosts[i*49+7])
	}
	asked, admitted, due := 0, 0, 0.0
	for range 20 * time.Second / quotaStep {
		due += smallRate / 4 * quotaStep.Seconds()
		for due > 0 {
			cost := math.Min(20_000, 500+f.rng.ExpFloat64()*2500)
			due -= cost
			asked++
			f.submitAt(callers[f.rng.IntN(len(callers))], &f.workspace, cost, func(string) { admitted++ })
		}
		f.run(quotaStep, 0)
	}
	require.Zero(t, f.unassigned)
	require.LessOrEqual(t, asked-admitted, asked/100)
}

// Guards against small quotas that hundreds of hosts overdraw: each lets one request through that is many times its part.
func TestSmallQuotaHoldsInAFleetOfHundreds(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 49, smallRate)
	f.demand = 20
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// Guards against a quota that nobody decides over for seconds after its owners have died, or that is overdrawn as others take over.
func TestQuotaHoldsAsItsOwnersDie(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 16, smallRate)
	f.demand = 8
	f.submitRequests(func(at time.Duration) {
		if at < burstAt || at%(4*time.Second) != 0 {
			return
		}
		for zone := range 6 {
			if h := f.byIP[f.hosts[zone*16].r.quotaOwners("w")[0]]; h != nil {
				h.dead = true
			}
		}
	})
	require.Less(t, f.maxAdmitted(), 1.0)
	late := 0.0
	for _, v := range f.admitted[len(f.admitted)/2:] {
		late += v
	}
	require.Greater(t, late, 0.8*smallRate*(burstAt+burstDuration).Seconds()/2, "the workspace has its quota all the while")
}

// Guards against an owner's late answer that charges a workspace for a request which was decided without it, and against the cost
// of a request that finds no place staying charged at the owner.
func TestWhatAnOwnerAdmitsAndDoesNotRunIsGivenBack(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 16, smallRate)
	asker := f.hosts[0]
	owner := f.byIP[asker.r.quotaOwners("w")[0]]
	if owner == asker {
		asker = f.hosts[1]
	}
	spent := func() float64 { return owner.r.quotas["w"].Spent() }
	f.next++
	f.post(asker, Submit{ID: f.next, Route: urgentRoute, Workspace: &f.workspace, Cost: 1000, Deadline: f.now + time.Second})
	f.post(asker, CallerLeft{ID: f.next}) // its caller leaves before the owner answers
	f.run(20*time.Millisecond, 0)
	require.Zero(t, spent())

	for _, b := range asker.r.allBackends() {
		b.evacuated = true
	}
	f.next++
	f.runs[f.next] = &zoneRun{host: asker, submittedAt: f.now}
	f.post(asker, Submit{ID: f.next, Route: urgentRoute, Workspace: &f.workspace, Cost: 1000, Deadline: f.now + time.Second})
	f.run(20*time.Millisecond, 0)
	require.Equal(t, 1, f.refused)
	require.Zero(t, spent())
}

// Guards against hosts that each take themselves for the owner of a quota and each give out their zone's part of it.
func TestOnlyOwnersDecideOverAQuota(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 16, smallRate)
	owners := f.hosts[0].r.quotaOwners("w")
	require.Len(t, owners, 2)
	for _, h := range f.hosts[:16] {
		require.Equal(t, owners, h.r.quotaOwners("w"), "%s", h.ip)
		var answer *gossippb.Charged
		for _, e := range effectsOf[Send](h.r.Reduce(f.now, QuotaRequestReceived{"10.0.0.99", &gossippb.Charge{Number: 1, Workspace: "w", Cost: 10}})) {
			answer = e.Packet.Charged
		}
		require.NotNil(t, answer)
		require.Equal(t, slices.Contains(owners, h.ip), answer.Admitted, "%s", h.ip)
	}
}

// Guards against sums that name all of hundreds of workspaces each time: passed on to a hundred hosts at once they overflow a small
// host's link, and those who miss them take the zone for cut off.
func TestSumsNameWhatWasSpentSince(t *testing.T) {
	const workspaces = 200
	b := newFixture(t, 1)
	cfg := &routing.Config{Version: 9}
	for i := range workspaces {
		cfg.Workspaces = append(cfg.Workspaces, routing.Workspace{Name: fmt.Sprintf("w%03d", i), Rate: 1e6, Burst: 1e6, InTokens: true})
	}
	b.post(Update{FromStore: true, After: rev(50), AsOf: rev(50), Changes: routing.Changes{Config: cfg}})
	for _, q := range b.r.quotas {
		ok, _ := q.Admit(b.now, 10, b.r.hostScope())
		require.True(t, ok)
	}
	require.Len(t, b.r.spentToSend(), workspaces, "all have changed")
	named := map[string]int{}
	for range spentResendSummaries {
		b.r.zones.summariesSent++
		list := b.r.spentToSend()
		require.LessOrEqual(t, len(list), workspaces/spentResendSummaries+1)
		for _, s := range list {
			named[s.Workspace]++
		}
	}
	require.Len(t, named, workspaces, "what was lost is told again")
	ok, _ := b.r.quotas["w123"].Admit(b.now, 10, b.r.hostScope())
	require.True(t, ok)
	names := []string{}
	for _, s := range b.r.spentToSend() {
		names = append(names, s.Workspace)
	}
	require.Contains(t, names, "w123")
}

// Guards against requests that are decided by a host's own small part for as long as a dead owner of their quota seems to live.
func TestSecondOwnerDecidesWhileTheFirstIsSilent(t *testing.T) {
	f := newWorkspace(t, 16, smallRate)
	owners := f.hosts[0].r.quotaOwners("w")
	f.byIP[owners[0]].dead = true
	asker := f.hosts[slices.IndexFunc(f.hosts, func(h *zoneHost) bool { return !slices.Contains(owners, h.ip) })]
	admitted := 0
	for range 3 {
		f.submitAt(asker, &f.workspace, 1000, func(string) { admitted++ })
		f.run(100*time.Millisecond, 0)
	}
	require.Equal(t, 3, admitted)
	require.InDelta(t, 3000, f.byIP[owners[1]].r.quotas["w"].Spent(), 0.1)
	require.Zero(t, asker.r.quotas["w"].Spent())
}
