package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cactuswell/gateway"
	"cactuswell/io/control"
	logapi "cactuswell/io/keyedlog"
	"cactuswell/settings"
	"cactuswell/standin/keyedlog"
)

const (
	testLease  = 900 * time.Millisecond
	testWindow = time.Second
)

var errControlDown = errors.New("the control API is down")

// controlAPI is a stand-in for the platform's control API that checks the invariants of the duties.
type controlAPI struct {
	t testing.TB

	mu      sync.Mutex
	windows map[int64]map[string]int64
	calls   []controlCall
	down    map[string]bool
	// afterCall is called after each call that was executed.
	afterCall func(holder string)
}

type controlCall struct {
	at     time.Time
	holder string
	token  int64
}

func newControlAPI(t testing.TB) *controlAPI {
	return &controlAPI{
		t:       t,
		windows: make(map[int64]map[string]int64),
		down:    make(map[string]bool),
	}
}

// ReportUsage implements control.Client.
func (c *controlAPI) ReportUsage(_ context.Context, fence control.Fence, window int64, counts map[string]int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[fence.Holder] {
		return errControlDown
	}
	c.check(fence)
	if before, ok := c.windows[window]; ok && !cmp.Equal(before, counts) {
		c.t.Errorf("window %d reported with %v and %v", window, before, counts)
	}
	c.windows[window] = maps.Clone(counts)
	if c.afterCall != nil {
		c.afterCall(fence.Holder)
	}
	return nil
}

// OrderEndpoints implements control.Client.
func (c *controlAPI) OrderEndpoints(context.Context, control.Fence, control.Order) error { return nil }

// check checks a call against the earlier ones, and records it.
func (c *controlAPI) check(fence control.Fence) {
	call := controlCall{
		at:     time.Now(),
		holder: fence.Holder,
		token:  fence.Token,
	}
	between := false
	for i := len(c.calls) - 1; i >= 0; i-- {
		past := c.calls[i]
		isOther := past.holder != call.holder
		if past.token > call.token || past.token == call.token && isOther {
			c.t.Errorf("%+v after %+v", call, past)
		}
		if !isOther && between && call.at.Sub(past.at) < testLease {
			c.t.Errorf("%+v after %+v with another holder between them", call, past)
		}
		between = between || isOther
	}
	c.calls = append(c.calls, call)
}

// total returns the requests of all windows, and the gaps between the windows.
func (c *controlAPI) total() (requests int64, missing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first, last := int64(0), int64(0)
	for window, counts := range c.windows {
		requests += counts["clerks"]
		if first == 0 || window < first {
			first = window
		}
		last = max(last, window)
	}
	return requests, int(last-first+1) - len(c.windows)
}

// lastHolder returns the host that called last, or "".
func (c *controlAPI) lastHolder() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return ""
	}
	return c.calls[len(c.calls)-1].holder
}

// tokens returns the number of terms in which calls were made.
func (c *controlAPI) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := make(map[int64]bool)
	for _, call := range c.calls {
		tokens[call.token] = true
	}
	return len(tokens)
}

func (c *controlAPI) setDown(holder string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down[holder] = true
}

func (c *controlAPI) setAfterCall(afterCall func(string)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.afterCall = afterCall
}

// dutyFleet is a fleet with singleton duties.
type dutyFleet struct {
	t        *testing.T
	window   time.Duration
	control  *controlAPI
	first    *fixture
	hosts    map[string]*fixture
	clients  map[string]*keyedlog.Client
	requests int64
}

// newDutyFleet starts hosts. The given function may wrap a host's client of the store.
func newDutyFleet(t *testing.T, size int, wrap func(name string, client *keyedlog.Client) hostLog) *dutyFleet {
	t.Helper()
	return newWindowedDutyFleet(t, size, testWindow, wrap)
}

