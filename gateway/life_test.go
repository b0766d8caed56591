package gateway_test

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cactuswell/core/incident"
	"cactuswell/core/route"
	"cactuswell/core/scheduling"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// eventually waits until a condition holds, for some seconds at most.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
		yield()
	}
}

func TestConfigurationComesIntoForce(t *testing.T) {
	f := newFixture(t, 1)
	if got := f.get("/new/x"); got.status != http.StatusNotFound {
		t.Fatalf("status %d before the change", got.status)
	}
	added := f.spec.Routes[0]
	added.Name, added.PathPrefix = "new", "/new/"
	f.spec.Routes = append(f.spec.Routes, added)
	f.spec.Version = 5
	f.publish()
	eventually(t, "the new route is served", func() bool { return f.get("/new/x").status == http.StatusOK })
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t, 1)
	f.spec.Version = 7
	f.spec.Teams = append(f.spec.Teams, route.Team{Name: "brides", Keys: []string{"second"}})
	f.publish()
	usable := func() bool {
		request := f.request(http.MethodGet, "/lookup/x", nil)
		request.Header.Set("Authorization", "Bearer second")
		return f.do(request).status == http.StatusOK
	}
	eventually(t, "the new key is known", usable)
	f.spec.Version = 6
	f.spec.Teams = f.spec.Teams[:1]
	f.publish()
	f.log.Append(configurationTopic, configurationKey, []byte("no configuration at all"))
	eventually(t, "the unreadable one is told of", func() bool {
		return strings.Contains(f.lines.String(), `"event":"configurationRefused"`)
	})
	if !usable() {
		t.Error("an older configuration came into force")
	}
}

func TestUnreadableEntriesNameNoEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.log.Append(endpointTopic, "broken", []byte(`{"Service": 7}`))
	f.log.Append(endpointTopic, "booking-0", []byte(`not an entry`))
	eventually(t, "the entries are told of", func() bool {
		return strings.Count(f.lines.String(), `"event":"entryUnreadable"`) == 2
	})
	if got := f.get("/lookup/x"); got.status != http.StatusOK {
		t.Errorf("status %d: what was known is lost", got.status)
	}
}

func TestLeavingEndpointGetsNoMoreCalls(t *testing.T) {
	f := newFixture(t, 2)
	f.enter("booking-0", service, f.endpoints[0].Address(), true)
	eventually(t, "the endpoint is known to leave", func() bool {
		return strings.Contains(f.lines.String(), `"event":"endpointLeaving"`)
	})
	for range 6 {
		f.get("/lookup/x")
	}
	if runs := f.endpoints[0].Runs(); len(runs) != 0 {
		t.Errorf("%d calls reached it", len(runs))
	}
}

// TestServesOnWhileTheLogIsDown checks that what was known stays in use.
func TestServesOnWhileTheLogIsDown(t *testing.T) {
	f := newFixture(t, 1)
	f.log.SetDown(true)
	eventually(t, "the outage is told", func() bool {
		return strings.Contains(f.lines.String(), `"event":"storeLost"`)
	})
	if got := f.get("/lookup/x"); got.status != http.StatusOK {
		t.Errorf("status %d during the outage", got.status)
	}
	f.log.SetDown(false)
	eventually(t, "the return is told", func() bool {
		return strings.Contains(f.lines.String(), `"event":"storeBack"`)
	})
}

