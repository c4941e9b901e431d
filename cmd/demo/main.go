// Command demo starts the whole path on loopback as separate processes, sends requests of several
// tiers and kinds through a round robin over the hosts, prints each answer, and checks that none was
// missing, doubled or torn. It exits with 1 if one was. With --platform after the folder of the
// programs it shows the path of the users' platform.
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
	bin       string
	dir       string
	processes []*fleet.Process
	platform  string
	engines   map[string]string // name to address
	plain     string
	hosts     []fleet.HostSpec
	failures  int
}

func main() {
	d := &demo{bin: "bin", engines: map[string]string{}}
	if len(os.Args) > 1 {
		d.bin = os.Args[1]
	}
	run := d.run
	if len(os.Args) > 2 && os.Args[2] == "--platform" {
		run = d.runPlatform
	}
	err := run()
	for _, p := range d.processes {
		p.Kill()
	}
	if d.dir != "" {
		_ = os.RemoveAll(d.dir)
	}
	if err != nil || d.failures > 0 {
		fmt.Fprintf(os.Stderr, "demo failed: %d bad answers, %v\n", d.failures, err)
		os.Exit(1)
	}
	fmt.Println("\nEvery answer came once and whole.")
}

func (d *demo) run() error {
	var err error
	if d.dir, err = os.MkdirTemp("", "fireflyshift-demo-"); err != nil {
		return err
	}
	if err := d.startOutside(); err != nil {
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
	return d.status()
}

func (d *demo) start(program string, args ...string) error {
	p, err := fleet.Start(filepath.Join(d.bin, program), args...)
	if err == nil {
		d.processes = append(d.processes, p)
	}
	return err
}

func (d *demo) startOutside() error {
	d.platform, d.plain = fleet.Addr(), fleet.Addr()
	if err := d.start("standin", "platform", "--listen", d.platform); err != nil {
		return err
	}
	for name, step := range map[string]string{"fast": "5ms", "middling": "8ms", "slow": "15ms"} {
		d.engines[name] = fleet.Addr()
		if err := d.start("standin", "engine", "--listen", d.engines[name], "--step", step); err != nil {
			return err
		}
	}
	if err := d.start("standin", "plain", "--listen", d.plain); err != nil {
		return err
	}
	up := fleet.Until(startTimeout, func() bool {
		_, _, a := fleet.Get("http://" + d.platform + "/v1/hosts")
		_, _, b := fleet.Get("http://" + d.plain + "/")
		return a == nil && b == nil
	})
	if !up {
		return fmt.Errorf("the stand-ins did not start")
	}
	return nil
}

// publish acts as the operators: records of both sides, each in its own schema.
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
		fleet.Backend("git-1", "git-web", "zone-a", d.plain, 16, "active"),
	}
	for _, r := range records {
		if err := fleet.Post("http://"+d.platform+"/control/publish", r); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startHosts() error {
	var list []platform.Host
	for _, h := range [][2]string{{"a1", "zone-a"}, {"a2", "zone-a"}, {"b1", "zone-b"}} {
		spec := fleet.NewHostSpec(h[0], h[1], d.platform)
		d.hosts = append(d.hosts, spec)
		list = append(list, platform.Host{ID: spec.ID, Zone: spec.Zone, Addr: spec.Peers, Role: "entry", State: "live"})
	}
	if err := fleet.Post("http://"+d.platform+"/control/hosts", list); err != nil {
		return err
	}
	for _, spec := range d.hosts {
		p, err := fleet.StartHost(filepath.Join(d.bin, "fireflyshiftd"), d.dir, spec)
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
	time.Sleep(time.Second) // one exchange of summaries between the zones
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
			a := school.With("Fireflyshift-Tier", tier).Chat(ctx, host.Callers, "notes", prompt, 40, true)
			d.print(host.ID, "streamed review note", tier, a, a.Text == engine.Answer("user\n"+prompt+"\n", 40))
		case 1:
			a := cafe.With("Fireflyshift-Tier", "push-check").Call(ctx, "GET", host.Callers, "git-web", "price/fryer", nil)
			d.print(host.ID, "plain price check", "push-check", a, true)
		case 2:
			ticket := school.Ticket(ctx, host.Callers)
			c := school.With("Fireflyshift-Idempotent", "no").With("Fireflyshift-Ticket", ticket).With("X-Operation", fmt.Sprintf("post-%d", i))
			a := c.Call(ctx, "POST", host.Callers, "git-web", "grade-thread", []byte("well done"))
			d.print(host.ID, "non-idempotent post", "push-check", a, true)
			next := d.hosts[(i+1)%len(d.hosts)]
			again := c.Call(ctx, "POST", next.Callers, "git-web", "grade-thread", []byte("well done"))
			fmt.Printf("%-5s %-28s %-12s refused: %s, work: %s\n", next.ID, "the same post once more", "push-check", again.Kind, again.Work)
			if again.Kind != "ticket_done" {
				d.failures++
			}
		}
	}
}

func (d *demo) print(host, what, tier string, a fleet.Answer, right bool) {
	fmt.Printf("%-5s %-28s %-12s %-10s %12s %10s  %d %s\n", host, what, tier, a.Backend, a.FirstToken.Round(time.Millisecond/10),
		a.Took.Round(time.Millisecond/10), a.Status, a.Kind)
	if !a.OK() || !right {
		d.failures++
		fmt.Printf("      bad answer: %v %q\n", a.Err, a.Text)
	}
}

// checkRuns asks the stand-ins how often each request ran.
func (d *demo) checkRuns() error {
	addrs := []string{d.plain}
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

func (d *demo) status() error {
	args := []string{"status"}
	for _, h := range d.hosts {
		args = append(args, "--host", h.Admin)
	}
	out, err := exec.Command(filepath.Join(d.bin, "fireflyctl"), args...).CombinedOutput()
	fmt.Printf("\n$ fireflyctl status\n%s", out)
	return err
}
