// Package routing holds the configuration of the platform's path in this project's terms: routes, services, workspaces
// and limits, and the table that finds a request's route and workspace. All of these are values: once built, a Table is
// shared between goroutines and never changed.
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

// Kind determines which of a route's requests may be retried.
type Kind int

// The kinds. A Streaming request may be retried only if the route is resumable.
const (
	Idempotent Kind = iota + 1
	NonIdempotent
	Streaming
)

// Share is a service that a route sends requests to, with its weight relative to the others.
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
	// Timeout is how long a request may stay unanswered; zero means that only the caller's deadline applies.
	Timeout time.Duration
	// Target is the latency objective: for the complete answer, or for a stream's first event.
	Target time.Duration
	// MaxGap is the longest gap between events with which a stream still counts as on time.
	MaxGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of backend servers that one attempt of a caller may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued at another backend server after their last event.
	Resumable bool
	// Regions are the only regions whose backend servers may serve the route; empty for any.
	Regions []string
}

// Repeatable reports whether a request may be run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

const (
	// minCallerTimeout, callerTimeoutTargets and callerTimeoutGaps determine after which silence callers abandon a stream.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
)

// CallerTimeout returns how long a stream of the route may send nothing, also before its first event, until its caller abandons it:
// the longest of two seconds, four times the latency objective and eight times the longest gap.
func (r *Route) CallerTimeout() time.Duration {
	return max(minCallerTimeout, callerTimeoutTargets*r.Target, callerTimeoutGaps*r.MaxGap)
}

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name string
	// Model is set if the backend servers are model engines, which batch and stream.
	Model bool
	// MaxConns bounds a backend server's connections from all callers together; zero if unknown.
	MaxConns int
	// TokensPerEvent is the number of tokens in a stream event; zero if unknown.
	TokensPerEvent int
	// ColdFor is how long a backend server warms up after its start, and ColdRate how many requests a second it can
	// take meanwhile; zero if its capacity is not reduced.
	ColdFor  time.Duration
	ColdRate float64
}

// Workspace is a customer with its keys and its quota.
type Workspace struct {
	Name string
	Keys []string
	// Priority replaces the route's priority if HasPriority is set.
	Priority    int
	HasPriority bool
	// Weight is the workspace's part of a service's room under overload, relative to the others of its priority; 0 counts as 1.
	Weight float64
	// InTokens is set if Rate and Burst count tokens instead of requests.
	InTokens bool
	// PlainTokens is the cost of a request that states no tokens.
	PlainTokens int
	// Rate is the quota per second over all hosts; zero means no limit. Burst is how much may be used at once above
	// that.
	Rate, Burst float64
	// Regions are the only regions whose backend servers may serve the workspace; empty for any.
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
	// Version increases with each change; a host never returns to a lower one.
	Version    uint64
	Routes     []Route
	Services   []Service
	Workspaces []Workspace
	Limits     Limits
}

// Backend is a backend server as registered.
type Backend struct {
	ID string
	// Start is when this process of the backend server started, in Unix milliseconds. It is zero if the server does not
	// register it; each start then has an ID of its own. The state kept about a backend server applies to one start of
	// it.
	Start   uint64
	Addr    string
	Zone    string
	Service string
	// Version is the version of its software; empty if it is unknown, as from a host that does not report it.
	Version  string
	Slots    int
	Draining bool
	// Cold is for how much longer the backend server can take only few requests, at the time of its registration.
	Cold time.Duration
	// Model is set if it registered as a model engine, with the models that it serves.
	Model bool
}

// Table is a configuration prepared for look-ups.
type Table struct {
	Config         *Config
	routesByHost   map[string][]*Route
	workspaceByKey map[string]*Workspace
	services       map[string]*Service
	ranks          map[urgency]float64
}

// urgency orders requests first by the workspace's priority and then, among workspaces of equal priority, by the
// route's.
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

// Rank returns the urgency of a request relative to all others in the configuration, evenly spaced from 0 for the most
// urgent to LeastUrgent.
func (t *Table) Rank(r *Route, w *Workspace) float64 {
	if rank, ok := t.ranks[urgencyOf(r, w)]; ok {
		return rank
	}
	return LeastUrgent
}

func rankAll(c *Config) map[urgency]float64 {
	ranks := map[urgency]float64{}
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Public || len(c.Workspaces) == 0 {
			ranks[urgencyOf(r, nil)] = 0
			continue
		}
		for j := range c.Workspaces {
			ranks[urgencyOf(r, &c.Workspaces[j])] = 0
		}
	}
	order := slices.SortedFunc(maps.Keys(ranks), urgency.compare)
	for i, u := range order {
		if len(order) > 1 {
			ranks[u] = LeastUrgent * float64(i) / float64(len(order)-1)
		}
	}
	return ranks
}

// NewTable prepares a configuration, which must not change afterwards.
func NewTable(c *Config) *Table {
	t := &Table{Config: c, routesByHost: map[string][]*Route{}, workspaceByKey: map[string]*Workspace{}, services: map[string]*Service{},
		ranks: rankAll(c)}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			t.workspaceByKey[k] = w
		}
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Match returns the route with the longest prefix of an unmodified path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.routesByHost[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// HostName returns the name in a Host header: without a port, in lower case.
func HostName(header string) string {
	if name, _, err := net.SplitHostPort(header); err == nil {
		header = name
	}
	return strings.ToLower(header)
}

// Workspace returns the workspace that a key belongs to, or nil.
func (t *Table) Workspace(key string) *Workspace { return t.workspaceByKey[key] }

// HasWorkspaces reports whether routes that are not public need a key.
func (t *Table) HasWorkspaces() bool { return len(t.Config.Workspaces) > 0 }

// Service returns a service by name, or nil if it is not configured.
func (t *Table) Service(name string) *Service { return t.services[name] }

// BackendChange is a backend server's registration or its removal.
type BackendChange struct {
	Backend
	// Revision orders the changes of one backend server; it is the same on every host.
	Revision Revision
	Removed  bool
	// Foreign, with Removed, is set if something other than the backend server overwrote its registration. Unlike a
	// lapsed registration, that gives no reason to assume that the backend server is still running.
	Foreign bool
	// Age is how long ago the sending host learned of the change; zero if it was read from the store.
	Age time.Duration `json:",omitempty"`
}

// Changes are updates of the configuration and of the backend servers.
type Changes struct {
	// Config is nil if it has not changed.
	Config      *Config
	Backends    []BackendChange
	Evacuations []Evacuation `json:",omitempty"`
}

// Evacuation is an operator's request to send nothing more to the backend servers of an availability zone, or the end
// of that request.
type Evacuation struct {
	Zone     string
	Revision Revision
	Ended    bool
}
