// Package soak runs hosts as processes of the operating system, beside stand-ins of the store
// and of endpoints, while callers call them and they are stopped, killed, restarted and cut
// off, and judges whether calls that must run at most once did, whether refusals were true, whether whole
// answers were one endpoint's, and whether hosts decided by the configuration that was in force.
//
// # Usage
//
//	report, err := soak.Run(ctx, soak.Settings{
//		Seed:      1,
//		Programs:  []string{"/usr/local/bin/cactuswell"},
//		Hosts:     3,
//		Endpoints: 3,
//		Callers:   24,
//		Duration:  10 * time.Second,
//		Directory: directory,
//	})
//	for _, violation := range report.Violations {
//		...
//	}
//
// The schedule of disturbances and the callers' choices follow from the seed; what happens then
// depends on the machine. The journal of a run therefore holds all that callers and endpoints
// saw, and the directory the lines of the hosts.
//
// Callers keep to the protocol: a request that must run at most once is sent again only after
// a status that promises that it was not run, or if the host closed the connection without having
// read it. All that a caller can know of the latter is that the connection was reset before the first
// byte of a response, since the operating system resets a connection that is closed with
// unread bytes and ends others in order. Through a proxy, which may itself have reset the connection,
// a caller knows nothing.
package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"cactuswell/core/route"
	"cactuswell/platform"
	"cactuswell/platform/platformtest"
	"cactuswell/standin/crowd"
	"cactuswell/standin/keyedlog"
	"cactuswell/standin/proxy"
	"cactuswell/standin/worker"
)

const (
	// callerHost is the host name of all routes.
	callerHost  = "firm.example"
	serviceName = "booking"
	zone        = "zone-1"

	defaultSlots = 4
	queueLength  = 3
	workTime     = 20 * time.Millisecond
	streamEvents = 10

	startLimit = 20 * time.Second
	// readyInterval is the time between two checks whether a host takes new connections.
	readyInterval = 250 * time.Millisecond
	// calmTime is how long the callers go on after the last disturbance.
	calmTime = 1500 * time.Millisecond
	// settleTime is the time after the last call in which one that was given up may still run. It
	// is longer than callers wait.
	settleTime = 3 * time.Second
)

// versions are the software versions of endpoints, of which the first is the one at the start.
var versions = []string{"v1", "v2"}

// StartError reports a host that does not become ready.
type StartError struct{ Host string }

// Error returns a message with the host.
func (e *StartError) Error() string { return e.Host + " does not become ready" }

// Settings describes a run.
type Settings struct {
	Seed uint64
	// Programs are the paths of the hosts' programs. Host i runs the program i modulo their
	// number.
	Programs  []string
	Hosts     int
	Endpoints int
	Callers   int
	// Slots is the number of slots of an endpoint, 4 if it is zero.
	Slots int
	// MemoryMB is the memory of a host in MB, or that by default if it is zero.
	MemoryMB int
	// Duration is the time in which disturbances begin.
	Duration time.Duration
	// RepeatsRefusals makes faulty endpoints send refusals once more.
	RepeatsRefusals bool
	// Faults are the faults that endpoints have all the time. Those that concern refusals, they also
	// have while a disturbance gives them others.
	Faults worker.Faults
	// IsVaried adds callers that send requests in unusual ways, routes with one attempt, odd answers, and
	// hosts that are short of processor time.
	IsVaried bool
	// VariesAnswers makes callers ask for answers of all sizes and framings, and for streams of all kinds, beside
	// hosts that are short of processor time.
	VariesAnswers bool
	// SendsLong makes callers send long requests, some of which endpoints answer before they have read them.
	SendsLong bool
	// Streams makes callers ask for streams, which they resume, while endpoints change between
	// two software versions.
	Streams bool
	// IsDeterministic makes all endpoints send the same events to a request.
	IsDeterministic bool
	// AsksStreams makes callers ask for streams of one software version, which may be resumed, and for calls that must run at
	// most once.
	AsksStreams bool
	// Configurations changes a large configuration again and again, and probes by which version the
	// hosts handle requests.
	Configurations bool
	// ConfigurationBound is how long after its acceptance a version must be in force on a host that
	// is undisturbed. Zero means that it need not be in force by a given time.
	ConfigurationBound time.Duration
	// OnlyPlannedWork leaves nothing of the disturbances but hosts that are restarted in order
	// and reloaded.
	OnlyPlannedWork bool
	// IsUndisturbed leaves out all disturbances, and clients that complete no request.
	IsUndisturbed bool
	// Directory takes the lines of the hosts, one file each.
	Directory string
}

