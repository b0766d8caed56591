package cmd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"cactuswell/io/opaque"
	"cactuswell/platform"
	"cactuswell/platform/platformtest"
	"cactuswell/standin/endless"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// memoryConfiguration has a service whose routes lead to plain calls and to streams.
const memoryConfiguration = `{"version":1,
	"routes":[
		{"name":"hold","host":"firm.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":8000,"service":"s","maxAttempts":1,"public":true},
		{"name":"draft","host":"firm.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":8000,"service":"s","maxAttempts":1,"public":true}],
	"services":[{"name":"s","healthPath":"/health","maxConnections":1000}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000}}`

// TestMemoryDuringEndlessAnswers guards against a host that exceeds its memory while
// endpoints send endless answers to 200 calls at once, of each kind, without a pause and
// byte by byte. The process must also go on serving.
func TestMemoryDuringEndlessAnswers(t *testing.T) {
	const (
		memoryMB = 112
		callers  = 200
		calls    = 3
	)
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(memoryConfiguration))
	for i := range 4 {
		startEndpoint(t, log, fmt.Sprintf("i-%d", i)).SetBehaviour(chooseEndless)
	}
	g := startGateway(t, log, "--memory-mb", fmt.Sprint(memoryMB))
	var wait sync.WaitGroup
	for caller := range callers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for i := range calls {
				callEndless(t, g.callerAddress, caller*calls+i)
			}
		}()
	}
	wait.Wait()
	if used := readMemory(t, g.readyAddress); used > memoryMB<<20 {
		t.Errorf("the host obtained %d bytes, its limit is %d MB", used, memoryMB)
	}
	if status, err := post(g.callerAddress, "/hold/sound", 5000); err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Errorf("a call afterwards: status %d, error %v", status, err)
	}
	stopProcess(t, g.process, g.exited)
}

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	process       *exec.Cmd
	exited        chan error
	out           *output
	callerAddress string
	readyAddress  string
}

// startGateway starts a gateway whose store is the log, and waits until it knows the
// configuration with version 1 and an endpoint.
func startGateway(t *testing.T, log *keyedlog.Log, arguments ...string) *gatewayProcess {
	t.Helper()
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, program, log, arguments...)
}

// startProgram is like startGateway, with the program that is run.
func startProgram(t *testing.T, program string, log *keyedlog.Log, arguments ...string) *gatewayProcess {
	t.Helper()
	store := httptest.NewServer(platformtest.NewStore(log))
	t.Cleanup(store.Close)
	g := &gatewayProcess{
		exited:        make(chan error, 1),
		out:           newOutput(),
		callerAddress: freePort(t),
		readyAddress:  freePort(t),
	}
	g.process = &exec.Cmd{
		Path: program,
		Args: append([]string{"cactuswell", "gateway", "--name", "host-1", "--zone", "z0", "--caller-listen", g.callerAddress,
			"--ready-listen", g.readyAddress, "--store-address", store.Listener.Addr().String(), "--balancer-lag", "0s"}, arguments...),
		Stdout: g.out,
	}
	if err := g.process.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { g.exited <- g.process.Wait() }()
	t.Cleanup(func() { _ = g.process.Process.Kill() })
	awaitVersion(t, g.readyAddress, 1, g.exited)
	g.out.awaitText(t, `"event":"endpointAppeared"`)
	return g
}

// startEndpoint starts an endpoint of the service "s" and writes its entry.
func startEndpoint(t *testing.T, log *keyedlog.Log, id string) *standin.Endpoint {
	t.Helper()
	endpoint, err := standin.New(standin.Settings{
		ID:     id,
		Names:  opaque.DefaultHeaderNames(),
		Events: 6,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	log.Append(platform.EndpointTopic, id, fmt.Appendf(nil,
		`{"service":"s","address":%q,"zone":"z0","slots":1000,"state":"ready","born":1}`, endpoint.Address()))
	return endpoint
}

// chooseEndless returns the behaviour that the path of a call names by its number.
func chooseEndless(request *http.Request) standin.Behaviour {
	var n int
	if _, err := fmt.Sscanf(request.URL.Path, "/hold/%d", &n); err == nil {
		return endlessBehaviour(endless.Plain(), n)
	}
	if _, err := fmt.Sscanf(request.URL.Path, "/draft/%d", &n); err == nil {
		return endlessBehaviour(endless.Stream(), n)
	}
	return standin.CompleteAnswer{}
}

func endlessBehaviour(parts []endless.Part, n int) standin.Behaviour {
	pace := endless.NoPause
	if n/len(parts)%4 == 0 {
		pace = endless.ByteByByte
	}
	return standin.EndlessAnswer{
		Part:   parts[n%len(parts)],
		Pace:   pace,
		Events: n % 3,
	}
}

// callEndless makes a call with an endless answer, which must not look complete.
func callEndless(t *testing.T, address string, n int) {
	path := fmt.Sprintf("/hold/%d", n)
	if n%2 == 0 {
		path = fmt.Sprintf("/draft/%d", n)
	}
	status, err := post(address, path, 1500)
	isComplete := err == nil && status == http.StatusOK
	if isComplete && endless.Plain()[n%len(endless.Plain())] != endless.AfterBody {
		t.Errorf("call %s has a complete response", path)
	}
}

// post makes a call with the given time left and returns the response's status. The error
// is that of an incomplete response.
func post(address, path string, timeLeftMs int) (int, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader([]byte("body")))
	if err != nil {
		return 0, err
	}
	request.Host = "firm.example"
	request.Header.Set("X-Request-Id", strings.ReplaceAll(path, "/", "-"))
	request.Header.Set("Cactuswell-Time-Left-Ms", fmt.Sprint(timeLeftMs))
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// readMemory returns the memory that a host has obtained from the operating system.
func readMemory(t *testing.T, address string) int {
	t.Helper()
	response, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	_, value, ok := strings.Cut(string(text), "\ncactuswell_memory_bytes ")
	var used float64
	if _, err := fmt.Sscan(value, &used); !ok || err != nil {
		t.Fatalf("no memory in the metrics: %v", err)
	}
	return int(used)
}
