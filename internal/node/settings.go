// Package node is one host on the platform's path: the control thread around the reducer, the
// reading of the store, the listeners, start and stop. It wires; decisions are the reducer's.
package node

import (
	"time"

	"fireflyshift/internal/router"
)

// Settings are the checked settings of a host on the platform.
type Settings struct {
	Name     string
	IP       string
	Zone     string
	Regions  map[string]string // of all availability zones
	Callers  string            // address for callers
	Ready    string            // address for the balancer's question
	Admin    string            // address for operators; empty where none is given
	Metrics  string            // address for metrics; empty for none
	PeerPort int               // for links between hosts, the same on all
	Seeds    []string
	Store    string
	MemoryMB int
	// LinkMbps is the speed of the host's link; zero where unknown.
	LinkMbps float64
	Cores    int
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// Notice is how long a stopping host stays at least, until the balancer knows.
	Notice time.Duration
	Bounds router.Bounds
}
