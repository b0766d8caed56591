package gateway_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"cactuswell/core/route"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// TestKnownConfigurationIsNotDecodedAgain guards against processor time for a configuration that comes
// a second time, as after the store has come back from an older copy.
func TestKnownConfigurationIsNotDecodedAgain(t *testing.T) {
	f := newFixture(t, 1)
	f.publishRoutes(10)
	f.awaitVersion(2)
	before := f.decoded.Load()
	f.log.Append(configurationTopic, "other", []byte("x"))
	f.log.RewindTopics(map[string]int{configurationTopic: 1})
	f.awaitLine(`"event":"storeRewound"`, `"topic":"configuration"`)
	// The next version comes after the listing of the new era.
	f.publishRoutes(11)
	f.awaitVersion(3)
	if got := f.decoded.Load() - before; got != 1 {
		t.Errorf("%d configurations were decoded for one change", got)
	}
}

// TestOnlyNewestOfSeveralConfigurationsIsDecoded guards against processor time for versions that have been
// replaced before a host gets them, so that it falls behind changes which follow each other quickly.
func TestOnlyNewestOfSeveralConfigurationsIsDecoded(t *testing.T) {
	f := newFixture(t, 1)
	f.publishRoutes(10)
	f.awaitVersion(2)
	before := f.decoded.Load()
	var versions []any
	for version := range int64(5) {
		f.spec.Version = 3 + version
		versions = append(versions, f.spec)
	}
	// A version that comes late and one that cannot be used do not hide the newest one.
	f.spec.Version = 4
	f.log.AppendAll(configurationTopic, configurationKey, encodeAll(t, append(versions, f.spec, "invalid"))...)
	f.awaitVersion(7)
	if got := f.decoded.Load() - before; got != 2 {
		t.Errorf("%d configurations were decoded, want the newest one and the invalid one", got)
	}
	f.awaitLine(`"event":"configurationRefused"`)
	if strings.Contains(f.logLines.String(), `"version":4,`) {
		t.Error("a version that was replaced came into force")
	}
}

// encodeAll returns the JSON forms of values.
func encodeAll(t *testing.T, values []any) [][]byte {
	t.Helper()
	var encoded [][]byte
	for _, value := range values {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		encoded = append(encoded, text)
	}
	return encoded
}

// TestStartingHostIsNotReadyWithOlderConfiguration guards against a host that a stale answer of the
// store has given an older configuration, and that accepts calls although it knows of the newer one.
func TestStartingHostIsNotReadyWithOlderConfiguration(t *testing.T) {
	link := newThinLink()
	first := newFixtureBehind(t, &fixture{wrapPeerListener: link.listen}, 1)
	first.publishRoutes(10)
	first.awaitVersion(2)
	link.hold()
	t.Cleanup(link.release)
	log := first.log.NewClient()
	log.SetFault(keyedlog.StaleReads{Missing: 1})
	second := first.startSecondHost(log)
	second.awaitVersion(1)
	eventually(t, "the host knows that it is behind", func() bool {
		return !strings.Contains(second.metrics(), "\ncactuswell_configuration_behind_seconds 0\n")
	})
	if second.isReady() {
		t.Error("the host is ready with an older configuration")
	}
	link.release()
	second.awaitVersion(2)
	eventually(t, "the host is ready", second.isReady)
}

// configurationCaller is a connection of a caller that was opened before a change.
type configurationCaller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// ask sends the rest of a request's head, of which begun has been sent, and returns the status.
func (c *configurationCaller) ask(t *testing.T, head, begun string) int {
	t.Helper()
	if _, err := io.WriteString(c.conn, strings.TrimPrefix(head, begun)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		t.Fatal(err)
	}
	return response.StatusCode
}

