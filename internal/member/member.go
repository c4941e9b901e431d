// Package member keeps a host's view of the other hosts. The platform's list of hosts, which lags, states
// which may exist; heartbeats show which are alive. Roles are computed from the view by rendezvous
// hashing, so that no election is needed.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings of the failure detector.
const (
	// The heartbeat interval grows with the zone, so that the bytes per host stay constant.
	intervalPerHost = 25 * time.Millisecond
	minInterval     = 200 * time.Millisecond
	maxInterval     = 2 * time.Second
	// A host loses its roles after deadIntervals heartbeat intervals plus deadMargin without a heartbeat,
	// or unlinkedGrace after its last link broke: a process that dies closes its links at once, so only a
	// dead machine or a network partition needs the longer timeout.
	deadIntervals = 4
	deadMargin    = 400 * time.Millisecond
	unlinkedGrace = 300 * time.Millisecond
	// UnlistedTTL is how long an unlisted host is kept after its last message: the platform's list lags.
	UnlistedTTL = 30 * time.Second
)

// Host describes a host, as given by the platform's list, the settings or a link.
type Host struct {
	ID      string
	Zone    string
	Addr    string
	Leaving bool
}

// peer is the state of another host.
type peer struct {
	Host
	listed       bool
	incarnation  uint64
	heartbeatAt  time.Duration
	hasHeartbeat bool
	lastSeenAt   time.Duration // latest link or heartbeat
	echo         uint64        // latest known reading of the peer's clock, in ms
	draining     bool          // takes roles only if all hosts of the zone drain
	catchingUp   bool
	links        int // number of open links from the peer
	unlinkedAt   time.Duration
}

// View is the membership view of one host. It is not safe for concurrent use.
type View struct {
	self     Host
	draining bool
	// catchingUp keeps roles away from this host while its state may be from before a pause.
	catchingUp  bool
	peers       map[string]*peer
	version     uint64
	listedCount int
	zoneSize    int
}

// NewView returns a view that contains only the host itself.
func NewView(self Host) *View {
	return &View{self: self, peers: map[string]*peer{}}
}

// SetList applies the platform's list of entry hosts. A host that is missing from it is not dead: it stays
// as long as it sends heartbeats.
func (v *View) SetList(hosts []Host) {
	for _, p := range v.peers {
		p.listed = false
	}
	for _, h := range hosts {
		if h.ID == v.self.ID {
			continue
		}
		p := v.getOrAdd(h.ID)
		p.Host, p.listed = h, true
	}
	v.listedCount = len(hosts)
	v.version++
	v.countZone()
}

func (v *View) countZone() {
	v.zoneSize = 1
	for _, p := range v.peers {
		if p.Zone == v.self.Zone {
			v.zoneSize++
		}
	}
}

// HeartbeatInterval returns the time between heartbeats.
func (v *View) HeartbeatInterval() time.Duration {
	return min(max(time.Duration(v.zoneSize)*intervalPerHost, minInterval), maxInterval)
}

// DeadAfter returns how long a linked host may go without a heartbeat.
func (v *View) DeadAfter() time.Duration { return deadIntervals*v.HeartbeatInterval() + deadMargin }

// Linked records a link that another host has opened to this one. The incarnation of the latest link
// counts. It is random rather than a time, so that a restarted host does not look old if its clock was set
// back.
func (v *View) Linked(now time.Duration, h Host, incarnation uint64) {
	if h.ID == v.self.ID {
		return
	}
	p := v.getOrAdd(h.ID)
	if incarnation != p.incarnation {
		p.echo, p.hasHeartbeat, p.links = 0, false, 0
		v.version++
	}
	p.links++
	p.incarnation = incarnation
	p.lastSeenAt = now
	p.Addr, p.Zone = h.Addr, h.Zone
	v.countZone()
}

// Unlinked records that a link from a peer has broken.
func (v *View) Unlinked(now time.Duration, id string, incarnation uint64) {
	p, ok := v.peers[id]
	if !ok || p.incarnation != incarnation || p.links == 0 {
		return
	}
	p.links--
	p.unlinkedAt = now
}

func (v *View) getOrAdd(id string) *peer {
	p, ok := v.peers[id]
	if !ok {
		p = &peer{Host: Host{ID: id}}
		v.peers[id] = p
	}
	return p
}

// HeartbeatReceived records a heartbeat, sent when the peer's clock showed sentMS. With draining set, the
// peer takes no roles while another host can.
func (v *View) HeartbeatReceived(now time.Duration, id string, incarnation, sentMS uint64, draining bool) {
	p, ok := v.peers[id]
	if !ok || p.incarnation != incarnation {
		return
	}
	wasAlive := v.alive(now, p)
	p.hasHeartbeat, p.heartbeatAt, p.lastSeenAt, p.draining = true, now, now, draining
	if sentMS > p.echo {
		p.echo = sentMS
	}
	if wasAlive != v.alive(now, p) {
		v.version++
	}
}

// Echo returns the latest known clock reading and incarnation of a peer, zero if there are none.
func (v *View) Echo(id string) (ms, incarnation uint64) {
	p, ok := v.peers[id]
	if !ok {
		return 0, 0
	}
	return p.echo, p.incarnation
}

// Incarnation returns the latest known incarnation of a peer, zero if there is none.
func (v *View) Incarnation(id string) uint64 {
	_, inc := v.Echo(id)
	return inc
}

// SetCatchingUp sets whether this host is catching up after a pause; while it is, it takes no roles.
func (v *View) SetCatchingUp(on bool) {
	v.catchingUp = on
	v.version++
}

