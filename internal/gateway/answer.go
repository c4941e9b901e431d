package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/upstream"
)

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// writeHead passes a backend server's status and headers on. With a negative length, net/http sends chunks.
func (a *activeRequest) writeHead(status int, from http.Header, length int64) {
	h := a.w.Header()
	a.closeIfDraining()
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
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	a.headWritten = true
	a.w.WriteHeader(status)
}

// closeIfDraining makes the caller open a new connection, to another host, for its next request; this one is answered
// in full.
func (a *activeRequest) closeIfDraining() {
	if a.g.control.Draining() {
		a.w.Header().Set("Connection", "close")
	}
}

// answerWriteTimeout is how long a caller may take to read a buffered answer, of at most answerBuffer.
const answerWriteTimeout = 30 * time.Second

func (a *activeRequest) writeAnswer(answer *bufferedAnswer) {
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(answerWriteTimeout))
	a.writeHead(answer.status, answer.header, int64(len(answer.body)))
	_, _ = a.w.Write(answer.body)
}

// refusalBody is the JSON body of an error that the gateway itself returns.
type refusalBody struct {
	Error  string `json:"error"`
	Remedy string `json:"remedy"`
}

var remedies = map[string]string{
	"no_configuration":                "this host is starting; send the request again",
	"no_route":                        "check host and path against the published routes",
	"unknown_key":                     "send a key that the configuration lists for a workspace",
	"body_too_large":                  "send a smaller body",
	"slow_body":                       "send the whole body in time",
	string(router.OverQuota):          "slow down to the workspace's quota, or ask the operator to raise it",
	string(router.Overloaded):         "come back after the time in Retry-After",
	string(router.NoBackend):          "no backend server of this service can be reached; come back later",
	string(router.OriginUnknown):      "no host knows which software version began this stream; begin it again without Last-Event-Id",
	string(router.NoBackendOfVersion): "no backend server of the software version that began this stream takes requests; begin it again without Last-Event-Id",
	string(router.BodyNotKept):        "the body is too long to be kept for another backend server; come back after the time in Retry-After",
	string(router.ShutDown):           "this host is shutting down; send the request again on a new connection",
	string(router.OutOfTime):          "allow more time",
	string(router.Quarantined):        "backend servers have ended each time they ran this request; change it, or ask the operator",
	interruptedByShutdown:             "this host stopped before the answer was there; repeat the request only if it is idempotent",
	string(router.BackendLost):        "the backend server was lost after the request was sent; repeat it only if it is idempotent",
}

// refuse returns an error of the gateway itself.
func (a *activeRequest) refuse(status int, cause string, retryAfter time.Duration) {
	a.closeIfDraining()
	a.limitUnreadBody()
	h := a.w.Header()
	if retryAfter > 0 {
		h.Set("Retry-After", a.g.codec.RetryAfter(retryAfter))
	}
	data, err := json.Marshal(refusalBody{cause, remedies[cause]})
	if err != nil {
		a.g.log.Error().Err(err).Msg("Could not encode the error body.")
	}
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(data)))
	a.headWritten = true
	a.w.WriteHeader(status)
	_, _ = a.w.Write(data)
	a.logEnd(cause, status)
}

// refuseByCause returns the reducer's refusal to the caller: nothing has run.
func (a *activeRequest) refuseByCause(e router.Refuse) {
	if a.headWritten {
		a.logEnd(string(e.Cause), 0)
		panic(http.ErrAbortHandler)
	}
	status := http.StatusServiceUnavailable
	if e.Cause == router.OverQuota {
		status = http.StatusTooManyRequests
	}
	a.refuse(status, string(e.Cause), e.RetryAfter)
}

