// Package configuration reduces the configuration stream of the log, in offset
// order, to the profiles and endpoint drains in force.
//
// A change carries the revision that it was made from and is accepted only if
// that revision is still current; of two racing changes the one with the lower
// offset wins. The state is a pure function of the records before its next
// offset, so every host that has read as far has the same state, and its
// snapshot has the same bytes at every host.
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
// A State is owned by one duty. Others are given clones, which they only read.
//
// # Repeated ids
//
// The state remembers the ids of the last Window records. A record names the
// offset as of which it was written, and is refused as stale when its place in
// the stream is more than Window records after that. So a repetition of a
// record is either within Window records of the first one, and its id is
// remembered, or it is stale; it never has a second effect. Profile
// changes are further protected by their base revision, which the first
// occurrence has used up.
//
// # Drains
//
// A change of an endpoint has no base revision, so that an operator's drain
// always takes effect.
//
// # Records of other releases
//
// A record that is malformed or of an unknown kind is counted and skipped. A
// release that adds a kind, a field or a check on which the reduced state
// depends raises record.Version. A record of a newer version is not skipped:
// the state stays in front of it and says so with Blocked.
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
	// DedupWindow is how many of the latest records' ids a state remembers, and how
	// many records after its writing a change may take its place in the
	// stream.
	DedupWindow = 1024
	// MaxProfiles bounds the profiles in force.
	MaxProfiles = 512
	// MaxTombstones bounds the deleted profiles that are remembered.
	MaxTombstones = 256
	// MaxDrains bounds the endpoints that are drained.
	MaxDrains = 1024
)

// State is the reduced configuration in front of its next offset.
type State struct {
	nextOffset record.Offset
	digest     uint64
	entries    map[string]Entry
	drains     map[string]Drain
	// prunedAt is the highest revision of a tombstone that was forgotten.
	prunedAt uint64
	// outcomes holds the remembered outcomes in offset order; byID indexes
	// them.
	outcomes []Outcome
	byID     map[string]Outcome
	counts   VerdictCounts
	blocked  *VersionError
}

// New returns the state in front of offset zero.
func New() *State {
	return &State{
		entries: make(map[string]Entry),
		drains:  make(map[string]Drain),
		byID:    make(map[string]Outcome),
	}
}

// Clone returns a copy that shares nothing that Apply changes.
func (s *State) Clone() *State {
	return &State{
		nextOffset: s.nextOffset,
		digest:     s.digest,
		entries:    maps.Clone(s.entries),
		drains:     maps.Clone(s.drains),
		prunedAt:   s.prunedAt,
		outcomes:   slices.Clone(s.outcomes),
		byID:       maps.Clone(s.byID),
		counts:     s.counts,
		blocked:    s.blocked,
	}
}

// NextOffset returns the offset of the first record that is not reduced yet.
func (s *State) NextOffset() record.Offset { return s.nextOffset }

// Digest returns a hash of all records before Next. Two states with the same
// Next and different digests come from different streams.
func (s *State) Digest() uint64 { return s.digest }

// Counts returns how many records had each verdict.
func (s *State) Counts() VerdictCounts { return s.counts }

// BlockedBy returns the newer record that the state stays in front of, or nil.
func (s *State) BlockedBy() *VersionError { return s.blocked }

// Entry returns the entry of a profile, which may be a tombstone.
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

// IsDrained reports whether an operator drained the endpoint's
// incarnation.
func (s *State) IsDrained(key endpoint.Key) bool {
	drain, ok := s.drains[key.Name]
	return ok && drain.Incarnation == key.Incarnation
}

// Drains returns the endpoints that are drained, sorted by name.
func (s *State) Drains() []Drain {
	return slices.SortedFunc(maps.Values(s.drains), func(a, b Drain) int {
		return cmp.Compare(a.Name, b.Name)
	})
}

// Outcome returns what became of the record with the given id, if it is among
// the last Window records.
func (s *State) Outcome(id string) (Outcome, bool) {
	outcome, ok := s.byID[id]
	return outcome, ok
}

