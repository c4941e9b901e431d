// Command fireflyctl is the operators' command-line tool. It reads the status of hosts and checks files; it is
// read-only.
package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"fireflyshift/internal/ctl"
)

type globalOptions struct {
	JSON  bool     `long:"json" description:"print JSON for scripts"`
	Hosts []string `long:"host" env:"FIREFLYCTL_HOSTS" env-delim:"," description:"admin address of a host, IP:PORT; repeat for each host"`
}

func (g *globalOptions) tool() *ctl.Tool {
	return &ctl.Tool{Out: os.Stdout, Err: os.Stderr, JSON: g.JSON, Hosts: g.Hosts}
}

type checkCommand struct {
	global *globalOptions
	exit   *int
	Args   struct {
		Files []string `positional-arg-name:"file"`
	} `positional-args:"yes"`
}

// Execute checks the given files offline.
func (c *checkCommand) Execute([]string) error {
	*c.exit = c.global.tool().Check(c.Args.Files)
	return nil
}

type statusCommand struct {
	global *globalOptions
	exit   *int
}

// Execute prints the status of the hosts.
func (c *statusCommand) Execute([]string) error {
	*c.exit = c.global.tool().Status(context.Background())
	return nil
}

type watchCommand struct {
	global   *globalOptions
	exit     *int
	Revision uint64        `long:"revision" description:"the revision to wait for; 0 waits until all hosts agree"`
	Timeout  time.Duration `long:"timeout" default:"30s"`
}

// Execute waits until a revision is active on all reachable hosts.
func (c *watchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	*c.exit = c.global.tool().Watch(ctx, c.Revision, c.Timeout)
	return nil
}

type explainCommand struct {
	global *globalOptions
	exit   *int
	Args   struct {
		ID string `positional-arg-name:"request-id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute prints a request's trace.
func (c *explainCommand) Execute([]string) error {
	*c.exit = c.global.tool().Explain(context.Background(), c.Args.ID)
	return nil
}

func main() {
	var g globalOptions
	exit := ctl.ExitOK
	p := flags.NewParser(&g, flags.Default)
	add := func(name, short string, c any) {
		if _, err := p.AddCommand(name, short, "", c); err != nil {
			panic(err)
		}
	}
	add("check", "check record files and settings files offline", &checkCommand{global: &g, exit: &exit})
	add("status", "show hosts, backend servers, revisions and refused records", &statusCommand{global: &g, exit: &exit})
	add("watch", "wait until a revision is in force on every reachable host", &watchCommand{global: &g, exit: &exit})
	add("explain", "show where a request went, when, and why there", &explainCommand{global: &g, exit: &exit})
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(ctl.ExitUsage)
	}
	os.Exit(exit)
}
