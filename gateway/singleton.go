package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/lease"
	"cactuswell/core/usage"
	"cactuswell/io/control"
	"cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
	"cactuswell/io/peer"
	"cactuswell/settings"
)

const (
	// dutyTopic is the topic of the lease and of what its holder keeps, and the others are the
	// keys of its records.
	dutyTopic      = "keyed.duty"
	leaseKey       = "lease"
	endedKey       = "ended"
	usageKeyPrefix = "usage/"
	// holderTick and standbyTick are the times between two steps of a host that holds the lease,
	// and of another one. Standby must cost next to nothing.
	holderTick  = 100 * time.Millisecond
	standbyTick = 250 * time.Millisecond
	// maxStoreTimeout bounds a call to the store, and storeTimeoutsPerTerm the part of a lease that
	// it may take: a renewal can be tried twice while the time for a call to the control API is
	// left.
	maxStoreTimeout      = 700 * time.Millisecond
	storeTimeoutsPerTerm = 4
	// maxControlTimeout bounds a call to the control API, and controlTimeoutsPerTerm the part of a
	// lease that it may take. A call is made only while the lease runs for longer.
	maxControlTimeout      = time.Second
	controlTimeoutsPerTerm = 3
	// autoscaleInterval is the time between two steps of the autoscaler.
	autoscaleInterval = 500 * time.Millisecond
	// maxControlFailures is the number of failed calls in a row, each within
	// controlFailureMemory of the one before, after which the lease is given up so that another
	// host can try.
	maxControlFailures   = 4
	controlFailureMemory = 5 * time.Second
	// maxHeardDuties bounds the announcements that wait to be handled.
	maxHeardDuties = 16
)

// singletonDuties runs the lease on the singleton duties, and performs them while this host holds it.
type singletonDuties struct {
	gateway   *Gateway
	control   *guardedControl
	settings  usage.Settings
	startedAt time.Time
	// storeTimeout and callTimeout bound a call to the store and one to the control API.
	storeTimeout time.Duration
	callTimeout  time.Duration
	hasUsage     bool
	autoscaler   *autoscaler
	// wake is signaled when an announcement is to be handled at once.
	wake chan struct{}

	mu      sync.Mutex
	machine *lease.Machine
	heard   []lease.Heard
	// known is the last announcement of another holder, and knownFixed the last window that some
	// holder has fixed.
	known      lease.Heard
	isKnown    bool
	knownFixed int64
	counter    *usage.Counter
	// acknowledged is the version of the counts that the holder with the token acknowledgedBy has.
	acknowledged   uint64
	acknowledgedBy int64
	// pushDrift is the difference of the clocks at the last message.
	pushDrift time.Duration
	holder    *holderState

	// The fields below are used by run only.
	lastBook        *usage.Book
	listed          dutyRecords
	nextScale       time.Time
	nextUnsent      time.Time
	controlFailures int
	lastFailureAt   time.Time
}

// dutyRecords is what the store holds besides the lease.
type dutyRecords struct {
	era int64
	// leaseEra is the era in which the lease record was meant to be written.
	leaseEra int64
	note     int64
	usage    usage.ByWindow
	ended    []usage.Report
}

// buildSingletonDuties creates the runner of the lease if the fleet has singleton duties.
func (g *Gateway) buildSingletonDuties() {
	hasUsage, hasAutoscale := g.Settings.HasDuty(settings.DutyUsage), g.Settings.HasDuty(settings.DutyAutoscale)
	if g.Control == nil || g.Roster == nil || !hasUsage && !hasAutoscale {
		return
	}
	d := &singletonDuties{
		gateway:   g,
		startedAt: time.Now(),
		settings: usage.Settings{
			Window: g.Settings.UsageWindow,
			Delay:  g.Settings.UsageDelay,
		},
		storeTimeout: min(maxStoreTimeout, g.Settings.LeaseTime/storeTimeoutsPerTerm),
		callTimeout:  min(maxControlTimeout, g.Settings.LeaseTime/controlTimeoutsPerTerm),
		hasUsage:     hasUsage,
		wake:         make(chan struct{}, 1),
	}
	d.counter = usage.NewCounter(d.settings)
	d.control = &guardedControl{
		duties: d,
		client: g.Control,
	}
	g.Control = d.control
	g.singleton = d
	if hasAutoscale {
		d.autoscaler = newAutoscaler(g)
	}
}

// executionRecorder returns the recorder of requests that began to run, or nil.
func (g *Gateway) executionRecorder() opaque.ExecutionRecorder {
	if g.singleton == nil || !g.singleton.hasUsage {
		return nil
	}
	return g.singleton
}

