package bound

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

// newSingleServerCapacity returns the capacity of one reference server over a second, in cells of 10 ms.
func newSingleServerCapacity() *capacity {
	l := &Logs{Servers: map[string]*Server{"a": {ID: "a", Service: "s"}}, End: 990 * ms}
	return newCapacity(l, &Model{Service: "s"}, 10*ms)
}

// Checks allocations by hand: windows that are nested, overlap, and are disjoint.
func TestAllocationsByHand(t *testing.T) {
	c := newSingleServerCapacity()
	work := func(d time.Duration) float64 { return float64(d) }
	require.Equal(t, work(50*ms), c.allocate(0, 99*ms, work(50*ms)))
	require.Equal(t, work(50*ms), c.allocate(0, 99*ms, work(80*ms)), "100 ms have no more capacity")
	require.Zero(t, c.allocate(20*ms, 79*ms, work(10*ms)), "no capacity left inside the window")
	require.Equal(t, work(100*ms), c.allocate(0, 199*ms, work(300*ms)), "the other half of the longer window")
	require.Equal(t, work(200*ms), c.allocate(150*ms, 399*ms, work(500*ms)), "an overlapping window has only the time after the others")
	require.Equal(t, work(600*ms), c.allocate(0, 990*ms, work(5*time.Second)), "the rest of the second")
}

// A faster server has more capacity, and a server that is gone has none.
func TestCapacityFollowsTheServers(t *testing.T) {
	l := &Logs{End: 990 * ms, Servers: map[string]*Server{
		"fast": {ID: "fast", Service: "s"},
		"gone": {ID: "gone", Service: "s", To: 500 * ms},
		"else": {ID: "else", Service: "other"},
	}}
	c := newCapacity(l, &Model{Service: "s", Speed: map[string]float64{"fast": 2}}, 10*ms)
	require.InDelta(t, float64(3*500*ms), c.slack[0][49], 1)
	require.InDelta(t, float64(3*500*ms+2*500*ms), c.slack[0][99], 1)
}

// logBuilder builds a log in the format of the hosts.
type logBuilder struct {
	b     strings.Builder
	start time.Time
}

