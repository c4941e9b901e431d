package router

import (
	"fmt"
	"testing"
	"time"
)

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
