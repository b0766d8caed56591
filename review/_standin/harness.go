package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cactuswell/platform/platformtest"
	"cactuswell/standin/keyedlog"
)

const (
	callerHost  = "rooms.example"
	configTopic = "keyed.op"
	configKey   = "config"
	serverTopic = "keyed.servers"
	apiKey      = "review-key-1"
	teamName    = "review"
)

// bench holds the parts of a small deployment: the platform's store, servers and gateways.
type bench struct {
	dir      string
	record   *os.File
	start    time.Time
	log      *keyedlog.Log
	store    string
	gateways []*gateway
	trouble  bool

	mu     sync.Mutex
	broken []string

	// processes guards the start of processes: none starts once isClosed is set.
	processes sync.Mutex
	isClosed  bool
}

// newBench starts the store. Dir is the folder of the case.
func newBench(dir string, trouble bool) (*bench, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bench{
		dir:     dir,
		record:  record,
		start:   time.Now(),
		log:     keyedlog.New(),
		trouble: trouble,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.store = listener.Addr().String()
	go func() { _ = http.Serve(listener, platformtest.NewStore(b.log)) }()
	b.printf("trouble: %v", b.trouble)
	return b, nil
}

// printf writes a line with the time since the start to record.txt.
func (b *bench) printf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.record, "%8.3f s  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that a rule was broken.
func (b *bench) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	b.printf("BROKEN: %s", text)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, text)
}

