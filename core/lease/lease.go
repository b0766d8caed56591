// Package lease decides which host of a fleet performs the singleton duties. The lease is a
// record in a topic of the store, which is written with conditional appends only: an append is
// executed if the topic still ends where the writer has read it to end, so that of concurrent
// writers at most one succeeds.
//
// # Usage
//
//	m := lease.New(lease.Settings{
//		Host:    "host-1",
//		Address: "10.1.0.40:7340",
//		Term:    3 * time.Second,
//		...
//	})
//	for _, command := range m.Handle(now, lease.Tick{View: view}) {
//		switch command := command.(type) {
//		case lease.Read:   // read the topic, then m.Handle(now, lease.ReadDone{...})
//		case lease.Append: // append conditionally, then m.Handle(now, lease.AppendDone{...})
//		case lease.Acquired, lease.Lost, lease.Released, lease.Written:
//		}
//	}
//	token, ok := m.Fence(now, callTimeout)
//
// A Machine has at most one Read or Append outstanding. It is designed for fleets of 6 to 2,400
// hosts: the holder writes three times a term, and of the others only a few read, and only while
// they hear of no holder.
package lease

import (
	"fmt"
	"slices"
	"time"
)

const (
	// renewalsPerTerm is the number of renewals in a term: two may fail before the lease ends.
	renewalsPerTerm = 3
	// Margin is added to a term by those who wait for its end. It covers different rates of
	// clocks (at most 1%) and a call that is on its way when the term ends.
	Margin = 300 * time.Millisecond
	// retryInterval is the time between two tries of an append or a read that failed.
	retryInterval = 250 * time.Millisecond
	// readInterval is the time between two reads of a host of the first group while no
	// holder is heard of. Each further group doubles it.
	readInterval = 500 * time.Millisecond
	// groupSize is the number of hosts of the first group. Each further group has twice as
	// many and begins one term later, so that in a fleet of 2,400 hosts the last ones read
	// after ten terms, and each group makes at most 6 reads a second.
	groupSize = 3
	// rankStagger is the time between the reads of hosts of the first group, so that the first
	// one can claim before the others do.
	rankStagger = 150 * time.Millisecond
	// discoveryTime is the time after the fleet is known in which a host that has started
	// waits for the announcement of a holder: two heartbeats.
	discoveryTime = time.Second
	// maxPast bounds the former holders in a record.
	maxPast = 8
	// cooldownTerms is the number of terms for which a host that has given up the lease makes
	// no claim.
	cooldownTerms = 5
	// eraShift is the position of the era in a token, below which is the offset of the claim plus
	// one, so that no token is zero. A topic with more than 2^32 records has
	// lasted for 45 years at one record a third of a second.
	eraShift = 32
)

// Instant is a point in time on two clocks of one host.
type Instant struct {
	// Mono is the reading of a monotonic clock, which may stop while the host is
	// suspended, and Wall that of the wall clock, which does not but may jump.
	Mono time.Duration
	Wall time.Duration
}

// since returns the longer of the times that have passed on both clocks.
func (i Instant) since(earlier Instant) time.Duration {
	return max(i.Mono-earlier.Mono, i.Wall-earlier.Wall)
}

// Past is a former holder.
type Past struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	// AgeMs is the time since the end of its term, as far as later holders have measured it.
	AgeMs int64 `json:"ageMs"`
}

// Record is the content of the lease record.
type Record struct {
	Host string `json:"host"`
	// Address is the address at which other hosts reach the holder.
	Address     string `json:"address"`
	Incarnation int64  `json:"born"`
	// Nonce differs for each append.
	Nonce string `json:"nonce"`
	// Token is the fencing token of the term, and Era the era of the store in which the record
	// was meant to be written.
	Token    int64 `json:"token"`
	Era      int64 `json:"era"`
	Released bool  `json:"released,omitempty"`
	// Past are the holders before, the last one first, until their term is over for the length
	// of a term.
	Past []Past `json:"past,omitempty"`
	// Note is passed on for the holder's duties. It never falls.
	Note int64 `json:"note,omitempty"`
}

// Extra is a further record that is appended together with the lease record.
type Extra struct {
	Key   string
	Value []byte
}

// Found is the lease record as it was read.
type Found struct {
	Offset int64
	Record Record
}

// View is what a host knows of the fleet.
type View struct {
	// IsComplete is set once the host knows the fleet.
	IsComplete bool
	// Rank is the number of live hosts that precede this host.
	Rank int
	// Others is the number of other live hosts.
	Others int
}