// newWindowedDutyFleet starts hosts that report usage by windows of the given length.
func newWindowedDutyFleet(t *testing.T, size int, window time.Duration, wrap func(name string, client *keyedlog.Client) hostLog) *dutyFleet {
	t.Helper()
	fleet := &dutyFleet{
		t:       t,
		window:  window,
		control: newControlAPI(t),
		first: &fixture{
			t:    t,
			log:  keyedlog.New(),
			spec: testSpec(),
		},
		hosts:   make(map[string]*fixture),
		clients: make(map[string]*keyedlog.Client),
	}
	fleet.first.publishConfiguration()
	fleet.first.addEndpoint(service, 0)
	for i := range size {
		fleet.startHost(fmt.Sprintf("host-%d", i), wrap)
	}
	return fleet
}

func (f *dutyFleet) startHost(name string, wrap func(string, *keyedlog.Client) hostLog) {
	f.t.Helper()
	host := &fixture{
		t:         f.t,
		log:       f.first.log,
		spec:      f.first.spec,
		endpoints: f.first.endpoints,
		control:   f.control,
	}
	current := testSettings(name)
	current.ControlAddress = "127.0.0.1:1"
	current.SingletonDuties = []string{settings.DutyUsage, settings.DutyAutoscale}
	current.ControlRate = 50
	current.LeaseTime = testLease
	current.BalancerLag = testLease
	current.UsageWindow = f.window
	current.UsageDelay = 10 * time.Second
	client := f.first.log.NewClient()
	var log hostLog = client
	if wrap != nil {
		log = wrap(name, client)
	}
	host.startHost(current, log)
	f.hosts[name] = host
	f.clients[name] = client
}

// call sends requests through a host and counts them.
func (f *dutyFleet) call(name string, requests int) {
	f.t.Helper()
	for range requests {
		if got := f.hosts[name].get("/lookup/x"); got.status != http.StatusOK {
			f.t.Fatalf("status %d", got.status)
		}
		f.requests++
	}
}

// crash ends a host that neither releases the lease nor sends its counts.
func (f *dutyFleet) crash(name string) {
	f.clients[name].SetFault(keyedlog.Hang{})
	f.hosts[name].kill()
}

// awaitHolder waits until a host other than the given one has called last, and returns it.
func (f *dutyFleet) awaitHolder(not string) string {
	f.t.Helper()
	eventually(f.t, "another host performs the duties", func() bool {
		holder := f.control.lastHolder()
		return holder != "" && holder != not
	})
	return f.control.lastHolder()
}

// awaitTotal waits until all requests are reported, and checks that no window is missing.
func (f *dutyFleet) awaitTotal() {
	f.t.Helper()
	eventually(f.t, "all requests are reported", func() bool {
		requests, _ := f.control.total()
		return requests >= f.requests
	})
	if requests, missing := f.control.total(); requests != f.requests || missing > 0 {
		f.t.Errorf("%d requests reported of %d, %d windows are missing", requests, f.requests, missing)
	}
}

// TestUsageIsExact guards against requests that are counted twice, or not at all, while hosts restart
// and the holder changes, and against a restarted host that holds the lease again too soon.
func TestUsageIsExact(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 3, nil)
	for name := range fleet.hosts {
		fleet.call(name, 20)
	}
	fleet.awaitHolder("")
	for name := range fleet.hosts {
		fleet.call(name, 20)
	}
	for _, name := range []string{"host-0", "host-1", "host-2"} {
		fleet.hosts[name].stopAndWait()
		fleet.startHost(name, nil)
		for name := range fleet.hosts {
			fleet.call(name, 10)
		}
	}
	fleet.awaitTotal()
	if tokens := fleet.control.tokens(); tokens < 2 {
		t.Errorf("%d holders", tokens)
	}
}

// TestPlannedStopHandsOver guards against a lease that runs out after a planned stop.
func TestPlannedStopHandsOver(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 2, nil)
	holder := fleet.awaitHolder("")
	fleet.hosts[holder].stopAndWait()
	lines := fleet.hosts[holder].logLines.String()
	if !strings.Contains(lines, `"event":"leaseReleased"`) || !strings.Contains(lines, `"acknowledged":true`) {
		t.Error("the lease was not released")
	}
	fleet.awaitHolder(holder)
}

