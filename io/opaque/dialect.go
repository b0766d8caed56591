package opaque

import (
	"fmt"
	"net/http"
	"time"

	"cactuswell/core/scheduling"
)

// Dialect translates between headers and what calls mean. It decides nothing.
type Dialect interface {
	// ParseRequest decodes the header of a caller's request. The error is a
	// *RequestError.
	ParseRequest(request *http.Request) (RequestInfo, error)
	// CompleteHeader completes the header that goes to endpoints: header holds what the
	// caller sent less what concerns the connection only, and sent all of it.
	CompleteHeader(header, sent http.Header)
	// SetAttempt sets what differs between the attempts at one call.
	SetAttempt(header http.Header, attempt AttemptInfo)
	// ParseResponse decodes the header of an endpoint's answer.
	ParseResponse(response *http.Response) ResponseInfo
}

// RequestInfo is what a caller's header says.
type RequestInfo struct {
	// RequestID is the caller's name for the request.
	RequestID string
	// TimeLeft is how long the caller will wait, or zero if it does not say.
	TimeLeft time.Duration
	// APIKey is the API key, or empty.
	APIKey string
	// PromptTokens is the size of a generation's prompt, and Prompt its parts.
	PromptTokens int
	PromptParts  []scheduling.PromptPart
	// LastEventID is the id of the last event that the caller has of the stream,
	// if HasLastEvent is set.
	LastEventID    int64
	HasLastEventID bool
}

// AttemptInfo is what an endpoint is told beside the caller's own words.
type AttemptInfo struct {
	// EndpointID is the id of the only endpoint that may run the call.
	EndpointID string
	// TimeLeft is how long the answer is waited for.
	TimeLeft time.Duration
	Team     string
	Priority int
	// IsGeneration says that the endpoint is a model engine, which knows
	// priorities.
	IsGeneration bool
	// FetchAddress is the address of the engine from whose memory a part of the prompt is
	// to be fetched, or empty.
	FetchAddress string
	// LastEventID is the id of the event after which a stream goes on, if
	// HasLastEvent is set.
	LastEventID    int64
	HasLastEventID bool
}

// ResponseInfo is what the header of an endpoint's answer says.
type ResponseInfo struct {
	// RequestID is the request to which the answer belongs, or empty.
	RequestID string
	// HasMark says that it bears the mark of an endpoint.
	HasMark bool
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
