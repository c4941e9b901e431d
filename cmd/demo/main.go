// Command demo starts a complete system on loopback as separate processes and sends requests of several tiers and
// kinds to its hosts in turn. It prints each response and checks that none is missing, duplicated or truncated;
// otherwise it exits with 1. The first argument is the folder with the programs. With --platform as the second
// argument it demonstrates the users' platform instead.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"fireflyshift/internal/record"
	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/fleet"
	"fireflyshift/internal/standin/platform"
)

const startTimeout = 20 * time.Second

type demo struct {
	binDir       string
	workDir      string
	processes    []*fleet.Process
	platformAddr string
	engines      map[string]string // addresses by name
	plainAddr    string
	hosts        []fleet.HostSpec
	failures     int
}

func main() {
	d := &demo{binDir: "bin", engines: map[string]string{}}
	if len(os.Args) > 1 {
		d.binDir = os.Args[1]
	}
	run := d.run
	if len(os.Args) > 2 && os.Args[2] == "--platform" {
		run = d.runPlatform
	}
	err := run()
	for _, p := range d.processes {
		p.Kill()
	}
	if d.workDir != "" {
		_ = os.RemoveAll(d.workDir)
	}
	if err != nil || d.failures > 0 {
		fmt.Fprintf(os.Stderr, "demo failed: %d wrong responses, %v\n", d.failures, err)
		os.Exit(1)
	}
	fmt.Println("\nEvery response arrived exactly once and complete.")
}

func (d *demo) run() error {
	var err error
	if d.workDir, err = os.MkdirTemp("", "fireflyshift-demo-"); err != nil {
		return err
	}
	if err := d.startStandIns(); err != nil {
		return err
	}
	if err := d.publish(); err != nil {
		return err
	}
	if err := d.startHosts(); err != nil {
		return err
	}
	d.sendAll()
	if err := d.checkRuns(); err != nil {
		return err
	}
	return d.printStatus()
}

func (d *demo) start(program string, args ...string) error {
	p, err := fleet.Start(filepath.Join(d.binDir, program), args...)
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return err
}

func (d *demo) startStandIns() error {
	d.platformAddr, d.plainAddr = fleet.FreeAddr(), fleet.FreeAddr()
	if err := d.start("standin", "platform", "--listen", d.platformAddr); err != nil {
		return err
	}
	for name, step := range map[string]string{"fast": "5ms", "middling": "8ms", "slow": "15ms"} {
		d.engines[name] = fleet.FreeAddr()
		if err := d.start("standin", "engine", "--listen", d.engines[name], "--step", step); err != nil {
			return err
		}
	}
	if err := d.start("standin", "plain", "--listen", d.plainAddr); err != nil {
		return err
	}
	up := fleet.WaitUntil(startTimeout, func() bool {
		_, _, a := fleet.Get("http://" + d.platformAddr + "/v1/hosts")
		_, _, b := fleet.Get("http://" + d.plainAddr + "/")
		return a == nil && b == nil
	})
	if !up {
		return fmt.Errorf("the stand-ins did not start in time")
	}
	return nil
}

