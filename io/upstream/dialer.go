package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cactuswell/core/detour"
	"cactuswell/io/tcp"
	"cactuswell/io/tunnel"
)

const (
	// throughTimeout bounds the time to connect through another host while the path is not
	// known to be lost, so that the call may go to another endpoint.
	throughTimeout = 250 * time.Millisecond
	// lostPathTimeout bounds it where there is no other path. It allows for the
	// retransmission of a dropped SYN.
	lostPathTimeout = 1200 * time.Millisecond
)

// Tunnels connects to endpoints through other hosts. The error is a *tunnel.ConnectError.
type Tunnels interface {
	Connect(ctx context.Context, address string) (conn net.Conn, host string, err error)
}

// PathLostError reports that neither path leads to an endpoint, of which that says nothing.
type PathLostError struct {
	Service string
	Err     error
}

// Error returns a message with the causes.
func (e *PathLostError) Error() string {
	return "the path to the endpoints of " + e.Service + " is lost: " + e.Err.Error()
}

// dialer opens connections to endpoints, directly or through other hosts.
type dialer struct {
	dial    func(ctx context.Context, address string) (net.Conn, error)
	tunnels Tunnels
	report  func(detour.Change)
	// throughCount counts the connections through other hosts.
	throughCount atomic.Int64

	mu      sync.Mutex
	planner *detour.Planner
}

// connection is an open connection. Host is the address of the host through which it leads,
// or empty.
type connection struct {
	net.Conn
	host string
}

// connect opens a connection to an endpoint.
func (d *dialer) connect(ctx context.Context, to detour.Endpoint) (connection, error) {
	plan := d.plan(to)
	if plan.Direct && plan.Through {
		return d.race(ctx, to)
	}
	if plan.Direct {
		conn, err := d.connectDirectly(ctx, to)
		return connection{Conn: conn}, err
	}
	c, err := d.connectThrough(ctx, to, lostPathTimeout)
	var failure *tunnel.ConnectError
	if err == nil || ctx.Err() != nil || !errors.As(err, &failure) || failure.IsEndpointDown() {
		return c, err
	}
	conn, directErr := d.connectDirectly(ctx, to)
	if directErr != nil {
		return connection{}, &PathLostError{
			Service: to.Service,
			Err:     errors.Join(err, directErr),
		}
	}
	return connection{Conn: conn}, nil
}

func (d *dialer) plan(to detour.Endpoint) detour.Plan {
	if d.tunnels == nil {
		return detour.Plan{Direct: true}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.Plan(time.Now(), to)
}

// choosePath reports whether open direct connections to an endpoint are to be used. If not, it
// tests the direct path from time to time.
func (d *dialer) choosePath(to detour.Endpoint) (usesDirect bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.planner.TakeProbe(time.Now(), to) {
		go d.runProbe(to)
	}
	return d.planner.UsesDirect(to)
}

func (d *dialer) isLost(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.IsLost(service)
}

func (d *dialer) isProven(to detour.Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.IsProven(time.Now(), to)
}

func (d *dialer) lostServices() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.planner.LostServices()
}

func (d *dialer) forget(keep map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.planner.Forget(keep)
}

// record passes an outcome to the planner and reports the change that follows.
func (d *dialer) record(outcome func(planner *detour.Planner, now time.Time) detour.Change) {
	d.mu.Lock()
	change := outcome(d.planner, time.Now())
	d.mu.Unlock()
	if change != nil && d.report != nil {
		d.report(change)
	}
}

// connectDirectly opens a direct connection. An attempt that ctx ends tells nothing of the
// path.
func (d *dialer) connectDirectly(ctx context.Context, to detour.Endpoint) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := d.dial(ctx, to.Address)
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return nil, err
	}
	d.record(func(planner *detour.Planner, now time.Time) detour.Change {
		return planner.RecordDirect(now, to, err == nil)
	})
	return conn, err
}

// connectThrough opens a connection through another host.
func (d *dialer) connectThrough(ctx context.Context, to detour.Endpoint, timeout time.Duration) (connection, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, host, err := d.tunnels.Connect(ctx, to.Address)
	var failure *tunnel.ConnectError
	if errors.As(err, &failure) && !failure.IsEndpointDown() {
		return connection{}, err
	}
	d.record(func(planner *detour.Planner, now time.Time) detour.Change {
		return planner.RecordThrough(now, to, err == nil)
	})
	if err != nil {
		return connection{}, err
	}
	d.throughCount.Add(1)
	return connection{
		Conn: conn,
		host: host,
	}, nil
}

