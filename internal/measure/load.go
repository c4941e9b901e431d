package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the histograms, in microseconds, and their significant digits.
const (
	histogramMin    = 1
	histogramMax    = 120_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(histogramMin, d.Microseconds()))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// runOpenLoop starts calls as a Poisson process with the given rate per second, whether earlier calls have ended or not,
// and waits until all have ended. Callers measure latency from the planned time, so that a delayed start is included.
func runOpenLoop(rate float64, length time.Duration, seed uint64, call func(ctx context.Context, i int, planned time.Time)) {
	rng := rand.New(rand.NewPCG(seed, 7))
	ctx, cancel := context.WithTimeout(context.Background(), length+time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	start := time.Now()
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		if next.Sub(start) > length {
			break
		}
		time.Sleep(time.Until(next))
		wg.Add(1)
		go func(planned time.Time) {
			defer wg.Done()
			call(ctx, i, planned)
		}(next)
	}
	wg.Wait()
}

// linearFit is a least-squares line through measured points.
type linearFit struct {
	slope, intercept float64
	// maxDeviation is the largest deviation of a point from the line, relative to the largest value.
	maxDeviation float64
}

func fitLine(x, y []float64) linearFit {
	n := float64(len(x))
	var sx, sy, sxx, sxy, maxY float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		maxY = max(maxY, y[i])
	}
	var f linearFit
	f.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.intercept = (sy - f.slope*sx) / n
	for i := range x {
		d := y[i] - (f.intercept + f.slope*x[i])
		f.maxDeviation = max(f.maxDeviation, max(d, -d)/maxY)
	}
	return f
}
