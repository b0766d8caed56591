package dispatch_test

import (
	"testing"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
)

func TestNotStartedIsRetriedElsewhere(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(urgent(t), 10)
	id, commands := d.arrive(urgentAtMostOnce(t), "clerks")
	first := only[dispatch.StartAttempt](t, commands)
	if !first.NewConnection {
		t.Error("non-idempotent request was sent over a connection that may be dead")
	}
	none[dispatch.RefuseRequest](t, d.fail(id, 1, dispatch.NotStarted{}))
	second := only[dispatch.StartAttempt](t, d.advance(time.Second/2))
	if second.Endpoint == first.Endpoint {
		t.Errorf("request was retried at the same endpoint %v", second.Endpoint)
	}
}

func TestRetryHonorsRetryAfter(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(bulk(t), 10)
	id, _ := d.arrive(bulk(t), "clerks")
	d.fail(id, 1, dispatch.NotStarted{RetryAfter: 3 * time.Second})
	none[dispatch.StartAttempt](t, d.advance(3*time.Second-1))
	only[dispatch.StartAttempt](t, d.advance(2*time.Second))
}

func TestNonIdempotentIsNeverSentAgainAfterItMayHaveRun(t *testing.T) {
	failures := map[string]dispatch.Failure{
		"broken":     dispatch.Broken{},
		"errored":    dispatch.Errored{Status: 503},
		"permanent":  dispatch.Errored{Status: 400, Permanent: true},
		"mismatched": dispatch.Mismatched{},
		"forgotten":  dispatch.UnknownAttempt{},
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t, dispatch.Settings{}, 4, 2)
			d.completeRequests(urgent(t), 20)
			id, _ := d.arrive(urgentAtMostOnce(t), "clerks")
			commands := d.fail(id, 1, failure)
			refusal := only[dispatch.RefuseRequest](t, commands)
			if refusal.Execution != dispatch.MayHaveRun || refusal.Reason != dispatch.RefuseOutcomeUnknown {
				t.Errorf("refusal is %+v", refusal)
			}
			if len(commands) != 1 {
				t.Errorf("commands are %+v", commands)
			}
		})
	}
}

