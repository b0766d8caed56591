// Package configuration implements the replicated state machine of the
// configuration: it applies the records of the log's configuration stream in
// offset order and yields the profiles and endpoint drains in force.
//
// A change carries its base revision, the profile's revision from which it was
// made, and is accepted only if that revision is still current; of two concurrent
// changes the one with the lower offset wins. The state is a pure function of the
// records before its next offset, so all hosts that have applied the same records
// have the same state and encode it to the same snapshot bytes.
//
// # Usage
//
//	state := configuration.New()
//	for _, stored := range records {
//		outcome := state.Apply(stored.Offset, stored.Data)
//		...
//	}
//	entry, ok := state.Entry("weddingMorningCheck")
//
// A State is owned by one duty. Other goroutines get clones, which they only
// read.
//
// # Deduplication
//
// The state keeps the ids of the last DedupWindow records. A change holds the
// next offset of its writer's state at the time of writing (asOf), and is
// rejected as stale if its own offset is more than DedupWindow higher. So a
// duplicate of a record is either within DedupWindow records of the first
// occurrence, whose id is still kept, or it is stale; it never takes effect
// twice. Profile changes are also protected by their base revision, which is no
// longer current after the first occurrence.
//
// # Drains
//
// A change of an endpoint has no base revision, so it cannot conflict. A change that
// passes the checks common to all changes is invalid only if a newer incarnation
// was drained or, for a drain, MaxDrains is reached.
//
// # Records of other releases
//
// A record that is malformed or of an unknown kind is counted and skipped. A
// release that adds a kind, a field or a check on which the state depends
// raises record.Version. A record of a newer version is not skipped: the state
// does not advance past it, and BlockedBy reports it.
package configuration

import (
	"cmp"
	"errors"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/record"
)

const (
	// DedupWindow is the number of latest records whose ids a state keeps, and
	// the maximum distance between a change's asOf and its own offset.
	DedupWindow = 1024
	// MaxProfiles limits the profiles in force.
	MaxProfiles = 512
	// MaxTombstones limits the tombstones of deleted profiles.
	MaxTombstones = 256
	// MaxDrains limits the endpoints that are drained.
	MaxDrains = 1024
)

// State is the configuration after all records before its next offset.
type State struct {
	nextOffset record.Offset
	digest     uint64
	entries    map[string]Entry
	drains     map[string]Drain
	// prunedTombstoneRevision is the highest revision of a pruned tombstone.
	prunedTombstoneRevision uint64
	// outcomes holds the outcomes of the last DedupWindow records in offset
	// order; outcomesByID indexes them.
	outcomes     []Outcome
	outcomesByID map[string]Outcome
	counts       VerdictCounts
	blockedBy    *VersionError
}

// New returns the empty state, whose next offset is zero.
func New() *State {
	return &State{
		entries:      make(map[string]Entry),
		drains:       make(map[string]Drain),
		outcomesByID: make(map[string]Outcome),
	}
}

// Clone returns a copy that shares no data that Apply modifies.
func (s *State) Clone() *State {
	return &State{
		nextOffset:              s.nextOffset,
		digest:                  s.digest,
		entries:                 maps.Clone(s.entries),
		drains:                  maps.Clone(s.drains),
		prunedTombstoneRevision: s.prunedTombstoneRevision,
		outcomes:                slices.Clone(s.outcomes),
		outcomesByID:            maps.Clone(s.outcomesByID),
		counts:                  s.counts,
		blockedBy:               s.blockedBy,
	}
}

// NextOffset returns the offset of the first record that is not applied yet.
func (s *State) NextOffset() record.Offset { return s.nextOffset }

// Digest returns a hash of all applied records. Two states with the same next
// offset and different digests come from different streams.
func (s *State) Digest() uint64 { return s.digest }

// Counts returns the number of records with each verdict.
func (s *State) Counts() VerdictCounts { return s.counts }

// BlockedBy returns an error with the offset and version of the record that the
// state cannot apply because its version is newer, or nil.
func (s *State) BlockedBy() *VersionError { return s.blockedBy }

// Entry returns a profile's entry, which may be a tombstone.
func (s *State) Entry(name string) (Entry, bool) {
	entry, ok := s.entries[name]
	return entry, ok
}

