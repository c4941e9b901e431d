//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"fireflyshift/platform/platformtest"
)

func init() { cases["slashes"] = slashes }

const (
	pageRoute    = "/lohu930/"
	pageServers  = 4
	pageClients  = 4
	pageDeadline = time.Second
	pagePause    = 20 * time.Millisecond
	changeAfter  = 2 * time.Second
	pageTime     = 6 * time.Second
)

// slashes adds a route for all paths of a host while half of the clients join the host's address and their path with one slash too
// many. It checks that servers run requests with the clients' paths.
func slashes(b *bed) bool {
	routes := []platformtest.Route{{Host: domain, Prefix: pageRoute, Kind: "non_idempotent", Service: fileService, TimeoutMS: int(pageDeadline.Milliseconds()), TargetMS: 100, Attempts: 1}}
	tenants := []platformtest.Workspace{{Name: tenant, Keys: []string{key}}}
	b.store.Put("op/config", platformtest.Config(3, routes, tenants))
	var engines []*engine
	for i := range pageServers {
		engines = append(engines, startEngine(b, fmt.Sprintf("i-%04x", 0x7f30+i), fileService, fmt.Sprintf("%s%d", b.prefix, 200+i), fileWork))
	}
	b.startHosts(2)
	if b.trouble {
		all := routes[0]
		all.Prefix = "/"
		time.AfterFunc(changeAfter, func() {
			b.record.printf("operator: publishes version 5 with a route for %s", all.Prefix)
			b.store.Put("op/config", platformtest.Config(5, append(routes, all), tenants))
		})
	}
	sentBy := make([][]*sent, pageClients)
	var wg sync.WaitGroup
	for k := range pageClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			sentBy[k] = sendPages(b, k)
		}()
	}
	wg.Wait()
	return checkPaths(b, sentBy, engines)
}

// sendPages sends requests over a kept connection; every other client writes one slash more.
func sendPages(b *bed, k int) []*sent {
	c := &client{addr: b.hosts[k%len(b.hosts)].front()}
	defer c.close()
	base := ""
	if k >= pageClients/2 {
		base = "/"
	}
	var out []*sent
	for i, end := 0, time.Now().Add(pageTime); time.Now().Before(end); i++ {
		s := &sent{id: fmt.Sprintf("%04x%012x", k+1, i+1), method: http.MethodPost, target: base + path(pageRoute, i), body: []byte("{}"), deadline: pageDeadline}
		c.do(s)
		b.record.printf("client %d: sent %s %s %s; got %d %q after %d ms, error %v", k, s.id, s.method, s.target, s.status, s.answer, s.took.Milliseconds(), s.err)
		out = append(out, s)
		time.Sleep(pagePause)
	}
	return out
}

// checkPaths reports whether a server ran a request with another path than the client's.
func checkPaths(b *bed, sentBy [][]*sent, engines []*engine) bool {
	byID := map[string]*sent{}
	for _, list := range sentBy {
		for _, s := range list {
			byID[s.id] = s
		}
	}
	runs, changed := 0, 0
	for _, e := range engines {
		for _, r := range e.executions() {
			runs++
			s := byID[r.id]
			if s == nil || r.target == s.target {
				continue
			}
			changed++
			if changed <= 5 {
				b.record.say("%s: the client sent %s %s to host %s; server %s got the target %s and ran %s of host %s; the client got %d", s.id, s.method, s.target, domain, e.id,
					r.target, r.path, r.host, s.status)
			}
		}
	}
	if runs == 0 {
		notRun("no request was run")
	}
	b.record.say("%d requests sent, %d run, %d of these with another path than the client's (UNASKED)", len(byID), runs, changed)
	return changed > 0
}