// RecordExecution implements opaque.ExecutionRecorder.
func (d *singletonDuties) RecordExecution(team string) {
	mono := time.Since(d.startedAt)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counter.Record(mono, team)
}

// newMachine returns the state of the lease. The address is known once the listeners are open.
func (d *singletonDuties) newMachine() *lease.Machine {
	address := ""
	if d.gateway.peerListener != nil {
		address = d.gateway.PeerAddress()
	}
	return lease.New(lease.Settings{
		Host:        d.gateway.Settings.Name,
		Address:     address,
		Incarnation: d.gateway.incarnation,
		Term:        d.gateway.Settings.LeaseTime,
		Nonce:       rand.Uint64(),
	})
}

// instant returns the current time on both clocks.
func (d *singletonDuties) instant() lease.Instant {
	now := time.Now()
	return lease.Instant{
		Mono: now.Sub(d.startedAt),
		Wall: time.Duration(now.UnixNano()),
	}
}

// hearDuty returns the handler of announcements, or nil.
func (g *Gateway) hearDuty() func(peer.Duty) {
	if g.singleton == nil {
		return nil
	}
	return g.singleton.hear
}

// hear takes over the announcement of another host.
func (d *singletonDuties) hear(duty peer.Duty) {
	if duty.Host == d.gateway.Settings.Name && duty.Address == d.gateway.PeerAddress() {
		return
	}
	heard := lease.Heard{
		Host:     duty.Host,
		Address:  duty.Address,
		Token:    duty.Token,
		Era:      duty.Era,
		Offset:   duty.Offset,
		Released: duty.Released,
		Age:      duty.Age,
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.knownFixed = max(d.knownFixed, duty.Fixed)
	if d.isKnown && (heard.Token < d.known.Token || heard.Token == d.known.Token && d.known.Released) {
		return
	}
	isUrgent := !d.isKnown || heard.Token != d.known.Token || heard.Released
	d.known, d.isKnown = heard, true
	if len(d.heard) == maxHeardDuties {
		d.heard = d.heard[1:]
	}
	d.heard = append(d.heard, heard)
	if isUrgent {
		d.signal()
	}
}

func (d *singletonDuties) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run claims and renews the lease until ctx is done. It releases it when the shutdown starts.
func (d *singletonDuties) run(ctx context.Context) error {
	d.mu.Lock()
	d.machine = d.newMachine()
	d.holder = nil
	d.mu.Unlock()
	stopping := (<-chan struct{})(d.gateway.stopping)
	for {
		tick := d.gateway.timers.After(d.tickInterval())
		select {
		case <-ctx.Done():
			tick.Stop()
			return nil
		case <-stopping:
			stopping = nil
			d.writeUnsent(ctx, true)
			d.handle(ctx, lease.Stop{})
		case <-d.wake:
		case <-tick.C():
		}
		tick.Stop()
		d.step(ctx)
	}
}

func (d *singletonDuties) tickInterval() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Holds() {
		return holderTick
	}
	return standbyTick
}

// step does what is due.
func (d *singletonDuties) step(ctx context.Context) {
	d.mu.Lock()
	heard := d.heard
	d.heard = nil
	d.mu.Unlock()
	for _, h := range heard {
		d.handle(ctx, h)
	}
	d.handle(ctx, lease.Tick{View: d.view()})
	d.announce()
	if d.hasUsage {
		d.fixUsage(ctx)
		// If the store loses the record of a window, only the announcement keeps a successor from
		// reporting it with other counts.
		d.announce()
		d.reportUsage(ctx)
		// A slow report must not delay the renewal by the time of the orders as well.
		d.handle(ctx, lease.Tick{View: d.view()})
	}
	d.scale(ctx)
}

// view returns the host's place in the fleet.
func (d *singletonDuties) view() lease.View {
	if d.gateway.mesh == nil {
		return lease.View{IsComplete: true}
	}
	position := d.gateway.mesh.Position()
	return lease.View{
		IsComplete: position.IsComplete,
		Rank:       position.Rank,
		Others:     position.Others,
	}
}

// handle passes an event to the state of the lease and executes the commands.
func (d *singletonDuties) handle(ctx context.Context, event lease.Event) {
	for events := []lease.Event{event}; len(events) > 0; {
		d.mu.Lock()
		commands := d.machine.Handle(d.instant(), events[0])
		d.mu.Unlock()
		events = events[1:]
		for _, command := range commands {
			if next := d.execute(ctx, command); next != nil {
				events = append(events, next)
			}
		}
	}
}

