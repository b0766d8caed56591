package caller

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"cactuswell/core/dispatch"
)

// TestProblemBodies compares every problem's answer with the golden file.
func TestProblemBodies(t *testing.T) {
	problems := []Problem{
		fault(400, CodeMalformed, "the body is not a chat with messages"),
		SlowCaller(),
		ClaimRefused("logUnavailable", true, time.Second),
		KeyReused(),
		KeyInvalid("checksum"),
		KeyOutcomeUnknown("noOutcomeYet"),
		AnswerNotKept(),
	}
	for _, reason := range []dispatch.RefuseReason{
		dispatch.RefuseQueueFull, dispatch.RefuseWaitLimit, dispatch.RefuseCannotMeetLimit, dispatch.RefuseNoEndpoint,
		dispatch.RefuseHostStopping, dispatch.RefuseAttemptsExhausted, dispatch.RefuseOutcomeUnknown,
		dispatch.RefuseEndpointError, dispatch.RefuseTimedOut, dispatch.RefuseStreamTruncated,
		dispatch.RefuseDutyRestarted, dispatch.RefuseTeamQueueFull,
	} {
		problems = append(problems,
			Refusal(reason, dispatch.NotRun, 1500*time.Millisecond),
			Refusal(reason, dispatch.MayHaveRun, 0))
	}
	var text bytes.Buffer
	for _, problem := range problems {
		if problem.Message == "" {
			t.Errorf("%s has no message", problem.Code)
		}
		recorder := httptest.NewRecorder()
		problem.write(recorder)
		fmt.Fprintf(&text, "%d Retry-After: %q\n%s", recorder.Code, recorder.Header().Get("Retry-After"), recorder.Body)
	}
	goldie.New(t).Assert(t, "problems", text.Bytes())
}
