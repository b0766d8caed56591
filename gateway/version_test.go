package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactuswell/core/directory"
	"cactuswell/gateway"
	"cactuswell/standin/keyedlog"
)

const oldVersion, newVersion = "v1", "v2"

// versionFleet is hosts before engines of two software versions, of which two have the old one.
type versionFleet struct {
	*fixture
	versions map[string]string
}

func newVersionFleet(t *testing.T) *versionFleet {
	t.Helper()
	f := &versionFleet{
		fixture:  newFixture(t, 8),
		versions: make(map[string]string),
	}
	for i := 1; i < len(f.endpoints); i += 2 {
		f.publishVersion(i, false)
	}
	f.awaitVersions(f.fixture)
	return f
}

// awaitVersions waits until a host knows the versions of all engines, and lets streams begin at
// them.
func (f *versionFleet) awaitVersions(host *fixture) {
	f.t.Helper()
	host.awaitLine(`"event":"endpointAppeared"`, `"version":"`+newVersion+`"`, `"endpoint":"`+models+`-7"`)
	eventually(f.t, "the versions are settled", func() bool {
		for _, known := range host.dump().Services {
			if known.Name == models {
				return len(known.UnsettledVersions) == 0
			}
		}
		return false
	})
}

// isOld reports whether the engine with an index has the old version. Engines have odd
// indexes.
func isOld(i int) bool { return i < 4 }

// publishVersion appends an engine's entry with its software version to the log.
func (f *versionFleet) publishVersion(i int, leaving bool) {
	id := fmt.Sprintf("%s-%d", models, i/2)
	f.versions[id] = newVersion
	if isOld(i) {
		f.versions[id] = oldVersion
	}
	f.publishEntry(id, directory.Entry{
		Born:    2,
		Service: models,
		Address: f.endpoints[i].Address(),
		Zone:    "z0",
		Version: f.versions[id],
		Slots:   4,
		Leaving: leaving,
	})
}

// send sends a call for a resumable stream and returns the index of the engine that ran it.
func (f *versionFleet) send(host *fixture, id, resumes string) int {
	f.t.Helper()
	request := host.request(http.MethodPost, "/summary/stream", []byte("x"))
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Cactuswell-Prompt", id+":60,b:40")
	if resumes != "" {
		request.Header.Set("Cactuswell-Resumes", resumes)
		request.Header.Set("Last-Event-Id", "0")
	}
	host.do(request)
	for i, endpoint := range f.endpoints {
		for _, run := range endpoint.Runs() {
			if run.ID == id {
				return i
			}
		}
	}
	f.t.Fatalf("%s reached no endpoint", id)
	return 0
}

// beginAtOldVersion sends calls until one begins at the old version, and returns its ID and the
// index of its engine.
func (f *versionFleet) beginAtOldVersion() (id string, endpoint int) {
	f.t.Helper()
	eventually(f.t, "a stream begins at the old version", func() bool {
		id += "1"
		endpoint = f.send(f.fixture, id, "")
		return isOld(endpoint)
	})
	return id, endpoint
}

// TestCallerResumesAtVersionOfStream guards against streams that a caller takes up again at
// another host, which sends them to an endpoint of another software version.
func TestCallerResumesAtVersionOfStream(t *testing.T) {
	f := newVersionFleet(t)
	second := f.startSecondHost(f.log.NewClient())
	began, endpoint := f.beginAtOldVersion()
	f.publishVersion(endpoint, true)
	second.awaitLine(`"event":"endpointLeaving"`)
	if got := f.send(second, "resumed", began); !isOld(got) {
		t.Errorf("a stream that began at %s goes on at %s", oldVersion, newVersion)
	}
}

// TestCallerResumesAtVersionAfterRestartOfAllHosts guards against streams that go on at another
// software version because no host is left that knows at which one they began.
func TestCallerResumesAtVersionAfterRestartOfAllHosts(t *testing.T) {
	f := newVersionFleet(t)
	began, endpoint := f.beginAtOldVersion()
	f.stopAndWait()
	f.publishVersion(endpoint, true)
	restarted := &fixture{
		t:         t,
		log:       f.log,
		spec:      f.spec,
		endpoints: f.endpoints,
	}
	restarted.startHost(testSettings("host-1"), f.log.NewClient())
	f.awaitVersions(restarted)
	if got := f.send(restarted, "resumed", began); !isOld(got) {
		t.Errorf("a stream that began at %s goes on at %s", oldVersion, newVersion)
	}
}

// TestStoreThatLostRecordsGetsThemAgain guards against streams whose records are missing in the
// older copy from which the store has come back.
func TestStoreThatLostRecordsGetsThemAgain(t *testing.T) {
	f := newVersionFleet(t)
	f.beginAtOldVersion()
	count := func() int {
		page, err := f.log.ListNewest(t.Context(), gateway.StreamTopic, "stream/")
		if err != nil {
			t.Fatal(err)
		}
		return len(page.Records)
	}
	before := count()
	if before == 0 {
		t.Fatal("no stream is recorded")
	}
	f.log.RewindTopics(map[string]int{
		gateway.StreamTopic: before,
		endpointTopic:       0,
	})
	if left := count(); left != 0 {
		t.Fatalf("%d records are left", left)
	}
	eventually(t, "all records are back", func() bool { return count() == before })
}

