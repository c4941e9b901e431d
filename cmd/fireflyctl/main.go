// Command fireflyctl is the operators' tool. It reads hosts and files; it changes nothing.
package main

import (
	"context"
	"os"
	"os/signal"
	"time"

	"github.com/jessevdk/go-flags"

	"fireflyshift/internal/ctl"
)

type global struct {
	JSON  bool     `long:"json" description:"print JSON for scripts"`
	Hosts []string `long:"host" env:"FIREFLYCTL_HOSTS" env-delim:"," description:"admin address of a host, IP:PORT; once for each"`
}

func (g *global) tool() *ctl.Tool {
	return &ctl.Tool{Out: os.Stdout, Err: os.Stderr, JSON: g.JSON, Hosts: g.Hosts}
}

type checkCommand struct {
	global *global
	exit   *int
	Args   struct {
		Files []string `positional-arg-name:"file"`
	} `positional-args:"yes"`
}

// Execute checks files offline.
func (c *checkCommand) Execute([]string) error {
	*c.exit = c.global.tool().Check(c.Args.Files)
	return nil
}

type statusCommand struct {
	global *global
	exit   *int
}

// Execute shows the hosts.
func (c *statusCommand) Execute([]string) error {
	*c.exit = c.global.tool().Status(context.Background())
	return nil
}

type watchCommand struct {
	global   *global
	exit     *int
	Revision uint64        `long:"revision" description:"the revision to wait for; 0 waits until all hosts agree"`
	Timeout  time.Duration `long:"timeout" default:"30s"`
}

// Execute waits for a revision.
func (c *watchCommand) Execute([]string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	*c.exit = c.global.tool().Watch(ctx, c.Revision, c.Timeout)
	return nil
}

type explainCommand struct {
	global *global
	exit   *int
	Args   struct {
		ID string `positional-arg-name:"request-id" required:"yes"`
	} `positional-args:"yes"`
}

// Execute shows the way of a request.
func (c *explainCommand) Execute([]string) error {
	*c.exit = c.global.tool().Explain(context.Background(), c.Args.ID)
	return nil
}

func main() {
	var g global
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
