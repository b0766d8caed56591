package configuration_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"

	core "cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/core/record"
	"cactuswell/io/configuration"
	"cactuswell/io/logservice"
	"cactuswell/io/node/nodev1"
	standin "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const (
	// oneWay is the delay between hosts, and between a host and the log.
	oneWay = time.Millisecond
	// detection is how long a stopped host stays in the others' views.
	detection = 3 * time.Second
)

// fleet is a set of hosts joined by calls in memory, in virtual time.
type fleet struct {
	t        testing.TB
	ctx      context.Context
	store    logservice.Log
	settings configuration.Dependencies
	zones    int
	mu       sync.Mutex
	members  map[string]*member
	silenced time.Time
	started  int
	// openLogs counts the clients of the log that were made and not left.
	openLogs atomic.Int64
	// seen holds the hosts in all views until seenUntil, sorted by name.
	seen      []configuration.Peer
	seenUntil time.Time
}

type member struct {
	fleet     *fleet
	name      string
	zone      string
	config    *configuration.Configuration
	server    *configuration.Server
	cancel    context.CancelFunc
	done      chan struct{}
	stoppedAt time.Time
	// panics is how many looks at the live peers and dials are to panic.
	panics atomic.Int32
	// served counts the peers' calls that it answered, in all its lives.
	served int
	// cutOff makes all its calls and all calls to it silent.
	cutOff bool
}

// runFleet runs a test with count hosts in virtual time.
func runFleet(t *testing.T, store logservice.Log, count int, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{
			t:       t,
			ctx:     ctx,
			store:   store,
			zones:   3,
			members: make(map[string]*member),
		}
		defer func() {
			cancel()
			for _, m := range f.members {
				<-m.done
			}
			if open := f.openLogs.Load(); open != 0 {
				t.Errorf("%d clients of the log were not left", open)
			}
		}()
		for i := range count {
			f.start(fmt.Sprintf("host-%d", i))
		}
		test(t, f)
	})
}

func (f *fleet) start(name string) *member {
	f.mu.Lock()
	f.started++
	seed := uint64(f.started)
	m := &member{
		fleet: f,
		name:  name,
		done:  make(chan struct{}),
	}
	var number int
	_, _ = fmt.Sscanf(name, "host-%d", &number)
	m.zone = fmt.Sprintf("zone-%d", number%f.zones)
	f.mu.Unlock()

	timers := timer.New()
	dependencies := f.settings
	dependencies.Host = name
	dependencies.Zone = m.zone
	dependencies.NewLogClient = func() logservice.Log {
		m.panicIfAsked()
		f.openLogs.Add(1)
		return &logLink{member: m, dialled: time.Now()}
	}
	dependencies.Dial = func(peer configuration.Peer) configuration.Conn {
		return &peerLink{member: m, target: peer.Name, dialled: time.Now()}
	}
	dependencies.Peers = m
	dependencies.Timers = timers
	dependencies.Logger = log.NewNopLogger()
	dependencies.Random = rand.New(rand.NewPCG(seed, 1))
	m.config = configuration.New(dependencies)
	m.server = configuration.NewServer(m.config)

	tree := supervisor.New(name, log.NewNopLogger())
	tree.Add(supervisor.Duty{Name: "timer", Run: timers.Run})
	for _, duty := range m.config.Duties() {
		tree.Add(duty)
	}
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(f.ctx)
	f.mu.Lock()
	if previous, ok := f.members[name]; ok {
		m.served = previous.served
	}
	f.members[name] = m
	f.seen = nil
	f.mu.Unlock()
	go func() {
		_ = tree.Run(ctx)
		close(m.done)
	}()
	return m
}

// stop ends a host at once, without farewell.
func (f *fleet) stop(name string) {
	f.mu.Lock()
	m := f.members[name]
	m.stoppedAt = time.Now()
	f.seen = nil
	f.mu.Unlock()
	m.cancel()
	<-m.done
}

// served returns how many calls of peers all hosts and the busiest one have
// answered.
func (f *fleet) served() (all, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		all += m.served
		most = max(most, m.served)
	}
	return all, most
}

func (f *fleet) host(number int) *configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[fmt.Sprintf("host-%d", number)].config
}

// restart replaces a host by a new one of the same name.
func (f *fleet) restart(number int, pause time.Duration) {
	name := fmt.Sprintf("host-%d", number)
	f.stop(name)
	time.Sleep(pause)
	f.start(name)
}

// cut separates a host from all others and from the log, or joins it again.
func (f *fleet) cut(number int, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[fmt.Sprintf("host-%d", number)].cutOff = cutOff
}

func (f *fleet) log() logservice.Log {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// swapLog puts another log in the place of the present one.
func (f *fleet) swapLog(store logservice.Log) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store = store
}

// silence makes every connection that is open now silent for good.
func (f *fleet) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silenced = time.Now()
}

func (f *fleet) running() []*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var running []*member
	for _, m := range f.members {
		if m.stoppedAt.IsZero() {
			running = append(running, m)
		}
	}
	sort.Slice(running, func(i, j int) bool { return running[i].name < running[j].name })
	return running
}

// awaitReady waits until all running hosts are ready.
func (f *fleet) awaitReady(limit time.Duration) {
	f.t.Helper()
	f.await(limit, "ready", func(m *member) bool {
		ready, _ := m.config.Ready()
		return ready
	})
}

// awaitInForce waits until all running hosts have applied the record and
// returns how long that took.
func (f *fleet) awaitInForce(limit time.Duration, offset record.Offset) time.Duration {
	f.t.Helper()
	return f.await(limit, fmt.Sprintf("beyond offset %d", offset), func(m *member) bool {
		return m.config.NextOffset() > offset
	})
}

