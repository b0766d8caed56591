package dispatch_test

import (
	"testing"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

func TestUrgentIsServedFirstAndPreemptsTheLowestTier(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 3, 1)
	d.completeRequests(bulk(t), 20)
	d.arrive(bulk(t), "clerks")
	low, commands := d.arrive(bulk(t), "clerks")
	only[dispatch.StartAttempt](t, commands)
	other, _ := d.arrive(urgentAtMostOnce(t), "clerks")
	waiting, commands := d.arrive(urgent(t), "clerks")
	none[dispatch.StartAttempt](t, commands)
	d.progress(low, 1, 9)
	commands = d.advance(300 * time.Millisecond)
	canceled := only[dispatch.CancelAttempt](t, commands)
	if canceled.Attempt.Request != low || canceled.Reason != dispatch.CancelPreempted {
		t.Errorf("cancel is %+v", canceled)
	}
	if start := only[dispatch.StartAttempt](t, commands); start.Attempt.Request != waiting {
		t.Errorf("start is %+v", start)
	}
	none[dispatch.StartAttempt](t, d.finish(other, 1, 5))
	commands = d.finish(waiting, 1, 5)
	if again := only[dispatch.StartAttempt](t, commands); again.Attempt != attemptID(low, 2) {
		t.Errorf("start is %+v", again)
	}
	if adopt := only[dispatch.AdoptAttempt](t, d.progress(low, 2, 1)); adopt.From != 9 {
		t.Errorf("adopt is %+v", adopt)
	}
}

func TestUrgentWaitIsExtendedWhileLowerTiersCanMakeRoom(t *testing.T) {
	d := newDriver(t, dispatch.Settings{NoPreemption: true}, 3, 1)
	d.arrive(bulk(t), "clerks")
	d.arrive(bulk(t), "clerks")
	d.arrive(urgentAtMostOnce(t), "clerks")
	id, _ := d.arrive(urgent(t), "clerks")
	d.progress(3, 1, 1)
	none[dispatch.RefuseRequest](t, d.advance(1900*time.Millisecond))
	if d.pool.Counters().UrgentWaitsExtended != 1 {
		t.Errorf("%d urgent requests were kept beyond their wait limit; want 1", d.pool.Counters().UrgentWaitsExtended)
	}
	if start := only[dispatch.StartAttempt](t, d.finish(3, 1, 1)); start.Attempt.Request != id {
		t.Errorf("start is %+v", start)
	}
}

// TestHedgeOfLowerTierIsPreemptedForUrgent guards against a top-tier request being
// refused at its wait limit while a class holds slots beyond its share through
// hedges. This happened when hedges were not counted as slots; random events found
// it with seeds 202 and 303.
func TestHedgeOfLowerTierIsPreemptedForUrgent(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 2)
	d.completeRequests(bulk(t), 20)
	draft := testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 2000, Idempotent: true})
	low, _ := d.arrive(draft, "clerks")
	hedge := only[dispatch.StartAttempt](t, d.advance(1900*time.Millisecond))
	d.arrive(urgentAtMostOnce(t), "clerks")
	d.arrive(urgentAtMostOnce(t), "clerks")
	_, commands := d.arrive(urgent(t), "clerks")
	none[dispatch.StartAttempt](t, commands)
	commands = d.advance(300 * time.Millisecond)
	if canceled := only[dispatch.CancelAttempt](t, commands); canceled.Attempt != attemptID(low, hedge.Attempt.Number) {
		t.Errorf("cancel is %+v", canceled)
	}
	only[dispatch.StartAttempt](t, commands)
	only[dispatch.CompleteRequest](t, d.finish(low, 1, 5))
}

func TestFullQueueEvictsTheLowestTierAtOnce(t *testing.T) {
	settings := dispatch.Settings{Queue: admission.Settings{MaxQueued: 4, MaxTeamQueued: 100, ClassReserve: 1}}
	d := newDriver(t, settings, 1, 0)
	for range 5 {
		d.arrive(bulk(t), "clerks")
	}
	_, commands := d.arrive(bulk(t), "clerks")
	if refusal := only[dispatch.RefuseRequest](t, commands); refusal.Request != 6 || refusal.Execution != dispatch.NotRun {
		t.Errorf("refusal is %+v", refusal)
	}
	d.arrive(urgent(t), "clerks")
	_, commands = d.arrive(urgent(t), "clerks")
	if refusal := only[dispatch.RefuseRequest](t, commands); refusal.Request > 5 || refusal.Reason != dispatch.RefuseQueueFull {
		t.Errorf("refusal is %+v", refusal)
	}
}

