package claim

import (
	"errors"
	"slices"

	"cactuswell/core/record"
)

const (
	// maxUnreleasedClaims is the maximum number of unreleased claims stored for
	// one key. With more, the key stays blocked until it expires.
	maxUnreleasedClaims = 32
	// maxReleasedClaims is the maximum number of released claims stored for one
	// key. A released claim that was evicted and arrives late blocks its key.
	maxReleasedClaims = 16
)

// Table is the state reduced from the claim stream: the claims and the outcome
// of each key. It is not safe for concurrent use.
type Table struct {
	entries            map[KeyRef]*entry
	keysPerTeam        map[string]int
	expiryQueue        fifo[expiryItem]
	stoppedIssuers     *stoppedIssuers
	bodies             bodyCache[KeyRef]
	retainedKeys       int
	maxKeys            int
	hasUnreadableClaim bool
	floor              record.Offset
	counts             TableCounts
}

// TableCounts are the counters of a Table.
type TableCounts struct {
	// Malformed counts malformed records, which are skipped. Their writer
	// cannot read them back either, so no call was granted because of them.
	Malformed uint64 `json:"malformed"`
	// UnknownKinds counts records of unknown kinds, which are skipped. A new
	// kind must therefore never change who holds a key.
	UnknownKinds uint64 `json:"unknownKinds"`
	// NewerRecords counts records of a newer version.
	NewerRecords uint64 `json:"newerRecords"`
	// Expired counts keys that expired, as they were older than the window.
	Expired uint64 `json:"forgotten"`
	// Omitted counts releases and outcomes without a known claim that were not
	// stored, as the table was half full.
	Omitted uint64 `json:"omitted"`
	// NotRetained counts how often a key without an outcome could not be
	// retained past the window, as too many were.
	NotRetained uint64 `json:"notKept"`
	// BodiesEvicted counts answer bodies evicted to stay within the limits.
	BodiesEvicted uint64 `json:"bodiesDropped"`
}

type entry struct {
	offset      record.Offset
	fingerprint Fingerprint
	unreleased  []string
	released    []string
	outcome     *Outcome
	// alwaysBlocked is true if the key stays blocked until it expires, as it
	// has too many claims or one of a newer version.
	alwaysBlocked bool
	// renewalScheduled is true while a renewal of the key's claims is
	// scheduled.
	renewalScheduled bool
	// retained is true if the key is retained past the window.
	retained bool
}

type expiryItem struct {
	ref    KeyRef
	offset record.Offset
}

// KeyState is what the table knows about a key.
type KeyState struct {
	// Blocked is true if the key has an unreleased claim or an outcome.
	Blocked     bool
	Fingerprint Fingerprint
	// Outcome is nil if none is known.
	Outcome *Outcome
}

// Change describes what a record changed.
type Change struct {
	Kind record.Kind
	ID   string
	Ref  KeyRef
	// Won is true if the record is a claim and every earlier claim of its key
	// was released.
	Won bool
}

// NewTable returns an empty table that stores at most maxBodies bytes of answer
// bodies. Claims are always stored; their number is limited by the hosts, which
// make no claims once they know maxKeys keys. Releases and outcomes without a
// known claim, which may be missing without harm, are stored only while there
// are fewer than maxKeys/2 keys.
func NewTable(maxKeys, maxBodies int) *Table {
	return &Table{
		entries:        make(map[KeyRef]*entry),
		keysPerTeam:    make(map[string]int),
		stoppedIssuers: newStoppedIssuers(),
		maxKeys:        maxKeys,
		bodies: bodyCache[KeyRef]{
			maxBytes: maxBodies,
		},
	}
}

// Apply applies the record at offset. Records must be applied in offset order.
// It reports false if the record was not applied.
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
		return Change{}, t.stoppedIssuers.add(body, t.floor)
	default:
		t.counts.UnknownKinds++
		return Change{}, nil
	}
}