// Report is the outcome of a run.
type Report struct {
	Violations []Violation
	Counts     Counts
	Journal    *Journal
	// ConfigurationsChecked is the number of probes that had to find the newest version in force.
	ConfigurationsChecked int64
	// ServedWhenCalm is the number of operations that were served after the last disturbance.
	ServedWhenCalm int64
}

// fleet is a running fleet with all that is around it.
type fleet struct {
	settings  Settings
	journal   *Journal
	log       *keyedlog.Log
	operator  *operator
	store     *httptest.Server
	hosts     []*host
	endpoints []*worker.Worker
	ports     *portBlock
	links     map[Network][]*proxy.Proxy
	// restarting and crashing are held while a host or an endpoint is down.
	restarting []sync.Mutex
	crashing   []sync.Mutex
	// isReady tells for each host whether it takes new connections.
	isReady      []atomic.Bool
	served       atomic.Int64
	endpointIDs  atomic.Int64
	disturbances sync.WaitGroup
	duties       sync.WaitGroup

	mu      sync.Mutex
	failure error
}

// Run runs a fleet. The error is that of a host or a stand-in that did not start, or of a host that
// ended by itself.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	f := &fleet{
		settings:   settings,
		journal:    NewJournal(),
		log:        keyedlog.New(),
		links:      make(map[Network][]*proxy.Proxy),
		restarting: make([]sync.Mutex, settings.Hosts),
		crashing:   make([]sync.Mutex, settings.Endpoints),
		isReady:    make([]atomic.Bool, settings.Hosts),
	}
	if f.settings.Slots == 0 {
		f.settings.Slots = defaultSlots
	}
	f.operator = newOperator(f)
	var err error
	if f.ports, err = reservePorts(); err != nil {
		return nil, err
	}
	defer f.ports.close()
	defer f.close()
	if err := f.start(ctx); err != nil {
		return nil, err
	}
	servedWhenCalm := f.play(ctx)
	return &Report{
		Violations:     f.journal.Judge(f.settings.OnlyPlannedWork),
		Counts:         f.journal.Count(),
		Journal:        f.journal,
		ServedWhenCalm: servedWhenCalm,

		ConfigurationsChecked: f.operator.checkedCount(),
	}, f.err()
}

// start starts the stand-ins and the hosts, and waits until all hosts are ready.
func (f *fleet) start(ctx context.Context) error {
	f.operator.change()
	f.store = httptest.NewServer(platformtest.NewStore(f.log))
	for i := range f.settings.Endpoints {
		if err := f.startEndpoint(i); err != nil {
			return err
		}
	}
	if err := f.prepareHosts(); err != nil {
		return err
	}
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return f.awaitReady(ctx)
}

// callerRoutes returns the routes that callers call.
func callerRoutes() []platformtest.Route {
	var routes []platformtest.Route
	for name, kind := range map[string]route.Kind{"hold": route.AtMostOnce, "trial": route.AtMostOnce, "lookup": route.Safe,
		"draft": route.Stream, "summary": route.Stream, "order": route.AtMostOnce, "note": route.Stream} {
		maxAttempts := 2
		if name == "order" || name == "note" {
			maxAttempts = 1
		}
		routes = append(routes, platformtest.Route{
			Name:           name,
			Host:           callerHost,
			PathPrefix:     "/" + name + "/",
			Kind:           kind,
			Resumable:      name == "summary",
			Service:        serviceName,
			MaxAttempts:    maxAttempts,
			Timeout:        5 * time.Second,
			TargetLatency:  150 * time.Millisecond,
			TargetEventGap: 100 * time.Millisecond,
		})
	}
	return routes
}

func (f *fleet) nextEndpointID() string { return fmt.Sprintf("i-%d", f.endpointIDs.Add(1)) }

