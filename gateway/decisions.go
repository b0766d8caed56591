package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/quarantine"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
	"cactuswell/io/peer"
	"cactuswell/ring"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// eventCapacity is the capacity of the ring of pending events.
	eventCapacity = 16384
	// postRetryDelay is the delay before an event is posted again when the ring is
	// full.
	postRetryDelay = 5 * time.Millisecond
	// minReportInterval is the minimum time between two reports of changed load to
	// other hosts. It is short compared with the prefill time of a prompt.
	minReportInterval = 25 * time.Millisecond
)

// decisionLoop is the duty that owns a host's state machines, the scheduler and
// the directory of endpoints. It handles one event at a time.
type decisionLoop struct {
	timers     *timer.Service
	trail      *trail.Trail
	settings   scheduling.Settings
	routeTable *route.Table
	events     *ring.Ring[any]
	lastCallID atomic.Uint64
	scheduler  *scheduling.Scheduler
	directory  *directory.Directory
	// replies holds the channel to each open call, and requestIDs its request ID
	// for log lines.
	replies       map[scheduling.CallID]chan<- scheduling.Command
	requestIDs    map[scheduling.CallID]string
	commands      []scheduling.Command
	changes       []directory.Change
	endpointCount atomic.Int64
	withheldCount atomic.Int64
	waitingCount  atomic.Int64
	// silentCount is the number of calls whose attempt is silent and goes on.
	silentCount atomic.Int64
	// rampingCount is the number of endpoints that have just appeared or recovered, and
	// unevenCount that of services whose endpoints differ in speed.
	rampingCount atomic.Int64
	unevenCount  atomic.Int64
	// unsettledCount is the number of versions at which streams may not begin yet.
	unsettledCount atomic.Int64
	// prefixCount is the number of prompt prefixes that engines are assumed to have cached.
	prefixCount atomic.Int64
	hostCount   atomic.Int64
	// quarantineCount is the number of quarantines at the last change of them.
	quarantineCount atomic.Int64
	// keepsQuarantines is set once this host keeps a record of the quarantines in the store,
	// and quarantinesChanged signals that the record may be out of date.
	keepsQuarantines   atomic.Bool
	quarantinesChanged chan struct{}
	// versions follows the versions of endpoints. It is nil if the host has no roster.
	versions *streamRecords
	// records is what the scheduler knows of the records of streams.
	records recordState
	// overdueSince is since when the records are overdue, if they are.
	overdueSince time.Time
	// sendReport reports this host's load to other hosts. It is nil if the host has
	// no mesh.
	sendReport      func(complete bool, report loadReport)
	nextReportAt    time.Time
	nextHeartbeatAt time.Time
}

// loadReport is what a host reports to the others.
type loadReport struct {
	loads      []scheduling.PeerLoad
	placements []scheduling.Placement
	notices    []scheduling.Notice
	demands    []scheduling.Demand
	findings   []quarantine.Finding
	limits     []scheduling.LimitReport
	// callDemands is the demand for the services that have limits.
	callDemands []scheduling.CallDemand
	speeds      []speed.Observation
}

// heartbeatRequested requests an immediate heartbeat to other hosts.
type heartbeatRequested struct{}

// submission submits a call.
type submission struct {
	call    scheduling.Call
	replies chan<- scheduling.Command
}

// entriesListed, entryObserved and entryDeleted carry changes of the endpoints'
// entries. entrySourceUnavailable and entrySourceRecovered report the state of the
// store that the entries come from.
type (
	entriesListed struct {
		entries []directory.Listed
		ids     map[string]bool
	}
	entryObserved          struct{ entry directory.Entry }
	entryDeleted           struct{ id string }
	entrySourceUnavailable struct{}
	entrySourceRecovered   struct{}
	entrySourceRewound     struct{}
)

// inspection requests that the duty runs a function between two events, and closes
// done when the function has returned.
type inspection struct {
	inspect func()
	done    chan struct{}
}

