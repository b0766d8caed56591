package claim

import (
	"slices"
	"time"

	"cactuswell/core/record"
)

// issuedMarks is the number of steps in which issued keys grow old.
const issuedMarks = 64

// issuedKeys remembers which of the keys that this life issued were used.
type issuedKeys struct {
	issuer    Issuer
	next      uint64
	low       uint64
	used      map[uint64]*usedKey
	perTeam   map[string]int
	marks     fifo[issuedMark]
	window    time.Duration
	bodies    fifo[uint64]
	bodyBytes int
	maxBodies int
}

type usedKey struct {
	team        string
	fingerprint Fingerprint
	outcome     *Outcome
}

type issuedMark struct {
	at   time.Time
	next uint64
}

func newIssuedKeys(issuer Issuer, settings Settings) *issuedKeys {
	return &issuedKeys{
		issuer:    issuer,
		used:      make(map[uint64]*usedKey),
		perTeam:   make(map[string]int),
		window:    settings.Window,
		maxBodies: settings.MaxBodies,
	}
}

func (i *issuedKeys) issue() IssuedKey {
	sequence := i.next
	i.next++
	return IssuedKey{
		Issuer:   i.issuer,
		Sequence: sequence,
	}
}

func (i *issuedKeys) use(team string, sequence uint64, fingerprint Fingerprint) {
	i.used[sequence] = &usedKey{
		team:        team,
		fingerprint: fingerprint,
	}
	i.perTeam[team]++
}

func (i *issuedKeys) giveBack(sequence uint64) {
	target, ok := i.used[sequence]
	if !ok || target.outcome != nil {
		return
	}
	i.drop(sequence, target)
}

func (i *issuedKeys) finish(sequence uint64, outcome Outcome) bool {
	target, ok := i.used[sequence]
	if !ok || target.outcome != nil {
		return false
	}
	bounded := outcome.bounded()
	target.outcome = &bounded
	i.keepBody(sequence, len(bounded.Body))
	return true
}

func (i *issuedKeys) keepBody(sequence uint64, bytes int) {
	if bytes == 0 {
		return
	}
	i.bodies.push(sequence)
	i.bodyBytes += bytes
	for i.bodyBytes > i.maxBodies || i.bodies.len() > maxBodiesKept {
		oldest, ok := i.bodies.pop()
		if !ok {
			return
		}
		if target, ok := i.used[oldest]; ok {
			i.dropBody(target)
		}
	}
}

func (i *issuedKeys) dropBody(target *usedKey) {
	if target.outcome == nil || len(target.outcome.Body) == 0 {
		return
	}
	i.bodyBytes -= len(target.outcome.Body)
	target.outcome.Body = nil
	target.outcome.BodyOmitted = true
}

// advance forgets the keys that were issued longer than the window ago. They
// are never run from then on.
func (i *issuedKeys) advance(now time.Time) {
	if last, ok := i.lastMark(); !ok || now.Sub(last.at) >= i.window/issuedMarks {
		i.marks.push(issuedMark{
			at:   now,
			next: i.next,
		})
	}
	low := i.low
	for oldest, ok := i.marks.peek(); ok && now.Sub(oldest.at) > i.window; oldest, ok = i.marks.peek() {
		low = oldest.next
		i.marks.pop()
	}
	if low == i.low {
		return
	}
	i.low = low
	for sequence, target := range i.used {
		if sequence < low {
			i.drop(sequence, target)
		}
	}
}

func (i *issuedKeys) lastMark() (issuedMark, bool) {
	if i.marks.len() == 0 {
		return issuedMark{}, false
	}
	return i.marks.items[len(i.marks.items)-1], true
}

func (i *issuedKeys) drop(sequence uint64, target *usedKey) {
	i.dropBody(target)
	delete(i.used, sequence)
	i.perTeam[target.team]--
	if i.perTeam[target.team] == 0 {
		delete(i.perTeam, target.team)
	}
}

// published returns what a leaving host tells of its keys. The floor is the
// position in the claim stream before which no copy of it can stand.
func (i *issuedKeys) published(floor record.Offset) []keysUsedBody {
	used := make([]uint64, 0, len(i.used))
	for sequence := range i.used {
		used = append(used, sequence)
	}
	slices.Sort(used)
	var bodies []keysUsedBody
	for from := i.low; from < i.next; from += maxKeysUsedSpan {
		to := min(from+maxKeysUsedSpan, i.next)
		first, _ := slices.BinarySearch(used, from)
		last, _ := slices.BinarySearch(used, to)
		bodies = append(bodies, keysUsedBody{
			Issuer: i.issuer,
			From:   from,
			To:     to,
			Used:   used[first:last],
			Floor:  floor,
		})
	}
	return bodies
}
