package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"cactuswell/core/directory"
	"cactuswell/gateway"
	product "cactuswell/io/keyedlog"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// releaseFleet is hosts before engines of which a release replaces some: the base version is that
// without a name.
type releaseFleet struct {
	*versionFleet
	hosts   []*fixture
	clients []*keyedlog.Client
}

// newReleaseFleet starts hosts, and begins the release once they know the base version.
func newReleaseFleet(t *testing.T, hosts int) *releaseFleet {
	t.Helper()
	f := &releaseFleet{versionFleet: &versionFleet{
		fixture: &fixture{
			t:    t,
			log:  keyedlog.New(),
			spec: testSpec(),
		},
		versions: make(map[string]string),
	}}
	f.publishConfiguration()
	for i := range 8 {
		f.addEndpoint(service, i)
		f.addEndpoint(models, i)
	}
	for range hosts {
		f.addHost()
	}
	f.awaitBase()
	for i := 5; i < len(f.endpoints); i += 2 {
		f.publishVersion(i, false)
	}
	for _, host := range f.hosts {
		f.awaitVersions(host)
	}
	return f
}

// addHost starts a host with a client of the log of its own.
func (f *releaseFleet) addHost() *fixture {
	f.t.Helper()
	return f.addHostBehind(f.log.NewClient())
}

// addHostBehind starts a host with a client of the log.
func (f *releaseFleet) addHostBehind(client *keyedlog.Client) *fixture {
	f.t.Helper()
	host := f.fixture
	if len(f.hosts) > 0 {
		host = &fixture{
			t:         f.t,
			log:       f.log,
			spec:      f.spec,
			endpoints: f.endpoints,
		}
	}
	host.startHost(testSettings(fmt.Sprintf("host-%d", len(f.hosts)+1)), client)
	f.hosts = append(f.hosts, host)
	f.clients = append(f.clients, client)
	return host
}

// awaitBase waits until the store has a base version, and all hosts can know it.
func (f *releaseFleet) awaitBase() {
	f.t.Helper()
	eventually(f.t, "the base version is recorded", func() bool {
		page, err := f.log.ListNewest(f.t.Context(), gateway.StreamTopic, "")
		return err == nil && len(page.Records) > 0
	})
	for _, host := range f.hosts {
		eventually(f.t, "a host knows the base version", func() bool {
			return strings.Contains(host.metrics(), "cactuswell_stream_bases 1\n")
		})
	}
}

// streamRequest is a call for a resumable stream.
func (f *releaseFleet) streamRequest(host *fixture, id, resumes string) *http.Request {
	request := host.request(http.MethodPost, "/summary/stream", []byte("x"))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Cactuswell-Prompt", id+":60,b:40")
	if resumes != "" {
		request.Header.Set("Cactuswell-Resumes", resumes)
		request.Header.Set("Last-Event-Id", "0")
	}
	return request
}

// begin begins streams at a host, and returns the IDs of those that were delivered, with whether
// they began at the new version.
func (f *releaseFleet) begin(host *fixture, prefix string, count int) map[string]bool {
	f.t.Helper()
	begun := make(map[string]bool)
	for i := range count {
		id := fmt.Sprintf("%s-%d", prefix, i)
		if got := host.do(f.streamRequest(host, id, "")); got.status == http.StatusOK {
			begun[id] = f.lastRanAtNew(id)
		}
	}
	return begun
}

// lastRanAtNew reports whether the last engine that ran a call has the new version.
func (f *releaseFleet) lastRanAtNew(id string) bool {
	isNew := false
	for i, endpoint := range f.endpoints {
		for _, run := range endpoint.Runs() {
			isNew = isNew || run.ID == id && !isOld(i)
		}
	}
	return isNew
}

// resumeAll takes streams up at a host, and returns how many went on. It fails if one goes on at
// another version.
func (f *releaseFleet) resumeAll(host *fixture, begun map[string]bool) (served int) {
	f.t.Helper()
	for began, isNew := range begun {
		id := "resumed-" + began
		got := host.do(f.streamRequest(host, id, began))
		if got.status == http.StatusOK {
			served++
			if f.lastRanAtNew(id) != isNew {
				f.t.Errorf("%s began at the new version: %v; it goes on at the other one", began, isNew)
			}
			continue
		}
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
			f.t.Errorf("%s is taken up with status %d, Retry-After %q", began, got.status, got.header.Get("Retry-After"))
		}
	}
	return served
}

