package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/pace"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

const (
	// inZoneDelay and crossZoneDelay are the one-way network delays within a zone and
	// between zones.
	inZoneDelay    = 200 * time.Microsecond
	crossZoneDelay = 900 * time.Microsecond
	// callerDelay is the one-way delay between callers and hosts.
	callerDelay = time.Millisecond
)

// host is a host with its scheduler.
type host struct {
	fleet       *fleet
	index       int
	name        string
	incarnation int
	scheduler   *scheduling.Scheduler
	calls       map[scheduling.CallID]*caller
	// wakeAt is the time of the scheduled wake-up, or zero if there is none.
	wakeAt               time.Time
	nextCompleteReportAt time.Time
}

func newHost(f *fleet, index int) *host {
	h := &host{
		fleet: f,
		index: index,
		name:  fmt.Sprintf("host-%d", index),
	}
	h.startScheduler()
	return h
}

// startScheduler creates a new scheduler that knows only the configuration and the
// endpoints.
func (h *host) startScheduler() {
	settings := scheduling.Settings{
		Zone:         fmt.Sprintf("zone-%d", h.index%h.fleet.config.Zones),
		ZoneDelay:    crossZoneDelay,
		Engine:       h.fleet.config.Model,
		BudgetWindow: 10 * time.Second,
		BudgetRatio:  0.2,
		BudgetSlack:  50,
		Weights:      scheduling.DefaultWeights(),
	}
	if h.fleet.config.HostModel != nil {
		settings.Engine = *h.fleet.config.HostModel
	}
	if h.fleet.config.AdjustSettings != nil {
		h.fleet.config.AdjustSettings(&settings)
	}
	seed := h.fleet.config.Seed*1000 + uint64(h.index)*10 + uint64(h.incarnation)
	h.scheduler = scheduling.New(settings, rand.New(rand.NewPCG(seed, 3)))
	h.calls = make(map[scheduling.CallID]*caller)
	h.handleEvent(scheduling.ConfigurationChanged{Table: h.fleet.routes})
	for _, e := range h.fleet.engines {
		h.addEndpoint(e.entry)
	}
	for _, s := range h.fleet.servers {
		h.addEndpoint(s.entry)
	}
}

func (h *host) addEndpoint(entry directory.Entry) {
	h.handleEvent(scheduling.EndpointChanged{
		Change: directory.Appeared{Entry: entry},
	})
}

// restart replaces the scheduler, so that the host loses its state, and fails all open
// calls.
func (h *host) restart() {
	calls := h.calls
	h.incarnation++
	h.startScheduler()
	for _, c := range calls {
		c.disconnect()
	}
}

// handleEvent passes an event to the scheduler and executes the resulting commands.
func (h *host) handleEvent(event scheduling.Event) {
	// Executing a command may call handleEvent again, so the slice is not reused.
	commands := h.scheduler.Step(h.fleet.now, event, nil)
	for _, command := range commands {
		switch command := command.(type) {
		case scheduling.Send:
			if c := h.calls[command.Call]; c != nil {
				c.startAttempt(command)
			}
		case scheduling.GiveUp:
			if c := h.calls[command.Call]; c != nil && c.attempt != nil {
				c.attempt.giveUp()
			}
		case scheduling.Refuse:
			if c := h.calls[command.Call]; c != nil {
				delete(h.calls, command.Call)
				c.handleRefusal(command)
			}
		case scheduling.QuarantineChanged:
			if imposed, ok := command.Change.(quarantine.Imposed); ok && imposed.Crashes > 0 {
				h.fleet.quarantines++
			}
		case scheduling.DeliverFailure:
			if c := h.calls[command.Call]; c != nil {
				delete(h.calls, command.Call)
				c.recordFailed()
			}
		}
	}
	h.scheduleWake()
}

func (h *host) scheduleWake() {
	at, ok := h.scheduler.NextWake()
	if !ok || !h.wakeAt.IsZero() && !h.wakeAt.After(at) && h.wakeAt.After(h.fleet.now) {
		return
	}
	if !at.After(h.fleet.now) {
		at = h.fleet.now.Add(time.Millisecond)
	}
	h.wakeAt = at
	incarnation := h.incarnation
	h.fleet.schedule(at, func() {
		if incarnation == h.incarnation && h.wakeAt.Equal(at) {
			h.wakeAt = time.Time{}
			h.handleEvent(scheduling.Tick{})
		}
	})
}