// TestOneVersionNeedsNoRecords guards against a call to the store for each stream while all
// endpoints have the same version.
func TestOneVersionNeedsNoRecords(t *testing.T) {
	f := newFixture(t, 2)
	f.awaitLine(`"event":"baseVersionSet"`, `"service":"`+models+`"`)
	for i := range 5 {
		request := f.request(http.MethodPost, "/summary/stream", []byte("x"))
		request.Header.Set("X-Request-Id", fmt.Sprint("stream-", i))
		if got := f.do(request); got.status != http.StatusOK {
			t.Errorf("status %d", got.status)
		}
	}
	page, err := f.log.ListNewest(t.Context(), gateway.StreamTopic, "stream/")
	if err != nil || len(page.Records) > 0 {
		t.Errorf("%d streams are recorded, %v", len(page.Records), err)
	}
}

// TestStreamOfUnknownVersionIsRefused guards against streams that go on at any version while the
// store does not answer.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	f := newVersionFleet(t)
	client := f.log.NewClient()
	second := f.startSecondHost(client)
	began, _ := f.beginAtOldVersion()
	client.SetFault(keyedlog.Refusal{})
	request := second.request(http.MethodPost, "/summary/stream", []byte("x"))
	request.Header.Set("X-Request-Id", "resumed")
	request.Header.Set("Cactuswell-Resumes", began)
	request.Header.Set("Last-Event-Id", "0")
	got := second.do(request)
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "versionUnknown") || got.header.Get("Retry-After") == "" {
		t.Errorf("got status %d, Retry-After %q, %q", got.status, got.header.Get("Retry-After"), got.body)
	}
	for _, run := range f.runs() {
		if run.ID == "resumed" {
			t.Error("the stream was run")
		}
	}
}

// restartAtNewVersion restarts the host once all engines have the new version, with a record under
// the key of the base version. Streams last longer than the test.
func (f *versionFleet) restartAtNewVersion(base string) *fixture {
	f.t.Helper()
	f.stopAndWait()
	f.spec.Version++
	for i := range f.spec.Routes {
		f.spec.Routes[i].Timeout = time.Minute
	}
	f.publishConfiguration()
	f.log.Append(gateway.StreamTopic, "base/"+models, []byte(base))
	for i := 1; i < len(f.endpoints); i += 2 {
		f.publishEntry(fmt.Sprintf("%s-%d", models, i/2), directory.Entry{
			Born:    3,
			Service: models,
			Address: f.endpoints[i].Address(),
			Zone:    "z0",
			Version: newVersion,
			Slots:   4,
		})
	}
	restarted := &fixture{
		t:         f.t,
		log:       f.log,
		spec:      f.spec,
		endpoints: f.endpoints,
	}
	restarted.start()
	return restarted
}

// TestOddBaseVersionIsNoVersion guards against streams that are bound to a version that no endpoint has, because another writer's record was taken for their version.
func TestOddBaseVersionIsNoVersion(t *testing.T) {
	for name, value := range map[string]string{
		"no mark":       "v9",
		"line break":    "=v\r\n9",
		"no valid text": "=\xff",
		"too long":      "=" + strings.Repeat("v", 256),
		"deeply nested": strings.Repeat("[", 100_000),
		"space around":  "= v9",
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFleet(t)
			restarted := f.restartAtNewVersion(value)
			restarted.awaitLine(`"event":"baseVersionSet"`, `"version":"`+newVersion+`"`)
			f.send(restarted, "resumed", "began-before")
		})
	}
}

// TestOddKeysDoNotHideBaseVersions guards against streams that go on at another software version, because other keys fill the page with the base versions.
func TestOddKeysDoNotHideBaseVersions(t *testing.T) {
	f := newVersionFleet(t)
	for i := range 600 {
		f.log.Append(gateway.StreamTopic, fmt.Sprintf("a%03d", i), []byte("="))
	}
	restarted := f.restartAtNewVersion("=" + oldVersion)
	request := restarted.request(http.MethodPost, "/summary/stream", []byte("x"))
	request.Header.Set("Cactuswell-Resumes", "began-before")
	request.Header.Set("Last-Event-Id", "0")
	// Base versions are read and checked once a second.
	eventually(t, "the base versions are read", func() bool {
		return restarted.metric(t, "cactuswell_configuration_age_seconds") > 3
	})
	if got := restarted.do(request); got.status == http.StatusOK {
		t.Errorf("a stream that began at %s goes on at %s", oldVersion, newVersion)
	}
}

// TestOddRecordOfStreamIsNoVersion guards against a stream that goes on at the base version, although a record says that it began at another one.
func TestOddRecordOfStreamIsNoVersion(t *testing.T) {
	f := newVersionFleet(t)
	f.log.Append(gateway.StreamTopic, fmt.Sprintf("stream/%016x", xxhash.Sum64String("began-before")), []byte("v\xff"))
	restarted := f.restartAtNewVersion("=" + newVersion)
	request := restarted.request(http.MethodPost, "/summary/stream", []byte("x"))
	request.Header.Set("Cactuswell-Resumes", "began-before")
	request.Header.Set("Last-Event-Id", "0")
	if got := restarted.do(request); got.status == http.StatusOK {
		t.Errorf("status %d", got.status)
	}
	restarted.awaitLine(`"event":"versionUnreadable"`, `"key":"stream/`)
}