// Event is an input of a Machine.
type Event interface{ isEvent() }

// Tick is the passing of time.
type Tick struct{ View View }

// Heard is an announcement of a holder to the other hosts.
type Heard struct {
	Host    string
	Address string
	Token   int64
	// Era and Offset are the position of the holder's last record.
	Era      int64
	Offset   int64
	Released bool
	// Age is the time since the holder has sent it.
	Age time.Duration
}

// ReadDone is the end of a Read. If Err is set, the topic was not read.
type ReadDone struct {
	Failed bool
	Era    int64
	End    int64
	// Lease is nil if there is no record.
	Lease *Found
}

// AppendDone is the end of an Append.
type AppendDone struct {
	Outcome Outcome
	// End and Era are those of the response, if there was one.
	End int64
	Era int64
}

// Outcome is what is known of an append.
type Outcome int

// The outcomes.
const (
	// Unknown means that the append was executed, or not, or may still be.
	Unknown Outcome = iota
	// Executed means that it was.
	Executed
	// Rejected means that it was not, as the topic ends elsewhere. An earlier try of the same
	// append may have been executed.
	Rejected
)

// Write asks for records to be appended under the lease: at once, or with the next renewal if
// CanWait is set.
type Write struct {
	Extras  []Extra
	CanWait bool
}

// Conflict reports that the control API has rejected a token. Fresh asks for a term with a new token
// if the host still holds the lease.
type Conflict struct{ Fresh bool }

// GiveUp asks for the release of the lease, as the host cannot perform the duties.
type GiveUp struct{ Cause string }

// Stop asks for the release of the lease. The host makes no further claim.
type Stop struct{}

func (Tick) isEvent()       {}
func (Heard) isEvent()      {}
func (ReadDone) isEvent()   {}
func (AppendDone) isEvent() {}
func (Write) isEvent()      {}
func (Conflict) isEvent()   {}
func (GiveUp) isEvent()     {}
func (Stop) isEvent()       {}

// Command is an output of a Machine.
type Command interface{ isCommand() }

// Read asks to read the topic.
type Read struct{}

// Append asks to append the lease record and then the extras, if the topic ends at At.
type Append struct {
	At     int64
	Record Record
	Extras []Extra
}

// Acquired reports that the host holds the lease from now on.
type Acquired struct{ Token int64 }

// Lost reports that the host no longer holds the lease.
type Lost struct {
	Token int64
	Cause string
}

// Released reports that the host has released the lease. If Known is not set, the store has not
// acknowledged it.
type Released struct {
	Token int64
	Cause string
	Known bool
}

// Renewed reports that the lease was renewed.
type Renewed struct{ Token int64 }

// RenewalFailed reports that a try to renew the lease had no known success.
type RenewalFailed struct{ Token int64 }

// Written reports that extras were appended.
type Written struct{ Extras []Extra }

func (Read) isCommand()          {}
func (Append) isCommand()        {}
func (Acquired) isCommand()      {}
func (Lost) isCommand()          {}
func (Released) isCommand()      {}
func (Renewed) isCommand()       {}
func (RenewalFailed) isCommand() {}
func (Written) isCommand()       {}

// Causes of Lost and Released.
const (
	CauseOtherHolder = "otherHolder"
	CauseEra         = "storeRestored"
	CauseStopping    = "stopping"
	CauseControl     = "controlUnreachable"
	CauseUnheard     = "notHeardByOthers"
	CauseConflict    = "tokenRejected"
)

// Settings holds the settings of a Machine.
type Settings struct {
	Host        string
	Address     string
	Incarnation int64
	// Term is the length of the lease.
	Term time.Duration
	// Nonce is a random number, so that the nonces of two processes differ.
	Nonce uint64
}

// pendingAppend is an append whose outcome is not known yet. It is tried again, unchanged, until it
// is.
type pendingAppend struct {
	command Append
	purpose purpose
	// sentAt is when it was first sent, and tries how often.
	sentAt Instant
	tries  int
	// mustRead is set once a response has shown that the topic has changed. A listing that ends
	// before atLeast, in the era of the response, is older than that.
	mustRead bool
	atLeast  int64
	era      int64
}

type purpose int

const (
	claiming purpose = iota
	renewing
	releasing
)

// observation is a lease record, or the lack of one, that has not changed since a time.
type observation struct {
	known  bool
	era    int64
	offset int64
	since  time.Duration
}

