package opaque

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/scheduling"
)

// Names are the names of the headers in which calls say what they are.
type Names struct {
	// Request names the request; endpoints repeat it in their answers.
	Request string
	// TimeLeft is how long the answer is waited for, in milliseconds.
	TimeLeft string
	// Key holds the API key after the word Bearer.
	Key string
	// Model names the model of a generation.
	Model string
	// Tokens holds the tokens of the prompt and the most of the answer, joined by
	// a comma.
	Tokens string
	// Prompt lists the parts of the prompt, each with its id, a colon and its
	// tokens, joined by commas.
	Prompt string
	// LastEvent is the id of the last event that is known of a stream.
	LastEvent string
	// Endpoint is the id of the only endpoint that may run the call.
	Endpoint string
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
	// Fetch is the address of the engine from whose memory a part of the prompt is
	// to be fetched.
	Fetch string
	// Reserved are further names that callers may not set.
	Reserved []string
}

// OwnNames returns the names that cactuswell uses where nobody asks for others.
func OwnNames() Names {
	return Names{
		Request:   "X-Request-Id",
		TimeLeft:  "Cactuswell-Time-Left-Ms",
		Key:       "Authorization",
		Model:     "Cactuswell-Model",
		Tokens:    "Cactuswell-Tokens",
		Prompt:    "Cactuswell-Prompt",
		LastEvent: "Last-Event-Id",
		Endpoint:  "Cactuswell-Endpoint",
		Team:      "Cactuswell-Team",
		Priority:  "Cactuswell-Priority",
		Mark:      "Cactuswell-Mark",
		NotRun:    "Cactuswell-Not-Run",
		Load:      "Cactuswell-Load",
		Fetch:     "Cactuswell-Fetch",
	}
}

const (
	headerRetryAfter = "Retry-After"
	keyPrefix        = "Bearer "
	// lastPriority is the least urgent priority that engines know.
	lastPriority = 9
)

// Headers is the Dialect of a set of names.
type Headers struct {
	names Names
}

var _ Dialect = Headers{}

// NewHeaders returns the dialect of the given names.
func NewHeaders(names Names) Headers {
	return Headers{names: names}
}

// Read implements Dialect. Values that cannot be read count as missing, but for
// the request's own name.
func (h Headers) Read(request *http.Request) (Caller, error) {
	header := request.Header
	caller := Caller{
		ID: header.Get(h.names.Request),
	}
	if caller.ID == "" {
		return caller, &RequestError{
			Field:  h.names.Request,
			Reason: "it is missing",
		}
	}
	if left, err := strconv.ParseFloat(header.Get(h.names.TimeLeft), 64); err == nil && left > 0 {
		caller.TimeLeft = time.Duration(left * float64(time.Millisecond))
	}
	if key, ok := strings.CutPrefix(header.Get(h.names.Key), keyPrefix); ok {
		caller.Key = key
	}
	prompt, _, _ := strings.Cut(header.Get(h.names.Tokens), ",")
	caller.PromptTokens = count(prompt)
	caller.Prompt = parts(header.Get(h.names.Prompt))
	if last, err := strconv.ParseInt(header.Get(h.names.LastEvent), 10, 64); err == nil {
		caller.LastEvent = last
		caller.HasLastEvent = true
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

// Forward implements Dialect.
func (h Headers) Forward(header, sent http.Header) {
	for _, name := range []string{h.names.Key, h.names.Team, h.names.Endpoint, h.names.Priority, h.names.TimeLeft, h.names.LastEvent, h.names.Fetch} {
		header.Del(name)
	}
	for _, name := range h.names.Reserved {
		header.Del(name)
	}
	// What the call is reaches the endpoint whatever the caller's Connection
	// header says of it.
	for _, name := range []string{h.names.Request, h.names.Model, h.names.Tokens, h.names.Prompt} {
		if value := sent.Get(name); value != "" {
			header.Set(name, value)
		}
	}
}

// SetAttempt implements Dialect.
func (h Headers) SetAttempt(header http.Header, attempt Attempt) {
	header.Set(h.names.Endpoint, attempt.Endpoint)
	header.Set(h.names.TimeLeft, strconv.FormatInt(max(attempt.TimeLeft.Milliseconds(), 1), 10))
	if attempt.Team != "" {
		header.Set(h.names.Team, attempt.Team)
	}
	if attempt.Generation {
		header.Set(h.names.Priority, strconv.Itoa(min(max(attempt.Priority, 0), lastPriority)))
	}
	if attempt.Fetch != "" {
		header.Set(h.names.Fetch, attempt.Fetch)
	}
	if attempt.HasLastEvent {
		header.Set(h.names.LastEvent, strconv.FormatInt(attempt.LastEvent, 10))
	}
}

// Answer implements Dialect.
func (h Headers) Answer(response *http.Response) Answer {
	header := response.Header
	answer := Answer{
		ID:          header.Get(h.names.Request),
		Signed:      header.Get(h.names.Mark) != "",
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
