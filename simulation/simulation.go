// Package simulation plays load against the decisions of a whole fleet in
// virtual time: hosts with their schedulers, engines that batch requests by the
// same model that the hosts predict with, plain services, and callers that leave
// when they have waited too long.
//
// # Usage
//
//	config := simulation.Kelisim()
//	config.Bursts = append(config.Bursts, simulation.Burst{
//		Class:  "caseBrief",
//		From:   5 * time.Second,
//		For:    9 * time.Second,
//		Factor: 2.3,
//	})
//	result := simulation.Run(config)
//	onTime := result.Class("slotDraft").OnTimeShare()
//
// A run takes its randomness from the seed of its configuration only, so that
// the same configuration gives the same result. It opens no socket and reads no
// clock.
package simulation

import (
	"math"
	"math/rand/v2"
	"time"

	"cactuswell/core/aggregate"
	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/heap"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// epoch is the time at which each run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	modelService = "models"
	plainService = "booking"
	// shareDelay is the least time between two messages of a host to the others,
	// and fullEvery that between two with all work.
	shareDelay = 25 * time.Millisecond
	fullEvery  = 500 * time.Millisecond
	// darkTimeout is when a host finds that an endpoint which fell silent is gone.
	darkTimeout = 1200 * time.Millisecond
	// minPatience is the least time for which callers wait for an event; they
	// also wait four latency targets and eight pauses.
	minPatience   = 2 * time.Second
	patienceAims  = 4
	patienceGaps  = 8
	drainTime     = 20 * time.Second
	placedPerHost = 64
)

// Class is a class of calls.
type Class struct {
	Name string
	// Rate is the number of calls a second from all callers.
	Rate          float64
	Kind          route.Kind
	LatencyTarget time.Duration
	// MaxGap is the longest pause of a stream that is on time.
	MaxGap      time.Duration
	Deadline    time.Duration
	Priority    int
	MaxAttempts int
	// Resumable says that a stream may go on at another engine.
	Resumable bool
	// Prefixes is the number of shared prompt parts, of SharedTokens each;
	// OwnTokens is the mean size of the rest, and OwnSpread the sigma of its
	// logarithm.
	Prefixes         int
	PrefixTokens     int
	MeanSuffixTokens int
	SuffixSigma      float64
	// MeanEvents is the mean number of events of an answer.
	MeanEvents int
	// MeanServiceTime is the mean time that a plain service needs.
	MeanServiceTime time.Duration
	// Value and LateWorth are what an answer in time and a later one are worth.
	Value     float64
	LateValue float64
}

// Burst multiplies the rate of a class.
type Burst struct {
	Class      string
	Start      time.Duration
	Duration   time.Duration
	RateFactor float64
	// HotPrefixShare makes that share of the calls be about one subject.
	HotPrefixShare float64
}

// Fault befalls engines, the first ones of the fleet.
type Fault struct {
	Engines  int
	Start    time.Duration
	Duration time.Duration
	// Slowdown multiplies the engine's times; zero takes it down.
	Slowdown float64
	// Unresponsive engines that are down answer nothing at all.
	Unresponsive bool
}

// Config is a fleet with its load.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Zones    int
	Engines  int
	Slots    int
	// MemoryTokens is the memory of an engine.
	MemoryTokens int
	// FetchTimePerThousand is the time in which an engine fetches a thousand tokens from
	// another one's memory, or zero if it cannot.
	FetchTimePerThousand time.Duration
	// StepTimeFactors are the factors on the engines' times, in turn.
	StepTimeFactors []float64
	Model           batching.Model
	// Servers and ServerSlots describe the plain service.
	Servers     int
	ServerSlots int
	Classes     []Class
	Bursts      []Burst
	Faults      []Fault
	// ReportLossRate is the share of messages between hosts that is lost.
	ReportLossRate float64
	// ReportsDisabled hosts tell each other nothing.
	ReportsDisabled bool
	// UseRelays hosts tell their zone's relay, which sums up and tells all hosts.
	UseRelays bool
	// RestartAt restarts one host at that time, which then knows nothing.
	RestartAt time.Duration
	// AdjustSettings adjusts the schedulers' settings.
	AdjustSettings func(*scheduling.Settings)
}

// Run plays a configuration to its end.
func Run(config Config) Result {
	f := newFleet(config)
	f.start()
	for f.queue.Len() > 0 {
		next := f.queue.Top()
		f.queue.Remove(0)
		f.now = next.at
		if f.now.Sub(epoch) > config.Duration+drainTime {
			break
		}
		next.act()
	}
	return f.result()
}

// moment is something that happens at a time.
type moment struct {
	at     time.Time
	number int
	act    func()
}

// sooner orders moments by their time, and those of the same time as planned.
func sooner(a, b *moment) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.number < b.number
}

// fleet is a run under way.
type fleet struct {
	config Config
	now    time.Time
	queue  heap.Heap[*moment]
	number int
	// random is for what happens between hosts; each class has its own for its
	// arrivals, so that runs with other policies meet the same load.
	random  *rand.Rand
	table   *route.Table
	hosts   []*host
	engines []*engine
	servers []*server
	byKey   map[scheduling.Key]endpoint
	classes []*classState
	ids     uint64
	relays  []*aggregate.Zone
	usedAt  map[uint64]time.Time
	reread  int
	read    int
	fetched int
}

// classState is a class with its counts.
type classState struct {
	Class
	route  *route.Route
	counts ClassResult
	random *rand.Rand
}

// endpoint is an engine or a server of the plain service.
type endpoint interface {
	take(a *attempt)
	abandon(a *attempt)
	reachable() bool
	dark() bool
	zone() int
}