// Machine decides for one host. It is not safe for concurrent use.
type Machine struct {
	Settings

	isWaiting bool
	pending   *pendingAppend
	retryAt   time.Duration
	sequence  int

	holds bool
	token int64
	era   int64
	end   int64
	// offset is that of this host's last record.
	offset int64
	// renewedAt is when the last confirmed append was sent, and termBegan when the claim was.
	renewedAt Instant
	termBegan Instant
	// mustRenew forbids calls until the lease is renewed.
	mustRenew bool
	// mustRead asks for a read before the holder does anything else, and mustClaim for a term
	// with a new token then.
	mustRead  bool
	mustClaim bool
	past      []Past
	note      int64
	// queued are the extras of the next append, which is made at once if writeNow is set.
	queued   []Extra
	writeNow bool
	// endsBecause is the cause of the release that is in progress or due.
	endsBecause string
	// release is the announcement of this host's last release.
	release Heard

	isStopping bool
	coolsUntil time.Duration
	lastTick   Instant
	completeAt time.Duration
	isComplete bool
	view       View
	// heard is the last announcement of the latest term. announced is set once there was one, and
	// heardAt is when it was sent, or heard of if it is that of a release.
	heard     Heard
	announced bool
	heardAt   time.Duration
	observed  observation
	// nextReadAt is the earliest time of the next read of a host that does not hold the lease.
	nextReadAt time.Duration
	// highestSeen is the highest token of which the host knows.
	highestSeen int64
}

// New returns a Machine of a host that does not hold the lease.
func New(settings Settings) *Machine {
	return &Machine{Settings: settings}
}

// Holds reports whether the host holds the lease as far as it knows. Only Fence reports whether it
// may act.
func (m *Machine) Holds() bool { return m.holds }

// Token returns the token of the term, if the host holds the lease.
func (m *Machine) Token() int64 { return m.token }

// TermAge returns the time since the claim of the term was sent.
func (m *Machine) TermAge(now Instant) time.Duration { return now.since(m.termBegan) }

// Remaining returns the time for which the lease still runs.
func (m *Machine) Remaining(now Instant) time.Duration {
	if !m.holds {
		return 0
	}
	return m.Term - now.since(m.renewedAt)
}

// Fence returns the token for a call that takes at most the given time. It reports false if the
// host must not make one.
func (m *Machine) Fence(now Instant, callTime time.Duration) (int64, bool) {
	if !m.holds || m.mustRenew || m.mustRead || m.mustClaim || m.endsBecause != "" || m.Remaining(now) < callTime {
		return 0, false
	}
	return m.token, true
}

// Announcement returns what the host announces to the others: that it holds the lease, or that it
// has released it, until it knows of a later holder. It reports false if there is nothing, or if
// the lease has run out: the others claim it then.
func (m *Machine) Announcement(now Instant) (Heard, bool) {
	if !m.holds {
		return m.release, m.release.Released && m.highestSeen <= m.release.Token
	}
	return m.announcement(), m.Remaining(now) > 0
}

func (m *Machine) announcement() Heard {
	return Heard{
		Host:    m.Host,
		Address: m.Address,
		Token:   m.token,
		Era:     m.era,
		Offset:  m.offset,
	}
}

// SetNote sets the note of the next records.
func (m *Machine) SetNote(note int64) { m.note = max(m.note, note) }

// Handle handles an event.
func (m *Machine) Handle(now Instant, event Event) []Command {
	switch event := event.(type) {
	case Tick:
		m.handleTick(now, event.View)
	case Heard:
		m.handleHeard(now, event)
	case ReadDone:
		m.isWaiting = false
		return append(m.handleRead(now, event), m.next(now)...)
	case AppendDone:
		m.isWaiting = false
		return append(m.handleAppend(now, event), m.next(now)...)
	case Write:
		if m.holds {
			m.queued = append(m.queued, event.Extras...)
			m.writeNow = m.writeNow || !event.CanWait
		}
	case Conflict:
		m.mustRead = m.holds
		m.mustClaim = m.mustClaim || m.holds && event.Fresh
	case GiveUp:
		if m.holds && m.endsBecause == "" {
			m.endsBecause = event.Cause
			m.coolsUntil = now.Mono + cooldownTerms*m.Term
		}
	case Stop:
		m.isStopping = true
		if m.holds {
			m.endsBecause = CauseStopping
		}
	}
	return m.next(now)
}

