package caller

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"cactuswell/core/dispatch"
)

// TestRefusalPromisesNothingByDefault guards against a refusal that promises that the request was not run
// though nobody has said so.
func TestRefusalPromisesNothingByDefault(t *testing.T) {
	promises := []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	}
	for reason := range refusalTexts {
		for _, ran := range []dispatch.Execution{"", dispatch.MayHaveRun, "other"} {
			problem := Refusal(reason, ran, time.Second)
			if slices.Contains(promises, problem.Status) || problem.Ran != dispatch.MayHaveRun || problem.Action != actionCheckOutcome {
				t.Errorf("refusal %s, execution %q: %+v", reason, ran, problem)
			}
		}
	}
}