// abandon ends a request that may have run. If the answer has begun, the connection is aborted so that a partial answer
// cannot be taken for a complete one.
func (a *activeRequest) abandon(e router.GiveUp) {
	switch {
	case a.headWritten:
		a.logEnd(string(e.Cause), 0)
		panic(http.ErrAbortHandler)
	case e.DeliverFailure && a.heldFailure != nil:
		a.writeAnswer(a.heldFailure)
		a.logEnd("failure_passed_on", a.heldFailure.status)
	case a.bodyRest != nil && a.bodyRest.tooLarge.Load():
		a.refuse(http.StatusRequestEntityTooLarge, causeBodyTooLarge, 0)
	case e.Cause == router.OutOfTime:
		a.refuse(http.StatusGatewayTimeout, string(e.Cause), 0)
	default:
		a.refuse(http.StatusBadGateway, string(e.Cause), 0)
	}
}

// logDispatch logs a dispatch to a backend server.
func (a *activeRequest) logDispatch(d router.Dispatch) {
	a.g.metrics.Count("requests.dispatched", 1)
	a.g.histories.add(a.logID(), d.At, "sent to %s (attempt %d): %d in flight of at most %d, view %s old, configuration version %d, software version %s",
		d.Backend.ID, d.Attempt, d.Basis.InFlight, d.Basis.Limit, d.Basis.ViewAge, d.Basis.Version, d.Backend.Version)
	if d.Attempt > 1 {
		a.g.metrics.Count("requests.sent_again", 1)
	}
	e := a.g.log.Info().Str("id", a.logID()).Str("route", a.route.Name).Str("backend", d.Backend.ID).Str("version", d.Backend.Version).Int("attempt", d.Attempt).
		Int("in_flight", d.Basis.InFlight).Int("limit", d.Basis.Limit).Int64("belief_age_ms", d.Basis.ViewAge.Milliseconds()).
		Int64("expect_ms", d.Basis.Wait.Milliseconds()).Uint64("config", d.Basis.Version).Uint64("era", d.Basis.Era).
		Uint64("revision", d.Basis.Revision).Int64("store_age_ms", d.Basis.StoreAge.Milliseconds()).Str("owner", d.Basis.Owner)
	if d.Via != "" {
		a.g.metrics.Count("requests.relayed", 1)
		e = e.Str("via", d.Via)
	}
	if a.lastEvent > 0 {
		e = e.Int64("last_event", a.lastEvent)
	}
	if a.continuesStream() {
		e = e.Str("resumes", truncate(a.call.Resumes)).Str("resumes_after", truncate(a.call.LastEvent))
	}
	if d.Binding.Version != "" {
		a.g.metrics.Count("streams.bound_by."+string(d.Binding.Source), 1)
		e = e.Str("bound_version", d.Binding.Version).Str("bound_by", string(d.Binding.Source)).Str("bound_from", d.Binding.From).Int64("bound_age_ms", d.Binding.Age.Milliseconds())
		a.g.histories.add(a.logID(), d.At, "the stream is bound to version %s, known by %s %s for %s", d.Binding.Version, d.Binding.Source, d.Binding.From, d.Binding.Age)
	}
	if limit := d.Basis.Rate; limit.PerSecond > 0 {
		a.g.metrics.Count("requests.sent_rate_limited", 1)
		e = e.Float64("rate_limit", limit.PerSecond).Float64("rate_share", limit.Share)
	}
	e = a.addSpillFields(e, d)
	e.Msg("Sent.")
}

// logRejected logs a backend server's statement that it has not run the request.
func (a *activeRequest) logRejected(status int, sentAt time.Time) {
	a.g.metrics.Count("requests.rejected", 1)
	a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Int("status", status).
		Int64("after_ms", time.Since(sentAt).Milliseconds()).Msg("Backend server rejected the request without running it.")
}

// logUnprovenRejection logs an answer whose status means that the request has not run, although the backend server does not state so.
func (a *activeRequest) logUnprovenRejection(status int) {
	a.g.metrics.Count("requests.unproven_rejections", 1)
	a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Int("status", status).
		Msg("Answer withheld: its status means that the request has not run, which the backend server does not state.")
}

// logBroken logs and counts a call that broke off after the request was sent.
func (a *activeRequest) logBroken(err error) {
	cause := upstream.CauseOf(err)
	a.g.metrics.Count("backend.exchanges_broken."+string(cause), 1)
	a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Err(err).Str("cause", string(cause)).
		Int64("silent_ms", upstream.SilenceOf(err).Milliseconds()).Stringer("digest", a.digest()).Strs("parts", quarantine.Strings(a.parts)).Int64("last_event", a.lastEvent).Msg("Call broke off after the request was sent.")
}

