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
	// oneWayDelay is the one-way network delay between hosts, and between a host
	// and the log.
	oneWayDelay = time.Millisecond
	// failureDetectionDelay is how long a stopped host stays in the others' live
	// views.
	failureDetectionDelay = 3 * time.Second
)

// fleet is a set of hosts that are connected by in-memory calls in virtual time.
type fleet struct {
	t          testing.TB
	ctx        context.Context
	store      logservice.Log
	settings   configuration.Dependencies
	zones      int
	mu         sync.Mutex
	members    map[string]*member
	silencedAt time.Time
	startCount int
	// openLogClients counts the log clients that were created and not closed.
	openLogClients atomic.Int64
	// liveView holds the live hosts as seen by all hosts until liveViewUntil,
	// sorted by name.
	liveView      []configuration.Peer
	liveViewUntil time.Time
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
	// pendingPanics is how many queries of the live peers and new log clients are
	// to panic.
	pendingPanics atomic.Int32
	// servedCalls counts the calls of peers that it served, across restarts.
	servedCalls int
	// cutOff makes all calls from and to the host hang.
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
			if open := f.openLogClients.Load(); open != 0 {
				t.Errorf("%d log clients were not closed", open)
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
	f.startCount++
	seed := uint64(f.startCount)
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
		m.panicIfPending()
		f.openLogClients.Add(1)
		return &logConn{member: m, dialledAt: time.Now()}
	}
	dependencies.Dial = func(peer configuration.Peer) configuration.Conn {
		return &peerConn{member: m, target: peer.Name, dialledAt: time.Now()}
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
		m.servedCalls = previous.servedCalls
	}
	f.members[name] = m
	f.liveView = nil
	f.mu.Unlock()
	go func() {
		_ = tree.Run(ctx)
		close(m.done)
	}()
	return m
}

// stop stops a host immediately, without notifying the others.
func (f *fleet) stop(name string) {
	f.mu.Lock()
	m := f.members[name]
	m.stoppedAt = time.Now()
	f.liveView = nil
	f.mu.Unlock()
	m.cancel()
	<-m.done
}

// countServedCalls returns how many calls of peers were served by all hosts
// together and by the busiest one.
func (f *fleet) countServedCalls() (all, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		all += m.servedCalls
		most = max(most, m.servedCalls)
	}
	return all, most
}

func (f *fleet) host(number int) *configuration.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[fmt.Sprintf("host-%d", number)].config
}

// restart stops a host and starts a new one with the same name.
func (f *fleet) restart(number int, pause time.Duration) {
	name := fmt.Sprintf("host-%d", number)
	f.stop(name)
	time.Sleep(pause)
	f.start(name)
}

// setCutOff disconnects a host from all others and from the log, or reconnects
// it.
func (f *fleet) setCutOff(number int, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[fmt.Sprintf("host-%d", number)].cutOff = cutOff
}

func (f *fleet) log() logservice.Log {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.store
}

// replaceLog replaces the log.
func (f *fleet) replaceLog(store logservice.Log) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store = store
}

// silenceConnections makes all open connections permanently silent.
func (f *fleet) silenceConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silencedAt = time.Now()
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

// awaitReady waits until all running hosts are ready at the same time.
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
	start := time.Now()
	missing := f.running()
	for {
		missing = slices.DeleteFunc(missing, holds)
		if len(missing) == 0 {
			// The condition must hold on all hosts at the same time.
			missing = slices.DeleteFunc(f.running(), holds)
		}
		if len(missing) == 0 {
			return time.Since(start)
		}
		if time.Since(start) > limit {
			_, reason := missing[0].config.Ready()
			f.t.Fatalf("%d hosts not %s within %v, among them %s (applied %d, %s)",
				len(missing), what, limit, missing[0].name, missing[0].config.NextOffset(), reason)
		}
		time.Sleep(time.Millisecond)
	}
}

// mustChange publishes a change of the profile based on its current revision.
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

func (m *member) panicIfPending() {
	if m.pendingPanics.Add(-1) >= 0 {
		panic("injected panic")
	}
}

// Live implements configuration.Peers.
func (m *member) Live() []configuration.Peer {
	m.panicIfPending()
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.liveView == nil || !time.Now().Before(m.fleet.liveViewUntil) {
		m.fleet.refreshLiveView()
	}
	peers := make([]configuration.Peer, 0, len(m.fleet.liveView))
	for _, peer := range m.fleet.liveView {
		if peer.Name != m.name {
			peers = append(peers, peer)
		}
	}
	return peers
}

