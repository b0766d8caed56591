package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cactuswell/core/route"
	"cactuswell/io/opaque"
	standin "cactuswell/standin/opaque"
)

// onceCalls are calls that must run at most once, with the answers that their callers got.
type onceCalls struct {
	mu      sync.Mutex
	answers map[string]reply
}

// check checks that no call runs twice, or runs though it was refused with a promise.
func (c *onceCalls) check(t *testing.T, runsOf func(id string) int) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	statuses := map[int]int{}
	for id, got := range c.answers {
		statuses[got.status]++
		runs := runsOf(id)
		if runs > 1 || runs > 0 && slices.Contains(promises, got.status) {
			t.Errorf("%s: %d runs, status %d", id, runs, got.status)
		}
	}
	t.Logf("statuses %v", statuses)
}

// begin sends the given number of calls at the same time.
func (c *onceCalls) begin(f *fixture, calls int, path, body string) *sync.WaitGroup {
	c.answers = make(map[string]reply)
	var open sync.WaitGroup
	for i := range calls {
		request := f.request(http.MethodPost, fmt.Sprintf(path, i), []byte(body))
		open.Go(func() {
			got := f.do(request)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.answers[idOf(request)] = got
		})
	}
	return &open
}

// mixedBehaviours returns a function that chooses different behaviours, of which some take as long as an event in the middle
// of the calls, and counts the requests.
func mixedBehaviours(received *atomic.Int64) func(*http.Request) standin.Behaviour {
	next := []standin.Behaviour{
		standin.CompleteAnswer{},
		standin.DelayedAnswer{After: 400 * time.Millisecond},
		standin.Decline{After: 200 * time.Millisecond},
		standin.Decline{},
		standin.DelayedAnswer{After: 50 * time.Millisecond},
		standin.Misdirection{},
		standin.ClosedConnection{},
	}
	return func(*http.Request) standin.Behaviour { return next[int(received.Add(1))%len(next)] }
}

// TestChangeWithinAttemptRunsNoCallTwice guards against a call that runs twice, or runs though it was refused, as its host changes
// what it knows of the call while an attempt is under way or the call waits.
func TestChangeWithinAttemptRunsNoCallTwice(t *testing.T) {
	changeRoutes := func(change func(*route.Route)) func(*fixture) {
		return func(f *fixture) {
			f.spec.Version++
			f.spec.Routes = slices.Clone(f.spec.Routes)
			for i := range f.spec.Routes {
				change(&f.spec.Routes[i])
			}
			f.publishConfiguration()
		}
	}
	for name, change := range map[string]func(*fixture){
		"the decisions fail": func(f *fixture) { f.gateway.FailDecisions() },
		"the decisions fail again": func(f *fixture) {
			f.gateway.FailDecisions()
			<-time.After(100 * time.Millisecond)
			f.gateway.FailDecisions()
		},
		"the routes are dropped": changeRoutes(func(r *route.Route) { r.Host = "other.example" }),
		"the routes move":        changeRoutes(func(r *route.Route) { r.Targets = []route.Target{{Service: models, Weight: 1}} }),
		"the routes are safe":    changeRoutes(func(r *route.Route) { r.Kind, r.MaxAttempts = route.Safe, 3 }),
		"the host stops":         func(f *fixture) { f.stop() },
		"an endpoint moves": func(f *fixture) {
			f.publishEndpoint("booking-0", service, f.endpoints[2].Address(), false)
		},
		"an endpoint belongs to another service": func(f *fixture) {
			f.publishEndpoint("booking-0", models, f.endpoints[0].Address(), false)
		},
		"the endpoints leave": func(f *fixture) {
			f.publishEndpoint("booking-0", service, f.endpoints[0].Address(), true)
			f.publishEndpoint("booking-1", service, f.endpoints[2].Address(), true)
		},
		"an endpoint crashes and comes back": func(f *fixture) {
			crashed := f.endpoints[0]
			f.endpoints[2].SetBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
			crashed.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.Crash{} })
			eventually(f.t, "the endpoint is down", func() bool {
				f.get("/lookup/crash")
				return crashed.IsDown()
			})
			crashed.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
			if err := crashed.Restart(); err != nil {
				f.t.Error(err)
			}
		},
	} {
		for _, path := range []string{"/hold/%d", "/draft/%d/stream"} {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				const calls = 24
				f := newFixture(t, 2)
				var received atomic.Int64
				f.setBehaviour(mixedBehaviours(&received))
				var sent onceCalls
				open := sent.begin(f, calls, path, "body")
				eventually(t, "calls are under way", func() bool { return received.Load() >= 6 })
				change(f)
				open.Wait()
				f.stopAndWait()
				if strings.HasPrefix(name, "the routes are safe") {
					// Calls that are read after the change may run more than once.
					maps.DeleteFunc(sent.answers, func(id string, _ reply) bool {
						return f.hasLine(`"event":"callTaken"`, `"request":"`+id+`"`, `"version":2`)
					})
				}
				sent.check(t, f.runsOf)
			})
		}
	}
}

