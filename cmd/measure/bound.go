package main

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"fireflyshift/internal/bound"
)

type boundCommand struct {
	Weights map[string]float64 `long:"weight" value-name:"ROUTE:WEIGHT" description:"what an answer on a route is worth (default 1)"`
	BySize  bool               `long:"by-size" description:"weigh requests by their tokens too"`
	Late    float64            `long:"late" default:"0.3" description:"what a late answer is worth against one in time"`
	Window  time.Duration      `long:"window" default:"2s" description:"length of the rows by time"`
	JSON    string             `long:"json" description:"write the result to this file"`
	Plot    string             `long:"plot" description:"draw it over time, to a file that ends in .svg or .png"`
	Args    struct {
		Logs []string `positional-arg-name:"LOG" required:"1" description:"logs of the hosts, each as written, or merged with the host's name before each line"`
	} `positional-args:"yes"`
}

// Execute tells what a fleet could have served, from its hosts' logs.
func (c *boundCommand) Execute([]string) error {
	logs := bound.NewLogs()
	for _, path := range c.Args.Logs {
		if err := readLog(logs, path); err != nil {
			return err
		}
	}
	if len(logs.Requests) == 0 {
		return trace.NotFound("no request has ended in these logs; give the standard output of fireflyshiftd --platform")
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
