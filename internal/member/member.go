// Package member keeps one host's view of the other hosts: the platform's lagging list says who
// may exist, heartbeats say who lives. Duties are computed from the view by rendezvous hashing, so
// no host holds one by election.
package member

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the failure detector.
const (
	// Heartbeats slow down as a zone grows, so that their bytes per host stay level.
	intervalPerHost = 25 * time.Millisecond
	minInterval     = 200 * time.Millisecond
	maxInterval     = 2 * time.Second
	// A host is dead for duties after deadIntervals without a heartbeat and a little more, or
	// unlinkedGrace after its last link broke: a process that dies closes its links at once, and
	// only a dead machine or a cut has to be waited for.
	deadIntervals = 4
	deadMargin    = 400 * time.Millisecond
	unlinkedGrace = 300 * time.Millisecond
	// UnlistedTTL keeps an unlisted host that still sends heartbeats: the platform's list lags.
	UnlistedTTL = 30 * time.Second
)

// Host is what the platform's list, the settings or a link say of a host.
type Host struct {
	ID      string
	Zone    string
	Addr    string
	Leaving bool
}

// peer is the live state of another host.
type peer struct {
	Host
	listed       bool
	incarnation  uint64
	heartbeatAt  time.Duration
	hasHeartbeat bool
	lastSeenAt   time.Duration // latest link or heartbeat
	echo         uint64        // the peer's clock in its latest heartbeat, ms
	draining     bool          // takes no duties while another host does
	catchingUp   bool
	links        int // open links from the peer
	unlinkedAt   time.Duration
}

// View is one host's membership view. It is not safe for concurrent use.
type View struct {
	self     Host
	draining bool
	// catchingUp keeps duties away from this host while what it knows may be of before a pause.
	catchingUp  bool
	peers       map[string]*peer
	version     uint64
	listedCount int
	zoneSize    int
}

// NewView returns a view that knows only the host itself.
func NewView(self Host) *View {
	return &View{self: self, peers: map[string]*peer{}}
}

// SetList takes the platform's list of entry hosts. Absence from it is not death: an unlisted
// host that heartbeats stays.
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

// HeartbeatInterval is the time between heartbeats.
func (v *View) HeartbeatInterval() time.Duration {
	return min(max(time.Duration(v.zoneSize)*intervalPerHost, minInterval), maxInterval)
}

// DeadAfter is how long a linked host may be silent.
func (v *View) DeadAfter() time.Duration { return deadIntervals*v.HeartbeatInterval() + deadMargin }

// Linked adds a host that opened a link to us. The incarnation of the latest link counts: it is
// random, so a clock set back on the peer cannot make a restarted host look old.
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

// Unlinked notes that a link from a peer has broken.
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

// HeartbeatReceived notes a heartbeat: it was sent when the peer's clock showed sentMS.
func (v *View) HeartbeatReceived(now time.Duration, id string, incarnation, sentMS uint64, draining bool) {
	p, ok := v.peers[id]
	if !ok || p.incarnation != incarnation {
		return
	}
	was := v.alive(now, p)
	p.hasHeartbeat, p.heartbeatAt, p.lastSeenAt, p.draining = true, now, now, draining
	if sentMS > p.echo {
		p.echo = sentMS
	}
	if was != v.alive(now, p) {
		v.version++
	}
}

// Echo gives the latest clock reading and incarnation had from a peer.
func (v *View) Echo(id string) (ms, incarnation uint64) {
	p, ok := v.peers[id]
	if !ok {
		return 0, 0
	}
	return p.echo, p.incarnation
}

// Incarnation is the peer's latest known incarnation, zero if none.
func (v *View) Incarnation(id string) uint64 {
	_, inc := v.Echo(id)
	return inc
}

// SetCatchingUp tells whether this host has woken up from a pause and has not heard the news yet.
func (v *View) SetCatchingUp(on bool) {
	v.catchingUp = on
	v.version++
}

// CatchingUp tells what SetCatchingUp was last told.
func (v *View) CatchingUp() bool { return v.catchingUp }

// ExcludePause takes a pause of this process off the silence of the others: nothing could be heard in it, so that it
// says nothing of who lives.
func (v *View) ExcludePause(pause time.Duration) {
	for _, p := range v.peers {
		p.heartbeatAt += pause
		p.lastSeenAt += pause
		if p.links == 0 {
			p.unlinkedAt += pause
		}
	}
}

// takesRoles tells whether this host itself counts for duties.
func (v *View) takesRoles() bool { return !v.draining && !v.catchingUp }

// SetDraining marks this host itself as leaving.
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

// Alive tells whether a host answers heartbeats and takes duties.
func (v *View) Alive(now time.Duration, id string) bool {
	if id == v.self.ID {
		return v.takesRoles()
	}
	p, ok := v.peers[id]
	return ok && v.alive(now, p)
}

// Reachable is Alive without the regard to draining: a draining host still finishes its streams.
func (v *View) Reachable(now time.Duration, id string) bool {
	if id == v.self.ID {
		return true
	}
	p, ok := v.peers[id]
	return ok && v.reachable(now, p)
}

// Lookup finds a host by id.
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

// ZonePeers lists the other hosts of this availability zone, by id.
func (v *View) ZonePeers() []Host {
	return v.hostsWhere(func(p *peer) bool { return p.Zone == v.self.Zone })
}

// InZone lists the known hosts of any availability zone but ours, by id.
func (v *View) InZone(zone string) []Host {
	return v.hostsWhere(func(p *peer) bool { return p.Zone == zone && !p.Leaving })
}

// OtherZones lists the other availability zones that have hosts, by name.
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

// SetPeerCatchingUp notes whether a peer may know only what was before a pause.
func (v *View) SetPeerCatchingUp(id string, on bool) {
	if p, ok := v.peers[id]; ok {
		p.catchingUp = on
	}
}

// Live lists the ids of the hosts of this zone that take duties, by id. Where all drain they keep their duties: what
// waits with them would wait for good.
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

// FleetSize is the number of hosts that share a fleet-wide limit. It comes from the platform's
// list and not from heartbeats: during a partition heartbeats would count few hosts on each side,
// and each side would hand out the whole limit.
func (v *View) FleetSize() int {
	if v.listedCount > 0 {
		return v.listedCount
	}
	return len(v.peers) + 1
}

// DropStale drops hosts that are neither listed nor heard for ListedGrace.
func (v *View) DropStale(now time.Duration) {
	for id, p := range v.peers {
		if !p.listed && now-p.lastSeenAt > UnlistedTTL {
			delete(v.peers, id)
		}
	}
	v.countZone()
}

// Version grows with changes that come from messages. Deaths are a matter of time: compare Live.
func (v *View) Version() uint64 { return v.version }

// Top returns the n hosts that rank first for a duty, best first (rendezvous hashing).
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

// Owner returns the host that ranks first for a duty, empty if there is none.
func Owner(role string, hosts []string) string {
	top := Top(role, hosts, 1)
	if len(top) == 0 {
		return ""
	}
	return top[0]
}

// UpdateEcho keeps a peer's clock reading that came with another message than a heartbeat: hosts of
// other zones send none, and have leases too.
func (v *View) UpdateEcho(id string, sentMS uint64) {
	if p, ok := v.peers[id]; ok && sentMS > p.echo {
		p.echo = sentMS
	}
}
