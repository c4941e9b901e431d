package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
)

// tierMix is one tier's part of a mix.
type tierMix struct {
	name        string
	priority    int
	share       float64 // of the requests
	least, most float64 // tokens of an answer, drawn evenly in their logarithm
	deadline    time.Duration
}

// mix describes a user's fleet and callers.
type mix struct {
	name       string
	zones      int
	hosts      int // in each zone
	engines    int // in each zone
	steps      []time.Duration
	batch      int
	tiers      []tierMix
	workspaces []float64 // shares of the requests
	system     []int     // tokens of each workspace's shared prompt
	cache      int       // prefixes that an engine keeps
}

// agency follows the brief: 4 zones, 12 model engines, short urgent hints beside long summaries.
var agency = mix{
	name: "agency", zones: 4, hosts: 2, engines: 3, batch: 8, cache: 16,
	steps: []time.Duration{6 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 0.2, 4, 60, time.Second},
		{"mid", 5, 0.4, 20, 150, 2500 * time.Millisecond},
		{"low", 1, 0.4, 4, 300, 4 * time.Second},
	},
	workspaces: []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	system:     []int{2048, 1024, 512, 1024, 512},
}

// exchange follows the brief: 3 zones, 9 engines, long condition reports with long prompts.
var exchange = mix{
	name: "exchange", zones: 3, hosts: 3, engines: 3, batch: 8, cache: 12,
	steps: []time.Duration{7 * time.Millisecond, 8 * time.Millisecond, 20 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 0.3, 4, 40, time.Second},
		{"mid", 5, 0.3, 40, 300, 4 * time.Second},
		{"low", 1, 0.4, 4, 80, 4 * time.Second},
	},
	workspaces: []float64{0.5, 0.25, 0.1, 0.1, 0.05},
	system:     []int{4096, 4096, 2048, 1024, 512},
}

// untuned is a mix that nothing was tuned on: one tier only, one workspace that floods.
var untuned = mix{
	name: "untuned", zones: 2, hosts: 2, engines: 4, batch: 6, cache: 16,
	steps: []time.Duration{5 * time.Millisecond, 11 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 1, 4, 300, 4 * time.Second},
	},
	workspaces: []float64{0.85, 0.05, 0.05, 0.05},
	system:     []int{256, 2048, 1024, 64},
}

// job is one planned request.
type job struct {
	at        time.Duration
	tier      int
	workspace int
	tokens    int
	prompt    string
}

// work is the slot-steps that a job takes on an engine that has its shared prefix cached.
func (j job) work() float64 { return float64(j.tokens + 1) }

// draw plans the requests of a run: the load is relative to the fleet's capacity.
func (m mix) draw(load float64, length time.Duration, seed uint64) []job {
	rng := rand.New(rand.NewPCG(seed, 11))
	mean := 0.0
	const samples = 20_000
	probe := rand.New(rand.NewPCG(1, 2))
	for i := 0; i < samples; i++ {
		mean += m.one(probe).work() / samples
	}
	rate := load * m.capacity() / mean
	var jobs []job
	for t := time.Duration(0); ; {
		// Arrivals come in bursts: every second begins with half of its requests in a quarter of it.
		pace := rate * 2 / 3
		if t%time.Second < time.Second/4 {
			pace = rate * 2
		}
		t += time.Duration(rng.ExpFloat64() / pace * float64(time.Second))
		if t > length {
			return jobs
		}
		j := m.one(rng)
		j.at = t
		j.prompt = m.prompt(j.workspace, len(jobs), rng)
		jobs = append(jobs, j)
	}
}

func (m mix) one(rng *rand.Rand) job {
	j := job{tier: pick(rng, len(m.tiers), func(i int) float64 { return m.tiers[i].share }),
		workspace: pick(rng, len(m.workspaces), func(i int) float64 { return m.workspaces[i] })}
	t := m.tiers[j.tier]
	j.tokens = int(math.Exp(math.Log(t.least) + rng.Float64()*(math.Log(t.most)-math.Log(t.least))))
	return j
}

func pick(rng *rand.Rand, n int, share func(int) float64) int {
	x := rng.Float64()
	for i := 0; i < n-1; i++ {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}

func (m mix) prompt(workspace, i int, rng *rand.Rand) string {
	const bytesPerToken = 4
	shared := strings.Repeat(fmt.Sprintf("workspace %d says. ", workspace), m.system[workspace]*bytesPerToken/18)
	return shared + strings.Repeat(fmt.Sprintf("request %d. ", i), 2+rng.IntN(20))
}

// stepTime of an engine whose batch is full.
func (m mix) stepTime(i int) time.Duration {
	return m.steps[i%len(m.steps)] + time.Duration(m.batch-1)*engine.DefaultOptions().StepPerSeq
}

// capacity is the fleet's slot-steps a second.
func (m mix) capacity() float64 {
	sum := 0.0
	for i := 0; i < m.engines; i++ {
		sum += float64(m.batch) / m.stepTime(i).Seconds()
	}
	return sum * float64(m.zones)
}

// bound is the share of each tier's requests that a clairvoyant could answer in time: tiers from
// the top, inside a tier the shortest first, all slots always full, every prefix cached.
func (m mix) bound(jobs []job, length time.Duration) []float64 {
	out := make([]float64, len(m.tiers))
	spent := 0.0
	for t := range m.tiers { // mixes list tiers from the top
		var works []float64
		for _, j := range jobs {
			if j.tier == t {
				works = append(works, j.work())
			}
		}
		sort.Float64s(works)
		left := m.capacity()*(length+m.tiers[t].deadline).Seconds() - spent
		served := 0
		for _, w := range works {
			if left < w {
				break
			}
			left -= w
			spent += w
			served++
		}
		out[t] = 1
		if len(works) > 0 {
			out[t] = float64(served) / float64(len(works))
		}
	}
	return out
}

// records describe the mix to the system, under a policy.
func (m mix) records(policy string) []record.Raw {
	out := []record.Raw{fleet.Service("notes", record.ServiceModel, policy, "mid")}
	var names []string
	for _, t := range m.tiers {
		out = append(out, fleet.Tier(t.name, t.priority, 0, int(t.deadline.Milliseconds())))
		names = append(names, t.name)
	}
	for i := range m.workspaces {
		out = append(out, fleet.Workspace(fmt.Sprint("w", i), fmt.Sprint("key-", i), names, 1))
	}
	return out
}
