package core_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"fireflyshift/internal/ticket"
)

// TestMain fixes the seed unless one is given, so that CI gets the same result every run. "make soak" runs
// longer with fresh seeds.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" && os.Getenv("FIREFLYSHIFT_SOAK") == "" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	if os.Getenv("FIREFLYSHIFT_SOAK") == "" && flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "60")
	}
	code := m.Run()
	fmt.Printf("randomised runs: %d reducer steps, %d faults, %d requests shed\n", totalSteps, totalFaults, totalSheds)
	os.Exit(code)
}

var totalSteps, totalFaults, totalSheds int

// TestPromisesUnderFaults applies random actions of callers and operators and random faults to six hosts
// in two availability zones.
//
// It guards against requests that run twice, answers that never come, refusals that are not true, and
// settings that revert. The faults come in any order: kills, pauses longer than every lease, network
// partitions, a platform that is down or stale, and backend servers that refuse connections, lose answers
// or leave.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), rt.Fatalf)
		w.advance(2 * time.Second)
		rt.Repeat(actions(w))
		w.heal()
		w.advance(15 * time.Second)
		w.checkFinalState()
		totalSteps += w.steps
		totalFaults += w.faults
		totalSheds += w.sheds
	})
}

func actions(w *world) map[string]func(*rapid.T) {
	host := func(rt *rapid.T) *fakeHost { return w.hosts[rapid.SampledFrom(w.ids).Draw(rt, "host")] }
	backend := func(rt *rapid.T) *fakeBackend {
		return w.backends[rapid.SampledFrom([]string{"za-m1", "za-m2", "za-p1", "zb-m1", "zb-m2", "zb-p1"}).Draw(rt, "backend")]
	}
	zone := func(rt *rapid.T) string { return rapid.SampledFrom(fakeZones).Draw(rt, "zone") }
	some := func(rt *rapid.T) []string {
		return rapid.SliceOfNDistinct(rapid.SampledFrom(w.ids), 1, 6, rapid.ID).Draw(rt, "hosts")
	}
	faulty := func(f func(*rapid.T)) func(*rapid.T) {
		return func(rt *rapid.T) { w.faults++; w.lastFaultAt = w.now; f(rt) }
	}
	outage := func(f func(*rapid.T)) func(*rapid.T) {
		return faulty(func(rt *rapid.T) { w.lastOutageAt = w.now; f(rt) })
	}
	return map[string]func(*rapid.T){
		"wait": func(rt *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 80).Draw(rt, "ticks")) * 10 * time.Millisecond)
		},
		"wait long": func(rt *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 6).Draw(rt, "seconds")) * time.Second)
		},
		"wait very long": func(*rapid.T) { w.advance(18 * time.Second) },
		"burst": func(rt *rapid.T) {
			service := rapid.SampledFrom([]string{modelService, plainService}).Draw(rt, "service")
			for i := rapid.IntRange(1, 40).Draw(rt, "size"); i > 0; i-- {
				op := &operation{id: len(w.ops)}
				w.ops = append(w.ops, op)
				w.submit(host(rt), op, service, uint32(rapid.IntRange(0, 2).Draw(rt, "priority")), false)
			}
		},
		"ticketed": func(rt *rapid.T) {
			home := host(rt)
			t := ticket.Ticket{Home: home.id, Incarnation: home.incarnation, Issued: home.clock(w.now), Nonce: fmt.Sprint(len(w.ops))}
			op := &operation{id: len(w.ops), ticket: &t}
			w.ops = append(w.ops, op)
			w.submit(host(rt), op, plainService, 2, true)
		},
		"try again": func(rt *rapid.T) {
			var ticketed []*operation
			for _, op := range w.ops {
				if op.ticket != nil {
					ticketed = append(ticketed, op)
				}
			}
			if len(ticketed) == 0 {
				return
			}
			w.submit(host(rt), rapid.SampledFrom(ticketed).Draw(rt, "op"), plainService, 2, true)
		},
		"kill and replace": outage(func(rt *rapid.T) {
			h := host(rt)
			w.kill(h)
			if rapid.Bool().Draw(rt, "at once") {
				w.start(h.id, h.zone)
			}
		}),
		"replace": func(rt *rapid.T) {
			if h := host(rt); !h.alive {
				w.start(h.id, h.zone)
			}
		},
		"drain": func(rt *rapid.T) {
			if h := host(rt); h.alive && !h.paused {
				w.drain(h)
			}
		},
		"stop": outage(func(rt *rapid.T) {
			if h := host(rt); h.alive && !h.paused {
				w.stop(h)
			}
		}),
		"pause": faulty(func(rt *rapid.T) { host(rt).paused = true }),
		"wake":  func(rt *rapid.T) { w.resume(host(rt)) },
		"cut zones": outage(func(*rapid.T) {
			w.cut[[2]string{"za", "zb"}], w.cut[[2]string{"zb", "za"}] = true, true
		}),
		"cut one way": outage(func(rt *rapid.T) {
			if zone(rt) == "za" {
				w.cut[[2]string{"za", "zb"}] = true
			} else {
				w.cut[[2]string{"zb", "za"}] = true
			}
		}),
		"cut inside": outage(func(rt *rapid.T) { z := zone(rt); w.cut[[2]string{z, z}] = true }),
		"heal cuts":  func(*rapid.T) { w.cut = map[[2]string]bool{} },
		"platform down": outage(func(rt *rapid.T) {
			for _, id := range some(rt) {
				w.platform.down[id] = true
			}
		}),
		"zone cut from platform": outage(func(rt *rapid.T) {
			z := zone(rt)
			for _, id := range w.ids {
				if w.hosts[id].zone == z {
					w.platform.down[id] = true
				}
			}
		}),
		"platform stale": outage(func(rt *rapid.T) {
			behind := rapid.IntRange(0, 5).Draw(rt, "behind")
			for _, id := range some(rt) {
				w.platform.stale[id] = len(w.platform.log) - behind
			}
		}),
		"platform back": func(*rapid.T) {
			w.platform.down, w.platform.stale = map[string]bool{}, map[string]int{}
		},
		"server refuses": outage(func(rt *rapid.T) { b := backend(rt); b.down = !b.down }),
		"answers lost":   outage(func(rt *rapid.T) { b := backend(rt); b.losesAnswers = !b.losesAnswers }),
		"leave":          func(rt *rapid.T) { w.publishBackend(backend(rt).name, true) },
		"return":         func(rt *rapid.T) { w.publishBackend(backend(rt).name, false) },
		"delete and publish tier": func(rt *rapid.T) {
			w.publish("tier", "low", nil)
			if rapid.Bool().Draw(rt, "again") {
				w.publish("tier", "low", map[string]any{"priority": 0})
			}
		},
		"bad record": func(*rapid.T) {
			w.publish("tier", "mid", map[string]any{"priority": 99})
			w.publish("tier", "mid", map[string]any{"priority": 1})
		},
	}
}
