package route

import (
	"cmp"
	"slices"

	"cactuswell/set"
)

// priorityLevels is the number of priorities that engines distinguish.
const priorityLevels = 10

// urgency orders calls: by their team's priority, and calls of teams with the same
// priority by their route's. Lower values are more urgent.
type urgency struct {
	team  int
	route int
}

// urgencyOf returns the urgency of a team's calls of a route. A team without a
// priority, and a call without a team, have that of the route.
func urgencyOf(r *Route, team *Team) urgency {
	u := urgency{
		team:  r.Priority,
		route: r.Priority,
	}
	if team != nil && team.HasPriority {
		u.team = team.Priority
	}
	return u
}

func compareUrgency(a, b urgency) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
}

// urgencyLevels returns the distinct urgencies of all calls that a configuration
// allows, the most urgent first.
func urgencyLevels(spec Spec) []urgency {
	routePriorities, teamPriorities := set.New[int](), set.New[int]()
	for i := range spec.Routes {
		routePriorities.Add(spec.Routes[i].Priority)
	}
	for i := range spec.Teams {
		if team := &spec.Teams[i]; team.HasPriority {
			teamPriorities.Add(team.Priority)
		}
	}
	var levels []urgency
	for _, own := range routePriorities.Values() {
		levels = append(levels, urgency{
			team:  own,
			route: own,
		})
		for _, team := range teamPriorities.Values() {
			levels = append(levels, urgency{
				team:  team,
				route: own,
			})
		}
	}
	slices.SortFunc(levels, compareUrgency)
	return slices.Compact(levels)
}

// Priority returns the priority of a team's calls of a route, from 0, the most urgent,
// to 9. The team may be nil. The team's priority takes precedence over the route's,
// which orders the calls of teams with the same priority. A configuration with more
// than ten combinations shares each priority among neighbouring ones.
func (t *Table) Priority(r *Route, team *Team) int {
	level, _ := slices.BinarySearchFunc(t.urgencyLevels, urgencyOf(r, team), compareUrgency)
	return level * priorityLevels / max(len(t.urgencyLevels), priorityLevels)
}
