package sched

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entryHost sums up the runs of one entry host, so that its digest confirms all of them at once.
type entryHost struct {
	count       int
	digest      uint64
	confirmedAt time.Duration
}

// RunHash is a run's part of an entry host's digest: XOR makes the sum independent of order.
func RunHash(request uint64, attempt uint32) uint64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], request)
	binary.BigEndian.PutUint32(b[8:], attempt)
	return xxhash.Sum64(b[:])
}

// Confirm compares an entry host's digest of what it runs here. It reports whether the two agree;
// if not, the full list has to be asked for.
func (g *Group) Confirm(now time.Duration, host string, count int, digest uint64) bool {
	h, ok := g.entryHosts[host]
	if !ok {
		return count == 0
	}
	if h.count != count || h.digest != digest {
		return false
	}
	h.confirmedAt = now
	return true
}