// applyNewer treats a claim of a newer version as a claim that is never
// released. If its key cannot be read, no further claim can be granted.
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
	if err != nil || ref.Key == "" || validateKeyRef(ref) != nil {
		t.hasUnreadableClaim = true
		return Change{}, false
	}
	target := t.upsertEntry(ref, offset)
	target.alwaysBlocked = true
	return Change{
		Kind: envelope.Kind,
		ID:   envelope.ID,
		Ref:  ref,
	}, true
}

func (t *Table) applyClaim(offset record.Offset, id string, body claimBody) (Change, error) {
	ref, err := newKeyRef(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	target := t.upsertEntry(ref, offset)
	change := Change{
		Ref: ref,
	}
	if slices.Contains(target.unreleased, id) || slices.Contains(target.released, id) {
		return change, nil
	}
	if !target.isBlocked() {
		change.Won = !t.hasUnreadableClaim
		target.fingerprint = body.Fingerprint
	}
	target.addClaim(id)
	return change, nil
}

func (t *Table) applyRelease(offset record.Offset, body releaseBody) (Change, error) {
	ref, err := newKeyRef(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	if t.omitIfUnclaimed(ref) {
		return Change{}, nil
	}
	target := t.upsertEntry(ref, offset)
	target.releaseClaim(body.Claim)
	return Change{
		Ref: ref,
	}, nil
}

func (t *Table) applyOutcome(offset record.Offset, body outcomeBody) (Change, error) {
	ref, err := newKeyRef(body.Team, body.Key)
	if err != nil {
		return Change{}, err
	}
	if t.omitIfUnclaimed(ref) {
		return Change{}, nil
	}
	t.upsertEntry(ref, offset)
	t.RecordOutcome(ref, body.Fingerprint, body.Outcome)
	return Change{
		Ref: ref,
	}, nil
}

// omitIfUnclaimed reports whether a release or an outcome is not stored because
// no claim of its key is known and the table is half full, and counts it if so.
// Without its release a claim keeps blocking its key. An outcome without a
// claim belongs to an issued key, whose runs are not decided by the table.
func (t *Table) omitIfUnclaimed(ref KeyRef) bool {
	_, known := t.entries[ref]
	if known || len(t.entries) < t.maxKeys/2 {
		return false
	}
	t.counts.Omitted++
	return true
}

// HasOtherFingerprint reports whether the key was first used for another
// request than that of the fingerprint.
func (s KeyState) HasOtherFingerprint(fingerprint Fingerprint) bool {
	return s.Fingerprint != Fingerprint{} && s.Fingerprint != fingerprint
}

// RecordOutcome stores the outcome of a key unless the key already has one. The
// host that ran the call uses it before the log has confirmed the outcome,
// which is safe because an outcome can only block a key.
func (t *Table) RecordOutcome(ref KeyRef, fingerprint Fingerprint, outcome Outcome) {
	target, ok := t.entries[ref]
	if !ok || target.outcome != nil {
		return
	}
	if len(target.unreleased) == 0 {
		target.fingerprint = fingerprint
	}
	bounded := outcome.bounded()
	target.outcome = &bounded
	t.bodies.add(ref, len(bounded.Body), t.evictBody)
}

// Lookup returns what is known about a key.
func (t *Table) Lookup(ref KeyRef) KeyState {
	target, ok := t.entries[ref]
	if !ok {
		return KeyState{}
	}
	return KeyState{
		Blocked:     target.isBlocked(),
		Fingerprint: target.fingerprint,
		Outcome:     target.outcome,
	}
}

// ExpireBefore removes the keys whose latest record is before floor. From then
// on the table covers the records from floor on.
func (t *Table) ExpireBefore(floor record.Offset) {
	t.floor = max(t.floor, floor)
	for {
		oldest, ok := t.expiryQueue.peek()
		if !ok || oldest.offset >= floor {
			break
		}
		t.expiryQueue.pop()
		t.expireOrRequeue(oldest.ref, floor)
	}
	t.stoppedIssuers.removeBefore(floor)
}

// expireOrRequeue removes a key unless it has a newer record or is retained
// past the window. Such a key is moved to the end of the queue, which can only
// make it expire later.
func (t *Table) expireOrRequeue(ref KeyRef, floor record.Offset) {
	target := t.entries[ref]
	if target.offset < floor && (!target.isUnresolved() || !t.retain(target)) {
		t.remove(ref)
		t.counts.Expired++
		return
	}
	t.expiryQueue.push(expiryItem{
		ref:    ref,
		offset: max(target.offset, floor),
	})
}

// Rewind must be called when the log has lost records and the stream is read
// again from its start. What is known from the lost records is kept.
func (t *Table) Rewind() { t.floor = 0 }

// retain retains a key without an outcome past the window, unless too many keys
// are retained already.
func (t *Table) retain(target *entry) bool {
	if target.retained {
		return true
	}
	if t.retainedKeys >= t.maxKeys/retainedKeysDivisor {
		t.counts.NotRetained++
		return false
	}
	target.retained = true
	t.retainedKeys++
	return true
}

// Floor returns the offset from which on every record has been applied.
func (t *Table) Floor() record.Offset { return t.floor }

// KeyCount returns the number of keys in the table.
func (t *Table) KeyCount() int { return len(t.entries) }

// TeamKeyCount returns the number of keys of a team in the table.
func (t *Table) TeamKeyCount(team string) int { return t.keysPerTeam[team] }

// KeysUsedRecords returns the number of stored records about the keys of hosts
// that shut down.
func (t *Table) KeysUsedRecords() int { return t.stoppedIssuers.len() }

// HasUnreadableClaim reports whether the stream contains a claim of a newer
// version whose key could not be read, so that no further claim can be granted.
func (t *Table) HasUnreadableClaim() bool { return t.hasUnreadableClaim }

// Counts returns the table's counters.
func (t *Table) Counts() TableCounts { return t.counts }

func (t *Table) upsertEntry(ref KeyRef, offset record.Offset) *entry {
	target, ok := t.entries[ref]
	if !ok {
		target = &entry{}
		t.entries[ref] = target
		t.keysPerTeam[ref.Team]++
		t.expiryQueue.push(expiryItem{
			ref:    ref,
			offset: offset,
		})
	}
	target.offset = max(target.offset, offset)
	return target
}

func (t *Table) remove(ref KeyRef) {
	if t.entries[ref].retained {
		t.retainedKeys--
	}
	t.bodies.remove(t.entries[ref].outcome)
	delete(t.entries, ref)
	t.keysPerTeam[ref.Team]--
	if t.keysPerTeam[ref.Team] == 0 {
		delete(t.keysPerTeam, ref.Team)
	}
}

func (t *Table) evictBody(ref KeyRef) {
	if target, ok := t.entries[ref]; ok {
		t.bodies.remove(target.outcome)
		t.counts.BodiesEvicted++
	}
}

func (e *entry) isBlocked() bool {
	return len(e.unreleased) > 0 || e.outcome != nil || e.alwaysBlocked
}

// isUnresolved reports whether the key is blocked and has no outcome.
func (e *entry) isUnresolved() bool {
	return e.outcome == nil && e.isBlocked()
}

func (e *entry) addClaim(id string) {
	if len(e.unreleased) == maxUnreleasedClaims {
		e.alwaysBlocked = true
		return
	}
	e.unreleased = append(e.unreleased, id)
}

// releaseClaim moves the claim from the unreleased to the released ones. It is
// stored there even if it is not known yet, as the claim itself may arrive
// later. A key with an outcome was run and stays blocked.
func (e *entry) releaseClaim(id string) {
	if e.outcome != nil {
		return
	}
	if i := slices.Index(e.unreleased, id); i >= 0 {
		e.unreleased = slices.Delete(e.unreleased, i, i+1)
	}
	if slices.Contains(e.released, id) {
		return
	}
	if len(e.released) == maxReleasedClaims {
		e.released = slices.Delete(e.released, 0, 1)
	}
	e.released = append(e.released, id)
}

func newKeyRef(team, key string) (KeyRef, error) {
	ref := KeyRef{
		Team: team,
		Key:  key,
	}
	if key == "" {
		return KeyRef{}, &KeyError{Reason: KeyMalformed}
	}
	return ref, validateKeyRef(ref)
}
