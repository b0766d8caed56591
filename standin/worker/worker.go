// Package worker is a stand-in for an endpoint that runs plain requests and short streams: a
// request takes a slot for its work time, a few more wait, and the others are declined. It can
// be frozen like a stopped process, crash, and have faults.
//
// # Usage
//
//	w, err := worker.New(worker.Settings{
//		ID:       "endpoint-1",
//		Names:    platform.HeaderNames(),
//		Slots:    6,
//		Queue:    4,
//		WorkTime: 20 * time.Millisecond,
//		Observer: observer,
//	})
//	defer w.Close()
//	w.SetFaults(worker.Faults{Declines: 0.2})
//	w.SetFrozen(true)
//
// A plain request is run to its end also if its connection has been closed meanwhile, as some
// servers do, and a stream ends with its connection. What waits until its time has passed is
// declined.
package worker

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	product "cactuswell/io/opaque"
)

const (
	// maxBodyBytes is the maximum size of a request's body.
	maxBodyBytes = 4 << 20
	// eventPause is the time between two events of a stream.
	eventPause = 20 * time.Millisecond
)

// Observer is told what a worker does with each request.
type Observer interface {
	// ObserveRun is called when a request begins to run.
	ObserveRun(endpointID, requestID string)
	// ObserveDecline is called when a request is not run, with the status of the answer.
	ObserveDecline(endpointID, requestID string, status int)
	// ObserveFault is called when a fault affects the answer to a request, with a description.
	ObserveFault(endpointID, requestID, detail string)
}

// Settings configures a Worker.
type Settings struct {
	ID string
	// Version is the version of the endpoint's software, which each event of a stream holds.
	Version string
	Names   product.HeaderNames
	// Slots is the number of requests that run at a time, and Queue that of those that wait.
	Slots    int
	Queue    int
	WorkTime time.Duration
	// Events is the number of events of a stream, which a request gets whose path ends with
	// "stream".
	Events int
	// IsDeterministic is set if all endpoints send the same events to a request, which name AnyEndpoint.
	IsDeterministic bool
	Observer        Observer
	Seed            uint64
}

// Worker is a running stand-in. It is safe for concurrent use.
type Worker struct {
	settings   Settings
	address    string
	goroutines sync.WaitGroup

	mu      sync.Mutex
	current *incarnation
	faults  Faults
	random  *rand.Rand
	// thawed is closed unless the worker is frozen.
	thawed chan struct{}
}

// incarnation is the worker from a start to its crash. Its fields are guarded by the worker's
// mu.
type incarnation struct {
	id       string
	version  string
	listener net.Listener
	conns    map[net.Conn]bool
	// slots holds a value for each running request.
	slots   chan struct{}
	waiting int
	crashed chan struct{}
	// refusals are those that were sent, by request ID.
	refusals    map[string][]byte
	lastRefusal []byte
	// lastAnswer is the last one that was sent.
	lastAnswer *message
}

// New starts a worker on a loopback address.
func New(settings Settings) (*Worker, error) {
	thawed := make(chan struct{})
	close(thawed)
	w := &Worker{
		settings: settings,
		address:  "127.0.0.1:0",
		random:   rand.New(rand.NewPCG(settings.Seed, 0)),
		thawed:   thawed,
	}
	if err := w.Start(settings.ID, settings.Version); err != nil {
		return nil, err
	}
	return w, nil
}

// Start listens, after a Crash, as the endpoint with the given ID and version. The address stays.
func (w *Worker) Start(id, version string) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = listener.Addr().String()
	w.current = &incarnation{
		id:       id,
		version:  version,
		listener: listener,
		conns:    make(map[net.Conn]bool),
		slots:    make(chan struct{}, w.settings.Slots),
		crashed:  make(chan struct{}),
		refusals: make(map[string][]byte),
	}
	w.goroutines.Add(1)
	go w.loop(w.current)
	return nil
}

// Address returns the IP address and port.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// ID returns the ID of the endpoint.
func (w *Worker) ID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.id
}

// Version returns the version of the endpoint's software.
func (w *Worker) Version() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current.version
}

// SetFaults sets the faults from now on.
func (w *Worker) SetFaults(faults Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// SetFrozen stops the worker, so that it takes up nothing while its connections stay open and
// new ones are accepted by the operating system, or lets it go on.
func (w *Worker) SetFrozen(frozen bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if frozen == !isClosed(w.thawed) {
		return
	}
	if frozen {
		w.thawed = make(chan struct{})
		return
	}
	close(w.thawed)
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// Crash ends the worker: its connections are closed, new ones are refused, and what waits is
// not run.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isClosed(w.current.crashed) {
		return
	}
	close(w.current.crashed)
	_ = w.current.listener.Close()
	for conn := range w.current.conns {
		_ = conn.Close()
	}
}

