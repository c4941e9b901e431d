package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"fireflyshift/platform/platformtest"
)

const (
	// restartPause is how long a server is down that starts again.
	restartPause = 300 * time.Millisecond
	// firstEntry is how long after its start a server writes its entry: half a heartbeat.
	firstEntry = 600 * time.Millisecond
	// takeUpAfter is how long after the server serves again the callers take up their streams.
	takeUpAfter = 200 * time.Millisecond
	// allowedJoined is the number of streams that may hold events of two versions.
	allowedJoined = 2
)

// restartable is a server whose process can end and start again at its address.
type restartable struct {
	*server
	http *http.Server
}

// startRestartable starts a server at a fixed address and registers it.
func (b *bed) startRestartable(s *server, addr string) (*restartable, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s.bed, s.addr = b, l.Addr().String()
	r := &restartable{s, &http.Server{Handler: s}}
	go func() { _ = r.http.Serve(l) }()
	b.closers = append(b.closers, func() { _ = r.http.Close() })
	return r, nil
}

// playInPlace upgrades the last server of an old software version in place: its process ends and starts again under its ID, at its address,
// with the version that the other servers have already. It serves from its start, and writes its entry within its first heartbeat. Callers
// take up the streams that broke off.
func playInPlace(b *bed, trouble bool) (bool, error) {
	store, err := b.serve(250, b.store)
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-d"}
	b.store.Put("op/config", platformtest.Config(3, []platformtest.Route{
		{Host: domain, Prefix: "/hint/", Kind: "streaming", Service: "model-pool", TimeoutMS: 15000, TargetMS: 1200, Attempts: 2, Priority: 2, Resumable: true}},
		[]platformtest.Workspace{{Name: workspace, Keys: []string{apiKey}}}))
	var old *restartable
	for i, zone := range zones {
		s := &server{id: "model-pool-" + zone, service: "model-pool", zone: zone, work: hintPause, events: longStreamEvents, version: "v2", born: time.Now().UnixMilli()}
		if i == 0 {
			s.version = "v1"
		}
		r, err := b.startRestartable(s, fmt.Sprintf("%s%d:0", b.subnet, 200+i))
		if err != nil {
			return false, err
		}
		b.store.Put("servers/"+s.id, s.registration(0))
		if i == 0 {
			old = r
		}
	}
	for _, zone := range zones {
		if err := b.addHost(zone, store, zones); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	type stream struct {
		name string
		r    *reader
		c    *clientConn
		last int
	}
	var all []stream
	for i := range 4 * takers {
		c, err := dialHost(b.hosts[i%len(b.hosts)])
		if err != nil {
			return false, err
		}
		name := fmt.Sprintf("first-%d", i)
		r, err := startReading(c, name, streamDeadline)
		if err != nil {
			return false, err
		}
		all = append(all, stream{name, r, c, 0})
	}
	began := time.Now()
	time.Sleep(2 * time.Second)
	var streams []stream // those that the old version began
	for _, s := range all {
		if slices.Equal(s.r.seen(), []string{"v1"}) {
			streams = append(streams, s)
		}
	}
	b.say("%d streams run, %d of them at the only server of version v1", len(all), len(streams))
	if trouble {
		b.say("server %s ends and starts again under its ID with version v2", old.id)
		_ = old.http.Close()
		time.Sleep(restartPause)
		fresh := &server{id: old.id, service: old.service, zone: old.zone, work: old.work, events: old.events, version: "v2", born: time.Now().UnixMilli()}
		if _, err := b.startRestartable(fresh, old.addr); err != nil {
			return false, err
		}
		started := time.Now()
		time.AfterFunc(firstEntry, func() {
			b.store.Put("servers/"+fresh.id, fresh.registration(0))
			b.say("server %s has written its entry, %.1f s after its start", fresh.id, time.Since(started).Seconds())
		})
	} else {
		b.say("the callers' connections end")
		for _, s := range streams {
			_ = s.c.Close()
		}
		time.Sleep(restartPause)
	}
	time.Sleep(takeUpAfter)
	var again []stream
	for i, s := range streams {
		select {
		case <-s.r.done:
		case <-time.After(time.Second):
			b.record("%s goes on, it did not break off", s.name)
			continue
		}
		_, _, s.last = s.r.state()
		c, err := dialHost(b.hosts[(i+1)%len(b.hosts)])
		if err != nil {
			return false, err
		}
		r, err := startReading(c, "again-"+s.name, streamDeadline-time.Since(began), fmt.Sprintf("Last-Event-Id: %d", s.last), "Resumes: "+s.name)
		if err != nil {
			return false, err
		}
		again = append(again, stream{s.name, r, c, s.last})
	}
	b.say("%d callers take up their streams", len(again))
	time.Sleep(3 * time.Second)
	joined, refused, goOn := 0, 0, 0
	for _, s := range again {
		status, first, last := s.r.state()
		versions := s.r.seen()
		b.record("%s, begun by v1, taken up after event %d: status %d, events %d to %d of %v", s.name, s.last, status, first, last, versions)
		switch {
		case status >= 300:
			refused++
		case slices.Contains(versions, "v2"):
			joined++
			b.record("BROKEN: %s holds events of v1 and of v2", s.name)
		case len(versions) > 0:
			goOn++
		}
	}
	b.say("of %d streams that v1 began and callers took up, %d hold events of both versions, %d go on at v1, %d are refused", len(again), joined, goOn, refused)
	if len(again) <= allowedJoined {
		return false, fmt.Errorf("too few streams were taken up")
	}
	return joined > allowedJoined, nil
}
