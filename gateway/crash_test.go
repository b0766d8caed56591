package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	logapi "cactuswell/io/keyedlog"
	standin "cactuswell/standin/opaque"
)

// TestLineTellsCrashFromBrokenConnection guards against lines that do not tell whether an
// endpoint crashed under a call or only one of its connections broke.
func TestLineTellsCrashFromBrokenConnection(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		behaviour standin.Behaviour
		want      []string
	}{
		"a crash under a prompt": {
			path:      "/draft/stream",
			behaviour: standin.Crash{Bytes: 4},
			want:      []string{`"promptParts":"`, `"endpointDown":true`},
		},
		"a broken connection of a prompt": {
			path:      "/draft/stream",
			behaviour: standin.TruncatedAnswer{Bytes: 4},
			want:      []string{`"promptParts":"`, `"endpointDown":false`},
		},
		"a crash under a plain call": {
			path:      "/hold/day",
			behaviour: standin.Crash{Bytes: 4},
			want:      []string{`"endpointDown":true`},
		},
		"a broken connection of a plain call": {
			path:      "/hold/day",
			behaviour: standin.TruncatedAnswer{Bytes: 4},
			want:      []string{`"endpointDown":false`},
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.setBehaviour(func(*http.Request) standin.Behaviour { return test.behaviour })
			f.post(test.path, "x")
			f.awaitLine(append([]string{`"event":"attemptEnded"`, `"status":200`, `"events":0`, `"requestHash":"`}, test.want...)...)
		})
	}
}

