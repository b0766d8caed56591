package main

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswell/platform"
	"cactuswell/platform/platformtest"
	"cactuswell/standin/keyedlog"
)

const (
	// heartbeat is the time between two entries of a server, and lapse the silence after which the
	// store removes its entry.
	heartbeat = 1200 * time.Millisecond
	lapse     = 3 * heartbeat
	// startLimit bounds the time until all hosts are ready.
	startLimit = 20 * time.Second
	// product is the program of the hosts, as the deploy file builds it.
	product = "target/cactuswell"
	// firstPort and endPort bound the ports of the processes, and portTries the search for a free one.
	firstPort = 14_000
	endPort   = 30_000
	portTries = 1000
)

// zones are those of the hosts and servers, in turn.
var zones = []string{"alm-a", "alm-b", "shy-a", "shy-b"}

// rig is a fleet of hosts with the store and the servers around it. It ends with the case.
type rig struct {
	startedAt time.Time
	trouble   bool
	directory string
	log       *keyedlog.Log
	store     *httptest.Server
	hosts     []*process
	servers   []*serverProcess
	nextPort  int

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
}

// process is a process that the rig has started.
type process struct {
	name    string
	address string
	ready   string
	command *exec.Cmd
	exited  chan struct{}
}

// serverProcess is a server and its entry in the store.
type serverProcess struct {
	process
	zone     string
	bornAt   time.Time
	silentAt time.Time
	sequence int
}

// failure ends a case that cannot run.
type failure struct{ err error }

func check(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// newRig creates the record and starts the store.
func newRig(recordPath string) (*rig, error) {
	if _, err := os.Stat(product); err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-standin-3")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	r := &rig{
		startedAt: time.Now(),
		trouble:   os.Getenv("TROUBLE") != "0",
		directory: directory,
		log:       keyedlog.New(),
		nextPort:  firstPort + rand.IntN(endPort-firstPort),
		record:    bufio.NewWriter(file),
		file:      file,
	}
	r.store = httptest.NewServer(platformtest.NewStore(r.log))
	return r, nil
}

// protect runs a case, and returns the error that has ended it.
func (r *rig) protect(run func(*rig) int) (violations int, err error) {
	defer func() {
		if value := recover(); value != nil {
			failed, ok := value.(failure)
			if !ok {
				panic(value)
			}
			err = failed.err
		}
	}()
	return run(r), nil
}

// awaitSignal ends the case, and its processes, if it is told to end.
func (r *rig) awaitSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, os.Interrupt, syscall.SIGTERM)
	<-told
	r.close()
	os.Exit(exitNotRun)
}

// close ends all processes and removes their files.
func (r *rig) close() {
	for _, s := range r.servers {
		s.kill()
	}
	for _, h := range r.hosts {
		h.kill()
	}
	r.store.CloseClientConnections()
	r.store.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
	_ = os.RemoveAll(r.directory)
}

// say writes a line to the record.
func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.startedAt).Seconds()}, args...)...)
}

