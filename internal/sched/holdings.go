package sched

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// entryHost summarizes the runs of one entry host, so that one digest confirms all of them.
type entryHost struct {
	count       int
	digest      uint64
	confirmedAt time.Duration
}

// RunHash returns the hash of a run. The digest of an entry host is the XOR of its runs' hashes,
// independent of order.
func RunHash(request uint64, attempt uint32) uint64 {
	var b [12]byte
	binary.BigEndian.PutUint64(b[:], request)
	binary.BigEndian.PutUint32(b[8:], attempt)
	return xxhash.Sum64(b[:])
}

// Confirm compares the digest of what an entry host runs here with this group's record, and confirms its
// runs if the two match. It returns false if they differ; then the full list has to be requested.
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
