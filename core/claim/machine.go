package claim

import (
	"slices"
	"strconv"
	"time"

	"cactuswell/core/record"
)

// Machine is the state of a host's keyed calls. It is a state machine: events
// go in with their time and commands come out. It is not safe for concurrent
// use.
type Machine struct {
	issuer    Issuer
	settings  Settings
	table     *Table
	issued    *issuedKeys
	outbox    *outbox
	position  record.Offset
	marks     fifo[positionMark]
	calls     map[CallID]*call
	byKey     map[KeyRef][]CallID
	pending   map[string]CallID
	proposed  map[KeyRef]string
	deadlines dueQueue[CallID]
	carries   dueQueue[carried]
	serial    uint64
	leaving   bool
	caughtUp  bool
	counts    Counts
	commands  []Command
}

// Counts counts what the machine decided and met.
type Counts struct {
	Granted   uint64 `json:"granted"`
	Replayed  uint64 `json:"replayed"`
	Unknown   uint64 `json:"unknown"`
	Forwarded uint64 `json:"forwarded"`
	Refused   uint64 `json:"refused"`
	Mismatch  uint64 `json:"mismatch"`
	Invalid   uint64 `json:"invalid"`
	Issued    uint64 `json:"issued"`
	// ClaimsLost lost to an earlier claim of the same key.
	ClaimsLost uint64 `json:"claimsLost"`
	// Appends were begun; AppendsRefused and AppendsUncertain are those that
	// the log refused or gave no clear answer to.
	Appends          uint64 `json:"appends"`
	AppendsRefused   uint64 `json:"appendsRefused"`
	AppendsUncertain uint64 `json:"appendsUncertain"`
	// OutcomesDropped were not written as too many records were waiting.
	OutcomesDropped uint64 `json:"outcomesDropped"`
	// ClaimsRenewed claims had no outcome and were written again before the log would
	// forget them.
	ClaimsRenewed uint64 `json:"carried"`
	// Truncations counts reads that fell behind what the log keeps.
	Truncations uint64 `json:"truncations"`
	// Rewinds counts how often the log turned out to have lost records.
	Rewinds uint64 `json:"rewinds"`
}

type positionMark struct {
	at       time.Time
	position record.Offset
}

// call is a call that waits for its decision.
type call struct {
	id          CallID
	ref         KeyRef
	fingerprint Fingerprint
	deadline    time.Time
	issued      IssuedKey
	isIssued    bool
	// waits says that the call is among those that wait for its key.
	waits bool
	// claim is the id of the call's own claim, or empty while it has none.
	claim     string
	claimedAt time.Time
}

// New returns a machine that has read nothing. The issuer must be unlike that
// of any other machine, now or before.
func New(issuer Issuer, settings Settings) *Machine {
	return &Machine{
		issuer:   issuer,
		settings: settings,
		table:    NewTable(settings.MaxKeys, settings.MaxTotalBodyBytes),
		issued:   newIssuedKeys(issuer, settings),
		outbox:   newOutbox(settings),
		calls:    make(map[CallID]*call),
		byKey:    make(map[KeyRef][]CallID),
		pending:  make(map[string]CallID),
		proposed: make(map[KeyRef]string),
	}
}

// Step takes one event that happened at now, appends the commands that follow
// from it to commands, and returns the extended slice. Times never go backwards.
func (m *Machine) Step(now time.Time, event Event, commands []Command) []Command {
	m.commands = commands
	m.passTime(now)
	switch event := event.(type) {
	case DecisionRequested:
		m.begin(now, event)
	case IssueRequested:
		m.issue(event)
	case DecisionCanceled:
		if waiting, ok := m.calls[event.Call]; ok {
			m.giveUp(now, waiting, RefuseCanceled)
		}
	case CallFinished:
		m.finish(now, event)
	case CallAbandoned:
		m.abandon(now, event.Grant)
	case RecordsRead:
		m.read(now, event)
	case ReadTruncated:
		m.truncate(event.OldestOffset)
	case AppendSucceeded:
		m.outbox.succeeded()
	case AppendRefused:
		m.counts.AppendsRefused++
		m.outbox.refused(now, event.RetryAfter)
	case AppendUncertain:
		m.counts.AppendsUncertain++
		m.outbox.failed(now)
		m.command(ReadNow{})
	case HostCountChanged:
		m.outbox.setHosts(event.Hosts)
	case ShutdownRequested:
		m.leave(now)
	case Tick:
	}
	m.write(now)
	commands = m.commands
	m.commands = nil
	return commands
}

