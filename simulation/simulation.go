// Package simulation runs a discrete-event simulation of a fleet in virtual time:
// hosts with their schedulers, engines that batch requests by the same timing model
// that the hosts use for predictions, servers of a plain (non-model) service, and
// callers that cancel requests after a timeout.
//
// # Usage
//
//	config := simulation.Kelisim()
//	config.Bursts = append(config.Bursts, simulation.Burst{
//		Class:      "caseBrief",
//		Start:      5 * time.Second,
//		Duration:   9 * time.Second,
//		RateFactor: 2.3,
//	})
//	result := simulation.Run(config)
//	onTime := result.Class("slotDraft").OnTimeShare()
//
// All randomness is derived from the seed in the configuration, so the same
// configuration gives the same result. A run opens no socket and reads no clock.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactuswell/core/aggregate"
	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/heap"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
)

// epoch is the virtual start time of each run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	modelService = "models"
	plainService = "booking"
	// reportInterval is the minimum time between two load reports of a host, and
	// completeReportInterval the time between two reports that list its complete
	// load.
	reportInterval         = 25 * time.Millisecond
	completeReportInterval = 500 * time.Millisecond
	// unresponsiveTimeout is how long a host takes to detect that an endpoint has
	// stopped answering.
	unresponsiveTimeout = 1200 * time.Millisecond
	// A caller waits for the next event for at least minEventTimeout,
	// eventTimeoutTargets latency targets and eventTimeoutGaps maximum event gaps,
	// whichever is longest.
	minEventTimeout     = 2 * time.Second
	eventTimeoutTargets = 4
	eventTimeoutGaps    = 8
	// drainPeriod is how long a run continues after the end of arrivals, so that open
	// calls can finish.
	drainPeriod = 20 * time.Second
	// crashingPart is the prompt part that crashes engines, and crashDowntime the time until
	// a crashed engine is back.
	crashingPart       = 1 << 50
	crashingPartTokens = 400
	crashDowntime      = 3 * time.Second
	// paceInterval is the time for which an engine keeps its pace.
	paceInterval = 100 * time.Millisecond
	// repeatedRequest identifies the request that crashes endpoints.
	repeatedRequest = 1 << 39
)

// Class is a class of calls with its load, limits and value.
type Class struct {
	Name string
	// Rate is the number of calls per second from all callers.
	Rate float64
	Kind route.Kind
	// TargetLatency is the longest time to the first event, or to the answer, that
	// counts as on time.
	TargetLatency time.Duration
	// MaxGap is the longest gap between events that a stream on time may have.
	MaxGap      time.Duration
	Deadline    time.Duration
	Priority    int
	MaxAttempts int
	// Resumable reports whether an interrupted stream may continue at another engine.
	Resumable bool
	// Prefixes is the number of distinct shared prompt prefixes, of PrefixTokens
	// tokens each. The rest of a prompt is unique to its call; its size follows a
	// log-normal distribution with mean MeanSuffixTokens and log-scale sigma SuffixSigma.
	Prefixes         int
	PrefixTokens     int
	MeanSuffixTokens int
	SuffixSigma      float64
	// MeanEvents is the mean number of events in an answer.
	MeanEvents int
	// MeanServiceTime is the mean service time of a call to the plain service.
	MeanServiceTime time.Duration
	// Value and LateValue are the values of an answer on time and of a late one.
	Value     float64
	LateValue float64
}

// Team is a team of callers. Each call belongs to a team that is drawn by Share.
type Team struct {
	Priority int
	// Share is the team's share of all calls.
	Share float64
}

// Burst multiplies the arrival rate of a class for a period.
type Burst struct {
	Class      string
	Start      time.Duration
	Duration   time.Duration
	RateFactor float64
	// HotPrefixShare is the share of the class's calls that are given one fixed prompt
	// prefix, the hot one. The others draw their prefix at random.
	HotPrefixShare float64
}

// Fault is a fault injected into some engines of the fleet, from the one with the index
// FirstEngine on, for a period.
type Fault struct {
	FirstEngine int
	Engines     int
	Start       time.Duration
	Duration    time.Duration
	// Slowdown multiplies the step times of the engines. Zero stops them instead.
	Slowdown float64
	// Unresponsive makes stopped engines leave connection attempts unanswered instead of
	// refusing them.
	Unresponsive bool
}

// CrashingPrompt makes a share of a class's calls hold a prompt part that crashes each
// engine that begins to answer it. The calls share their first part with others of the class.
type CrashingPrompt struct {
	Class    string
	Share    float64
	Start    time.Duration
	Duration time.Duration
}

