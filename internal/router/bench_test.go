package router

import (
	"fmt"
	"testing"
	"time"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/routing"
)

// BenchmarkDecision measures one decision and its end, among engines that hold some requests each.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{12, 112, 1000} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			r := New(Options{Host: "10.0.0.1", Zone: "z0", Incarnation: 1, Seed: 1})
			n := Update{FromStore: true, Full: true, AsOf: rev(50), Changes: routing.Changes{Config: &routing.Config{Version: 1,
				Services: []routing.Service{{Name: "m", Model: true, TokensPerEvent: 3}}}}}
			for i := 0; i < engines; i++ {
				n.Backends = append(n.Backends, changeOf(fmt.Sprintf("e%04d", i), 10, false))
			}
			r.Reduce(0, n)
			for i, be := range r.allBackends() {
				be.othersLoad.counts[0] = i % 5
				be.learnEventInterval(time.Duration(10+i%7) * time.Millisecond)
				be.learnPrefill(time.Duration(10+i%5) * time.Microsecond)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := 0; i < b.N; i++ {
				id := uint64(i + 1)
				r.Reduce(time.Second, Submit{ID: id, Route: urgentRoute, PromptTok: 2000, OutputTok: 300, Deadline: 10 * time.Second})
				r.Reduce(time.Second, CallerLeft{ID: id})
			}
		})
	}
}

// BenchmarkOccupancy measures one owner's report on ten backend servers. Its cost must not grow with those not listed.
func BenchmarkOccupancy(b *testing.B) {
	for _, engines := range []int{120, 3000} {
		b.Run(fmt.Sprintf("%d engines", engines), func(b *testing.B) {
			z := newZones(b, 1, 20, 20)
			h := z.hosts[0].r
			n := Update{FromStore: true, After: rev(50), AsOf: rev(50)}
			for i := range engines {
				n.Backends = append(n.Backends, changeOf(fmt.Sprintf("f%04d", i), 60, false))
			}
			h.Reduce(z.now, n)
			occupancy := &gossippb.Occupancy{}
			for _, be := range h.allBackends()[:10] {
				occupancy.Loads = append(occupancy.Loads, be.totalLoad().toProto(be.hash))
			}
			from := h.zonePeers()[0]
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.Reduce(z.now, OccupancyReceived{from, occupancy})
			}
		})
	}
}
