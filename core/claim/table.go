package claim

import (
	"errors"
	"slices"

	"cactuswell/core/record"
)

const (
	// maxClaimsKept bounds the unreleased claims that are kept for one key.
	// Beyond it the key stays blocked until it is forgotten.
	maxClaimsKept = 32
	// maxReleasesKept bounds the released claims that are remembered for one
	// key. A released claim that was forgotten and turns up late blocks its key.
	maxReleasesKept = 16
)

// Table is the reduced claim stream: who holds each key and how it ended. It
// is not safe for concurrent use.
type Table struct {
	entries map[KeyRef]*entry
	perTeam map[string]int
	order   fifo[touch]
	left    *leftIssuers
	bodies  bodies[KeyRef]
	kept    int
	maxKeys int
	blind   bool
	floor   record.Offset
	counts  TableCounts
}

// TableCounts counts what the table met.
type TableCounts struct {
	// Malformed records were skipped. Their writer cannot read them back
	// either, so nothing was run on their strength.
	Malformed uint64 `json:"malformed"`
	// UnknownKinds were skipped; a new kind must never change who holds a key.
	UnknownKinds uint64 `json:"unknownKinds"`
	// NewerRecords are of a newer version.
	NewerRecords uint64 `json:"newerRecords"`
	// Expired keys were older than the window.
	Expired uint64 `json:"forgotten"`
	// Omitted counts releases and outcomes without a claim that were left out as
	// the table was half full.
	Omitted uint64 `json:"omitted"`
	// NotRetained counts how often an unsettled key could not be kept past the
	// window, as too many were.
	NotRetained uint64 `json:"notKept"`
	// BodiesEvicted counts answer bodies dropped to keep within the bound.
	BodiesEvicted uint64 `json:"bodiesDropped"`
}

type entry struct {
	offset      record.Offset
	fingerprint Fingerprint
	held        []string
	released    []string
	outcome     *Outcome
	overflowed  bool
	// watched says that the machine looks after the key while it is unsettled;
	// kept says that it outlives the window meanwhile.
	watched bool
	kept    bool
}

type touch struct {
	ref    KeyRef
	offset record.Offset
}

// KeyState is what the table knows of a key.
type KeyState struct {
	// Blocked says that the key is held by a claim or has an outcome.
	Blocked     bool
	Fingerprint Fingerprint
	// Outcome is nil while none is known.
	Outcome *Outcome
}

// Change says what a record changed.
type Change struct {
	Kind record.Kind
	ID   string
	Ref  KeyRef
	// Won says that the record is a claim and that every earlier claim of its
	// key was released.
	Won bool
}

// NewTable returns an empty table that keeps at most maxBodies bytes of answer
// bodies. Claims are always kept; their number is bounded by the hosts, which
// make none when they know of maxKeys keys. What may be missing without harm is
// kept only up to half of maxKeys.
func NewTable(maxKeys, maxBodies int) *Table {
	return &Table{
		entries: make(map[KeyRef]*entry),
		perTeam: make(map[string]int),
		left:    newLeftIssuers(),
		maxKeys: maxKeys,
		bodies: bodies[KeyRef]{
			maxBytes: maxBodies,
		},
	}
}

// Apply reduces the record at offset. Records must come in offset order. It
// reports false if the record changed nothing.
func (t *Table) Apply(offset record.Offset, data []byte) (Change, bool) {
	envelope, err := record.Decode(data)
	var newer *record.VersionError
	switch {
	case errors.As(err, &newer):
		return t.applyNewer(offset, envelope)
	case err != nil:
		t.counts.Malformed++
		return Change{}, false
	}
	change, err := t.applyKnown(offset, envelope)
	if err != nil {
		t.counts.Malformed++
		return Change{}, false
	}
	change.Kind = envelope.Kind
	change.ID = envelope.ID
	return change, true
}

