// Package router is the reducer of a host on the platform's path: every event goes in, effects come
// out as data. In a small fleet each host decides alone where its requests go, from beliefs that hosts
// spread in heartbeats, and no message is exchanged for a request. In a large one a host asks the owner of
// some backend servers for a place, and decides alone where that does not answer. There is no I/O, clock,
// goroutine or unseeded choice inside.
//
// One file is one concern: members (who else is there), news (configuration and backend servers), backends
// (what is believed of each), zones (sums between availability zones), peers (which hosts are named to
// others), reading (who reads the store), evacuations, cold, failing and regions (why a backend server gets no or few
// requests), place (where a request goes), owners (who is asked), ask (questions for a place), grant (answers to them),
// quotas (who decides over a workspace's), requests (their lives), beats.
package router

import (
	"math/rand/v2"
	"time"

	"fireflyshift/internal/invariant"
	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

// Bounds are the operators' figures that hosts keep together.
type Bounds struct {
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64 // repeats beyond the ratio, over all hosts, a window
	QuotaWindow time.Duration
	QuotaOver   float64
	QuotaSlack  float64
	// A cold backend server gets at most its rate times ColdOver plus ColdSlack requests in any second, over all hosts.
	ColdOver  float64
	ColdSlack float64
}

// Options are the fixed settings of a reducer.
type Options struct {
	Host        string // IP number
	Zone        string
	Regions     map[string]string // of availability zones
	Incarnation uint64
	Seeds       []string
	Bounds      Bounds
	Seed        uint64
}

// Router is the state of one host. Only one goroutine may use it.
type Router struct {
	opt        Options
	now        time.Duration
	rng        *rand.Rand
	invariants invariant.Log
	effects    []Effect
	table      *routing.Table
	members    members
	updates    updateState
	backends   map[string]*backend
	byHash     map[uint32]*backend
	// tombstones are the backends whose registration is gone, and warming those that are cold, by id.
	tombstones map[string]*backend
	warming    map[string]*backend
	// sortedBackends are the backends in order of their ids; nil where it must be made again.
	sortedBackends []*backend
	// byService are the backends by service, in order, inZone those of this host's zone, and byZone all by zone; nil
	// where they must be made again.
	byService     map[string][]*backend
	zoneByService map[string][]*backend
	byZone        map[string][]*backend
	owners        ownerState
	// slotRequests are the questions to owners for places.
	slotRequests ownerCalls[*slotRequest]
	// maintenanceAt is when a large fleet's lists are next gone through.
	maintenanceAt time.Duration
	zones         zoneState
	services      map[string]*service
	requests      map[uint64]*request
	// candidates is where decisions gather them, kept so that none allocates.
	candidates [numClasses][]candidate
	quotas     map[string]*limit.Quota
	limits     quotaState
	// sortedQuotas are the names of quotas, nil where the list must be made again; toldSpent is what beats
	// last told of each, and spentTold counts them.
	sortedQuotas  []string
	reportedSpent map[string]uint64
	spentReports  int
	heartbeatAt   time.Duration
	// quotaLowUntil is until when some quota is taken to be near its end; beats then go out at tightAt already.
	quotaLowUntil       time.Duration
	quotaLowHeartbeatAt time.Duration
	seq                 uint64
	// heartbeatPending tells that this host carries something else than its last beat said; it is told from
	// changeAt on.
	heartbeatPending bool
	earlyHeartbeatAt time.Duration
	drain            *Drain
	suspects         suspectState
	// evacuations are by availability zone.
	evacuations map[string]*evacuation
}

// New returns a reducer in its first state: no configuration, no peers.
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
		zones:         newZoneState(),
		services:      map[string]*service{},
		requests:      map[uint64]*request{},
		quotas:        map[string]*limit.Quota{},
		reportedSpent: map[string]uint64{},
		owners:        newOwnerState(),
		limits:        newQuotaState(),
		suspects:      newSuspectState(),

		evacuations: map[string]*evacuation{},
	}
	r.zones.firstRead = r.firstRead()
	return r
}