// CatchingUp reports whether this host is catching up after a pause.
func (v *View) CatchingUp() bool { return v.catchingUp }

// ExcludePause excludes a pause of this process from the time without heartbeats of the peers: none could
// be received during the pause, so it shows nothing about them.
func (v *View) ExcludePause(pause time.Duration) {
	for _, p := range v.peers {
		p.heartbeatAt += pause
		p.lastSeenAt += pause
		if p.links == 0 {
			p.unlinkedAt += pause
		}
	}
}

func (v *View) takesRoles() bool { return !v.draining && !v.catchingUp }

// SetDraining marks this host as draining.
func (v *View) SetDraining() {
	v.draining = true
	v.version++
}

func (v *View) alive(now time.Duration, p *peer) bool {
	return v.reachable(now, p) && !p.draining
}

func (v *View) reachable(now time.Duration, p *peer) bool {
	linked := p.links > 0 || now-p.unlinkedAt <= unlinkedGrace
	return p.hasHeartbeat && linked && now-p.heartbeatAt <= v.DeadAfter()
}

// Alive reports whether a host is reachable and takes roles.
func (v *View) Alive(now time.Duration, id string) bool {
	if id == v.self.ID {
		return v.takesRoles()
	}
	p, ok := v.peers[id]
	return ok && v.alive(now, p)
}

// Reachable reports whether a host is alive, even if it is draining: a draining host still finishes its
// streams.
func (v *View) Reachable(now time.Duration, id string) bool {
	if id == v.self.ID {
		return true
	}
	p, ok := v.peers[id]
	return ok && v.reachable(now, p)
}

// Lookup returns a host by ID.
func (v *View) Lookup(id string) (Host, bool) {
	if id == v.self.ID {
		return v.self, true
	}
	p, ok := v.peers[id]
	if !ok {
		return Host{}, false
	}
	return p.Host, true
}

// ZonePeers returns the other known hosts of this availability zone, sorted by ID.
func (v *View) ZonePeers() []Host {
	return v.hostsWhere(func(p *peer) bool { return p.Zone == v.self.Zone })
}

// InZone returns the known hosts of another availability zone that are not leaving, sorted by ID.
func (v *View) InZone(zone string) []Host {
	return v.hostsWhere(func(p *peer) bool { return p.Zone == zone && !p.Leaving })
}

// OtherZones returns the other availability zones with known hosts, sorted by name.
func (v *View) OtherZones() []string {
	seen := map[string]bool{v.self.Zone: true}
	var out []string
	for _, p := range v.peers {
		if !seen[p.Zone] && p.Zone != "" {
			seen[p.Zone] = true
			out = append(out, p.Zone)
		}
	}
	sort.Strings(out)
	return out
}

func (v *View) hostsWhere(want func(*peer) bool) []Host {
	var out []Host
	for _, p := range v.peers {
		if p.Addr != "" && want(p) {
			out = append(out, p.Host)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// SetPeerCatchingUp sets whether a peer is catching up after a pause.
func (v *View) SetPeerCatchingUp(id string, on bool) {
	if p, ok := v.peers[id]; ok {
		p.catchingUp = on
	}
}

// Live returns the IDs of the hosts of this zone that take roles, sorted. If all hosts drain they keep
// their roles; otherwise requests that wait with them would never be scheduled.
func (v *View) Live(now time.Duration) []string {
	if live := v.zoneIDs(v.takesRoles(), func(p *peer) bool { return v.alive(now, p) }); len(live) > 0 {
		return live
	}
	return v.zoneIDs(!v.catchingUp, func(p *peer) bool { return v.reachable(now, p) && !p.catchingUp })
}

func (v *View) zoneIDs(self bool, want func(*peer) bool) []string {
	var out []string
	if self {
		out = append(out, v.self.ID)
	}
	for id, p := range v.peers {
		if p.Zone == v.self.Zone && want(p) {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// FleetSize returns the number of hosts that share a fleet-wide limit. It is taken from the platform's
// list: during a network partition each side would count only its own hosts by heartbeats and hand out the
// whole limit.
func (v *View) FleetSize() int {
	if v.listedCount > 0 {
		return v.listedCount
	}
	return len(v.peers) + 1
}

// DropStale removes hosts that are not listed and have sent nothing for UnlistedTTL.
func (v *View) DropStale(now time.Duration) {
	for id, p := range v.peers {
		if !p.listed && now-p.lastSeenAt > UnlistedTTL {
			delete(v.peers, id)
		}
	}
	v.countZone()
}

// Version returns a counter that grows with changes due to messages. Hosts also die by time-out, without a
// change of the version: compare Live for that.
func (v *View) Version() uint64 { return v.version }

// Top returns the n hosts that rank first for a role by rendezvous hashing, best first.
func Top(role string, hosts []string, n int) []string {
	type ranked struct {
		id    string
		score uint64
	}
	all := make([]ranked, len(hosts))
	for i, id := range hosts {
		all[i] = ranked{id, xxhash.Sum64String(role + "\x00" + id)}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].id < all[j].id
	})
	out := make([]string, 0, n)
	for i := 0; i < n && i < len(all); i++ {
		out = append(out, all[i].id)
	}
	return out
}

// Owner returns the host that ranks first for a role, empty if there are no hosts.
func Owner(role string, hosts []string) string {
	top := Top(role, hosts, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// UpdateEcho records a peer's clock reading from a message other than a heartbeat: hosts of other zones
// send no heartbeats, but need leases too.
func (v *View) UpdateEcho(id string, sentMS uint64) {
	if p, ok := v.peers[id]; ok && sentMS > p.echo {
		p.echo = sentMS
	}
}
