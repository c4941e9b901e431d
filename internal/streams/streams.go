// Package streams remembers which software version of a backend server began each stream. What two versions write does not
// fit together, so a stream that breaks off may only go on at the version that began it, whichever host its caller returns to.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"time"
)

const (
	// Lifetime is the longest time from the first event of a stream until its caller takes it up again. Callers do so within
	// their deadline, which is some seconds.
	Lifetime = 30 * time.Second
	// maxRecords limits the records of one Lifetime, for memory: some 3 MB for both generations.
	maxRecords = 16 << 10
)

// ID identifies a stream: a truncated SHA-256 of the workspace and of the caller's attempt that brought the first event. No
// workspace can name the stream of another one, and its length does not depend on what the caller sent. Zero is no stream.
type ID uint64

// NewID returns the ID of the stream whose first event the given attempt brought; zero if the attempt has no ID.
func NewID(workspace, attempt string) ID {
	if attempt == "" {
		return 0
	}
	text := binary.BigEndian.AppendUint64(nil, uint64(len(workspace)))
	text = append(append(text, workspace...), attempt...)
	sum := sha256.Sum256(text)
	return ID(max(1, binary.BigEndian.Uint64(sum[:8])))
}

// Origin is what began a stream.
type Origin struct {
	Service string
	// Version is the software version of the backend server; empty if it is not known.
	Version string
}

// Record is what a host knows of one stream.
type Record struct {
	Origin
	// From is the host that reported it; empty for a stream that began at this host.
	From string
	// At is when this host learned it, on the reducer's clock.
	At time.Duration
	// Ambiguous is set if two versions are reported to have begun it, as its caller has used an attempt's ID twice.
	Ambiguous bool
}

// Ledger holds the records of the streams that have begun within Lifetime, and some older ones. It keeps two generations, so
// that expiry takes no search. It is not safe for concurrent use.
type Ledger struct {
	current, previous map[ID]Record
	rotateAt          time.Duration
	dropped           int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{current: map[ID]Record{}, rotateAt: Lifetime}
}

// Add records a stream. The first record stays; one that contradicts it makes it ambiguous.
func (l *Ledger) Add(now time.Duration, id ID, r Record) {
	l.rotate(now)
	known, ok := l.Get(now, id)
	switch {
	case ok && known.Origin == r.Origin:
	case ok:
		known.Ambiguous = true
		l.current[id] = known
	case len(l.current) >= maxRecords:
		l.dropped++
	default:
		r.At = now
		l.current[id] = r
	}
}

// Get returns the record of a stream.
func (l *Ledger) Get(now time.Duration, id ID) (Record, bool) {
	l.rotate(now)
	if r, ok := l.current[id]; ok {
		return r, true
	}
	r, ok := l.previous[id]
	return r, ok
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.current) + len(l.previous) }

// Dropped returns the number of streams that were not recorded because there were too many.
func (l *Ledger) Dropped() int { return l.dropped }

func (l *Ledger) rotate(now time.Duration) {
	if now < l.rotateAt {
		return
	}
	l.previous, l.current = l.current, map[ID]Record{}
	if now >= l.rotateAt+Lifetime {
		l.previous = nil
	}
	l.rotateAt = now + Lifetime
}
