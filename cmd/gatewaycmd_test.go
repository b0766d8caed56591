package cmd_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cactuswell/cmd"
	"cactuswell/platform"
	"cactuswell/platform/platformtest"
	"cactuswell/standin/keyedlog"
)

// output collects the output of a command and signals each write.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	written chan struct{}
}

func newOutput() *output {
	return &output{written: make(chan struct{}, 1)}
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.written <- struct{}{}:
	default:
	}
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// awaitText waits until the output contains text.
func (o *output) awaitText(t *testing.T, text string) {
	t.Helper()
	limit := time.After(20 * time.Second)
	for !strings.Contains(o.String(), text) {
		select {
		case <-o.written:
		case <-limit:
			t.Fatalf("%s is missing in the output:\n%s", text, o.String())
		}
	}
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// TestGatewayReloadsSettings checks that a gateway reloads its settings on SIGHUP
// and after a change of the environment file, rejects an invalid file, and shuts
// down on SIGTERM.
func TestGatewayReloadsSettings(t *testing.T) {
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(`{"version":1}`))
	store := httptest.NewServer(platformtest.NewStore(log))
	t.Cleanup(store.Close)
	file := filepath.Join(t.TempDir(), "environment")
	write := func(ratio string) {
		t.Helper()
		text := fmt.Sprintf("# settings\nCACTUSWELL_NAME=host-1\nCACTUSWELL_ZONE=z0\nCACTUSWELL_CALLER_LISTEN=%s\n"+
			"CACTUSWELL_READY_LISTEN=%s\nCACTUSWELL_STORE_ADDRESS=%s\nCACTUSWELL_BALANCER_LAG=0s\nCACTUSWELL_BUDGET_RATIO=%s\n",
			freePort(t), freePort(t), store.Listener.Addr(), ratio)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("0.1")
	for _, name := range []string{"NAME", "ZONE", "CALLER_LISTEN", "READY_LISTEN", "STORE_ADDRESS", "BALANCER_LAG", "BUDGET_RATIO"} {
		// Setenv makes the test restore the variables that the gateway sets from
		// its file.
		t.Setenv("CACTUSWELL_"+name, "")
		if err := os.Unsetenv("CACTUSWELL_" + name); err != nil {
			t.Fatal(err)
		}
	}
	out, errors := newOutput(), newOutput()
	code := make(chan int, 1)
	go func() {
		code <- cmd.Main([]string{"gateway", "--environment-file", file}, strings.NewReader(""), out, errors)
	}()
	out.awaitText(t, `"event":"configurationTaken"`)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	out.awaitText(t, `"event":"reloadAsked"`)
	write("0.15")
	out.awaitText(t, `"event":"reloaded"`)
	write("lots")
	out.awaitText(t, `"event":"reloadRefused"`)
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if got := <-code; got != cmd.ExitOK {
		t.Errorf("exit code %d\n%s", got, errors.String())
	}
	out.awaitText(t, `"event":"stopped"`)
}

// TestGatewaySurvivesLostLogReader guards against a gateway that exits or blocks on
// writing log lines. The reader of its standard output closes the pipe or stops
// reading; the gateway must keep serving and shut down gracefully.
func TestGatewaySurvivesLostLogReader(t *testing.T) {
	t.Run("gone", func(t *testing.T) { checkLostReader(t, true) })
	t.Run("stuck", func(t *testing.T) { checkLostReader(t, false) })
}

func checkLostReader(t *testing.T, closed bool) {
	t.Helper()
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(`{"version":1}`))
	store := httptest.NewServer(platformtest.NewStore(log))
	t.Cleanup(store.Close)
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	program, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	ready := freePort(t)
	process := &exec.Cmd{
		Path: program,
		Args: []string{"cactuswell", "gateway", "--name", "host-1", "--zone", "z0", "--caller-listen", freePort(t),
			"--ready-listen", ready, "--store-address", store.Listener.Addr().String(), "--balancer-lag", "0s"},
		Stdout: writer,
	}
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- process.Wait() }()
	t.Cleanup(func() { _ = process.Process.Kill() })
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(reader)
	for lines.Scan() && !strings.Contains(lines.Text(), `"event":"configurationTaken"`) {
		continue
	}
	if closed {
		if err := reader.Close(); err != nil {
			t.Fatal(err)
		}
	}
	t.Cleanup(func() { _ = reader.Close() })
	// Each change writes a line that nobody reads; together the lines exceed the
	// buffer of a pipe.
	last := 2
	for _, steps := range []int{1, 1, 3000} {
		for range steps {
			last++
			log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, `{"version":%d}`, last))
		}
		awaitVersion(t, ready, last, exited)
	}
	stopProcess(t, process, exited)
}

// awaitVersion waits until a host's metrics show the configuration version. The
// delay before each poll leaves time for writing the log lines of the change.
func awaitVersion(t *testing.T, address string, version int, exited <-chan error) {
	t.Helper()
	limit := time.After(20 * time.Second)
	tick := time.NewTicker(150 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case err := <-exited:
			t.Fatalf("the process exited with %v", err)
		case <-limit:
			t.Fatalf("version %d is not in force after 20 s", version)
		case <-tick.C:
		}
		response, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			continue
		}
		text, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && strings.Contains(string(text), fmt.Sprintf("cactuswell_configuration_version %d\n", version)) {
			return
		}
	}
}

// stopProcess stops a process with SIGTERM and waits until it has exited.
func stopProcess(t *testing.T, process *exec.Cmd, exited <-chan error) {
	t.Helper()
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	awaitExit(t, exited)
}

// awaitExit waits until a process that stops has exited without an error.
func awaitExit(t *testing.T, exited <-chan error) {
	t.Helper()
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("the process exited with %v", err)
		}
	case <-time.After(20 * time.Second):
		t.Error("the process did not stop within 20 s")
	}
}
