package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/standin/engine"
)

const (
	// askTimeout bounds a question to a stand-in.
	askTimeout = 10 * time.Second
	// idleConnections bounds the idle connections to one host.
	idleConnections = 1024
)

// Driver makes the requests of one run.
type Driver struct {
	config Config
	http   *http.Client
	report *Report
	mu     sync.Mutex
	open   chan struct{}
	// balancer chooses the hosts.
	balancer *balancer
	// Progress, if set, is told now and then how many requests have ended.
	OnProgress func(done, all int)
}

// New returns a driver. The error is a *ConfigError.
func New(config Config) (*Driver, error) {
	if err := config.check(); err != nil {
		return nil, trace.Wrap(err)
	}
	if config.MaxOpen == 0 {
		config.MaxOpen = DefaultMaxOpen
	}
	return &Driver{
		config: config,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: idleConnections,
				DisableCompression:  true,
			},
		},
		open:     make(chan struct{}, config.MaxOpen),
		balancer: newBalancer(config.Hosts),
	}, nil
}

// Run makes the requests at their times, waits for their ends and returns the
// report. When ctx ends, no more requests are made and those in flight are
// given up.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	defer d.http.CloseIdleConnections()
	list := arrivals(&d.config)
	d.report = newReport(&d.config)
	before, err := d.countTokens(ctx)
	if err != nil {
		return nil, err
	}
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for host := range d.config.Hosts {
		go d.balancer.run(watching, host)
	}
	var group sync.WaitGroup
	started := time.Now()
	for i, a := range list {
		if !pause(ctx, time.Until(started.Add(a.at))) {
			break
		}
		if d.OnProgress != nil && i%100 == 0 {
			d.OnProgress(i, len(list))
		}
		d.open <- struct{}{}
		group.Add(1)
		go d.run(ctx, a, &group)
	}
	group.Wait()
	d.report.Elapsed = time.Since(started)
	if err := d.countExecutions(ctx); err != nil {
		return nil, err
	}
	after, err := d.countTokens(ctx)
	if err != nil {
		return nil, err
	}
	d.report.TokensGenerated = after - before
	d.report.finish()
	return d.report, nil
}

func (d *Driver) run(ctx context.Context, a arrival, group *sync.WaitGroup) {
	defer group.Done()
	defer func() { <-d.open }()
	r := d.perform(ctx, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.add(r)
}

// countExecutions asks the services how often each booking was run.
func (d *Driver) countExecutions(ctx context.Context) error {
	for _, address := range d.config.Services {
		executions := make(map[string]int)
		if err := d.ask(ctx, "http://"+address+"/executions", &executions); err != nil {
			return err
		}
		for reference, count := range executions {
			d.report.executions[reference] += count
		}
	}
	return nil
}

// countTokens asks the engines how many tokens they have generated so far.
func (d *Driver) countTokens(ctx context.Context) (uint64, error) {
	total := uint64(0)
	for _, address := range d.config.Engines {
		var g engine.GenerationCounts
		if err := d.ask(ctx, "http://"+address+"/generated", &g); err != nil {
			return 0, err
		}
		total += g.Tokens
	}
	return total, nil
}

func (d *Driver) ask(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := d.http.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return trace.Wrap(json.NewDecoder(response.Body).Decode(into))
}