// Reduce takes one event at a moment of the host's boot-time clock, which goes on while the machine
// is suspended, and returns the work to do.
func (r *Router) Reduce(now time.Duration, ev Event) []Effect {
	r.now = max(r.now, now)
	switch e := ev.(type) {
	case Tick:
		r.tick()
	case Submit:
		r.submit(e)
	case StreamStarted:
		r.handleBegan(e)
	case StreamProgress:
		r.handlePaced(e)
	case Stalled:
		r.handleStalled(e.ID)
	case CallerLeft:
		r.callerGone(e.ID)
	case DispatchEnded:
		r.handleEnded(e)
	case HeartbeatReceived:
		r.handleHeartbeat(e.Heartbeat)
	case SlotRequestReceived:
		r.handleSlotRequest(e.From, e.Ask)
	case SlotOfferReceived:
		r.handleOffer(e.From, e.Offer)
	case ReportReceived:
		r.handleReport(e.From, e.Report)
	case OccupancyReceived:
		r.handleOccupancy(e.From, e.Occupancy)
	case ChargeRequestReceived:
		r.handleQuotaRequest(e.From, e.Charge)
	case ChargeResponseReceived:
		r.handleQuotaReply(e.From, e.Charged)
	case RelayReceived:
		r.applyZoneSummaries(r.opt.Zone, e.Relay.Zones)
	case Update:
		r.applyUpdate(e)
	case StoreStatus:
		r.storeContact(e.OK)
	case BackendAnnouncement:
		r.handleAnnouncement(e)
	case ProbeResult:
		r.handleChecked(e)
	case SettingsChanged:
		r.applySettings(e)
	case Drain:
		r.drain = &e
		r.membersChanged()
		r.sendHeartbeats()
	}
	r.sendEarlyHeartbeat()
	out := r.effects
	r.effects = nil
	return out
}

// applySettings takes changed settings; limits go on with the new bounds from what is spent.
func (r *Router) applySettings(e SettingsChanged) {
	r.opt.Seeds = e.Seeds
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
	return limit.Allowance{Window: b.QuotaWindow, Overage: b.QuotaOver, Slack: b.QuotaSlack}
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

// maintenanceInterval is how often a host of a large fleet goes through its lists of hosts and backend servers. What
// expires there does so after half a second or more, so that a tenth later is early enough.
const maintenanceInterval = 100 * time.Millisecond

func (r *Router) tick() {
	r.expireSlotRequests()
	r.expireQuotaRequests()
	if r.now >= r.maintenanceAt {
		r.runMaintenance()
		if r.largeFleet() {
			r.maintenanceAt = r.now + maintenanceInterval
		}
	}
	if r.updates.configWithheld {
		r.activateConfig()
	}
	r.relaySummaries()
	r.sendOccupancy()
	r.sendZoneSummaries()
	if r.now >= r.heartbeatAt || (r.now < r.quotaLowUntil && r.now >= r.quotaLowHeartbeatAt) {
		r.sendHeartbeats()
	}
}

// runMaintenance are what time does to lists.
func (r *Router) runMaintenance() {
	r.expireMembers()
	r.expireZones()
	r.expireBackends()
	r.expireEvacuations()
	r.updateCold()
	r.expireOwnerLoads()
	r.expireSuspects()
	r.updateReading()
}

// Violations takes the invariant violations since the last call.
func (r *Router) Violations() []string { return r.invariants.Take() }

// Table is the configuration in force, or nil.
func (r *Router) Table() *routing.Table { return r.table }

// Ready tells whether the balancer should send callers here: the configuration is known from the
// store, or from a peer while the store does not answer, and the host is not shutting down.
func (r *Router) Ready() bool {
	if r.table == nil || r.drain != nil || r.updates.configWithheld {
		return false
	}
	return r.updates.synced || r.now-r.updates.storeTriedAt >= storeTimeout
}
