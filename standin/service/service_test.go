package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cactuswell/io/engine"
	"cactuswell/standin/fault"
)

// callHold calls the service once and returns the status of the response, or 0 if the
// connection broke.
func callHold(s *Service, reference string) (status int) {
	defer func() {
		if recover() != nil {
			status = 0
		}
	}()
	request := httptest.NewRequest(http.MethodPost, "/v1/calls/hold", strings.NewReader(`{"reference":"`+reference+`"}`))
	request.Header.Set(engine.HeaderAttemptID, "a-"+reference)
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, request)
	return recorder.Code
}

// TestCountsExecutions checks that a run is counted also when its response is dropped or
// truncated, and that a refused call is not counted.
func TestCountsExecutions(t *testing.T) {
	cases := []struct {
		name   string
		faults fault.Faults
		status int
		want   map[string]int
	}{
		{name: "no fault", status: http.StatusOK, want: map[string]int{"R-1": 2, "R-2": 1}},
		{name: "dropped responses", faults: fault.Faults{LostAnswers: true}, status: 0, want: map[string]int{"R-1": 2, "R-2": 1}},
		{name: "truncated", faults: fault.Faults{TruncateAfter: 1}, status: 0, want: map[string]int{"R-1": 2, "R-2": 1}},
		{name: "rejecting", faults: fault.Faults{Rejecting: true}, status: http.StatusServiceUnavailable, want: map[string]int{}},
		{name: "failing", faults: fault.Faults{Failing: true}, status: http.StatusInternalServerError, want: map[string]int{}},
		{name: "crashed", faults: fault.Faults{Crashed: true}, status: 0, want: map[string]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Settings{})
				s.Faults().Set(c.faults)
				for _, reference := range []string{"R-1", "R-2", "R-1"} {
					if status := callHold(s, reference); status != c.status {
						t.Errorf("status %d, want %d", status, c.status)
					}
				}
				if difference := cmp.Diff(c.want, s.Executions()); difference != "" {
					t.Errorf("executions (-want +got): %s", difference)
				}
			})
		})
	}
}