// TestCrashingPromptIsRefusedByAllHosts guards against calls that crash one endpoint after the
// other, whichever host gets them: after some crashes such calls reach no endpoint, and calls
// without the part are served.
func TestCrashingPromptIsRefusedByAllHosts(t *testing.T) {
	f := newFixture(t, 4)
	second := f.startSecondHost(f.log.NewClient())
	crashes := 0
	for _, endpoint := range f.endpoints {
		endpoint.SetBehaviour(func(request *http.Request) standin.Behaviour {
			if strings.Contains(request.Header.Get("Cactuswell-Prompt"), "deadly") {
				return standin.Crash{Bytes: 4}
			}
			return standin.CompleteAnswer{}
		})
	}
	requests := 0
	ask := func(host *fixture, parts string) reply {
		requests++
		request := host.request(http.MethodPost, "/draft/stream", []byte(strconv.Itoa(requests)))
		request.Header.Set("Cactuswell-Prompt", parts)
		return host.do(request)
	}
	for _, host := range []*fixture{f, second} {
		if got := ask(host, "system:50,sound:10,own:40"); got.status != http.StatusOK {
			t.Fatalf("a sound call got %d", got.status)
		}
	}
	// Crashes within a short time count once.
	eventually(t, "both hosts refuse the calls", func() bool {
		for _, host := range []*fixture{f, second} {
			ask(host, "system:50,deadly:10,own:40")
		}
		for _, endpoint := range f.endpoints {
			if endpoint.IsDown() {
				crashes++
				if err := endpoint.Restart(); err != nil {
					t.Fatal(err)
				}
			}
		}
		return len(f.dump().Quarantines) > 0 && len(second.dump().Quarantines) > 0
	})
	if crashes < 2 {
		t.Errorf("quarantined after %d crashes", crashes)
	}
	for _, host := range []*fixture{f, second} {
		host.awaitLine(`"event":"promptsQuarantined"`)
		runs := len(f.runs())
		got := ask(host, "other:50,deadly:10,own:40")
		if delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || err != nil || delay < 60 {
			t.Errorf("a call with the part got %d with Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
		if len(f.runs()) != runs {
			t.Error("the refused call reached an endpoint")
		}
		if got := ask(host, "system:50,sound:10,own:40"); got.status != http.StatusOK {
			t.Errorf("a sound call got %d", got.status)
		}
		if dump := host.dump(); len(dump.Quarantines) != 1 {
			t.Errorf("the dump lists the quarantines %+v", dump.Quarantines)
		}
	}
}

// lookup sends a call with a request ID of its own.
func (f *fixture) lookup(path string) reply {
	f.lookups++
	request := f.request(http.MethodGet, path, nil)
	request.Header.Set("X-Request-Id", fmt.Sprintf("%s-%d", f.gateway.PeerAddress(), f.lookups))
	return f.do(request)
}

// crashUntilRefused sends a request that crashes each endpoint until both hosts refuse it, and
// returns the number of crashes.
func (f *fixture) crashUntilRefused(second *fixture) int {
	f.t.Helper()
	f.setBehaviour(func(request *http.Request) standin.Behaviour {
		if strings.HasSuffix(request.URL.Path, "/deadly") {
			return standin.Crash{}
		}
		return standin.CompleteAnswer{}
	})
	crashes := 0
	eventually(f.t, "both hosts refuse the request", func() bool {
		for _, host := range []*fixture{f, second} {
			host.lookup("/lookup/deadly")
		}
		for _, endpoint := range f.endpoints {
			if endpoint.IsDown() {
				crashes++
				if err := endpoint.Restart(); err != nil {
					f.t.Fatal(err)
				}
			}
		}
		return len(f.dump().Quarantines) > 0 && len(second.dump().Quarantines) > 0
	})
	return crashes
}

// TestCrashingRequestIsRefusedByAllHosts guards against a request of a plain service that crashes
// one endpoint after the other as it comes again, with other request IDs and to other hosts.
func TestCrashingRequestIsRefusedByAllHosts(t *testing.T) {
	f := newFixture(t, 4)
	second := f.startSecondHost(f.log.NewClient())
	if crashes := f.crashUntilRefused(second); crashes < 3 {
		t.Errorf("quarantined after %d crashes", crashes)
	}
	ask := (*fixture).lookup
	for _, host := range []*fixture{f, second} {
		host.awaitLine(`"event":"requestQuarantined"`, `"requestHash":"`)
		runs := len(f.runs())
		got := ask(host, "/lookup/deadly")
		if delay, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); got.status != http.StatusServiceUnavailable || err != nil || delay < 60 {
			t.Errorf("the request got %d with Retry-After %q", got.status, got.header.Get("Retry-After"))
		}
		if len(f.runs()) != runs {
			t.Error("the refused request reached an endpoint")
		}
		if got := ask(host, "/lookup/sound"); got.status != http.StatusOK {
			t.Errorf("a sound request got %d", got.status)
		}
		if dump := host.dump(); len(dump.Quarantines) != 1 || dump.Quarantines[0].RequestHash == "" {
			t.Errorf("the dump lists the quarantines %+v", dump.Quarantines)
		}
	}
}

// TestQuarantineOutlivesRestartOfAllHosts guards against a fleet that forgets which request
// crashes endpoints when all hosts restart at once.
func TestQuarantineOutlivesRestartOfAllHosts(t *testing.T) {
	f := newFixture(t, 4)
	second := f.startSecondHost(f.log.NewClient())
	f.crashUntilRefused(second)
	eventually(t, "the quarantine is in the store", func() bool {
		listing, err := f.log.ListNewest(t.Context(), "keyed.cactuswellHosts", "")
		return err == nil && slices.ContainsFunc(listing.Records, func(record logapi.Record) bool {
			return strings.HasPrefix(record.Key, "quarantines/") && strings.Contains(string(record.Value), "requestHash")
		})
	})
	f.stopAndWait()
	second.stopAndWait()
	f.start()
	f.awaitLine(`"event":"requestQuarantined"`)
	runs := len(f.runs())
	if got := f.lookup("/lookup/deadly"); got.status != http.StatusServiceUnavailable {
		t.Errorf("the request got %d", got.status)
	}
	if len(f.runs()) != runs {
		t.Error("the request reached an endpoint")
	}
	if got := f.lookup("/lookup/sound"); got.status != http.StatusOK {
		t.Errorf("a sound request got %d", got.status)
	}
}
