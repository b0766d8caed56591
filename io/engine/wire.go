// Package engine speaks to model engines over HTTP.
//
// # Usage
//
//	client := engine.New(pooled, fresh)
//	stream, err := client.Start(ctx, call)
//	defer stream.Close()
//	for {
//		token, err := stream.Next()
//		...
//	}
//
// The protocol that an engine offers, with JSON bodies in camelCase except for
// the chat-completions form, which keeps the names that its clients speak:
//
//	POST   /v1/chat/completions            ChatRequest -> server-sent ChatChunk events, "[DONE]" at the end
//	GET    /v1/attempts/{id}/stream?from=N the same events from token N on; 404 if the attempt is unknown
//	DELETE /v1/attempts/{id}               -> CancelResponse
//	GET    /v1/load                        -> LoadReport
//	GET    /v1/cacheEvents?after=N&waitMs=N -> CacheEventsResponse
//	GET    /v1/state                       -> StateResponse
//	POST   /v1/orders                      OrderRequest -> OrderResponse; 409 for an old fencing number
//
// A start carries HeaderAttemptID and HeaderPriority, and every answer echoes
// HeaderAttemptID. A refusal that carries HeaderNotStarted is a promise that
// nothing was run.
package engine

import (
	"encoding/json"
	"strings"
)

// The headers of the protocol.
const (
	// HeaderAttemptID names the attempt in requests and answers.
	HeaderAttemptID = "X-Attempt-Id"
	// HeaderPriority is the tier, 0 being the most urgent.
	HeaderPriority = "X-Priority"
	// HeaderNotStarted is "true" on an error answer for work that was not run.
	HeaderNotStarted = "X-Not-Started"
	// HeaderIncarnation is the engine's incarnation, on every answer.
	HeaderIncarnation = "X-Incarnation"
)

// ChatRequest is the part of a chat completion's body that the system reads.
// All other fields are passed on as they are. A message is kept as its JSON
// text, since its content has several forms.
type ChatRequest struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream,omitempty"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// ChatChunk is one event of a streamed answer. ID is the attempt's id at an
// engine and the request's id towards a caller.
type ChatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	// TokenIndex numbers the chunk's token from 0. Engines send one token a
	// chunk; the last chunk, with a finish reason, carries no token and the
	// answer's length as its index.
	TokenIndex int `json:"token_index"`
}

// ChunkChoice is the one alternative in a chunk.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the text that a chunk adds.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// CancelResponse is the answer to a cancel.
type CancelResponse struct {
	// Started reports whether the attempt had begun to run. False is a promise
	// that it did not and will not.
	Started bool `json:"started"`
	// Tokens is how many tokens it had produced.
	Tokens int `json:"tokens"`
}

// LoadReport is an engine's or a service's account of its load.
type LoadReport struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	// AgeMs is how old the account is at the time of the answer.
	AgeMs                  int64   `json:"ageMs"`
	Running                int     `json:"running"`
	Queued                 int     `json:"queued"`
	Slots                  int     `json:"slots"`
	TokensPerSecond        float64 `json:"tokensPerSecond"`
	PrefillTokensPerSecond float64 `json:"prefillTokensPerSecond"`
	Leaving                bool    `json:"leaving"`
}

// CacheEvent says that a prefix block entered or left the engine's cache.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	// Kind is "stored", "evicted" or "cleared".
	Kind string `json:"kind"`
	Hash uint64 `json:"hash,string,omitempty"`
}

// CacheEventsResponse holds the cache events after the sequence asked for, as
// far as the engine still has them.
type CacheEventsResponse struct {
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events"`
}

// StateResponse says what an engine holds.
type StateResponse struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Model       string `json:"model"`
	Version     string `json:"version"`
	// Loading names the version that is being loaded, or is empty.
	Loading  string   `json:"loading,omitempty"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Drained  bool     `json:"drained"`
	// Fencing is the highest fencing number that the engine has accepted, or
	// zero if it does not check.
	Fencing uint64 `json:"fencing"`
	// LastOrder is the id of the last order that took effect.
	LastOrder string `json:"lastOrder,omitempty"`
}

// OrderRequest tells an engine the wanted end state.
type OrderRequest struct {
	ID string `json:"id"`
	// Fencing is the offset of the lease under which the order is given.
	Fencing uint64 `json:"fencing"`
	// DeadlineMs is how long after its receipt the order may still be begun.
	DeadlineMs int64    `json:"deadlineMs"`
	Model      string   `json:"model"`
	Version    string   `json:"version"`
	Adapters   []string `json:"adapters"`
	Role       string   `json:"role"`
	Drained    bool     `json:"drained"`
}

// OrderResponse is the answer to an order.
type OrderResponse struct {
	State StateResponse `json:"state"`
}

// ErrorResponse is the body of an engine's error answers.
type ErrorResponse struct {
	Code string `json:"code"`
	Text string `json:"text"`
}

// PromptText returns the text over which prefix blocks are hashed: the raw JSON
// of the messages, in order. Engines name their cached prefixes by the hashes
// of package prefix over the same text.
func PromptText(messages []json.RawMessage) string {
	var text strings.Builder
	for _, message := range messages {
		text.Write(message)
		text.WriteByte('\n')
	}
	return text.String()
}
