package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cactuswell/core/admission"
	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// crowd is a pool with the product's router, whose endpoints are full and whose
// queue holds many requests.
type crowd struct {
	pool     *dispatch.Pool
	now      time.Time
	nextID   dispatch.RequestID
	commands []dispatch.Command
	running  []dispatch.AttemptID
	next     int
	// candidates is the largest number of endpoints compared for one choice.
	candidates int
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
	random := rand.New(rand.NewPCG(1, 2))
	c := &crowd{
		pool: dispatch.New(settings, routing.New(routing.DefaultSettings("host-1", "alm-a"), random), random),
		now:  testStart,
	}
	for i := range endpoints {
		c.step(dispatch.EndpointAdded{
			Descriptor: endpoint.Descriptor{
				Key:  testKey(i),
				Zone: "alm-a",
				Kind: profile.KindModel,
			},
		})
	}
	classes := []profile.Profile{
		testProfile(t, profile.Spec{Class: "roomHold", Tier: profile.TierUrgent, TargetMs: 600000, Idempotent: true, Value: 10}),
		testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 600000, Idempotent: true}),
		testProfile(t, profile.Spec{Class: "briefing", Tier: profile.TierBulk, TargetMs: 600000, Idempotent: true}),
	}
	teams := []string{"clerks", "counsel", "mediators", "court"}
	for i := 0; c.pool.QueuedRequests() < queued; i++ {
		c.arrive(classes[i%len(classes)], teams[i%len(teams)])
	}
	return c
}

func (c *crowd) arrive(p profile.Profile, team string) {
	c.nextID++
	c.step(dispatch.RequestArrived{
		Request: dispatch.Request{
			ID:           c.nextID,
			Team:         team,
			Profile:      p,
			PromptTokens: 100,
		},
	})
}

func (c *crowd) step(event dispatch.Event) {
	c.commands = c.pool.Step(c.now, event, c.commands[:0])
	for _, command := range c.commands {
		if start, ok := command.(dispatch.StartAttempt); ok {
			c.candidates = max(c.candidates, start.Choice.Candidates)
			c.running = append(c.running, start.Attempt)
		}
	}
}

// turn finishes the oldest attempt, so that a queued request is started, and
// brings a new request in its place.
func (c *crowd) turn(p profile.Profile) {
	c.now = c.now.Add(time.Microsecond)
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
	for _, endpoints := range []int{50, 500} {
		for _, queued := range []int{100, 10_000} {
			b.Run(fmt.Sprintf("endpoints%d/queued%d", endpoints, queued), func(b *testing.B) {
				c := newCrowd(b, queued, endpoints)
				b.ReportAllocs()
				b.ResetTimer()
				for range b.N {
					c.turn(p)
				}
			})
		}
	}
}

// TestSteadyStepAllocatesOnlyItsCommands bounds the cost of a decision by what
// doesn't depend on the machine: allocations, and endpoints compared.
func TestSteadyStepAllocatesOnlyItsCommands(t *testing.T) {
	p := testProfile(t, profile.Spec{Class: "draft", Tier: profile.TierInteractive, TargetMs: 600000, Idempotent: true})
	candidates := make(map[int]int)
	for _, endpoints := range []int{50, 500} {
		c := newCrowd(t, 10_000, endpoints)
		for range 20_000 {
			c.turn(p)
		}
		allocations := testing.AllocsPerRun(5000, func() { c.turn(p) })
		if allocations > turnBoxes {
			t.Errorf("%v allocations with %d endpoints; want at most %d", allocations, endpoints, turnBoxes)
		}
		candidates[endpoints] = c.candidates
	}
	if candidates[500] > candidates[50] {
		t.Errorf("endpoints compared grow from %d to %d", candidates[50], candidates[500])
	}
}
