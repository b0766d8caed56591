package quarantine

import (
	"fmt"
	"slices"
	"time"
)

// Finding is what hosts tell each other. The types in this file are the only
// implementations. Ages are relative to the time at which the finding is taken from an
// Outbox or a Ledger, or received.
type Finding interface {
	isFinding()
	// key identifies the subject, of which a newer finding replaces an older one.
	key() uint64
	age() time.Duration
	withAge(age time.Duration) Finding
}

// Crash reports a call whose answer broke at its beginning because the endpoint crashed.
type Crash struct {
	// ID identifies the attempt, and Endpoint the endpoint.
	ID       uint64
	Endpoint uint64
	// Request is the hash of the request, which is the same when it comes again, or zero.
	Request uint64
	// Began reports whether the header of the answer had arrived.
	Began bool
	Parts []uint64
	// Flight is the time from the sending of the call to the break.
	Flight time.Duration
	Age    time.Duration
}

// Answer reports that an endpoint answered a prompt with the part, or the request, and did not
// crash. Age is the time since the answer began.
type Answer struct {
	// Subject is the hash of a prompt part, or of a request if IsRequest is set.
	Subject   uint64
	IsRequest bool
	Age       time.Duration
}

// Quarantine reports that a request, or prompts that hold all the parts, are kept from the
// endpoints. Age is the time since it began, and Left the time until it ends.
type Quarantine struct {
	// Request is the hash of the request, or zero if the quarantine is one of parts.
	Request uint64
	Parts   []uint64
	Age     time.Duration
	Left    time.Duration
}

func (Crash) isFinding()      {}
func (Answer) isFinding()     {}
func (Quarantine) isFinding() {}

func (f Crash) key() uint64      { return f.ID }
func (f Answer) key() uint64     { return f.Subject }
func (f Quarantine) key() uint64 { return f.Request + keyOf(f.Parts) }

func (f Crash) age() time.Duration      { return f.Age }
func (f Answer) age() time.Duration     { return f.Age }
func (f Quarantine) age() time.Duration { return f.Age }

func (f Crash) withAge(age time.Duration) Finding {
	f.Age = age
	return f
}

func (f Answer) withAge(age time.Duration) Finding {
	f.Age = age
	return f
}

func (f Quarantine) withAge(age time.Duration) Finding {
	f.Left -= age - f.Age
	f.Age = age
	return f
}

// keyOf returns the same number for the same parts in any order.
func keyOf(parts []uint64) uint64 {
	key := uint64(len(parts))
	for _, part := range parts {
		key += part * 0x9e3779b97f4a7c15
	}
	return key
}

// FormatParts returns the hashes of parts as text, for lines and dumps.
func FormatParts(parts []uint64) []string {
	texts := make([]string, 0, len(parts))
	for _, part := range parts {
		texts = append(texts, FormatHash(part))
	}
	return texts
}

// FormatHash returns the hash of a part or a request as text.
func FormatHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

const (
	// findingRepeats is the number of reports that list a finding, since reports are
	// datagrams.
	findingRepeats = 3
	// findingMemory is how long a finding that was reported is recognized when it comes
	// again.
	findingMemory = 3 * time.Second
	// maxPending bounds the findings of an Outbox; further ones are dropped.
	maxPending = 512
	// maxTaken and maxTakenParts bound the findings of one report and their parts; further
	// ones are in the next report.
	maxTaken      = 32
	maxTakenParts = 128
	// sameAnswer is the difference up to which two answers count as equally new.
	sameAnswer = 100 * time.Millisecond
)

// Outbox holds the findings that wait to be reported, each for a few reports. The zero value
// is an empty outbox.
type Outbox struct {
	pending []pendingFinding
}

// pendingFinding is a finding as it was at a time.
type pendingFinding struct {
	finding     Finding
	at          time.Time
	reportsLeft int
}

// Add adds a finding, unless it is known already and not newer.
func (o *Outbox) Add(now time.Time, finding Finding) {
	o.pending = slices.DeleteFunc(o.pending, func(p pendingFinding) bool {
		return p.reportsLeft == 0 && now.Sub(p.at) > findingMemory
	})
	for i := range o.pending {
		p := &o.pending[i]
		if p.finding.key() != finding.key() || !sameKind(p.finding, finding) {
			continue
		}
		if _, ok := finding.(Answer); ok && p.finding.age()+now.Sub(p.at)-finding.age() > sameAnswer {
			break
		}
		p.finding, p.at = finding, now
		return
	}
	if len(o.pending) >= maxPending {
		return
	}
	o.pending = append(o.pending, pendingFinding{
		finding:     finding,
		at:          now,
		reportsLeft: findingRepeats,
	})
}

func countParts(finding Finding) int {
	switch finding := finding.(type) {
	case Crash:
		return len(finding.Parts)
	case Quarantine:
		return len(finding.Parts)
	}
	return 1
}

func sameKind(a, b Finding) bool {
	switch a.(type) {
	case Crash:
		_, ok := b.(Crash)
		return ok
	case Answer:
		_, ok := b.(Answer)
		return ok
	case Quarantine:
		_, ok := b.(Quarantine)
		return ok
	}
	return false
}

// IsEmpty reports whether no finding waits to be reported.
func (o *Outbox) IsEmpty() bool {
	return !slices.ContainsFunc(o.pending, func(p pendingFinding) bool { return p.reportsLeft > 0 })
}

// Take returns the findings for the next report. A complete report also lists the
// quarantines that were added lately.
func (o *Outbox) Take(now time.Time, complete bool) []Finding {
	var taken []Finding
	parts := 0
	for i := range o.pending {
		p := &o.pending[i]
		_, isQuarantine := p.finding.(Quarantine)
		isListed := complete && isQuarantine && now.Sub(p.at) <= findingMemory
		size := countParts(p.finding)
		if p.reportsLeft == 0 && !isListed || len(taken) == maxTaken || parts+size > maxTakenParts {
			continue
		}
		parts += size
		p.reportsLeft = max(p.reportsLeft-1, 0)
		taken = append(taken, p.finding.withAge(p.finding.age()+now.Sub(p.at)))
	}
	return taken
}