// Entries returns all entries and tombstones, sorted by name.
func (s *State) Entries() []Entry {
	return slices.SortedFunc(maps.Values(s.entries), func(a, b Entry) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// IsDrained reports whether an operator drained the endpoint's incarnation.
func (s *State) IsDrained(key endpoint.Key) bool {
	drain, ok := s.drains[key.Name]
	return ok && drain.Incarnation == key.Incarnation
}

// Drains returns the drained endpoints, sorted by name.
func (s *State) Drains() []Drain {
	return slices.SortedFunc(maps.Values(s.drains), func(a, b Drain) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// Outcome returns the outcome of the record with the given id, if it is among
// the last DedupWindow records.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, ok := s.outcomesByID[id]
	return outcome, ok
}

// Err returns nil for an accepted change, and otherwise a *ConflictError,
// *StaleError or *RejectedError.
func (s *State) Err(outcome Outcome) error {
	switch outcome.Verdict {
	case VerdictAccepted:
		return nil
	case VerdictConflict:
		return &ConflictError{
			Name:         outcome.Name,
			BaseRevision: outcome.BaseRevision,
			Current:      s.currentEntry(outcome),
		}
	case VerdictStale:
		return &StaleError{
			Name:   outcome.Name,
			Offset: outcome.Offset,
		}
	default:
		return &RejectedError{
			Name:   outcome.Name,
			Reason: outcome.Reason,
		}
	}
}

func (s *State) currentEntry(outcome Outcome) Entry {
	return s.entries[outcome.Name]
}

// Apply applies the record at offset, which must be the state's next offset. Any
// other offset leaves the state unchanged and yields VerdictAlreadyApplied or
// VerdictGap. A record of a newer version is not applied, and BlockedBy reports
// it.
func (s *State) Apply(offset record.Offset, data []byte) Outcome {
	switch {
	case offset < s.nextOffset:
		return Outcome{
			Offset:  offset,
			Verdict: VerdictAlreadyApplied,
		}
	case offset > s.nextOffset:
		return Outcome{
			Offset:  offset,
			Verdict: VerdictGap,
		}
	}
	envelope, err := record.Decode(data)
	var newer *record.VersionError
	if errors.As(err, &newer) {
		s.blockedBy = &VersionError{
			Offset:  offset,
			Version: newer.Version,
		}
		return Outcome{
			Offset:  offset,
			ID:      envelope.ID,
			Verdict: VerdictNewerVersion,
		}
	}
	outcome := s.applyEnvelope(offset, envelope, err)
	s.blockedBy = nil
	s.counts.add(outcome.Verdict)
	s.digest = chainDigest(s.digest, data)
	s.nextOffset = offset + 1
	s.evictOutcomes()
	return outcome
}

func (s *State) applyEnvelope(offset record.Offset, envelope record.Envelope, err error) Outcome {
	outcome := Outcome{
		Offset: offset,
		ID:     envelope.ID,
		Kind:   envelope.Kind,
	}
	if err == nil {
		err = checkID(envelope.ID)
	}
	if err != nil {
		outcome.Verdict = VerdictMalformed
		outcome.Reason = err.Error()
		return outcome
	}
	change, err := decodeChange(envelope)
	switch {
	case err != nil:
		outcome.Verdict = VerdictMalformed
		outcome.Reason = err.Error()
		return outcome
	case change == nil:
		outcome.Verdict = VerdictUnknownKind
		return outcome
	}
	if first, ok := s.outcomesByID[envelope.ID]; ok {
		first.Verdict = VerdictDuplicate
		return first
	}
	outcome.Name = truncateText(change.targetName())
	outcome.Fingerprint = Fingerprint(change)
	s.evaluate(&outcome, change)
	s.recordOutcome(outcome)
	return outcome
}

func (s *State) evaluate(outcome *Outcome, change Change) {
	if err := checkChange(change); err != nil {
		outcome.Verdict = VerdictInvalid
		outcome.Reason = truncateText(err.Error())
		return
	}
	switch {
	case change.asOf() > outcome.Offset:
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "asOf is ahead of the record's own offset"
		return
	case outcome.Offset-change.asOf() > DedupWindow:
		outcome.Verdict = VerdictStale
		return
	}
	switch change := change.(type) {
	case ProfileChange:
		s.evaluateProfileChange(outcome, change)
	case EndpointChange:
		s.evaluateEndpointChange(outcome, change)
	}
}

func (s *State) evaluateProfileChange(outcome *Outcome, change ProfileChange) {
	current, exists := s.entries[change.Name]
	outcome.BaseRevision = change.BaseRevision
	switch {
	case current.Revision != change.BaseRevision:
		outcome.Verdict = VerdictConflict
	case !exists && uint64(change.AsOf) < s.prunedTombstoneRevision:
		// The writer may not have seen a deletion whose tombstone was pruned.
		outcome.Verdict = VerdictStale
	case change.Deleted && (!exists || current.Deleted):
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "there is no such profile"
	case !change.Deleted && (!exists || current.Deleted) && s.countLiveProfiles() >= MaxProfiles:
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "too many profiles"
	default:
		outcome.Verdict = VerdictAccepted
		outcome.Revision = uint64(outcome.Offset) + 1
		s.replaceEntry(current, *outcome, change)
		return
	}
	if exists {
		current.Rejected = appendBounded(current.Rejected, newHistoryEntry(*outcome, change, nil), maxRejectedHistory)
		s.entries[change.Name] = current
	}
}

func (s *State) replaceEntry(current Entry, outcome Outcome, change ProfileChange) {
	entry := Entry{
		Name:     change.Name,
		Revision: outcome.Revision,
		Deleted:  change.Deleted,
		Author:   change.Author,
		Spec:     change.Spec,
		Accepted: appendBounded(current.Accepted, newHistoryEntry(outcome, change, change.Spec), maxAcceptedHistory),
		Rejected: current.Rejected,
	}
	if change.Spec != nil {
		// checkChange has already validated the spec.
		entry.profile, _ = profile.New(*change.Spec)
	}
	s.entries[change.Name] = entry
	if change.Deleted {
		s.pruneOldestTombstone()
	}
}

func newHistoryEntry(outcome Outcome, change ProfileChange, spec *profile.Spec) HistoryEntry {
	return HistoryEntry{
		Revision:     outcome.Revision,
		BaseRevision: change.BaseRevision,
		Offset:       outcome.Offset,
		ID:           outcome.ID,
		Author:       change.Author,
		Deleted:      change.Deleted,
		Spec:         spec,
	}
}

func (s *State) evaluateEndpointChange(outcome *Outcome, change EndpointChange) {
	current, drained := s.drains[change.Name]
	switch {
	case change.Incarnation < current.Incarnation:
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "a newer incarnation was drained"
	case change.Drained && !drained && len(s.drains) >= MaxDrains:
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "too many drained endpoints"
	default:
		outcome.Verdict = VerdictAccepted
		outcome.Revision = uint64(outcome.Offset) + 1
		delete(s.drains, change.Name)
		if change.Drained {
			s.drains[change.Name] = Drain{
				Name:        change.Name,
				Incarnation: change.Incarnation,
				Author:      change.Author,
				Offset:      outcome.Offset,
			}
		}
	}
}

func (s *State) countLiveProfiles() int {
	count := 0
	for _, entry := range s.entries {
		if !entry.Deleted {
			count++
		}
	}
	return count
}

// pruneOldestTombstone removes the oldest tombstone if there are more than
// MaxTombstones.
func (s *State) pruneOldestTombstone() {
	if len(s.entries)-s.countLiveProfiles() <= MaxTombstones {
		return
	}
	var oldest Entry
	for _, entry := range s.entries {
		if entry.Deleted && (oldest.Revision == 0 || entry.Revision < oldest.Revision) {
			oldest = entry
		}
	}
	delete(s.entries, oldest.Name)
	s.prunedTombstoneRevision = max(s.prunedTombstoneRevision, oldest.Revision)
}

func (s *State) recordOutcome(outcome Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.outcomesByID[outcome.ID] = outcome
}

// evictOutcomes removes the outcomes of records more than DedupWindow offsets
// back: a duplicate of such a record would be stale.
func (s *State) evictOutcomes() {
	expired := 0
	for expired < len(s.outcomes) && s.nextOffset-s.outcomes[expired].Offset > DedupWindow {
		delete(s.outcomesByID, s.outcomes[expired].ID)
		expired++
	}
	s.outcomes = s.outcomes[expired:]
}

func chainDigest(digest uint64, data []byte) uint64 {
	var previous [8]byte
	for i := range previous {
		previous[i] = byte(digest >> (8 * i))
	}
	hash := xxhash.New()
	_, _ = hash.Write(previous[:])
	_, _ = hash.Write(data)
	return hash.Sum64()
}
