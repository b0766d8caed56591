// Package caller serves the callers: chat completions in the form that today's
// clients speak, streamed and not, and calls to plain services.
//
// # Usage
//
//	server := caller.New(backend, caller.Limits{
//		BodyBytes: 1 << 20,
//	})
//	http.Serve(listener, server.Handler())
//
// The protocol:
//
//	POST /v1/chat/completions      a chat; the profile is in HeaderProfile or is the model's name
//	POST /v1/services/{operation}  a call to a plain service; the profile is in HeaderProfile
//	POST /v1/idempotency-keys      issues a key for a later call
//	GET  /healthz                  200 while the process works
//	GET  /readyz                   200 while the host wants new work, else 503 with the reason
//
// Every answer that is not the whole answer is a Problem, which says whether
// the request was run. In a stream it is an event with an "error" field.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/core/profile"
)

// The headers of the protocol.
const (
	HeaderProfile        = "X-Profile"
	HeaderTeam           = "X-Team"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on the recorded answer to an earlier call with
	// the same key.
	HeaderReplayed = "Idempotency-Replayed"
)

const (
	// maxHeaderValue bounds the values of the protocol's headers, in bytes.
	maxHeaderValue = 128
	// defaultTeam stands for callers that name no team.
	defaultTeam = "default"
)

// Submission is a checked request.
type Submission struct {
	RequestID string
	Team      string
	Profile   profile.Profile
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Operation names a plain service's operation.
	Operation string
	// Body is what is sent to the endpoint.
	Body []byte
	// PromptTokens, MaxTokens and Prefix describe a chat.
	PromptTokens int
	MaxTokens    int
	PrefixHashes []uint64
	// Forwarded marks a call that another host passed on.
	Forwarded bool
}

// Backend runs the callers' requests.
type Backend interface {
	// Profile returns the profile in force under a name.
	Profile(name string) (profile.Profile, bool)
	// Submit takes a request and returns its answer, which gets its parts as
	// they come. The caller's going away is told by ctx.
	Submit(ctx context.Context, submission Submission) *Answer
	// IssueKey returns a new idempotency key for a team.
	IssueKey(ctx context.Context, team string) (string, error)
	// NewRequestID returns an id for a request that came without one.
	NewRequestID() string
	// Ready reports whether the host wants new work, and why not.
	Ready() (bool, string)
	// Accepting reports whether the host can serve a request at all.
	Accepting() (bool, string)
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// BodyTimeout bounds how long a body may take to arrive.
	BodyTimeout time.Duration
}

// Server serves the callers.
type Server struct {
	backend Backend
	limits  Limits
}

// New returns a server before the backend.
func New(backend Backend, limits Limits) *Server {
	return &Server{
		backend: backend,
		limits:  limits,
	}
}

// Handler returns the server's HTTP handler.
func (s *Server) Handler() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/v1/chat/completions", s.handleChat).Methods(http.MethodPost)
	router.HandleFunc("/v1/services/{operation}", s.handleCall).Methods(http.MethodPost)
	router.HandleFunc("/v1/idempotency-keys", s.handleIssueKey).Methods(http.MethodPost)
	router.HandleFunc("/healthz", s.handleHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.handleReady).Methods(http.MethodGet)
	router.NotFoundHandler = http.HandlerFunc(s.handleNotFound)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.handleNotFound)
	return router
}

func (s *Server) handleNotFound(w http.ResponseWriter, _ *http.Request) {
	fault(http.StatusNotFound, CodeNotFound, "no such path or method").write(w)
}

func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, statusBody{Status: "ok"})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if ready, reason := s.backend.Ready(); !ready {
		writeJSON(w, http.StatusServiceUnavailable, statusBody{
			Status: "notReady",
			Reason: reason,
		})
		return
	}
	writeJSON(w, http.StatusOK, statusBody{Status: "ready"})
}

func (s *Server) handleIssueKey(w http.ResponseWriter, r *http.Request) {
	team, problem := teamOf(r)
	if problem != nil {
		problem.write(w)
		return
	}
	key, err := s.backend.IssueKey(r.Context(), team)
	if err != nil {
		refused := fault(http.StatusServiceUnavailable, CodeNotReady, err.Error())
		refused.Action = actionRetry
		refused.write(w)
		return
	}
	writeJSON(w, http.StatusCreated, keyBody{Key: key})
}

type statusBody struct {
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
}

type keyBody struct {
	Key string `json:"idempotencyKey"`
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
