package engine

import "time"

// versionSwitch is the loading of a new model version. done is closed when it has
// finished.
type versionSwitch struct {
	version string
	done    chan struct{}
}

// startVersionSwitch starts the loading of a model version. Until it has finished, the
// engine reports its old version and starts no attempt. The caller must hold e.mu, and no
// version switch may be in progress.
func (e *Engine) startVersionSwitch(version string) {
	duration := e.faultSwitches.Current().ApplySlowdown(e.settings.LoadTime)
	if duration <= 0 {
		e.activateVersion(version)
		return
	}
	e.state.loading = &versionSwitch{
		version: version,
		done:    make(chan struct{}),
	}
	time.AfterFunc(duration, e.finishVersionSwitch)
}

func (e *Engine) finishVersionSwitch() {
	e.mu.Lock()
	defer e.mu.Unlock()
	finished := e.state.loading
	e.state.loading = nil
	e.activateVersion(finished.version)
	close(finished.done)
	e.startQueued()
}

// activateVersion replaces the model version and clears the prefix cache. The caller
// must hold e.mu.
func (e *Engine) activateVersion(version string) {
	e.state.version = version
	e.cache.clear()
}