// reportLoad sends a load report to the other hosts or to the relay of the zone, and
// schedules the next one. A report lists the complete load or the changes only; it is
// skipped if nothing changed.
func (h *host) reportLoad() {
	f := h.fleet
	f.scheduleAfter(reportInterval, h.reportLoad)
	complete := !f.now.Before(h.nextCompleteReportAt)
	if f.config.ReportsDisabled || !complete && !h.scheduler.HasLoadChanges() {
		return
	}
	if complete {
		h.nextCompleteReportAt = f.now.Add(completeReportInterval)
	}
	load, placements := h.scheduler.TakeLoads(f.now, complete)
	findings := h.scheduler.TakeFindings(f.now, complete)
	limits, callDemands := h.scheduler.TakeLimits(f.now, complete)
	speeds := h.scheduler.TakeSpeeds(f.now)
	var demands []scheduling.Demand
	if complete {
		demands = h.scheduler.TakeDemands()
	}
	if f.config.UseRelays {
		if f.random.Float64() >= f.config.ReportLossRate {
			f.scheduleAfter(inZoneDelay, func() {
				relay := f.relays[h.index%f.config.Zones]
				relay.RecordReport(f.now, h.name, complete, load, placements)
				relay.RecordDemands(h.name, demands)
				relay.RecordFindings(f.now, findings)
				relay.RecordLimits(f.now, h.name, complete, limits, callDemands)
				relay.RecordSpeeds(f.now, speeds)
			})
		}
		return
	}
	for _, other := range f.hosts {
		if other == h || f.random.Float64() < f.config.ReportLossRate {
			continue
		}
		f.scheduleAfter(crossZoneDelay, func() {
			other.handleEvent(scheduling.PeerReported{
				Peer:        h.name,
				Complete:    complete,
				Loads:       load,
				Placements:  placements,
				Findings:    findings,
				Limits:      limits,
				CallDemands: callDemands,
				Speeds:      speeds,
				Demands:     demands,
			})
		})
	}
}

// reportZoneLoad sends the load of a zone's hosts from its relay to all hosts, and
// schedules the next report.
func (f *fleet) reportZoneLoad(zone int) {
	f.scheduleAfter(reportInterval, func() { f.reportZoneLoad(zone) })
	relay := f.relays[zone]
	complete := f.now.Sub(epoch)%completeReportInterval < reportInterval
	if !f.config.UseRelays || !complete && !relay.HasChanges() {
		return
	}
	load, placements := relay.TakeTotals(complete)
	findings := relay.TakeFindings(f.now, complete)
	limits, callDemands := relay.TakeLimits(f.now, complete)
	speeds := relay.TakeSpeeds(f.now)
	var demands []scheduling.Demand
	if complete {
		demands = relay.Demands()
	}
	for _, h := range f.hosts {
		if f.random.Float64() < f.config.ReportLossRate {
			continue
		}
		sameZone := h.index%f.config.Zones == zone
		delay := inZoneDelay
		if !sameZone {
			// The relay of the host's zone forwards the report with its next one.
			arrival := f.now.Add(crossZoneDelay).Sub(epoch)
			delay += crossZoneDelay + reportInterval - arrival%reportInterval
		}
		f.scheduleAfter(delay, func() {
			h.handleEvent(scheduling.PeerReported{
				Peer:         fmt.Sprintf("zone-%d", zone),
				Hosts:        relay.Hosts(),
				IncludesSelf: sameZone,
				Complete:     complete,
				Loads:        load,
				Placements:   placements,
				Findings:     findings,
				Limits:       limits,
				CallDemands:  callDemands,
				Speeds:       speeds,
				Demands:      demands,
			})
		})
	}
}

// caller is a caller with one request, which it submits again at most once.
type caller struct {
	fleet           *fleet
	class           *classState
	team            *route.Team
	arrived         time.Time
	deadline        time.Time
	submissionsLeft int
	random          *rand.Rand
	prompt          []scheduling.PromptPart
	eventCount      int
	serviceTime     time.Duration
	// request identifies what is the same in repeated requests.
	request uint64
	// crashesEndpoints reports whether the call crashes endpoints. Such calls are not part
	// of the result.
	crashesEndpoints bool

	host    *host
	id      scheduling.CallID
	attempt *attempt
	done    bool
	result  *CallResult
	// firstEventAt and lastEventAt are the times of the first and the last event that
	// the caller received, and longestGap is the longest gap between two events.
	firstEventAt time.Time
	lastEventAt  time.Time
	longestGap   time.Duration
}

// submit sends the request to a host that is drawn at random.
func (c *caller) submit() {
	f := c.fleet
	c.submissionsLeft--
	c.host = f.hosts[c.random.IntN(len(f.hosts))]
	f.lastID++
	c.id = scheduling.CallID(f.lastID)
	h := c.host
	f.scheduleAfter(callerDelay, func() {
		if c.done {
			return
		}
		h.calls[c.id] = c
		h.handleEvent(scheduling.CallArrived{
			Call: scheduling.Call{
				ID:           c.id,
				Route:        c.class.route,
				Service:      c.class.route.PickService(0),
				RequestID:    fmt.Sprint(c.id),
				RequestHash:  c.request,
				Priority:     f.routes.Priority(c.class.route, c.team),
				Deadline:     c.deadline,
				PromptTokens: c.promptTokens(),
				Prompt:       c.prompt,
			},
		})
	})
	c.scheduleTimeout()
}

