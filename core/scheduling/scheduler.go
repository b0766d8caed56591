// Package scheduling decides what happens to the opaque calls of one host:
// which endpoint runs each, which wait, which are refused and when their callers
// should come back, and which are sent again.
//
// # Usage
//
//	s := scheduling.New(settings, random)
//	commands = s.Step(now, event, commands[:0])
//	for _, command := range commands {
//		switch command := command.(type) {
//		case scheduling.Send:
//			...
//		}
//	}
//	wake, ok := s.NextWake()
//
// A Scheduler is a state machine: typed events go in with their time and typed
// commands come out. It reads no clock, opens no socket and starts no goroutine.
// It is not safe for concurrent use.
package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/retry"
	"cactuswell/core/route"
)

// Settings says how a scheduler works.
type Settings struct {
	// Zone is the host's availability zone.
	Zone string
	// ZoneDelay is the one-way delay between two zones.
	ZoneDelay time.Duration
	// Engine is the model of the engines.
	Engine batching.Model
	// BudgetWindow, BudgetRatio and BudgetSlack are the fleet's retry budget for
	// each service: in any window, at most ratio times the calls, and the slack.
	BudgetWindow time.Duration
	BudgetRatio  float64
	BudgetSlack  float64
	// Weights are what the choice of an endpoint weighs.
	Weights Weights
}

// budgetSafety is the part of the fleet's retry budget that hosts use, since
// their views of each other lag.
const budgetSafety = 0.8

// Scheduler decides for all services of one host.
type Scheduler struct {
	settings Settings
	random   *rand.Rand
	pools    map[string]*pool
	// inOrder are the pools, and targets all their endpoints, in the order in
	// which they became known, so that the same events lead to the same commands.
	inOrder []*pool
	targets []*target
	byKey   map[Key]*target
	byHash  map[uint64]*target
	dirty   bool
	calls   map[CallID]*call
	// peers holds the number of hosts that each account is of.
	peers  map[string]int
	placed []Placement

	now      time.Time
	commands []Command
}

// pool is a service with its endpoints.
type pool struct {
	name    string
	engine  *route.Engine
	targets []*target
	// waiting are the calls held at this host, the most urgent first, and of
	// these the oldest.
	waiting []*call
	budget  *retry.WindowBudget
	// answer is the smoothed time to an answer of a plain service, in seconds.
	answer float64
	// lanes says which engines are for streams with short pauses.
	lanes lanes
}

// New returns a scheduler that knows no service and no endpoint.
func New(settings Settings, random *rand.Rand) *Scheduler {
	return &Scheduler{
		settings: settings,
		random:   random,
		pools:    make(map[string]*pool),
		byKey:    make(map[Key]*target),
		byHash:   make(map[uint64]*target),
		calls:    make(map[CallID]*call),
		peers:    make(map[string]int),
	}
}

// Step takes one event that happened at now, appends the commands that follow
// from it, and returns the extended slice. Times never go backwards.
func (s *Scheduler) Step(now time.Time, event Event, commands []Command) []Command {
	s.now = now
	s.commands = commands
	s.handle(event)
	commands = s.commands
	s.commands = nil
	return commands
}

func (s *Scheduler) handle(event Event) {
	switch event := event.(type) {
	case CallArrived:
		s.arrive(event.Call)
	case CallCanceled:
		s.leave(event.Call)
	case AnswerStarted:
		s.began(event)
	case AttemptEnded:
		s.ended(event)
	case EndpointChanged:
		s.changeEndpoint(event.Change)
	case ConfigurationChanged:
		s.configure(event.Table)
	case BudgetChanged:
		s.changeBudget(event)
	case PeerReported:
		s.peerReported(event)
	case PeerRemoved:
		s.peerGone(event.Peer)
	case Tick:
		for _, p := range s.inOrder {
			s.pump(p)
		}
	}
}

// NextWake returns when a TimePassed event is due. It reports false when none is.
func (s *Scheduler) NextWake() (time.Time, bool) {
	var at time.Time
	for _, p := range s.inOrder {
		for _, c := range p.waiting {
			if at.IsZero() || c.holdTill.Before(at) {
				at = c.holdTill
			}
		}
		if len(p.waiting) > 0 {
			if again := s.now.Add(pumpAgainAfter); again.Before(at) {
				at = again
			}
		}
	}
	return at, !at.IsZero()
}

// configure takes the services of a configuration.
func (s *Scheduler) configure(table *route.Table) {
	for name, service := range table.Services() {
		p := s.pool(name)
		p.engine = service.Engine
	}
}

func (s *Scheduler) pool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{
			name:   name,
			budget: retry.NewWindowBudget(s.settings.BudgetWindow, s.settings.BudgetRatio*budgetSafety, 0),
			answer: initialAnswer.Seconds(),
			lanes:  lanes{weights: s.settings.Weights},
		}
		p.budget.SetSlack(s.SlackShare())
		s.pools[name] = p
		s.inOrder = append(s.inOrder, p)
	}
	return p
}

func (s *Scheduler) changeBudget(event BudgetChanged) {
	s.settings.BudgetWindow = event.Window
	s.settings.BudgetRatio = event.Ratio
	s.settings.BudgetSlack = event.Slack
	for _, p := range s.inOrder {
		p.budget.SetBounds(event.Window, event.Ratio*budgetSafety)
	}
	s.shareBudget()
}

