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
	// startTimeout bounds the start of a process.
	startTimeout = 30 * time.Second
	// maxKeptLines bounds the output kept of one process.
	maxKeptLines = 200
)

// process is one plain process of the fleet.
type process struct {
	name    string
	command *exec.Cmd
	// addresses are told by the process: one for a stand-in, by kind for a host.
	addresses map[string]string
	started   chan struct{}
	ended     chan struct{}
	err       error

	mu    sync.Mutex
	lines []string
}

// StartError says that a process did not start.
type StartError struct {
	Name   string
	Output string
}

// Error names the process and its last output.
func (e *StartError) Error() string {
	return fmt.Sprintf("process %s did not start: %s", e.Name, e.Output)
}

// start starts the program with arguments and waits until it tells its address.
func start(name, program string, arguments ...string) (*process, error) {
	p := &process{
		name:      name,
		command:   exec.Command(program, arguments...),
		addresses: make(map[string]string),
		started:   make(chan struct{}),
		ended:     make(chan struct{}),
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
	go p.runReader(output, &once, &readers)
	go p.runReader(logs, &once, &readers)
	go p.runWait(&readers)
	select {
	case <-p.started:
		return p, nil
	case <-p.ended:
	case <-time.After(startTimeout):
		p.kill()
	}
	return nil, trace.Wrap(&StartError{
		Name:   name,
		Output: p.output(),
	})
}

// servingLine is the log line by which a host tells its addresses.
type servingLine struct {
	Event     string `json:"event"`
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
}

// runReader keeps the last lines of an output and finds the addresses in it.
func (p *process) runReader(output io.Reader, once *sync.Once, readers *sync.WaitGroup) {
	defer readers.Done()
	lines := bufio.NewScanner(output)
	lines.Buffer(make([]byte, 0, 4096), 1<<20)
	for lines.Scan() {
		line := lines.Text()
		p.keep(line)
		if p.findAddresses(line) {
			once.Do(func() { close(p.started) })
		}
	}
}

func (p *process) findAddresses(line string) bool {
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

func (p *process) keep(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lines = append(p.lines, line)
	p.lines = p.lines[max(0, len(p.lines)-maxKeptLines):]
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

func (p *process) runWait(readers *sync.WaitGroup) {
	readers.Wait()
	p.err = p.command.Wait()
	close(p.ended)
}

// signal sends a signal to the process.
func (p *process) signal(signal os.Signal) {
	_ = p.command.Process.Signal(signal)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// stop asks the process to stop and returns how it ended.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	<-p.ended
	return p.err
}
