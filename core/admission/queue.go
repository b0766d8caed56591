// Package admission holds the requests of one pool that wait for an endpoint,
// decides which is served next, and which is given up when there are too many.
//
// The next request is, in this order: one of a class that is owed a part of its
// guaranteed share; otherwise one of the highest tier that has any. Within a
// tier, classes share service by weight and the teams of a class share it
// evenly, by start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996).
// Within a team the earliest deadline comes first, and requests that can no
// longer meet their target stand behind those that can.
//
// # Usage
//
//	queue := admission.New(settings)
//	evicted, verdict := queue.Admit(&entry)
//	entry, owed := queue.Next(now)
//	if entry != nil && sent(entry) {
//		queue.Take(now, entry)
//	}
//
// A Queue reads no clock and is not safe for concurrent use. Every operation
// takes logarithmic time and allocates nothing once its tables have grown.
package admission

import (
	"math"
	"time"

	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// Verdict says what became of an entry that asked to be admitted.
type Verdict int

// The verdicts.
const (
	// Admitted says that the entry is queued.
	Admitted Verdict = iota
	// QueueFull says that the pool's bound is reached.
	QueueFull
	// TeamFull says that the team's bound is reached.
	TeamFull
)

// Queue holds the waiting requests of one pool.
type Queue struct {
	settings Settings
	tiers    [profile.TierCount]*tier
	// sureSlots is the number of slots that are this queue's part of the pool's;
	// usedSlots that of those in use if it is larger. Both are zero while they are
	// unknown.
	sureSlots int
	usedSlots int
	// below holds the classes with entries that are owed service at once, due
	// those that are by when they are.
	below heap.Heap[*class]
	due   heap.Heap[*class]
	// service is the slot time used since the queue was made, in seconds, up to
	// servedAt; running is the number of slots held.
	service  float64
	servedAt time.Time
	running  int
	sequence uint64
	length   int
	// counted is the number of entries that count against the bound.
	counted    int
	teamCounts map[string]int
	freeTeams  []*team
	// guaranteed is the sum of the guaranteed shares below the top tier.
	guaranteed float64
}

// New returns an empty queue. Settings that are out of range are taken as the
// defaults; see Settings.Check.
func New(settings Settings) *Queue {
	if settings.Check() != nil {
		settings = Settings{}
	}
	queue := &Queue{
		settings:   settings.WithDefaults(),
		below:      heap.New(classBelowEarlier, placeClassBelow),
		due:        heap.New(classDueEarlier, placeClassDue),
		teamCounts: make(map[string]int),
	}
	for number := range queue.tiers {
		queue.tiers[number] = newTier(profile.Tier(number))
	}
	return queue
}

// Admit queues entry if there is room for it, or makes room by evicting an
// entry of a lower tier or, within the tier, of less value or of a team with a
// longer queue. The evicted entry, or nil, has left the queue.
func (q *Queue) Admit(entry *Entry) (*Entry, Verdict) {
	class := q.class(entry)
	if entry.Tier != profile.TierUrgent && q.teamCounts[entry.Team] >= q.settings.MaxTeamQueued {
		return q.replaceOwn(class, entry)
	}
	if class.length-class.pinned < class.reserve || q.counted < q.settings.MaxQueued {
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

// Add queues entry whatever the bounds are. It is for requests that were
// admitted before and come back.
func (q *Queue) Add(entry *Entry) {
	class := q.class(entry)
	team := q.team(class, entry.Team)
	entry.Cost = max(entry.Cost, minCost)
	q.sequence++
	entry.sequence = q.sequence
	q.leaveIndexes(class, team)
	counted := class.counted()
	team.add(entry)
	class.length++
	if entry.Pinned {
		class.pinned++
	}
	class.cost += entry.Cost
	class.tier.length++
	class.tier.cost += entry.Cost
	q.length++
	q.counted += class.counted() - counted
	q.teamCounts[entry.Team]++
	q.enterIndexes(class, team, entry.Cost)
}

// Next returns the entry to serve next, or nil for an empty queue, and whether
// it is served on its class's guaranteed share. The entry stays queued.
func (q *Queue) Next(now time.Time) (*Entry, bool) {
	if q.length == 0 {
		return nil, false
	}
	q.advance(now)
	if class := q.owed(); class != nil {
		return class.active.Top().head(now), true
	}
	for _, tier := range q.tiers {
		if tier.length > 0 {
			return tier.active.Top().active.Top().head(now), false
		}
	}
	return nil, false
}

// owed returns the class to serve on its guaranteed share, or nil. The top tier
// goes before all of them while it holds less than its own part.
func (q *Queue) owed() *class {
	top := q.tiers[profile.TierUrgent]
	if top.length > 0 && float64(top.running+1) <= q.settings.TopShare*float64(q.usedSlots) {
		return nil
	}
	if q.below.Len() > 0 {
		return q.below.Top()
	}
	if q.due.Len() > 0 && q.due.Top().due <= q.service {
		return q.due.Top()
	}
	return nil
}

// Dequeue removes an entry that is being served and charges its class and team.
// Release must follow once the entry holds its slot no more.
func (q *Queue) Dequeue(now time.Time, entry *Entry) {
	q.advance(now)
	team := entry.team
	class := team.class
	tier := class.tier
	tier.virtual = max(tier.virtual, class.tag)
	class.virtual = max(class.virtual, team.tag)
	class.tag += entry.Cost / class.weight
	tier.lastTag = max(tier.lastTag, class.tag)
	team.tag += entry.Cost
	class.due = min(q.service, class.due) + entry.Cost/q.share(class)
	q.hold(class)
	q.Remove(entry)
}

// AcquireSlot counts a further slot for an entry that was taken. Release must follow for
// it too.
func (q *Queue) AcquireSlot(now time.Time, entry *Entry) {
	q.advance(now)
	q.hold(q.tiers[entry.Tier].classes[entry.Class])
}

func (q *Queue) hold(class *class) {
	q.running++
	class.running++
	class.tier.running++
	if class.length > 0 {
		q.leaveGuarantee(class)
		q.enterGuarantee(class)
	}
}

// ReleaseSlot says that an entry that was taken holds its slot no more, and what its
// service has really cost.
func (q *Queue) ReleaseSlot(now time.Time, entry *Entry, cost float64) {
	q.advance(now)
	delta := cost - entry.Cost
	class := q.tiers[entry.Tier].classes[entry.Class]
	q.running--
	class.running--
	class.tier.running--
	class.due += delta / q.share(class)
	class.tag += delta / class.weight
	class.tier.lastTag = max(class.tier.lastTag, class.tag)
	if class.length > 0 {
		q.leaveGuarantee(class)
		q.enterGuarantee(class)
		class.tier.active.Fix(class.activeIndex)
	}
	q.forgetClass(class)
	team := class.teams[entry.Team]
	if team == nil {
		return
	}
	team.tag += delta
	if team.active != heap.NoIndex {
		class.active.Fix(team.active)
	}
}

// Remove takes entry out of the queue. An entry that is not queued is ignored.
func (q *Queue) Remove(entry *Entry) {
	team := entry.team
	if team == nil {
		return
	}
	class := team.class
	q.leaveIndexes(class, team)
	counted := class.counted()
	team.remove(entry)
	class.length--
	if entry.Pinned {
		class.pinned--
	}
	class.cost -= entry.Cost
	class.tier.length--
	class.tier.cost -= entry.Cost
	q.length--
	q.counted += class.counted() - counted
	q.forgetTeam(entry.Team)
	q.enterIndexes(class, team, 0)
	q.retire(class, team)
}

// advance counts the slot time used since the last call.
func (q *Queue) advance(now time.Time) {
	if q.running > 0 && now.After(q.servedAt) {
		q.service += float64(q.running) * now.Sub(q.servedAt).Seconds()
	}
	q.servedAt = now
}

// HeldSlots returns the number of slots held.
func (q *Queue) HeldSlots() int {
	return q.running
}

// SetSlots says how many slots are this queue's part of the pool's, with zero for
// unknown, and how many are in use.
func (q *Queue) SetSlots(sure, used int) {
	used = max(sure, used)
	q.sureSlots = sure
	if used == q.usedSlots {
		return
	}
	q.usedSlots = used
	for _, tier := range q.tiers {
		for i := range tier.active.Len() {
			class := tier.active.At(i)
			q.leaveGuarantee(class)
			q.enterGuarantee(class)
		}
	}
}

// ExceedsGuarantee reports whether the class of an entry holds more slots than
// its guaranteed share of the queue's part of the pool, whatever else is in use.
func (q *Queue) ExceedsGuarantee(entry *Entry) bool {
	class := q.tiers[entry.Tier].classes[entry.Class]
	return class != nil && float64(class.running) > math.Ceil(q.share(class)*float64(q.sureSlots))
}

// EvictionCandidate returns the entry to give up first: of the lowest tier that has more
// than its reserve, the least valuable. It returns nil if there is none.
func (q *Queue) EvictionCandidate() *Entry {
	for number := profile.TierBulk; number >= profile.TierUrgent; number-- {
		if worst := q.EvictionCandidateIn(number); worst != nil {
			return worst
		}
	}
	return nil
}

// EvictionCandidateIn returns the entry of one tier to give up first, or nil.
func (q *Queue) EvictionCandidateIn(number profile.Tier) *Entry {
	evict := &q.tiers[number].evict
	if evict.Len() == 0 {
		return nil
	}
	return evict.Top().evict.Top().worth.Top()
}

// OldestLate returns the entry of the same class and team that is served last
// because it has long missed its target, or nil.
func (q *Queue) OldestLate(now time.Time, entry *Entry) *Entry {
	class := q.tiers[entry.Tier].classes[entry.Class]
	if class == nil {
		return nil
	}
	team := class.teams[entry.Team]
	if team == nil {
		return nil
	}
	team.sort(now)
	return team.late.oldest
}

// Len returns the number of queued entries.
func (q *Queue) Len() int {
	return q.length
}

// LenBelow returns the number of queued entries of lower priority than number.
func (q *Queue) LenBelow(number profile.Tier) int {
	length := 0
	for _, tier := range q.tiers[number+1:] {
		length += tier.length
	}
	return length
}

// ServiceAhead estimates the service, in units of cost, that goes before entry if it
// is queued now and nothing else arrives: the least of what its tier, its class
// at its weight, its team at its part and its class on its guaranteed share
// would have it wait for.
func (q *Queue) ServiceAhead(entry *Entry) float64 {
	tier := q.tiers[entry.Tier]
	higher := 0.0
	for _, above := range q.tiers[:entry.Tier] {
		higher += above.cost
	}
	class := tier.classes[entry.Class]
	if class == nil || class.length == 0 {
		return min(higher, entry.Cost/max(entry.MinShare, minWeight))
	}
	weights := 0.0
	for i := range tier.active.Len() {
		weights += tier.active.At(i).weight
	}
	ahead := 0.0
	if team := class.teams[entry.Team]; team != nil {
		ahead = min(class.cost, team.cost*float64(class.active.Len()))
	}
	byWeight := higher + min(tier.cost, ahead*weights/class.weight)
	return min(byWeight, (ahead+entry.Cost)/q.share(class))
}

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

// replaceOwn admits entry of a team at its bound in place of one of the same team
// and class that is less valuable, or that is served last.
func (q *Queue) replaceOwn(class *class, entry *Entry) (*Entry, Verdict) {
	team := class.teams[entry.Team]
	if team == nil {
		return nil, TeamFull
	}
	victim := team.late.oldest
	if team.worth.Len() > 0 && team.worth.Top().Value < entry.Value {
		victim = team.worth.Top()
	}
	if victim == nil || victim.Value > entry.Value {
		return nil, TeamFull
	}
	q.Remove(victim)
	q.Add(entry)
	return victim, Admitted
}
