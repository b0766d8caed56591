// Package replica keeps a host's copy of a topic of keyed records and decides where
// the host gets its changes from: from the log service, or from another host.
//
// # Usage
//
//	table := replica.New()
//	table.Replace(replica.Position{Era: 1, Offset: 40}, listing)
//	table.Apply(replica.Position{Era: 1, Offset: 42}, records)
//	changes := table.Since(position)
//
//	planner := replica.NewPlanner(settings, startedAt)
//	switch step := planner.Next(now, view).(type) {
//	case replica.Read:
//		...
//	case replica.Fetch:
//		...
//	case replica.Wait:
//		...
//	}
//
// A few hosts of a fleet, the readers, read the log; the other hosts get the changes
// from them or from each other, so that the number of calls to the log does not grow
// with the fleet. Each host tells the others the position of its copy, so a host that
// is behind finds out whatever one connection does. Which hosts are readers follows
// from the hosts that a host knows, without an agreement: while hosts disagree there
// are more readers, or a host that hears of no reader reads for itself.
//
// Nothing in the package reads a clock or starts a goroutine.
package replica

import (
	"cmp"
	"slices"
)

// maxDeletions bounds the deletions that a table remembers. A host that is further
// behind gets the whole table.
const maxDeletions = 1024

// largeBytes is the size above which a value is compressed for other hosts. The value before it is
// kept, so that hosts which have that one get the difference.
const largeBytes = 16 << 10

// Record is one record of a topic.
type Record struct {
	Key   string
	Value []byte
	// Omitted is the size in bytes of a value that is too large to be kept, or zero. Value is
	// empty then.
	Omitted int `json:",omitempty"`
	// Deleted reports whether the record deletes its key.
	Deleted bool
	Offset  int64
}

// Position is the end of a copy of a topic.
type Position struct {
	// Era counts how often the log has come back from an older copy of itself. Offsets
	// of different eras are not comparable.
	Era int64
	// Offset is the offset after the last record. It is positive once anything is
	// known, and negative before.
	Offset int64
}

// Unknown returns the position of a host that has no copy yet.
func Unknown() Position {
	return Position{
		Era:    -1,
		Offset: -1,
	}
}

// IsKnown reports whether there is a copy.
func (p Position) IsKnown() bool { return p.Offset >= 0 }

// After reports whether p is later than other.
func (p Position) After(other Position) bool {
	return p.Era > other.Era || p.Era == other.Era && p.Offset > other.Offset
}

// Changes is the part of a copy that another host lacks.
type Changes struct {
	// End is the position that the receiver has after it has applied the records.
	End Position
	// Whole is set if the records are all keys of the topic rather than only those
	// that have changed.
	Whole   bool
	Records []Record
}

// Table is a copy of a topic. It is not safe for concurrent use.
type Table struct {
	end     Position
	records map[string]Record
	// large holds the records of which the value is large, and previous the ones before them if
	// their values were large, too.
	large    map[string]Record
	previous map[string]Record
	// deletions holds the offsets at which keys were deleted, oldest first, and
	// forgottenBefore is the offset before which deletions may be missing.
	deletions       []Record
	forgottenBefore int64
}

// New returns a table that has no copy yet.
func New() *Table {
	return &Table{
		end:      Unknown(),
		records:  make(map[string]Record),
		large:    make(map[string]Record),
		previous: make(map[string]Record),
	}
}

// IsLarge reports whether the value of a record is large.
func IsLarge(record Record) bool { return len(record.Value) > largeBytes }

// Record returns the newest record of a key.
func (t *Table) Record(key string) (Record, bool) {
	record, ok := t.records[key]
	return record, ok
}

// Previous returns the record before the newest one of a key, if both are large and of the same era.
func (t *Table) Previous(key string) (Record, bool) {
	record, ok := t.previous[key]
	return record, ok
}

// Large returns the newest large record, and false if there is none.
func (t *Table) Large() (Record, bool) {
	var newest Record
	found := false
	for _, record := range t.large {
		if !found || record.Offset > newest.Offset {
			newest, found = record, true
		}
	}
	return newest, found
}

// keepLarge keeps a record if its value is large, and the one that it replaces.
func (t *Table) keepLarge(record Record) {
	before, ok := t.large[record.Key]
	switch {
	case !IsLarge(record):
		delete(t.large, record.Key)
		delete(t.previous, record.Key)
		return
	case ok && before.Offset != record.Offset:
		t.previous[record.Key] = before
	}
	t.large[record.Key] = record
}

// End returns the position of the copy.
func (t *Table) End() Position { return t.end }

// Replace replaces the copy by a listing that ends at a position.
func (t *Table) Replace(end Position, records []Record) {
	if end.Era != t.end.Era {
		// Offsets of another era name other records.
		clear(t.previous)
		clear(t.large)
	}
	listed := make(map[string]bool, len(t.large))
	for _, record := range records {
		t.keepLarge(record)
		listed[record.Key] = true
	}
	for key := range t.large {
		if !listed[key] {
			delete(t.large, key)
			delete(t.previous, key)
		}
	}
	t.end = end
	t.records = make(map[string]Record, len(records))
	t.deletions = nil
	t.forgottenBefore = end.Offset
	for _, record := range records {
		t.records[record.Key] = record
	}
}

// Apply applies new records, after which the copy ends at a position of the same era.
func (t *Table) Apply(end Position, records []Record) {
	t.end = end
	for _, record := range records {
		t.keepLarge(record)
		if !record.Deleted {
			t.records[record.Key] = record
			continue
		}
		delete(t.records, record.Key)
		t.deletions = append(t.deletions, record)
	}
	if excess := len(t.deletions) - maxDeletions; excess > 0 {
		t.forgottenBefore = t.deletions[excess-1].Offset + 1
		t.deletions = slices.Delete(t.deletions, 0, excess)
	}
}

// Since returns the changes after a position, in the order of their offsets. They are
// the whole table if the position is of another era or too old.
func (t *Table) Since(position Position) Changes {
	changes := Changes{
		End:   t.end,
		Whole: position.Era != t.end.Era || position.Offset < t.forgottenBefore,
	}
	for _, record := range t.records {
		if changes.Whole || record.Offset >= position.Offset {
			changes.Records = append(changes.Records, record)
		}
	}
	if !changes.Whole {
		for _, record := range t.deletions {
			if _, setAgain := t.records[record.Key]; record.Offset >= position.Offset && !setAgain {
				changes.Records = append(changes.Records, record)
			}
		}
	}
	slices.SortFunc(changes.Records, func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
	return changes
}
