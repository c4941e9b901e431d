package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/gossip/gossippb"
	"fireflyshift/internal/pace"
	"fireflyshift/internal/routing"
)

const steepGap = 50 * time.Millisecond

// newLearningFleet starts a small fleet with owners, whose engines have all slots taken.
func newLearningFleet(t *testing.T, describe func(int) pacedEngine) *pacedFleet {
	f := newPacedFleet(t, 3, 2, 2, loadQueues, learnedLimits, steepGap, describe)
	f.addPaced(20*6, "w", shortPrompt)
	return f
}

// owned returns the engines that hosts own, with the owner's state of each.
func (f *pacedFleet) owned() map[*backend]*zoneHost {
	out := map[*backend]*zoneHost{}
	for _, h := range f.hosts {
		for _, b := range h.r.allBackends() {
			if !h.dead && h.r.owns(b) {
				out[b] = h
			}
		}
	}
	return out
}

// limited returns the number of engines with a learned limit below their slots.
func (f *pacedFleet) limited() int {
	n := 0
	for b, h := range f.owned() {
		if h.r.learnedLimit(b) > 0 {
			n++
		}
	}
	return n
}

// Guards against limits from nothing: without streams, as without the setting, the slots are the limit. Plain calls show no pace.
func TestNoStreamsNoLimit(t *testing.T) {
	f := newPacedFleet(t, 3, 2, 2, loadQueues, learnedLimits, steepGap, steepEngine)
	for b, h := range f.owned() {
		require.Equal(t, loadSlots+beyondSlots, h.r.capBySlotLimit(b, queueLimit(b)))
		b.pace = &learnedPace{}
		b.pace.held.Note(h.r.now, loadSlots)
		report := func(events uint32) {
			for range 5 {
				f.post(h, ReportReceived{From: f.hosts[0].ip, Report: &gossippb.Report{Backend: b.hash, IntervalUs: 900_000, Events: events}})
			}
		}
		report(0)
		require.Equal(t, loadSlots, h.r.slotLimit(b))
		require.Zero(t, h.r.learnedLimit(b))
		report(pacedEvents)
		require.Equal(t, loadSlots-1, h.r.learnedLimit(b))
	}
}

// Guards against a log that is flooded by a limit that changes with each observation.
func TestChangesOfALimitAreLoggedOnceASecond(t *testing.T) {
	f := newPacedFleet(t, 3, 2, 2, loadQueues, learnedLimits, steepGap, steepEngine)
	for b, h := range f.owned() {
		p := h.r.paceOf(b)
		for i := range 10 {
			p.curve.Reset()
			for range 5 * (i % 2) {
				p.curve.Observe(h.r.now, loadSlots, time.Second, pacedEvents)
			}
			h.r.noteLimit(b, p)
		}
		require.Equal(t, LimitCounts{Lowered: 1}, h.r.limitCounts)
		h.r.now += minLimitNoteInterval
		p.curve.Reset()
		h.r.noteLimit(b, p)
		require.Equal(t, LimitCounts{Lowered: 1, Raised: 1}, h.r.limitCounts)
		return
	}
}

// Guards against a wrong estimate that costs more than half of the slots, or any of them for long.
func TestWrongEstimateCostsHalfOfTheSlotsAtMost(t *testing.T) {
	slow := true
	f := newLearningFleet(t, func(int) pacedEngine {
		return pacedEngine{interval: func(held int) time.Duration {
			if slow {
				return 100 * time.Millisecond
			}
			return flat(held)
		}}
	})
	least := loadSlots
	step := f.onStep
	f.onStep = func() {
		for b, h := range f.owned() {
			least = min(least, h.r.slotLimit(b))
		}
		step()
	}
	f.run(20*time.Second, 0)
	require.Equal(t, pace.MinLimit(loadSlots), least)
	require.Equal(t, 6, f.limited())
	slow = false
	f.run(15*time.Second, 0)
	require.Zero(t, f.limited())
}

// Guards against a host's false reports of an engine whose pace others observe.
func TestFalseReportsAreOutliers(t *testing.T) {
	f := newLearningFleet(t, flatEngine)
	f.run(3*time.Second, 0)
	for range 60 {
		for b, h := range f.owned() {
			f.post(h, ReportReceived{From: f.hosts[0].ip, Report: &gossippb.Report{Backend: b.hash, IntervalUs: 900_000, Events: 50, Outcome: gossippb.Outcome_OUTCOME_SOUND}})
		}
		f.run(50*time.Millisecond, 0)
	}
	require.Zero(t, f.limited())
}