func (f *fleet) startEndpoint(i int) error {
	id := f.nextEndpointID()
	w, err := worker.New(worker.Settings{
		ID:       id,
		Version:  versions[0],
		Names:    platform.HeaderNames(),
		Slots:    f.settings.Slots,
		Queue:    queueLength,
		WorkTime: workTime,
		Events:   streamEvents,
		Observer: f.journal,
		Seed:     f.settings.Seed + uint64(i),

		IsDeterministic: f.settings.IsDeterministic,
	})
	if err != nil {
		return err
	}
	w.SetFaults(f.settings.Faults)
	f.endpoints = append(f.endpoints, w)
	if err := f.addLink(HostsToEndpoint, w.Address()); err != nil {
		return err
	}
	f.publish(i, id)
	return nil
}

func (f *fleet) addLink(network Network, target string) error {
	link, err := proxy.New(target)
	if err != nil {
		return err
	}
	f.links[network] = append(f.links[network], link)
	return nil
}

// publish writes the entry of an endpoint, which hosts reach through its link.
func (f *fleet) publish(i int, id string) {
	f.log.Append(platform.EndpointTopic, id, platformtest.Endpoint{
		Service:   serviceName,
		Address:   f.links[HostsToEndpoint][i].Address(),
		Zone:      zone,
		Version:   f.endpoints[i].Version(),
		Slots:     f.settings.Slots,
		StartedAt: time.Now(),
	}.Encode())
}

// withdraw removes the entry of an endpoint.
func (f *fleet) withdraw(id string) { f.log.Append(platform.EndpointTopic, id, nil) }

// prepareHosts chooses the hosts' addresses and their links.
func (f *fleet) prepareHosts() error {
	for i := range f.settings.Hosts {
		addresses, err := f.ports.addresses(3)
		if err != nil {
			return err
		}
		if err := errors.Join(f.addLink(HostToStore, f.store.Listener.Addr().String()), f.addLink(CallersToHost, addresses[0])); err != nil {
			return err
		}
		name := fmt.Sprintf("host-%d", i)
		f.hosts = append(f.hosts, &host{
			name:      name,
			program:   f.settings.Programs[i%len(f.settings.Programs)],
			caller:    addresses[0],
			ready:     addresses[1],
			peer:      addresses[2],
			linesPath: linesPath(f.settings.Directory, name),
		})
	}
	for i, h := range f.hosts {
		h.args = []string{"gateway", "--name", h.name, "--zone", zone, "--caller-listen", h.caller, "--ready-listen", h.ready,
			"--peer-listen", h.peer, "--store-address", f.links[HostToStore][i].Address(), "--header-names", "platform",
			"--balancer-lag", "500ms", "--stop-timeout", f.stopTimeout().String()}
		if f.settings.MemoryMB > 0 {
			h.args = append(h.args, "--memory-mb", strconv.Itoa(f.settings.MemoryMB))
		}
		for _, other := range f.hosts {
			if other != h {
				h.args = append(h.args, "--peer", other.peer)
			}
		}
	}
	return nil
}

func (f *fleet) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, h := range f.hosts {
		for !isReady(ctx, h) {
			if ctx.Err() != nil {
				return &StartError{Host: h.name}
			}
			f.wait(ctx, readyInterval/5)
		}
	}
	return nil
}

