// Command standin-2 runs the cases of the second review: it starts hosts as processes with the command of the deploy file,
// serves stand-ins of the store, of the control API and of endpoints from its own process, and judges what callers and
// endpoints see.
//
// # Usage
//
//	standin-2 --case NAME --program target/cactuswell --record FILE
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
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
	callerHost = "firm.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	team       = "hule930"
)

// rig holds the processes and stand-ins of a case.
type rig struct {
	program   string
	directory string
	started   time.Time

	mu     sync.Mutex
	record *bufio.Writer

	log    *keyedlog.Log
	store  net.Listener
	hosts  []*host
	config map[string]any
}

// host is a gateway process.
type host struct {
	rig      *rig
	name     string
	zone     string
	front    string
	ready    string
	control  string
	settings string
	process  *exec.Cmd
	done     chan struct{}
	output   *os.File
	startedN int
}

func newRig(program, recordPath string) (*rig, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	r := &rig{
		program:   program,
		directory: directory,
		started:   time.Now(),
		record:    bufio.NewWriter(file),
		log:       keyedlog.New(),
	}
	if r.store, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	return r, nil
}

// serveStore serves the store, with a handler around it if it is not nil.
func (r *rig) serveStore(wrap func(http.Handler) http.Handler) {
	var handler http.Handler = platformtest.NewStore(r.log)
	if wrap != nil {
		handler = wrap(handler)
	}
	go func() { _ = http.Serve(r.store, handler) }()
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	for _, h := range r.hosts {
		h.kill()
	}
	r.mu.Lock()
	_ = r.record.Flush()
	r.mu.Unlock()
	_ = os.RemoveAll(r.directory)
}

// The ports of the hosts are below those of outgoing connections, one of which could take the port of a host that starts again.
const (
	firstPort = 12000
	lastPort  = 32000
)

// freePort returns an address of which the port is free for TCP and UDP.
func freePort() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		udp, err := net.ListenPacket("udp", address)
		_ = tcp.Close()
		if err != nil {
			continue
		}
		_ = udp.Close()
		return address
	}
}

// addHost adds a host with settings like those of the template of the deploy file.
func (r *rig) addHost(name, zone string, memoryMB int, extra map[string]string) *host {
	h := &host{
		rig:      r,
		name:     name,
		zone:     zone,
		front:    freePort(),
		ready:    freePort(),
		control:  freePort(),
		settings: filepath.Join(r.directory, name+".env"),
	}
	if memoryMB == 0 {
		memoryMB = 134
	}
	seeds := h.control
	if len(r.hosts) > 0 {
		seeds = r.hosts[0].control
	}
	text := ""
	add := func(key, value string) { text += "CACTUSWELL_" + key + "=" + value + "\n" }
	add("NAME", name)
	add("ZONE", zone)
	add("CALLER_LISTEN", h.front)
	add("READY_LISTEN", h.ready)
	add("READY_PATH", "/api/ready")
	add("PEER_LISTEN", h.control)
	add("PEERS", seeds)
	add("HEADER_NAMES", "platform")
	add("STORE_ADDRESS", r.store.Addr().String())
	add("MEMORY_MB", fmt.Sprint(memoryMB))
	add("LINK_MBPS", "1000.0")
	add("BUDGET_WINDOW", "10s")
	add("BUDGET_RATIO", "0.2")
	add("BUDGET_SLACK", "58")
	add("MAX_FDS", "4100")
	for key, value := range extra {
		add(key, value)
	}
	_ = os.WriteFile(h.settings, []byte(text), 0o600)
	r.hosts = append(r.hosts, h)
	return h
}

// start starts the process.
func (h *host) start() error {
	h.startedN++
	output, err := os.Create(filepath.Join(filepath.Dir(h.settings), fmt.Sprintf("%s.%d.log", h.name, h.startedN)))
	if err != nil {
		return err
	}
	command := exec.Command(h.rig.program, "gateway", "--environment-file", h.settings)
	command.Stdout, command.Stderr = output, output
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=/tmp"}
	// The host ends with this process.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	h.process, h.output, h.done = command, output, make(chan struct{})
	done := h.done
	go func() {
		err := command.Wait()
		h.rig.note("%s has ended: %v", h.name, err)
		close(done)
	}()
	h.rig.note("%s started, process %d", h.name, command.Process.Pid)
	return nil
}

// noteLines copies the lines of the host's log that hold a text to the record.
func (h *host) noteLines(text string) {
	for n := range h.startedN {
		data, _ := os.ReadFile(filepath.Join(filepath.Dir(h.settings), fmt.Sprintf("%s.%d.log", h.name, n+1)))
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				h.rig.note("log of %s: %s", h.name, strings.TrimSpace(line))
			}
		}
	}
}

func (h *host) signal(s syscall.Signal) {
	h.rig.note("%s to %s", s, h.name)
	_ = h.process.Process.Signal(s)
}

func (h *host) kill() {
	if h.process == nil {
		return
	}
	_ = h.process.Process.Kill()
	<-h.done
}

func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var errNotReady = errors.New("a host is not ready")

func (r *rig) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, h := range r.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return errNotReady
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// entry is the entry of an endpoint in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Cold     int    `json:"coldRemainingMs"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

func (r *rig) writeEntry(id string, e entry) {
	value, _ := json.Marshal(e)
	r.log.Append(platform.EndpointTopic, id, value)
	r.note("entry of %s: %s", id, value)
}

func (r *rig) writeConfig(config map[string]any) {
	value, _ := json.Marshal(config)
	r.log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, value)
	r.note("configuration %v", config["version"])
}

// route returns a route.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": callerHost, "pathPrefix": prefix, "kind": kind, "service": service,
		"timeoutMs": 10000, "targetLatencyMs": 400, "maxAttempts": 1, "priority": 0, "sticky": kind == "streaming",
	}
	if kind == "streaming" {
		r["targetGapMs"] = 200
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

func config(version int, routes []map[string]any, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 10000, "idleTimeoutMs": 60000},
		"tenants": []map[string]any{{"name": team, "apiKeys": []string{apiKey}}},
	}
}

func service(name string, engineSlots int) map[string]any {
	s := map[string]any{"name": name, "healthPath": "/health", "maxConnections": 370}
	if engineSlots > 0 {
		s["engine"] = map[string]any{"slots": engineSlots, "kvCapacity": 418045, "stride": 4, "tokenKvBytes": 163840.0, "linkMbps": 550000.0}
	}
	return s
}
