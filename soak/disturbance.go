package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"cactuswell/standin/proxy"
	"cactuswell/standin/worker"
)

// Disturbance is something that is done to the fleet. It is implemented only by the types in
// this file.
type Disturbance interface {
	isDisturbance()
}

// PausedHost stops a host's process (SIGSTOP) and lets it go on.
type PausedHost struct {
	Host int
	For  time.Duration
}

// StarvedHost leaves a host's process a fifth of its time (SIGSTOP and SIGCONT in turn).
type StarvedHost struct {
	Host int
	For  time.Duration
}

// KilledHosts kills hosts (SIGKILL) at the same moment and starts them again.
type KilledHosts struct {
	Hosts []int
	For   time.Duration
}

// RestartedHost stops a host in order (SIGTERM) and starts it again.
type RestartedHost struct{ Host int }

// ReloadedHost makes a host read its settings again (SIGHUP).
type ReloadedHost struct{ Host int }

// FrozenEndpoint stops an endpoint and lets it go on.
type FrozenEndpoint struct {
	Endpoint int
	For      time.Duration
}

// CrashedEndpoint ends an endpoint and starts it again: with its ID, or as another endpoint at the
// same address while its entry is still there. With streams, the other one has another version.
type CrashedEndpoint struct {
	Endpoint  int
	For       time.Duration
	IsAnother bool
}

// FaultyEndpoint gives an endpoint faults.
type FaultyEndpoint struct {
	Endpoint int
	For      time.Duration
	Faults   worker.Faults
}

// Network is a network that can be disturbed.
type Network int

// The networks, each with a link for each host or endpoint.
const (
	CallersToHost Network = iota
	HostsToEndpoint
	HostToStore
)

// HeldLink holds the bytes of a link back, in one direction or in both.
type HeldLink struct {
	Network Network
	Link    int
	For     time.Duration
	Held    []proxy.Direction
}

// SlowLink delays the bytes of a link.
type SlowLink struct {
	Network Network
	Link    int
	For     time.Duration
	Delay   time.Duration
}

// EndedConnections ends all connections over a link, with a reset or in order.
type EndedConnections struct {
	Network Network
	Link    int
	IsReset bool
}

// StoreDown makes the store fail all calls.
type StoreDown struct{ For time.Duration }

// ChangedConfiguration writes a version of the configuration.
type ChangedConfiguration struct{}

func (PausedHost) isDisturbance()       {}
func (StarvedHost) isDisturbance()      {}
func (KilledHosts) isDisturbance()      {}
func (RestartedHost) isDisturbance()    {}
func (ReloadedHost) isDisturbance()     {}
func (FrozenEndpoint) isDisturbance()   {}
func (CrashedEndpoint) isDisturbance()  {}
func (FaultyEndpoint) isDisturbance()   {}
func (HeldLink) isDisturbance()         {}
func (SlowLink) isDisturbance()         {}
func (EndedConnections) isDisturbance() {}
func (StoreDown) isDisturbance()        {}

func (ChangedConfiguration) isDisturbance() {}

// Scheduled is a disturbance with the time since the start at which it begins.
type Scheduled struct {
	At          time.Duration
	Disturbance Disturbance
}

// scheduler draws a schedule.
type scheduler struct {
	random   *rand.Rand
	settings Settings
}

// NewSchedule draws a schedule from the seed: disturbances that come one after the other in the
// first half, and that overlap in the second.
func NewSchedule(settings Settings) []Scheduled {
	const gap, shortGap = 400 * time.Millisecond, 150 * time.Millisecond
	s := &scheduler{
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		settings: settings,
	}
	var schedule []Scheduled
	if settings.IsUndisturbed {
		return nil
	}
	for at := gap; at < settings.Duration; {
		schedule = append(schedule, Scheduled{
			At:          at,
			Disturbance: s.draw(),
		})
		mean := gap
		if at > settings.Duration/2 {
			mean = shortGap
		}
		at += mean/2 + time.Duration(s.random.Int64N(int64(mean)))
	}
	return schedule
}

func (s *scheduler) host() int     { return s.random.IntN(s.settings.Hosts) }
func (s *scheduler) endpoint() int { return s.random.IntN(s.settings.Endpoints) }

// duration draws a duration, in which short ones are as frequent as long ones.
func (s *scheduler) duration() time.Duration {
	durations := []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 700 * time.Millisecond, 1500 * time.Millisecond, 2800 * time.Millisecond}
	return durations[s.random.IntN(len(durations))]
}

func (s *scheduler) draw() Disturbance {
	if s.settings.Configurations && s.random.IntN(3) == 0 {
		return ChangedConfiguration{}
	}
	if s.settings.OnlyPlannedWork {
		return s.drawPlannedWork()
	}
	if (s.settings.IsVaried || s.settings.VariesAnswers) && s.random.IntN(10) == 0 {
		return StarvedHost{
			Host: s.host(),
			For:  s.duration(),
		}
	}
	switch drawn := s.random.IntN(20); {
	case drawn < 4:
		return PausedHost{
			Host: s.host(),
			For:  s.duration(),
		}
	case drawn < 6:
		return KilledHosts{
			Hosts: []int{s.host()},
			For:   s.duration(),
		}
	case drawn == 6:
		hosts := s.random.Perm(s.settings.Hosts)[:1+s.random.IntN(s.settings.Hosts)]
		slices.Sort(hosts)
		return KilledHosts{
			Hosts: hosts,
			For:   300 * time.Millisecond,
		}
	case drawn < 9:
		return RestartedHost{Host: s.host()}
	case drawn == 9:
		return ReloadedHost{Host: s.host()}
	case drawn == 10:
		return StoreDown{For: s.duration()}
	case drawn < 16:
		return s.drawEndpoint()
	}
	return s.drawLink()
}

func (s *scheduler) drawPlannedWork() Disturbance {
	if s.random.IntN(4) == 0 {
		return ReloadedHost{Host: s.host()}
	}
	return RestartedHost{Host: s.host()}
}

func (s *scheduler) drawEndpoint() Disturbance {
	switch s.random.IntN(4) {
	case 0:
		return FrozenEndpoint{
			Endpoint: s.endpoint(),
			For:      s.duration(),
		}
	case 1:
		return CrashedEndpoint{
			Endpoint:  s.endpoint(),
			For:       100 * time.Millisecond,
			IsAnother: s.random.IntN(2) == 0,
		}
	}
	faults := worker.Faults{
		Declines:         0.3,
		ExtraAnswers:     0.1,
		ExtraAnswerDelay: time.Duration(s.random.IntN(20)) * time.Millisecond,
		LostAnswers:      0.05,
		ResetAnswers:     0.05,
		CutAnswers:       0.05,
		Closes:           0.2,
		EarlyAnswers:     0.1,
	}
	if s.settings.RepeatsRefusals {
		faults.RepeatedRefusals = 0.5
	}
	if s.settings.IsVaried {
		faults.OddAnswers = 0.2
		faults.ForeignRefusals = 0.1
		faults.RefusalsWithOtherStatus = 0.3
	}
	faults.MisplacedRefusals = s.settings.Faults.MisplacedRefusals
	faults.NamelessRefusals = s.settings.Faults.NamelessRefusals
	faults.SplicedRefusals = s.settings.Faults.SplicedRefusals
	if s.settings.VariesAnswers {
		faults = s.settings.Faults
		faults.Declines, faults.EarlyAnswers, faults.Closes = 0.3, 0.1, 0.2
	}
	return FaultyEndpoint{
		Endpoint: s.endpoint(),
		For:      s.duration(),
		Faults:   faults,
	}
}

func (s *scheduler) drawLink() Disturbance {
	network, link := Network(s.random.IntN(3)), s.host()
	if network == HostsToEndpoint {
		link = s.endpoint()
	}
	switch s.random.IntN(4) {
	case 0:
		held := [][]proxy.Direction{{proxy.ToTarget}, {proxy.ToClient}, {proxy.ToTarget, proxy.ToClient}}
		return HeldLink{
			Network: network,
			Link:    link,
			For:     s.duration(),
			Held:    held[s.random.IntN(len(held))],
		}
	case 1:
		return SlowLink{
			Network: network,
			Link:    link,
			For:     s.duration(),
			Delay:   time.Duration(10+s.random.IntN(200)) * time.Millisecond,
		}
	}
	return EndedConnections{
		Network: network,
		Link:    link,
		IsReset: s.random.IntN(2) == 0,
	}
}

// applied is a scheduled disturbance under way.
type applied struct {
	fleet     *fleet
	scheduled Scheduled
}

// run waits for the disturbance's time, carries it out, and records its beginning and its end.
func (a *applied) run(ctx context.Context) {
	defer a.fleet.disturbances.Done()
	a.fleet.wait(ctx, a.scheduled.At)
	if ctx.Err() != nil {
		return
	}
	detail := fmt.Sprintf("%T%+v", a.scheduled.Disturbance, a.scheduled.Disturbance)
	a.fleet.journal.Record(Event{
		Kind:   DisturbanceBegun,
		Detail: detail,
	})
	end := a.fleet.operator.disturb(a.scheduled.Disturbance)
	a.fleet.disturb(ctx, a.scheduled.Disturbance)
	end()
	a.fleet.journal.Record(Event{
		Kind:   DisturbanceEnded,
		Detail: detail,
	})
}

