package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cactuswell/io/engine"
)

// modelState is what the engine holds.
type modelState struct {
	version string
	// loading is nil unless a version is loaded.
	loading   *loading
	adapters  []string
	role      string
	drained   bool
	fencing   uint64
	lastOrder string
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
	state, refused := e.order(r.Context(), order)
	if refused != nil {
		e.refuse(w, "", refused.status, refused.code, refused.notStarted)
		return
	}
	answer(w, "", engine.OrderResponse{
		State: state,
	})
}

// order begins an order at once, or, while another version is loaded, as soon
// as that is done, its client still waits, and its deadline is not over. A
// deadline of zero is none.
func (e *Engine) order(ctx context.Context, order engine.OrderRequest) (engine.StateResponse, *refusal) {
	if order.DeadlineMs > 0 {
		deadline, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMs)*time.Millisecond)
		defer cancel()
		ctx = deadline
	}
	for {
		state, loaded, refused := e.tryOrder(ctx, order)
		if refused != nil || loaded == nil {
			return state, refused
		}
		select {
		case <-ctx.Done():
		case <-loaded:
		}
	}
}

// tryOrder begins an order, refuses it, or returns the channel that is closed
// when it can be tried again.
func (e *Engine) tryOrder(
	ctx context.Context, order engine.OrderRequest,
) (engine.StateResponse, <-chan struct{}, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.settings.ChecksFencing && order.Fencing < e.state.fencing:
		return engine.StateResponse{}, nil, conflict("oldFencingNumber")
	case ctx.Err() != nil:
		return engine.StateResponse{}, nil, conflict("deadlineOver")
	case e.loadsOther(order.Version):
		return engine.StateResponse{}, e.state.loading.done, nil
	}
	e.applyOrder(order)
	return e.stateResponse(), nil, nil
}

// conflict returns the refusal of an order that has and will have no effect.
func conflict(code string) *refusal {
	return &refusal{
		status:     http.StatusConflict,
		code:       code,
		notStarted: true,
	}
}

// loadsOther must be called with the lock held.
func (e *Engine) loadsOther(version string) bool {
	return version != "" && e.state.loading != nil && e.state.loading.version != version
}

// applyOrder must be called with the lock held, while no other version than the
// order's is loaded.
func (e *Engine) applyOrder(order engine.OrderRequest) {
	if e.settings.ChecksFencing {
		e.state.fencing = order.Fencing
	}
	if order.Version != "" && order.Version != e.state.version && e.state.loading == nil {
		e.beginLoad(order.Version)
	}
	e.state.adapters = order.Adapters
	e.state.role = order.Role
	e.state.drained = order.Drained
	e.state.lastOrder = order.ID
}

// stateResponse must be called with the lock held.
func (e *Engine) stateResponse() engine.StateResponse {
	response := engine.StateResponse{
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
	if e.state.loading != nil {
		response.Loading = e.state.loading.version
	}
	return response
}
