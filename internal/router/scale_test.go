package router

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// perHost returns what a host sends per second in a fleet of four zones, at five engines per host and three requests per second
// and host.
func perHost(t *testing.T, hosts int) (datagrams, bytes float64) {
	const zones, seconds = 4, 3
	z := newZones(t, zones, hosts, 5*hosts)
	z.run(2*time.Second, 3*zones*hosts)
	z.datagrams, z.bytes = 0, 0
	z.run(seconds*time.Second, 3*zones*hosts)
	require.Less(t, z.refused, z.dispatched/100)
	all := float64(seconds * zones * hosts)
	return float64(z.datagrams) / all, float64(z.bytes) / all
}

// Guards against control traffic that grows with the square of the fleet: at the same load per host, what a host sends grows
// slower than the square root of the number of hosts, and stays below the operators' 18 KB a second.
func TestControlGrowsSlowerThanTheRootOfTheFleet(t *testing.T) {
	t.Parallel()
	small, large := 12, 50
	d0, b0 := perHost(t, small)
	d1, b1 := perHost(t, large)
	root := math.Sqrt(float64(large) / float64(small))
	t.Logf("%.0f and %.0f datagrams, %.1f and %.1f KB a second and host", d0, d1, b0/1000, b1/1000)
	require.Less(t, d1/d0, root)
	require.Less(t, b1/b0, root)
	require.Less(t, b1, 18_000.0)
}

// BenchmarkFleet measures the cost of a second of a host in a fleet of four zones with ten engines per host.
func BenchmarkFleet(b *testing.B) {
	for _, hosts := range []int{12, 25, 75} {
		b.Run(fmt.Sprintf("4 zones of %d", hosts), func(b *testing.B) {
			z := newZones(b, 4, hosts, 10*hosts)
			for range b.N {
				z.datagrams, z.bytes = 0, 0
				began := time.Now()
				z.run(2*time.Second, 0)
				idle, idleDg, idleB := time.Since(began), z.datagrams, z.bytes
				z.run(2*time.Second, 4*hosts*6)
				z.datagrams, z.bytes = 0, 0
				began = time.Now()
				z.run(2*time.Second, 4*hosts*6)
				per := float64(2 * 4 * hosts)
				b.ReportMetric(float64(idle.Microseconds())/per, "idle-us/host/s")
				b.ReportMetric(float64(time.Since(began).Microseconds())/per, "us/host/s")
				b.ReportMetric(float64(z.datagrams)/per, "dg/host/s")
				b.ReportMetric(float64(z.bytes)/per, "B/host/s")
				b.ReportMetric(float64(idleDg)/per, "idle-dg/host/s")
				b.ReportMetric(float64(idleB)/per, "idle-B/host/s")
			}
		})
	}
}