// scheduleTimeout cancels the request if no event arrives within the timeout, or at
// the deadline of the request.
func (c *caller) scheduleTimeout() {
	timeout := max(minEventTimeout, eventTimeoutTargets*c.class.TargetLatency, eventTimeoutGaps*c.class.MaxGap)
	if c.class.Kind != route.Stream {
		timeout = c.class.Deadline
	}
	id := c.id
	startedAt := c.fleet.now
	timeoutAt := startedAt.Add(timeout)
	if timeoutAt.After(c.deadline) {
		timeoutAt = c.deadline
	}
	c.fleet.schedule(timeoutAt, func() {
		if c.done || c.id != id {
			return
		}
		if c.lastEventAt.After(startedAt) && c.fleet.now.Before(c.deadline) {
			c.scheduleTimeout()
			return
		}
		c.cancel()
	})
}

// cancel withdraws the request and counts it as failed.
func (c *caller) cancel() {
	if c.done {
		return
	}
	c.done = true
	c.count(&c.class.result.Failed)
	c.cancelAttempt()
	if c.host.calls[c.id] == c {
		delete(c.host.calls, c.id)
		c.host.handleEvent(scheduling.CallCanceled{Call: c.id})
	}
}

func (c *caller) cancelAttempt() {
	if c.attempt != nil {
		c.attempt.finished = true
		c.attempt.endpoint.cancel(c.attempt)
		c.attempt = nil
	}
}

// disconnect fails the request because the connection to the host is lost.
func (c *caller) disconnect() {
	if c.done {
		return
	}
	c.cancelAttempt()
	c.recordFailed()
}

// recordFailed counts the request as failed unless it has finished already.
func (c *caller) recordFailed() {
	if !c.done {
		c.done = true
		c.count(&c.class.result.Failed)
	}
}

// count adds the request to a figure of the result.
func (c *caller) count(figure *int) {
	if !c.crashesEndpoints {
		*figure++
	}
}

// handleRefusal submits the request again after the given delay. It gives up if the
// request may have run, was submitted twice, or would be submitted after its deadline.
func (c *caller) handleRefusal(refusal scheduling.Refuse) {
	if c.done {
		return
	}
	retryAt := c.fleet.now.Add(refusal.RetryAfter)
	if refusal.MayHaveRun || c.submissionsLeft == 0 || retryAt.After(c.deadline) {
		c.done = true
		if refusal.MayHaveRun {
			c.count(&c.class.result.Failed)
			return
		}
		c.count(&c.class.result.Refused)
		return
	}
	c.fleet.schedule(retryAt, func() {
		if !c.done {
			c.submit()
		}
	})
}

// recordServed counts a complete answer.
func (c *caller) recordServed() {
	if c.done {
		return
	}
	c.done = true
	c.result.Served = true
	result := &c.class.result
	timeToFirstEvent := c.firstEventAt.Sub(c.arrived) + callerDelay
	result.TimesToFirstEvent = append(result.TimesToFirstEvent, timeToFirstEvent)
	result.LongestGaps = append(result.LongestGaps, c.longestGap)
	if timeToFirstEvent <= c.class.TargetLatency && (c.class.MaxGap == 0 || c.longestGap <= c.class.MaxGap) {
		result.OnTime++
		result.Value += c.class.Value
		return
	}
	result.Late++
	result.Value += c.class.LateValue
}

// isMoreUrgentThan reports whether the caller's team, or among teams with the same
// priority its class, is more urgent than that of an attempt.
func (c *caller) isMoreUrgentThan(a *attempt) bool {
	if c.team != nil && c.team.Priority != a.caller.team.Priority {
		return c.team.Priority < a.caller.team.Priority
	}
	return c.class.Priority < a.caller.class.Priority
}

func (c *caller) promptTokens() int {
	total := 0
	for _, part := range c.prompt {
		total += part.Tokens
	}
	return total
}

// attempt is one attempt to run a request at an endpoint.
type attempt struct {
	caller          *caller
	host            *host
	hostIncarnation int
	endpoint        endpoint
	priority        int
	// fetchSource is the engine to fetch the cached prefix from, or nil.
	fetchSource *engine
	// contextTokens is the number of tokens of the request in the engine's memory, and
	// prefillRemaining the number of prompt tokens that still have to be prefilled.
	contextTokens    int
	prefillRemaining int
	prefillDone      bool
	// hasBegun is set once the header of the answer was sent and nothing else.
	hasBegun        bool
	generatedTokens int
	eventsSent      int
	pace            pace.EventGaps
	// isSilent is set while the host knows that nothing has come.
	isSilent bool
	finished bool
}

