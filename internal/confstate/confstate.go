// Package confstate holds the accepted configuration. It only moves forward: per record the
// highest accepted revision wins, whoever brings it, and a deletion is a revision too.
package confstate

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/record"
)

// Refused tells why a published revision is not in force.
type Refused struct {
	Key      record.Key
	Revision uint64
	Reason   string
}

// entry is a record in force.
type entry struct {
	raw   record.Raw
	value record.Value
}

// State is the configuration that one host has accepted. It is not safe for concurrent use.
type State struct {
	entries  map[record.Key]entry
	refused  map[record.Key]Refused
	keys     map[string]string // key hash to workspace
	revision uint64
	digest   uint64
	version  uint64
}

// New returns an empty configuration.
func New() *State {
	return &State{entries: map[record.Key]entry{}, refused: map[record.Key]Refused{}, keys: map[string]string{}}
}

// Apply takes published records and returns those that are newly in force.
//
// The revision comparison guards against a stale platform or a peer that slept: either would bring
// an older revision, and callers would see a setting revert. The guard holds since the revision in
// force is only ever replaced by a greater one, and no other code writes entries.
func (s *State) Apply(raws []record.Raw) []record.Raw {
	var accepted []record.Raw
	for _, r := range raws {
		if s.apply(r) {
			accepted = append(accepted, r)
		}
	}
	if len(accepted) > 0 {
		s.version++
		s.indexKeys()
	}
	return accepted
}

func (s *State) apply(r record.Raw) bool {
	old, known := s.entries[r.Key()]
	if known && r.Revision <= old.raw.Revision {
		return false
	}
	value, err := record.Convert(r)
	if err != nil {
		s.refuse(r, err)
		return false
	}
	if refused, ok := s.refused[r.Key()]; ok && refused.Revision < r.Revision {
		delete(s.refused, r.Key())
	}
	if known {
		s.digest ^= stamp(old.raw)
	}
	s.digest ^= stamp(r)
	s.entries[r.Key()] = entry{r, value}
	if r.Revision > s.revision {
		s.revision = r.Revision
	}
	return true
}

// maxRefused bounds what a flood of bad records can take.
const maxRefused = 1000

func (s *State) refuse(r record.Raw, err error) {
	old, known := s.refused[r.Key()]
	if known && old.Revision >= r.Revision {
		return
	}
	if !known && len(s.refused) >= maxRefused {
		return
	}
	s.refused[r.Key()] = Refused{r.Key(), r.Revision, err.Error()}
}

// stamp is the record's part of the digest: XOR makes the sum independent of order.
func stamp(r record.Raw) uint64 {
	b := binary.BigEndian.AppendUint64([]byte(r.Key().String()), r.Revision)
	return xxhash.Sum64(b)
}

func (s *State) indexKeys() {
	s.keys = make(map[string]string, len(s.keys))
	for _, w := range s.Workspaces() {
		for _, h := range w.KeyHashes {
			if _, taken := s.keys[h]; !taken {
				s.keys[h] = w.Name
			}
		}
	}
}

// Revision is the highest accepted revision.
func (s *State) Revision() uint64 { return s.revision }

// Digest is equal on two hosts exactly when, but for hash collisions, they hold the same revisions.
func (s *State) Digest() uint64 { return s.digest }

// Version grows with each change; it orders nothing between hosts.
func (s *State) Version() uint64 { return s.version }

// RevisionOf gives the revision in force of one record, zero if none.
func (s *State) RevisionOf(k record.Key) uint64 { return s.entries[k].raw.Revision }

// After lists the records in force above a revision, deletions included, by revision.
func (s *State) After(revision uint64) []record.Raw {
	var out []record.Raw
	for _, e := range s.entries {
		if e.raw.Revision > revision {
			out = append(out, e.raw)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Revision < out[j].Revision })
	return out
}

// RefusedRecords lists what is not in force and why, by key.
func (s *State) RefusedRecords() []Refused {
	out := make([]Refused, 0, len(s.refused))
	for _, r := range s.refused {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.String() < out[j].Key.String() })
	return out
}

// WorkspaceByKey finds the workspace whose record lists the key's hash.
func (s *State) WorkspaceByKey(hash string) *record.Workspace {
	return s.Workspace(s.keys[hash])
}

// Workspace finds a workspace, nil if none is in force.
func (s *State) Workspace(name string) *record.Workspace {
	return s.entries[record.Key{Kind: record.KindWorkspace, Name: name}].value.Workspace
}

// Tier finds a tier, nil if none is in force.
func (s *State) Tier(name string) *record.Tier {
	return s.entries[record.Key{Kind: record.KindTier, Name: name}].value.Tier
}

// Service finds a service, nil if none is in force.
func (s *State) Service(name string) *record.Service {
	return s.entries[record.Key{Kind: record.KindService, Name: name}].value.Service
}

// Backend finds a backend server, nil if none is in force.
func (s *State) Backend(name string) *record.Backend {
	return s.entries[record.Key{Kind: record.KindBackend, Name: name}].value.Backend
}

// Workspaces lists the workspaces in force, by name.
func (s *State) Workspaces() []*record.Workspace {
	return list(s, func(v record.Value) *record.Workspace { return v.Workspace })
}

// Tiers lists the tiers in force, by name.
func (s *State) Tiers() []*record.Tier {
	return list(s, func(v record.Value) *record.Tier { return v.Tier })
}

// Services lists the services in force, by name.
func (s *State) Services() []*record.Service {
	return list(s, func(v record.Value) *record.Service { return v.Service })
}

// Backends lists the backend servers in force, by name.
func (s *State) Backends() []*record.Backend {
	return list(s, func(v record.Value) *record.Backend { return v.Backend })
}

func list[T any](s *State, pick func(record.Value) *T) []*T {
	type named struct {
		name  string
		value *T
	}
	var found []named
	for k, e := range s.entries {
		if v := pick(e.value); v != nil {
			found = append(found, named{k.Name, v})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	out := make([]*T, len(found))
	for i, f := range found {
		out[i] = f.value
	}
	return out
}

// Snapshot is an immutable copy of what the traffic side needs of a configuration.
type Snapshot struct {
	Revision uint64
	keys     map[string]*record.Workspace
	tiers    map[string]*record.Tier
	services map[string]*record.Service
}

// Snapshot copies the configuration for other goroutines. Converted records are never changed in
// place, so the copy is shallow.
func (s *State) Snapshot() *Snapshot {
	out := &Snapshot{Revision: s.revision, keys: map[string]*record.Workspace{},
		tiers: map[string]*record.Tier{}, services: map[string]*record.Service{}}
	for hash, name := range s.keys {
		out.keys[hash] = s.Workspace(name)
	}
	for _, t := range s.Tiers() {
		out.tiers[t.Name] = t
	}
	for _, v := range s.Services() {
		out.services[v.Name] = v
	}
	return out
}

// WorkspaceByKey finds the workspace of a key's hash, nil if there is none.
func (s *Snapshot) WorkspaceByKey(hash string) *record.Workspace { return s.keys[hash] }

// Tier finds a tier, nil if none is in force.
func (s *Snapshot) Tier(name string) *record.Tier { return s.tiers[name] }

// Service finds a service, nil if none is in force.
func (s *Snapshot) Service(name string) *record.Service { return s.services[name] }
