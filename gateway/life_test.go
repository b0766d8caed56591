package gateway_test

import (
	"encoding/json"
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

// eventually waits until a condition holds, and fails the test after 10 s.
func eventually(t testing.TB, description string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", description)
		}
		yield()
	}
}

func TestConfigurationTakesEffect(t *testing.T) {
	f := newFixture(t, 1)
	if got := f.get("/new/x"); got.status != http.StatusNotFound {
		t.Fatalf("status %d before the change", got.status)
	}
	added := f.spec.Routes[0]
	added.Name, added.PathPrefix = "new", "/new/"
	f.spec.Routes = append(f.spec.Routes, added)
	f.spec.Version = 5
	f.publishConfiguration()
	eventually(t, "the new route is served", func() bool { return f.get("/new/x").status == http.StatusOK })
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newFixture(t, 1)
	f.spec.Version = 7
	f.spec.Teams = append(f.spec.Teams, route.Team{Name: "brides", Keys: []string{"second"}})
	f.publishConfiguration()
	isKeyAccepted := func() bool {
		request := f.request(http.MethodGet, "/lookup/x", nil)
		request.Header.Set("Authorization", "Bearer second")
		return f.do(request).status == http.StatusOK
	}
	eventually(t, "the new key is accepted", isKeyAccepted)
	f.spec.Version = 6
	f.spec.Teams = f.spec.Teams[:1]
	f.publishConfiguration()
	f.log.Append(configurationTopic, configurationKey, []byte("no configuration at all"))
	eventually(t, "the unreadable configuration is logged", func() bool {
		return strings.Contains(f.logLines.String(), `"event":"configurationRefused"`)
	})
	if !isKeyAccepted() {
		t.Error("an older configuration took effect")
	}
}

func TestUnreadableEntriesAreIgnored(t *testing.T) {
	f := newFixture(t, 1)
	f.log.Append(endpointTopic, "broken", []byte(`{"Service": 7}`))
	f.log.Append(endpointTopic, "booking-0", []byte(`not an entry`))
	eventually(t, "the unreadable entries are logged", func() bool {
		return strings.Count(f.logLines.String(), `"event":"entryUnreadable"`) == 2
	})
	if got := f.get("/lookup/x"); got.status != http.StatusOK {
		t.Errorf("status %d: the last valid entry is not in use", got.status)
	}
	if !strings.Contains(f.metrics(), "\ncactuswell_entries_unreadable_total 2\n") {
		t.Error("the unreadable entries are not counted")
	}
	f.publishEndpoint("booking-0", service, f.endpoints[0].Address(), false)
	f.log.Append(endpointTopic, "booking-0", []byte(`not an entry again`))
	eventually(t, "an entry that becomes unreadable again is logged again", func() bool {
		return strings.Count(f.logLines.String(), `"event":"entryUnreadable"`) == 3
	})
}

func TestLeavingEndpointReceivesNoCalls(t *testing.T) {
	f := newFixture(t, 2)
	f.publishEndpoint("booking-0", service, f.endpoints[0].Address(), true)
	eventually(t, "the endpoint's leaving is logged", func() bool {
		return strings.Contains(f.logLines.String(), `"event":"endpointLeaving"`)
	})
	for range 6 {
		f.get("/lookup/x")
	}
	if runs := f.endpoints[0].Runs(); len(runs) != 0 {
		t.Errorf("%d calls reached the leaving endpoint", len(runs))
	}
}

// TestServesDuringLogOutage checks that a host keeps using the last known
// configuration and endpoints while the log is down.
func TestServesDuringLogOutage(t *testing.T) {
	f := newFixture(t, 1)
	f.log.SetDown(true)
	eventually(t, "the outage is logged", func() bool {
		return strings.Contains(f.logLines.String(), `"event":"storeLost"`)
	})
	if got := f.get("/lookup/x"); got.status != http.StatusOK {
		t.Errorf("status %d during the outage", got.status)
	}
	f.log.SetDown(false)
	eventually(t, "the recovery is logged", func() bool {
		return strings.Contains(f.logLines.String(), `"event":"storeBack"`)
	})
}

