// Package ctl implements the operators' command-line tool. The tool is read-only: operators change the system by
// publishing records, and remove a backend server through its record or the host list.
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
	ExitFailed      = 1 // the check failed, for example an invalid record or a revision that is not active
	ExitUsage       = 2
	ExitUnreachable = 3 // no host answered
	ExitPartial     = 4 // some hosts did not answer
)

const requestTimeout = 2 * time.Second

// Tool is one invocation of the command-line tool.
type Tool struct {
	Out, Err io.Writer
	JSON     bool
	Hosts    []string // admin addresses
}

// hostReport is one host's status, or the error of the request for it.
type hostReport struct {
	Addr   string       `json:"admin"`
	Error  string       `json:"error,omitempty"`
	Status *core.Status `json:"status,omitempty"`
}

// get reads one JSON value from a host's admin address and returns the response's status code, 0 if there was none.
func get(ctx context.Context, addr, path string, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
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

// fetchReports requests the status of all hosts concurrently and returns the results in the order of t.Hosts.
func (t *Tool) fetchReports(ctx context.Context) []hostReport {
	out := make([]hostReport, len(t.Hosts))
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

func countReachable(reports []hostReport) int {
	n := 0
	for _, r := range reports {
		if r.Status != nil {
			n++
		}
	}
	return n
}

// exitCode returns the exit code for the number of hosts that answered.
func exitCode(reports []hostReport) int {
	switch countReachable(reports) {
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

func (t *Tool) requireHosts() bool {
	if len(t.Hosts) > 0 {
		return true
	}
	fmt.Fprintln(t.Err, "no host given; give --host IP:PORT (a host's [listen] admin address) once for each host, or set FIREFLYCTL_HOSTS")
	return false
}