// freeAddress returns an address of the loopback interface at which nothing listens. The operating
// system gives none of the ports to outgoing connections, which could take them while a process is down.
func (r *rig) freeAddress() string {
	for range portTries {
		r.nextPort++
		if r.nextPort >= endPort {
			r.nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", r.nextPort)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		check(listener.Close())
		return address
	}
	check(errors.New("no port is free"))
	return ""
}

func start(name string, command *exec.Cmd) process {
	check(command.Start())
	p := process{
		name:    name,
		command: command,
		exited:  make(chan struct{}),
	}
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	return p
}

// signal sends a signal to the process, unless it has ended.
func (p *process) signal(signal syscall.Signal) { _ = p.command.Process.Signal(signal) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// startServers starts servers, and keeps their entries in the store.
func (r *rig) startServers(service string, n int, args ...string) {
	program, err := os.Executable()
	check(err)
	first := len(r.servers)
	for i := first; i < first+n; i++ {
		id, address := fmt.Sprintf("i-%d", i+1), r.freeAddress()
		command := exec.Command(program, append([]string{"server", "--id", id, "--address", address}, args...)...)
		command.Stdout = &lineWriter{rig: r}
		s := &serverProcess{
			process: start(id, command),
			zone:    zones[i%len(zones)],
			bornAt:  time.Now(),
		}
		s.address = address
		r.servers = append(r.servers, s)
		r.publish(service, s)
	}
	started := r.servers[first:]
	go func() {
		for {
			time.Sleep(heartbeat)
			for _, s := range started {
				r.publish(service, s)
			}
		}
	}()
}

// lineWriter writes the lines of a server to the record.
type lineWriter struct {
	rig  *rig
	rest string
}

// Write implements io.Writer.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.rest += string(p)
	for {
		line, rest, ok := strings.Cut(w.rest, "\n")
		if !ok {
			return len(p), nil
		}
		w.rest = rest
		w.rig.say("%s", line)
	}
}

// publish writes the entry of a server that is alive, and removes that of one which has been silent for
// too long.
func (r *rig) publish(service string, s *serverProcess) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-s.exited:
		if s.silentAt.IsZero() {
			s.silentAt = time.Now()
		} else if s.sequence > 0 && time.Since(s.silentAt) > lapse-heartbeat {
			s.sequence = 0
			r.log.Append(platform.EndpointTopic, s.name, nil)
		}
		return
	default:
	}
	s.sequence++
	r.log.Append(platform.EndpointTopic, s.name, platformtest.Endpoint{
		Service:   service,
		Address:   s.address,
		Zone:      s.zone,
		Version:   "v1",
		Slots:     64,
		StartedAt: s.bornAt,
	}.Encode())
}

// startHosts starts hosts with the command of the deploy file and settings like those of its template,
// and waits until they are ready.
func (r *rig) startHosts(n int) {
	type addresses struct{ caller, ready, peer string }
	var all []addresses
	for range n {
		all = append(all, addresses{
			caller: r.freeAddress(),
			ready:  r.freeAddress(),
			peer:   r.freeAddress(),
		})
	}
	for i, a := range all {
		name := fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1)
		path := filepath.Join(r.directory, name+".env")
		var seeds []string
		for _, other := range all[:min(n, 3)] {
			seeds = append(seeds, other.peer)
		}
		settings := []string{
			"CACTUSWELL_NAME=" + name,
			"CACTUSWELL_ZONE=" + zones[i%len(zones)],
			"CACTUSWELL_CALLER_LISTEN=" + a.caller,
			"CACTUSWELL_READY_LISTEN=" + a.ready,
			"CACTUSWELL_READY_PATH=/api/ready",
			"CACTUSWELL_PEER_LISTEN=" + a.peer,
			"CACTUSWELL_PEERS=" + strings.Join(seeds, ","),
			"CACTUSWELL_HEADER_NAMES=platform",
			"CACTUSWELL_STORE_ADDRESS=" + r.store.Listener.Addr().String(),
			"CACTUSWELL_MEMORY_MB=284",
			"CACTUSWELL_LINK_MBPS=1000.0",
			"CACTUSWELL_BUDGET_WINDOW=10s",
			"CACTUSWELL_BUDGET_RATIO=0.2",
			"CACTUSWELL_BUDGET_SLACK=52",
			"CACTUSWELL_MAX_FDS=4100",
		}
		check(os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600))
		command := exec.Command(product, "gateway", "--environment-file", path)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
		output, err := os.Create(filepath.Join(r.directory, name+".log"))
		check(err)
		command.Stdout, command.Stderr = output, output
		h := start(name, command)
		check(output.Close())
		h.address, h.ready = a.caller, a.ready
		r.hosts = append(r.hosts, &h)
	}
	limit := time.Now().Add(startLimit)
	for _, h := range r.hosts {
		for !isReady(h) {
			if time.Now().After(limit) {
				check(errors.New(h.name + " does not become ready"))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	r.say("%d hosts are ready", n)
}

func isReady(h *process) bool {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
