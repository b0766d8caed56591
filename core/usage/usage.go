// Package usage counts the requests of each team by windows of true time, sums up the counts of a
// fleet, and decides which window is reported when.
//
// # Usage
//
// Each host counts with a Counter, and sends its counts to the holder of the lease:
//
//	counter := usage.NewCounter(settings)
//	counter.Record(mono, "clerks")
//	counts, version := counter.Changes(acknowledged)
//
// The holder merges them into a Tally, derives the true time from the hosts' clocks with
// MedianOffset, and asks a Book which window is to be fixed or reported:
//
//	tally.Merge(report, oldest, newest)
//	if window, ok := book.Due(trueTime); ok { ... }
//
// Counts are cumulative for one incarnation of a host, so that a message may come twice, late, or
// not at all. The types are designed for 2,400 hosts with some hundred teams; memory is bounded by
// hosts, teams and the few windows that are not reported yet.
package usage

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// slotTime is the resolution at which requests are kept until the true time is known. A
	// fiftieth of a window of 5 s is below the tolerance of a report.
	slotTime = 100 * time.Millisecond
	// minCloseDelay is the time from a window's end until it is fixed: the period of the hosts'
	// messages, a lost one, and differences between the clocks.
	minCloseDelay = 1500 * time.Millisecond
	// closeSlack is what the delay has beyond the period in a large fleet.
	closeSlack = time.Second
	// minPushPeriod is the shortest period of a host's messages, and pushesPerSecond the number
	// of messages a second that a holder gets at most: about 2% of a core.
	minPushPeriod   = 250 * time.Millisecond
	pushesPerSecond = 150
	// reportTime is the time that remains for a report after its window is fixed.
	reportTime = 2 * time.Second
	// keptWindows is the number of windows that are kept beyond those whose report may be due.
	keptWindows = 2
	// retryInterval is the time between two tries of a report.
	retryInterval = 250 * time.Millisecond
	// maxSources, maxWindows and maxTeams bound a Tally.
	maxSources = 8192
	maxWindows = 64
	maxTeams   = 4096
)

// Settings holds the settings of the reports.
type Settings struct {
	// Window is the length of a window, and Delay the time from its end until its report is due.
	Window time.Duration
	Delay  time.Duration
}

// WindowAt returns the window that contains a time, which is given since the Unix epoch.
func (s Settings) WindowAt(at time.Duration) int64 {
	return int64(at / s.Window)
}

// End returns the end of a window.
func (s Settings) End(window int64) time.Duration {
	return time.Duration(window+1) * s.Window
}

// PushPeriod returns the time between two messages of a host in a fleet of the given size. In a very
// large fleet it is bounded by the time until a report is due.
func (s Settings) PushPeriod(hosts int) time.Duration {
	period := time.Duration(hosts) * time.Second / pushesPerSecond
	return max(min(period, s.Delay-closeSlack-reportTime), minPushPeriod)
}

// CloseDelay returns the time from a window's end until it is fixed.
func (s Settings) CloseDelay(hosts int) time.Duration {
	return max(minCloseDelay, s.PushPeriod(hosts)+closeSlack)
}

// Oldest returns the oldest window that is kept at a time.
func (s Settings) Oldest(at time.Duration) int64 {
	return s.WindowAt(at-s.Delay) - keptWindows
}

// Counts are numbers of requests by team.
type Counts map[string]int64

// ByWindow are counts by window.
type ByWindow map[int64]Counts

// Counter counts the requests of one host. It is not safe for concurrent use.
type Counter struct {
	Settings
	// offset is the true time at the zero of the monotonic clock, if isSynced is set.
	offset   time.Duration
	isSynced bool
	// slots holds the requests before the true time was known, by their time on the monotonic
	// clock.
	slots   map[int64]Counts
	counts  ByWindow
	changed map[int64]uint64
	version uint64
}

// NewCounter returns a counter that does not know the true time.
func NewCounter(settings Settings) *Counter {
	return &Counter{
		Settings: settings,
		slots:    make(map[int64]Counts),
		counts:   make(ByWindow),
		changed:  make(map[int64]uint64),
	}
}

// Record counts a request that began at a time of the monotonic clock.
func (c *Counter) Record(mono time.Duration, team string) {
	if !c.isSynced {
		slot := int64(mono / slotTime)
		if c.slots[slot] == nil {
			c.slots[slot] = make(Counts)
			c.dropSlots(slot)
		}
		c.slots[slot][team]++
		return
	}
	c.add(c.WindowAt(mono+c.offset), team, 1)
}

// dropSlots drops the slots whose reports are overdue.
func (c *Counter) dropSlots(newest int64) {
	oldest := newest - int64((c.Delay+keptWindows*c.Window)/slotTime)
	maps.DeleteFunc(c.slots, func(slot int64, _ Counts) bool { return slot < oldest })
}