func newDecisionLoop(settings scheduling.Settings, timers *timer.Service, lines *trail.Trail) *decisionLoop {
	d := &decisionLoop{
		timers:    timers,
		trail:     lines,
		events:    ring.New[any](eventCapacity),
		settings:  settings,
		directory: directory.New(directory.Settings{}),

		quarantinesChanged: make(chan struct{}, 1),
	}
	d.resetScheduler()
	d.hostCount.Store(int64(d.scheduler.Hosts()))
	return d
}

// resetScheduler replaces the scheduler by one without state, and drops all calls.
func (d *decisionLoop) resetScheduler() {
	d.scheduler = scheduling.New(d.settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	d.replies = make(map[scheduling.CallID]chan<- scheduling.Command)
	d.requestIDs = make(map[scheduling.CallID]string)
	d.records = recordState{}
}

// handleRestart restores the duty after a failure. It refuses all open calls, and
// replaces the scheduler by a new one with the current configuration and
// endpoints.
func (d *decisionLoop) handleRestart() {
	for id, replies := range d.replies {
		d.trail.Failure("callLost").Text("request", d.requestIDs[id]).End()
		select {
		case replies <- scheduling.Refuse{
			Call:       id,
			Reason:     ReasonDutyRestarted,
			MayHaveRun: true,
		}:
		default:
			// The call has not received its previous command yet. Its time limit ends it.
		}
	}
	d.resetScheduler()
	if d.routeTable != nil {
		d.stepScheduler(scheduling.ConfigurationChanged{Table: d.routeTable})
	}
	for _, entry := range d.directory.Entries() {
		d.stepScheduler(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry}})
	}
}

// ReasonDutyRestarted is the reason with which calls are refused that were open
// when the decision loop failed and was restarted.
const ReasonDutyRestarted scheduling.Reason = "hostDutyRestarted"

// Submit implements opaque.Scheduler.
func (d *decisionLoop) Submit(call scheduling.Call, replies chan<- scheduling.Command) bool {
	return d.events.TryPush(submission{
		call:    call,
		replies: replies,
	})
}

// Post implements opaque.Scheduler. It blocks while the ring is full, since an event
// of a call must not be dropped.
func (d *decisionLoop) Post(event scheduling.Event) {
	d.post(event)
}

func (d *decisionLoop) post(event any) {
	for !d.events.TryPush(event) {
		wait := d.timers.After(postRetryDelay)
		<-wait.C()
	}
}

// NextID implements opaque.Scheduler.
func (d *decisionLoop) NextID() scheduling.CallID {
	return scheduling.CallID(d.lastCallID.Add(1))
}

// RandomFloat implements opaque.Scheduler.
func (d *decisionLoop) RandomFloat() float64 { return rand.Float64() }

// run handles events until ctx is done.
func (d *decisionLoop) run(ctx context.Context) error {
	wake := d.timers.After(time.Hour)
	defer wake.Stop()
	// After a failure, events may be pending whose ready signal was already
	// received.
	d.handlePending()
	for {
		if wakeAt, ok := d.nextWake(); ok {
			wake.Reset(wakeAt)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.events.Ready():
			d.handlePending()
		case <-wake.C():
			d.changes = d.directory.Tick(d.timers.Now(), d.changes[:0])
			d.applyChanges()
			d.applyRecordState()
			d.stepScheduler(scheduling.Tick{})
		}
		d.reportToPeers()
		d.endpointCount.Store(int64(d.directory.Len()))
		d.withheldCount.Store(int64(d.directory.WithheldCount()))
		d.waitingCount.Store(int64(d.scheduler.QueuedCalls()))
		d.silentCount.Store(int64(d.scheduler.SilentCalls()))
		d.rampingCount.Store(int64(d.scheduler.RampingEndpoints()))
		d.prefixCount.Store(int64(d.scheduler.CachedPrefixes()))
		d.unsettledCount.Store(int64(d.scheduler.UnsettledVersions(d.timers.Now())))
		d.unevenCount.Store(int64(d.scheduler.UnevenServices()))
		d.logBudgetShare()
	}
}

// logBudgetShare logs a change of the number of hosts that share the retry budget.
func (d *decisionLoop) logBudgetShare() {
	hosts := int64(d.scheduler.Hosts())
	before := d.hostCount.Swap(hosts)
	if before == hosts {
		return
	}
	d.trail.Notice("budgetShared").Int("hosts", hosts).Int("before", before).
		Float("slack", d.scheduler.SlackShare()).Merge("")
}

