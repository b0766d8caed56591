// Package directory tracks the endpoints that a host knows: which exist, their
// incarnations, which of them are leaving, and which were removed.
//
// # Usage
//
//	d := directory.New(directory.Settings{})
//	changes = d.Observe(now, entry, changes[:0])
//	changes = d.Expire(now, id, changes[:0])
//	changes = d.Tick(now, changes[:0])
//	wake, ok := d.NextWake()
//
// The entries come from a source that may itself become unavailable. During an
// outage, and for a grace period after the recovery, expired entries are kept,
// since their endpoints could not renew them. A Directory is a state machine
// without a clock and is not safe for concurrent use.
package directory

import "time"

// DefaultRecoveryGrace is how long after the source's recovery an expired entry
// may still be renewed: the bound that the source guarantees, plus a margin for
// the delay of reading.
const DefaultRecoveryGrace = 2200 * time.Millisecond

// maxClockSkew is how far an endpoint's clock may run ahead of the host's.
const maxClockSkew = 10 * time.Second

// Settings configures a directory.
type Settings struct {
	// RecoveryGrace is how long an expired entry is kept after the source has
	// recovered; zero means DefaultRecoveryGrace.
	RecoveryGrace time.Duration
}

// Entry is an endpoint's registration. Hosts exchange entries as JSON under the
// names of these fields, so a renamed field breaks the exchange between releases.
type Entry struct {
	// ID identifies the endpoint; ID and Born identify one incarnation.
	ID string
	// Born is the start time of this incarnation, in Unix milliseconds by the
	// endpoint's clock.
	Born    int64
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	Zone    string
	// Version is the version of the endpoint's software, or empty if it is not known.
	Version string
	// Slots is the number of calls that the endpoint runs concurrently.
	Slots int
	// Leaving is set when the endpoint accepts no new work.
	Leaving bool
	// ColdFor is the remaining time for which the endpoint is slow after a cold
	// start.
	ColdFor time.Duration
	// Spot is set for an endpoint at a lower price, which the platform may reclaim. LeavesIn is
	// the time until a leaving endpoint is gone, or zero if it is not known.
	Spot     bool
	LeavesIn time.Duration
}

// Listed is an entry of a complete listing, with the offset of its record.
type Listed struct {
	Entry  Entry
	Offset int64
}

// Change is a change of the directory: an Appeared, Updated, Leaving, Removed or Withheld.
type Change interface {
	isChange()
}

// Appeared reports a new endpoint or a new incarnation.
type Appeared struct {
	Entry Entry
}

// Updated reports changed slots or a changed zone of a known incarnation.
type Updated struct {
	Entry Entry
}

// Leaving reports that an incarnation accepts no new work from now on.
type Leaving struct {
	Entry  Entry
	Reason string
}

// Removed reports that an endpoint was removed.
type Removed struct {
	Entry  Entry
	Reason string
}

// Withheld reports that an endpoint is not used, as an older copy of the source has the entry
// of an incarnation that was removed before.
type Withheld struct {
	Entry Entry
}

func (Appeared) isChange() {}
func (Updated) isChange()  {}
func (Leaving) isChange()  {}
func (Removed) isChange()  {}
func (Withheld) isChange() {}

// Reasons for changes.
const (
	ReasonAnnounced  = "endpointSaidSo"
	ReasonExpired    = "entryLapsed"
	ReasonNotRenewed = "notBackAfterOutage"
	ReasonReplaced   = "newIncarnation"
	ReasonNotListed  = "notInListing"
	ReasonAnswered   = "answerSaidSo"
	ReasonHeard      = "otherHostSaidSo"
)

type record struct {
	entry Entry
	// expired is set while the entry is missing at the source; it is removed at
	// removeAt unless it is renewed before.
	expired  bool
	removeAt time.Time
}

// removal is an endpoint's incarnation that was removed.
type removal struct {
	born int64
	// leaving is set if it was leaving, so that it never accepts calls again.
	leaving   bool
	removedAt time.Time
}

// suspect is a listed entry of an incarnation that had been removed.
type suspect struct {
	listed Listed
	// predatesRewind is set if it had been removed before the last rewind, so that the
	// listing may lack the removal.
	predatesRewind bool
}

const (
	// maxRemovals bounds the removed endpoints that a directory remembers, and
	// removalMaxAge how long it does: longer than what the source can lose, and than a
	// removal that it has lost can be missing.
	maxRemovals   = 4096
	removalMaxAge = 2 * time.Minute
)

