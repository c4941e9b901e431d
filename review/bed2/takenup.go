package main

import (
	"fmt"
	"syscall"
	"time"

	"fireflyshift/platform/platformtest"
)

const (
	// hostsDown is how long all hosts are down (herd_kill, for_s).
	hostsDown = 1500 * time.Millisecond
	// minTakenUp is the number of taken-up streams from which the rule holds.
	minTakenUp = 12
)

// playTakenUp kills all hosts at once and starts them again, while three servers of one software version serve all the while. Once the
// hosts are in touch, callers take up the streams that the kill has broken off, and as many new ones begin. Without the disruption the
// callers' connections end by themselves.
func playTakenUp(b *bed, trouble bool) (bool, error) {
	store, err := b.serve(250, b.store)
	if err != nil {
		return false, err
	}
	zones := []string{"zone-a", "zone-b", "zone-c"}
	b.store.Put("op/config", platformtest.Config(3, []platformtest.Route{
		{Host: domain, Prefix: "/hint/", Kind: "streaming", Service: "model-pool", TimeoutMS: 15000, TargetMS: 1200, Attempts: 2, Priority: 2, Resumable: true}},
		[]platformtest.Workspace{{Name: workspace, Keys: []string{apiKey}}}))
	for _, zone := range zones {
		if _, err := b.addServer("model-pool-"+zone, "model-pool", zone, hintPause, longStreamEvents); err != nil {
			return false, err
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
	time.Sleep(40 * time.Second) // the hosts have followed the store for longer than any stream lasts
	var conns []*clientConn
	var broken []*reader
	for i := range takers {
		c, err := dialHost(b.hosts[i%len(b.hosts)])
		if err != nil {
			return false, err
		}
		r, err := startReading(c, fmt.Sprintf("first-%d", i), streamDeadline)
		if err != nil {
			return false, err
		}
		conns, broken = append(conns, c), append(broken, r)
	}
	began := time.Now()
	time.Sleep(2 * time.Second)
	if trouble {
		b.say("all hosts are killed at once")
		for _, h := range b.hosts {
			h.signal(syscall.SIGKILL)
		}
		for _, h := range b.hosts {
			<-h.done
		}
		time.Sleep(hostsDown)
		for _, h := range b.hosts {
			if err := h.start(); err != nil {
				return false, err
			}
		}
	} else {
		b.say("the callers' connections end")
		for _, c := range conns {
			_ = c.Close()
		}
		time.Sleep(hostsDown)
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	b.say("all hosts are ready")
	time.Sleep(contact + 100*time.Millisecond)
	left := streamDeadline - time.Since(began)
	b.say("all hosts are in touch; %d callers take up their streams, with %.1f s of their time left, and %d begin new ones", takers, left.Seconds(), takers)
	var taken, fresh []*reader
	var after []int
	for i, old := range broken {
		<-old.done
		_, _, last := old.state()
		lines := []string{fmt.Sprintf("Last-Event-Id: %d", last)}
		if i%2 == 0 {
			lines = append(lines, fmt.Sprintf("Resumes: first-%d", i))
		}
		h := b.hosts[(i+1)%len(b.hosts)]
		for _, again := range []bool{true, false} {
			c, err := dialHost(h)
			if err != nil {
				return false, err
			}
			if !again {
				r, err := startReading(c, fmt.Sprintf("new-%d", i), streamDeadline)
				if err != nil {
					return false, err
				}
				fresh = append(fresh, r)
				continue
			}
			if last == 0 {
				return false, fmt.Errorf("stream %d had no event before it broke off", i)
			}
			r, err := startReading(c, fmt.Sprintf("again-%d", i), left, lines...)
			if err != nil {
				return false, err
			}
			taken, after = append(taken, r), append(after, last)
		}
	}
	time.Sleep(3 * time.Second)
	goesOn, begins, named := 0, 0, 0
	for i, r := range taken {
		status, first, last := r.state()
		ok := status == 200 && first == after[i]+1 && last > first
		if ok {
			goesOn++
			if i%2 == 0 {
				named++
			}
		}
		b.record("again-%d after event %d: status %d, events %d to %d", i, after[i], status, first, last)
	}
	for i, r := range fresh {
		status, first, last := r.state()
		if status == 200 && first == 1 && last > first {
			begins++
		}
		b.record("new-%d: status %d, events %d to %d", i, status, first, last)
	}
	b.say("%d of %d taken-up streams go on, %d of them of the %d that name their first attempt; %d of %d new streams begin", goesOn, len(taken), named,
		(len(taken)+1)/2, begins, len(fresh))
	if len(taken) < minTakenUp || begins == 0 {
		return false, fmt.Errorf("nothing to judge")
	}
	return 2*goesOn*len(fresh) < begins*len(taken), nil
}
