package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Digest names a request by what makes it the same when its caller sends it again: workspace, method, host, target and
// body. An attempt's ID does not, as each attempt has another. It is a truncated SHA-256, so that no caller can word a
// request that is taken for another one.
type Digest [16]byte

// Identity is what a digest is made of.
type Identity struct {
	// Workspace is empty on public routes.
	Workspace string
	Method    string
	Host      string
	Target    string
	// Body is what was buffered of the body, Length its whole length, or -1 where that is not known.
	Body   []byte
	Length int64
}

// Digest of an identity. Each part is preceded by its length, so that no two identities run together.
func (id Identity) Digest() Digest {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(id.Workspace), []byte(id.Method), []byte(id.Host), []byte(id.Target), id.Body} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	binary.BigEndian.PutUint64(size[:], uint64(id.Length))
	h.Write(size[:])
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

// Zero tells that no digest was made.
func (d Digest) Zero() bool { return d == Digest{} }

// String is the digest as logs tell it.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }
