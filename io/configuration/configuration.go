// Package configuration keeps a host's copy of the configuration stream up to
// date and publishes changes to it.
//
// # Usage
//
//	config := configuration.New(configuration.Dependencies{
//		Host:   "host-1",
//		Zone:   "alm-a",
//		Log:    func() logservice.Log { return logservice.New(base, newClient()) },
//		Dial:   configuration.Dialer(newClient),
//		Peers:  peers,
//		Timers: timers,
//		Logger: logger,
//	})
//	for _, duty := range config.Duties() {
//		tree.Add(duty)
//	}
//	current, revision, ok := config.Profile("weddingMorningCheck")
//
// The accessors read an immutable state without a lock and may be called from
// any goroutine.
package configuration

import (
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

// Dependencies are what a Configuration is made of.
type Dependencies struct {
	// Host and Zone are this host's own.
	Host        string
	Zone        string
	Incarnation uint64
	// Log returns a client of the log on a connection of its own. It is called
	// again after each failure, so that a silent connection is left behind.
	Log    func() logservice.Log
	Timers *timer.Service
	Logger log.Logger
}

// Configuration is a host's copy of the configuration stream.
type Configuration struct {
	dependencies Dependencies
	current      atomic.Pointer[view]
}

// view is what readers see. It is never changed after it was published, but
// for changed, which is closed once a newer view is there.
type view struct {
	state   *core.State
	ready   bool
	reason  string
	changed chan struct{}
}

// New returns a configuration that knows nothing until its duties run.
func New(dependencies Dependencies) *Configuration {
	c := &Configuration{
		dependencies: dependencies,
	}
	c.current.Store(&view{
		state:   core.New(),
		reason:  reasonStarting,
		changed: make(chan struct{}),
	})
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

// Drained reports whether an operator drained the endpoint's incarnation.
func (c *Configuration) Drained(key endpoint.Key) bool {
	return c.State().Drained(key)
}

// Applied returns the offset of the first record that is not applied yet.
func (c *Configuration) Applied() record.Offset {
	return c.State().Next()
}

// State returns the reduced state, which must not be changed.
func (c *Configuration) State() *core.State {
	return c.current.Load().state
}

// Ready reports whether the host may serve by its configuration, and if not,
// why.
func (c *Configuration) Ready() (bool, string) {
	current := c.current.Load()
	return current.ready, current.reason
}

// Changed returns a channel that is closed when the state or the readiness
// changes. It is asked for before the state is read.
func (c *Configuration) Changed() <-chan struct{} {
	return c.current.Load().changed
}

// Duties returns what must run in the host's tree.
func (c *Configuration) Duties() []supervisor.Duty {
	r := &reader{
		configuration: c,
		state:         core.New(),
	}
	return []supervisor.Duty{
		{
			Name: "configurationReader",
			Run:  r.run,
		},
	}
}

// publish replaces the view. Only one duty calls it.
func (c *Configuration) publish(next *view) {
	next.changed = make(chan struct{})
	previous := c.current.Swap(next)
	close(previous.changed)
}

func (c *Configuration) now() time.Time {
	return c.dependencies.Timers.Now()
}
