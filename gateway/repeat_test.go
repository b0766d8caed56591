package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactuswell/io/opaque"
	standin "cactuswell/standin/opaque"
)

// byAttempt returns the given behaviour for the first call with a request ID, and next for the
// others.
func byAttempt(first, next standin.Behaviour) func(*http.Request) standin.Behaviour {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(request *http.Request) standin.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		id := request.Header.Get("X-Request-Id")
		if !seen[id] {
			seen[id] = true
			return first
		}
		return next
	}
}

// runsOf returns how often the call with a request ID was run.
func (f *fixture) runsOf(id string) int {
	count := 0
	for _, run := range f.runs() {
		if run.ID == id {
			count++
		}
	}
	return count
}

// promises are the statuses that callers take to mean that a call has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// TestRepeatedAnswerOfEarlierAttemptIsNotBelieved guards against an answer to an earlier attempt of
// a call that passes for the answer to the next one. A call that must run at most once needs a second endpoint, and
// what is repeated there is the answer to an earlier call.
func TestRepeatedAnswerOfEarlierAttemptIsNotBelieved(t *testing.T) {
	repeat := standin.RepeatedAnswer{}
	slowRepeat := standin.RepeatedAnswer{IsSlow: true}
	complete := standin.CompleteAnswer{}
	for name, test := range map[string]struct {
		path  string
		first standin.Behaviour
		next  standin.Behaviour
	}{
		"503 of a hold":                    {path: "/hold/%d", first: standin.Decline{}, next: repeat},
		"503 of a hold, byte by byte":      {path: "/hold/%d", first: standin.Decline{}, next: slowRepeat},
		"503 of a hold, before the next":   {path: "/hold/%d", first: standin.Decline{Copies: 1}, next: complete},
		"503 of a hold, 1 ms later":        {path: "/hold/%d", first: standin.Decline{Copies: 1, Delay: time.Millisecond}, next: complete},
		"503 of a hold, 2 copies":          {path: "/hold/%d", first: standin.Decline{Copies: 2}, next: complete},
		"429 of a hold":                    {path: "/hold/%d", first: standin.Decline{Status: http.StatusTooManyRequests}, next: repeat},
		"408 of a hold":                    {path: "/hold/%d", first: standin.Decline{Status: http.StatusRequestTimeout}, next: repeat},
		"400 of a hold":                    {path: "/hold/%d", first: standin.Decline{Status: http.StatusBadRequest}, next: repeat},
		"503 of a draft":                   {path: "/draft/%d/stream", first: standin.Decline{}, next: repeat},
		"503 of a lookup":                  {path: "/lookup/%d", first: standin.Decline{}, next: repeat},
		"500 of a lookup":                  {path: "/lookup/%d", first: standin.ErrorStatus{Status: http.StatusInternalServerError}, next: repeat},
		"500 of a lookup, byte by byte":    {path: "/lookup/%d", first: standin.ErrorStatus{Status: http.StatusInternalServerError}, next: slowRepeat},
		"503 of a summary, byte by byte":   {path: "/summary/%d/stream", first: standin.Decline{}, next: slowRepeat},
		"503 of a summary, 1 ms later":     {path: "/summary/%d/stream", first: standin.Decline{Copies: 1, Delay: time.Millisecond}, next: complete},
		"503 of a lookup with Retry-After": {path: "/lookup/%d", first: standin.Decline{RetryAfter: "0.01"}, next: repeat},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			endpoints := 1
			if strings.HasPrefix(test.path, "/hold/") || strings.HasPrefix(test.path, "/draft/") {
				endpoints = 2
			}
			f := newFixture(t, endpoints)
			f.setBehaviour(byAttempt(test.first, test.next))
			// As many as the retry budget allows.
			const calls = 8
			refusedButRan, ranTwice, notServed := 0, 0, 0
			for i := range calls {
				request := f.request(http.MethodPost, fmt.Sprintf(test.path, i), []byte("body"))
				got := f.do(request)
				runs := f.runsOf(request.Header.Get("X-Request-Id"))
				if slices.Contains(promises, got.status) && runs > 0 {
					refusedButRan++
				}
				if runs > 1 && !strings.HasPrefix(test.path, "/lookup/") {
					ranTwice++
				}
				want := string(standin.AnswerBody([]byte("body")))
				if strings.HasSuffix(test.path, "stream") {
					want = completeStream()
				}
				if got.status != http.StatusOK || got.body != want {
					notServed++
				}
			}
			if refusedButRan+ranTwice+notServed > 0 {
				t.Errorf("of %d calls %d were refused though they ran, %d ran twice, %d were not served", calls, refusedButRan, ranTwice, notServed)
			}
		})
	}
}