// Close ends the worker for good.
func (w *Worker) Close() {
	w.Crash()
	w.SetFrozen(false)
	w.goroutines.Wait()
}

func (w *Worker) loop(n *incarnation) {
	defer w.goroutines.Done()
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		w.awaitThaw()
		if !w.add(n, conn) {
			_ = conn.Close()
			continue
		}
		s := &session{
			worker:      w,
			incarnation: n,
			conn:        conn,
			reader:      bufio.NewReader(conn),
		}
		go s.run()
	}
}

// add adds a connection to those that a crash ends. It reports false if the worker has crashed
// since the listener accepted it.
func (w *Worker) add(n *incarnation, conn net.Conn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isClosed(n.crashed) {
		return false
	}
	n.conns[conn] = true
	w.goroutines.Add(1)
	return true
}

func (w *Worker) remove(n *incarnation, conn net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(n.conns, conn)
}

func (w *Worker) awaitThaw() {
	w.mu.Lock()
	thawed := w.thawed
	w.mu.Unlock()
	<-thawed
}

// happens draws whether a fault with the given share occurs.
func (w *Worker) happens(share func(Faults) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := share(w.faults)
	return limit > 0 && w.random.Float64() < limit
}

// takeSlot waits for a slot until the deadline and reports whether it got one.
func (w *Worker) takeSlot(n *incarnation, deadline time.Time) bool {
	w.mu.Lock()
	if len(n.slots) == cap(n.slots) && n.waiting >= w.settings.Queue {
		w.mu.Unlock()
		return false
	}
	n.waiting++
	w.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	defer func() {
		w.mu.Lock()
		n.waiting--
		w.mu.Unlock()
	}()
	select {
	case n.slots <- struct{}{}:
		return true
	case <-timer.C:
	case <-n.crashed:
	}
	return false
}

// begin tells the observer that a request runs, unless the worker has crashed.
func (w *Worker) begin(n *incarnation, requestID string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if isClosed(n.crashed) {
		return false
	}
	w.settings.Observer.ObserveRun(n.id, requestID)
	return true
}

// session serves one connection.
type session struct {
	worker      *Worker
	incarnation *incarnation
	conn        net.Conn
	reader      *bufio.Reader
	// pending is what is sent before the next answer without belonging to it.
	pending []byte
	// late is sent once more within the body of the next answer.
	late *message
	// early is set if the request's body is read after the answer.
	early bool
}

// run serves requests until the connection ends.
func (s *session) run() {
	defer s.worker.goroutines.Done()
	defer s.worker.remove(s.incarnation, s.conn)
	defer func() { _ = s.conn.Close() }()
	for {
		request, err := http.ReadRequest(s.reader)
		if err != nil {
			return
		}
		s.worker.awaitThaw()
		if !s.serve(request) {
			return
		}
	}
}

// serve answers a request and reports whether the connection stays open.
func (s *session) serve(request *http.Request) bool {
	w := s.worker
	arrivedAt := time.Now()
	s.early = isAnsweredEarly(request) || w.happens(func(f Faults) float64 { return f.EarlyAnswers })
	if !s.early && !discardBody(request) {
		return false
	}
	id := request.Header.Get(w.settings.Names.RequestID)
	if expected := request.Header.Get(w.settings.Names.EndpointID); expected != "" && expected != s.incarnation.id {
		return s.refuse(request, id, http.StatusMisdirectedRequest)
	}
	if w.happens(func(f Faults) float64 { return f.Declines }) {
		return s.refuse(request, id, w.refusalStatus())
	}
	if !w.takeSlot(s.incarnation, arrivedAt.Add(s.timeLeft(request))) {
		return s.refuse(request, id, w.refusalStatus())
	}
	defer func() { <-s.incarnation.slots }()
	w.awaitThaw()
	if !w.begin(s.incarnation, id) {
		return false
	}
	if stray := s.strayRefusal(id); stray != nil && !s.sendStray(stray) {
		return false
	}
	if !isAnsweredEarly(request) {
		s.await(w.settings.WorkTime)
	}
	w.awaitThaw()
	return s.answer(request, id)
}

// timeLeft returns how long the caller waits.
func (s *session) timeLeft(request *http.Request) time.Duration {
	const usual = 10 * time.Second
	ms, err := strconv.ParseFloat(request.Header.Get(s.worker.settings.Names.TimeLeft), 64)
	if err != nil {
		return usual
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func discardBody(request *http.Request) bool {
	_, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyBytes))
	return err == nil
}
