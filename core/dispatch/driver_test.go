package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
)

// testStart is the arbitrary start time of the tests.
var testStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// driver feeds events to a pool with a fake router.
type driver struct {
	t        testing.TB
	now      time.Time
	router   *fakeRouter
	pool     *dispatch.Pool
	commands []dispatch.Command
	nextID   dispatch.RequestID
}

func newDriver(t testing.TB, settings dispatch.Settings, slots, endpoints int) *driver {
	t.Helper()
	router := newFakeRouter(slots)
	d := &driver{
		t:      t,
		now:    testStart,
		router: router,
		pool:   dispatch.New(settings, router, rand.New(rand.NewPCG(1, 2))),
	}
	for i := range endpoints {
		d.step(dispatch.EndpointAdded{
			Descriptor: endpoint.Descriptor{
				Key: testKey(i),
			},
		})
	}
	return d
}

func testKey(i int) endpoint.Key {
	return endpoint.Key{
		Name:        fmt.Sprintf("engine-%d", i),
		Incarnation: 1,
	}
}

// step feeds one event and returns the resulting commands.
func (d *driver) step(event dispatch.Event) []dispatch.Command {
	d.commands = d.pool.Step(d.now, event, nil)
	return d.commands
}

// advance advances the time, waking the pool whenever its NextWake is due, and
// returns all commands.
func (d *driver) advance(duration time.Duration) []dispatch.Command {
	end := d.now.Add(duration)
	var all []dispatch.Command
	for {
		at, ok := d.pool.NextWake()
		if !ok || at.After(end) {
			break
		}
		if at.After(d.now) {
			d.now = at
		}
		all = d.pool.Step(d.now, dispatch.Tick{}, all)
	}
	d.now = end
	return d.pool.Step(d.now, dispatch.Tick{}, all)
}

func (d *driver) arrive(p profile.Profile, team string) (dispatch.RequestID, []dispatch.Command) {
	d.nextID++
	return d.nextID, d.step(dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           d.nextID,
			Team:         team,
			Profile:      p,
			PromptTokens: 100,
			AtMostOnce:   !p.Idempotent(),
		},
	})
}

func (d *driver) fail(id dispatch.RequestID, number uint32, failure dispatch.Failure) []dispatch.Command {
	return d.step(dispatch.AttemptFailed{
		Attempt: attemptID(id, number),
		Failure: failure,
	})
}

func (d *driver) progress(id dispatch.RequestID, number uint32, tokens int) []dispatch.Command {
	return d.step(dispatch.AttemptProgressed{
		Attempt: attemptID(id, number),
		Tokens:  tokens,
	})
}

func (d *driver) finish(id dispatch.RequestID, number uint32, tokens int) []dispatch.Command {
	return d.step(dispatch.AttemptFinished{
		Attempt: attemptID(id, number),
		Tokens:  tokens,
	})
}

// completeRequests completes n requests, so that the retry budget holds n/10 attempts.
func (d *driver) completeRequests(p profile.Profile, n int) {
	d.t.Helper()
	for range n {
		id, commands := d.arrive(p, "warm")
		only[dispatch.StartAttempt](d.t, commands)
		d.finish(id, 1, 10)
	}
}

func attemptID(id dispatch.RequestID, number uint32) dispatch.AttemptID {
	return dispatch.AttemptID{
		Request: id,
		Number:  number,
	}
}

// all returns the commands of one type.
func all[T dispatch.Command](commands []dispatch.Command) []T {
	var found []T
	for _, command := range commands {
		if command, ok := command.(T); ok {
			found = append(found, command)
		}
	}
	return found
}

// only returns the command of the type and fails the test unless there is exactly
// one.
func only[T dispatch.Command](t testing.TB, commands []dispatch.Command) T {
	t.Helper()
	found := all[T](commands)
	if len(found) != 1 {
		t.Fatalf("%d commands of type %T in %+v; want 1", len(found), *new(T), commands)
	}
	return found[0]
}

// none fails the test if there is a command of the type.
func none[T dispatch.Command](t testing.TB, commands []dispatch.Command) {
	t.Helper()
	if found := all[T](commands); len(found) > 0 {
		t.Fatalf("unexpected %T: %+v", *new(T), commands)
	}
}

func testProfile(t testing.TB, spec profile.Spec) profile.Profile {
	t.Helper()
	if spec.Kind == "" {
		spec.Kind = profile.KindModel
	}
	if spec.TargetMs == 0 {
		spec.TargetMs = 5000
	}
	spec.Pool = "drafting"
	spec.Name = spec.Class
	p, err := profile.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func urgent(t testing.TB) profile.Profile {
	return testProfile(t, profile.Spec{Class: "roomHold", Tier: profile.TierUrgent, TargetMs: 1000, Idempotent: true, Value: 10})
}

func bulk(t testing.TB) profile.Profile {
	return testProfile(t, profile.Spec{Class: "briefing", Tier: profile.TierBulk, TargetMs: 30000, Idempotent: true})
}

func urgentAtMostOnce(t testing.TB) profile.Profile {
	return testProfile(t, profile.Spec{Class: "roomHold", Tier: profile.TierUrgent, TargetMs: 1000, Value: 10})
}
