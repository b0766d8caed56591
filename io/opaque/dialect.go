package opaque

import (
	"fmt"
	"net/http"
	"time"

	"cactuswell/core/scheduling"
)

// Dialect encodes and decodes the headers of calls. It holds no policy.
type Dialect interface {
	// Read decodes the header of a caller's request. The error is a
	// *RequestError.
	Read(request *http.Request) (Caller, error)
	// Forward completes the header that is sent to endpoints. Sent is the caller's
	// header; header is a copy of it without the hop-by-hop fields.
	Forward(header, sent http.Header)
	// SetAttempt sets the fields that differ between the attempts of a call.
	SetAttempt(header http.Header, attempt Attempt)
	// Answer decodes the header of an endpoint's response.
	Answer(response *http.Response) Answer
}

// Caller is the decoded header of a caller's request.
type Caller struct {
	// ID is the request ID that the caller chose.
	ID string
	// TimeLeft is how long the caller will wait, or zero if it is not given.
	TimeLeft time.Duration
	// Key is the API key, or empty.
	Key string
	// PromptTokens is the number of tokens in a generation's prompt, and Prompt
	// lists the prompt's parts.
	PromptTokens int
	Prompt       []scheduling.Part
	// LastEvent is the ID of the last event of the stream that the caller
	// received, if HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Attempt holds what the request of one attempt carries in addition to the
// caller's header.
type Attempt struct {
	// Endpoint is the ID of the only endpoint that may run the call.
	Endpoint string
	// TimeLeft is how long the host waits for the response.
	TimeLeft time.Duration
	Team     string
	Priority int
	// Generation is set if the endpoint is a model engine, which supports
	// priorities.
	Generation bool
	// Fetch is the address of the engine from whose cache a part of the prompt is
	// to be fetched, or empty.
	Fetch string
	// LastEvent is the ID of the event after which a stream is resumed, if
	// HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Answer is the decoded header of an endpoint's response.
type Answer struct {
	// ID is the ID of the request that the response is for, or empty.
	ID string
	// Signed is set if the response has the mark header of an endpoint.
	Signed bool
	// NotRun is set if the endpoint did not run the call and never will.
	NotRun bool
	// Misdirected is set if the address belongs to another endpoint now.
	Misdirected bool
	// RetryAfter is how long to send no calls to the endpoint, or zero.
	RetryAfter time.Duration
	Load       scheduling.Load
}

// RequestError reports a request whose header is malformed.
type RequestError struct {
	Field  string
	Reason string
}

// Error returns a message with the field and the reason.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}
