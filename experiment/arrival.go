package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// blockTokens is the length of one prefix block.
	blockTokens = 64
	// maxBlocks bounds the prefix blocks of a request.
	maxBlocks = 64
	// lengthSpread is the standard deviation of the logarithm of lengths.
	lengthSpread = 0.5
	// serviceSpread is that of the times of plain services.
	serviceSpread = 0.3
	// largeTeams have largeTeamWeight times the traffic of the others.
	largeTeams      = 3
	largeTeamWeight = 5
)

// arrival is one request of the script.
type arrival struct {
	after        time.Duration
	class        *Class
	team         int
	promptTokens int
	outputTokens int
	serviceTime  time.Duration
	prefix       []uint64
	// host, from 0 to 1, chooses among the live hosts, as the balancer does.
	host float64
}

// script returns the arrivals in time order.
func script(d *Deployment, scenario *Scenario, seed uint64) []arrival {
	var arrivals []arrival
	for i := range d.Classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		arrivals = append(arrivals, classArrivals(d, scenario, &d.Classes[i], i, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int {
		return cmp.Compare(a.after, b.after)
	})
	return arrivals
}

// classArrivals thins a Poisson process of the greatest rate to the rate of the
// moment (Lewis and Shedler, 1979).
func classArrivals(d *Deployment, scenario *Scenario, class *Class, number int, random *rand.Rand) []arrival {
	var arrivals []arrival
	peak := max(class.ArrivalsPerSecond, scenario.burstRate(d, class))
	for after := time.Duration(0); ; {
		after += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if after >= horizon {
			return arrivals
		}
		keep := random.Float64()
		a := newArrival(d, class, number, random)
		rate := class.ArrivalsPerSecond
		if scenario.inBurst(after) {
			rate = max(rate, scenario.burstRate(d, class))
		}
		if keep*peak > rate {
			continue
		}
		if scenario.TeamFloods && keep*peak > class.ArrivalsPerSecond {
			a.team = 0
		}
		a.after = after
		arrivals = append(arrivals, a)
	}
}

func newArrival(d *Deployment, class *Class, number int, random *rand.Rand) arrival {
	a := arrival{
		class:        class,
		team:         drawTeam(d.Teams, random),
		promptTokens: drawLength(class.PromptTokens, lengthSpread, random),
		outputTokens: max(drawLength(class.OutputTokens, lengthSpread, random), 1),
		serviceTime:  time.Duration(drawLength(int(class.ServiceTime), serviceSpread, random)),
		host:         random.Float64(),
	}
	matter := random.IntN(max(class.PrefixesPerTeam, 1))
	unique := random.Uint64()
	blocks := min(a.promptTokens/blockTokens, maxBlocks)
	for block := range blocks {
		hash := unique + uint64(block)
		if block < class.SharedPrefixTokens/blockTokens {
			hash = uint64(number+1)<<48 | uint64(a.team+1)<<32 | uint64(matter+1)<<16 | uint64(block+1)
		}
		a.prefix = append(a.prefix, hash)
	}
	return a
}

func drawTeam(teams int, random *rand.Rand) int {
	total := largeTeams*largeTeamWeight + teams - largeTeams
	drawn := random.IntN(total)
	if drawn < largeTeams*largeTeamWeight {
		return drawn / largeTeamWeight
	}
	return drawn - largeTeams*largeTeamWeight + largeTeams
}

// drawLength draws from a log-normal distribution with the given mean.
func drawLength(mean int, spread float64, random *rand.Rand) int {
	factor := math.Exp(spread*random.NormFloat64() - spread*spread/2)
	return int(float64(mean) * min(factor, 4))
}
