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
	// burstAt is when the workspace begins to request six times its quota, and burstDuration how long it does.
	burstAt       = 4 * time.Second
	burstDuration = 14 * time.Second
)

// busyWorkspace is a fleet of six zones with a workspace that requests 0.7 times its quota and later six times.
type busyWorkspace struct {
	*zone
	workspace routing.Workspace
	bounds    Bounds
	// admitted holds the tokens admitted by step, and byHost those by host since the beginning.
	admitted []float64
	step     float64 // tokens since the last step
	byHost   map[string]float64
	// demand is the multiple of its quota that the workspace requests after burstAt.
	demand float64
}

func newBusyWorkspace(t testing.TB, hostsPerZone int) *busyWorkspace {
	return newWorkspace(t, hostsPerZone, quotaRate)
}

// newWorkspace is newBusyWorkspace with another quota.
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

// submitRequests submits the workspace's requests and calls at before each step with the time since the beginning.
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

// maxAdmitted returns the largest amount admitted in a window, relative to the operators' bound.
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

// restart replaces a host's process, with the configuration that the other hosts have.
func (f *busyWorkspace) restart(h *zoneHost, incarnation uint64) {
	h.r = New(Options{Host: h.ip, Zone: h.zone, Incarnation: incarnation, Seed: incarnation, Seeds: []string{"10.0.0.1", "10.0.0.2"}, Bounds: f.bounds})
	h.startedAt = f.now
	cfg := *f.hosts[1].r.table.Config
	f.post(h, Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &cfg}})
}

// A workspace of a large fleet suddenly requests six times its quota. Hosts that exchanged only the usual slow
// heartbeats admitted up to 0.99 of the operators' bound, and more on a day that also had network cuts. Heartbeats
// are therefore sent twice as often while a quota is nearly used up.
func TestQuotaHoldsInALargeFleet(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 16)
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 0.89)
}

// A workspace suddenly requests twenty times its quota from three hundred hosts. Each host's share of the burst is
// smaller than one request, and a bucket with credit admits a request of any size, so nearly all hosts overdrew by
// most of a request at the same moment and exceeded the bound. With requests of a twentieth of the size and twelve
// times the quota, such a fleet stays at 0.86 of the bound.
func TestQuotaHoldsInAFleetOfHundreds(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 49)
	f.demand = 20
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// A third of a fleet of 96 hosts restarts while a workspace requests six times its quota.
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

// A third of the hosts are disconnected, each alone, while a workspace requests six times its quota. Each used to
// refill as if the others admitted nothing until it noticed, and to count all callers as its own: together they
// admitted twice the quota, twenty times their even share each. They must stay close to their even share.
func TestDisconnectedHostsStayNearTheirEvenShare(t *testing.T) {
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
	require.Less(t, share, 0.5, "their even share is one third")
	require.Less(t, f.maxAdmitted(), 1.0)
	require.Positive(t, share)
}

// The zones are disconnected from each other for 20 s, as regions occasionally are for an hour, while a workspace
// requests six times its quota from all of them. When zones were forgotten after 15 s, each divided the quota among
// its own hosts only, and together they admitted 4.16 times the bound.
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

// The same with twelve hosts that are all disconnected from each other. They admitted 4.16 times the bound, and 2.25
// times with longer memory alone, because each kept a bucket as full as the whole fleet's.
func TestQuotaHoldsWhileHostsAreAloneForLong(t *testing.T) {
	t.Parallel()
	f := newBusyWorkspace(t, 2)
	f.drops = func(string, string, *gossippb.Packet) bool { return true }
	f.run(20*time.Second, 0)
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

const smallRate = 47_000.0

// Guards against refusing a workspace far below its quota when its callers reach only a few of hundreds of hosts,
// whose shares of the quota are small fractions of one request.
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

// Guards against hundreds of hosts overdrawing a small quota, each by one request many times its share.
func TestSmallQuotaHoldsInAFleetOfHundreds(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 49, smallRate)
	f.demand = 20
	f.submitRequests(func(time.Duration) {})
	require.Less(t, f.maxAdmitted(), 1.0)
}

// Guards against a quota without an owner for seconds after its owners have crashed, and against overdrawing it while
// others take over.
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
	require.Greater(t, late, 0.8*smallRate*(burstAt+burstDuration).Seconds()/2, "the workspace keeps getting its quota")
}

// Guards against charging a workspace for a request decided without its owner, whose reply came late, and against
// keeping the charge of a request that is refused for lack of a slot.
func TestWhatAnOwnerAdmitsAndDoesNotRunIsGivenBack(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 16, smallRate)
	requester := f.hosts[0]
	owner := f.byIP[requester.r.quotaOwners("w")[0]]
	if owner == requester {
		requester = f.hosts[1]
	}
	spent := func() float64 { return owner.r.quotas["w"].Spent() }
	f.next++
	f.post(requester, Submit{ID: f.next, Route: urgentRoute, Workspace: &f.workspace, Cost: 1000, Deadline: f.now + time.Second})
	f.post(requester, CallerLeft{ID: f.next}) // its caller leaves before the owner replies
	f.run(20*time.Millisecond, 0)
	require.Zero(t, spent())

	for _, b := range requester.r.allBackends() {
		b.evacuated = true
	}
	f.next++
	f.runs[f.next] = &zoneRun{host: requester, submittedAt: f.now}
	f.post(requester, Submit{ID: f.next, Route: urgentRoute, Workspace: &f.workspace, Cost: 1000, Deadline: f.now + time.Second})
	f.run(20*time.Millisecond, 0)
	require.Equal(t, 1, f.refused)
	require.Zero(t, spent())
}

// Guards against several hosts considering themselves owner of a quota and each granting their zone's share.
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

// Guards against zone summaries that list all of hundreds of workspaces each time. Relayed to a hundred hosts at once
// they overflow a small host's link, and hosts that miss them consider the zone disconnected.
func TestSummariesListOnlyNewSpending(t *testing.T) {
	t.Parallel()
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
	require.Len(t, named, workspaces, "lost updates are repeated")
	ok, _ := b.r.quotas["w123"].Admit(b.now, 10, b.r.hostScope())
	require.True(t, ok)
	names := []string{}
	for _, s := range b.r.spentToSend() {
		names = append(names, s.Workspace)
	}
	require.Contains(t, names, "w123")
}

// Guards against hosts deciding by their own small share of a quota until a crashed owner is detected.
func TestSecondOwnerDecidesWhileTheFirstIsSilent(t *testing.T) {
	t.Parallel()
	f := newWorkspace(t, 16, smallRate)
	owners := f.hosts[0].r.quotaOwners("w")
	f.byIP[owners[0]].dead = true
	requester := f.hosts[slices.IndexFunc(f.hosts, func(h *zoneHost) bool { return !slices.Contains(owners, h.ip) })]
	admitted := 0
	for range 3 {
		f.submitAt(requester, &f.workspace, 1000, func(string) { admitted++ })
		f.run(100*time.Millisecond, 0)
	}
	require.Equal(t, 3, admitted)
	require.InDelta(t, 3000, f.byIP[owners[1]].r.quotas["w"].Spent(), 0.1)
	require.Zero(t, requester.r.quotas["w"].Spent())
}
