package opaque

import (
	"fmt"
	"net/http"
	"time"

	"cactuswell/core/scheduling"
)

// Dialect encodes and decodes the headers of calls. It holds no policy.
type Dialect interface {
	// ParseRequest decodes the header of a caller's request. The error is a
	// *RequestError.
	ParseRequest(request *http.Request) (RequestInfo, error)
	// CompleteHeader completes the header that is sent to endpoints. Sent is the
	// caller's header; header is a copy of it without the hop-by-hop fields.
	CompleteHeader(header, sent http.Header)
	// SetAttempt sets the fields that differ between the attempts of a call.
	SetAttempt(header http.Header, attempt AttemptInfo)
	// ParseResponse decodes the header of an endpoint's response.
	ParseResponse(response *http.Response) ResponseInfo
	// ResponseFields returns the names of the fields by which a response of an endpoint is known: that
	// of the request ID and that of the mark.
	ResponseFields() (requestID, mark string)
}

// RequestInfo is the decoded header of a caller's request.
type RequestInfo struct {
	// RequestID is the request ID that the caller chose.
	RequestID string
	// TimeLeft is how long the caller will wait, or zero if it is not given.
	TimeLeft time.Duration
	// APIKey is the API key, or empty.
	APIKey string
	// PromptTokens is the number of tokens in a generation's prompt, and PromptParts
	// lists the prompt's parts.
	PromptTokens int
	PromptParts  []scheduling.PromptPart
	// LastEventID is the ID of the last event of the stream that the caller
	// received, if HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
	// Resumes is the request ID of the call that brought the stream's first event, or empty.
	Resumes string
}

// AttemptInfo holds what the request of one attempt carries in addition to the
// caller's header.
type AttemptInfo struct {
	// EndpointID is the ID of the only endpoint that may run the call.
	EndpointID string
	// TimeLeft is how long the host waits for the response.
	TimeLeft time.Duration
	Team     string
	Priority int
	// IsGeneration is set if the endpoint is a model engine, which supports
	// priorities.
	IsGeneration bool
	// FetchAddress is the address of the engine from whose cache a part of the
	// prompt is to be fetched, or empty.
	FetchAddress string
	// LastEventID is the ID of the event after which a stream is resumed, if
	// HasLastEventID is set.
	LastEventID    int64
	HasLastEventID bool
}

// ResponseInfo is the decoded header of an endpoint's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response is for, or empty, and RequestIDs is how
	// many the response names.
	RequestID  string
	RequestIDs int
	// HasMark is set if the response has the mark header of an endpoint.
	HasMark bool
	// NotRun is set if the endpoint did not run the call and never will.
	NotRun bool
	// Misdirected is set if the address belongs to another endpoint now.
	Misdirected bool
	// Leaving is set if the endpoint accepts no new calls.
	Leaving bool
	// RetryAfter is how long to send no calls to the endpoint, or zero.
	RetryAfter time.Duration
	// MalformedRetryAfter is the text of a delay that is not a number or out of bounds.
	MalformedRetryAfter string
	// Limit is the rate that the endpoint takes from all hosts together, if it names one.
	Limit scheduling.Limit
	// MalformedLimit is the text of a limit that is not a number or negative.
	MalformedLimit string
	Load           scheduling.ReportedLoad
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
