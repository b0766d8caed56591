package admission

import (
	"slices"

	"cactuswell/core/heap"
	"cactuswell/core/profile"
)

// removeFromIndexes removes a class and a team from the heaps that are ordered
// by their contents. It must be called before the contents change.
func (q *Queue) removeFromIndexes(class *class, team *team) {
	if class.evictIndex != heap.NoIndex {
		class.tier.evictableClasses.Remove(class.evictIndex)
	}
	if team.evictIndex != heap.NoIndex {
		class.evictableTeams.Remove(team.evictIndex)
	}
	if team.activeIndex != heap.NoIndex {
		class.activeTeams.Remove(team.activeIndex)
	}
	if class.activeIndex != heap.NoIndex {
		class.tier.activeClasses.Remove(class.activeIndex)
	}
	q.removeFromShareHeaps(class)
}

// removeFromShareHeaps removes a class from the heaps of classes that may be
// served on their guaranteed share.
func (q *Queue) removeFromShareHeaps(class *class) {
	if class.dueShareIndex != heap.NoIndex {
		q.dueShare.Remove(class.dueShareIndex)
	}
	if class.belowShareIndex != heap.NoIndex {
		q.belowShare.Remove(class.belowShareIndex)
	}
}

// addToShareHeap adds a class with queued entries to the heap that matches the
// slots it holds. If one more slot still fits in its guaranteed share, it may be
// served immediately (belowShare). If the share covers only a fraction of one more
// slot, it may be served once shareDue is reached (dueShare). Beyond that, it
// has no claim.
func (q *Queue) addToShareHeap(class *class) {
	if class.length == 0 {
		return
	}
	guaranteed := q.effectiveShare(class) * float64(q.effectiveSlots)
	switch {
	case float64(class.heldSlots+1) <= guaranteed:
		q.belowShare.Push(class)
	case q.effectiveSlots == 0 || float64(class.heldSlots) < guaranteed:
		q.dueShare.Push(class)
	}
}

// addToIndexes adds a class and a team to the heaps that match their contents.
// The guaranteed share of a class that was empty becomes due once it has accrued
// cost.
func (q *Queue) addToIndexes(class *class, team *team, cost float64) {
	if team.len() > 0 {
		q.activateTeam(class, team)
	}
	if team.evictableEntries.Len() > 0 {
		class.evictableTeams.Push(team)
	}
	if class.evictable() {
		class.tier.evictableClasses.Push(class)
	}
	if class.length == 0 {
		return
	}
	if class.length == 1 && cost > 0 {
		class.startTag = max(class.startTag, class.tier.virtualTime)
		class.shareDue = max(class.shareDue, q.totalService+cost/q.effectiveShare(class))
	}
	class.tier.activeClasses.Push(class)
	q.addToShareHeap(class)
}

func (q *Queue) activateTeam(class *class, team *team) {
	if team.isIdle {
		team.isIdle = false
		at := slices.Index(class.idleTeams, team)
		class.idleTeams = slices.Delete(class.idleTeams, at, at+1)
	}
	if team.len() == 1 {
		team.startTag = max(team.startTag, class.virtualTime)
	}
	class.activeTeams.Push(team)
}

// retireTeam recycles a team without entries, unless its start tag is ahead of
// the class's virtual time: then it is kept as idle, so that it does not get
// more than its fair share by leaving the queue. All idle teams are recycled
// once the class is empty.
func (q *Queue) retireTeam(class *class, team *team) {
	if team.len() > 0 {
		return
	}
	if class.length == 0 {
		q.recycleTeam(class, team)
		q.retireClass(class)
		return
	}
	if team.startTag <= class.virtualTime {
		q.recycleTeam(class, team)
		return
	}
	team.isIdle = true
	class.idleTeams = append(class.idleTeams, team)
	if len(class.idleTeams) > MaxIdleTeams {
		oldest := class.idleTeams[0]
		class.idleTeams = slices.Delete(class.idleTeams, 0, 1)
		q.recycleTeam(class, oldest)
	}
}

func (q *Queue) retireClass(class *class) {
	for _, team := range class.idleTeams {
		q.recycleTeam(class, team)
	}
	clear(class.idleTeams)
	class.idleTeams = class.idleTeams[:0]
	class.queuedCost = 0
	tier := class.tier
	if tier.queuedEntries == 0 {
		tier.virtualTime = tier.maxStartTag
		tier.queuedCost = 0
	}
	q.dropIdleClass(class)
}

// dropIdleClass removes an idle class and its guaranteed share if the tier has
// more than MaxIdleClasses classes.
func (q *Queue) dropIdleClass(class *class) {
	if class.length > 0 || class.heldSlots > 0 || len(class.tier.classes) <= MaxIdleClasses {
		return
	}
	delete(class.tier.classes, class.name)
	q.setShare(class, 0)
}

func (q *Queue) recycleTeam(class *class, team *team) {
	delete(class.teams, team.name)
	team.isIdle = false
	team.startTag = 0
	team.queuedCost = 0
	if len(q.freeTeams) < MaxIdleTeams {
		q.freeTeams = append(q.freeTeams, team)
	}
}

func (q *Queue) ensureTeam(class *class, name string) *team {
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

func (q *Queue) ensureClass(entry *Entry) *class {
	tier := q.tiers[entry.Tier]
	class := tier.classes[entry.Class]
	if class == nil {
		class = newClass(entry.Class, tier)
		class.reserve = q.settings.ClassReserve
		tier.classes[entry.Class] = class
	}
	class.weight = max(entry.Weight, minWeight)
	if class.minShare != entry.MinShare {
		q.setShare(class, entry.MinShare)
	}
	return class
}

const (
	// minWeight is the minimum weight and guaranteed share of a class, so that
	// neither is zero.
	minWeight = 1e-3
	// minCost is the minimum cost of an entry, so that it is not zero.
	minCost = 1e-3
)

// setShare sets a class's guaranteed share and updates the sum of all shares.
func (q *Queue) setShare(class *class, share float64) {
	if class.tier.tier != profile.TierUrgent {
		q.guaranteedSum += share - class.minShare
	}
	class.minShare = share
}

// effectiveShare returns a class's guaranteed share, scaled down if the sum of
// all shares exceeds Settings.MaxGuaranteed.
func (q *Queue) effectiveShare(class *class) float64 {
	share := max(class.minShare, minWeight)
	if q.guaranteedSum > q.settings.MaxGuaranteed {
		share *= q.settings.MaxGuaranteed / q.guaranteedSum
	}
	return share
}

func (q *Queue) decrementTeamCount(name string) {
	if q.queuedByTeam[name] == 1 {
		delete(q.queuedByTeam, name)
		return
	}
	q.queuedByTeam[name]--
}
