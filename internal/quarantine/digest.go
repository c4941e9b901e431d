package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
)

// Digest identifies a request by what stays the same when its caller sends it again: workspace, method, host, target
// and body. The attempt ID isn't part of it, as each attempt has another. It is a truncated SHA-256, so that no caller
// can craft a request that collides with another one.
type Digest [16]byte

// Identity holds the parts of a request that its digest covers.
type Identity struct {
	// Workspace is empty on public routes.
	Workspace string
	Method    string
	Host      string
	Target    string
	// Body is the buffered part of the body; Length is the length of the whole body, or -1 if that is not known.
	Body   []byte
	Length int64
}

// Digest hashes the identity. Each part is preceded by its length, so that parts cannot run into each other.
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

// PartDigests returns the digests of the parts of a prompt with the given IDs, each once. Empty IDs are left out.
func PartDigests(ids []string) []Digest {
	var out []Digest
	for _, id := range ids {
		if id == "" {
			continue
		}
		sum := sha256.Sum256([]byte("part of a prompt\x00" + id))
		if d := Digest(sum[:len(Digest{})]); !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// PrefixDigests returns the digests of the beginnings of a prompt with the given lengths in bytes, which ascend. It leaves out
// those that are not shorter than the prompt.
func PrefixDigests(prompt string, lengths []int) []Digest {
	var out []Digest
	h := sha256.New()
	h.Write([]byte("beginning of a prompt\x00"))
	from := 0
	for _, n := range lengths {
		if n >= len(prompt) {
			break
		}
		h.Write([]byte(prompt[from:n]))
		from = n
		out = append(out, Digest(h.Sum(nil)[:len(Digest{})]))
	}
	return out
}

// At returns the digest of a part at one service: what ends the backend servers of one may be harmless to those of another.
// The service is given by ServiceDigest.
func (d Digest) At(service Digest) Digest {
	for i := range d {
		d[i] ^= service[i]
	}
	return d
}

// ServiceDigest returns the digest of a service's name.
func ServiceDigest(name string) Digest {
	sum := sha256.Sum256([]byte("service\x00" + name))
	return Digest(sum[:len(Digest{})])
}

// Strings returns the short forms of digests for logs.
func Strings(digests []Digest) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = d.String()
	}
	return out
}

// Zero reports whether the digest is unset.
func (d Digest) Zero() bool { return d == Digest{} }

// String returns a short form for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:8]) }
