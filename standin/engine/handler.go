package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/io/engine"
	"cactuswell/standin/reply"
)

const (
	maxBodyBytes = 8 << 20
	// otherAttemptID is the id in the answers of an engine that crosses them.
	otherAttemptID = "another-attempt"
)

// refusal says why a call was not taken.
type refusal struct {
	status     int
	code       string
	notStarted bool
}

// GenerationCounts is the engine's account of its work.
type GenerationCounts struct {
	Tokens uint64 `json:"tokens"`
	// Attempts counts the attempts that were begun.
	Attempts uint64 `json:"attempts"`
}

// Handler serves the engine's protocol, its faults under /faults, and the
// tokens that it generated under /generated.
func (e *Engine) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/faults", reply.DocumentHandler(e.switches.Current, e.switches.Set))
	router.HandleFunc("/generated", e.handleGenerated).Methods(http.MethodGet)
	router.HandleFunc("/v1/chat/completions", e.handleStart).Methods(http.MethodPost)
	router.HandleFunc("/v1/attempts/{id}/stream", e.handleResume).Methods(http.MethodGet)
	router.HandleFunc("/v1/attempts/{id}", e.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", e.handleLoad).Methods(http.MethodGet)
	router.HandleFunc("/v1/cacheEvents", e.handleCacheEvents).Methods(http.MethodGet)
	router.HandleFunc("/v1/state", e.handleState).Methods(http.MethodGet)
	router.HandleFunc("/v1/orders", e.handleOrder).Methods(http.MethodPost)
	router.Use(e.applyFaults)
	return router
}

func (e *Engine) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/v1/") && e.switches.Current().Crashed {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(engine.HeaderIncarnation, strconv.FormatUint(e.settings.Incarnation, 10))
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) handleStart(w http.ResponseWriter, r *http.Request) {
	faults := e.switches.Current()
	id := r.Header.Get(engine.HeaderAttemptID)
	var request engine.ChatRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&request); err != nil || id == "" {
		e.refuse(w, id, http.StatusBadRequest, "malformed", true)
		return
	}
	switch {
	case faults.Rejecting || e.draining():
		e.refuse(w, id, http.StatusServiceUnavailable, "rejecting", true)
		return
	case faults.Failing:
		e.refuse(w, id, http.StatusInternalServerError, "failing", false)
		return
	}
	priority, _ := strconv.Atoi(r.Header.Get(engine.HeaderPriority))
	a, refused := e.submit(id, engine.PromptText(request.Messages), priority, request.MaxTokens)
	if refused != nil {
		e.refuse(w, id, refused.status, refused.code, refused.notStarted)
		return
	}
	if !a.sleep(faults.AnswerDelay()) {
		return
	}
	e.stream(w, r, a, 0)
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	a, ok := e.lookup(id)
	from, err := strconv.Atoi(r.FormValue("from"))
	if !ok || err != nil || from < 0 || from > len(a.tokens) {
		e.refuse(w, id, http.StatusNotFound, "attemptUnknown", false)
		return
	}
	e.stream(w, r, a, from)
}

// stream sends the attempt's tokens from the given one on as they are produced.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	faults := e.switches.Current()
	id := a.id
	if faults.Crossed {
		id = otherAttemptID
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.HeaderAttemptID, id)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for sent := from; ; {
		produced, finished, changed := a.progress()
		for ; sent < produced; sent++ {
			e.breakOrFallSilent(r, a, sent)
			e.sendChunk(w, id, sent, a.tokens[sent], nil)
		}
		_ = flusher.Flush()
		if finished {
			reason := "stop"
			if a.limited {
				reason = "length"
			}
			e.sendChunk(w, id, sent, "", &reason)
			_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-a.ctx.Done():
			panic(http.ErrAbortHandler)
		case <-changed:
		}
	}
}

// breakOrFallSilent applies the faults that strike in the middle of a stream.
// Only the first stream of an attempt falls silent, so that a resumed one works.
func (e *Engine) breakOrFallSilent(r *http.Request, a *attempt, sent int) {
	faults := e.switches.Current()
	if faults.TruncateAfter > 0 && sent >= faults.TruncateAfter {
		a.cancel()
		panic(http.ErrAbortHandler)
	}
	if faults.LostAnswers || faults.Crashed {
		panic(http.ErrAbortHandler)
	}
	if faults.Silent && a.silence() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
}

func (a *attempt) silence() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := !a.silenced
	a.silenced = true
	return first
}

func (e *Engine) sendChunk(w http.ResponseWriter, id string, index int, text string, reason *string) {
	data, _ := json.Marshal(engine.ChatChunk{
		ID:      id,
		Object:  "chat.completion.chunk",
		Created: time.Now().Unix(),
		Model:   e.settings.Model,
		Choices: []engine.ChunkChoice{
			{
				Delta: engine.ChunkDelta{
					Content: text,
				},
				FinishReason: reason,
			},
		},
		TokenIndex: index,
	})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}

func (e *Engine) handleGenerated(w http.ResponseWriter, _ *http.Request) {
	answer(w, "", GenerationCounts{
		Tokens:   e.GeneratedTokens(),
		Attempts: e.AcceptedAttempts(),
	})
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	a, ok := e.lookup(id)
	if !ok {
		answer(w, id, engine.CancelResponse{
			Started: false,
		})
		return
	}
	started, produced := e.withdraw(a)
	answer(w, id, engine.CancelResponse{
		Started: started,
		Tokens:  produced,
	})
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	answer(w, "", e.load())
}

func (e *Engine) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	events, changed := e.cache.eventsAfter(after)
	if len(events) == 0 && waitMs > 0 {
		deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
		defer deadline.Stop()
		select {
		case <-r.Context().Done():
		case <-deadline.C:
		case <-changed:
		}
		events, _ = e.cache.eventsAfter(after)
	}
	answer(w, "", engine.CacheEventsResponse{
		Incarnation: e.settings.Incarnation,
		Events:      events,
	})
}

func (e *Engine) refuse(w http.ResponseWriter, id string, status int, code string, notStarted bool) {
	w.Header().Set(engine.HeaderAttemptID, id)
	w.Header().Set("Content-Type", "application/json")
	if notStarted {
		w.Header().Set(engine.HeaderNotStarted, "true")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorResponse{
		Code: code,
		Text: "the engine refused the call: " + code,
	})
}

func answer(w http.ResponseWriter, id string, body any) {
	if id != "" {
		w.Header().Set(engine.HeaderAttemptID, id)
	}
	reply.WriteJSON(w, body)
}
