// Package gateway serves callers on the platform's path: it reads a request, asks the reducer where to send it, and
// relays the request and its answer byte for byte. The reducer makes the decisions; HeaderCodec hides the platform's
// header names.
package gateway

import (
	"net/http"
	"time"
)

// RequestInfo holds what the platform's headers of a request state.
type RequestInfo struct {
	// AttemptID is the caller's ID of this attempt; each retry has another.
	AttemptID string
	Key       string
	// Deadline is how long the caller waits; zero if not stated.
	Deadline time.Duration
	// LastEvent is the last event of an earlier stream that the caller has received.
	LastEvent string
	// Resumes is the ID of the caller's attempt that brought the first event of the stream that this one continues; empty if
	// the caller does not name it.
	Resumes      string
	HasTokens    bool
	PromptTokens int
	OutputTokens int // at most
	// PromptParts are the IDs of the parts of the prompt that other requests may share, in order; not its last part.
	PromptParts []string
	LengthHint  int // the caller's estimate of the output tokens; zero where unknown
}

// DispatchInfo holds what one dispatch adds to a request's headers.
type DispatchInfo struct {
	Backend   string // ID of the only backend server that may run the request
	Workspace string
	TimeLeft  time.Duration
	LastEvent string // of a stream that is resumed; empty otherwise
}

// AnswerInfo holds what a backend server states in the headers of its answer.
type AnswerInfo struct {
	AttemptID string
	// Mixed is set if the head names several requests or signatures, as one that broke off and is followed by another answer does.
	Mixed bool
	// Signed is set if the answer carries a backend server's signature.
	Signed bool
	// NotRun is set if the backend server states that it has not run the request.
	NotRun bool
	// MeansNotRun is set if callers take the status as a promise that the request has not run and never will.
	MeansNotRun bool
	// Leaving is set if the backend server announces that it is about to shut down.
	Leaving bool
	// HoldOff is how long a backend server that rejected the request wants no further requests from this host; zero if
	// not stated.
	HoldOff time.Duration
	// RateLimit is the number of requests per second that the backend server accepts from all hosts together; +Inf if the
	// answer states no limit, NaN if its limit cannot be parsed. InvalidRateLimit is the text that cannot be parsed.
	RateLimit        float64
	InvalidRateLimit string
	// BrittleLimit is the number of requests per second above which the backend server fails if it has to reject them because
	// it is full; +Inf and NaN as for RateLimit. InvalidBrittleLimit is the text that cannot be parsed.
	BrittleLimit        float64
	InvalidBrittleLimit string
}

// HeaderCodec translates between the platform's headers and this package's types.
type HeaderCodec interface {
	Read(h http.Header) RequestInfo
	Prepare(h http.Header, s DispatchInfo)
	Classify(status int, h http.Header) AnswerInfo
	RetryAfter(d time.Duration) string
}
