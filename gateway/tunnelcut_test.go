package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	standin "cactuswell/standin/opaque"
)

// tunnelFault is what happens to a connection between two hosts.
type tunnelFault int

const (
	// tunnelEnded ends the connection in order, as the kernel does for a process that was killed.
	tunnelEnded tunnelFault = iota
	// tunnelReset resets it.
	tunnelReset
	// tunnelHeld lets nothing pass for longer than a call to /quick/ lasts, and then goes on.
	tunnelHeld
)

// tunnelHold is how long a tunnelHeld lasts.
const tunnelHold = 500 * time.Millisecond

// faultyPeers is a listener for other hosts that has a fault, once, after a number of bytes has passed on one connection.
type faultyPeers struct {
	net.Listener
	mu sync.Mutex
	// isArmed is set until the fault has begun.
	isArmed bool
	fault   tunnelFault
	// isOfAnswers is set if the bytes to the other host are counted, and not those from it.
	isOfAnswers bool
	after       int
	// gate is closed while nothing is held.
	gate chan struct{}
}

func newFaultyPeers() *faultyPeers {
	gate := make(chan struct{})
	close(gate)
	return &faultyPeers{gate: gate}
}

func (p *faultyPeers) listen(inner net.Listener) net.Listener {
	p.Listener = inner
	return p
}

// Accept implements net.Listener.
func (p *faultyPeers) Accept() (net.Conn, error) {
	conn, err := p.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &faultyPeerConn{
		Conn:  conn,
		peers: p,
	}, nil
}

// arm prepares the fault.
func (p *faultyPeers) arm(fault tunnelFault, isOfAnswers bool, after int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isArmed = true
	p.fault = fault
	p.isOfAnswers = isOfAnswers
	p.after = after
}

// disarm reports whether the fault has begun, and prevents it otherwise.
func (p *faultyPeers) disarm() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasBegun := !p.isArmed
	p.isArmed = false
	return hasBegun
}

// limit returns how many bytes may pass until the fault, and false if any number may.
func (p *faultyPeers) limit(isAnswer bool, passed int) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isArmed || p.isOfAnswers != isAnswer || passed > p.after {
		return 0, false
	}
	return p.after - passed, true
}

// begin begins the fault on a connection.
func (p *faultyPeers) begin(conn *faultyPeerConn) {
	p.mu.Lock()
	p.isArmed = false
	fault := p.fault
	gate := p.gate
	if fault == tunnelHeld {
		gate = make(chan struct{})
		p.gate = gate
	}
	p.mu.Unlock()
	switch fault {
	case tunnelHeld:
		time.AfterFunc(tunnelHold, func() { close(gate) })
		<-gate
	case tunnelReset:
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	case tunnelEnded:
		_ = conn.Close()
	}
}

func (p *faultyPeers) await() {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	<-gate
}

// faultyPeerConn is a connection of another host.
type faultyPeerConn struct {
	net.Conn
	peers         *faultyPeers
	read, written int
	// isTunnel is set once the other host has asked for a tunnel.
	isTunnel bool
}

// connectMethod is how a request for a tunnel begins.
const connectMethod = "CONNECT "

// Read implements net.Conn.
func (c *faultyPeerConn) Read(p []byte) (int, error) {
	c.peers.await()
	if c.read == 0 && len(p) >= len(connectMethod) {
		n, err := io.ReadFull(c.Conn, p[:len(connectMethod)])
		c.read = n
		c.isTunnel = string(p[:n]) == connectMethod
		return n, err
	}
	if left, ok := c.peers.limit(false, c.read); ok && c.isTunnel {
		if left == 0 {
			c.peers.begin(c)
		} else {
			p = p[:min(left, len(p))]
		}
	}
	n, err := c.Conn.Read(p)
	c.read += n
	return n, err
}

// Write implements net.Conn.
func (c *faultyPeerConn) Write(p []byte) (int, error) {
	c.peers.await()
	written := 0
	if left, ok := c.peers.limit(true, c.written); ok && c.isTunnel && left < len(p) {
		n, err := c.Conn.Write(p[:left])
		c.written += n
		if err != nil {
			return n, err
		}
		written = n
		c.peers.begin(c)
	}
	n, err := c.Conn.Write(p[written:])
	c.written += n
	return written + n, err
}

