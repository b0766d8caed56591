package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/io/peer"
	"cactuswell/ring"
	"cactuswell/timer"
	"cactuswell/trail"
)

const (
	// eventCapacity bounds the events that wait for the duty.
	eventCapacity = 16384
	// postRetry is how long a call waits before it tries again to report to a
	// duty whose ring is full.
	postRetry = 5 * time.Millisecond
	// shareEvery is the least time between two messages to other hosts on work
	// that changed: short against the time in which an engine reads a prompt.
	shareEvery = 25 * time.Millisecond
)

// decisions is the duty that owns the state machines of a host.
type decisions struct {
	timers    *timer.Service
	trail     *trail.Trail
	settings  scheduling.Settings
	table     *route.Table
	events    *ring.Ring[any]
	ids       atomic.Uint64
	scheduler *scheduling.Scheduler
	directory *directory.Directory
	replies   map[scheduling.CallID]chan<- scheduling.Command
	names     map[scheduling.CallID]string
	commands  []scheduling.Command
	changes   []directory.Change
	endpoints atomic.Int64
	waiting   atomic.Int64
	hosts     atomic.Int64
	// share tells other hosts of this one's work; it is nil if there are none.
	share       func(full bool, work []scheduling.PeerLoad, placed []scheduling.Placement)
	shareAt     time.Time
	heartbeatAt time.Time
}

// heartbeatDue asks for a message to other hosts at once.
type heartbeatDue struct{}

// submission brings a call.
type submission struct {
	call    scheduling.Call
	replies chan<- scheduling.Command
}

// entriesListed, entryObserved and entryLapsed bring the endpoints' entries;
// entriesLost and entriesBack tell of their source.
type (
	entriesListed struct {
		entries []directory.Entry
		ids     map[string]bool
	}
	entryObserved struct{ entry directory.Entry }
	entryLapsed   struct{ id string }
	entriesLost   struct{}
	entriesBack   struct{}
)

// inspection asks the duty to run a function between two events.
type inspection struct {
	look func()
	done chan struct{}
}

func newDecisions(settings scheduling.Settings, timers *timer.Service, lines *trail.Trail) *decisions {
	d := &decisions{
		timers:    timers,
		trail:     lines,
		events:    ring.New[any](eventCapacity),
		settings:  settings,
		directory: directory.New(directory.Settings{}),
	}
	d.begin()
	d.hosts.Store(int64(d.scheduler.Hosts()))
	return d
}