// refreshLiveView collects the hosts that run or whose stop is not detected yet.
func (f *fleet) refreshLiveView() {
	f.liveView = f.liveView[:0:0]
	f.liveViewUntil = time.Now().Add(time.Hour)
	for _, m := range f.members {
		removedAt := m.stoppedAt.Add(failureDetectionDelay)
		switch {
		case m.stoppedAt.IsZero():
		case !time.Now().Before(removedAt):
			continue
		case removedAt.Before(f.liveViewUntil):
			f.liveViewUntil = removedAt
		}
		f.liveView = append(f.liveView, configuration.Peer{
			Name: m.name,
			Zone: m.zone,
		})
	}
	sort.Slice(f.liveView, func(i, j int) bool { return f.liveView[i].Name < f.liveView[j].Name })
}

// transmit simulates one direction of a call over a connection. It blocks until
// ctx is done if the connection is silent.
func (m *member) transmit(ctx context.Context, dialled time.Time, broken func() bool) error {
	m.fleet.mu.Lock()
	silent := !dialled.After(m.fleet.silencedAt) || m.cutOff || broken()
	m.fleet.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(oneWayDelay)
	return ctx.Err()
}

// logConn is a host's simulated connection to the log.
type logConn struct {
	member    *member
	dialledAt time.Time
}

func (l *logConn) CloseIdleConnections() { l.member.fleet.openLogClients.Add(-1) }

func (l *logConn) transmit(ctx context.Context) error {
	err := l.member.transmit(ctx, l.dialledAt, func() bool { return false })
	if err != nil {
		return &logservice.UnavailableError{Cause: err}
	}
	return nil
}

func (l *logConn) Append(ctx context.Context, stream record.Stream, records [][]byte) (record.Offset, error) {
	if err := l.transmit(ctx); err != nil {
		return 0, err
	}
	offset, err := l.member.fleet.log().Append(ctx, stream, records)
	if err != nil {
		return 0, err
	}
	return offset, l.transmit(ctx)
}

func (l *logConn) Read(
	ctx context.Context, stream record.Stream, from record.Offset, options logservice.ReadOptions,
) (logservice.ReadResponse, error) {
	if err := l.transmit(ctx); err != nil {
		return logservice.ReadResponse{}, err
	}
	response, err := l.member.fleet.log().Read(ctx, stream, from, options)
	if err != nil {
		return response, err
	}
	return response, l.transmit(ctx)
}

// peerConn is a host's simulated connection to a peer.
type peerConn struct {
	member    *member
	target    string
	dialledAt time.Time
}

func (l *peerConn) Close() {}

func roundTrip[Q, A any](
	ctx context.Context, l *peerConn, request *connect.Request[Q],
	call func(*configuration.Server, context.Context, *connect.Request[Q]) (*connect.Response[A], error),
) (*connect.Response[A], error) {
	f := l.member.fleet
	f.mu.Lock()
	target := f.members[l.target]
	f.mu.Unlock()
	broken := func() bool { return target.cutOff }
	if err := l.member.transmit(ctx, l.dialledAt, broken); err != nil {
		return nil, err
	}
	f.mu.Lock()
	target = f.members[l.target]
	stopped := !target.stoppedAt.IsZero()
	target.servedCalls++
	f.mu.Unlock()
	if stopped {
		return nil, connect.NewError(connect.CodeUnavailable, nil)
	}
	response, err := call(target.server, ctx, request)
	if err != nil {
		return nil, err
	}
	return response, l.member.transmit(ctx, l.dialledAt, broken)
}

func (l *peerConn) Push(
	ctx context.Context, request *connect.Request[nodev1.PushRequest],
) (*connect.Response[nodev1.PushResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).Push)
}

func (l *peerConn) Fetch(
	ctx context.Context, request *connect.Request[nodev1.FetchRequest],
) (*connect.Response[nodev1.FetchResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).Fetch)
}

func (l *peerConn) FetchState(
	ctx context.Context, request *connect.Request[nodev1.FetchStateRequest],
) (*connect.Response[nodev1.FetchStateResponse], error) {
	return roundTrip(ctx, l, request, (*configuration.Server).FetchState)
}

func (l *peerConn) Head(
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
