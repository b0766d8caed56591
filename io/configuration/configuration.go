// Package configuration keeps a host's copy of the configuration stream up to
// date, hands records on to other hosts, writes snapshots, and publishes
// changes. What it does and when is decided by core/follow; what a record means
// by core/configuration.
//
// # Usage
//
//	config := configuration.New(configuration.Dependencies{
//		Host:      "host-1",
//		Zone:      "alm-a",
//		Log:       func() logservice.Log { return logservice.New(base, newClient()) },
//		Dial:      configuration.Dialer(transport.BaseURL, transport.Client),
//		Peers:     peers,
//		Timers:    timers,
//		Logger:    logger,
//		Random:    rand.New(rand.NewPCG(seed1, seed2)),
//		Retention: 24 * time.Hour,
//	})
//	for _, duty := range config.Duties() {
//		tree.Add(duty)
//	}
//	path, handler := config.Handler()
//	router.PathPrefix(path).Handler(handler)
//	current, revision, ok := config.Profile("weddingMorningCheck")
//
// The accessors read an immutable state without a lock and may be called from
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

// DefaultRetention is how long the platform's log is taken to keep records.
const DefaultRetention = 24 * time.Hour

const (
	heardCapacity  = 128
	resultCapacity = 16
	taskCapacity   = 4
	pushCapacity   = 16
	// stallBound is how long the duty that follows the stream may stand still
	// before the host is not ready. It wakes each follow.RepairInterval.
	stallBound = 10 * time.Second
	// pushLanes is how many peers a host pushes to at the same time: its
	// children in the tree and the other reader.
	pushLanes = follow.FanOut + 1
)

// reasonStalled says that the host was paused or its duty fails again and again.
const reasonStalled = "the duty that follows the configuration stands still"

// Dependencies are what a Configuration is made of.
type Dependencies struct {
	// Host, Zone and Incarnation are this host's own.
	Host        string
	Zone        string
	Incarnation uint64
	// NewLogClient returns a client of the log on a connection of its own. It is called
	// again after each failure, so that a silent connection is left behind.
	NewLogClient func() logservice.Log
	// Dial returns a connection of its own to a peer.
	Dial   func(Peer) Conn
	Peers  Peers
	Timers *timer.Service
	Logger log.Logger
	// Random is used by one goroutine only. Without it the incarnation is the
	// seed.
	Random *rand.Rand
	// Retention is how long the log surely keeps records, or zero for
	// DefaultRetention.
	Retention time.Duration
	// MaxLag and ConfirmBound are as in follow.Settings.
	MaxLag             time.Duration
	MaxConfirmationAge time.Duration
}

// Configuration is a host's copy of the configuration stream.
type Configuration struct {
	dependencies Dependencies
	current      atomic.Pointer[view]
	// steppedAt is when the follower took an event last, in nanoseconds since
	// started.
	steppedAt atomic.Int64
	started   time.Time
	counts    *expvar.Map

	// results carries the answers to the follower's commands, of which there
	// are at most two at a time; heard carries what peers say unasked and may
	// overflow, as heads are compared later.
	results *ring.Ring[follow.Event]
	heard   *ring.Ring[follow.Event]
	logTask *ring.Ring[follow.Command]
	repair  *ring.Ring[follow.Command]
	pushes  []*ring.Ring[pushTask]
}

// New returns a configuration that knows nothing until its duties run.
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
		started:      dependencies.Timers.Now(),
		counts:       new(expvar.Map).Init(),
		results:      ring.New[follow.Event](resultCapacity),
		heard:        ring.New[follow.Event](heardCapacity),
		logTask:      ring.New[follow.Command](taskCapacity),
		repair:       ring.New[follow.Command](taskCapacity),
	}
	for range pushLanes {
		c.pushes = append(c.pushes, ring.New[pushTask](pushCapacity))
	}
	c.current.Store(newView(core.New()))
	return c
}

// Profile returns the profile in force under the name, and its revision.
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

// IsDrained reports whether an operator drained the endpoint's
// incarnation.
func (c *Configuration) IsDrained(key endpoint.Key) bool {
	return c.State().IsDrained(key)
}

// NextOffset returns the offset of the first record that is not applied yet.
func (c *Configuration) NextOffset() record.Offset {
	return c.State().NextOffset()
}

// State returns the reduced state, which must not be changed.
func (c *Configuration) State() *core.State {
	return c.current.Load().state
}

// Ready reports whether the host may serve by its configuration, and if not,
// why.
func (c *Configuration) Ready() (bool, string) {
	reason := c.current.Load().reason
	stalled := c.now().Sub(c.started) - time.Duration(c.steppedAt.Load())
	if reason == follow.ReasonNone && stalled > stallBound {
		return false, reasonStalled
	}
	return reason == follow.ReasonNone, string(reason)
}

// Changed returns a channel that is closed when the state or the readiness
// changes. It is asked for before the state is read.
func (c *Configuration) Changed() <-chan struct{} {
	return c.current.Load().changed
}

// HandleAdvertisedHead takes a peer's next offset as it rides on probes.
func (c *Configuration) HandleAdvertisedHead(peer string, nextOffset record.Offset) {
	if nextOffset <= c.NextOffset() {
		return
	}
	c.heard.TryPush(follow.HeadAdvertised{
		Peer:       peer,
		NextOffset: nextOffset,
	})
}

// Vars returns the counters, to be published with expvar.
func (c *Configuration) Vars() *expvar.Map { return c.counts }

// Duties returns what must run in the host's tree.
func (c *Configuration) Duties() []supervisor.Duty {
	keeper := newKeeper(c)
	reader := newLogReader(c)
	repairer := newRepairer(c)
	writer := newSnapshotter(c)
	duties := []supervisor.Duty{
		{
			Name:          "configurationFollow",
			Run:           keeper.run,
			BeforeRestart: keeper.rebuild,
		},
		{
			Name:          "configurationLog",
			Run:           reader.run,
			BeforeRestart: reader.answerLost,
		},
		{
			Name:          "configurationRepair",
			Run:           repairer.run,
			BeforeRestart: repairer.answerLost,
		},
		{
			Name: "configurationSnapshot",
			Run:  writer.run,
		},
	}
	for _, tasks := range c.pushes {
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

func (c *Configuration) peer(name string) (Peer, bool) {
	for _, peer := range c.dependencies.Peers.Live() {
		if peer.Name == name {
			return peer, true
		}
	}
	return Peer{}, false
}
