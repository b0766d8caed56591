package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cactuswell/core/endpoint"
	"cactuswell/core/lease"
	"cactuswell/core/placement"
	"cactuswell/core/record"
)

// course is a run of several holders before one engine, with virtual time in
// steps of 100 ms.
type course struct {
	random  *rand.Rand
	now     time.Duration
	logDown bool
	records []stored
	holders []*holder
	// reader reads the whole log, at once and without a pause.
	reader  *lease.Machine
	engine  fakeEngine
	flights []flight
	faults  []string
	sent    int
}

// stored is a decoded record of the log.
type stored struct {
	claim lease.Claim
	id    string
}

// fakeEngine does what each order says. If it checks, it refuses an older
// number.
type fakeEngine struct {
	checks  bool
	version int
	fencing record.Offset
	effects int
	refused int
	// takeovers counts the effects that followed one of another term.
	takeovers int
}

type flight struct {
	at     time.Duration
	holder *holder
	order  placement.Order
	want   int
	lost   bool
}

// holder is one host that may be paused between any two of its steps.
type holder struct {
	name        string
	machine     *lease.Machine
	orders      *placement.Orders
	pausedUntil time.Duration
	// cut reports whether this host alone can't reach the log.
	cut bool
	// slept is how far its monotonic clock stands behind.
	slept    time.Duration
	prepared *placement.Order
	// leaving is set between the last look at the lease and the sending.
	leaving *flight
}

func newCourse(seed uint64, checks bool) *course {
	c := &course{
		random: rand.New(rand.NewPCG(seed, 1)),
	}
	c.engine.checks = checks
	c.engine.fencing = -1
	settings := lease.DefaultSettings()
	c.reader = lease.New(settings, "placement", "reader", 1, lease.Instant{Wall: start})
	for i := range 2 {
		name := fmt.Sprintf("host-%d", i)
		machine := lease.New(settings, "placement", name, 1, lease.Instant{Wall: start})
		c.holders = append(c.holders, &holder{
			name:    name,
			machine: machine,
			orders:  placement.NewOrders(machine, settings),
		})
	}
	return c
}

func (c *course) instant(h *holder) lease.Instant {
	return lease.Instant{
		Monotonic: c.now - h.slept,
		Wall:      start.Add(c.now),
	}
}

// want is the version that a host wants at present. It changes every
// second, so that each late order would be a wrong one.
func (c *course) want() int {
	return int(c.now / time.Second)
}

func (c *course) step(h *holder) {
	now := c.instant(h)
	if c.now < h.pausedUntil {
		return
	}
	if h.leaving != nil {
		c.flights = append(c.flights, *h.leaving)
		h.leaving = nil
		return
	}
	if !c.logDown && !h.cut {
		read(h.machine, c.records, now)
		if claim, id, ok := h.machine.Next(now); ok {
			c.records = append(c.records, stored{
				claim: claim,
				id:    id,
			})
		}
	}
	c.order(h, now)
}

// order takes one step towards an order: prepare, then read and send.
func (c *course) order(h *holder, now lease.Instant) {
	move := placement.Move{
		Action:   placement.ActionLoad,
		Endpoint: endpoint.Key{Name: "engine", Incarnation: 1},
	}
	if h.prepared == nil {
		if order, err := h.orders.Prepare(now, move, c.engine.checks); err == nil {
			h.prepared = &order
		}
		return
	}
	order := *h.prepared
	h.prepared = nil
	want := c.want()
	if c.engine.version == want || h.orders.Send(now, order) != nil {
		return
	}
	c.sent++
	c.checkHolder(h)
	longest := lease.DefaultSettings().LongestOrder
	h.leaving = &flight{
		at:     c.now + time.Duration(c.random.Int64N(int64(longest))),
		holder: h,
		order:  order,
		want:   want,
		lost:   c.random.IntN(3) == 0,
	}
}