func (t *Table) applyKnown(offset record.Offset, envelope record.Envelope) (Change, error) {
	switch envelope.Kind {
	case record.KindClaim:
		body, err := decodeBody[claimBody](envelope)
		if err != nil {
			return Change{}, err
		}
		return t.applyClaim(offset, envelope.ID, body)
	case record.KindClaimRelease:
		body, err := decodeBody[releaseBody](envelope)
		if err != nil {
			return Change{}, err
		}
		return t.applyRelease(offset, body)
	case record.KindClaimOutcome:
		body, err := decodeBody[outcomeBody](envelope)
		if err != nil {
			return Change{}, err
		}
		return t.applyOutcome(offset, body)
	case record.KindKeysUsed:
		body, err := decodeBody[keysUsedBody](envelope)
		if err != nil {
			return Change{}, err
		}
		return Change{}, t.left.add(body, t.floor)
	default:
		t.counts.UnknownKinds++
		return Change{}, nil
	}
}

// applyNewer treats a claim of a newer release as a claim that is never
// released. If its key cannot be read, no key can be decided any more.
func (t *Table) applyNewer(offset record.Offset, envelope record.Envelope) (Change, bool) {
	t.counts.NewerRecords++
	if envelope.Kind != record.KindClaim {
		return Change{}, false
	}
	body, err := decodeBody[claimBody](envelope)
	ref := KeyRef{
		Team: body.Team,
		Key:  body.Key,
	}
	if err != nil || ref.Key == "" || checkRef(ref) != nil {
		t.blind = true
		return Change{}, false
	}
	target := t.touch(ref, offset)
	target.overflowed = true
	return Change{
		Kind: envelope.Kind,
		ID:   envelope.ID,
		Ref:  ref,
	}, true
}