// CrashingRequest replaces a share of a class's calls by copies of one request, which crashes
// each endpoint that begins to run it.
type CrashingRequest struct {
	Class    string
	Share    float64
	Start    time.Duration
	Duration time.Duration
}

// Config describes a fleet, its load and the injected faults.
type Config struct {
	Seed uint64
	// Duration is how long calls arrive.
	Duration time.Duration
	Hosts    int
	Zones    int
	Engines  int
	// Slots is the number of requests that an engine runs concurrently.
	Slots int
	// QueuePlaces is the number of requests that an engine queues beyond its slots; it
	// declines further ones. Zero means that the queue has no end.
	QueuePlaces int
	// KVCacheTokens is the capacity of an engine's KV cache in tokens.
	KVCacheTokens int
	// FetchTimePerThousandTokens is the time in which an engine fetches 1000 cached
	// tokens from another engine. Zero means that engines cannot fetch.
	FetchTimePerThousandTokens time.Duration
	// StepTimeFactors are factors on the engines' step times, assigned to the engines in
	// turn. A larger factor makes a slower engine.
	StepTimeFactors []float64
	Model           batching.Model
	// HostModel is the model that hosts assume for the engines. Nil means Model.
	HostModel *batching.Model
	// PaceSpread is the log-scale sigma of a factor on the engines' step times that changes
	// every paceInterval. If it is positive, engines report their load with their pace.
	PaceSpread float64
	// Servers is the number of servers of the plain service, and ServerSlots the
	// number of calls that each of them runs concurrently.
	Servers     int
	ServerSlots int
	Classes     []Class
	// Teams may be empty, for callers without teams.
	Teams  []Team
	Bursts []Burst
	Faults []Fault
	// CrashingPrompts are the prompts that crash engines.
	CrashingPrompts []CrashingPrompt
	// CrashingRequests are the requests that crash endpoints.
	CrashingRequests []CrashingRequest
	// Limits are the limits that endpoints name.
	Limits []EndpointLimit
	// ReportLossRate is the share of load reports that are dropped.
	ReportLossRate float64
	// ReportsDisabled disables load reports between hosts.
	ReportsDisabled bool
	// UseRelays makes hosts report to the relay of their zone, which sends the sums to
	// all hosts.
	UseRelays bool
	// RestartAt is the time after the start of the run at which the first host restarts
	// and loses its state. Zero means no restart.
	RestartAt time.Duration
	// AdjustSettings, if not nil, adjusts the settings of each scheduler.
	AdjustSettings func(*scheduling.Settings)
}

// Run simulates a configuration for its duration and a drain period after it.
func Run(config Config) Result {
	f := newFleet(config)
	f.start()
	for f.actions.Len() > 0 {
		next := f.actions.Top()
		f.actions.Remove(0)
		f.now = next.at
		if f.now.Sub(epoch) > config.Duration+drainPeriod {
			break
		}
		next.run()
	}
	return f.collectResult()
}

// action is a function that is scheduled for a point in virtual time.
type action struct {
	at       time.Time
	sequence int
	run      func()
}

// earlier orders actions by time, and actions of the same time by the order in which
// they were scheduled.
func earlier(a, b *action) bool {
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.sequence < b.sequence
}

// fleet is the state of one run.
type fleet struct {
	config   Config
	now      time.Time
	actions  heap.Heap[*action]
	sequence int
	// random drives events between hosts. Each class has its own generator for its
	// arrivals, so that runs with different policies get the same load.
	random    *rand.Rand
	routes    *route.Table
	hosts     []*host
	engines   []*engine
	servers   []*server
	endpoints map[scheduling.Key]endpoint
	classes   []*classState
	lastID    uint64
	requests  uint64
	// relays holds the aggregated load reports of each zone.
	relays []*aggregate.Zone
	// prefixUsedAt holds the time of the last use of each shared prefix at any engine,
	// by prefix hash.
	prefixUsedAt     map[uint64]time.Time
	recomputedTokens int
	prefilledTokens  int
	fetchedTokens    int
	// arrivals counts the attempts that reached an engine, and declinedArrivals those of
	// them that it declined.
	arrivals         int
	declinedArrivals int
	teams            []*route.Team
	// crashes and crashingArrivals hold the times of the crashes under calls that crash
	// endpoints and of the arrivals of such calls at endpoints.
	crashes          []time.Duration
	crashingArrivals []time.Duration
	// quarantines counts the quarantines that hosts found by themselves.
	quarantines int
	limited     []LimitedEndpoint
}

