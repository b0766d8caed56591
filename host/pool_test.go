package host

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"

	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
	"cactuswell/io/caller"
	"cactuswell/io/engine"
	"cactuswell/metrics"
	"cactuswell/timer"
)

// newTestPool returns a pool whose duty does not run; the test drains it.
func newTestPool(t *testing.T) *pool {
	t.Helper()
	return newPool(poolDependencies{
		name:   "drafting",
		hostID: "host-1-1",
		decisions: func() decisions {
			random := rand.New(rand.NewPCG(1, 2))
			router := routing.New(routing.DefaultSettings("host-1", "alm-a"), random)
			return decisions{
				router: router,
				pool: dispatch.New(dispatch.Settings{
					Pool: "drafting",
					Zone: "alm-a",
				}, router, random),
			}
		},
		baseURL:  func(address string) string { return "http://" + address },
		timers:   timer.New(),
		logger:   log.NewNopLogger(),
		counters: metrics.New(),
		ids:      &atomic.Uint64{},
	})
}

func testSubmission(t *testing.T) caller.Submission {
	t.Helper()
	p, err := profile.New(profile.Spec{
		Name:       "draft",
		Class:      "draft",
		Kind:       profile.KindModel,
		Pool:       "drafting",
		Tier:       profile.TierInteractive,
		TargetMs:   5000,
		Idempotent: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	return caller.Submission{
		RequestID: "request-1",
		Team:      "default",
		Profile:   p,
	}
}

func newTestAttempt(p *pool, c *call, number uint32) *attempt {
	a := &attempt{
		id: dispatch.AttemptID{
			Request: c.id,
			Number:  number,
		},
		call: c,
		pool: p,
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func takeTokens(a *attempt, from, to int) {
	for index := from; index < to; index++ {
		a.take(engine.Token{
			Index: index,
			Text:  strconv.Itoa(index) + " ",
		})
	}
}

// textOf returns the text that waits, up to the answer's end.
func textOf(answer *caller.Answer) string {
	var text strings.Builder
	for {
		part, _ := answer.TryNext()
		token, ok := part.(caller.TextPart)
		if !ok {
			return text.String()
		}
		text.WriteString(token.Text)
	}
}

// TestNextAttemptRepeatsNoToken cancels an adopted attempt while its latest
// tokens have reached the caller but not yet the decisions. The next attempt is
// adopted from the token that the decisions know of.
func TestNextAttemptRepeatsNoToken(t *testing.T) {
	p := newTestPool(t)
	c := p.newCall(testSubmission(t), nil)
	first := newTestAttempt(p, c, 1)
	first.adopt(0)
	takeTokens(first, 0, 8)
	first.stop()
	second := newTestAttempt(p, c, 2)
	takeTokens(second, 0, 6)
	second.adopt(5)
	takeTokens(second, 6, 10)
	second.stop()
	if got, want := textOf(c.answer), "0 1 2 3 4 5 6 7 8 9 "; got != want {
		t.Errorf("the caller got %q, want %q", got, want)
	}
}

// TestShorterAnswerIsNotWhole ends a call with an answer that is shorter than
// what its caller already has of an earlier attempt.
func TestShorterAnswerIsNotWhole(t *testing.T) {
	p := newTestPool(t)
	c := p.newCall(testSubmission(t), nil)
	p.calls[c.id] = c
	p.open.Add(1)
	first := newTestAttempt(p, c, 1)
	first.adopt(0)
	takeTokens(first, 0, 8)
	first.stop()
	_ = textOf(c.answer)
	second := newTestAttempt(p, c, 2)
	second.ending = ending{
		finishReason: "stop",
		tokens:       6,
	}
	second.adopt(5)
	c.attempts = map[uint32]*attempt{2: second}
	p.finish(dispatch.CompleteRequest{
		Request: c.id,
		Attempt: second.id,
	})
	part, ok := c.answer.TryNext()
	problem, isProblem := part.(caller.ProblemPart)
	if !ok || !isProblem || problem.Problem.Code != caller.Code(dispatch.RefuseStreamTruncated) {
		t.Errorf("the answer ends with %+v, want the problem %q", part, dispatch.RefuseStreamTruncated)
	}
	if open := p.openCalls(); open != 0 {
		t.Errorf("open calls = %d, want 0", open)
	}
}

// TestEndOfDutyEndsAttempts ends a pool's duty while an attempt runs, as a stop
// at once does.
func TestEndOfDutyEndsAttempts(t *testing.T) {
	p := newTestPool(t)
	c := p.newCall(testSubmission(t), nil)
	p.calls[c.id] = c
	a := newTestAttempt(p, c, 1)
	c.attempts = map[uint32]*attempt{1: a}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.run(ctx); err != nil {
		t.Fatal(err)
	}
	if a.ctx.Err() == nil {
		t.Error("the attempt goes on after the end of its pool's duty")
	}
}

// TestPostEndsWithDuty posts to a full ring that the duty will not read any more.
func TestPostEndsWithDuty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(t)
		for p.events.TryPush(dispatch.Tick{}) {
			continue
		}
		posted := make(chan struct{})
		go func() {
			defer close(posted)
			p.post(dispatch.Tick{})
		}()
		synctest.Wait()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		// Without a signal, run sees nothing but the end of its context.
		p.signal = nil
		if err := p.run(ctx); err != nil {
			t.Fatal(err)
		}
		<-posted
	})
}

// TestFailureOfResumedAttempt hands the duty a failure that was reported before
// its attempt was resumed. The decisions must not hear of it, as they would start
// another attempt beside the one that goes on.
func TestFailureOfResumedAttempt(t *testing.T) {
	for _, test := range []struct {
		name string
		idle bool
		want uint64
	}{
		{name: "resumed since", idle: false, want: 0},
		{name: "not resumed", idle: true, want: 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPool(t)
			c := p.newCall(testSubmission(t), nil)
			p.calls[c.id] = c
			a := newTestAttempt(p, c, 1)
			a.idle = test.idle
			c.attempts = map[uint32]*attempt{1: a}
			p.handle(context.Background(), dispatch.AttemptFailed{
				Attempt: a.id,
				Failure: dispatch.Broken{},
			})
			if heard := p.decided.pool.Counters().LateEvents; heard != test.want {
				t.Errorf("the decisions heard of %d failures, want %d", heard, test.want)
			}
		})
	}
}

