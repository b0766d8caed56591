package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/pace"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

const (
	// inZone and acrossZones are the one-way delays.
	inZone      = 200 * time.Microsecond
	acrossZones = 900 * time.Microsecond
	// callerDelay is the one-way delay between callers and hosts.
	callerDelay = time.Millisecond
)

// host is a host with its decisions.
type host struct {
	fleet     *fleet
	index     int
	name      string
	life      int
	scheduler *scheduling.Scheduler
	calls     map[scheduling.CallID]*caller
	wakeAt    time.Time
	fullAt    time.Time
}

func newHost(f *fleet, index int) *host {
	h := &host{
		fleet: f,
		index: index,
		name:  fmt.Sprintf("host-%d", index),
	}
	h.begin()
	return h
}

// begin gives the host new decisions that know the endpoints only.
func (h *host) begin() {
	settings := scheduling.Settings{
		Zone:         fmt.Sprintf("zone-%d", h.index%h.fleet.config.Zones),
		ZoneDelay:    acrossZones,
		Engine:       h.fleet.config.Model,
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.2,
		BudgetSlack:  50,
		Weights:      scheduling.DefaultWeights(),
	}
	if h.fleet.config.AdjustSettings != nil {
		h.fleet.config.AdjustSettings(&settings)
	}
	seed := h.fleet.config.Seed*1000 + uint64(h.index)*10 + uint64(h.life)
	h.scheduler = scheduling.New(settings, rand.New(rand.NewPCG(seed, 3)))
	h.calls = make(map[scheduling.CallID]*caller)
	h.step(scheduling.ConfigurationChanged{Table: h.fleet.table})
	for _, e := range h.fleet.engines {
		h.appear(e.entry)
	}
	for _, s := range h.fleet.servers {
		h.appear(s.entry)
	}
}

func (h *host) appear(entry directory.Entry) {
	h.step(scheduling.EndpointChanged{
		Change: directory.Appeared{Entry: entry},
	})
}

// restart loses all that the host knew. Its calls end.
func (h *host) restart() {
	calls := h.calls
	h.life++
	h.begin()
	for _, c := range calls {
		c.cut()
	}
}

// step feeds an event to the decisions and carries out what follows.
func (h *host) step(event scheduling.Event) {
	// Commands may lead to further events, which need a slice of their own.
	commands := h.scheduler.Step(h.fleet.now, event, nil)
	for _, command := range commands {
		switch command := command.(type) {
		case scheduling.Send:
			if c := h.calls[command.Call]; c != nil {
				c.send(command)
			}
		case scheduling.Refuse:
			if c := h.calls[command.Call]; c != nil {
				delete(h.calls, command.Call)
				c.refused(command)
			}
		case scheduling.DeliverFailure:
			if c := h.calls[command.Call]; c != nil {
				delete(h.calls, command.Call)
				c.end()
			}
		}
	}
	h.planWake()
}

func (h *host) planWake() {
	at, ok := h.scheduler.NextWake()
	if !ok || !h.wakeAt.IsZero() && !h.wakeAt.After(at) && h.wakeAt.After(h.fleet.now) {
		return
	}
	if !at.After(h.fleet.now) {
		at = h.fleet.now.Add(time.Millisecond)
	}
	h.wakeAt = at
	life := h.life
	h.fleet.at(at, func() {
		if life == h.life && h.wakeAt.Equal(at) {
			h.wakeAt = time.Time{}
			h.step(scheduling.Tick{})
		}
	})
}

// share tells the other hosts of the work, as often as hosts do.
func (h *host) share() {
	f := h.fleet
	f.after(shareDelay, h.share)
	full := !f.now.Before(h.fullAt)
	if f.config.ReportsDisabled || !full && !h.scheduler.HasLoadChanges() {
		return
	}
	if full {
		h.fullAt = f.now.Add(fullEvery)
	}
	work, placed := h.scheduler.TakeLoads(f.now, full)
	if f.config.UseRelays {
		if f.random.Float64() >= f.config.ReportLossRate {
			f.after(inZone, func() {
				f.relays[h.index%f.config.Zones].RecordReport(f.now, h.name, full, work, placed)
			})
		}
		return
	}
	for _, other := range f.hosts {
		if other == h || f.random.Float64() < f.config.ReportLossRate {
			continue
		}
		f.after(acrossZones, func() {
			other.step(scheduling.PeerReported{
				Peer:       h.name,
				Complete:   full,
				Loads:      work,
				Placements: placed,
			})
		})
	}
}

