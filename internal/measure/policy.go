package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/platform"
)

// trial is one run of a policy with a mix, load, fault and seed.
type trial struct {
	Mix    string  `json:"mix"`
	Policy string  `json:"policy"`
	Load   float64 `json:"load"`
	Fault  string  `json:"fault"`
	Seed   uint64  `json:"seed"`
}

// tierResult summarizes the requests of one tier.
type tierResult struct {
	Tier    string  `json:"tier"`
	Offered int     `json:"offered"`
	Good    int     `json:"good"` // complete and in time
	Goodput float64 `json:"goodput"`
	Bound   float64 `json:"bound"` // goodput of a clairvoyant scheduler
	Refused int     `json:"refused"`
	Late    int     `json:"late_or_cut"`
	// Kinds counts the requests that were not good by kind of error; "" means without an error, for example late.
	Kinds map[string]int `json:"kinds"`
}

// result holds the measurements of one trial.
type result struct {
	trial
	Tiers         []tierResult  `json:"tiers"`
	Total         float64       `json:"total_goodput"`
	TotalBound    float64       `json:"total_bound"`
	WastedPrefill float64       `json:"wasted_prefill"`
	Fairness      float64       `json:"least_share"` // lowest ratio of a workspace's goodput to its fair share
	First         [3]float64    `json:"top_first_token_ms"`
	Gap           [3]float64    `json:"token_gap_ms"`
	ControlBytes  float64       `json:"control_bytes_per_host_s"`
	HostCPU       float64       `json:"cpu_per_host_percent"`
	Recovery      time.Duration `json:"recovery"` // of the top tier after the fault; -1 if not within the run
	Violations    int           `json:"invariant_violations"`
	Suspended     int           `json:"suspended"`
	Used          float64       `json:"slots_used"` // tokens generated, as a share of what full batches could generate
}

const (
	faultAt          = 3 * time.Second
	recoveryBin      = 500 * time.Millisecond
	recoveredGoodput = 0.95
)

// runner runs trials sequentially.
type runner struct {
	bin    string
	length time.Duration
	log    io.Writer
}

// outcome is the result of one request; kind is that of its error.
type outcome struct {
	job  job
	good bool
	kind string
}

// collector collects outcomes from concurrent requests.
type collector struct {
	mu       sync.Mutex
	outcomes []outcome
	first    *hdrhistogram.Histogram
	gap      *hdrhistogram.Histogram
}

func (c *collector) add(o outcome, a fleet.Response, top bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
	if top && o.good {
		recordDuration(c.first, a.FirstToken)
	}
	for _, g := range a.TokenGaps {
		recordDuration(c.gap, g)
	}
}

func (x runner) run(m mix, t trial) (result, error) {
	r, err := x.startTestbed(m, t.Policy)
	if err != nil {
		return result{}, err
	}
	defer r.close()
	jobs := m.planJobs(t.Load, x.length, t.Seed)
	before := x.hostUsage(r)
	c := &collector{first: newHistogram(), gap: newHistogram()}
	balancer := newLoadBalancer(r)
	defer balancer.close()
	go x.injectFault(r, m, t.Fault)
	started := time.Now()
	x.sendJobs(m, jobs, balancer, c)
	out := x.summarize(m, t, jobs, c)
	out.ControlBytes, out.HostCPU = x.averageUsage(r, before)
	out.WastedPrefill = wastedPrefill(r)
	out.Suspended, out.Used = engineTotals(r, m, time.Since(started))
	for _, s := range r.specs {
		if st, err := r.status(s); err == nil {
			out.Violations += st.Violations
		}
	}
	return out, nil
}

func (x runner) startTestbed(m mix, policy string) (*testbed, error) {
	r, err := newTestbed(x.bin)
	if err != nil {
		return nil, err
	}
	r.publish(m.records(policy)...)
	for z := 0; z < m.zones; z++ {
		zone := fmt.Sprintf("zone-%d", z)
		for i := 0; i < m.engines; i++ {
			o := engine.DefaultOptions()
			o.Step, o.Batch, o.CacheEntries = m.stepTimes[i%len(m.stepTimes)], m.batch, m.cacheEntries
			r.addEngine(fmt.Sprintf("%s-e%d", zone, i), "notes", zone, o)
		}
		r.addHosts(zone, m.hosts)
	}
	for i := range r.specs {
		r.specs[i].Extra = "limit = 20s\n"
	}
	if err := r.start(); err != nil {
		r.close()
		return nil, err
	}
	for _, e := range r.engines {
		e.ResetStats()
	}
	return r, nil
}

