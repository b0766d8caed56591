package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestStopFinishesCalls checks that a host that stops is no longer ready, serves
// what it has, and tells callers to take another connection.
func TestStopFinishesCalls(t *testing.T) {
	f := newFixture(t, 1)
	f.behave(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	answered := make(chan reply, 1)
	go func() { answered <- f.post("/quick/x", "x") }()
	eventually(t, "the call runs", func() bool { return len(f.runs()) == 1 })
	f.stop()
	got := <-answered
	if got.broken || got.status != http.StatusGatewayTimeout {
		t.Errorf("the open call got %d, broken %v", got.status, got.broken)
	}
	if !got.last {
		t.Error("the caller may use the connection again")
	}
	f.end()
	if !strings.Contains(f.lines.String(), `"event":"stopped"`) {
		t.Error("the stop is not told")
	}
}

// lateAnswer stops a host that has taken a connection, and returns the answer to a
// request that comes on it after the listener is closed.
func lateAnswer(t *testing.T, f *fixture, request string) *http.Response {
	t.Helper()
	conn, reader := f.raw("")
	// Connections are taken in their order, so that the one before is taken when
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

// TestStopServesConnectionsItTook covers a connection that was taken before the
// stop and whose request comes after it: a host that ended as soon as no call was
// open closed it without an answer.
func TestStopServesConnectionsItTook(t *testing.T) {
	response := lateAnswer(t, newFixture(t, 1), "GET /lookup/late HTTP/1.1\r\nHost: firm.example\r\n"+
		"X-Request-Id: late\r\nAuthorization: Bearer secret\r\n\r\n")
	if response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("status %d, last on its connection: %v", response.StatusCode, response.Close)
	}
}

// TestStopRefusesStreamsThatItWouldCut checks that a stream which comes at the end
// of a stop, and may last longer than the host, is sent to another host at once.
func TestStopRefusesStreamsThatItWouldCut(t *testing.T) {
	f := newFixture(t, 1)
	response := lateAnswer(t, f, "POST /draft/stream HTTP/1.1\r\nHost: firm.example\r\n"+
		"X-Request-Id: late\r\nAuthorization: Bearer secret\r\nCactuswell-Tokens: 100,50\r\n"+
		"Cactuswell-Prompt: a:60,b:40\r\nContent-Length: 0\r\n\r\n")
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", response.StatusCode, response.Header.Get("Retry-After"))
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Errorf("%d calls ran", len(runs))
	}
}

// TestStopRunsNothingThatItDoesNotAnswer covers a request on an idle connection
// that has come, but was not looked at, when a host that stops closes its idle
// connections: it was sent to an endpoint, and its caller got no answer.
func TestStopRunsNothingThatItDoesNotAnswer(t *testing.T) {
	var paused *pausedListener
	f := newWrappedFixture(t, 1, func(inner net.Listener) net.Listener {
		paused = newPausedListener(inner, "/hold/late")
		return paused
	})
	request := func(path string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: " + path[1:] +
			"\r\nAuthorization: Bearer secret\r\nContent-Length: 1\r\n\r\nx"
	}
	conn, reader := f.raw(request("/hold/first"))
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
	f.end()
	if ran := len(f.runs()) > 1; ran && err != nil {
		t.Errorf("the request was sent to an endpoint, and its caller got %v", err)
	}
}
