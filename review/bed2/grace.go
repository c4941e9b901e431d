package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// longGrace and shortGrace are the grace periods before and after the change of the settings file.
	longGrace, shortGrace = 8 * time.Second, 4 * time.Second
	graceCallers          = 24
	// plainWork is how long the plain service works on a request.
	plainWork = 300 * time.Millisecond
	// streamEvents and streamPause make a stream of some ten seconds, which keeps a stopping host busy.
	streamEvents, streamPause = 50, 200 * time.Millisecond
	// firstLate and lastLate are when, after SIGTERM, the first and the last of the callers use their kept connections.
	firstLate, lastLate = 3100 * time.Millisecond, 3950 * time.Millisecond
	// excusedUntil is how long after SIGTERM a request may have been sent that may be cut in the last sixth of the grace period.
	excusedUntil = 3 * time.Second
)

// graceConfig is the operator's configuration of the case.
func graceConfig() map[string]any {
	route := func(prefix, kind, service string, timeout, target int) map[string]any {
		return map[string]any{"name": "r-" + service, "host": domain, "prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"priority": 1, "service": service, "max-attempts": 1, "gap-aim-ms": 250}
	}
	return map[string]any{"version": 4,
		"routes": []map[string]any{route("/issue/", "non_idempotent", "web", 2000, 300), route("/text/", "streaming", "models", 15000, 1000)},
		"services": []map[string]any{{"name": "web", "health-path": "/healthz", "max-conns": 110, "protocol": "h1"},
			{"name": "models", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "engine": map[string]any{"stride": 5}}},
		"tenants": []map[string]any{{"name": workspace, "api-keys": []string{apiKey}}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}}
}

// playGrace shortens the grace period in the settings file of a running host, sends SIGHUP, and stops the host three seconds later as the
// platform does. Without the disruption the file stays as it is, and a host that had the short grace period from its start is stopped too.
func playGrace(b *bed, trouble bool) (bool, error) {
	store, err := b.serve(250, b.store)
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b"}
	b.store.Put("op/config", graceConfig())
	var servers []*server
	for _, zone := range zones {
		for _, s := range []struct {
			service string
			work    time.Duration
			events  int
		}{{"web", plainWork, 0}, {"models", streamPause, streamEvents}} {
			added, err := b.addServer(s.service+"-"+zone, s.service, zone, s.work, s.events)
			if err != nil {
				return false, err
			}
			servers = append(servers, added)
		}
	}
	for i := range 4 {
		if err := b.addHost(zones[i%2], store, zones); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(contact + time.Second)
	h := b.hosts[0]
	if trouble {
		return b.stopHost(h, servers, "a", func() (time.Duration, error) { return shortGrace, b.changeGrace(h, true) })
	}
	broken, err := b.stopHost(h, servers, "a", func() (time.Duration, error) { return longGrace, nil })
	if broken || err != nil {
		return broken, err
	}
	if err := b.changeGrace(h, false); err != nil {
		return false, err
	}
	if err := h.start(); err != nil {
		return false, err
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	b.say("host %s is started again, with a grace period of %s from its start", h.ip, shortGrace)
	time.Sleep(contact + time.Second)
	return b.stopHost(h, servers, "b", func() (time.Duration, error) { return shortGrace, nil })
}

// changeGrace writes the short grace period into a host's settings file, and tells a running host by SIGHUP.
func (b *bed) changeGrace(h *host, running bool) error {
	bounds, ok := h.settings["bounds"].(map[string]any)
	if !ok {
		return fmt.Errorf("the settings have no bounds")
	}
	bounds["grace-s"] = shortGrace.Seconds()
	if err := h.writeSettings(); err != nil {
		return err
	}
	if running {
		h.signal(syscall.SIGHUP)
		b.say("the settings file of %s now has a grace period of %s; SIGHUP sent", h.ip, shortGrace)
	}
	return nil
}

// stopHost stops a host that carries a long stream: SIGTERM, and SIGKILL at the end of the grace period that change returns. Callers use
// their kept connections in the last second of the short grace period. It reports whether a request was lost that no rule excuses.
func (b *bed) stopHost(h *host, servers []*server, name string, change func() (time.Duration, error)) (bool, error) {
	var conns []*clientConn
	for i := range graceCallers {
		c, err := dialHost(h)
		if err != nil {
			return false, err
		}
		attempt := fmt.Sprintf("%s-first-%d", name, i)
		if err := c.send("POST", "/issue/x", attempt, 4*time.Second); err != nil {
			return false, err
		}
		if a := c.receive(5 * time.Second); a.err != nil || a.status != 200 || a.closing {
			return false, fmt.Errorf("first request of a connection: status %d, %v", a.status, a.err)
		}
		conns = append(conns, c)
	}
	grace, err := change()
	if err != nil {
		return false, err
	}
	time.Sleep(contact)
	stream, err := dialHost(h)
	if err != nil {
		return false, err
	}
	if err := stream.send("POST", "/text/x", name+"-stream", 15*time.Second); err != nil {
		return false, err
	}
	streamEnd := make(chan time.Time, 1)
	go func() {
		a := stream.receive(20 * time.Second)
		b.record("%s-stream ended with status %d after %d bytes: %v", name, a.status, len(a.body), a.err)
		streamEnd <- time.Now()
	}()
	time.Sleep(time.Second)
	h.signal(syscall.SIGTERM)
	stopped := time.Now()
	b.say("SIGTERM to %s, which carries a stream; SIGKILL follows after %s", h.ip, grace)
	kill := time.AfterFunc(grace, func() {
		h.signal(syscall.SIGKILL)
		b.say("SIGKILL to %s", h.ip)
	})
	defer kill.Stop()
	var wait sync.WaitGroup
	var mu sync.Mutex
	outcomes, lost := map[string]int{}, 0
	for i, c := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			attempt := fmt.Sprintf("%s-late-%d", name, i)
			after := firstLate + time.Duration(i)*(lastLate-firstLate)/(graceCallers-1)
			time.Sleep(time.Until(stopped.Add(after)))
			sent := time.Now()
			err := c.send("POST", "/issue/x", attempt, 4*time.Second)
			a := c.receive(5 * time.Second)
			ended := time.Now()
			ran := false
			for _, s := range servers {
				_, ok := s.runsOf()[attempt]
				ran = ran || ok
			}
			outcome := fmt.Sprintf("status %d", a.status)
			if err != nil || a.err != nil {
				outcome = "no complete answer"
			}
			if ran {
				outcome += ", passed on to a server"
			}
			b.recordAt(sent, "%s sent on a kept connection %.3f s after SIGTERM; ended %.3f s after it: %s (%v)", attempt,
				sent.Sub(stopped).Seconds(), ended.Sub(stopped).Seconds(), outcome, a.err)
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
			if a.err != nil && ran && sent.Sub(stopped) > excusedUntil {
				lost++
				b.recordAt(ended, "BROKEN: the connection of %s ends without an answer, though a server works on it", attempt)
			}
		}()
	}
	wait.Wait()
	<-h.done
	b.say("the stream ended %.3f s after SIGTERM", (<-streamEnd).Sub(stopped).Seconds())
	b.say("%d requests on kept connections, sent %s to %s after SIGTERM: %v; the process ended %.3f s after SIGTERM", len(conns), firstLate, lastLate,
		outcomes, time.Since(stopped).Seconds())
	return lost > 0, nil
}
