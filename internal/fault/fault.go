// Package fault defines the typed errors that callers and operators see. Every kind has a status, a statement on
// whether the work ran, and a message with the remedy.
package fault

import (
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/gravitational/trace"
)

// Ran states whether the caller's work was run.
type Ran string

// The three statements that an error can make. NotRun is used only if it is proved.
const (
	NotRun     Ran = "not run"
	MayHaveRun Ran = "may have run"
	DidRun     Ran = "ran"
)

// Kind is the machine-readable name of an error.
type Kind string

// The kinds, each with its row in specs below.
const (
	UnknownKey         Kind = "unknown_key"
	UnknownService     Kind = "unknown_service"
	UnknownTier        Kind = "unknown_tier"
	TierNotGranted     Kind = "tier_not_granted"
	BadHeader          Kind = "bad_header"
	BadBody            Kind = "bad_body"
	BodyTooLarge       Kind = "body_too_large"
	SlowBody           Kind = "slow_body"
	BadTicket          Kind = "bad_ticket"
	TicketRequired     Kind = "ticket_required"
	TicketInProgress   Kind = "ticket_in_progress"
	TicketDone         Kind = "ticket_done"
	TicketExpired      Kind = "ticket_expired"
	TicketHomeGone     Kind = "ticket_home_gone"
	RateLimited        Kind = "rate_limited"
	Overloaded         Kind = "overloaded"
	DeadlineUnmeetable Kind = "deadline_unmeetable"
	NoBackend          Kind = "no_backend"
	Draining           Kind = "draining"
	NotReady           Kind = "not_ready"
	Displaced          Kind = "displaced"
	OutcomeUnknown     Kind = "outcome_unknown"
	AnswerCut          Kind = "answer_cut"
	DeadlineExceeded   Kind = "deadline_exceeded"
	Quarantined        Kind = "quarantined"
	Stopped            Kind = "stopped"
	// Moved is internal: another scheduler is responsible for the group. It never reaches a caller.
	Moved Kind = "moved"
)

// Spec is the fixed part of a kind.
type Spec struct {
	Kind   Kind
	Status int
	Ran    Ran
	// RetryAfter is the default time after which to retry; zero means that the same request cannot succeed.
	RetryAfter time.Duration
	Remedy     string
}

