// Package admission is the queue of requests that wait at an owner for a slot at one service's backend servers. It decides who
// may wait, who is next, and when a refused caller should return. It is pure: time is an argument, and there is no I/O, clock,
// goroutine or randomness.
package admission

import "time"

// Priorities is the number of priorities; 0 is the most urgent. It tells apart the routes and workspaces of the configurations in use.
const Priorities = 16

// Key identifies a request by the host that took it and the number of its slot request there.
type Key struct {
	Host   string
	Number uint64
}

// Request is a request that asks for a slot.
type Request struct {
	Key       Key
	Workspace string  // empty on public routes
	Weight    float64 // of the workspace; 0 counts as 1
	Priority  int
	// Cost is the predicted time that the request occupies its engine, in milliseconds.
	Cost float64
	// Returning is set if the caller was refused before.
	Returning bool
	// A grant after OnTimeBy misses the route's target latency, one after PatienceEnds is of no use to the caller.
	OnTimeBy     time.Duration
	PatienceEnds time.Duration
	Deadline     time.Duration
}

// Cause is the reason why a request is refused.
type Cause string

// The causes.
const (
	QueueFull   Cause = "queue_full"
	WaitTooLong Cause = "wait_too_long"
	Displaced   Cause = "displaced"
	Expired     Cause = "expired"
	OwnerGone   Cause = "owner_gone"
)

// Refusal ends a request that got no slot. It has not run.
type Refusal struct {
	Request Request
	Cause   Cause
	// RetryAfter is when a slot is expected; zero if that is unknown.
	RetryAfter time.Duration
}

// Config limits a queue.
type Config struct {
	// MaxRequests is the number of requests that may wait.
	MaxRequests int
}

// View is the state of a queue for operators.
type View struct {
	// Room is the rate of grants per second while requests wait, PerSlot its part of one slot.
	Room, PerSlot float64
	// Wait is the predicted wait by priority; negative if such a request would not be served.
	Wait       [Priorities]time.Duration
	Workspaces []WorkspaceView
}

// WorkspaceView is one workspace at a queue. Counts are of the last ten seconds.
type WorkspaceView struct {
	Workspace                 string
	Weight                    float64
	Waiting                   int
	Offered, Granted, Refused int
	// Provisional are the requests that were queued although the forecast had no slot for them, at most Offered.
	Provisional int
	// Work is the cost of the granted requests, Share its part of all workspaces' work.
	Work, Share float64
}
