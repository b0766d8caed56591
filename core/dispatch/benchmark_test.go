package dispatch_test

import (
	"testing"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/dispatch"
	"cactuswell/core/profile"
)

// crowd is a pool whose endpoints are full and whose queue holds many requests.
type crowd struct {
	driver   *driver
	commands []dispatch.Command
	running  []dispatch.AttemptID
	next     int
}

func newCrowd(t testing.TB, queued, endpoints int) *crowd {
	settings := dispatch.Settings{
		NoEarlyRefusal: true,
		NoPreemption:   true,
		Queue: admission.Settings{
			MaxQueued:     2 * queued,
			MaxTeamQueued: 2 * queued,
		},
	}
	c := &crowd{
		driver: newDriver(t, settings, 4, endpoints),
	}
	c.driver.router.quiet = true
	classes := []profile.Profile{
		testProfile(t, profile.Spec{Class: "roomHold", Tier: profile.TierUrgent, TargetMs: 600000, Idempotent: true, Value: 10}),
		testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 600000, Idempotent: true}),
		testProfile(t, profile.Spec{Class: "briefing", Tier: profile.TierBulk, TargetMs: 600000, Idempotent: true}),
	}
	teams := []string{"clerks", "counsel", "mediators", "court"}
	for i := range queued + 4*endpoints {
		c.arrive(classes[i%len(classes)], teams[i%len(teams)])
	}
	return c
}

func (c *crowd) arrive(p profile.Profile, team string) {
	c.driver.nextID++
	c.step(dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           c.driver.nextID,
			Team:         team,
			Profile:      p,
			PromptTokens: 100,
		},
	})
}

func (c *crowd) step(event dispatch.Event) {
	c.commands = c.driver.pool.Step(c.driver.now, event, c.commands[:0])
	for _, command := range c.commands {
		if start, ok := command.(dispatch.StartAttempt); ok {
			c.running = append(c.running, start.Attempt)
		}
	}
}

// turn finishes the oldest attempt, so that a queued request is started, and
// brings a new request in its place.
func (c *crowd) turn(p profile.Profile) {
	c.driver.now = c.driver.now.Add(time.Microsecond)
	oldest := c.running[c.next]
	c.next++
	if c.next > 4096 {
		c.running = append(c.running[:0], c.running[c.next:]...)
		c.next = 0
	}
	c.step(dispatch.AttemptFinished{
		Attempt: oldest,
		Tokens:  100,
	})
	c.arrive(p, "clerks")
}

// turnBoxes is the number of commands that a turn boxes: a start, an adoption
// and a completion.
const turnBoxes = 3

func BenchmarkStep(b *testing.B) {
	p := testProfile(b, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 600000, Idempotent: true})
	for _, queued := range []int{100, 1000, 10_000} {
		b.Run(name(queued), func(b *testing.B) {
			c := newCrowd(b, queued, 50)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				c.turn(p)
			}
		})
	}
}

func name(queued int) string {
	switch queued {
	case 100:
		return "queued100"
	case 1000:
		return "queued1000"
	}
	return "queued10000"
}

func TestSteadyStepAllocatesOnlyItsCommands(t *testing.T) {
	p := testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 600000, Idempotent: true})
	c := newCrowd(t, 10_000, 50)
	for range 20_000 {
		c.turn(p)
	}
	allocations := testing.AllocsPerRun(5000, func() { c.turn(p) })
	if allocations > turnBoxes {
		t.Errorf("%v allocations for each finish, dispatch and arrival; want at most %d", allocations, turnBoxes)
	}
}
