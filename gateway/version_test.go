package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	"cactuswell/core/directory"
)

// TestCallerResumesAtVersionOfStream guards against streams that a caller takes up again at
// another host, which sends them to an endpoint of another software version.
func TestCallerResumesAtVersionOfStream(t *testing.T) {
	const old, newer = "v1", "v2"
	f := newFixture(t, 8)
	// Endpoints with odd indexes are models. Two of them have the old version.
	versions := make(map[string]string)
	publish := func(i int, leaving bool) {
		id := fmt.Sprintf("%s-%d", models, i/2)
		versions[id] = newer
		if i < 4 {
			versions[id] = old
		}
		f.publishEntry(id, directory.Entry{
			Born:    2,
			Service: models,
			Address: f.endpoints[i].Address(),
			Zone:    "z0",
			Version: versions[id],
			Slots:   4,
			Leaving: leaving,
		})
	}
	for i := 1; i < len(f.endpoints); i += 2 {
		publish(i, false)
	}
	f.awaitLine(`"event":"endpointAppeared"`, `"version":"v2"`, `"endpoint":"`+models+`-7"`)
	second := f.startSecondHost(f.log.NewClient())
	endpointOf := func(id string) int {
		for i, endpoint := range f.endpoints {
			for _, run := range endpoint.Runs() {
				if run.ID == id {
					return i
				}
			}
		}
		t.Fatalf("%s reached no endpoint", id)
		return 0
	}
	send := func(host *fixture, id, resumes string) int {
		request := host.request(http.MethodPost, "/summary/stream", []byte("x"))
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("Cactuswell-Prompt", id+":60,b:40")
		if resumes != "" {
			request.Header.Set("Cactuswell-Resumes", resumes)
			request.Header.Set("Last-Event-Id", "0")
		}
		host.do(request)
		return endpointOf(id)
	}
	began, endpoint := "", 0
	eventually(t, "a stream begins at the old version", func() bool {
		began += "1"
		endpoint = send(f, began, "")
		return endpoint < 4
	})
	publish(endpoint, true)
	second.awaitLine(`"event":"endpointLeaving"`)
	if got := send(second, "resumed", began); got >= 4 {
		t.Errorf("a stream that began at %s goes on at %s", old, newer)
	}
}
