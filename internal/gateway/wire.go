// Package gateway serves callers on the platform's path: it reads a request, asks the reducer where
// it goes, carries it there and the answer back, byte for byte. Decisions are the reducer's; the
// names on the wire are the adapter's, behind Wire.
package gateway

import (
	"net/http"
	"time"
)

// RequestInfo is what a caller's headers say.
type RequestInfo struct {
	// AttemptID is the caller's own id of this try; each try has another.
	AttemptID string
	Key       string
	// Deadline is how long the caller waits; zero where it does not say.
	Deadline time.Duration
	// LastEvent is the last event that the caller has of an earlier stream.
	LastEvent    string
	HasTokens    bool
	PromptTokens int
	OutputTokens int // at most
	LengthHint   int // the caller's estimate of the output tokens; zero where unknown
}

// DispatchInfo is what one dispatch adds to a caller's request.
type DispatchInfo struct {
	Backend   string // the only backend server that may run it
	Workspace string
	Left      time.Duration
	LastEvent string // of a stream that goes on; empty otherwise
}

// AnswerInfo is what a backend server's headers say of its answer.
type AnswerInfo struct {
	AttemptID string
	// Signed tells that the answer bears a backend server's signature.
	Signed bool
	// NotRun tells that the backend server states that it has not run the request.
	NotRun bool
	// Leaving tells that the backend server says that it is about to leave.
	Leaving bool
	// HoldOff is how long a backend server that turned the request away wants nothing more from this host; zero where it
	// does not say.
	HoldOff time.Duration
}

// HeaderCodec translates headers.
type HeaderCodec interface {
	Read(h http.Header) RequestInfo
	Prepare(h http.Header, s DispatchInfo)
	Classify(status int, h http.Header) AnswerInfo
	RetryAfter(d time.Duration) string
}