func (m *Machine) handleTick(now Instant, view View) {
	m.view = view
	if view.IsComplete && !m.isComplete {
		m.isComplete = true
		m.completeAt = now.Mono
	}
	// After a jump of the wall clock against the monotonic one the host may have been suspended.
	drift := (now.Wall - m.lastTick.Wall) - (now.Mono - m.lastTick.Mono)
	if m.lastTick != (Instant{}) && drift.Abs() > Margin {
		m.mustRenew = m.holds
	}
	m.lastTick = now
}

func (m *Machine) handleHeard(now Instant, heard Heard) {
	if heard.Host == m.Host && heard.Address == m.Address || heard.Token < m.highestSeen {
		return
	}
	m.highestSeen = heard.Token
	if m.holds {
		// Another host has a later term: a renewal shows it.
		m.mustRenew = m.mustRenew || heard.Token > m.token
		return
	}
	if m.announced && heard.Token == m.heard.Token && m.heard.Released {
		return
	}
	if heard.Released {
		m.heardAt = now.Mono
		m.nextReadAt = 0
	} else if at := now.Mono - heard.Age; !m.announced || at > m.heardAt {
		m.heardAt = at
	}
	m.heard = heard
	m.announced = true
	if !m.observed.known || heard.Era > m.observed.era || heard.Era == m.observed.era && heard.Offset > m.observed.offset {
		m.observed = observation{
			known:  true,
			era:    heard.Era,
			offset: heard.Offset,
			since:  now.Mono,
		}
	}
}

// next returns the next call to the store, if one is due and none is outstanding.
func (m *Machine) next(now Instant) []Command {
	if m.isWaiting || now.Mono < m.retryAt {
		return nil
	}
	switch {
	case m.pending != nil && m.pending.mustRead:
		return m.read()
	case m.pending != nil:
		m.pending.tries++
		return m.send(m.pending.command)
	case m.holds && m.mustRead:
		return m.read()
	case m.holds && m.endsBecause != "":
		return m.begin(now, releasing, m.newRecord(now))
	case m.holds && m.mustClaim:
		return m.claimAgain(now)
	case m.holds && (m.mustRenew || m.writeNow || now.since(m.renewedAt) >= m.Term/renewalsPerTerm):
		return m.begin(now, renewing, m.newRecord(now))
	case !m.holds && !m.isStopping && m.isReadDue(now.Mono):
		return m.read()
	}
	return nil
}

func (m *Machine) read() []Command {
	m.isWaiting = true
	return []Command{Read{}}
}

func (m *Machine) send(command Append) []Command {
	m.isWaiting = true
	return []Command{command}
}

// begin sends a new append at the end that is known.
func (m *Machine) begin(now Instant, purpose purpose, record Record) []Command {
	m.sequence++
	record.Nonce = fmt.Sprintf("%x-%d", m.Nonce, m.sequence)
	m.pending = &pendingAppend{
		command: Append{
			At:     m.end,
			Record: record,
			Extras: m.queued,
		},
		purpose: purpose,
		sentAt:  now,
		tries:   1,
	}
	m.queued, m.writeNow = nil, false
	return m.send(m.pending.command)
}

// newRecord returns the record of the current term.
func (m *Machine) newRecord(now Instant) Record {
	return Record{
		Host:        m.Host,
		Address:     m.Address,
		Incarnation: m.Incarnation,
		Token:       m.token,
		Era:         m.era,
		Released:    m.endsBecause != "",
		Past:        m.agedPast(now),
		Note:        m.note,
	}
}

// agedPast returns the former holders that have not been out of office for a term yet.
func (m *Machine) agedPast(now Instant) []Past {
	// Only the monotonic clock counts: the wall clock may have jumped forward.
	held := (now.Mono - m.termBegan.Mono).Milliseconds()
	var past []Past
	for _, p := range m.past {
		p.AgeMs += held
		if time.Duration(p.AgeMs)*time.Millisecond < m.Term+Margin {
			past = append(past, p)
		}
	}
	return past
}

// claimAgain ends the term of this host and begins another one with a new token.
func (m *Machine) claimAgain(now Instant) []Command {
	m.past = m.agedPast(now)
	return m.claim(now, m.past)
}

// claim appends a record that begins a term.
func (m *Machine) claim(now Instant, past []Past) []Command {
	return m.begin(now, claiming, Record{
		Host:        m.Host,
		Address:     m.Address,
		Incarnation: m.Incarnation,
		Token:       m.era<<eraShift | (m.end + 1),
		Era:         m.era,
		Past:        past,
		Note:        m.note,
	})
}