// NextWake returns the time at which a TimePassed event is due. It reports
// false when none is.
func (m *Machine) NextWake() (time.Time, bool) {
	wake, ok := m.outbox.readyAt()
	for _, next := range []func() (time.Time, bool){m.deadlines.next, m.carries.next} {
		if at, found := next(); found && (!ok || at.Before(wake)) {
			wake, ok = at, true
		}
	}
	return wake, ok
}

// Position returns the offset from which the claim stream has to be read next.
func (m *Machine) Position() record.Offset { return m.position }

// CaughtUp reports whether the end of the claim stream was reached once.
func (m *Machine) CaughtUp() bool { return m.caughtUp }

// UnwrittenRecords returns the number of records that wait to be written.
func (m *Machine) UnwrittenRecords() int { return m.outbox.len() }

// WaitingCalls returns the number of calls that wait for a decision.
func (m *Machine) WaitingCalls() int { return len(m.calls) }

// Table returns the reduced claim stream, for reading.
func (m *Machine) Table() *Table { return m.table }

// Issuer returns the issuer of this machine's keys.
func (m *Machine) Issuer() Issuer { return m.issuer }

// Counts returns what the machine decided and met.
func (m *Machine) Counts() Counts { return m.counts }

// UsedIssuedKeys returns the number of issued keys that are remembered as used.
func (m *Machine) UsedIssuedKeys() int { return len(m.issued.used) }

func (m *Machine) command(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) passTime(now time.Time) {
	for id, ok := m.deadlines.popDue(now); ok; id, ok = m.deadlines.popDue(now) {
		if waiting, found := m.calls[id]; found {
			m.giveUp(now, waiting, RefuseLogUnavailable)
		}
	}
	m.carry(now)
	m.issued.advance(now)
	m.forgetOld(now)
}

// forgetOld drops the keys whose records were read longer than the window ago.
func (m *Machine) forgetOld(now time.Time) {
	floor := m.table.Floor()
	for oldest, ok := m.marks.peek(); ok && now.Sub(oldest.at) > m.settings.Window; oldest, ok = m.marks.peek() {
		floor = oldest.position
		m.marks.pop()
	}
	if floor > m.table.Floor() {
		m.table.ExpireBefore(floor)
	}
}

func (m *Machine) mark(now time.Time) {
	if last, ok := m.marks.last(); ok && now.Sub(last.at) < m.settings.Window/issuedMarks {
		return
	}
	m.marks.push(positionMark{
		at:       now,
		position: m.position,
	})
}

func (m *Machine) write(now time.Time) {
	records := m.outbox.take(now)
	if len(records) == 0 {
		return
	}
	m.counts.Appends++
	m.command(Append{
		Records: records,
	})
}

func (m *Machine) read(now time.Time, event RecordsRead) {
	if event.NextOffset < m.position {
		m.rewind(now)
		return
	}
	for _, stored := range event.Records {
		if stored.Offset < m.position {
			continue
		}
		m.position = stored.Offset + 1
		change, ok := m.table.Apply(stored.Offset, stored.Data)
		if ok {
			m.outbox.remove(change.ID)
			m.applied(now, change)
		}
	}
	m.mark(now)
	if m.position >= event.NextOffset {
		m.caughtUp = true
		m.outbox.caughtUp(event.StartedAt)
	}
}

func (m *Machine) applied(now time.Time, change Change) {
	id, mine := m.pending[change.ID]
	if mine && change.Kind == record.KindClaim {
		waiting := m.calls[id]
		if change.Won {
			m.win(waiting)
		} else {
			m.counts.ClaimsLost++
			m.withdraw(now, waiting)
		}
	}
	m.watch(now, change.Ref)
	m.review(now, change.Ref)
}

// rewind reads the stream again after the log has lost records. What is known
// stays, and every claim that was not yet decided is made anew.
func (m *Machine) rewind(now time.Time) {
	m.counts.Rewinds++
	m.position = 0
	m.marks = fifo[positionMark]{}
	m.table.Rewind()
	for _, id := range m.sortedCalls() {
		waiting := m.calls[id]
		if waiting.claim != "" {
			m.withdraw(now, waiting)
			m.evaluate(now, waiting)
		}
	}
}

func (m *Machine) sortedCalls() []CallID {
	ids := make([]CallID, 0, len(m.calls))
	for id := range m.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) truncate(oldest record.Offset) {
	if m.position > 0 {
		m.counts.Truncations++
	}
	if oldest > m.position {
		m.position = oldest
	}
	m.table.ExpireBefore(oldest)
}

func (m *Machine) newID(kind string) string {
	m.serial++
	return m.issuer.String() + keySeparator + kind + strconv.FormatUint(m.serial, 10)
}
