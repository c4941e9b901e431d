package ctl

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"fireflyshift/internal/core"
)

// Status prints the hosts, their backend servers and active revisions, and refused records with the reason. It
// returns the exit code.
func (t *Tool) Status(ctx context.Context) int {
	if !t.requireHosts() {
		return ExitUsage
	}
	reports := t.fetchReports(ctx)
	if t.JSON {
		t.writeJSON(reports)
	} else {
		t.printStatus(reports)
	}
	return exitCode(reports)
}

func (t *Tool) printStatus(reports []hostReport) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tZONE\tREADY\tREVISION\tDIGEST\tPLATFORM\tREQUESTS\tPEERS ALIVE\tVIOLATIONS")
	for _, r := range reports {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t-\tunreachable: %s\n", r.Addr, r.Error)
			continue
		}
		s := r.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%08x\t%s\t%d\t%d of %d\t%d\n", s.Host, s.Zone, readiness(s), s.Revision, uint32(s.Digest),
			platformState(s), s.Requests, countAlivePeers(s), len(s.Peers), s.Violations)
	}
	w.Flush()
	t.printBackends(reports)
	t.printBackendViews(reports)
	t.printQueues(reports)
	t.printSpill(reports)
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

func platformState(s *core.Status) string {
	switch {
	case !s.Reading:
		return "by peers"
	case s.PlatformOK:
		return "reads"
	default:
		return "away"
	}
}

func countAlivePeers(s *core.Status) int {
	n := 0
	for _, p := range s.Peers {
		if p.Alive {
			n++
		}
	}
	return n
}

func (t *Tool) printBackends(reports []hostReport) {
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

// printBackendViews prints each platform host's view of the backend servers. Other hosts have none.
func (t *Tool) printBackendViews(reports []hostReport) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	hasHeader := false
	for _, r := range reports {
		if r.Status == nil || len(r.Status.Backends) == 0 {
			continue
		}
		if !hasHeader {
			hasHeader = true
			fmt.Fprintln(w, "\nHOST\tSTORE AGE\tERA\tBACKEND SERVER\tSERVICE\tVERSION\tZONE\tADDRESS\tSTATE\tOWNER\tOWN\tOTHERS\tSLOTS\tLIMIT\tINTERVAL\tRATE LIMIT")
		}
		for _, b := range r.Status.Backends {
			fmt.Fprintf(w, "%s\t%d ms\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%.1f ms\t%s\n", r.Status.Host, r.Status.StoreAgeMS, r.Status.StoreEra, b.Name, b.Service,
				cmp.Or(b.Version, "-"), b.Zone, b.Addr, b.State, cmp.Or(b.Owner, "-"), b.Own, b.Others, b.Slots, formatLimit(b.LearnedLimit), b.IntervalMS, formatRateLimit(b.RateLimit))
		}
	}
	w.Flush()
}

// formatLimit formats a learned limit of an engine.
func formatLimit(n int) string {
	if n == 0 {
		return "-"
	}
	return strconv.Itoa(n)
}

// formatRateLimit formats the rate limit that a backend server states.
func formatRateLimit(l *core.RateLimitStatus) string {
	if l == nil {
		return "-"
	}
	return fmt.Sprintf("%g/s since %d ms, share %g/s, %d sent", l.PerSecond, l.SinceMS, l.Share, l.Sent)
}

// printQueues prints the admission queues at their owners, and the workspaces at each.
func (t *Tool) printQueues(reports []hostReport) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	hasHeader := false
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, q := range r.Status.Queues {
			if !hasHeader {
				hasHeader = true
				fmt.Fprintln(w, "\nADMISSION QUEUE\tOWNER\tWAITING\tROOM RATE\tPER SLOT\tPREDICTED WAIT BY PRIORITY")
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%.0f ms/s\t%.0f ms/s\t%s\n", q.Service, r.Status.Host, q.Requests, q.Room, q.RoomPerSlot, formatWaits(q.WaitMS))
		}
	}
	w.Flush()
	if hasHeader {
		t.printQueueWorkspaces(reports)
	}
}

