// Package ctl is the operators' command-line tool. It only reads: operators act by publishing
// records, and a backend server leaves by its record or by the host list.
package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"fireflyshift/internal/core"
)

// Exit codes; docs/OPERATORS.md lists them.
const (
	ExitOK          = 0
	ExitFailed      = 1 // the thing asked about is not so: a bad record, a revision not in force
	ExitUsage       = 2
	ExitUnreachable = 3 // no host answered
	ExitPartial     = 4 // some hosts did not answer
)

const askTimeout = 2 * time.Second

// Tool is one invocation.
type Tool struct {
	Out, Err io.Writer
	JSON     bool
	Hosts    []string // admin addresses
}

// report is one host's answer.
type report struct {
	Addr   string       `json:"admin"`
	Error  string       `json:"error,omitempty"`
	Status *core.Status `json:"status,omitempty"`
}

// get reads one JSON value from a host's admin address.
func get(ctx context.Context, addr, path string, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, trace.NotFound("%s answered %s", addr, resp.Status)
	}
	return resp.StatusCode, trace.Wrap(json.NewDecoder(resp.Body).Decode(into))
}

// askAll reads the status of every host at once, in the order given.
func (t *Tool) askAll(ctx context.Context) []report {
	out := make([]report, len(t.Hosts))
	var g errgroup.Group
	g.SetLimit(64)
	for i, addr := range t.Hosts {
		g.Go(func() error {
			out[i].Addr = addr
			var s core.Status
			if _, err := get(ctx, addr, "/status", &s); err != nil {
				out[i].Error = trace.UserMessage(err)
			} else {
				out[i].Status = &s
			}
			return nil
		})
	}
	_ = g.Wait()
	return out
}

func reached(reports []report) int {
	n := 0
	for _, r := range reports {
		if r.Status != nil {
			n++
		}
	}
	return n
}

// exitFor tells how many hosts answered.
func exitFor(reports []report) int {
	switch reached(reports) {
	case 0:
		return ExitUnreachable
	case len(reports):
		return ExitOK
	default:
		return ExitPartial
	}
}

func (t *Tool) writeJSON(v any) {
	e := json.NewEncoder(t.Out)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

func (t *Tool) needHosts() bool {
	if len(t.Hosts) > 0 {
		return true
	}
	fmt.Fprintln(t.Err, "no host is named; give --host IP:PORT (a host's [listen] admin address) once for each, or set FIREFLYCTL_HOSTS")
	return false
}
