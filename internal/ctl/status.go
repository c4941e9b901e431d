package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"fireflyshift/internal/core"
)

// Status shows hosts, backend servers, revisions in force, and refused records with the reason.
func (t *Tool) Status(ctx context.Context) int {
	if !t.needHosts() {
		return ExitUsage
	}
	reports := t.askAll(ctx)
	if t.JSON {
		t.writeJSON(reports)
	} else {
		t.printStatus(reports)
	}
	return exitFor(reports)
}

func (t *Tool) printStatus(reports []report) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tREADY\tREVISION\tDIGEST\tPLATFORM\tREQUESTS\tPEERS ALIVE\tVIOLATIONS")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t-\tunreachable: %s\n", r.Addr, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%08x\t%s\t%d\t%d of %d\t%d\n", s.Host, s.Zone, readiness(s), s.Revision, uint32(s.Digest),
			platformWord(s), s.Requests, alivePeers(s), len(s.Peers), s.Violations)
	}
	w.Flush()
	t.printBackends(reports)
	t.printBeliefs(reports)
	t.printQuarantined(reports)
	t.printRefused(reports)
}

func readiness(s *core.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case s.Ready:
		return "yes"
	default:
		return "no"
	}
}

func platformWord(s *core.Status) string {
	switch {
	case !s.Reading:
		return "by peers"
	case s.PlatformOK:
		return "reads"
	default:
		return "away"
	}
}

func alivePeers(s *core.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Alive {
			n++
		}
	}
	return n
}

func (t *Tool) printBackends(reports []report) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nBACKEND SERVER\tSERVICE\tZONE\tADDRESS\tSTATE\tRUNNING\tWINDOW\tSLOTS\tSCHEDULER")
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, g := range r.Status.Groups {
			for _, b := range g.Backends {
				state := "active"
				if b.Leaving {
					state = "leaving"
				} else if b.Cooling {
					state = "failing"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.Name, g.Service, b.Zone, b.Addr, state, b.Running, b.Window, b.Slots, r.Status.Host)
			}
		}
	}
	w.Flush()
}

// printBeliefs shows what each host of the users' platform believes of the backend servers.
func (t *Tool) printBeliefs(reports []report) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	head := false
	for _, r := range reports {
		if r.Status == nil || len(r.Status.Backends) == 0 {
			continue
		}
		if !head {
			head = true
			fmt.Fprintln(w, "\nHOST\tSTORE AGE\tERA\tBACKEND SERVER\tSERVICE\tZONE\tADDRESS\tSTATE\tOWNER\tOWN\tOTHERS\tSLOTS\tINTERVAL")
		}
		for _, b := range r.Status.Backends {
			fmt.Fprintf(w, "%s\t%d ms\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.1f ms\n", r.Status.Host, r.Status.StoreAgeMS, r.Status.StoreEra, b.Name, b.Service,
				b.Zone, b.Addr, b.State, cmp.Or(b.Owner, "-"), b.Own, b.Others, b.Slots, b.IntervalMS)
		}
	}
	w.Flush()
}

// printQuarantined shows the requests that are kept from backend servers, each once.
func (t *Tool) printQuarantined(reports []report) {
	shown := map[string]bool{}
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, q := range r.Status.Quarantined {
			if shown[q.Digest] {
				continue
			}
			shown[q.Digest] = true
			fmt.Fprintf(t.Out, "quarantined request %s of workspace %s: %d backend servers ended under it, the latest %d s ago; one host lets it run again in %d s\n",
				q.Digest, cmp.Or(q.Workspace, "-"), q.Ends, q.AgeMS/1000, q.NextTrialMS/1000)
		}
	}
}

func (t *Tool) printRefused(reports []report) {
	shown := map[string]bool{}
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, f := range r.Status.Refused {
			line := fmt.Sprintf("refused %s revision %d (revision %d stays in force): %s", f.Record, f.Revision, f.InForce, f.Reason)
			if !shown[line] {
				shown[line] = true
				fmt.Fprintln(t.Out, line)
			}
		}
	}
}

const watchEvery = 200 * time.Millisecond

// Watch shows the revision of each host until the given one is in force on all that answer, or the
// timeout has passed. Revision 0 means the highest that any host has. A host that answers nothing
// is not waited for, and makes the exit code ExitPartial.
func (t *Tool) Watch(ctx context.Context, revision uint64, timeout time.Duration) int {
	if !t.needHosts() {
		return ExitUsage
	}
	until := time.Now().Add(timeout)
	latest := ""
	for {
		reports := t.askAll(ctx)
		if line := revisions(reports); line != latest {
			latest = line
			fmt.Fprintln(t.Err, line)
		}
		if reached(reports) > 0 && inForce(reports, revision) {
			if t.JSON {
				t.writeJSON(reports)
			}
			return exitFor(reports)
		}
		if time.Now().After(until) {
			fmt.Fprintf(t.Err, "revision %d is not in force everywhere after %s; 'fireflyctl status' shows refused records\n", revision, timeout)
			if reached(reports) == 0 {
				return ExitUnreachable
			}
			return ExitFailed
		}
		select {
		case <-ctx.Done():
			return ExitFailed
		case <-time.After(watchEvery):
		}
	}
}

func revisions(reports []report) string {
	line := "in force:"
	for _, r := range reports {
		if r.Status == nil {
			line += fmt.Sprintf(" %s=unreachable", r.Addr)
			continue
		}
		line += fmt.Sprintf(" %s=%d", r.Status.Host, r.Status.Revision)
	}
	return line
}

func inForce(reports []report, revision uint64) bool {
	digest := uint64(0)
	first := true
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		if r.Status.Revision < revision {
			return false
		}
		if !first && r.Status.Digest != digest {
			return false
		}
		digest, first = r.Status.Digest, false
	}
	return true
}

// Explain shows where a request went, when, and why there.
func (t *Tool) Explain(ctx context.Context, id string) int {
	if !t.needHosts() {
		return ExitUsage
	}
	answered := 0
	for _, addr := range t.Hosts {
		var trail []core.TraceEvent
		code, err := get(ctx, addr, "/explain/"+id, &trail)
		if err == nil {
			t.printTrail(addr, trail)
			return ExitOK
		}
		if code == http.StatusNotFound {
			answered++
		}
	}
	if answered == 0 {
		fmt.Fprintln(t.Err, "no host answered; check the --host addresses")
		return ExitUnreachable
	}
	fmt.Fprintf(t.Err, "no host knows request %s; hosts keep the latest 4,096, and a replaced host keeps none\n", id)
	return ExitFailed
}

func (t *Tool) printTrail(addr string, trail []core.TraceEvent) {
	if t.JSON {
		t.writeJSON(map[string]any{"admin": addr, "trail": trail})
		return
	}
	fmt.Fprintf(t.Out, "entry host %s\n", addr)
	for _, h := range trail {
		fmt.Fprintf(t.Out, "  +%-10s %s\n", (h.At - trail[0].At).Round(10*time.Microsecond), h.What)
	}
}
