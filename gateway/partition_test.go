package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"cactuswell/standin/endless"
	standin "cactuswell/standin/opaque"
)

// partitionedFleet is a fleet whose hosts each have a link to the endpoints.
type partitionedFleet struct {
	*hostFleet
	calls int
}

func newPartitionedFleet(t *testing.T, hosts, endpoints int) *partitionedFleet {
	t.Helper()
	first := newLinkedFixture(t, endpoints)
	fleet := &partitionedFleet{hostFleet: newFleetBehind(t, first, hosts)}
	for _, host := range fleet.hosts {
		eventually(t, "a host knows the others", func() bool {
			return strings.Contains(host.metrics(), fmt.Sprintf("cactuswell_hosts %d\n", hosts))
		})
	}
	return fleet
}

// partitionCalls are the calls of a round: one of each kind.
var partitionCalls = []struct{ method, path string }{
	{http.MethodGet, "/lookup/1"},
	{http.MethodPost, "/hold/1"},
	{http.MethodPost, "/draft/stream"},
	{http.MethodPost, "/summary/stream"},
}

// serve sends rounds of calls to a host, each with its kinds at the same time, and returns the
// failures.
func (f *partitionedFleet) serve(host *fixture, rounds int) []string {
	var mu sync.Mutex
	var failures []string
	for range rounds {
		var round sync.WaitGroup
		for _, call := range partitionCalls {
			var body []byte
			if call.method == http.MethodPost {
				body = []byte("x")
			}
			request := host.request(call.method, call.path, body)
			f.calls++
			request.Header.Set("X-Request-Id", fmt.Sprintf("call-%d", f.calls))
			round.Go(func() {
				if got := host.do(request); got.status != http.StatusOK || got.broken {
					mu.Lock()
					defer mu.Unlock()
					failures = append(failures, fmt.Sprintf("%s: status %d, broken %v", call.path, got.status, got.broken))
				}
			})
		}
		round.Wait()
	}
	return failures
}

// TestHostWithoutPathToEndpointsServesCallers guards against hosts that refuse their callers
// because they reach no endpoint, while other hosts do.
func TestHostWithoutPathToEndpointsServesCallers(t *testing.T) {
	const hosts, endpoints, unjudged, judged = 6, 8, 6, 12
	for _, cut := range []int{2, hosts - 1} {
		for name, state := range map[string]linkState{
			"silent":     linkSilent,
			"reset":      linkReset,
			"kept":       linkKept,
			"keptSilent": linkKeptSilent,
		} {
			t.Run(fmt.Sprintf("%d of %d %s", cut, hosts, name), func(t *testing.T) {
				t.Parallel()
				fleet := newPartitionedFleet(t, hosts, endpoints)
				for _, host := range fleet.hosts {
					if failures := fleet.serve(host, 2); len(failures) > 0 {
						t.Fatalf("before the partition: %s", strings.Join(failures, "; "))
					}
				}
				partitioned := fleet.hosts[:cut]
				for _, host := range partitioned {
					host.link.set(state)
				}
				for _, host := range partitioned {
					fleet.serve(host, unjudged)
				}
				for _, host := range fleet.hosts {
					if failures := fleet.serve(host, judged); len(failures) > 0 {
						t.Errorf("%d of %d calls failed at one host: %s", len(failures), judged*len(partitionCalls), strings.Join(failures, "; "))
					}
				}
			})
		}
	}
}

// newLinkedFixture is like newFixture, with a link to the endpoints.
func newLinkedFixture(t *testing.T, endpoints int) *fixture {
	t.Helper()
	return newFixtureBehind(t, &fixture{link: newLink(t)}, endpoints)
}

// TestResetLinkIsNoCrash guards against requests that are quarantined because the host's own link
// has failed while endpoints ran them.
func TestResetLinkIsNoCrash(t *testing.T) {
	const calls = 6
	fleet := newPartitionedFleet(t, 3, 4)
	fleet.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	host := fleet.hosts[1]
	var open sync.WaitGroup
	for i := range calls {
		request := host.request(http.MethodGet, "/lookup/1", nil)
		request.Header.Set("X-Request-Id", fmt.Sprintf("open-%d", i))
		open.Go(func() { host.do(request) })
	}
	eventually(t, "all calls run", func() bool { return len(fleet.runs()) >= calls })
	fleet.setBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
	host.link.set(linkReset)
	open.Wait()
	host.awaitLine(`"event":"attemptEnded"`, `"outcome":"Broken"`)
	for line := range strings.Lines(host.logLines.String()) {
		if strings.Contains(line, `"endpointDown":true`) || strings.Contains(line, "Quarantined") {
			t.Error(line)
		}
	}
}

