// Package routing holds the configuration of the platform's path in the project's own terms: routes,
// services, workspaces and limits, and the table that finds a request's route and workspace.
// Everything here is a value: once built, a Table is shared between goroutines and never changed.
package routing

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sort"
	"strings"
	"time"
)

// Kind tells what may be repeated of a route's requests.
type Kind int

// The kinds. A Streaming request is repeatable only where the route is resumable.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Streaming
)

// Share is one service that a route sends requests to, with its weight among the others.
type Share struct {
	Service string
	Weight  float64
}

// Route is one entry of the routing table.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is how long a request may stay unanswered; zero means only the caller's deadline.
	Timeout time.Duration
	// Target is the latency objective: to the whole answer, or to a stream's first event.
	Target time.Duration
	// MaxGap is the longest pause between events of a stream that still counts as on time.
	MaxGap time.Duration
	// Priority is the rank of the route's requests: 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the backend servers that one caller's attempt may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another backend server after their last event.
	Resumable bool
	// Regions are the only ones whose backend servers may serve the route; empty for any.
	Regions []string
}

// Repeatable tells whether a second run of a request is allowed.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name string
	// Model tells that the backend servers are model engines, which batch and stream.
	Model bool
	// MaxConns bounds a backend server's connections from all callers together; zero where unknown.
	MaxConns int
	// TokensPerEvent is how many tokens an event of a stream holds; zero where unknown.
	TokensPerEvent int
	// ColdFor is how long a backend server is cold after its start, and ColdRate how many requests a second it bears meanwhile;
	// zero where it bears as many as ever.
	ColdFor  time.Duration
	ColdRate float64
}

// Workspace is a customer with its keys and its quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's priority where HasPriority is set.
	Priority    int
	HasPriority bool
	// InTokens tells that Rate and Burst count tokens, otherwise requests.
	InTokens bool
	// PlainTokens is the cost of a request that states no tokens.
	PlainTokens int
	// Rate is the quota a second over all hosts; zero means no limit. Burst is what it may exceed
	// that by at once.
	Rate, Burst float64
	// Regions are the only ones whose backend servers may serve the workspace; empty for any.
	Regions []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version rises with each change; a host never goes back to a lower one.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Backend is one backend server as it has registered itself.
type Backend struct {
	ID string
	// Start is when this start of the backend server began, in Unix milliseconds; zero where it does not
	// tell, and then each start has an ID of its own. What is known of a backend server is known of one
	// start of it.
	Start    uint64
	Addr     string
	Zone     string
	Service  string
	Slots    int
	Draining bool
	// Cold is how much longer it bears few requests only, at the time of its registration.
	Cold time.Duration
	// Model tells that it registered as a model engine, with the models that it serves.
	Model bool
}

// Table is a configuration prepared for look-ups.
type Table struct {
	Config   *Config
	hosts    map[string][]*Route
	keys     map[string]*Workspace
	services map[string]*Service
	ranks    map[urgency]float64
}

// urgency orders requests: first by the workspace's priority, which takes precedence, then by the
// route's, which decides where workspaces are alike.
type urgency struct{ workspace, route int }

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.workspace, v.workspace), cmp.Compare(u.route, v.route))
}

func urgencyOf(r *Route, w *Workspace) urgency {
	if w != nil && w.HasPriority {
		return urgency{w.Priority, r.Priority}
	}
	return urgency{r.Priority, r.Priority}
}

// LeastUrgent is the rank of the least urgent requests of a configuration.
const LeastUrgent = 2.0

// Rank is how urgent a request is among all that the configuration knows: 0 for the most urgent,
// LeastUrgent for the least, evenly spaced between.
func (t *Table) Rank(r *Route, w *Workspace) float64 {
	if rank, ok := t.ranks[urgencyOf(r, w)]; ok {
		return rank
	}
	return LeastUrgent
}

func rankAll(c *Config) map[urgency]float64 {
	seen := map[urgency]float64{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || len(c.Workspaces) == 0 {
			seen[urgencyOf(r, nil)] = 0
			continue
		}
		for j := range c.Workspaces {
			seen[urgencyOf(r, &c.Workspaces[j])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(seen), urgency.compare)
	for i, u := range order {
		if len(order) > 1 {
			seen[u] = LeastUrgent * float64(i) / float64(len(order)-1)
		}
	}
	return seen
}

// NewTable prepares a configuration, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, hosts: map[string][]*Route{}, keys: map[string]*Workspace{}, services: map[string]*Service{},
		ranks: rankAll(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.keys[k] = w
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match finds the route with the longest prefix of a path as it was sent; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostName is the name in a Host header: without a port, in lower case.
func HostName(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}

// Workspace finds the holder of a key; nil if no workspace holds it.
func (t *Table) Workspace(key string) *Workspace { return t.keys[key] }

// HasWorkspaces tells whether routes that are not public need a key.
func (t *Table) HasWorkspaces() bool { return len(t.Config.Workspaces) > 0 }

// Service finds a service by name; nil if it is not configured.
func (t *Table) Service(name string) *Service { return t.services[name] }

// BackendChange is a backend server's registration or its removal.
type BackendChange struct {
	Backend
	// Revision orders the changes of one backend server; it is the same on every host.
	Revision Revision
	Removed  bool
	// Foreign, with Removed, tells that something else than the backend server wrote the registration:
	// unlike a lapsed one, it is no reason to believe that the backend server is still there.
	Foreign bool
}

// Changes are news of the configuration and of the backend servers.
type Changes struct {
	// Config is nil where it has not changed.
	Config      *Config
	Backends    []BackendChange
	Evacuations []Evacuation `json:",omitempty"`
}

// Evacuation is an operator's request that nothing more is sent to the backend servers of an availability zone, or its end.
type Evacuation struct {
	Zone     string
	Revision Revision
	Ended    bool
}