// handlePending handles all pending events.
func (d *decisionLoop) handlePending() {
	for event, ok := d.events.Pop(); ok; event, ok = d.events.Pop() {
		d.handleEvent(event)
	}
}

// reportToPeers reports this host's load to other hosts if a heartbeat is due, or if
// the load changed and the minimum report interval has passed. A heartbeat carries
// the complete load.
func (d *decisionLoop) reportToPeers() {
	now := d.timers.Now()
	if d.sendReport == nil {
		return
	}
	heartbeatDue := !now.Before(d.nextHeartbeatAt)
	if !heartbeatDue && (!d.scheduler.HasLoadChanges() || now.Before(d.nextReportAt)) {
		return
	}
	notices := d.scheduler.TakeNotices(now, heartbeatDue)
	loads, placements := d.scheduler.TakeLoads(now, heartbeatDue)
	report := loadReport{
		loads:      loads,
		placements: placements,
		notices:    notices,
		findings:   d.scheduler.TakeFindings(now, heartbeatDue),
		speeds:     d.scheduler.TakeSpeeds(now),
	}
	report.limits, report.callDemands = d.scheduler.TakeLimits(now, heartbeatDue)
	if heartbeatDue {
		report.demands = d.scheduler.TakeDemands()
	}
	d.sendReport(heartbeatDue, report)
	d.nextReportAt = now.Add(minReportInterval)
	if heartbeatDue {
		d.nextHeartbeatAt = now.Add(peer.HeartbeatInterval)
	}
}

// nextWake returns the earliest time at which a timer of the state machines or a
// report is due, and false if none is.
func (d *decisionLoop) nextWake() (time.Time, bool) {
	wakeAt, ok := d.scheduler.NextWake()
	if directoryWakeAt, hasWake := d.directory.NextWake(); hasWake {
		wakeAt, ok = earlier(wakeAt, ok, directoryWakeAt)
	}
	if d.sendReport == nil {
		return wakeAt, ok
	}
	wakeAt, ok = earlier(wakeAt, ok, d.nextHeartbeatAt)
	if d.scheduler.HasLoadChanges() {
		wakeAt, ok = earlier(wakeAt, ok, d.nextReportAt)
	}
	return wakeAt, ok
}

// earlier returns the earlier of two times, of which the first is set if ok is true.
func earlier(first time.Time, ok bool, second time.Time) (time.Time, bool) {
	if !ok || second.Before(first) {
		return second, true
	}
	return first, true
}

func (d *decisionLoop) handleEvent(event any) {
	now := d.timers.Now()
	d.changes = d.changes[:0]
	d.applyRecordState()
	switch event := event.(type) {
	case submission:
		d.replies[event.call.ID] = event.replies
		d.requestIDs[event.call.ID] = event.call.RequestID
		d.stepScheduler(scheduling.CallArrived{Call: event.call})
	case scheduling.CallCanceled:
		d.stepScheduler(event)
		d.forgetCall(event.Call)
	case scheduling.AttemptEnded:
		d.handleAttemptEnded(event)
	case scheduling.ConfigurationChanged:
		d.routeTable = event.Table
		if d.versions != nil {
			d.versions.setRoutes(event.Table)
		}
		d.stepScheduler(event)
	case scheduling.LeavingAnswered:
		d.changes = d.directory.SetLeaving(event.Key.ID, event.Key.Incarnation, directory.ReasonAnswered, d.changes)
		d.stepScheduler(event)
	case scheduling.PeerReported:
		d.applyNotices(event.Notices)
		d.stepScheduler(event)
	case scheduling.Event:
		d.stepScheduler(event)
	case entriesListed:
		for _, entry := range event.entries {
			d.changes = d.directory.ObserveListed(now, entry, d.changes)
		}
		d.changes = d.directory.Reconcile(now, event.ids, d.changes)
	case entryObserved:
		d.changes = d.directory.Observe(now, event.entry, d.changes)
	case entryDeleted:
		d.changes = d.directory.Expire(now, event.id, d.changes)
	case entrySourceUnavailable:
		d.directory.SetSourceUnavailable()
	case entrySourceRecovered:
		d.directory.SetSourceAvailable(now)
	case entrySourceRewound:
		d.directory.Rewind(now)
	case heartbeatRequested:
		d.nextHeartbeatAt = now
	case inspection:
		defer close(event.done)
		event.inspect()
	}
	d.applyChanges()
}

