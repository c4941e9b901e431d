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

// oneServer is a second of one server of the usual speed, in cells of 10 ms.
func oneServer() *capacity {
	l := &Logs{Servers: map[string]*Server{"a": {ID: "a", Service: "s"}}, End: 990 * ms}
	return newCapacity(l, &Model{Service: "s"}, 10*ms)
}

// Work that can be checked by hand: windows that contain each other, cross, and lie apart.
func TestTakeGivesWhatFits(t *testing.T) {
	c := oneServer()
	work := func(d time.Duration) float64 { return float64(d) }
	require.Equal(t, work(50*ms), c.take(0, 99*ms, work(50*ms)))
	require.Equal(t, work(50*ms), c.take(0, 99*ms, work(80*ms)), "100 ms hold no more")
	require.Zero(t, c.take(20*ms, 79*ms, work(10*ms)), "nothing is left inside")
	require.Equal(t, work(100*ms), c.take(0, 199*ms, work(300*ms)), "the other half of the longer window")
	require.Equal(t, work(200*ms), c.take(150*ms, 399*ms, work(500*ms)), "what crosses has the time behind")
	require.Equal(t, work(600*ms), c.take(0, 990*ms, work(5*time.Second)), "the rest of the second")
}

// A fast server does more, and one that is gone does nothing.
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

// journal writes log lines as hosts do.
type journal struct {
	b     strings.Builder
	start time.Time
}

func newJournal() *journal {
	j := &journal{start: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	j.line(0, `"message":"Serving.","zone":"zone-a"`)
	j.line(0, `"message":"Cluster state changed.","what":"backend server joined","subject":"e1","detail":"models 10.0.0.1:80 slots=2"`)
	return j
}

func (j *journal) line(at time.Duration, fields string) {
	fmt.Fprintf(&j.b, "%.3f host-1 {\"time\":%q,%s}\n", at.Seconds(), j.start.Add(at).Format("2006-01-02T15:04:05.000Z07:00"), fields)
}

// stream logs one that arrived at a moment, read 1,000 tokens in 100 ms and made ten events 20 ms apart.
func (j *journal) stream(arrived time.Duration, late string) {
	j.line(arrived+300*ms, fmt.Sprintf(`"message":"Ended.","route":"r","outcome":"answered","ms":300,"first_ms":120,"target_ms":200,"allowed_ms":1000,`+
		`"prompt":4000,"output":30,"last_event":10,"backend":"e1","attempts":1,"late":%q`, late))
}

func (j *journal) refused(at time.Duration, outcome string) {
	j.line(at, fmt.Sprintf(`"message":"Ended.","route":"r","outcome":%q,"ms":0,"target_ms":200,"allowed_ms":1000,"prompt":4000,"output":30`, outcome))
}

func (j *journal) compute(t *testing.T) *Result {
	l := NewLogs()
	require.NoError(t, l.Read("log", strings.NewReader("built in 3 s\n"+j.b.String())))
	require.Equal(t, 1, l.Unread)
	return Compute(l, Options{LateShare: 0.3, Window: 2 * time.Second})
}

// A calm time: all served, and the bound says that all could be.
func TestCalmTime(t *testing.T) {
	j := newJournal()
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

// One engine cannot serve twenty at the same moment, whoever decides: each costs it 120 ms of reading and
// 100 ms for its part of ten steps of 20 ms. In time are those whose work ends by their objective and the
// time that ten events take, 400 ms; the others come late until a second has passed.
func TestBurstBoundByHand(t *testing.T) {
	j := newJournal()
	for i := 0; i < 10; i++ {
		j.stream(time.Duration(i)*500*ms, "") // from these the model is learned
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
	require.InDelta(t, 1, last.Lost[NoRoom], 1e-9)
	inTime := 400.0 / 220
	late := 1000.0/220 - inTime
	cell := 40_000.0 / maxCells / 220 // what the grid may add at each end
	require.InDelta(t, (inTime+0.3*late)/20, last.Bound, 2*cell/20)
}

// Causes are told apart, and what is late counts in part.
func TestLossesByCause(t *testing.T) {
	j := newJournal()
	for i, late := range []string{"", "", "", "", "", "first", "pause"} {
		j.stream(time.Duration(i)*500*ms, late)
	}
	j.refused(4*time.Second, "no_backend")
	j.refused(4*time.Second, "backend_lost")
	r := j.compute(t)
	require.InDelta(t, (5+0.6)/9, r.Total.Served, 1e-9)
	require.InDelta(t, 0.7/9, r.Total.Lost[LateFirst], 1e-9)
	require.InDelta(t, 0.7/9, r.Total.Lost[LatePause], 1e-9)
	require.InDelta(t, 1.0/9, r.Total.Lost[NotYet], 1e-9)
	require.InDelta(t, 1.0/9, r.Total.Lost[Broken], 1e-9)
	var table, data bytes.Buffer
	r.Table(&table)
	require.Contains(t, table.String(), "late by a pause")
	require.NoError(t, r.JSON(&data))
	require.Contains(t, data.String(), `"Bound"`)
	require.NoError(t, r.Plot(t.TempDir()+"/bound.svg"))
}

// Logs of earlier builds have "Belief changed." where later ones have "Cluster state changed.". Either text must give the
// same servers and the same result.
func TestStateChangesInLogsOfEarlierBuilds(t *testing.T) {
	later := newJournal()
	for i := 0; i < 20; i++ {
		later.stream(time.Duration(i)*500*ms, "")
	}
	later.line(11*time.Second, `"message":"Cluster state changed.","what":"backend server drains","subject":"e1"`)
	later.refused(12*time.Second, "overloaded")
	earlier := &journal{start: later.start}
	earlier.b.WriteString(strings.ReplaceAll(later.b.String(), "Cluster state changed.", "Belief changed."))
	require.NotContains(t, earlier.b.String(), "Cluster state changed.")
	servers := map[string]*Server{"e1": {ID: "e1", Service: "models", Slots: 2, To: 11 * time.Second}}
	for _, j := range []*journal{earlier, later} {
		l := NewLogs()
		require.NoError(t, l.Read("log", strings.NewReader(j.b.String())))
		require.Equal(t, servers, l.Servers)
	}
	require.Equal(t, later.compute(t), earlier.compute(t))
}
