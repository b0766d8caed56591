package dispatch_test

import (
	"testing"
	"time"

	"cactuswell/core/dispatch"
)

func TestRequestIsStartedAdoptedAndCompleted(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 1)
	id, commands := d.arrive(urgent(t), "clerks")
	start := only[dispatch.StartAttempt](t, commands)
	if start.Endpoint != testKey(0) || start.NewConnection {
		t.Errorf("start is %+v", start)
	}
	if adopt := only[dispatch.AdoptAttempt](t, d.progress(id, 1, 1)); adopt.From != 0 {
		t.Errorf("attempt was adopted from token %d; want 0", adopt.From)
	}
	none[dispatch.AdoptAttempt](t, d.progress(id, 1, 2))
	commands = d.finish(id, 1, 3)
	only[dispatch.CompleteRequest](t, commands)
	if d.pool.OpenRequests() != 0 || d.router.ended != 1 {
		t.Errorf("%d requests are open and %d attempts ended; want 0 and 1", d.pool.OpenRequests(), d.router.ended)
	}
}

func TestRequestWaitsUntilAnEndpointHasRoom(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 1)
	first, _ := d.arrive(bulk(t), "clerks")
	second, commands := d.arrive(bulk(t), "clerks")
	none[dispatch.StartAttempt](t, commands)
	start := only[dispatch.StartAttempt](t, d.finish(first, 1, 10))
	if start.Attempt.Request != second {
		t.Errorf("start is %+v", start)
	}
}

func TestWaitLimitRefusalReportsNotRun(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 1, 0)
	d.arrive(bulk(t), "clerks")
	none[dispatch.RefuseRequest](t, d.advance(29*time.Second))
	refusal := only[dispatch.RefuseRequest](t, d.advance(time.Second))
	if refusal.Execution != dispatch.NotRun || refusal.Reason != dispatch.RefuseNoEndpoint || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestDrainedPoolRefusesNewAndFinishesOldRequests(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 1)
	first, _ := d.arrive(bulk(t), "clerks")
	d.step(dispatch.DrainStarted{})
	_, commands := d.arrive(bulk(t), "clerks")
	if refusal := only[dispatch.RefuseRequest](t, commands); refusal.Reason != dispatch.RefuseHostStopping {
		t.Errorf("refusal is %+v", refusal)
	}
	only[dispatch.CompleteRequest](t, d.finish(first, 1, 10))
}

// TestMergedProgressReportsTheTimePerToken guards against an endpoint appearing
// slow because one event covers several tokens.
func TestMergedProgressReportsTheTimePerToken(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	id, _ := d.arrive(bulk(t), "clerks")
	d.advance(100 * time.Millisecond)
	d.progress(id, 1, 1)
	d.advance(100 * time.Millisecond)
	d.progress(id, 1, 6)
	if d.router.tokenTime != 20*time.Millisecond {
		t.Errorf("time per token is %v; want 20ms", d.router.tokenTime)
	}
}

// TestMergedProgressReportsTheFirstToken checks that the first event of an attempt
// is reported as the first token even if it covers several tokens.
func TestMergedProgressReportsTheFirstToken(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	id, _ := d.arrive(bulk(t), "clerks")
	d.progress(id, 1, 3)
	if d.router.firstTokens != 1 {
		t.Errorf("%d first tokens were reported; want 1", d.router.firstTokens)
	}
}
