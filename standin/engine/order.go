package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"cactuswell/io/engine"
)

// modelState is the model version that the engine serves and the state that orders
// have set.
type modelState struct {
	version string
	// loading is nil unless a model version is being loaded.
	loading   *versionSwitch
	adapters  []string
	role      string
	drained   bool
	fencing   uint64
	lastOrder string
}

func (e *Engine) isDrained() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state.drained
}

func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeResponse(w, "", e.stateResponse())
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.OrderRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&order); err != nil {
		e.writeRefusal(w, "", http.StatusBadRequest, "malformed", true)
		return
	}
	state, refused := e.executeOrder(r.Context(), order)
	if refused != nil {
		e.writeRefusal(w, "", refused.status, refused.code, refused.notStarted)
		return
	}
	writeResponse(w, "", engine.OrderResponse{
		State: state,
	})
}

// executeOrder starts an order. While another model version is being loaded, it waits
// for the end of that load, and refuses the order if the client disconnects or the
// order's deadline passes first. A deadline of zero means none.
func (e *Engine) executeOrder(ctx context.Context, order engine.OrderRequest) (engine.StateResponse, *refusal) {
	if order.DeadlineMs > 0 {
		deadline, cancel := context.WithTimeout(ctx, time.Duration(order.DeadlineMs)*time.Millisecond)
		defer cancel()
		ctx = deadline
	}
	for {
		state, loaded, refused := e.tryExecuteOrder(ctx, order)
		if refused != nil || loaded == nil {
			return state, refused
		}
		select {
		case <-ctx.Done():
		case <-loaded:
		}
	}
}

// tryExecuteOrder starts an order, refuses it, or returns a channel that is closed when
// the order can be tried again.
func (e *Engine) tryExecuteOrder(
	ctx context.Context, order engine.OrderRequest,
) (engine.StateResponse, <-chan struct{}, *refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.settings.ChecksFencing && order.Fencing < e.state.fencing:
		return engine.StateResponse{}, nil, newConflict("oldFencingNumber")
	case ctx.Err() != nil:
		return engine.StateResponse{}, nil, newConflict("deadlineOver")
	case e.isLoadingOther(order.Version):
		return engine.StateResponse{}, e.state.loading.done, nil
	}
	e.applyOrder(order)
	return e.stateResponse(), nil, nil
}

// newConflict returns the refusal of an order that had no effect and will have none.
func newConflict(code string) *refusal {
	return &refusal{
		status:     http.StatusConflict,
		code:       code,
		notStarted: true,
	}
}

// isLoadingOther reports whether a model version other than version is being loaded.
// The caller must hold e.mu.
func (e *Engine) isLoadingOther(version string) bool {
	return version != "" && e.state.loading != nil && e.state.loading.version != version
}

// applyOrder sets the state that the order requests and starts the load of its version.
// The caller must hold e.mu, and no version other than the order's may be being loaded.
func (e *Engine) applyOrder(order engine.OrderRequest) {
	if e.settings.ChecksFencing {
		e.state.fencing = order.Fencing
	}
	if order.Version != "" && order.Version != e.state.version && e.state.loading == nil {
		e.startVersionSwitch(order.Version)
	}
	e.state.adapters = order.Adapters
	e.state.role = order.Role
	e.state.drained = order.Drained
	e.state.lastOrder = order.ID
}

// stateResponse returns the engine's state. The caller must hold e.mu.
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
