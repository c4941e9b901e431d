package router

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a long prompt that gets the first free slot at an engine which prefills so slowly that its caller waits too long for
// the first event, although a faster engine is about to have one; and against a slot that is kept from it for longer than 100 ms.
func TestLongPromptWaitsForAFasterEngine(t *testing.T) {
	t.Parallel()
	const shortPrompt, prompt, longest = 100, 10_000, 40_000
	for _, c := range []struct {
		name      string
		balancing BalancingSettings
		prompt    int
		frees     bool // a slot of the fast engine becomes free
		want      string
		waits     time.Duration
	}{
		{"served in time by the fast engine", learnedLimits, prompt, true, "e000", 30 * time.Millisecond},
		{"no fast engine in time", learnedLimits, prompt, false, "e001", maxFasterEngineWait},
		{"short prompt", learnedLimits, shortPrompt, true, "e001", 0},
		{"late everywhere", learnedLimits, longest, true, "e001", 0},
		{"without the setting", BalancingSettings{}, prompt, true, "e001", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f, at := newUnevenFleet(t, withQueues, c.balancing)
			id := f.submitTo(f.hosts[0], func(s *Submit) { s.PromptTok = c.prompt })
			begun := f.now
			require.False(t, has(f.sent, id), "all engines are full")
			f.finish(at["e001"][0])
			if c.frees {
				f.run(30*time.Millisecond, 0)
				f.finish(at["e000"][0])
			}
			f.run(time.Second, 0)
			require.Equal(t, c.want, f.sent[id].Backend.ID)
			require.InDelta(t, float64(c.waits), float64(f.settled[id]-begun), float64(30*time.Millisecond))
		})
	}
}

// newUnevenFleet starts a fleet of a host, a fast engine e000 and a slow one e001, both full, and returns the requests at each.
func newUnevenFleet(t *testing.T, admission AdmissionSettings, balancing BalancingSettings) (f *queueFleet, at map[string][]uint64) {
	f, at = newQueueFleet(t, 1, 1, 2), map[string][]uint64{}
	h := f.hosts[0]
	f.fill()
	f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: admission, Balancing: balancing})
	h.r.backends["e000"].prefillPerToken, h.r.backends["e001"].prefillPerToken = 30*time.Microsecond, 150*time.Microsecond
	h.r.serviceState("m").prefillPerToken = 30 * time.Microsecond
	for h.r.waiting() > 0 { // those that fill has queued
		f.run(zoneStep, 0)
	}
	for _, id := range slices.Sorted(maps.Keys(f.sent)) {
		at[f.sent[id].Backend.ID] = append(at[f.sent[id].Backend.ID], id)
	}
	return f, at
}

// Guards against a request that is refused while a slot is free, as the slot is kept from it and the queue has no place for it.
func TestNoRequestIsRefusedForAFasterEngine(t *testing.T) {
	t.Parallel()
	f, at := newUnevenFleet(t, AdmissionSettings{Enabled: true, MaxRequests: 1}, learnedLimits)
	f.finish(at["e001"][0])
	long := func(s *Submit) { s.PromptTok = 10_000 }
	first, second := f.submitTo(f.hosts[0], long), f.submitTo(f.hosts[0], long)
	require.False(t, has(f.sent, first), "waits for the fast engine")
	require.False(t, has(f.refuses, second))
	require.Equal(t, "e001", f.sent[second].Backend.ID)
}

// Guards against a request whose patience ends while a free slot is kept from it.
func TestShortPatienceDoesNotWaitForAFasterEngine(t *testing.T) {
	t.Parallel()
	f, at := newUnevenFleet(t, withQueues, learnedLimits)
	f.finish(at["e001"][0])
	id := f.submitTo(f.hosts[0], func(s *Submit) {
		s.PromptTok, s.OutputTok = 10_000, 0
		s.Deadline = f.now - f.hosts[0].startedAt + patienceDivisor*(maxFasterEngineWait-answerMargin)
	})
	f.run(2*maxFasterEngineWait, 0)
	require.False(t, has(f.refuses, id))
	require.Equal(t, "e001", f.sent[id].Backend.ID)
}

// Guards against a slot that stays idle for longer than maxFasterEngineWait, as free slots that suit no waiting request are compared
// with them only from time to time.
func TestSlotIsKeptForAFasterEngineNoLonger(t *testing.T) {
	t.Parallel()
	for offset := time.Duration(0); offset < misfitInterval; offset += 2 * time.Millisecond {
		f, at := newUnevenFleet(t, withQueues, learnedLimits)
		f.finish(at["e001"][0])
		f.run(offset, 0)
		id := f.submitTo(f.hosts[0], func(s *Submit) { s.PromptTok = 10_000 })
		begun := f.now
		f.run(2*maxFasterEngineWait, 0)
		require.Equal(t, "e001", f.sent[id].Backend.ID)
		require.LessOrEqual(t, f.settled[id]-begun, maxFasterEngineWait, "offset %s", offset)
	}
}
