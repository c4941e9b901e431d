package router

import (
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/admission"
)

// reload applies admission settings to a host.
func (f *queueFleet) reload(h *zoneHost, s AdmissionSettings) {
	f.post(h, SettingsChanged{Seeds: h.r.opt.Seeds, Bounds: h.r.opt.Bounds, Admission: s})
}

// Guards against a reload that refuses waiting requests although they fit the new limit.
func TestReloadOfTheLimitKeepsWhatFits(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 6)
	f.wait(5)
	owner := f.byIP[f.owners()[0]]
	waiting := owner.r.waiting()
	require.GreaterOrEqual(t, waiting, 5)
	f.reload(owner, AdmissionSettings{Enabled: true, MaxRequests: 1000})
	require.Equal(t, waiting, owner.r.waiting(), "a higher limit refuses none")
	f.reload(owner, AdmissionSettings{Enabled: true, MaxRequests: 3})
	require.Equal(t, 3, owner.r.waiting())
	require.Equal(t, waiting-3, owner.r.queues.counts.Refused[admission.QueueFull])
	require.Zero(t, owner.r.queues.counts.Refused[admission.OwnerGone])
	f.reload(owner, AdmissionSettings{Enabled: true, MaxRequests: 512})
	granted := owner.r.queues.counts.Granted
	f.finishAny(12)
	f.run(4*zoneStep, 0)
	require.Equal(t, granted+3, owner.r.queues.counts.Granted, "those that waited on")
}

// Guards against a reload that refuses a request while a slot for it is free.
func TestReloadOfTheLimitGrantsFreeSlotsFirst(t *testing.T) {
	f := newQueueFleet(t, 1, 6, 6)
	_, owner := f.wait(5)
	waiting := owner.r.waiting()
	f.freeUnseen(owner, "e000")
	f.reload(owner, AdmissionSettings{Enabled: true, MaxRequests: waiting - 1})
	require.Zero(t, owner.r.queues.counts.Refused[admission.QueueFull])
	require.Equal(t, waiting-1, owner.r.waiting())
}
