package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	standin "cactuswell/standin/opaque"
)

// newStoppingFixture starts a host that has a second after its listener is closed, and whose endpoints answer only when
// the host closes the connection.
func newStoppingFixture(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t, 1)
	f.setBehaviour(func(*http.Request) standin.Behaviour { return standin.Hang{} })
	return f
}

// lateCall is a call that must not run twice, over a connection of its own, whose body is not complete.
type lateCall struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) beginCall(id string) *lateCall {
	f.t.Helper()
	conn, reader := f.dialAndSend("POST /hold/late HTTP/1.1\r\nHost: firm.example\r\nX-Request-Id: " + id +
		"\r\nAuthorization: Bearer secret\r\nContent-Length: 2\r\n\r\nx")
	return &lateCall{
		conn:   conn,
		reader: reader,
	}
}

// end sends the rest of the body.
func (c *lateCall) end(t *testing.T) {
	t.Helper()
	if _, err := io.WriteString(c.conn, "x"); err != nil {
		t.Fatal(err)
	}
}

// answer returns the status that the caller gets, or 0 if the connection ends without an answer.
func (c *lateCall) answer() int {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// TestLateCallsOfStopAreNotPassedOn guards against calls that must not run twice, are passed on late in a planned stop and
// cut at its end, with no answer. Whether a call may outlast the host was asked for streams alone, and only
// when their header had come.
func TestLateCallsOfStopAreNotPassedOn(t *testing.T) {
	t.Run("the body ends late", func(t *testing.T) {
		t.Parallel()
		f := newStoppingFixture(t)
		call := f.beginCall("late")
		eventually(t, "the body is arriving", func() bool { return f.metric(t, "cactuswell_open_calls") == 1 })
		f.stop()
		f.awaitClosedListener()
		call.end(t)
		if status := call.answer(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
		if runs := len(f.runs()); runs > 0 {
			t.Errorf("%d calls ran", runs)
		}
	})
	t.Run("the body never ends", func(t *testing.T) {
		t.Parallel()
		f := newStoppingFixture(t)
		call := f.beginCall("late")
		eventually(t, "the body is arriving", func() bool { return f.metric(t, "cactuswell_open_calls") == 1 })
		f.stop()
		if status := call.answer(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
	})
	t.Run("waiting", func(t *testing.T) {
		t.Parallel()
		f := newStoppingFixture(t)
		// The endpoint of the tests takes six calls.
		const places = 6
		running := make([]*lateCall, places)
		for i := range running {
			running[i] = f.beginCall(fmt.Sprintf("running-%d", i))
			running[i].end(t)
		}
		eventually(t, "all places are taken", func() bool { return len(f.runs()) == places })
		call := f.beginCall("waiting")
		call.end(t)
		eventually(t, "the call waits", func() bool { return f.metric(t, "cactuswell_open_calls") == places+1 })
		f.stop()
		if status := call.answer(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
		// The calls that run are answered although their endpoint is not.
		for _, call := range running {
			if status := call.answer(); status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
				t.Errorf("status %d of a call that runs", status)
			}
		}
	})
	t.Run("declined", func(t *testing.T) {
		t.Parallel()
		f := newFixture(t, 2)
		f.setBehaviour(byAttempt(slowDecline, standin.Hang{}))
		call := f.beginCall("declined")
		call.end(t)
		eventually(t, "the call is at an endpoint", func() bool { return f.metric(t, "cactuswell_open_calls") == 1 })
		f.stop()
		f.awaitClosedListener()
		if status := call.answer(); status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", status)
		}
		if runs := len(f.runs()); runs > 0 {
			t.Errorf("%d calls ran", runs)
		}
	})
}

// slowDecline is a refusal that comes after the host has closed its listener.
var slowDecline = standin.Decline{After: 500 * time.Millisecond}

// TestShortCallsOfStopAreServed guards against calls that are refused although they end long before the host does: a
// call that may be repeated, and one whose caller waits for less than the time that is left.
func TestShortCallsOfStopAreServed(t *testing.T) {
	for path, header := range map[string]string{
		"GET /lookup/late": "",
		"GET /hold/late":   "Cactuswell-Time-Left-Ms: 300\r\n",
	} {
		t.Run(path, func(t *testing.T) {
			response := sendDuringShutdown(t, newFixture(t, 1), path+" HTTP/1.1\r\nHost: firm.example\r\n"+header+
				"X-Request-Id: late\r\nAuthorization: Bearer secret\r\n\r\n")
			if response.StatusCode != http.StatusOK {
				t.Errorf("status %d", response.StatusCode)
			}
		})
	}
}
