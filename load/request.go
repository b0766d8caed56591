package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/io/caller"
	"cactuswell/io/engine"
	standin "cactuswell/standin/engine"
)

const (
	// requestTimeout is the timeout of one attempt.
	requestTimeout = 5 * time.Minute
	// maxRetries is the maximum number of retries of a booking with a key.
	maxRetries = 8
	// retryDelay is the delay before a retry.
	retryDelay = 500 * time.Millisecond
	// maxEventBytes is the maximum size of one event of a streamed answer.
	maxEventBytes = 1 << 20
)

// result holds the result of one request.
type result struct {
	arrival arrival
	// timeToFirstToken and totalTime are measured from the start of the first
	// attempt. timeToFirstToken is zero if no token arrived.
	timeToFirstToken time.Duration
	totalTime        time.Duration
	tokens           int
	// completed is set for a complete answer. isWrong is set for an answer that
	// looked complete but is truncated or belongs to another request.
	completed bool
	isWrong   bool
	// problem is the problem code of an error response, "connection" if there was
	// no response, or "untyped" if the response had no code or a malformed event.
	problem string
	ran     dispatch.Execution
	retries int
	// mayHaveRun is set if an attempt had an unknown outcome.
	mayHaveRun bool
	// host served the last attempt.
	host       string
	finishedAt time.Time
}

// problemBody is the JSON body of an error response.
type problemBody struct {
	Error caller.Problem `json:"error"`
}

// execute sends the request. A booking with a key is retried at other hosts until
// it completes, at most maxRetries times.
func (d *Driver) execute(ctx context.Context, a arrival) result {
	started := time.Now()
	r := result{
		arrival: a,
	}
	for {
		d.makeAttempt(ctx, &r, started)
		r.mayHaveRun = r.mayHaveRun || r.ran == dispatch.MayHaveRun
		if r.completed || a.key == "" || r.retries == maxRetries || r.isWrong {
			break
		}
		r.retries++
		if !sleep(ctx, retryDelay) {
			break
		}
	}
	r.finishedAt = time.Now()
	r.totalTime = r.finishedAt.Sub(started)
	return r
}

// sleep waits and reports whether ctx is not done.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Driver) makeAttempt(ctx context.Context, r *result, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r.problem = ""
	r.ran = ""
	if r.arrival.spec.Kind == profile.KindService {
		d.callService(ctx, r)
		return
	}
	d.streamChat(ctx, r, started)
}

// send sends a request to a ready host. If the connection cannot be established, it
// tries the next host.
func (d *Driver) send(ctx context.Context, r *result, path string, body any) (*http.Response, error) {
	var err error
	for try := range d.config.Hosts {
		r.host = d.balancer.pick(r.arrival.host + r.retries + try)
		var request *http.Request
		if request, err = d.newRequest(ctx, r, "http://"+r.host+path, body); err != nil {
			return nil, err
		}
		var response *http.Response
		response, err = d.client.Do(request)
		if err == nil || !isDialError(err) {
			return response, err
		}
	}
	return nil, err
}

func (d *Driver) newRequest(ctx context.Context, r *result, address string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(caller.HeaderProfile, r.arrival.spec.Name)
	request.Header.Set(caller.HeaderTeam, r.arrival.team)
	if r.arrival.key != "" {
		request.Header.Set(caller.HeaderIdempotencyKey, r.arrival.key)
	}
	return request, nil
}

// bookingBody is the body of a call to a stand-in service.
type bookingBody struct {
	Reference string `json:"reference"`
}

func (d *Driver) callService(ctx context.Context, r *result) {
	response, err := d.send(ctx, r, "/v1/services/"+r.arrival.spec.Class, bookingBody{Reference: r.arrival.reference})
	if err != nil {
		r.recordNoResponse()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		r.recordNoResponse()
		return
	}
	if response.StatusCode != http.StatusOK {
		r.recordRefusal(body)
		return
	}
	var answer bookingBody
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reference != r.arrival.reference {
		r.isWrong = true
		return
	}
	r.completed = true
}

func (r *result) recordNoResponse() {
	r.problem = "connection"
	r.ran = dispatch.MayHaveRun
}

func (r *result) recordRefusal(body []byte) {
	var problem problemBody
	if err := json.Unmarshal(body, &problem); err != nil || problem.Error.Code == "" {
		r.problem = "untyped"
		r.ran = dispatch.MayHaveRun
		return
	}
	r.problem = string(problem.Error.Code)
	r.ran = problem.Error.Ran
}

// chatMessage is one message of a prompt.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatBody struct {
	Model     string            `json:"model"`
	Messages  []json.RawMessage `json:"messages"`
	Stream    bool              `json:"stream"`
	MaxTokens int               `json:"max_tokens,omitempty"`
}

// promptMessages returns the messages of an arrival: a prefix that all requests of
// the team and class share, and a part that is unique to the request.
func promptMessages(a arrival) []json.RawMessage {
	shared := strings.Repeat(a.team+" "+a.spec.Class+" ", sharedPrefixWords/2)
	unique := strings.Repeat("word ", a.promptWords) + a.reference
	messages := make([]json.RawMessage, 0, 2)
	for _, message := range []chatMessage{
		{
			Role:    "system",
			Content: shared,
		},
		{
			Role:    "user",
			Content: unique,
		},
	} {
		data, _ := json.Marshal(message)
		messages = append(messages, data)
	}
	return messages
}

func (d *Driver) streamChat(ctx context.Context, r *result, started time.Time) {
	messages := promptMessages(r.arrival)
	response, err := d.send(ctx, r, "/v1/chat/completions", chatBody{
		Model:     r.arrival.spec.Name,
		Messages:  messages,
		Stream:    true,
		MaxTokens: r.arrival.maxTokens,
	})
	if err != nil {
		r.recordNoResponse()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		r.recordRefusal(body)
		return
	}
	text, finished := r.readStream(response.Body, started)
	if !finished {
		if r.problem == "" {
			r.recordNoResponse()
		}
		return
	}
	r.completed = standin.IsCompleteAnswer(engine.PromptText(messages), text, r.tokens)
	r.isWrong = !r.completed
}

// readStream reads a streamed answer. It returns the text and whether the stream
// ended with a finish reason.
func (r *result) readStream(body io.Reader, started time.Time) (string, bool) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	finished := false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			return text.String(), finished
		case strings.HasPrefix(data, `{"error"`):
			r.recordRefusal([]byte(data))
			return text.String(), false
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
			r.problem = "untyped"
			return text.String(), false
		}
		choice := chunk.Choices[0]
		if choice.FinishReason != nil {
			finished = true
			continue
		}
		if r.tokens == 0 {
			r.timeToFirstToken = time.Since(started)
		}
		r.tokens++
		text.WriteString(choice.Delta.Content)
	}
	return text.String(), false
}

// metTarget reports whether the complete answer met the latency target.
func (r *result) metTarget() bool {
	target := time.Duration(r.arrival.spec.TargetMs) * time.Millisecond
	if r.arrival.spec.Kind == profile.KindModel {
		return r.completed && r.timeToFirstToken <= target
	}
	return r.completed && r.totalTime <= target
}

// String returns the reference and the team, for messages.
func (r *result) String() string {
	return fmt.Sprintf("%s of %s", r.arrival.reference, r.arrival.team)
}
