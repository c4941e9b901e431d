// Package invariant collects violations of what must always hold. The reducer reports into it;
// a test fails on the first entry, a daemon logs and counts each.
package invariant

import "fmt"

// maxKept bounds the memory that a repeated violation can take.
const maxKept = 100

// Log keeps violations until they are taken. It is used from the control thread only.
type Log struct {
	kept  []string
	total int
}

// Check records a violation when ok is false, and returns ok.
func (l *Log) Check(ok bool, format string, args ...any) bool {
	if ok {
		return true
	}
	l.total++
	if len(l.kept) < maxKept {
		l.kept = append(l.kept, fmt.Sprintf(format, args...))
	}
	return false
}

// Take returns the violations since the last call.
func (l *Log) Take() []string {
	out := l.kept
	l.kept = nil
	return out
}

// Total counts violations since the start.
func (l *Log) Total() int { return l.total }