// runProbe tests the direct path to an endpoint.
func (d *dialer) runProbe(to detour.Endpoint) {
	conn, err := d.connectDirectly(context.Background(), to)
	if err == nil {
		_ = conn.Close()
	}
}

// race connects to an endpoint directly and, if that takes long or fails, through another
// host as well.
func (d *dialer) race(ctx context.Context, to detour.Endpoint) (connection, error) {
	r := &race{
		dialer: d,
		to:     to,
		// The path that loses is tried to its end, since its outcome tells whether the
		// direct one is at fault.
		ctx:     context.WithoutCancel(ctx),
		direct:  make(chan attemptResult, 1),
		through: make(chan attemptResult, 1),
	}
	return r.run(ctx)
}

// race is an attempt to connect over two paths.
type race struct {
	dialer  *dialer
	to      detour.Endpoint
	ctx     context.Context
	direct  chan attemptResult
	through chan attemptResult
	// isDecided is set once a connection was chosen or none is wanted any more.
	isDecided atomic.Bool
}

type attemptResult struct {
	conn connection
	err  error
}

// run returns the first connection.
func (r *race) run(ctx context.Context) (connection, error) {
	go r.runDirect()
	delay, cancel := context.WithTimeout(ctx, detour.ThroughDelay)
	defer cancel()
	var directErr error
	select {
	case result := <-r.direct:
		if result.err == nil {
			return result.conn, nil
		}
		directErr = result.err
	case <-delay.Done():
		if err := ctx.Err(); err != nil {
			r.abandon()
			return connection{}, err
		}
	}
	r.dialer.record(func(planner *detour.Planner, now time.Time) detour.Change {
		planner.RecordQuestion(now)
		return nil
	})
	go r.runThrough()
	return r.awaitSecond(ctx, directErr)
}

// awaitSecond waits for the paths that are still tried. If both fail, the error is that of
// the other host if it has found the endpoint down, and otherwise that of the direct path.
func (r *race) awaitSecond(ctx context.Context, directErr error) (connection, error) {
	var throughErr error
	for directErr == nil || throughErr == nil {
		select {
		case result := <-r.direct:
			if result.err == nil {
				return result.conn, nil
			}
			directErr = result.err
		case result := <-r.through:
			if result.err == nil {
				return result.conn, nil
			}
			throughErr = result.err
		case <-ctx.Done():
			r.abandon()
			return connection{}, ctx.Err()
		}
	}
	var failure *tunnel.ConnectError
	if errors.As(throughErr, &failure) && failure.IsEndpointDown() {
		return connection{}, throughErr
	}
	return connection{}, directErr
}

// abandon makes sure that a connection that is opened nevertheless is closed.
func (r *race) abandon() {
	if r.isDecided.CompareAndSwap(false, true) {
		return
	}
	for {
		select {
		case result := <-r.direct:
			if result.err == nil {
				_ = result.conn.Close()
				return
			}
		case result := <-r.through:
			if result.err == nil {
				_ = result.conn.Close()
				return
			}
		}
	}
}

// runDirect tries the direct path.
func (r *race) runDirect() {
	conn, err := r.dialer.connectDirectly(r.ctx, r.to)
	r.deliver(r.direct, connection{Conn: conn}, err)
}

// runThrough tries the path through another host.
func (r *race) runThrough() {
	conn, err := r.dialer.connectThrough(r.ctx, r.to, throughTimeout)
	r.deliver(r.through, conn, err)
}

// deliver passes on a result. A connection that is not needed is closed.
func (r *race) deliver(to chan<- attemptResult, conn connection, err error) {
	if err == nil && !r.isDecided.CompareAndSwap(false, true) {
		_ = conn.Close()
		return
	}
	to <- attemptResult{
		conn: conn,
		err:  err,
	}
}

// newTCPDial returns a function that opens TCP connections to endpoints.
func newTCPDial() func(ctx context.Context, address string) (net.Conn, error) {
	tcpDialer := tcp.NewDialer(tcp.Settings{
		DialTimeout: dialTimeout,
		AckTimeout:  ackTimeout,
		KeepAlive:   keepAlivePeriod,
	})
	return func(ctx context.Context, address string) (net.Conn, error) {
		return tcpDialer.DialContext(ctx, "tcp", address)
	}
}
