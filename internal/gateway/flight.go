package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/quarantine"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/upstream"
)

// permissionFor is how long a decision to dispatch holds on the boot-time clock. A machine that was
// suspended between the decision and the send would otherwise act on what it believed before.
const permissionFor = 250 * time.Millisecond

// flight is one caller's request on this host.
type flight struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	call      RequestInfo
	route     *routing.Route
	workspace *routing.Workspace
	rank      float64
	id        uint64
	effects   chan router.Effect
	began     time.Time
	beganAt   time.Duration // on the control's clock
	allowed   time.Duration // from began until the request is given up
	deadline  time.Time
	body      []byte
	rest      *watchedBody
	// headWritten tells that the caller has got a status; lastEvent is the last event that it has.
	headWritten bool
	lastEvent   int64
	held        *heldAnswer
	grounds     router.DecisionBasis
	backend     string
	attempts    int
	// mayHaveRun tells that bytes of the request have left this host, also where a backend server says that it has not
	// run it: the cautious side.
	mayHaveRun bool
	firstByte  time.Duration
	pauses     pauses
	cut        cut
	// known is the request's digest; zero until it is asked for.
	known quarantine.Digest
}

// digest is made when it is first asked for: mostly nothing asks.
func (f *flight) digest() quarantine.Digest {
	if !f.known.Zero() {
		return f.known
	}
	id := quarantine.Identity{Method: f.r.Method, Host: routing.HostName(f.r.Host), Target: f.r.RequestURI, Body: f.body, Length: int64(len(f.body))}
	if f.workspace != nil {
		id.Workspace = f.workspace.Name
	}
	if f.rest != nil {
		id.Length = f.r.ContentLength
	}
	f.known = id.Digest()
	return f.known
}

// heldAnswer is a failure of a backend server that is delivered if nothing better comes.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// setDeadline takes the caller's and the route's time, whichever ends first.
func (f *flight) setDeadline() {
	f.allowed = f.call.Deadline
	if f.allowed == 0 {
		f.allowed = defaultDeadline
	}
	if t := f.route.Timeout; t > 0 {
		f.allowed = min(f.allowed, t)
	}
	f.deadline = f.began.Add(f.allowed)
}

// readBody buffers the body up to a bound, within the time of the request.
func (f *flight) readBody(limit int64) bool {
	if f.r.ContentLength == 0 {
		return true
	}
	if limit > 0 && f.r.ContentLength > limit {
		f.w.Header().Set("Connection", "close") // rather than read what is refused
		f.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	}
	if limit > 0 {
		f.r.Body = http.MaxBytesReader(f.w, f.r.Body, limit)
	}
	rc := http.NewResponseController(f.w)
	_ = rc.SetReadDeadline(f.deadline)
	stop := ingress.AbortReads(f.g.ending, rc)
	body, err := io.ReadAll(io.LimitReader(f.r.Body, bodyBuffer))
	stop()
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.refuse(http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && f.g.ended():
		f.w.Header().Set("Connection", "close")
		f.refuse(http.StatusRequestTimeout, string(router.ShutDown), router.DrainRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		f.w.Header().Set("Connection", "close")
		f.refuse(http.StatusRequestTimeout, "slow_body", 0)
		return false
	case err != nil:
		// The caller left inside its own request: nobody is there to answer.
		f.logEnd("body_broken", 0)
		panic(http.ErrAbortHandler)
	}
	f.body = body
	if len(body) == bodyBuffer {
		f.rest = &watchedBody{src: f.r.Body}
		return true
	}
	// Without this the deadline would also end the watch for the caller's leaving.
	_ = rc.SetReadDeadline(time.Time{})
	return true
}

// watchedBody remembers why a caller's body ended early.
type watchedBody struct {
	src      io.Reader
	tooLarge atomic.Bool
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		b.tooLarge.Store(true)
	}
	return n, err
}