func (a *attempt) promptTokens() int { return a.caller.promptTokens() }

// startAttempt executes a Send command of the scheduler.
func (c *caller) startAttempt(command scheduling.Send) {
	f := c.fleet
	e := f.endpoints[command.Key]
	a := &attempt{
		caller:          c,
		host:            c.host,
		hostIncarnation: c.host.incarnation,
		endpoint:        e,
		priority:        command.Priority,
	}
	c.attempt = a
	delay := inZoneDelay
	if e.zoneIndex() != c.host.index%f.config.Zones {
		delay = crossZoneDelay
	}
	if source, ok := f.endpoints[command.FetchFrom].(*engine); ok && command.FetchAddress != "" {
		a.fetchSource = source
	}
	f.scheduleAfter(delay, func() {
		switch {
		case a.finished:
		case e.isReachable() && a.fetchSource != nil:
			e.(*engine).fetchPrefix(a)
		case e.isReachable():
			e.accept(a)
		case e.isUnresponsive():
			f.scheduleAfter(unresponsiveTimeout, func() { a.finish(scheduling.Unreachable{}) })
		default:
			a.finish(scheduling.Unreachable{})
		}
	})
	if command.FirstEventTimeout > 0 {
		f.scheduleAfter(command.FirstEventTimeout, a.reportSilence)
	}
}

// reportSilence tells the host that nothing of the answer has come.
func (a *attempt) reportSilence() {
	if a.finished || a.eventsSent > 0 || !a.isFromCurrentIncarnation() {
		return
	}
	a.isSilent = true
	a.host.handleEvent(scheduling.AttemptSilent{
		Call:    a.caller.id,
		Silence: 1,
		For:     a.caller.fleet.now.Sub(a.caller.arrived),
	})
}

// giveUp ends an attempt that is silent.
func (a *attempt) giveUp() {
	if a.isSilent {
		a.endpoint.cancel(a)
		a.finish(scheduling.Silent{})
	}
}

// deliverEvent forwards an event to the caller.
func (a *attempt) deliverEvent() {
	if a.finished {
		return
	}
	a.eventsSent++
	isFirst := a.eventsSent == 1
	c := a.caller
	now := a.caller.fleet.now
	if c.firstEventAt.IsZero() {
		c.firstEventAt = now
	} else {
		c.longestGap = max(c.longestGap, now.Sub(c.lastEventAt))
	}
	if !isFirst {
		a.pace.Record(now.Sub(c.lastEventAt))
	}
	c.lastEventAt = now
	if !a.isFromCurrentIncarnation() {
		return
	}
	if a.isSilent {
		a.isSilent = false
		a.host.handleEvent(scheduling.AttemptProgressed{Call: c.id})
	}
	switch a.eventsSent {
	case 1:
		a.host.handleEvent(scheduling.AnswerStarted{
			Call:  c.id,
			Load:  a.endpoint.load(),
			Limit: a.endpoint.tell(a),
		})
	case 2:
		a.host.handleEvent(scheduling.AnswerContinued{Call: c.id})
	}
}

// isFromCurrentIncarnation reports whether the host has not restarted since it started
// the attempt.
func (a *attempt) isFromCurrentIncarnation() bool { return a.host.incarnation == a.hostIncarnation }

// complete finishes the attempt with a complete answer.
func (a *attempt) complete() {
	if a.finished {
		return
	}
	if a.caller.firstEventAt.IsZero() {
		a.caller.firstEventAt = a.caller.fleet.now
	}
	a.caller.recordServed()
	a.finish(scheduling.Completed{})
}

// finish ends the attempt and reports its outcome to the host.
func (a *attempt) finish(outcome scheduling.Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	c := a.caller
	c.attempt = nil
	if !a.isFromCurrentIncarnation() || a.host.calls[c.id] != c {
		return
	}
	if _, ok := outcome.(scheduling.Completed); ok {
		delete(a.host.calls, c.id)
	}
	gap, _ := a.pace.LowerQuartile()
	event := scheduling.AttemptEnded{
		Call:     c.id,
		Outcome:  outcome,
		EventGap: gap,
	}
	switch outcome.(type) {
	case scheduling.Completed, scheduling.Declined:
		event.HasAnswer = true
		event.Limit = a.endpoint.tell(a)
		event.Load = a.endpoint.load()
	}
	a.host.handleEvent(event)
}
