// Package directory keeps what a host knows of its endpoints: which exist, in
// which incarnation, which of them are leaving, and which are gone.
//
// # Usage
//
//	d := directory.New(directory.Settings{})
//	changes = d.Observe(now, entry, changes[:0])
//	changes = d.Lapse(now, id, changes[:0])
//	changes = d.Tick(now, changes[:0])
//	wake, ok := d.NextWake()
//
// The entries come from a source that may itself fail. While it is away, and
// for a while after its return, entries that lapse are kept, since their owners
// could not renew them. A Directory is a state machine without a clock, and is
// not safe for concurrent use.
package directory

import "time"

// DefaultRecoveryGrace is how long after the source's return a lapsed entry may
// still come back: the bound that the source states for it, and some delay of
// reading.
const DefaultRecoveryGrace = 2200 * time.Millisecond

// Settings holds the times of a directory.
type Settings struct {
	// RecoveryGrace is how long a lapsed entry is kept after the return of the
	// source; zero stands for DefaultReturnGrace.
	RecoveryGrace time.Duration
}

// Entry is what an endpoint says of itself.
type Entry struct {
	// ID names the endpoint; with Born it names one incarnation.
	ID string
	// Born is the start of this incarnation, in Unix milliseconds by the
	// endpoint's clock.
	Born    int64
	Service string
	// Address is the IP and port on which the endpoint serves.
	Address string
	Zone    string
	// Slots is the number of calls that the endpoint runs at once.
	Slots int
	// Leaving says that the endpoint takes no new work.
	Leaving bool
	// ColdFor is how much longer the endpoint is slow after its start.
	ColdFor time.Duration
}

// Change is a change of what the host believes. The types of this file are all
// there are.
type Change interface {
	isChange()
}

// Appeared brings a new endpoint or a new incarnation.
type Appeared struct {
	Entry Entry
}

// Updated brings an incarnation's new entry.
type Updated struct {
	Entry Entry
}

// Leaving says that an incarnation takes no new work from now on.
type Leaving struct {
	Entry  Entry
	Reason string
}

// Removed says that an endpoint is gone.
type Removed struct {
	Entry  Entry
	Reason string
}

func (Appeared) isChange() {}
func (Updated) isChange()  {}
func (Leaving) isChange()  {}
func (Removed) isChange()  {}

// The reasons of changes.
const (
	ReasonAnnounced  = "endpointSaidSo"
	ReasonExpired    = "entryLapsed"
	ReasonNotRenewed = "notBackAfterOutage"
	ReasonReplaced   = "newIncarnation"
	ReasonNotListed  = "notInListing"
)

type record struct {
	entry Entry
	// lapsed says that the entry is missing at the source; it is dropped at
	// dropAt unless it comes back.
	lapsed bool
	dropAt time.Time
}

// Directory is the set of known endpoints.
type Directory struct {
	settings Settings
	records  map[string]*record
	away     bool
	backAt   time.Time
	everAway bool
}

// New returns an empty directory.
func New(settings Settings) *Directory {
	if settings.RecoveryGrace <= 0 {
		settings.RecoveryGrace = DefaultRecoveryGrace
	}
	return &Directory{
		settings: settings,
		records:  make(map[string]*record),
	}
}

// SetSourceUnavailable says that the source of entries does not answer.
func (d *Directory) SetSourceUnavailable() {
	d.away = true
	d.everAway = true
}

// SetSourceAvailable says that the source answers again.
func (d *Directory) SetSourceAvailable(now time.Time) {
	if !d.away {
		return
	}
	d.away = false
	d.backAt = now
	for _, r := range d.records {
		if r.lapsed {
			r.dropAt = now.Add(d.settings.RecoveryGrace)
		}
	}
}

// Observe takes an endpoint's entry.
func (d *Directory) Observe(_ time.Time, entry Entry, changes []Change) []Change {
	known, ok := d.records[entry.ID]
	if !ok {
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
	if entry.Born < known.entry.Born {
		return changes
	}
	if entry.Born > known.entry.Born || entry.Address != known.entry.Address || entry.Service != known.entry.Service {
		changes = append(changes, Removed{
			Entry:  known.entry,
			Reason: ReasonReplaced,
		})
		delete(d.records, entry.ID)
		return d.Observe(time.Time{}, entry, changes)
	}
	known.lapsed = false
	// Leaving holds for the rest of an incarnation.
	entry.Leaving = entry.Leaving || known.entry.Leaving
	before := known.entry
	known.entry = entry
	if entry.Leaving && !before.Leaving {
		return append(changes, Leaving{
			Entry:  entry,
			Reason: ReasonAnnounced,
		})
	}
	if entry.Slots != before.Slots || entry.Zone != before.Zone {
		return append(changes, Updated{
			Entry: entry,
		})
	}
	return changes
}

// Expire says that the source no longer holds an endpoint's entry.
func (d *Directory) Expire(now time.Time, id string, changes []Change) []Change {
	return d.lapse(now, id, ReasonExpired, changes)
}

func (d *Directory) lapse(now time.Time, id, reason string, changes []Change) []Change {
	known, ok := d.records[id]
	if !ok || known.lapsed {
		return changes
	}
	if d.inGrace(now) && !known.entry.Leaving {
		known.lapsed = true
		known.dropAt = d.backAt.Add(d.settings.RecoveryGrace)
		return changes
	}
	delete(d.records, id)
	return append(changes, Removed{
		Entry:  known.entry,
		Reason: reason,
	})
}

// inGrace reports whether a lapse may be the source's own fault.
func (d *Directory) inGrace(now time.Time) bool {
	return d.away || d.everAway && now.Before(d.backAt.Add(d.settings.RecoveryGrace))
}

// Reconcile says that a whole listing of the source held just these ids.
func (d *Directory) Reconcile(now time.Time, ids map[string]bool, changes []Change) []Change {
	for id := range d.records {
		if !ids[id] {
			changes = d.lapse(now, id, ReasonNotListed, changes)
		}
	}
	return changes
}

// Tick drops the entries that did not come back in time.
func (d *Directory) Tick(now time.Time, changes []Change) []Change {
	for id, r := range d.records {
		if !r.lapsed || d.away || now.Before(r.dropAt) {
			continue
		}
		delete(d.records, id)
		changes = append(changes, Removed{
			Entry:  r.entry,
			Reason: ReasonNotRenewed,
		})
	}
	return changes
}

// NextWake returns when Tick is due. It reports false when it is not.
func (d *Directory) NextWake() (time.Time, bool) {
	var at time.Time
	for _, r := range d.records {
		if r.lapsed && !d.away && (at.IsZero() || r.dropAt.Before(at)) {
			at = r.dropAt
		}
	}
	return at, !at.IsZero()
}

// Len returns the number of known entries.
func (d *Directory) Len() int { return len(d.records) }

// Entries returns a copy of all known entries.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.records))
	for _, r := range d.records {
		entries = append(entries, r.entry)
	}
	return entries
}
