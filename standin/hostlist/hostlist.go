// Package hostlist is a small stand-in for the platform's list of live and
// leaving hosts.
//
// # Usage
//
//	list := hostlist.New()
//	list.Put(entry)
//	http.ListenAndServe(address, list.Handler())
//
// PUT /v1/hosts/{name} and DELETE /v1/hosts/{name} modify the list.
package hostlist

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/io/hostlist"
	"cactuswell/standin/reply"
)

// maxBodyBytes is the maximum size of an entry.
const maxBodyBytes = 1 << 20

// Faults are the faults injected into the list.
type Faults struct {
	// Down makes all reads fail.
	Down bool `json:"down"`
	// DelayMs delays every response to a read.
	DelayMs int64 `json:"delayMs"`
	// LagMs is the staleness of the list that readers see.
	LagMs int64 `json:"lagMs"`
}

// List is a stand-in host list. It is safe for concurrent use.
type List struct {
	mu       sync.Mutex
	faults   Faults
	revision uint64
	entries  map[string]hostlist.Entry
	history  []snapshot
}

// snapshot is the content of the list from a point in time until the next snapshot.
type snapshot struct {
	at       time.Time
	response hostlist.ListResponse
}

// maxHistory limits the snapshots that are kept for reads with a lag.
const maxHistory = 256

// New returns an empty list without faults.
func New() *List {
	return &List{
		entries: make(map[string]hostlist.Entry),
	}
}

// Put adds an entry or replaces the one with the same name.
func (l *List) Put(entry hostlist.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[entry.Name] = entry
	l.recordSnapshot()
}

// Remove removes an entry from the list.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.entries, name)
	l.recordSnapshot()
}

// SetFaults replaces the injected faults.
func (l *List) SetFaults(faults Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
}

// Faults returns the injected faults.
func (l *List) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// recordSnapshot adds the current list to the history under a new revision. The caller
// must hold l.mu.
func (l *List) recordSnapshot() {
	l.revision++
	response := hostlist.ListResponse{
		Revision: l.revision,
		Entries:  make([]hostlist.Entry, 0, len(l.entries)),
	}
	for _, entry := range l.entries {
		response.Entries = append(response.Entries, entry)
	}
	sort.Slice(response.Entries, func(i, j int) bool {
		return response.Entries[i].Name < response.Entries[j].Name
	})
	l.history = append(l.history, snapshot{
		at:       time.Now(),
		response: response,
	})
	l.history = l.history[max(0, len(l.history)-maxHistory):]
}

// visibleList returns the list that readers see now, given the lag, and the injected
// faults.
func (l *List) visibleList() (hostlist.ListResponse, Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var response hostlist.ListResponse
	cutoff := time.Now().Add(-time.Duration(l.faults.LagMs) * time.Millisecond)
	for i, candidate := range l.history {
		if i == 0 || !candidate.at.After(cutoff) {
			response = candidate.response
		}
	}
	return response, l.faults
}

// Handler serves the list's protocol, modifications of the list, and the injected
// faults under /faults (GET and PUT).
func (l *List) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/hosts", l.handleList).Methods(http.MethodGet)
	router.HandleFunc("/v1/hosts/{name}", l.handlePut).Methods(http.MethodPut)
	router.HandleFunc("/v1/hosts/{name}", l.handleDelete).Methods(http.MethodDelete)
	router.Handle("/faults", reply.DocumentHandler(l.Faults, l.SetFaults))
	return router
}

func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	response, faults := l.visibleList()
	if faults.DelayMs > 0 {
		timer := time.NewTimer(time.Duration(faults.DelayMs) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
		}
	}
	if faults.Down {
		http.Error(w, "the host list is down", http.StatusServiceUnavailable)
		return
	}
	reply.WriteJSON(w, response)
}

func (l *List) handlePut(w http.ResponseWriter, r *http.Request) {
	var entry hostlist.Entry
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&entry); err != nil {
		http.Error(w, "malformed entry", http.StatusBadRequest)
		return
	}
	entry.Name = mux.Vars(r)["name"]
	l.Put(entry)
	reply.WriteJSON(w, entry)
}

func (l *List) handleDelete(w http.ResponseWriter, r *http.Request) {
	l.Remove(mux.Vars(r)["name"])
	w.WriteHeader(http.StatusNoContent)
}