// applyRecordState tells the scheduler of changes of the records of streams.
func (d *decisionLoop) applyRecordState() {
	if d.versions == nil {
		return
	}
	now := d.timers.Now()
	before := d.records
	d.records = d.versions.state(now)
	if d.records.basesVersion == before.basesVersion && d.records.isOverdue == before.isOverdue {
		return
	}
	d.stepScheduler(scheduling.RecordsChanged{
		Bases:     d.records.bases,
		IsOverdue: d.records.isOverdue,
	})
	switch {
	case d.records.isOverdue && !before.isOverdue:
		d.overdueSince = now
		d.trail.Failure("streamRecordsOverdue").Merge("")
	case before.isOverdue && !d.records.isOverdue:
		d.trail.Notice("streamRecordsCurrent").Millis("after", now.Sub(d.overdueSince)).Merge("")
	}
}

// applyNotices records in the directory which endpoints have told another host that they
// are leaving.
func (d *decisionLoop) applyNotices(notices []scheduling.Notice) {
	for _, notice := range notices {
		if !notice.Leaving {
			continue
		}
		if key, ok := d.scheduler.KeyOf(notice.Endpoint); ok {
			d.changes = d.directory.SetLeaving(key.ID, key.Incarnation, directory.ReasonHeard, d.changes)
		}
	}
}

// handleAttemptEnded removes a call if its attempt completed or was abandoned, as
// no command for the call follows then.
func (d *decisionLoop) handleAttemptEnded(event scheduling.AttemptEnded) {
	_, completed := event.Outcome.(scheduling.Completed)
	_, abandoned := event.Outcome.(scheduling.Abandoned)
	d.stepScheduler(event)
	if completed || abandoned {
		d.forgetCall(event.Call)
	}
}

func (d *decisionLoop) forgetCall(id scheduling.CallID) {
	delete(d.replies, id)
	delete(d.requestIDs, id)
}

// applyChanges logs the changes of the endpoints and passes them to the scheduler.
func (d *decisionLoop) applyChanges() {
	if len(d.changes) > 0 && d.versions != nil {
		d.versions.observe(d.timers.Now(), d.directory.Entries())
	}
	for _, change := range d.changes {
		d.logChange(change)
		d.stepScheduler(scheduling.EndpointChanged{Change: change})
	}
	d.changes = d.changes[:0]
}

func (d *decisionLoop) logChange(change directory.Change) {
	switch change := change.(type) {
	case directory.Appeared:
		d.logEndpoint("endpointAppeared", change.Entry, "")
	case directory.Updated:
		d.logEndpoint("endpointUpdated", change.Entry, "")
	case directory.Leaving:
		d.logEndpoint("endpointLeaving", change.Entry, change.Reason)
	case directory.Removed:
		d.logEndpoint("endpointGone", change.Entry, change.Reason)
	case directory.Withheld:
		d.logEndpoint("endpointWithheld", change.Entry, "")
	}
}

func (d *decisionLoop) logEndpoint(event string, entry directory.Entry, reason string) {
	line := d.trail.Notice(event)
	if entry.Spot {
		line.Bool("spot", true).Millis("leaves", entry.LeavesIn)
	}
	line.Text("endpoint", entry.ID).Int("born", entry.Born).Text("service", entry.Service).
		Text("address", entry.Address).Text("zone", entry.Zone).Text("version", entry.Version).Int("slots", int64(entry.Slots)).
		Text("reason", reason).Merge(entry.ID)
}

