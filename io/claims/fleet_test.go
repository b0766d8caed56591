package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	"cactuswell/core/claim"
	"cactuswell/io/logservice"
	standin "cactuswell/standin/logservice"
	"cactuswell/supervisor"
	"cactuswell/timer"
)

const testTeam = "front-desk"

// bookings is a booking service that counts executions.
type bookings struct {
	mu        sync.Mutex
	byKey     map[string]int
	byRequest map[string]int
}

func newBookings() *bookings {
	return &bookings{
		byKey:     make(map[string]int),
		byRequest: make(map[string]int),
	}
}

func (b *bookings) run(key, request string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.byKey[key]++
	b.byRequest[request]++
}

func (b *bookings) ofKey(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKey[key]
}

func (b *bookings) ofRequest(request string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byRequest[request]
}

// testHost is one life of a host.
type testHost struct {
	claims *Claims
	cancel context.CancelFunc
	done   chan struct{}
}

// testFleet starts hosts that share a log.
type testFleet struct {
	t           *testing.T
	store       *standin.Store
	entropy     *rand.Rand
	settings    claim.Settings
	incarnation uint64
	hosts       []*testHost
}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	return &testFleet{
		t:        t,
		store:    standin.New(time.Now, 1),
		entropy:  rand.New(rand.NewPCG(1, 1)),
		settings: claim.DefaultSettings(),
	}
}

// start starts a host over the given log.
func (f *testFleet) startOver(name string, over logservice.Log) *testHost {
	f.t.Helper()
	f.incarnation++
	timers := timer.New()
	keyed, err := New(Dependencies{
		Host:        name,
		Incarnation: f.incarnation,
		Entropy:     f.entropy.Uint64,
		Log:         over,
		Timers:      timers,
		Logger:      log.NewNopLogger(),
		Settings:    f.settings,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	tree := supervisor.New("test", log.NewNopLogger())
	tree.Add(supervisor.Duty{
		Name: "timer",
		Run:  timers.Run,
	})
	for _, duty := range keyed.Duties() {
		tree.Add(duty)
	}
	ctx, cancel := context.WithCancel(context.Background())
	host := &testHost{
		claims: keyed,
		cancel: cancel,
		done:   make(chan struct{}),
	}
	f.hosts = append(f.hosts, host)
	go func() {
		defer close(host.done)
		_ = tree.Run(ctx)
	}()
	return host
}

func (f *testFleet) start(name string) *testHost {
	f.t.Helper()
	return f.startOver(name, f.store)
}

// stop ends every host.
func (f *testFleet) stop() {
	for _, host := range f.hosts {
		host.crash()
	}
	synctest.Wait()
}

// crash ends a host without warning.
func (h *testHost) crash() {
	h.cancel()
	<-h.done
}

func fingerprint(body string) claim.Fingerprint {
	return claim.NewFingerprint("room-holds", "/v1/holds", []byte(body))
}

// begin asks for a decision within wait.
func (h *testHost) begin(key, body string, wait time.Duration) Decision {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	return h.claims.Decide(ctx, testTeam, key, fingerprint(body))
}
