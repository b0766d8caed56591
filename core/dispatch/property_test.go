package dispatch_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/admission"
	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

const (
	modelMaxQueued = 20
	modelReserve   = 2
	modelClasses   = 5
	modelEndpoints = 4
)

// The seed is fixed so that every run gives the same verdict; -rapid.seed
// overrides it.
func init() {
	_ = flag.Set("rapid.seed", "20261203")
}

func modelProfiles(t testing.TB) []profile.Profile {
	return []profile.Profile{
		testProfile(t, profile.Spec{Class: "check", Tier: profile.TierUrgent, TargetMs: 800, Idempotent: true, Value: 5}),
		testProfile(t, profile.Spec{Class: "hold", Tier: profile.TierUrgent, TargetMs: 1000, Value: 10}),
		testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 2000, Idempotent: true, Value: 2}),
		testProfile(t, profile.Spec{Class: "summary", Tier: profile.TierStandard, TargetMs: 5000, Measure: profile.MeasureCompletion, Idempotent: true}),
		testProfile(t, profile.Spec{Class: "briefing", Tier: profile.TierBulk, TargetMs: 20000, Idempotent: true, MinShare: 0.2}),
	}
}

func TestPromisesHoldUnderRandomEvents(t *testing.T) {
	profiles := modelProfiles(t)
	rapid.Check(t, func(t *rapid.T) {
		run := newRun(t, profiles)
		t.Repeat(run.actions())
		run.drain()
	})
}

// randomRun throws random events at a pool.
type randomRun struct {
	t        *rapid.T
	model    *model
	profiles []profile.Profile
	nextKey  int
}

func newRun(t *rapid.T, profiles []profile.Profile) *randomRun {
	settings := dispatch.Settings{
		Queue: admission.Settings{
			MaxQueued:     modelMaxQueued,
			MaxTeamQueued: 10,
			ClassReserve:  modelReserve,
		},
		RunLimit:     time.Minute,
		NoPreemption: rapid.Bool().Draw(t, "noPreemption"),
	}
	router := newFakeRouter(rapid.IntRange(1, 4).Draw(t, "slots"))
	run := &randomRun{
		t: t,
		model: &model{
			t: t,
			driver: &driver{
				now:    testStart,
				router: router,
				pool:   dispatch.New(settings, router, rand.New(rand.NewPCG(3, 4))),
			},
			requests: make(map[dispatch.RequestID]*modelRequest),
			leaving:  make(map[endpoint.Key]bool),
			drained:  make(map[endpoint.Key]bool),
		},
		profiles: profiles,
	}
	for range modelEndpoints {
		run.addEndpoint()
	}
	return run
}

func (r *randomRun) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive":   r.arrive,
		"burst":    r.burst,
		"progress": r.progress,
		"finish":   r.finish,
		"complete": r.complete,
		"fail":     r.fail,
		"late":     r.late,
		"cancel":   r.cancel,
		"advance":  r.advance,
		"leave":    r.leave,
		"drain":    r.drainEndpoint,
		"replace":  r.replace,
	}
}

func (r *randomRun) addEndpoint() {
	r.model.step(dispatch.EndpointAdded{
		Descriptor: endpoint.Descriptor{
			Key: testKey(r.nextKey),
		},
	})
	r.nextKey++
}

func (r *randomRun) arrive(t *rapid.T) {
	p := rapid.SampledFrom(r.profiles).Draw(t, "profile")
	team := rapid.SampledFrom([]string{"clerks", "counsel", "mediators"}).Draw(t, "team")
	r.request(p, team)
}

func (r *randomRun) request(p profile.Profile, team string) {
	r.model.driver.nextID++
	r.model.step(dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           r.model.driver.nextID,
			Team:         team,
			Profile:      p,
			PromptTokens: 100,
			AtMostOnce:   !p.Idempotent(),
		},
	})
}

func (r *randomRun) burst(t *rapid.T) {
	p := rapid.SampledFrom(r.profiles).Draw(t, "profile")
	for range rapid.IntRange(5, 40).Draw(t, "size") {
		r.request(p, "counsel")
	}
}

func (r *randomRun) pick(t *rapid.T) *modelAttempt {
	running := r.model.running()
	if len(running) == 0 {
		return nil
	}
	return rapid.SampledFrom(running).Draw(t, "attempt")
}

func (r *randomRun) progress(t *rapid.T) {
	if a := r.pick(t); a != nil {
		a.tokens += rapid.IntRange(1, 5).Draw(t, "tokens")
		r.model.step(dispatch.AttemptProgressed{
			Attempt: a.id,
			Tokens:  a.tokens,
		})
	}
}

func (r *randomRun) finish(t *rapid.T) {
	if a := r.pick(t); a != nil {
		a.tokens += rapid.IntRange(0, 5).Draw(t, "tokens")
		r.finishAttempt(a)
	}
}