// stepScheduler passes one event to the scheduler and delivers the resulting
// commands.
func (d *decisionLoop) stepScheduler(event scheduling.Event) {
	d.commands = d.scheduler.Step(d.timers.Now(), event, d.commands[:0])
	for _, command := range d.commands {
		switch command := command.(type) {
		case scheduling.Send:
			d.sendReply(command.Call, command, false)
		case scheduling.GiveUp:
			d.sendReply(command.Call, command, false)
		case scheduling.Refuse:
			d.sendReply(command.Call, command, true)
		case scheduling.DeliverFailure:
			d.sendReply(command.Call, command, true)
		case scheduling.EndpointHealthChanged:
			d.logHealthChange(command)
		case scheduling.EndpointLimitChanged:
			d.logLimit(command)
		case scheduling.EndpointRampChanged:
			d.logRamp(command)
		case scheduling.QuarantineChanged:
			d.logQuarantine(command.Change)
		}
	}
}

// sendReply delivers a command to its call, and removes the call if the command is
// its last one. The channel always has room, as a call receives each command
// before the next one can follow, but for those to give up attempts that have gone on, which are few. Commands for a removed call are dropped.
func (d *decisionLoop) sendReply(id scheduling.CallID, command scheduling.Command, last bool) {
	replies, ok := d.replies[id]
	if !ok {
		return
	}
	select {
	case replies <- command:
	default:
		d.trail.Failure("replyLost").Text("request", d.requestIDs[id]).End()
	}
	if last {
		d.forgetCall(id)
	}
}

func (d *decisionLoop) logLimit(change scheduling.EndpointLimitChanged) {
	event := "endpointUnlimited"
	switch {
	case change.Limit.IsNamed:
		event = "endpointLimited"
	case change.Limit.IsBrittle:
		event = "endpointBrittle"
	}
	d.trail.Notice(event).Text("endpoint", change.Key.ID).Int("born", change.Key.Incarnation).Text("service", change.Service).
		Float("perSecond", change.Limit.PerSecond).Int("maxDeclines", int64(change.Limit.MaxDeclines)).Int("sentLately", int64(change.SentLately)).Merge(change.Key.ID)
}

func (d *decisionLoop) logRamp(change scheduling.EndpointRampChanged) {
	event := "endpointRampEnded"
	if change.Begun {
		event = "endpointRampBegan"
	}
	d.trail.Notice(event).Text("endpoint", change.Key.ID).Int("born", change.Key.Incarnation).Text("service", change.Service).
		Text("reason", string(change.Reason)).Float("window", change.Window).Millis("after", change.After).Merge(change.Key.ID)
}

// signalQuarantines signals that the record of the quarantines may be out of date.
func (d *decisionLoop) signalQuarantines() {
	select {
	case d.quarantinesChanged <- struct{}{}:
	default:
	}
}

func (d *decisionLoop) logQuarantine(change quarantine.Change) {
	d.quarantineCount.Store(int64(len(d.scheduler.Quarantines(d.timers.Now()))))
	switch change := change.(type) {
	case quarantine.Imposed:
		if change.Crashes > 0 {
			d.keepsQuarantines.Store(true)
			d.signalQuarantines()
		}
		var line *trail.Line
		if change.Request != 0 {
			line = d.trail.Failure("requestQuarantined").Text("requestHash", quarantine.FormatHash(change.Request))
		} else {
			line = d.trail.Failure("promptsQuarantined").Text("promptParts", strings.Join(quarantine.FormatParts(change.Parts), ","))
		}
		line.Int("crashes", int64(change.Crashes)).Millis("for", change.For).End()
	case quarantine.Lifted:
		d.signalQuarantines()
		line := d.trail.Notice("quarantineLifted")
		if change.Request != 0 {
			line.Text("requestHash", quarantine.FormatHash(change.Request)).End()
			return
		}
		line.Text("promptParts", strings.Join(quarantine.FormatParts(change.Parts), ",")).
			Text("remaining", strings.Join(quarantine.FormatParts(change.Remaining), ",")).End()
	}
}

func (d *decisionLoop) logHealthChange(change scheduling.EndpointHealthChanged) {
	event := "endpointTakenBack"
	if change.Ejected {
		event = "endpointEjected"
	}
	d.trail.Notice(event).Text("endpoint", change.Key.ID).Int("born", change.Key.Incarnation).
		Text("service", change.Service).Text("reason", string(change.Reason)).
		Int("failures", int64(change.Failures)).Millis("for", change.EjectedFor).Merge(change.Key.ID)
}
