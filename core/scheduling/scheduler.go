// Package scheduling decides for the opaque calls of one host which endpoint runs
// each call, which calls are queued, which are refused and when their callers
// should retry, and which are retried.
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
// A Scheduler is a state machine: it takes typed events with their time and returns
// typed commands. It reads no clock, opens no socket and starts no goroutine. It is
// not safe for concurrent use.
package scheduling

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactuswell/core/batching"
	"cactuswell/core/directory"
	"cactuswell/core/quarantine"
	"cactuswell/core/retry"
	"cactuswell/core/route"
	"cactuswell/core/speed"
)

// Settings configures a Scheduler.
type Settings struct {
	// Zone is the host's availability zone.
	Zone string
	// ZoneDelay is the one-way delay between two zones.
	ZoneDelay time.Duration
	// Engine is the performance model of the engines.
	Engine batching.Model
	// BudgetWindow, BudgetRatio and BudgetSlack define the fleet's retry budget for
	// each service: in any window, the retries may not exceed the ratio times the
	// calls plus the slack.
	BudgetWindow time.Duration
	BudgetRatio  float64
	BudgetSlack  float64
	// MaxCachedPrefixes bounds the prompt prefixes that the host remembers of all endpoints
	// together, each of which takes about CachedPrefixBytes. Zero means no bound but that of
	// each engine's memory.
	MaxCachedPrefixes int
	// VersionSettleTime is the time from the first endpoint of a software version until resumable
	// streams begin there, if the base version has endpoints. By then, each host knows of the version
	// or knows that it may not.
	VersionSettleTime time.Duration
	// Weights are the costs used to choose an endpoint.
	Weights Weights
}

// budgetSafety is the share of the fleet's retry budget that the hosts use, because
// their views of each other are delayed.
const budgetSafety = 0.8

// Scheduler decides for all services of one host.
type Scheduler struct {
	settings Settings
	random   *rand.Rand
	pools    map[string]*pool
	// poolsInOrder and endpoints are in the order in which they became known, so
	// that equal events lead to equal commands.
	poolsInOrder []*pool
	endpoints    []*endpoint
	byKey        map[Key]*endpoint
	byHash       map[uint64]*endpoint
	dirty        bool
	// limited holds the endpoints that name a limit, or whose limit has ended lately.
	limited []*endpoint
	calls   map[CallID]*call
	// peers holds the sources of load reports by name.
	peers      map[string]peer
	placements PlacementQueue
	// prefixes bounds the prefixes that the endpoints are assumed to have cached.
	prefixes *prefixBudget
	// speeds holds the observations of endpoints' speeds that wait to be reported.
	speeds *speed.Outbox
	// quarantine holds the requests and the prompt parts that crash endpoints.
	quarantine *quarantine.Ledger
	// bases holds the base versions by service, and recordsOverdue is set while streams that
	// begin at other ones cannot be recorded.
	bases          map[string]string
	recordsOverdue bool

	now time.Time
	// startedAt is the time of the first event.
	startedAt time.Time
	commands  []Command
}

// peer is a source of load reports: another host, or a zone.
type peer struct {
	// hosts is the number of hosts that its reports cover, without this one.
	hosts      int
	reportedAt time.Time
	// expired reports whether its load no longer counts, because it is too old.
	expired bool
	// demands is the demand that it reported last, which covers this host's own if
	// includesSelf is set.
	demands      []Demand
	includesSelf bool
}

// maxPeerLoadAge is the age up to which the load of a peer counts: a few complete
// reports.
const maxPeerLoadAge = 2 * time.Second

// pool is a service with its endpoints.
type pool struct {
	name      string
	engine    *route.Engine
	endpoints []*endpoint
	// queue holds the calls queued at this host, the most urgent first, and the
	// oldest first among equals.
	queue []*call
	// silent holds the calls whose attempt is silent, in the same order.
	silent []*call
	budget *retry.WindowBudget
	// answerTime is the smoothed answer time of a plain service, in seconds.
	answerTime float64
	// speeds holds the estimates of the endpoints' speeds.
	speeds *speed.Service
	// reportsPace is set once an endpoint has reported its pace.
	reportsPace bool
	// runTime is the smoothed time that calls run at endpoints, or zero if none has run yet.
	runTime time.Duration
	// partitions divides the engines between latency-sensitive streams and
	// prefills.
	partitions partitions
	// reportedDemand is the demand last reported to other hosts.
	reportedDemand Demand
	// callDemands is the demand that the peers have reported, and reportedCalls that last
	// reported to them.
	callDemands   map[string]peerDemand
	reportedCalls int
	part          demandPart
	unmet         unmetMeter
	// versions holds the software versions that endpoints have.
	versions map[string]knownVersion
	// base is the software version of streams without a record, if hasBase is set.
	base    string
	hasBase bool
	// streamRoutes holds the routes that send streams to the service.
	streamRoutes []*route.Route
}

