package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"fireflyshift/internal/membudget"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/streams"
	"fireflyshift/internal/upstream"
)

// dispatchTTL is how long a dispatch decision is valid on the boot-time clock. A machine that was suspended between the
// decision and the send would otherwise act on an outdated view.
const dispatchTTL = 250 * time.Millisecond

// activeRequest is one caller's request on this host.
type activeRequest struct {
	g                *Gateway
	w                http.ResponseWriter
	r                *http.Request
	call             RequestInfo
	route            *routing.Route
	workspace        *routing.Workspace
	rank             float64
	id               uint64
	effects          chan router.Effect
	startedAt        time.Time
	startedOnControl time.Duration // on the control thread's clock
	allowed          time.Duration // from startedAt until the request is abandoned
	deadline         time.Time
	// account is the memory that the request holds; nil if it is not limited.
	account *membudget.Account
	body    []byte
	// bodyHandled is set once the body is being read, or is rejected.
	bodyHandled bool
	// bodyRest is what follows body, and can be read once. nil if there is nothing.
	bodyRest *trackedBody
	// headWritten is set once the caller has a status; lastEvent is the last event that the caller has.
	headWritten bool
	lastEvent   int64
	heldFailure *bufferedAnswer
	basis       router.DecisionBasis
	backend     string
	attempts    int
	// finished is set once the reducer has ended the request, or has been told its last outcome.
	finished bool
	// mayHaveRun is set once bytes of the request have left this host, also if a backend server states that it has not
	// run the request: the cautious assumption.
	mayHaveRun bool
	firstByte  time.Duration
	pauses     pauseTracker
	canceler   callCanceler
	// cachedDigest is the request's digest; zero until it is computed.
	cachedDigest quarantine.Digest
	// parts are the digests of the parts of the prompt that other requests may share.
	parts []quarantine.Digest
	// queue is the admission queue in which the request waits or has waited.
	queue queueWait
	// retryAfter is the time after which the caller was told to return, if an admission queue refused the request.
	retryAfter time.Duration
}

// logID is the beginning of the caller's ID of the attempt: logs and histories are kept, and the ID may be as long as a head.
func (a *activeRequest) logID() string { return truncate(a.call.AttemptID) }

// digest computes the digest on first use: most requests never need it.
func (a *activeRequest) digest() quarantine.Digest {
	if !a.cachedDigest.Zero() {
		return a.cachedDigest
	}
	id := quarantine.Identity{Method: a.r.Method, Host: routing.HostName(a.r.Host), Target: a.r.RequestURI, Body: a.body, Length: int64(len(a.body))}
	if a.workspace != nil {
		id.Workspace = a.workspace.Name
	}
	if a.bodyRest != nil {
		id.Length = a.r.ContentLength
	}
	a.cachedDigest = id.Digest()
	return a.cachedDigest
}

// bufferedAnswer is a complete answer of a backend server. A failure is kept and delivered if no attempt brings a
// better answer.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// setDeadline uses the caller's deadline or the route's timeout, whichever ends first.
func (a *activeRequest) setDeadline() {
	a.allowed = a.call.Deadline
	if a.allowed == 0 {
		a.allowed = defaultDeadline
	}
	if t := a.route.Timeout; t > 0 {
		a.allowed = min(a.allowed, t)
	}
	a.deadline = a.startedAt.Add(a.allowed)
}

// run submits the request to the reducer and carries out its effects until it is finished.
func (a *activeRequest) run() {
	a.id = a.g.lastID.Add(1)
	a.parts = quarantine.PartDigests(a.call.PromptParts)
	a.effects = make(chan router.Effect, effectBuffer)
	a.g.control.Submit(a.submission(), Caller{a.effects, a.canceler.abort})
	defer a.endUnfinished()
	var left <-chan struct{} // set while the request waits in an admission queue
	for {
		var next router.Effect
		var open bool
		select {
		case next, open = <-a.effects:
		case <-left:
			a.finished = true
			a.g.control.Post(router.CallerLeft{ID: a.id})
			a.canceled()
			return
		}
		if !open {
			a.finished = true
			return
		}
		switch e := next.(type) {
		case router.Queued:
			a.g.freePlaces()
			left = a.r.Context().Done()
			a.enterQueue(e)
		case router.Dispatch:
			a.dispatchedFromQueue(e.Basis)
			a.backend, a.attempts = e.Backend.ID, e.Attempt
			if e.Attempt == 1 {
				a.basis = e.Basis
			}
			a.logDispatch(e)
			end := a.dispatch(e)
			end.ID, end.Digest = a.id, a.outcomeDigest(end)
			a.finished = end.Outcome == router.Answered || end.Outcome == router.Canceled
			a.g.control.Post(end)
			if end.Outcome == router.Answered {
				a.logEnd(answered, 0)
				return
			}
			if end.Outcome == router.Canceled {
				a.canceled()
				return
			}
		case router.Refuse:
			a.finished = true
			if e.Cause == router.Overloaded {
				a.g.freePlaces()
			}
			a.basis = e.Basis
			a.refusedByQueue(e)
			a.refuseByCause(e)
			return
		case router.GiveUp:
			a.finished = true
			a.abandon(e)
			return
		}
	}
}

