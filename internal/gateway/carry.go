package gateway

import (
	"io"
	"net/http"
	"time"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/timing"
	"fireflyshift/internal/upstream"
)

// carry classifies an answer of a backend server and passes it on. What the server says of itself in the head is told first: the
// rest may take long, or break.
func (f *flight) carry(from routing.Backend, resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	info := f.g.wire.Classify(resp.Status, resp.Header)
	success := isSuccess(resp.Status)
	if resp.Status != http.StatusMisdirectedRequest && (info.Leaving || info.HoldOff > 0) {
		f.g.control.Post(router.BackendAnnouncement{ID: from.ID, Start: from.Start, Leaving: info.Leaving, HoldOff: info.HoldOff})
	}
	switch {
	case info.NotRun && resp.Status == http.StatusMisdirectedRequest:
		f.logRejected(resp.Status, sentAt)
		return router.DispatchEnded{Outcome: router.WrongInstance, Delivered: f.headWritten}
	case info.NotRun && !success:
		f.logRejected(resp.Status, sentAt)
		return router.DispatchEnded{Outcome: router.Rejected, Delivered: f.headWritten}
	case success && (!info.Signed || resp.Header.Get("Content-Encoding") != ""):
		return router.DispatchEnded{Outcome: router.Broken, Fault: true, Delivered: f.headWritten}
	case success && f.route.Kind == routing.Streaming:
		return f.carryStream(resp, sentAt)
	case f.headWritten:
		// A stream that was to go on met a failure; the caller has a status already.
		return router.DispatchEnded{Outcome: router.Broken, Fault: true, Delivered: true}
	default:
		return f.carryWhole(resp, sentAt)
	}
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// answerBuffer is how much of a plain answer is read before the caller gets its status: an answer
// that breaks off within it never looks like one.
const answerBuffer = 256 << 10

// carryWhole passes a plain answer on, complete or not at all up to answerBuffer.
func (f *flight) carryWhole(resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	body, err := io.ReadAll(io.LimitReader(resp, answerBuffer))
	if err != nil {
		return f.failed(true, err)
	}
	first := time.Since(sentAt)
	f.firstByte = time.Since(f.began)
	if len(body) == answerBuffer {
		return f.carryLong(resp, body, first)
	}
	if resp.Status >= http.StatusInternalServerError {
		f.held = &heldAnswer{resp.Status, resp.Header, body}
		return router.DispatchEnded{Outcome: router.Failed, First: first}
	}
	f.writeAnswer(&heldAnswer{resp.Status, resp.Header, body})
	return router.DispatchEnded{Outcome: router.Answered, First: first}
}

func (f *flight) carryLong(resp *upstream.Response, begin []byte, first time.Duration) router.DispatchEnded {
	f.writeHead(resp.Status, resp.Header, resp.Length)
	if _, err := f.w.Write(begin); err != nil {
		return router.DispatchEnded{Outcome: router.Canceled}
	}
	if _, err := io.Copy(f.w, resp); err != nil {
		end := f.failed(true, err)
		end.Delivered = true
		return end
	}
	return router.DispatchEnded{Outcome: router.Answered, First: first}
}

// carryStream passes whole events on as they come, and skips those that the caller has already.
func (f *flight) carryStream(resp *upstream.Response, sentAt time.Time) router.DispatchEnded {
	rc := http.NewResponseController(f.w)
	events := newEventReader(resp)
	t := &timing.Stream{StartedAt: sentAt}
	for {
		chunk, err := events.next()
		if err == io.EOF {
			if !f.headWritten {
				f.writeHead(resp.Status, resp.Header, -1)
			}
			return timed(router.DispatchEnded{Outcome: router.Answered}, t)
		}
		if err != nil {
			end := f.failed(true, err)
			end.Delivered = f.headWritten
			return timed(end, t)
		}
		if t.Chunks == 0 {
			_, next := f.stall()
			resp.SetStall(next)
		}
		before := t.Chunks
		out := f.fresh(chunk, t)
		f.tellSpeed(before, t)
		if len(out) == 0 {
			continue
		}
		f.pauses.piece(time.Now())
		if !f.headWritten {
			f.firstByte = time.Since(f.began)
			f.writeHead(resp.Status, resp.Header, -1)
			_ = rc.SetWriteDeadline(f.deadline)
		}
		if _, err := f.w.Write(out); err != nil {
			return router.DispatchEnded{Outcome: router.Canceled}
		}
		if err := rc.Flush(); err != nil {
			return router.DispatchEnded{Outcome: router.Canceled}
		}
	}
}

// fresh returns the events of a chunk that the caller does not have: what comes after the last one
// that it has, so that comments and blank lines between events do not shift the cut.
func (f *flight) fresh(chunk []byte, t *timing.Stream) []byte {
	skip, end := 0, 0
	cutEvents(chunk, func(event []byte, id int64) {
		t.AddChunk(time.Now())
		end += len(event)
		switch {
		case id < 0:
		case id <= f.lastEvent:
			skip = end
		default:
			f.lastEvent = id
		}
	})
	return chunk[skip:]
}

// pacedAfter is how many events of a stream tell its speed before it ends.
const pacedAfter = 6

// tellSpeed tells the reducer that a stream begins, and how fast it goes.
func (f *flight) tellSpeed(before int, t *timing.Stream) {
	if before == 0 && t.Chunks > 0 {
		f.g.control.Post(router.StreamStarted{ID: f.id, First: t.FirstChunk()})
	}
	if before < pacedAfter && t.Chunks >= pacedAfter {
		f.g.control.Post(router.StreamProgress{ID: f.id, Interval: t.Interval()})
	}
}

// timed tells the reducer how the stream went, for its estimates.
func timed(e router.DispatchEnded, t *timing.Stream) router.DispatchEnded {
	e.Events, e.First, e.Interval = t.Chunks, t.FirstChunk(), t.Interval()
	return e
}
