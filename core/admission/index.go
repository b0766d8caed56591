package admission

import (
	"slices"

	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// leaveIndexes takes a class and a team out of the heaps whose order depends on
// their content, before the content changes.
func (q *Queue) leaveIndexes(class *class, team *team) {
	if class.evictIndex != heap.NoIndex {
		class.tier.evict.Remove(class.evictIndex)
	}
	if team.evict != heap.NoIndex {
		class.evict.Remove(team.evict)
	}
	if team.active != heap.NoIndex {
		class.active.Remove(team.active)
	}
	if class.activeIndex != heap.NoIndex {
		class.tier.active.Remove(class.activeIndex)
	}
	q.leaveGuarantee(class)
}

// leaveGuarantee takes a class out of the heaps of those that may be owed
// service.
func (q *Queue) leaveGuarantee(class *class) {
	if class.dueIndex != heap.NoIndex {
		q.due.Remove(class.dueIndex)
	}
	if class.belowIndex != heap.NoIndex {
		q.below.Remove(class.belowIndex)
	}
}

// enterGuarantee puts a class with entries into the heap that fits the slots
// that it holds: below the whole slots of its share, it is owed service at once;
// within the slot that is only partly its own, when its part is due; above that,
// it is owed nothing.
func (q *Queue) enterGuarantee(class *class) {
	if class.length == 0 {
		return
	}
	sure := q.share(class) * float64(q.usedSlots)
	switch {
	case float64(class.running+1) <= sure:
		q.below.Push(class)
	case q.usedSlots == 0 || float64(class.running) < sure:
		q.due.Push(class)
	}
}

// enterIndexes puts a class and a team back into the heaps where their content
// places them. A class that was empty before is owed its first part after cost.
func (q *Queue) enterIndexes(class *class, team *team, cost float64) {
	if team.len() > 0 {
		q.activateTeam(class, team)
	}
	if team.worth.Len() > 0 {
		class.evict.Push(team)
	}
	if class.evictable() {
		class.tier.evict.Push(class)
	}
	if class.length == 0 {
		return
	}
	if class.length == 1 && cost > 0 {
		class.tag = max(class.tag, class.tier.virtual)
		class.due = max(class.due, q.service+cost/q.share(class))
	}
	class.tier.active.Push(class)
	q.enterGuarantee(class)
}

func (q *Queue) activateTeam(class *class, team *team) {
	if team.idle {
		team.idle = false
		at := slices.Index(class.idle, team)
		class.idle = slices.Delete(class.idle, at, at+1)
	}
	if team.len() == 1 {
		team.tag = max(team.tag, class.virtual)
	}
	class.active.Push(team)
}

// retire forgets a team without entries unless it has had service ahead of the
// others of its class, and a class's teams once the class is empty.
func (q *Queue) retire(class *class, team *team) {
	if team.len() > 0 {
		return
	}
	if class.length == 0 {
		q.freeTeam(class, team)
		q.retireClass(class)
		return
	}
	if team.tag <= class.virtual {
		q.freeTeam(class, team)
		return
	}
	team.idle = true
	class.idle = append(class.idle, team)
	if len(class.idle) > MaxIdleTeams {
		oldest := class.idle[0]
		class.idle = slices.Delete(class.idle, 0, 1)
		q.freeTeam(class, oldest)
	}
}

func (q *Queue) retireClass(class *class) {
	for _, team := range class.idle {
		q.freeTeam(class, team)
	}
	clear(class.idle)
	class.idle = class.idle[:0]
	class.cost = 0
	tier := class.tier
	if tier.length == 0 {
		tier.virtual = tier.lastTag
		tier.cost = 0
	}
	q.forgetClass(class)
}

// forgetClass drops an idle class, with its guaranteed share, if its tier
// remembers too many.
func (q *Queue) forgetClass(class *class) {
	if class.length > 0 || class.running > 0 || len(class.tier.classes) <= MaxIdleClasses {
		return
	}
	delete(class.tier.classes, class.name)
	q.guarantee(class, 0)
}

func (q *Queue) freeTeam(class *class, team *team) {
	delete(class.teams, team.name)
	team.idle = false
	team.tag = 0
	team.cost = 0
	if len(q.freeTeams) < MaxIdleTeams {
		q.freeTeams = append(q.freeTeams, team)
	}
}

func (q *Queue) team(class *class, name string) *team {
	if team := class.teams[name]; team != nil {
		return team
	}
	var team *team
	if last := len(q.freeTeams) - 1; last >= 0 {
		team = q.freeTeams[last]
		q.freeTeams = q.freeTeams[:last]
	} else {
		team = newTeam()
	}
	team.name = name
	team.class = class
	class.teams[name] = team
	return team
}

func (q *Queue) class(entry *Entry) *class {
	tier := q.tiers[entry.Tier]
	class := tier.classes[entry.Class]
	if class == nil {
		class = newClass(entry.Class, tier)
		class.reserve = q.settings.ClassReserve
		tier.classes[entry.Class] = class
	}
	class.weight = max(entry.Weight, minWeight)
	if class.minShare != entry.MinShare {
		q.guarantee(class, entry.MinShare)
	}
	return class
}

const (
	// minWeight keeps a class's weight and share above zero.
	minWeight = 1e-3
	// minCost keeps the cost of an entry above zero.
	minCost = 1e-3
)

// guarantee sets a class's guaranteed share.
func (q *Queue) guarantee(class *class, share float64) {
	if class.tier.number != profile.TierUrgent {
		q.guaranteed += share - class.minShare
	}
	class.minShare = share
}

// share returns a class's guaranteed share, scaled down if all the shares
// together exceed what may be guaranteed.
func (q *Queue) share(class *class) float64 {
	share := max(class.minShare, minWeight)
	if q.guaranteed > q.settings.MaxGuaranteed {
		share *= q.settings.MaxGuaranteed / q.guaranteed
	}
	return share
}

func (q *Queue) forgetTeam(name string) {
	if q.teamCounts[name] == 1 {
		delete(q.teamCounts, name)
		return
	}
	q.teamCounts[name]--
}
