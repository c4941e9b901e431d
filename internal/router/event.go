package router

import (
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Submit is a caller's request whose route and key the traffic side has checked.
type Submit struct {
	// ID names the request on this host.
	ID        uint64
	Route     *routing.Route
	Workspace *routing.Workspace // nil on public routes
	Rank      float64            // urgency: 0 the most, routing.LeastUrgent the least
	PromptTok int                // of the prompt, in tokens; zero where unknown
	OutputTok int                // the caller's estimate of the output, in tokens
	Cost      float64            // what the quota counts
	Deadline  time.Duration      // moment on the reducer's clock at which the answer is of no more use
	// Digest names the request whatever its attempt; zero where nobody needs it.
	Digest quarantine.Digest
}

// StreamStarted tells that a stream's first event has come, First after the request was sent.
type StreamStarted struct {
	ID    uint64
	First time.Duration
}

// StreamProgress tells the mean time between the first events of a stream that goes on.
type StreamProgress struct {
	ID       uint64
	Interval time.Duration
}

// Stalled tells that the backend server has been silent for long. The answer is a Verdict.
type Stalled struct{ ID uint64 }

// CallerLeft tells that the caller left before the answer was complete.
type CallerLeft struct{ ID uint64 }

// Outcome is how a dispatch ended.
type Outcome int

// The outcomes, by what they prove.
const (
	// Answered: the answer, of whatever status, went to the caller in full.
	Answered Outcome = iota + 1
	// Failed: the backend server answered with a failure of its own, which is held back.
	Failed
	// NotSent: no byte of the request left this host.
	NotSent
	// Rejected: the backend server says that it has not run the request.
	Rejected
	// WrongInstance: another backend server has the address, and has not run the request.
	WrongInstance
	// Broken: the connection or the answer broke; the request may have run.
	Broken
	// TimedOut: the request's time ended first; it may have run.
	TimedOut
	// Canceled: the caller left; the request may have run.
	Canceled
)

// DispatchEnded tells how a dispatch ended.
type DispatchEnded struct {
	ID      uint64
	Outcome Outcome
	// Delivered tells that bytes of the answer have reached the caller: only a stream that goes on
	// at its last event can still be repeated.
	Delivered bool
	// First is the time to the first byte of the answer, Interval the mean time between events, and
	// Events their number; zero where unknown.
	First    time.Duration
	Interval time.Duration
	Events   int
	// Fault tells that the backend server was at fault, so that it is avoided.
	Fault bool
	// Success tells that the answer was a whole success.
	Success bool
	// Digest names the request where its end may say something of it; zero elsewhere.
	Digest quarantine.Digest
}

// BackendAnnouncement is what a start of a backend server says of itself in an answer.
type BackendAnnouncement struct {
	ID    string
	Start uint64
	// Leaving: it is about to leave.
	Leaving bool
	// HoldOff is how long it wants nothing more from this host; zero where it does not say.
	HoldOff time.Duration
}

// ProbeResult tells whether the address of a start of a backend server could be reached, or refused the connection; neither where
// there was no answer.
type ProbeResult struct {
	ID               string
	Start            uint64
	Reached, Refused bool
}

// HeartbeatReceived is a heartbeat of another host.
type HeartbeatReceived struct{ Heartbeat *gossippb.Beat }

// SlotRequestReceived is another host's question for a place at a backend server that this host owns.
type SlotRequestReceived struct {
	From string
	Ask  *gossippb.Ask
}

// ChargeRequestReceived is another host's question to the owner of a workspace's quota.
type ChargeRequestReceived struct {
	From   string
	Charge *gossippb.Charge
}

// ChargeResponseReceived is the answer to this host's question.
type ChargeResponseReceived struct {
	From    string
	Charged *gossippb.Charged
}

// SlotOfferReceived is the answer to this host's question.
type SlotOfferReceived struct {
	From  string
	Offer *gossippb.Offer
}

// ReportReceived is another host's word of one request at a backend server that this host owns.
type ReportReceived struct {
	From   string
	Report *gossippb.Report
}

// OccupancyReceived is an owner's word of what its backend servers carry.
type OccupancyReceived struct {
	From      string
	Occupancy *gossippb.Occupancy
}

// RelayReceived are sums of other zones that a zone mate has heard and passes on.
type RelayReceived struct {
	From  string
	Relay *gossippb.Relay
}

// Update are changes read from the platform's store or from another host.
type Update struct {
	routing.Changes
	// Full tells that the listing is complete as of AsOf: what it lacks is gone.
	Full bool
	// After and AsOf are revisions of the store: the news hold every change after the one up to the
	// other. Revision is the highest among the changes, or that the sender knows of.
	After, AsOf routing.Revision
	Revision    routing.Revision
	// FromStore tells the store's word from a peer's; From names that peer, for logs.
	FromStore bool
	From      string `json:"-"`
}

// StoreStatus tells that the store answers, or does not.
type StoreStatus struct{ OK bool }

// Drain begins the shutdown; at Until, which is Grace later, the process ends.
type Drain struct{ Until, Grace time.Duration }

// SettingsChanged takes changed settings.
type SettingsChanged struct {
	Seeds  []string
	Bounds Bounds
}

func (ChargeRequestReceived) event()  {}
func (ChargeResponseReceived) event() {}
func (SettingsChanged) event()        {}
func (ProbeResult) event()            {}
func (BackendAnnouncement) event()    {}
func (SlotRequestReceived) event()    {}
func (SlotOfferReceived) event()      {}
func (ReportReceived) event()         {}
func (OccupancyReceived) event()      {}
func (RelayReceived) event()          {}
func (Tick) event()                   {}
func (Submit) event()                 {}
func (StreamStarted) event()          {}
func (StreamProgress) event()         {}
func (Stalled) event()                {}
func (CallerLeft) event()             {}
func (DispatchEnded) event()          {}
func (HeartbeatReceived) event()      {}
func (Update) event()                 {}
func (StoreStatus) event()            {}
func (Drain) event()                  {}

// Effect is an output of the reducer, for the node to carry out.
type Effect interface{ effect() }

// DecisionBasis are what a decision was based on, for logs.
type DecisionBasis struct {
	InFlight int           // believed at the chosen backend server, or the least of the service
	Limit    int           // for this priority there
	ViewAge  time.Duration // of the oldest heartbeat that was counted
	Version  uint64        // of the configuration
	Era      uint64        // of the platform's store, by whose word the backend servers are known
	Quota    QuotaBasis
	// Wait is the predicted time to a stream's first event at the chosen backend server.
	Wait time.Duration
	// Owner is the host that gave the place, or decided over the quota; empty where this host decided alone.
	Owner string
	// Known, Full and Unreachable count the service's backend servers: those that may be used, those of them
	// without room for this priority, and those to which no connection is believed possible. Cold are those of the full
	// ones that bear no more from this host as they have just started. Excluded may not be used at all: they leave, their
	// availability zone is evacuated, or their region may not serve the request.
	Known, Full, Unreachable, Cold, Excluded int
	// suspects are those of the full ones that are not trusted.
	suspects int
}

// QuotaBasis is what a refusal over a quota was based on, in the quota's unit.
type QuotaBasis struct {
	Cost      float64 // of the request
	Remaining float64 // in the workspace's bucket, as this host believes
	OwnShare  float64 // in this host's own part of it
}

// Dispatch sends, or sends once more, a request to a backend server.
type Dispatch struct {
	ID      uint64
	Backend routing.Backend
	// Attempt counts the sends of this request from 1.
	Attempt int
	// MaxIdleConns is how many idle connections to the backend server this host may hold.
	MaxIdleConns int
	// At is when it was decided: the permission is short-lived.
	At    time.Duration
	Basis DecisionBasis
}

// Cause is why a request ends without a backend server's answer.
type Cause string

// The causes.
const (
	OverQuota   Cause = "over_quota"
	Overloaded  Cause = "overloaded"
	NoBackend   Cause = "no_backend"
	ShutDown    Cause = "shutting_down"
	OutOfTime   Cause = "out_of_time"
	BackendLost Cause = "backend_lost"
	Quarantined Cause = "quarantined"
)

// Abort breaks off the call of one attempt, as its backend server has started again since: whether the
// request ran is unknown.
type Abort struct {
	ID      uint64
	Attempt int
}

// StallDecision answers Stalled: give the dispatch up, for another backend server, or wait on.
type StallDecision struct {
	ID       uint64
	Reassign bool
}

// Refuse ends a request that has not run, with the time to come back.
type Refuse struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
	Basis      DecisionBasis
}

