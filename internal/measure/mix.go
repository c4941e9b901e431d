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

// tierMix describes the requests of one tier in a mix.
type tierMix struct {
	name                 string
	priority             int
	share                float64 // of the requests
	minTokens, maxTokens float64 // range of the response's tokens, drawn log-uniformly
	deadline             time.Duration
}

// mix describes a fleet and the requests of its callers.
type mix struct {
	name         string
	zones        int
	hosts        int // in each zone
	engines      int // in each zone
	stepTimes    []time.Duration
	batch        int
	tiers        []tierMix
	workspaces   []float64 // shares of the requests
	systemTokens []int     // tokens of each workspace's shared prompt prefix
	cacheEntries int       // capacity of an engine's prefix cache
}

// agency models a fleet of 4 zones and 12 model engines with short urgent hints and long summaries.
var agency = mix{
	name: "agency", zones: 4, hosts: 2, engines: 3, batch: 8, cacheEntries: 16,
	stepTimes: []time.Duration{6 * time.Millisecond, 9 * time.Millisecond, 15 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 0.2, 4, 60, time.Second},
		{"mid", 5, 0.4, 20, 150, 2500 * time.Millisecond},
		{"low", 1, 0.4, 4, 300, 4 * time.Second},
	},
	workspaces:   []float64{0.4, 0.3, 0.15, 0.1, 0.05},
	systemTokens: []int{2048, 1024, 512, 1024, 512},
}

// exchange models a fleet of 3 zones and 9 engines with long condition reports and long prompts.
var exchange = mix{
	name: "exchange", zones: 3, hosts: 3, engines: 3, batch: 8, cacheEntries: 12,
	stepTimes: []time.Duration{7 * time.Millisecond, 8 * time.Millisecond, 20 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 0.3, 4, 40, time.Second},
		{"mid", 5, 0.3, 40, 300, 4 * time.Second},
		{"low", 1, 0.4, 4, 80, 4 * time.Second},
	},
	workspaces:   []float64{0.5, 0.25, 0.1, 0.1, 0.05},
	systemTokens: []int{4096, 4096, 2048, 1024, 512},
}

// untuned is a mix that was not used for tuning: a single tier, and one workspace that sends most of the requests.
var untuned = mix{
	name: "untuned", zones: 2, hosts: 2, engines: 4, batch: 6, cacheEntries: 16,
	stepTimes: []time.Duration{5 * time.Millisecond, 11 * time.Millisecond, 12 * time.Millisecond, 30 * time.Millisecond},
	tiers: []tierMix{
		{"top", 10, 1, 4, 300, 4 * time.Second},
	},
	workspaces:   []float64{0.85, 0.05, 0.05, 0.05},
	systemTokens: []int{256, 2048, 1024, 64},
}

// job is one planned request.
type job struct {
	at        time.Duration
	tier      int
	workspace int
	tokens    int
	prompt    string
}

// slotSteps returns the number of engine steps that a job occupies a slot for, with its shared prefix cached.
func (j job) slotSteps() float64 { return float64(j.tokens + 1) }

// planJobs draws the requests of a run. The load is relative to the fleet's capacity.
func (m mix) planJobs(load float64, length time.Duration, seed uint64) []job {
	rng := rand.New(rand.NewPCG(seed, 11))
	mean := 0.0
	const samples = 20_000
	sampleRNG := rand.New(rand.NewPCG(1, 2))
	for i := 0; i < samples; i++ {
		mean += m.drawJob(sampleRNG).slotSteps() / samples
	}
	rate := load * m.capacity() / mean
	var jobs []job
	for t := time.Duration(0); ; {
		// Arrivals are bursty: half of each second's requests arrive in its first quarter.
		currentRate := rate * 2 / 3
		if t%time.Second < time.Second/4 {
			currentRate = rate * 2
		}
		t += time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))
		if t > length {
			return jobs
		}
		j := m.drawJob(rng)
		j.at = t
		j.prompt = m.prompt(j.workspace, len(jobs), rng)
		jobs = append(jobs, j)
	}
}

func (m mix) drawJob(rng *rand.Rand) job {
	j := job{tier: pickWeighted(rng, len(m.tiers), func(i int) float64 { return m.tiers[i].share }),
		workspace: pickWeighted(rng, len(m.workspaces), func(i int) float64 { return m.workspaces[i] })}
	t := m.tiers[j.tier]
	j.tokens = int(math.Exp(math.Log(t.minTokens) + rng.Float64()*(math.Log(t.maxTokens)-math.Log(t.minTokens))))
	return j
}

func pickWeighted(rng *rand.Rand, n int, share func(int) float64) int {
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
	shared := strings.Repeat(fmt.Sprintf("workspace %d says. ", workspace), m.systemTokens[workspace]*bytesPerToken/18)
	return shared + strings.Repeat(fmt.Sprintf("request %d. ", i), 2+rng.IntN(20))
}

// stepTime returns the step time of the i-th engine of a zone with a full batch.
func (m mix) stepTime(i int) time.Duration {
	return m.stepTimes[i%len(m.stepTimes)] + time.Duration(m.batch-1)*engine.DefaultOptions().StepPerSeq
}

// capacity returns the fleet's slot-steps per second.
func (m mix) capacity() float64 {
	sum := 0.0
	for i := 0; i < m.engines; i++ {
		sum += float64(m.batch) / m.stepTime(i).Seconds()
	}
	return sum * float64(m.zones)
}

// bound returns the share of each tier's requests that a clairvoyant scheduler could serve in time: the highest tier
// first, the shortest requests of a tier first, with all slots always occupied and every prefix cached.
func (m mix) bound(jobs []job, length time.Duration) []float64 {
	out := make([]float64, len(m.tiers))
	spent := 0.0
	for t := range m.tiers { // mixes list the highest tier first
		var works []float64
		for _, j := range jobs {
			if j.tier == t {
				works = append(works, j.slotSteps())
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

// records returns the configuration records of the mix's service, tiers and workspaces.
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