// Directory is the set of known endpoints.
type Directory struct {
	settings Settings
	records  map[string]*record
	// removals holds the removed endpoints by ID, and suspects the entries of a listing
	// that had been removed before.
	removals          map[string]removal
	suspects          map[string]suspect
	sourceUnavailable bool
	recoveredAt       time.Time
	rewoundAt         time.Time
	hadOutage         bool
}

// New returns an empty directory.
func New(settings Settings) *Directory {
	if settings.RecoveryGrace <= 0 {
		settings.RecoveryGrace = DefaultRecoveryGrace
	}
	return &Directory{
		settings: settings,
		records:  make(map[string]*record),
		removals: make(map[string]removal),
		suspects: make(map[string]suspect),
	}
}

// SetSourceUnavailable records that the source of entries is unavailable.
func (d *Directory) SetSourceUnavailable() {
	d.sourceUnavailable = true
	d.hadOutage = true
}

// SetSourceAvailable records that the source is available again. The grace period of
// expired entries starts now.
func (d *Directory) SetSourceAvailable(now time.Time) {
	if !d.sourceUnavailable {
		return
	}
	d.sourceUnavailable = false
	d.recoveredAt = now
	for _, r := range d.records {
		if r.expired {
			r.removeAt = now.Add(d.settings.RecoveryGrace)
		}
	}
}

// Rewind records that the source has come back from an older copy of itself. Entries
// that it lacks may be written again within the grace period. Entries that had been
// removed before may be listed again; they count only once they are written again, or
// if they stay listed for longer than a removal can be missing.
func (d *Directory) Rewind(now time.Time) {
	d.hadOutage = true
	d.recoveredAt = now
	d.rewoundAt = now
	// Offsets of different copies are not comparable.
	clear(d.suspects)
}

// ObserveListed applies an entry of a complete listing. An entry that had been removed
// before, and which the source may have from an older copy, is kept aside.
func (d *Directory) ObserveListed(now time.Time, listed Listed, changes []Change) []Change {
	entry := listed.Entry
	removed, ok := d.removals[entry.ID]
	if _, known := d.records[entry.ID]; known || !ok || removed.born != entry.Born {
		return d.Observe(now, entry, changes)
	}
	if previous, ok := d.suspects[entry.ID]; ok {
		if listed.Offset > previous.listed.Offset {
			return d.Observe(now, entry, changes)
		}
		return changes
	}
	predatesRewind := !removed.removedAt.After(d.rewoundAt)
	if !predatesRewind && !d.inGracePeriod(now) {
		return d.Observe(now, entry, changes)
	}
	d.suspects[entry.ID] = suspect{
		listed:         listed,
		predatesRewind: predatesRewind,
	}
	return append(changes, Withheld{Entry: entry})
}

// suspectUntil returns until when a suspect that is not written again is kept aside.
func (d *Directory) suspectUntil(s suspect) time.Time {
	until := d.recoveredAt.Add(d.settings.RecoveryGrace)
	if lost := d.rewoundAt.Add(removalMaxAge); s.predatesRewind && lost.After(until) {
		return lost
	}
	return until
}

// SetLeaving records that an incarnation of an endpoint is leaving by another source
// than its entry.
func (d *Directory) SetLeaving(id string, born int64, reason string, changes []Change) []Change {
	existing, ok := d.records[id]
	if !ok || existing.entry.Born != born || existing.entry.Leaving {
		return changes
	}
	existing.entry.Leaving = true
	return append(changes, Leaving{
		Entry:  existing.entry,
		Reason: reason,
	})
}

// Observe applies an endpoint's current entry. Entries of earlier incarnations
// are ignored, except that an incarnation that starts in the future yields to any later entry.
// An incarnation that was leaving when it was removed is still leaving.
func (d *Directory) Observe(now time.Time, entry Entry, changes []Change) []Change {
	delete(d.suspects, entry.ID)
	existing, ok := d.records[entry.ID]
	if !ok {
		if removed, ok := d.removals[entry.ID]; ok {
			if precedes(now, entry.Born, removed.born) {
				return changes
			}
			entry.Leaving = entry.Leaving || removed.leaving && entry.Born == removed.born
			delete(d.removals, entry.ID)
		}
		d.records[entry.ID] = &record{
			entry: entry,
		}
		changes = append(changes, Appeared{
			Entry: entry,
		})
		if entry.Leaving {
			changes = append(changes, Leaving{
				Entry:  entry,
				Reason: ReasonAnnounced,
			})
		}
		return changes
	}
	if precedes(now, entry.Born, existing.entry.Born) {
		return changes
	}
	if entry.Born != existing.entry.Born || entry.Address != existing.entry.Address || entry.Service != existing.entry.Service {
		changes = append(changes, Removed{
			Entry:  existing.entry,
			Reason: ReasonReplaced,
		})
		delete(d.records, entry.ID)
		return d.Observe(now, entry, changes)
	}
	existing.expired = false
	// An incarnation that is leaving stays so.
	entry.Leaving = entry.Leaving || existing.entry.Leaving
	previous := existing.entry
	existing.entry = entry
	if entry.Leaving && !previous.Leaving {
		return append(changes, Leaving{
			Entry:  entry,
			Reason: ReasonAnnounced,
		})
	}
	if entry.Slots != previous.Slots || entry.Zone != previous.Zone {
		return append(changes, Updated{
			Entry: entry,
		})
	}
	return changes
}

