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
	kindEmpty     = "empty"
)

// Kinds lists all values that Kind returns.
var Kinds = []string{kindBeat, kindAsk, kindOffer, kindReport, kindOccupancy, kindRelay, kindCharge, kindCharged, kindEmpty}

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
	default:
		return kindEmpty
	}
}
