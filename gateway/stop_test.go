package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestShutdownFinishesCalls checks that a host that shuts down finishes its open
// calls and closes their connections.
func TestShutdownFinishesCalls(t *testing.T) {
	f := newFixture(t, 1)
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	answered := make(chan reply, 1)
	go func() { answered <- f.post("/quick/x", "x") }()
	eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
	f.stop()
	got := <-answered
	if got.broken || got.status != http.StatusGatewayTimeout {
		t.Errorf("the open call got status %d, broken %v", got.status, got.broken)
	}
	if !got.closesConnection {
		t.Error("the answer does not close the connection")
	}
	f.stopAndWait()
	if !strings.Contains(f.logLines.String(), `"event":"stopped"`) {
		t.Error("the shutdown is not logged")
	}
}

// sendDuringShutdown stops a host that has accepted a connection, sends a request on
// that connection after the listener is closed, and returns the answer.
func sendDuringShutdown(t *testing.T, f *fixture, request string) *http.Response {
	t.Helper()
	conn, reader := f.dialAndSend("")
	// Connections are accepted in order, so the connection above is accepted when
	// this call is answered.
	if got := f.get("/lookup/x"); got.status != http.StatusOK {
		t.Fatalf("status %d", got.status)
	}
	f.stop()
	f.awaitClosedListener()
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return response
}

// TestShutdownServesAcceptedConnections guards against requests without an answer: a
// connection was accepted before the shutdown and its request arrived later, but the
// host exited as soon as no call was open.
func TestShutdownServesAcceptedConnections(t *testing.T) {
	response := sendDuringShutdown(t, newFixture(t, 1), "GET /lookup/late HTTP/1.1\r\nHost: firm.example\r\n"+
		"X-Request-Id: late\r\nAuthorization: Bearer secret\r\n\r\n")
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, closes its connection: %v", response.StatusCode, response.Close)
	}
}

// TestShutdownRefusesLongStreams checks that a stream that arrives late in a
// shutdown, and may outlast the host, is refused immediately so that the caller
// retries it at another host.
func TestShutdownRefusesLongStreams(t *testing.T) {
	f := newFixture(t, 1)
	response := sendDuringShutdown(t, f, "POST /draft/stream HTTP/1.1\r\nHost: firm.example\r\n"+
		"X-Request-Id: late\r\nAuthorization: Bearer secret\r\nCactuswell-Tokens: 100,50\r\n"+
		"Cactuswell-Prompt: a:60,b:40\r\nContent-Length: 0\r\n\r\n")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Errorf("%d calls ran, want 1", len(runs))
	}
}

// TestShutdownRunsNoRequestWithoutAnswer guards against requests that run but are
// not answered: a request had arrived on an idle connection, but was not processed
// yet, when the host closed its idle connections during a shutdown. It was sent to
// an endpoint, and its caller received no answer.
func TestShutdownRunsNoRequestWithoutAnswer(t *testing.T) {
	var paused *pausedListener
	f := newWrappedFixture(t, 1, func(inner net.Listener) net.Listener {
		paused = newPausedListener(inner, "/hold/late")
		return paused
	})
	request := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: " + path[1:] +
			"\r\nAuthorization: Bearer secret\r\nContent-Length: 1\r\n\r\nx"
	}
	conn, reader := f.dialAndSend(request("/hold/first"))
	first, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request("/hold/late")); err != nil {
		t.Fatal(err)
	}
	<-paused.reached
	f.stop()
	f.awaitClosedListener()
	close(paused.resume)
	_, err = http.ReadResponse(reader, nil)
	f.stopAndWait()
	if ran := len(f.runs()) > 1; ran && err != nil {
		t.Errorf("the request was sent to an endpoint, and its caller got %v", err)
	}
}