// loadBalancer simulates the platform's load balancer. It probes the hosts' readiness every 100 ms. sendJobs tries
// another host when a connection is refused.
type loadBalancer struct {
	mu    sync.Mutex
	ready []string
	next  int
	stop  context.CancelFunc
}

func newLoadBalancer(r *testbed) *loadBalancer {
	ctx, stop := context.WithCancel(context.Background())
	l := &loadBalancer{stop: stop}
	l.probe(r)
	go func() {
		for ctx.Err() == nil {
			time.Sleep(100 * time.Millisecond)
			l.probe(r)
		}
	}()
	return l
}

func (l *loadBalancer) close() { l.stop() }

func (l *loadBalancer) probe(r *testbed) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	up := map[string]bool{}
	for _, s := range r.specs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			code, _, err := fleet.Get("http://" + s.Admin + "/readyz")
			mu.Lock()
			defer mu.Unlock()
			up[s.Callers] = err == nil && code == http.StatusOK
		}()
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = l.ready[:0]
	for _, s := range r.specs {
		if up[s.Callers] {
			l.ready = append(l.ready, s.Callers)
		}
	}
}

func (l *loadBalancer) pick() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return "127.0.0.1:9"
	}
	l.next++
	return l.ready[l.next%len(l.ready)]
}

