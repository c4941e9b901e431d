package gossip

import "fireflyshift/internal/gossip/gossippb"

// What a datagram may carry, as counters name it.
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

// Kinds are all that Kind returns.
var Kinds = []string{kindBeat, kindAsk, kindOffer, kindReport, kindOccupancy, kindRelay, kindCharge, kindCharged, kindEmpty}

// Kind names what a datagram carries, for counters.
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
