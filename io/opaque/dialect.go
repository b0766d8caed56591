package opaque

import (
	"fmt"
	"net/http"
	"time"

	"cactuswell/core/scheduling"
)

// Dialect translates between headers and what calls mean. It decides nothing.
type Dialect interface {
	// Read decodes the header of a caller's request. The error is a
	// *RequestError.
	Read(request *http.Request) (Caller, error)
	// Forward completes the header that goes to endpoints: header holds what the
	// caller sent less what concerns the connection only, and sent all of it.
	Forward(header, sent http.Header)
	// SetAttempt sets what differs between the attempts at one call.
	SetAttempt(header http.Header, attempt Attempt)
	// Answer decodes the header of an endpoint's answer.
	Answer(response *http.Response) Answer
}

// Caller is what a caller's header says.
type Caller struct {
	// ID is the caller's name for the request.
	ID string
	// TimeLeft is how long the caller will wait, or zero if it does not say.
	TimeLeft time.Duration
	// Key is the API key, or empty.
	Key string
	// PromptTokens is the size of a generation's prompt, and Prompt its parts.
	PromptTokens int
	Prompt       []scheduling.PromptPart
	// LastEvent is the id of the last event that the caller has of the stream,
	// if HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Attempt is what an endpoint is told beside the caller's own words.
type Attempt struct {
	// Endpoint is the id of the only endpoint that may run the call.
	Endpoint string
	// TimeLeft is how long the answer is waited for.
	TimeLeft time.Duration
	Team     string
	Priority int
	// Generation says that the endpoint is a model engine, which knows
	// priorities.
	Generation bool
	// Fetch is the address of the engine from whose memory a part of the prompt is
	// to be fetched, or empty.
	Fetch string
	// LastEvent is the id of the event after which a stream goes on, if
	// HasLastEvent is set.
	LastEvent    int64
	HasLastEvent bool
}

// Answer is what the header of an endpoint's answer says.
type Answer struct {
	// ID is the request to which the answer belongs, or empty.
	ID string
	// Signed says that it bears the mark of an endpoint.
	Signed bool
	// NotRun says that the endpoint did not run the call and never will.
	NotRun bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	// RetryAfter is how long the endpoint asks us to stay away, or zero.
	RetryAfter time.Duration
	Load       scheduling.ReportedLoad
}

// RequestError is a request that cannot be understood.
type RequestError struct {
	Field  string
	Reason string
}

// Error names the field and the reason.
func (e *RequestError) Error() string {
	return fmt.Sprintf("%s: %s", e.Field, e.Reason)
}