// New returns a scheduler without services and endpoints.
func New(settings Settings, random *rand.Rand) *Scheduler {
	return &Scheduler{
		settings: settings,
		random:   random,
		pools:    make(map[string]*pool),
		byKey:    make(map[Key]*endpoint),
		byHash:   make(map[uint64]*endpoint),
		calls:    make(map[CallID]*call),
		peers:    make(map[string]peer),

		prefixes:   newPrefixBudget(settings.MaxCachedPrefixes),
		speeds:     speed.NewOutbox(speedsPerSecond, true),
		quarantine: quarantine.New(),
	}
}

// Step handles one event that happened at now, appends the resulting commands, and
// returns the extended slice. Times must never decrease.
func (s *Scheduler) Step(now time.Time, event Event, commands []Command) []Command {
	s.now = now
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.commands = commands
	s.handle(event)
	commands = s.commands
	s.commands = nil
	return commands
}

func (s *Scheduler) handle(event Event) {
	switch event := event.(type) {
	case CallArrived:
		s.handleCallArrived(event.Call)
	case CallCanceled:
		s.handleCallCanceled(event.Call)
	case AnswerStarted:
		s.handleAnswerStarted(event)
	case AnswerContinued:
		s.handleAnswerContinued(event.Call)
	case AttemptSilent:
		s.handleAttemptSilent(event)
	case AttemptProgressed:
		s.handleAttemptProgressed(event.Call)
	case AttemptEnded:
		s.handleAttemptEnded(event)
	case LeavingAnswered:
		s.handleLeavingAnswered(event.Key)
	case EndpointChanged:
		s.handleEndpointChanged(event.Change)
	case ConfigurationChanged:
		s.applyConfiguration(event.Table)
	case BudgetChanged:
		s.applyBudget(event)
	case PeerReported:
		s.handlePeerReported(event)
	case FindingsRestored:
		s.applyQuarantineChanges(s.quarantine.Apply(s.now, event.Findings))
	case RecordsChanged:
		s.handleRecordsChanged(event)
	case PeerRemoved:
		s.handlePeerRemoved(event.Peer)
	case Tick:
		for _, p := range s.poolsInOrder {
			s.dispatchWaiting(p)
		}
	}
}

// NextWake returns when a Tick event is due. It reports false if none is.
func (s *Scheduler) NextWake() (time.Time, bool) {
	var wakeAt time.Time
	for _, p := range s.poolsInOrder {
		for _, c := range p.queue {
			if wakeAt.IsZero() || c.queueUntil.Before(wakeAt) {
				wakeAt = c.queueUntil
			}
		}
		if len(p.queue)+len(p.silent) > 0 {
			if retryAt := s.now.Add(dispatchRetryInterval); wakeAt.IsZero() || retryAt.Before(wakeAt) {
				wakeAt = retryAt
			}
		}
	}
	return wakeAt, !wakeAt.IsZero()
}

// applyConfiguration applies the services of a configuration.
func (s *Scheduler) applyConfiguration(table *route.Table) {
	for name, service := range table.Services() {
		p := s.ensurePool(name)
		p.engine = service.Engine
		p.streamRoutes = nil
	}
	for _, r := range table.Routes() {
		if r.Kind != route.Stream {
			continue
		}
		for _, target := range r.Targets {
			p := s.ensurePool(target.Service)
			p.streamRoutes = append(p.streamRoutes, r)
		}
	}
}

