// Package service is a small stand-in for a plain service, such as one that
// books rooms: it runs calls for a set time, counts how often each booking was
// run, and can be made to misbehave while it runs.
//
// # Usage
//
//	s := service.New(service.Settings{
//		Name: "booking-1",
//	})
//	http.ListenAndServe(address, s.Handler())
//
// A call's JSON body may hold a "reference"; GET /executions tells how often
// each reference was run.
package service

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/io/engine"
	"cactuswell/standin/fault"
	"cactuswell/standin/reply"
)

const (
	maxBodyBytes    = 1 << 20
	defaultSlots    = 16
	defaultWorkTime = 20 * time.Millisecond
	otherAttemptID  = "another-attempt"
)

// Settings say what a service is and how fast.
type Settings struct {
	Name        string
	Incarnation uint64
	Slots       int
	// WorkTime is how long one call runs.
	WorkTime time.Duration
}

// Service is the stand-in. It is safe for concurrent use.
type Service struct {
	settings   Settings
	switches   *fault.Injector
	slots      chan struct{}
	mu         sync.Mutex
	waiting    int
	executions map[string]int
}

// CallResponse is the body of a call's answer.
type CallResponse struct {
	Operation string `json:"operation"`
	Reference string `json:"reference"`
	// Execution numbers the runs of the reference at this service from 1.
	Execution int `json:"execution"`
}

// CallRequest is the part of a call's body that the service reads.
type CallRequest struct {
	Reference string `json:"reference"`
}

// New returns an idle service without faults. Zero settings get defaults.
func New(settings Settings) *Service {
	if settings.Incarnation == 0 {
		settings.Incarnation = 1
	}
	if settings.Slots == 0 {
		settings.Slots = defaultSlots
	}
	if settings.WorkTime == 0 {
		settings.WorkTime = defaultWorkTime
	}
	return &Service{
		settings:   settings,
		switches:   fault.New(),
		slots:      make(chan struct{}, settings.Slots),
		executions: make(map[string]int),
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.settings.Name }

// Faults returns the service's fault switches.
func (s *Service) Faults() *fault.Injector { return s.switches }

// Executions returns how often each reference was run.
func (s *Service) Executions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	executions := make(map[string]int, len(s.executions))
	for reference, count := range s.executions {
		executions[reference] = count
	}
	return executions
}

// Handler serves the service's protocol, its faults under /faults, and the
// counts under /executions.
func (s *Service) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/faults", reply.DocumentHandler(s.switches.Current, s.switches.Set))
	router.HandleFunc("/executions", s.handleExecutions).Methods(http.MethodGet)
	router.HandleFunc("/v1/calls/{operation}", s.handleCall).Methods(http.MethodPost)
	router.HandleFunc("/v1/attempts/{id}", s.handleCancel).Methods(http.MethodDelete)
	router.HandleFunc("/v1/load", s.handleLoad).Methods(http.MethodGet)
	return router
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	faults := s.switches.Current()
	if faults.Crashed {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(engine.HeaderAttemptID)
	var call CallRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&call); err != nil || id == "" {
		s.refuse(w, id, http.StatusBadRequest, "malformed", true)
		return
	}
	switch {
	case faults.Rejecting:
		s.refuse(w, id, http.StatusServiceUnavailable, "rejecting", true)
		return
	case faults.Failing:
		s.refuse(w, id, http.StatusInternalServerError, "failing", false)
		return
	}
	if !s.work(r, faults) {
		return
	}
	answer := CallResponse{
		Operation: mux.Vars(r)["operation"],
		Reference: call.Reference,
		Execution: s.execute(call.Reference),
	}
	s.finish(w, r, id, answer)
}

// work waits for a slot and for the call's time. It reports false when the
// client went away first; nothing was run then.
func (s *Service) work(r *http.Request, faults fault.Faults) bool {
	s.countWaiting(1)
	defer s.countWaiting(-1)
	select {
	case <-r.Context().Done():
		return false
	case s.slots <- struct{}{}:
	}
	defer func() { <-s.slots }()
	timer := time.NewTimer(faults.ApplySlowdown(s.settings.WorkTime) + faults.AnswerDelay())
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-timer.C:
		return true
	}
}

func (s *Service) countWaiting(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting += change
}

func (s *Service) execute(reference string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[reference]++
	return s.executions[reference]
}

// finish answers a call that was run, as far as the faults let it.
func (s *Service) finish(w http.ResponseWriter, r *http.Request, id string, answer CallResponse) {
	faults := s.switches.Current()
	switch {
	case faults.LostAnswers:
		panic(http.ErrAbortHandler)
	case faults.Silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faults.Crossed:
		id = otherAttemptID
	}
	body, _ := json.Marshal(answer)
	w.Header().Set(engine.HeaderAttemptID, id)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if faults.TruncateAfter > 0 {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

func (s *Service) handleCancel(w http.ResponseWriter, _ *http.Request) {
	// A call that runs cannot be taken back.
	reply.WriteJSON(w, engine.CancelResponse{
		Started: true,
	})
}

func (s *Service) handleExecutions(w http.ResponseWriter, _ *http.Request) {
	reply.WriteJSON(w, s.Executions())
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	faults := s.switches.Current()
	if faults.Crashed {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	waiting := s.waiting
	s.mu.Unlock()
	running := len(s.slots)
	reply.WriteJSON(w, engine.LoadReport{
		Name:            s.settings.Name,
		Incarnation:     s.settings.Incarnation,
		AgeMs:           faults.ReportLagMs,
		Running:         running,
		Queued:          max(0, waiting-running),
		Slots:           s.settings.Slots,
		TokensPerSecond: float64(s.settings.Slots) / s.settings.WorkTime.Seconds(),
		Leaving:         faults.Leaving,
	})
}

func (s *Service) refuse(w http.ResponseWriter, id string, status int, code string, notStarted bool) {
	w.Header().Set(engine.HeaderAttemptID, id)
	w.Header().Set("Content-Type", "application/json")
	if notStarted {
		w.Header().Set(engine.HeaderNotStarted, "true")
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.ErrorResponse{
		Code: code,
		Text: "the service refused the call: " + code,
	})
}
