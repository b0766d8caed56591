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

// call sends one request to the engine and returns its answer.
func call(e *Engine, method, path, attempt string, body any) *httptest.ResponseRecorder {
	data, _ := json.Marshal(body)
	request := httptest.NewRequest(method, path, bytes.NewReader(data))
	request.Header.Set(engine.HeaderAttemptID, attempt)
	recorder := httptest.NewRecorder()
	e.Handler().ServeHTTP(recorder, request)
	return recorder
}

func orderVersion(e *Engine, version string, fencing uint64, deadline time.Duration) *httptest.ResponseRecorder {
	return call(e, http.MethodPost, "/v1/orders", "", engine.OrderRequest{
		ID:         "order-" + version,
		Fencing:    fencing,
		DeadlineMs: deadline.Milliseconds(),
		Version:    version,
	})
}

func startAttempt(e *Engine, id string) *httptest.ResponseRecorder {
	return call(e, http.MethodPost, "/v1/chat/completions", id, engine.ChatRequest{
		Messages: []json.RawMessage{json.RawMessage(`{"role":"user","content":"hello"}`)},
	})
}

func checkState(t *testing.T, e *Engine, version, loading string) {
	t.Helper()
	var state engine.StateResponse
	decode(t, call(e, http.MethodGet, "/v1/state", "", nil), &state)
	if state.Version != version || state.Loading != loading {
		t.Errorf("version %q, loading %q; wanted %q, %q", state.Version, state.Loading, version, loading)
	}
}

func checkRefused(t *testing.T, answer *httptest.ResponseRecorder, status int, code string) {
	t.Helper()
	var body engine.ErrorResponse
	decode(t, answer, &body)
	notStarted := answer.Header().Get(engine.HeaderNotStarted)
	if answer.Code != status || body.Code != code || notStarted != "true" {
		t.Errorf("answer %d %q, not started %q; wanted %d %q", answer.Code, body.Code, notStarted, status, code)
	}
}

func checkTaken(t *testing.T, answer *httptest.ResponseRecorder) {
	t.Helper()
	if answer.Code != http.StatusOK {
		t.Errorf("answer %d %s; wanted 200", answer.Code, answer.Body)
	}
}

func decode(t *testing.T, answer *httptest.ResponseRecorder, body any) {
	t.Helper()
	if err := json.Unmarshal(answer.Body.Bytes(), body); err != nil {
		t.Fatal(err)
	}
}

func TestLoadsAtOnceWithoutLoadTime(t *testing.T) {
	e := New(Settings{})
	checkTaken(t, orderVersion(e, "v2", 0, time.Second))
	checkState(t, e, "v2", "")
}

func TestLoadTakesLoadTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
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
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(3*testLoadTime - time.Nanosecond)
		checkState(t, e, "v1", "v2")
		time.Sleep(time.Nanosecond)
		synctest.Wait()
		checkState(t, e, "v2", "")
	})
}

func TestRefusesAttemptsWhileLoading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
		checkRefused(t, startAttempt(e, "a-1"), http.StatusServiceUnavailable, "loading")
		if e.AcceptedAttempts() != 0 {
			t.Errorf("%d attempts were begun", e.AcceptedAttempts())
		}
		time.Sleep(testLoadTime)
		synctest.Wait()
		checkTaken(t, startAttempt(e, "a-1"))
		time.Sleep(attemptRetention)
	})
}

func TestQueuedAttemptStartsAfterLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{
			Slots:    1,
			LoadTime: testLoadTime,
		})
		began := time.Now()
		first := make(chan time.Duration, 1)
		second := make(chan time.Duration, 1)
		go func() { startAttempt(e, "a-1"); first <- time.Since(began) }()
		synctest.Wait()
		go func() { startAttempt(e, "a-2"); second <- time.Since(began) }()
		synctest.Wait()
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
		if took := <-first; took >= testLoadTime {
			t.Errorf("the running attempt took %v", took)
		}
		if took := <-second; took <= testLoadTime {
			t.Errorf("the queued attempt was done after %v, while the load ran", took)
		}
		time.Sleep(attemptRetention)
	})
}

func TestOrderBegunAfterDeadline(t *testing.T) {
	cases := []struct {
		name     string
		deadline time.Duration
		waits    time.Duration
		refused  bool
	}{
		{name: "before the load is done", deadline: testLoadTime - time.Millisecond, waits: testLoadTime - time.Millisecond, refused: true},
		{name: "after the load is done", deadline: testLoadTime + time.Millisecond, waits: testLoadTime},
		{name: "none", waits: testLoadTime},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := New(Settings{LoadTime: testLoadTime})
				checkTaken(t, orderVersion(e, "v2", 0, time.Second))
				sent := time.Now()
				answer := orderVersion(e, "v3", 0, c.deadline)
				if waited := time.Since(sent); waited != c.waits {
					t.Errorf("answered after %v, wanted %v", waited, c.waits)
				}
				if c.refused {
					checkRefused(t, answer, http.StatusConflict, "deadlineOver")
					time.Sleep(testLoadTime)
					checkState(t, e, "v2", "")
					return
				}
				checkTaken(t, answer)
				checkState(t, e, "v2", "v3")
				time.Sleep(testLoadTime)
				synctest.Wait()
				checkState(t, e, "v3", "")
			})
		})
	}
}

func TestSameVersionDoesNotRestartLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{LoadTime: testLoadTime})
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(testLoadTime / 2)
		checkTaken(t, orderVersion(e, "v2", 0, time.Second))
		time.Sleep(testLoadTime / 2)
		synctest.Wait()
		checkState(t, e, "v2", "")
	})
}

func TestWaitingOrderIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Settings{
			LoadTime:      testLoadTime,
			ChecksFencing: true,
		})
		checkTaken(t, orderVersion(e, "v2", 1, time.Second))
		answers := make(chan *httptest.ResponseRecorder, 1)
		go func() { answers <- orderVersion(e, "v3", 2, 2*testLoadTime) }()
		synctest.Wait()
		checkTaken(t, orderVersion(e, "v2", 3, time.Second))
		checkRefused(t, <-answers, http.StatusConflict, "oldFencingNumber")
		checkState(t, e, "v2", "")
	})
}
