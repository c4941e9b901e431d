// Package router is the state machine of one host, a reducer: events go in, effects come out as data. It does no I/O, reads no clock,
// starts no goroutine and makes no unseeded choice. In a small fleet without admission queues each host decides locally where its
// requests go, from the loads that hosts report in heartbeats, and exchanges no message per request, except to borrow a slot at a
// brittle backend server. In a large fleet, and in any fleet with admission queues, a host requests a slot from the host that owns the
// backend server, and decides locally if the owner does not reply.
//
// Each file covers one concern:
//   - members, peers, heartbeats, zones: other hosts, and summaries between availability zones
//   - updates, pulls, reading, registrations, backends, lapses: the configuration and the backend servers, from the store or a peer
//   - requests, moves: the life cycle of a request, also at a second backend server
//   - select, predict, speed, enginelimits: choice of a backend server by expected wait, learned speeds and limits
//   - owners, ownercalls, slotrequests, slotgrants, backlogs: which host owns which backend server, and calls to it
//   - admission, queuegrants, fasterengines: requests that wait for this host's backend servers, and who is granted a slot
//   - queuedcalls, queuechoice, patience: requests of this host that wait at owners, at which, and for how long
//   - demand, spills: what callers ask of each zone, and requests that go to another zone before their own is full
//   - origins, originqueries, versions: which software version began a stream
//   - quotas, senders, statements: rates and quotas that hosts share
//   - eligibility, cold, ratelimits, brittle, failing, evacuations, regions, announcements: reasons to send a backend server few
//     requests or none
//   - suspects, quarantine: requests that crash backend servers
//   - reach, reachprobes, refusals, relays: whether this host is cut off from backend servers that others reach, and calls through them
package router

