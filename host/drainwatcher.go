package host

import (
	"context"
	"time"

	"cactuswell/io/configuration"
	"cactuswell/timer"
)

// drainCheckInterval is the longest time between two checks of the operators'
// drains. The checks without a change of the configuration cover endpoints that are
// added after their drain was published.
const drainCheckInterval = time.Second

// drainWatcher is the duty that applies the operators' drains in the configuration
// to the directory.
type drainWatcher struct {
	configuration *configuration.Configuration
	directory     *directory
	timers        *timer.Service
}

// run applies the drains after every change of the configuration until ctx ends.
func (w *drainWatcher) run(ctx context.Context) error {
	tick := w.timers.Every(drainCheckInterval)
	defer tick.Stop()
	for {
		changed := w.configuration.Changed()
		w.directory.applyDrains(w.configuration.IsDrained)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C():
		}
	}
}
