// Package record converts the operators' published records, in each schema version, to one
// internal form. Conversion is a pure function of the record, so all hosts accept the same set.
package record

import (
	"encoding/json"
	"time"
)

// Kind names what a record describes.
type Kind string

// The kinds of record.
const (
	KindWorkspace Kind = "workspace"
	KindTier      Kind = "tier"
	KindService   Kind = "service"
	KindBackend   Kind = "backend"
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// String is "kind/name".
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

// Key returns the record's identity.
func (r Raw) Key() Key { return Key{r.Kind, r.Name} }

// Workspace is a customer and its rights.
type Workspace struct {
	Name string
	// KeyHashes are lower-case hex SHA-256 sums of the keys.
	KeyHashes []string
	Tiers     []string
	// Weight is the share of a tier relative to other workspaces; at least 0.01.
	Weight float64
	// Rate is requests a second over the whole fleet; zero means no limit.
	Rate float64
	// Burst is how many requests may come at once.
	Burst int
}

// Grants tells whether the workspace may use a tier.
func (w *Workspace) Grants(tier string) bool {
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
	// Priority orders tiers; the greater is the more urgent (0 to 15).
	Priority uint32
	// ReservePercent of a backend server's slots is kept from tiers below this one.
	ReservePercent int
	// Deadline is used when the caller names none.
	Deadline time.Duration
}

// ServiceKind tells how a service is spoken to.
type ServiceKind string

// The kinds of service.
const (
	ServiceModel ServiceKind = "model"
	ServicePlain ServiceKind = "plain"
)

// Service is something callers ask for by name.
type Service struct {
	Name string
	Kind ServiceKind
	// Policy names the placement policy; see package sched.
	Policy string
	// DefaultTier is used when the caller names none.
	DefaultTier string
}

// Backend is a backend server.
type Backend struct {
	Name    string
	Service string
	Zone    string
	// Addr is host:port, by IP number.
	Addr string
	// Slots is how many requests it can run at once, as its operator declares.
	Slots int
	// Leaving tells that it must get no new work.
	Leaving bool
	// CanSuspend tells that it exports and imports KV cache.
	CanSuspend bool
}

// Value is a converted record: exactly one pointer is set.
type Value struct {
	Workspace *Workspace
	Tier      *Tier
	Service   *Service
	Backend   *Backend
}
