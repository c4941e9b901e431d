package node

import (
	"context"
	"reflect"
	"time"

	"fireflyshift/internal/router"
)

// reloadEvery is how often the settings file is read again: it may change without a signal.
const reloadEvery = 2 * time.Second

// watchSettings takes changed settings, at a signal and every reloadEvery. A bad file leaves the
// settings in force.
func (n *Node) watchSettings(ctx context.Context, load func() (*Settings, error), signal <-chan struct{}) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	current, bad := *n.set, ""
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-signal:
			asked = true
		}
		next, err := load()
		if err != nil {
			if asked || err.Error() != bad {
				n.log.Error().Err(err).Msg("Settings refused. The last ones stay in force.")
			}
			bad = err.Error()
			continue
		}
		bad = ""
		if reflect.DeepEqual(*next, current) {
			if asked {
				n.log.Info().Msg("Settings read again. Nothing has changed.")
			}
			continue
		}
		n.log.Info().Bool("signal", asked).Bool("restart_needed", needsRestart(&current, next)).Msg("Settings changed.")
		current = *next
		n.control.Post(router.SettingsChanged{Seeds: next.Seeds, Bounds: next.Bounds})
	}
}

// needsRestart tells whether a change cannot be taken by a running process: its addresses and place.
func needsRestart(a, b *Settings) bool {
	x, y := *a, *b
	x.Seeds, y.Seeds = nil, nil
	x.Bounds, y.Bounds = router.Bounds{}, router.Bounds{}
	return !reflect.DeepEqual(x, y)
}