// TestStreamWithoutRecordDoesNotGoOnAtBase guards against streams that begin at a version that the
// store does not record, and go on at the base version at another host.
func TestStreamWithoutRecordDoesNotGoOnAtBase(t *testing.T) {
	tests := []struct {
		name string
		// cut keeps the first host from the store, and heal ends that.
		cut, heal func(f *releaseFleet)
	}{
		{
			name: "store silent and host killed",
			cut:  func(f *releaseFleet) { f.log.SetUnresponsive(true) },
			heal: func(f *releaseFleet) {
				f.stopAndWait()
				f.log.SetUnresponsive(false)
			},
		},
		{
			name: "store down and host killed",
			cut:  func(f *releaseFleet) { f.log.SetDown(true) },
			heal: func(f *releaseFleet) {
				f.stopAndWait()
				f.log.SetDown(false)
			},
		},
		{
			name: "host cut off from the store",
			cut:  func(f *releaseFleet) { f.clients[0].SetFault(keyedlog.Hang{}) },
			heal: func(*releaseFleet) {},
		},
		{
			name: "writes of the host are done late",
			cut:  func(f *releaseFleet) { f.clients[0].SetFault(keyedlog.LateWrite{Delay: 1 << 40}) },
			heal: func(*releaseFleet) {},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newReleaseFleet(t, 3)
			test.cut(f)
			begun := f.begin(f.fixture, "stream", 24)
			if len(begun) < 20 {
				t.Errorf("%d of 24 streams were delivered", len(begun))
			}
			test.heal(f)
			for _, host := range f.hosts[1:] {
				if served := f.resumeAll(host, begun); served < len(begun) {
					t.Errorf("%d of %d streams went on", served, len(begun))
				}
			}
		})
	}
}

// TestStreamWithLostRecordDoesNotGoOnAtBase guards against streams that go on at the base version
// because the store has come back from a copy without their record, and their host is gone.
func TestStreamWithLostRecordDoesNotGoOnAtBase(t *testing.T) {
	for _, isNew := range []bool{false, true} {
		t.Run(fmt.Sprintf("host just started: %v", isNew), func(t *testing.T) {
			f := newReleaseFleet(t, 2)
			begun := f.begin(f.fixture, "stream", 24)
			f.stopAndWait()
			f.log.RewindTopics(map[string]int{
				gateway.StreamTopic: f.streamRecordCount(),
				endpointTopic:       0,
			})
			finder := f.hosts[1]
			if isNew {
				finder = f.addHost()
				f.awaitVersions(finder)
			}
			f.resumeAll(finder, begun)
		})
	}
}

// TestOddKeysDoNotHideLossOfRecords guards against a host that is started and takes missing records for knowledge, because other keys fill the page before the record of the store's loss.
func TestOddKeysDoNotHideLossOfRecords(t *testing.T) {
	f := newReleaseFleet(t, 2)
	for i := range 600 {
		f.log.Append(gateway.StreamTopic, fmt.Sprintf("c%03d", i), []byte("="))
	}
	begun := f.begin(f.fixture, "stream", 24)
	f.stopAndWait()
	f.log.RewindTopics(map[string]int{
		gateway.StreamTopic: f.streamRecordCount(),
		endpointTopic:       0,
	})
	f.hosts[1].awaitLine(`"event":"storeRewound"`)
	eventually(t, "the loss is recorded", func() bool {
		page, err := f.log.ListNewest(t.Context(), gateway.StreamTopic, "base")
		return err == nil && len(page.Records) > 0 && page.Records[0].Key == "base.era" && !strings.HasSuffix(string(page.Records[0].Value), " 0")
	})
	f.hosts[1].stopAndWait()
	finder := f.addHost()
	f.awaitVersions(finder)
	f.resumeAll(finder, begun)
}

func (f *releaseFleet) streamRecordCount() int {
	f.t.Helper()
	page, err := f.log.ListNewest(f.t.Context(), gateway.StreamTopic, "stream/")
	if err != nil || len(page.Records) == 0 {
		f.t.Fatalf("%d streams are recorded, %v", len(page.Records), err)
	}
	return len(page.Records)
}