// TestDeclinedCallGoesToEachEndpointOnce guards against a call that must run at most once and goes back to an
// endpoint that has declined it, where a second refusal could be the first one once more.
func TestDeclinedCallGoesToEachEndpointOnce(t *testing.T) {
	for _, endpoints := range []int{1, 3} {
		for _, path := range []string{"/hold/x", "/draft/stream"} {
			t.Run(fmt.Sprint(endpoints, path), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, endpoints)
				var received atomic.Int64
				f.setBehaviour(func(*http.Request) standin.Behaviour {
					received.Add(1)
					return standin.Decline{}
				})
				// A credit of retries for each of the endpoints.
				for range 3 {
					before := received.Load()
					got := f.post(path, "body")
					if sends := received.Load() - before; got.status != http.StatusServiceUnavailable || sends != int64(endpoints) {
						t.Errorf("status %d after %d attempts", got.status, sends)
					}
				}
			})
		}
	}
}

// TestRepeatedMisdirectionIsNotBelieved guards against a 421 to an earlier attempt, after which the
// endpoint gets no calls for a while, that passes for the answer to the next one.
func TestRepeatedMisdirectionIsNotBelieved(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(byAttempt(standin.Misdirection{}, standin.RepeatedAnswer{}))
	got := f.post("/lookup/x", "body")
	if got.status != http.StatusOK || len(f.runs()) != 1 {
		t.Errorf("status %d, %d runs", got.status, len(f.runs()))
	}
}

// TestRepeatedAnswerOfEarlierCallWithSameIDIsNotBelieved guards against the answer to a call that
// passes for that to another call of which the caller has used the same ID.
func TestRepeatedAnswerOfEarlierCallWithSameIDIsNotBelieved(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(byAttempt(standin.CompleteAnswer{}, standin.RepeatedAnswer{}))
	for i := range 5 {
		body := fmt.Sprintf("body %d", i)
		request := f.request(http.MethodPost, "/hold/x", []byte(body))
		request.Header.Set("X-Request-Id", "the-same")
		if got := f.do(request); got.status != http.StatusOK || got.body != string(standin.AnswerBody([]byte(body))) {
			t.Errorf("call %d got status %d and body %q", i, got.status, got.body)
		}
	}
}

// TestDeclinedCallsOpenFewConnections guards against a new connection for each call that goes back to
// the endpoint that declined it.
func TestDeclinedCallsOpenFewConnections(t *testing.T) {
	f := newFixture(t, 1)
	calls := 0
	f.setBehaviour(func(*http.Request) standin.Behaviour {
		calls++
		if calls%10 == 0 {
			return standin.Decline{}
		}
		return standin.CompleteAnswer{}
	})
	for i := range 100 {
		if got := f.get(fmt.Sprintf("/lookup/%d", i)); got.status != http.StatusOK {
			t.Fatalf("call %d got status %d", i, got.status)
		}
	}
	// One for the calls, and one for those that were declined on it.
	if !strings.Contains(f.metrics(), "cactuswell_endpoint_dials_total 2\n") || !strings.Contains(f.metrics(), "cactuswell_endpoint_passed_over_total 11\n") {
		t.Errorf("the metrics are:\n%s", f.metrics())
	}
}

// TestLateResponseIsLogged guards against an endpoint that repeats its answers and of which nobody learns.
func TestLateResponseIsLogged(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(byAttempt(standin.Decline{}, standin.RepeatedAnswer{}))
	for range 2 {
		if got := f.post("/lookup/x", "body"); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	f.awaitLine(`"event":"lateResponse"`, `"request":"request--lookup-x-2"`, `"endpoint":"booking-0"`, `"respondsTo":"request--lookup-x"`, `"status":503`, `"notRun":true`)
	if !strings.Contains(f.metrics(), `cactuswell_response_excess_total{part="lateResponse"} 1`) {
		t.Errorf("the metrics are:\n%s", f.metrics())
	}
}

// TestLateResponseToOnceOnlyCallIsLogged is TestLateResponseIsLogged for calls that must run at most once, which a
// second endpoint serves.
func TestLateResponseToOnceOnlyCallIsLogged(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(byAttempt(standin.Decline{}, standin.RepeatedAnswer{}))
	for range 6 {
		if got := f.post("/hold/x", "body"); got.status != http.StatusOK {
			t.Fatalf("status %d", got.status)
		}
	}
	f.awaitLine(`"event":"lateResponse"`, `"request":"request--hold-x-`, `"respondsTo":"request--hold-x`, `"status":503`, `"notRun":true`)
}

// sequence returns the given behaviours in order, and the last one for all further calls.
func sequence(behaviours ...standin.Behaviour) func(*http.Request) standin.Behaviour {
	var mu sync.Mutex
	return func(*http.Request) standin.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		next := behaviours[0]
		if len(behaviours) > 1 {
			behaviours = behaviours[1:]
		}
		return next
	}
}