// isReadDue reports whether a host that does not hold the lease is to read the topic.
func (m *Machine) isReadDue(now time.Duration) bool {
	if !m.isComplete || now < m.coolsUntil || now < m.nextReadAt {
		return false
	}
	from := m.completeAt + discoveryTime
	switch {
	case m.announced && m.heard.Released:
		from = m.heardAt
	case m.announced:
		from = m.heardAt + m.Term + Margin
	}
	_, offset := groupOf(m.view.Rank, m.Term)
	return now >= from+offset
}

// groupOf returns the group of a host by its rank, and when it begins to read after the first host.
func groupOf(rank int, term time.Duration) (group int, offset time.Duration) {
	first := 0
	size := groupSize
	for rank >= first+size {
		first += size
		size *= 2
		group++
	}
	if group == 0 {
		return 0, time.Duration(rank) * rankStagger
	}
	return group, time.Duration(group) * term
}

// handleRead takes over the state of the topic.
func (m *Machine) handleRead(now Instant, done ReadDone) []Command {
	group, _ := groupOf(m.view.Rank, m.Term)
	m.nextReadAt = now.Mono + readInterval<<min(group, maxGroup)
	if m.isStale(done) {
		if m.holds || m.pending != nil {
			m.retryAt = now.Mono + retryInterval
		}
		return nil
	}
	if pending := m.pending; pending != nil {
		return m.resolve(now, pending, done)
	}
	if m.holds {
		return m.checkHeld(now, done)
	}
	return m.standBy(now, done)
}

// isStale reports whether a read failed, or shows an older state than is known.
func (m *Machine) isStale(done ReadDone) bool {
	switch pending := m.pending; {
	case done.Failed:
		return true
	case pending != nil:
		return done.Era < pending.era || done.Era == pending.era && done.End < pending.atLeast
	}
	return done.Era < m.era || m.holds && done.Era == m.era && done.End < m.end
}

// maxGroup bounds the group for the interval of its reads.
const maxGroup = 12

// resolve finds out from a read what became of an append.
func (m *Machine) resolve(now Instant, pending *pendingAppend, done ReadDone) []Command {
	if done.Lease != nil && done.Era == pending.command.Record.Era && done.Lease.Offset == pending.command.At &&
		done.Lease.Record.Nonce == pending.command.Record.Nonce {
		m.end = done.End
		return m.confirm(pending)
	}
	// It was not executed and never will be, as the topic ends elsewhere.
	m.pending = nil
	if !m.holds {
		return m.standBy(now, done)
	}
	m.queued = append(slices.Clone(pending.command.Extras), m.queued...)
	m.writeNow = m.writeNow || len(m.queued) > 0
	return m.checkHeld(now, done)
}

// checkHeld compares a read with the term of this host.
func (m *Machine) checkHeld(now Instant, done ReadDone) []Command {
	m.mustRead = false
	if done.Era == m.era && done.Lease != nil && done.Lease.Record.Token == m.token && done.Lease.Offset == m.offset {
		m.end = done.End
		return nil
	}
	remaining := m.Remaining(now)
	cause := CauseOtherHolder
	if done.Era != m.era {
		cause = CauseEra
	}
	commands := m.lose(cause)
	// While the lease runs nobody else can have claimed, except in a later era: its record says so.
	isOthers := done.Lease != nil && done.Lease.Record.Era == done.Era
	if cause == CauseEra && remaining > 0 && !isOthers && !m.isStopping {
		m.era, m.end = done.Era, done.End
		m.past = m.agedPast(now)
		return append(commands, m.claim(now, m.past)...)
	}
	return append(commands, m.standBy(now, done)...)
}

func (m *Machine) lose(cause string) []Command {
	lost := Lost{
		Token: m.token,
		Cause: cause,
	}
	m.clearTerm()
	return []Command{lost}
}

func (m *Machine) clearTerm() {
	m.holds = false
	m.mustRenew, m.mustRead, m.mustClaim = false, false, false
	m.endsBecause = ""
	m.queued, m.writeNow = nil, false
}

