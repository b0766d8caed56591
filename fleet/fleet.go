// Package fleet runs a complete deployment as processes on loopback: the stand-ins, the
// entry hosts and the load tool. It executes a scenario of injected faults, and counts
// checks and breaches of the guarantees. It is used by tests and measurements, and is not
// linked into the product.
//
// # Usage
//
//	run, err := fleet.New(fleet.Config{
//		Program:    "/path/to/cactuswell",
//		Deployment: deployment.Kelisim(),
//		Hosts:      9,
//	})
//	defer run.Close()
//	report, err := run.Execute(ctx, fleet.LongScenario())
//	report.WriteText(os.Stdout)
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/core/profile"
	"cactuswell/deployment"
	"cactuswell/io/hostlist"
	"cactuswell/io/operator"
	"cactuswell/load"
	"cactuswell/standin/fault"
	"cactuswell/standin/logservice"
)

const (
	// balancerLag is the setting of the hosts; the load tool's balancer reacts faster.
	balancerLag = 1 * time.Second
	// maxResponseBytes is the maximum size of an answer of a host.
	maxResponseBytes = 64 << 20
	// requestTimeout is the timeout of an HTTP request to a stand-in or a host.
	requestTimeout = 10 * time.Second
	// readyTimeout is the timeout for all profiles to be in force on all hosts.
	readyTimeout = 60 * time.Second
	// publishTimeout is the timeout for the publication of one profile.
	publishTimeout = 30 * time.Second
)

// Config configures a fleet.
type Config struct {
	// Program is the path of the cactuswell executable.
	Program    string
	Deployment deployment.Deployment
	Hosts      int
	// Speed divides the work times and token intervals of the stand-ins. Zero means 1.
	Speed int
	// HostArguments are additional command line arguments for every host.
	HostArguments []string
	// Log, if set, is called with the progress of the scenario.
	Log func(format string, values ...any)
}

// Run is a running fleet.
type Run struct {
	config     Config
	platform   map[string]*process
	endpoints  map[string]*process
	hosts      []*host
	http       *http.Client
	guarantees *guarantees
}

// host is an entry host, whose process may be restarted.
type host struct {
	name      string
	arguments []string
	process   *process
	// killTimes are the times at which the process was killed.
	killTimes []time.Time
}

// StatusError is returned if a stand-in responds with an unexpected HTTP status.
type StatusError struct {
	URL    string
	Status int
}

// Error returns the URL of the request and the status of the response.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s responded with status %d", e.URL, e.Status)
}

// New starts the processes and publishes the deployment's profiles.
func New(config Config) (*Run, error) {
	if config.Speed == 0 {
		config.Speed = 1
	}
	if config.Log == nil {
		config.Log = func(string, ...any) {}
	}
	r := &Run{
		config:    config,
		platform:  make(map[string]*process),
		endpoints: make(map[string]*process),
		http: &http.Client{
			Timeout: requestTimeout,
		},
		guarantees: newGuarantees(),
	}
	if err := r.startAll(); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

func (r *Run) startAll() error {
	for _, name := range []string{"log", "host-list"} {
		p, err := startProcess(name, r.config.Program, "standin", name)
		if err != nil {
			return err
		}
		r.platform[name] = p
	}
	for _, endpoint := range r.config.Deployment.Endpoints() {
		if err := r.startEndpoint(endpoint); err != nil {
			return err
		}
	}
	for i := range r.config.Hosts {
		if err := r.startHost(i); err != nil {
			return err
		}
	}
	return r.publishProfiles()
}

func (r *Run) startEndpoint(endpoint deployment.Endpoint) error {
	interval := (endpoint.Pool.TokenInterval / time.Duration(r.config.Speed)).String()
	slots := fmt.Sprint(endpoint.Pool.Slots)
	entry := hostlist.Entry{
		Name:          endpoint.Name,
		Incarnation:   1,
		Zone:          endpoint.Zone,
		Kind:          hostlist.KindService,
		Pool:          endpoint.Pool.Name,
		State:         hostlist.StateLive,
		ChecksFencing: endpoint.Pool.ChecksFencing,
	}
	arguments := []string{"standin", "service", "--name", endpoint.Name, "--slots", slots, "--work-time", interval}
	if endpoint.Pool.Kind == profile.KindModel {
		entry.Kind = hostlist.KindEngine
		arguments = []string{
			"standin", "engine", "--name", endpoint.Name, "--model", endpoint.Pool.Name, "--slots", slots,
			"--token-interval", interval, "--answer-tokens", fmt.Sprint(endpoint.Pool.AnswerTokens),
		}
	}
	p, err := startProcess(endpoint.Name, r.config.Program, arguments...)
	if err != nil {
		return err
	}
	r.endpoints[endpoint.Name] = p
	entry.Address = p.addresses["listen"]
	return r.putJSON("http://"+r.platform["host-list"].addresses["listen"]+"/v1/hosts/"+entry.Name, entry)
}

func (r *Run) startHost(index int) error {
	h := &host{
		name: fmt.Sprintf("host-%d", index+1),
	}
	h.arguments = []string{
		"serve", "--name", h.name, "--zone", r.config.Deployment.Zones[index%len(r.config.Deployment.Zones)],
		"--log-url", "http://" + r.platform["log"].addresses["listen"],
		"--host-list-url", "http://" + r.platform["host-list"].addresses["listen"],
		"--balancer-lag", balancerLag.String(),
	}
	h.arguments = append(h.arguments, r.config.HostArguments...)
	for _, other := range r.hosts {
		h.arguments = append(h.arguments, "--peer", other.process.addresses["peers"])
	}
	p, err := startProcess(h.name, r.config.Program, append(h.arguments, "--caller-listen", "127.0.0.1:0",
		"--peer-listen", "127.0.0.1:0", "--operator-listen", "127.0.0.1:0")...)
	if err != nil {
		return err
	}
	h.process = p
	// A restarted process listens on the same addresses.
	for _, kind := range []string{"caller", "peer", "operator"} {
		h.arguments = append(h.arguments, "--"+kind+"-listen", p.addresses[kind+"s"])
	}
	r.hosts = append(r.hosts, h)
	return nil
}

// restart starts a new process for a host, with the same arguments.
func (r *Run) restart(h *host) error {
	p, err := startProcess(h.name, r.config.Program, h.arguments...)
	if err != nil {
		return err
	}
	h.process = p
	return nil
}

func (r *Run) publishProfiles() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, spec := range r.config.Deployment.Profiles {
		accepted, err := r.setProfile(ctx, 0, spec, 0)
		if err != nil {
			return err
		}
		if err := r.operator(0).AwaitInForce(ctx, accepted.Offset); err != nil {
			return err
		}
	}
	return nil
}

