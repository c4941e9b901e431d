package router

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/limit"
	"fireflyshift/internal/routing"
)

// In a fleet of hundreds of hosts, one host's share of a quota is smaller than one request, so separate shares would refuse
// workspaces far below their quotas. Each workspace's quota therefore has an owner in each availability zone, computed by every
// host alike, which decides on each request in its zone. Owners learn what the other zones admitted from heartbeats and zone
// summaries, as hosts do, but there are only as many owners as zones. A host whose call gets no reply decides locally.

// quotaRequest is a call to a quota's owner.
type quotaRequest struct {
	ownerCall
	workspace string
	cost      float64
}

// quotaState is the quota state of this host besides the token buckets.
type quotaState struct {
	// owners holds the owners by workspace. It is reset when the zone's owner candidates change.
	owners  map[string][]string
	pending ownerCalls[*quotaRequest]
}

func newQuotaState() quotaState { return quotaState{owners: map[string][]string{}} }

// CostOf returns the cost of a request in the unit of the workspace's quota. hasTokens states whether the
// token counts are known.
func CostOf(w *routing.Workspace, hasTokens bool, prompt, output int) float64 {
	switch {
	case !w.InTokens:
		return 1
	case hasTokens:
		return float64(prompt) + float64(output)
	default:
		return math.Max(1, float64(w.PlainTokens))
	}
}

// chargeQuota charges a request to its workspace's quota, itself or through the quota's owner, and dispatches
// or refuses the request.
func (r *Router) chargeQuota(q *request) {
	if q.Workspace == nil || r.quotas[q.Workspace.Name] == nil {
		r.dispatchAdmitted(q)
		return
	}
	switch owner := r.quotaOwner(q.Workspace.Name); owner {
	case "":
		r.chargeLocally(q, r.hostScope())
	case r.opt.Host:
		r.chargeLocally(q, r.zoneScope())
	default:
		r.requestQuota(q, owner)
	}
}

// hostScope returns the scope of a host that decides for itself only, zoneScope that of one that decides for the
// reachable hosts of its zone.
func (r *Router) hostScope() limit.Scope {
	known, reachable := r.countHosts()
	return limit.Scope{Hosts: known, Members: 1, Reachable: float64(reachable) / float64(known)}
}

func (r *Router) zoneScope() limit.Scope {
	p := r.hostScope()
	_, p.Members = r.countDirectHosts()
	return p
}

// quotaOwners returns the hosts of this zone that decide on a workspace's quota: the first by rendezvous hashing
// over those that are up, not leaving and have run for long enough to know all others, and a second one that is
// called while the first does not reply. It is empty in a small fleet, whose hosts decide locally, and if there
// is no such host.
func (r *Router) quotaOwners(workspace string) []string {
	if !r.largeFleet() {
		return nil
	}
	r.localShardOwners() // resets the owners of quotas if the hosts have changed
	owners, known := r.quotaState.owners[workspace]
	if !known {
		if r.owners.established {
			first, second := rendezvousTopTwo(r.owners.candidates, xxhash.Sum64String("quota|"+workspace))
			owners = slices.DeleteFunc([]string{first, second}, func(h string) bool { return h == "" })
		}
		r.quotaState.owners[workspace] = owners
	}
	return owners
}

// quotaOwner returns the quota owner to call now, or "" if none is expected to reply.
func (r *Router) quotaOwner(workspace string) string {
	for _, owner := range r.quotaOwners(workspace) {
		if owner == r.opt.Host || r.canAsk(owner) {
			return owner
		}
	}
	return ""
}

// chargeLocally decides by this host's own view of the quota.
func (r *Router) chargeLocally(q *request, scope limit.Scope) {
	quota := r.quotas[q.Workspace.Name]
	ok, retryAfter := r.admit(quota, q.Cost, scope)
	if !ok {
		delete(r.requests, q.ID)
		r.emit(Refuse{ID: q.ID, Cause: OverQuota, RetryAfter: retryAfter, Basis: r.quotaBasis(q, quota)})
		return
	}
	q.charged = true
	r.dispatchAdmitted(q)
}

func (r *Router) admit(quota *limit.Quota, cost float64, scope limit.Scope) (ok bool, retryAfter time.Duration) {
	ok, retryAfter = quota.Admit(r.now, cost, scope)
	if quota.NearlyExhausted() {
		r.quotaLowUntil = r.now + quotaLowDuration
	}
	return ok, retryAfter
}

func (r *Router) quotaBasis(q *request, quota *limit.Quota) DecisionBasis {
	g := r.basis()
	g.ViewAge = r.oldestHeartbeatAge()
	g.Quota.Cost = q.Cost
	g.Quota.Remaining, g.Quota.OwnShare = quota.Remaining()
	return g
}

func (r *Router) requestQuota(q *request, owner string) {
	c := &quotaRequest{ownerCall{number: r.quotaState.pending.next(), requestID: q.ID, owner: owner, sentAt: r.now}, q.Workspace.Name, q.Cost}
	q.quotaCall = c
	r.quotaState.pending.add(c)
	r.sendQuotaRequest(owner, &gossippb.Charge{Number: c.number, Workspace: c.workspace, Cost: c.cost})
}