// Guards against a limit that the next start of an engine inherits.
func TestNewStartHasNoLimit(t *testing.T) {
	f := newLearningFleet(t, steepEngine)
	f.run(5*time.Second, 0)
	require.Equal(t, 6, f.limited())
	ch := routing.BackendChange{Backend: f.hosts[0].r.backends["e000"].Backend, Revision: rev(52)}
	ch.Start = 7
	for _, h := range f.hosts {
		f.post(h, Update{FromStore: true, After: rev(51), AsOf: rev(52), Revision: rev(52), Changes: routing.Changes{Backends: []routing.BackendChange{ch}}})
		b := h.r.backends["e000"]
		require.Equal(t, uint64(7), b.Start)
		require.Equal(t, loadSlots, h.r.slotLimit(b))
	}
}

// Guards against a limit from the time when an engine was cold, and at one that is: its rate limits it.
func TestColdEngineIsNotLearned(t *testing.T) {
	f := newLearningFleet(t, steepEngine)
	f.run(5*time.Second, 0)
	for b, h := range f.owned() {
		require.Less(t, h.r.slotLimit(b), loadSlots)
		b.warming.until = h.r.now + time.Second
		require.Equal(t, loadSlots, h.r.slotLimit(b))
		b.warming.until = 0
		require.Equal(t, loadSlots, h.r.slotLimit(b))
	}
}

// Guards against a new owner that lets engines slow down for long: it learns anew, within about ten streams at each engine.
func TestNewOwnerLearnsAnew(t *testing.T) {
	f := newLearningFleet(t, steepEngine)
	f.run(5*time.Second, 0)
	require.Equal(t, 6, f.limited())
	for _, h := range f.owned() {
		f.kill(h)
	}
	for i := 0; len(f.owned()) < 6; i++ {
		require.Less(t, i, 50)
		f.run(100*time.Millisecond, 0)
	}
	events := map[string]int{}
	for id, e := range f.paced {
		events[id] = e.events
	}
	sum, learned := 0.0, map[string]bool{}
	for i := 0; len(learned) < 6; i++ {
		require.Less(t, i, 500)
		f.run(10*time.Millisecond, 0)
		for b, h := range f.owned() {
			if h.r.learnedLimit(b) > 0 && !learned[b.ID] {
				learned[b.ID] = true
				sum += float64(f.paced[b.ID].events-events[b.ID]) / pacedEvents
			}
		}
	}
	t.Logf("%.1f streams at each engine", sum/6)
	require.LessOrEqual(t, sum/6, 12.0)
}

// Guards against a host that goes on learning, or limiting, after it was told to stop.
func TestLimitsEndWithTheSetting(t *testing.T) {
	f := newLearningFleet(t, steepEngine)
	f.run(5*time.Second, 0)
	require.Equal(t, 6, f.limited())
	for _, h := range f.hosts {
		f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: loadQueues})
	}
	for b, h := range f.owned() {
		require.Equal(t, loadSlots, h.r.slotLimit(b))
	}
	f.run(time.Second, 0)
	require.Zero(t, f.limited())
}

// Guards against a former owner that limits engines by what it knew, though it sees only its own streams now.
func TestOnlyTheOwnerLimits(t *testing.T) {
	f := newLearningFleet(t, steepEngine)
	f.run(5*time.Second, 0)
	owned := f.owned()
	for _, h := range owned {
		f.post(h, Drain{Until: f.now + time.Minute, Grace: time.Minute})
	}
	for b, h := range owned {
		require.False(t, h.r.owns(b))
		require.Equal(t, loadSlots, h.r.slotLimit(b))
		require.Zero(t, h.r.learnedLimit(b))
	}
}

// Guards against operators who cannot see why an engine holds fewer requests than it has slots.
func TestLearnedLimitIsShown(t *testing.T) {
	f := newPacedFleet(t, 3, 2, 2, loadQueues, learnedLimits, steepGap, steepEngine)
	notes := 0
	carryOut := f.onEffect
	f.onEffect = func(h *zoneHost, e Effect) bool {
		if n, ok := e.(Note); ok && n.What == "learned limit" {
			notes++
			require.Contains(t, n.Detail, "limit=5 slots=6 interval=")
		}
		return carryOut(h, e)
	}
	f.addPaced(20*6, "w", shortPrompt)
	f.run(5*time.Second, 0)
	shown, lowered := 0, 0
	for _, h := range f.hosts {
		v := h.r.View()
		lowered += v.LimitCounts.Lowered
		for _, b := range v.Backends {
			if b.LearnedLimit > 0 {
				require.Equal(t, loadSlots-1, b.LearnedLimit)
				shown++
			}
		}
	}
	require.Equal(t, 6, shown)
	require.Equal(t, lowered, notes)
	require.GreaterOrEqual(t, lowered, 6)
}

