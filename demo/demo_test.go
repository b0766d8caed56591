package demo_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"cactuswell/core/profile"
	"cactuswell/demo"
	"cactuswell/deployment"
	"cactuswell/io/caller"
	"cactuswell/io/engine"
	standin "cactuswell/standin/engine"
)

const hosts = 3

// fleet is a running demo.
type fleet struct {
	*demo.Demo

	t    *testing.T
	stop context.CancelFunc
	done chan error
	http *http.Client
}

func startFleet(t *testing.T, firm deployment.Deployment) *fleet {
	t.Helper()
	d, err := demo.New(firm, hosts, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &fleet{
		Demo: d,
		t:    t,
		stop: stop,
		done: make(chan error, 1),
		http: &http.Client{Transport: &http.Transport{}},
	}
	go f.run(ctx)
	if err := d.PublishProfiles(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f
}

func (f *fleet) run(ctx context.Context) {
	f.done <- f.Run(ctx, context.Background())
}

func (f *fleet) close() {
	f.t.Helper()
	f.stop()
	if err := <-f.done; err != nil {
		f.t.Errorf("stop: %v", err)
	}
	f.http.CloseIdleConnections()
}

// post sends a body to a path of a host and returns the status and the answer.
func (f *fleet) post(host int, path string, header map[string]string, body string) (int, string) {
	f.t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+f.Hosts()[host].CallerAddress()+path,
		strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := f.http.Do(request)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return response.StatusCode, string(answer)
}

func chatText(profile string, stream bool, maxTokens int) string {
	body, _ := json.Marshal(map[string]any{
		"model":      profile,
		"stream":     stream,
		"max_tokens": maxTokens,
		"messages":   []map[string]string{{"role": "user", "content": "for " + profile}},
	})
	return string(body)
}

// wholeStream reports whether a streamed answer is the whole answer to body.
func wholeStream(t *testing.T, body, answer string) bool {
	t.Helper()
	var request engine.ChatRequest
	if err := json.Unmarshal([]byte(body), &request); err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	tokens := 0
	for line := range strings.Lines(answer) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: {")
		if !ok {
			continue
		}
		var chunk engine.ChatChunk
		if err := json.Unmarshal([]byte("{"+data), &chunk); err != nil {
			t.Fatal(err)
		}
		if len(chunk.Choices) == 0 {
			return false
		}
		if chunk.Choices[0].FinishReason == nil {
			tokens++
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return standin.IsCompleteAnswer(engine.PromptText(request.Messages), text.String(), tokens) &&
		strings.HasSuffix(answer, "data: [DONE]\n\n")
}

func TestWholePathForBothFirms(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, firm := range []deployment.Deployment{deployment.Kelisim(), deployment.Lindqvist()} {
		t.Run(firm.Name, func(t *testing.T) {
			f := startFleet(t, firm)
			defer f.close()
			for i, spec := range firm.Profiles {
				host := 0
				if i > 0 {
					host = i % hosts
				}
				if err := f.Hosts()[host].AwaitProfile(context.Background(), spec.Name); err != nil {
					t.Fatal(err)
				}
				if spec.Kind == profile.KindService {
					status, answer := f.post(host, "/v1/services/"+spec.Class,
						map[string]string{caller.HeaderProfile: spec.Name}, `{"reference":"`+spec.Name+`"}`)
					if status != http.StatusOK || !strings.Contains(answer, spec.Name) {
						t.Errorf("%s: status %d, answer %s", spec.Name, status, answer)
					}
					continue
				}
				body := chatText(spec.Name, true, 8)
				status, answer := f.post(host, "/v1/chat/completions", nil, body)
				if status != http.StatusOK || !wholeStream(t, body, answer) {
					t.Errorf("%s streamed: status %d, answer %s", spec.Name, status, answer)
				}
				status, answer = f.post(host, "/v1/chat/completions", nil, chatText(spec.Name, false, 8))
				if status != http.StatusOK || !strings.Contains(answer, `"completion_tokens":8`) {
					t.Errorf("%s not streamed: status %d, answer %s", spec.Name, status, answer)
				}
			}
			executions := make(map[string]int)
			for _, service := range f.Services() {
				for reference, count := range service.Executions() {
					executions[reference] += count
				}
			}
			for reference, count := range executions {
				if count != 1 {
					t.Errorf("%s was run %d times", reference, count)
				}
			}
		})
	}
}

// executions returns how often a booking was run by all services.
func (f *fleet) executions(reference string) int {
	total := 0
	for _, service := range f.Services() {
		total += service.Executions()[reference]
	}
	return total
}

func TestKeyedBookingRunsOnce(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startFleet(t, deployment.Kelisim())
	defer f.close()
	for host := range hosts {
		if err := f.Hosts()[host].AwaitProfile(context.Background(), "roomHold"); err != nil {
			t.Fatal(err)
		}
	}
	book := func(host int, key, reference string) (int, string) {
		return f.post(host, "/v1/services/roomHold", map[string]string{
			caller.HeaderProfile:        "roomHold",
			caller.HeaderIdempotencyKey: key,
		}, `{"reference":"`+reference+`"}`)
	}
	_, issued := f.post(0, "/v1/idempotency-keys", nil, "")
	var issue struct {
		Key string `json:"idempotencyKey"`
	}
	if err := json.Unmarshal([]byte(issued), &issue); err != nil || issue.Key == "" {
		t.Fatalf("issued key: %s", issued)
	}
	for _, test := range []struct {
		name string
		key  string
	}{
		{name: "the caller's own key", key: "hearing-17"},
		{name: "a key issued by the first host", key: issue.Key},
	} {
		t.Run(test.name, func(t *testing.T) {
			first := ""
			for attempt := range 2 * hosts {
				status, answer := book(attempt%hosts, test.key, test.name)
				if status != http.StatusOK {
					t.Fatalf("attempt %d: status %d, answer %s", attempt, status, answer)
				}
				if first == "" {
					first = answer
				}
				if answer != first {
					t.Errorf("attempt %d: answer %s, first %s", attempt, answer, first)
				}
			}
			if got := f.executions(test.name); got != 1 {
				t.Errorf("executions = %d, want 1", got)
			}
			status, answer := book(1, test.key, "another booking")
			if status != http.StatusUnprocessableEntity || f.executions("another booking") != 0 {
				t.Errorf("reused key: status %d, answer %s", status, answer)
			}
		})
	}
}

func TestBadInputGetsTypedProblems(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := startFleet(t, deployment.Kelisim())
	defer f.close()
	chat := "/v1/chat/completions"
	long := strings.Repeat("x", 200)
	for _, test := range []struct {
		name   string
		path   string
		header map[string]string
		body   string
		status int
		code   caller.Code
	}{
		{name: "unknown profile", path: chat, body: chatText("nope", false, 1), status: 404, code: caller.CodeUnknownProfile},
		{name: "no profile", path: chat, body: chatText("", false, 1), status: 400, code: caller.CodeMissingProfile},
		{name: "wrong kind", path: chat, body: chatText("roomHold", false, 1), status: 400, code: caller.CodeWrongKind},
		{name: "malformed chat", path: chat, body: "{", status: 400, code: caller.CodeMalformed},
		{name: "chat without messages", path: chat, body: `{"model":"schedulingDraft"}`, status: 400, code: caller.CodeMalformed},
		{name: "negative bound", path: chat, body: chatText("schedulingDraft", false, -1), status: 400, code: caller.CodeMalformed},
		{
			name: "too large", path: chat, body: `{"model":"` + strings.Repeat("x", 2<<20) + `"}`,
			status: 413, code: caller.CodeTooLarge,
		},
		{
			name: "long team", path: chat, header: map[string]string{caller.HeaderTeam: long},
			body: chatText("schedulingDraft", false, 1), status: 400, code: caller.CodeBadHeader,
		},
		{
			name: "long request id", path: chat, header: map[string]string{caller.HeaderRequestID: long},
			body: chatText("schedulingDraft", false, 1), status: 400, code: caller.CodeBadHeader,
		},
		{name: "no such path", path: "/v2/x", body: "", status: 404, code: caller.CodeNotFound},
		{
			name: "malformed call", path: "/v1/services/roomHold",
			header: map[string]string{caller.HeaderProfile: "roomHold"}, body: "{", status: 400, code: caller.CodeMalformed,
		},
		{
			name: "model profile for a call", path: "/v1/services/x",
			header: map[string]string{caller.HeaderProfile: "schedulingDraft"}, body: "{}", status: 400, code: caller.CodeWrongKind,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, answer := f.post(0, test.path, test.header, test.body)
			var body struct {
				Error caller.Problem `json:"error"`
			}
			decoder := json.NewDecoder(bytes.NewReader([]byte(answer)))
			if err := decoder.Decode(&body); err != nil {
				t.Fatalf("answer %q: %v", answer, err)
			}
			if status != test.status || body.Error.Code != test.code || body.Error.Ran != "notRun" {
				t.Errorf("status %d, problem %+v; want status %d, code %s, not run", status, body.Error, test.status, test.code)
			}
		})
	}
}
