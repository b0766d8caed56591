// Package weightstore is a small stand-in for the platform's store of model
// weights, whose rate is limited.
//
// # Usage
//
//	store := weightstore.New(weightstore.Settings{
//		BytesPerSecond: 2 << 30,
//	})
//	http.ListenAndServe(address, store.Handler())
package weightstore

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"cactuswell/io/weightstore"
	"cactuswell/standin/reply"
)

// Settings say how large and how fast the store is.
type Settings struct {
	// BytesPerSecond limits all reads together.
	BytesPerSecond int64
	// WeightBytes is the size of each version.
	WeightBytes int64
}

// Faults are the ways in which the store misbehaves.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down"`
	// DelayMs holds back every answer.
	DelayMs int64 `json:"delayMs"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	settings Settings
	mu       sync.Mutex
	faults   Faults
	limiter  *rate.Limiter
}

// New returns a store that has every version of every model. Zero settings get
// defaults.
func New(settings Settings) *Store {
	if settings.BytesPerSecond == 0 {
		settings.BytesPerSecond = 1 << 30
	}
	if settings.WeightBytes == 0 {
		settings.WeightBytes = 4 << 30
	}
	seconds := float64(settings.WeightBytes) / float64(settings.BytesPerSecond)
	return &Store{
		settings: settings,
		limiter:  rate.NewLimiter(rate.Limit(1/seconds), 1),
	}
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Handler serves the store's protocol, and its faults under /faults.
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.Handle("/faults", reply.Document(s.Faults, s.SetFaults))
	router.HandleFunc("/v1/limits", s.handleLimits).Methods(http.MethodGet)
	router.HandleFunc("/v1/weights/{model}/{version}", s.handleDescribe).Methods(http.MethodGet)
	router.HandleFunc("/v1/weights/{model}/{version}/reads", s.handleRead).Methods(http.MethodPost)
	router.Use(s.applyFaults)
	return router
}

func (s *Store) applyFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := s.Faults()
		if r.URL.Path == "/faults" {
			next.ServeHTTP(w, r)
			return
		}
		timer := time.NewTimer(time.Duration(faults.DelayMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
		if faults.Down {
			http.Error(w, "the weight store is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Store) handleLimits(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, weightstore.LimitsResponse{
		BytesPerSecond: s.settings.BytesPerSecond,
	})
}

func (s *Store) handleDescribe(w http.ResponseWriter, r *http.Request) {
	reply.JSON(w, weightstore.DescribeResponse{
		Model:   mux.Vars(r)["model"],
		Version: mux.Vars(r)["version"],
		Bytes:   s.settings.WeightBytes,
	})
}

func (s *Store) handleRead(w http.ResponseWriter, _ *http.Request) {
	if !s.limiter.Allow() {
		seconds := s.settings.WeightBytes / s.settings.BytesPerSecond
		w.Header().Set("Retry-After", strconv.FormatInt(max(1, seconds), 10))
		http.Error(w, "the rate limit is reached", http.StatusTooManyRequests)
		return
	}
	w.WriteHeader(http.StatusOK)
}
