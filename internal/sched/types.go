// Package sched decides which waiting request runs on which backend server of one group. It is a
// pure state machine: time comes in as an argument, decisions come out as data, and there is no
// I/O, clock, goroutine or randomness inside. The cycle reads as filter, score, reserve, grant.
package sched

import (
	"time"

	"fireflyshift/internal/fault"
)

// NumPriorities is the number of tier priorities; record.MaxPriority is the greatest.
const NumPriorities = 16

// Key names a request at the entry host that took it.
type Key struct {
	Host    string
	Request uint64
}

// Less orders keys, so that choices do not depend on map order.
func (k Key) Less(o Key) bool {
	if k.Host != o.Host {
		return k.Host < o.Host
	}
	return k.Request < o.Request
}

// Request is what an entry host asks permission for.
type Request struct {
	Key           Key
	Attempt       uint32
	Workspace     string
	Weight        float64
	Priority      uint32
	PromptTokens  uint32
	OutputTokens  uint32
	Prefix        []uint32
	Deadline      time.Duration
	NonIdempotent bool
	// Resume tells that the request was suspended and holds exported KV cache.
	Resume bool
	// Spilled tells that the request comes from another availability zone.
	Spilled bool
}

// Held is what an entry host says it runs.
type Held struct {
	Key           Key
	Attempt       uint32
	Backend       string
	Workspace     string
	Priority      uint32
	OutputTokens  uint32
	NonIdempotent bool
}

// Result is how a dispatch ended, as the entry host saw it.
type Result struct {
	Key     Key
	Attempt uint32
	Backend string
	Outcome Outcome
	// FirstToken is the time from dispatch to the first token; zero if none came.
	FirstToken time.Duration
	// Interval is the mean time between tokens; zero if unknown.
	Interval time.Duration
	Tokens   uint32
	Prompt   uint32
}

// Outcome classifies a Result.
type Outcome int

// The outcomes.
const (
	Done Outcome = iota + 1
	// Unused is a grant that was not dispatched.
	Unused
	// Failed is a backend server that could not be reached or lost the answer.
	Failed
	Suspended
	Canceled
)

// Decision is one effect of the state machine.
type Decision interface{ decision() }

// Grant permits a dispatch to a backend server, within the lease.
type Grant struct {
	Key     Key
	Attempt uint32
	Backend string
	Lease   time.Duration
}

// Refuse gives a request up. The work did not run under this attempt.
type Refuse struct {
	Key        Key
	Attempt    uint32
	Kind       fault.Kind
	RetryAfter time.Duration
}

// Preempt asks the entry host to suspend a running request.
type Preempt struct {
	Key     Key
	Attempt uint32
}

func (Grant) decision()   {}
func (Refuse) decision()  {}
func (Preempt) decision() {}

// Options are the limits of a group. The zero value is not usable; see DefaultOptions.
type Options struct {
	// Lease is how long a grant may wait for its dispatch.
	Lease time.Duration
	// DisplaceAfter is how long urgent work waits for a natural slot before it displaces.
	DisplaceAfter time.Duration
	// PreemptTimeout is when an unanswered preemption stops counting as a coming slot.
	PreemptTimeout time.Duration
	// QueuePerSlot bounds the queue relative to the group's slots.
	QueuePerSlot int
	// MinQueue is the least bound of the queue.
	MinQueue int
	// OrphanGrace keeps the slots of a lost entry host: its streams may still run.
	OrphanGrace time.Duration
	// UnconfirmedTimeout frees a run that its entry host has not named for so long.
	UnconfirmedTimeout time.Duration
	// SettleTimeout is how long a new scheduler listens for Holdings before it grants.
	SettleTimeout time.Duration
}

// DefaultOptions are the values the daemon uses.
func DefaultOptions() Options {
	return Options{
		Lease:              2 * time.Second,
		DisplaceAfter:      30 * time.Millisecond,
		PreemptTimeout:     250 * time.Millisecond,
		QueuePerSlot:       8,
		MinQueue:           64,
		OrphanGrace:        3 * time.Second,
		UnconfirmedTimeout: 4 * time.Second,
		SettleTimeout:      400 * time.Millisecond,
	}
}