// endUnfinished ends a request at the reducer if its handler leaves it without an outcome, as a panic does. Otherwise it would be
// counted at its backend server for as long as the process runs.
func (a *activeRequest) endUnfinished() {
	if a.finished {
		return
	}
	a.g.metrics.Count("requests.unfinished", 1)
	a.g.log.Error().Str("id", a.logID()).Str("backend", a.backend).Msg("Handler left the request without an outcome. Report this with the log.")
	a.g.control.Post(router.CallerLeft{ID: a.id})
}

// canceled ends a request whose caller has closed the connection, or whose host ends.
func (a *activeRequest) canceled() {
	switch {
	case a.account.TurnedAway():
		a.refuseStalledBody()
	case a.r.Context().Err() != nil || !a.g.ended():
		a.logEnd("caller_left", 0)
		panic(http.ErrAbortHandler)
	case a.mayHaveRun:
		a.abandon(router.GiveUp{Cause: interruptedByShutdown, DeliverFailure: true})
	default:
		a.refuse(http.StatusServiceUnavailable, string(router.ShutDown), router.DrainRetryAfter)
	}
}

// outcomeDigest returns the digest if the outcome may reveal something about the request itself: its answer broke off,
// or it succeeded while requests are under suspicion.
func (a *activeRequest) outcomeDigest(end router.DispatchEnded) quarantine.Digest {
	switch end.Outcome {
	case router.Broken, router.TimedOut, router.Canceled:
		return a.digest()
	case router.Answered:
		if a.g.control.NeedsDigests() {
			return a.digest()
		}
	}
	return quarantine.Digest{}
}

func (a *activeRequest) submission() router.Submit {
	s := router.Submit{
		ID: a.id, Route: a.route, Workspace: a.workspace, Rank: a.rank,
		PromptTok: a.call.PromptTokens, OutputTok: a.call.OutputTokens, Deadline: a.startedOnControl + a.allowed, Allowed: a.allowed,
		BodyBytes: len(a.body), Parts: a.parts,
	}
	if a.g.control.NeedsDigests() {
		s.Digest = a.digest()
	}
	workspace := ""
	if a.workspace != nil {
		workspace = a.workspace.Name
	}
	if a.route.Kind == routing.Streaming && a.route.Resumable {
		s.Stream = streams.NewID(workspace, a.call.AttemptID)
	}
	if a.continuesStream() {
		s.Continues, s.Resumes = true, streams.NewID(workspace, a.call.Resumes)
	}
	if a.call.LengthHint > 0 {
		s.OutputTok = min(s.OutputTok, a.call.LengthHint)
	}
	if w := a.workspace; w != nil {
		s.Cost = router.CostOf(w, a.call.HasTokens, a.call.PromptTokens, a.call.OutputTokens)
	}
	return s
}

// continuesStream reports whether the caller takes up a stream that an earlier attempt of it has begun.
func (a *activeRequest) continuesStream() bool {
	hasEvents := a.call.LastEvent != "" && a.call.LastEvent != "0"
	return a.route.Kind == routing.Streaming && (hasEvents || a.call.Resumes != "")
}

// hopHeaders apply to one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Expect", "Content-Length", "Host"}