// The strictest route of a service decides; routes that send it nothing, and calls that are not streams, do not.
func TestLongestPauseOfAService(t *testing.T) {
	route := func(kind routing.Kind, gap time.Duration, service string, weight float64) routing.Route {
		return routing.Route{Kind: kind, MaxGap: gap, Shares: []routing.Share{{Service: service, Weight: weight}}}
	}
	got := pausesOf(&routing.Config{Routes: []routing.Route{
		route(routing.Streaming, 300, "m", 1), route(routing.Streaming, 200, "m", 1), route(routing.Streaming, 100, "m", 0),
		route(routing.Idempotent, 50, "m", 1), route(routing.Streaming, 0, "m", 1), route(routing.Streaming, 0, "n", 1)}})
	require.Equal(t, map[string]time.Duration{"m": 200}, got)
}

// Guards against two hosts of a fleet without owners that take the last slot of an engine at once.
func TestHostsThatDecideAloneLeaveASlot(t *testing.T) {
	f := newPacedFleet(t, 3, 2, 2, AdmissionSettings{}, learnedLimits, steepGap, steepEngine)
	h := f.hosts[0]
	b := h.r.backends["e000"]
	h.r.sampleOccupancy()
	for range 5 {
		b.pace.curve.Observe(h.r.now, loadSlots, 80*time.Millisecond, pacedEvents)
	}
	require.Equal(t, loadSlots-1, h.r.slotLimit(b))
	require.Equal(t, loadSlots-2, h.r.capBySlotLimit(b, 10))
	for n := loadSlots - 1; n > loadSlots/2; n-- {
		for range 5 {
			b.pace.curve.Observe(h.r.now, n, 80*time.Millisecond, pacedEvents)
		}
	}
	require.Equal(t, loadSlots/2, h.r.capBySlotLimit(b, 10), "half of the slots at least")
}

// Guards against a wrong limit that stays for good where hosts decide alone: if the margin applied to trials too, no engine would
// hold the number of requests that is tried, and wrong estimates would never be corrected.
func TestTrialsOfHostsThatDecideAloneLeaveNoSlot(t *testing.T) {
	f := newPacedFleet(t, 3, 2, 2, AdmissionSettings{}, learnedLimits, steepGap, steepEngine)
	h := f.hosts[0]
	b := h.r.backends["e000"]
	h.r.sampleOccupancy()
	for n := loadSlots; n > loadSlots/2; n-- {
		for range 5 {
			b.pace.curve.Observe(h.r.now, n, 80*time.Millisecond, pacedEvents)
		}
	}
	require.Equal(t, loadSlots/2, h.r.learnedLimit(b))
	for range 300 {
		h.r.now += 100 * time.Millisecond
		b.pace.curve.Observe(h.r.now, h.r.capBySlotLimit(b, loadSlots), 10*time.Millisecond, pacedEvents)
	}
	require.Zero(t, h.r.learnedLimit(b))
}

// Guards against a long prompt that goes where it delays many streams, if it could go elsewhere.
func TestLongPromptAvoidsEnginesWithManyStreams(t *testing.T) {
	for _, c := range []struct {
		name      string
		balancing BalancingSettings
		prompt    int
		want      string
	}{{"short", learnedLimits, 1000, "e001"}, {"long", learnedLimits, longPrompt, "e000"}, {"long without the setting", BalancingSettings{}, longPrompt, "e001"}} {
		t.Run(c.name, func(t *testing.T) {
			f := newPacedFleet(t, 1, 1, 2, AdmissionSettings{}, c.balancing, 100*time.Millisecond, flatEngine)
			r := f.hosts[0].r
			idle, busy := r.backends["e000"], r.backends["e001"]
			idle.prefillPerToken, busy.prefillPerToken = 30*time.Microsecond, 25*time.Microsecond
			busy.ownLoad.counts[0] = 4
			b, _ := r.selectBackend(&request{service: "m", Submit: Submit{Route: f.route, PromptTok: c.prompt, Deadline: r.now + time.Minute}})
			require.Equal(t, c.want, b.ID)
		})
	}
}
