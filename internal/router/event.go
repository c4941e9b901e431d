package router

import (
	"time"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick advances the reducer's clock.
type Tick struct{}

// Submit is a request whose route and key have been checked by the gateway.
type Submit struct {
	// ID identifies the request on this host.
	ID        uint64
	Route     *routing.Route
	Workspace *routing.Workspace // nil on public routes
	Rank      float64            // urgency from 0, the most urgent, to routing.LeastUrgent
	PromptTok int                // length of the prompt in tokens; zero if unknown
	OutputTok int                // the caller's estimate of the output in tokens
	Cost      float64            // counted against the workspace's quota, in the quota's unit
	Deadline  time.Duration      // on the reducer's clock
	Allowed   time.Duration      // from the request's first byte to the deadline; zero if only the deadline is known
	BodyBytes int                // length of the request's body, which counts while the request waits at an owner
	// Digest identifies the request across attempts; zero if it is not needed, as no request is suspected.
	Digest quarantine.Digest
	// Parts are the digests of the parts of its prompt that other requests may share.
	Parts []quarantine.Digest
	// Stream is the ID under which a caller may later take up the stream that this request begins; zero if it may not.
	Stream streams.ID
	// Continues is set if the caller takes up a stream that an earlier attempt has begun. Resumes is that stream; zero if the
	// caller does not name it.
	Continues bool
	Resumes   streams.ID
}

// StreamStarted reports the first event of a stream, First after the request was sent.
type StreamStarted struct {
	ID    uint64
	First time.Duration
}

// StreamProgress reports the mean interval between the first events of a stream that is still open.
type StreamProgress struct {
	ID       uint64
	Interval time.Duration
}

// Stalled reports that the backend server has sent nothing for too long. It is answered by a StallDecision.
type Stalled struct{ ID uint64 }

// CallerLeft reports that the caller disconnected before the answer was complete.
type CallerLeft struct{ ID uint64 }

// Outcome is how a dispatch ended.
type Outcome int

// The outcomes, by what is known about whether the request ran.
const (
	// Answered: the answer, whatever its status, was delivered to the caller in full.
	Answered Outcome = iota + 1
	// Failed: the backend server answered with an error of its own, which is withheld from the caller for now.
	Failed
	// NotSent: no byte of the request left this host.
	NotSent
	// Rejected: the backend server reports that it has not run the request.
	Rejected
	// WrongInstance: a different backend server now has the address; the request has not run.
	WrongInstance
	// Broken: the connection or the answer was interrupted; the request may have run.
	Broken
	// TimedOut: the deadline passed first; the request may have run.
	TimedOut
	// Canceled: the caller disconnected; the request may have run.
	Canceled
)

// DispatchEnded reports how a dispatch ended.
type DispatchEnded struct {
	ID      uint64
	Outcome Outcome
	// Delivered is set if bytes of the answer have reached the caller. Only a stream that can be resumed after its
	// last event may still be retried then.
	Delivered bool
	// First is the time to the first byte of the answer, Interval the mean time between events and Events
	// their number; zero if unknown.
	First    time.Duration
	Interval time.Duration
	Events   int
	// Fault is set if the backend server was at fault and should be avoided for a while.
	Fault bool
	// RelayFault is set if the relay of the dispatch did not serve, which tells nothing of the backend server.
	RelayFault bool
	// BodySpent is set if a part of the body that the gateway does not keep may have been sent: the request cannot be sent again.
	BodySpent bool
	// Success is set if the answer was a complete success, EndedWithConnection if it was one as far as can be seen: it had no
	// other end than that of its connection, which a server that crashes ends too.
	Success, EndedWithConnection bool
	// Digest identifies the request if the way it ended counts for or against it in quarantine; zero otherwise.
	Digest quarantine.Digest
}

// BackendAnnouncement is what a backend server states about itself in an answer, valid for this Start of it.
type BackendAnnouncement struct {
	ID    string
	Start uint64
	// Leaving is set if it is about to shut down.
	Leaving bool
	// HoldOff is how long it asks this host to send it nothing; zero if it does not ask.
	HoldOff time.Duration
	// RateLimit is what the answer states about a rate limit; nil if that is unknown.
	RateLimit *RateObservation
	// BrittleLimit is what the answer states about a limit on rejected requests; nil if that is unknown.
	BrittleLimit *RateObservation
}

// RateObservation is a limit of a backend server according to one answer.
type RateObservation struct {
	// PerSecond is the number of requests per second, from all hosts together, that it accepts or that it may have to reject;
	// +Inf if there is no limit.
	PerSecond float64
	// SentAt is when the answered request was sent, on the reducer's clock. The answer is from a later moment.
	SentAt time.Duration
}

// ProbeResult is the result of a Probe of one start of a backend server: its address accepted a connection or refused it.
// Neither is set if there was no answer.
type ProbeResult struct {
	ID               string
	Start            uint64
	Reached, Refused bool
}

// HeartbeatReceived is a heartbeat from another host.
type HeartbeatReceived struct{ Heartbeat *gossippb.Beat }

// SlotRequestReceived is another host's request for a slot at a backend server that this host owns.
type SlotRequestReceived struct {
	From string
	Ask  *gossippb.Ask
}

// QuotaRequestReceived is another host's request to charge a workspace's quota that this host owns, or to refund a charge.
type QuotaRequestReceived struct {
	From   string
	Charge *gossippb.Charge
}

// QuotaReplyReceived is a quota owner's reply to this host's quota request.
type QuotaReplyReceived struct {
	From    string
	Charged *gossippb.Charged
}

// SlotOfferReceived is an owner's reply to this host's slot request.
type SlotOfferReceived struct {
	From  string
	Offer *gossippb.Offer
}

// WithdrawReceived is another host's message that its request no longer waits for a slot.
type WithdrawReceived struct {
	From     string
	Withdraw *gossippb.Withdraw
}

// ReportReceived is another host's report on one request at a backend server that this host owns.
type ReportReceived struct {
	From   string
	Report *gossippb.Report
}

// OccupancyReceived is an owner's report of the load at its backend servers.
type OccupancyReceived struct {
	From      string
	Occupancy *gossippb.Occupancy
}

// RelayReceived carries summaries of other zones that a zone peer received and relays.
type RelayReceived struct {
	From  string
	Relay *gossippb.Relay
}

// OriginReceived is another host's report of what has begun a stream.
type OriginReceived struct {
	From   string
	Origin *gossippb.StreamOrigin
}

// OriginQueryReceived is another host's question of what has begun a stream.
type OriginQueryReceived struct {
	From  string
	Query *gossippb.OriginQuery
}

// OriginReplyReceived is another host's reply to this host's question.
type OriginReplyReceived struct {
	From  string
	Reply *gossippb.OriginReply
}

// Update holds changes read from the platform's store or pulled from another host. It is sent between hosts as JSON.
type Update struct {
	routing.Changes
	// Full is set for a complete listing as of AsOf: whatever it does not contain has been removed.
	Full bool
	// The update contains every change later than After up to AsOf, both revisions of the store. Revision is the
	// highest revision among the changes, or the highest that the sender knows of.
	After, AsOf routing.Revision
	Revision    routing.Revision
	// FromStore is set if the update was read from the store. Otherwise From names the peer, for logs.
	FromStore bool
	From      string `json:"-"`
}

// StoreStatus reports whether the store answers.
type StoreStatus struct{ OK bool }

// Drain begins the shutdown. The process ends at Until, which is Grace from now.
type Drain struct{ Until, Grace time.Duration }

// SettingsChanged carries the settings that may change while the host runs.
type SettingsChanged struct {
	Seeds     []string
	Bounds    Bounds
	Admission AdmissionSettings
	Balancing BalancingSettings
}

func (OriginReceived) event()       {}
func (OriginQueryReceived) event()  {}
func (OriginReplyReceived) event()  {}
func (QuotaRequestReceived) event() {}
func (QuotaReplyReceived) event()   {}
func (SettingsChanged) event()      {}
func (ProbeResult) event()          {}
func (BackendAnnouncement) event()  {}
func (SlotRequestReceived) event()  {}
func (SlotOfferReceived) event()    {}
func (ReportReceived) event()       {}
func (WithdrawReceived) event()     {}
func (OccupancyReceived) event()    {}
func (RelayReceived) event()        {}
func (Tick) event()                 {}
func (Submit) event()               {}
func (StreamStarted) event()        {}
func (StreamProgress) event()       {}
func (Stalled) event()              {}
func (CallerLeft) event()           {}
func (DispatchEnded) event()        {}
func (HeartbeatReceived) event()    {}
func (Update) event()               {}
func (StoreStatus) event()          {}
func (Drain) event()                {}

// Effect is an output of the reducer, carried out by the node.
type Effect interface{ effect() }

// DecisionBasis records the inputs of a decision for logs.
type DecisionBasis struct {
	InFlight int           // at the chosen backend server, or the least loaded one of the service, as known to this host
	Limit    int           // for this priority at that backend server
	ViewAge  time.Duration // age of the oldest heartbeat that was counted
	Version  uint64        // of the configuration
	Era      uint64        // of the store that the backend servers were read from
	// Revision is the store's revision up to which every change of backend servers was known, and StoreAge the time since the
	// store last answered this host. Set for a dispatch only.
	Revision uint64
	StoreAge time.Duration
	Quota    QuotaBasis
	Queue    QueueBasis
	Spill    SpillBasis
	// Wait is the predicted time to a stream's first event at the chosen backend server.
	Wait time.Duration
	// Owner is the host that granted the slot or decided on the quota; empty if this host decided locally.
	Owner string
	// Rate is set if the backend servers state rate limits.
	Rate RateBasis
	// Known, Full and Unreachable count the service's backend servers: those that may be used, those of them
	// without a slot for this priority, and those assumed to be unreachable. Cold counts those of the full ones that take no
	// more from this host because they started recently, RateLimited those that take no more from it by the rate limit that they
	// state, Brittle those that take no more from it because they fail when they have to reject requests. Excluded ones may not be used at all: they are leaving, their availability zone is evacuated, or their region may
	// not serve the request.
	// OtherVersion counts those of the excluded ones that only have another software version than the one that began the stream.
	Known, Full, Unreachable, Cold, RateLimited, Brittle, Excluded, OtherVersion int
	// suspects counts those of the full ones that are avoided because they fail requests or cannot be reached.
	suspects int
}

// RateBasis records the stated rate limits that applied to a decision, in requests per second.
type RateBasis struct {
	PerSecond float64 // from all hosts together
	Share     float64 // of this host
}

// QueueBasis records what an admission queue decided on a request. It is empty if the request has not met a queue.
type QueueBasis struct {
	// Cause is why the last owner refused the request; empty if it was granted a slot or an owner gave no cause.
	Cause admission.Cause
	// Waited is the time that the request has waited at owners, Predicted the wait that the last owner predicted when it queued
	// the request, Patience the time within which a grant was of use then.
	Waited, Predicted, Patience time.Duration
}

// QuotaBasis records the inputs of a refusal over a quota, in the quota's unit.
type QuotaBasis struct {
	Cost      float64 // of the request
	Remaining float64 // in the workspace's bucket, as known to this host
	OwnShare  float64 // in this host's share of the bucket
}

// Dispatch sends a request to a backend server, for the first time or again.
type Dispatch struct {
	ID      uint64
	Backend routing.Backend
	// Via is the host that relays the connection to the backend server; empty if this host connects directly.
	Via string
	// Attempt counts the sends of this request, from 1.
	Attempt int
	// MaxIdleConns limits the idle connections that this host keeps to the backend server.
	MaxIdleConns int
	// At is the time of the decision. A dispatch must start soon after it.
	At time.Duration
	// ReportRate is set if the backend server has stated a rate limit. What the answer states about it is then reported even if
	// it states none.
	ReportRate bool
	// ReportBrittle is the same for a limit on rejected requests.
	ReportBrittle bool
	// Binding is what the stream is bound to; its Version is empty if it has not begun.
	Binding Binding
	Basis   DecisionBasis
}

// Binding is the software version that a stream is bound to, and how this host knows it.
type Binding struct {
	Version string
	Source  BindingSource
	// From is the host that reported it, if another one did.
	From string
	// Age is how long this host has known it.
	Age time.Duration
}

// BindingSource is how a host knows what a stream is bound to.
type BindingSource string

// The sources.
const (
	BoundByAnswer      BindingSource = "answer"       // the stream began within the same answer
	BoundByRecord      BindingSource = "record"       // the stream began at this host
	BoundByReport      BindingSource = "report"       // another host reported it as the stream began
	BoundByReply       BindingSource = "reply"        // another host answered a query
	BoundBySoleVersion BindingSource = "sole_version" // there is no other version
)

// Cause is the reason why a request ends without a backend server's answer.
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
	// OriginUnknown: no host knows which software version began the stream, and there are several.
	OriginUnknown Cause = "stream_origin_unknown"
	// NoBackendOfVersion: no backend server of the version that began the stream may be used.
	NoBackendOfVersion Cause = "no_backend_of_version"
	// BodyNotKept: the backend server has not run the request, whose body is too long to be sent to another one.
	BodyNotKept Cause = "body_not_kept"
	// BackendsRateLimited: what the service's backend servers accept according to their answers is used up.
	BackendsRateLimited Cause = "backends_rate_limited"
)

