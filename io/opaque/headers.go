package opaque

import (
	"errors"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/scheduling"
	"cactuswell/saturate"
)

// HeaderNames holds the names of the headers that describe calls. The comment of
// each field describes the header's value.
type HeaderNames struct {
	// RequestID is the request ID, which endpoints repeat in their responses.
	RequestID string
	// TimeLeft is how long the sender waits for the response, in milliseconds.
	TimeLeft string
	// APIKey is the API key after the word Bearer.
	APIKey string
	// Model is the model of a generation.
	Model string
	// Tokens is the number of tokens of the prompt and the maximum of the answer,
	// separated by a comma.
	Tokens string
	// PromptParts is the list of the prompt's parts, separated by commas, each as
	// id:tokens.
	PromptParts string
	// LastEventID is the ID of the last event of a stream that the sender has.
	LastEventID string
	// Resumes is the request ID of the call that brought the first event of the stream
	// that a call resumes.
	Resumes string
	// EndpointID is the ID of the only endpoint that may run the call.
	EndpointID string
	// Team is the caller's team.
	Team string
	// Priority is the priority of a generation, from 0 to 9.
	Priority string
	// Mark is set by endpoints in their responses, with any value.
	Mark string
	// NotRun is set by endpoints that did not run the call.
	NotRun string
	// Load is the number of running calls, of waiting calls and of slots of an
	// endpoint, separated by commas. A fourth value may follow: how long work takes at the
	// moment, in percent of the usual time.
	Load string
	// Leaving is set by endpoints that are leaving in all their responses.
	Leaving string
	// Limit is the number of requests a second that an endpoint takes from all hosts
	// together, which it sets in its responses while it applies.
	Limit string
	// Brittle is the number of requests that an endpoint may have to decline within a second
	// without falling over, which it sets in its responses while it is brittle.
	Brittle string
	// FetchAddress is the address of the engine from whose cache a part of the prompt is
	// to be fetched.
	FetchAddress string
	// Reserved lists further headers that callers may not set.
	Reserved []string
}

// DefaultHeaderNames returns cactuswell's own header names, which are the default.
func DefaultHeaderNames() HeaderNames {
	return HeaderNames{
		RequestID:    "X-Request-Id",
		TimeLeft:     "Cactuswell-Time-Left-Ms",
		APIKey:       "Authorization",
		Model:        "Cactuswell-Model",
		Tokens:       "Cactuswell-Tokens",
		PromptParts:  "Cactuswell-Prompt",
		LastEventID:  "Last-Event-Id",
		Resumes:      "Cactuswell-Resumes",
		EndpointID:   "Cactuswell-Endpoint",
		Team:         "Cactuswell-Team",
		Priority:     "Cactuswell-Priority",
		Mark:         "Cactuswell-Mark",
		NotRun:       "Cactuswell-Not-Run",
		Load:         "Cactuswell-Load",
		Leaving:      "Cactuswell-Leaving",
		Limit:        "Cactuswell-Limit",
		Brittle:      "Cactuswell-Brittle",
		FetchAddress: "Cactuswell-Fetch",
	}
}

const (
	headerRetryAfter = "Retry-After"
	// maxRetryAfter bounds the delay that an endpoint may ask for.
	maxRetryAfter = time.Minute
	// maxLimit is the number of requests a second beyond which a limit makes no difference.
	maxLimit = 1e6
	// maxTimeLeft bounds the time for which a caller waits; calls are far shorter.
	maxTimeLeft = 24 * time.Hour
	// maxTokens bounds the size of a prompt and of a part, beyond what any engine holds, and
	// maxCount all other counts.
	maxTokens = 1 << 24
	maxCount  = 1 << 30
	// minLoadFields and maxLoadFields are the numbers of values of a load without and with the
	// pace.
	minLoadFields = 3
	maxLoadFields = 4
	// minPace and maxPace bound the pace that an endpoint reports, beyond what any machine
	// reaches.
	minPace      = 0.1
	maxPace      = 20
	bearerPrefix = "Bearer "
	// lowestPriority is the least urgent priority that engines support.
	lowestPriority = 9
)

