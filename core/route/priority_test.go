package route_test

import (
	"fmt"
	"slices"
	"testing"

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