// execute executes a command. It returns the result of a call to the store.
func (d *singletonDuties) execute(ctx context.Context, command lease.Command) lease.Event {
	lines, meter := d.gateway.trail, d.gateway.meter
	switch command := command.(type) {
	case lease.Read:
		return d.readLease(ctx)
	case lease.Append:
		return d.appendLease(ctx, command)
	case lease.Acquired:
		d.beginTerm()
		meter.addToCounter("cactuswell_lease_acquired_total", 1)
		lines.Notice("leaseAcquired").Int("token", command.Token).End()
	case lease.Renewed:
		meter.addToCounter("cactuswell_lease_renewals_total", 1)
	case lease.RenewalFailed:
		meter.addToCounter("cactuswell_lease_renewal_failures_total", 1)
	case lease.Lost:
		d.endTerm()
		meter.addToCounter(fmt.Sprintf("cactuswell_lease_lost_total{cause=%q}", command.Cause), 1)
		lines.Failure("leaseLost").Int("token", command.Token).Text("cause", command.Cause).End()
	case lease.Released:
		d.endTerm()
		meter.addToCounter(fmt.Sprintf("cactuswell_lease_released_total{cause=%q}", command.Cause), 1)
		lines.Notice("leaseReleased").Int("token", command.Token).Text("cause", command.Cause).Bool("acknowledged", command.Known).End()
	case lease.Written:
		d.recordWritten(command.Extras)
	}
	return nil
}

// readLease reads the topic.
func (d *singletonDuties) readLease(ctx context.Context) lease.Event {
	ctx, cancel := context.WithTimeout(ctx, d.storeTimeout)
	defer cancel()
	done, listed, err := d.listDuties(ctx)
	if err != nil {
		d.gateway.trail.Failure("leaseNotRead").Err(err).Merge("")
		return lease.ReadDone{Failed: true}
	}
	d.listed = listed
	if found := done.Lease; found != nil && !found.Record.Released && found.Record.Era == done.Era {
		d.learnHolder(found.Record)
	}
	return done
}

// learnHolder takes over the holder that the store names, as its announcements may not arrive.
func (d *singletonDuties) learnHolder(record lease.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if record.Host == d.gateway.Settings.Name || d.isKnown && record.Token <= d.known.Token {
		return
	}
	d.known = lease.Heard{
		Host:    record.Host,
		Address: record.Address,
		Token:   record.Token,
	}
	d.isKnown = true
}

// listDuties lists the records of the topic.
func (d *singletonDuties) listDuties(ctx context.Context) (done lease.ReadDone, listed dutyRecords, err error) {
	listed.usage = make(usage.ByWindow)
	for after, records := "", 0; ; {
		startedAt := time.Now()
		page, err := d.gateway.Roster.ListNewest(ctx, dutyTopic, after)
		d.gateway.recordStoreCall(time.Since(startedAt), err)
		if err != nil {
			return done, listed, trace.Wrap(err)
		}
		if after != "" && (page.Era != done.Era || page.EndOffset != done.End) {
			return done, listed, trace.Wrap(&ListingChangedError{Topic: dutyTopic})
		}
		done.Era, done.End = page.Era, page.EndOffset
		for _, record := range page.Records {
			if err := d.addDutyRecord(&done, &listed, record); err != nil {
				d.gateway.trail.Failure("dutyRecordUnreadable").Text("key", record.Key[:min(len(record.Key), maxLoggedKey)]).Err(err).Merge(record.Key)
			}
		}
		records += len(page.Records)
		if !page.More {
			listed.era = page.Era
			return done, listed, nil
		}
		if !page.Advances(after) {
			return done, listed, trace.Wrap(&keyedlog.EndlessListingError{
				Topic:   dutyTopic,
				Records: records,
			})
		}
		after = page.NextAfter
	}
}

// ListingChangedError reports a topic that has changed between two pages of its listing.
type ListingChangedError struct {
	Topic string
}

// Error names the topic.
func (e *ListingChangedError) Error() string {
	return "topic " + e.Topic + " has changed while it was listed"
}

func (d *singletonDuties) addDutyRecord(done *lease.ReadDone, listed *dutyRecords, record keyedlog.Record) error {
	switch {
	case record.Key == leaseKey:
		found := &lease.Found{Offset: record.Offset}
		// A record that cannot be decoded belongs to an unknown holder, whose lease may run.
		done.Lease = found
		err := json.Unmarshal(record.Value, &found.Record)
		listed.note = found.Record.Note
		listed.leaseEra = found.Record.Era
		return trace.Wrap(err)
	case record.Key == endedKey:
		return trace.Wrap(json.Unmarshal(record.Value, &listed.ended))
	case strings.HasPrefix(record.Key, usageKeyPrefix):
		window, err := strconv.ParseInt(record.Key[len(usageKeyPrefix):], 10, 64)
		if err != nil {
			return trace.Wrap(err)
		}
		counts := make(usage.Counts)
		if err := json.Unmarshal(record.Value, &counts); err != nil {
			return trace.Wrap(err)
		}
		listed.usage[window] = counts
	}
	return nil
}

