package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactuswell/core/directory"
	"cactuswell/core/route"
	"cactuswell/gateway"
	"cactuswell/io/control"
	logapi "cactuswell/io/keyedlog"
	"cactuswell/io/opaque"
	"cactuswell/settings"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

const (
	configurationTopic = "configuration"
	configurationKey   = "newest"
	endpointTopic      = "endpoints"
	service            = "booking"
	models             = "models"
	streamEvents       = 6
)

// jsonDecoder decodes values as the JSON form of route.Spec and directory.Entry.
type jsonDecoder struct {
	// decoded counts the configurations.
	decoded *atomic.Int64
}

func (d jsonDecoder) Configuration(value []byte) (route.Spec, error) {
	d.decoded.Add(1)
	var spec route.Spec
	err := json.Unmarshal(value, &spec)
	return spec, err
}

func (jsonDecoder) ConfigurationVersion(value []byte) (int64, error) {
	var spec struct{ Version int64 }
	err := json.Unmarshal(value, &spec)
	return spec.Version, err
}

func (jsonDecoder) Endpoint(id string, value []byte) (directory.Entry, error) {
	var entry directory.Entry
	err := json.Unmarshal(value, &entry)
	entry.ID = id
	return entry, err
}

// logBuffer collects the log lines.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.String()
}

// fixture is a host under test with stand-ins for its store and its endpoints.
type fixture struct {
	t         testing.TB
	log       *keyedlog.Log
	spec      route.Spec
	endpoints []*standin.Endpoint
	gateway   *gateway.Gateway
	logLines  *logBuffer
	stop      context.CancelFunc
	// kill ends the host without a graceful shutdown.
	kill context.CancelFunc
	// decoded counts the configurations that the host has decoded.
	decoded atomic.Int64
	// control is the platform's control API, if the fleet has singleton duties.
	control control.Client
	done    chan error
	// wrapListener wraps the callers' listener, if it is set.
	wrapListener func(net.Listener) net.Listener
	// wrapPeerListener wraps the listener for other hosts, if it is set.
	wrapPeerListener func(net.Listener) net.Listener
	// peerConns records the connections of other hosts, if it is set.
	peerConns *peerConns
	// datagrams is the host's link to the others for datagrams, or nil if it has none of its own.
	datagrams *datagramLink
	// callerWriteTimeout replaces the host's, if it is set.
	callerWriteTimeout time.Duration
	// link is the host's link to the endpoints, or nil if it has none of its own.
	link *link
	// lookups counts the calls of lookup.
	lookups int
	// requests counts the requests to each path.
	requests requestCounter
}

// testSpec returns the configuration of the tests.
func testSpec() route.Spec {
	booking := []route.Target{{Service: service, Weight: 1}}
	generation := []route.Target{{Service: models, Weight: 1}}
	return route.Spec{
		Version: 1,
		Services: []route.Service{
			{Name: service},
			{
				Name: models,
				Engine: &route.Engine{
					Slots:          8,
					KVCacheTokens:  100_000,
					TokensPerEvent: 1,
				},
			},
		},
		Routes: []route.Route{
			{Name: "lookup", Host: "firm.example", PathPrefix: "/lookup/", Kind: route.Safe, MaxAttempts: 2, Timeout: 5 * time.Second, TargetLatency: time.Second, Targets: booking},
			{Name: "hold", Host: "firm.example", PathPrefix: "/hold/", Kind: route.AtMostOnce, MaxAttempts: 1, Timeout: 5 * time.Second, TargetLatency: time.Second, Targets: booking},
			{Name: "quick", Host: "firm.example", PathPrefix: "/quick/", Kind: route.AtMostOnce, MaxAttempts: 1, Timeout: 300 * time.Millisecond, TargetLatency: 100 * time.Millisecond, Targets: booking},
			{Name: "draft", Host: "firm.example", PathPrefix: "/draft/", Kind: route.Stream, MaxAttempts: 1, Timeout: 5 * time.Second, TargetLatency: time.Second, Targets: generation},
			{Name: "summary", Host: "firm.example", PathPrefix: "/summary/", Kind: route.Stream, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second, TargetLatency: time.Second, TargetEventGap: time.Second, Targets: generation},
		},
		Teams: []route.Team{{Name: "clerks", Keys: []string{"secret"}}},
		Limits: route.Limits{
			MaxHeaderBytes: 4000,
			MaxBodyBytes:   200_000,
		},
	}
}

// newFixture starts a host with the given number of endpoints for each service.
func newFixture(t testing.TB, endpoints int) *fixture {
	t.Helper()
	return newWrappedFixture(t, endpoints, nil)
}

// newWrappedFixture is like newFixture, but wraps the callers' listener.
func newWrappedFixture(t testing.TB, endpoints int, wrapListener func(net.Listener) net.Listener) *fixture {
	t.Helper()
	return newFixtureBehind(t, &fixture{wrapListener: wrapListener}, endpoints)
}

