package bound

import (
	"cmp"
	"slices"
	"time"
)

// Model is what is fitted of one service's backend servers. A model engine works in steps: each makes one
// token of every running stream and reads a part of the waiting prompts, which holds the streams up. So a
// request costs the engine the reading of its prompt alone, and its share of the steps of its events.
type Model struct {
	Service string
	// Read is the time in which the usual server reads a prompt token; zero for plain servers.
	Read time.Duration
	// Interval is the time between events at the usual server at rest, or the time of a plain answer. Under
	// load it is longer, which the bound leaves out: it stays above what can be served.
	Interval time.Duration
	// Events and TokensPerEvent are of the usual stream.
	Events, TokensPerEvent float64
	// Slots is how many requests the usual server works on at once.
	Slots int
	// Speed is how many times the usual server's work each does, by ID.
	Speed map[string]float64
}

const (
	// atRest is the quantile of what was observed of a server that stands for it with nothing in its way.
	atRest = 0.1
	// fewest observations make a server's speed; one with fewer counts as the usual one.
	fewest = 5
	// shortPrompt is the longest prompt, in tokens, whose first event tells how long it takes beside the
	// reading, and longPrompt the shortest one that tells the reading speed.
	shortPrompt = 500
	longPrompt  = 2000
	// manyEvents make a stream long enough to tell the time between its events.
	manyEvents = 6
	// defaultSlots stands where the logs do not tell.
	defaultSlots = 1
)

// observed is what the logs tell of one server: times to the first event after short prompts, after long
// ones with their lengths, and times between events.
type observed struct {
	short, interval []time.Duration
	long            []Request
}

// read is the time in which the server reads a token, with nothing in its way.
func (o *observed) read() time.Duration {
	if len(o.long) < fewest {
		return 0
	}
	base := quantile(o.short, atRest)
	var each []time.Duration
	for _, q := range o.long {
		each = append(each, max(0, q.First-base)/time.Duration(q.Prompt))
	}
	return quantile(each, atRest)
}

// fit learns the models of all services from what was answered.
func fit(l *Logs) map[string]*Model {
	seen := map[string]*observed{}
	routes := map[string]string{}
	models := map[string]*Model{}
	for _, q := range l.Requests {
		s := l.Servers[q.Server]
		if q.Outcome != "answered" || q.Attempts != 1 || s == nil {
			continue
		}
		routes[q.Route] = s.Service
		o := seen[s.ID]
		if o == nil {
			o = &observed{}
			seen[s.ID] = o
		}
		o.take(q)
		m := models[s.Service]
		if m == nil {
			m = &Model{Service: s.Service, Speed: map[string]float64{}}
			models[s.Service] = m
		}
		m.takeLength(q)
		m.Slots = max(m.Slots, s.Slots, defaultSlots)
	}
	for _, m := range models {
		m.finish(l, seen)
	}
	byRoute := map[string]*Model{}
	for route, service := range routes {
		byRoute[route] = models[service]
	}
	return byRoute
}

func (o *observed) take(q Request) {
	if q.Prompt == 0 {
		o.interval = append(o.interval, q.Took)
		return
	}
	switch {
	case q.Prompt <= shortPrompt:
		o.short = append(o.short, q.First)
	case q.Prompt >= longPrompt:
		o.long = append(o.long, q)
	}
	if q.Events >= manyEvents {
		o.interval = append(o.interval, (q.Took-q.First)/time.Duration(q.Events-1))
	}
}

// takeLength learns how long streams are; the mean over all, as they come.
func (m *Model) takeLength(q Request) {
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

// finish makes speeds relative to the usual server, the median, and takes its figures.
func (m *Model) finish(l *Logs, seen map[string]*observed) {
	var rests []time.Duration
	var relative []float64 // reading time of a token against the time between events
	rest := map[string]time.Duration{}
	for id, o := range seen {
		if l.Servers[id].Service != m.Service || len(o.interval) < fewest {
			continue
		}
		rest[id] = quantile(o.interval, atRest)
		rests = append(rests, rest[id])
		if read := o.read(); read > 0 && rest[id] > 0 {
			relative = append(relative, float64(read)/float64(rest[id]))
		}
	}
	usual := quantile(rests, 0.5)
	if len(relative) > 0 {
		slices.Sort(relative)
		m.Read = time.Duration(relative[len(relative)/2] * float64(usual))
	}
	m.Interval = usual
	for id, r := range rest {
		if r > 0 {
			m.Speed[id] = float64(usual) / float64(r)
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

// speedOf is the speed of a server, that of the usual one where it was not observed.
func (m *Model) speedOf(id string) float64 {
	if v, ok := m.Speed[id]; ok {
		return v
	}
	return 1
}

// events is the length of a request's stream: as it was, or as estimated.
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

// work is the least that a request costs, in time of the whole usual server: its prompt is read alone,
// and its events share their steps with as many others as there are places.
func (m *Model) work(q Request) time.Duration {
	shared := m.events(q) * float64(m.Interval) / float64(max(1, m.Slots))
	return time.Duration(q.Prompt)*m.Read + time.Duration(shared)
}

// alone is how long a request takes at the least at the fastest server, from its first event on.
func (m *Model) alone(q Request) time.Duration {
	fastest := 1.0
	for _, v := range m.Speed {
		fastest = max(fastest, v)
	}
	return time.Duration(m.events(q) * float64(m.Interval) / fastest)
}