// formatCount formats a count that is zero in most rows.
func formatCount(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func (t *Tool) printQueueWorkspaces(reports []hostReport) {
	w := tabwriter.NewWriter(t.Out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "\nADMISSION QUEUE\tOWNER\tWORKSPACE\tWEIGHT\tWAITING\tOFFERED (10 s)\tGRANTED\tREFUSED\tWORK\tSHARE\tPROVISIONAL")
	for _, r := range reports {
		if r.Status == nil {
			continue
		}
		for _, q := range r.Status.Queues {
			for _, s := range q.Workspaces {
				fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%d\t%d\t%d\t%d\t%.0f ms\t%.1f %%\t%s\n", q.Service, r.Status.Host, cmp.Or(s.Workspace, "-"), s.Weight, s.Waiting,
					s.Offered, s.Granted, s.Refused, s.WorkMS, 100*s.Share, formatCount(s.Provisional))
			}
		}
	}
	w.Flush()
}

// formatWaits formats predicted waits by priority, the most urgent first.
func formatWaits(waits []int64) string {
	out := make([]string, len(waits))
	for i, ms := range waits {
		out[i] = "not served"
		if ms >= 0 {
			out[i] = fmt.Sprintf("%d ms", ms)
		}
	}
	return strings.Join(out, ", ")
}

// printQuarantined prints the quarantined requests. A request that several hosts report is printed once.
func (t *Tool) printQuarantined(reports []hostReport) {
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
			fmt.Fprintf(t.Out, "quarantined %s %s of workspace %s: %d backend servers crashed while running it, the latest %d s ago; one host will try it again in %d s\n",
				q.Kind, q.Digest, cmp.Or(q.Workspace, "-"), q.Ends, q.AgeMS/1000, q.NextTrialMS/1000)
		}
	}
}

func (t *Tool) printRefused(reports []hostReport) {
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

const watchInterval = 200 * time.Millisecond

// Watch prints the revision of each host until the given revision is active on all hosts that answer, or the timeout
// has passed. With revision 0 it waits until these hosts have the same configuration. It does not wait for hosts that
// do not answer; if there are any, the exit code is ExitPartial.
func (t *Tool) Watch(ctx context.Context, revision uint64, timeout time.Duration) int {
	if !t.requireHosts() {
		return ExitUsage
	}
	deadline := time.Now().Add(timeout)
	latest := ""
	for {
		reports := t.fetchReports(ctx)
		if line := formatRevisions(reports); line != latest {
			latest = line
			fmt.Fprintln(t.Err, line)
		}
		if countReachable(reports) > 0 && isActive(reports, revision) {
			if t.JSON {
				t.writeJSON(reports)
			}
			return exitCode(reports)
		}
		if time.Now().After(deadline) {
			fmt.Fprintf(t.Err, "revision %d is not in force everywhere after %s; 'fireflyctl status' shows refused records\n", revision, timeout)
			if countReachable(reports) == 0 {
				return ExitUnreachable
			}
			return ExitFailed
		}
		select {
		case <-ctx.Done():
			return ExitFailed
		case <-time.After(watchInterval):
		}
	}
}

func formatRevisions(reports []hostReport) string {
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

func isActive(reports []hostReport, revision uint64) bool {
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

// Explain prints a request's trace: the hosts and backend servers it was sent to, when, and why.
func (t *Tool) Explain(ctx context.Context, id string) int {
	if !t.requireHosts() {
		return ExitUsage
	}
	answered := 0
	for _, addr := range t.Hosts {
		var events []core.TraceEvent
		code, err := get(ctx, addr, "/explain/"+id, &events)
		if err == nil {
			t.printTrace(addr, events)
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

func (t *Tool) printTrace(addr string, events []core.TraceEvent) {
	if t.JSON {
		t.writeJSON(map[string]any{"admin": addr, "trail": events})
		return
	}
	fmt.Fprintf(t.Out, "entry host %s\n", addr)
	for _, e := range events {
		fmt.Fprintf(t.Out, "  +%-10s %s\n", (e.At - events[0].At).Round(10*time.Microsecond), e.What)
	}
}
