package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"cactuswell/core/route"
	"cactuswell/platform"
	"cactuswell/platform/platformtest"
)

const (
	// unusedRoutes is the number of routes that make a configuration large, and unusedHost their host
	// name.
	unusedRoutes = 1400
	unusedHost   = "unused.example"
	// probeInterval is the time between two probes of a host, and probeTimeout bounds one.
	probeInterval = 50 * time.Millisecond
	probeTimeout  = time.Second
	// stableTime is how long a host and the store must have been undisturbed for a version to have
	// to be in force in time.
	stableTime = 3 * time.Second
)

// VersionError reports a host on which the newest configuration does not come into force.
type VersionError struct {
	Host    string
	Version int
}

// Error returns a message with the host and the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d does not come into force on %s", e.Version, e.Host)
}

// versionPrefix is the path prefix of the route that only one version of the configuration has.
func versionPrefix(version int) string { return fmt.Sprintf("/version-%d/", version) }

// versionedRoutes returns the routes of a version besides those that callers call.
func versionedRoutes(version int) []platformtest.Route {
	routes := []platformtest.Route{{
		Name:       "version",
		Host:       callerHost,
		PathPrefix: versionPrefix(version),
		Kind:       route.Safe,
		Service:    serviceName,
		Timeout:    probeTimeout,
	}}
	for i := range unusedRoutes {
		routes = append(routes, platformtest.Route{
			Name:       fmt.Sprintf("unused-%d", i),
			Host:       unusedHost,
			PathPrefix: fmt.Sprintf("/unused-%d/", i),
			Kind:       route.Safe,
			Service:    serviceName,
			Timeout:    probeTimeout,
		})
	}
	return routes
}

// operator changes the configuration, and records what disturbs each host, from which follows whether
// it must have the newest one. It is safe for concurrent use.
type operator struct {
	fleet *fleet

	mu         sync.Mutex
	version    int
	acceptedAt time.Time
	// disturbed counts what disturbs each host at the moment, and calmSince is when the last
	// disturbance of it ended.
	disturbed []int
	calmSince []time.Time
	checked   int64
}

func newOperator(f *fleet) *operator {
	return &operator{
		fleet:     f,
		disturbed: make([]int, f.settings.Hosts),
		calmSince: make([]time.Time, f.settings.Hosts),
	}
}

// change writes the next version of the configuration.
func (o *operator) change() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	routes := callerRoutes()
	if o.fleet.settings.Configurations {
		routes = append(routes, versionedRoutes(o.version)...)
	}
	o.fleet.log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, platformtest.EncodeConfigurationWithLimit(o.version, routes, bodyLimit))
	o.acceptedAt = time.Now()
}

// newest returns the newest version.
func (o *operator) newest() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

func (o *operator) checkedCount() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.checked
}

// disturb records the beginning of a disturbance, and the returned function its end.
func (o *operator) disturb(disturbance Disturbance) (end func()) {
	hosts := o.fleet.disturbedHosts(disturbance)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, i := range hosts {
		o.disturbed[i]++
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		for _, i := range hosts {
			o.disturbed[i]--
			o.calmSince[i] = time.Now()
		}
	}
}

// disturbedHosts returns the hosts whose process or whose way to the store or to the callers is
// disturbed.
func (f *fleet) disturbedHosts(disturbance Disturbance) []int {
	onLink := func(network Network, link int) []int {
		if network == HostsToEndpoint {
			return nil
		}
		return []int{link}
	}
	switch d := disturbance.(type) {
	case PausedHost:
		return []int{d.Host}
	case StarvedHost:
		return []int{d.Host}
	case KilledHosts:
		return d.Hosts
	case RestartedHost:
		return []int{d.Host}
	case ReloadedHost:
		return []int{d.Host}
	case HeldLink:
		return onLink(d.Network, d.Link)
	case SlowLink:
		return onLink(d.Network, d.Link)
	case EndedConnections:
		return onLink(d.Network, d.Link)
	case StoreDown:
		all := make([]int, len(f.hosts))
		for i := range all {
			all[i] = i
		}
		return all
	}
	return nil
}

