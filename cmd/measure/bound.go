package main

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/bound"
)

type boundCommand struct {
	Weights map[string]float64 `long:"weight" value-name:"ROUTE:WEIGHT" description:"weight of a response on a route (default 1)"`
	BySize  bool               `long:"by-size" description:"weight requests by their size in tokens too"`
	Late    float64            `long:"late" default:"0.3" description:"value of a late response relative to one in time"`
	Window  time.Duration      `long:"window" default:"2s" description:"length of the rows by time"`
	JSON    string             `long:"json" description:"write the result to this file"`
	Plot    string             `long:"plot" description:"plot the result over time to this file (.svg or .png)"`
	Args    struct {
		Logs []string `positional-arg-name:"LOG" required:"1" description:"unmodified logs of the hosts, or a merged log with the host's name before each line"`
	} `positional-args:"yes"`
}

// Execute computes from the hosts' logs what the fleet could have served.
func (c *boundCommand) Execute([]string) error {
	logs := bound.NewLogs()
	for _, path := range c.Args.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	if len(logs.Requests) == 0 {
		return trace.NotFound("the logs contain no ended request; give the standard output of fireflyshiftd --platform")
	}
	res := bound.Compute(logs, bound.Options{Weights: c.Weights, BySize: c.BySize, LateShare: c.Late, Window: c.Window})
	res.Table(os.Stdout)
	if c.JSON != "" {
		if err := writeJSON(res, c.JSON); err != nil {
			return err
		}
	}
	if c.Plot != "" {
		return res.Plot(c.Plot)
	}
	return nil
}

func readLog(logs *bound.Logs, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer f.Close()
	return logs.Read(path, f)
}

func writeJSON(res *bound.Result, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := res.JSON(f); err != nil {
		_ = f.Close()
		return err
	}
	return trace.Wrap(f.Close())
}
