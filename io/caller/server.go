// Package caller implements the HTTP API for callers: chat completions in the format
// of common chat clients, streamed or in one response, and calls to plain services.
//
// # Usage
//
//	server := caller.New(backend, caller.Limits{
//		MaxBodyBytes: 1 << 20,
//	})
//	http.Serve(listener, server.Handler())
//
// The protocol:
//
//	POST /v1/chat/completions      a chat; the profile is in HeaderProfile, else it is the model's name
//	POST /v1/services/{operation}  a call to a plain service; the profile is in HeaderProfile
//	POST /v1/idempotency-keys      issues a key for a later call
//	GET  /healthz                  200 while the process runs
//	GET  /readyz                   200 while the host should get new requests, else 503 with the reason
//
// Every other answer is a Problem, which states whether the request was run. In a
// stream, the problem is an event with an "error" field.
package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"cactuswell/core/profile"
	"cactuswell/io/httpbody"
)

// The headers of the protocol.
const (
	HeaderProfile        = "X-Profile"
	HeaderTeam           = "X-Team"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on a response that is the recorded answer to an
	// earlier call with the same key.
	HeaderReplayed = "Idempotency-Replayed"
)

const (
	// maxHeaderValue bounds the length of the protocol's header values in bytes.
	maxHeaderValue = 128
	// defaultTeam is the team of requests without HeaderTeam.
	defaultTeam = "default"
)

// Submission is a validated request.
type Submission struct {
	RequestID string
	Team      string
	Profile   profile.Profile
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Operation is the operation of a plain service, or empty for a chat.
	Operation string
	// Body is the body of the request to the endpoint.
	Body []byte
	// PromptTokens, MaxTokens and PrefixHashes are set for a chat. PrefixHashes
	// holds the hashes of the prompt's leading blocks.
	PromptTokens int
	MaxTokens    int
	PrefixHashes []uint64
	// Forwarded is set for a call that another host forwarded to this one.
	Forwarded bool
}

// Backend executes the callers' requests.
type Backend interface {
	// Profile returns the active profile with the given name.
	Profile(name string) (profile.Profile, bool)
	// Submit accepts a request and returns its answer, which receives its parts
	// as they arrive. The end of ctx means that the caller has disconnected.
	Submit(ctx context.Context, submission Submission) *Answer
	// IssueKey returns a new idempotency key for a team.
	IssueKey(ctx context.Context, team string) (string, error)
	// NewRequestID returns an id for a request that has none.
	NewRequestID() string
	// Ready reports whether the host should get new requests, and the reason if
	// not.
	Ready() (bool, string)
	// Accepting reports whether the host accepts requests, and the reason if not.
	Accepting() (bool, string)
}

// Limits bounds the requests of callers.
type Limits struct {
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64
	// BodyTimeout bounds the time to receive a request's body. Zero means no bound.
	BodyTimeout time.Duration
}

// Server is the HTTP server for callers.
type Server struct {
	backend Backend
	limits  Limits
}

// New returns a server that submits requests to the backend.
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
	return httpbody.Handler(router, s.limits.BodyTimeout)
}

func (s *Server) handleNotFound(w http.ResponseWriter, _ *http.Request) {
	rejection(http.StatusNotFound, CodeNotFound, "no such path or method").write(w)
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
		notReady := rejection(http.StatusServiceUnavailable, CodeNotReady, err.Error())
		notReady.Action = actionRetry
		notReady.write(w)
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
	encoded, _ := json.Marshal(body)
	writeWhole(w, status, "application/json", append(encoded, '\n'))
}

// writeWhole sends a response with its length, which http.Server does not name for large ones: over
// HTTP/1.0 a part of one would appear to be the whole if the process is killed.
func writeWhole(w http.ResponseWriter, status int, contentType string, body []byte) {
	w.Header().Set("Content-Type", contentType)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
