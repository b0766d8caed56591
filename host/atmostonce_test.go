package host

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/claim"
	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/caller"
	"cactuswell/io/claims"
	"cactuswell/io/engine"
	"cactuswell/metrics"
	"cactuswell/timer"
)

// answerTimeout bounds the wait for an answer.
const answerTimeout = 20 * time.Second

// warmUpCalls are the calls after which the retry budget holds enough attempts.
const warmUpCalls = 30

// refusalMark begins a refusal that names no attempt.
const refusalMark = "HTTP/1.1 503 Service Unavailable\r\n" + engine.HeaderNotStarted + ": true\r\n"

// endpointFault is what an endpoint does with a call. earlier is the attempt that was refused last.
type endpointFault struct {
	name     string
	runs     bool
	response func(attempt, earlier string) string
	reset    bool
}

func refusalTo(attempt string) string {
	return refusalMark + engine.HeaderAttemptID + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
}

func answerTo(attempt string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\n{}", engine.HeaderAttemptID, attempt)
}

// endpointFaults are in the order in which the failures that refuse come first.
var endpointFaults = []endpointFault{
	{name: "refuses", response: func(attempt, _ string) string { return refusalTo(attempt) }},
	{name: "answers", runs: true, response: func(attempt, _ string) string { return answerTo(attempt) }},
	{name: "repeats a refusal, answers", runs: true, response: func(attempt, earlier string) string {
		return refusalTo(earlier) + answerTo(attempt)
	}},
	{name: "repeats a torn refusal, answers", runs: true, response: func(attempt, _ string) string {
		return refusalMark + "Retry-After: " + answerTo(attempt)
	}},
	{name: "repeats a refusal torn in its field Connection, answers", runs: true, response: func(attempt, _ string) string {
		return refusalMark + "Connection: clo" + strings.Replace(answerTo(attempt), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
	}},
	{name: "refuses no attempt, answers", runs: true, response: func(attempt, _ string) string {
		return refusalMark + "Content-Length: 0\r\n\r\n" + answerTo(attempt)
	}},
	{name: "answers an earlier attempt", runs: true, response: func(_, earlier string) string { return answerTo(earlier) }},
	{name: "closes the connection", runs: true, response: func(_, _ string) string { return "" }},
	{name: "resets the connection", runs: true, reset: true, response: func(_, _ string) string { return "" }},
	{name: "breaks off the header", runs: true, response: func(attempt, _ string) string { return answerTo(attempt)[:30] }},
	{name: "breaks off the body", runs: true, response: func(attempt, _ string) string {
		return answerTo(attempt)[:len(answerTo(attempt))-1]
	}},
	{name: "fails without a mark", runs: true, response: func(attempt, _ string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + engine.HeaderAttemptID + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	}},
	{name: "refuses for the time being, closes", runs: true, response: func(attempt, _ string) string {
		return "HTTP/1.1 103 Early Hints\r\n" + engine.HeaderNotStarted + ": true\r\n" + engine.HeaderAttemptID + ": " + attempt + "\r\n\r\n"
	}},
	{name: "redirects", runs: true, response: func(attempt, _ string) string {
		return "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/calls/hold\r\n" + engine.HeaderAttemptID + ": " + attempt + "\r\nContent-Length: 0\r\n\r\n"
	}},
}

// faultyEndpoints applies a fault to each attempt of a call in turn, at whichever endpoint, and refuses
// further ones.
type faultyEndpoints struct {
	mu       sync.Mutex
	faults   []endpointFault
	isWarm   bool
	attempts int
	runs     int
	earlier  string
}

// next returns the response to an attempt.
func (e *faultyEndpoints) next(attempt string) (endpointFault, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isWarm {
		return endpointFaults[1], answerTo(attempt)
	}
	fault := endpointFaults[0]
	if e.attempts < len(e.faults) {
		fault = e.faults[e.attempts]
	}
	e.attempts++
	if fault.runs {
		e.runs++
	}
	response := fault.response(attempt, e.earlier)
	e.earlier = attempt
	return fault, response
}

// counts returns how many attempts the endpoints got, and how many they ran.
func (e *faultyEndpoints) counts() (attempts, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.attempts, e.runs
}

// ServeHTTP implements http.Handler.
func (e *faultyEndpoints) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fault, response := e.next(r.Header.Get(engine.HeaderAttemptID))
	if tcp, ok := conn.(*net.TCPConn); ok && fault.reset {
		_ = tcp.SetLinger(0)
	}
	_, _ = io.WriteString(conn, response)
}

