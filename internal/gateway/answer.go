package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// writeHead passes a backend server's status and headers on. A negative length leaves the framing
// to the server: chunks.
func (f *flight) writeHead(status int, from http.Header, length int64) {
	h := f.w.Header()
	f.closeIfDraining()
	closing := h.Get("Connection")
	for name, values := range from {
		h[name] = values
	}
	dropHop(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
	if length >= 0 {
		h.Set("Content-Length", itoa(length))
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // no guess of the library's
	}
	f.headWritten = true
	f.w.WriteHeader(status)
}

// closeIfDraining sends the caller's next request to another host; this one is answered in full.
func (f *flight) closeIfDraining() {
	if f.g.control.Draining() {
		f.w.Header().Set("Connection", "close")
	}
}

func (f *flight) writeAnswer(a *heldAnswer) {
	f.writeHead(a.status, a.header, int64(len(a.body)))
	_, _ = f.w.Write(a.body)
}

// refusalBody is the JSON of an answer of the system's own.
type refusalBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}

var remedies = map[string]string{
	"no_configuration":         "this host is starting; send the request again",
	"no_route":                 "check host and path against the published routes",
	"unknown_key":              "send a key that the configuration lists for a workspace",
	"body_too_large":           "send a smaller body",
	"slow_body":                "send the whole body in time",
	string(router.OverQuota):   "slow down to the workspace's quota, or ask the operator to raise it",
	string(router.Overloaded):  "come back after the time in Retry-After",
	string(router.NoBackend):   "no backend server of this service can be reached; come back later",
	string(router.ShutDown):    "this host is shutting down; send the request again on a new connection",
	string(router.OutOfTime):   "allow more time",
	string(router.Quarantined): "backend servers have ended each time they ran this request; change it, or ask the operator",
	cutByShutdown:              "this host stopped before the answer was there; repeat the request only if it is idempotent",
	string(router.BackendLost): "the backend server was lost after the request was sent; repeat it only if it is idempotent",
}

