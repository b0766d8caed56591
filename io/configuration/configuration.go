// Package configuration replicates the configuration stream to a host, pushes
// records to other hosts, writes snapshots, and publishes changes. It executes
// the decisions of core/follow; core/configuration defines how records are
// applied.
//
// # Usage
//
//	config := configuration.New(configuration.Dependencies{
//		Host:         "host-1",
//		Zone:         "alm-a",
//		NewLogClient: func() logservice.Log { return logservice.New(base, newClient()) },
//		Dial:         configuration.Dialer(transport.BaseURL, transport.Client),
//		Peers:        peers,
//		Timers:       timers,
//		Logger:       logger,
//		Random:       rand.New(rand.NewPCG(seed1, seed2)),
//		Retention:    24 * time.Hour,
//	})
//	for _, duty := range config.Duties() {
//		tree.Add(duty)
//	}
//	path, handler := config.Handler()
//	router.PathPrefix(path).Handler(handler)
//	current, revision, ok := config.Profile("weddingMorningCheck")
//
// The accessors read an immutable state without locking and may be called from
// any goroutine.
package configuration

import (
	"expvar"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/follow"
	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	"cactuswell/ring"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// DefaultRetention is the assumed retention of the platform's log.
const DefaultRetention = 24 * time.Hour

const (
	peerEventCapacity = 128
	resultCapacity    = 16
	commandCapacity   = 4
	pushCapacity      = 16
	// stallTimeout is how long the duty that follows the stream may go without a
	// step before the host is not ready. It wakes each follow.RepairInterval.
	stallTimeout = 10 * time.Second
	// pushWorkers is the number of concurrent pushes: to the host's children in
	// the tree and to the other reader.
	pushWorkers = follow.FanOut + 1
)

// reasonStalled means that the host was paused or that the duty fails
// repeatedly.
const reasonStalled = "the duty that follows the configuration stands still"

// Dependencies hold the settings and collaborators of a Configuration.
type Dependencies struct {
	// Host, Zone and Incarnation identify this host.
	Host        string
	Zone        string
	Incarnation uint64
	// NewLogClient returns a client of the log with its own connection. It is
	// called again after each failure, so that a dead connection is not reused.
	NewLogClient func() logservice.Log
	// Dial returns a new connection to a peer.
	Dial   func(Peer) Conn
	Peers  Peers
	Timers *timer.Service
	Logger log.Logger
	// Random is used by one goroutine only. If it is nil, the generator is seeded
	// with the incarnation and the host's name.
	Random *rand.Rand
	// Retention is the guaranteed retention of the log, or zero for
	// DefaultRetention.
	Retention time.Duration
	// MaxLag and MaxConfirmationAge are as in follow.Settings.
	MaxLag             time.Duration
	MaxConfirmationAge time.Duration
}

// Configuration is a host's replica of the configuration.
type Configuration struct {
	dependencies Dependencies
	current      atomic.Pointer[view]
	// lastStepAt is when the follower handled its latest event, in nanoseconds
	// since startedAt.
	lastStepAt atomic.Int64
	startedAt  time.Time
	counters   *expvar.Map

	// results carries the responses to the follower's commands, of which at most
	// two are outstanding. peerEvents carries unsolicited events, such as pushes
	// from peers, and may overflow: head comparison recovers what is dropped.
	results      *ring.Ring[follow.Event]
	peerEvents   *ring.Ring[follow.Event]
	logCommands  *ring.Ring[follow.Command]
	peerCommands *ring.Ring[follow.Command]
	pushQueues   []*ring.Ring[pushTask]
}

// New returns a configuration that is empty until its duties run.
func New(dependencies Dependencies) *Configuration {
	if dependencies.Retention == 0 {
		dependencies.Retention = DefaultRetention
	}
	if dependencies.Random == nil {
		dependencies.Random = rand.New(rand.NewPCG(dependencies.Incarnation, xxhash.Sum64String(dependencies.Host)))
	}
	if dependencies.Peers == nil {
		dependencies.Peers = StaticPeers(nil)
	}
	c := &Configuration{
		dependencies: dependencies,
		startedAt:    dependencies.Timers.Now(),
		counters:     new(expvar.Map).Init(),
		results:      ring.New[follow.Event](resultCapacity),
		peerEvents:   ring.New[follow.Event](peerEventCapacity),
		logCommands:  ring.New[follow.Command](commandCapacity),
		peerCommands: ring.New[follow.Command](commandCapacity),
	}
	for range pushWorkers {
		c.pushQueues = append(c.pushQueues, ring.New[pushTask](pushCapacity))
	}
	c.current.Store(newView(core.New()))
	return c
}

// Profile returns the profile in force with the name, and its revision.
func (c *Configuration) Profile(name string) (profile.Profile, uint64, bool) {
	entry, ok := c.State().Entry(name)
	if !ok {
		return profile.Profile{}, 0, false
	}
	current, ok := entry.Profile()
	return current, entry.Revision, ok
}

// Profiles returns the profiles in force, sorted by name.
func (c *Configuration) Profiles() []profile.Profile {
	var profiles []profile.Profile
	for _, entry := range c.State().Entries() {
		if current, ok := entry.Profile(); ok {
			profiles = append(profiles, current)
		}
	}
	return profiles
}

// IsDrained reports whether an operator drained the endpoint's incarnation.
func (c *Configuration) IsDrained(key endpoint.Key) bool {
	return c.State().IsDrained(key)
}

// NextOffset returns the offset of the first record that is not applied yet.
func (c *Configuration) NextOffset() record.Offset {
	return c.State().NextOffset()
}

// State returns the current state, which must not be modified.
func (c *Configuration) State() *core.State {
	return c.current.Load().state
}

// Ready reports whether the configuration is recent enough to serve with, and if
// not, why.
func (c *Configuration) Ready() (bool, string) {
	reason := c.current.Load().reason
	sinceLastStep := c.now().Sub(c.startedAt) - time.Duration(c.lastStepAt.Load())
	if reason == follow.ReasonNone && sinceLastStep > stallTimeout {
		return false, reasonStalled
	}
	return reason == follow.ReasonNone, string(reason)
}

// Changed returns a channel that is closed when the state or the readiness
// changes. Call it before reading the state, so that no change is missed.
func (c *Configuration) Changed() <-chan struct{} {
	return c.current.Load().changed
}

// HandleAdvertisedHead handles a peer's next offset, piggybacked on membership
// probes.
func (c *Configuration) HandleAdvertisedHead(peer string, nextOffset record.Offset) {
	if nextOffset <= c.NextOffset() {
		return
	}
	c.peerEvents.TryPush(follow.HeadAdvertised{
		Peer:       peer,
		NextOffset: nextOffset,
	})
}

// Vars returns the counters, for publication with expvar.
func (c *Configuration) Vars() *expvar.Map { return c.counters }

// Duties returns the duties to run in the host's supervisor tree.
func (c *Configuration) Duties() []supervisor.Duty {
	follower := newFollowerLoop(c)
	logReader := newLogReader(c)
	peerCaller := newPeerCaller(c)
	snapshotter := newSnapshotter(c)
	duties := []supervisor.Duty{
		{
			Name:          "configurationFollow",
			Run:           follower.run,
			BeforeRestart: follower.rebuild,
		},
		{
			Name:          "configurationLog",
			Run:           logReader.run,
			BeforeRestart: logReader.reportUnanswered,
		},
		{
			Name:          "configurationRepair",
			Run:           peerCaller.run,
			BeforeRestart: peerCaller.reportUnanswered,
		},
		{
			Name: "configurationSnapshot",
			Run:  snapshotter.run,
		},
	}
	for _, tasks := range c.pushQueues {
		duties = append(duties, supervisor.Duty{
			Name: "configurationPush",
			Run:  newPusher(c, tasks).run,
		})
	}
	return duties
}

func (c *Configuration) now() time.Time {
	return c.dependencies.Timers.Now()
}

func (c *Configuration) findPeer(name string) (Peer, bool) {
	for _, peer := range c.dependencies.Peers.Live() {
		if peer.Name == name {
			return peer, true
		}
	}
	return Peer{}, false
}
