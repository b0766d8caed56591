package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

const (
	// startTimeout is the time within which a process must print its addresses.
	startTimeout = 30 * time.Second
	// maxOutputLines is the number of output lines that are kept of one process.
	maxOutputLines = 200
)

// process is an operating system process of the fleet.
type process struct {
	name    string
	command *exec.Cmd
	// addresses are the listen addresses that the process printed: a stand-in's only
	// address under "listen", a host's under "callers", "peers" and "operators".
	addresses map[string]string
	// started is closed when the addresses are known, and exited when the process has
	// exited. exitErr may be read only after exited is closed.
	started chan struct{}
	exited  chan struct{}
	exitErr error

	mu    sync.Mutex
	lines []string
}

// StartError is returned if a process exits or times out before it prints its addresses.
type StartError struct {
	Name   string
	Output string
}

// Error returns the name and the last output of the process.
func (e *StartError) Error() string {
	return fmt.Sprintf("process %s did not start: %s", e.Name, e.Output)
}

// startProcess starts the program and waits until it prints its addresses. If the program
// exits or startTimeout elapses first, it returns a StartError.
func startProcess(name, program string, arguments ...string) (*process, error) {
	p := &process{
		name:      name,
		command:   exec.Command(program, arguments...),
		addresses: make(map[string]string),
		started:   make(chan struct{}),
		exited:    make(chan struct{}),
	}
	output, err := p.command.StdoutPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	logs, err := p.command.StderrPipe()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := p.command.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	var once sync.Once
	var readers sync.WaitGroup
	readers.Add(2)
	go p.readOutput(output, &once, &readers)
	go p.readOutput(logs, &once, &readers)
	go p.waitForExit(&readers)
	select {
	case <-p.started:
		return p, nil
	case <-p.exited:
	case <-time.After(startTimeout):
		p.kill()
	}
	return nil, trace.Wrap(&StartError{
		Name:   name,
		Output: p.output(),
	})
}

// servingLine is the log line in which a host reports its addresses.
type servingLine struct {
	Event     string `json:"event"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// readOutput reads an output of the process, keeps its last lines and parses the addresses.
func (p *process) readOutput(output io.Reader, once *sync.Once, readers *sync.WaitGroup) {
	defer readers.Done()
	lines := bufio.NewScanner(output)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		line := lines.Text()
		p.appendLine(line)
		if p.parseAddresses(line) {
			once.Do(func() { close(p.started) })
		}
	}
}

// parseAddresses reports whether the line has the addresses, and if so stores them.
func (p *process) parseAddresses(line string) bool {
	if address, ok := strings.CutPrefix(line, "listening on "); ok {
		p.addresses["listen"] = address
		return true
	}
	var serving servingLine
	if json.Unmarshal([]byte(line), &serving) != nil || serving.Event != "serving" {
		return false
	}
	p.addresses["callers"] = serving.Callers
	p.addresses["peers"] = serving.Peers
	p.addresses["operators"] = serving.Operators
	return true
}

func (p *process) appendLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, line)
	p.lines = p.lines[max(0, len(p.lines)-maxOutputLines):]
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// waitForExit waits until both outputs are closed, and then for the exit of the process.
func (p *process) waitForExit(readers *sync.WaitGroup) {
	readers.Wait()
	p.exitErr = p.command.Wait()
	close(p.exited)
}

func (p *process) signal(signal os.Signal) {
	_ = p.command.Process.Signal(signal)
}

// kill kills the process, also if it is suspended, and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// stop sends SIGTERM to the process, waits for its exit, and returns the exit error.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	<-p.exited
	return p.exitErr
}