var specs = map[Kind]Spec{
	UnknownKey:         {UnknownKey, http.StatusUnauthorized, NotRun, 0, "send the workspace's key as 'Authorization: Bearer KEY'; an operator publishes its SHA-256 in the workspace record"},
	UnknownService:     {UnknownService, http.StatusNotFound, NotRun, 0, "name a service that has a service record"},
	UnknownTier:        {UnknownTier, http.StatusBadRequest, NotRun, 0, "name a tier that has a tier record in header Fireflyshift-Tier"},
	TierNotGranted:     {TierNotGranted, http.StatusForbidden, NotRun, 0, "use a tier that the workspace record lists, or ask the operator to add it"},
	BadHeader:          {BadHeader, http.StatusBadRequest, NotRun, 0, "correct the header; docs/CALLERS.md lists each with its form"},
	BadBody:            {BadBody, http.StatusBadRequest, NotRun, 0, "send a JSON chat-completions body with at least one message"},
	BodyTooLarge:       {BodyTooLarge, http.StatusRequestEntityTooLarge, NotRun, 0, "send a smaller body"},
	SlowBody:           {SlowBody, http.StatusRequestTimeout, NotRun, time.Second, "send the whole body within the limit"},
	BadTicket:          {BadTicket, http.StatusBadRequest, NotRun, 0, "send a ticket as it was issued, or none"},
	TicketRequired:     {TicketRequired, http.StatusPreconditionRequired, NotRun, 0, "repeat the request with the ticket given here in header Fireflyshift-Ticket"},
	TicketInProgress:   {TicketInProgress, http.StatusConflict, MayHaveRun, time.Second, "an earlier try holds this ticket; wait for its answer"},
	TicketDone:         {TicketDone, http.StatusConflict, DidRun, 0, "an earlier try with this ticket finished; do not repeat the work"},
	TicketExpired:      {TicketExpired, http.StatusGone, MayHaveRun, 0, "look whether the work happened before asking for a new ticket"},
	TicketHomeGone:     {TicketHomeGone, http.StatusServiceUnavailable, MayHaveRun, 2 * time.Second, "the host that issued the ticket cannot be asked; look whether the work happened before asking for a new ticket"},
	RateLimited:        {RateLimited, http.StatusTooManyRequests, NotRun, time.Second, "slow down to the workspace's rate, or ask the operator to raise it"},
	Overloaded:         {Overloaded, http.StatusServiceUnavailable, NotRun, time.Second, "come back after the time in Retry-After"},
	DeadlineUnmeetable: {DeadlineUnmeetable, http.StatusServiceUnavailable, NotRun, time.Second, "allow more time in Fireflyshift-Deadline-Ms, or come back later"},
	NoBackend:          {NoBackend, http.StatusServiceUnavailable, NotRun, time.Second, "no backend server of this service can be reached; come back later"},
	Draining:           {Draining, http.StatusServiceUnavailable, NotRun, time.Second, "this host is shutting down; send the request again, the balancer picks another"},
	NotReady:           {NotReady, http.StatusServiceUnavailable, NotRun, time.Second, "this host has no proved configuration yet; send the request again"},
	Displaced:          {Displaced, http.StatusServiceUnavailable, MayHaveRun, 2 * time.Second, "more urgent work took the place of this request; idempotent work can be sent again as a new request"},
	OutcomeUnknown:     {OutcomeUnknown, http.StatusBadGateway, MayHaveRun, time.Second, "the backend server was lost after dispatch; idempotent work can be sent again as a new request"},
	AnswerCut:          {AnswerCut, http.StatusBadGateway, MayHaveRun, time.Second, "the answer was cut and could not be resumed; discard what came and, if idempotent, send a new request"},
	DeadlineExceeded:   {DeadlineExceeded, http.StatusGatewayTimeout, MayHaveRun, 0, "the deadline passed while the work ran; allow more time"},
	Quarantined:        {Quarantined, http.StatusServiceUnavailable, NotRun, time.Minute, "backend servers have ended each time they ran this request; change it, or ask the operator"},
	Stopped:            {Stopped, http.StatusBadGateway, MayHaveRun, time.Second, "this host stopped before the answer was there; idempotent work can be sent again as a new request"},
	Moved:              {Moved, http.StatusServiceUnavailable, NotRun, 0, "ask the group's current scheduler"},
}

// Specs returns the specs of every kind that a caller can receive, sorted by name.
func Specs() []Spec {
	out := make([]Spec, 0, len(specs))
	for _, s := range specs {
		if s.Kind != Moved {
			out = append(out, s)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Kind < out[j].Kind })
	return out
}

// Error is a refusal or failure with its kind.
type Error struct {
	Spec
	Detail string
	// Ticket is set for TicketRequired.
	Ticket string
}

// Error returns the kind, the detail and the remedy.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s (%s): %s", e.Kind, e.Ran, e.Remedy)
	}
	return fmt.Sprintf("%s (%s): %s; %s", e.Kind, e.Ran, e.Detail, e.Remedy)
}

// New returns an error of a kind with a formatted detail. Unknown kinds, which only a newer peer can send, become
// OutcomeUnknown, the most cautious statement.
func New(kind Kind, format string, args ...any) *Error {
	spec, ok := specs[kind]
	if !ok {
		spec = specs[OutcomeUnknown]
	}
	return &Error{Spec: spec, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy with another RetryAfter.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Invalid is an operator's mistake in a record or a settings file.
type Invalid struct {
	Where  string
	Reason string
	Remedy string
}

// Error returns the place, the reason and the remedy.
func (e *Invalid) Error() string {
	return fmt.Sprintf("%s: %s; %s", e.Where, e.Reason, e.Remedy)
}

// Invalidf returns an Invalid wrapped with a stack trace.
func Invalidf(where, remedy, format string, args ...any) error {
	return trace.Wrap(&Invalid{Where: where, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}