// classState is a class with its result and its random generator.
type classState struct {
	Class
	route  *route.Route
	result ClassResult
	random *rand.Rand
}

// endpoint is a model engine or a server of the plain service.
type endpoint interface {
	accept(a *attempt)
	cancel(a *attempt)
	isReachable() bool
	isUnresponsive() bool
	// load returns the load that an answer reports, if the endpoint reports any.
	load() scheduling.ReportedLoad
	// tell returns the limit that an answer to a host names.
	tell(a *attempt) scheduling.Limit
	zoneIndex() int
}

func newFleet(config Config) *fleet {
	f := &fleet{
		config:       config,
		now:          epoch,
		actions:      heap.New(earlier, func(*action, int) {}),
		random:       rand.New(rand.NewPCG(config.Seed, 7)),
		endpoints:    make(map[scheduling.Key]endpoint),
		prefixUsedAt: make(map[uint64]time.Time),
	}
	spec := route.Spec{
		Version: 1,
		Services: []route.Service{
			{
				Name: modelService,
				Engine: &route.Engine{
					Slots:                      config.Slots,
					KVCacheTokens:              config.KVCacheTokens,
					TokensPerEvent:             config.Model.TokensPerEvent,
					FetchTimePerThousandTokens: config.FetchTimePerThousandTokens,
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
			TargetLatency:  class.TargetLatency,
			TargetEventGap: class.MaxGap,
			Priority:       class.Priority,
			MaxAttempts:    class.MaxAttempts,
			Targets: []route.Target{{
				Service: service,
				Weight:  1,
			}},
		})
	}
	for i, team := range config.Teams {
		spec.Teams = append(spec.Teams, route.Team{
			Name:        fmt.Sprintf("team-%d", i),
			Priority:    team.Priority,
			HasPriority: true,
		})
	}
	routes, err := route.New(spec)
	if err != nil {
		// The routes are generated above, so an error is a bug in this package.
		panic(err)
	}
	f.routes = routes
	for i := range spec.Teams {
		f.teams = append(f.teams, &spec.Teams[i])
	}
	for i, class := range config.Classes {
		classRoute, _ := routes.Lookup("simulated", "/"+class.Name+"/")
		f.classes = append(f.classes, &classState{
			Class:  config.Classes[i],
			route:  classRoute,
			random: rand.New(rand.NewPCG(config.Seed, uint64(100+i))),
		})
	}
	return f
}

// schedule adds an action at the given time.
func (f *fleet) schedule(at time.Time, act func()) {
	f.sequence++
	f.actions.Push(&action{
		at:       at,
		sequence: f.sequence,
		run:      act,
	})
}

func (f *fleet) scheduleAfter(delay time.Duration, act func()) {
	f.schedule(f.now.Add(delay), act)
}

// start creates endpoints and hosts and schedules arrivals and faults.
func (f *fleet) start() {
	for i := range f.config.Engines {
		f.addEngine(i)
	}
	for i := range f.config.Servers {
		f.addServer(i)
	}
	for i := range f.config.Zones {
		f.relays = append(f.relays, aggregate.New())
		f.scheduleAfter(time.Duration(i)*time.Millisecond, func() { f.reportZoneLoad(i) })
	}
	for i := range f.config.Hosts {
		h := newHost(f, i)
		f.hosts = append(f.hosts, h)
		f.scheduleAfter(time.Duration(i)*time.Millisecond, h.reportLoad)
	}
	if f.config.RestartAt > 0 {
		f.scheduleAfter(f.config.RestartAt, f.hosts[0].restart)
	}
	for _, fault := range f.config.Faults {
		f.scheduleFault(fault)
	}
	for _, limit := range f.config.Limits {
		f.scheduleLimit(limit)
	}
	for i := range f.classes {
		f.scheduleArrival(f.classes[i])
	}
}

func (f *fleet) scheduleFault(fault Fault) {
	f.scheduleAfter(fault.Start, func() {
		for _, e := range f.engines[fault.FirstEngine : fault.FirstEngine+fault.Engines] {
			e.applyFault(fault)
		}
	})
	f.scheduleAfter(fault.Start+fault.Duration, func() {
		for _, e := range f.engines[fault.FirstEngine : fault.FirstEngine+fault.Engines] {
			e.clearFault()
		}
	})
}

// scheduleArrival schedules the next call of a class. Arrivals are a Poisson process
// at the rate of the class, multiplied by the bursts in progress.
func (f *fleet) scheduleArrival(class *classState) {
	rate := class.Rate
	hotShare := 0.0
	elapsed := f.now.Sub(epoch)
	for _, burst := range f.config.Bursts {
		if burst.Class == class.Name && elapsed >= burst.Start && elapsed < burst.Start+burst.Duration {
			rate *= max(burst.RateFactor, 1)
			hotShare = max(hotShare, burst.HotPrefixShare)
		}
	}
	f.scheduleAfter(time.Duration(class.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.now.Sub(epoch) >= f.config.Duration {
			return
		}
		f.startCall(class, hotShare)
		f.scheduleArrival(class)
	})
}

// startCall creates a call and submits it to a host that is drawn at random. hotShare
// is the probability that its prompt uses the hot prefix.
func (f *fleet) startCall(class *classState, hotShare float64) {
	c := &caller{
		fleet:           f,
		class:           class,
		arrived:         f.now,
		deadline:        f.now.Add(class.Deadline),
		submissionsLeft: 2,
		random:          rand.New(rand.NewPCG(class.random.Uint64(), 5)),
		result: &CallResult{
			Arrived: f.now.Sub(epoch),
		},
	}
	repeated := f.drawCrashingRequest(c)
	c.crashesEndpoints = repeated != nil || f.drawCrashingPrompt(c)
	if !c.crashesEndpoints {
		class.result.Offered++
		class.result.Calls = append(class.result.Calls, c.result)
	}
	f.requests++
	c.request = f.requests
	if repeated != nil {
		c.request = repeatedRequest
	}
	if class.Kind == route.Stream {
		prefix := uint64(c.random.IntN(class.Prefixes))
		if c.random.Float64() < hotShare || c.crashesEndpoints {
			prefix = 0
		}
		uniqueTokens := float64(class.MeanSuffixTokens) * math.Exp(class.SuffixSigma*c.random.NormFloat64()-class.SuffixSigma*class.SuffixSigma/2)
		f.lastID++
		own := f.lastID
		if repeated != nil {
			own = repeatedRequest
		}
		c.prompt = []scheduling.PromptPart{
			{
				ID:     prefix<<8 | uint64(len(class.Name)),
				Tokens: class.PrefixTokens,
			},
			{
				ID:     1<<40 + own,
				Tokens: max(int(uniqueTokens), 16),
			},
		}
		if c.crashesEndpoints && repeated == nil {
			c.prompt = slices.Insert(c.prompt, 1, scheduling.PromptPart{
				ID:     crashingPart,
				Tokens: crashingPartTokens,
			})
		}
		c.eventCount = max(1, int(c.random.ExpFloat64()*float64(class.MeanEvents)))
	}
	c.serviceTime = time.Duration(float64(class.MeanServiceTime) * math.Exp(0.5*c.random.NormFloat64()-0.125))
	c.result.PromptTokens = c.promptTokens()
	c.team = f.drawTeam(c.random)
	c.submit()
	c.result.Zone = c.host.index % f.config.Zones
}

// drawCrashingPrompt reports whether a call holds the prompt part that crashes engines.
func (f *fleet) drawCrashingPrompt(c *caller) bool {
	elapsed := f.now.Sub(epoch)
	for _, prompt := range f.config.CrashingPrompts {
		if prompt.Class == c.class.Name && elapsed >= prompt.Start && elapsed < prompt.Start+prompt.Duration {
			return c.random.Float64() < prompt.Share
		}
	}
	return false
}

// drawCrashingRequest returns the request that crashes endpoints if a call is a copy of it.
func (f *fleet) drawCrashingRequest(c *caller) *CrashingRequest {
	elapsed := f.now.Sub(epoch)
	for i := range f.config.CrashingRequests {
		request := &f.config.CrashingRequests[i]
		if request.Class == c.class.Name && elapsed >= request.Start && elapsed < request.Start+request.Duration &&
			c.random.Float64() < request.Share {
			return request
		}
	}
	return nil
}

// drawTeam returns the team of a call, or nil if callers have no teams.
func (f *fleet) drawTeam(random *rand.Rand) *route.Team {
	if len(f.teams) == 0 {
		return nil
	}
	draw := random.Float64()
	for i, team := range f.config.Teams {
		draw -= team.Share
		if draw < 0 {
			return f.teams[i]
		}
	}
	return f.teams[len(f.teams)-1]
}

func (f *fleet) registerEndpoint(entry directory.Entry, e endpoint) {
	key := scheduling.Key{
		ID:          entry.ID,
		Incarnation: entry.Born,
	}
	f.endpoints[key] = e
}