// TestFaultyEndpointsRunCallOnce plays each pair of faults in the first two attempts of a call that must
// run at most once, and guards against a second run, and against a run of a call that was refused as not run.
func TestFaultyEndpointsRunCallOnce(t *testing.T) {
	var second, refused atomic.Int64
	t.Run("pairs", func(t *testing.T) {
		for _, first := range endpointFaults {
			for _, next := range endpointFaults {
				t.Run(first.name+", "+next.name, func(t *testing.T) {
					t.Parallel()
					e := &faultyEndpoints{
						faults: []endpointFault{first, next},
					}
					problem := callFaultyEndpoints(t, e)
					attempts, runs := e.counts()
					if runs > 1 {
						t.Errorf("the call ran %d times", runs)
					}
					if problem != nil && problem.Ran == dispatch.NotRun {
						refused.Add(1)
						if runs > 0 {
							t.Errorf("the call ran and was refused: %+v", *problem)
						}
					}
					if attempts > 1 {
						second.Add(1)
					}
				})
			}
		}
	})
	// The first fault refuses the call, so that each of the others is the second one once.
	if want := int64(len(endpointFaults)); second.Load() < want || refused.Load() == 0 {
		t.Errorf("%d calls had a second attempt, want %d; %d were refused as not run", second.Load(), want, refused.Load())
	}
}

// callFaultyEndpoints calls two endpoints through a pool, and returns the problem of the answer, if it has one.
func callFaultyEndpoints(t *testing.T, e *faultyEndpoints) *caller.Problem {
	t.Helper()
	p := newServicePool(t)
	for i := range 2 {
		server := httptest.NewServer(e)
		// Attempts that still arrive count, too.
		defer server.Close()
		p.post(dispatch.EndpointAdded{
			Descriptor: endpoint.Descriptor{
				Key: endpoint.Key{
					Name:        fmt.Sprintf("hold-%d", i),
					Incarnation: 1,
				},
				Address: server.Listener.Addr().String(),
				Zone:    "alm-a",
				Kind:    profile.KindService,
				Pool:    "holds",
			},
		})
	}
	keyed := newTestClaims(t)
	submission := holdSubmission(t)
	for range warmUpCalls {
		if problem := callOnce(t, p, keyed, submission); problem != nil {
			t.Fatalf("a sound call got %+v", *problem)
		}
	}
	e.mu.Lock()
	e.isWarm = true
	e.mu.Unlock()
	return callOnce(t, p, keyed, submission)
}

func callOnce(t *testing.T, p *pool, keyed *claims.Claims, submission caller.Submission) *caller.Problem {
	t.Helper()
	run, ok := keyed.Decide(context.Background(), submission.Team, "", fingerprint(submission)).(claims.Run)
	if !ok {
		t.Fatal("the call was not granted")
	}
	c := p.newCall(submission, run.Ticket)
	if !p.submit(c) {
		t.Fatal("the call was not taken")
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	part, err := c.answer.Next(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if problem, ok := part.(caller.ProblemPart); ok {
		return &problem.Problem
	}
	return nil
}

func holdSubmission(t *testing.T) caller.Submission {
	t.Helper()
	p, err := profile.New(profile.Spec{
		Name:     "hold",
		Class:    "hold",
		Kind:     profile.KindService,
		Pool:     "holds",
		Tier:     profile.TierUrgent,
		TargetMs: 5000,
	})
	if err != nil {
		t.Fatal(err)
	}
	return caller.Submission{
		RequestID: "request-1",
		Team:      "default",
		Profile:   p,
		Operation: "hold",
		Body:      []byte("{}"),
	}
}

// newServicePool returns a pool of a plain service whose duty runs until the end of the test.
func newServicePool(t *testing.T) *pool {
	t.Helper()
	clients := newClients(nil)
	p := newPool(poolDependencies{
		name:       "holds",
		instanceID: "host-1-1",
		newStateMachines: func() stateMachines {
			random := rand.New(rand.NewPCG(1, 2))
			router := routing.New(routing.DefaultSettings("host-1", "alm-a"), random)
			return stateMachines{
				router: router,
				pool: dispatch.New(dispatch.Settings{
					Pool: "holds",
					Kind: profile.KindService,
					Zone: "alm-a",
				}, router, random),
			}
		},
		clients:  clients,
		baseURL:  func(address string) string { return "http://" + address },
		timers:   newTestTimers(t),
		logger:   log.NewNopLogger(),
		counters: metrics.New(),
		callIDs:  &atomic.Uint64{},
	})
	runUntilCleanup(t, p.run)
	t.Cleanup(clients.close)
	return p
}

// newTestClaims returns claims that grant calls without a key.
func newTestClaims(t *testing.T) *claims.Claims {
	t.Helper()
	keyed, err := claims.New(claims.Dependencies{
		Host:        "host-1",
		Incarnation: 1,
		Entropy:     rand.Uint64,
		Timers:      newTestTimers(t),
		Logger:      log.NewNopLogger(),
		Settings:    claim.DefaultSettings(),
	})
	if err != nil {
		t.Fatal(err)
	}
	runUntilCleanup(t, keyed.Duties()[0].Run)
	return keyed
}

func newTestTimers(t *testing.T) *timer.Service {
	t.Helper()
	timers := timer.New()
	runUntilCleanup(t, timers.Run)
	return timers
}

func runUntilCleanup(t *testing.T, run func(context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
}
