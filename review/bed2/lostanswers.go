package main

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"fireflyshift/platform/platformtest"
)

const (
	configApply = 2000 * time.Millisecond // config-apply-ms
	// lossWindow is how long answers of the store are lost, as in the site's list of troubles.
	lossWindow = 4500 * time.Millisecond
	lossRounds = 4
	// clockSlack is left out behind the moment at which all hosts are in touch again.
	clockSlack = 10 * time.Millisecond
)

// lossyStore is the platform's store with answers that are lost: the change is made, and the connection returns nothing further.
type lossyStore struct {
	inner   http.Handler
	losing  atomic.Bool
	counted atomic.Bool
	lost    atomic.Int64
	given   atomic.Int64
}

// buffered keeps an answer until it is decided whether it is lost.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *buffered) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffered) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// ServeHTTP implements http.Handler.
func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b := &buffered{header: http.Header{}, status: http.StatusOK}
	s.inner.ServeHTTP(b, r)
	if r.Context().Err() != nil {
		return
	}
	if s.losing.Load() {
		s.lost.Add(1)
		<-r.Context().Done()
		return
	}
	if s.counted.Load() {
		s.given.Add(1)
	}
	maps.Copy(w.Header(), b.header)
	w.WriteHeader(b.status)
	_, _ = w.Write(b.body.Bytes())
}

// sentRequest is one request of the steady traffic.
type sentRequest struct {
	attempt string
	host    string
	at      time.Time
	answer  answer
}

// steadyTraffic sends a request to each host every few milliseconds until stop is closed.
func steadyTraffic(b *bed, path, name string, stop <-chan struct{}) func() []sentRequest {
	const callersPerHost, pause = 4, 15 * time.Millisecond
	var mu sync.Mutex
	var all []sentRequest
	var callers sync.WaitGroup
	for i, h := range b.hosts {
		for k := range callersPerHost {
			callers.Add(1)
			go func() {
				defer callers.Done()
				var c *clientConn
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					case <-time.After(pause):
					}
					if c == nil {
						var err error
						if c, err = dialHost(h); err != nil {
							continue
						}
					}
					r := sentRequest{fmt.Sprintf("%s-h%d-c%d-%d", name, i+1, k, n), h.ip, time.Now(), answer{}}
					if c.send("GET", path, r.attempt, time.Second) != nil {
						c = nil
						continue
					}
					a := c.receive(1500 * time.Millisecond)
					b.recordAt(r.at, "%s sent to %s, answered %d %s", r.attempt, h.ip, a.status, a.stamp)
					r.answer = a
					mu.Lock()
					all = append(all, r)
					mu.Unlock()
					if a.err != nil || a.closing {
						_ = c.Close()
						c = nil
					}
				}
			}()
		}
	}
	return func() []sentRequest {
		callers.Wait()
		return all
	}
}

// playLostAnswers moves a route to another service while the answers of the store are lost, and looks at what hosts do with requests
// once they are in touch again.
func playLostAnswers(b *bed, trouble bool) (bool, error) {
	store := &lossyStore{inner: b.store}
	addr, err := b.serve(250, store)
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	services := []string{"before", "after"}
	var servers []*server
	config := func(version int, service string) map[string]any {
		routes := []platformtest.Route{{Host: domain, Prefix: "/check/", Kind: "idempotent", Service: service, TimeoutMS: 1000, TargetMS: 100, Attempts: 2, Priority: 2}}
		for _, s := range services { // both services stay in use
			routes = append(routes, platformtest.Route{Host: domain, Prefix: "/" + s + "/", Kind: "idempotent", Service: s, TimeoutMS: 1000, TargetMS: 100, Attempts: 2, Priority: 2})
		}
		return platformtest.Config(version, routes, []platformtest.Workspace{{Name: workspace, Keys: []string{apiKey}}})
	}
	version := 3
	b.store.Put("op/config", config(version, services[0]))
	for _, service := range services {
		for _, zone := range zones {
			s, err := b.addServer(service+"-"+zone, service, zone, 5*time.Millisecond, 0)
			if err != nil {
				return false, err
			}
			servers = append(servers, s)
		}
	}
	for _, zone := range zones {
		if err := b.addHost(zone, addr, zones); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	traffic := steadyTraffic(b, "/check/x", "check", stop)
	time.Sleep(contact + time.Second)
	type round struct {
		service   string // that the new version allows
		acked     time.Time
		inTouch   time.Time
		lastsTill time.Time
	}
	var rounds []round
	for n := range lossRounds {
		store.lost.Store(0)
		store.given.Store(0)
		store.counted.Store(true)
		b.say("round %d: the store begins to lose answers (trouble %v)", n+1, trouble)
		windowEnd := time.Now().Add(lossWindow)
		// The entries of backend servers change all the while; these answers arrive.
		last := 60 * time.Millisecond // the last change before the end of the window
		for i := 0; time.Until(windowEnd) > 400*time.Millisecond; i++ {
			s := servers[i%len(servers)]
			b.store.Put("servers/"+s.id, s.registration(i%2))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(time.Until(windowEnd) - last)
		b.store.Put("servers/"+servers[0].id, servers[0].registration(n+2))
		time.Sleep(last - 6*time.Millisecond)
		version += 2
		service := services[(n+1)%len(services)]
		store.losing.Store(trouble)
		b.store.Put("op/config", config(version, service))
		acked := time.Now()
		time.Sleep(4 * time.Millisecond)
		store.losing.Store(false)
		store.counted.Store(false)
		end := time.Now()
		lost, given := store.lost.Load(), store.given.Load()
		b.say("round %d: version %d moves the route to %q and is acknowledged; no answer is lost from here on; lost %d of %d answers in %s",
			n+1, version, service, lost, lost+given, lossWindow)
		r := round{service: service, acked: acked, inTouch: end.Add(contact), lastsTill: end.Add(contact + 2*time.Second)}
		rounds = append(rounds, r)
		time.Sleep(time.Until(r.lastsTill))
	}
	close(stop)
	requests := traffic()
	ranBy := map[string]run{}
	for _, s := range servers {
		maps.Copy(ranBy, s.runsOf())
	}
	broken := false
	for n, r := range rounds {
		from := r.inTouch.Add(clockSlack)
		if bound := r.acked.Add(configApply); bound.After(from) {
			from = bound
		}
		old, all := map[string]int{}, 0
		var latest time.Duration
		for _, q := range requests {
			ran, ok := ranBy[q.attempt]
			if !ok || q.at.Before(from) || q.at.After(r.lastsTill) {
				continue
			}
			all++
			if ran.service != r.service {
				old[q.host]++
				latest = max(latest, q.at.Sub(r.acked))
				b.recordAt(q.at, "BROKEN: %s, sent to %s %.3f s after the acknowledgement and %.3f s after the last lost answer, was run by the old service",
					q.attempt, q.host, q.at.Sub(r.acked).Seconds(), q.at.Sub(r.inTouch.Add(-contact)).Seconds())
			}
		}
		b.say("round %d: %d requests in the two seconds from when all hosts are in touch again; run by the old service, by host: %v; the last %.3f s after the acknowledgement",
			n+1, all, old, latest.Seconds())
		if all == 0 {
			return false, fmt.Errorf("round %d has no request to judge", n+1)
		}
		broken = broken || len(old) > 0
	}
	return broken, nil
}