func (c *Counter) add(window int64, team string, count int64) {
	if c.counts[window] == nil {
		c.counts[window] = make(Counts)
		// Without a holder nobody else drops the windows whose reports are overdue.
		c.Forget(c.Oldest(time.Duration(window)*c.Window) - 1)
	}
	c.counts[window][team] += count
	c.version++
	c.changed[window] = c.version
}

// Sync sets the true time at a time of the monotonic clock. Requests that are counted already stay
// in their windows.
func (c *Counter) Sync(mono, trueTime time.Duration) {
	c.offset = trueTime - mono
	c.isSynced = true
	for slot, counts := range c.slots {
		for team, count := range counts {
			c.add(c.WindowAt(time.Duration(slot)*slotTime+slotTime/2+c.offset), team, count)
		}
	}
	clear(c.slots)
}

// TrueTime returns the true time at a time of the monotonic clock. It reports false if it is not
// known.
func (c *Counter) TrueTime(mono time.Duration) (time.Duration, bool) {
	return mono + c.offset, c.isSynced
}

// Changes returns the counts of the windows that have changed since a version, and the current
// version.
func (c *Counter) Changes(since uint64) (ByWindow, uint64) {
	changes := make(ByWindow)
	for window, counts := range c.counts {
		if c.changed[window] > since {
			changes[window] = maps.Clone(counts)
		}
	}
	return changes, c.version
}

// Forget drops the windows up to the given one.
func (c *Counter) Forget(through int64) {
	maps.DeleteFunc(c.counts, func(window int64, _ Counts) bool { return window <= through })
	maps.DeleteFunc(c.changed, func(window int64, _ uint64) bool { return window <= through })
}

// Source is one incarnation of a host.
type Source struct {
	Host        string `json:"host"`
	Incarnation int64  `json:"born"`
}

// Report is what a source has counted.
type Report struct {
	Source
	Counts ByWindow `json:"counts"`
}

// Tally holds the counts of a fleet. It is not safe for concurrent use.
type Tally struct {
	sources map[Source]*tallied
}

type tallied struct {
	counts ByWindow
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{sources: make(map[Source]*tallied)}
}

// Merge takes over the counts of a source. Counts never fall, so that the order and the number of
// the messages do not matter. Windows outside of the given range are ignored.
func (t *Tally) Merge(report Report, oldest, newest int64) {
	s := t.sources[report.Source]
	if s == nil {
		if len(t.sources) >= maxSources {
			return
		}
		s = &tallied{counts: make(ByWindow)}
		t.sources[report.Source] = s
	}
	for window, counts := range report.Counts {
		if window < oldest || window > newest || len(s.counts) >= maxWindows && s.counts[window] == nil {
			continue
		}
		if s.counts[window] == nil {
			s.counts[window] = make(Counts)
		}
		for team, count := range counts {
			if _, ok := s.counts[window][team]; ok || len(s.counts[window]) < maxTeams {
				s.counts[window][team] = max(s.counts[window][team], count)
			}
		}
	}
}

// Total returns the sum of a window's counts.
func (t *Tally) Total(window int64) Counts {
	total := make(Counts)
	for _, s := range t.sources {
		for team, count := range s.counts[window] {
			if count > 0 {
				total[team] += count
			}
		}
	}
	return total
}

// First returns the first window that has counts. It reports false if there is none.
func (t *Tally) First() (int64, bool) {
	first, ok := int64(0), false
	for _, s := range t.sources {
		for window := range s.counts {
			if !ok || window < first {
				first, ok = window, true
			}
		}
	}
	return first, ok
}

// Forget drops the windows up to the given one, and the sources that have none left.
func (t *Tally) Forget(through int64) {
	for source, s := range t.sources {
		maps.DeleteFunc(s.counts, func(window int64, _ Counts) bool { return window <= through })
		if len(s.counts) == 0 {
			delete(t.sources, source)
		}
	}
}

// Report returns the counts of a source. It reports false if there are none.
func (t *Tally) Report(source Source) (Report, bool) {
	s := t.sources[source]
	if s == nil || len(s.counts) == 0 {
		return Report{}, false
	}
	return Report{
		Source: source,
		Counts: cloneCounts(s.counts),
	}, true
}

// Ended returns the counts of the sources that are not live. At most limit sources are returned, in a
// fixed order.
func (t *Tally) Ended(isLive func(Source) bool, limit int) []Report {
	var ended []Report
	for source, s := range t.sources {
		if len(s.counts) > 0 && !isLive(source) {
			ended = append(ended, Report{
				Source: source,
				Counts: cloneCounts(s.counts),
			})
		}
	}
	slices.SortFunc(ended, func(a, b Report) int {
		return cmp.Or(cmp.Compare(b.Incarnation, a.Incarnation), cmp.Compare(a.Host, b.Host))
	})
	return ended[:min(len(ended), limit)]
}

func cloneCounts(counts ByWindow) ByWindow {
	clone := make(ByWindow, len(counts))
	for window, c := range counts {
		clone[window] = maps.Clone(c)
	}
	return clone
}

