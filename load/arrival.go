package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cactuswell/core/profile"
	"cactuswell/deployment"
)

// arrival is one scheduled request.
type arrival struct {
	// at is the time after the start of the run.
	at     time.Duration
	number int
	spec   profile.Spec
	team   string
	// reference is unique to the request and must come back in its answer.
	reference string
	// promptWords is the length of the prompt after the shared prefix.
	promptWords int
	maxTokens   int
	// key is the idempotency key, or empty.
	key string
	// host is an index into Config.Hosts.
	host int
}

const (
	minPromptWords = 20
	maxPromptWords = 400
	// sharedPrefixWords is the length of the prefix that the prompts of one team
	// and class share.
	sharedPrefixWords = 150
)

// generateArrivals returns the requests of a run sorted by time. Gaps between the
// requests of a stream are drawn from an exponential distribution. The same config
// gives the same arrivals.
func generateArrivals(config *Config) []arrival {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	var arrivals []arrival
	for i := range config.Streams {
		stream := &config.Streams[i]
		spec, _ := config.Deployment.Profile(stream.Profile)
		at := time.Duration(0)
		for {
			gap := random.ExpFloat64() / stream.rateAt(at)
			at += time.Duration(gap * float64(time.Second))
			if at >= config.Duration {
				break
			}
			arrivals = append(arrivals, arrival{
				at:          at,
				spec:        spec,
				team:        drawTeam(random, config.Deployment.Teams),
				promptWords: minPromptWords + random.IntN(maxPromptWords-minPromptWords),
				maxTokens:   spec.MaxTokens,
				host:        random.IntN(len(config.Hosts)),
			})
			if !spec.Idempotent && random.Float64() < config.KeyShare {
				arrivals[len(arrivals)-1].key = fmt.Sprintf("load-%s%d-%s-%d", config.RunID, config.Seed, stream.Profile, len(arrivals))
			}
		}
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	for i := range arrivals {
		arrivals[i].number = i
		arrivals[i].reference = fmt.Sprintf("%s-%s%d-%d", arrivals[i].spec.Name, config.RunID, config.Seed, i)
	}
	return arrivals
}

// drawTeam draws a team with the probabilities given by the weights.
func drawTeam(random *rand.Rand, teams []deployment.Team) string {
	total := 0.0
	for _, team := range teams {
		total += team.Weight
	}
	drawn := random.Float64() * total
	for _, team := range teams {
		drawn -= team.Weight
		if drawn < 0 {
			return team.Name
		}
	}
	return ""
}
