// Package sched decides which waiting request runs on which backend server of one group. It is a pure
// state machine: time is an argument, decisions are returned as data, and there is no I/O, clock,
// goroutine or randomness. Each scheduling cycle filters and scores the backend servers, reserves a slot
// and grants it.
package sched

import (
	"time"

	"fireflyshift/internal/fault"
)

// NumPriorities is the number of tier priorities, 0 to record.MaxPriority.
const NumPriorities = 16

// Key identifies a request by its entry host and its number there.
type Key struct {
	Host    string
	Request uint64
}

// Less orders keys, so that decisions do not depend on map order.
func (k Key) Less(o Key) bool {
	if k.Host != o.Host {
		return k.Host < o.Host
	}
	return k.Request < o.Request
}

// Request is a slot request of an entry host.
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
	// Resume reports that the request was suspended and has exported KV cache.
	Resume bool
	// Spilled reports that the request comes from another availability zone that could also serve it.
	Spilled bool
}

// Held is a run as reported by its entry host.
type Held struct {
	Key           Key
	Attempt       uint32
	Backend       string
	Workspace     string
	Priority      uint32
	OutputTokens  uint32
	NonIdempotent bool
}

// Result is the end of a dispatch as reported by the entry host.
type Result struct {
	Key     Key
	Attempt uint32
	Backend string
	Outcome Outcome
	// FirstToken is the time from dispatch to the first token, zero if there was none.
	FirstToken time.Duration
	// Interval is the mean time between tokens, zero if unknown.
	Interval time.Duration
	Tokens   uint32
	Prompt   uint32
}

// Outcome classifies a Result.
type Outcome int

// The outcomes of a dispatch.
const (
	Done Outcome = iota + 1
	// Unused is a grant that was not used for a dispatch.
	Unused
	// Failed is a dispatch whose backend server could not be reached or lost the answer.
	Failed
	Suspended
	Canceled
)

// Decision is an output of the state machine: Grant, Refuse or Preempt.
type Decision interface{ decision() }

// Grant permits a dispatch to a backend server within the lease.
type Grant struct {
	Key     Key
	Attempt uint32
	Backend string
	Lease   time.Duration
}

// Refuse refuses a request. It did not run under this attempt.
type Refuse struct {
	Key        Key
	Attempt    uint32
	Kind       fault.Kind
	RetryAfter time.Duration
}

// Preempt requests that the entry host suspend a running request.
type Preempt struct {
	Key     Key
	Attempt uint32
}

func (Grant) decision()   {}
func (Refuse) decision()  {}
func (Preempt) decision() {}

// Options are the settings of a group. The zero value is not usable; see DefaultOptions.
type Options struct {
	// Lease is how long after a grant the dispatch may start.
	Lease time.Duration
	// PreemptAfter is how long a request waits for a slot before runs of a lower priority are preempted
	// for it.
	PreemptAfter time.Duration
	// PreemptTimeout is how long an unanswered preemption counts as a slot about to become free.
	PreemptTimeout time.Duration
	// QueuePerSlot is the queue bound per slot of the group.
	QueuePerSlot int
	// MinQueue is the lower limit of the queue bound.
	MinQueue int
	// OrphanGrace is how long the runs of a lost entry host keep their slots: their streams may still run.
	OrphanGrace time.Duration
	// UnconfirmedTimeout is how long a run keeps its slot without confirmation by its entry host.
	UnconfirmedTimeout time.Duration
	// SettleTimeout is how long a new scheduler waits for holdings before it grants.
	SettleTimeout time.Duration
}

// DefaultOptions returns the values that the daemon uses.
func DefaultOptions() Options {
	return Options{
		Lease:              2 * time.Second,
		PreemptAfter:       30 * time.Millisecond,
		PreemptTimeout:     250 * time.Millisecond,
		QueuePerSlot:       8,
		MinQueue:           64,
		OrphanGrace:        3 * time.Second,
		UnconfirmedTimeout: 4 * time.Second,
		SettleTimeout:      400 * time.Millisecond,
	}
}
