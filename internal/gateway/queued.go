package gateway

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/admission"
	"fireflyshift/internal/router"
)

// queueOutcome is how a request left an admission queue.
type queueOutcome string

const (
	queueGranted queueOutcome = "granted"
	queueRefused queueOutcome = "refused"
	queueMoved   queueOutcome = "moved" // it is sent without a slot from this owner, or waits at another one next
	queueEnded   queueOutcome = "ended" // the caller left, or the host stopped
)

// queueWait is the admission queue in which a request waits.
type queueWait struct {
	waiting bool
	owner   string
	since   time.Duration // on the control thread's clock
	total   time.Duration // at this owner and at those before it, since the latest grant
	refused bool          // a queue has refused the request
}

// enterQueue logs that the request waits at an owner.
func (a *activeRequest) enterQueue(e router.Queued) {
	a.leaveQueue(queueMoved, "")
	now := a.g.control.Now()
	a.queue.waiting, a.queue.owner, a.queue.since = true, e.Owner, now
	a.g.histories.add(a.logID(), now, "queued at owner %s: predicted wait %s, patience %s", e.Owner, e.Wait.Round(time.Millisecond), e.Patience.Round(time.Millisecond))
	a.withWorkspace(a.g.log.Info().Str("id", a.logID()).Str("route", a.route.Name).Str("owner", e.Owner).
		Int64("predicted_ms", e.Wait.Milliseconds()).Int64("patience_ms", e.Patience.Milliseconds())).Msg("Request queued.")
}

// leaveQueue logs that the request has left the queue in which it waited, if it waited in one.
func (a *activeRequest) leaveQueue(outcome queueOutcome, cause admission.Cause) {
	if !a.queue.waiting {
		return
	}
	now := a.g.control.Now()
	waited := max(0, now-a.queue.since)
	a.queue.waiting, a.queue.total = false, a.queue.total+waited
	if outcome == queueGranted {
		a.g.metrics.Timer("queue.wait").Update(a.queue.total)
		a.queue.total = 0
	}
	because := ""
	if cause != "" {
		because = fmt.Sprintf(" (%s)", cause)
	}
	a.g.histories.add(a.logID(), now, "left the queue at owner %s after %s: %s%s", a.queue.owner, waited.Round(time.Millisecond), outcome, because)
	a.withWorkspace(a.g.log.Info().Str("id", a.logID()).Str("owner", a.queue.owner).Str("result", string(outcome)).Str("cause", string(cause)).
		Int64("waited_ms", waited.Milliseconds())).Msg("Request left the queue.")
}

// dispatchedFromQueue logs that the request leaves the queue because it is dispatched. Unless the owner of the queue granted the
// slot, another owner or this host did, after that owner refused or was lost.
func (a *activeRequest) dispatchedFromQueue(g router.DecisionBasis) {
	if g.Owner == a.queue.owner && g.Queue.Cause == "" {
		a.leaveQueue(queueGranted, "")
		return
	}
	a.leaveQueue(queueMoved, g.Queue.Cause)
}

// refusedByQueue records for operators why an admission queue refused the request, whether or not it waited there.
func (a *activeRequest) refusedByQueue(e router.Refuse) {
	q := e.Basis.Queue
	a.leaveQueue(queueRefused, q.Cause)
	if q == (router.QueueBasis{}) {
		return
	}
	a.queue.refused, a.retryAfter = true, e.RetryAfter
	what := fmt.Sprintf("refused, admission queue at owner %s: %s", orUnknown(a.queueOwner()), orUnknown(string(q.Cause)))
	if q.Predicted > 0 {
		what += fmt.Sprintf(", predicted wait %s", q.Predicted.Round(time.Millisecond))
	}
	what += fmt.Sprintf(", patience %s, waited %s", q.Patience.Round(time.Millisecond), q.Waited.Round(time.Millisecond))
	if e.RetryAfter > 0 {
		what += fmt.Sprintf("; told to return after %s", e.RetryAfter.Round(time.Millisecond))
	}
	a.g.histories.add(a.logID(), a.g.control.Now(), "%s", what)
}

// queueOwner returns the owner that decided last, as far as it is known.
func (a *activeRequest) queueOwner() string {
	if a.basis.Owner != "" {
		return a.basis.Owner
	}
	return a.queue.owner
}

// addQueueFields adds what an admission queue decided to the line on the end of a request that it refused.
func (a *activeRequest) addQueueFields(e *zerolog.Event) *zerolog.Event {
	q := a.basis.Queue
	if !a.queue.refused {
		return e
	}
	return e.Str("owner", a.queueOwner()).Str("queue_cause", string(q.Cause)).Int64("predicted_ms", q.Predicted.Milliseconds()).
		Int64("patience_ms", q.Patience.Milliseconds()).Int64("waited_ms", q.Waited.Milliseconds()).Int64("retry_after_ms", a.retryAfter.Milliseconds())
}

func (a *activeRequest) withWorkspace(e *zerolog.Event) *zerolog.Event {
	if a.workspace == nil {
		return e
	}
	return e.Str("workspace", a.workspace.Name)
}

func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}
