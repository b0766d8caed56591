package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"cactuswell/standin/engine"
)

const (
	// queryTimeout is the timeout of a query to a stand-in.
	queryTimeout = 10 * time.Second
	// maxIdleConnections is the maximum number of idle connections to one host.
	maxIdleConnections = 1024
	// maxResponseBytes is the maximum size of an answer that is not streamed.
	maxResponseBytes = 64 << 20
)

// Driver sends the requests of one run.
type Driver struct {
	config   Config
	client   *http.Client
	report   *Report
	mu       sync.Mutex
	inFlight chan struct{}
	// balancer selects the hosts.
	balancer *balancer
	// OnProgress, if set, is called before every 100th request with the number of
	// requests started so far and the total.
	OnProgress func(started, total int)
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
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: maxIdleConnections,
				DisableCompression:  true,
			},
		},
		inFlight: make(chan struct{}, config.MaxOpen),
		balancer: newBalancer(config.Hosts),
	}, nil
}

// Run sends the requests at their times, waits until they finish and returns the
// report. When ctx is done, it sends no more requests and cancels those in flight.
func (d *Driver) Run(ctx context.Context) (*Report, error) {
	defer d.client.CloseIdleConnections()
	list := generateArrivals(&d.config)
	d.report = newReport(&d.config)
	before, err := d.countTokens(ctx)
	if err != nil {
		return nil, err
	}
	pollingCtx, stopPolling := context.WithCancel(ctx)
	defer stopPolling()
	for host := range d.config.Hosts {
		go d.balancer.pollReadiness(pollingCtx, host)
	}
	var group sync.WaitGroup
	started := time.Now()
	for i, a := range list {
		if !sleep(ctx, time.Until(started.Add(a.at))) {
			break
		}
		if d.OnProgress != nil && i%100 == 0 {
			d.OnProgress(i, len(list))
		}
		d.inFlight <- struct{}{}
		group.Add(1)
		go d.runArrival(ctx, a, &group)
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

func (d *Driver) runArrival(ctx context.Context, a arrival, group *sync.WaitGroup) {
	defer group.Done()
	defer func() { <-d.inFlight }()
	r := d.execute(ctx, a)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.report.add(r)
}

// countExecutions queries the services for how often each booking was run.
func (d *Driver) countExecutions(ctx context.Context) error {
	for _, address := range d.config.Services {
		executions := make(map[string]int)
		if err := d.query(ctx, "http://"+address+"/executions", &executions); err != nil {
			return err
		}
		for reference, count := range executions {
			d.report.executions[reference] += count
		}
	}
	return nil
}

// countTokens queries the engines for the number of tokens generated so far.
func (d *Driver) countTokens(ctx context.Context) (uint64, error) {
	total := uint64(0)
	for _, address := range d.config.Engines {
		var g engine.GenerationCounts
		if err := d.query(ctx, "http://"+address+"/generated", &g); err != nil {
			return 0, err
		}
		total += g.Tokens
	}
	return total, nil
}

// query decodes the JSON response of a stand-in into the given value. It ignores the
// cancellation of ctx, so that a canceled run still gets its report.
func (d *Driver) query(ctx context.Context, address string, into any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(into))
}
