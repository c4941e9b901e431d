package router

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

const (
	// storeTimeout is how long a host that has a peer's configuration waits for the store before
	// it takes callers.
	storeTimeout = 1200 * time.Millisecond
	// pullDelay is how long a peer may know more before this host asks it: the store's own news
	// mostly come within milliseconds, so that an earlier question would be wasted.
	pullDelay = 250 * time.Millisecond
	// pullInterval spaces the questions.
	pullInterval = 300 * time.Millisecond
	// fullPullInterval spaces questions to hosts that differ without knowing more.
	fullPullInterval = 3 * time.Second
	// tombstoneTTL keeps the memory of removed backend servers: longer than any cut after which a
	// peer may bring an old registration back.
	tombstoneTTL = 2 * time.Minute
	// lapsedGracePeriod is how long a registration that lapsed around an outage of the store may still be
	// used: a live backend server is registered again within two seconds of the store's return.
	lapsedGracePeriod = 1800 * time.Millisecond
	// lapseWindow is how long after the store's return removals are taken for lapses.
	lapseWindow = 3 * time.Second
)

type updateState struct {
	revision routing.Revision // highest revision known
	// completeTo is the revision up to which every change of backend servers is known, so that only
	// later ones have to be asked for, and a registration that is older and unknown is gone.
	completeTo routing.Revision
	// eraSeenAt is when complete came into its era of the store, and changes counts what changed of backend servers.
	eraSeenAt    time.Duration
	changes      int
	fingerprints uint64 // of all live registrations
	synced       bool   // the store has been read since the start
	reading      bool   // this host reads the store
	storeTriedAt time.Duration
	storeLost    bool
	// failed tells that the store has failed this host since it began to read at listedAt.
	failed          bool
	listedAt        time.Duration
	storeBackAt     time.Duration
	pulledAt        time.Duration
	storeAnsweredAt time.Duration // latest word of the store
	configWithheld  bool          // the traffic side does not know the configuration yet
}

func newUpdateState() updateState {
	return updateState{storeLost: true}
}

func (r *Router) version() uint64 {
	if r.table == nil {
		return 0
	}
	return r.table.Config.Version
}

func (r *Router) storeContact(ok bool) {
	if r.updates.storeTriedAt == 0 {
		r.updates.storeTriedAt = max(1, r.now)
	}
	if !ok {
		r.heartbeatPending = r.heartbeatPending || r.listingStore() // those that rely on it hear at once
		r.updates.failed = true
	}
	if ok == !r.updates.storeLost {
		return
	}
	r.updates.storeLost = !ok
	r.heartbeatPending = r.heartbeatPending || r.updates.reading
	if ok {
		r.updates.storeBackAt = r.now
		r.emit(Note{What: "store answers"})
		return
	}
	r.emit(Note{What: "store does not answer"})
}

// applyUpdate merges news from anywhere. What decides is the version of the configuration and the
// revision of each registration, so that the order in which news come does not matter and an older
// peer or a stale read cannot take anything back.
func (r *Router) applyUpdate(n Update) {
	if n.FromStore {
		r.storeContact(true)
		r.updates.synced = true
		r.updates.storeAnsweredAt = r.now
	}
	if n.Config != nil && n.Config.Version > r.version() {
		r.applyConfig(n.Config)
	}
	before := r.updates.changes
	for _, e := range n.Evacuations {
		r.applyEvacuation(e, cmp.Or(n.From, "store"))
	}
	for _, ch := range n.Backends {
		r.applyBackendChange(ch)
	}
	if n.Full {
		r.removeUnlisted(n)
		r.endUnlisted(n)
	}
	r.updates.revision = routing.Latest(r.updates.revision, n.Revision)
	if !n.After.After(r.updates.completeTo) {
		r.advanceCompleteTo(n, r.updates.changes-before)
	}
	if n.FromStore && !n.Full {
		r.pushChanges(n.Changes)
	}
}

// lostBackendTTL is how long after a later era of the store is heard a backend server stays that it does not list: one that
// lives writes again what the store has lost within two seconds of its return.
const lostBackendTTL = 2500 * time.Millisecond

// advanceCompleteTo notes up to which revision every change is known. Where that is of a later era, the store has come back from an older
// copy of itself.
func (r *Router) advanceCompleteTo(n Update, changed int) {
	was := r.updates.completeTo
	r.updates.completeTo = routing.Latest(was, n.AsOf)
	if r.updates.completeTo.Era == was.Era {
		return
	}
	r.updates.eraSeenAt = r.now
	// Peers hear of the era by this, also where the copy lists no backend server.
	r.updates.revision = routing.Latest(r.updates.revision, routing.Revision{Era: r.updates.completeTo.Era})
	if was == (routing.Revision{}) {
		return // this host has just started
	}
	from := n.From
	if n.FromStore {
		from = "store"
	}
	r.emit(Note{What: "store is back from an older copy", Subject: from,
		Detail: fmt.Sprintf("revision %s after %s, %d backend servers changed", r.updates.completeTo, was, changed)})
}

