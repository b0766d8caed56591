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
	issuer  Issuer
	next    uint64
	low     uint64
	used    map[uint64]*usedKey
	perTeam map[string]int
	marks   fifo[issuedMark]
	window  time.Duration
	bodies  bodies[uint64]
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
		issuer:  issuer,
		used:    make(map[uint64]*usedKey),
		perTeam: make(map[string]int),
		window:  settings.Window,
		bodies: bodies[uint64]{
			maxBytes: settings.MaxTotalBodyBytes,
		},
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
	i.bodies.keep(sequence, len(bounded.Body), i.evictBody)
	return true
}

func (i *issuedKeys) evictBody(sequence uint64) {
	if target, ok := i.used[sequence]; ok {
		i.bodies.drop(target.outcome)
	}
}

// advance forgets the keys that were issued longer than the window ago. They
// are never run from then on.
func (i *issuedKeys) advance(now time.Time) {
	if last, ok := i.marks.last(); !ok || now.Sub(last.at) >= i.window/issuedMarks {
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

func (i *issuedKeys) drop(sequence uint64, target *usedKey) {
	i.bodies.drop(target.outcome)
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
