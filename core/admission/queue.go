// Package admission queues the requests of one pool that wait for an endpoint.
// It decides which request is served next and which is evicted when the queue
// is full.
//
// The next request comes from a class that is below its guaranteed share, if
// there is one, and otherwise from the highest tier with queued requests. Within
// a tier, classes share service by weight and the teams of a class share it
// evenly, by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996).
// Within a team, the earliest deadline comes first, and requests that can no
// longer meet their target come after those that can.
//
// # Usage
//
//	queue := admission.New(settings)
//	evicted, verdict := queue.Admit(&entry)
//	entry, guaranteed := queue.Next(now)
//	if entry != nil && send(entry) {
//		queue.Dequeue(now, entry)
//	}
//
// A Queue reads no clock and is not safe for concurrent use. Every operation
// takes logarithmic time and allocates nothing once its maps and slices have
// grown.
package admission

import (
	"math"
	"time"

	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// Verdict is the result of Queue.Admit.
type Verdict int

// The verdicts.
const (
	// Admitted means that the entry was queued.
	Admitted Verdict = iota
	// QueueFull means that the queue is at its maximum length.
	QueueFull
	// TeamFull means that the team has its maximum number of queued requests.
	TeamFull
)

// Queue holds the queued requests of one pool.
type Queue struct {
	settings Settings
	tiers    [profile.TierCount]*tier
	// ownSlots is this host's share of the pool's slots; effectiveSlots is the
	// larger of that and the number of slots in use. Both are zero while
	// unknown.
	ownSlots       int
	effectiveSlots int
	// belowShare holds the classes that may be served immediately on their
	// guaranteed share; dueShare holds those that may be served once their
	// shareDue is reached, the earliest first.
	belowShare heap.Heap[*class]
	dueShare   heap.Heap[*class]
	// totalService is the slot time used from the creation of the queue until
	// advancedAt, in seconds.
	totalService float64
	advancedAt   time.Time
	heldSlots    int
	sequence     uint64
	length       int
	// boundedLength is the number of entries that count against MaxQueued.
	boundedLength int
	queuedByTeam  map[string]int
	freeTeams     []*team
	// guaranteedSum is the sum of the guaranteed shares below the top tier.
	guaranteedSum float64
}

// New returns an empty queue. If settings are out of range, it uses the
// defaults; see Settings.Check.
func New(settings Settings) *Queue {
	if settings.Check() != nil {
		settings = Settings{}
	}
	queue := &Queue{
		settings:     settings.WithDefaults(),
		belowShare:   heap.New(classBelowShareEarlier, setClassBelowShareIndex),
		dueShare:     heap.New(classShareDueEarlier, setClassDueShareIndex),
		queuedByTeam: make(map[string]int),
	}
	for number := range queue.tiers {
		queue.tiers[number] = newTier(profile.Tier(number))
	}
	return queue
}

// Admit queues entry if there is room, or evicts another entry to make room: one
// of a lower tier or, within the tier, one of less value or of a team with a
// longer queue. It returns the evicted entry, if any, which is no longer queued.
func (q *Queue) Admit(entry *Entry) (*Entry, Verdict) {
	class := q.ensureClass(entry)
	if entry.Tier != profile.TierUrgent && q.queuedByTeam[entry.Team] >= q.settings.MaxTeamQueued {
		return q.replaceWithinTeam(class, entry)
	}
	if class.length-class.pinnedLength < class.reserve || q.boundedLength < q.settings.MaxQueued {
		q.Add(entry)
		return nil, Admitted
	}
	victim := q.EvictionCandidate()
	if victim == nil || !q.outranks(class, entry, victim) {
		return nil, QueueFull
	}
	q.Remove(victim)
	q.Add(entry)
	return victim, Admitted
}

// Add queues entry regardless of the bounds. It is for requests that were
// admitted before and are queued again.
func (q *Queue) Add(entry *Entry) {
	class := q.ensureClass(entry)
	team := q.ensureTeam(class, entry.Team)
	entry.Cost = max(entry.Cost, minCost)
	q.sequence++
	entry.sequence = q.sequence
	q.removeFromIndexes(class, team)
	before := class.boundedLength()
	team.add(entry)
	class.length++
	if entry.Pinned {
		class.pinnedLength++
	}
	class.queuedCost += entry.Cost
	class.tier.queuedEntries++
	class.tier.queuedCost += entry.Cost
	q.length++
	q.boundedLength += class.boundedLength() - before
	q.queuedByTeam[entry.Team]++
	q.addToIndexes(class, team, entry.Cost)
}

// Next returns the entry to serve next, or nil if the queue is empty, and
// whether it is served on its class's guaranteed share. The entry stays queued.
func (q *Queue) Next(now time.Time) (*Entry, bool) {
	if q.length == 0 {
		return nil, false
	}
	q.advance(now)
	if class := q.nextGuaranteedClass(); class != nil {
		return class.activeTeams.Top().next(now), true
	}
	for _, tier := range q.tiers {
		if tier.queuedEntries > 0 {
			return tier.activeClasses.Top().activeTeams.Top().next(now), false
		}
	}
	return nil, false
}

// nextGuaranteedClass returns the class to serve on its guaranteed share, or
// nil. The top tier has precedence while it holds less than TopShare of the
// slots.
func (q *Queue) nextGuaranteedClass() *class {
	top := q.tiers[profile.TierUrgent]
	if top.queuedEntries > 0 && float64(top.heldSlots+1) <= q.settings.TopShare*float64(q.effectiveSlots) {
		return nil
	}
	if q.belowShare.Len() > 0 {
		return q.belowShare.Top()
	}
	if q.dueShare.Len() > 0 && q.dueShare.Top().shareDue <= q.totalService {
		return q.dueShare.Top()
	}
	return nil
}

// Dequeue removes an entry that is about to be served, counts a slot for it and
// charges its cost to its class and team. The caller must call ReleaseSlot when
// the entry no longer holds the slot.
func (q *Queue) Dequeue(now time.Time, entry *Entry) {
	q.advance(now)
	team := entry.team
	class := team.class
	tier := class.tier
	tier.virtualTime = max(tier.virtualTime, class.startTag)
	class.virtualTime = max(class.virtualTime, team.startTag)
	class.startTag += entry.Cost / class.weight
	tier.maxStartTag = max(tier.maxStartTag, class.startTag)
	team.startTag += entry.Cost
	class.shareDue = min(q.totalService, class.shareDue) + entry.Cost/q.effectiveShare(class)
	q.addSlot(class)
	q.Remove(entry)
}

// AcquireSlot counts one more slot for an entry that was dequeued. The caller
// must call ReleaseSlot for that slot too.
func (q *Queue) AcquireSlot(now time.Time, entry *Entry) {
	q.advance(now)
	q.addSlot(q.tiers[entry.Tier].classes[entry.Class])
}

func (q *Queue) addSlot(class *class) {
	q.heldSlots++
	class.heldSlots++
	class.tier.heldSlots++
	if class.length > 0 {
		q.removeFromShareHeaps(class)
		q.addToShareHeap(class)
	}
}

// ReleaseSlot frees one slot of an entry that was dequeued and corrects the
// charge to its class and team to the actual cost.
func (q *Queue) ReleaseSlot(now time.Time, entry *Entry, cost float64) {
	q.advance(now)
	delta := cost - entry.Cost
	class := q.tiers[entry.Tier].classes[entry.Class]
	q.heldSlots--
	class.heldSlots--
	class.tier.heldSlots--
	class.shareDue += delta / q.effectiveShare(class)
	class.startTag += delta / class.weight
	class.tier.maxStartTag = max(class.tier.maxStartTag, class.startTag)
	if class.length > 0 {
		q.removeFromShareHeaps(class)
		q.addToShareHeap(class)
		class.tier.activeClasses.Fix(class.activeIndex)
	}
	q.dropIdleClass(class)
	team := class.teams[entry.Team]
	if team == nil {
		return
	}
	team.startTag += delta
	if team.activeIndex != heap.NoIndex {
		class.activeTeams.Fix(team.activeIndex)
	}
}

// Remove removes entry from the queue. It ignores an entry that is not queued.
func (q *Queue) Remove(entry *Entry) {
	team := entry.team
	if team == nil {
		return
	}
	class := team.class
	q.removeFromIndexes(class, team)
	before := class.boundedLength()
	team.remove(entry)
	class.length--
	if entry.Pinned {
		class.pinnedLength--
	}
	class.queuedCost -= entry.Cost
	class.tier.queuedEntries--
	class.tier.queuedCost -= entry.Cost
	q.length--
	q.boundedLength += class.boundedLength() - before
	q.decrementTeamCount(entry.Team)
	q.addToIndexes(class, team, 0)
	q.retireTeam(class, team)
}

// advance adds the slot time used since the last call to totalService.
func (q *Queue) advance(now time.Time) {
	if q.heldSlots > 0 && now.After(q.advancedAt) {
		q.totalService += float64(q.heldSlots) * now.Sub(q.advancedAt).Seconds()
	}
	q.advancedAt = now
}

// HeldSlots returns the number of slots in use.
func (q *Queue) HeldSlots() int {
	return q.heldSlots
}

// SetSlots sets this host's share of the pool's slots, zero if unknown, and the
// number of slots in use. The larger of the two is the number of slots that
// guaranteed shares are measured against.
func (q *Queue) SetSlots(own, effective int) {
	effective = max(own, effective)
	q.ownSlots = own
	if effective == q.effectiveSlots {
		return
	}
	q.effectiveSlots = effective
	for _, tier := range q.tiers {
		for i := range tier.activeClasses.Len() {
			class := tier.activeClasses.At(i)
			q.removeFromShareHeaps(class)
			q.addToShareHeap(class)
		}
	}
}

// ExceedsGuarantee reports whether the class of an entry holds more slots than
// its guaranteed share of this host's own slots, regardless of the number of
// slots in use.
func (q *Queue) ExceedsGuarantee(entry *Entry) bool {
	class := q.tiers[entry.Tier].classes[entry.Class]
	return class != nil && float64(class.heldSlots) > math.Ceil(q.effectiveShare(class)*float64(q.ownSlots))
}

// EvictionCandidate returns the entry to evict first: the least valuable one of the lowest
// tier that has a class above its reserve. It returns nil if there is none.
func (q *Queue) EvictionCandidate() *Entry {
	for number := profile.TierBulk; number >= profile.TierUrgent; number-- {
		if worst := q.EvictionCandidateIn(number); worst != nil {
			return worst
		}
	}
	return nil
}

// EvictionCandidateIn returns the entry of one tier to evict first, or nil.
func (q *Queue) EvictionCandidateIn(number profile.Tier) *Entry {
	evict := &q.tiers[number].evictableClasses
	if evict.Len() == 0 {
		return nil
	}
	return evict.Top().evictableTeams.Top().evictableEntries.Top()
}

// OldestLate returns the entry of the same class and team that has been late for
// the longest time and is therefore served last, or nil.
func (q *Queue) OldestLate(now time.Time, entry *Entry) *Entry {
	class := q.tiers[entry.Tier].classes[entry.Class]
	if class == nil {
		return nil
	}
	team := class.teams[entry.Team]
	if team == nil {
		return nil
	}
	team.moveLate(now)
	return team.late.oldest
}

// Len returns the number of queued entries.
func (q *Queue) Len() int {
	return q.length
}

// LenBelow returns the number of queued entries of lower tiers than number.
func (q *Queue) LenBelow(number profile.Tier) int {
	length := 0
	for _, tier := range q.tiers[number+1:] {
		length += tier.queuedEntries
	}
	return length
}

// ServiceAhead estimates the cost of the entries that would be served before
// entry if it were queued now and nothing else arrived. It is the minimum of
// three bounds: everything queued in its tier and above, the backlog of its
// class and team at their weights, and that backlog at the class's guaranteed
// share.
func (q *Queue) ServiceAhead(entry *Entry) float64 {
	tier := q.tiers[entry.Tier]
	higher := 0.0
	for _, above := range q.tiers[:entry.Tier] {
		higher += above.queuedCost
	}
	class := tier.classes[entry.Class]
	if class == nil || class.length == 0 {
		return min(higher, entry.Cost/max(entry.MinShare, minWeight))
	}
	weights := 0.0
	for i := range tier.activeClasses.Len() {
		weights += tier.activeClasses.At(i).weight
	}
	ahead := 0.0
	if team := class.teams[entry.Team]; team != nil {
		ahead = min(class.queuedCost, team.queuedCost*float64(class.activeTeams.Len()))
	}
	byWeight := higher + min(tier.queuedCost, ahead*weights/class.weight)
	return min(byWeight, (ahead+entry.Cost)/q.effectiveShare(class))
}

// outranks reports whether entry, of the given class, may evict victim.
func (q *Queue) outranks(class *class, entry, victim *Entry) bool {
	if victim.Tier != entry.Tier {
		return victim.Tier > entry.Tier
	}
	if victim.Value != entry.Value {
		return victim.Value < entry.Value
	}
	length := 0
	if team := class.teams[entry.Team]; team != nil {
		length = team.len()
	}
	return victim.team.len() > length+1
}

// replaceWithinTeam admits an entry of a team that is at its bound by evicting an
// entry of the same team and class: the least valuable one if it has less value,
// otherwise the oldest late one.
func (q *Queue) replaceWithinTeam(class *class, entry *Entry) (*Entry, Verdict) {
	team := class.teams[entry.Team]
	if team == nil {
		return nil, TeamFull
	}
	victim := team.late.oldest
	if team.evictableEntries.Len() > 0 && team.evictableEntries.Top().Value < entry.Value {
		victim = team.evictableEntries.Top()
	}
	if victim == nil || victim.Value > entry.Value {
		return nil, TeamFull
	}
	q.Remove(victim)
	q.Add(entry)
	return victim, Admitted
}
