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

// Overhead compares calls through a host with direct calls to the same plain service, in turn at
// each rate. The host that takes the calls is not the one that schedules: each request costs the
// round trip between hosts, as most do.
func Overhead(out io.Writer, bin string, rates []float64, length time.Duration) error {
	r, err := newRig(bin)
	if err != nil {
		return err
	}
	defer r.close()
	r.publish(basics("cost")...)
	direct := r.addPlain("git-1", "git", "zone-a", 2*time.Millisecond, 512)
	r.addHosts("zone-a", 2)
	if err := r.start(); err != nil {
		return err
	}
	entry, err := r.notScheduling("git", "zone-a")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "plain service of 2 ms; entry host and scheduling host apart; each row one run of %s a side\n", length)
	fmt.Fprintf(out, "%10s %10s %10s %10s %10s %10s %10s %8s\n", "rate/s", "direct p50", "host p50", "added", "direct p99", "host p99", "added", "failed")
	for _, rate := range rates {
		d := timeCalls(rate, length, "http://"+direct+"/x")
		h := timeCalls(rate, length, "http://"+entry.Callers+"/services/git/x")
		fmt.Fprintf(out, "%10.0f %10s %10s %10s %10s %10s %10s %8d\n", rate, d.p50, h.p50, h.p50-d.p50, d.p99, h.p99, h.p99-d.p99, h.failed+d.failed)
	}
	return nil
}

type callTimes struct {
	p50, p99 time.Duration
	failed   int
}

func timeCalls(rate float64, length time.Duration, url string) callTimes {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}, Timeout: 20 * time.Second}
	hist := newHistogram()
	var mu sync.Mutex
	var t callTimes
	openLoop(rate, length, 1, func(ctx context.Context, _ int, planned time.Time) {
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
		noteDuration(hist, time.Since(planned))
	})
	t.p50, t.p99 = quantile(hist, 50), quantile(hist, 99)
	return t
}

// MemoryPerRequest measures what requests cost a host: all streaming, or eight waiting for each one
// that streams, which is as many as the queue's bound lets wait.
func MemoryPerRequest(out io.Writer, bin string, sizes []int) error {
	for _, kind := range []string{"mostly waiting", "streaming"} {
		var x, y []float64
		for _, n := range sizes {
			bytes, err := memoryAt(bin, kind, n)
			if err != nil {
				return err
			}
			x, y = append(x, float64(n)), append(y, bytes)
			fmt.Fprintf(out, "%s: %d requests, %.1f MB resident\n", kind, n, bytes/1e6)
		}
		f := fitLine(x, y)
		fmt.Fprintf(out, "%s: %.1f KB a request, base %.1f MB, worst point off by %.0f%%\n", kind, f.slope/1e3, f.base/1e6, 100*f.worst)
	}
	return nil
}

func memoryAt(bin, kind string, n int) (float64, error) {
	r, err := newRig(bin)
	if err != nil {
		return 0, err
	}
	defer r.close()
	r.publish(basics("cost")...)
	o := slowEngine(n, kind)
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
	held := fleet.WaitUntil(startTimeout, func() bool {
		s, err := r.status(r.specs[0])
		return err == nil && s.Requests >= n
	})
	if !held {
		return 0, fmt.Errorf("the host does not hold %d requests", n)
	}
	time.Sleep(2 * time.Second)
	u, err := r.usage(r.specs[0])
	return float64(u.resident), err
}