// TestAnswerThatNamesNoCall guards against a call that waits until its deadline for another answer than
// one without an ID, and against a refusal without an ID that is believed though it may be an earlier one.
func TestAnswerThatNamesNoCall(t *testing.T) {
	withoutID := standin.Decline{WithoutID: true}
	complete := standin.CompleteAnswer{}
	for name, test := range map[string]struct {
		path       string
		behaviours []standin.Behaviour
		// first is the status of a call before, or 0 for none.
		first  int
		status int
		runs   int
	}{
		"a refusal on a new connection":             {path: "/hold/x", behaviours: []standin.Behaviour{withoutID, complete}, status: http.StatusBadGateway},
		"a refusal of a lookup on a new connection": {path: "/lookup/x", behaviours: []standin.Behaviour{withoutID, complete}, status: http.StatusOK, runs: 1},
		"each answer":             {path: "/hold/x", behaviours: []standin.Behaviour{withoutID}, first: http.StatusBadGateway, status: http.StatusBadGateway},
		"each answer to a lookup": {path: "/lookup/x", behaviours: []standin.Behaviour{withoutID}, first: http.StatusServiceUnavailable, status: http.StatusServiceUnavailable},
		"a refusal and the answer on a new connection": {path: "/hold/x", behaviours: []standin.Behaviour{standin.PrecededAnswer{By: refusalOf()}}, status: http.StatusOK, runs: 1},
		"a refusal of a hold on a kept connection":     {path: "/hold/x", behaviours: []standin.Behaviour{complete, withoutID, complete}, first: http.StatusOK, status: http.StatusBadGateway, runs: 1},
		"a refusal of a lookup on a kept connection":   {path: "/lookup/x", behaviours: []standin.Behaviour{complete, withoutID, complete}, first: http.StatusOK, status: http.StatusOK, runs: 2},
		"a repeated answer":                            {path: "/hold/x", behaviours: []standin.Behaviour{complete, standin.RepeatedAnswer{WithoutID: true}}, first: http.StatusOK, status: http.StatusOK, runs: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, 1)
			f.setBehaviour(sequence(test.behaviours...))
			if test.first != 0 {
				if got := f.post(test.path, "first"); got.status != test.first {
					t.Fatalf("the first call got status %d, want %d", got.status, test.first)
				}
			}
			got := f.post(test.path, "body")
			if got.status != test.status || len(f.runs()) != test.runs {
				t.Errorf("status %d, %d runs; want %d, %d", got.status, len(f.runs()), test.status, test.runs)
			}
			if want := string(standin.AnswerBody([]byte("body"))); got.status == http.StatusOK && got.body != want {
				t.Errorf("body %q, want %q", got.body, want)
			}
		})
	}
}

// TestRepeatOnIdleConnectionNamesEndpoint guards against a repeated answer on an idle connection of which
// nobody learns where it came from.
func TestRepeatOnIdleConnectionNamesEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(byAttempt(standin.Decline{Copies: 1, Delay: 10 * time.Millisecond}, standin.CompleteAnswer{}))
	if got := f.post("/lookup/x", "body"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	f.awaitLine(`"event":"unsolicitedBytes"`, `"address":"`+f.endpoints[0].Address()+`"`, `"connections":1`)
}

// slowAfterLateAnswer serves one connection after the other: it answers the first request at once, and
// before its answer to the second one, whose first event takes longer than the route's target, it sends an answer that
// names no call.
func slowAfterLateAnswer(listener net.Listener, delay time.Duration) {
	names := opaque.DefaultHeaderNames()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: m\r\nTransfer-Encoding: chunked\r\n\r\n",
				names.RequestID, request.Header.Get(names.RequestID), names.Mark)
			if n > 1 {
				head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + head
			}
			_, _ = io.WriteString(conn, head)
			if n > 1 {
				<-time.After(delay)
			}
			event := standin.StreamEvent(0)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
		}
		_ = conn.Close()
	}
}

// TestWaitAfterLateAnswerDoesNotCutStream guards against a stream that is given up although its answer has begun: the
// wait for a further answer after one that names no call is bounded by the route's target, and that bound also held for
// the first event.
func TestWaitAfterLateAnswerDoesNotCutStream(t *testing.T) {
	const target = 100 * time.Millisecond
	f := newFixture(t, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go slowAfterLateAnswer(listener, 4*target)
	f.spec.Version++
	for i := range f.spec.Routes {
		f.spec.Routes[i].TargetLatency = target
	}
	f.publishConfiguration()
	f.publishEndpoint("models-0", models, listener.Addr().String(), false)
	eventually(t, "the first call is served", func() bool { return f.post("/draft/stream", "x").status == http.StatusOK })
	if got := f.post("/draft/stream", "x"); got.status != http.StatusOK || got.broken {
		t.Errorf("status %d, broken %v", got.status, got.broken)
	}
	f.awaitLine(`"event":"lateResponse"`)
}
