package cmd_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

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
	g.pause(t)
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, pauseConfiguration, 2, "new"))
	other := endpoints[1-running]
	other.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Misdirection{} })
	// The rest of the stream takes longer than the limit on silence, which is 1 s.
	<-endpoints[running].SlowAnswers()
	g.resume(t)
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

// pause stops a host's process and waits until all of its threads are stopped. The signal alone
// does not ensure that: on a busy machine some threads were still running 4 ms after it, and
// read requests meanwhile.
func (g *gatewayProcess) pause(t *testing.T) {
	t.Helper()
	if err := g.process.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	for {
		// The kernel reports the stop to the parent after the last thread. WSTOPPED alone
		// leaves the exit status to the goroutine that waits for it.
		err := unix.Waitid(unix.P_PID, g.process.Process.Pid, nil, unix.WSTOPPED, nil)
		if err == nil {
			return
		}
		if !errors.Is(err, unix.EINTR) {
			t.Fatalf("the process did not stop: %v", err)
		}
	}
}

// resume continues a paused process.
func (g *gatewayProcess) resume(t *testing.T) {
	t.Helper()
	if err := g.process.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
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