// fly hands the request to the reducer and carries out its effects until it is finished.
func (f *flight) fly() {
	f.id = f.g.lastID.Add(1)
	f.effects = make(chan router.Effect, effectBuffer)
	f.g.control.Submit(f.submission(), Caller{f.effects, f.cut.abort})
	for e := range f.effects {
		switch e := e.(type) {
		case router.Dispatch:
			f.backend, f.attempts = e.Backend.ID, e.Attempt
			if e.Attempt == 1 {
				f.grounds = e.Basis
			}
			f.logDispatch(e)
			end := f.dispatch(e)
			end.ID, end.Digest = f.id, f.digestOf(end)
			f.g.control.Post(end)
			if end.Outcome == router.Answered {
				f.logEnd(answered, 0)
				return
			}
			if end.Outcome == router.Canceled {
				f.canceled()
				return
			}
		case router.Refuse:
			f.grounds = e.Basis
			f.refuseFor(e)
			return
		case router.GiveUp:
			f.giveUp(e)
			return
		}
	}
}

// canceled ends a request whose caller has left, or whose host ends.
func (f *flight) canceled() {
	switch {
	case f.r.Context().Err() != nil || !f.g.ended():
		f.logEnd("caller_left", 0)
		panic(http.ErrAbortHandler)
	case f.mayHaveRun:
		f.giveUp(router.GiveUp{Cause: cutByShutdown, DeliverFailure: true})
	default:
		f.refuse(http.StatusServiceUnavailable, string(router.ShutDown), router.DrainRetryAfter)
	}
}

// digestOf names the request in the end of a dispatch that may say something of it: its answer broke, or it succeeded though
// requests are under suspicion.
func (f *flight) digestOf(end router.DispatchEnded) quarantine.Digest {
	switch end.Outcome {
	case router.Broken, router.TimedOut, router.Canceled:
		return f.digest()
	case router.Answered:
		if f.g.control.Suspects() {
			return f.digest()
		}
	}
	return quarantine.Digest{}
}

func (f *flight) submission() router.Submit {
	s := router.Submit{
		ID: f.id, Route: f.route, Workspace: f.workspace, Rank: f.rank,
		PromptTok: f.call.PromptTokens, OutputTok: f.call.OutputTokens, Deadline: f.beganAt + f.allowed,
	}
	if f.g.control.Suspects() {
		s.Digest = f.digest()
	}
	if f.call.LengthHint > 0 {
		s.OutputTok = min(s.OutputTok, f.call.LengthHint)
	}
	if w := f.workspace; w != nil {
		s.Cost = router.CostOf(w, f.call.HasTokens, f.call.PromptTokens, f.call.OutputTokens)
	}
	return s
}

// hopHeaders concern one connection only.
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

// dispatch sends the request once and carries the answer.
func (f *flight) dispatch(d router.Dispatch) router.DispatchEnded {
	if f.g.ended() {
		return router.DispatchEnded{Outcome: router.Canceled}
	}
	if !f.permitted(d) {
		return router.DispatchEnded{Outcome: router.NotSent}
	}
	ctx, cancel := context.WithCancel(f.r.Context())
	defer cancel()
	defer context.AfterFunc(f.g.ending, cancel)()
	f.cut.begin(d.Attempt, cancel)
	sentAt := time.Now()
	resp, sent, err := f.g.pool.Do(ctx, d.Backend.Addr, f.request(d))
	f.mayHaveRun = f.mayHaveRun || sent
	if err != nil {
		return f.failed(sent, err)
	}
	defer resp.Close()
	end := f.carry(d.Backend, resp, sentAt)
	end.Success = end.Outcome == router.Answered && isSuccess(resp.Status)
	return end
}

// permitted tells whether the decision still holds, the caller still has time, and the host goes on.
func (f *flight) permitted(d router.Dispatch) bool {
	now := f.g.control.Now()
	return now <= d.At+permissionFor && now < f.beganAt+f.allowed && !f.g.ended()
}