func (r *Router) sendQuotaRequest(owner string, c *gossippb.Charge) {
	r.emit(Send{To: []string{owner}, Packet: &gossippb.Packet{Charge: c}})
}

// handleQuotaRequest decides on another host's request, or refunds one that has not run. If two hosts disagree
// about the owner, both would grant their zone's share, so a host decides only if it considers itself an owner.
func (r *Router) handleQuotaRequest(from string, c *gossippb.Charge) {
	quota, known := r.quotas[c.Workspace]
	cost := clampCost(c)
	if c.Back {
		if known {
			quota.Refund(cost)
		}
		return
	}
	answer := &gossippb.Charged{Number: c.Number, Unknown: true}
	if known && slices.Contains(r.quotaOwners(c.Workspace), r.opt.Host) {
		ok, retryAfter := r.admit(quota, cost, r.zoneScope())
		answer.Unknown, answer.Admitted, answer.BackMs = false, ok, uint32(max(0, retryAfter.Milliseconds()))
		answer.Left, answer.Own = quota.Remaining()
	}
	r.emit(Send{To: []string{from}, Packet: &gossippb.Packet{Charged: answer}})
}

// maxCost limits the cost of one request from another host. No engine's memory holds more tokens.
const maxCost = 1 << 24

func clampCost(c *gossippb.Charge) float64 {
	if math.IsNaN(c.Cost) {
		return maxCost
	}
	return min(max(0, c.Cost), maxCost)
}

// handleQuotaReply processes an owner's reply.
func (r *Router) handleQuotaReply(from string, a *gossippb.Charged) {
	c, ok := r.quotaState.pending.take(from, a.Number)
	if !ok {
		return
	}
	r.replyReceived(from)
	q, known := r.requests[c.requestID]
	if !known || q.quotaCall != c {
		if a.Admitted {
			r.sendQuotaRequest(from, &gossippb.Charge{Workspace: c.workspace, Cost: c.cost, Back: true})
		}
		return
	}
	if a.Unknown {
		r.chargeAtNextOwner(q)
		return
	}
	q.quotaCall = nil
	if quota := r.quotas[c.workspace]; quota != nil {
		quota.NoteRemoteDecision(r.now, c.cost, r.hostScope())
	}
	if a.Admitted {
		q.charged, q.chargedBy = true, from
		r.dispatchAdmitted(q)
		return
	}
	delete(r.requests, q.ID)
	g := r.basis()
	g.Owner, g.ViewAge = from, r.now-c.sentAt
	g.Quota = QuotaBasis{Cost: q.Cost, Remaining: a.Left, OwnShare: a.Own}
	r.emit(Refuse{ID: q.ID, Cause: OverQuota, RetryAfter: time.Duration(a.BackMs) * time.Millisecond, Basis: g})
}

// chargeWithoutOwner decides locally on a request that no owner decides.
func (r *Router) chargeWithoutOwner(q *request) {
	if r.quotas[q.Workspace.Name] == nil {
		r.dispatchAdmitted(q) // the quota was removed meanwhile
		return
	}
	r.chargeLocally(q, r.hostScope())
}

// expireQuotaRequests passes requests whose owner did not reply in time to the next owner, or decides locally.
func (r *Router) expireQuotaRequests() {
	for _, c := range r.quotaState.pending.overdue(r.now) {
		r.replyMissed(c.owner)
		if q, ok := r.requests[c.requestID]; ok && q.quotaCall == c {
			r.chargeAtNextOwner(q)
		}
	}
}

// chargeAtNextOwner calls the next owner if one does not decide, or decides locally.
func (r *Router) chargeAtNextOwner(q *request) {
	previous := q.quotaCall
	q.quotaCall = nil
	switch next := r.nextQuotaOwner(previous); {
	case next == r.opt.Host && r.quotas[previous.workspace] != nil:
		r.chargeLocally(q, r.zoneScope())
	case next != "" && next != r.opt.Host:
		r.requestQuota(q, next)
	default:
		r.chargeWithoutOwner(q)
	}
}

// nextQuotaOwner returns the owner after the one that was called, or "" if none is expected to reply.
func (r *Router) nextQuotaOwner(previous *quotaRequest) string {
	owners := r.quotaOwners(previous.workspace)
	next := slices.Index(owners, previous.owner) + 1
	if next == 0 || next >= len(owners) {
		return ""
	}
	if owner := owners[next]; owner == r.opt.Host || r.canAsk(owner) {
		return owner
	}
	return ""
}

// refund returns the cost of a request that has not run.
func (r *Router) refund(q *request) {
	if !q.charged || q.ran {
		return
	}
	q.charged = false
	if q.chargedBy != "" {
		r.sendQuotaRequest(q.chargedBy, &gossippb.Charge{Workspace: q.Workspace.Name, Cost: q.Cost, Back: true})
		return
	}
	if quota, ok := r.quotas[q.Workspace.Name]; ok {
		quota.Refund(q.Cost)
	}
}