func (f *fleet) await(limit time.Duration, what string, holds func(*member) bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	missing := f.running()
	for {
		missing = slices.DeleteFunc(missing, holds)
		if len(missing) == 0 {
			// All hosts must hold it at the same time.
			missing = slices.DeleteFunc(f.running(), holds)
		}
		if len(missing) == 0 {
			return time.Since(began)
		}
		if time.Since(began) > limit {
			_, reason := missing[0].config.Ready()
			f.t.Fatalf("%d hosts not %s within %v, among them %s (applied %d, %s)",
				len(missing), what, limit, missing[0].name, missing[0].config.NextOffset(), reason)
		}
		time.Sleep(time.Millisecond)
	}
}

// mustChange publishes a change of the profile from its current revision.
func (f *fleet) mustChange(number int, id string, targetMs int64) core.Outcome {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.ctx, time.Minute)
	defer cancel()
	entry, _ := f.host(number).State().Entry("briefing")
	outcome, err := f.host(number).PublishChange(ctx, id, briefing(entry.Revision, targetMs))
	if err != nil {
		f.t.Fatalf("change %s: %v", id, err)
	}
	return outcome
}

func (m *member) panicIfAsked() {
	if m.panics.Add(-1) >= 0 {
		panic("asked to")
	}
}

// Live implements configuration.Peers.
func (m *member) Live() []configuration.Peer {
	m.panicIfAsked()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.seen == nil || !time.Now().Before(m.fleet.seenUntil) {
		m.fleet.look()
	}
	peers := make([]configuration.Peer, 0, len(m.fleet.seen))
	for _, peer := range m.fleet.seen {
		if peer.Name != m.name {
			peers = append(peers, peer)
		}
	}
	return peers
}

// look finds the hosts that run or were stopped too lately to be missed.
func (f *fleet) look() {
	f.seen = f.seen[:0:0]
	f.seenUntil = time.Now().Add(time.Hour)
	for _, m := range f.members {
		missed := m.stoppedAt.Add(detection)
		switch {
		case m.stoppedAt.IsZero():
		case !time.Now().Before(missed):
			continue
		case missed.Before(f.seenUntil):
			f.seenUntil = missed
		}
		f.seen = append(f.seen, configuration.Peer{
			Name: m.name,
			Zone: m.zone,
		})
	}
	sort.Slice(f.seen, func(i, j int) bool { return f.seen[i].Name < f.seen[j].Name })
}

// link passes one way over a connection, or waits for ever if it is silent.
func (m *member) link(ctx context.Context, dialled time.Time, broken func() bool) error {
	m.fleet.mu.Lock()
	silent := !dialled.After(m.fleet.silenced) || m.cutOff || broken()
	m.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(oneWay)
	return ctx.Err()
}

// logLink is a host's connection to the log.
type logLink struct {
	member  *member
	dialled time.Time
}

func (l *logLink) CloseIdleConnections() { l.member.fleet.openLogs.Add(-1) }

func (l *logLink) pass(ctx context.Context) error {
	err := l.member.link(ctx, l.dialled, func() bool { return false })
	if err != nil {
		return &logservice.UnavailableError{Cause: err}
	}
	return nil
}

func (l *logLink) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	if err := l.pass(ctx); err != nil {
		return 0, err
	}
	offset, err := l.member.fleet.log().Append(ctx, stream, records)
	if err != nil {
		return 0, err
	}
	return offset, l.pass(ctx)
}

func (l *logLink) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	if err := l.pass(ctx); err != nil {
		return logservice.ReadResponse{}, err
	}
	response, err := l.member.fleet.log().Read(ctx, stream, from, options)
	if err != nil {
		return response, err
	}
	return response, l.pass(ctx)
}

// peerLink is a host's connection to a peer.
type peerLink struct {
	member  *member
	target  string
	dialled time.Time
}

func (l *peerLink) Close() {}

func roundTrip[Q, A any](
	ctx context.Context, l *peerLink, request *connect.Request[Q],
	call func(*configuration.Server, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*connect.Response[A], error) {
	f := l.member.fleet
	f.mu.Lock()
	target := f.members[l.target]
	f.mu.Unlock()
	broken := func() bool { return target.cutOff }
	if err := l.member.link(ctx, l.dialled, broken); err != nil {
		return nil, err
	}
	f.mu.Lock()
	target = f.members[l.target]
	gone := !target.stoppedAt.IsZero()
	target.served++
	f.mu.Unlock()
	if gone {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	response, err := call(target.server, ctx, request)
	if err != nil {
		return nil, err
	}
	return response, l.member.link(ctx, l.dialled, broken)
}

func (l *peerLink) Push(
	ctx context.Context, request *connect.Request[nodev1.PushRequest],
) (*connect.Response[nodev1.PushResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).Push)
}

func (l *peerLink) Fetch(
	ctx context.Context, request *connect.Request[nodev1.FetchRequest],
) (*connect.Response[nodev1.FetchResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).Fetch)
}

func (l *peerLink) FetchState(
	ctx context.Context, request *connect.Request[nodev1.FetchStateRequest],
) (*connect.Response[nodev1.FetchStateResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).FetchState)
}

func (l *peerLink) Head(
	ctx context.Context, request *connect.Request[nodev1.HeadRequest],
) (*connect.Response[nodev1.HeadResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).Head)
}

func newStore(seed uint64) *standin.Store {
	return standin.New(time.Now, seed)
}

func briefing(base uint64, targetMs int64) core.ProfileChange {
	return core.ProfileChange{
		Name:         "briefing",
		BaseRevision: base,
		Spec: &profile.Spec{
			Name:     "briefing",
			Class:    "briefing",
			Kind:     profile.KindModel,
			Pool:     "drafting",
			TargetMs: targetMs,
		},
		Author: "aigerim",
	}
}