func TestSilentNonIdempotentTimesOutWithUnknownOutcome(t *testing.T) {
	d := newDriver(t, dispatch.Settings{RunLimit: time.Minute}, 4, 2)
	d.completeRequests(urgent(t), 20)
	d.arrive(urgentAtMostOnce(t), "clerks")
	commands := d.advance(61 * time.Second)
	none[dispatch.StartAttempt](t, commands)
	only[dispatch.CancelAttempt](t, commands)
	if refusal := only[dispatch.RefuseRequest](t, commands); refusal.Execution != dispatch.MayHaveRun {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestSilentStreamIsResumedThenRestartedElsewhere(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(bulk(t), 20)
	id, commands := d.arrive(bulk(t), "clerks")
	first := only[dispatch.StartAttempt](t, commands)
	d.progress(id, 1, 7)
	resume := only[dispatch.ResumeAttempt](t, d.advance(testStallTimeout))
	if resume.From != 7 || resume.Endpoint != first.Endpoint {
		t.Errorf("resume is %+v", resume)
	}
	d.fail(id, 1, dispatch.UnknownAttempt{})
	second := only[dispatch.StartAttempt](t, d.advance(time.Second))
	if second.Endpoint == first.Endpoint {
		t.Errorf("request was restarted at the same endpoint")
	}
	if adopt := only[dispatch.AdoptAttempt](t, d.progress(id, 2, 1)); adopt.From != 7 {
		t.Errorf("attempt was adopted from token %d; want 7, the number delivered", adopt.From)
	}
	only[dispatch.CompleteRequest](t, d.finish(id, 2, 12))
}

func TestSilentResumeIsCanceled(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(bulk(t), 20)
	id, _ := d.arrive(bulk(t), "clerks")
	d.progress(id, 1, 7)
	d.advance(testStallTimeout)
	commands := d.advance(testStallTimeout)
	if canceled := only[dispatch.CancelAttempt](t, commands); canceled.Reason != dispatch.CancelStalled {
		t.Errorf("cancel is %+v", canceled)
	}
	only[dispatch.StartAttempt](t, commands)
}

func TestSilentStreamOfALeavingEndpointIsNotResumedThere(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(bulk(t), 20)
	id, commands := d.arrive(bulk(t), "clerks")
	first := only[dispatch.StartAttempt](t, commands)
	d.progress(id, 1, 7)
	d.step(dispatch.EndpointLeaving{Key: first.Endpoint})
	commands = d.advance(testStallTimeout)
	none[dispatch.ResumeAttempt](t, commands)
	if second := only[dispatch.StartAttempt](t, commands); second.Endpoint == first.Endpoint {
		t.Error("a leaving endpoint was given new work")
	}
}

func TestShorterSecondAnswerIsNotReportedAsComplete(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(bulk(t), 20)
	id, _ := d.arrive(bulk(t), "clerks")
	d.progress(id, 1, 7)
	d.fail(id, 1, dispatch.Mismatched{})
	only[dispatch.StartAttempt](t, d.advance(time.Second))
	commands := d.finish(id, 2, 5)
	none[dispatch.CompleteRequest](t, commands)
	if refusal := only[dispatch.RefuseRequest](t, commands); refusal.Reason != dispatch.RefuseStreamTruncated {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 1000, 4)
	for range 500 {
		d.arrive(bulk(t), "clerks")
	}
	for range 10 {
		for id := dispatch.RequestID(1); id <= 500; id++ {
			for number := uint32(1); number <= 4; number++ {
				d.fail(id, number, dispatch.NotStarted{})
			}
		}
		d.advance(time.Second)
	}
	counters := d.pool.Counters()
	if further := counters.Retries + counters.Hedges + counters.Restarts; further == 0 || further > 50 {
		t.Errorf("%d further attempts for %d first attempts", further, counters.FirstAttempts)
	}
}

func TestHedgeWinsAndTheLoserIsCanceled(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(urgent(t), 20)
	id, commands := d.arrive(urgent(t), "clerks")
	first := only[dispatch.StartAttempt](t, commands)
	none[dispatch.StartAttempt](t, d.advance(700*time.Millisecond))
	second := only[dispatch.StartAttempt](t, d.advance(150*time.Millisecond))
	if second.Endpoint == first.Endpoint {
		t.Error("request was hedged at the same endpoint")
	}
	commands = d.progress(id, 2, 1)
	if adopt := only[dispatch.AdoptAttempt](t, commands); adopt.Attempt.Number != 2 {
		t.Errorf("adopt is %+v", adopt)
	}
	canceled := only[dispatch.CancelAttempt](t, commands)
	if canceled.Attempt.Number != 1 || canceled.Reason != dispatch.CancelHedgeLost {
		t.Errorf("cancel is %+v", canceled)
	}
	if commands = d.progress(id, 1, 1); len(commands) != 0 {
		t.Errorf("late progress of a canceled attempt led to %+v", commands)
	}
}

func TestNoHedgeForNonIdempotentOrToALeavingEndpoint(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 4, 2)
	d.completeRequests(urgent(t), 20)
	d.arrive(urgentAtMostOnce(t), "clerks")
	none[dispatch.StartAttempt](t, d.advance(time.Second))
	_, commands := d.arrive(urgent(t), "clerks")
	first := only[dispatch.StartAttempt](t, commands)
	for i := range 2 {
		if testKey(i) != first.Endpoint {
			d.step(dispatch.EndpointLeaving{Key: testKey(i)})
		}
	}
	none[dispatch.StartAttempt](t, d.advance(time.Second))
}

func TestCancelIsForwardedToTheEndpoint(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 1)
	id, _ := d.arrive(bulk(t), "clerks")
	queued, _ := d.arrive(bulk(t), "clerks")
	if commands := d.step(dispatch.RequestCanceled{Request: queued}); len(commands) != 0 {
		t.Errorf("commands are %+v", commands)
	}
	canceled := only[dispatch.CancelAttempt](t, d.step(dispatch.RequestCanceled{Request: id}))
	if canceled.Reason != dispatch.CancelCallerCanceled || d.pool.OpenRequests() != 0 {
		t.Errorf("cancel is %+v, %d requests are open", canceled, d.pool.OpenRequests())
	}
}

func TestLeavingReportedBeforeTheEndpointHolds(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 0)
	d.step(dispatch.EndpointLeaving{Key: testKey(0)})
	d.step(dispatch.EndpointAdded{Descriptor: endpoint.Descriptor{Key: testKey(0)}})
	_, commands := d.arrive(bulk(t), "clerks")
	none[dispatch.StartAttempt](t, commands)
	d.step(dispatch.EndpointAdded{Descriptor: endpoint.Descriptor{Key: endpoint.Key{Name: "engine-0", Incarnation: 2}}})
	if d.router.sent != 1 {
		t.Error("the next incarnation was given no work")
	}
}
