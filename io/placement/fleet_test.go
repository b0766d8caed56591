package placement_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/engine"
	"cactuswell/io/placement"
	"cactuswell/io/weightstore"
	"cactuswell/standin/logservice"
	"cactuswell/timer"
)

const gibibyte = int64(1) << 30

// fleet is engines, platform and hosts in virtual time.
type fleet struct {
	t      testing.TB
	timers *timer.Service
	log    *logservice.Store
	ctx    context.Context

	mu        sync.Mutex
	state     *core.State
	engines   []*fakeEngine
	storeDown bool
	rate      int64
	bytes     int64
	// stoppedLoads makes loads never end.
	stoppedLoads bool
	// lagging makes a host lag behind every drain.
	lagging bool
	counted counts
}

// counts are what happened so far.
type counts struct {
	orders     int
	changes    int
	fewestLive int
}

func (f *fleet) counts() counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counted
}

// fakeEngine loads for as long as the store's rate takes.
type fakeEngine struct {
	key     endpoint.Key
	zone    string
	version string
	loading string
	readyAt time.Time
	down    bool
	leaving bool
	checks  bool
	fencing uint64
	// work is how long its work goes on after its drain, at drainAt.
	work     time.Duration
	drainAt  time.Time
	unsafely int
}

func newFleet(ctx context.Context, t testing.TB, count int, version string) *fleet {
	timers := timer.New()
	f := &fleet{
		t:      t,
		timers: timers,
		log:    logservice.New(timers.Now, 1),
		ctx:    ctx,
		state:  core.New(),
		rate:   gibibyte,
		bytes:  4 * gibibyte,
		counted: counts{
			fewestLive: count,
		},
	}
	for i := range count {
		f.engines = append(f.engines, &fakeEngine{
			key:     endpoint.Key{Name: fmt.Sprintf("engine-%02d", i), Incarnation: 1},
			zone:    fmt.Sprintf("zone-%d", i%4),
			version: version,
			work:    2 * time.Second,
		})
	}
	go func() { _ = timers.Run(ctx) }()
	return f
}

// host starts a host and returns it with its stop.
func (f *fleet) host(name string) (*placement.Placement, context.CancelFunc) {
	p := placement.New(placement.Dependencies{
		Host:          name,
		Incarnation:   1,
		Log:           f.log,
		Configuration: f,
		Engines:       engines{fleet: f},
		Endpoints:     f.endpoints,
		Store:         f,
		Timers:        f.timers,
		Logger:        log.NewNopLogger(),
		Settings:      placement.DefaultSettings(),
	})
	ctx, stop := context.WithCancel(f.ctx)
	for _, duty := range p.Duties() {
		go func() { _ = duty.Run(ctx) }()
	}
	return p, stop
}

func (f *fleet) publish(version string, least, most int) {
	document := fmt.Sprintf(`{"models":[{"pool":"drafting","version":%q,"leastCopies":%d,"mostCopies":%d,`+
		`"zones":["zone-0","zone-1","zone-2","zone-3"]}]}`, version, least, most)
	_, err := f.Change(f.ctx, configuration.NewID(), core.PlacementChange{
		BaseRevision: f.State().Placement().Revision,
		Document:     json.RawMessage(document),
		Author:       "operator",
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) setDown(index int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.engines[index].down = down
}

func (f *fleet) setLagging(lagging bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lagging = lagging
}

// change drains or resumes the first engine as placement does.
func (f *fleet) change(drained bool) {
	f.t.Helper()
	_, err := f.Change(f.ctx, configuration.NewID(), core.EndpointChange{
		Name:        f.engines[0].key.Name,
		Incarnation: f.engines[0].key.Incarnation,
		Drained:     drained,
		Author:      core.AuthorPlacement,
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

// until waits, at most a virtual hour, and returns how long it took.
func (f *fleet) until(done func() bool) time.Duration {
	f.t.Helper()
	begun := time.Now()
	for !done() {
		if time.Since(begun) > time.Hour {
			f.t.Fatal("not done in an hour")
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(begun)
}

// live counts the engines that serve a version, or any if it is empty.
func (f *fleet) live(version string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.liveLocked(version)
}

func (f *fleet) liveLocked(version string) int {
	live := 0
	for _, e := range f.engines {
		f.settle(e)
		if !e.down && !e.leaving && e.loading == "" && e.version != "" && !f.state.Drained(e.key) &&
			(version == "" || e.version == version) {
			live++
		}
	}
	return live
}

// settle ends a load that is due. It must be called with the lock held.
func (f *fleet) settle(e *fakeEngine) {
	if e.loading != "" && !f.stoppedLoads && !time.Now().Before(e.readyAt) {
		e.version, e.loading = e.loading, ""
	}
}

func (f *fleet) endpoints() []placement.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]placement.Endpoint, 0, len(f.engines))
	for _, e := range f.engines {
		list = append(list, placement.Endpoint{
			Descriptor: endpoint.Descriptor{
				Key:           e.key,
				Zone:          e.zone,
				Kind:          profile.KindModel,
				Pool:          "drafting",
				ChecksFencing: e.checks,
			},
			BaseURL: e.key.Name,
			Leaving: e.leaving,
		})
	}
	return list
}

// engine must be called with the lock held.
func (f *fleet) engine(base string) (*fakeEngine, error) {
	for _, e := range f.engines {
		if e.key.Name == base && !e.down {
			f.settle(e)
			return e, nil
		}
	}
	return nil, &engine.StatusError{Status: 503}
}

// State implements placement.Configuration.
func (f *fleet) State() *core.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.Clone()
}

func (f *fleet) Change(_ context.Context, id string, change core.Change) (core.Outcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := core.Encode(id, "host", 0, core.WithAsOf(change, f.state.Next()))
	if err != nil {
		return core.Outcome{}, err
	}
	outcome := f.state.Apply(f.state.Next(), data)
	f.counted.changes++
	if drain, ok := change.(core.EndpointChange); ok && drain.Drained {
		e, err := f.engine(drain.Name)
		if err == nil {
			e.drainAt = time.Now()
		}
	}
	f.counted.fewestLive = min(f.counted.fewestLive, f.liveLocked(""))
	return outcome, f.state.Err(outcome)
}

func (f *fleet) InForce(context.Context, record.Offset) configuration.InForce {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lagging {
		return configuration.InForce{Lagging: []string{"host"}}
	}
	return configuration.InForce{Applied: []string{"host"}}
}

func (f *fleet) Limits(context.Context) (weightstore.LimitsResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeDown {
		return weightstore.LimitsResponse{}, &weightstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	return weightstore.LimitsResponse{BytesPerSecond: f.rate}, nil
}

func (f *fleet) Describe(_ context.Context, model, version string) (weightstore.DescribeResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return weightstore.DescribeResponse{Model: model, Version: version, Bytes: f.bytes}, nil
}
