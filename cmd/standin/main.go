// Command standin runs stand-ins for the systems outside this project: the platform, model engines and plain services.
// It is only for the demo, tests and measurements.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"fireflyshift/internal/standin/engine"
	"fireflyshift/internal/standin/plain"
	"fireflyshift/internal/standin/platform"
)

type platformCommand struct {
	Listen string `long:"listen" required:"true"`
}

// Execute serves a stand-in for the platform.
func (c *platformCommand) Execute([]string) error { return serve(c.Listen, platform.New().Handler()) }

type engineCommand struct {
	Listen []string      `long:"listen" required:"true" description:"one engine for each address"`
	Step   time.Duration `long:"step" default:"5ms"`
	Batch  int           `long:"batch" default:"8"`
}

// Execute serves one stand-in engine at each address.
func (c *engineCommand) Execute([]string) error {
	errs := make(chan error, len(c.Listen))
	for _, addr := range c.Listen {
		o := engine.DefaultOptions()
		o.Step, o.Batch = c.Step, c.Batch
		h := engine.New(o).Handler()
		go func() { errs <- serve(addr, h) }()
	}
	return <-errs
}

type plainCommand struct {
	Listen string        `long:"listen" required:"true"`
	Work   time.Duration `long:"work" default:"5ms"`
}

// Execute serves a stand-in for a plain service.
func (c *plainCommand) Execute([]string) error { return serve(c.Listen, plain.New(c.Work).Handler()) }

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println("serving", addr)
	return http.Serve(l, h)
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	for name, c := range map[string]any{"platform": &platformCommand{}, "engine": &engineCommand{}, "plain": &plainCommand{}} {
		if _, err := p.AddCommand(name, "serve a stand-in "+name, "", c); err != nil {
			panic(err)
		}
	}
	if _, err := p.Parse(); err != nil {
		os.Exit(1)
	}
}
