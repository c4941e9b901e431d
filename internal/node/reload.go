package node

import (
	"context"
	"reflect"
	"time"

	"fireflyshift/internal/router"
)

// reloadInterval is how often the settings file is read again, as it may change without a signal.
const reloadInterval = 2 * time.Second

// watchSettings applies changed settings, at a signal and every reloadInterval. An invalid file leaves the
// current settings in use.
func (n *Node) watchSettings(ctx context.Context, load func() (*Settings, error), signal <-chan struct{}) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	current, lastErr := *n.set, ""
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signal:
			signaled = true
		}
		next, err := load()
		if err != nil {
			if signaled || err.Error() != lastErr {
				n.log.Error().Err(err).Msg("Settings refused. The previous ones stay in use.")
			}
			lastErr = err.Error()
			continue
		}
		lastErr = ""
		if reflect.DeepEqual(*next, current) {
			if signaled {
				n.log.Info().Msg("Settings read again. Nothing has changed.")
			}
			continue
		}
		n.log.Info().Bool("signal", signaled).Bool("restart_needed", needsRestart(&current, next)).Msg("Settings changed.")
		current = *next
		n.control.Post(router.SettingsChanged{Seeds: next.Seeds, Bounds: next.Bounds, Admission: next.Admission, Balancing: next.balancing()})
	}
}

// needsRestart reports whether a change takes effect only after a restart. Only seeds, bounds and the settings of admission queues and
// load balancing can change at run time.
func needsRestart(a, b *Settings) bool {
	x, y := *a, *b
	x.Seeds, y.Seeds = nil, nil
	x.Bounds, y.Bounds = router.Bounds{}, router.Bounds{}
	x.Admission, y.Admission = router.AdmissionSettings{}, router.AdmissionSettings{}
	x.Balancing, y.Balancing = nil, nil
	return !reflect.DeepEqual(x, y)
}