// MedianOffset returns the median of the clocks' offsets, and zero if there are none. With an even
// number it is the mean of the two in the middle. Fewer than half of the clocks may be wrong by any
// amount.
func MedianOffset(offsets []time.Duration) time.Duration {
	if len(offsets) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(offsets))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Book holds which windows are fixed and reported. It is not safe for concurrent use.
type Book struct {
	Settings
	// next is the window to be fixed next.
	next    int64
	entries map[int64]*entry
	// through is the last window up to which all are reported or missed.
	through int64
}

type entry struct {
	counts Counts
	// stored is set once the counts are in the store: from then on they never change.
	stored  bool
	done    bool
	retryAt time.Duration
}

// NewBook returns a book that begins with a window.
func NewBook(settings Settings, first int64) *Book {
	return &Book{
		Settings: settings,
		next:     first,
		entries:  make(map[int64]*entry),
		through:  first - 1,
	}
}

// Restore takes over a window that an earlier holder has fixed. Its counts replace others.
func (b *Book) Restore(window int64, counts Counts) {
	if window <= b.through {
		return
	}
	b.entries[window] = &entry{
		counts: counts,
		stored: true,
	}
}

// Due returns the next window to be fixed at a true time, if there is one.
func (b *Book) Due(now, closeDelay time.Duration) (int64, bool) {
	for b.entries[b.next] != nil {
		b.next++
	}
	return b.next, now >= b.End(b.next)+closeDelay
}

// Skip leaves out the next window, which can no longer be reported in time.
func (b *Book) Skip() {
	b.entries[b.next] = &entry{done: true}
	b.advance()
}

// Fix sets the counts of the next window. They may be reported after Store.
func (b *Book) Fix(counts Counts) {
	b.entries[b.next] = &entry{counts: counts}
}

// Store records that the counts of a window are in the store.
func (b *Book) Store(window int64) {
	if e := b.entries[window]; e != nil {
		e.stored = true
	}
}

// Unstored returns the fixed windows that are not in the store, and Stored those that are.
func (b *Book) Unstored() ByWindow { return b.fixed(false) }

// Stored returns the counts of the windows that are in the store.
func (b *Book) Stored() ByWindow { return b.fixed(true) }

func (b *Book) fixed(stored bool) ByWindow {
	fixed := make(ByWindow)
	for window, e := range b.entries {
		if e.stored == stored && e.counts != nil {
			fixed[window] = e.counts
		}
	}
	return fixed
}

// NextReport returns the first window to be reported at a true time. It reports false if there is none.
func (b *Book) NextReport(now time.Duration) (int64, Counts, bool) {
	for _, window := range slices.Sorted(maps.Keys(b.entries)) {
		if e := b.entries[window]; e.stored && !e.done && now >= e.retryAt && !b.IsLate(window, now) {
			return window, e.counts, true
		}
	}
	return 0, nil, false
}

// IsLate reports whether the report of a window is overdue at a true time.
func (b *Book) IsLate(window int64, now time.Duration) bool { return now > b.End(window)+b.Delay }

// Late returns the windows whose reports are overdue, and gives them up.
func (b *Book) Late(now time.Duration) []int64 {
	var late []int64
	for window, e := range b.entries {
		if !e.done && b.IsLate(window, now) {
			e.done = true
			late = append(late, window)
		}
	}
	b.advance()
	slices.Sort(late)
	return late
}

// Finish records that a window needs no further report.
func (b *Book) Finish(window int64) {
	if e := b.entries[window]; e != nil {
		e.done = true
	}
	b.advance()
}

// IsFinished reports whether a window needs no further report.
func (b *Book) IsFinished(window int64) bool {
	e := b.entries[window]
	return e != nil && e.done
}

// Retry records that a report has failed.
func (b *Book) Retry(window int64, now time.Duration) {
	if e := b.entries[window]; e != nil {
		e.retryAt = now + retryInterval
	}
}

// Through returns the last window up to which all are reported or missed.
func (b *Book) Through() int64 { return b.through }

// FixedThrough returns the last window that is fixed, or missed.
func (b *Book) FixedThrough() int64 {
	last := b.through
	for window, e := range b.entries {
		if e.stored || e.done {
			last = max(last, window)
		}
	}
	return last
}

func (b *Book) advance() {
	for b.entries[b.through+1] != nil && b.entries[b.through+1].done {
		b.through++
	}
}

// Expire drops the windows before the given one, and returns those that were in the store.
func (b *Book) Expire(oldest int64) []int64 {
	var stored []int64
	for window, e := range b.entries {
		if window < oldest && e.done {
			if e.stored {
				stored = append(stored, window)
			}
			delete(b.entries, window)
		}
	}
	b.next = max(b.next, oldest)
	b.through = max(b.through, oldest-1)
	b.advance()
	slices.Sort(stored)
	return stored
}