// sendJobs sends the jobs at their planned times and waits for the responses.
func (x runner) sendJobs(m mix, jobs []job, balancer *loadBalancer, c *collector) {
	ctx, cancel := context.WithTimeout(context.Background(), x.length+time.Minute)
	defer cancel()
	callers := map[[2]int]*fleet.Caller{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	for w := range m.workspaces {
		for t := range m.tiers {
			call := fleet.NewCaller(fmt.Sprint("key-", w)).WithHeader("Fireflyshift-Tier", m.tiers[t].name)
			call.Client = client
			callers[[2]int{w, t}] = call
		}
	}
	start := time.Now()
	var wg sync.WaitGroup
	for _, j := range jobs {
		time.Sleep(time.Until(start.Add(j.at)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			a := callers[[2]int{j.workspace, j.tier}].Chat(ctx, balancer.pick(), "notes", j.prompt, j.tokens, true)
			for try := 0; a.Err != nil && a.Status == 0 && try < 3; try++ {
				// The connection was refused or the host ended before it responded: the balancer tries another.
				a = callers[[2]int{j.workspace, j.tier}].Chat(ctx, balancer.pick(), "notes", j.prompt, j.tokens, true)
			}
			correct := a.OK() && a.Text == engine.Answer("user\n"+j.prompt+"\n", j.tokens)
			inTime := a.Duration <= m.tiers[j.tier].deadline
			c.add(outcome{job: j, good: correct && inTime, kind: a.ErrorKind}, a, j.tier == 0)
		}()
	}
	wg.Wait()
}

// injectFault causes the trial's fault, faultAt after the start.
func (x runner) injectFault(r *testbed, m mix, fault string) {
	time.Sleep(faultAt)
	switch fault {
	case "slow engine":
		r.engines["zone-0-e0"].SetMode(engine.Mode{SlowFactor: 4})
	case "host killed":
		s := r.specs[0]
		r.hosts[s.ID].Kill()
		time.Sleep(2 * time.Second)
		_ = r.startHost(s)
	case "platform outage":
		r.platform.SetMode(platform.Mode{Down: true})
	case "zone paused":
		for _, s := range r.specs[:m.hosts] {
			r.hosts[s.ID].Signal(syscall.SIGSTOP)
		}
		time.Sleep(2 * time.Second)
		for _, s := range r.specs[:m.hosts] {
			r.hosts[s.ID].Signal(syscall.SIGCONT)
		}
	case "roll":
		for _, s := range r.specs[:m.hosts] {
			r.hosts[s.ID].Signal(syscall.SIGTERM)
			_ = r.hosts[s.ID].Wait(25 * time.Second)
			_ = r.startHost(s)
			fleet.Ready(startTimeout, s.Admin)
		}
	}
}

func (x runner) summarize(m mix, t trial, jobs []job, c *collector) result {
	out := result{trial: t}
	bounds := m.bound(jobs, x.length)
	good, bound := 0, 0.0
	for i, tier := range m.tiers {
		tr := tierResult{Tier: tier.name, Bound: bounds[i], Kinds: map[string]int{}}
		for _, o := range c.outcomes {
			if o.job.tier != i {
				continue
			}
			tr.Offered++
			if !o.good {
				tr.Kinds[o.kind]++
			}
			switch {
			case o.good:
				tr.Good++
			case o.kind != "" && o.kind != "answer_cut" && o.kind != "deadline_exceeded" && o.kind != "displaced":
				tr.Refused++
			default:
				tr.Late++
			}
		}
		tr.Goodput = float64(tr.Good) / float64(max(1, tr.Offered))
		good += tr.Good
		bound += tr.Bound * float64(tr.Offered)
		out.Tiers = append(out.Tiers, tr)
	}
	out.Total, out.TotalBound = float64(good)/float64(len(jobs)), bound/float64(len(jobs))
	out.Fairness = fairness(m, c.outcomes)
	out.First = threeQuantiles(c.first)
	out.Gap = threeQuantiles(c.gap)
	out.Recovery = recovery(c.outcomes, x.length, t.Fault)
	return out
}

func threeQuantiles(h *hdrhistogram.Histogram) [3]float64 {
	return [3]float64{milliseconds(quantile(h, 50)), milliseconds(quantile(h, 95)), milliseconds(quantile(h, 99))}
}

// fairness returns the lowest ratio of a workspace's goodput to its fair share, in the lowest tier with any goodput. The
// fair shares are max-min fair: the total goodput is divided evenly, limited by each workspace's demand.
func fairness(m mix, outcomes []outcome) float64 {
	for t := len(m.tiers) - 1; t >= 0; t-- {
		offered, good := make([]float64, len(m.workspaces)), make([]float64, len(m.workspaces))
		total := 0.0
		for _, o := range outcomes {
			if o.job.tier != t {
				continue
			}
			offered[o.job.workspace] += o.job.slotSteps()
			if o.good {
				good[o.job.workspace] += o.job.slotSteps()
				total += o.job.slotSteps()
			}
		}
		if total == 0 {
			continue
		}
		lowest := 1.0
		for w, fair := range maxMinShares(total, offered) {
			if fair > 0 {
				lowest = min(lowest, good[w]/fair)
			}
		}
		return lowest
	}
	return 0
}

// maxMinShares divides an amount evenly over demands, none of which is exceeded.
func maxMinShares(amount float64, demands []float64) []float64 {
	out := make([]float64, len(demands))
	for open := len(demands); amount > 1e-9 && open > 0; {
		part := amount / float64(open)
		open = 0
		for i, d := range demands {
			if grant := min(part, d-out[i]); grant > 0 {
				out[i] += grant
				amount -= grant
			}
			if out[i] < d-1e-9 {
				open++
			}
		}
	}
	return out
}

// recovery returns the time from the fault until the top tier's goodput, in bins by arrival, stays at or above
// recoveredGoodput; -1 if that is not within the run.
func recovery(outcomes []outcome, length time.Duration, fault string) time.Duration {
	if fault == "" {
		return 0
	}
	bins := int(length / recoveryBin)
	offered, good := make([]float64, bins+1), make([]float64, bins+1)
	for _, o := range outcomes {
		if o.job.tier != 0 {
			continue
		}
		i := int(o.job.at / recoveryBin)
		offered[i]++
		if o.good {
			good[i]++
		}
	}
	latest := time.Duration(0)
	for i := int(faultAt / recoveryBin); i < bins; i++ {
		if offered[i] > 0 && good[i]/offered[i] < recoveredGoodput {
			latest = time.Duration(i+1)*recoveryBin - faultAt
		}
	}
	if latest >= length-faultAt {
		return -1
	}
	return latest
}

func wastedPrefill(r *testbed) float64 {
	var computed, wasted int64
	for _, e := range r.engines {
		s := e.Stats()
		computed += s.PrefillComputed
		wasted += s.PrefillWasted
	}
	return float64(wasted) / float64(max(1, computed))
}

// engineTotals returns the engines' suspended requests, and their tokens as a share of the capacity.
func engineTotals(r *testbed, m mix, took time.Duration) (suspended int, used float64) {
	tokens := int64(0)
	for _, e := range r.engines {
		s := e.Stats()
		suspended += s.Suspended
		tokens += s.TokensProduced
	}
	return suspended, float64(tokens) / (m.capacity() * took.Seconds())
}

func (x runner) hostUsage(r *testbed) map[string]usage {
	out := map[string]usage{}
	for _, s := range r.specs {
		if u, err := r.usage(s); err == nil {
			out[s.ID] = u
		}
	}
	return out
}

// averageUsage averages control traffic and CPU time over the hosts that were not restarted.
func (x runner) averageUsage(r *testbed, before map[string]usage) (bytes, cpu float64) {
	n := 0.0
	for _, s := range r.specs {
		after, err := r.usage(s)
		if err != nil || after.cpu < before[s.ID].cpu || after.sent < before[s.ID].sent {
			continue
		}
		o := rateBetween(before[s.ID], after)
		bytes += o.sent
		cpu += 100 * o.cpu
		n++
	}
	return bytes / max(1, n), cpu / max(1, n)
}
