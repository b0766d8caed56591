package service_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cactuswell/io/engine"
	"cactuswell/io/service"
	"cactuswell/io/splice"
)

const (
	callID  = "call-2"
	otherID = "call-1"
)

// faultyEndpoint writes early when a connection is opened, and late when it has read a request.
type faultyEndpoint struct {
	listener net.Listener
	early    string
	late     string
	requests atomic.Int64
}

func newFaultyEndpoint(t *testing.T, early, late string) *faultyEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	e := &faultyEndpoint{
		listener: listener,
		early:    early,
		late:     late,
	}
	go e.run()
	return e
}

func (e *faultyEndpoint) run() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.serve(conn)
	}
}

func (e *faultyEndpoint) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, e.early); err != nil {
		return
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	e.requests.Add(1)
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, e.late)
}

func idLine(attempt string) string { return engine.HeaderAttemptID + ": " + attempt + "\r\n" }

// closingAnswerOf is an answer that ends the connection.
func closingAnswerOf(attempt string) string {
	return strings.Replace(answerOf(attempt), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)
}

// chunkedAnswerOf is an answer without a length.
func chunkedAnswerOf(attempt string) string {
	return "HTTP/1.1 200 OK\r\n" + idLine(attempt) + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"
}

// refusalHead is the begin of a refusal that names no attempt.
const refusalHead = "HTTP/1.1 503 Service Unavailable\r\n" + engine.HeaderNotStarted + ": true\r\n"

// TestRefusalOfSomethingElseIsNoPromise guards against calls that count as not started though they were run.
func TestRefusalOfSomethingElseIsNoPromise(t *testing.T) {
	const (
		end     = "Content-Length: 0\r\n\r\n"
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)
	tests := []struct {
		name        string
		early, late string
		isRefusal   bool
	}{
		{name: "own", late: refusalOf(callID), isRefusal: true},
		{name: "of another attempt", late: refusalOf(otherID) + answerOf(callID)},
		{name: "of another attempt, before the request", early: refusalOf(otherID), late: answerOf(callID)},
		{name: "names no attempt", late: refusalHead + end + answerOf(callID)},
		{name: "names no attempt, before the request", early: refusalHead + end, late: answerOf(callID)},
		{name: "torn in its status line", late: "HTTP/1.1 503 Service" + answerOf(callID)},
		{name: "torn in its mark", late: "HTTP/1.1 503 Full\r\n" + engine.HeaderNotStarted + ": true" + answerOf(callID)},
		{name: "torn in a value", late: refusalHead + "Server: engine" + answerOf(callID)},
		{name: "torn before a value", late: refusalHead + engine.HeaderIncarnation + ": " + answerOf(callID)},
		{name: "torn before a value, before the request", early: refusalHead + "Retry-After: ", late: answerOf(callID)},
		{name: "torn before a trailer", late: refusalHead + "Trailer: HTTP/1.1 200 OK\r\n" + idLine(callID) + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
		{name: "torn in its field Connection", late: refusalHead + "Connection: clo" + closingAnswerOf(callID)},
		{name: "torn before the value of its field Connection", late: refusalHead + "Connection: " + closingAnswerOf(callID)},
		{name: "torn in its field Connection, before the request", early: refusalHead + "Connection: clo", late: closingAnswerOf(callID)},
		{name: "torn in its field Connection, after an interim response", late: interim + refusalHead + "Connection: clo" + closingAnswerOf(callID)},
		{name: "torn in its field Content-Length", late: refusalHead + "Content-Length: " + chunkedAnswerOf(callID)},
		{name: "torn in its field Transfer-Encoding", late: strings.Replace(refusalHead, "/1.1", "/1.0", 1) + "Transfer-Encoding: " + answerOf(callID)},
		{name: "own, closing", late: refusalHead + idLine(callID) + "Connection: close\r\n" + end, isRefusal: true},
		{name: "own, closing, after an interim response", late: interim + refusalHead + idLine(callID) + "Connection: close\r\n" + end, isRefusal: true},
		{name: "torn in a name", late: refusalHead + "Retry-" + answerOf(callID)},
		{name: "torn between two lines", late: refusalHead + answerOf(callID)},
		{name: "torn after its ID", late: refusalHead + idLine(otherID) + "Server: " + answerOf(callID)},
		{name: "names two attempts", late: refusalHead + idLine(callID) + idLine(otherID) + end},
		{name: "two marks", late: refusalHead + engine.HeaderNotStarted + ": false\r\n" + idLine(callID) + end},
		{name: "with a status of no error", late: "HTTP/1.1 200 OK\r\n" + engine.HeaderNotStarted + ": true\r\n" + idLine(callID) + end},
		{name: "with a status of a redirect", late: "HTTP/1.1 307 Temporary Redirect\r\nLocation: /\r\n" + engine.HeaderNotStarted + ": true\r\n" + idLine(callID) + end},
		{name: "in an informational response", late: "HTTP/1.1 103 Early Hints\r\n" + engine.HeaderNotStarted + ": true\r\n" + idLine(callID) + "\r\n"},
		{name: "in an informational response, then another's", late: "HTTP/1.1 103 Early Hints\r\n" + idLine(callID) + "\r\n" + refusalHead + end},
		{name: "own, with a blank in a name", late: refusalHead + idLine(callID) + "X Odd: 1\r\n" + end},
		{name: "own, with a blank after a name", late: refusalHead + idLine(callID) + "Content-Length : 3\r\n" + end},
		{name: "own, after an invalid interim response", late: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + refusalHead + idLine(callID) + end},
		{name: "own, after an invalid status", late: "HTTP/1.1 000 Odd\r\n\r\n" + refusalHead + idLine(callID) + end},
		{name: "own, after a switch of protocols", late: "HTTP/1.1 101 Switching Protocols\r\n\r\n" + refusalHead + idLine(callID) + end},
		{name: "ends in its header", late: refusalHead + idLine(callID)},
		{name: "no response"},
	}
	for _, test := range tests {
		for name, body := range map[string][]byte{"body": []byte("{}"), "no body": nil} {
			t.Run(test.name+", "+name, func(t *testing.T) {
				e := newFaultyEndpoint(t, test.early, test.late)
				single := &http.Client{
					Transport: &http.Transport{
						DisableKeepAlives: true,
						DialContext:       splice.CheckFirst((&net.Dialer{}).DialContext),
					},
					CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
				}
				_, err := service.New(&http.Client{}, single).Call(context.Background(), service.Call{
					AttemptID:      callID,
					BaseURL:        "http://" + e.listener.Addr().String(),
					Operation:      "hold",
					IdempotencyKey: "key",
					Body:           body,
					NewConnection:  true,
				})
				var notStarted *engine.NotStartedError
				if isRefusal := errors.As(err, &notStarted); isRefusal != test.isRefusal {
					t.Errorf("not started: %v, want %v (error %v)", isRefusal, test.isRefusal, err)
				}
				if n := e.requests.Load(); n > 1 {
					t.Errorf("the endpoint got %d requests", n)
				}
			})
		}
	}
}