func TestGuaranteedShareIsMetUnderAnUrgentBurst(t *testing.T) {
	d := newDriver(t, dispatch.Settings{NoPreemption: true}, 4, 1)
	lowProfile := testProfile(t, profile.Spec{Class: "briefing", Tier: profile.TierBulk, TargetMs: 600000, Idempotent: true, MinShare: 0.1})
	started := make(map[dispatch.RequestID]bool)
	var running []dispatch.RequestID
	low := make(map[dispatch.RequestID]bool)
	take := func(commands []dispatch.Command) {
		for _, start := range all[dispatch.StartAttempt](commands) {
			running = append(running, start.Attempt.Request)
			started[start.Attempt.Request] = true
		}
	}
	const rounds = 1000
	for range rounds {
		for range 3 {
			_, commands := d.arrive(urgent(t), "clerks")
			take(commands)
		}
		id, commands := d.arrive(lowProfile, "counsel")
		low[id] = true
		take(commands)
		d.now = d.now.Add(time.Millisecond)
		id, running = running[0], running[1:]
		take(d.finish(id, 1, 100))
	}
	served := 0
	for id := range started {
		if low[id] {
			served++
		}
	}
	if served < rounds*9/100 || served > rounds*12/100 {
		t.Errorf("%d of %d started requests are of the class with a guaranteed share of 0.1", served, rounds)
	}
}

func TestOneTeamDoesNotStarveAnother(t *testing.T) {
	d := newDriver(t, dispatch.Settings{}, 2, 1)
	first, _ := d.arrive(bulk(t), "large")
	for range 100 {
		d.arrive(bulk(t), "large")
	}
	small, _ := d.arrive(bulk(t), "small")
	d.now = d.now.Add(time.Second)
	commands := d.finish(first, 1, 256)
	d.now = d.now.Add(time.Second)
	commands = append(commands, d.finish(all[dispatch.StartAttempt](commands)[0].Attempt.Request, 1, 256)...)
	for _, start := range all[dispatch.StartAttempt](commands) {
		if start.Attempt.Request == small {
			return
		}
	}
	t.Errorf("request of the small team is not among the first two started: %+v", commands)
}

func TestOldestLateRequestIsEvictedForANewOne(t *testing.T) {
	d := newDriver(t, dispatch.Settings{Kind: profile.KindService}, 2, 1)
	p := testProfile(t, profile.Spec{
		Class: "lookup", Kind: profile.KindService, Tier: profile.TierStandard,
		TargetMs: 1000, WaitLimitMs: 4000, Idempotent: true,
	})
	running, _ := d.arrive(p, "clerks")
	d.now = d.now.Add(time.Second)
	d.finish(running, 1, 0)
	for range 10 {
		d.arrive(p, "clerks")
	}
	oldest := running + 2
	d.now = d.now.Add(3 * time.Second)
	newest, commands := d.arrive(p, "clerks")
	refusal := only[dispatch.RefuseRequest](t, commands)
	if refusal.Request != oldest || refusal.Reason != dispatch.RefuseCannotMeetLimit || refusal.Execution != dispatch.NotRun {
		t.Errorf("refusal is %+v; want request %d", refusal, oldest)
	}
	if start := only[dispatch.StartAttempt](t, d.finish(running+1, 1, 0)); start.Attempt.Request != newest {
		t.Errorf("start is %+v; want request %d", start, newest)
	}
}

func TestRequestThatCannotMeetItsWaitLimitIsRefusedOnArrival(t *testing.T) {
	d := newDriver(t, dispatch.Settings{Kind: profile.KindService}, 2, 1)
	p := testProfile(t, profile.Spec{Class: "lookup", Kind: profile.KindService, Tier: profile.TierStandard, TargetMs: 2000, Idempotent: true})
	running, _ := d.arrive(p, "clerks")
	refusedAt := 0
	for i := range 200 {
		_, commands := d.arrive(p, "clerks")
		for _, refusal := range all[dispatch.RefuseRequest](commands) {
			if refusal.Reason != dispatch.RefuseCannotMeetLimit {
				continue
			}
			if refusal.Execution != dispatch.NotRun || refusal.RetryAfter < time.Second {
				t.Fatalf("refusal is %+v", refusal)
			}
			refusedAt = i
		}
		d.advance(10 * time.Millisecond)
		if i%5 == 4 {
			running = all[dispatch.StartAttempt](d.finish(running, 1, 0))[0].Attempt.Request
		}
	}
	if refusedAt == 0 {
		t.Error("no request was refused early although the queue grows by 80 requests/s and 20 requests/s are served")
	}
}
