package core

import (
	"time"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/member"
	"fireflyshift/internal/peer/peerpb"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/record"
	"fireflyshift/internal/sched"
	"fireflyshift/internal/ticket"
)

// Event is an input of the reducer.
type Event interface{ event() }

// Tick lets time pass. The daemon sends one every TickEvery.
type Tick struct{}

// Submit is a caller's request whose key, service and tier the edge has checked.
type Submit struct {
	ID            string
	Workspace     string
	Service       string
	Tier          string
	Priority      uint32
	PromptTokens  uint32
	OutputTokens  uint32
	Prefix        []uint32
	Deadline      time.Duration // time left
	NonIdempotent bool
	Ticket        *ticket.Ticket
	Traceparent   string
	// Digest names the request whatever its attempt.
	Digest quarantine.Digest
}

// Gone tells that the caller closed its connection.
type Gone struct{ ID string }

// Ended is how a dispatch ended, from the traffic side.
type Ended struct {
	ID         string
	Attempt    uint32
	Outcome    Outcome
	FirstToken time.Duration
	Interval   time.Duration
	Tokens     uint32
	// Fault is the caller's answer for Failed.
	Fault *fault.Error
	// BackendEnded tells that the backend server's process has ended while it ran the request.
	BackendEnded bool
}

// Outcome classifies the end of a dispatch.
type Outcome int

// The outcomes. NotSent is said only when no byte of the request left the host.
const (
	Done Outcome = iota + 1
	NotSent
	Failed
	Suspended
	Canceled
)

// PeerMessage is a message from another host, or from this one to itself.
type PeerMessage struct {
	From        string
	Incarnation uint64
	Message     *peerpb.Message
}

// PeerLinked tells that a host opened a link to this one.
type PeerLinked struct {
	Host        member.Host
	Incarnation uint64
}

// PeerUnlinked tells that a link from a host has broken.
type PeerUnlinked struct {
	Host        string
	Incarnation uint64
}

// LinkOpened tells that this host's link to a peer is open again: messages may have been lost.
type LinkOpened struct{ Host string }

// PlatformRecords is a read of the configuration service.
type PlatformRecords struct {
	Records []record.Raw
	// Current tells that the service had nothing newer at the time of the read.
	Current bool
}

// PlatformFailed is a failed read of the configuration service.
type PlatformFailed struct{}

// ListedHost is one row of the platform's host list.
type ListedHost struct {
	member.Host
	Backend bool
}

// HostList is the platform's lagging list of hosts.
type HostList struct{ Hosts []ListedHost }

// LoadReport is an engine's lagging word on its load.
type LoadReport struct {
	Backend     string
	Outstanding int
}

// CacheEvicted is an engine's late word on its prefix cache.
type CacheEvicted struct {
	Backend string
	Hashes  []uint32
}

// Drain begins the graceful shutdown: the host's duties move at once, new requests are refused.
type Drain struct{}

// Stop ends what is in hand: each request gets its final answer.
type Stop struct{}

func (Tick) event()            {}
func (Submit) event()          {}
func (Gone) event()            {}
func (Ended) event()           {}
func (PeerMessage) event()     {}
func (PeerLinked) event()      {}
func (PeerUnlinked) event()    {}
func (LinkOpened) event()      {}
func (PlatformRecords) event() {}
func (PlatformFailed) event()  {}
func (HostList) event()        {}
func (LoadReport) event()      {}
func (CacheEvicted) event()    {}
func (Drain) event()           {}
func (Stop) event()            {}

// Effect is an output of the reducer, for the daemon to carry out.
type Effect interface{ effect() }

// Send passes a message to a peer.
type Send struct {
	To      member.Host
	Message *peerpb.Message
}

// Dispatch starts, or with Resume continues, a request on a backend server. It must not be carried
// out after ValidUntil.
type Dispatch struct {
	ID         string
	Attempt    uint32
	Backend    record.Backend
	ValidUntil time.Duration
	Resume     bool
	// Scheduler is the host whose grant this is, and At when it was taken, for logs.
	Scheduler string
	At        time.Duration
}

// Suspend asks the traffic side to export the stream of a request.
type Suspend struct{ ID string }

// Finish ends a request: with a fault, or with nil after a whole answer.
type Finish struct {
	ID    string
	Fault *fault.Error
}

// ConfigChanged tells that the configuration in force has changed.
type ConfigChanged struct{}

// ReadPlatform turns the watch of the configuration service on or off. It starts after a revision.
type ReadPlatform struct {
	On    bool
	After uint64
}

// ReadHosts asks for the host list to be read anew, whatever is known of it.
type ReadHosts struct{}

// WatchEngines names the engines that this host should hear.
type WatchEngines struct{ Engines []WatchedEngine }

// WatchedEngine is an engine whose cache events are wanted, and its load reports only where the
// service's policy reads them: each poll costs bytes.
type WatchedEngine struct {
	Name string
	Addr string
	Load bool
}

func (Send) effect()          {}
func (Dispatch) effect()      {}
func (Suspend) effect()       {}
func (Finish) effect()        {}
func (ConfigChanged) effect() {}
func (ReadPlatform) effect()  {}
func (ReadHosts) effect()     {}
func (WatchEngines) effect()  {}

func (o Outcome) toPeer() peerpb.Outcome {
	switch o {
	case Done:
		return peerpb.Outcome_OUTCOME_DONE
	case Suspended:
		return peerpb.Outcome_OUTCOME_SUSPENDED
	case Canceled:
		return peerpb.Outcome_OUTCOME_CANCELED
	default:
		return peerpb.Outcome_OUTCOME_FAILED
	}
}

func outcomeFromPeer(o peerpb.Outcome) sched.Outcome {
	switch o {
	case peerpb.Outcome_OUTCOME_DONE:
		return sched.Done
	case peerpb.Outcome_OUTCOME_UNUSED:
		return sched.Unused
	case peerpb.Outcome_OUTCOME_SUSPENDED:
		return sched.Suspended
	case peerpb.Outcome_OUTCOME_CANCELED:
		return sched.Canceled
	default:
		return sched.Failed
	}
}
