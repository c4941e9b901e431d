package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"fireflyshift/internal/membudget"
	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/timing"
	"fireflyshift/internal/upstream"
)

// relay classifies an answer and passes it on. What the backend server announces about itself in the head is reported
// to the reducer first: the body may take long, or break off.
func (a *activeRequest) relay(d router.Dispatch, resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	info := a.g.codec.Classify(resp.Status, resp.Header)
	success := isSuccess(resp.Status)
	if resp.Status != http.StatusMisdirectedRequest {
		a.postAnnouncement(d, info)
	}
	switch {
	case info.NotRun && resp.Status == http.StatusMisdirectedRequest:
		a.logRejected(resp.Status, sentAt)
		return router.DispatchEnded{Outcome: router.WrongInstance, Delivered: a.headWritten}
	case info.NotRun && !success:
		a.logRejected(resp.Status, sentAt)
		return router.DispatchEnded{Outcome: router.Rejected, Delivered: a.headWritten}
	case info.MeansNotRun && !a.route.Repeatable():
		// The request may have run, and its caller would send it again. Without a held answer the caller gets a 502.
		a.logUnprovenRejection(resp.Status)
		return router.DispatchEnded{Outcome: router.Failed, First: time.Since(sentAt)}
	case success && (!info.Signed || resp.Header.Get("Content-Encoding") != ""):
		return router.DispatchEnded{Outcome: router.Broken, Fault: true, Delivered: a.headWritten}
	case success && a.route.Kind == routing.Streaming:
		return a.relayStream(resp, sentAt)
	case a.headWritten:
		// A resumed stream failed; the caller already has a status.
		return router.DispatchEnded{Outcome: router.Broken, Fault: true, Delivered: true}
	default:
		return a.relayWhole(resp, sentAt)
	}
}

// postAnnouncement reports what a backend server announces about itself in the head of an answer. That it states no
// limit is reported only by a signed answer and if a limit was known.
func (a *activeRequest) postAnnouncement(d router.Dispatch, info AnswerInfo) {
	announcement := router.BackendAnnouncement{ID: d.Backend.ID, Start: d.Backend.Start, Leaving: info.Leaving, HoldOff: info.HoldOff}
	if math.IsNaN(info.RateLimit) {
		a.g.metrics.Count("backend.rate_limit.invalid", 1)
		a.g.log.Warn().Str("id", a.logID()).Str("backend", d.Backend.ID).Str("value", truncate(info.InvalidRateLimit)).
			Msg("Rate limit of a backend server ignored: it is not a decimal number of zero or more.")
	}
	if math.IsNaN(info.BrittleLimit) {
		a.g.metrics.Count("backend.brittle_limit.invalid", 1)
		a.g.log.Warn().Str("id", a.logID()).Str("backend", d.Backend.ID).Str("value", truncate(info.InvalidBrittleLimit)).
			Msg("Limit on rejected requests of a backend server ignored: it is not a decimal number of zero or more.")
	}
	announcement.RateLimit = observation(d, info.RateLimit, d.ReportRate && info.Signed)
	announcement.BrittleLimit = observation(d, info.BrittleLimit, d.ReportBrittle && info.Signed)
	if info.Leaving || info.HoldOff > 0 || announcement.RateLimit != nil || announcement.BrittleLimit != nil {
		a.g.control.Post(announcement)
	}
}

// observation returns what an answer states about a limit, or nil if that is unknown or not to be reported.
func observation(d router.Dispatch, perSecond float64, reportNone bool) *router.RateObservation {
	if math.IsNaN(perSecond) || (math.IsInf(perSecond, 1) && !reportNone) {
		return nil
	}
	return &router.RateObservation{PerSecond: perSecond, SentAt: d.At}
}

// maxLoggedValue limits the length of a header's value in a log line, in bytes.
const maxLoggedValue = 64

func truncate(s string) string { return s[:min(len(s), maxLoggedValue)] }

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// answerBuffer is how much of a plain answer is read before its status is written to the caller: an answer that breaks
// off within it never looks like a valid one.
const answerBuffer = 256 << 10