// relay tells all hosts of a zone's work, as often as relays do.
func (f *fleet) relay(zone int) {
	f.after(shareDelay, func() { f.relay(zone) })
	sums := f.relays[zone]
	full := f.now.Sub(epoch)%fullEvery < shareDelay
	if !f.config.UseRelays || !full && !sums.HasChanges() {
		return
	}
	work, placed := sums.TakeTotals(f.now, full)
	for _, h := range f.hosts {
		if f.random.Float64() < f.config.ReportLossRate {
			continue
		}
		own := h.index%f.config.Zones == zone
		delay := inZone
		if !own {
			delay += acrossZones
		}
		f.after(delay, func() {
			h.step(scheduling.PeerReported{
				Peer:         fmt.Sprintf("zone-%d", zone),
				Hosts:        sums.Hosts(),
				IncludesSelf: own,
				Complete:     full,
				Loads:        work,
				Placements:   placed,
			})
		})
	}
}

// caller is a caller with one request, which it may try again once.
type caller struct {
	fleet   *fleet
	class   *classState
	arrived time.Time
	till    time.Time
	tries   int
	random  *rand.Rand
	prompt  []scheduling.PromptPart
	events  int
	work    time.Duration

	host    *host
	id      scheduling.CallID
	attempt *attempt
	done    bool
	result  *CallResult
	// firstAt and lastAt are the times of the first and the last event that the
	// caller has, and gap the longest pause.
	firstAt time.Time
	lastAt  time.Time
	gap     time.Duration
}

// try sends the request to a host.
func (c *caller) try() {
	f := c.fleet
	c.tries--
	c.host = f.hosts[c.random.IntN(len(f.hosts))]
	f.ids++
	c.id = scheduling.CallID(f.ids)
	h := c.host
	f.after(callerDelay, func() {
		if c.done {
			return
		}
		h.calls[c.id] = c
		h.step(scheduling.CallArrived{
			Call: scheduling.Call{
				ID:           c.id,
				Route:        c.class.route,
				Service:      c.class.route.PickService(0),
				Priority:     c.class.Priority,
				Deadline:     c.till,
				PromptTokens: c.promptTokens(),
				Prompt:       c.prompt,
			},
		})
	})
	c.watch()
}

// watch makes the caller leave when it has waited too long.
func (c *caller) watch() {
	patience := max(minPatience, patienceAims*c.class.LatencyTarget, patienceGaps*c.class.MaxGap)
	if c.class.Kind != route.Stream {
		patience = c.class.Deadline
	}
	id := c.id
	since := c.fleet.now
	at := since.Add(patience)
	if at.After(c.till) {
		at = c.till
	}
	c.fleet.at(at, func() {
		if c.done || c.id != id {
			return
		}
		if c.lastAt.After(since) && c.fleet.now.Before(c.till) {
			c.watch()
			return
		}
		c.leave()
	})
}

// leave gives the request up.
func (c *caller) leave() {
	if c.done {
		return
	}
	c.done = true
	c.class.counts.Failed++
	c.stopAttempt()
	if c.host.calls[c.id] == c {
		delete(c.host.calls, c.id)
		c.host.step(scheduling.CallCanceled{Call: c.id})
	}
}

func (c *caller) stopAttempt() {
	if c.attempt != nil {
		c.attempt.over = true
		c.attempt.endpoint.abandon(c.attempt)
		c.attempt = nil
	}
}

// cut ends the request with its connection.
func (c *caller) cut() {
	if c.done {
		return
	}
	c.stopAttempt()
	c.end()
}

// end counts a request that got no answer.
func (c *caller) end() {
	if !c.done {
		c.done = true
		c.class.counts.Failed++
	}
}

// refused comes back once if that is in time.
func (c *caller) refused(refusal scheduling.Refuse) {
	if c.done {
		return
	}
	again := c.fleet.now.Add(refusal.RetryAfter)
	if refusal.MayHaveRun || c.tries == 0 || again.After(c.till) {
		c.done = true
		if refusal.MayHaveRun {
			c.class.counts.Failed++
			return
		}
		c.class.counts.Refused++
		return
	}
	c.fleet.at(again, func() {
		if !c.done {
			c.try()
		}
	})
}

