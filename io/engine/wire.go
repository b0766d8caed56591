// Package engine implements an HTTP client of model engines and the types of their
// protocol.
//
// # Usage
//
//	client := engine.New(keepAlive, singleUse)
//	stream, err := client.Start(ctx, call)
//	defer stream.Close()
//	for {
//		token, err := stream.Next()
//		...
//	}
//
// The protocol of an engine follows. The names in its JSON bodies are in camelCase,
// except for chat completions, which use the names that their clients expect.
//
//	POST   /v1/chat/completions            ChatRequest -> server-sent ChatChunk events, then "[DONE]"
//	GET    /v1/attempts/{id}/stream?from=N the same events, starting with token N; 404 if the attempt is unknown
//	DELETE /v1/attempts/{id}               -> CancelResponse
//	GET    /v1/load                        -> LoadReport
//	GET    /v1/cacheEvents?after=N&waitMs=N -> CacheEventsResponse
//	GET    /v1/state                       -> StateResponse
//	POST   /v1/orders                      OrderRequest -> OrderResponse; 409 if the fencing number is too low
//
// A request that starts an attempt has HeaderAttemptID and HeaderPriority, and every
// response echoes HeaderAttemptID. An error response with HeaderNotStarted guarantees
// that nothing was run.
package engine

import (
	"encoding/json"
	"strings"
)

// The headers of the protocol.
const (
	// HeaderAttemptID is the attempt's id, in requests and responses.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderPriority is the tier. 0 is the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderNotStarted is "true" in an error response to a request that was not run.
	HeaderNotStarted = "X-Not-Started"
	// HeaderIncarnation is the engine's incarnation, in every response.
	HeaderIncarnation = "X-Incarnation"
)

// ChatRequest has the fields of a chat completion's body that are read. All other
// fields are forwarded unchanged. A message is kept as JSON text, since its content
// can have several forms.
type ChatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// ChatChunk is one event of a streamed answer. ID is the attempt's id in the stream
// of an engine, and the request's id in the stream to a caller.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// TokenIndex is the index of the chunk's token, starting from 0. Engines send
	// one token per chunk. The last chunk, which has a finish reason, has no token,
	// and its index is the number of tokens in the answer.
	TokenIndex int `json:"token_index"`
}

// ChunkChoice is the only choice in a chunk.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the text that a chunk appends.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// CancelResponse is the response to a cancel request.
type CancelResponse struct {
	// Started reports whether the attempt had started to run. False guarantees
	// that it has not run and will not run.
	Started bool `json:"started"`
	// Tokens is the number of tokens that it had produced.
	Tokens int `json:"tokens"`
}

// LoadReport is the load that an engine or a service reports of itself.
type LoadReport struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// AgeMs is the age of the report at the time of the response, in milliseconds.
	AgeMs                  int64   `json:"ageMs"`
	Running                int     `json:"running"`
	Queued                 int     `json:"queued"`
	Slots                  int     `json:"slots"`
	TokensPerSecond        float64 `json:"tokensPerSecond"`
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	Leaving                bool    `json:"leaving"`
}

// CacheEvent means that the engine's prefix cache stored or evicted a block, or was
// cleared.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "evicted" or "cleared".
	Kind string `json:"kind"`
	Hash uint64 `json:"hash,string,omitempty"`
}

// CacheEventsResponse holds the cache events after the requested sequence number, as
// far as the engine still has them.
type CacheEventsResponse struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// StateResponse is the state of an engine.
type StateResponse struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	// Loading is the version that is being loaded, or empty.
	Loading  string   `json:"loading,omitempty"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Drained  bool     `json:"drained"`
	// Fencing is the highest fencing number that the engine has accepted, or zero
	// if it does not check fencing numbers.
	Fencing uint64 `json:"fencing"`
	// LastOrder is the id of the last order that took effect.
	LastOrder string `json:"lastOrder,omitempty"`
}

// OrderRequest is the target state of an engine.
type OrderRequest struct {
	ID string `json:"id"`
	// Fencing is the log offset of the lease under which the order is sent.
	Fencing uint64 `json:"fencing"`
	// DeadlineMs is the time after receipt within which the engine may start to
	// execute the order, in milliseconds.
	DeadlineMs int64    `json:"deadlineMs"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters"`
	Role       string   `json:"role"`
	Drained    bool     `json:"drained"`
}

// OrderResponse is the response to an order.
type OrderResponse struct {
	State StateResponse `json:"state"`
}

// ErrorResponse is the body of an engine's error responses.
type ErrorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// PromptText returns the text over which prefix blocks are hashed: the raw JSON of
// the messages, in order. Engines identify their cached prefixes by the hashes of
// package prefix over the same text.
func PromptText(messages []json.RawMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.Write(message)
		text.WriteByte('\n')
	}
	return text.String()
}
