package soak

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stopLimit is how long a host may take to shut down.
const stopLimit = 10 * time.Second

// ExitError reports a host that has ended without being told to.
type ExitError struct {
	Host string
	// LastLine is the last line of its output.
	LastLine string
	Err      error
}

// Error returns a message with the host and the cause.
func (e *ExitError) Error() string {
	text := e.Host + " has ended by itself"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	if e.LastLine != "" {
		text += "; its last line: " + e.LastLine
	}
	return text
}

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// host is a host that runs as a process. It is safe for concurrent use.
type host struct {
	name    string
	program string
	args    []string
	// caller, ready and peer are the addresses at which it listens.
	caller, ready, peer string
	// linesPath is the file with the process's output, of all incarnations.
	linesPath string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// starts is the number of processes that have been started.
	starts int
	// endsWanted is set while the process is told to end.
	endsWanted bool
	failure    error
}

// start starts the process, whose output is appended to the file with its lines.
func (h *host) start() error {
	lines, err := os.OpenFile(h.linesPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	// The process has a descriptor of its own.
	defer func() { _ = lines.Close() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	process := &exec.Cmd{
		Path:   h.program,
		Args:   append([]string{"cactuswell"}, h.args...),
		Stdout: lines,
		Stderr: lines,
	}
	if err := process.Start(); err != nil {
		return err
	}
	h.process = process
	h.starts++
	h.exited = make(chan struct{})
	h.endsWanted = false
	go h.run(process, h.exited)
	return nil
}

// run waits for the end of the process.
func (h *host) run(process *exec.Cmd, exited chan<- struct{}) {
	err := process.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.endsWanted {
		h.failure = errors.Join(h.failure, &ExitError{
			Host:     h.name,
			LastLine: lastLine(h.linesPath),
			Err:      err,
		})
	}
	close(exited)
}

// signal sends a signal to the process. One that has ended gets none.
func (h *host) signal(signal syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.process.Process.Signal(signal)
}

// end sends a signal that ends the process, waits for its end, and kills it if that takes
// too long. It reports whether the process ended in time.
func (h *host) end(signal syscall.Signal) bool {
	h.mu.Lock()
	h.endsWanted = true
	exited := h.exited
	_ = h.process.Process.Signal(signal)
	h.mu.Unlock()
	timer := time.NewTimer(stopLimit)
	defer timer.Stop()
	select {
	case <-exited:
		return true
	case <-timer.C:
	}
	h.signal(syscall.SIGKILL)
	<-exited
	return false
}

// incarnation returns a number that differs for each process of the host.
func (h *host) incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts
}

// err returns the errors of processes that have ended by themselves.
func (h *host) err() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failure
}

// lastLine returns the last line of a file, or an empty string if it cannot be read.
func lastLine(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return ""
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func linesPath(directory, name string) string {
	return filepath.Join(directory, name+".jsonl")
}
