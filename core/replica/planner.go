package replica

import (
	"slices"
	"time"
)

const (
	// readerPollWait is the duration of a reader's long poll, lonePollWait that of a
	// reader that hears of no other, and soloPollWait that of a host without a fleet. A
	// poll that the log does not answer is only found out by its end or by another host.
	readerPollWait = 2 * time.Second
	lonePollWait   = 900 * time.Millisecond
	soloPollWait   = 4 * time.Second
	// pollGrace is how long a host must have been behind before it abandons its own
	// read of the log, whose answer may be on its way.
	pollGrace = 150 * time.Millisecond
	// sourcePatience is how long a host waits for the changes to reach the preferred
	// source, so that the hosts of a zone do not all ask the same remote host.
	sourcePatience = 150 * time.Millisecond
	// maxBehind is how long a host tries to get changes from others before it reads the
	// log itself.
	maxBehind = 700 * time.Millisecond
	// maxFetchFailures is the number of failed fetches with the same effect.
	maxFetchFailures = 3
	// maxSpares bounds the sources that a host asks beside a slow one.
	maxSpares = 2
	// rosterPatience is how long a starting host waits for the roster, from which it
	// learns of other hosts, and startPatience how long it waits for their copy at most.
	// The store appends the entries of hosts that start together one after the other,
	// which takes 0.8 s for 195 hosts.
	rosterPatience = 1200 * time.Millisecond
	startPatience  = 900 * time.Millisecond
	// rankDelay is the delay, for each live host before this one in the order of
	// hosts, before a host reads the log because it hears of no reader. It is at most
	// maxRankDelay.
	rankDelay    = 20 * time.Millisecond
	maxRankDelay = time.Second
	// confirmTimeout is how long the log may have answered no host that a host hears of
	// until it reads for itself: the answers of readers come every third of
	// readerPollWait. A log may serve some hosts, and leave the reads of others open.
	confirmTimeout = time.Second
	// confirmRankDelay is added for each live host before this one, so that the others hear
	// of its read, up to maxConfirmDelay.
	confirmRankDelay = 50 * time.Millisecond
	maxConfirmDelay  = 300 * time.Millisecond
	// unattendedTimeout is how long a host must hear of no reader until the log counts
	// as unavailable to it.
	unattendedTimeout = 400 * time.Millisecond
	// idleWait is the time between two looks at the other hosts' positions while
	// nothing changes.
	idleWait = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the delay before the log is read again after a
	// failure. Hosts that are no readers share fleetBackoff among all of them, so that
	// a fleet that cannot reach the log does not flood it.
	minBackoff   = 100 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	fleetBackoff = 20 * time.Millisecond
	// fetchRetryStep is added to the delay after each failed fetch, up to maxBackoff.
	fetchRetryStep = 40 * time.Millisecond
)

// View is what a host knows of the copies of the others.
type View struct {
	// IsSolo is set for a host that is not part of a fleet.
	IsSolo bool
	// IsComplete is set once the host has had the chance to learn of the others.
	IsComplete bool
	// IsHeard is set if all other hosts hear what this one reports.
	IsHeard bool
	// Reader is the host's position among the readers by the hosts that it knows.
	Reader Reader
	// Others is the number of other live hosts, and Rank the number of those before
	// this one in the order of hosts.
	Others int
	Rank   int
	// Readers is the number of other hosts that currently read the log with success.
	Readers int
	// ConfirmedAt is when the log last answered another host, as far as is known.
	ConfirmedAt time.Time
	// Sources are hosts whose copy is ahead of this host's, the preferred ones first.
	Sources []Source
}

// Source is a host from which changes can be fetched.
type Source struct {
	Address string
	// IsPreferred is set for the host that gets the changes first in this host's zone.
	IsPreferred bool
}

// Step is what a host does next: a Read, a Fetch or a Wait.
type Step interface {
	isStep()
}

// Read reads the log, or lists it if there is no copy yet.
type Read struct {
	// PollWait is how long the log may wait for a record.
	PollWait time.Duration
	// StandsIn is set if the host reads because the log seems to answer no reader.
	StandsIn bool
}

// Fetch gets the changes from another host.
type Fetch struct {
	Address string
}

// Wait does nothing for a time, or until the other hosts' positions change.
type Wait struct {
	For time.Duration
}

