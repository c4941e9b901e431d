// Command measure runs the measurements of docs/MEASUREMENTS.md and docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"fireflyshift/internal/measure"
)

type common struct {
	Bin    string        `long:"bin" default:"bin" description:"folder with the built programs"`
	Length time.Duration `long:"length" default:"8s" description:"length of each single run"`
	// Threads is a function so that the parser sets measure.Threads while it parses the option.
	Threads func(int) `long:"threads" description:"processors of each host (default 2)"`
}

func setThreads(n int) { measure.Threads = n }

type overheadCommand struct {
	common
	Rates []float64 `long:"rate" default:"200" default:"1000" default:"2000" default:"4000" default:"6000"`
}

// Execute compares the latency of calls through a host with that of direct calls.
func (c *overheadCommand) Execute([]string) error {
	return measure.Overhead(os.Stdout, c.Bin, c.Rates, c.Length)
}

type memoryCommand struct {
	common
}

// Execute measures a host's memory per request.
func (c *memoryCommand) Execute([]string) error {
	return measure.MemoryPerRequest(os.Stdout, c.Bin, []int{250, 500, 1000, 2000})
}

type capacityCommand struct {
	common
	Page string   `long:"page" default:"docs/CAPACITY.md"`
	Only []string `long:"only" description:"only the slopes with these names"`
}

// Execute measures the slopes of the capacity page.
func (c *capacityCommand) Execute([]string) error {
	fmt.Println(measure.Machine())
	return measure.Capacity(os.Stdout, c.Bin, c.Page, c.Length, c.Only)
}

type policyCommand struct {
	common
	Folder string   `long:"out" default:"out" description:"folder for JSON and plots"`
	Full   bool     `long:"full" description:"all loads, seeds and faults; up to half an hour"`
	Policy []string `long:"policy" description:"only these policies"`
	Only   string   `long:"only" choice:"quick" choice:"loads" choice:"seeds" choice:"faults" choice:"untuned" description:"one plan of the full table"`
}

// Execute compares the scheduling policies with each other and with the bound.
func (c *policyCommand) Execute([]string) error {
	plans := map[string]measure.Plan{"quick": measure.Quick, "loads": measure.Loads, "seeds": measure.Seeds, "faults": measure.Faults, "untuned": measure.Untuned}
	chosen := []measure.Plan{measure.Quick}
	if c.Full {
		chosen = []measure.Plan{measure.Quick, measure.Loads, measure.Seeds, measure.Faults, measure.Untuned}
	}
	if c.Only != "" {
		chosen = []measure.Plan{plans[c.Only]}
	}
	if len(c.Policy) > 0 {
		for i := range chosen {
			chosen[i].Policies = c.Policy
		}
	}
	return measure.Policies(os.Stdout, c.Bin, c.Folder, c.Length, chosen...)
}

func main() {
	p := flags.NewParser(nil, flags.Default)
	add := func(name, short string, c any) {
		if _, err := p.AddCommand(name, short, "", c); err != nil {
			panic(err)
		}
	}
	add("overhead", "latency that a host adds to a direct call", &overheadCommand{common: common{Threads: setThreads}})
	add("memory", "memory per waiting request and open stream", &memoryCommand{common{Threads: setThreads}})
	add("capacity", "slopes of the capacity page", &capacityCommand{common: common{Threads: setThreads}})
	add("policy", "comparison of the policies with each other and with the bound", &policyCommand{common: common{Threads: setThreads}})
	add("bound", "upper bound on what a fleet could have served, from its hosts' logs", &boundCommand{})
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
