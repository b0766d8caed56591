package engine

import "time"

// loading is the load of a version that the engine does not hold yet.
type loading struct {
	version string
	done    chan struct{}
}

// beginLoad must be called with the lock held, while nothing is loaded. Until
// the load is done the engine shows its old version and starts no attempt.
func (e *Engine) beginLoad(version string) {
	duration := e.switches.Current().ApplySlowdown(e.settings.LoadTime)
	if duration <= 0 {
		e.hold(version)
		return
	}
	e.state.loading = &loading{
		version: version,
		done:    make(chan struct{}),
	}
	time.AfterFunc(duration, e.finishLoad)
}

func (e *Engine) finishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	finished := e.state.loading
	e.state.loading = nil
	e.hold(finished.version)
	close(finished.done)
	e.startWaiting()
}

// hold must be called with the lock held.
func (e *Engine) hold(version string) {
	e.state.version = version
	e.cache.clear()
}
