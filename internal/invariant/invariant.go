// Package invariant collects violations of invariants that the reducer checks at run time. Tests
// fail on the first violation; the daemon logs and counts each.
package invariant

import "fmt"

// maxKept bounds the memory that a repeated violation can use.
const maxKept = 100

// Log keeps violations until Take returns them. It is not safe for concurrent use: only the control
// goroutine uses it.
type Log struct {
	kept  []string
	total int
}

// Check records a violation if ok is false. It returns ok.
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

// Take returns the violations since the last call, at most maxKept of them.
func (l *Log) Take() []string {
	out := l.kept
	l.kept = nil
	return out
}

// Total returns the number of violations since the start, including those that were not kept.
func (l *Log) Total() int { return l.total }
