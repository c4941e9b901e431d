package core

import (
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/ticket"
)

const (
	// claimRetryInterval is when an unanswered claim is repeated, claimTimeout when it fails.
	claimRetryInterval = 300 * time.Millisecond
	claimTimeout       = 2 * time.Second
)

// claimHolder identifies one attempt of a caller: a retry has another request ID.
func (c *Core) claimHolder(r *request) string { return c.opt.Self.ID + "/" + r.ID }

// claim requests the ticket's claim from its home, the only permission to run. Nothing is dispatched
// without it.
func (c *Core) claim(r *request) {
	r.phase = claiming
	r.requestedAt = c.now
	if r.Ticket.Home == c.opt.Self.ID {
		c.claimDecided(r, c.tickets.Claim(c.now, *r.Ticket, r.Workspace, c.claimHolder(r)))
		return
	}
	if !c.sendClaim(r) {
		c.finish(r, fault.New(fault.TicketHomeGone, "the ticket's home, host %s, is not known to this host", r.Ticket.Home))
		return
	}
	c.setTimer(r, c.now+claimRetryInterval)
}

func (c *Core) sendClaim(r *request) bool {
	return c.send(r.Ticket.Home, &peerpb.Message{Body: &peerpb.Message_ClaimTicket{ClaimTicket: &peerpb.ClaimTicket{
		Ticket: r.Ticket.String(), Workspace: r.Workspace, Request: r.ID}}})
}

func (c *Core) retryClaim(r *request) {
	if c.now-r.requestedAt >= claimTimeout {
		c.finish(r, fault.New(fault.TicketHomeGone, "the ticket's home, host %s, does not answer", r.Ticket.Home))
		return
	}
	c.sendClaim(r)
	c.setTimer(r, c.now+claimRetryInterval)
}

// claimTicket answers a claim as the home of the ticket.
func (c *Core) claimTicket(from string, m *peerpb.ClaimTicket) {
	verdict := ticket.Expired
	if t, err := ticket.Parse(m.Ticket); err == nil {
		verdict = c.tickets.Claim(c.now, t, m.Workspace, from+"/"+m.Request)
	}
	c.send(from, &peerpb.Message{Body: &peerpb.Message_ClaimAnswer{ClaimAnswer: &peerpb.ClaimAnswer{
		Request: m.Request, Claim: peerpb.Claim(verdict)}}})
}

func (c *Core) claimAnswer(from string, m *peerpb.ClaimAnswer) {
	r, ok := c.entry.requests[m.Request]
	if !ok || r.phase != claiming || r.Ticket.Home != from {
		return
	}
	c.claimDecided(r, ticket.Verdict(m.Claim))
}

func (c *Core) claimDecided(r *request, v ticket.Verdict) {
	switch v {
	case ticket.Granted:
		c.trace(r, "holds the claim on its ticket")
		c.requestSlot(r)
	case ticket.InProgress:
		c.finish(r, fault.New(fault.TicketInProgress, "an earlier attempt holds the ticket"))
	case ticket.Done:
		c.finish(r, fault.New(fault.TicketDone, "the request with this ticket has already run"))
	case ticket.OtherIncarnation:
		c.finish(r, fault.New(fault.TicketHomeGone, "host %s has been replaced since it issued the ticket", r.Ticket.Home))
	default:
		c.finish(r, fault.New(fault.TicketExpired, "the ticket is older than %s", ticket.TTL))
	}
}

// sendSettlement reports to the home how a claim ended.
func (c *Core) sendSettlement(r *request, notRun bool) {
	if r.Ticket.Home == c.opt.Self.ID {
		c.tickets.Settle(*r.Ticket, r.Workspace, c.claimHolder(r), notRun)
		return
	}
	c.send(r.Ticket.Home, &peerpb.Message{Body: &peerpb.Message_SettleTicket{SettleTicket: &peerpb.SettleTicket{
		Ticket: r.Ticket.String(), Workspace: r.Workspace, Request: r.ID, NotRun: notRun}}})
}

func (c *Core) settleTicket(from string, m *peerpb.SettleTicket) {
	if t, err := ticket.Parse(m.Ticket); err == nil {
		c.tickets.Settle(t, m.Workspace, from+"/"+m.Request, m.NotRun)
	}
}
