package caller

import (
	"strconv"
	"testing"

	"cactuswell/core/dispatch"
)

// TestEndKeepsPushedParts guards against parts that are dropped, and against a second
// end that replaces the first, when an answer ends while its buffer is full.
func TestEndKeepsPushedParts(t *testing.T) {
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