// removeLostBackends gives up the backend servers that the store had lost and that have not registered there again.
func (r *Router) removeLostBackends() {
	era := r.updates.completeTo.Era
	if era == 0 || r.now-r.updates.eraSeenAt < lostBackendTTL {
		return
	}
	for _, b := range r.allBackends() {
		if !b.removed && b.revision.Era < era {
			r.removeBackend(b, routing.BackendChange{Revision: routing.Revision{Era: era}, Removed: true})
		}
	}
}

const (
	// maxPush is the most changes of backend servers that go into one datagram, some 2 KB.
	maxPush = 8
	// maxPushes bounds the datagrams of one push; who misses what is beyond asks for it.
	maxPushes = 8
)

// pushChanges tells the zone at once what the store has just said, where few hosts read it.
func (r *Router) pushChanges(c routing.Changes) {
	if !r.largeFleet() {
		return
	}
	pushes := 0
	for part := range slices.Chunk(c.Backends, maxPush) {
		if pushes++; pushes > maxPushes {
			return
		}
		data, err := json.Marshal(part)
		if err != nil {
			r.emit(Note{What: "changes not pushed", Detail: err.Error()})
			return
		}
		r.emitHeartbeat(r.zonePeers(), func(b *gossippb.Beat) { b.Changes = data })
	}
}

// applyPushedChanges merges changes that a peer pushes.
func (r *Router) applyPushedChanges(data []byte) {
	if len(data) == 0 {
		return
	}
	var list []routing.BackendChange
	if err := json.Unmarshal(data, &list); err != nil {
		r.emit(Note{What: "pushed changes refused", Detail: err.Error()})
		return
	}
	for _, ch := range list {
		r.applyBackendChange(ch)
	}
}

func (r *Router) applyConfig(c *routing.Config) {
	r.invariants.Check(c.Version > r.version(), "configuration goes back from %d to %d", r.version(), c.Version)
	// Those that wait for a first configuration, or rely on this host's reading, hear of it at once.
	r.heartbeatPending = r.heartbeatPending || r.table == nil || r.updates.reading
	r.table = routing.NewTable(c)
	r.noteUnknownRegions(c)
	for i := range c.Workspaces {
		r.setQuota(&c.Workspaces[i])
	}
	r.activateConfig()
}

// activateConfig lets the traffic side go by the configuration. A host of a large fleet that has just started
// waits a moment longer: its part of the quotas follows from how many hosts there are, which it does not
// know yet.
func (r *Router) activateConfig() {
	r.updates.configWithheld = r.largeFleet() && r.now < maxStartDelay
	if !r.updates.configWithheld {
		r.emit(ConfigActivated{r.table})
	}
}

func (r *Router) setQuota(w *routing.Workspace) {
	q, ok := r.quotas[w.Name]
	if w.Rate <= 0 {
		delete(r.quotas, w.Name)
		r.sortedQuotas = nil
		return
	}
	if ok {
		q.Set(w.Rate, w.Burst)
		return
	}
	q = limit.NewQuota(r.now, w.Rate, w.Burst, r.allowance())
	q.SetAdmitThreshold(r.rng.Float64())
	if r.now < zoneDiscoveryDuration {
		q.StaggerStart(r.rng.Float64())
	}
	for _, h := range r.members.order {
		m := r.members.byHost[h]
		if s, ok := m.spent[w.Name]; ok {
			q.ApplyPeerTotal(limit.PeerTotal{Peer: m.quotaKey, Spent: float64(s)})
		}
	}
	r.quotas[w.Name] = q
	r.sortedQuotas = nil
}

func (r *Router) removeUnlisted(n Update) {
	listed := map[string]bool{}
	for _, ch := range n.Backends {
		listed[ch.ID] = true
	}
	for _, b := range r.allBackends() {
		lost := b.revision.Era < n.AsOf.Era // by the store; see dropLost
		if !listed[b.ID] && !b.removed && !lost && !b.revision.After(n.AsOf) {
			r.removeBackend(b, routing.BackendChange{Revision: n.AsOf, Removed: true})
		}
	}
}

