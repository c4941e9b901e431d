package measure

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"fireflyshift/internal/standin/fleet"
)

// Overhead compares the latency of calls through a host with that of direct calls to the same plain service, at each
// rate in turn. The host that receives the calls does not schedule the service, so each request includes a round trip
// between hosts, as most requests do.
func Overhead(out io.Writer, bin string, rates []float64, length time.Duration) error {
	r, err := newTestbed(bin)
	if err != nil {
		return err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	direct := r.addPlain("git-1", "git", "zone-a", 2*time.Millisecond, 512)
	r.addHosts("zone-a", 2)
	if err := r.start(); err != nil {
		return err
	}
	entry, err := r.nonSchedulingHost("git", "zone-a")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "plain service of 2 ms; entry host and scheduling host apart; each row one run of %s a side\n", length)
	fmt.Fprintf(out, "%10s %10s %10s %10s %10s %10s %10s %8s\n", "rate/s", "direct p50", "host p50", "added", "direct p99", "host p99", "added", "failed")
	for _, rate := range rates {
		d := measureCalls(rate, length, "http://"+direct+"/x")
		h := measureCalls(rate, length, "http://"+entry.Callers+"/services/git/x")
		fmt.Fprintf(out, "%10.0f %10s %10s %10s %10s %10s %10s %8d\n", rate, d.p50, h.p50, h.p50-d.p50, d.p99, h.p99, h.p99-d.p99, h.failed+d.failed)
	}
	return nil
}

type callTimes struct {
	p50, p99 time.Duration
	failed   int
}

func measureCalls(rate float64, length time.Duration, url string) callTimes {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 20 * time.Second}
	hist := newHistogram()
	var mu sync.Mutex
	var t callTimes
	runOpenLoop(rate, length, 1, func(ctx context.Context, _ int, planned time.Time) {
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		req.Header.Set("Authorization", "Bearer school-key")
		resp, err := client.Do(req)
		ok := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		mu.Lock()
		defer mu.Unlock()
		if !ok {
			t.failed++
			return
		}
		recordDuration(hist, time.Since(planned))
	})
	t.p50, t.p99 = quantile(hist, 50), quantile(hist, 99)
	return t
}

// MemoryPerRequest measures a host's memory per request: with all requests streaming, and with eight waiting requests
// for each streaming one, the most that the queue's limit allows.
func MemoryPerRequest(out io.Writer, bin string, sizes []int) error {
	for _, kind := range []string{"mostly waiting", "streaming"} {
		var x, y []float64
		for _, n := range sizes {
			bytes, err := measureMemory(bin, kind, n)
			if err != nil {
				return err
			}
			x, y = append(x, float64(n)), append(y, bytes)
			fmt.Fprintf(out, "%s: %d requests, %.1f MB resident\n", kind, n, bytes/1e6)
		}
		f := fitLine(x, y)
		fmt.Fprintf(out, "%s: %.1f KB a request, base %.1f MB, worst point off by %.0f%%\n", kind, f.slope/1e3, f.intercept/1e6, 100*f.maxDeviation)
	}
	return nil
}

func measureMemory(bin, kind string, n int) (float64, error) {
	r, err := newTestbed(bin)
	if err != nil {
		return 0, err
	}
	defer r.close()
	r.publish(baseRecords("cost")...)
	o := slowEngineOptions(n, kind)
	r.addEngine("e1", "notes", "zone-a", o)
	r.addHosts("zone-a", 1)
	r.specs[0].Extra = "[limits]\nmax_requests = 100000\n"
	if err := r.start(); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := fleet.NewCaller("school-key").WithHeader("Fireflyshift-Deadline-Ms", "600000")
	for i := 0; i < n; i++ {
		go c.Chat(ctx, r.specs[0].Callers, "notes", fmt.Sprint("p", i), 100_000, true)
	}
	reached := fleet.WaitUntil(startTimeout, func() bool {
		s, err := r.status(r.specs[0])
		return err == nil && s.Requests >= n
	})
	if !reached {
		return 0, fmt.Errorf("the host did not reach %d concurrent requests in time", n)
	}
	time.Sleep(2 * time.Second)
	u, err := r.usage(r.specs[0])
	return float64(u.resident), err
}