func (Read) isStep()  {}
func (Fetch) isStep() {}
func (Wait) isStep()  {}

// Planner decides from where a host gets the changes of a topic. It is not safe for
// concurrent use.
type Planner struct {
	startedAt time.Time
	hasCopy   bool
	// behindSince is when the host was first seen to be behind, and unattendedSince when
	// it first heard of no reader; zero if it is not so.
	behindSince     time.Time
	unattendedSince time.Time
	fetchFailures   int
	readFailures    int
	// fetchDueAt is when a change may be fetched again after a failure.
	fetchDueAt time.Time
	// readDueAt is when the log may be read again after a failure.
	readDueAt time.Time
	// readAt is when the log last answered, and isStaggered is set once a poll has begun whose
	// end is apart from those of the other readers.
	readAt      time.Time
	isStaggered bool
	isBehind    bool
}

// NewPlanner returns the planner of a host that starts.
func NewPlanner(now time.Time) *Planner {
	return &Planner{startedAt: now}
}

// RecordCopy records that the host has a copy that ends later than before.
func (p *Planner) RecordCopy() {
	p.hasCopy = true
	p.behindSince = time.Time{}
	p.fetchFailures = 0
	p.isStaggered = false
}

// RecordFetchFailure records that a fetch from another host failed.
func (p *Planner) RecordFetchFailure(now time.Time) {
	p.fetchFailures++
	p.fetchDueAt = now.Add(min(time.Duration(p.fetchFailures)*fetchRetryStep, maxBackoff))
}

// RecordRead records that the log answered.
func (p *Planner) RecordRead(now time.Time) {
	p.readAt = now
	p.readFailures = 0
	p.readDueAt = time.Time{}
}

// RecordReadFailure records that the log did not answer. Jitter is a random number
// from 0 to 1, which keeps hosts from reading again at the same time.
func (p *Planner) RecordReadFailure(now time.Time, view View, jitter float64) {
	p.readFailures++
	p.isStaggered = false
	delay := min(minBackoff<<min(p.readFailures-1, 4), maxBackoff)
	if !view.Reader.IsReader() {
		delay = max(delay, time.Duration(view.Others)*fleetBackoff)
	}
	p.readDueAt = now.Add(time.Duration((0.5 + jitter) * float64(delay)))
}

// HearsOfNoReader reports whether the host reads the log for nobody and has heard of no
// other that does for unattendedTimeout.
func (p *Planner) HearsOfNoReader(now time.Time) bool {
	return !p.unattendedSince.IsZero() && now.Sub(p.unattendedSince) >= unattendedTimeout
}

// BehindSince returns since when other hosts have been known to have later records, or
// the zero time.
func (p *Planner) BehindSince() time.Time { return p.behindSince }

// PollGrace returns how long a read of the log may go on though another host is
// ahead, and false if it may go on anyway.
func (p *Planner) PollGrace(now time.Time, view View) (time.Duration, bool) {
	p.observe(now, view)
	if !p.isBehind || p.readsInVain(now) {
		return 0, false
	}
	return max(pollGrace-now.Sub(p.behindSince), 0), true
}

// observe records since when the host is behind and hears of no reader.
func (p *Planner) observe(now time.Time, view View) {
	p.isBehind = len(view.Sources) > 0
	switch {
	case !p.isBehind:
		p.behindSince = time.Time{}
	case p.behindSince.IsZero():
		p.behindSince = now
	}
	switch {
	case view.Readers > 0 || view.Reader.IsReader():
		p.unattendedSince = time.Time{}
	case p.unattendedSince.IsZero():
		p.unattendedSince = now
	}
}

// readsInVain reports whether the other hosts do not deliver the changes that they
// have, so that the host reads the log itself.
func (p *Planner) readsInVain(now time.Time) bool {
	return p.fetchFailures >= maxFetchFailures || now.Sub(p.behindSince) >= maxBehind
}

