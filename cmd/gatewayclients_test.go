package cmd_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cactuswell/platform"
	"cactuswell/standin/crowd"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

const clientsConfiguration = `{"version":1,
	"routes":[{"name":"hold","host":"firm.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":8000,"targetLatencyMs":8000,"service":"s","maxAttempts":1,"public":true}],
	"services":[{"name":"s"}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

const (
	clientsMemoryMB = 144
	// programVariable names a program to measure in place of the built one: then each kind of
	// client is measured alone, with the numbers of clients multiplied by scaleVariable.
	programVariable = "CACTUSWELL_CLIENTS_PROGRAM"
	scaleVariable   = "CACTUSWELL_CLIENTS_SCALE"
)

// crowdSizes are the numbers of clients of the kinds. Others have 60.
var crowdSizes = map[crowd.Kind]int{
	crowd.Silent:        1500,
	crowd.Trickling:     400,
	crowd.StoppedLine:   400,
	crowd.StoppedHeader: 1500,
	crowd.ShortFields:   400,
	crowd.FalseLength:   400,
	crowd.Continue:      400,
}

// ordinary counts what ordinary callers and readiness checks got.
type ordinary struct {
	mu      sync.Mutex
	served  int
	refused int
	failed  int
	slowest time.Duration
	times   []time.Duration
	errors  map[string]int
}

func (o *ordinary) record(status int, err error, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		o.failed++
		o.errors[err.Error()]++
	case status == http.StatusOK:
		o.served++
		o.slowest = max(o.slowest, took)
		o.times = append(o.times, took)
	default:
		o.refused++
		o.errors[fmt.Sprint(status)]++
	}
}

func (o *ordinary) percentile(percent int) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.times) == 0 {
		return 0
	}
	slices.Sort(o.times)
	return o.times[len(o.times)*percent/100]
}

// callOrdinarily makes calls with bodies of 20 KB, and requests the readiness path, until stop is
// closed. Each caller keeps a connection; readiness checks open new ones.
func callOrdinarily(g *gatewayProcess, stop <-chan struct{}) (calls, checks *ordinary, wait func()) {
	calls, checks = &ordinary{errors: map[string]int{}}, &ordinary{errors: map[string]int{}}
	var group sync.WaitGroup
	run := func(into *ordinary, interval time.Duration, keepsConn bool, newRequest func(i int) *http.Request) {
		client := &http.Client{
			Transport: &http.Transport{DisableKeepAlives: !keepsConn},
			Timeout:   5 * time.Second,
		}
		defer client.CloseIdleConnections()
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			begin := time.Now()
			response, err := client.Do(newRequest(i))
			took := time.Since(begin)
			status := 0
			if err == nil {
				status = response.StatusCode
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			into.record(status, err, took)
		}
	}
	for caller := range 4 {
		group.Add(1)
		go func() {
			defer group.Done()
			run(calls, 50*time.Millisecond, caller > 0, func(i int) *http.Request {
				request, _ := http.NewRequest(http.MethodPost, "http://"+g.callerAddress+"/hold/x", bytes.NewReader(make([]byte, 20<<10)))
				request.Host = "firm.example"
				request.Header.Set("X-Request-Id", fmt.Sprintf("ordinary-%d-%d", caller, i))
				return request
			})
		}()
	}
	group.Add(1)
	go func() {
		defer group.Done()
		run(checks, 250*time.Millisecond, false, func(int) *http.Request {
			request, _ := http.NewRequest(http.MethodGet, "http://"+g.readyAddress+"/ready", nil)
			return request
		})
	}()
	return calls, checks, group.Wait
}

// readPeak returns a process's peak of resident memory, in bytes.
func readPeak(t *testing.T, pid int) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, value, _ := bytes.Cut(status, []byte("VmHWM:"))
	var kilobytes int
	if _, err := fmt.Sscan(string(value), &kilobytes); err != nil {
		t.Fatal(err)
	}
	return kilobytes << 10
}

// startClientsGateway starts a host of clientsMemoryMB with endpoints that answer large.
func startClientsGateway(t *testing.T) *gatewayProcess {
	t.Helper()
	t.Setenv("GOMAXPROCS", "1")
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(clientsConfiguration))
	for i := range 2 {
		startEndpoint(t, log, fmt.Sprintf("i-%d", i)).SetBehaviour(func(request *http.Request) standin.Behaviour {
			if request.URL.Path == "/hold/large" {
				return standin.LargeAnswer{Bytes: 8 << 20}
			}
			return standin.CompleteAnswer{}
		})
	}
	program := os.Getenv(programVariable)
	if program == "" {
		program = buildProgram(t)
	}
	return startProgram(t, program, log, "--memory-mb", fmt.Sprint(clientsMemoryMB))
}

// buildProgram builds the program as it is deployed. The test's own program may contain the race
// detector, which takes several times the memory and the processor time.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "cactuswell")
	if output, err := exec.Command("go", "build", "-o", program, "cactuswell").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, output)
	}
	return program
}

// crowdFor returns the settings of a crowd.
func crowdFor(g *gatewayProcess, kind crowd.Kind, path string, share int) crowd.Settings {
	clients := crowdSizes[kind]
	if clients == 0 {
		clients = 60
	}
	settings := crowd.Settings{
		Address: g.callerAddress,
		Path:    path,
		Fields:  "X-Request-Id: crowd\r\n",
		Kind:    kind,
		Clients: max(clients/share, 1),
	}
	if path == "/ready" {
		settings.Address = g.readyAddress
	}
	if (kind == crowd.Pipelined || kind == crowd.SlowRead) && path == "/hold/x" {
		settings.Path = "/hold/large"
	}
	return settings
}

// TestUncontrolledClients guards against a host of 144 MB that is killed for want of memory, or
// serves neither ordinary callers nor readiness checks, while clients of all kinds send and hold
// what they can at a path with a route, one without and the readiness path.
func TestUncontrolledClients(t *testing.T) {
	if os.Getenv(programVariable) != "" {
		measureClients(t)
		return
	}
	g := startClientsGateway(t)
	var crowds []*crowd.Crowd
	for _, kind := range crowd.Kinds() {
		for _, path := range []string{"/hold/x", "/none", "/ready"} {
			crowds = append(crowds, crowd.Start(crowdFor(g, kind, path, 16)))
		}
	}
	calls, checks := watchCallers(g, 5*time.Second)
	for _, c := range crowds {
		c.Close()
	}
	peak := readPeak(t, g.process.Process.Pid)
	t.Logf("peak %d MB; calls: %d served, %d refused, %d failed, slowest %v; checks: %d served, %d failed, slowest %v; %v %v",
		peak>>20, calls.served, calls.refused, calls.failed, calls.slowest, checks.served, checks.refused+checks.failed, checks.slowest, calls.errors, checks.errors)
	if peak > clientsMemoryMB<<20*95/100 {
		t.Errorf("the host's memory reached %d bytes", peak)
	}
	if 10*calls.served < 9*(calls.served+calls.refused+calls.failed) || calls.served == 0 {
		t.Errorf("of the ordinary calls %d were served, %d refused and %d failed: %v", calls.served, calls.refused, calls.failed, calls.errors)
	}
	if checks.refused+checks.failed > 1 || checks.served == 0 {
		t.Errorf("%d readiness checks were served, %d not: %v", checks.served, checks.refused+checks.failed, checks.errors)
	}
	if status, err := post(g.callerAddress, "/hold/after", 5000); err != nil || status != http.StatusOK {
		t.Errorf("a call afterwards: status %d, error %v", status, err)
	}
	stopProcess(t, g.process, g.exited)
}

// watchCallers makes ordinary calls for a time.
func watchCallers(g *gatewayProcess, length time.Duration) (calls, checks *ordinary) {
	stop := make(chan struct{})
	calls, checks, wait := callOrdinarily(g, stop)
	<-time.After(length)
	close(stop)
	wait()
	return calls, checks
}

// measureClients logs a line of a table for each kind of client at each path.
func measureClients(t *testing.T) {
	for _, path := range []string{"/hold/x", "/none", "/ready"} {
		for _, kind := range append([]crowd.Kind{"none"}, crowd.Kinds()...) {
			t.Run(string(kind)+path, func(t *testing.T) { measureKind(t, kind, path) })
		}
	}
}

func measureKind(t *testing.T, kind crowd.Kind, path string) {
	g := startClientsGateway(t)
	if kind != "none" {
		settings := crowdFor(g, kind, path, 1)
		var scale int
		if _, err := fmt.Sscan(os.Getenv(scaleVariable), &scale); err == nil {
			settings.Clients *= scale
		}
		defer crowd.Start(settings).Close()
	}
	calls, checks := watchCallers(g, 4*time.Second)
	peak := 0
	select {
	case err := <-g.exited:
		t.Logf("the process exited with %v", err)
	default:
		peak = readPeak(t, g.process.Process.Pid) >> 20
	}
	_ = g.process.Process.Kill()
	t.Logf("| %s | %s | %d | %d of %d | %.0f | %.0f | %d of %d |", kind, path, peak, calls.served, calls.served+calls.refused+calls.failed,
		float64(calls.percentile(50).Microseconds())/1000, float64(calls.slowest.Microseconds())/1000, checks.served, checks.served+checks.refused+checks.failed)
	t.Log(calls.errors, checks.errors)
}
