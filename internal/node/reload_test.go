package node

import (
	"bytes"
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/telemetry"
)

// Guards against a reload that loses the settings of admission queues or asks for a restart because of them, and against a bad file
// that changes them.
func TestReloadOfAdmissionSettings(t *testing.T) {
	set := &Settings{Name: "n", Admission: router.AdmissionSettings{Enabled: true, MaxRequests: 64}}
	var logs bytes.Buffer
	c := newControl(router.New(router.Options{Host: "10.0.0.1", Zone: "zone-a"}), zerolog.Nop(), telemetry.NewMetrics())
	n := &Node{set: set, log: zerolog.New(&logs), control: c}
	loads, signal := make(chan func() (*Settings, error)), make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.watchSettings(ctx, func() (*Settings, error) {
			select {
			case load := <-loads:
				return load()
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}, signal)
	}()
	reload := func(next *Settings, err error) {
		signal <- struct{}{}
		select {
		case loads <- func() (*Settings, error) { return next, err }:
		case <-time.After(20 * time.Second):
			require.Fail(t, "the settings are not read again")
		}
	}
	changed := *set
	changed.Admission = router.AdmissionSettings{MaxRequests: 64}
	reload(nil, errors.New("max-requests is bad"))
	reload(&changed, nil)
	reload(&changed, nil) // the change has been posted as this one is read
	cancel()
	<-ended
	require.Len(t, c.queue, 1, "the bad file and the unchanged one post nothing")
	require.Equal(t, router.SettingsChanged{Admission: changed.Admission}, <-c.queue)
	require.Contains(t, logs.String(), "max-requests is bad")
	require.Contains(t, logs.String(), `"restart_needed":false`)
}
