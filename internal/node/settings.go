// Package node runs one host on the platform: the control thread around the reducer, the store
// reader, the listeners, start and shutdown. All scheduling decisions are made by the reducer.
package node

import (
	"time"

	"fireflyshift/internal/router"
)

// Settings are the validated settings of a host on the platform.
type Settings struct {
	Name     string
	IP       string
	Zone     string
	Regions  map[string]string // regions by availability zone
	Callers  string            // listen address for callers
	Ready    string            // listen address for the load balancer's readiness probe
	Admin    string            // listen address for operators; empty for none
	Metrics  string            // listen address for metrics; empty for none
	PeerPort int               // port for traffic between hosts, the same on all hosts
	Seeds    []string
	Store    string
	MemoryMB int
	// MaxDescriptors is the number of file descriptors that the process may have; zero if unknown.
	MaxDescriptors int
	// LinkMbps is the speed of the host's network link in Mbit/s; zero if unknown.
	LinkMbps float64
	Cores    int
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
	// BalancerDelay is the minimum time for which a stopping host keeps serving, until the load balancer has noticed that
	// it is not ready.
	BalancerDelay time.Duration
	Bounds        router.Bounds
	// Admission are the settings of admission queues; zero if nothing configures them.
	Admission router.AdmissionSettings
	// Balancing are the settings of load balancing; nil if nothing configures them.
	Balancing *router.BalancingSettings
}

func (s *Settings) balancing() router.BalancingSettings {
	if s.Balancing == nil {
		return router.BalancingSettings{}
	}
	return *s.Balancing
}