// newFixtureBehind completes a fixture and starts its host.
func newFixtureBehind(t testing.TB, f *fixture, endpoints int) *fixture {
	t.Helper()
	f.t = t
	f.log = keyedlog.New()
	f.spec = testSpec()
	f.publishConfiguration()
	for i := range endpoints {
		f.addEndpoint(service, i)
		f.addEndpoint(models, i)
	}
	f.start()
	return f
}

// publishConfiguration appends the fixture's configuration to the log.
func (f *fixture) publishConfiguration() {
	value, err := json.Marshal(f.spec)
	if err != nil {
		f.t.Fatal(err)
	}
	f.log.Append(configurationTopic, configurationKey, value)
}

// addEndpoint starts an endpoint of a service and publishes its entry.
func (f *fixture) addEndpoint(serviceName string, i int) *standin.Endpoint {
	f.t.Helper()
	id := fmt.Sprintf("%s-%d", serviceName, i)
	endpoint, err := standin.New(standin.Settings{
		ID:     id,
		Names:  opaque.DefaultHeaderNames(),
		Events: streamEvents,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(endpoint.Close)
	f.endpoints = append(f.endpoints, endpoint)
	f.publishEndpoint(id, serviceName, endpoint.Address(), false)
	return endpoint
}

// publishEndpoint appends an endpoint's entry to the log.
func (f *fixture) publishEndpoint(id, serviceName, address string, leaving bool) {
	f.publishEntry(id, directory.Entry{
		Born:    1,
		Service: serviceName,
		Address: address,
		Zone:    "z0",
		Slots:   4,
		Leaving: leaving,
	})
}

// publishEntry appends an endpoint's entry to the log.
func (f *fixture) publishEntry(id string, entry directory.Entry) {
	value, err := json.Marshal(entry)
	if err != nil {
		f.t.Fatal(err)
	}
	f.log.Append(endpointTopic, id, value)
}

func testSettings(name string) settings.Gateway {
	return settings.Gateway{
		Name:          name,
		Zone:          "z0",
		CallerListen:  "127.0.0.1:0",
		ReadyListen:   "127.0.0.1:0",
		PeerListen:    "127.0.0.1:0",
		ReadyPath:     "/ready",
		HeaderNames:   settings.HeaderNamesOwn,
		StoreAddress:  "127.0.0.1:1",
		MemoryMB:      128,
		MaxResponseMB: 1,
		StopTimeout:   2 * time.Second,
		IdleTimeout:   time.Minute,
		BudgetWindow:  10 * time.Second,
		BudgetRatio:   0.2,
		BudgetSlack:   40,
	}
}

// start starts the fixture's host and waits until it is ready.
func (f *fixture) start() {
	f.t.Helper()
	f.startHost(testSettings("host-1"), f.log)
}

// startSecondHost starts another host, which uses the given client of the log and has
// the first host as a peer in its settings.
func (f *fixture) startSecondHost(log *keyedlog.Client) *fixture {
	f.t.Helper()
	second := &fixture{
		t:         f.t,
		log:       f.log,
		spec:      f.spec,
		endpoints: f.endpoints,
	}
	current := testSettings("host-2")
	current.Peers = []string{f.gateway.PeerAddress()}
	second.startHost(current, log)
	return second
}

// hostLog is what a host requires of the log.
type hostLog interface {
	logapi.Log
	gateway.Roster
}

// isReady reports whether the host says that it is ready.
func (f *fixture) isReady() bool {
	f.t.Helper()
	response, err := http.Get("http://" + f.gateway.ReadyAddress() + "/ready")
	if err != nil {
		f.t.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startHost starts a host with the given settings and log, and waits until it is
// ready.
func (f *fixture) startHost(current settings.Gateway, log hostLog) {
	f.t.Helper()
	f.logLines = &logBuffer{}
	dependencies := gateway.Dependencies{
		Settings: current,
		Log:      log,
		Roster:   log,
		Topics: gateway.Topics{
			Configuration:    configurationTopic,
			ConfigurationKey: configurationKey,
			Endpoints:        endpointTopic,
		},
		Decoder:      jsonDecoder{decoded: &f.decoded},
		Dialect:      opaque.NewHeaderDialect(opaque.DefaultHeaderNames()),
		Output:       f.logLines,
		LoadSettings: func() (settings.Gateway, error) { return current, nil },
	}
	if f.control != nil {
		dependencies.Control = f.control
	}
	if f.datagrams != nil {
		dependencies.ListenPeers = f.datagrams.listen
	}
	if f.link != nil {
		dependencies.DialEndpoint = f.link.dial
	}
	g, err := gateway.New(dependencies)
	if err != nil {
		f.t.Fatal(err)
	}
	f.gateway = g
	if f.wrapListener != nil {
		g.WrapCallerListener(f.wrapListener)
	}
	if f.wrapPeerListener != nil {
		g.WrapPeerListener(f.wrapPeerListener)
	}
	if f.peerConns != nil {
		g.WrapPeerListener(f.peerConns.listen)
	}
	if f.callerWriteTimeout > 0 {
		g.SetCallerWriteTimeout(f.callerWriteTimeout)
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	f.done = make(chan error, 1)
	killed, kill := context.WithCancel(context.Background())
	f.kill = func() {
		kill()
		cancel()
	}
	go func() { f.done <- g.Run(ctx, killed) }()
	f.t.Cleanup(f.stopAndWait)
	readyCtx, cancelWait := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancelWait()
	if err := g.AwaitReady(readyCtx); err != nil {
		f.t.Fatal(err)
	}
}

// stopAndWait stops the host and waits until it has ended. It may be called more
// than once.
func (f *fixture) stopAndWait() {
	f.stop()
	defer f.kill()
	if f.done == nil {
		return
	}
	if err := <-f.done; err != nil {
		f.t.Error(err)
	}
	f.done = nil
}

// setBehaviour sets how all endpoints answer.
func (f *fixture) setBehaviour(choose func(*http.Request) standin.Behaviour) {
	for _, endpoint := range f.endpoints {
		endpoint.SetBehaviour(choose)
	}
}

// firstThen returns the given behaviour for the first call, and a complete answer
// for all later calls.
func firstThen(first standin.Behaviour) func(*http.Request) standin.Behaviour {
	var mu sync.Mutex
	calls := 0
	return func(*http.Request) standin.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		calls++
		if calls == 1 {
			return first
		}
		return standin.CompleteAnswer{}
	}
}

// runs returns the calls that ran, of all endpoints.
func (f *fixture) runs() []standin.Run {
	var runs []standin.Run
	for _, endpoint := range f.endpoints {
		runs = append(runs, endpoint.Runs()...)
	}
	return runs
}

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// broken reports whether the answer is incomplete.
	broken bool
	// closesConnection reports whether the connection accepts no further request.
	closesConnection bool
}

// requestCounter counts requests by their path. It is safe for concurrent use.
type requestCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// nextID returns the ID of the next request to a path, which no other request has.
func (c *requestCounter) nextID(path string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = make(map[string]int)
	}
	c.counts[path]++
	id := "request-" + strings.ReplaceAll(path, "/", "-")
	if c.counts[path] > 1 {
		id += fmt.Sprintf("-%d", c.counts[path])
	}
	return id
}

// request returns a caller's request. Paths that end in "stream" get the headers of
// a call to an engine.
func (f *fixture) request(method, path string, body []byte) *http.Request {
	f.t.Helper()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequest(method, "http://"+f.gateway.CallerAddress()+path, reader)
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = "firm.example"
	request.Header.Set("X-Request-Id", f.requests.nextID(path))
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("Cactuswell-Time-Left-Ms", "4000")
	if strings.HasSuffix(path, "stream") {
		request.Header.Set("Cactuswell-Tokens", "100,50")
		request.Header.Set("Cactuswell-Prompt", "a:60,b:40")
	}
	return request
}

// do sends a request and reads the answer.
func (f *fixture) do(request *http.Request) reply {
	f.t.Helper()
	client := &http.Client{
		Transport: &http.Transport{DisableCompression: true},
		Timeout:   10 * time.Second,
	}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{
		status:           response.StatusCode,
		header:           response.Header,
		body:             string(body),
		closesConnection: response.Close,
		broken:           err != nil,
	}
}

func (f *fixture) get(path string) reply { return f.do(f.request(http.MethodGet, path, nil)) }

func (f *fixture) post(path string, body string) reply {
	return f.do(f.request(http.MethodPost, path, []byte(body)))
}

// dialAndSend sends text over a new connection and returns the connection.
func (f *fixture) dialAndSend(text string) (net.Conn, *bufio.Reader) {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.gateway.CallerAddress())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	return conn, bufio.NewReader(conn)
}

// completeStream returns the body of a complete stream.
func completeStream() string {
	var body strings.Builder
	for id := range streamEvents {
		body.WriteString(standin.StreamEvent(id))
	}
	return body.String()
}

// awaitClosedListener waits until a host that shuts down accepts no new connections.
func (f *fixture) awaitClosedListener() {
	f.t.Helper()
	eventually(f.t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", f.gateway.CallerAddress())
		if err != nil {
			return true
		}
		_ = conn.Close()
		return false
	})
}

// metrics returns the host's metrics.
func (f *fixture) metrics() string {
	f.t.Helper()
	response, err := http.Get("http://" + f.gateway.ReadyAddress() + "/metrics")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// dump returns the host's dump and checks that it contains no key.
func (f *fixture) dump() gateway.Dump {
	f.t.Helper()
	response, err := http.Get("http://" + f.gateway.ReadyAddress() + gateway.DumpPath)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	if bytes.Contains(text, []byte("secret")) {
		f.t.Error("the dump contains a key")
	}
	var dump gateway.Dump
	if err := json.Unmarshal(text, &dump); err != nil {
		f.t.Fatal(err)
	}
	return dump
}
