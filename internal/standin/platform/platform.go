// Package platform is a small stand-in for the operators' platform: a configuration service and a
// lagging host list that can be read and watched, and made down, stale or slow on command. It is
// not part of the product.
package platform

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"fireflyshift/internal/record"
)

// callsPerSecond is the service's limit over all readers; a waiting watch counts as one call.
const callsPerSecond = 2000

// Host is one row of the host list.
type Host struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Role  string `json:"role"`
	State string `json:"state"`
}

// Mode is how the service misbehaves.
type Mode struct {
	Down bool `json:"down"`
	// StaleBefore serves what stood before a revision; zero serves what stands.
	StaleBefore uint64 `json:"stale_before"`
	SlowMS      int    `json:"slow_ms"`
	LagMS       int    `json:"hosts_lag_ms"`
}

// Platform is the stand-in. Its methods are safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	revision uint64
	log      []record.Raw
	hosts    []hostVersion
	mode     Mode
	changed  chan struct{}
	limit    *rate.Limiter
	calls    int64
	refused  int64
}

type hostVersion struct {
	version uint64
	at      time.Time
	hosts   []Host
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{changed: make(chan struct{}),
		limit: rate.NewLimiter(callsPerSecond, callsPerSecond), hosts: []hostVersion{{}}}
}

// Publish stores a record as an operator would, and returns its revision.
func (p *Platform) Publish(kind record.Kind, name string, schema uint32, body any) uint64 {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return p.PublishRaw(record.Raw{Kind: kind, Name: name, Schema: schema, Body: data})
}

// PublishRaw stores a record unchecked, under the next revision.
func (p *Platform) PublishRaw(r record.Raw) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	r.Revision = p.revision
	p.log = append(p.log, r)
	p.wake()
	return p.revision
}

// Delete stores a deletion, which is a revision too.
func (p *Platform) Delete(kind record.Kind, name string) uint64 {
	return p.PublishRaw(record.Raw{Kind: kind, Name: name, Schema: 1, Deleted: true})
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.hosts[len(p.hosts)-1]
	p.hosts = append(p.hosts, hostVersion{last.version + 1, time.Now(), hosts})
	p.wake()
}

// SetMode makes the service misbehave, or behave again.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.wake()
}

// Calls counts the calls that were counted against the limit, and those over it.
func (p *Platform) Calls() (calls, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.refused
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visible lists the newest revision of each record, as far as the mode lets readers see.
func (p *Platform) visible() (records []record.Raw, revision uint64) {
	latest := map[record.Key]record.Raw{}
	for _, r := range p.log {
		if p.mode.StaleBefore > 0 && r.Revision >= p.mode.StaleBefore {
			break
		}
		latest[r.Key()] = r
		revision = r.Revision
	}
	for _, r := range latest {
		records = append(records, r)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Revision < records[j].Revision })
	return records, revision
}

// Handler serves readers under /v1 and the test's commands under /control.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/records", p.limited(p.serveRecords))
	mux.Handle("GET /v1/hosts", p.limited(p.serveHosts))
	mux.HandleFunc("POST /control/publish", p.controlPublish)
	mux.HandleFunc("POST /control/hosts", p.controlHosts)
	mux.HandleFunc("POST /control/mode", p.controlMode)
	return mux
}

func (p *Platform) limited(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		mode := p.mode
		p.calls++
		allowed := p.limit.Allow()
		if !allowed {
			p.refused++
		}
		p.mu.Unlock()
		if mode.SlowMS > 0 {
			time.Sleep(time.Duration(mode.SlowMS) * time.Millisecond)
		}
		if mode.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		if !allowed {
			http.Error(w, "over the rate", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	})
}

func params(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	return after, time.Duration(ms) * time.Millisecond
}

func (p *Platform) serveRecords(w http.ResponseWriter, r *http.Request) {
	after, wait := params(r)
	deadline := time.Now().Add(wait)
	for {
		p.mu.Lock()
		all, revision := p.visible()
		down, changed := p.mode.Down, p.changed
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		newer := make([]record.Raw, 0)
		for _, rec := range all {
			if rec.Revision > after {
				newer = append(newer, rec)
			}
		}
		if len(newer) > 0 || !waitFor(r, changed, deadline) {
			reply(w, map[string]any{"revision": revision, "records": newer})
			return
		}
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	after, wait := params(r)
	deadline := time.Now().Add(wait)
	for {
		p.mu.Lock()
		v, changed := p.visibleHosts(), p.changed
		p.mu.Unlock()
		if v.version > after || !waitFor(r, changed, deadline) {
			reply(w, map[string]any{"version": v.version, "hosts": v.hosts})
			return
		}
	}
}

// visibleHosts is the newest list that is older than the lag.
func (p *Platform) visibleHosts() hostVersion {
	lag := time.Duration(p.mode.LagMS) * time.Millisecond
	for i := len(p.hosts) - 1; i > 0; i-- {
		if time.Since(p.hosts[i].at) >= lag {
			return p.hosts[i]
		}
	}
	return p.hosts[0]
}

// waitFor waits for a change, and reports false when the watch is over.
func waitFor(r *http.Request, changed <-chan struct{}, deadline time.Time) bool {
	const lagPoll = 50 * time.Millisecond
	left := time.Until(deadline)
	if left <= 0 {
		return false
	}
	select {
	case <-changed:
	case <-time.After(min(left, lagPoll)):
	case <-r.Context().Done():
		return false
	}
	return true
}

func (p *Platform) controlPublish(w http.ResponseWriter, r *http.Request) {
	var rec record.Raw
	if err := json.NewDecoder(r.Body).Decode(&rec); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, map[string]uint64{"revision": p.PublishRaw(rec)})
}

func (p *Platform) controlHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	reply(w, len(hosts))
}

func (p *Platform) controlMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
	reply(w, m)
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