// Err returns nil for an accepted change and otherwise a *ConflictError,
// *StaleError or *RejectedError.
func (s *State) Err(outcome Outcome) error {
	switch outcome.Verdict {
	case VerdictAccepted:
		return nil
	case VerdictConflict:
		return &ConflictError{
			Name:         outcome.Name,
			BaseRevision: outcome.BaseRevision,
			Current:      s.current(outcome),
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

func (s *State) current(outcome Outcome) Entry {
	return s.entries[outcome.Name]
}

// Apply reduces the record at offset, which must be the state's next one. A
// record of a newer version is not reduced, and Blocked names it.
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
		s.blocked = &VersionError{
			Offset:  offset,
			Version: newer.Version,
		}
		return Outcome{
			Offset:  offset,
			ID:      envelope.ID,
			Verdict: VerdictNewerVersion,
		}
	}
	outcome := s.reduce(offset, envelope, err)
	s.blocked = nil
	s.counts.add(outcome.Verdict)
	s.digest = chain(s.digest, data)
	s.nextOffset = offset + 1
	s.forgetOutcomes()
	return outcome
}

func (s *State) reduce(offset record.Offset, envelope record.Envelope, err error) Outcome {
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
	if first, ok := s.byID[envelope.ID]; ok {
		first.Verdict = VerdictRepeated
		return first
	}
	outcome.Name = shortened(change.subject())
	outcome.Fingerprint = Fingerprint(change)
	s.decide(&outcome, change)
	s.remember(outcome)
	return outcome
}

func (s *State) decide(outcome *Outcome, change Change) {
	if err := checkChange(change); err != nil {
		outcome.Verdict = VerdictInvalid
		outcome.Reason = shortened(err.Error())
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
		s.decideProfile(outcome, change)
	case EndpointChange:
		s.decideEndpoint(outcome, change)
	}
}

func (s *State) decideProfile(outcome *Outcome, change ProfileChange) {
	current, known := s.entries[change.Name]
	outcome.BaseRevision = change.BaseRevision
	switch {
	case current.Revision != change.BaseRevision:
		outcome.Verdict = VerdictConflict
	case !known && uint64(change.AsOf) < s.prunedAt:
		// The writer may not have seen a deletion that is forgotten since.
		outcome.Verdict = VerdictStale
	case change.Deleted && (!known || current.Deleted):
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "there is no such profile"
	case !change.Deleted && (!known || current.Deleted) && s.live() >= MaxProfiles:
		outcome.Verdict = VerdictInvalid
		outcome.Reason = "too many profiles"
	default:
		outcome.Verdict = VerdictAccepted
		outcome.Revision = uint64(outcome.Offset) + 1
		s.replace(current, *outcome, change)
		return
	}
	if known {
		current.Rejected = appendBounded(current.Rejected, past(*outcome, change, nil), maxRejectedHistory)
		s.entries[change.Name] = current
	}
}

func (s *State) replace(current Entry, outcome Outcome, change ProfileChange) {
	entry := Entry{
		Name:     change.Name,
		Revision: outcome.Revision,
		Deleted:  change.Deleted,
		Author:   change.Author,
		Spec:     change.Spec,
		Accepted: appendBounded(current.Accepted, past(outcome, change, change.Spec), maxAcceptedHistory),
		Rejected: current.Rejected,
	}
	if change.Spec != nil {
		// checkChange has found the text valid.
		entry.profile, _ = profile.New(*change.Spec)
	}
	s.entries[change.Name] = entry
	if change.Deleted {
		s.pruneTombstones()
	}
}

func past(outcome Outcome, change ProfileChange, spec *profile.Spec) HistoryEntry {
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

func (s *State) decideEndpoint(outcome *Outcome, change EndpointChange) {
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

func (s *State) live() int {
	count := 0
	for _, entry := range s.entries {
		if !entry.Deleted {
			count++
		}
	}
	return count
}

// pruneTombstones forgets the oldest tombstone beyond the bound.
func (s *State) pruneTombstones() {
	if len(s.entries)-s.live() <= MaxTombstones {
		return
	}
	var oldest Entry
	for _, entry := range s.entries {
		if entry.Deleted && (oldest.Revision == 0 || entry.Revision < oldest.Revision) {
			oldest = entry
		}
	}
	delete(s.entries, oldest.Name)
	s.prunedAt = max(s.prunedAt, oldest.Revision)
}

func (s *State) remember(outcome Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	s.byID[outcome.ID] = outcome
}

// forgetOutcomes drops the outcomes that no repetition of the next record can
// reach without being stale.
func (s *State) forgetOutcomes() {
	expired := 0
	for expired < len(s.outcomes) && s.nextOffset-s.outcomes[expired].Offset > DedupWindow {
		delete(s.byID, s.outcomes[expired].ID)
		expired++
	}
	s.outcomes = s.outcomes[expired:]
}

func chain(digest uint64, data []byte) uint64 {
	var previous [8]byte
	for i := range previous {
		previous[i] = byte(digest >> (8 * i))
	}
	hash := xxhash.New()
	_, _ = hash.Write(previous[:])
	_, _ = hash.Write(data)
	return hash.Sum64()
}