// refuse answers for the system itself.
func (f *flight) refuse(status int, cause string, after time.Duration) {
	f.closeIfDraining()
	h := f.w.Header()
	if after > 0 {
		h.Set("Retry-After", f.g.wire.RetryAfter(after))
	}
	data, err := json.Marshal(refusalBody{cause, remedies[cause]})
	if err != nil {
		f.g.log.Error().Err(err).Msg("Refusal without a body.")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	f.headWritten = true
	f.w.WriteHeader(status)
	_, _ = f.w.Write(data)
	f.logEnd(cause, status)
}

// refuseFor words a refusal of the reducer: nothing has run.
func (f *flight) refuseFor(e router.Refuse) {
	if f.headWritten {
		f.logEnd(string(e.Cause), 0)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusServiceUnavailable
	if e.Cause == router.OverQuota {
		status = http.StatusTooManyRequests
	}
	f.refuse(status, string(e.Cause), e.RetryAfter)
}

// giveUp ends a request that may have run. An answer that has begun is cut off so that it cannot be
// taken for a whole one.
func (f *flight) giveUp(e router.GiveUp) {
	switch {
	case f.headWritten:
		f.logEnd(string(e.Cause), 0)
		panic(http.ErrAbortHandler)
	case e.DeliverFailure && f.held != nil:
		f.writeAnswer(f.held)
		f.logEnd("failure_passed_on", f.held.status)
	case f.rest != nil && f.rest.tooLarge.Load():
		f.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
	case e.Cause == router.OutOfTime:
		f.refuse(http.StatusGatewayTimeout, string(e.Cause), 0)
	default:
		f.refuse(http.StatusBadGateway, string(e.Cause), 0)
	}
}

// logDispatch is the line of a decision to send.
func (f *flight) logDispatch(d router.Dispatch) {
	f.g.metrics.Count("requests.dispatched", 1)
	f.g.trails.add(f.call.AttemptID, d.At, "sent to %s (attempt %d): %d in flight of at most %d, beliefs %s old, configuration %d",
		d.Backend.ID, d.Attempt, d.Basis.InFlight, d.Basis.Limit, d.Basis.ViewAge, d.Basis.Version)
	if d.Attempt > 1 {
		f.g.metrics.Count("requests.sent_again", 1)
	}
	f.g.log.Info().Str("id", f.call.AttemptID).Str("route", f.route.Name).Str("backend", d.Backend.ID).Int("attempt", d.Attempt).
		Int("in_flight", d.Basis.InFlight).Int("limit", d.Basis.Limit).Int64("belief_age_ms", d.Basis.ViewAge.Milliseconds()).
		Int64("expect_ms", d.Basis.Wait.Milliseconds()).Uint64("config", d.Basis.Version).Uint64("era", d.Basis.Era).Str("owner", d.Basis.Owner).Msg("Sent.")
}

// logRejected is the line of a backend server's word that it has not run the request.
func (f *flight) logRejected(status int, sentAt time.Time) {
	f.g.metrics.Count("requests.rejected", 1)
	f.g.log.Info().Str("id", f.call.AttemptID).Str("backend", f.backend).Int("status", status).
		Int64("after_ms", time.Since(sentAt).Milliseconds()).Msg("Not run by the backend server.")
}

const (
	// answered is the outcome of a request whose whole answer went to its caller.
	answered = "answered"
	// cutByShutdown is that of one that was sent on and had no whole answer as the grace of its host ended.
	cutByShutdown = "cut_by_shutdown"
)

// late tells why an answer missed its objective: a stream by its first event or by a pause between two,
// a plain answer as a whole; empty where it did not. What the caller lost in an earlier try is not known.
func (f *flight) late(took time.Duration) string {
	r := f.route
	switch {
	case r.Kind != routing.Streaming:
		if r.Target > 0 && took > r.Target {
			return "answer"
		}
	case r.Target > 0 && f.firstByte > r.Target:
		return "first"
	case r.MaxGap > 0 && f.pauses.longest > r.MaxGap:
		return "pause"
	}
	return ""
}

// logEnd is the line of a request's end.
func (f *flight) logEnd(outcome string, status int) {
	f.g.metrics.Count("requests."+outcome, 1)
	took := time.Since(f.began)
	f.g.trails.add(f.call.AttemptID, f.beganAt+took, "ended: %s", outcome)
	f.g.metrics.Timer("requests.time").Update(took)
	e := f.g.log.Info().Str("id", f.call.AttemptID).Str("outcome", outcome).Int64("ms", took.Milliseconds())
	if f.route != nil {
		e = e.Str("route", f.route.Name).Float64("rank", f.rank).Int64("target_ms", f.route.Target.Milliseconds()).
			Int64("allowed_ms", f.allowed.Milliseconds())
	}
	if f.call.HasTokens {
		e = e.Int("prompt", f.call.PromptTokens).Int("output", f.call.OutputTokens).Int("hint", f.call.LengthHint)
	}
	if f.pauses.longest > 0 {
		e = e.Int64("pause_ms", f.pauses.longest.Milliseconds())
	}
	if outcome == answered {
		if late := f.late(took); late != "" {
			f.g.metrics.Count("requests.late_"+late, 1)
			e = e.Str("late", late)
		}
	}
	if f.workspace != nil {
		e = e.Str("workspace", f.workspace.Name)
	}
	if status != 0 {
		e = e.Int("status", status)
	}
	if f.attempts > 0 {
		e = e.Str("backend", f.backend).Int("attempts", f.attempts).Int64("first_ms", f.firstByte.Milliseconds()).Int64("last_event", f.lastEvent)
	} else {
		e = e.Int("in_flight", f.grounds.InFlight).Int("limit", f.grounds.Limit).Int64("belief_age_ms", f.grounds.ViewAge.Milliseconds()).
			Int("known", f.grounds.Known).Int("full", f.grounds.Full).Int("dead", f.grounds.Unreachable).Int("cold", f.grounds.Cold).Int("barred", f.grounds.Excluded).Uint64("config", f.grounds.Version).Uint64("era", f.grounds.Era)
	}
	if outcome == string(router.OverQuota) {
		g := f.grounds.Quota
		e = e.Str("owner", f.grounds.Owner).Float64("cost", g.Cost).Float64("quota_left", math.Round(g.Remaining)).Float64("own_part_left", math.Round(g.OwnShare))
	}
	e.Msg("Ended.")
}