// disturb carries out a disturbance and returns at its end.
func (f *fleet) disturb(ctx context.Context, disturbance Disturbance) {
	switch d := disturbance.(type) {
	case PausedHost:
		f.hosts[d.Host].signal(syscall.SIGSTOP)
		f.wait(ctx, d.For)
		f.hosts[d.Host].signal(syscall.SIGCONT)
	case StarvedHost:
		f.starve(ctx, d)
	case KilledHosts:
		f.kill(ctx, d)
	case RestartedHost:
		f.restart(ctx, d)
	case ReloadedHost:
		f.reload(ctx, d)
	case FrozenEndpoint:
		f.endpoints[d.Endpoint].SetFrozen(true)
		f.wait(ctx, d.For)
		f.endpoints[d.Endpoint].SetFrozen(false)
	case CrashedEndpoint:
		f.crash(ctx, d)
	case FaultyEndpoint:
		f.endpoints[d.Endpoint].SetFaults(d.Faults)
		f.wait(ctx, d.For)
		f.endpoints[d.Endpoint].SetFaults(f.settings.Faults)
	case ChangedConfiguration:
		f.operator.change()
	case StoreDown:
		f.log.SetDown(true)
		f.wait(ctx, d.For)
		f.log.SetDown(false)
	default:
		f.disturbLink(ctx, disturbance)
	}
}

func (f *fleet) disturbLink(ctx context.Context, disturbance Disturbance) {
	switch d := disturbance.(type) {
	case HeldLink:
		link := f.links[d.Network][d.Link]
		for _, direction := range d.Held {
			link.SetHeld(direction, true)
		}
		f.wait(ctx, d.For)
		for _, direction := range d.Held {
			link.SetHeld(direction, false)
		}
	case SlowLink:
		link := f.links[d.Network][d.Link]
		link.SetDelay(d.Delay)
		f.wait(ctx, d.For)
		link.SetDelay(0)
	case EndedConnections:
		link := f.links[d.Network][d.Link]
		if d.IsReset {
			link.Reset()
			return
		}
		link.Cut()
	}
}

// starve lets a host run for a short time again and again.
func (f *fleet) starve(ctx context.Context, d StarvedHost) {
	const stopped, running = 20 * time.Millisecond, 5 * time.Millisecond
	for range d.For / (stopped + running) {
		f.hosts[d.Host].signal(syscall.SIGSTOP)
		f.wait(ctx, stopped)
		f.hosts[d.Host].signal(syscall.SIGCONT)
		f.wait(ctx, running)
	}
}

// kill kills hosts and starts them again. A host that is being restarted is left alone.
func (f *fleet) kill(ctx context.Context, d KilledHosts) {
	var killed []*host
	for _, i := range d.Hosts {
		if f.restarting[i].TryLock() {
			defer f.restarting[i].Unlock()
			killed = append(killed, f.hosts[i])
			f.hosts[i].end(syscall.SIGKILL)
		}
	}
	f.wait(ctx, d.For)
	for _, h := range killed {
		f.fail(h.start())
	}
}

// reload makes a host read its settings again, unless it is starting: the signal ends a process
// that does not yet handle it.
func (f *fleet) reload(ctx context.Context, d ReloadedHost) {
	if !f.restarting[d.Host].TryLock() {
		return
	}
	defer f.restarting[d.Host].Unlock()
	if isReady(ctx, f.hosts[d.Host]) {
		f.hosts[d.Host].signal(syscall.SIGHUP)
	}
}

func (f *fleet) restart(ctx context.Context, d RestartedHost) {
	if !f.restarting[d.Host].TryLock() {
		return
	}
	defer f.restarting[d.Host].Unlock()
	f.hosts[d.Host].end(syscall.SIGTERM)
	f.wait(ctx, 100*time.Millisecond)
	f.fail(f.hosts[d.Host].start())
}

func (f *fleet) crash(ctx context.Context, d CrashedEndpoint) {
	if !f.crashing[d.Endpoint].TryLock() {
		return
	}
	defer f.crashing[d.Endpoint].Unlock()
	w := f.endpoints[d.Endpoint]
	before, id, version := w.ID(), w.ID(), w.Version()
	if d.IsAnother {
		id = f.nextEndpointID()
	}
	if d.IsAnother && f.settings.Streams {
		version = versions[(slices.Index(versions, version)+1)%len(versions)]
	}
	w.Crash()
	f.wait(ctx, d.For)
	f.fail(w.Start(id, version))
	if !d.IsAnother {
		f.publish(d.Endpoint, id)
		return
	}
	// The entry of the endpoint that is gone stays for a while.
	f.wait(ctx, d.For)
	f.withdraw(before)
	f.publish(d.Endpoint, id)
}