// TestPathIsUsedAgainOnceRestored guards against calls that go on through other hosts, and against
// a host whose shutdown waits for them.
func TestPathIsUsedAgainOnceRestored(t *testing.T) {
	fleet := newPartitionedFleet(t, 3, 4)
	host := fleet.hosts[1]
	host.link.set(linkReset)
	eventually(t, "a path is lost", func() bool {
		fleet.serve(host, 1)
		return !strings.Contains(host.metrics(), "cactuswell_paths_lost 0\n")
	})
	host.awaitLine(`"event":"pathLost"`)
	host.link.set(linkOpen)
	eventually(t, "no tunnel is left", func() bool {
		fleet.serve(host, 1)
		for _, other := range fleet.hosts {
			if !strings.Contains(other.metrics(), "cactuswell_tunnels 0\n") {
				return false
			}
		}
		return strings.Contains(host.metrics(), "cactuswell_paths_lost 0\n")
	})
	host.awaitLine(`"event":"pathRestored"`)
}

// TestTunnelsDoNotDelayShutdown guards against a host whose shutdown waits for the idle tunnels
// of other hosts.
func TestTunnelsDoNotDelayShutdown(t *testing.T) {
	fleet := newPartitionedFleet(t, 2, 4)
	host, other := fleet.hosts[1], fleet.hosts[0]
	host.link.set(linkSilent)
	eventually(t, "calls go through the other host", func() bool {
		fleet.serve(host, 1)
		return !strings.Contains(other.metrics(), "cactuswell_tunnels 0\n")
	})
	other.stopAndWait()
	other.awaitLine(`"event":"stopped"`, `"tunnelsCut":0`)
}

// TestCrashIsSeenThroughOtherHost guards against endpoints that a host without a path to them does
// not take for crashed, so that requests that crash them are not counted.
func TestCrashIsSeenThroughOtherHost(t *testing.T) {
	fleet := newPartitionedFleet(t, 2, 4)
	host := fleet.hosts[1]
	host.link.set(linkReset)
	eventually(t, "calls go through the other host", func() bool {
		return len(fleet.serve(host, 1)) == 0
	})
	fleet.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Crash{} })
	host.get("/lookup/1")
	host.awaitLine(`"event":"attemptEnded"`, `"outcome":"Broken"`, `"endpointDown":true`)
}

// TestEndlessAnswerThroughOtherHost guards against bytes without end that a host keeps for another one, or
// that the other one reads on, if the connection to the endpoint leads through a further host.
func TestEndlessAnswerThroughOtherHost(t *testing.T) {
	fleet := newPartitionedFleet(t, 2, 4)
	host, helper := fleet.hosts[1], fleet.hosts[0]
	host.link.set(linkReset)
	eventually(t, "calls go through the other host", func() bool { return len(fleet.serve(host, 1)) == 0 })
	for i, part := range endless.Plain() {
		if part == endless.AfterBody {
			continue
		}
		cut := fleet.cutAnswers()
		fleet.setBehaviour(firstThen(standin.EndlessAnswer{
			Part: part,
			Pace: endless.NoPause,
		}))
		request := host.request(http.MethodPost, "/hold/x", []byte("body"))
		request.Header.Set("X-Request-Id", fmt.Sprintf("endless-%d", i))
		if got := host.do(request); got.status == http.StatusOK && !got.broken {
			t.Errorf("%s: the caller got a complete answer of %d bytes", part, len(got.body))
		}
		host.awaitLine(`"event":"responseExcess"`, fmt.Sprintf(`"part":%q`, excessParts[part]))
		eventually(t, "the endpoint's connection is closed", func() bool { return fleet.cutAnswers() > cut })
		// The endpoints that have sent such answers are avoided for a while.
		eventually(t, "calls go through the other host", func() bool { return len(fleet.serve(host, 1)) == 0 })
	}
	if used := helper.metric(t, "cactuswell_response_bytes"); used > 0 {
		t.Errorf("the other host keeps %.0f bytes", used)
	}
}
