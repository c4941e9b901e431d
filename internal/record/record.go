// Package record converts the records published by operators from every schema version to one internal
// form. Conversion is a pure function of the record, so all hosts accept the same records.
package record

import (
	"encoding/json"
	"time"
)

// Kind is the type of object that a record describes.
type Kind string

// The kinds of record.
const (
	KindWorkspace Kind = "workspace"
	KindTier      Kind = "tier"
	KindService   Kind = "service"
	KindBackend   Kind = "backend"
)

// Key identifies a record by kind and name.
type Key struct {
	Kind Kind
	Name string
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Raw is a record as published: the envelope and its body.
type Raw struct {
	Kind     Kind            `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Schema   uint32          `json:"schema"`
	Deleted  bool            `json:"deleted,omitempty"`
	Body     json.RawMessage `json:"body,omitempty"`
}

// Key returns the record's kind and name.
func (r Raw) Key() Key { return Key{r.Kind, r.Name} }

// Workspace is a customer with its keys, tiers and limits.
type Workspace struct {
	Name string
	// KeyHashes are lower-case hex SHA-256 sums of the keys.
	KeyHashes []string
	Tiers     []string
	// Weight is the workspace's share of a tier relative to other workspaces; at least 0.01.
	Weight float64
	// Rate is the limit in requests per second over the whole fleet; zero means no limit.
	Rate float64
	// Burst is the number of requests that may arrive at once.
	Burst int
}

// AllowsTier reports whether the workspace may use a tier.
func (w *Workspace) AllowsTier(tier string) bool {
	for _, t := range w.Tiers {
		if t == tier {
			return true
		}
	}
	return false
}

// Tier is a class of urgency.
type Tier struct {
	Name string
	// Priority orders tiers from 0 (lowest) to 15 (most urgent).
	Priority uint32
	// ReservePercent is the percentage of a backend server's slots that lower tiers may not use.
	ReservePercent int
	// Deadline applies if the caller sets none.
	Deadline time.Duration
}

// ServiceKind selects the protocol of a service.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is a destination that callers address by name.
type Service struct {
	Name string
	Kind ServiceKind
	// Policy is the name of the scheduling policy; see package sched.
	Policy string
	// DefaultTier applies if the caller names none.
	DefaultTier string
}

// Backend is a backend server.
type Backend struct {
	Name    string
	Service string
	Zone    string
	// Addr is IP:PORT.
	Addr string
	// Slots is the number of requests that it can run at once, as declared by its operator.
	Slots int
	// Leaving reports that it must not get new requests.
	Leaving bool
	// CanSuspend reports that it can export and import KV cache.
	CanSuspend bool
}

// Value is a converted record. Exactly one pointer is set, or none for a deletion.
type Value struct {
	Workspace *Workspace
	Tier      *Tier
	Service   *Service
	Backend   *Backend
}