// checkHolder asks the log itself whose lease it is when an order is sent.
func (c *course) checkHolder(h *holder) {
	read(c.reader, c.records, lease.Instant{Monotonic: c.now, Wall: start.Add(c.now)})
	if name, _ := c.reader.Holder(); name != h.name {
		c.faults = append(c.faults, fmt.Sprintf("%v: %s sent under the lease of %s", c.now, h.name, name))
	}
}

func read(machine *lease.Machine, records []stored, now lease.Instant) {
	for offset := int(machine.Offset()); offset < len(records); offset++ {
		machine.Take(record.Offset(offset), records[offset].claim, records[offset].id, now)
	}
}

// land lets the flights that are due take effect.
func (c *course) land() {
	kept := c.flights[:0]
	for _, f := range c.flights {
		if f.at > c.now {
			kept = append(kept, f)
			continue
		}
		c.effect(f)
		if !f.lost {
			f.holder.orders.Answered(f.order)
		}
	}
	c.flights = kept
}

func (c *course) effect(f flight) {
	if c.engine.checks && f.order.Fencing < c.engine.fencing {
		c.engine.refused++
		return
	}
	switch {
	case f.order.Fencing < c.engine.fencing:
		c.faults = append(c.faults, fmt.Sprintf("%v: stale order %s", c.now, f.order.ID))
	case f.want < c.engine.version:
		c.faults = append(c.faults, fmt.Sprintf("%v: wrong order %s", c.now, f.order.ID))
	case f.want == c.engine.version:
		c.faults = append(c.faults, fmt.Sprintf("%v: double order %s", c.now, f.order.ID))
	}
	if c.engine.fencing >= 0 && c.engine.fencing != f.order.Fencing {
		c.engine.takeovers++
	}
	c.engine.version = f.want
	c.engine.fencing = f.order.Fencing
	c.engine.effects++
}

// run lets hosts pause at random for up to longest, at any step but between the
// last look at the lease and the sending, unless anywhere is set.
func (c *course) run(length, longest time.Duration, anywhere bool) {
	for ; c.now < length; c.now += 500 * time.Millisecond {
		if c.random.IntN(80) == 0 {
			c.logDown = !c.logDown && c.random.IntN(3) == 0
		}
		for _, h := range c.holders {
			if c.now >= h.pausedUntil && c.random.IntN(80) == 0 && (anywhere || h.leaving == nil) {
				pause := time.Duration(c.random.Int64N(int64(longest)))
				h.pausedUntil = c.now + pause
				if c.random.IntN(2) == 0 {
					h.slept += pause
				}
			}
			if c.random.IntN(80) == 0 {
				h.cut = !h.cut && c.random.IntN(2) == 0
			}
			c.step(h)
			if !anywhere && h.leaving != nil {
				c.step(h)
			}
		}
		c.land()
	}
}

// TestNoWrongOrderAtNonCheckingEngine is the target of 10,000 seeded runs.
func TestNoWrongOrderAtNonCheckingEngine(t *testing.T) {
	const runs, parts = 10000, 8
	for part := range parts {
		t.Run(fmt.Sprint(part), func(t *testing.T) {
			t.Parallel()
			effects, takeovers := 0, 0
			for seed := part; seed < runs; seed += parts {
				c := newCourse(uint64(seed), false)
				c.run(2*time.Minute, 40*time.Second, false)
				if len(c.faults) > 0 {
					t.Fatalf("seed %d: %v", seed, c.faults)
				}
				effects += c.engine.effects
				takeovers += c.engine.takeovers
			}
			t.Logf("%d orders took effect, %d after one of another term", effects, takeovers)
			if effects < runs/parts || takeovers < runs/parts/100 {
				t.Error("too few orders took effect to show anything")
			}
		})
	}
}

// TestStaleOrderAtCheckingEngine lets hosts be paused also between the last look
// at the lease and the sending, where only the engine can tell.
func TestStaleOrderAtCheckingEngine(t *testing.T) {
	refused := 0
	for seed := range uint64(1000) {
		c := newCourse(seed, true)
		c.run(2*time.Minute, 40*time.Second, true)
		if len(c.faults) > 0 {
			t.Fatalf("seed %d: %v", seed, c.faults)
		}
		refused += c.engine.refused
	}
	if refused == 0 {
		t.Error("no stale order reached the engine, so nothing was shown")
	}
}

