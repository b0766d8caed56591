package caller

import (
	"strconv"
	"testing"

	"cactuswell/core/dispatch"
)

// TestEndLeavesNoGap ends an answer whose caller has read nothing and for which
// there is no room any more. The caller gets every part that had room, and the
// first end.
func TestEndLeavesNoGap(t *testing.T) {
	answer := NewAnswer()
	pushed := 0
	for answer.Push(TextPart{Text: strconv.Itoa(pushed)}) {
		pushed++
	}
	answer.End(ProblemPart{Problem: SlowCaller()})
	answer.End(ProblemPart{Problem: Refusal(dispatch.RefuseTimedOut, dispatch.MayHaveRun, 0)})
	for index := range pushed {
		part, err := answer.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if text, ok := part.(TextPart); !ok || text.Text != strconv.Itoa(index) {
			t.Fatalf("part %d is %+v", index, part)
		}
	}
	part, ok := answer.TryNext()
	if problem, isProblem := part.(ProblemPart); !ok || !isProblem || problem.Problem.Code != CodeSlowCaller {
		t.Errorf("the answer ends with %+v, want the problem %q", part, CodeSlowCaller)
	}
}
