// Package confstate holds the accepted configuration. It never goes back: per record the highest
// accepted revision wins, whatever its source. A deletion is a revision too.
package confstate

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"

	"fireflyshift/internal/record"
)

// Refused is a published revision that was refused, with the reason.
type Refused struct {
	Key      record.Key
	Revision uint64
	Reason   string
}

// entry is an accepted record in its published and its converted form.
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

// Apply applies published records and returns those that were accepted.
//
// The revision comparison protects against a stale platform or a peer that was suspended: either could
// send an older revision, and callers would see a setting revert. It suffices because an accepted
// revision is only replaced by a greater one, and no other code writes entries.
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
		s.recordRefusal(r, err)
		return false
	}
	if refused, ok := s.refused[r.Key()]; ok && refused.Revision < r.Revision {
		delete(s.refused, r.Key())
	}
	if known {
		s.digest ^= recordHash(old.raw)
	}
	s.digest ^= recordHash(r)
	s.entries[r.Key()] = entry{r, value}
	if r.Revision > s.revision {
		s.revision = r.Revision
	}
	return true
}

// maxRefused limits the memory that invalid records can use.
const maxRefused = 1000

func (s *State) recordRefusal(r record.Raw, err error) {
	old, known := s.refused[r.Key()]
	if known && old.Revision >= r.Revision {
		return
	}
	if !known && len(s.refused) >= maxRefused {
		return
	}
	s.refused[r.Key()] = Refused{r.Key(), r.Revision, err.Error()}
}

// recordHash is a record's contribution to the digest. Contributions are combined by XOR, so their order does not matter.
func recordHash(r record.Raw) uint64 {
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

// Revision returns the highest accepted revision.
func (s *State) Revision() uint64 { return s.revision }

// Digest returns a hash that, except for collisions, is equal on two hosts if and only if they have accepted the same revisions.
func (s *State) Digest() uint64 { return s.digest }

// Version returns a number that grows with each change. It is local and not comparable between hosts.
func (s *State) Version() uint64 { return s.version }

// RevisionOf returns the accepted revision of a record, zero if there is none.
func (s *State) RevisionOf(k record.Key) uint64 { return s.entries[k].raw.Revision }

// After returns the accepted records above a revision, including deletions, ordered by revision.
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

// RefusedRecords returns the refused revisions, ordered by key.
func (s *State) RefusedRecords() []Refused {
	out := make([]Refused, 0, len(s.refused))
	for _, r := range s.refused {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key.String() < out[j].Key.String() })
	return out
}

// WorkspaceByKey returns the workspace whose record lists the key's hash, nil if there is none.
func (s *State) WorkspaceByKey(hash string) *record.Workspace {
	return s.Workspace(s.keys[hash])
}

// Workspace returns a workspace by name, nil if there is none.
func (s *State) Workspace(name string) *record.Workspace {
	return s.entries[record.Key{Kind: record.KindWorkspace, Name: name}].value.Workspace
}

// Tier returns a tier by name, nil if there is none.
func (s *State) Tier(name string) *record.Tier {
	return s.entries[record.Key{Kind: record.KindTier, Name: name}].value.Tier
}

// Service returns a service by name, nil if there is none.
func (s *State) Service(name string) *record.Service {
	return s.entries[record.Key{Kind: record.KindService, Name: name}].value.Service
}

// Backend returns a backend server by name, nil if there is none.
func (s *State) Backend(name string) *record.Backend {
	return s.entries[record.Key{Kind: record.KindBackend, Name: name}].value.Backend
}

// Workspaces returns all workspaces, ordered by name.
func (s *State) Workspaces() []*record.Workspace {
	return list(s, func(v record.Value) *record.Workspace { return v.Workspace })
}

// Tiers returns all tiers, ordered by name.
func (s *State) Tiers() []*record.Tier {
	return list(s, func(v record.Value) *record.Tier { return v.Tier })
}

// Services returns all services, ordered by name.
func (s *State) Services() []*record.Service {
	return list(s, func(v record.Value) *record.Service { return v.Service })
}

// Backends returns all backend servers, ordered by name.
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

// Snapshot is an immutable copy of the parts of a configuration that request handling needs.
type Snapshot struct {
	Revision uint64
	keys     map[string]*record.Workspace
	tiers    map[string]*record.Tier
	services map[string]*record.Service
}

// Snapshot returns a copy for use by other goroutines. The copy is shallow, since converted records are never
// changed in place.
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

// WorkspaceByKey returns the workspace that owns the key with the given hash, nil if there is none.
func (s *Snapshot) WorkspaceByKey(hash string) *record.Workspace { return s.keys[hash] }

// Tier returns a tier by name, nil if there is none.
func (s *Snapshot) Tier(name string) *record.Tier { return s.tiers[name] }

// Service returns a service by name, nil if there is none.
func (s *Snapshot) Service(name string) *record.Service { return s.services[name] }