func (s *Scheduler) ensurePool(name string) *pool {
	p, ok := s.pools[name]
	if !ok {
		p = &pool{
			name:       name,
			budget:     retry.NewWindowBudget(s.settings.BudgetWindow, s.settings.BudgetRatio*budgetSafety, 0),
			answerTime: initialAnswerTime.Seconds(),
			partitions: partitions{weights: s.settings.Weights},
			speeds:     speed.NewService(),

			versions: make(map[string]knownVersion),
		}
		p.budget.SetSlack(s.SlackShare())
		p.base, p.hasBase = s.bases[name]
		s.pools[name] = p
		s.poolsInOrder = append(s.poolsInOrder, p)
	}
	return p
}

func (s *Scheduler) applyBudget(event BudgetChanged) {
	s.settings.BudgetWindow = event.Window
	s.settings.BudgetRatio = event.Ratio
	s.settings.BudgetSlack = event.Slack
	for _, p := range s.poolsInOrder {
		p.budget.SetBounds(event.Window, event.Ratio*budgetSafety)
	}
	s.updateSlack()
}

// SlackShare returns this host's share of the retry budget's slack.
func (s *Scheduler) SlackShare() float64 {
	return s.settings.BudgetSlack * budgetSafety / float64(max(s.Hosts(), minBudgetHosts))
}

// minBudgetHosts is the least number of hosts by which the slack is divided. It
// limits the share of a host that does not know the other hosts yet.
const minBudgetHosts = 4

func (s *Scheduler) handleEndpointChanged(change directory.Change) {
	switch change := change.(type) {
	case directory.Appeared:
		e := newEndpoint(s.now, change.Entry, s.prefixes)
		s.byKey[e.key] = e
		s.byHash[e.keyHash] = e
		s.endpoints = append(s.endpoints, e)
		p := s.ensurePool(change.Entry.Service)
		e.speed = p.speeds.Add()
		p.endpoints = append(p.endpoints, e)
		p.addVersion(s.now, e.entry.Version)
		p.partitions.rank(p.endpoints)
		s.beginRampOfNew(e)
		s.dispatchWaiting(p)
	case directory.Updated:
		if e := s.byKey[keyOf(change.Entry)]; e != nil {
			p, before := s.ensurePool(e.entry.Service), e.entry.Version
			e.entry = change.Entry
			p.addVersion(s.now, e.entry.Version)
			p.removeVersion(before)
		}
	case directory.Leaving:
		if e := s.byKey[keyOf(change.Entry)]; e != nil {
			s.markLeaving(e)
		}
	case directory.Removed:
		s.removeEndpoint(keyOf(change.Entry))
	}
}

func keyOf(entry directory.Entry) Key {
	return Key{
		ID:          entry.ID,
		Incarnation: entry.Born,
	}
}

func (s *Scheduler) removeEndpoint(key Key) {
	e := s.byKey[key]
	if e == nil {
		return
	}
	delete(s.byKey, key)
	delete(s.byHash, e.keyHash)
	e.cache.clear()
	s.endpoints = slices.DeleteFunc(s.endpoints, func(other *endpoint) bool { return other == e })
	s.limited = slices.DeleteFunc(s.limited, func(other *endpoint) bool { return other == e })
	p := s.ensurePool(e.entry.Service)
	p.speeds.Remove(e.speed)
	p.endpoints = slices.DeleteFunc(p.endpoints, func(other *endpoint) bool { return other == e })
	p.removeVersion(e.entry.Version)
	p.partitions.rank(p.endpoints)
}

func (s *Scheduler) handlePeerReported(event PeerReported) {
	otherHosts := max(event.Hosts, 1)
	if event.IncludesSelf {
		otherHosts--
	}
	known, ok := s.peers[event.Peer]
	demands := known.demands
	if event.Demands != nil {
		demands = event.Demands
	}
	s.peers[event.Peer] = peer{
		hosts:        otherHosts,
		reportedAt:   s.now,
		demands:      demands,
		includesSelf: event.IncludesSelf,
	}
	if event.Demands != nil {
		s.updateDemands()
	}
	if !ok || known.hosts != otherHosts {
		s.updateSlack()
	}
	listed := make(map[uint64]bool, len(event.Loads))
	for _, load := range event.Loads {
		listed[load.Endpoint] = true
		if e := s.byHash[load.Endpoint]; e != nil {
			e.recordPeerLoad(s.now, event.Peer, loadReport{
				PeerLoad:     load,
				includesSelf: event.IncludesSelf,
			})
		}
	}
	if event.Complete {
		for _, e := range s.endpoints {
			if !listed[e.keyHash] {
				e.removePeerLoad(s.now, event.Peer)
			}
		}
	}
	s.applyNotices(event.Notices)
	s.applyLimits(event)
	s.applySpeeds(event.Speeds)
	s.applyQuarantineChanges(s.quarantine.Apply(s.now, event.Findings))
	for _, placement := range event.Placements {
		if e := s.byHash[placement.Endpoint]; e != nil {
			prefilledAt := s.now.Add(e.prefillBacklog(s.now) + s.settings.Engine.PrefillTime(0, placement.Tokens))
			e.cache.add(s.now, prefilledAt, placement.PrefixHash, placement.Tokens, s.cacheCapacity(e))
		}
	}
	for _, p := range s.poolsInOrder {
		s.dispatchWaiting(p)
	}
}

