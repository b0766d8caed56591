package gateway_test

import (
	"net/http"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestAttemptLineTellsNewConnection guards against a line of a refused attempt that names what the connection has become after
// the attempt: one that has carried a request, or that another call uses.
func TestAttemptLineTellsNewConnection(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Decline{} })
	if got := f.post("/hold/x", "body"); got.status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", got.status)
	}
	if f.awaitLine(`"event":"attemptEnded"`); !f.hasLine(`"event":"attemptEnded"`, `"reusedConnection":false`) {
		t.Errorf("the lines are:\n%s", f.logLines)
	}
}