func TestReadiness(t *testing.T) {
	f := newFixture(t, 1)
	readyStatus := func() int {
		response, err := http.Get("http://" + f.gateway.ReadyAddress() + "/ready")
		if err != nil {
			return 0
		}
		defer func() { _ = response.Body.Close() }()
		return response.StatusCode
	}
	if status := readyStatus(); status != http.StatusOK {
		t.Errorf("status %d while serving", status)
	}
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	go f.post("/hold/x", "x")
	eventually(t, "a call is open", func() bool { return len(f.runs()) == 1 })
	f.stop()
	eventually(t, "the host is no longer ready", func() bool { return readyStatus() == http.StatusServiceUnavailable })
}

func TestMetrics(t *testing.T) {
	f := newFixture(t, 1)
	f.get("/lookup/x")
	text := f.metrics()
	for _, line := range []string{
		`cactuswell_calls_total{kind="safe",priority="0",result="served",reason=""} 1`,
		`cactuswell_configuration_version 1`,
		`cactuswell_endpoints 2`,
		"\ncactuswell_peer_datagrams_total ",
		"\ncactuswell_peer_bytes_total ",
		"\ncactuswell_relay ",
		`cactuswell_call_seconds{kind="safe",priority="0",quantile="0.5"}`,
	} {
		if !strings.Contains(text, line) {
			t.Errorf("no line %s in\n%s", line, text)
		}
	}
}

// TestDump checks that a dump contains the host's state.
func TestDump(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	go f.post("/hold/x", "x")
	eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
	dump := f.dump()
	if dump.Host != "host-1" || !dump.Ready || dump.Version != 1 || dump.OpenCalls != 1 || len(dump.Services) != 2 {
		t.Errorf("unexpected dump %+v", dump)
	}
	if booking := dump.Services[0]; booking.Name != service || booking.OpenCalls != 1 || booking.Endpoints[0].OwnCalls != 1 {
		t.Errorf("unexpected service in the dump: %+v", booking)
	}
}

// TestConfigurationIsRelayedBetweenHosts checks that a host whose requests the log
// refuses receives a configuration change from another host.
func TestConfigurationIsRelayedBetweenHosts(t *testing.T) {
	f := newFixture(t, 1)
	secondCaller := f.log.NewClient()
	second := f.startSecondHost(secondCaller)
	secondCaller.SetFault(keyedlog.Refusal{})
	added := f.spec.Routes[0]
	added.Name, added.PathPrefix = "new", "/new/"
	f.spec.Routes = append(f.spec.Routes, added)
	f.spec.Version = 5
	f.publishConfiguration()
	eventually(t, "the host that the log refuses serves the new route", func() bool {
		request := f.request(http.MethodGet, "/new/x", nil)
		request.URL.Host = second.gateway.CallerAddress()
		return f.do(request).status == http.StatusOK
	})
}

// TestHostJoinsRosterDespiteFailedWrites covers a store that executes a write but
// does not answer, or executes it late: the host retries, and the other host still
// counts it once.
func TestHostJoinsRosterDespiteFailedWrites(t *testing.T) {
	for name, fault := range map[string]keyedlog.Fault{
		"lostAnswer": keyedlog.LostAnswer{},
		"lateWrite":  keyedlog.LateWrite{Delay: 50 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			store := f.log.NewClient()
			store.SetFault(fault)
			second := f.startSecondHost(store)
			eventually(t, "the failed write is logged", func() bool {
				return strings.Contains(second.logLines.String(), `"event":"rosterFailed"`)
			})
			store.SetFault(nil)
			eventually(t, "the host has joined the roster", func() bool {
				return strings.Contains(second.logLines.String(), `"event":"rosterRead"`)
			})
			eventually(t, "the first host counts two hosts", func() bool {
				return strings.Contains(f.logLines.String(), `"event":"budgetShared","host":"host-1","hosts":2`)
			})
		})
	}
}

// TestRosterOfSeveralPages guards against a host that knows only the hosts of the roster's
// first page, which holds 500 on the platform.
func TestRosterOfSeveralPages(t *testing.T) {
	f := newFixture(t, 1)
	f.log.SetPageSize(1)
	second := f.startSecondHost(f.log.NewClient())
	eventually(t, "the second host has read the roster", func() bool {
		return strings.Contains(second.logLines.String(), `"event":"rosterRead"`)
	})
	if lines := second.logLines.String(); !strings.Contains(lines, `"event":"rosterRead","host":"host-2","hosts":2`) {
		t.Errorf("lines: %s", lines)
	}
}

