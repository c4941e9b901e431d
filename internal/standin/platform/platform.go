// Package platform is a stand-in for the operators' platform, for tests. It provides a configuration service and a host
// list that lags, both with reads and watches. On command it becomes unavailable, stale or slow.
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

// maxCallsPerSecond is the rate limit over all clients. A watch counts as one call, however long it waits.
const maxCallsPerSecond = 2000

// Host is one entry of the host list.
type Host struct {
	ID    string `json:"id"`
	Zone  string `json:"zone"`
	Addr  string `json:"addr"`
	Role  string `json:"role"`
	State string `json:"state"`
}

// Mode selects the platform's faults. The zero value has none.
type Mode struct {
	Down bool `json:"down"`
	// StaleBefore, if not zero, hides this and later revisions.
	StaleBefore uint64 `json:"stale_before"`
	SlowMS      int    `json:"slow_ms"`
	LagMS       int    `json:"hosts_lag_ms"`
}

// Platform is a stand-in for the platform. Its methods are safe for concurrent use.
type Platform struct {
	mu        sync.Mutex
	revision  uint64
	published []record.Raw
	hosts     []hostVersion
	mode      Mode
	changed   chan struct{}
	limit     *rate.Limiter
	calls     int64
	overLimit int64
}

type hostVersion struct {
	version uint64
	at      time.Time
	hosts   []Host
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{changed: make(chan struct{}),
		limit: rate.NewLimiter(maxCallsPerSecond, maxCallsPerSecond), hosts: []hostVersion{{}}}
}

// Publish stores a record with the JSON of body, as an operator would, and returns its revision.
func (p *Platform) Publish(kind record.Kind, name string, schema uint32, body any) uint64 {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return p.PublishRaw(record.Raw{Kind: kind, Name: name, Schema: schema, Body: data})
}

// PublishRaw stores a record without validation, assigns it the next revision and returns that.
func (p *Platform) PublishRaw(r record.Raw) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	r.Revision = p.revision
	p.published = append(p.published, r)
	p.notify()
	return p.revision
}

// Delete marks a record as deleted and returns the revision of the deletion.
func (p *Platform) Delete(kind record.Kind, name string) uint64 {
	return p.PublishRaw(record.Raw{Kind: kind, Name: name, Schema: 1, Deleted: true})
}

// SetHosts replaces the host list.
func (p *Platform) SetHosts(hosts []Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.hosts[len(p.hosts)-1]
	p.hosts = append(p.hosts, hostVersion{last.version + 1, time.Now(), hosts})
	p.notify()
}

// SetMode replaces the active faults.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.notify()
}

// Calls returns the number of calls that counted against the rate limit, and how many of them exceeded it.
func (p *Platform) Calls() (calls, refused int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls, p.overLimit
}

func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// visibleRecords returns the latest visible revision of each record in order of revision, and the highest visible
// revision.
func (p *Platform) visibleRecords() (records []record.Raw, revision uint64) {
	latest := map[record.Key]record.Raw{}
	for _, r := range p.published {
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

// Handler serves the platform's API under /v1 and the commands of tests under /control.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/records", p.rateLimited(p.serveRecords))
	mux.Handle("GET /v1/hosts", p.rateLimited(p.serveHosts))
	mux.HandleFunc("POST /control/publish", p.controlPublish)
	mux.HandleFunc("POST /control/hosts", p.controlHosts)
	mux.HandleFunc("POST /control/mode", p.controlMode)
	return mux
}

func (p *Platform) rateLimited(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		mode := p.mode
		p.calls++
		allowed := p.limit.Allow()
		if !allowed {
			p.overLimit++
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
			http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
			return
		}
		next(w, r)
	})
}

func watchParams(r *http.Request) (after uint64, wait time.Duration) {
	after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	return after, time.Duration(ms) * time.Millisecond
}

func (p *Platform) serveRecords(w http.ResponseWriter, r *http.Request) {
	after, wait := watchParams(r)
	deadline := time.Now().Add(wait)
	for {
		p.mu.Lock()
		all, revision := p.visibleRecords()
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
		if len(newer) > 0 || !waitForChange(r, changed, deadline) {
			writeJSON(w, map[string]any{"revision": revision, "records": newer})
			return
		}
	}
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	after, wait := watchParams(r)
	deadline := time.Now().Add(wait)
	for {
		p.mu.Lock()
		v, changed := p.visibleHosts(), p.changed
		p.mu.Unlock()
		if v.version > after || !waitForChange(r, changed, deadline) {
			writeJSON(w, map[string]any{"version": v.version, "hosts": v.hosts})
			return
		}
	}
}

// visibleHosts returns the latest list that is at least as old as the lag.
func (p *Platform) visibleHosts() hostVersion {
	lag := time.Duration(p.mode.LagMS) * time.Millisecond
	for i := len(p.hosts) - 1; i > 0; i-- {
		if time.Since(p.hosts[i].at) >= lag {
			return p.hosts[i]
		}
	}
	return p.hosts[0]
}

// waitForChange waits for a change, or for a short time because lagging data becomes visible without one. It returns
// false when the watch has ended.
func waitForChange(r *http.Request, changed <-chan struct{}, deadline time.Time) bool {
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
	writeJSON(w, map[string]uint64{"revision": p.PublishRaw(rec)})
}

func (p *Platform) controlHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []Host
	if err := json.NewDecoder(r.Body).Decode(&hosts); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts)
	writeJSON(w, len(hosts))
}

func (p *Platform) controlMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
	writeJSON(w, m)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