// begin gives the duty a scheduler that knows nothing.
func (d *decisions) begin() {
	d.scheduler = scheduling.New(d.settings, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	d.replies = make(map[scheduling.CallID]chan<- scheduling.Command)
	d.names = make(map[scheduling.CallID]string)
}

// restarted follows a failure of the duty: the calls that it knew are answered,
// and the scheduler begins anew with the configuration and the endpoints.
func (d *decisions) restarted() {
	for id, replies := range d.replies {
		d.trail.Failure("callLost").Text("request", d.names[id]).End()
		select {
		case replies <- scheduling.Refuse{
			Call:       id,
			Reason:     ReasonDutyRestarted,
			MayHaveRun: true,
		}:
		default:
			// The call has an order to carry out, and then its time limit.
		}
	}
	d.begin()
	if d.table != nil {
		d.step(scheduling.ConfigurationChanged{Table: d.table})
	}
	for _, entry := range d.directory.Entries() {
		d.step(scheduling.EndpointChanged{Change: directory.Appeared{Entry: entry}})
	}
}

// ReasonDutyRestarted is the reason of calls that were lost with the state of the
// duty that decides.
const ReasonDutyRestarted scheduling.Reason = "hostDutyRestarted"

// Submit implements opaque.Decider.
func (d *decisions) Submit(call scheduling.Call, replies chan<- scheduling.Command) bool {
	return d.events.TryPush(submission{
		call:    call,
		replies: replies,
	})
}

// Post implements opaque.Decider. It waits while the ring is full, since what
// happened to a call must not be lost.
func (d *decisions) Post(event scheduling.Event) {
	d.post(event)
}

func (d *decisions) post(event any) {
	for !d.events.TryPush(event) {
		wait := d.timers.After(postRetry)
		<-wait.C()
	}
}

// NextID implements opaque.Decider.
func (d *decisions) NextID() scheduling.CallID {
	return scheduling.CallID(d.ids.Add(1))
}

// RandomFloat implements opaque.Decider.
func (d *decisions) RandomFloat() float64 { return rand.Float64() }

// run handles events until ctx ends.
func (d *decisions) run(ctx context.Context) error {
	wake := d.timers.After(time.Hour)
	defer wake.Stop()
	// After a failure, events may wait whose signal was taken.
	d.drain()
	for {
		if at, ok := d.nextWake(); ok {
			wake.Reset(at)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-d.events.Ready():
			d.drain()
		case <-wake.C():
			d.changes = d.directory.Tick(d.timers.Now(), d.changes[:0])
			d.applyChanges()
			d.step(scheduling.Tick{})
		}
		d.tellOthers()
		d.endpoints.Store(int64(d.directory.Len()))
		d.waiting.Store(int64(d.scheduler.QueuedCalls()))
		d.tellBudget()
	}
}

// tellBudget tells when the number of hosts that share the retry budget changed.
func (d *decisions) tellBudget() {
	hosts := int64(d.scheduler.Hosts())
	before := d.hosts.Swap(hosts)
	if before == hosts {
		return
	}
	d.trail.Notice("budgetShared").Int("hosts", hosts).Int("before", before).
		Float("slack", d.scheduler.SlackShare()).Merge("")
}

// drain handles all events that wait.
func (d *decisions) drain() {
	for event, ok := d.events.Pop(); ok; event, ok = d.events.Pop() {
		d.handle(event)
	}
}

// tellOthers tells other hosts of this one's work, if that is due.
func (d *decisions) tellOthers() {
	now := d.timers.Now()
	if d.share == nil {
		return
	}
	full := !now.Before(d.heartbeatAt)
	if !full && (!d.scheduler.HasLoadChanges() || now.Before(d.shareAt)) {
		return
	}
	work, placed := d.scheduler.TakeLoads(now, full)
	d.share(full, work, placed)
	d.shareAt = now.Add(shareEvery)
	if full {
		d.heartbeatAt = now.Add(peer.HeartbeatInterval)
	}
}

func (d *decisions) nextWake() (time.Time, bool) {
	at, ok := d.scheduler.NextWake()
	if other, has := d.directory.NextWake(); has {
		at, ok = earlier(at, ok, other)
	}
	if d.share == nil {
		return at, ok
	}
	at, ok = earlier(at, ok, d.heartbeatAt)
	if d.scheduler.HasLoadChanges() {
		at, ok = earlier(at, ok, d.shareAt)
	}
	return at, ok
}

func earlier(at time.Time, ok bool, other time.Time) (time.Time, bool) {
	if !ok || other.Before(at) {
		return other, true
	}
	return at, true
}

func (d *decisions) handle(event any) {
	now := d.timers.Now()
	d.changes = d.changes[:0]
	switch event := event.(type) {
	case submission:
		d.replies[event.call.ID] = event.replies
		d.names[event.call.ID] = event.call.RequestID
		d.step(scheduling.CallArrived{Call: event.call})
	case scheduling.CallCanceled:
		d.step(event)
		d.forget(event.Call)
	case scheduling.AttemptEnded:
		d.attemptEnded(event)
	case scheduling.ConfigurationChanged:
		d.table = event.Table
		d.step(event)
	case scheduling.Event:
		d.step(event)
	case entriesListed:
		for _, entry := range event.entries {
			d.changes = d.directory.Observe(now, entry, d.changes)
		}
		d.changes = d.directory.Reconcile(now, event.ids, d.changes)
	case entryObserved:
		d.changes = d.directory.Observe(now, event.entry, d.changes)
	case entryLapsed:
		d.changes = d.directory.Expire(now, event.id, d.changes)
	case entriesLost:
		d.directory.SetSourceUnavailable()
	case entriesBack:
		d.directory.SetSourceAvailable(now)
	case heartbeatDue:
		d.heartbeatAt = now
	case inspection:
		defer close(event.done)
		event.look()
	}
	d.applyChanges()
}

// attemptEnded forgets a call whose attempt was its end.
func (d *decisions) attemptEnded(event scheduling.AttemptEnded) {
	_, completed := event.Outcome.(scheduling.Completed)
	_, abandoned := event.Outcome.(scheduling.Abandoned)
	d.step(event)
	if completed || abandoned {
		d.forget(event.Call)
	}
}

func (d *decisions) forget(id scheduling.CallID) {
	delete(d.replies, id)
	delete(d.names, id)
}

// applyChanges tells the scheduler and the log what became of the endpoints.
func (d *decisions) applyChanges() {
	for _, change := range d.changes {
		d.tellChange(change)
		d.step(scheduling.EndpointChanged{Change: change})
	}
	d.changes = d.changes[:0]
}

func (d *decisions) tellChange(change directory.Change) {
	switch change := change.(type) {
	case directory.Appeared:
		d.tellEndpoint("endpointAppeared", change.Entry, "")
	case directory.Updated:
		d.tellEndpoint("endpointUpdated", change.Entry, "")
	case directory.Leaving:
		d.tellEndpoint("endpointLeaving", change.Entry, change.Reason)
	case directory.Removed:
		d.tellEndpoint("endpointGone", change.Entry, change.Reason)
	}
}

func (d *decisions) tellEndpoint(event string, entry directory.Entry, reason string) {
	d.trail.Notice(event).Text("endpoint", entry.ID).Int("born", entry.Born).Text("service", entry.Service).
		Text("address", entry.Address).Text("zone", entry.Zone).Int("slots", int64(entry.Slots)).
		Text("reason", reason).Merge(entry.ID)
}

// step feeds one event to the scheduler and hands out what follows from it.
func (d *decisions) step(event scheduling.Event) {
	d.commands = d.scheduler.Step(d.timers.Now(), event, d.commands[:0])
	for _, command := range d.commands {
		switch command := command.(type) {
		case scheduling.Send:
			d.reply(command.Call, command, false)
		case scheduling.Refuse:
			d.reply(command.Call, command, true)
		case scheduling.DeliverFailure:
			d.reply(command.Call, command, true)
		case scheduling.EndpointHealthChanged:
			d.tellJudgement(command)
		}
	}
}

// reply hands a command to its call. The call takes each before the next can
// follow, so that there is always room; a call that has ended takes none.
func (d *decisions) reply(id scheduling.CallID, command scheduling.Command, last bool) {
	replies, ok := d.replies[id]
	if !ok {
		return
	}
	select {
	case replies <- command:
	default:
		d.trail.Failure("replyLost").Text("request", d.names[id]).End()
	}
	if last {
		d.forget(id)
	}
}

func (d *decisions) tellJudgement(judged scheduling.EndpointHealthChanged) {
	event := "endpointTakenBack"
	if judged.Ejected {
		event = "endpointEjected"
	}
	d.trail.Notice(event).Text("endpoint", judged.Key.ID).Int("born", judged.Key.Incarnation).
		Text("service", judged.Service).Text("reason", string(judged.Reason)).
		Int("failures", int64(judged.Failures)).Millis("for", judged.EjectedFor).Merge(judged.Key.ID)
}