func newLogBuilder() *logBuilder {
	j := &logBuilder{start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	j.line(0, `"message":"Serving.","zone":"zone-a"`)
	j.line(0, `"message":"Cluster state changed.","what":"backend server joined","subject":"e1","detail":"models 10.0.0.1:80 slots=2"`)
	return j
}

func (j *logBuilder) line(at time.Duration, fields string) {
	fmt.Fprintf(&j.b, "%.3f host-1 {\"time\":%q,%s}\n", at.Seconds(), j.start.Add(at).Format("2006-01-02T15:04:05.000Z07:00"), fields)
}

// stream logs a stream that arrived at the given time. Its prompt has 4,000 tokens, its first event came after 120 ms,
// and its ten events are 20 ms apart.
func (j *logBuilder) stream(arrived time.Duration, late string) {
	j.line(arrived+300*ms, fmt.Sprintf(`"message":"Ended.","route":"r","outcome":"answered","ms":300,"first_ms":120,"target_ms":200,"allowed_ms":1000,`+
		`"prompt":4000,"output":30,"last_event":10,"backend":"e1","attempts":1,"late":%q`, late))
}

func (j *logBuilder) refused(at time.Duration, outcome string) {
	j.line(at, fmt.Sprintf(`"message":"Ended.","route":"r","outcome":%q,"ms":0,"target_ms":200,"allowed_ms":1000,"prompt":4000,"output":30`, outcome))
}

func (j *logBuilder) compute(t *testing.T) *Result {
	l := NewLogs()
	require.NoError(t, l.Read("log", strings.NewReader("built in 3 s\n"+j.b.String())))
	require.Equal(t, 1, l.Skipped)
	return Compute(l, Options{LateShare: 0.3, Window: 2 * time.Second})
}

// Without overload all requests are served, and the bound is 1.
func TestCalmTime(t *testing.T) {
	j := newLogBuilder()
	for i := 0; i < 20; i++ {
		j.stream(time.Duration(i)*500*ms, "")
	}
	r := j.compute(t)
	require.Equal(t, 20, r.Total.Owed)
	require.InDelta(t, 1, r.Total.Served, 1e-9)
	require.InDelta(t, 1, r.Total.Bound, 1e-9)
	require.Equal(t, "zone-a", r.ByZone[0].Name)
	require.Len(t, r.ByWindow, 5)
	require.InDelta(t, 30*time.Microsecond, r.Models[0].Read, float64(time.Microsecond), "120 ms for 4,000 tokens")
	require.Equal(t, 20*ms, r.Models[0].Interval)
	require.Equal(t, 2, r.Models[0].Slots)
}

// One engine cannot serve twenty simultaneous requests in time under any scheduler: each costs it 120 ms of prefill
// and 100 ms as its share of ten steps of 20 ms. Requests are in time if their work ends within 400 ms, the objective
// plus the time of ten events. The others are late until the timeout of 1 s.
func TestBurstBoundByHand(t *testing.T) {
	j := newLogBuilder()
	for i := 0; i < 10; i++ {
		j.stream(time.Duration(i)*500*ms, "") // the model is fitted to these
	}
	for i := 0; i < 20; i++ {
		j.refused(20*time.Second, "overloaded")
	}
	j.refused(20*time.Second, "over_quota")
	j.refused(20*time.Second, "unknown_key")
	j.line(40*time.Second, `"message":"Stopped."`)
	r := j.compute(t)
	require.Equal(t, 1, r.RefusedOverLimit)
	require.Equal(t, 1, r.CallerOwn)
	last := r.ByWindow[len(r.ByWindow)-1]
	require.Equal(t, 20, last.Owed)
	require.InDelta(t, 1, last.Lost[NoCapacity], 1e-9)
	inTime := 400.0 / 220
	late := 1000.0/220 - inTime
	cell := 40_000.0 / maxCells / 220 // rounding to cells may add this at each end
	require.InDelta(t, (inTime+0.3*late)/20, last.Bound, 2*cell/20)
}

// Losses are attributed to their causes, and late responses count in part.
func TestLossesByCause(t *testing.T) {
	j := newLogBuilder()
	for i, late := range []string{"", "", "", "", "", "first", "pause"} {
		j.stream(time.Duration(i)*500*ms, late)
	}
	j.refused(4*time.Second, "no_backend")
	j.refused(4*time.Second, "backend_lost")
	r := j.compute(t)
	require.InDelta(t, (5+0.6)/9, r.Total.Served, 1e-9)
	require.InDelta(t, 0.7/9, r.Total.Lost[LateFirst], 1e-9)
	require.InDelta(t, 0.7/9, r.Total.Lost[LatePause], 1e-9)
	require.InDelta(t, 1.0/9, r.Total.Lost[NotServing], 1e-9)
	require.InDelta(t, 1.0/9, r.Total.Lost[Failed], 1e-9)
	var table, data bytes.Buffer
	r.Table(&table)
	require.Contains(t, table.String(), "late by a pause")
	require.NoError(t, r.JSON(&data))
	require.Contains(t, data.String(), `"Bound"`)
	require.NoError(t, r.Plot(t.TempDir()+"/bound.svg"))
}

// Logs of earlier builds have "Belief changed." where later ones have "Cluster state changed.". Both must give the same
// servers and the same result.
func TestStateChangesInLogsOfEarlierBuilds(t *testing.T) {
	later := newLogBuilder()
	for i := 0; i < 20; i++ {
		later.stream(time.Duration(i)*500*ms, "")
	}
	later.line(11*time.Second, `"message":"Cluster state changed.","what":"backend server drains","subject":"e1"`)
	later.refused(12*time.Second, "overloaded")
	earlier := &logBuilder{start: later.start}
	earlier.b.WriteString(strings.ReplaceAll(later.b.String(), "Cluster state changed.", "Belief changed."))
	require.NotContains(t, earlier.b.String(), "Cluster state changed.")
	servers := map[string]*Server{"e1": {ID: "e1", Service: "models", Slots: 2, To: 11 * time.Second}}
	for _, j := range []*logBuilder{earlier, later} {
		l := NewLogs()
		require.NoError(t, l.Read("log", strings.NewReader(j.b.String())))
		require.Equal(t, servers, l.Servers)
	}
	require.Equal(t, later.compute(t), earlier.compute(t))
}