// setProfile publishes a profile through a host. The request is retried while the host
// is not ready.
func (r *Run) setProfile(ctx context.Context, host int, spec profile.Spec, base uint64) (operator.AcceptedChange, error) {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	return r.operator(host).SetProfile(ctx, spec, base, "fleet")
}

func (r *Run) operator(host int) *operator.Client {
	return operator.NewClient("http://"+r.hosts[host].process.addresses["operators"], r.http)
}

// putJSON sends a JSON document with the PUT method.
func (r *Run) putJSON(address string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	request, err := http.NewRequest(http.MethodPut, address, bytes.NewReader(data))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := r.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return trace.Wrap(&StatusError{
			URL:    address,
			Status: response.StatusCode,
		})
	}
	return nil
}

func (r *Run) setEndpointFaults(name string, faults fault.Faults) error {
	return r.putJSON("http://"+r.endpoints[name].addresses["listen"]+"/faults", faults)
}

func (r *Run) setLogFaults(faults logservice.Faults) error {
	return r.putJSON("http://"+r.platform["log"].addresses["listen"]+"/faults", faults)
}

// fetchAttemptCount returns how many attempts an engine has started.
func (r *Run) fetchAttemptCount(name string) (uint64, error) {
	response, err := r.http.Get("http://" + r.endpoints[name].addresses["listen"] + "/generated")
	if err != nil {
		return 0, trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	var generated struct {
		Attempts uint64 `json:"attempts"`
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&generated)
	return generated.Attempts, trace.Wrap(err)
}

// loadConfig returns the load tool's configuration for a scenario.
func (r *Run) loadConfig(scenario Scenario) load.Config {
	config := load.Config{
		Deployment: r.config.Deployment,
		Streams:    scenario.Streams,
		Duration:   scenario.Duration,
		Seed:       scenario.Seed,
		KeyShare:   scenario.KeyShare,
	}
	for _, h := range r.hosts {
		config.Hosts = append(config.Hosts, h.process.addresses["callers"])
	}
	for _, endpoint := range r.config.Deployment.Endpoints() {
		address := r.endpoints[endpoint.Name].addresses["listen"]
		if endpoint.Pool.Kind == profile.KindModel {
			config.Engines = append(config.Engines, address)
		} else {
			config.Services = append(config.Services, address)
		}
	}
	return config
}

// Close kills all processes.
func (r *Run) Close() {
	for _, h := range r.hosts {
		h.process.kill()
	}
	for _, p := range r.endpoints {
		p.kill()
	}
	for _, p := range r.platform {
		p.kill()
	}
	r.http.CloseIdleConnections()
}

// Output returns the last output lines of all hosts, for the analysis of a failed run.
func (r *Run) Output() string {
	var text strings.Builder
	for _, h := range r.hosts {
		fmt.Fprintf(&text, "== %s\n%s\n", h.name, h.process.output())
	}
	return text.String()
}
