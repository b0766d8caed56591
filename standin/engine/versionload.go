package engine

import "time"

// versionLoad is the load of a model version in progress.
type versionLoad struct {
	version string
	done    chan struct{}
}

// startLoad starts the load of a model version. Until the load is finished the engine
// reports its old version and starts no attempt. The caller must hold e.mu, and no load
// may be in progress.
func (e *Engine) startLoad(version string) {
	duration := e.faultSwitches.Current().ApplySlowdown(e.settings.LoadTime)
	if duration <= 0 {
		e.activateVersion(version)
		return
	}
	e.state.loading = &versionLoad{
		version: version,
		done:    make(chan struct{}),
	}
	time.AfterFunc(duration, e.finishLoad)
}

func (e *Engine) finishLoad() {
	e.mu.Lock()
	defer e.mu.Unlock()
	load := e.state.loading
	e.state.loading = nil
	e.activateVersion(load.version)
	close(load.done)
	e.startQueued()
}

// activateVersion replaces the model version and clears the prefix cache. The caller
// must hold e.mu.
func (e *Engine) activateVersion(version string) {
	e.state.version = version
	e.cache.clear()
}