// Next returns the next step.
func (p *Planner) Next(now time.Time, view View) Step {
	p.observe(now, view)
	switch {
	case p.isBehind && p.readsInVain(now) && p.mayRead(now):
		return p.read(now, view)
	case p.isBehind:
		return p.fetch(now, view)
	}
	if !p.hasCopy {
		return p.start(now, view)
	}
	if view.Reader.IsReader() {
		return p.read(now, view)
	}
	if view.Readers > 0 {
		return p.standBy(now, view)
	}
	takeOverAt := p.unattendedSince.Add(min(time.Duration(view.Rank)*rankDelay, maxRankDelay))
	if now.Before(takeOverAt) {
		return Wait{For: min(takeOverAt.Sub(now), idleWait)}
	}
	return p.read(now, view)
}

// standBy returns the step of a host that leaves reading to the readers. It reads once if the
// log seems to answer none of them. In a large fleet only hosts that all others hear do so.
func (p *Planner) standBy(now time.Time, view View) Step {
	if !view.IsHeard {
		return Wait{For: idleWait}
	}
	confirmedAt := p.startedAt
	for _, at := range []time.Time{view.ConfirmedAt, p.readAt} {
		if at.After(confirmedAt) {
			confirmedAt = at
		}
	}
	dueAt := confirmedAt.Add(confirmTimeout + min(time.Duration(view.Rank)*confirmRankDelay, maxConfirmDelay))
	if now.Before(dueAt) {
		return Wait{For: min(dueAt.Sub(now), idleWait)}
	}
	if !p.mayRead(now) {
		return Wait{For: min(p.readDueAt.Sub(now), idleWait)}
	}
	return Read{StandsIn: true}
}

// fetch returns the fetch from the preferred source. The other sources follow after
// sourcePatience, after a failure, or beside a slow one.
func (p *Planner) fetch(now time.Time, view View) Step {
	behindFor := now.Sub(p.behindSince)
	if !view.Sources[0].IsPreferred && p.fetchFailures == 0 && behindFor < sourcePatience && p.hasCopy {
		return Wait{For: sourcePatience - behindFor}
	}
	if now.Before(p.fetchDueAt) {
		return Wait{For: p.fetchDueAt.Sub(now)}
	}
	return Fetch{Address: view.Sources[p.fetchFailures%len(view.Sources)].Address}
}

// Spare returns a source to ask beside those that have been asked and are slow, and false if there is
// none or enough have been asked.
func (p *Planner) Spare(view View, asked []string) (address string, ok bool) {
	if len(asked) > maxSpares {
		return "", false
	}
	for _, source := range view.Sources {
		if !slices.Contains(asked, source.Address) {
			return source.Address, true
		}
	}
	return "", false
}

// start returns the step of a host that has no copy yet, while no other host is known
// to have one.
func (p *Planner) start(now time.Time, view View) Step {
	age := now.Sub(p.startedAt)
	if !view.IsComplete && age < rosterPatience {
		return Wait{For: min(rosterPatience-age, idleWait)}
	}
	// The hosts of a small fleet that start together soon read for themselves, so that
	// they serve without waiting for a reader.
	if patience := min(time.Duration(view.Rank)*rankDelay, startPatience); !view.Reader.IsReader() && age < patience {
		return Wait{For: min(patience-age, idleWait)}
	}
	return p.read(now, view)
}

func (p *Planner) mayRead(now time.Time) bool { return !now.Before(p.readDueAt) }

// read returns a read of the log, or the wait until it is due after a failure. The
// read after a failure returns at once, to show that the log answers again.
func (p *Planner) read(now time.Time, view View) Step {
	if !p.mayRead(now) {
		return Wait{For: p.readDueAt.Sub(now)}
	}
	switch {
	case p.readFailures > 0 || p.isBehind:
		return Read{}
	case view.IsSolo:
		return Read{PollWait: soloPollWait}
	case view.Readers > 0:
		return Read{PollWait: p.readerWait(now, view)}
	}
	return Read{PollWait: lonePollWait}
}

// readerWait returns how long a reader's poll waits, so that the log answers the readers one
// after the other. After a change all of them begin to poll at the same time, and the first
// poll of each is shorter. Later ones correct the time since the answer of the reader before.
func (p *Planner) readerWait(now time.Time, view View) time.Duration {
	const spacing = readerPollWait / MaxReaders
	if !p.isStaggered {
		p.isStaggered = true
		return time.Duration(view.Reader.Index+1) * spacing
	}
	early := min(max(spacing-now.Sub(view.ConfirmedAt), -spacing), spacing)
	return time.Duration(view.Reader.Count)*spacing + early/2
}