func dropHop(h http.Header) {
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// dispatch sends the request once and relays the answer.
func (a *activeRequest) dispatch(d router.Dispatch) router.DispatchEnded {
	if a.g.ended() {
		return router.DispatchEnded{Outcome: router.Canceled}
	}
	if !a.permitted(d) {
		return router.DispatchEnded{Outcome: router.NotSent}
	}
	ctx, cancel := context.WithCancel(a.r.Context())
	defer cancel()
	defer context.AfterFunc(a.g.ending, cancel)()
	a.canceler.start(d.Attempt, cancel)
	sentAt := time.Now()
	resp, sent, err := a.g.pool.Do(ctx, d.Backend.Addr, a.request(d))
	a.mayHaveRun = a.mayHaveRun || sent
	bodySpent := a.bodyRest != nil && sent
	if err != nil {
		end := a.classifyFailure(sent, err)
		end.BodySpent = bodySpent
		return end
	}
	defer resp.Close()
	end := a.relay(d, resp, sentAt)
	end.BodySpent = bodySpent
	if end.Outcome == router.Answered && isSuccess(resp.Status) {
		end.Success, end.EndedWithConnection = !resp.EndsWithConnection, resp.EndsWithConnection
	}
	return end
}

// permitted reports whether the decision is still valid, the deadline has not passed and the host is not ending.
func (a *activeRequest) permitted(d router.Dispatch) bool {
	now := a.g.control.Now()
	return now <= d.At+dispatchTTL && now < a.startedOnControl+a.allowed && !a.g.ended()
}

const (
	// A move to another backend server has to happen well before the caller abandons a silent stream: after stallFirstFraction of
	// that time before the first event, which may have to queue, and stallNextFraction between events.
	stallFirstFraction = 0.45
	stallNextFraction  = 0.3
	// stallPlainTargets is how many times its objective a plain answer may take; without an objective,
	// stallPlainFraction is the part of the allowed time. A plain server sends nothing until it is done. With half of the
	// time, there is one move at most and no attempt is cut shorter than the one after it.
	stallPlainTargets  = 2.5
	stallPlainFraction = 0.5
)

// stallTimeouts returns how long a backend server may send nothing before the first byte and after it; zero if the
// request cannot be retried anyway.
func (a *activeRequest) stallTimeouts() (first, next time.Duration) {
	if !a.route.Repeatable() || a.bodyRest != nil {
		return 0, 0
	}
	if a.route.Kind != routing.Streaming {
		d := time.Duration(stallPlainTargets * float64(a.route.Target))
		if d == 0 {
			d = time.Duration(stallPlainFraction * float64(a.allowed))
		}
		return d, d
	}
	callerTimeout := float64(a.route.CallerTimeout())
	return time.Duration(stallFirstFraction * callerTimeout), time.Duration(stallNextFraction * callerTimeout)
}

// maxSilence returns for how long a backend server's host may acknowledge nothing; zero stands for the time left. After a
// silence, the next retransmission may take as long again as the silence lasted.
func (a *activeRequest) maxSilence() time.Duration {
	if a.route.Kind != routing.Streaming {
		return 0
	}
	return 2 * a.route.CallerTimeout()
}

// shouldMove asks the reducer whether to abandon a backend server that sends nothing.
func (a *activeRequest) shouldMove() bool {
	a.g.control.Post(router.Stalled{ID: a.id})
	v, ok := (<-a.effects).(router.StallDecision)
	if ok && v.Reassign {
		a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Int64("last_event", a.lastEvent).Msg("No data within the stall timeout. Moving the request to another backend server.")
	}
	return ok && v.Reassign
}

func (a *activeRequest) request(d router.Dispatch) *upstream.Request {
	h := a.r.Header.Clone()
	dropHop(h)
	s := DispatchInfo{Backend: d.Backend.ID, TimeLeft: time.Until(a.deadline)}
	if a.workspace != nil {
		s.Workspace = a.workspace.Name
	}
	if a.lastEvent > 0 {
		s.LastEvent = itoa(a.lastEvent)
	}
	a.g.codec.Prepare(h, s)
	req := &upstream.Request{
		Method: a.r.Method, Target: a.r.RequestURI, Host: a.r.Host, Header: h,
		Body: a.body, Length: int64(len(a.body)), Deadline: a.deadline,
		IsOwn: func(h http.Header) bool {
			info := a.g.codec.Classify(0, h)
			return !info.Mixed && (info.AttemptID == "" || info.AttemptID == a.call.AttemptID)
		},
	}
	if a.bodyRest != nil {
		req.Rest, req.Length = a.bodyRest, a.r.ContentLength
	}
	req.Via, req.MaxIdle, req.Server, req.MaxSilence = d.Via, d.MaxIdleConns, d.Backend.ID, a.maxSilence()
	req.Permitted = func() bool { return a.permitted(d) }
	req.StallTimeout, _ = a.stallTimeouts()
	req.OnStall = a.shouldMove
	return req
}

// classifyFailure returns the outcome of a call that brought no complete answer.
func (a *activeRequest) classifyFailure(sent bool, err error) router.DispatchEnded {
	switch {
	case a.r.Context().Err() != nil || a.g.ended() || a.account.TurnedAway():
		return router.DispatchEnded{Outcome: router.Canceled} // no fault of the backend server
	case !sent && !time.Now().Before(a.deadline):
		return router.DispatchEnded{Outcome: router.NotSent}
	case errors.Is(err, upstream.ErrNotPermitted):
		a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Msg("Dispatch decision expired before the send.")
		return router.DispatchEnded{Outcome: router.NotSent} // no fault of the backend server
	case errors.Is(err, upstream.ErrRelay), errors.Is(err, upstream.ErrUnknownAtRelay):
		a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Err(err).Msg("Request not relayed to the backend server.")
		return router.DispatchEnded{Outcome: router.NotSent, RelayFault: errors.Is(err, upstream.ErrRelay)}
	case !sent:
		a.g.log.Info().Str("id", a.logID()).Str("backend", a.backend).Err(err).Str("cause", string(upstream.CauseOf(err))).
			Msg("Request not sent to the backend server.")
		return router.DispatchEnded{Outcome: router.NotSent, Fault: true}
	case !time.Now().Before(a.deadline):
		return router.DispatchEnded{Outcome: router.TimedOut}
	default:
		a.logBroken(err)
		return router.DispatchEnded{Outcome: a.withoutRetry(router.Broken), Fault: true, Delivered: a.headWritten}
	}
}

// withoutRetry turns a broken call into a time-out, which is not retried, if the body was not buffered completely.
func (a *activeRequest) withoutRetry(o router.Outcome) router.Outcome {
	if a.bodyRest != nil && o == router.Broken {
		return router.TimedOut
	}
	return o
}
