package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"time"
)

// Cause classifies why a connection or an exchange failed.
type Cause string

// The causes. They are field values in logs.
const (
	CauseRefused     Cause = "refused"
	CauseReset       Cause = "reset"
	CauseUnreachable Cause = "unreachable"
	// CauseDialTimeout: no answer to the opening packet within the dial timeout.
	CauseDialTimeout Cause = "dial_timeout"
	// CauseSilence: the kernel closed the connection because the server acknowledged nothing for the silence limit.
	CauseSilence Cause = "silence"
	// CauseStalled: the server's host acknowledged, but the server sent nothing within the stall timeout.
	CauseStalled Cause = "stalled"
	// CauseClosed: the server closed the connection before the end of its answer.
	CauseClosed Cause = "closed"
	CauseOther  Cause = "other"
)

// CauseOf returns the cause of an error of Pool.Do or of reading a Response.
func CauseOf(err error) Cause {
	switch {
	case errors.Is(err, ErrStalled):
		return CauseStalled
	case IsRefused(err):
		return CauseRefused
	case errors.Is(err, syscall.ETIMEDOUT):
		return CauseSilence
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return CauseReset
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return CauseUnreachable
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return CauseDialTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return CauseClosed
	default:
		return CauseOther
	}
}

// BrokenError is the error of an exchange that ended after bytes of the request may have been sent.
type BrokenError struct {
	Err error
	// Silent is how long before that the last bytes arrived, or the exchange began if none did.
	Silent time.Duration
}

// Error implements error.
func (e *BrokenError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *BrokenError) Unwrap() error { return e.Err }

// SilenceOf returns BrokenError.Silent of err, or zero.
func SilenceOf(err error) time.Duration {
	var broken *BrokenError
	if errors.As(err, &broken) {
		return broken.Silent
	}
	return 0
}
