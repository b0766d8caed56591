package opaque

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/scheduling"
)

// HeaderNames are the names of the headers in which calls say what they are.
type HeaderNames struct {
	// RequestID names the request; endpoints repeat it in their answers.
	RequestID string
	// TimeLeft is how long the answer is waited for, in milliseconds.
	TimeLeft string
	// APIKey holds the API key after the word Bearer.
	APIKey string
	// Model names the model of a generation.
	Model string
	// Tokens holds the tokens of the prompt and the most of the answer, joined by
	// a comma.
	Tokens string
	// PromptParts lists the parts of the prompt, each with its id, a colon and its
	// tokens, joined by commas.
	PromptParts string
	// LastEventID is the id of the last event that is known of a stream.
	LastEventID string
	// EndpointID is the id of the only endpoint that may run the call.
	EndpointID string
	// Team is the team that calls.
	Team string
	// Priority is the rank of a generation, from 0 to 9.
	Priority string
	// Mark is what endpoints mark their answers with.
	Mark string
	// NotRun is set by endpoints that did not run the call.
	NotRun string
	// Load holds the running and the waiting calls and the slots of an endpoint,
	// joined by commas.
	Load string
	// FetchAddress is the address of the engine from whose memory a part of the prompt is
	// to be fetched.
	FetchAddress string
	// Reserved are further names that callers may not set.
	Reserved []string
}

// DefaultHeaderNames returns the names that cactuswell uses where nobody asks for others.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID:    "X-Request-Id",
		TimeLeft:     "Cactuswell-Time-Left-Ms",
		APIKey:       "Authorization",
		Model:        "Cactuswell-Model",
		Tokens:       "Cactuswell-Tokens",
		PromptParts:  "Cactuswell-Prompt",
		LastEventID:  "Last-Event-Id",
		EndpointID:   "Cactuswell-Endpoint",
		Team:         "Cactuswell-Team",
		Priority:     "Cactuswell-Priority",
		Mark:         "Cactuswell-Mark",
		NotRun:       "Cactuswell-Not-Run",
		Load:         "Cactuswell-Load",
		FetchAddress: "Cactuswell-Fetch",
	}
}

const (
	headerRetryAfter = "Retry-After"
	keyPrefix        = "Bearer "
	// lastPriority is the least urgent priority that engines know.
	lastPriority = 9
)

// HeaderDialect is the Dialect of a set of names.
type HeaderDialect struct {
	names HeaderNames
}

var _ Dialect = HeaderDialect{}

// NewHeaderDialect returns the dialect of the given names.
func NewHeaderDialect(names HeaderNames) HeaderDialect {
	return HeaderDialect{names: names}
}

// ParseRequest implements Dialect. Values that cannot be read count as missing, but for
// the request's own name.
func (h HeaderDialect) ParseRequest(request *http.Request) (RequestInfo, error) {
	header := request.Header
	caller := RequestInfo{
		RequestID: header.Get(h.names.RequestID),
	}
	if caller.RequestID == "" {
		return caller, &RequestError{
			Field:  h.names.RequestID,
			Reason: "it is missing",
		}
	}
	if left, err := strconv.ParseFloat(header.Get(h.names.TimeLeft), 64); err == nil && left > 0 {
		caller.TimeLeft = time.Duration(left * float64(time.Millisecond))
	}
	if key, ok := strings.CutPrefix(header.Get(h.names.APIKey), keyPrefix); ok {
		caller.APIKey = key
	}
	prompt, _, _ := strings.Cut(header.Get(h.names.Tokens), ",")
	caller.PromptTokens = count(prompt)
	caller.PromptParts = parts(header.Get(h.names.PromptParts))
	if last, err := strconv.ParseInt(header.Get(h.names.LastEventID), 10, 64); err == nil {
		caller.LastEventID = last
		caller.HasLastEventID = true
	}
	return caller, nil
}

// parts reads the list of a prompt's parts.
func parts(list string) []scheduling.PromptPart {
	if list == "" {
		return nil
	}
	var read []scheduling.PromptPart
	for part := range strings.SplitSeq(list, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		read = append(read, scheduling.PromptPart{
			ID:     xxhash.Sum64String(id),
			Tokens: count(tokens),
		})
	}
	return read
}

// count reads a number of things; what is none counts as zero.
func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// CompleteHeader implements Dialect.
func (h HeaderDialect) CompleteHeader(header, sent http.Header) {
	for _, name := range []string{h.names.APIKey, h.names.Team, h.names.EndpointID, h.names.Priority, h.names.TimeLeft, h.names.LastEventID, h.names.FetchAddress} {
		header.Del(name)
	}
	for _, name := range h.names.Reserved {
		header.Del(name)
	}
	// What the call is reaches the endpoint whatever the caller's Connection
	// header says of it.
	for _, name := range []string{h.names.RequestID, h.names.Model, h.names.Tokens, h.names.PromptParts} {
		if value := sent.Get(name); value != "" {
			header.Set(name, value)
		}
	}
}

// SetAttempt implements Dialect.
func (h HeaderDialect) SetAttempt(header http.Header, attempt AttemptInfo) {
	header.Set(h.names.EndpointID, attempt.EndpointID)
	header.Set(h.names.TimeLeft, strconv.FormatInt(max(attempt.TimeLeft.Milliseconds(), 1), 10))
	if attempt.Team != "" {
		header.Set(h.names.Team, attempt.Team)
	}
	if attempt.IsGeneration {
		header.Set(h.names.Priority, strconv.Itoa(min(max(attempt.Priority, 0), lastPriority)))
	}
	if attempt.FetchAddress != "" {
		header.Set(h.names.FetchAddress, attempt.FetchAddress)
	}
	if attempt.HasLastEventID {
		header.Set(h.names.LastEventID, strconv.FormatInt(attempt.LastEventID, 10))
	}
}

// ParseResponse implements Dialect.
func (h HeaderDialect) ParseResponse(response *http.Response) ResponseInfo {
	header := response.Header
	answer := ResponseInfo{
		RequestID:   header.Get(h.names.RequestID),
		HasMark:     header.Get(h.names.Mark) != "",
		NotRun:      header.Get(h.names.NotRun) != "",
		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
	}
	if seconds, err := strconv.ParseFloat(header.Get(headerRetryAfter), 64); err == nil && seconds > 0 {
		answer.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	fields := strings.Split(header.Get(h.names.Load), ",")
	if len(fields) == 3 {
		answer.Load = scheduling.ReportedLoad{
			Known:   true,
			Running: count(fields[0]),
			Waiting: count(fields[1]),
			Slots:   count(fields[2]),
		}
	}
	return answer
}