func (s *Scheduler) handlePeerRemoved(peer string) {
	delete(s.peers, peer)
	s.removePeerLoads(peer)
	s.updateDemands()
	s.updateSlack()
}

func (s *Scheduler) removePeerLoads(peer string) {
	for _, e := range s.endpoints {
		delete(e.peerLoads, peer)
	}
	s.removePeerLimits(peer)
}

// expirePeerLoads removes the load of peers that have not reported for too long. They
// still count as hosts until they are removed.
func (s *Scheduler) expirePeerLoads() {
	for name, p := range s.peers {
		if p.expired || s.now.Sub(p.reportedAt) <= maxPeerLoadAge {
			continue
		}
		p.expired = true
		s.peers[name] = p
		s.removePeerLoads(name)
		s.updateDemands()
	}
}

func (s *Scheduler) updateSlack() {
	for _, p := range s.poolsInOrder {
		p.budget.SetSlack(s.SlackShare())
	}
}

func (s *Scheduler) cacheCapacity(e *endpoint) int {
	p := s.ensurePool(e.entry.Service)
	if p.engine == nil {
		return 0
	}
	return int(cacheShare * float64(p.engine.KVCacheTokens))
}

// HasLoadChanges reports whether this host's load has changed since the last call
// of TakeLoads, or whether findings wait to be reported.
func (s *Scheduler) HasLoadChanges() bool { return s.dirty || s.quarantine.HasNews() }

// ReportsPerChange is the number of reports that list a changed load, since reports are
// datagrams. Only the first of them is due because of the change.
const ReportsPerChange = 2

// TakeLoads returns the load that this host reports to others: all of it, or only
// that of endpoints where it has changed lately. It also returns the prompts placed
// lately.
func (s *Scheduler) TakeLoads(now time.Time, complete bool) ([]PeerLoad, []Placement) {
	loads := make([]PeerLoad, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if e.reportsLeft == 0 && (!complete || e.running == 0) {
			continue
		}
		e.reportsLeft = max(e.reportsLeft-1, 0)
		e.lastSent = loadReport{
			PeerLoad: PeerLoad{
				Endpoint:         e.keyHash,
				PendingPrefill:   e.ownPendingPrefill(now),
				Running:          e.running,
				LatencySensitive: e.latencySensitive,
				Ejected:          e.health.isEjected(now),
			},
		}
		loads = append(loads, e.lastSent.PeerLoad)
	}
	s.dirty = false
	return loads, s.placements.Take()
}

// markDirty records that the load at an endpoint has changed.
func (s *Scheduler) markDirty(e *endpoint) {
	e.reportsLeft = ReportsPerChange
	s.dirty = true
}

// Hosts returns the number of known hosts that serve calls, including this one.
func (s *Scheduler) Hosts() int {
	total := 1
	for _, p := range s.peers {
		total += p.hosts
	}
	return total
}

// peerLoadAge returns the age of the report of the peer that has not reported for
// longest, or -1 if there is no peer.
func (s *Scheduler) peerLoadAge() time.Duration {
	age := time.Duration(-1)
	for _, p := range s.peers {
		age = max(age, s.now.Sub(p.reportedAt))
	}
	return age
}

// QueuedCalls returns the number of calls queued at this host.
func (s *Scheduler) QueuedCalls() int {
	queued := 0
	for _, p := range s.poolsInOrder {
		queued += len(p.queue)
	}
	return queued
}

// OpenCalls returns the number of calls that have no final command yet.
func (s *Scheduler) OpenCalls() int { return len(s.calls) }