// SlackShare returns this host's part of the retry budget's slack.
func (s *Scheduler) SlackShare() float64 {
	return s.settings.BudgetSlack * budgetSafety / float64(max(s.Hosts(), minBudgetHosts))
}

// minBudgetHosts is the least number of hosts that the slack is divided by, for
// a host that does not know the others yet.
const minBudgetHosts = 4

func (s *Scheduler) changeEndpoint(change directory.Change) {
	switch change := change.(type) {
	case directory.Appeared:
		t := newTarget(s.now, change.Entry)
		s.byKey[t.key] = t
		s.byHash[t.hash] = t
		s.targets = append(s.targets, t)
		p := s.pool(change.Entry.Service)
		p.targets = append(p.targets, t)
		p.lanes.arrange(p.targets)
		s.pump(p)
	case directory.Updated:
		if t := s.byKey[keyOf(change.Entry)]; t != nil {
			t.entry = change.Entry
		}
	case directory.Leaving:
		if t := s.byKey[keyOf(change.Entry)]; t != nil {
			t.leaving = true
			p := s.pool(change.Entry.Service)
			p.lanes.arrange(p.targets)
		}
	case directory.Removed:
		s.removeTarget(keyOf(change.Entry))
	}
}

func keyOf(entry directory.Entry) Key {
	return Key{
		ID:          entry.ID,
		Incarnation: entry.Born,
	}
}

func (s *Scheduler) removeTarget(key Key) {
	t := s.byKey[key]
	if t == nil {
		return
	}
	delete(s.byKey, key)
	delete(s.byHash, t.hash)
	s.targets = slices.DeleteFunc(s.targets, func(other *target) bool { return other == t })
	p := s.pool(t.entry.Service)
	p.targets = slices.DeleteFunc(p.targets, func(other *target) bool { return other == t })
	p.lanes.arrange(p.targets)
}

func (s *Scheduler) peerReported(event PeerReported) {
	hosts := max(event.Hosts, 1)
	if event.IncludesSelf {
		hosts--
	}
	if known, ok := s.peers[event.Peer]; !ok || known != hosts {
		s.peers[event.Peer] = hosts
		s.shareBudget()
	}
	listed := make(map[uint64]bool, len(event.Loads))
	for _, work := range event.Loads {
		listed[work.Endpoint] = true
		if t := s.byHash[work.Endpoint]; t != nil {
			t.peers[event.Peer] = peerWork{
				PeerLoad: work,
				at:       s.now,
				own:      event.IncludesSelf,
			}
		}
	}
	if event.Complete {
		for _, t := range s.targets {
			if !listed[t.hash] {
				delete(t.peers, event.Peer)
			}
		}
	}
	for _, placement := range event.Placements {
		if t := s.byHash[placement.Endpoint]; t != nil {
			readAt := s.now.Add(t.reading(s.now) + s.settings.Engine.PrefillTime(0, placement.Tokens))
			t.cache.add(s.now, readAt, placement.PrefixHash, placement.Tokens, s.cacheCapacity(t))
		}
	}
	for _, p := range s.inOrder {
		s.pump(p)
	}
}

func (s *Scheduler) peerGone(peer string) {
	delete(s.peers, peer)
	for _, t := range s.targets {
		delete(t.peers, peer)
	}
	s.shareBudget()
}

func (s *Scheduler) shareBudget() {
	for _, p := range s.inOrder {
		p.budget.SetSlack(s.SlackShare())
	}
}

func (s *Scheduler) cacheCapacity(t *target) int {
	p := s.pool(t.entry.Service)
	if p.engine == nil {
		return 0
	}
	return int(cacheShare * float64(p.engine.KVCacheTokens))
}

// HasLoadChanges reports whether this host's work changed since Work was called.
func (s *Scheduler) HasLoadChanges() bool { return s.dirty }

// TakeLoads returns this host's work for other hosts: all of it, or that at endpoints
// where it changed since the last call. It also returns the prompts placed since
// then.
func (s *Scheduler) TakeLoads(now time.Time, full bool) ([]PeerLoad, []Placement) {
	work := make([]PeerLoad, 0, len(s.targets))
	for _, t := range s.targets {
		if !t.dirty && (!full || t.running == 0) {
			continue
		}
		t.dirty = false
		t.told = peerWork{
			PeerLoad: PeerLoad{
				Endpoint:         t.hash,
				PrefillBacklog:   t.ownReading(now),
				Running:          t.running,
				LatencySensitive: t.tight,
				Ejected:          t.health.out(now),
			},
			at: now,
		}
		work = append(work, t.told.PeerLoad)
	}
	s.dirty = false
	placed := s.placed
	s.placed = nil
	return work, placed
}

// touch notes that the work at an endpoint changed.
func (s *Scheduler) touch(t *target) {
	t.dirty = true
	s.dirty = true
}

// Hosts returns the number of hosts that this one knows to serve, itself
// included.
func (s *Scheduler) Hosts() int {
	hosts := 1
	for _, of := range s.peers {
		hosts += of
	}
	return hosts
}

// QueuedCalls returns the number of calls held at this host.
func (s *Scheduler) QueuedCalls() int {
	waiting := 0
	for _, p := range s.inOrder {
		waiting += len(p.waiting)
	}
	return waiting
}

// OpenCalls returns the number of calls that have no final command yet.
func (s *Scheduler) OpenCalls() int { return len(s.calls) }