// standBy observes the lease of another host, and claims it when it has ended.
func (m *Machine) standBy(now Instant, done ReadDone) []Command {
	m.era, m.end = done.Era, done.End
	offset := int64(-1)
	if done.Lease != nil {
		offset = done.Lease.Offset
		m.highestSeen = max(m.highestSeen, done.Lease.Record.Token)
		m.note = max(m.note, done.Lease.Record.Note)
	}
	wasKnown := m.observed.known
	if !m.observed.known || m.observed.era != done.Era || m.observed.offset != offset {
		m.observed = observation{
			known:  true,
			era:    done.Era,
			offset: offset,
			since:  now.Mono,
		}
	}
	if m.isStopping || now.Mono < m.coolsUntil || !m.isComplete {
		return nil
	}
	if now.Mono-m.observed.since < m.claimDelay(done, wasKnown) {
		if group, _ := groupOf(m.view.Rank, m.Term); group > 0 {
			return nil
		}
		// A host of the first group reads at the time of the claim at the latest.
		m.nextReadAt = min(m.nextReadAt, m.observed.since+m.claimDelay(done, wasKnown))
		return nil
	}
	return m.claim(now, m.pastAfter(done.Lease))
}

// claimDelay returns for how long a record must be unchanged before this host may claim.
func (m *Machine) claimDelay(done ReadDone, wasKnown bool) time.Duration {
	wait := m.Term + Margin
	switch {
	case done.Lease == nil && done.Era == 0 && done.End == 0 && !wasKnown && m.highestSeen == 0:
		// The topic is new, so that there was no holder.
		return 0
	case done.Lease == nil || !done.Lease.Record.Released || done.Lease.Record.Era != done.Era:
		return wait
	}
	for _, p := range done.Lease.Record.Past {
		if p.Host == m.Host || p.Address == m.Address {
			// A call of this host, one of the host that has released the lease, and a further one
			// of this host within a term would be in the order A, B, A.
			return max(wait-time.Duration(p.AgeMs)*time.Millisecond, 0)
		}
	}
	return 0
}

// pastAfter returns the former holders for a claim after the given record.
func (m *Machine) pastAfter(found *Found) []Past {
	if found == nil {
		return nil
	}
	record := found.Record
	isOwn := func(p Past) bool { return p.Host == m.Host || p.Address == m.Address }
	past := []Past{{
		Host:    record.Host,
		Address: record.Address,
	}}
	past = append(past, record.Past...)
	past = slices.DeleteFunc(past, isOwn)
	return past[:min(len(past), maxPast)]
}

// handleAppend handles the end of an append.
func (m *Machine) handleAppend(now Instant, done AppendDone) []Command {
	pending := m.pending
	if pending == nil {
		return nil
	}
	switch {
	case done.Outcome == Executed && done.Era == pending.command.Record.Era:
		m.end = done.End
		return m.confirm(pending)
	case done.Outcome != Unknown:
		// A rejected append may have been executed by an earlier try. One that was executed in a
		// later era has a token of the era before.
		pending.mustRead = true
		pending.atLeast, pending.era = done.End, done.Era
		return nil
	}
	m.retryAt = now.Mono + retryInterval
	switch pending.purpose {
	case renewing:
		return []Command{RenewalFailed{Token: m.token}}
	case releasing:
		return m.failRelease(pending)
	}
	return nil
}

// maxReleaseTries bounds the tries to release the lease. Then it runs out.
const maxReleaseTries = 4

func (m *Machine) failRelease(pending *pendingAppend) []Command {
	if pending.tries < maxReleaseTries {
		return nil
	}
	return m.finishRelease(false)
}

func (m *Machine) finishRelease(known bool) []Command {
	released := Released{
		Token: m.token,
		Cause: m.endsBecause,
		Known: known,
	}
	m.release = m.announcement()
	m.release.Released = true
	m.pending = nil
	m.clearTerm()
	return []Command{released}
}

// confirm handles an append that was executed.
func (m *Machine) confirm(pending *pendingAppend) []Command {
	m.pending = nil
	m.offset = pending.command.At
	m.highestSeen = max(m.highestSeen, pending.command.Record.Token)
	var commands []Command
	switch pending.purpose {
	case releasing:
		commands = m.finishRelease(true)
	case claiming:
		if m.holds {
			commands = m.lose(CauseConflict)
		}
		m.holds = true
		m.token = pending.command.Record.Token
		m.era = pending.command.Record.Era
		m.past = pending.command.Record.Past
		m.termBegan = pending.sentAt
		m.renewedAt = pending.sentAt
		if m.isStopping {
			m.endsBecause = CauseStopping
		}
		commands = append(commands, Acquired{Token: m.token})
	case renewing:
		m.renewedAt = pending.sentAt
		m.mustRenew = false
		commands = append(commands, Renewed{Token: m.token})
	}
	if len(pending.command.Extras) > 0 {
		commands = append(commands, Written{Extras: pending.command.Extras})
	}
	return commands
}
