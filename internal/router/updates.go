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
	// storeTimeout is how long a host that has obtained a configuration from a peer waits for the store before it becomes
	// ready.
	storeTimeout = 1200 * time.Millisecond
	// tombstoneTTL is how long removed backend servers are remembered: longer than any network partition after which a peer may
	// report an outdated registration.
	tombstoneTTL = 2 * time.Minute
)

// updateState is what this host knows of the store and of the data read from it.
type updateState struct {
	revision routing.Revision // highest revision known
	// completeTo is the revision up to which every change of backend servers is known. Only later changes are pulled, and
	// an unknown registration that is older was removed.
	completeTo routing.Revision
	// eraSeenAt is when completeTo entered its era of the store. changes counts changes of backend servers.
	eraSeenAt    time.Duration
	changes      int
	fingerprints uint64 // sum over all live registrations and evacuations
	synced       bool   // the store has been read since the start
	reading      bool   // this host reads the store
	storeTriedAt time.Duration
	storeLost    bool
	// storeFailed is set if the store has failed this host since listedAt, when it began to read.
	storeFailed     bool
	listedAt        time.Duration
	pulledAt        time.Duration // time of the latest pull from any peer
	storeAnsweredAt time.Duration // time of the latest answer
	followedSince   time.Duration // since when this host has seen each version that was registered
	configWithheld  bool          // the configuration has not been activated yet; see activateConfig
	// source is where the changes that are being merged come from, for logs.
	source string
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

func (r *Router) handleStoreStatus(ok bool) {
	if r.updates.storeTriedAt == 0 {
		r.updates.storeTriedAt = max(1, r.now)
	}
	if !ok {
		r.heartbeatPending = r.heartbeatPending || r.listingStore() // hosts that rely on this one learn of it at once
		r.updates.storeFailed = true
	}
	if ok == !r.updates.storeLost {
		return
	}
	r.updates.storeLost = !ok
	r.heartbeatPending = r.heartbeatPending || r.updates.reading
	if ok {
		r.noteStoreServes()
		r.emit(Note{What: "store answers"})
		return
	}
	r.detectOutage()
	r.emit(Note{What: "store does not answer"})
}

// applyUpdate merges an update from the store or a peer. The version of the configuration and the revision of each
// registration decide, so updates may arrive in any order, and an outdated peer or a stale read cannot undo anything.
func (r *Router) applyUpdate(n Update) {
	r.updates.source = r.sourceOf(n)
	if n.FromStore {
		r.handleStoreStatus(true)
		r.noteStoreRead(n.Full)
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

// sourceOf describes for logs where an update comes from. silent_ms is how long the store had not answered this host before.
func (r *Router) sourceOf(n Update) string {
	if !n.FromStore {
		return "pull peer=" + n.From
	}
	how := "watch"
	if n.Full {
		how = "listing"
	}
	return fmt.Sprintf("%s silent_ms=%d", how, (r.now - r.updates.storeAnsweredAt).Milliseconds())
}

// lostBackendTTL is how long a backend server is kept that a later era of the store does not list: one that is alive
// registers again within two seconds of the store's return.
const lostBackendTTL = 2500 * time.Millisecond

// advanceCompleteTo records the revision up to which every change is known. A later era means that the store was restored
// from an older copy of itself.
func (r *Router) advanceCompleteTo(n Update, changedBackends int) {
	previous := r.updates.completeTo
	r.updates.completeTo = routing.Latest(previous, n.AsOf)
	if r.updates.completeTo.Era == previous.Era {
		return
	}
	r.updates.eraSeenAt = r.now
	// This announces the era to peers, even if the restored copy lists no backend server.
	r.updates.revision = routing.Latest(r.updates.revision, routing.Revision{Era: r.updates.completeTo.Era})
	if previous == (routing.Revision{}) {
		return // this host has just started
	}
	from := n.From
	if n.FromStore {
		from = "store"
	}
	r.emit(Note{What: "store restored from an older copy", Subject: from,
		Detail: fmt.Sprintf("revision %s after %s, %d backend servers changed", r.updates.completeTo, previous, changedBackends)})
}

// removeLostBackends removes the backend servers that the store lost when it was restored and that have not registered again.
func (r *Router) removeLostBackends() {
	era := r.updates.completeTo.Era
	if era == 0 || r.now-r.updates.eraSeenAt < lostBackendTTL {
		return
	}
	for _, b := range r.allBackends() {
		if !b.removed && b.revision.Era < era {
			r.updates.source = "absent from the restored store"
			r.removeBackend(b, routing.BackendChange{Revision: routing.Revision{Era: era}, Removed: true})
		}
	}
}

const (
	// maxChangesPerPush limits the changes of backend servers in one datagram, to some 2 KB.
	maxChangesPerPush = 8
	// maxPushDatagrams limits the datagrams of one push; hosts pull the remaining changes.
	maxPushDatagrams = 8
)

// pushChanges sends changes just read from the store to the zone peers at once, in a fleet where few hosts read it.
func (r *Router) pushChanges(c routing.Changes) {
	if !r.largeFleet() {
		return
	}
	pushes := 0
	for part := range slices.Chunk(c.Backends, maxChangesPerPush) {
		if pushes++; pushes > maxPushDatagrams {
			return
		}
		r.emitChanges(r.zonePeers(), part)
	}
}

func (r *Router) emitChanges(to []string, list []routing.BackendChange) {
	data, err := json.Marshal(list)
	if err != nil {
		r.emit(Note{What: "changes not pushed", Detail: err.Error()})
		return
	}
	r.emitHeartbeat(to, func(b *gossippb.Beat) { b.Changes = data })
}

// applyPushedChanges merges changes pushed by a peer.
func (r *Router) applyPushedChanges(from string, data []byte) {
	if len(data) == 0 {
		return
	}
	var list []routing.BackendChange
	if err := json.Unmarshal(data, &list); err != nil {
		r.emit(Note{What: "pushed changes malformed", Detail: err.Error()})
		return
	}
	r.updates.source = "push peer=" + from
	for _, ch := range list {
		r.applyBackendChange(ch)
	}
}

func (r *Router) applyConfig(c *routing.Config) {
	r.invariants.Check(c.Version > r.version(), "configuration goes back from %d to %d", r.version(), c.Version)
	// Hosts that wait for their first configuration, or rely on this host's reading, learn of it at once.
	r.heartbeatPending = r.heartbeatPending || r.table == nil || r.updates.reading
	r.table = routing.NewTable(c)
	r.noteUnknownRegions(c)
	for i := range c.Workspaces {
		r.setQuota(&c.Workspaces[i])
	}
	r.activateConfig()
}

// activateConfig puts the configuration into force. A host of a large fleet that has just started first waits
// up to maxStartDelay: its share of the quotas depends on the number of hosts, which it does not know yet.
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
		q.SetRate(w.Rate, w.Burst)
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
		lost := b.revision.Era < n.AsOf.Era // by the store; see removeLostBackends
		if !listed[b.ID] && !b.removed && !lost && !b.revision.After(n.AsOf) {
			r.removeBackend(b, routing.BackendChange{Revision: n.AsOf, Removed: true})
		}
	}
}

func (r *Router) expireBackends() {
	r.removeLostBackends()
	for _, id := range slices.Sorted(maps.Keys(r.tombstones)) {
		b := r.tombstones[id]
		if r.now >= b.graceUntil {
			r.endGrace(b)
		}
		if r.now-b.removedAt > tombstoneTTL && b.ownLoad.total() == 0 {
			delete(r.tombstones, id)
			delete(r.warming, id)
			delete(r.rateLimits, id)
			delete(r.brittle, id)
			delete(r.backends, id)
			delete(r.byHash, b.hash)
			r.invalidateBackendLists()
		}
	}
}

// allBackends returns the known backend servers in order of ID. The list is kept until one is added or removed, as each
// heartbeat and tick uses it.
func (r *Router) allBackends() []*backend {
	if r.sortedBackends == nil {
		r.sortedBackends = slices.SortedFunc(maps.Values(r.backends), func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	}
	return r.sortedBackends
}

// invalidateBackendLists causes the lists of backend servers to be rebuilt at their next use.
func (r *Router) invalidateBackendLists() {
	r.sortedBackends, r.byService, r.zoneByService, r.byZone = nil, nil, nil, nil
	r.owners.valid = false
}

// groupBy groups backend servers by key and preserves their order.
func groupBy(list []*backend, key func(*backend) string) map[string][]*backend {
	out := map[string][]*backend{}
	for _, b := range list {
		out[key(b)] = append(out[key(b)], b)
	}
	return out
}

func serviceName(b *backend) string { return b.Service }

func zoneName(b *backend) string { return b.Zone }

// backendsOf returns the known backend servers of a service in order of ID.
func (r *Router) backendsOf(service string) []*backend {
	if r.byService == nil {
		r.byService = groupBy(r.allBackends(), serviceName)
	}
	return r.byService[service]
}

// backendsIn returns the known backend servers of an availability zone in order of ID.
func (r *Router) backendsIn(zone string) []*backend {
	if r.byZone == nil {
		r.byZone = groupBy(r.allBackends(), zoneName)
	}
	return r.byZone[zone]
}

// zoneBackendsOf returns the backend servers of a service in this host's zone, in order of ID.
func (r *Router) zoneBackendsOf(service string) []*backend {
	if r.zoneByService == nil {
		r.zoneByService = groupBy(r.backendsIn(r.opt.Zone), serviceName)
	}
	return r.zoneByService[service]
}

// fingerprint is a registration's contribution to the digest.
func (b *backend) fingerprint() uint64 {
	text := binary.LittleEndian.AppendUint64([]byte(b.ID), b.revision.Number)
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(text, b.revision.Era))
}

// versionFactor spreads configuration versions over the digest: the golden ratio in 64 bits.
const versionFactor = 0x9E3779B97F4A7C15

// digest is equal on hosts with the same configuration, registrations and evacuations.
func (r *Router) digest() uint64 { return r.version()*versionFactor + r.updates.fingerprints }

// Snapshot returns what this host knows beyond what the pulling host has already. At 3,000 backend servers the whole is
// most of a megabyte, which cannot be sent in time to a hundred hosts that pull at once.
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
		n.Backends = append(n.Backends, r.latestChange(b))
	}
	return n
}

// latestChange returns the latest change of a backend server, for other hosts.
func (r *Router) latestChange(b *backend) routing.BackendChange {
	registration := b.Backend
	registration.Cold = max(0, b.warming.until-r.now)
	return routing.BackendChange{Backend: registration, Revision: b.revision, Removed: b.removed, Age: r.now - b.changedAt}
}
