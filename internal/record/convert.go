package record

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/fault"
)

// Limits on the contents of records.
const (
	MaxPriority  = 15
	MaxSlots     = 4096
	MaxBodyBytes = 256 << 10
	maxKeys      = 64
	maxTiers     = 64
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// converter decodes the body of one kind in one schema version.
type converter func(r Raw) (Value, error)

// converters holds the converters by schema version. Schema 1 is the older form of records, schema 2 the newer.
var converters = map[uint32]map[Kind]converter{
	1: {KindWorkspace: workspaceV1, KindTier: tierV1, KindService: serviceV1, KindBackend: backendV1},
	2: {KindWorkspace: workspaceV2, KindTier: tierV2, KindService: serviceV2, KindBackend: backendV2},
}

// Convert validates a record and returns its internal form. A deletion gives the zero Value.
func Convert(r Raw) (Value, error) {
	if !namePattern.MatchString(r.Name) {
		return Value{}, invalid(r, "name", "use lower-case letters, digits, dots and dashes, at most 63", "name %q is not allowed", r.Name)
	}
	if r.Revision == 0 {
		return Value{}, invalid(r, "revision", "publish through the platform, which numbers revisions from 1", "revision is 0")
	}
	if len(r.Body) > MaxBodyBytes {
		return Value{}, invalid(r, "body", "split the record", "body is %d bytes, more than %d", len(r.Body), MaxBodyBytes)
	}
	kinds, ok := converters[r.Schema]
	if !ok {
		return Value{}, invalid(r, "schema", "use schema 1 or 2, or update fireflyshiftd first", "schema %d is unknown", r.Schema)
	}
	convert, ok := kinds[r.Kind]
	if !ok {
		return Value{}, invalid(r, "kind", "use workspace, tier, service or backend", "kind %q is unknown", r.Kind)
	}
	if r.Deleted {
		return Value{}, nil
	}
	v, err := convert(r)
	return v, trace.Wrap(err)
}

func invalid(r Raw, field, remedy, format string, args ...any) error {
	return fault.Invalidf(r.Key().String()+" field "+field, remedy, format, args...)
}

// decode refuses unknown fields: most are misspelt, and would be ignored silently otherwise.
func decode(r Raw, into any) error {
	d := json.NewDecoder(bytes.NewReader(r.Body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return invalid(r, "body", "correct the JSON; docs/OPERATORS.md lists the fields of schema 1 and 2", "%v", err)
	}
	return nil
}

type workspaceBodyV1 struct {
	KeySHA256 []string `json:"key_sha256"`
	Tiers     []string `json:"tiers"`
	Weight    float64  `json:"weight"`
	Limits    struct {
		RequestsPerSecond float64 `json:"requests_per_second"`
		Burst             int     `json:"burst"`
	} `json:"limits"`
}

func workspaceV1(r Raw) (Value, error) {
	var b workspaceBodyV1
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	w := &Workspace{Name: r.Name, KeyHashes: b.KeySHA256, Tiers: b.Tiers, Weight: b.Weight,
		Rate: b.Limits.RequestsPerSecond, Burst: b.Limits.Burst}
	return checkWorkspace(r, w)
}

type workspaceBodyV2 struct {
	Keys []struct {
		SHA256 string `json:"sha256"`
		Note   string `json:"note"`
	} `json:"keys"`
	Grants struct {
		Tiers        []string `json:"tiers"`
		SharePercent float64  `json:"share_percent"`
	} `json:"grants"`
	Rate struct {
		PerMinute float64 `json:"per_minute"`
		Burst     int     `json:"burst"`
	} `json:"rate"`
}

func workspaceV2(r Raw) (Value, error) {
	var b workspaceBodyV2
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	w := &Workspace{Name: r.Name, Tiers: b.Grants.Tiers, Weight: b.Grants.SharePercent / 100,
		Rate: b.Rate.PerMinute / 60, Burst: b.Rate.Burst}
	for _, k := range b.Keys {
		w.KeyHashes = append(w.KeyHashes, k.SHA256)
	}
	return checkWorkspace(r, w)
}

func checkWorkspace(r Raw, w *Workspace) (Value, error) {
	if len(w.KeyHashes) == 0 || len(w.KeyHashes) > maxKeys {
		return Value{}, invalid(r, "keys", "give 1 to 64 keys", "%d keys", len(w.KeyHashes))
	}
	for _, h := range w.KeyHashes {
		if !hashPattern.MatchString(h) {
			return Value{}, invalid(r, "keys", "give the SHA-256 of the key as 64 lower-case hex digits, never the key", "a key hash is malformed")
		}
	}
	if len(w.Tiers) == 0 || len(w.Tiers) > maxTiers {
		return Value{}, invalid(r, "tiers", "list 1 to 64 tiers", "%d tiers", len(w.Tiers))
	}
	if w.Weight == 0 {
		w.Weight = 1
	}
	if w.Weight < 0.01 || w.Weight > 1000 {
		return Value{}, invalid(r, "weight", "use 0.01 to 1000", "weight %g is out of range", w.Weight)
	}
	if w.Rate < 0 || w.Burst < 0 {
		return Value{}, invalid(r, "limits", "use zero for no limit, else a positive number", "a limit is negative")
	}
	if w.Rate > 0 && w.Burst == 0 {
		w.Burst = int(w.Rate) + 1
	}
	return Value{Workspace: w}, nil
}

type tierBodyV1 struct {
	Priority       *uint32 `json:"priority"`
	ReservePercent int     `json:"reserve_percent"`
	DeadlineMS     int64   `json:"deadline_ms"`
}

func tierV1(r Raw) (Value, error) {
	var b tierBodyV1
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	return checkTier(r, b.Priority, &Tier{Name: r.Name, ReservePercent: b.ReservePercent,
		Deadline: time.Duration(b.DeadlineMS) * time.Millisecond})
}

type tierBodyV2 struct {
	Urgency *uint32 `json:"urgency"`
	Reserve float64 `json:"reserve"`
	Answer  struct {
		WithinSeconds float64 `json:"within_seconds"`
	} `json:"answer"`
}

func tierV2(r Raw) (Value, error) {
	var b tierBodyV2
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	return checkTier(r, b.Urgency, &Tier{Name: r.Name, ReservePercent: int(b.Reserve * 100),
		Deadline: time.Duration(b.Answer.WithinSeconds * float64(time.Second))})
}

func checkTier(r Raw, priority *uint32, t *Tier) (Value, error) {
	if priority == nil || *priority > MaxPriority {
		return Value{}, invalid(r, "priority", "give 0 (lowest) to 15 (most urgent)", "priority is missing or out of range")
	}
	t.Priority = *priority
	if t.ReservePercent < 0 || t.ReservePercent > 90 {
		return Value{}, invalid(r, "reserve", "reserve 0 to 90 percent", "reserve of %d percent is out of range", t.ReservePercent)
	}
	if t.Deadline == 0 {
		t.Deadline = DefaultDeadline
	}
	if t.Deadline < MinDeadline || t.Deadline > MaxDeadline {
		return Value{}, invalid(r, "deadline", "use 10 ms to 1 h", "deadline %s is out of range", t.Deadline)
	}
	return Value{Tier: t}, nil
}

// Default and limits of the deadline that a tier or a caller may set.
const (
	DefaultDeadline = 30 * time.Second
	MinDeadline     = 10 * time.Millisecond
	MaxDeadline     = time.Hour
)

type serviceBodyV1 struct {
	Kind        ServiceKind `json:"kind"`
	Policy      string      `json:"policy"`
	DefaultTier string      `json:"default_tier"`
}

func serviceV1(r Raw) (Value, error) {
	var b serviceBodyV1
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	return checkService(r, &Service{Name: r.Name, Kind: b.Kind, Policy: b.Policy, DefaultTier: b.DefaultTier})
}

type serviceBodyV2 struct {
	Engine  bool `json:"engine"`
	Routing struct {
		Policy string `json:"policy"`
	} `json:"routing"`
	Tier string `json:"tier"`
}

func serviceV2(r Raw) (Value, error) {
	var b serviceBodyV2
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	kind := ServicePlain
	if b.Engine {
		kind = ServiceModel
	}
	return checkService(r, &Service{Name: r.Name, Kind: kind, Policy: b.Routing.Policy, DefaultTier: b.Tier})
}

// Policies lists the scheduling policies that a service record may use. The first one is the default.
var Policies = []string{"cost", "round-robin", "random", "least-loaded", "two-choices", "prefix", "first-come"}

func checkService(r Raw, s *Service) (Value, error) {
	if s.Kind != ServiceModel && s.Kind != ServicePlain {
		return Value{}, invalid(r, "kind", "use model or plain", "kind %q is unknown", s.Kind)
	}
	if s.Policy == "" {
		s.Policy = Policies[0]
	}
	for _, p := range Policies {
		if p == s.Policy {
			return Value{Service: s}, nil
		}
	}
	return Value{}, invalid(r, "policy", "use one of "+strings.Join(Policies, ", "), "policy %q is unknown", s.Policy)
}

type backendBodyV1 struct {
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Addr    string `json:"addr"`
	Slots   int    `json:"slots"`
	State   string `json:"state"`
	Suspend bool   `json:"suspend"`
}

func backendV1(r Raw) (Value, error) {
	var b backendBodyV1
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	return checkBackend(r, b.State, &Backend{Name: r.Name, Service: b.Service, Zone: b.Zone, Addr: b.Addr,
		Slots: b.Slots, CanSuspend: b.Suspend})
}

type backendBodyV2 struct {
	Serves   string `json:"serves"`
	Location struct {
		Zone string `json:"zone"`
		IP   string `json:"ip"`
		Port uint16 `json:"port"`
	} `json:"location"`
	Capacity struct {
		Concurrent int `json:"concurrent"`
	} `json:"capacity"`
	Leaving  bool     `json:"leaving"`
	Features []string `json:"features"`
}

func backendV2(r Raw) (Value, error) {
	var b backendBodyV2
	if err := decode(r, &b); err != nil {
		return Value{}, err
	}
	addr := ""
	if ip, err := netip.ParseAddr(b.Location.IP); err == nil {
		addr = netip.AddrPortFrom(ip, b.Location.Port).String()
	}
	state := "active"
	if b.Leaving {
		state = "leaving"
	}
	out := &Backend{Name: r.Name, Service: b.Serves, Zone: b.Location.Zone, Addr: addr, Slots: b.Capacity.Concurrent}
	for _, f := range b.Features {
		out.CanSuspend = out.CanSuspend || f == "suspend"
	}
	return checkBackend(r, state, out)
}

func checkBackend(r Raw, state string, b *Backend) (Value, error) {
	if b.Service == "" || b.Zone == "" {
		return Value{}, invalid(r, "service, zone", "name the service and the availability zone", "one is missing")
	}
	if a, err := netip.ParseAddrPort(b.Addr); err != nil || a.Port() == 0 {
		return Value{}, invalid(r, "addr", "give an IP address and a port, such as 10.0.0.1:8000", "address %q is not usable", b.Addr)
	}
	if b.Slots < 1 || b.Slots > MaxSlots {
		return Value{}, invalid(r, "slots", "give 1 to 4096", "%d slots", b.Slots)
	}
	switch state {
	case "", "active":
	case "leaving":
		b.Leaving = true
	default:
		return Value{}, invalid(r, "state", "use active or leaving", "state %q is unknown", state)
	}
	return Value{Backend: b}, nil
}
