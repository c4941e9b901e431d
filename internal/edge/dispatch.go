package edge

import (
	"context"
	"net/http"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/fault"
	"fireflyshift/internal/wire"
)

// effectBuffer is more than the reducer ever has outstanding for one request.
const effectBuffer = 16

// attempt runs the dispatches of one request, one at a time.
type attempt interface {
	// run makes the call and writes the answer as it arrives. It returns when the dispatch has ended.
	run(ctx context.Context, d core.Dispatch) core.DispatchEnded
	// suspend asks the backend server at addr to export the stream that run reads. It is called from another goroutine
	// than run.
	suspend(ctx context.Context, addr string)
	// finish writes the fault if the answer has not begun; otherwise it may abort the connection.
	finish(f *fault.Error)
}

// run submits a request to the reducer and carries out its effects until it is finished.
func (s *Server) run(c *call, sub core.Submit, a attempt) {
	effects := make(chan core.Effect, effectBuffer)
	ended := make(chan core.DispatchEnded, 1)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	ctx, wait := s.tracing.Start(ctx, "host to host: slot")
	defer wait.End()
	sub.Traceparent = s.tracing.Traceparent(ctx)
	s.control.Submit(sub, effects)
	running, delivered, addr := false, false, ""
	callerGone := c.Context().Done()
	for {
		select {
		case e := <-effects:
			switch e := e.(type) {
			case core.Dispatch:
				running, addr = true, e.Backend.Addr
				go s.dispatch(ctx, a, e, ended)
			case core.Suspend:
				go a.suspend(detached(ctx), addr)
			case core.Finish:
				cancel()
				if running {
					delivered = (<-ended).Outcome == core.Done
				}
				f := e.Fault
				if delivered {
					f = nil // the answer was complete before the reducer was notified
				}
				a.finish(f)
				if f != nil {
					s.metrics.Count("edge.refused."+string(f.Kind), 1)
				}
				return
			}
		case e := <-ended:
			running, delivered = false, e.Outcome == core.Done
			s.control.Post(e)
		case <-callerGone:
			callerGone = nil
			s.control.Post(core.CallerGone{ID: sub.ID})
		}
	}
}

// dispatch makes the call unless its permission has expired on this host's own clock. The check guards against a
// process that was paused between the decision and this line: it would dispatch on a lease that others count as ended.
func (s *Server) dispatch(ctx context.Context, a attempt, d core.Dispatch, ended chan<- core.DispatchEnded) {
	if s.control.Now() > d.ValidUntil {
		ended <- core.DispatchEnded{ID: d.ID, Attempt: d.Attempt, Outcome: core.NotSent}
		return
	}
	ctx, span := s.tracing.Start(ctx, "host to backend server")
	defer span.End()
	ctx = wire.WithPermission(ctx, s.permission(d))
	e := a.run(ctx, d)
	e.ID, e.Attempt = d.ID, d.Attempt
	ended <- e
}

// permission checks the lease right before the first byte is written. The log line tells a late decision, a late write
// and a grant with too long a lease apart: it has the time since the grant and what was left of the lease at the check,
// and how long the write took after it, which shows a pause.
func (s *Server) permission(d core.Dispatch) wire.Permission {
	var checkedAt time.Duration
	return wire.Permission{
		Check: func() bool {
			checkedAt = s.control.Now()
			return checkedAt <= d.ValidUntil
		},
		OnResult: func(permitted bool) {
			s.log.Info().Str("id", d.ID).Uint32("attempt", d.Attempt).Str("backend", d.Backend.Name).Str("scheduler", d.Scheduler).
				Int64("granted_ago_ms", (checkedAt-d.At).Milliseconds()).Int64("lease_left_ms", (d.ValidUntil-checkedAt).Milliseconds()).
				Int64("write_us", (s.control.Now()-checkedAt).Microseconds()).Bool("written", permitted).Msg("Dispatch.")
		},
	}
}

// abort ends the connection, so that the caller cannot take a short answer for a complete one.
func abort() { panic(http.ErrAbortHandler) }
