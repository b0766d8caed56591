package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"cactuswell/core/route"
)

// statuses calls all hosts at once with a key and returns how many gave each status.
func (f *hostFleet) statuses(key string, round int) map[int]int {
	var mu sync.Mutex
	var wait sync.WaitGroup
	statuses := make(map[int]int)
	for i, host := range f.hosts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			request := host.request(http.MethodPost, fmt.Sprintf("/lookup/%s-%d-%d", key, round, i), []byte("x"))
			request.Header.Set("Authorization", "Bearer "+key)
			got := host.do(request)
			mu.Lock()
			defer mu.Unlock()
			statuses[got.status]++
		}()
	}
	wait.Wait()
	return statuses
}

// writeLost writes what the operator and the endpoints had written last: the
// configuration in which a key is revoked, and the end of an endpoint's entry.
func (f *hostFleet) writeLost() {
	f.publishConfiguration()
	f.log.Append(endpointTopic, "booking-1", nil)
}

// TestRewindAtMomentOfChange plays a store that comes back from a copy without its newest
// configuration, in which a key is revoked, and without the end of an endpoint's entry,
// while both are in force. A host that followed the copy would accept the key again and
// call the endpoint. The store may do so twice within a second.
func TestRewindAtMomentOfChange(t *testing.T) {
	const revoked, valid = "secret", "valid"
	for _, size := range []int{6, 60} {
		for _, rewinds := range []int{1, 2} {
			t.Run(fmt.Sprintf("%d hosts, %d rewinds", size, rewinds), func(t *testing.T) {
				f := newFleet(t, size)
				f.spec.Version = 2
				f.spec.Teams = []route.Team{{Name: "clerks", Keys: []string{valid}}}
				// All hosts' calls wait for the one endpoint that is left.
				f.spec.Routes[0].TargetLatency = f.spec.Routes[0].Timeout
				f.writeLost()
				for _, host := range f.hosts {
					host.awaitLine(`"event":"configurationTaken"`, `"version":2`)
					host.awaitLine(`"event":"endpointGone"`, `"endpoint":"booking-1"`)
				}
				gone := f.endpoints[2]
				runs := len(gone.Runs())
				for rewind := range rewinds {
					f.log.RewindTopics(map[string]int{
						configurationTopic: 1,
						endpointTopic:      1,
					})
					for round := range 5 {
						if statuses := f.statuses(revoked, 10*rewind+round); statuses[http.StatusUnauthorized] != size {
							t.Errorf("round %d: statuses of the revoked key: %v", round, statuses)
						}
						if statuses := f.statuses(valid, 10*rewind+round); statuses[http.StatusOK] != size {
							t.Errorf("round %d: statuses of the valid key: %v", round, statuses)
						}
					}
					f.writeLost()
				}
				for _, host := range f.hosts {
					host.awaitLine(`"event":"storeRewound"`, `"topic":"endpoints"`, fmt.Sprintf(`"era":%d`, rewinds))
				}
				if statuses := f.statuses(revoked, 100); statuses[http.StatusUnauthorized] != size {
					t.Errorf("statuses of the revoked key at last: %v", statuses)
				}
				if statuses := f.statuses(valid, 100); statuses[http.StatusOK] != size {
					t.Errorf("statuses of the valid key at last: %v", statuses)
				}
				if got := len(gone.Runs()); got != runs {
					t.Errorf("the endpoint that is gone received %d calls", got-runs)
				}
			})
		}
	}
}