// settled returns a course whose first holder may order at a non-checking
// engine.
func settled(t *testing.T) (*course, *holder, placement.Order) {
	t.Helper()
	c := newCourse(1, false)
	h := c.holders[0]
	move := placement.Move{Action: placement.ActionLoad, Endpoint: endpoint.Key{Name: "other"}}
	for ; c.now < time.Minute; c.now += 500 * time.Millisecond {
		c.step(h)
	}
	order, err := h.orders.Prepare(c.instant(h), move, false)
	if err != nil {
		t.Fatal(err)
	}
	return c, h, order
}

func wantLapsed(t *testing.T, err error) {
	t.Helper()
	var lapsed *lease.LapsedError
	if !errors.As(err, &lapsed) {
		t.Errorf("got %v", err)
	}
}

func TestPausedHolderSendsNothing(t *testing.T) {
	for name, asleep := range map[string]bool{"stopped": false, "suspended": true} {
		t.Run(name, func(t *testing.T) {
			c, h, order := settled(t)
			c.now += 30 * time.Second
			if asleep {
				h.slept = 30 * time.Second
			}
			wantLapsed(t, h.orders.Send(c.instant(h), order))
		})
	}
}

func TestLogOutageEndsOrders(t *testing.T) {
	c, h, order := settled(t)
	c.logDown = true
	for range 20 {
		c.now += 500 * time.Millisecond
		c.step(h)
	}
	_, err := h.orders.Prepare(c.instant(h), order.Move, false)
	wantLapsed(t, err)
}

func TestLapsedLeaseIsNotUsedByItsLaterTerm(t *testing.T) {
	c, h, order := settled(t)
	c.now += 30 * time.Second
	for range 100 {
		c.now += 500 * time.Millisecond
		c.step(h)
	}
	if _, err := h.orders.Prepare(c.instant(h), order.Move, false); err != nil {
		t.Fatalf("no new term: %v", err)
	}
	wantLapsed(t, h.orders.Send(c.instant(h), order))
}

func TestSecondHolderHasNoOrders(t *testing.T) {
	c, _, order := settled(t)
	second := c.holders[1]
	c.step(second)
	_, err := second.orders.Prepare(c.instant(second), order.Move, true)
	wantLapsed(t, err)
}

func TestUnansweredOrderIsWaitedFor(t *testing.T) {
	c, h, order := settled(t)
	if err := h.orders.Send(c.instant(h), order); err != nil {
		t.Fatal(err)
	}
	_, err := h.orders.Prepare(c.instant(h), order.Move, false)
	var outstanding *placement.OutstandingError
	if !errors.As(err, &outstanding) {
		t.Errorf("got %v", err)
	}
	h.orders.Answered(order)
	if _, err := h.orders.Prepare(c.instant(h), order.Move, false); err != nil {
		t.Error(err)
	}
}

// TestNoOrderOutsideALease draws pauses and outages. Each order sent is checked
// against the log, and no two hosts may hold the lease then.
func TestNoOrderOutsideALease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCourse(rapid.Uint64().Draw(t, "seed"), rapid.Bool().Draw(t, "checks"))
		longest := time.Duration(rapid.IntRange(1, 90).Draw(t, "longest pause")) * time.Second
		for c.now < 90*time.Second {
			before := c.sent
			c.run(c.now+500*time.Millisecond, longest, false)
			if c.sent > before {
				valid := 0
				for _, h := range c.holders {
					if h.machine.Valid(c.instant(h)) {
						valid++
					}
				}
				if valid > 1 {
					t.Fatalf("%d holders at %v", valid, c.now)
				}
			}
		}
		if len(c.faults) > 0 {
			t.Fatal(c.faults)
		}
	})
}
