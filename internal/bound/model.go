package bound

import (
	"cmp"
	"slices"
	"time"
)

// Model is the fitted performance model of one service's backend servers. A model engine works in steps: each step
// generates one token of every running stream and prefills a part of the waiting prompts, which delays the streams.
// So a request costs the engine the prefill of its own prompt, and its share of the steps that generate its events.
//
// Times are those of the reference server: a server of median speed.
type Model struct {
	Service string
	// Read is the reference server's prefill time per prompt token; zero for plain servers.
	Read time.Duration
	// Interval is the time between events at the idle reference server, or the time of a plain response. Under
	// load it is longer; the bound ignores this and so stays above what can be served.
	Interval time.Duration
	// Events and TokensPerEvent are averages over the streams.
	Events, TokensPerEvent float64
	// Slots is the largest number of concurrent requests of any server.
	Slots int
	// Speed is each server's speed relative to the reference server, by ID.
	Speed map[string]float64
}

const (
	// idleQuantile is the quantile of a server's observed times that is taken as its time without load.
	idleQuantile = 0.1
	// minObservations is the number of observations needed to estimate a server's speed. A server with fewer
	// counts as a reference server.
	minObservations = 5
	// maxShortPrompt is the longest prompt, in tokens, whose time to the first event is taken as the overhead
	// without prefill. minLongPrompt is the shortest prompt from which the prefill time is estimated.
	maxShortPrompt = 500
	minLongPrompt  = 2000
	// minIntervalEvents is the number of events that a stream needs for an estimate of its event interval.
	minIntervalEvents = 6
	// defaultSlots is used if the logs do not contain a server's slots.
	defaultSlots = 1
)

// observations are the measurements of one server from the logs: times to the first event of requests with short
// prompts, the requests with long prompts, and event intervals.
type observations struct {
	short, interval []time.Duration
	long            []Request
}

// prefillPerToken returns the server's prefill time per token without load; zero with too few observations.
func (o *observations) prefillPerToken() time.Duration {
	if len(o.long) < minObservations {
		return 0
	}
	base := quantile(o.short, idleQuantile)
	var perToken []time.Duration
	for _, q := range o.long {
		perToken = append(perToken, max(0, q.First-base)/time.Duration(q.Prompt))
	}
	return quantile(perToken, idleQuantile)
}

// fit fits the models of all services to the requests that were answered at the first attempt, and returns them by
// route.
func fit(l *Logs) map[string]*Model {
	byServer := map[string]*observations{}
	routes := map[string]string{}
	models := map[string]*Model{}
	for _, q := range l.Requests {
		s := l.Servers[q.Server]
		if q.Outcome != "answered" || q.Attempts != 1 || s == nil {
			continue
		}
		routes[q.Route] = s.Service
		o := byServer[s.ID]
		if o == nil {
			o = &observations{}
			byServer[s.ID] = o
		}
		o.add(q)
		m := models[s.Service]
		if m == nil {
			m = &Model{Service: s.Service, Speed: map[string]float64{}}
			models[s.Service] = m
		}
		m.updateLength(q)
		m.Slots = max(m.Slots, s.Slots, defaultSlots)
	}
	for _, m := range models {
		m.computeSpeeds(l, byServer)
	}
	byRoute := map[string]*Model{}
	for route, service := range routes {
		byRoute[route] = models[service]
	}
	return byRoute
}

func (o *observations) add(q Request) {
	if q.Prompt == 0 {
		o.interval = append(o.interval, q.Took)
		return
	}
	switch {
	case q.Prompt <= maxShortPrompt:
		o.short = append(o.short, q.First)
	case q.Prompt >= minLongPrompt:
		o.long = append(o.long, q)
	}
	if q.Events >= minIntervalEvents {
		o.interval = append(o.interval, (q.Took-q.First)/time.Duration(q.Events-1))
	}
}

// updateLength updates the moving averages of the events per stream and the tokens per event.
func (m *Model) updateLength(q Request) {
	if q.Events == 0 || q.Output == 0 {
		return
	}
	const weight = 0.01
	if m.Events == 0 {
		m.Events, m.TokensPerEvent = float64(q.Events), float64(q.Output)/float64(q.Events)
	}
	m.Events += weight * (float64(q.Events) - m.Events)
	m.TokensPerEvent += weight * (float64(q.Output)/float64(q.Events) - m.TokensPerEvent)
}

// computeSpeeds sets the reference server's times to the medians over the servers, and each server's speed relative
// to them.
func (m *Model) computeSpeeds(l *Logs, byServer map[string]*observations) {
	var intervals []time.Duration
	var ratios []float64 // prefill time per token over event interval
	idleInterval := map[string]time.Duration{}
	for id, o := range byServer {
		if l.Servers[id].Service != m.Service || len(o.interval) < minObservations {
			continue
		}
		idleInterval[id] = quantile(o.interval, idleQuantile)
		intervals = append(intervals, idleInterval[id])
		if read := o.prefillPerToken(); read > 0 && idleInterval[id] > 0 {
			ratios = append(ratios, float64(read)/float64(idleInterval[id]))
		}
	}
	median := quantile(intervals, 0.5)
	if len(ratios) > 0 {
		slices.Sort(ratios)
		m.Read = time.Duration(ratios[len(ratios)/2] * float64(median))
	}
	m.Interval = median
	for id, r := range idleInterval {
		if r > 0 {
			m.Speed[id] = float64(median) / float64(r)
		}
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	list = slices.Clone(list)
	slices.SortFunc(list, cmp.Compare)
	return list[int(q*float64(len(list)-1)+0.5)]
}

// speedOf returns the relative speed of a server; 1 if there were too few observations.
func (m *Model) speedOf(id string) float64 {
	if v, ok := m.Speed[id]; ok {
		return v
	}
	return 1
}

// events returns the number of events of a request's stream, estimated if it was not answered.
func (m *Model) events(q Request) float64 {
	switch {
	case q.Prompt == 0:
		return 1
	case q.Outcome == "answered" && q.Events > 0:
		return float64(q.Events)
	case m.TokensPerEvent > 0 && q.Output > 0:
		return max(1, float64(q.Output)/m.TokensPerEvent)
	default:
		return max(1, m.Events)
	}
}

// work returns the least time that a request costs the reference server: its prefill does not share steps, and its
// events share their steps with as many other requests as there are slots.
func (m *Model) work(q Request) time.Duration {
	shared := m.events(q) * float64(m.Interval) / float64(max(1, m.Slots))
	return time.Duration(q.Prompt)*m.Read + time.Duration(shared)
}

// minStreamTime returns the least time that a request's events take at the fastest server.
func (m *Model) minStreamTime(q Request) time.Duration {
	fastest := 1.0
	for _, v := range m.Speed {
		fastest = max(fastest, v)
	}
	return time.Duration(m.events(q) * float64(m.Interval) / fastest)
}