// appendLease appends the lease record and what goes with it.
func (d *singletonDuties) appendLease(ctx context.Context, command lease.Append) lease.Event {
	value, err := json.Marshal(command.Record)
	if err != nil {
		return lease.AppendDone{}
	}
	records := []keyedlog.Record{{
		Key:   leaseKey,
		Value: value,
	}}
	for _, extra := range command.Extras {
		records = append(records, keyedlog.Record{
			Key:   extra.Key,
			Value: extra.Value,
		})
	}
	ctx, cancel := context.WithTimeout(ctx, d.storeTimeout)
	defer cancel()
	startedAt := time.Now()
	appended, err := d.gateway.Roster.AppendAt(ctx, dutyTopic, command.At, records)
	d.gateway.recordStoreCall(time.Since(startedAt), err)
	var condition *keyedlog.ConditionError
	switch {
	case errors.As(err, &condition):
		return lease.AppendDone{
			Outcome: lease.Rejected,
			End:     condition.End,
			Era:     condition.Era,
		}
	case err != nil:
		d.gateway.trail.Failure("leaseNotWritten").Int("token", command.Record.Token).Err(err).Merge("")
		return lease.AppendDone{}
	}
	return lease.AppendDone{
		Outcome: lease.Executed,
		End:     appended.End,
		Era:     appended.Era,
	}
}

// announce reports to the other hosts who holds the lease, if this host does.
func (d *singletonDuties) announce() {
	if d.gateway.mesh == nil {
		return
	}
	d.mu.Lock()
	heard, ok := d.machine.Announcement(d.instant())
	duty := peer.Duty{
		Host:     heard.Host,
		Address:  heard.Address,
		Token:    heard.Token,
		Era:      heard.Era,
		Offset:   heard.Offset,
		Released: heard.Released,
		Fixed:    d.knownFixed,
	}
	d.mu.Unlock()
	if !ok {
		d.gateway.mesh.SetDuty(nil)
		return
	}
	d.gateway.mesh.SetDuty(&duty)
}

// fence returns the fence of a call to the control API. It reports false if the host must not make one.
func (d *singletonDuties) fence() (control.Fence, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	token, ok := d.machine.Fence(d.instant(), d.callTimeout)
	return control.Fence{
		Holder: d.gateway.Settings.Name,
		Token:  token,
	}, ok
}

// scale lets the autoscaler make its orders.
func (d *singletonDuties) scale(ctx context.Context) {
	now := time.Now()
	if d.autoscaler == nil || now.Before(d.nextScale) {
		return
	}
	fence, ok := d.fence()
	if !ok {
		return
	}
	d.nextScale = now.Add(autoscaleInterval)
	stepCtx, cancel := context.WithTimeout(ctx, d.callTimeout)
	err := d.autoscaler.step(stepCtx, fence, now)
	cancel()
	if err == nil {
		return
	}
	d.gateway.trail.Failure("autoscaleFailed").Int("token", fence.Token).Err(err).Merge("")
	d.handleControlError(ctx, err, false)
}

// handleControlError handles a failed call to the control API. Fresh is set if a rejected token must
// not be used again.
func (d *singletonDuties) handleControlError(ctx context.Context, err error, fresh bool) {
	var conflict *control.ConflictError
	var rate *control.RateError
	var noLease *NoLeaseError
	switch {
	case errors.As(err, &conflict):
		d.handle(ctx, lease.Conflict{Fresh: fresh})
		return
	case errors.As(err, &rate), errors.As(err, &noLease), d.gateway.isStopping():
		return
	}
	now := time.Now()
	if now.Sub(d.lastFailureAt) > controlFailureMemory {
		d.controlFailures = 0
	}
	d.lastFailureAt = now
	d.controlFailures++
	d.mu.Lock()
	isOld := d.machine.TermAge(d.instant()) >= d.gateway.Settings.LeaseTime
	d.mu.Unlock()
	if d.controlFailures >= maxControlFailures && isOld && d.view().Others > 0 {
		d.controlFailures = 0
		d.writeUnsent(ctx, true)
		d.handle(ctx, lease.GiveUp{Cause: lease.CauseControl})
	}
}