// Abort cancels one attempt because its backend server has restarted since it was sent. Whether the request ran is
// unknown.
type Abort struct {
	ID      uint64
	Attempt int
}

// Queued reports that a request waits at an owner. A Dispatch, Refuse or GiveUp follows, or nothing if its caller disconnects.
type Queued struct {
	ID    uint64
	Owner string
	// Wait is the predicted wait, Patience the time within which a grant is of use.
	Wait, Patience time.Duration
}

// StallDecision answers Stalled: abandon the dispatch and reassign the request to another backend server, or keep waiting.
type StallDecision struct {
	ID       uint64
	Reassign bool
}

// Refuse ends a request that has not run and tells the caller when to retry.
type Refuse struct {
	ID         uint64
	Cause      Cause
	RetryAfter time.Duration
	Basis      DecisionBasis
}

// GiveUp ends a request that may have run. With DeliverFailure the caller gets the backend server's error that was
// withheld for a retry that did not take place.
type GiveUp struct {
	ID             uint64
	Cause          Cause
	DeliverFailure bool
}

// SendHeartbeat sends a heartbeat to hosts, given by IP address.
type SendHeartbeat struct {
	To        []string
	Heartbeat *gossippb.Beat
}

// Send sends a datagram other than a heartbeat to hosts, given by IP address.
type Send struct {
	To     []string
	Packet *gossippb.Packet
}

// ReadStore turns reading of the platform's store on or off. Shared is set if zone peers read it too, so that they
// cover for a watch that has silently stopped.
type ReadStore struct{ On, Shared bool }

// Pull asks another host for an Update: the changes after a revision, and the configuration if it is newer than a version.
type Pull struct {
	Host string
	Since
}

// Since is the state that the pulling host already has.
type Since struct {
	Revision routing.Revision
	Version  uint64
}

// ConfigActivated puts a newer configuration into force.
type ConfigActivated struct{ Table *routing.Table }

// BackendGone reports that a backend server is no longer used, so that idle connections to it can be closed. Doubtful is
// set if only its registration has lapsed, around an outage of the store; another BackendGone follows if that is not
// renewed.
type BackendGone struct {
	Backend  routing.Backend
	Doubtful bool
}

// Probe asks whether a backend server is still reachable; the answer is a ProbeResult. A connection made for it is kept
// for the next request, among at most MaxIdleConns idle ones.
type Probe struct {
	Backend      routing.Backend
	MaxIdleConns int
}

// Note is a change of state for the log.
type Note struct {
	What    string
	Subject string
	Detail  string
	Age     time.Duration
}

func (Dispatch) effect()        {}
func (Queued) effect()          {}
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
