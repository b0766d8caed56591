package engine

import (
	"encoding/json"
	"net/http"

	"cactuswell/io/engine"
)

// modelState is what the engine holds.
type modelState struct {
	version   string
	adapters  []string
	role      string
	drained   bool
	fencing   uint64
	lastOrder string
	// effects counts the orders that changed something.
	effects int
}

func (e *Engine) draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.drained
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer(w, "", e.stateResponse())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.OrderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		e.refuse(w, "", http.StatusBadRequest, "malformed", true)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.ChecksFencing && order.Fencing < e.state.fencing {
		e.refuse(w, "", http.StatusConflict, "oldFencingNumber", true)
		return
	}
	e.applyOrder(order)
	answer(w, "", engine.OrderResponse{
		State: e.stateResponse(),
	})
}

// applyOrder must be called with the lock held.
func (e *Engine) applyOrder(order engine.OrderRequest) {
	if e.settings.ChecksFencing {
		e.state.fencing = order.Fencing
	}
	if order.Version != "" && order.Version != e.state.version {
		e.state.version = order.Version
		e.cache.clear()
	}
	e.state.adapters = order.Adapters
	e.state.role = order.Role
	e.state.drained = order.Drained
	e.state.lastOrder = order.ID
	e.state.effects++
}

// stateResponse must be called with the lock held.
func (e *Engine) stateResponse() engine.StateResponse {
	return engine.StateResponse{
		Name:        e.settings.Name,
		Incarnation: e.settings.Incarnation,
		Model:       e.settings.Model,
		Version:     e.state.version,
		Adapters:    e.state.adapters,
		Role:        e.state.role,
		Drained:     e.state.drained,
		Fencing:     e.state.fencing,
		LastOrder:   e.state.lastOrder,
	}
}