// publish publishes the operators' records, in both versions of the schema.
func (d *demo) publish() error {
	records := []record.Raw{
		fleet.Tier("push-check", 10, 20, 5000),
		fleet.Tier("review", 5, 0, 30000),
		fleet.Tier("commit-hint", 1, 0, 30000),
		fleet.Workspace("plovdiv-school", "school-key", []string{"push-check", "review", "commit-hint"}, 1),
		fleet.WorkspaceV2("cafe-hobart", "cafe-key", []string{"push-check", "review"}, 100),
		fleet.Service("notes", record.ServiceModel, "cost", "review"),
		fleet.Service("git-web", record.ServicePlain, "cost", "push-check"),
		fleet.Backend("fast", "notes", "zone-a", d.engines["fast"], 8, "active"),
		fleet.BackendV2("middling", "notes", "zone-a", d.engines["middling"], 8),
		fleet.BackendV2("slow", "notes", "zone-b", d.engines["slow"], 8),
		fleet.Backend("git-1", "git-web", "zone-a", d.plainAddr, 16, "active"),
	}
	for _, r := range records {
		if err := fleet.Post("http://"+d.platformAddr+"/control/publish", r); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startHosts() error {
	var list []platform.Host
	for _, h := range [][2]string{{"a1", "zone-a"}, {"a2", "zone-a"}, {"b1", "zone-b"}} {
		spec := fleet.NewHostSpec(h[0], h[1], d.platformAddr)
		d.hosts = append(d.hosts, spec)
		list = append(list, platform.Host{ID: spec.ID, Zone: spec.Zone, Addr: spec.Peers, Role: "entry", State: "live"})
	}
	if err := fleet.Post("http://"+d.platformAddr+"/control/hosts", list); err != nil {
		return err
	}
	for _, spec := range d.hosts {
		p, err := fleet.StartHost(filepath.Join(d.binDir, "fireflyshiftd"), d.workDir, spec)
		if err != nil {
			return err
		}
		d.processes = append(d.processes, p)
	}
	for _, spec := range d.hosts {
		if !fleet.Ready(startTimeout, spec.Admin) {
			return fmt.Errorf("host %s is not ready", spec.ID)
		}
	}
	time.Sleep(time.Second) // long enough for the zones to exchange their summaries once
	return nil
}

func (d *demo) sendAll() {
	fmt.Printf("%-5s %-28s %-12s %-10s %12s %10s  %s\n", "host", "request", "tier", "backend", "first token", "took", "status")
	school, cafe := fleet.NewCaller("school-key"), fleet.NewCaller("cafe-key")
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	for i := 0; i < 9; i++ {
		host := d.hosts[i%len(d.hosts)]
		switch i % 3 {
		case 0:
			tier := []string{"review", "commit-hint", "push-check"}[i/3]
			prompt := fmt.Sprintf("Review homework %d, please.", i)
			a := school.WithHeader("Fireflyshift-Tier", tier).Chat(ctx, host.Callers, "notes", prompt, 40, true)
			d.report(host.ID, "streamed review note", tier, a, a.Text == engine.Answer("user\n"+prompt+"\n", 40))
		case 1:
			a := cafe.WithHeader("Fireflyshift-Tier", "push-check").Call(ctx, "GET", host.Callers, "git-web", "price/fryer", nil)
			d.report(host.ID, "plain price check", "push-check", a, true)
		case 2:
			ticket := school.Ticket(ctx, host.Callers)
			c := school.WithHeader("Fireflyshift-Idempotent", "no").WithHeader("Fireflyshift-Ticket", ticket).WithHeader("X-Operation", fmt.Sprintf("post-%d", i))
			a := c.Call(ctx, "POST", host.Callers, "git-web", "grade-thread", []byte("well done"))
			d.report(host.ID, "non-idempotent post", "push-check", a, true)
			next := d.hosts[(i+1)%len(d.hosts)]
			repeated := c.Call(ctx, "POST", next.Callers, "git-web", "grade-thread", []byte("well done"))
			fmt.Printf("%-5s %-28s %-12s refused: %s, work: %s\n", next.ID, "the same post once more", "push-check", repeated.ErrorKind, repeated.Work)
			if repeated.ErrorKind != "ticket_done" {
				d.failures++
			}
		}
	}
}

func (d *demo) report(host, what, tier string, a fleet.Response, correct bool) {
	fmt.Printf("%-5s %-28s %-12s %-10s %12s %10s  %d %s\n", host, what, tier, a.Backend, a.FirstToken.Round(time.Millisecond/10),
		a.Duration.Round(time.Millisecond/10), a.Status, a.ErrorKind)
	if !a.OK() || !correct {
		d.failures++
		fmt.Printf("      wrong response: %v %q\n", a.Err, a.Text)
	}
}

// checkRuns checks with the stand-ins that no request ran more than once.
func (d *demo) checkRuns() error {
	addrs := []string{d.plainAddr}
	for _, a := range d.engines {
		addrs = append(addrs, a)
	}
	for _, addr := range addrs {
		_, text, err := fleet.Get("http://" + addr + "/control/stats")
		if err != nil {
			return err
		}
		var stats struct {
			Runs  map[string]int `json:"runs"`
			ByKey map[string]int `json:"by_key"`
		}
		if err := json.Unmarshal([]byte(text), &stats); err != nil {
			return err
		}
		for _, runs := range []map[string]int{stats.Runs, stats.ByKey} {
			for id, n := range runs {
				if n > 1 && id != "" {
					fmt.Printf("request %s ran %d times\n", id, n)
					d.failures++
				}
			}
		}
	}
	return nil
}

func (d *demo) printStatus() error {
	args := []string{"status"}
	for _, h := range d.hosts {
		args = append(args, "--host", h.Admin)
	}
	out, err := exec.Command(filepath.Join(d.binDir, "fireflyctl"), args...).CombinedOutput()
	fmt.Printf("\n$ fireflyctl status\n%s", out)
	return err
}