// HeaderDialect is a Dialect with configurable header names.
type HeaderDialect struct {
	names HeaderNames
}

var _ Dialect = HeaderDialect{}

// NewHeaderDialect returns the Dialect that uses the given header names.
func NewHeaderDialect(names HeaderNames) HeaderDialect {
	return HeaderDialect{names: names}
}

// ParseRequest implements Dialect. A malformed value counts as missing. Only a
// missing request ID is an error.
func (h HeaderDialect) ParseRequest(request *http.Request) (RequestInfo, error) {
	header := request.Header
	info := RequestInfo{
		RequestID: header.Get(h.names.RequestID),
		Resumes:   header.Get(h.names.Resumes),
	}
	if info.RequestID == "" {
		return info, &RequestError{
			Field:  h.names.RequestID,
			Reason: "it is missing",
		}
	}
	if ms, err := strconv.ParseFloat(header.Get(h.names.TimeLeft), 64); err == nil && ms > 0 {
		info.TimeLeft = min(saturate.Duration(ms, time.Millisecond), maxTimeLeft)
	}
	if key, ok := strings.CutPrefix(header.Get(h.names.APIKey), bearerPrefix); ok {
		info.APIKey = key
	}
	promptTokens, _, _ := strings.Cut(header.Get(h.names.Tokens), ",")
	info.PromptTokens = parseCount(promptTokens, maxTokens)
	info.PromptParts = parsePromptParts(strings.Join(header.Values(h.names.PromptParts), ","))
	if id, err := strconv.ParseInt(header.Get(h.names.LastEventID), 10, 64); err == nil {
		info.LastEventID = id
		info.HasLastEventID = true
	}
	return info, nil
}

// parsePromptParts parses the list of a prompt's parts. Those beyond scheduling.MaxPromptParts are
// merged.
func parsePromptParts(list string) []scheduling.PromptPart {
	if list == "" {
		return nil
	}
	var parts []scheduling.PromptPart
	for item := range strings.SplitSeq(list, ",") {
		id, tokens, _ := strings.Cut(strings.TrimSpace(item), ":")
		parts = scheduling.AppendPart(parts, scheduling.PromptPart{
			ID:     xxhash.Sum64String(id),
			Tokens: parseCount(tokens, maxTokens),
		})
	}
	return parts
}

// parseCount parses a non-negative integer and returns it, at most limit. It returns zero for
// anything else.
func parseCount(text string, limit int) int {
	// Beyond the range of an integer, Atoi returns the nearest one.
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0
	}
	return min(n, limit)
}

// CompleteHeader implements Dialect.
func (h HeaderDialect) CompleteHeader(header, sent http.Header) {
	for _, name := range []string{h.names.APIKey, h.names.Team, h.names.EndpointID, h.names.Priority, h.names.TimeLeft, h.names.LastEventID, h.names.FetchAddress} {
		header.Del(name)
	}
	for _, name := range h.names.Reserved {
		header.Del(name)
	}
	// The headers that describe the call reach the endpoint even if the caller's
	// Connection header lists them as hop-by-hop.
	for _, name := range []string{h.names.RequestID, h.names.Model, h.names.Tokens} {
		if value := sent.Get(name); value != "" {
			header.Set(name, value)
		}
	}
	// A list may have several lines.
	if parts := sent.Values(h.names.PromptParts); len(parts) > 0 {
		header[http.CanonicalHeaderKey(h.names.PromptParts)] = slices.Clone(parts)
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
		header.Set(h.names.Priority, strconv.Itoa(min(max(attempt.Priority, 0), lowestPriority)))
	}
	if attempt.FetchAddress != "" {
		header.Set(h.names.FetchAddress, attempt.FetchAddress)
	}
	if attempt.HasLastEventID {
		header.Set(h.names.LastEventID, strconv.FormatInt(attempt.LastEventID, 10))
	}
}