func TestReadiness(t *testing.T) {
	f := newFixture(t, 1)
	ask := func() int {
		response, err := http.Get("http://" + f.gateway.ReadyAddress() + "/ready")
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	if status := ask(); status != http.StatusOK {
		t.Errorf("status %d while serving", status)
	}
	f.behave(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	go f.post("/hold/x", "x")
	eventually(t, "a call is open", func() bool { return len(f.runs()) == 1 })
	f.stop()
	eventually(t, "the host is no longer ready", func() bool { return ask() == http.StatusServiceUnavailable })
}

func TestMetrics(t *testing.T) {
	f := newFixture(t, 1)
	f.get("/lookup/x")
	response, err := http.Get("http://" + f.gateway.ReadyAddress() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`cactuswell_calls_total{kind="safe",priority="0",result="served",reason=""} 1`,
		`cactuswell_configuration_version 1`,
		`cactuswell_endpoints 2`,
		`cactuswell_call_seconds{kind="safe",priority="0",quantile="0.5"}`,
	} {
		if !strings.Contains(string(text), line) {
			t.Errorf("no line %s in\n%s", line, text)
		}
	}
}

// TestDump checks that a dump tells what the host believes, and no key.
func TestDump(t *testing.T) {
	f := newFixture(t, 1)
	f.behave(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	go f.post("/hold/x", "x")
	eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
	dump := f.dump()
	if dump.Host != "host-1" || !dump.Ready || dump.Version != 1 || dump.OpenCalls != 1 || len(dump.Services) != 2 {
		t.Errorf("the dump says %+v", dump)
	}
	if booking := dump.Services[0]; booking.Name != service || booking.OpenCalls != 1 || booking.Endpoints[0].OwnCalls != 1 {
		t.Errorf("of the service it says %+v", booking)
	}
}

// TestHostPassesTheConfigurationOn checks that a host which the log turns away
// learns of a change from another.
func TestHostPassesTheConfigurationOn(t *testing.T) {
	f := newFixture(t, 1)
	cut := f.log.NewClient()
	second := f.startSecond(cut)
	cut.SetFault(keyedlog.Refusal{})
	added := f.spec.Routes[0]
	added.Name, added.PathPrefix = "new", "/new/"
	f.spec.Routes = append(f.spec.Routes, added)
	f.spec.Version = 5
	f.publish()
	eventually(t, "the host that is turned away serves the new route", func() bool {
		request := f.request(http.MethodGet, "/new/x", nil)
		request.URL.Host = second.gateway.CallerAddress()
		return f.do(request).status == http.StatusOK
	})
}

// TestHostEntersItselfWhileWritesGoWrong covers a store that does what is written and
// does not say so, or does it later: the host tries again, and others find it once.
func TestHostEntersItselfWhileWritesGoWrong(t *testing.T) {
	for name, fault := range map[string]keyedlog.Fault{
		"lostAnswer": keyedlog.LostAnswer{},
		"lateWrite":  keyedlog.LateWrite{Delay: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			store := f.log.NewClient()
			store.SetFault(fault)
			second := f.startSecond(store)
			eventually(t, "the failed write is told", func() bool {
				return strings.Contains(second.lines.String(), `"event":"rosterFailed"`)
			})
			store.SetFault(nil)
			eventually(t, "the host is entered", func() bool {
				return strings.Contains(second.lines.String(), `"event":"rosterRead"`)
			})
			eventually(t, "the hosts know each other", func() bool {
				return strings.Contains(f.lines.String(), `"event":"budgetShared","host":"host-1","hosts":2`)
			})
		})
	}
}

// TestLinesAreJSON checks that each line of the log can be read, and that the way
// of a call is told.
func TestLinesAreJSON(t *testing.T) {
	f := newFixture(t, 2)
	f.behave(firstThen(standin.ErrorStatus{Status: 500}))
	f.get("/lookup/x")
	f.end()
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(f.lines.String()), "\n") {
		var decoded map[string]any
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if decoded["request"] == "request--lookup-x" {
			events = append(events, decoded["event"].(string))
		}
		if strings.Contains(line, "secret") {
			t.Errorf("a key is in %s", line)
		}
	}
	want := "callTaken callSent attemptEnded callSent callEnded"
	if got := strings.Join(events, " "); got != want {
		t.Errorf("the call is told by %s, want %s", got, want)
	}
}

// TestLinesAndDumpExplainAFailure follows calls whose endpoint broke off, and the
// endpoint that was ejected for it, through the host's lines and its dump.
func TestLinesAndDumpExplainAFailure(t *testing.T) {
	f := newFixture(t, 2)
	f.behave(func(*http.Request) standin.Behaviour { return standin.TruncatedAnswer{} })
	ejected := func(endpoint scheduling.EndpointSnapshot) bool { return endpoint.EjectedForMs > 0 }
	var out []scheduling.EndpointSnapshot
	eventually(t, "an endpoint is ejected", func() bool {
		f.post("/hold/x", "x")
		out = f.dump().Services[0].Endpoints
		return slices.ContainsFunc(out, ejected)
	})
	id := out[slices.IndexFunc(out, ejected)].ID
	f.end()
	found := incident.New("request--hold-x")
	for _, line := range strings.Split(f.lines.String(), "\n") {
		found.Add([]byte(line))
	}
	report, err := found.Report()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(report.Cause, "failed, and may have run: ") || !strings.Contains(report.Cause, "ended as Broken") {
		t.Errorf("the cause is %q", report.Cause)
	}
	if !slices.ContainsFunc(report.Lines, func(line incident.Line) bool {
		return line.Event == "endpointEjected" && line.Endpoint == id
	}) {
		t.Errorf("no line tells that %s is ejected, which the dump says:\n%s", id, report.String())
	}
}
