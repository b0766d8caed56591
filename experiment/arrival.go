package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// blockTokens is the number of tokens in one prefix block.
	blockTokens = 64
	// maxBlocks limits the number of prefix blocks of a request.
	maxBlocks = 64
	// lengthSigma is the standard deviation of the logarithm of prompt and output
	// lengths.
	lengthSigma = 0.5
	// serviceTimeSigma is the standard deviation of the logarithm of the service
	// times of plain services.
	serviceTimeSigma = 0.3
	// The first largeTeamCount teams each send largeTeamWeight times the traffic of
	// any other team.
	largeTeamCount  = 3
	largeTeamWeight = 5
)

// arrival is one request of the generated load.
type arrival struct {
	sinceStart   time.Duration
	class        *Class
	team         int
	promptTokens int
	outputTokens int
	serviceTime  time.Duration
	prefix       []uint64
	// hostDraw, from 0 to 1, selects one of the live hosts, as the load balancer
	// does.
	hostDraw float64
}

// generateArrivals returns the arrivals of all classes in chronological order.
func generateArrivals(d *Deployment, scenario *Scenario, seed uint64) []arrival {
	var arrivals []arrival
	for i := range d.Classes {
		random := rand.New(rand.NewPCG(seed, uint64(i)+1))
		arrivals = append(arrivals, generateClassArrivals(d, scenario, &d.Classes[i], i, random)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int {
		return cmp.Compare(a.sinceStart, b.sinceStart)
	})
	return arrivals
}

// generateClassArrivals draws arrivals from a Poisson process at the peak rate and
// thins them to the rate at each point in time (Lewis and Shedler, 1979).
func generateClassArrivals(d *Deployment, scenario *Scenario, class *Class, classIndex int, random *rand.Rand) []arrival {
	var arrivals []arrival
	peak := max(class.ArrivalsPerSecond, scenario.burstRate(d, class))
	for after := time.Duration(0); ; {
		after += time.Duration(random.ExpFloat64() / peak * float64(time.Second))
		if after >= arrivalPeriod {
			return arrivals
		}
		draw := random.Float64()
		a := newArrival(d, class, classIndex, random)
		rate := class.ArrivalsPerSecond
		if scenario.isInBurst(after) {
			rate = max(rate, scenario.burstRate(d, class))
		}
		if draw*peak > rate {
			continue
		}
		if scenario.TeamFloods && draw*peak > class.ArrivalsPerSecond {
			a.team = 0
		}
		a.sinceStart = after
		arrivals = append(arrivals, a)
	}
}

func newArrival(d *Deployment, class *Class, classIndex int, random *rand.Rand) arrival {
	a := arrival{
		class:        class,
		team:         drawTeam(d.Teams, random),
		promptTokens: drawLength(class.PromptTokens, lengthSigma, random),
		outputTokens: max(drawLength(class.OutputTokens, lengthSigma, random), 1),
		serviceTime:  time.Duration(drawLength(int(class.ServiceTime), serviceTimeSigma, random)),
		hostDraw:     random.Float64(),
	}
	prefixIndex := random.IntN(max(class.PrefixesPerTeam, 1))
	uniqueHash := random.Uint64()
	blocks := min(a.promptTokens/blockTokens, maxBlocks)
	for block := range blocks {
		hash := uniqueHash + uint64(block)
		if block < class.SharedPrefixTokens/blockTokens {
			hash = uint64(classIndex+1)<<48 | uint64(a.team+1)<<32 | uint64(prefixIndex+1)<<16 | uint64(block+1)
		}
		a.prefix = append(a.prefix, hash)
	}
	return a
}

func drawTeam(teams int, random *rand.Rand) int {
	total := largeTeamCount*largeTeamWeight + teams - largeTeamCount
	draw := random.IntN(total)
	if draw < largeTeamCount*largeTeamWeight {
		return draw / largeTeamWeight
	}
	return draw - largeTeamCount*largeTeamWeight + largeTeamCount
}

// drawLength draws from a log-normal distribution with the given mean. The result is
// at most four times the mean.
func drawLength(mean int, spread float64, random *rand.Rand) int {
	factor := math.Exp(spread*random.NormFloat64() - spread*spread/2)
	return int(float64(mean) * min(factor, 4))
}