// GiveUp ends a request that may have run. PassOn delivers the failure that a backend server gave
// and that was held back for a repeat which did not happen.
type GiveUp struct {
	ID             uint64
	Cause          Cause
	DeliverFailure bool
}

// SendHeartbeat sends a heartbeat to hosts by their IP numbers.
type SendHeartbeat struct {
	To        []string
	Heartbeat *gossippb.Beat
}

// Send sends a datagram that is no heartbeat to hosts by their IP numbers.
type Send struct {
	To     []string
	Packet *gossippb.Packet
}

// ReadStore turns the reading of the platform's store on or off. Shared tells that zone mates read it
// too, so that a watch that hears nothing more is noticed by others.
type ReadStore struct{ On, Shared bool }

// Pull asks another host for its news: what has changed after a revision, and the configuration if it
// is newer than a version.
type Pull struct {
	Host string
	Since
}

// Since is what the asker of news has already.
type Since struct {
	Revision routing.Revision
	Version  uint64
}

// ConfigActivated tells that a newer configuration is in force.
type ConfigActivated struct{ Table *routing.Table }

// BackendGone tells that a backend server is not to be used any more, so that connections to it
// can be closed.
type BackendGone struct{ Backend routing.Backend }

// Probe asks whether a backend server can still be reached, as a Checked event. A connection that is made is kept for the next
// request, among at most Keep.
type Probe struct {
	Backend      routing.Backend
	MaxIdleConns int
}

// Note is a change of belief, for logs.
type Note struct {
	What    string
	Subject string
	Detail  string
	Age     time.Duration
}

func (Dispatch) effect()        {}
func (Abort) effect()           {}
func (StallDecision) effect()   {}
func (Refuse) effect()          {}
func (GiveUp) effect()          {}
func (SendHeartbeat) effect()   {}
func (Send) effect()            {}
func (ReadStore) effect()       {}
func (Pull) effect()            {}
func (ConfigActivated) effect() {}
func (BackendGone) effect()     {}
func (Probe) effect()           {}
func (Note) effect()            {}