const (
	// Callers leave a silent stream after the longest of patienceLeast, patienceTargets times its
	// objective and patienceGaps times its longest pause. A move has to come well before that:
	// stallFirst of it before the first event, which may have to queue, and stallNext between events.
	patienceLeast   = 2 * time.Second
	patienceTargets = 4
	patienceGaps    = 8
	stallFirst      = 0.45
	stallNext       = 0.3
	// stallPlain is how many times its objective a plain answer may take.
	stallPlain = 2.5
)

// stall is how long a backend server may be silent before the first byte and after it; zero where
// the request cannot be repeated anyway.
func (f *flight) stall() (first, next time.Duration) {
	if !f.route.Repeatable() || f.rest != nil {
		return 0, 0
	}
	if f.route.Kind != routing.Streaming {
		d := time.Duration(stallPlain * float64(f.route.Target))
		return d, d
	}
	patience := float64(max(patienceLeast, patienceTargets*f.route.Target, patienceGaps*f.route.MaxGap))
	return time.Duration(stallFirst * patience), time.Duration(stallNext * patience)
}

// stalled asks the reducer whether to give a silent backend server up.
func (f *flight) stalled() bool {
	f.g.control.Post(router.Stalled{ID: f.id})
	v, ok := (<-f.effects).(router.StallDecision)
	if ok && v.Reassign {
		f.g.log.Info().Str("id", f.call.AttemptID).Str("backend", f.backend).Int64("last_event", f.lastEvent).Msg("Silent for long. Moves.")
	}
	return ok && v.Reassign
}

func (f *flight) request(d router.Dispatch) *upstream.Request {
	h := f.r.Header.Clone()
	dropHop(h)
	s := DispatchInfo{Backend: d.Backend.ID, Left: time.Until(f.deadline)}
	if f.workspace != nil {
		s.Workspace = f.workspace.Name
	}
	if f.lastEvent > 0 {
		s.LastEvent = itoa(f.lastEvent)
	}
	f.g.wire.Prepare(h, s)
	req := &upstream.Request{
		Method: f.r.Method, Target: f.r.RequestURI, Host: f.r.Host, Header: h,
		Body: f.body, Length: int64(len(f.body)), Deadline: f.deadline,
		IsOwn: func(h http.Header) bool {
			id := f.g.wire.Classify(0, h).AttemptID
			return id == "" || id == f.call.AttemptID
		},
	}
	if f.rest != nil {
		req.Rest, req.Length = f.rest, f.r.ContentLength
	}
	req.MaxIdle = d.MaxIdleConns
	req.Permitted = func() bool { return f.permitted(d) }
	req.StallTimeout, _ = f.stall()
	req.OnStall = f.stalled
	return req
}

// failed classifies a call that brought no answer.
func (f *flight) failed(sent bool, err error) router.DispatchEnded {
	switch {
	case f.r.Context().Err() != nil || f.g.ended():
		return router.DispatchEnded{Outcome: router.Canceled}
	case !sent && !time.Now().Before(f.deadline):
		return router.DispatchEnded{Outcome: router.NotSent}
	case errors.Is(err, upstream.ErrNotPermitted):
		f.g.log.Info().Str("id", f.call.AttemptID).Str("backend", f.backend).Msg("Decision too old to send on.")
		return router.DispatchEnded{Outcome: router.NotSent} // says nothing of the backend server
	case !sent:
		f.g.log.Info().Str("id", f.call.AttemptID).Str("backend", f.backend).Err(err).Msg("Not sent.")
		return router.DispatchEnded{Outcome: router.NotSent, Fault: true}
	case !time.Now().Before(f.deadline):
		return router.DispatchEnded{Outcome: router.TimedOut}
	default:
		f.g.log.Info().Str("id", f.call.AttemptID).Str("backend", f.backend).Err(err).Stringer("digest", f.digest()).
			Int64("last_event", f.lastEvent).Msg("Broken after the send.")
		return router.DispatchEnded{Outcome: f.once(router.Broken), Fault: true, Delivered: f.headWritten}
	}
}

// once keeps a request whose body could not be held from being repeated.
func (f *flight) once(o router.Outcome) router.Outcome {
	if f.rest != nil && o == router.Broken {
		return router.TimedOut
	}
	return o
}
