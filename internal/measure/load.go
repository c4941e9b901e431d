package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	histogramLeast  = 1
	histogramMost   = 120_000_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLeast, histogramMost, histogramDigits)
}

func noteDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(histogramLeast, d.Microseconds()))
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// openLoop calls one at random moments with a mean rate, whether earlier calls have ended or not,
// and waits for all to end. Latency counts from the planned moment, so a slow start is not hidden.
func openLoop(rate float64, length time.Duration, seed uint64, one func(ctx context.Context, i int, planned time.Time)) {
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
			one(ctx, i, planned)
		}(next)
	}
	wg.Wait()
}

// fit is a least-squares line through measured points.
type fit struct {
	slope, base float64
	// worst is the largest distance of a point from the line, as a share of the largest value.
	worst float64
}

func fitLine(x, y []float64) fit {
	n := float64(len(x))
	var sx, sy, sxx, sxy, most float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
		most = max(most, y[i])
	}
	var f fit
	f.slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	f.base = (sy - f.slope*sx) / n
	for i := range x {
		d := y[i] - (f.base + f.slope*x[i])
		f.worst = max(f.worst, max(d, -d)/most)
	}
	return f
}
