package claim

import (
	"slices"
	"strconv"
	"time"

	"cactuswell/core/record"
)

// Machine is the state machine that decides a host's keyed calls. Its inputs
// are events with their time and its outputs are commands. It is not safe for
// concurrent use.
type Machine struct {
	issuer        Issuer
	settings      Settings
	table         *Table
	issued        *issuedKeys
	outbox        *outbox
	position      record.Offset
	positionMarks fifo[positionMark]
	calls         map[CallID]*call
	waitersByKey  map[KeyRef][]CallID
	callByClaim   map[string]CallID
	claimByKey    map[KeyRef]string
	deadlines     dueQueue[CallID]
	renewals      dueQueue[renewal]
	lastID        uint64
	shuttingDown  bool
	caughtUp      bool
	counts        Counts
	commands      []Command
}

// Counts are the counters of a Machine.
type Counts struct {
	Granted   uint64 `json:"granted"`
	Replayed  uint64 `json:"replayed"`
	Unknown   uint64 `json:"unknown"`
	Forwarded uint64 `json:"forwarded"`
	Refused   uint64 `json:"refused"`
	Mismatch  uint64 `json:"mismatch"`
	Invalid   uint64 `json:"invalid"`
	Issued    uint64 `json:"issued"`
	// ClaimsLost counts claims that were not granted because of an earlier
	// claim of the same key.
	ClaimsLost uint64 `json:"claimsLost"`
	// Appends counts appends started. AppendsRefused and AppendsResultUnknown
	// count those that the log refused and those whose result is not known.
	Appends              uint64 `json:"appends"`
	AppendsRefused       uint64 `json:"appendsRefused"`
	AppendsResultUnknown uint64 `json:"appendsUncertain"`
	// OutcomesDropped counts outcomes that were not written, as too many
	// records were waiting to be written.
	OutcomesDropped uint64 `json:"outcomesDropped"`
	// ClaimsRenewed counts claims without an outcome that were written again
	// before their records could expire from the log.
	ClaimsRenewed uint64 `json:"carried"`
	// Truncations counts reads from a position that the log no longer retains.
	Truncations uint64 `json:"truncations"`
	// Rewinds counts how often the stream was read from its start again, as the
	// end of the log was before the read position.
	Rewinds uint64 `json:"rewinds"`
}

type positionMark struct {
	at       time.Time
	position record.Offset
}

// call is a call that waits for a decision.
type call struct {
	id          CallID
	ref         KeyRef
	fingerprint Fingerprint
	deadline    time.Time
	issuedKey   IssuedKey
	isIssued    bool
	// registered is true if the call is in waitersByKey.
	registered bool
	// claimID is the ID of the call's pending claim, or empty if it has none.
	claimID   string
	claimedAt time.Time
}

// New returns a machine that has not read any records. The issuer must differ
// from that of every other machine, present or past.
func New(issuer Issuer, settings Settings) *Machine {
	return &Machine{
		issuer:       issuer,
		settings:     settings,
		table:        NewTable(settings.MaxKeys, settings.MaxTotalBodyBytes),
		issued:       newIssuedKeys(issuer, settings),
		outbox:       newOutbox(settings),
		calls:        make(map[CallID]*call),
		waitersByKey: make(map[KeyRef][]CallID),
		callByClaim:  make(map[string]CallID),
		claimByKey:   make(map[KeyRef]string),
	}
}

// Step handles an event that happened at now, appends the resulting commands to
// commands, and returns the extended slice. Times must not go backwards.
func (m *Machine) Step(now time.Time, event Event, commands []Command) []Command {
	m.commands = commands
	m.advanceTime(now)
	switch event := event.(type) {
	case DecisionRequested:
		m.handleRequest(now, event)
	case IssueRequested:
		m.handleIssueRequest(event)
	case DecisionCanceled:
		if waiting, ok := m.calls[event.Call]; ok {
			m.endWait(now, waiting, RefuseCanceled)
		}
	case CallFinished:
		m.handleFinished(now, event)
	case CallAbandoned:
		m.handleAbandoned(now, event.Grant)
	case RecordsRead:
		m.handleRecords(now, event)
	case ReadTruncated:
		m.handleTruncation(event.OldestOffset)
	case AppendSucceeded:
		m.outbox.handleSuccess()
	case AppendRefused:
		m.counts.AppendsRefused++
		m.outbox.handleRefusal(now, event.RetryAfter)
	case AppendResultUnknown:
		m.counts.AppendsResultUnknown++
		m.outbox.handleUnknownResult(now)
		m.emit(ReadNow{})
	case HostCountChanged:
		m.outbox.setHostCount(event.Hosts)
	case ShutdownRequested:
		m.handleShutdown(now)
	case Tick:
	}
	m.appendDue(now)
	commands = m.commands
	m.commands = nil
	return commands
}

