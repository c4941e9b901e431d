package gossip

import "fireflyshift/internal/gossip/gossippb"

// Kinds of datagrams, as they appear in the names of counters.
const (
	kindBeat      = "beat"
	kindAsk       = "ask"
	kindOffer     = "offer"
	kindReport    = "report"
	kindOccupancy = "occupancy"
	kindRelay     = "relay"
	kindCharge    = "charge"
	kindCharged   = "charged"
	kindOrigin    = "origin"
	kindQuery     = "origin_query"
	kindReply     = "origin_reply"
	kindWithdraw  = "withdraw"
	kindEmpty     = "empty"
)

// Kinds lists all values that Kind returns.
var Kinds = []string{kindBeat, kindAsk, kindOffer, kindReport, kindOccupancy, kindRelay, kindCharge, kindCharged, kindOrigin, kindQuery, kindReply, kindWithdraw, kindEmpty}

// Kind returns the kind of a datagram for the names of counters.
func Kind(p *gossippb.Packet) string {
	switch {
	case p.Beat != nil:
		return kindBeat
	case p.Ask != nil:
		return kindAsk
	case p.Offer != nil:
		return kindOffer
	case p.Report != nil:
		return kindReport
	case p.Occupancy != nil:
		return kindOccupancy
	case p.Relay != nil:
		return kindRelay
	case p.Charge != nil:
		return kindCharge
	case p.Charged != nil:
		return kindCharged
	case p.StreamOrigin != nil:
		return kindOrigin
	case p.OriginQuery != nil:
		return kindQuery
	case p.OriginReply != nil:
		return kindReply
	case p.Withdraw != nil:
		return kindWithdraw
	default:
		return kindEmpty
	}
}
