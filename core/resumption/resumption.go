// Package resumption decides whether a stream of events that broke off may go on with the run of another endpoint.
//
// The last event that the caller has need not be the endpoint's own: a faulty endpoint may stop within an event, send
// bytes of another answer and end the connection. Nothing that follows then tells the two apart. The next endpoint is
// therefore asked for the last events once more, and sends what its own run has in their place.
//
// # Usage
//
//	var tail resumption.Tail
//	tail.Add(event, id, hasID, position)
//	...
//	check := tail.Resume()
//	// Ask the next endpoint for what follows check.After().
//	for check.IsOpen() {
//		if err := check.Compare(event, id, hasID); err != nil { ... }
//	}
//	if check.Permits() { ... }
//
// The values are not safe for concurrent use.
package resumption

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// maxRepeated is the number of events that the next endpoint is asked for once more. With two of them an event that
// differs can be told from a run that differs.
const maxRepeated = 2

// Position is a place in a stream: behind the event with an ID, or at the beginning if it has none.
type Position struct {
	ID    int64
	HasID bool
}

// sentEvent is an event that the caller has.
type sentEvent struct {
	id int64
	// hash is that of the event's lines, without comments.
	hash uint64
	// before is the position of the event.
	before Position
}

// Tail is the end of a stream as the caller has it. The zero value is that of a stream without events.
type Tail struct {
	// events are the last ones with IDs. IsNumbered is set if the last event of all has one.
	events     []sentEvent
	isNumbered bool
	// doubt is what speaks against the last event.
	doubt Doubt
}

// Doubt is what speaks against the last event that the caller has, besides that nothing follows it: one of those below, or a sign of
// package irregularity.
type Doubt string

// The doubts.
const (
	DoubtNone Doubt = ""
	// DoubtFraming means that the part of the body with the event has no sound end.
	DoubtFraming Doubt = "framing"
	// DoubtFollowed means that bytes follow that do not continue the answer.
	DoubtFollowed Doubt = "followed"
)

// Add records an event that the caller gets at a position. An event without an ID does not say where the stream goes on.
func (t *Tail) Add(event []byte, id int64, hasID bool, at Position) {
	t.doubt = DoubtNone
	t.isNumbered = hasID
	if !hasID {
		return
	}
	if len(t.events) == maxRepeated {
		t.events = t.events[:copy(t.events, t.events[1:])]
	}
	t.events = append(t.events, sentEvent{
		id:     id,
		hash:   hashOf(event),
		before: at,
	})
}

// Question records what speaks against the last event.
func (t *Tail) Question(doubt Doubt) { t.doubt = doubt }

// Doubt returns what speaks against the last event.
func (t *Tail) Doubt() Doubt { return t.doubt }

// IsResumable reports whether the last event says where the stream goes on.
func (t *Tail) IsResumable() bool { return t.isNumbered }

// Resume returns the check of an endpoint that is to go on with the stream, which must be resumable.
func (t *Tail) Resume() *Check {
	return &Check{
		tail:   t,
		events: append([]sentEvent(nil), t.events...),
	}
}

// hashOf returns the hash of the lines of an event. Comments and the kind of line break make no difference.
func hashOf(event []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 || line[0] == ':' {
			continue
		}
		// Digest documents that Write never returns an error.
		_, _ = digest.Write(line)
		_, _ = digest.Write([]byte{'\n'})
	}
	return digest.Sum64()
}

// Finding is what the repeated events show of the last one that the caller has.
type Finding string

// The findings.
const (
	// FindingOpen means that not all events have been compared.
	FindingOpen Finding = "open"
	// FindingSame means that both runs have the same last event.
	FindingSame Finding = "same"
	// FindingOther means that the runs agree up to the last event, which is another one.
	FindingOther Finding = "otherEvent"
	// FindingOtherRun means that the runs differ, so that the comparison shows nothing.
	FindingOtherRun Finding = "otherRun"
)

// OrderError reports an event that is not the one that was asked for.
type OrderError struct {
	Want int64
	Got  int64
}

// Error returns a message with both IDs.
func (e *OrderError) Error() string {
	return fmt.Sprintf("event %d came in place of event %d", e.Got, e.Want)
}

// Check compares the events that an endpoint repeats with those that the caller has.
type Check struct {
	tail   *Tail
	events []sentEvent
	// compared is the number of events that were compared. IsSame is set if the last of them was the same, and
	// wasSame if the one before it was.
	compared        int
	isSame, wasSame bool
}

// After returns the position from which on the endpoint is asked for events.
func (c *Check) After() Position { return c.events[0].before }

// IsOpen reports whether further events must be compared.
func (c *Check) IsOpen() bool { return c.compared < len(c.events) }

// Compared returns the number of events that were compared. The caller does not get them.
func (c *Check) Compared() int { return c.compared }

// Compare compares the next event of an open check. Events without an ID are passed over. The error is an *OrderError.
func (c *Check) Compare(event []byte, id int64, hasID bool) error {
	if !hasID {
		return nil
	}
	want := c.events[c.compared]
	if id != want.id {
		return &OrderError{
			Want: want.id,
			Got:  id,
		}
	}
	c.wasSame, c.isSame = c.isSame, hashOf(event) == want.hash
	c.compared++
	return nil
}

// Finding returns what the comparison shows.
func (c *Check) Finding() Finding {
	switch {
	case c.IsOpen():
		return FindingOpen
	case c.isSame:
		return FindingSame
	case c.wasSame:
		return FindingOther
	}
	return FindingOtherRun
}

// Permits reports whether the stream may go on with the endpoint's next event. If the runs differ, which is sound where
// endpoints draw their answers at random, it may unless something speaks against the last event.
func (c *Check) Permits() bool {
	switch c.Finding() {
	case FindingSame:
		return true
	case FindingOtherRun:
		return c.tail.doubt == DoubtNone
	}
	return false
}