// NextWake returns the time at which the next Tick event is due. It
// reports false if none is needed.
func (m *Machine) NextWake() (time.Time, bool) {
	wake, ok := m.outbox.dueAt()
	for _, next := range []func() (time.Time, bool){m.deadlines.next, m.renewals.next} {
		if at, found := next(); found && (!ok || at.Before(wake)) {
			wake, ok = at, true
		}
	}
	return wake, ok
}

// Position returns the offset from which the claim stream must be read next.
func (m *Machine) Position() record.Offset { return m.position }

// CaughtUp reports whether the end of the claim stream has been reached at
// least once.
func (m *Machine) CaughtUp() bool { return m.caughtUp }

// UnwrittenRecords returns the number of records that are not yet known to be
// in the log.
func (m *Machine) UnwrittenRecords() int { return m.outbox.len() }

// WaitingCalls returns the number of calls that wait for a decision.
func (m *Machine) WaitingCalls() int { return len(m.calls) }

// Table returns the table of keys. It must not be modified.
func (m *Machine) Table() *Table { return m.table }

// Issuer returns the issuer of the keys that this machine issues.
func (m *Machine) Issuer() Issuer { return m.issuer }

// Counts returns the machine's counters.
func (m *Machine) Counts() Counts { return m.counts }

// UsedIssuedKeys returns the number of keys issued by this machine that were
// used within the window.
func (m *Machine) UsedIssuedKeys() int { return len(m.issued.used) }

func (m *Machine) emit(command Command) {
	m.commands = append(m.commands, command)
}

func (m *Machine) advanceTime(now time.Time) {
	for id, ok := m.deadlines.popDue(now); ok; id, ok = m.deadlines.popDue(now) {
		if waiting, found := m.calls[id]; found {
			m.endWait(now, waiting, RefuseLogUnavailable)
		}
	}
	m.renewDueClaims(now)
	m.issued.expire(now)
	m.expireKeys(now)
}

// expireKeys expires the keys whose records were read longer ago than the
// window.
func (m *Machine) expireKeys(now time.Time) {
	floor := m.table.Floor()
	for oldest, ok := m.positionMarks.peek(); ok && now.Sub(oldest.at) > m.settings.Window; oldest, ok = m.positionMarks.peek() {
		floor = oldest.position
		m.positionMarks.pop()
	}
	if floor > m.table.Floor() {
		m.table.ExpireBefore(floor)
	}
}

func (m *Machine) markPosition(now time.Time) {
	if last, ok := m.positionMarks.last(); ok && now.Sub(last.at) < m.settings.Window/marksPerWindow {
		return
	}
	m.positionMarks.push(positionMark{
		at:       now,
		position: m.position,
	})
}

func (m *Machine) appendDue(now time.Time) {
	records := m.outbox.takeBatch(now)
	if len(records) == 0 {
		return
	}
	m.counts.Appends++
	m.emit(Append{
		Records: records,
	})
}

func (m *Machine) handleRecords(now time.Time, event RecordsRead) {
	if event.NextOffset < m.position {
		m.handleRewind(now)
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
			m.handleChange(now, change)
		}
	}
	m.markPosition(now)
	if m.position >= event.NextOffset {
		m.caughtUp = true
		m.outbox.handleCaughtUp(event.StartedAt)
	}
}

func (m *Machine) handleChange(now time.Time, change Change) {
	id, own := m.callByClaim[change.ID]
	if own && change.Kind == record.KindClaim {
		waiting := m.calls[id]
		if change.Won {
			m.grantClaim(waiting)
		} else {
			m.counts.ClaimsLost++
			m.withdrawClaim(now, waiting)
		}
	}
	m.scheduleRenewal(now, change.Ref)
	m.reevaluate(now, change.Ref)
}

// handleRewind restarts reading at the start of the stream after the log has
// lost records. The known keys are kept, and every pending claim is withdrawn
// and made again.
func (m *Machine) handleRewind(now time.Time) {
	m.counts.Rewinds++
	m.position = 0
	m.positionMarks = fifo[positionMark]{}
	m.table.Rewind()
	for _, id := range m.sortedCallIDs() {
		waiting := m.calls[id]
		if waiting.claimID != "" {
			m.withdrawClaim(now, waiting)
			m.evaluate(now, waiting)
		}
	}
}

func (m *Machine) sortedCallIDs() []CallID {
	ids := make([]CallID, 0, len(m.calls))
	for id := range m.calls {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) handleTruncation(oldest record.Offset) {
	if m.position > 0 {
		m.counts.Truncations++
	}
	if oldest > m.position {
		m.position = oldest
	}
	m.table.ExpireBefore(oldest)
}

func (m *Machine) newID(kind string) string {
	m.lastID++
	return m.issuer.String() + keySeparator + kind + strconv.FormatUint(m.lastID, 10)
}
