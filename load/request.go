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
	// requestTimeout bounds one request.
	requestTimeout = 5 * time.Minute
	// maxRepeats bounds the repetitions of a booking with a key.
	maxRepeats = 8
	// repeatDelay is the time between two repetitions.
	repeatDelay = 500 * time.Millisecond
	// maxEventBytes bounds one event of a streamed answer.
	maxEventBytes = 1 << 20
)

// result is what came of one request.
type result struct {
	arrival arrival
	// firstToken and total are the delays from the start, in zero for none.
	firstToken time.Duration
	total      time.Duration
	tokens     int
	// completed is a whole answer; wrong is an answer that is not this
	// request's or not whole but looked whole.
	completed bool
	wrong     bool
	// problem is the code of a refusal, "connection" if there was no answer.
	problem string
	ran     dispatch.Execution
	repeats int
	// maybeRan says that some attempt was told as unknown.
	maybeRan bool
	// host served the last attempt, and endedAt is when the request ended.
	host    string
	endedAt time.Time
}

// problemBody is the form of a problem in an answer.
type problemBody struct {
	Error caller.Problem `json:"error"`
}

// perform makes the request, and for a booking with a key repeats it at other
// hosts until its outcome is known.
func (d *Driver) perform(ctx context.Context, a arrival) result {
	started := time.Now()
	r := result{
		arrival: a,
	}
	for {
		d.attempt(ctx, &r, started)
		r.maybeRan = r.maybeRan || r.ran == dispatch.MayHaveRun
		if r.completed || a.key == "" || r.repeats == maxRepeats || r.wrong {
			break
		}
		r.repeats++
		if !pause(ctx, repeatDelay) {
			break
		}
	}
	r.endedAt = time.Now()
	r.total = r.endedAt.Sub(started)
	return r
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (d *Driver) attempt(ctx context.Context, r *result, started time.Time) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r.problem = ""
	r.ran = ""
	if r.arrival.spec.Kind == profile.KindService {
		d.call(ctx, r)
		return
	}
	d.chat(ctx, r, started)
}

// send sends a request to a ready host. One that no connection could be had for
// goes to the next host.
func (d *Driver) send(ctx context.Context, r *result, path string, body any) (*http.Response, error) {
	var err error
	for try := range d.config.Hosts {
		r.host = d.balancer.pick(r.arrival.host + r.repeats + try)
		var request *http.Request
		if request, err = d.newRequest(ctx, r, "http://"+r.host+path, body); err != nil {
			return nil, err
		}
		var response *http.Response
		response, err = d.http.Do(request)
		if err == nil || !neverSent(err) {
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

func (d *Driver) call(ctx context.Context, r *result) {
	response, err := d.send(ctx, r, "/v1/services/"+r.arrival.spec.Class, bookingBody{Reference: r.arrival.reference})
	if err != nil {
		r.noAnswer()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		r.noAnswer()
		return
	}
	if response.StatusCode != http.StatusOK {
		r.refused(body)
		return
	}
	var answer bookingBody
	if err := json.Unmarshal(body, &answer); err != nil || answer.Reference != r.arrival.reference {
		r.wrong = true
		return
	}
	r.completed = true
}

func (r *result) noAnswer() {
	r.problem = "connection"
	r.ran = dispatch.MayHaveRun
}

func (r *result) refused(body []byte) {
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

// prompt returns the messages of an arrival: a part that the team's requests of
// the class share, and a part of its own.
func prompt(a arrival) []json.RawMessage {
	shared := strings.Repeat(a.team+" "+a.spec.Class+" ", sharedPrefixWords/2)
	own := strings.Repeat("word ", a.promptWords) + a.reference
	messages := make([]json.RawMessage, 0, 2)
	for _, message := range []chatMessage{
		{
			Role:    "system",
			Content: shared,
		},
		{
			Role:    "user",
			Content: own,
		},
	} {
		data, _ := json.Marshal(message)
		messages = append(messages, data)
	}
	return messages
}

func (d *Driver) chat(ctx context.Context, r *result, started time.Time) {
	messages := prompt(r.arrival)
	response, err := d.send(ctx, r, "/v1/chat/completions", chatBody{
		Model:     r.arrival.spec.Name,
		Messages:  messages,
		Stream:    true,
		MaxTokens: r.arrival.maxTokens,
	})
	if err != nil {
		r.noAnswer()
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(response.Body)
		r.refused(body)
		return
	}
	text, finished := r.readStream(response.Body, started)
	if !finished {
		if r.problem == "" {
			r.noAnswer()
		}
		return
	}
	r.completed = standin.IsCompleteAnswer(engine.PromptText(messages), text, r.tokens)
	r.wrong = !r.completed
}

// readStream takes in a streamed answer and reports whether it said that it was
// whole.
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
			r.refused([]byte(data))
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
			r.firstToken = time.Since(started)
		}
		r.tokens++
		text.WriteString(choice.Delta.Content)
	}
	return text.String(), false
}

// met reports whether the request was answered whole within its target.
func (r *result) met() bool {
	target := time.Duration(r.arrival.spec.TargetMs) * time.Millisecond
	if r.arrival.spec.Kind == profile.KindModel {
		return r.completed && r.firstToken <= target
	}
	return r.completed && r.total <= target
}

// String names the request for messages.
func (r *result) String() string {
	return fmt.Sprintf("%s of %s", r.arrival.reference, r.arrival.team)
}