// countDistinct returns the number of different values. Proxies may repeat a field.
func countDistinct(values []string) int {
	return len(slices.Compact(slices.Sorted(slices.Values(values))))
}

// isSet reports whether a header that is a flag has a value other than zero and false.
func isSet(value string) bool { return value != "" && value != "0" && value != "false" }

// parseRetryAfter parses a delay in seconds, which may have a fraction. It returns the
// text as malformed if it is not a positive number, and also if the number is larger than
// maxRetryAfter, to which the delay is bounded.
func parseRetryAfter(text string) (delay time.Duration, malformed string) {
	if text == "" {
		return 0, ""
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil && !errors.Is(err, strconv.ErrRange), math.IsNaN(seconds), seconds < 0:
		return 0, text
	case seconds > maxRetryAfter.Seconds():
		return maxRetryAfter, text
	}
	return time.Duration(seconds * float64(time.Second)), ""
}

// parseLimit parses a number of requests a second. It returns the text as malformed if it is
// not a number or negative.
func parseLimit(text string) (limit scheduling.Limit, malformed string) {
	if text == "" {
		return scheduling.Limit{}, ""
	}
	perSecond, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(perSecond) || perSecond < 0 {
		return scheduling.Limit{IsMalformed: true}, text
	}
	return scheduling.Limit{
		IsNamed:   true,
		PerSecond: min(perSecond, maxLimit),
	}, ""
}

// parseBrittle parses the number of requests that an endpoint may have to decline within a
// second. It reports false if the text is not a number or negative.
func parseBrittle(text string, limit *scheduling.Limit) bool {
	declines, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(declines) || declines < 0 {
		limit.IsMalformed = true
		return false
	}
	limit.IsBrittle = true
	limit.MaxDeclines = int(min(declines, maxLimit))
	return true
}

// ParseResponse implements Dialect.
func (h HeaderDialect) ParseResponse(response *http.Response) ResponseInfo {
	header := response.Header
	info := ResponseInfo{
		RequestID:   header.Get(h.names.RequestID),
		RequestIDs:  countDistinct(header.Values(h.names.RequestID)),
		HasMark:     header.Get(h.names.Mark) != "",
		NotRun:      isSet(header.Get(h.names.NotRun)),
		Misdirected: response.StatusCode == http.StatusMisdirectedRequest,
		Leaving:     isSet(header.Get(h.names.Leaving)),
	}
	info.Limit, info.MalformedLimit = parseLimit(header.Get(h.names.Limit))
	if text := header.Get(h.names.Brittle); text != "" && !parseBrittle(text, &info.Limit) {
		info.MalformedLimit = text
	}
	info.RetryAfter, info.MalformedRetryAfter = parseRetryAfter(header.Get(headerRetryAfter))
	info.Load = parseLoad(header.Get(h.names.Load))
	return info
}

// ResponseFields implements Dialect.
func (h HeaderDialect) ResponseFields() (requestID, mark string) {
	return h.names.RequestID, h.names.Mark
}

// parseLoad parses the load of an endpoint. A load has three values, or four with the pace. A
// malformed pace counts as missing, and leaves the others in use.
func parseLoad(text string) scheduling.ReportedLoad {
	fields := strings.SplitN(text, ",", maxLoadFields+1)
	if len(fields) != minLoadFields && len(fields) != maxLoadFields {
		return scheduling.ReportedLoad{}
	}
	load := scheduling.ReportedLoad{
		Known:   true,
		Running: parseCount(fields[0], maxCount),
		Waiting: parseCount(fields[1], maxCount),
		Slots:   parseCount(fields[2], maxCount),
	}
	if len(fields) == maxLoadFields {
		load.Pace = parsePace(fields[minLoadFields])
	}
	return load
}

// parsePace parses a pace in percent and returns it as a factor within the bounds, or zero if it
// is not a positive number.
func parsePace(text string) float64 {
	percent, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(percent) || percent <= 0 {
		return 0
	}
	return min(max(percent/100, minPace), maxPace)
}
