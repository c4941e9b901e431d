//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"fireflyshift/platform/platformtest"
)

func init() { cases["timeout"] = timeout }

const (
	streamRoute, streamService = "/pufi791/", "model-pool"
	streamServers              = 4
	streamEvents               = 8
	streamPace                 = 10 * time.Millisecond
	streamDeadline             = 6 * time.Second
	calmFor                    = 5 * time.Second
	wrongFor                   = 15 * time.Second
	applyTime                  = 3 * time.Second // config-apply-ms
	afterFor                   = 25 * time.Second
	pagesPerS, streamsPerS     = 129, 32
	clump                      = 16 // requests that come at once
	rightTimeout, wrongTimeout = 1000, 1
)

// tally counts the requests of one kind in one phase.
type tally struct{ sent, served, refused, failed, unanswered int }

// timeout publishes a version with a time-out of 1 ms for one route, and 15 s later one with the former time-out. It checks that the
// route's requests are served again.
func timeout(b *bed) bool {
	version := 3
	publish := func(timeoutMS int) {
		b.record.say("operator: publishes version %d, time-out of %s: %d ms", version, pageRoute, timeoutMS)
		b.store.Put("op/config", platformtest.Config(version, []platformtest.Route{
			{Host: domain, Prefix: pageRoute, Kind: "non_idempotent", Service: fileService, TimeoutMS: timeoutMS, TargetMS: 100, Attempts: 1, Priority: 2},
			{Host: domain, Prefix: streamRoute, Kind: "streaming", Service: streamService, TimeoutMS: int(streamDeadline.Milliseconds()), TargetMS: 1200, Attempts: 1, Priority: 1},
		}, []platformtest.Workspace{{Name: tenant, Keys: []string{key}}}))
		version += 2
	}
	publish(rightTimeout)
	for i := range pageServers {
		startEngine(b, fmt.Sprintf("i-%04x", 0x7f30+i), fileService, fmt.Sprintf("%s%d", b.prefix, 200+i), fileWork)
	}
	for i := range streamServers {
		m, err := platformtest.StartBackend(fmt.Sprintf("i-%04x", 0x8f30+i), streamService, zone, fmt.Sprintf("%s%d:0", b.prefix, 220+i), streamEvents, streamPace)
		if err != nil {
			notRun("engine: %v", err)
		}
		b.store.Put(m.Key(), m.Registration("ready"))
	}
	b.startHosts(3)
	b.phase("calm", calmFor)
	if b.trouble {
		publish(wrongTimeout)
	}
	b.phase("between", wrongFor)
	if b.trouble {
		publish(rightTimeout)
	}
	b.phase("applying", applyTime)
	pages, streams := b.phase("after", afterFor)
	if streams.served < streams.sent/2 {
		notRun("the streams were not served either")
	}
	all := float64(pages.served+streams.served) / float64(pages.sent+streams.sent)
	share := float64(pages.served) / float64(pages.sent)
	b.record.say("after the change was taken back: %.0f %% of the requests of %s and %.0f %% of all requests were served", 100*share, pageRoute, 100*all)
	return share < all/4
}

// phase sends requests of both kinds for a time and returns how they ended.
func (b *bed) phase(name string, d time.Duration) (pages, streams tally) {
	var wg sync.WaitGroup
	for _, kind := range []struct {
		route    string
		perS     int
		deadline time.Duration
		count    *tally
	}{{pageRoute, pagesPerS, pageDeadline, &pages}, {streamRoute, streamsPerS, streamDeadline, &streams}} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.sendAtRate(name+kind.route, kind.route, kind.perS, kind.deadline, d, kind.count)
		}()
	}
	wg.Wait()
	b.record.say("%s: requests of %s %+v, of %s %+v", name, pageRoute, pages, streamRoute, streams)
	return pages, streams
}

// sendAtRate sends requests to the hosts in turn, each over a new connection.
func (b *bed) sendAtRate(name, route string, perS int, deadline, d time.Duration, count *tally) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	tick := time.NewTicker(clump * time.Second / time.Duration(perS))
	defer tick.Stop()
	for i, end := 0, time.Now().Add(d); time.Now().Before(end); i++ {
		if i%clump == 0 {
			<-tick.C
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{addr: b.hosts[i%len(b.hosts)].front()}
			defer c.close()
			s := &sent{id: fmt.Sprintf("%016x", time.Now().UnixNano()+int64(i)), method: http.MethodPost, target: path(route, i), body: []byte("{}"), deadline: deadline}
			c.do(s)
			b.record.printf("client: %s sent %s %s; got %d after %d ms, error %v", name, s.id, s.target, s.status, s.took.Milliseconds(), s.err)
			mu.Lock()
			defer mu.Unlock()
			count.add(s)
		}()
	}
	wg.Wait()
}

func (t *tally) add(s *sent) {
	t.sent++
	switch {
	case s.status == http.StatusOK && s.err == nil:
		t.served++
	case s.status == http.StatusServiceUnavailable:
		t.refused++
	case s.status == 0:
		t.unanswered++
	default:
		t.failed++
	}
}
