package cmd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// pauseConfiguration has a route for streams that may be resumed, and one for calls that
// must not run twice, for a caller with the given key.
const pauseConfiguration = `{"version":%d,
	"routes":[
		{"name":"hold","host":"firm.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":8000,"service":"s","maxAttempts":1},
		{"name":"summary","host":"firm.example","pathPrefix":"/summary/","kind":"streaming","resumable":true,"timeoutMs":20000,
		 "targetLatencyMs":1000,"targetGapMs":250,"service":"s","maxAttempts":2}],
	"services":[{"name":"s","healthPath":"/health","maxConnections":1000}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000},
	"tenants":[{"name":"clerks","apiKeys":[%q]}]}`

// call makes a call with a key and returns the status and the body of the response.
func (g *gatewayProcess) call(path, key string) (status int, body string, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddress+path, bytes.NewReader([]byte("body")))
	if err != nil {
		return 0, "", err
	}
	request.Host = "firm.example"
	request.Header.Set("X-Request-Id", strings.ReplaceAll(path, "/", "-"))
	request.Header.Set("Authorization", "Bearer "+key)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}

// TestPausedGateway guards against a process that is paused and then acts on what it knew
// before, or takes its own pause for silence of others. While it is paused, a stream's
// engine sends the rest of the stream, the key of the caller is revoked, and another
// endpoint takes over an address. After the pause the stream must go on, without a second
// run; the revoked key must be refused soon and from then on; and a call must not run at
// the endpoint that has taken over the address.
func TestPausedGateway(t *testing.T) {
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, pauseConfiguration, 1, "old"))
	endpoints := []*standin.Endpoint{startEndpoint(t, log, "i-0"), startEndpoint(t, log, "i-1")}
	for _, endpoint := range endpoints {
		endpoint.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.SlowStream{Pause: 300 * time.Millisecond} })
	}
	g := startGateway(t, log)
	g.out.awaitText(t, `"endpoint":"i-1"`)
	type result struct {
		status int
		body   string
		err    error
	}
	streamed := make(chan result, 1)
	go func() {
		status, body, err := g.call("/summary/stream", "old")
		streamed <- result{
			status: status,
			body:   body,
			err:    err,
		}
	}()
	running := awaitRun(t, endpoints)
	signal := func(signal syscall.Signal) {
		t.Helper()
		if err := g.process.Process.Signal(signal); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, pauseConfiguration, 2, "new"))
	other := endpoints[1-running]
	other.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Misdirection{} })
	// The rest of the stream takes longer than the limit on silence, which is 1 s.
	<-endpoints[running].SlowAnswers()
	signal(syscall.SIGCONT)
	var events strings.Builder
	for id := range 6 {
		events.WriteString(standin.StreamEvent(id))
	}
	if got := <-streamed; got.err != nil || got.status != http.StatusOK || got.body != events.String() {
		t.Errorf("stream: status %d, %d bytes, error %v", got.status, len(got.body), got.err)
	}
	endpoints[running].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
	awaitVersion(t, g.readyAddress, 2, g.exited)
	for i := range 20 {
		if status, _, err := g.call(fmt.Sprintf("/hold/old-%d", i), "old"); err != nil || status != http.StatusUnauthorized {
			t.Errorf("revoked key: status %d, error %v", status, err)
		}
		if status, _, err := g.call(fmt.Sprintf("/hold/new-%d", i), "new"); err != nil || status != http.StatusOK {
			t.Errorf("new key: status %d, error %v", status, err)
		}
	}
	if runs := len(other.Runs()); runs != 0 {
		t.Errorf("%d calls ran at the endpoint that has taken over the address", runs)
	}
	if strings.Contains(g.out.String(), `"outcome":"Silent"`) {
		t.Error("an engine was taken for silent")
	}
	stopProcess(t, g.process, g.exited)
}

// awaitRun waits until an endpoint runs a call and returns the endpoint's index.
func awaitRun(t *testing.T, endpoints []*standin.Endpoint) int {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	limit := time.After(20 * time.Second)
	for {
		for i, endpoint := range endpoints {
			if len(endpoint.Runs()) > 0 {
				return i
			}
		}
		select {
		case <-tick.C:
		case <-limit:
			t.Fatal("no call runs after 20 s")
		}
	}
}