// precedes reports whether an incarnation that started at born is an earlier one than the known
// incarnation. Nothing precedes one that starts in the future: it is not the endpoint's own.
func precedes(now time.Time, born, known int64) bool {
	return born < known && known <= now.Add(maxClockSkew).UnixMilli()
}

// Expire handles the expiry of an endpoint's entry at the source. The endpoint
// is removed immediately, or after the grace period if the expiry may be due to
// an outage of the source.
func (d *Directory) Expire(now time.Time, id string, changes []Change) []Change {
	return d.expire(now, id, ReasonExpired, changes)
}

func (d *Directory) expire(now time.Time, id, reason string, changes []Change) []Change {
	delete(d.suspects, id)
	existing, ok := d.records[id]
	if !ok || existing.expired {
		return changes
	}
	if d.inGracePeriod(now) && !existing.entry.Leaving {
		existing.expired = true
		existing.removeAt = d.recoveredAt.Add(d.settings.RecoveryGrace)
		return changes
	}
	return d.remove(now, existing.entry, reason, changes)
}

func (d *Directory) remove(now time.Time, entry Entry, reason string, changes []Change) []Change {
	delete(d.records, entry.ID)
	if len(d.removals) >= maxRemovals {
		d.forgetRemovals(now)
	}
	d.removals[entry.ID] = removal{
		born:      entry.Born,
		leaving:   entry.Leaving,
		removedAt: now,
	}
	return append(changes, Removed{
		Entry:  entry,
		Reason: reason,
	})
}

// forgetRemovals forgets the removals that are too old to matter, or all if there are
// none.
func (d *Directory) forgetRemovals(now time.Time) {
	for id, r := range d.removals {
		if now.Sub(r.removedAt) > removalMaxAge {
			delete(d.removals, id)
		}
	}
	if len(d.removals) >= maxRemovals {
		clear(d.removals)
	}
}

// inGracePeriod reports whether an expiry may be due to an outage of the source.
func (d *Directory) inGracePeriod(now time.Time) bool {
	return d.sourceUnavailable || d.hadOutage && now.Before(d.recoveredAt.Add(d.settings.RecoveryGrace))
}

// Reconcile applies a complete listing of the source: entries whose ids are not in
// it have expired.
func (d *Directory) Reconcile(now time.Time, ids map[string]bool, changes []Change) []Change {
	for id := range d.suspects {
		if !ids[id] {
			delete(d.suspects, id)
		}
	}
	for id := range d.records {
		if !ids[id] {
			changes = d.expire(now, id, ReasonNotListed, changes)
		}
	}
	return changes
}

// Tick removes the expired entries whose grace period is over, and takes up the entries
// that have been kept aside for long enough.
func (d *Directory) Tick(now time.Time, changes []Change) []Change {
	for _, s := range d.suspects {
		if !d.sourceUnavailable && !now.Before(d.suspectUntil(s)) {
			changes = d.Observe(now, s.listed.Entry, changes)
		}
	}
	for id, r := range d.records {
		if !r.expired || d.sourceUnavailable || now.Before(r.removeAt) {
			continue
		}
		changes = d.remove(now, d.records[id].entry, ReasonNotRenewed, changes)
	}
	return changes
}

// NextWake returns when Tick is next due, or false if no change is pending.
func (d *Directory) NextWake() (time.Time, bool) {
	var next time.Time
	for _, s := range d.suspects {
		if until := d.suspectUntil(s); !d.sourceUnavailable && (next.IsZero() || until.Before(next)) {
			next = until
		}
	}
	for _, r := range d.records {
		if r.expired && !d.sourceUnavailable && (next.IsZero() || r.removeAt.Before(next)) {
			next = r.removeAt
		}
	}
	return next, !next.IsZero()
}

// Len returns the number of known entries.
func (d *Directory) Len() int { return len(d.records) }

// WithheldCount returns the number of listed entries that are kept aside.
func (d *Directory) WithheldCount() int { return len(d.suspects) }

// Entries returns all known entries in no particular order.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.records))
	for _, r := range d.records {
		entries = append(entries, r.entry)
	}
	return entries
}
