// Package demo runs a whole deployment in one process: stand-ins for the
// platform and the endpoints, and several entry hosts.
//
// # Usage
//
//	d, err := demo.New(deployment.Kelisim(), 3, logger)
//	go d.Run(ctx, stopNow)
//	err = d.PublishProfiles(ctx)
//	address := d.Hosts()[0].CallerAddress()
package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/gravitational/trace"

	"cactuswell/core/configuration"
	"cactuswell/core/profile"
	"cactuswell/deployment"
	"cactuswell/host"
	"cactuswell/io/hostlist"
	"cactuswell/settings"
	enginestandin "cactuswell/standin/engine"
	hostliststandin "cactuswell/standin/hostlist"
	logstandin "cactuswell/standin/logservice"
	servicestandin "cactuswell/standin/service"
)

const (
	loopbackAddress = "127.0.0.1:0"
	// publishTimeout limits the time to publish the deployment's profiles.
	publishTimeout = 30 * time.Second
	// logSeed is the seed of the stand-in log's injected faults.
	logSeed = 1
)

// Demo runs a deployment in one process.
type Demo struct {
	deployment deployment.Deployment
	servers    []*server
	hosts      []*host.Host
	engines    []*enginestandin.Engine
	services   []*servicestandin.Service
	hostList   *hostliststandin.List
	logStore   *logstandin.Store
}

// server serves one stand-in.
type server struct {
	http     *http.Server
	listener net.Listener
}

func (s *server) serve() {
	_ = s.http.Serve(s.listener)
}

// New starts the stand-ins of a deployment and creates its hosts. Run starts the
// hosts.
func New(firm deployment.Deployment, hosts int, logger log.Logger) (*Demo, error) {
	d := &Demo{
		deployment: firm,
		hostList:   hostliststandin.New(),
		logStore:   logstandin.New(time.Now, logSeed),
	}
	if err := d.start(hosts, logger); err != nil {
		d.closeServers()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(hosts int, logger log.Logger) error {
	logAddress, err := d.startServer(d.logStore.Handler())
	if err != nil {
		return err
	}
	listAddress, err := d.startServer(d.hostList.Handler())
	if err != nil {
		return err
	}
	for _, endpoint := range d.deployment.Endpoints() {
		if err := d.startEndpoint(endpoint); err != nil {
			return err
		}
	}
	var peers []string
	for i := range hosts {
		h, err := host.New(host.Dependencies{
			Settings: d.hostSettings(i, logAddress, listAddress, peers),
			Logger:   logger,
		})
		if err != nil {
			return trace.Wrap(err)
		}
		d.hosts = append(d.hosts, h)
		peers = append(peers, h.PeerAddress())
	}
	return nil
}

func (d *Demo) hostSettings(index int, logAddress, listAddress string, peers []string) settings.Settings {
	s := settings.Defaults()
	s.Name = fmt.Sprintf("%s-host-%d", d.deployment.Name, index+1)
	s.Zone = d.deployment.Zones[index%len(d.deployment.Zones)]
	s.CallerListen = loopbackAddress
	s.PeerListen = loopbackAddress
	s.OperatorListen = loopbackAddress
	s.LogURL = "http://" + logAddress
	s.HostListURL = "http://" + listAddress
	s.Peers = append([]string(nil), peers...)
	s.BalancerLag = 0
	return s
}

// startServer serves handler on a free loopback port and returns the address.
func (d *Demo) startServer(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", trace.Wrap(err)
	}
	s := &server{
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: time.Minute,
		},
		listener: listener,
	}
	d.servers = append(d.servers, s)
	go s.serve()
	return listener.Addr().String(), nil
}

// startEndpoint starts the stand-in of an endpoint and adds it to the host list.
func (d *Demo) startEndpoint(endpoint deployment.Endpoint) error {
	entry := hostlist.Entry{
		Name:          endpoint.Name,
		Incarnation:   1,
		Zone:          endpoint.Zone,
		Pool:          endpoint.Pool.Name,
		State:         hostlist.StateLive,
		ChecksFencing: endpoint.Pool.ChecksFencing,
	}
	var handler http.Handler
	if endpoint.Pool.Kind == profile.KindModel {
		entry.Kind = hostlist.KindEngine
		e := enginestandin.New(enginestandin.Settings{
			Name:          endpoint.Name,
			Model:         endpoint.Pool.Name,
			Slots:         endpoint.Pool.Slots,
			TokenInterval: endpoint.Pool.TokenInterval,
			AnswerTokens:  endpoint.Pool.AnswerTokens,
			ChecksFencing: endpoint.Pool.ChecksFencing,
		})
		d.engines = append(d.engines, e)
		handler = e.Handler()
	} else {
		entry.Kind = hostlist.KindService
		s := servicestandin.New(servicestandin.Settings{
			Name:  endpoint.Name,
			Slots: endpoint.Pool.Slots,
			// The TokenInterval of a service's pool is its run time per call.
			WorkTime: endpoint.Pool.TokenInterval,
		})
		d.services = append(d.services, s)
		handler = s.Handler()
	}
	address, err := d.startServer(handler)
	if err != nil {
		return err
	}
	entry.Address = address
	d.hostList.Put(entry)
	return nil
}

// Run runs the hosts until ctx is done, then shuts them down gracefully and stops
// the stand-ins. When stopNow is done, the hosts stop immediately.
func (d *Demo) Run(ctx, stopNow context.Context) error {
	var group sync.WaitGroup
	runners := make([]*runner, 0, len(d.hosts))
	for _, h := range d.hosts {
		r := &runner{
			host: h,
		}
		runners = append(runners, r)
		group.Add(1)
		go r.run(ctx, stopNow, &group)
	}
	group.Wait()
	d.closeServers()
	for _, r := range runners {
		if r.err != nil {
			return r.err
		}
	}
	return nil
}

// runner runs one host and keeps its error.
type runner struct {
	host *host.Host
	err  error
}

func (r *runner) run(ctx, stopNow context.Context, group *sync.WaitGroup) {
	defer group.Done()
	r.err = r.host.Run(ctx, stopNow)
}

// PublishProfiles publishes the deployment's profiles through the first host, which
// must be running.
func (d *Demo) PublishProfiles(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for _, spec := range d.deployment.Profiles {
		change := configuration.ProfileChange{
			Name:   spec.Name,
			Spec:   &spec,
			Author: "demo",
		}
		if err := d.hosts[0].PublishChange(ctx, change); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (d *Demo) closeServers() {
	for _, s := range d.servers {
		_ = s.http.Close()
	}
}

// Hosts returns the hosts.
func (d *Demo) Hosts() []*host.Host { return d.hosts }

// Engines returns the stand-in engines.
func (d *Demo) Engines() []*enginestandin.Engine { return d.engines }

// Services returns the stand-in plain services.
func (d *Demo) Services() []*servicestandin.Service { return d.services }

// Log returns the stand-in log.
func (d *Demo) Log() *logstandin.Store { return d.logStore }

// HostList returns the stand-in host list.
func (d *Demo) HostList() *hostliststandin.List { return d.hostList }