// earlyRefuser is an endpoint that refuses requests before it reads their bodies, or runs them after it has read them.
type earlyRefuser struct {
	t        *testing.T
	listener net.Listener
	// isRefusing decides what to do with a request.
	isRefusing func(id string) bool
	// afterRefusal is what follows the refusal. It reports whether the connection goes on.
	afterRefusal func(conn net.Conn, request *http.Request) bool

	mu   sync.Mutex
	runs map[string]int
	// malformed counts the requests that could not be parsed.
	malformed int
}

func newEarlyRefuser(t *testing.T, isRefusing func(string) bool, afterRefusal func(net.Conn, *http.Request) bool) *earlyRefuser {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &earlyRefuser{
		t:            t,
		listener:     listener,
		isRefusing:   isRefusing,
		afterRefusal: afterRefusal,
		runs:         make(map[string]int),
	}
	go e.run()
	return e
}

func (e *earlyRefuser) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *earlyRefuser) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	names := opaque.DefaultHeaderNames()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			if strings.Contains(err.Error(), "malformed") {
				e.mu.Lock()
				e.malformed++
				e.mu.Unlock()
			}
			return
		}
		id := idOf(request)
		if e.isRefusing(id) {
			if _, err := io.WriteString(conn, refusalOf(id)); err != nil || !e.afterRefusal(conn, request) {
				return
			}
			continue
		}
		if !discard(request) {
			return
		}
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: m\r\nContent-Length: 2\r\n\r\nok", names.RequestID, id, names.Mark)
		if err != nil {
			return
		}
	}
}

func discard(request *http.Request) bool {
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

func (e *earlyRefuser) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// TestEarlyRefusalOfLongBodyRunsNoCallTwice guards against a call that runs twice, or runs though it was refused, as an endpoint
// refuses it while the host still writes its body, and against a body whose rest is read as the next request.
func TestEarlyRefusalOfLongBodyRunsNoCallTwice(t *testing.T) {
	for _, bytes := range []int{100, 9 << 10, 60 << 10, 190 << 10} {
		for name, after := range map[string]func(net.Conn, *http.Request) bool{
			"the body is read":       func(_ net.Conn, r *http.Request) bool { return discard(r) },
			"the body is read later": func(_ net.Conn, r *http.Request) bool { <-time.After(100 * time.Millisecond); return discard(r) },
			"the connection ends":    func(net.Conn, *http.Request) bool { return false },
			"the refusal comes once more": func(conn net.Conn, r *http.Request) bool {
				_, err := io.WriteString(conn, refusalOf(idOf(r)))
				return err == nil && discard(r)
			},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", bytes, name), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, 0)
				var mu sync.Mutex
				seen := map[string]int{}
				isRefusing := func(id string) bool {
					mu.Lock()
					defer mu.Unlock()
					seen[id]++
					return seen[id] == 1
				}
				endpoints := []*earlyRefuser{newEarlyRefuser(t, isRefusing, after), newEarlyRefuser(t, isRefusing, after)}
				for i, endpoint := range endpoints {
					f.publishEndpoint(fmt.Sprintf("booking-%d", i), service, endpoint.listener.Addr().String(), false)
				}
				eventually(t, "the endpoints are known", func() bool { return f.metric(t, "cactuswell_endpoints") == 2 })
				var sent onceCalls
				for range 5 {
					sent.begin(f, 4, "/hold/%d", strings.Repeat("x", bytes)).Wait()
					sent.check(t, func(id string) int { return endpoints[0].runsOf(id) + endpoints[1].runsOf(id) })
				}
				for _, endpoint := range endpoints {
					endpoint.mu.Lock()
					if endpoint.malformed > 0 {
						t.Errorf("%d malformed requests", endpoint.malformed)
					}
					endpoint.mu.Unlock()
				}
			})
		}
	}
}