import (
	"math/rand/v2"
	"time"

	"fireflyshift/internal/invariant"
	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

// Bounds are the limits, set by operators, that all hosts keep together.
type Bounds struct {
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryExtra   float64 // retries allowed beyond the ratio, over all hosts, per window
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64
	// A cold backend server gets at most its rate times ColdOverage plus ColdSlack requests in any second, over all hosts.
	ColdOverage float64
	ColdSlack   float64
}

// Options are the settings of a Router that do not change.
type Options struct {
	Host        string // IP address
	Zone        string
	Regions     map[string]string // by availability zone
	Incarnation uint64
	Seeds       []string
	Bounds      Bounds
	Seed        uint64
	Admission   AdmissionSettings
	Balancing   BalancingSettings
}

// BalancingSettings enable decisions for uneven backend servers and availability zones. They are the same on all hosts of a fleet.
type BalancingSettings struct {
	// LearnedLimits limits the requests at each engine by its learned pace.
	LearnedLimits bool
	// EarlySpill sends a part of the requests to other zones before this host's own zone is full.
	EarlySpill bool
}

// AdmissionSettings are the settings of the admission queues at owners. They are the same on all hosts of a fleet.
type AdmissionSettings struct {
	Enabled bool
	// MaxRequests is the number of requests that may wait at one owner for one service.
	MaxRequests int
}

// Router is the state of one host. It is not safe for concurrent use.
type Router struct {
	opt        Options
	now        time.Duration
	rng        *rand.Rand
	invariants invariant.Log
	effects    []Effect
	table      *routing.Table
	members    members
	updates    updateState
	outage     storeOutage
	backends   map[string]*backend
	byHash     map[uint32]*backend
	// tombstones are the backend servers whose registration was removed, warming the cold ones; both by ID.
	tombstones map[string]*backend
	warming    map[string]*backend
	// rateLimits are the backend servers that state rate limits, or did until recently, by ID.
	rateLimits map[string]*backend
	// brittle are the backend servers that state a limit on rejected requests, or did until recently, by ID.
	brittle map[string]*backend
	// sortedBackends are the backend servers in order of ID; nil if the list must be rebuilt.
	sortedBackends []*backend
	// byService groups sortedBackends by service, byZone by zone, and zoneByService those of this host's zone by service;
	// nil if they must be rebuilt.
	byService     map[string][]*backend
	zoneByService map[string][]*backend
	byZone        map[string][]*backend
	owners        ownerState
	// slotRequests are the requests to owners that await an answer.
	slotRequests ownerCalls[*slotRequest]
	// queuedCalls are the requests of this host that wait at owners, queues those that wait at this host as an owner.
	queuedCalls queuedCalls
	queues      admissionQueues
	spill       spillState
	// allowed is the time that callers have lately allowed, by route.
	allowed map[string]*allowedTimes
	// maintenanceAt is when runMaintenance is next due in a large fleet.
	maintenanceAt time.Duration
	zones         zoneState
	services      map[string]*service
	requests      map[uint64]*request
	// candidates is scratch space for choosing a backend server, kept to avoid allocations.
	candidates [numClasses][]candidate
	quotas     map[string]*limit.Quota
	quotaState quotaState
	// sortedQuotas are the names of the workspaces with quotas; nil if the list must be rebuilt. reportedSpent is the amount
	// last sent for each in a heartbeat, and spentReports counts those heartbeats.
	sortedQuotas  []string
	reportedSpent map[string]uint64
	spentReports  int
	heartbeatAt   time.Duration
	// quotaLowUntil is until when some quota is taken to be nearly exhausted; heartbeats are then due at quotaLowHeartbeatAt.
	quotaLowUntil       time.Duration
	quotaLowHeartbeatAt time.Duration
	seq                 uint64
	// heartbeatPending is set if something that others should learn soon has changed since the last heartbeat; the next one is
	// then sent from earlyHeartbeatAt on.
	heartbeatPending bool
	earlyHeartbeatAt time.Duration
	drain            *Drain
	suspects         suspectState
	origins          originState
	reach            reachTracker
	// evacuations are by availability zone.
	evacuations map[string]*evacuation
	// relayBackoff is until when a host is not used as a relay.
	relayBackoff map[string]time.Duration
	// pauses are the pauses that streams accept, limitCounts what has happened to learned limits.
	pauses      pauseBounds
	limitCounts LimitCounts
}

// New returns a Router with no configuration and no peers.
func New(opt Options) *Router {
	r := &Router{
		opt:           opt,
		rng:           rand.New(rand.NewPCG(opt.Seed, opt.Incarnation)),
		members:       newMembers(),
		updates:       newUpdateState(),
		backends:      map[string]*backend{},
		byHash:        map[uint32]*backend{},
		tombstones:    map[string]*backend{},
		warming:       map[string]*backend{},
		rateLimits:    map[string]*backend{},
		brittle:       map[string]*backend{},
		zones:         newZoneState(),
		services:      map[string]*service{},
		requests:      map[uint64]*request{},
		quotas:        map[string]*limit.Quota{},
		reportedSpent: map[string]uint64{},
		owners:        newOwnerState(),
		queues:        newAdmissionQueues(),
		allowed:       map[string]*allowedTimes{},
		quotaState:    newQuotaState(),
		suspects:      newSuspectState(),
		origins:       newOriginState(),
		reach:         newReachTracker(),

		evacuations:  map[string]*evacuation{},
		relayBackoff: map[string]time.Duration{},
	}
	r.zones.firstRead = r.firstRead()
	return r
}

// Reduce applies one event at now, on the host's boot-time clock, which continues while the machine is suspended. It
// returns the effects to carry out.
func (r *Router) Reduce(now time.Duration, ev Event) []Effect {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case Tick:
		r.tick()
	case Submit:
		r.submit(e)
	case StreamStarted:
		r.handleStreamStarted(e)
	case StreamProgress:
		r.handleStreamProgress(e)
	case Stalled:
		r.handleStalled(e.ID)
	case CallerLeft:
		r.callerGone(e.ID)
	case DispatchEnded:
		r.handleDispatchEnded(e)
	case HeartbeatReceived:
		r.handleHeartbeat(e.Heartbeat)
	case SlotRequestReceived:
		r.handleSlotRequest(e.From, e.Ask)
	case SlotOfferReceived:
		r.handleSlotOffer(e.From, e.Offer)
	case WithdrawReceived:
		r.handleWithdraw(e.From, e.Withdraw)
	case ReportReceived:
		r.handleReport(e.From, e.Report)
	case OccupancyReceived:
		r.handleOccupancy(e.From, e.Occupancy)
	case QuotaRequestReceived:
		r.handleQuotaRequest(e.From, e.Charge)
	case QuotaReplyReceived:
		r.handleQuotaReply(e.From, e.Charged)
	case OriginReceived:
		r.handleStreamOrigin(e.From, e.Origin)
	case OriginQueryReceived:
		r.handleOriginQuery(e.From, e.Query)
	case OriginReplyReceived:
		r.handleOriginReply(e.From, e.Reply)
	case RelayReceived:
		r.applyZoneSummaries(r.opt.Zone, e.Relay.Zones)
	case Update:
		r.applyUpdate(e)
	case StoreStatus:
		r.handleStoreStatus(e.OK)
	case BackendAnnouncement:
		r.handleAnnouncement(e)
	case ProbeResult:
		r.handleProbeResult(e)
	case SettingsChanged:
		r.applySettings(e)
	case Drain:
		r.drain = &e
		r.membersChanged()
		r.sendHeartbeats()
	}
	r.serveQueues()
	r.sendEarlyHeartbeat()
	out := r.effects
	r.effects = nil
	return out
}