const (
	// answered is the outcome of a request whose complete answer was written to its caller.
	answered = "answered"
	// interruptedByShutdown is the outcome of a request that was sent to a backend server and had no complete answer at
	// the end of the host's grace period.
	interruptedByShutdown = "cut_by_shutdown"
)

// late returns what made an answer miss its objective, or "": a stream its first event or a gap between two, a plain
// answer its total time. Time lost in the caller's earlier attempts is not known here.
func (a *activeRequest) late(took time.Duration) string {
	r := a.route
	switch {
	case r.Kind != routing.Streaming:
		if r.Target > 0 && took > r.Target {
			return "answer"
		}
	case r.Target > 0 && a.firstByte > r.Target:
		return "first"
	case r.MaxGap > 0 && a.pauses.longest > r.MaxGap:
		return "pause"
	}
	return ""
}

// logEnd logs and counts the end of a request.
func (a *activeRequest) logEnd(outcome string, status int) {
	a.g.metrics.Count("requests."+outcome, 1)
	a.leaveQueue(queueEnded, "")
	took := time.Since(a.startedAt)
	a.g.histories.add(a.logID(), a.startedOnControl+took, "ended: %s", outcome)
	a.g.metrics.Timer("requests.time").Update(took)
	e := a.g.log.Info().Str("id", a.logID()).Str("outcome", outcome).Int64("ms", took.Milliseconds())
	if a.route != nil {
		e = e.Str("route", a.route.Name).Float64("rank", a.rank).Int64("target_ms", a.route.Target.Milliseconds()).
			Int64("allowed_ms", a.allowed.Milliseconds())
	}
	if a.call.HasTokens {
		e = e.Int("prompt", a.call.PromptTokens).Int("output", a.call.OutputTokens).Int("hint", a.call.LengthHint)
	}
	if a.pauses.longest > 0 {
		e = e.Int64("pause_ms", a.pauses.longest.Milliseconds())
	}
	if a.route != nil && a.continuesStream() {
		a.g.metrics.Count("streams.continued."+outcome, 1)
		e = e.Str("resumes", truncate(a.call.Resumes))
	}
	if outcome == answered {
		if late := a.late(took); late != "" {
			a.g.metrics.Count("requests.late_"+late, 1)
			e = e.Str("late", late)
		}
	}
	if a.workspace != nil {
		e = e.Str("workspace", a.workspace.Name)
	}
	if status != 0 {
		e = e.Int("status", status)
	}
	if a.attempts > 0 {
		e = e.Str("backend", a.backend).Int("attempts", a.attempts).Int64("first_ms", a.firstByte.Milliseconds()).Int64("last_event", a.lastEvent)
	} else {
		e = e.Int("in_flight", a.basis.InFlight).Int("limit", a.basis.Limit).Int64("belief_age_ms", a.basis.ViewAge.Milliseconds()).
			Int("known", a.basis.Known).Int("full", a.basis.Full).Int("dead", a.basis.Unreachable).Int("cold", a.basis.Cold).Int("barred", a.basis.Excluded).Int("other_version", a.basis.OtherVersion).Uint64("config", a.basis.Version).Uint64("era", a.basis.Era)
	}
	if a.attempts == 0 && a.basis.RateLimited > 0 {
		e = e.Int("rate_limited", a.basis.RateLimited).Float64("rate_limit", a.basis.Rate.PerSecond).Float64("rate_share", a.basis.Rate.Share)
	}
	if a.attempts == 0 && a.basis.Brittle > 0 {
		e = e.Int("brittle", a.basis.Brittle)
	}
	if outcome == string(router.OverQuota) {
		g := a.basis.Quota
		e = e.Str("owner", a.basis.Owner).Float64("cost", g.Cost).Float64("quota_left", math.Round(g.Remaining)).Float64("own_part_left", math.Round(g.OwnShare))
	}
	a.addQueueFields(e).Msg("Ended.")
}
