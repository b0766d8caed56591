package admission

import (
	"cmp"
	"slices"

	"cactuswell/core/profile"
)

// maxTeamQueues bounds the list of team queues in a dump.
const maxTeamQueues = 256

// TeamQueue describes the queue of one team in one class, for dumps.
type TeamQueue struct {
	Tier  profile.Tier `json:"tier"`
	Class string       `json:"class"`
	Team  string       `json:"team"`
	// Viable and Late count the requests that can and can no longer meet their
	// target, as far as the queue has looked.
	Viable int `json:"viable"`
	Late   int `json:"late"`
	// Cost is the expected slot time of all of them, in seconds.
	Cost float64 `json:"cost"`
}

// TeamQueues lists the queues, by tier, class and team. The longest list is bounded.
func (q *Queue) TeamQueues() []TeamQueue {
	queues := make([]TeamQueue, 0, min(q.length, maxTeamQueues))
	for _, tier := range q.tiers {
		for i := range tier.active.Len() {
			queues = tier.active.At(i).describe(queues)
		}
	}
	slices.SortFunc(queues, func(a, b TeamQueue) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Team, b.Team))
	})
	return queues
}

func (c *class) describe(queues []TeamQueue) []TeamQueue {
	for i := range c.active.Len() {
		if len(queues) == maxTeamQueues {
			return queues
		}
		team := c.active.At(i)
		queues = append(queues, TeamQueue{
			Tier:   c.tier.number,
			Class:  c.name,
			Team:   team.name,
			Viable: team.viable.Len(),
			Late:   team.late.length,
			Cost:   team.cost,
		})
	}
	return queues
}
