package cmd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"cactuswell/platform"
	"cactuswell/standin/keyedlog"
	standin "cactuswell/standin/opaque"
)

// stopConfiguration has a service of calls that must not be repeated.
const stopConfiguration = `{"version":1,
	"routes":[
		{"name":"hold","host":"firm.example","pathPrefix":"/hold/","kind":"unsafe","timeoutMs":6000,"targetLatencyMs":5000,"service":"s","maxAttempts":1,"public":true}],
	"services":[{"name":"s","healthPath":"/health","maxConnections":1000}],
	"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000}}`

// lateAnswer is what a caller gets: a status, or 0 for a connection that ends without an answer.
type lateAnswer struct {
	caller, status int
	err            error
}

// TestLateCallsOfStoppedProcess guards against calls that must not be repeated and are cut at the end of a planned stop,
// with no answer: callers connect while the balancer still sends connections, and their bodies end three seconds later.
func TestLateCallsOfStoppedProcess(t *testing.T) {
	const (
		callers  = 20
		interval = 150 * time.Millisecond
		bodyTime = 3 * time.Second
		callTime = 4 * time.Second
	)
	log := keyedlog.New()
	log.Append(platform.ConfigurationTopic, platform.ConfigurationKey, []byte(stopConfiguration))
	endpoint := startEndpoint(t, log, "i-1")
	endpoint.SetBehaviour(func(*http.Request) standin.Behaviour { return standin.DelayedAnswer{After: callTime} })
	g := startGateway(t, log, "--balancer-lag", "3s", "--stop-timeout", "7600ms")
	if err := g.process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	answers := make(chan lateAnswer, callers)
	for caller := range callers {
		go func() {
			<-time.After(time.Duration(caller) * interval)
			status, err := callLate(g.callerAddress, caller, bodyTime)
			answers <- lateAnswer{
				caller: caller,
				status: status,
				err:    err,
			}
		}()
	}
	refused := 0
	for range callers {
		answer := <-answers
		switch answer.status {
		case 0:
			t.Errorf("caller %d got no answer: %v", answer.caller, answer.err)
		case http.StatusServiceUnavailable:
			refused++
		}
	}
	if runs := len(endpoint.Runs()); runs > callers-refused {
		t.Errorf("%d calls ran, and %d of %d were refused as not run", runs, refused, callers)
	}
	if refused == 0 {
		t.Error("no call came late")
	}
	awaitExit(t, g.exited)
}

// callLate sends a call whose body ends after the given time.
func callLate(address string, caller int, bodyTime time.Duration) (status int, err error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /hold/%d HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: late-%d\r\nContent-Length: 2\r\n\r\nx", caller, caller)
	if err != nil {
		return 0, err
	}
	answered := make(chan struct{})
	go func() {
		select {
		case <-answered:
		case <-time.After(bodyTime):
			_, _ = io.WriteString(conn, "x")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	close(answered)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
