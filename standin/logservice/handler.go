package logservice

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/core/record"
	"cactuswell/io/logservice"
	"cactuswell/standin/reply"
)

// maxAppendBytes limits the size of an append request's body.
const maxAppendBytes = 16 << 20

// Handler serves the log's protocol, and the injected faults under /faults (GET and
// PUT of a Faults document).
func (s *Store) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/streams/{stream}/records", s.handleAppend).Methods(http.MethodPost)
	router.HandleFunc("/v1/streams/{stream}/records", s.handleRead).Methods(http.MethodGet)
	router.Handle("/faults", reply.DocumentHandler(s.Faults, s.SetFaults))
	return router
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	var request logservice.AppendRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAppendBytes)).Decode(&request); err != nil {
		http.Error(w, "malformed append", http.StatusBadRequest)
		return
	}
	first, err := s.Append(r.Context(), record.Stream(mux.Vars(r)["stream"]), request.Records)
	if err != nil {
		writeError(w, err)
		return
	}
	reply.WriteJSON(w, logservice.AppendResponse{
		FirstOffset: first,
	})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "malformed offset", http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	waitMs, _ := strconv.ParseInt(r.FormValue("waitMs"), 10, 64)
	response, err := s.Read(r.Context(), record.Stream(mux.Vars(r)["stream"]), record.Offset(from),
		logservice.ReadOptions{
			Limit: limit,
			Wait:  time.Duration(waitMs) * time.Millisecond,
		})
	var truncated *logservice.TruncatedError
	if err != nil && !errors.As(err, &truncated) {
		writeError(w, err)
		return
	}
	reply.WriteJSON(w, response)
}

func writeError(w http.ResponseWriter, err error) {
	var refusedErr *logservice.RefusedError
	if errors.As(err, &refusedErr) {
		w.Header().Set("Retry-After", strconv.Itoa(int(refusedErr.RetryAfter/time.Second)))
		http.Error(w, refusedErr.Error(), refusedErr.Status)
		return
	}
	http.Error(w, err.Error(), http.StatusServiceUnavailable)
}