// relayWhole passes a plain answer on. Up to answerBuffer, it is passed on completely or not at all, if there is memory for it.
func (a *activeRequest) relayWhole(resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	body, whole, err := a.account.ReadAll(resp, resp.Length, answerBuffer)
	if err != nil && !errors.Is(err, membudget.ErrExhausted) {
		return a.classifyFailure(true, err)
	}
	first := time.Since(sentAt)
	a.firstByte = time.Since(a.startedAt)
	if !whole {
		return a.relayLong(resp, body, first)
	}
	if resp.Status >= http.StatusInternalServerError {
		a.heldFailure = &bufferedAnswer{resp.Status, resp.Header, body}
		return router.DispatchEnded{Outcome: router.Failed, First: first}
	}
	a.writeAnswer(&bufferedAnswer{resp.Status, resp.Header, body})
	return router.DispatchEnded{Outcome: router.Answered, First: first}
}

func (a *activeRequest) relayLong(resp *upstream.Response, begin []byte, first time.Duration) router.DispatchEnded {
	a.writeHead(resp.Status, resp.Header, resp.Length)
	if _, err := a.w.Write(begin); err != nil {
		return router.DispatchEnded{Outcome: router.Canceled}
	}
	if _, err := io.Copy(a.w, resp); err != nil {
		end := a.classifyFailure(true, err)
		end.Delivered = true
		return end
	}
	return router.DispatchEnded{Outcome: router.Answered, First: first}
}

// relayStream passes complete events on as they arrive, and skips those that the caller already has.
func (a *activeRequest) relayStream(resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	rc := http.NewResponseController(a.w)
	events := newEventReader(resp)
	t := &timing.Stream{StartedAt: sentAt}
	for {
		chunk, err := events.next()
		if err == io.EOF {
			if !a.headWritten {
				a.writeHead(resp.Status, resp.Header, -1)
			}
			return withTiming(router.DispatchEnded{Outcome: router.Answered}, t)
		}
		if err != nil {
			end := a.classifyFailure(true, err)
			end.Delivered = a.headWritten
			return withTiming(end, t)
		}
		if t.Chunks == 0 {
			_, next := a.stallTimeouts()
			resp.SetStall(next)
		}
		before := t.Chunks
		out := a.unseenEvents(chunk, t)
		a.postProgress(before, t)
		if len(out) == 0 {
			continue
		}
		a.pauses.observe(time.Now())
		if !a.headWritten {
			a.firstByte = time.Since(a.startedAt)
			a.writeHead(resp.Status, resp.Header, -1)
			_ = rc.SetWriteDeadline(a.deadline)
		}
		if _, err := a.w.Write(out); err != nil {
			return router.DispatchEnded{Outcome: router.Canceled}
		}
		if err := rc.Flush(); err != nil {
			return router.DispatchEnded{Outcome: router.Canceled}
		}
	}
}

// unseenEvents returns the events of a chunk that the caller does not have: all that follows the last one it has, so
// that comments and blank lines between events do not shift the position.
func (a *activeRequest) unseenEvents(chunk []byte, t *timing.Stream) []byte {
	skip, end := 0, 0
	splitEvents(chunk, func(event []byte, id int64) {
		t.AddChunk(time.Now())
		end += len(event)
		switch {
		case id < 0:
		case id <= a.lastEvent:
			skip = end
		default:
			a.lastEvent = id
		}
	})
	return chunk[skip:]
}

// pacedEvents is the number of events after which a stream's event interval is reported before it ends.
const pacedEvents = 6

// postProgress reports a stream's first event and its event interval to the reducer.
func (a *activeRequest) postProgress(before int, t *timing.Stream) {
	if before == 0 && t.Chunks > 0 {
		a.g.control.Post(router.StreamStarted{ID: a.id, First: t.FirstChunk()})
	}
	if before < pacedEvents && t.Chunks >= pacedEvents {
		a.g.control.Post(router.StreamProgress{ID: a.id, Interval: t.Interval()})
	}
}

// withTiming adds the stream's measurements, which the reducer uses for its estimates.
func withTiming(e router.DispatchEnded, t *timing.Stream) router.DispatchEnded {
	e.Events, e.First, e.Interval = t.Chunks, t.FirstChunk(), t.Interval()
	return e
}
