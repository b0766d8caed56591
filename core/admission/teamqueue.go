package admission

import (
	"cmp"
	"slices"

	"cactuswell/core/profile"
)

// maxTeamQueues bounds the number of team queues in a dump.
const maxTeamQueues = 256

// TeamQueue describes the queue of one team in one class for dumps.
type TeamQueue struct {
	Tier  profile.Tier `json:"tier"`
	Class string       `json:"class"`
	Team  string       `json:"team"`
	// Viable and Late count the requests that can and that can no longer meet
	// their target, as of the last check.
	Viable int `json:"viable"`
	Late   int `json:"late"`
	// Cost is the expected slot time of these requests in seconds.
	Cost float64 `json:"cost"`
}

// TeamQueues lists at most maxTeamQueues queues, sorted by tier, class and team.
func (q *Queue) TeamQueues() []TeamQueue {
	queues := make([]TeamQueue, 0, min(q.length, maxTeamQueues))
	for _, tier := range q.tiers {
		for i := range tier.activeClasses.Len() {
			queues = tier.activeClasses.At(i).appendTeamQueues(queues)
		}
	}
	slices.SortFunc(queues, func(a, b TeamQueue) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
	})
	return queues
}

func (c *class) appendTeamQueues(queues []TeamQueue) []TeamQueue {
	for i := range c.activeTeams.Len() {
		if len(queues) == maxTeamQueues {
			return queues
		}
		team := c.activeTeams.At(i)
		queues = append(queues, TeamQueue{
			Tier:   c.tier.tier,
			Class:  c.name,
			Team:   team.name,
			Viable: team.viable.Len(),
			Late:   team.late.length,
			Cost:   team.queuedCost,
		})
	}
	return queues
}
