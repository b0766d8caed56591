package cmd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
)

// TestCallsOfCallersThatLeftDoNotRun guards against a process that was stopped, reads calls whose callers have left meanwhile, and runs them.
func TestCallsOfCallersThatLeftDoNotRun(t *testing.T) {
	const callers = 40
	for name, leave := range map[string]func(*net.TCPConn) error{
		"closed": func(conn *net.TCPConn) error { return conn.Close() },
		"reset":  func(conn *net.TCPConn) error { return resetConn(conn) },
	} {
		t.Run(name, func(t *testing.T) {
			log := keyedlog.New()
			log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, fmt.Appendf(nil, pauseConfiguration, 1, "key"))
			endpoint := startEndpoint(t, log, "i-0")
			g := startGateway(t, log)
			var conns []*net.TCPConn
			for i := range callers {
				conn := dialTCP(t, g.callerAddress)
				if i%2 == 0 {
					sendHold(t, conn, fmt.Sprintf("first-%d", i))
					awaitAnswer(t, conn)
				}
				conns = append(conns, conn)
			}
			g.pause(t)
			for i, conn := range conns {
				sendHold(t, conn, fmt.Sprintf("left-%d", i))
				if err := leave(conn); err != nil {
					t.Fatal(err)
				}
			}
			g.resume(t)
			if status, _, err := g.call("/hold/stayed", "key"); err != nil || status != http.StatusOK {
				t.Errorf("the call of a caller that stayed: status %d, error %v", status, err)
			}
			awaitCallers(t, g, callers)
			ran := 0
			for _, run := range endpoint.Runs() {
				if strings.HasPrefix(run.Target, "/hold/left-") {
					ran++
				}
			}
			if ran > 0 {
				t.Errorf("%d of %d calls ran whose callers had left", ran, callers)
			}
			stopProcess(t, g.process, g.exited)
		})
	}
}

func dialTCP(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*net.TCPConn)
}

func resetConn(conn *net.TCPConn) error {
	if err := conn.SetLinger(0); err != nil {
		return err
	}
	return conn.Close()
}

// sendHold sends a call that must run at most once.
func sendHold(t *testing.T, conn net.Conn, id string) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST /hold/%s HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: %s\r\nAuthorization: Bearer key\r\n"+
		"Content-Length: 4\r\n\r\nbody", id, id)
	if err != nil {
		t.Fatal(err)
	}
}

func awaitAnswer(t *testing.T, conn net.Conn) {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
}

// awaitCallers waits until a host has ended the calls of callers that left.
func awaitCallers(t *testing.T, g *gatewayProcess, calls int) {
	t.Helper()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	limit := time.After(20 * time.Second)
	for {
		ended := 0
		for line := range strings.Lines(g.out.String()) {
			if strings.Contains(line, `"event":"callEnded"`) && strings.Contains(line, `"request":"left-`) {
				ended++
			}
		}
		if ended == calls {
			return
		}
		select {
		case <-tick.C:
		case <-limit:
			t.Fatalf("%d of %d calls have ended after 20 s", ended, calls)
		}
	}
}