func (r *Router) expireBackends() {
	r.removeLostBackends()
	for _, id := range slices.Sorted(maps.Keys(r.tombstones)) {
		b := r.tombstones[id]
		if r.now-b.removedAt > tombstoneTTL && b.ownLoad.total() == 0 {
			delete(r.tombstones, id)
			delete(r.warming, id)
			delete(r.backends, id)
			delete(r.byHash, b.hash)
			r.invalidateBackendLists()
		}
	}
}

// allBackends are the known backend servers in order of their ids; the list is kept until one is added
// or removed, as each beat and tick goes through it.
func (r *Router) allBackends() []*backend {
	if r.sortedBackends == nil {
		r.sortedBackends = slices.SortedFunc(maps.Values(r.backends), func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.sortedBackends
}

// invalidateBackendLists makes the lists of backend servers anew at their next use.
func (r *Router) invalidateBackendLists() {
	r.sortedBackends, r.byService, r.zoneByService, r.byZone = nil, nil, nil, nil
	r.owners.valid = false
}

// groupBy puts backend servers into lists by what a key says of them, in their order.
func groupBy(list []*backend, key func(*backend) string) map[string][]*backend {
	out := map[string][]*backend{}
	for _, b := range list {
		out[key(b)] = append(out[key(b)], b)
	}
	return out
}

func serviceName(b *backend) string { return b.Service }

func zoneName(b *backend) string { return b.Zone }

// backendsOf are the known backend servers of a service, in order of their ids.
func (r *Router) backendsOf(service string) []*backend {
	if r.byService == nil {
		r.byService = groupBy(r.allBackends(), serviceName)
	}
	return r.byService[service]
}

// backendsIn are the known backend servers of an availability zone, in order of their ids.
func (r *Router) backendsIn(zone string) []*backend {
	if r.byZone == nil {
		r.byZone = groupBy(r.allBackends(), zoneName)
	}
	return r.byZone[zone]
}

// zoneBackendsOf are those of a service that are in this host's zone, in order of their ids.
func (r *Router) zoneBackendsOf(service string) []*backend {
	if r.zoneByService == nil {
		r.zoneByService = groupBy(r.backendsIn(r.opt.Zone), serviceName)
	}
	return r.zoneByService[service]
}

// fingerprint stands for a registration in a digest.
func (b *backend) fingerprint() uint64 {
	text := binary.LittleEndian.AppendUint64([]byte(b.ID), b.revision.Number)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(text, b.revision.Era))
}

// versionFactor spreads versions over a digest: the golden ratio in 64 bits.
const versionFactor = 0x9E3779B97F4A7C15

// digest is equal on hosts that hold the same news.
func (r *Router) digest() uint64 { return r.version()*versionFactor + r.updates.fingerprints }

// compareDigests asks a peer for its news if it has held others for a while: the store may be out of
// this host's reach, or may refuse this host alone.
func (r *Router) compareDigests(m *member, b *gossippb.Beat) {
	if b.Digest == r.digest() {
		m.differsSince = 0
		return
	}
	if m.differsSince == 0 {
		m.differsSince = max(1, r.now)
	}
	// What is known may have gaps up to the highest revision: a push that was lost, and a later one that
	// was not. Only up to complete there are none.
	newer := b.ConfigVersion > r.version() || routing.Revision{Era: b.Era, Number: b.Revision}.After(r.updates.completeTo)
	wait, every := pullDelay, pullInterval
	since := Since{Revision: r.updates.completeTo, Version: r.version()}
	if !newer {
		// Something was missed on the way, so that what is known is less than it seems: ask for all.
		wait, every, since = fullPullInterval, fullPullInterval, Since{}
	}
	if r.table == nil {
		wait = 0
	}
	if b.Digest == 0 || r.now-m.differsSince < wait || (r.updates.pulledAt > 0 && r.now-r.updates.pulledAt < every) {
		return
	}
	r.updates.pulledAt = r.now
	r.emit(Pull{m.host, since})
}

// Snapshot is what this host knows beyond what a peer that asks has already. At 3,000 backend servers
// the whole is most of a megabyte, which a hundred hosts that ask at once cannot send in time.
func (r *Router) Snapshot(since Since) Update {
	n := Update{Revision: r.updates.revision, After: since.Revision, AsOf: r.updates.completeTo}
	if r.table != nil && r.version() > since.Version {
		n.Config = r.table.Config
	}
	for _, zone := range slices.Sorted(maps.Keys(r.evacuations)) {
		n.Evacuations = append(n.Evacuations, r.evacuations[zone].Evacuation)
	}
	for _, b := range r.allBackends() {
		if !b.revision.After(since.Revision) {
			continue
		}
		told := b.Backend
		told.Cold = max(0, b.warming.until-r.now)
		n.Backends = append(n.Backends, routing.BackendChange{Backend: told, Revision: b.revision, Removed: b.removed})
	}
	return n
}
