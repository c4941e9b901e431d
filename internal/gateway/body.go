package gateway

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"fireflyshift/internal/ingress"
	"fireflyshift/internal/membudget"
	"fireflyshift/internal/router"
)

// noMemoryRetryAfter is the Retry-After of a host without memory for a request: by then callers that make no progress have been turned
// away.
const noMemoryRetryAfter = 2 * membudget.StallTime

// unreadBodyTimeout is how long net/http may wait for the rest of a body that nobody reads, before it writes the refusal.
const unreadBodyTimeout = membudget.StallTime

// Causes of refusals that are about the body.
const (
	causeBodyTooLarge = "body_too_large"
	causeSlowBody     = "slow_body"
	causeNoMemory     = "no_memory"
)

// readBody reads up to maxBufferedBody of the body, within the request's deadline. It reports false if it has already
// answered the request.
func (a *activeRequest) readBody(limit int64) bool {
	a.bodyHandled = true
	if a.r.ContentLength == 0 {
		return true
	}
	if limit > 0 && a.r.ContentLength > limit {
		a.refuseBody(http.StatusRequestEntityTooLarge, causeBodyTooLarge, 0)
		return false
	}
	// a.r.Body stays as it is: net/http looks there for whether the rest of a body follows, which would be taken for the next request.
	src := io.Reader(a.r.Body)
	if limit > 0 {
		src = http.MaxBytesReader(a.w, a.r.Body, limit)
	}
	rc := http.NewResponseController(a.w)
	_ = rc.SetReadDeadline(a.deadline)
	a.account.Receive(func() { _ = rc.SetReadDeadline(time.Now()) })
	stop := ingress.AbortReads(a.g.ending, rc)
	body, whole, err := a.account.ReadAll(src, a.r.ContentLength, maxBufferedBody)
	stop()
	if !a.account.Pause() && err == nil {
		err = membudget.ErrExhausted
	}
	if err != nil {
		a.refuseUnreadBody(err)
		return false
	}
	a.body = body
	if !whole {
		a.bodyRest = &trackedBody{src: src, account: a.account}
		// Otherwise net/http discards a part of the body before it writes an answer, which a backend server may begin early.
		_ = rc.EnableFullDuplex() // HTTP/1 only; others need no permission
		return true
	}
	// A read deadline left in place would also end net/http's detection that the caller has closed the connection.
	_ = rc.SetReadDeadline(time.Time{})
	return true
}

// refuseUnreadBody answers a request whose body was not read to its end: nothing has run.
func (a *activeRequest) refuseUnreadBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		a.refuseBody(http.StatusRequestEntityTooLarge, causeBodyTooLarge, 0)
	case a.account.TurnedAway() && a.g.control.Draining():
		a.refuseBody(http.StatusRequestTimeout, string(router.ShutDown), router.DrainRetryAfter)
	case errors.Is(err, membudget.ErrExhausted), errors.Is(err, os.ErrDeadlineExceeded) && a.account.TurnedAway():
		a.account.Close()
		a.refuseBody(http.StatusServiceUnavailable, causeNoMemory, noMemoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded) && a.g.ended():
		a.refuseBody(http.StatusRequestTimeout, string(router.ShutDown), router.DrainRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.refuseBody(http.StatusRequestTimeout, causeSlowBody, 0)
	default:
		// The caller closed the connection in the middle of its request, so there is no one to answer.
		a.logEnd("body_broken", 0)
		panic(http.ErrAbortHandler)
	}
}

// limitUnreadBody bounds the wait for the body of a request that is refused by its head.
func (a *activeRequest) limitUnreadBody() {
	if a.r.ContentLength != 0 && !a.bodyHandled {
		_ = http.NewResponseController(a.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// refuseBody closes the connection after the answer. The rest of the body is not waited for: net/http would read a part of it, which may
// never arrive.
func (a *activeRequest) refuseBody(status int, cause string, retryAfter time.Duration) {
	a.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(a.w).SetReadDeadline(time.Now())
	a.refuse(status, cause, retryAfter)
}

// refuseStalledBody ends a request whose body stopped short of its end. Once a part of it was sent, a backend server may have begun to
// run it.
func (a *activeRequest) refuseStalledBody() {
	switch {
	case a.headWritten:
		a.logEnd(causeSlowBody, 0)
		panic(http.ErrAbortHandler)
	case a.mayHaveRun:
		a.refuseBody(http.StatusGatewayTimeout, causeSlowBody, 0)
	default:
		a.refuseBody(http.StatusServiceUnavailable, causeNoMemory, noMemoryRetryAfter)
	}
}

// freePlaces turns callers away whose bodies have stopped short of their end and which hold places at backend servers, as other requests
// find none.
func (g *Gateway) freePlaces() {
	if g.budget == nil {
		return
	}
	if n := g.budget.FreePlaces(); n > 0 {
		g.metrics.Count("callers.stalled_places", int64(n))
	}
}

// trackedBody is the rest of a long body. It records whether reading failed because the caller's body is too large.
type trackedBody struct {
	src      io.Reader
	account  *membudget.Account
	tooLarge atomic.Bool
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.account.Resume()
	n, err := b.src.Read(p)
	b.account.Progress(n)
	b.account.Pause() // the backend server may take its time to read
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		b.tooLarge.Store(true)
	}
	return n, err
}