// served counts a whole answer.
func (c *caller) served() {
	if c.done {
		return
	}
	c.done = true
	c.result.Served = true
	counts := &c.class.counts
	first := c.firstAt.Sub(c.arrived) + callerDelay
	counts.TimesToFirstEvent = append(counts.TimesToFirstEvent, first)
	counts.LongestGaps = append(counts.LongestGaps, c.gap)
	if first <= c.class.LatencyTarget && (c.class.MaxGap == 0 || c.gap <= c.class.MaxGap) {
		counts.OnTime++
		counts.Value += c.class.Value
		return
	}
	counts.Late++
	counts.Value += c.class.LateValue
}

func (c *caller) promptTokens() int {
	total := 0
	for _, part := range c.prompt {
		total += part.Tokens
	}
	return total
}

// attempt is one attempt at a request.
type attempt struct {
	caller   *caller
	host     *host
	life     int
	endpoint endpoint
	priority int
	// source is the engine to fetch from, or nil.
	source *engine
	// inMemory and toRead are the tokens in the engine's memory, and those of the
	// prompt that are not.
	inMemory   int
	toRead     int
	justRead   bool
	tokens     int
	eventsSent int
	pace       pace.EventGaps
	over       bool
}

func (a *attempt) promptTokens() int { return a.caller.promptTokens() }

// send carries out an order of the decisions.
func (c *caller) send(order scheduling.Send) {
	f := c.fleet
	e := f.byKey[order.Key]
	a := &attempt{
		caller:   c,
		host:     c.host,
		life:     c.host.life,
		endpoint: e,
		priority: order.Priority,
	}
	c.attempt = a
	delay := inZone
	if e.zone() != c.host.index%f.config.Zones {
		delay = acrossZones
	}
	if source, ok := f.byKey[order.FetchFrom].(*engine); ok && order.FetchAddress != "" {
		a.source = source
	}
	f.after(delay, func() {
		switch {
		case a.over:
		case e.reachable() && a.source != nil:
			e.(*engine).fetch(a)
		case e.reachable():
			e.take(a)
		case e.dark():
			f.after(darkTimeout, func() { a.finish(scheduling.Unreachable{}) })
		default:
			a.finish(scheduling.Unreachable{})
		}
	})
	if order.FirstEventTimeout > 0 {
		f.after(order.FirstEventTimeout, func() {
			if !a.over && a.eventsSent == 0 {
				e.abandon(a)
				a.finish(scheduling.Silent{})
			}
		})
	}
}

// event passes an event on to the caller.
func (a *attempt) event() {
	if a.over {
		return
	}
	a.eventsSent++
	first := a.eventsSent == 1
	c := a.caller
	now := a.caller.fleet.now
	if c.firstAt.IsZero() {
		c.firstAt = now
	} else {
		c.gap = max(c.gap, now.Sub(c.lastAt))
	}
	if !first {
		a.pace.Record(now.Sub(c.lastAt))
	}
	c.lastAt = now
	if first && a.current() {
		a.host.step(scheduling.AnswerStarted{Call: c.id})
	}
}

func (a *attempt) current() bool { return a.host.life == a.life }

// complete ends the attempt with a whole answer.
func (a *attempt) complete() {
	if a.over {
		return
	}
	if a.caller.firstAt.IsZero() {
		a.caller.firstAt = a.caller.fleet.now
	}
	a.caller.served()
	a.finish(scheduling.Completed{})
}

// finish tells the host of the attempt's end.
func (a *attempt) finish(outcome scheduling.Outcome) {
	if a.over {
		return
	}
	a.over = true
	c := a.caller
	c.attempt = nil
	if !a.current() || a.host.calls[c.id] != c {
		return
	}
	if _, ok := outcome.(scheduling.Completed); ok {
		delete(a.host.calls, c.id)
	}
	usual, _ := a.pace.LowerQuartile()
	a.host.step(scheduling.AttemptEnded{
		Call:     c.id,
		Outcome:  outcome,
		EventGap: usual,
	})
}