func newFleet(config Config) *fleet {
	f := &fleet{
		config: config,
		now:    epoch,
		queue:  heap.New(sooner, func(*moment, int) {}),
		random: rand.New(rand.NewPCG(config.Seed, 7)),
		byKey:  make(map[scheduling.Key]endpoint),
		usedAt: make(map[uint64]time.Time),
	}
	spec := route.Spec{
		Version: 1,
		Services: []route.Service{
			{
				Name: modelService,
				Engine: &route.Engine{
					Slots:                      config.Slots,
					KVCacheTokens:              config.MemoryTokens,
					TokensPerEvent:             config.Model.TokensPerEvent,
					FetchTimePerThousandTokens: config.FetchTimePerThousand,
				},
			},
			{Name: plainService},
		},
	}
	for _, class := range config.Classes {
		service := modelService
		if class.Kind != route.Stream {
			service = plainService
		}
		spec.Routes = append(spec.Routes, route.Route{
			Name:           class.Name,
			Host:           "simulated",
			PathPrefix:     "/" + class.Name + "/",
			Kind:           class.Kind,
			Resumable:      class.Resumable,
			Timeout:        class.Deadline,
			TargetLatency:  class.LatencyTarget,
			TargetEventGap: class.MaxGap,
			Priority:       class.Priority,
			MaxAttempts:    class.MaxAttempts,
			Targets: []route.Target{{
				Service: service,
				Weight:  1,
			}},
		})
	}
	table, err := route.New(spec)
	if err != nil {
		// The configuration is part of the program.
		panic(err)
	}
	f.table = table
	for i, class := range config.Classes {
		found, _ := table.Lookup("simulated", "/"+class.Name+"/")
		f.classes = append(f.classes, &classState{
			Class:  config.Classes[i],
			route:  found,
			random: rand.New(rand.NewPCG(config.Seed, uint64(100+i))),
		})
	}
	return f
}

// at plans something for a time.
func (f *fleet) at(when time.Time, act func()) {
	f.number++
	f.queue.Push(&moment{
		at:     when,
		number: f.number,
		act:    act,
	})
}

func (f *fleet) after(delay time.Duration, act func()) {
	f.at(f.now.Add(delay), act)
}

// start makes the endpoints and hosts, and plans the load and the faults.
func (f *fleet) start() {
	for i := range f.config.Engines {
		f.addEngine(i)
	}
	for i := range f.config.Servers {
		f.addServer(i)
	}
	for i := range f.config.Zones {
		f.relays = append(f.relays, aggregate.New())
		f.after(time.Duration(i)*time.Millisecond, func() { f.relay(i) })
	}
	for i := range f.config.Hosts {
		h := newHost(f, i)
		f.hosts = append(f.hosts, h)
		f.after(time.Duration(i)*time.Millisecond, h.share)
	}
	if f.config.RestartAt > 0 {
		f.after(f.config.RestartAt, f.hosts[0].restart)
	}
	for _, fault := range f.config.Faults {
		f.planFault(fault)
	}
	for i := range f.classes {
		f.planArrival(f.classes[i])
	}
}

func (f *fleet) planFault(fault Fault) {
	f.after(fault.Start, func() {
		for _, e := range f.engines[:fault.Engines] {
			e.befall(fault)
		}
	})
	f.after(fault.Start+fault.Duration, func() {
		for _, e := range f.engines[:fault.Engines] {
			e.recover()
		}
	})
}

// planArrival plans the next call of a class.
func (f *fleet) planArrival(class *classState) {
	rate := class.Rate
	hot := 0.0
	since := f.now.Sub(epoch)
	for _, burst := range f.config.Bursts {
		if burst.Class == class.Name && since >= burst.Start && since < burst.Start+burst.Duration {
			rate *= max(burst.RateFactor, 1)
			hot = max(hot, burst.HotPrefixShare)
		}
	}
	f.after(time.Duration(class.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.Sub(epoch) >= f.config.Duration {
			return
		}
		f.arrive(class, hot)
		f.planArrival(class)
	})
}

// arrive begins a call at a host that is drawn at random.
func (f *fleet) arrive(class *classState, hot float64) {
	c := &caller{
		fleet:   f,
		class:   class,
		arrived: f.now,
		till:    f.now.Add(class.Deadline),
		tries:   2,
		random:  rand.New(rand.NewPCG(class.random.Uint64(), 5)),
		result:  &CallResult{},
	}
	class.counts.Offered++
	class.counts.Calls = append(class.counts.Calls, c.result)
	if class.Kind == route.Stream {
		subject := uint64(c.random.IntN(class.Prefixes))
		if c.random.Float64() < hot {
			subject = 0
		}
		own := float64(class.MeanSuffixTokens) * math.Exp(class.SuffixSigma*c.random.NormFloat64()-class.SuffixSigma*class.SuffixSigma/2)
		f.ids++
		c.prompt = []scheduling.PromptPart{
			{
				ID:     subject<<8 | uint64(len(class.Name)),
				Tokens: class.PrefixTokens,
			},
			{
				ID:     1<<40 + f.ids,
				Tokens: max(int(own), 16),
			},
		}
		c.events = max(1, int(c.random.ExpFloat64()*float64(class.MeanEvents)))
	}
	c.work = time.Duration(float64(class.MeanServiceTime) * math.Exp(0.5*c.random.NormFloat64()-0.125))
	c.result.PromptTokens = c.promptTokens()
	c.try()
	c.result.Zone = c.host.index % f.config.Zones
}

func (f *fleet) addEntry(entry directory.Entry, e endpoint) {
	key := scheduling.Key{
		ID:          entry.ID,
		Incarnation: entry.Born,
	}
	f.byKey[key] = e
}