// mustHave reports whether a host must handle a request that was sent at a time by the newest version,
// and whether that still is the given one. It counts the requests of which both are true.
func (o *operator) mustHave(host, version int, sentAt time.Time) (isDue, isNewest bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	bound := o.fleet.settings.ConfigurationBound
	isDue = bound > 0 && o.disturbed[host] == 0 && sentAt.Sub(o.acceptedAt) > bound && sentAt.Sub(o.calmSince[host]) > stableTime
	if isDue && o.version == version {
		o.checked++
	}
	return isDue, o.version == version
}

// prober asks a host again and again for the route that only the newest version has.
type prober struct {
	fleet *fleet
	index int
	// clients are one that keeps its connection and one that does not.
	clients [2]*http.Client
	// seen is the newest version by which the incarnation of the host has handled a request.
	seen        int
	incarnation int
	sent        int
}

func (f *fleet) newProber(index int) *prober {
	p := &prober{
		fleet: f,
		index: index,
	}
	for i := range p.clients {
		p.clients[i] = &http.Client{
			Transport: &http.Transport{DisableKeepAlives: i == 1},
			Timeout:   probeTimeout,
		}
	}
	return p
}

// loop probes the host until ctx is done.
func (p *prober) loop(ctx context.Context) {
	for ctx.Err() == nil {
		p.probe(ctx)
		p.fleet.wait(ctx, probeInterval)
	}
	for _, client := range p.clients {
		client.CloseIdleConnections()
	}
}

// probe sends one request, and records a fault if the host has handled it by an older version than
// it may.
func (p *prober) probe(ctx context.Context) {
	h := p.fleet.hosts[p.index]
	version, incarnation, sentAt := p.fleet.operator.newest(), h.incarnation(), time.Now()
	if incarnation != p.incarnation {
		p.incarnation, p.seen = incarnation, 0
	}
	p.sent++
	event := Event{
		Kind:         AttemptSent,
		Operation:    "probe-" + h.name,
		Request:      fmt.Sprintf("probe-%s-%d", h.name, p.sent),
		IsRepeatable: true,
		Host:         h.name,
	}
	p.fleet.journal.Record(event)
	status := p.ask(ctx, p.clients[p.sent%len(p.clients)], h.caller, event.Request, version)
	if status == 0 {
		event.Kind = AttemptBroken
		p.fleet.journal.Record(event)
		return
	}
	event.Kind = AttemptAnswered
	event.Status = status
	p.fleet.journal.Record(event)
	if h.incarnation() != incarnation || status == http.StatusServiceUnavailable {
		return
	}
	isDue, isNewest := p.fleet.operator.mustHave(p.index, version, sentAt)
	switch {
	case status != http.StatusNotFound:
		p.seen = version
	case isNewest && p.seen == version:
		p.fail(event, fmt.Sprintf("handled by an older version than %d, which this process has handled requests by", version))
	case isNewest && isDue:
		p.fail(event, fmt.Sprintf("handled by an older version than %d", version))
	}
}

func (p *prober) fail(event Event, detail string) {
	event.Kind = ConfigurationFault
	event.Detail = detail
	p.fleet.journal.Record(event)
}

// ask returns the status of a request for a version's route, or zero if there is none.
func (p *prober) ask(ctx context.Context, client *http.Client, address, request string, version int) int {
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+versionPrefix(version)+"x", nil)
	if err != nil {
		return 0
	}
	httpRequest.Host = callerHost
	httpRequest.Header.Set(platform.HeaderNames().RequestID, request)
	response, err := client.Do(httpRequest)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitNewestVersion changes the configuration once more and waits until all hosts have it.
func (f *fleet) awaitNewestVersion(ctx context.Context) error {
	f.operator.change()
	version := f.operator.newest()
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for i, h := range f.hosts {
		for !f.hasVersion(ctx, i, version) {
			if ctx.Err() != nil {
				return &VersionError{
					Host:    h.name,
					Version: version,
				}
			}
			f.wait(ctx, readyInterval)
		}
	}
	return nil
}

// hasVersion reports whether a host handles requests by the newest version.
func (f *fleet) hasVersion(ctx context.Context, index, version int) bool {
	p := f.newProber(index)
	defer p.clients[1].CloseIdleConnections()
	request := fmt.Sprintf("probe-%s-end", f.hosts[index].name)
	f.journal.Record(Event{
		Kind:         AttemptSent,
		Request:      request,
		IsRepeatable: true,
	})
	status := p.ask(ctx, p.clients[1], f.hosts[index].caller, request, version)
	return status != 0 && status != http.StatusNotFound && status != http.StatusServiceUnavailable
}
