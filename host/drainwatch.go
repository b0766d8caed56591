package host

import (
	"context"
	"time"

	"cactuswell/io/configuration"
	"cactuswell/timer"
)

// drainInterval is the longest time between two looks at the operators' drains.
// It covers endpoints that come up after their drain was published.
const drainInterval = time.Second

// drainWatch is the duty that carries the operators' drains from the
// configuration to the directory.
type drainWatch struct {
	configuration *configuration.Configuration
	directory     *directory
	timers        *timer.Service
}

// run follows the configuration until ctx ends.
func (w *drainWatch) run(ctx context.Context) error {
	tick := w.timers.Every(drainInterval)
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
