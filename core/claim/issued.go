package claim

import (
	"slices"
	"time"

	"cactuswell/core/record"
)

// marksPerWindow is the number of steps in a window in which keys expire.
const marksPerWindow = 64

// issuedKeys records which of the keys that this instance issued were used. The
// keys before firstSequence have expired.
type issuedKeys struct {
	issuer        Issuer
	nextSequence  uint64
	firstSequence uint64
	used          map[uint64]*usedKey
	usedPerTeam   map[string]int
	sequenceMarks fifo[sequenceMark]
	window        time.Duration
	bodies        bodyCache[uint64]
}

type usedKey struct {
	team        string
	fingerprint Fingerprint
	outcome     *Outcome
}

type sequenceMark struct {
	at           time.Time
	nextSequence uint64
}

func newIssuedKeys(issuer Issuer, settings Settings) *issuedKeys {
	return &issuedKeys{
		issuer:      issuer,
		used:        make(map[uint64]*usedKey),
		usedPerTeam: make(map[string]int),
		window:      settings.Window,
		bodies: bodyCache[uint64]{
			maxBytes: settings.MaxTotalBodyBytes,
		},
	}
}

func (i *issuedKeys) issue() IssuedKey {
	sequence := i.nextSequence
	i.nextSequence++
	return IssuedKey{
		Issuer:   i.issuer,
		Sequence: sequence,
	}
}

func (i *issuedKeys) markUsed(team string, sequence uint64, fingerprint Fingerprint) {
	i.used[sequence] = &usedKey{
		team:        team,
		fingerprint: fingerprint,
	}
	i.usedPerTeam[team]++
}

func (i *issuedKeys) unmarkUsed(sequence uint64) {
	target, ok := i.used[sequence]
	if !ok || target.outcome != nil {
		return
	}
	i.remove(sequence, target)
}

func (i *issuedKeys) recordOutcome(sequence uint64, outcome Outcome) bool {
	target, ok := i.used[sequence]
	if !ok || target.outcome != nil {
		return false
	}
	bounded := outcome.bounded()
	target.outcome = &bounded
	i.bodies.add(sequence, len(bounded.Body), i.evictBody)
	return true
}

func (i *issuedKeys) evictBody(sequence uint64) {
	if target, ok := i.used[sequence]; ok {
		i.bodies.remove(target.outcome)
	}
}

// expire removes the keys that were issued longer ago than the window. They are
// never run from then on.
func (i *issuedKeys) expire(now time.Time) {
	if last, ok := i.sequenceMarks.last(); !ok || now.Sub(last.at) >= i.window/marksPerWindow {
		i.sequenceMarks.push(sequenceMark{
			at:           now,
			nextSequence: i.nextSequence,
		})
	}
	firstValid := i.firstSequence
	for oldest, ok := i.sequenceMarks.peek(); ok && now.Sub(oldest.at) > i.window; oldest, ok = i.sequenceMarks.peek() {
		firstValid = oldest.nextSequence
		i.sequenceMarks.pop()
	}
	if firstValid == i.firstSequence {
		return
	}
	i.firstSequence = firstValid
	for sequence, target := range i.used {
		if sequence < firstValid {
			i.remove(sequence, target)
		}
	}
}

func (i *issuedKeys) remove(sequence uint64, target *usedKey) {
	i.bodies.remove(target.outcome)
	delete(i.used, sequence)
	i.usedPerTeam[target.team]--
	if i.usedPerTeam[target.team] == 0 {
		delete(i.usedPerTeam, target.team)
	}
}

// keysUsedRecords returns the records that a host writes when it shuts down and
// that list which of its keys were used. The floor is a position in the claim
// stream before which no copy of these records can be.
func (i *issuedKeys) keysUsedRecords(floor record.Offset) []keysUsedBody {
	used := make([]uint64, 0, len(i.used))
	for sequence := range i.used {
		used = append(used, sequence)
	}
	slices.Sort(used)
	var bodies []keysUsedBody
	for from := i.firstSequence; from < i.nextSequence; from += maxKeysUsedSpan {
		to := min(from+maxKeysUsedSpan, i.nextSequence)
		first, _ := slices.BinarySearch(used, from)
		last, _ := slices.BinarySearch(used, to)
		bodies = append(bodies, keysUsedBody{
			Issuer:         i.issuer,
			From:           from,
			To:             to,
			Used:           used[first:last],
			ReadFromOffset: floor,
		})
	}
	return bodies
}