// TestHolderKilledAfterCall guards against duties that end with their holder, and against a window that
// its successor reports with other counts.
func TestHolderKilledAfterCall(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 3, nil)
	fleet.call("host-0", 10)
	fleet.call("host-1", 10)
	var once sync.Once
	killed := make(chan string, 1)
	fleet.control.setAfterCall(func(holder string) {
		once.Do(func() {
			fleet.crash(holder)
			killed <- holder
		})
	})
	holder := <-killed
	next := fleet.awaitHolder(holder)
	fleet.call(next, 10)
	fleet.awaitTotal()
}

// TestKilledHolderLosesNoOldCounts guards against requests that a holder has counted itself, seconds
// before it is killed, and that nobody reports.
func TestKilledHolderLosesNoOldCounts(t *testing.T) {
	t.Parallel()
	const window = 3 * time.Second
	fleet := newWindowedDutyFleet(t, 3, window, nil)
	holder := fleet.awaitHolder("")
	time.Sleep(time.Until(time.Now().Truncate(window).Add(window)))
	fleet.call(holder, 10)
	time.Sleep(2 * time.Second)
	fleet.crash(holder)
	fleet.awaitHolder(holder)
	fleet.awaitTotal()
}

// TestHolderWithoutStore guards against a holder that acts although it cannot renew its lease.
func TestHolderWithoutStore(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 2, nil)
	holder := fleet.awaitHolder("")
	fleet.clients[holder].SetFault(keyedlog.Refusal{})
	fleet.awaitHolder(holder)
	fleet.clients[holder].SetFault(nil)
	eventually(t, "the former holder knows", func() bool {
		dump := fleet.hosts[holder].dump().SingletonDuties
		return dump != nil && !dump.Holds && dump.Holder != holder
	})
}

// TestHolderWithoutControl guards against a holder that keeps the lease although it cannot reach the
// control API.
func TestHolderWithoutControl(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 2, nil)
	holder := fleet.awaitHolder("")
	fleet.control.setDown(holder)
	fleet.awaitHolder(holder)
}

// TestFixedWindowIsKnownBeforeItsReport guards against a second report with other counts by a successor
// if the store loses the record of a window: nobody but the holder knew then that it was fixed.
func TestFixedWindowIsKnownBeforeItsReport(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 2, nil)
	var once sync.Once
	called := make(chan string)
	release := make(chan struct{})
	fleet.control.setAfterCall(func(holder string) {
		once.Do(func() {
			called <- holder
			<-release
		})
	})
	holder := <-called
	defer close(release)
	for name, host := range fleet.hosts {
		if name != holder {
			eventually(t, "the other host knows of the fixed window", func() bool {
				return host.dump().SingletonDuties.FixedThrough > 0
			})
		}
	}
}

// lateClaims executes the first conditional append of a host late, and returns an error for it.
type lateClaims struct {
	*keyedlog.Client
	once sync.Once
}

// AppendAt implements gateway.Roster.
func (l *lateClaims) AppendAt(ctx context.Context, topic string, at int64, records []logapi.Record) (logapi.Appended, error) {
	isFirst := false
	l.once.Do(func() { isFirst = true })
	if isFirst {
		time.AfterFunc(testLease/2, func() { _, _ = l.Client.AppendAt(context.Background(), topic, at, records) })
		return logapi.Appended{}, keyedlog.ErrDown
	}
	return l.Client.AppendAt(ctx, topic, at, records)
}

// TestClaimExecutedLate guards against a claim that is executed after its response was given up, of
// which its host does not know, or which another host takes for its own.
func TestClaimExecutedLate(t *testing.T) {
	t.Parallel()
	fleet := newDutyFleet(t, 2, func(_ string, client *keyedlog.Client) hostLog { return &lateClaims{Client: client} })
	fleet.call("host-0", 10)
	fleet.awaitHolder("")
	fleet.awaitTotal()
}

// TestNoDutiesWithoutSettings guards against an effect on deployments without singleton duties.
func TestNoDutiesWithoutSettings(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 1)
	if f.dump().SingletonDuties != nil || strings.Contains(f.metrics(), "cactuswell_lease") || f.log.AppendCount() > 0 {
		t.Error("the host has singleton duties")
	}
	response, err := http.Post("http://"+f.gateway.PeerAddress()+gateway.UsagePath, "application/json", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNotFound {
		t.Errorf("status %d", response.StatusCode)
	}
}