// TestStaleReadOfRecordsIsNotBelieved guards against streams that go on at the base version
// because the store shows its records as they were before.
func TestStaleReadOfRecordsIsNotBelieved(t *testing.T) {
	f := newReleaseFleet(t, 2)
	begun := f.begin(f.fixture, "stream", 24)
	finder := f.hosts[1]
	if served := f.resumeAll(finder, begun); served != len(begun) {
		t.Errorf("%d of %d streams went on", served, len(begun))
	}
	f.clients[1].SetFault(keyedlog.StaleListing{Missing: f.streamRecordCount()})
	for id, isNew := range begun {
		got := finder.do(f.streamRequest(finder, "stale-"+id, id))
		if got.status == http.StatusOK && f.lastRanAtNew("stale-"+id) != isNew {
			t.Errorf("%s goes on at another version", id)
		}
	}
}

// TestStreamsBeginWithoutBaseEndpoints guards against an outage of the store in which no stream
// begins, as the base version has no endpoint left.
func TestStreamsBeginWithoutBaseEndpoints(t *testing.T) {
	f := newReleaseFleet(t, 1)
	f.publishVersion(1, true)
	f.publishVersion(3, true)
	f.awaitLine(`"event":"endpointLeaving"`, `"endpoint":"`+models+`-1"`)
	f.log.SetUnresponsive(true)
	if begun := f.begin(f.fixture, "stream", 8); len(begun) < 8 {
		t.Errorf("%d of 8 streams were delivered", len(begun))
	}
}

// TestRetryAtBaseReplacesRecord guards against a stream that is taken for one of the version that
// failed it before its first event.
func TestRetryAtBaseReplacesRecord(t *testing.T) {
	f := newReleaseFleet(t, 2)
	for i := 5; i < len(f.endpoints); i += 2 {
		f.endpoints[i].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.ClosedConnection{} })
	}
	begun := make(map[string]bool)
	for i := range 24 {
		id := fmt.Sprint("stream-", i)
		if got := f.do(f.streamRequest(f.fixture, id, "")); got.status == http.StatusOK {
			begun[id] = false
		}
	}
	if len(begun) < 12 {
		t.Errorf("%d of 24 streams were delivered", len(begun))
	}
	for i := 5; i < len(f.endpoints); i += 2 {
		f.endpoints[i].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
	}
	if served := f.resumeAll(f.hosts[1], begun); served != len(begun) {
		t.Errorf("%d of %d streams went on", served, len(begun))
	}
}

// TestStartedHostWithoutStoreBeginsAtBase guards against streams that a host begins at any version
// as the store, which turns it away, does not tell it the base version.
func TestStartedHostWithoutStoreBeginsAtBase(t *testing.T) {
	f := newReleaseFleet(t, 2)
	client := f.log.NewClient()
	client.SetFault(keyedlog.RefusedTopic{Topic: gateway.StreamTopic})
	started := f.addHostBehind(client)
	f.awaitVersions(started)
	eventually(t, "the host knows the base version", func() bool {
		return strings.Contains(started.metrics(), "cactuswell_stream_bases 1\n")
	})
	begun := f.begin(started, "stream", 24)
	if len(begun) < 20 {
		t.Errorf("%d of 24 streams were delivered", len(begun))
	}
	if served := f.resumeAll(f.hosts[1], begun); served != len(begun) {
		t.Errorf("%d of %d streams went on", served, len(begun))
	}
}

// TestHostOfEarlierBaseResumesAtNewOne guards against streams that are refused, as the host that
// gets them has not heard that the base version has changed.
func TestHostOfEarlierBaseResumesAtNewOne(t *testing.T) {
	f := newReleaseFleet(t, 2)
	f.publishVersion(1, true)
	f.publishVersion(3, true)
	for _, host := range f.hosts {
		host.awaitLine(`"event":"endpointLeaving"`, `"endpoint":"`+models+`-1"`)
	}
	f.log.Append(endpointTopic, models+"-0", nil)
	f.log.Append(endpointTopic, models+"-1", nil)
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte("="+newVersion))
	for _, host := range f.hosts {
		host.awaitLine(`"event":"endpointGone"`, `"endpoint":"`+models+`-1"`)
	}
	// Another host has changed the base, and has not recorded the stream.
	if served := f.resumeAll(f.hosts[1], map[string]bool{"unrecorded": true}); served != 1 {
		t.Error("the stream does not go on")
	}
}

