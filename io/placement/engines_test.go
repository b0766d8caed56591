package placement_test

import (
	"context"
	"time"

	"cactuswell/io/engine"
)

// engines is the fleet's side that engines answer.
type engines struct {
	*fleet
}

func (f engines) State(_ context.Context, base string) (engine.StateResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engine(base)
	if err != nil {
		return engine.StateResponse{}, err
	}
	return engine.StateResponse{
		Name:        e.key.Name,
		Incarnation: e.key.Incarnation,
		Version:     e.version,
		Loading:     e.loading,
	}, nil
}

// Load reports work until the engine was drained for as long as its work takes.
func (f engines) Load(_ context.Context, base string) (engine.LoadReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engine(base)
	if err != nil {
		return engine.LoadReport{}, err
	}
	report := engine.LoadReport{
		Incarnation: e.key.Incarnation,
		Slots:       8,
		Running:     f.busy(e),
	}
	return report, nil
}

func (f engines) busy(e *fakeEngine) int {
	if f.state.Drained(e.key) && time.Since(e.drainAt) >= e.work {
		return 0
	}
	if e.version == "" {
		return 0
	}
	return 4
}

func (f engines) Order(_ context.Context, base string, order engine.OrderRequest) (engine.OrderResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, err := f.engine(base)
	switch {
	case err != nil:
		return engine.OrderResponse{}, err
	case e.checks && order.Fencing < e.fencing:
		return engine.OrderResponse{}, &engine.StatusError{Status: 409}
	case f.busy(e) > 0 || !f.state.Drained(e.key):
		e.unsafely++
	}
	f.counted.orders++
	e.fencing = order.Fencing
	e.loading = order.Version
	e.readyAt = time.Now().Add(time.Duration(float64(f.bytes) / float64(f.rate) * float64(time.Second)))
	return engine.OrderResponse{}, nil
}