// tunnelFleet is a host that reaches endpoints only through another one.
type tunnelFleet struct {
	*partitionedFleet
	helper, host *fixture
}

func newTunnelFleet(t *testing.T, helper *fixture, endpoints int) *tunnelFleet {
	t.Helper()
	helper.link = newLink(t)
	fleet := &partitionedFleet{hostFleet: newFleetBehind(t, newFixtureBehind(t, helper, endpoints), 2)}
	host := fleet.hosts[1]
	host.link.set(linkReset)
	eventually(t, "calls go through the other host", func() bool { return len(fleet.serve(host, 1)) == 0 })
	return &tunnelFleet{
		partitionedFleet: fleet,
		helper:           helper,
		host:             host,
	}
}

// callOnce sends a call that must run at most once through the tunnel and checks that it does not run twice, and does not
// run if it was refused with a promise.
func (f *tunnelFleet) callOnce(t *testing.T, path, id, body string) reply {
	t.Helper()
	request := f.host.request(http.MethodPost, path, []byte(body))
	request.Header.Set("X-Request-Id", id)
	got := f.host.do(request)
	f.checkOnce(t, id, got)
	return got
}

func (f *tunnelFleet) checkOnce(t *testing.T, id string, got reply) {
	t.Helper()
	runs := f.runsOf(id)
	if runs > 1 || runs > 0 && slices.Contains(promises, got.status) {
		t.Errorf("%s: %d runs, status %d", id, runs, got.status)
	}
}

// TestTunnelFaultRunsNoCallTwice guards against a call that runs twice, or runs though it was refused, as the connection to
// the host through which it goes fails at one moment: before the tunnel is open, while the request is written, or within the answer.
func TestTunnelFaultRunsNoCallTwice(t *testing.T) {
	for name, test := range map[string]struct {
		fault       tunnelFault
		isOfAnswers bool
		path        string
		step        int
	}{
		"requests ended": {fault: tunnelEnded, path: "/hold/%d", step: 40},
		"requests reset": {fault: tunnelReset, path: "/hold/%d", step: 40},
		"requests held":  {fault: tunnelHeld, path: "/quick/%d", step: 80},
		"answers ended":  {fault: tunnelEnded, path: "/hold/%d", isOfAnswers: true, step: 24},
		"answers reset":  {fault: tunnelReset, path: "/hold/%d", isOfAnswers: true, step: 24},
		"answers held":   {fault: tunnelHeld, path: "/quick/%d", isOfAnswers: true, step: 60},
		"stream ended":   {fault: tunnelEnded, path: "/draft/%d/stream", isOfAnswers: true, step: 60},
	} {
		for _, isDeclined := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, declined %v", name, isDeclined), func(t *testing.T) {
				t.Parallel()
				peers := newFaultyPeers()
				f := newTunnelFleet(t, &fixture{wrapPeerListener: peers.listen}, 2)
				answers := map[string]reply{}
				faults, statuses := 0, map[int]int{}
				for after := len(connectMethod); ; after += test.step {
					// The tunnel is a new one, so that its bytes are counted: an idle one is not used after this time.
					<-time.After(300 * time.Millisecond)
					if isDeclined {
						f.setBehaviour(byAttempt(standin.Decline{}, standin.CompleteAnswer{}))
					}
					peers.arm(test.fault, test.isOfAnswers, after)
					id := fmt.Sprintf("cut-%d", after)
					got := f.callOnce(t, fmt.Sprintf(test.path, after), id, strings.Repeat("x", 100))
					answers[id] = got
					statuses[got.status]++
					if !peers.disarm() {
						break
					}
					faults++
					f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.CompleteAnswer{} })
					eventually(t, "calls go through the other host", func() bool { return len(f.serve(f.host, 1)) == 0 })
				}
				// A call that was held may run late.
				<-time.After(tunnelHold)
				for id, got := range answers {
					f.checkOnce(t, id, got)
				}
				if faults < 3 {
					t.Errorf("%d faults", faults)
				}
				t.Logf("%d faults, statuses %v", faults, statuses)
			})
		}
	}
}