// isReady reports whether a host answers that it takes new connections.
func isReady(ctx context.Context, h *host) bool {
	ctx, cancel := context.WithTimeout(ctx, readyInterval)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/ready", nil)
	if err != nil {
		return false
	}
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// play lets callers call while the schedule is carried out, and returns the number of operations
// that were served after its end.
func (f *fleet) play(ctx context.Context) int64 {
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	for i := range f.hosts {
		f.duties.Add(1)
		go f.loopReadiness(calling, i)
	}
	if f.settings.Configurations {
		for i := range f.hosts {
			p := f.newProber(i)
			f.duties.Go(func() { p.loop(calling) })
		}
	}
	var callers sync.WaitGroup
	for i := range f.settings.Callers {
		c := f.newCaller(i)
		callers.Go(func() { c.loop(calling) })
	}
	if !f.settings.IsUndisturbed {
		defer f.startCrowds()()
	}
	for _, scheduled := range NewSchedule(f.settings) {
		f.disturbances.Add(1)
		a := &applied{
			fleet:     f,
			scheduled: scheduled,
		}
		go a.run(ctx)
	}
	f.disturbances.Wait()
	if f.settings.IsUndisturbed {
		f.wait(ctx, f.settings.Duration)
	}
	f.fail(f.awaitReady(ctx))
	if f.settings.Configurations {
		f.fail(f.awaitNewestVersion(ctx))
		f.wait(ctx, stableTime+f.settings.ConfigurationBound)
	}
	before := f.served.Load()
	f.wait(ctx, calmTime)
	served := f.served.Load() - before
	stopCalling()
	callers.Wait()
	f.duties.Wait()
	f.wait(ctx, settleTime)
	return served
}

// crowdKinds are clients among the callers of which none completes a request.
var crowdKinds = []crowd.Kind{
	crowd.StoppedBody, crowd.FalseLength, crowd.ShortFields, crowd.Silent, crowd.Trickling, crowd.StoppedHeader,
}

// startCrowds starts a client of each kind at each host. The returned function ends them.
func (f *fleet) startCrowds() (end func()) {
	var crowds []*crowd.Crowd
	for _, h := range f.hosts {
		for _, kind := range crowdKinds {
			crowds = append(crowds, crowd.Start(crowd.Settings{
				Address: h.caller,
				Path:    "/hold/crowd",
				Fields:  platform.HeaderNames().RequestID + ": crowd\r\n",
				Kind:    kind,
				Clients: 1,
			}))
		}
	}
	return func() {
		for _, c := range crowds {
			c.Close()
		}
	}
}

func (f *fleet) newCaller(i int) *caller {
	operations := plainOperations
	if f.settings.Streams || f.settings.AsksStreams {
		operations = streamOperations
	}
	if f.settings.IsVaried {
		operations = variedOperations
	}
	if f.settings.VariesAnswers {
		operations = answerOperations
	}
	return &caller{
		name:       fmt.Sprintf("c%d", i),
		journal:    f.journal,
		pick:       f.pickHost,
		operations: operations,
		isVaried:   f.settings.IsVaried,
		names:      platform.HeaderNames(),
		random:     rand.New(rand.NewPCG(f.settings.Seed, uint64(2+i))),
		served:     &f.served,

		variesAnswers: f.settings.VariesAnswers,
		sendsLong:     f.settings.SendsLong,
		getsForeign:   f.settings.Faults.ForeignEvents > 0,
	}
}

// stopTimeout returns how long a host serves its calls when it stops: for as long as the streams last, if callers ask for them.
func (f *fleet) stopTimeout() time.Duration {
	if f.settings.AsksStreams {
		return 6 * time.Second
	}
	return 4 * time.Second
}

// loopReadiness asks a host again and again whether it takes new connections. Two misses take it out.
func (f *fleet) loopReadiness(ctx context.Context, i int) {
	defer f.duties.Done()
	misses := 0
	for ctx.Err() == nil {
		if isReady(ctx, f.hosts[i]) {
			misses = 0
		} else {
			misses++
		}
		f.isReady[i].Store(misses < 2)
		f.wait(ctx, readyInterval)
	}
}

// pickHost draws a host that takes new connections, or any if there is none, and whether it is
// reached directly.
func (f *fleet) pickHost(random *rand.Rand) address {
	var ready []int
	for i := range f.hosts {
		if f.isReady[i].Load() {
			ready = append(ready, i)
		}
	}
	i := random.IntN(len(f.hosts))
	if len(ready) > 0 {
		i = ready[random.IntN(len(ready))]
	}
	if random.IntN(2) == 0 {
		return address{
			host:    f.hosts[i].name,
			address: f.links[CallersToHost][i].Address(),
		}
	}
	return address{
		host:     f.hosts[i].name,
		address:  f.hosts[i].caller,
		isDirect: true,
	}
}

func (f *fleet) wait(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// fail keeps an error that does not end the run.
func (f *fleet) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure = errors.Join(f.failure, err)
}

// err returns what failed during the run.
func (f *fleet) err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	errs := []error{f.failure}
	for _, h := range f.hosts {
		errs = append(errs, h.err())
	}
	return errors.Join(errs...)
}

// close ends all processes and stand-ins.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.process != nil {
			h.end(syscall.SIGKILL)
		}
	}
	for _, links := range f.links {
		for _, link := range links {
			link.Close()
		}
	}
	for _, w := range f.endpoints {
		w.Close()
	}
	if f.store != nil {
		f.store.CloseClientConnections()
		f.store.Close()
	}
}