// applySettings applies changed settings. Quotas keep what has been spent; retry budgets start anew.
func (r *Router) applySettings(e SettingsChanged) {
	r.opt.Seeds = e.Seeds
	r.applyAdmissionSettings(e.Admission)
	r.applyBalancingSettings(e.Balancing)
	if e.Bounds == r.opt.Bounds {
		return
	}
	r.opt.Bounds = e.Bounds
	for _, s := range r.services {
		s.budget = nil
	}
	for _, q := range r.quotas {
		q.SetAllowance(r.allowance())
	}
}

func (r *Router) allowance() limit.Allowance {
	b := r.opt.Bounds
	return limit.Allowance{Window: b.QuotaWindow, Overage: b.QuotaOverage, Slack: b.QuotaSlack}
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

// maintenanceInterval is the interval between two runs of runMaintenance in a large fleet. Everything that expires there does so
// after half a second or more, so a delay of a tenth of a second does no harm.
const maintenanceInterval = 100 * time.Millisecond

func (r *Router) tick() {
	r.sampleOccupancy()
	r.expireSlotRequests()
	r.expireQueuedCalls()
	r.expireQueues()
	r.expireQuotaRequests()
	r.expireOriginQueries()
	if r.now >= r.maintenanceAt {
		r.runMaintenance()
		if r.largeFleet() {
			r.maintenanceAt = r.now + maintenanceInterval
		}
	}
	if r.updates.configWithheld {
		r.activateConfig()
	}
	r.tickReach()
	r.pullMissing()
	r.pushDepartures()
	r.relaySummaries()
	r.updateSpill()
	r.sendOccupancy()
	r.sendZoneSummaries()
	if r.now >= r.heartbeatAt || (r.now < r.quotaLowUntil && r.now >= r.quotaLowHeartbeatAt) {
		r.sendHeartbeats()
	}
}

// runMaintenance expires outdated state and decides whether this host reads the store.
func (r *Router) runMaintenance() {
	r.expireMembers()
	r.detectOutage()
	r.expireZones()
	r.expireBackends()
	r.expireEvacuations()
	r.updateCold()
	r.updateRateLimits()
	r.updateBrittleLimits()
	r.expireOwnerLoads()
	r.expireSuspects()
	r.updateReading()
}

// Violations returns and clears the invariant violations recorded since the last call.
func (r *Router) Violations() []string { return r.invariants.Take() }

// Table returns the configuration in force, or nil if there is none yet.
func (r *Router) Table() *routing.Table { return r.table }

// Ready reports whether the load balancer should send callers to this host: it has a configuration, read from the store or
// obtained from a peer while the store does not answer, and is not shutting down.
func (r *Router) Ready() bool {
	if r.table == nil || r.drain != nil || r.updates.configWithheld {
		return false
	}
	return r.updates.synced || r.now-r.updates.storeTriedAt >= storeTimeout
}