// route is a route of the configuration, under the names of the pages.
type route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"pathPrefix"`
	Kind            string  `json:"kind"`
	TimeoutMs       float64 `json:"timeoutMs"`
	TargetLatencyMs float64 `json:"targetLatencyMs"`
	TargetGapMs     float64 `json:"targetGapMs,omitempty"`
	Priority        int     `json:"priority"`
	Service         string  `json:"service"`
	MaxAttempts     int     `json:"maxAttempts"`
	Public          bool    `json:"public"`
	Sticky          bool    `json:"sticky"`
	Resumable       bool    `json:"resumable"`
}

// modelServers describes the model servers of lindqvist-boka.
var modelServers = map[string]any{
	"slots":        64,
	"kvCapacity":   418045,
	"tokenKvBytes": 163840,
	"linkMbps":     550000.0,
	"moves":        true,
	"backups":      true,
	"stride":       4,
	"most":         12,
	"pinMs":        4000.0,
	"holdMs":       2000.0,
	"handleS":      5.0,
	"models":       []map[string]any{{"name": "m"}},
}

// configure writes a configuration as the operator does.
func (b *bench) configure(version int, routes []route) {
	services := []map[string]any{}
	seen := make(map[string]bool)
	for i := range routes {
		routes[i].Host = callerHost
		if !seen[routes[i].Service] {
			seen[routes[i].Service] = true
			service := map[string]any{
				"name":           routes[i].Service,
				"healthPath":     "/health",
				"maxConnections": 360,
				"protocol":       "h1",
				"tls":            false,
			}
			if routes[i].Sticky {
				service["engine"] = modelServers
			}
			services = append(services, service)
		}
	}
	value, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits": map[string]any{
			"maxHeaderBytes":  16384,
			"maxBodyBytes":    4194304,
			"headerTimeoutMs": 3000,
			"idleTimeoutMs":   15000,
		},
		"tenants": []map[string]any{{
			"name":     teamName,
			"apiKeys":  []string{apiKey},
			"priority": 1,
		}},
	})
	b.log.Append(configTopic, configKey, value)
	b.printf("configuration %d: %s", version, value)
}

// register writes a server's entry, and renews it every second.
func (b *bench) register(id, service, address string, slots int) {
	born := time.Now().UnixMilli()
	write := func(sequence int) {
		value, _ := json.Marshal(map[string]any{
			"service":         service,
			"address":         address,
			"zone":            "alm-a",
			"version":         "v1",
			"slots":           slots,
			"state":           "ready",
			"coldRemainingMs": 0,
			"born":            born,
			"sequence":        sequence,
		})
		b.log.Append(serverTopic, id, value)
	}
	write(1)
	b.printf("server %s of %s at %s", id, service, address)
	go func() {
		for sequence := 2; ; sequence++ {
			time.Sleep(1200 * time.Millisecond)
			write(sequence)
		}
	}()
}

// gateway is a process of the project.
type gateway struct {
	bench   *bench
	name    string
	callers string
	ready   string
	peers   string
	file    string
	command *exec.Cmd
	exited  chan struct{}
}

// freeAddress returns a loopback address that is free for TCP and UDP, with a port outside the range
// from which outgoing connections take theirs.
func freeAddress() string {
	const firstPort, ports = 20000, 12000
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp", address)
		_ = listener.Close()
		if err == nil {
			_ = packets.Close()
			return address
		}
	}
}

// startGateways starts n gateways with the settings that the template gives a small deployment.
func (b *bench) startGateways(n, memoryMB int) error {
	for i := range n {
		b.gateways = append(b.gateways, &gateway{
			bench:   b,
			name:    fmt.Sprintf("front-alm-a-%d", i+1),
			callers: freeAddress(),
			ready:   freeAddress(),
			peers:   freeAddress(),
		})
	}
	var seeds []string
	for _, g := range b.gateways[:min(n, 3)] {
		seeds = append(seeds, g.peers)
	}
	for _, g := range b.gateways {
		lines := []string{
			"CACTUSWELL_NAME=" + g.name,
			"CACTUSWELL_ZONE=alm-a",
			"CACTUSWELL_CALLER_LISTEN=" + g.callers,
			"CACTUSWELL_READY_LISTEN=" + g.ready,
			"CACTUSWELL_READY_PATH=/api/ready",
			"CACTUSWELL_PEER_LISTEN=" + g.peers,
			"CACTUSWELL_PEERS=" + strings.Join(seeds, ","),
			"CACTUSWELL_HEADER_NAMES=platform",
			"CACTUSWELL_STORE_ADDRESS=" + b.store,
			"CACTUSWELL_MEMORY_MB=" + strconv.Itoa(memoryMB),
			"CACTUSWELL_LINK_MBPS=1000.0",
			"CACTUSWELL_BUDGET_WINDOW=10s",
			"CACTUSWELL_BUDGET_RATIO=0.2",
			"CACTUSWELL_BUDGET_SLACK=52",
			"CACTUSWELL_MAX_FDS=4100",
			"",
		}
		g.file = filepath.Join(os.TempDir(), fmt.Sprintf("review-%d-%s.env", os.Getpid(), g.name))
		if err := os.WriteFile(g.file, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
			return err
		}
		if err := g.run(); err != nil {
			return err
		}
	}
	for _, g := range b.gateways {
		if err := g.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// run starts the process with the command of the deploy file.
func (g *gateway) run() error {
	g.bench.processes.Lock()
	defer g.bench.processes.Unlock()
	if g.bench.isClosed {
		return errors.New("the case has ended")
	}
	output, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("review-%d-%s.log", os.Getpid(), g.name)), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	g.command = exec.Command("target/cactuswell", "gateway", "--environment-file", g.file)
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	g.command.Stdout = output
	g.command.Stderr = output
	if err := g.command.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		err := command.Wait()
		_ = output.Close()
		g.bench.printf("%s (process %d) ended: %v", g.name, command.Process.Pid, err)
		close(exited)
	}(g.command, g.exited)
	g.bench.printf("%s started as process %d, callers %s", g.name, g.command.Process.Pid, g.callers)
	return nil
}

// residentMB returns the memory that the process has in use, in MB.
func (g *gateway) residentMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb float64
		if _, err := fmt.Sscanf(line, "VmRSS: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// signal sends a signal to the process.
func (g *gateway) signal(signal syscall.Signal) {
	g.bench.printf("%s (process %d) gets %v", g.name, g.command.Process.Pid, signal)
	_ = g.command.Process.Signal(signal)
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + "/api/ready")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New(g.name + " did not become ready")
}

// metrics returns the lines of the gateway's metrics.
func (g *gateway) metrics() string {
	c, err := dialClient(g.ready)
	if err != nil {
		return ""
	}
	defer c.close()
	if _, err := io.WriteString(c.conn, "GET /metrics HTTP/1.1\r\nHost: "+g.ready+"\r\nConnection: close\r\n\r\n"); err != nil {
		return ""
	}
	return c.receive(time.Second).body
}

// close ends all processes, prints the result and returns the exit code.
func (b *bench) close() int {
	b.processes.Lock()
	b.isClosed = true
	b.processes.Unlock()
	for _, g := range b.gateways {
		if g.command == nil || g.command.Process == nil {
			continue
		}
		_ = g.command.Process.Kill()
		<-g.exited
		_ = os.Remove(g.file)
		logFile := filepath.Join(os.TempDir(), fmt.Sprintf("review-%d-%s.log", os.Getpid(), g.name))
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.Remove(logFile)
		} else {
			fmt.Println("log:", logFile)
		}
	}
	if len(b.broken) > 0 {
		b.printf("result: the rule was broken %d times", len(b.broken))
		fmt.Printf("broken %d times, first: %s\n", len(b.broken), b.broken[0])
		return 1
	}
	b.printf("result: the rule held")
	fmt.Println("held")
	return 0
}

// request is what a client sends.
type request struct {
	id      string
	method  string
	path    string
	timeout time.Duration
	header  []string
	body    string
}

// client is one connection of a client.
type client struct {
	conn     net.Conn
	messages *messages
}

func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{
		conn:     conn,
		messages: newMessages(conn),
	}, nil
}

func (c *client) close() { _ = c.conn.Close() }

// send writes a request.
func (c *client) send(r *request) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		r.method, r.path, callerHost, r.id, r.timeout.Milliseconds(), apiKey)
	for _, line := range r.header {
		text.WriteString(line + "\r\n")
	}
	if r.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(r.body))
	}
	text.WriteString("\r\n")
	if r.method == http.MethodPost {
		text.WriteString(r.body)
	}
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// answer is what a client received.
type answer struct {
	// status is zero if the connection ended without the head of an answer.
	status    int
	signature string
	requestID string
	body      string
	length    int64
	// complete is set if the answer ended as a complete one does.
	complete bool
	err      error
}

// receive reads an answer within the given time from now.
func (c *client) receive(limit time.Duration) *answer { return c.messages.readAnswer(limit) }

// server accepts connections and passes each request to its handler.
type server struct {
	id     string
	handle func(conn net.Conn, request *http.Request, body string) (keep bool)
}

// serve serves the connections of a listener.
func (s *server) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn)
	}
}

func (s *server) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	received := newMessages(conn)
	for {
		request, body, err := received.readRequest()
		if err != nil {
			return
		}
		if expected := request.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		if !s.handle(conn, request, body) {
			return
		}
	}
}
