package host

import (
	"context"
	"encoding/json"
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
	"cactuswell/core/profile"
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
}

func startWorld(t *testing.T) *world {
	t.Helper()
	e := engine.New(engine.Settings{
		Name:          "engine-1",
		Model:         "drafting",
		TokenInterval: 20 * time.Millisecond,
		AnswerTokens:  400,
	})
	engineServer := httptest.NewServer(e.Handler())
	t.Cleanup(engineServer.Close)
	list := hostliststandin.New()
	list.Put(hostlist.Entry{
		Name:        "engine-1",
		Incarnation: 1,
		Address:     strings.TrimPrefix(engineServer.URL, "http://"),
		Zone:        "alm-a",
		Kind:        hostlist.KindEngine,
		Pool:        "drafting",
		State:       hostlist.StateLive,
	})
	listServer := httptest.NewServer(list.Handler())
	t.Cleanup(listServer.Close)
	logServer := httptest.NewServer(logservice.New(time.Now, 1).Handler())
	t.Cleanup(logServer.Close)
	s := settings.Defaults()
	s.Name = "host-1"
	s.Zone = "alm-a"
	s.CallerListen = "127.0.0.1:0"
	s.PeerListen = "127.0.0.1:0"
	s.OperatorListen = "127.0.0.1:0"
	s.LogURL = logServer.URL
	s.HostListURL = listServer.URL
	s.BalancerLag = 0
	h, err := New(Dependencies{
		Settings: s,
		Logger:   log.NewNopLogger(),
	})
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		Host:   h,
		t:      t,
		client: &http.Client{Transport: &http.Transport{}},
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx, context.Background()) }()
	t.Cleanup(func() {
		w.client.CloseIdleConnections()
		stop()
		if err := <-done; err != nil {
			t.Errorf("stop: %v", err)
		}
	})
	w.publish()
	return w
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
	response := w.ask("200")
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d", response.StatusCode)
	}
	w.pool("drafting").events.TryPush(inspection{
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