// NoLeaseError reports a call to the control API that was not made, as the lease does not run for
// long enough.
type NoLeaseError struct {
	Token int64
}

// Error names the token.
func (e *NoLeaseError) Error() string {
	return fmt.Sprintf("the lease with token %d does not run for the time of a call", e.Token)
}

// guardedControl makes calls to the control API one at a time, and checks the lease before each.
type guardedControl struct {
	duties *singletonDuties
	client control.Client

	mu         sync.Mutex
	nextCallAt time.Time
}

var _ control.Client = (*guardedControl)(nil)

// ReportUsage implements control.Client.
func (c *guardedControl) ReportUsage(ctx context.Context, fence control.Fence, window int64, counts map[string]int64) error {
	return c.call(ctx, "usage", fence, func(ctx context.Context) error {
		return c.client.ReportUsage(ctx, fence, window, counts)
	})
}

// OrderEndpoints implements control.Client.
func (c *guardedControl) OrderEndpoints(ctx context.Context, fence control.Fence, order control.Order) error {
	return c.call(ctx, "scale", fence, func(ctx context.Context) error {
		return c.client.OrderEndpoints(ctx, fence, order)
	})
}

// call makes a call if the lease runs for longer than it may take. The error is a *NoLeaseError if it
// was not made.
func (c *guardedControl) call(ctx context.Context, name string, fence control.Fence, send func(context.Context) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wait := time.Until(c.nextCallAt); wait > 0 {
		c.duties.gateway.waitFor(ctx, wait)
	}
	if rate := c.duties.gateway.Settings.ControlRate; rate > 0 {
		c.nextCallAt = time.Now().Add(time.Duration(float64(time.Second) / rate))
	}
	ctx, cancel := context.WithTimeout(ctx, c.duties.callTimeout)
	defer cancel()
	current, ok := c.duties.fence()
	if !ok || current.Token != fence.Token || ctx.Err() != nil {
		return trace.Wrap(&NoLeaseError{Token: fence.Token})
	}
	err := send(ctx)
	if err == nil {
		c.duties.controlFailures = 0
	}
	c.duties.gateway.meter.addToCounter(fmt.Sprintf("cactuswell_control_calls_total{call=%q,result=%q}", name, controlResult(err)), 1)
	return err
}

func controlResult(err error) string {
	var conflict *control.ConflictError
	var rate *control.RateError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.As(err, &rate):
		return "rate"
	}
	return "failed"
}

// DutiesDump is a host's knowledge of the singleton duties.
type DutiesDump struct {
	// Holds reports whether the host holds the lease, with Token, for RemainingMs.
	Holds       bool    `json:"holds"`
	Token       int64   `json:"token,omitempty"`
	RemainingMs float64 `json:"remainingMs,omitempty"`
	// Holder is the holder that was announced last, with HolderToken.
	Holder      string `json:"holder,omitempty"`
	HolderToken int64  `json:"holderToken,omitempty"`
	// Rank is the number of live hosts that claim before this one.
	Rank int `json:"rank"`
	// FixedThrough is the last window whose usage is known to be fixed, and ReportedThrough, of a
	// holder, the last one up to which all are reported or missed.
	FixedThrough    int64 `json:"fixedThrough,omitempty"`
	ReportedThrough int64 `json:"reportedThrough,omitempty"`
	// ClockOffsetMs is the true time minus this host's wall clock.
	ClockOffsetMs float64 `json:"clockOffsetMs"`
}

func (d *singletonDuties) dump() *DutiesDump {
	rank := d.view().Rank
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := &DutiesDump{
		Rank:         rank,
		Holder:       d.known.Host,
		HolderToken:  d.known.Token,
		FixedThrough: d.knownFixed,
	}
	now := d.instant()
	if trueTime, ok := d.counter.TrueTime(now.Mono); ok {
		dump.ClockOffsetMs = float64(trueTime-now.Wall) / float64(time.Millisecond)
	}
	if d.machine == nil || !d.machine.Holds() {
		return dump
	}
	dump.Holds = true
	dump.Token = d.machine.Token()
	dump.RemainingMs = float64(d.machine.Remaining(now)) / float64(time.Millisecond)
	dump.Holder, dump.HolderToken = d.gateway.Settings.Name, dump.Token
	if d.holder != nil {
		dump.ReportedThrough = d.holder.book.Through()
	}
	return dump
}

// addGauges registers the metrics of the lease that are read at each scrape.
func (d *singletonDuties) addGauges() {
	d.gateway.meter.addGauge("cactuswell_lease_held", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.machine != nil && d.machine.Remaining(d.instant()) > 0 {
			return 1
		}
		return 0
	})
}
