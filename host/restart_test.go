package host

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/sebdah/goldie/v2"
	"go.uber.org/goleak"

	"cactuswell/core/configuration"
	"cactuswell/core/dispatch"
	"cactuswell/core/endpoint"
	"cactuswell/core/profile"
	"cactuswell/io/caller"
	"cactuswell/io/hostlist"
	"cactuswell/settings"
	"cactuswell/standin/engine"
	hostliststandin "cactuswell/standin/hostlist"
	"cactuswell/standin/logservice"
)

// world is one host with one stand-in engine.
type world struct {
	*Host

	t      *testing.T
	client *http.Client
	// ended is closed when Run has returned.
	ended chan struct{}
	// stop asks the host to stop.
	stop context.CancelFunc
	// cut is the number of requests that the stop is expected to cut short.
	cut int64
}

func startWorld(t *testing.T) *world {
	t.Helper()
	return runWorld(t, worldSettings(t, newPlainServer))
}

// newServer makes a server of a test.
type newServer func(t *testing.T, handler http.Handler) *httptest.Server

func newPlainServer(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// worldSettings starts the stand-ins and returns the settings of a host before
// them.
func worldSettings(t *testing.T, serve newServer) settings.Settings {
	t.Helper()
	e := engine.New(engine.Settings{
		Name:          "engine-1",
		Model:         "drafting",
		TokenInterval: 20 * time.Millisecond,
		AnswerTokens:  400,
	})
	engineServer := serve(t, e.Handler())
	list := hostliststandin.New()
	list.Put(hostlist.Entry{
		Name:        "engine-1",
		Incarnation: 1,
		Address:     engineServer.Listener.Addr().String(),
		Zone:        "alm-a",
		Kind:        hostlist.KindEngine,
		Pool:        "drafting",
		State:       hostlist.StateLive,
	})
	listServer := serve(t, list.Handler())
	logServer := serve(t, logservice.New(time.Now, 1).Handler())
	s := settings.Defaults()
	s.Name = "host-1"
	s.Zone = "alm-a"
	s.CallerListen = "127.0.0.1:0"
	s.PeerListen = "127.0.0.1:0"
	s.OperatorListen = "127.0.0.1:0"
	s.LogURL = logServer.URL
	s.HostListURL = listServer.URL
	s.BalancerLag = 0
	return s
}

// runWorld runs a host with the settings.
func runWorld(t *testing.T, s settings.Settings) *world {
	t.Helper()
	return runLoggingWorld(t, s, log.NewNopLogger())
}

func runLoggingWorld(t *testing.T, s settings.Settings, logger log.Logger) *world {
	t.Helper()
	h, err := New(Dependencies{
		Settings: s,
		Logger:   logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		Host:   h,
		t:      t,
		client: &http.Client{Transport: &http.Transport{}},
		ended:  make(chan struct{}),
	}
	ctx, stop := context.WithCancel(context.Background())
	w.stop = stop
	go func() {
		defer close(w.ended)
		w.checkStop(h.Run(ctx, context.Background()))
	}()
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		stop()
		<-w.ended
	})
	return w
}

func (w *world) checkStop(err error) {
	var short *CutShortError
	switch {
	case w.cut == 0 && err != nil:
		w.t.Errorf("stop: %v", err)
	case w.cut > 0 && (!errors.As(err, &short) || short.Requests != w.cut):
		w.t.Errorf("stop: %v, want %d requests cut short", err, w.cut)
	}
}

// TestStopTimeoutEndsAnswers stops a host whose stop may not wait for a stream.
// The stream ends with an explicit problem.
func TestStopTimeoutEndsAnswers(t *testing.T) {
	w := startWorld(t)
	w.publish()
	response := w.ask("400")
	w.cut = 1
	w.settings.StopTimeout = 0
	w.supersede.Do(func() { close(w.superseded) })
	answer := read(t, response)
	if !strings.Contains(answer, `"code":"streamCutShort"`) || !strings.Contains(answer, `"ran":"unknown"`) {
		t.Errorf("stream ended with %s", answer)
	}
	<-w.ended
	if open := w.openCalls(); open != 0 {
		t.Errorf("open calls = %d, want 0", open)
	}
}