// TestRecordOfUnnamedVersionIsFound guards against a stream that began at an endpoint that names no
// version, and is taken for one without a record.
func TestRecordOfUnnamedVersionIsFound(t *testing.T) {
	f := newReleaseFleet(t, 2)
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte("="+newVersion))
	finder := f.addHost()
	f.awaitVersions(finder)
	if served := f.resumeAll(finder, f.beginAtUnnamedVersion()); served == 0 {
		t.Error("no stream goes on")
	}
}

// beginAtUnnamedVersion begins streams at a host that knows the new version as the base.
func (f *releaseFleet) beginAtUnnamedVersion() map[string]bool {
	f.t.Helper()
	begun := f.begin(f.hosts[len(f.hosts)-1], "unnamed", 24)
	for id, isNew := range begun {
		if isNew {
			delete(begun, id)
		}
	}
	return begun
}

// TestLostBaseVersionIsWrittenAgain guards against a host that is started after the store has lost the base version and writes another one while streams at the first are left.
func TestLostBaseVersionIsWrittenAgain(t *testing.T) {
	f := newReleaseFleet(t, 2)
	f.loseStreamTopic()
	eventually(t, "the base version is recorded again", func() bool {
		page, err := f.log.ListNewest(t.Context(), gateway.StreamTopic, "base/")
		return err == nil && slices.ContainsFunc(page.Records, func(r product.Record) bool { return r.Key == "base/"+models })
	})
}

// loseStreamTopic brings the store back from a copy without any record of versions.
func (f *releaseFleet) loseStreamTopic() {
	f.log.RewindTopics(map[string]int{
		gateway.StreamTopic: 1 << 20,
		endpointTopic:       0,
	})
}

// TestStartedHostDoesNotTakeRewoundStoreForWhole guards against a host that is started after a loss of which the store has no record, and takes missing records for knowledge.
func TestStartedHostDoesNotTakeRewoundStoreForWhole(t *testing.T) {
	f := newReleaseFleet(t, 1)
	begun := f.begin(f.fixture, "stream", 24)
	f.stopAndWait()
	f.loseStreamTopic()
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte("="))
	finder := f.addHost()
	f.awaitVersions(finder)
	f.resumeAll(finder, begun)
}

// TestHostOfEarlierBaseDoesNotBeginUnrecordedStreams guards against streams that a host begins without a record as it knows an earlier base version than others: the store turns it away.
func TestHostOfEarlierBaseDoesNotBeginUnrecordedStreams(t *testing.T) {
	for _, version := range []string{"", oldVersion} {
		t.Run(fmt.Sprintf("endpoints of version %q appear", version), func(t *testing.T) {
			testHostOfEarlierBase(t, version)
		})
	}
}

func testHostOfEarlierBase(t *testing.T, version string) {
	f := newReleaseFleet(t, 1)
	f.clients[0].SetFault(keyedlog.RefusedTopic{Topic: gateway.StreamTopic})
	f.log.Append(endpointTopic, models+"-0", nil)
	f.log.Append(endpointTopic, models+"-1", nil)
	f.awaitLine(`"event":"endpointGone"`, `"endpoint":"`+models+`-0"`)
	f.awaitLine(`"event":"endpointGone"`, `"endpoint":"`+models+`-1"`)
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte("="+newVersion))
	finder := f.addHost()
	f.awaitVersions(finder)
	eventually(f.t, "the started host knows the base version", func() bool {
		return strings.Contains(finder.metrics(), "cactuswell_stream_bases 1\n")
	})
	for _, i := range []int{1, 3} {
		f.publishEntry(fmt.Sprintf("%s-%d", models, i/2), directory.Entry{
			Born:    3,
			Service: models,
			Address: f.endpoints[i].Address(),
			Zone:    "z0",
			Version: version,
			Slots:   4,
		})
	}
	for _, host := range f.hosts {
		host.awaitLine(`"event":"endpointAppeared"`, `"endpoint":"`+models+`-1"`, `"born":3`)
	}
	f.resumeAll(finder, f.begin(f.fixture, "stream", 8))
}