// TestConfigurationInForceDecidesOnEveryConnection guards against a host that has a configuration and
// decides by an older one that a connection, or a head that has begun to arrive, has kept.
func TestConfigurationInForceDecidesOnEveryConnection(t *testing.T) {
	f := newFixture(t, 1)
	requests := 0
	headOf := func(version, path, key string) string {
		requests++
		return fmt.Sprintf("GET %s HTTP/%s\r\nHost: firm.example\r\nX-Request-Id: r%d\r\nAuthorization: Bearer %s\r\n\r\n", path, version, requests, key)
	}
	dial := func() *configurationCaller {
		conn, reader := f.dialAndSend("")
		return &configurationCaller{conn: conn, reader: reader}
	}
	questions := []struct {
		name, path, key string
		before, after   int
	}{
		{"dropped key", "/lookup/x", "secret", http.StatusOK, http.StatusUnauthorized},
		{"added key", "/lookup/x", "added", http.StatusUnauthorized, http.StatusOK},
		{"dropped route", "/hold/x", "added", http.StatusUnauthorized, http.StatusNotFound},
		{"added route", "/new/x", "added", http.StatusNotFound, http.StatusOK},
	}
	type waiting struct {
		*configurationCaller
		name, head, begun string
		want              int
	}
	var callers []waiting
	for _, question := range questions {
		kept := dial()
		if got := kept.ask(t, headOf("1.1", question.path, question.key), ""); got != question.before {
			t.Fatalf("%s: status %d before the change, want %d", question.name, got, question.before)
		}
		callers = append(callers, waiting{kept, question.name + ", kept connection", headOf("1.1", question.path, question.key), "", question.after})
		for _, version := range []string{"1.0", "1.1"} {
			callers = append(callers, waiting{dial(), question.name + ", HTTP/" + version, headOf(version, question.path, question.key), "", question.after})
			head := headOf(version, question.path, question.key)
			for begun := 1; begun < len(head); begun += 7 {
				callers = append(callers, waiting{dial(), fmt.Sprintf("%s, HTTP/%s, %d bytes before", question.name, version, begun), head, head[:begun], question.after})
			}
		}
	}
	for _, caller := range callers {
		if _, err := io.WriteString(caller.conn, caller.begun); err != nil {
			t.Fatal(err)
		}
	}
	f.spec.Version = 2
	f.spec.Teams = []route.Team{{Name: "clerks", Keys: []string{"added"}}}
	added := f.spec.Routes[0]
	added.Name, added.PathPrefix = "new", "/new/"
	f.spec.Routes = append(f.spec.Routes[:1:1], added)
	f.publishConfiguration()
	f.awaitVersion(2)
	for _, caller := range callers {
		if got := caller.ask(t, caller.head, caller.begun); got != caller.want {
			t.Errorf("%s: status %d, want %d", caller.name, got, caller.want)
		}
	}
}

// TestCallThatWaitsNamesItsVersion checks that a call which the configuration in force admitted, and
// which waits while it is replaced, is decided by that version to its end, and says so.
func TestCallThatWaitsNamesItsVersion(t *testing.T) {
	f := newFixture(t, 1)
	release := make(chan struct{})
	var once sync.Once
	t.Cleanup(func() { once.Do(func() { close(release) }) })
	f.setBehaviour(func(*http.Request) standin.Behaviour {
		<-release
		return standin.CompleteAnswer{}
	})
	replies := make(chan reply, 1)
	go func() { replies <- f.get("/lookup/waits") }()
	f.awaitLine(`"event":"callSent"`, `"request":"request--lookup-waits"`)
	f.spec.Version = 2
	f.spec.Teams = []route.Team{{Name: "clerks", Keys: []string{"added"}}}
	f.publishConfiguration()
	f.awaitVersion(2)
	if got := f.get("/lookup/later"); got.status != http.StatusUnauthorized {
		t.Errorf("status %d of a call after the change", got.status)
	}
	once.Do(func() { close(release) })
	if got := <-replies; got.status != http.StatusOK {
		t.Errorf("status %d of the call from before the change", got.status)
	}
	f.awaitLine(`"event":"callEnded"`, `"request":"request--lookup-waits"`, `"version":1,`)
	f.awaitLine(`"event":"callDenied"`, `"request":"request--lookup-later"`, `"version":2,`, `"versionAgeMs"`)
}