func (r *randomRun) finishAttempt(a *modelAttempt) {
	request := r.model.requests[a.id.Request]
	if a.tokens < request.heard {
		a.alive = false
	}
	r.model.step(dispatch.AttemptFinished{
		Attempt: a.id,
		Tokens:  a.tokens,
	})
}

// complete finishes everything that runs, so that the retry budget grows.
func (r *randomRun) complete(*rapid.T) {
	for _, a := range r.model.running() {
		if !a.alive {
			continue
		}
		a.tokens = max(a.tokens, r.model.requests[a.id.Request].heard) + 1
		r.finishAttempt(a)
	}
}

func (r *randomRun) fail(t *rapid.T) {
	a := r.pick(t)
	if a == nil {
		return
	}
	failure := rapid.SampledFrom([]dispatch.Failure{
		dispatch.NotStarted{},
		dispatch.NotStarted{RetryAfter: time.Second},
		dispatch.Broken{},
		dispatch.Errored{Status: 500},
		dispatch.Errored{Status: 400, Permanent: true},
		dispatch.Mismatched{},
		dispatch.UnknownAttempt{},
	}).Draw(t, "failure")
	r.failAttempt(a, failure)
}

// failAttempt feeds a failure. An attempt whose broken stream is resumed goes
// on.
func (r *randomRun) failAttempt(a *modelAttempt, failure dispatch.Failure) {
	_, notStarted := failure.(dispatch.NotStarted)
	if notStarted && a.tokens > 0 && !a.resumed {
		return
	}
	a.provable = notStarted && !a.resumed
	a.alive = false
	if _, broken := failure.(dispatch.Broken); broken {
		r.model.broken = a
	}
	r.model.step(dispatch.AttemptFailed{
		Attempt: a.id,
		Failure: failure,
	})
	r.model.broken = nil
}

// late feeds events of an attempt that has ended.
func (r *randomRun) late(t *rapid.T) {
	for id := dispatch.RequestID(1); id <= r.model.driver.nextID; id++ {
		for _, a := range r.model.requests[id].attempts {
			if a.alive {
				continue
			}
			before := len(r.model.running())
			r.model.step(dispatch.AttemptProgressed{Attempt: a.id, Tokens: a.tokens + 1})
			r.model.step(dispatch.AttemptFailed{Attempt: a.id, Failure: dispatch.Broken{}})
			if before != len(r.model.running()) {
				t.Fatalf("a late event of %+v changed what runs", a)
			}
			return
		}
	}
}

func (r *randomRun) cancel(t *rapid.T) {
	var open []dispatch.RequestID
	for id := dispatch.RequestID(1); id <= r.model.driver.nextID; id++ {
		if !r.model.requests[id].ended {
			open = append(open, id)
		}
	}
	if len(open) > 0 {
		r.model.step(dispatch.RequestCanceled{
			Request: rapid.SampledFrom(open).Draw(t, "request"),
		})
	}
}

func (r *randomRun) advance(t *rapid.T) {
	r.model.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

func (r *randomRun) leave(t *rapid.T) {
	key := testKey(rapid.IntRange(0, r.nextKey).Draw(t, "endpoint"))
	if rapid.Bool().Draw(t, "byReport") {
		r.model.step(dispatch.LoadReported{Report: endpoint.Report{Key: key, Leaving: true}})
		return
	}
	r.model.step(dispatch.EndpointLeaving{Key: key})
}

// drainEndpoint drains an endpoint or takes the drain back.
func (r *randomRun) drainEndpoint(t *rapid.T) {
	r.model.step(dispatch.EndpointDrainChanged{
		Key:     testKey(rapid.IntRange(0, r.nextKey-1).Draw(t, "endpoint")),
		Drained: rapid.Bool().Draw(t, "drained"),
	})
}

// replace removes an endpoint, so that what runs there breaks, and brings a new
// one.
func (r *randomRun) replace(t *rapid.T) {
	key := testKey(rapid.IntRange(0, r.nextKey-1).Draw(t, "endpoint"))
	r.model.step(dispatch.EndpointRemoved{Key: key})
	for _, a := range r.model.running() {
		if a.key == key && a.alive {
			r.failAttempt(a, dispatch.Mismatched{})
		}
	}
	r.addEndpoint()
}

// drain stops the pool and waits until every request has ended.
func (r *randomRun) drain() {
	r.model.step(dispatch.DrainStarted{})
	r.model.advance(3 * time.Minute)
	if open := r.model.driver.pool.OpenRequests(); open != 0 {
		r.t.Fatalf("%d requests are open long after every limit", open)
	}
	for _, e := range r.model.driver.router.endpoints {
		if e.running != 0 {
			r.t.Fatalf("%d slots of %v were never freed", e.running, e.key)
		}
	}
}