// TestSupersededHostStops starts a second process under the name of the first.
func TestSupersededHostStops(t *testing.T) {
	first := startWorld(t)
	first.publish()
	s := first.settings
	s.Peers = []string{first.PeerAddress()}
	second := runWorld(t, s)
	<-first.ended
	if ready, _ := second.Ready(); !ready {
		if err := second.AwaitReady(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func (w *world) publish() {
	w.t.Helper()
	ctx := context.Background()
	spec := profile.Spec{
		Name:       "draft",
		Class:      "draft",
		Kind:       profile.KindModel,
		Pool:       "drafting",
		Tier:       profile.TierInteractive,
		TargetMs:   5000,
		Idempotent: true,
	}
	if err := w.PublishChange(ctx, configuration.ProfileChange{Name: "draft", Spec: &spec, Author: "test"}); err != nil {
		w.t.Fatal(err)
	}
	if err := w.AwaitProfile(ctx, "draft"); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) ask(maxTokens string) *http.Response {
	w.t.Helper()
	body := `{"model":"draft","stream":true,"max_tokens":` + maxTokens + `,"messages":[{"role":"user","content":"hello"}]}`
	response, err := w.client.Post("http://"+w.CallerAddress()+"/v1/chat/completions", "application/json",
		strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	return response
}

func read(t *testing.T, response *http.Response) string {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// TestPoolRestart makes a pool's duty panic while a stream runs through it. The
// stream ends with an explicit problem, and the next request is served.
func TestPoolRestart(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() { goleak.VerifyNone(t, before) })
	w := startWorld(t)
	w.publish()
	response := w.ask("200")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	w.pool("drafting", profile.KindModel).events.TryPush(inspection{
		look: func(*decisions) { panic("provoked") },
		done: make(chan struct{}),
	})
	answer := read(t, response)
	if !strings.Contains(answer, `"code":"hostDutyRestarted"`) || !strings.Contains(answer, `"ran":"unknown"`) {
		t.Errorf("stream ended with %s", answer)
	}
	if answer := read(t, w.ask("2")); !strings.HasSuffix(answer, "data: [DONE]\n\n") {
		t.Errorf("answer after the restart: %s", answer)
	}
	if restarts := w.tree.Restarts()["pool.drafting"]; restarts != 1 {
		t.Errorf("restarts = %d, want 1", restarts)
	}
	if open := w.openCalls(); open != 0 {
		t.Errorf("open calls = %d, want 0", open)
	}
}

// TestDumpShape compares the fields of a dump with the golden file.
func TestDumpShape(t *testing.T) {
	w := startWorld(t)
	w.publish()
	_ = read(t, w.ask("2"))
	data, err := w.dumpJSON(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(data), "hello") {
		t.Error("the dump holds a prompt")
	}
	var document any
	if err := json.Unmarshal(data, &document); err != nil {
		t.Fatal(err)
	}
	paths := make(map[string]struct{})
	collect(paths, "", document)
	lines := make([]string, 0, len(paths))
	for path := range paths {
		lines = append(lines, path)
	}
	sort.Strings(lines)
	goldie.New(t).Assert(t, "dump", []byte(strings.Join(lines, "\n")+"\n"))
}

// varying are objects whose fields depend on the course of the run.
var varying = map[string]bool{
	".counters":               true,
	".restarts":               true,
	".node.membership":        true,
	".configuration.profiles": true,
	".claims.issuer":          true,
}

// collect adds the paths of all fields below value.
func collect(paths map[string]struct{}, path string, value any) {
	if varying[path] {
		return
	}
	switch value := value.(type) {
	case map[string]any:
		for name, field := range value {
			paths[path+"."+name] = struct{}{}
			collect(paths, path+"."+name, field)
		}
	case []any:
		for _, element := range value {
			collect(paths, path+"[]", element)
		}
	}
}

// TestPoolRestartWithFullRing restarts a pool's duty while its ring is full. The
// duty must not wait for room that only it can make.
func TestPoolRestartWithFullRing(t *testing.T) {
	p := newTestPool(t)
	p.rebuilt = func(p *pool) {
		p.relearn(dispatch.EndpointAdded{
			Descriptor: endpoint.Descriptor{
				Key: endpoint.Key{
					Name:        "engine-1",
					Incarnation: 1,
				},
				Address: "127.0.0.1:1",
			},
		})
	}
	for p.events.TryPush(dispatch.Tick{}) {
		continue
	}
	<-p.signal
	p.restarted()
	if len(p.signal) == 0 {
		t.Error("the restarted duty is not woken for the events that wait")
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if err := p.run(ctx); err != nil {
		t.Fatal(err)
	}
	if usable := p.decided.pool.Snapshot().UsableEndpoints; usable != 1 {
		t.Errorf("usable endpoints = %d, want 1", usable)
	}
}

// lateSubmission is for a pool that the host does not have yet.
func lateSubmission(t *testing.T) caller.Submission {
	t.Helper()
	submission := testSubmission(t)
	p, err := profile.New(profile.Spec{
		Name:       "late",
		Class:      "late",
		Kind:       profile.KindModel,
		Pool:       "late",
		Tier:       profile.TierInteractive,
		TargetMs:   5000,
		Idempotent: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	submission.Profile = p
	return submission
}

func (w *world) refusedWith(submission caller.Submission) caller.Code {
	w.t.Helper()
	part, err := w.submit(context.Background(), submission, nil).Next(context.Background())
	if err != nil {
		w.t.Fatal(err)
	}
	problem, ok := part.(caller.ProblemPart)
	if !ok {
		w.t.Fatalf("the answer begins with %+v, want a problem", part)
	}
	return problem.Problem.Code
}

// TestDrainingReachesLatePool hands a call to a new pool of a host that drains.
// Its body may have been read since before.
func TestDrainingReachesLatePool(t *testing.T) {
	w := startWorld(t)
	w.phase.Store(phaseDraining)
	if got := w.refusedWith(lateSubmission(t)); got != caller.Code(dispatch.RefuseHostStopping) {
		t.Errorf("refused with %q, want %q", got, dispatch.RefuseHostStopping)
	}
}

// TestRestartedPoolDrains restarts a pool's duty while the host drains. The duty
// reads the events that make it restart before the call.
func TestRestartedPoolDrains(t *testing.T) {
	w := startWorld(t)
	p := w.pool("drafting", profile.KindModel)
	w.phase.Store(phaseDraining)
	p.events.TryPush(dispatch.DrainStarted{})
	p.events.TryPush(inspection{
		look: func(*decisions) { panic("provoked") },
		done: make(chan struct{}),
	})
	if got := w.refusedWith(testSubmission(t)); got != caller.Code(dispatch.RefuseHostStopping) {
		t.Errorf("refused with %q, want %q", got, dispatch.RefuseHostStopping)
	}
}
