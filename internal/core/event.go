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

// Tick advances time. The daemon sends one at the interval that NextTick returns.
type Tick struct{}

// Submit is a caller's request. The edge has already checked its key, service and tier.
type Submit struct {
	ID            string
	Workspace     string
	Service       string
	Tier          string
	Priority      uint32
	PromptTokens  uint32
	OutputTokens  uint32
	Prefix        []uint32
	Deadline      time.Duration // time left until the deadline
	NonIdempotent bool
	Ticket        *ticket.Ticket
	Traceparent   string
	// Digest identifies the request content, independent of the attempt.
	Digest quarantine.Digest
	// Parts are the digests of the beginnings of its prompt.
	Parts []quarantine.Digest
}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{ ID string }

// DispatchEnded reports the end of a dispatch, as seen by the traffic side.
type DispatchEnded struct {
	ID         string
	Attempt    uint32
	Outcome    Outcome
	FirstToken time.Duration
	Interval   time.Duration
	Tokens     uint32
	// Fault is the error to answer to the caller if the outcome is Failed.
	Fault *fault.Error
	// BackendEnded reports that the process of the backend server ended while it ran the request.
	BackendEnded bool
}

// Outcome classifies the end of a dispatch.
type Outcome int

// NotSent is reported only if no byte of the request has left the host.
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

// PeerLinked reports that a host has opened a link to this one.
type PeerLinked struct {
	Host        member.Host
	Incarnation uint64
}

// PeerUnlinked reports that a link from a host has broken.
type PeerUnlinked struct {
	Host        string
	Incarnation uint64
}

// LinkOpened reports that this host's link to a peer is open again: messages sent before may have been
// lost.
type LinkOpened struct{ Host string }

// PlatformRecords is the result of a read of the configuration service.
type PlatformRecords struct {
	Records []record.Raw
	// Current reports that the service had no newer records at the time of the read.
	Current bool
}

// PlatformFailed reports a failed read of the configuration service.
type PlatformFailed struct{}

// ListedHost is one entry of the platform's host list.
type ListedHost struct {
	member.Host
	Backend bool
}

// HostList is the platform's list of hosts, which lags behind reality.
type HostList struct{ Hosts []ListedHost }

// LoadReport is an engine's delayed report of its load.
type LoadReport struct {
	Backend     string
	Outstanding int
}

// CacheEvicted is an engine's delayed report of evictions from its prefix cache.
type CacheEvicted struct {
	Backend string
	Hashes  []uint32
}

// Drain starts the graceful shutdown: the host's roles move to other hosts at once and new requests are
// refused.
type Drain struct{}

// Stop ends all requests at once; each gets its final answer.
type Stop struct{}

func (Tick) event()            {}
func (Submit) event()          {}
func (CallerGone) event()      {}
func (DispatchEnded) event()   {}
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

// Effect is an output of the reducer that the daemon carries out.
type Effect interface{ effect() }

// Send sends a message to a peer.
type Send struct {
	To      member.Host
	Message *peerpb.Message
}

// Dispatch starts a request on a backend server, or continues it there if Resume is set. It must not be
// carried out after ValidUntil.
type Dispatch struct {
	ID         string
	Attempt    uint32
	Backend    record.Backend
	ValidUntil time.Duration
	Resume     bool
	// Scheduler is the host that granted the slot and At the time at which the grant was used, for logs.
	Scheduler string
	At        time.Duration
}

// Suspend requests that the traffic side export the stream of a running request.
type Suspend struct{ ID string }

// Finish ends a request, with a fault or with nil after a complete answer.
type Finish struct {
	ID    string
	Fault *fault.Error
}

// ConfigChanged reports that the active configuration has changed.
type ConfigChanged struct{}

// ReadPlatform turns the watch of the configuration service on or off. The watch starts after the revision
// After.
type ReadPlatform struct {
	On    bool
	After uint64
}

// ReadHosts requests a new read of the host list, even if a cached one exists.
type ReadHosts struct{}

// WatchEngines lists the engines whose events this host needs.
type WatchEngines struct{ Engines []WatchedEngine }

// WatchedEngine is an engine whose cache events are needed. Load is set only if the service's policy uses
// load reports: each poll costs bandwidth.
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
