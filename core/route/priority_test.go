package route_test

import (
	"fmt"
	"runtime"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cactuswell/core/route"
)

func specWithPriorities(routes, teams []int) route.Spec {
	spec := route.Spec{Services: []route.Service{{Name: "models"}}}
	for i, priority := range routes {
		spec.Routes = append(spec.Routes, route.Route{
			Name:        fmt.Sprintf("route-%d", i),
			Host:        "firm.example",
			PathPrefix:  fmt.Sprintf("/%d/", i),
			MaxAttempts: 1,
			Priority:    priority,
			Targets:     []route.Target{{Service: "models", Weight: 1}},
		})
	}
	for i, priority := range teams {
		spec.Teams = append(spec.Teams, route.Team{
			Name:        fmt.Sprintf("team-%d", i),
			Keys:        []string{fmt.Sprintf("key-%d", i)},
			Priority:    priority,
			HasPriority: true,
		})
	}
	return spec
}

// TestTeamPriorityKeepsOrderOfRoutes guards against teams whose calls are all equally urgent.
func TestTeamPriorityKeepsOrderOfRoutes(t *testing.T) {
	spec := specWithPriorities([]int{0, 1, 2}, []int{1, 0})
	table, err := route.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	var got []int
	for _, team := range []*route.Team{&spec.Teams[1], &spec.Teams[0]} {
		for i := range spec.Routes {
			got = append(got, table.Priority(&spec.Routes[i], team))
		}
	}
	// The least urgent priority is that of calls without a team on the last route.
	want := []int{0, 1, 2, 3, 4, 5}
	if !slices.Equal(got, want) {
		t.Errorf("priorities by team and route are %v, want %v", got, want)
	}
}

// TestPriorityWithoutTeams guards against calls that lose the priority of their route.
func TestPriorityWithoutTeams(t *testing.T) {
	spec := specWithPriorities([]int{2, 0, 1}, nil)
	table, err := route.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []int{2, 0, 1} {
		if got := table.Priority(&spec.Routes[i], nil); got != want {
			t.Errorf("priority of route %d is %d, want %d", i, got, want)
		}
	}
}

// TestPrioritiesFitEngines guards against priorities that engines do not know.
func TestPrioritiesFitEngines(t *testing.T) {
	spec := specWithPriorities([]int{0, 1, 2, 3, 4}, []int{0, 1, 2, 3})
	table, err := route.New(spec)
	if err != nil {
		t.Fatal(err)
	}
	previous := 0
	for i := range spec.Teams {
		for j := range spec.Routes {
			got := table.Priority(&spec.Routes[j], &spec.Teams[i])
			if got < previous || got > 9 {
				t.Errorf("priority of team %d on route %d is %d, want %d to 9", i, j, got, previous)
			}
			previous = got
		}
	}
}

// TestTableOfManyTeamsIsSmall guards against tables whose memory grows with the product of routes and teams.
func TestTableOfManyTeamsIsSmall(t *testing.T) {
	// A host has 256 MB for control.
	const maxBytes = 256 << 20
	spec := specWithPriorities(make([]int, 2850), make([]int, 3800))
	for i := range spec.Routes {
		spec.Routes[i].Priority = i % 3
	}
	for i := range spec.Teams {
		spec.Teams[i].HasPriority = i%2 == 0
		spec.Teams[i].Priority = i % 4
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	if _, err := route.New(spec); err != nil {
		t.Fatal(err)
	}
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; taken > maxBytes {
		t.Errorf("the table took %d bytes", taken)
	}
}

// TestPriorityIsRankOfUrgency checks priorities against the ranks of all combinations of a route and a
// team.
func TestPriorityIsRankOfUrgency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		priorities := rapid.SliceOfN(rapid.IntRange(-2, 12), 1, 6)
		spec := specWithPriorities(priorities.Draw(t, "routes"), priorities.Draw(t, "teams"))
		for i := range spec.Teams {
			spec.Teams[i].HasPriority = rapid.Bool().Draw(t, "hasPriority")
		}
		table, err := route.New(spec)
		if err != nil {
			t.Fatal(err)
		}
		type urgency struct{ team, route int }
		var urgencies []urgency
		visit := func(use func(r *route.Route, team *route.Team, u urgency)) {
			for i := range spec.Routes {
				r := &spec.Routes[i]
				use(r, nil, urgency{r.Priority, r.Priority})
				for j := range spec.Teams {
					u := urgency{r.Priority, r.Priority}
					if team := &spec.Teams[j]; team.HasPriority {
						u.team = team.Priority
					}
					use(r, &spec.Teams[j], u)
				}
			}
		}
		visit(func(_ *route.Route, _ *route.Team, u urgency) {
			if !slices.Contains(urgencies, u) {
				urgencies = append(urgencies, u)
			}
		})
		visit(func(r *route.Route, team *route.Team, u urgency) {
			rank := 0
			for _, other := range urgencies {
				if other.team < u.team || other.team == u.team && other.route < u.route {
					rank++
				}
			}
			if got, want := table.Priority(r, team), rank*10/max(len(urgencies), 10); got != want {
				t.Errorf("priority %d, want %d", got, want)
			}
		})
	})
}