// TestCancelOvertakesArrival cancels a call that still waits in its tier's ring.
// The duty reads events before arrivals.
func TestCancelOvertakesArrival(t *testing.T) {
	p := newTestPool(t)
	h := &Host{}
	c := p.newCall(testSubmission(t), nil)
	ctx, cancel := context.WithCancel(context.Background())
	if !p.submit(c) {
		t.Fatal("the call was not taken")
	}
	cancel()
	h.cancelWithCaller(ctx, p, c)
	for p.events.Len() == 0 {
		<-p.signal
	}
	p.drain(context.Background())
	if open := p.openCalls(); open != 0 {
		t.Errorf("open calls = %d, want 0", open)
	}
	if snapshot := p.decided.pool.Snapshot(); snapshot.Queued != 0 {
		t.Errorf("queued = %d, want 0", snapshot.Queued)
	}
}

// TestEndedCallIsNotWatched ends a call and then its caller's context, as the
// server does after each answer. The pool must not hear of it.
func TestEndedCallIsNotWatched(t *testing.T) {
	p := newTestPool(t)
	c := p.newCall(testSubmission(t), nil)
	ctx, cancel := context.WithCancel(context.Background())
	(&Host{}).cancelWithCaller(ctx, p, c)
	c.end(caller.EndPart{FinishReason: "stop"})
	cancel()
	if c.unwatch() {
		t.Error("the caller was still watched after the answer's end")
	}
	if c.gone.Load() || p.events.Len() != 0 {
		t.Errorf("gone = %v with %d events, want false with none", c.gone.Load(), p.events.Len())
	}
}
