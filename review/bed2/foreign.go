package main

import (
	"fmt"
	"time"

	"fireflyshift/platform/platformtest"
)

const (
	// heartbeat is how often a backend server writes its entry (heartbeat-ms).
	heartbeat = 1200 * time.Millisecond
	// settled is how long after the servers' own entries are back the traffic is judged from: more than config-apply-ms, contact-ms and
	// drain-ms together.
	settled = 8 * time.Second
	judged  = 20 * time.Second
)

// keepRegistered writes a server's entry at each heartbeat, as the servers do, until stop is closed. The entry changes only if another
// program has written there.
func (b *bed) keepRegistered(s *server, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			if b.overwritten(s) {
				b.store.Put("servers/"+s.id, s.registration(0))
				b.record("server %s writes its entry again", s.id)
			}
		}
	}
}

// overwritten reports whether another program has written a server's entry since the server did, and takes note that the server writes now.
func (b *bed) overwritten(s *server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.foreign
	s.foreign = false
	return was
}

// overwrite writes an entry of another program under a server's key: whole, but of a service that the configuration does not name.
func (b *bed) overwrite(s *server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.foreign = true
	b.store.Put("servers/"+s.id, map[string]any{"service": "batch-jobs", "address": b.subnet + "240:9", "zone": s.zone, "version": "7", "slots": 1,
		"state": "ready", "cold-left-ms": 0, "seq-no": 1, "born": time.Now().UnixMilli()})
	b.record("another program writes an entry under the key of server %s", s.id)
}

// playForeign lets another program overwrite the entries of a service's servers once. The servers write their own again at their next
// heartbeats and serve all the while.
func playForeign(b *bed, trouble bool) (bool, error) {
	store, err := b.serve(250, b.store)
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	services := []string{"web", "other"}
	var routes []platformtest.Route
	for _, s := range services {
		routes = append(routes, platformtest.Route{Host: domain, Prefix: "/" + s + "/", Kind: "idempotent", Service: s, TimeoutMS: 1000, TargetMS: 100, Attempts: 2, Priority: 2})
	}
	b.store.Put("op/config", platformtest.Config(3, routes, []platformtest.Workspace{{Name: workspace, Keys: []string{apiKey}}}))
	stop := make(chan struct{})
	var web []*server
	ran := map[string][]*server{}
	for _, service := range services {
		for _, zone := range zones {
			s := &server{id: service + "-" + zone, service: service, zone: zone, work: 15 * time.Millisecond, born: time.Now().UnixMilli()}
			if err := b.startServer(s); err != nil {
				return false, err
			}
			go b.keepRegistered(s, stop)
			ran[service] = append(ran[service], s)
		}
	}
	web = ran["web"]
	for _, zone := range zones {
		if err := b.addHost(zone, store, zones); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	webTraffic, otherTraffic := steadyTraffic(b, "/web/x", "web", stop), steadyTraffic(b, "/other/x", "other", stop)
	time.Sleep(contact + time.Second)
	b.say("another program writes under the keys of the %d servers of the service web: %v", len(web), trouble)
	if trouble {
		for _, s := range web {
			b.overwrite(s)
		}
	}
	time.Sleep(heartbeat + 100*time.Millisecond)
	from := time.Now().Add(settled)
	time.Sleep(settled + judged)
	until := time.Now().Add(-2 * time.Second) // all of these have ended
	close(stop)
	webSent, webServed := served(webTraffic(), from, until)
	otherSent, otherServed := served(otherTraffic(), from, until)
	for _, s := range web {
		b.say("server %s stands in the store as %v", s.id, b.service(s))
	}
	if webSent == 0 || otherServed == 0 {
		return false, fmt.Errorf("nothing to judge: %d and %d requests", webSent, otherServed)
	}
	all := float64(webServed+otherServed) / float64(webSent+otherSent)
	share := float64(webServed) / float64(webSent)
	b.say("from %s after the servers' entries are back: web served %d of %d (%.2f), other %d of %d; all %.2f", settled, webServed, webSent, share, otherServed,
		otherSent, all)
	return share < all/4, nil
}

// served counts the requests sent within a time, and those of them that got a success of a server.
func served(all []sentRequest, from, until time.Time) (sent, ok int) {
	for _, r := range all {
		if r.at.Before(from) || r.at.After(until) {
			continue
		}
		sent++
		if r.answer.err == nil && r.answer.status == 200 && r.answer.stamp != "" {
			ok++
		}
	}
	return sent, ok
}
