package load

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"cactuswell/core/profile"
	"cactuswell/deployment"
)

// arrival is one request to be made.
type arrival struct {
	at        time.Duration
	number    int
	spec      profile.Spec
	team      string
	reference string
	// promptWords is the length of the prompt.
	promptWords int
	maxTokens   int
	key         string
	host        int
}

const (
	minPromptWords = 20
	maxPromptWords = 400
	// sharedPrefixWords is the length of the text that the prompts of one team
	// and class have in common.
	sharedPrefixWords = 150
)

// arrivals returns the scripted requests of a run in order of time. The same
// config gives the same list.
func arrivals(config *Config) []arrival {
	random := rand.New(rand.NewPCG(config.Seed, 1))
	var list []arrival
	for i := range config.Streams {
		stream := &config.Streams[i]
		spec, _ := config.Firm.Profile(stream.Profile)
		at := time.Duration(0)
		for {
			gap := random.ExpFloat64() / stream.rateAt(at)
			at += time.Duration(gap * float64(time.Second))
			if at >= config.Duration {
				break
			}
			list = append(list, arrival{
				at:          at,
				spec:        spec,
				team:        drawTeam(random, config.Firm.Teams),
				promptWords: minPromptWords + random.IntN(maxPromptWords-minPromptWords),
				maxTokens:   spec.MaxTokens,
				host:        random.IntN(len(config.Hosts)),
			})
			if !spec.Idempotent && random.Float64() < config.KeyShare {
				list[len(list)-1].key = fmt.Sprintf("load-%s%d-%s-%d", config.RunID, config.Seed, stream.Profile, len(list))
			}
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].at < list[j].at })
	for i := range list {
		list[i].number = i
		list[i].reference = fmt.Sprintf("%s-%s%d-%d", list[i].spec.Name, config.RunID, config.Seed, i)
	}
	return list
}

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
