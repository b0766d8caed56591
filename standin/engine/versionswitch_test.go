package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"cactuswell/io/engine"
)

const testLoadTime = 10 * time.Second

// sendRequest sends one request to the engine and returns the response.
func sendRequest(e *Engine, method, path, attempt string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	request.Header.Set(engine.HeaderAttemptID, attempt)
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, request)
	return recorder
}

func orderVersion(e *Engine, version string, fencing uint64, deadline time.Duration) *httptest.ResponseRecorder {
	return sendRequest(e, http.MethodPost, "/v1/orders", "", engine.OrderRequest{
		ID:         "order-" + version,
		Fencing:    fencing,
		DeadlineMs: deadline.Milliseconds(),
		Version:    version,
	})
}

func startAttempt(e *Engine, id string) *httptest.ResponseRecorder {
	return sendRequest(e, http.MethodPost, "/v1/chat/completions", id, engine.ChatRequest{
		Messages: []json.RawMessage{json.RawMessage(`{"role":"user","content":"hello"}`)},
	})
}

func checkState(t *testing.T, e *Engine, version, loading string) {
	t.Helper()
	var state engine.StateResponse
	decode(t, sendRequest(e, http.MethodGet, "/v1/state", "", nil), &state)
	if state.Version != version || state.Loading != loading {
		t.Errorf("version %q, loading %q; want %q, %q", state.Version, state.Loading, version, loading)
	}
}

func checkRefused(t *testing.T, response *httptest.ResponseRecorder, status int, code string) {
	t.Helper()
	var body engine.ErrorResponse
	decode(t, response, &body)
	notStarted := response.Header().Get(engine.HeaderNotStarted)
	if response.Code != status || body.Code != code || notStarted != "true" {
		t.Errorf("status %d, code %q, not started %q; want %d, %q, \"true\"", response.Code, body.Code, notStarted, status, code)
	}
}

func checkAccepted(t *testing.T, response *httptest.ResponseRecorder) {
	t.Helper()
	if response.Code != http.StatusOK {
		t.Errorf("status %d, body %s; want status 200", response.Code, response.Body)
	}
}

func decode(t *testing.T, response *httptest.ResponseRecorder, body any) {
	t.Helper()
	if err := json.Unmarshal(response.Body.Bytes(), body); err != nil {
		t.Fatal(err)
	}
}

func TestLoadsImmediatelyWithoutLoadTime(t *testing.T) {
	e := New(Settings{})
	checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
	checkState(t, e, "v2", "")
}

func TestLoadTakesLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(testLoadTime - time.Nanosecond)
		checkState(t, e, "v1", "v2")
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		checkState(t, e, "v2", "")
	})
}

func TestSlowdownStretchesLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		faults := e.Faults().Current()
		faults.Slowdown = 3
		e.Faults().Set(faults)
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(3*testLoadTime - time.Nanosecond)
		checkState(t, e, "v1", "v2")
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		checkState(t, e, "v2", "")
	})
}

// TestRefusesAttemptsWhileLoading guards against an engine that accepts attempts for its
// old model version while it loads a new one.
func TestRefusesAttemptsWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		checkRefused(t, startAttempt(e, "a-1"), http.StatusServiceUnavailable, "loading")
		if e.AcceptedAttempts() != 0 {
			t.Errorf("%d attempts were accepted during the load, want 0", e.AcceptedAttempts())
		}
		time.Sleep(testLoadTime)
		synctest.Wait()
		checkAccepted(t, startAttempt(e, "a-1"))
		time.Sleep(attemptRetention)
	})
}

// TestQueuedAttemptStartsAfterLoad checks that a load does not interrupt a running
// attempt, and that an attempt that was queued before the load starts only after it.
func TestQueuedAttemptStartsAfterLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{
			Slots:    1,
			LoadTime: testLoadTime,
		})
		start := time.Now()
		runningTook := make(chan time.Duration, 1)
		queuedTook := make(chan time.Duration, 1)
		go func() { startAttempt(e, "a-1"); runningTook <- time.Since(start) }()
		synctest.Wait()
		go func() { startAttempt(e, "a-2"); queuedTook <- time.Since(start) }()
		synctest.Wait()
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		if took := <-runningTook; took >= testLoadTime {
			t.Errorf("the running attempt took %v, although it does not wait for the load", took)
		}
		if took := <-queuedTook; took <= testLoadTime {
			t.Errorf("the queued attempt finished after %v, during the load", took)
		}
		time.Sleep(attemptRetention)
	})
}

// TestOrderDeadlineDuringLoad checks that an order that waits for the load of another
// version is refused without effect when its deadline passes first.
func TestOrderDeadlineDuringLoad(t *testing.T) {
	cases := []struct {
		name        string
		deadline    time.Duration
		wantDelay   time.Duration
		wantRefused bool
	}{
		{name: "deadline before end of load", deadline: testLoadTime - time.Millisecond, wantDelay: testLoadTime - time.Millisecond, wantRefused: true},
		{name: "deadline after end of load", deadline: testLoadTime + time.Millisecond, wantDelay: testLoadTime},
		{name: "none", wantDelay: testLoadTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Settings{LoadTime: testLoadTime})
				checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
				sent := time.Now()
				response := orderVersion(e, "v3", 0, c.deadline)
				if delay := time.Since(sent); delay != c.wantDelay {
					t.Errorf("response after %v, want %v", delay, c.wantDelay)
				}
				if c.wantRefused {
					checkRefused(t, response, http.StatusConflict, "deadlineOver")
					time.Sleep(testLoadTime)
					checkState(t, e, "v2", "")
					return
				}
				checkAccepted(t, response)
				checkState(t, e, "v2", "v3")
				time.Sleep(testLoadTime)
				synctest.Wait()
				checkState(t, e, "v3", "")
			})
		})
	}
}

// TestSameVersionDoesNotRestartSwitch checks that repeating an order neither delays the load
// nor is delayed by it.
func TestSameVersionDoesNotRestartSwitch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(testLoadTime / 2)
		checkAccepted(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(testLoadTime / 2)
		synctest.Wait()
		checkState(t, e, "v2", "")
	})
}

// TestFencingRefusesWaitingOrder guards against an order that takes effect although an
// order with a higher fencing number was executed while it waited for a load.
func TestFencingRefusesWaitingOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{
			LoadTime:      testLoadTime,
			ChecksFencing: true,
		})
		checkAccepted(t, orderVersion(e, "v2", 1, time.Second))
		responses := make(chan *httptest.ResponseRecorder, 1)
		go func() { responses <- orderVersion(e, "v3", 2, 2*testLoadTime) }()
		synctest.Wait()
		checkAccepted(t, orderVersion(e, "v2", 3, time.Second))
		checkRefused(t, <-responses, http.StatusConflict, "oldFencingNumber")
		checkState(t, e, "v2", "")
	})
}