// TestRewindKeepsFleet plays a store that comes back without what hosts wrote lately: the
// hosts say so, write their entries in the roster again, and keep the configuration and
// the endpoints in use. A host that starts then takes the configuration from them.
func TestRewindKeepsFleet(t *testing.T) {
	f := newFixture(t, 1)
	second := f.startSecondHost(f.log.NewClient())
	for topic, lost := range map[string]int{configurationTopic: 1, endpointTopic: 1, "keyed.cactuswellHosts": 2} {
		f.log.Rewind(topic, lost)
	}
	for _, host := range []*fixture{f, second} {
		eventually(t, "the rewind is logged", func() bool {
			return strings.Contains(host.logLines.String(), `"event":"storeRewound"`)
		})
		if got := host.get("/lookup/x"); got.status != http.StatusOK {
			t.Errorf("status %d after the rewind", got.status)
		}
	}
	eventually(t, "both entries are in the roster again", func() bool {
		listing, err := f.log.ListNewest(t.Context(), "keyed.cactuswellHosts", "")
		return err == nil && len(listing.Records) == 2
	})
	late := &fixture{
		t:         t,
		log:       f.log,
		spec:      f.spec,
		endpoints: f.endpoints,
	}
	// The configuration is missing in the store, so the host is ready only with that of
	// the others.
	current := testSettings("host-3")
	current.Peers = []string{f.gateway.PeerAddress()}
	late.startHost(current, f.log.NewClient())
}

// TestLinesAreJSON checks that each log line is valid JSON without a key, and that
// the lines record all steps of a call.
func TestLinesAreJSON(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(firstThen(standin.ErrorStatus{Status: 500}))
	f.get("/lookup/x")
	f.stopAndWait()
	var events []string
	for _, line := range strings.Split(strings.TrimSpace(f.logLines.String()), "\n") {
		var decoded map[string]any
		if err := json.Unmarshal([]byte(line), &decoded); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		if decoded["request"] == "request--lookup-x" {
			events = append(events, decoded["event"].(string))
		}
		if strings.Contains(line, "secret") {
			t.Errorf("a key is in line %s", line)
		}
	}
	want := "callTaken callSent attemptEnded callSent callEnded"
	if got := strings.Join(events, " "); got != want {
		t.Errorf("the events of the call are %s, want %s", got, want)
	}
}

// TestLinesAndDumpExplainFailure checks that the host's log lines and its dump
// explain calls whose endpoints cut their answers, and show the endpoint that was
// ejected for it.
func TestLinesAndDumpExplainFailure(t *testing.T) {
	f := newFixture(t, 2)
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.TruncatedAnswer{} })
	isEjected := func(endpoint scheduling.EndpointSnapshot) bool { return endpoint.EjectedForMs > 0 }
	var endpoints []scheduling.EndpointSnapshot
	// An earlier call may have been at the other endpoint, whose report does not name this one.
	lastID := ""
	eventually(t, "an endpoint is ejected", func() bool {
		request := f.request(http.MethodPost, "/hold/x", []byte("x"))
		lastID = request.Header.Get("X-Request-Id")
		f.do(request)
		endpoints = f.dump().Services[0].Endpoints
		return slices.ContainsFunc(endpoints, isEjected)
	})
	id := endpoints[slices.IndexFunc(endpoints, isEjected)].ID
	f.stopAndWait()
	holdIncident := incident.New(lastID)
	for _, line := range strings.Split(f.logLines.String(), "\n") {
		holdIncident.Add([]byte(line))
	}
	report, err := holdIncident.Report()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(report.Cause, "failed, and may have run: ") || !strings.Contains(report.Cause, "ended as Broken") {
		t.Errorf("the cause is %q", report.Cause)
	}
	if !slices.ContainsFunc(report.Lines, func(line incident.Line) bool {
		return line.Event == "endpointEjected" && line.Endpoint == id
	}) {
		t.Errorf("no line reports that %s was ejected, as the dump does:\n%s", id, report.String())
	}
}