func (t *Table) applyClaim(offset record.Offset, id string, body claimBody) (Change, error) {
	ref, err := refOf(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	target := t.touch(ref, offset)
	change := Change{
		Ref: ref,
	}
	if slices.Contains(target.held, id) || slices.Contains(target.released, id) {
		return change, nil
	}
	if !target.blocked() {
		change.Won = !t.blind
		target.fingerprint = body.Fingerprint
	}
	target.hold(id)
	return change, nil
}

func (t *Table) applyRelease(offset record.Offset, body releaseBody) (Change, error) {
	ref, err := refOf(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	if t.mayOmit(ref) {
		return Change{}, nil
	}
	target := t.touch(ref, offset)
	target.release(body.Claim)
	return Change{
		Ref: ref,
	}, nil
}

func (t *Table) applyOutcome(offset record.Offset, body outcomeBody) (Change, error) {
	ref, err := refOf(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	if t.mayOmit(ref) {
		return Change{}, nil
	}
	t.touch(ref, offset)
	t.RecordOutcome(ref, body.Fingerprint, body.Outcome)
	return Change{
		Ref: ref,
	}, nil
}

// mayOmit reports whether a release or an outcome is left out because no claim
// of its key is known and the table is half full. A release that is missing
// leaves its claim blocking the key; an outcome that is missing belongs to an
// issued key, which the table does not decide on.
func (t *Table) mayOmit(ref KeyRef) bool {
	_, known := t.entries[ref]
	if known || len(t.entries) < t.maxKeys/2 {
		return false
	}
	t.counts.Omitted++
	return true
}

// HasOtherFingerprint reports whether the key was first used for another request.
func (s KeyState) HasOtherFingerprint(fingerprint Fingerprint) bool {
	return s.Fingerprint != Fingerprint{} && s.Fingerprint != fingerprint
}

// RecordOutcome keeps the first outcome of a key. The host that ran the call uses it
// before the log has confirmed the outcome, which is safe because an outcome
// only ever blocks a key.
func (t *Table) RecordOutcome(ref KeyRef, fingerprint Fingerprint, outcome Outcome) {
	target, ok := t.entries[ref]
	if !ok || target.outcome != nil {
		return
	}
	if len(target.held) == 0 {
		target.fingerprint = fingerprint
	}
	bounded := outcome.bounded()
	target.outcome = &bounded
	t.bodies.keep(ref, len(bounded.Body), t.evictBody)
}

// Lookup returns what is known of a key.
func (t *Table) Lookup(ref KeyRef) KeyState {
	target, ok := t.entries[ref]
	if !ok {
		return KeyState{}
	}
	return KeyState{
		Blocked:     target.blocked(),
		Fingerprint: target.fingerprint,
		Outcome:     target.outcome,
	}
}

// ExpireBefore drops the keys that were last touched before floor. From then on the
// table answers for the records from floor on.
func (t *Table) ExpireBefore(floor record.Offset) {
	t.floor = max(t.floor, floor)
	for {
		oldest, ok := t.order.peek()
		if !ok || oldest.offset >= floor {
			break
		}
		t.order.pop()
		t.forgetOrRequeue(oldest.ref, floor)
	}
	t.left.forget(floor)
}

// forgetOrRequeue keeps a key that was touched since it was queued. It goes to
// the end of the queue, which can only make it stay longer.
func (t *Table) forgetOrRequeue(ref KeyRef, floor record.Offset) {
	target := t.entries[ref]
	if target.offset < floor && (!target.unsettled() || !t.keep(target)) {
		t.forget(ref)
		t.counts.Expired++
		return
	}
	t.order.push(touch{
		ref:    ref,
		offset: max(target.offset, floor),
	})
}

// Rewind is called when the log turned out to have lost records: the stream is
// read again from its start, and what is known of the lost records stays.
func (t *Table) Rewind() { t.floor = 0 }

// keep lets an unsettled key outlive the window, if there is room for it.
func (t *Table) keep(target *entry) bool {
	if target.kept {
		return true
	}
	if t.kept >= t.maxKeys/carriedShare {
		t.counts.NotRetained++
		return false
	}
	target.kept = true
	t.kept++
	return true
}

// Floor returns the offset from which on the table has read every record.
func (t *Table) Floor() record.Offset { return t.floor }

// KeyCount returns the number of keys remembered.
func (t *Table) KeyCount() int { return len(t.entries) }

// TeamKeyCount returns the number of keys remembered for a team.
func (t *Table) TeamKeyCount(team string) int { return t.perTeam[team] }

// KeysUsedRecords returns the number of records of leaving hosts that are kept.
func (t *Table) KeysUsedRecords() int { return t.left.len() }

// HasUnreadableClaim reports whether the stream holds a claim of a newer release whose key
// could not be read, so that no key can be decided by this release.
func (t *Table) HasUnreadableClaim() bool { return t.blind }

// Counts returns what the table met.
func (t *Table) Counts() TableCounts { return t.counts }

func (t *Table) touch(ref KeyRef, offset record.Offset) *entry {
	target, ok := t.entries[ref]
	if !ok {
		target = &entry{}
		t.entries[ref] = target
		t.perTeam[ref.Team]++
		t.order.push(touch{
			ref:    ref,
			offset: offset,
		})
	}
	target.offset = max(target.offset, offset)
	return target
}

func (t *Table) forget(ref KeyRef) {
	if t.entries[ref].kept {
		t.kept--
	}
	t.bodies.drop(t.entries[ref].outcome)
	delete(t.entries, ref)
	t.perTeam[ref.Team]--
	if t.perTeam[ref.Team] == 0 {
		delete(t.perTeam, ref.Team)
	}
}

func (t *Table) evictBody(ref KeyRef) {
	if target, ok := t.entries[ref]; ok {
		t.bodies.drop(target.outcome)
		t.counts.BodiesEvicted++
	}
}

func (e *entry) blocked() bool {
	return len(e.held) > 0 || e.outcome != nil || e.overflowed
}

// unsettled reports whether the key is held and has no outcome.
func (e *entry) unsettled() bool {
	return e.outcome == nil && e.blocked()
}

func (e *entry) hold(id string) {
	if len(e.held) == maxClaimsKept {
		e.overflowed = true
		return
	}
	e.held = append(e.held, id)
}

// release takes the claim out of the held ones and remembers it, as the claim
// itself may turn up later. A key with an outcome was run and stays blocked.
func (e *entry) release(id string) {
	if e.outcome != nil {
		return
	}
	if i := slices.Index(e.held, id); i >= 0 {
		e.held = slices.Delete(e.held, i, i+1)
	}
	if slices.Contains(e.released, id) {
		return
	}
	if len(e.released) == maxReleasesKept {
		e.released = slices.Delete(e.released, 0, 1)
	}
	e.released = append(e.released, id)
}

func refOf(team, key string) (KeyRef, error) {
	ref := KeyRef{
		Team: team,
		Key:  key,
	}
	if key == "" {
		return KeyRef{}, &KeyError{Reason: KeyMalformed}
	}
	return ref, checkRef(ref)
}
