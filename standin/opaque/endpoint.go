// Package opaque is a stand-in for an endpoint that runs opaque calls over
// HTTP/1.1, and can be told to misbehave at any of them.
//
// # Usage
//
//	endpoint, err := opaque.New(opaque.Settings{
//		ID:    "endpoint-1",
//		Names: names,
//	})
//	defer endpoint.Close()
//	endpoint.Behave(func(request *http.Request) opaque.Behaviour {
//		return opaque.Cut{Bytes: 10}
//	})
//	runs := endpoint.Runs()
//
// It writes its answers byte by byte itself, as a server library would not let
// it break the protocol.
package opaque

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"

	product "cactuswell/io/opaque"
)

// Behaviour is how the endpoint answers one call. The types of this file are all
// there are.
type Behaviour interface {
	isBehaviour()
}

// CompleteAnswer answers with the whole body, or the whole stream for a path that ends
// with "stream".
type CompleteAnswer struct{}

// ErrorStatus answers with a status of its own.
type ErrorStatus struct{ Status int }

// Decline says that it did not run the call.
type Decline struct{}

// Misdirection says that the address is another endpoint's.
type Misdirection struct{}

// TruncatedAnswer closes the connection after that many bytes of the answer's body.
type TruncatedAnswer struct{ Bytes int }

// ClosedConnection closes the connection without an answer.
type ClosedConnection struct{}

// Hang reads the call, runs it and says nothing until the connection ends.
type Hang struct{}

// ExtraAnswer gives a second answer, of an earlier call, right behind the first.
type ExtraAnswer struct{}

// WrongRequestID answers in the name of another request.
type WrongRequestID struct{}

// MissingMark answers without its mark.
type MissingMark struct{}

// MissingLength answers without a length and ends with its connection.
type MissingLength struct{}

// EarlyAnswer answers before it has read the body.
type EarlyAnswer struct{}

// Garbage sends bytes that are no answer.
type Garbage struct{}

// SkippedEvent leaves an event out of a stream.
type SkippedEvent struct{ Event int }

// FalseNotRun answers with a status that promises that the call was not run,
// though it was.
type FalseNotRun struct{ Status int }

func (CompleteAnswer) isBehaviour()   {}
func (ErrorStatus) isBehaviour()      {}
func (Decline) isBehaviour()          {}
func (Misdirection) isBehaviour()     {}
func (TruncatedAnswer) isBehaviour()  {}
func (ClosedConnection) isBehaviour() {}
func (Hang) isBehaviour()             {}
func (ExtraAnswer) isBehaviour()      {}
func (WrongRequestID) isBehaviour()   {}
func (MissingMark) isBehaviour()      {}
func (MissingLength) isBehaviour()    {}
func (EarlyAnswer) isBehaviour()      {}
func (Garbage) isBehaviour()          {}
func (SkippedEvent) isBehaviour()     {}
func (FalseNotRun) isBehaviour()      {}

// Settings say who the endpoint is.
type Settings struct {
	ID    string
	Names product.HeaderNames
	// Events is the number of events of a stream.
	Events int
}

// Run is a call that the endpoint ran.
type Run struct {
	ID     string
	Target string
	Method string
	Header http.Header
	Body   []byte
}

// Endpoint is a running stand-in. It is safe for concurrent use.
type Endpoint struct {
	settings Settings
	listener net.Listener
	served   sync.WaitGroup

	mu     sync.Mutex
	behave func(*http.Request) Behaviour
	runs   []Run
	conns  map[net.Conn]bool
	left   chan string
}

// New starts an endpoint on a loopback address.
func New(settings Settings) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		settings: settings,
		listener: listener,
		behave:   func(*http.Request) Behaviour { return CompleteAnswer{} },
		conns:    make(map[net.Conn]bool),
		left:     make(chan string, 64),
	}
	e.served.Add(1)
	go e.run()
	return e, nil
}

// Address returns the IP and port.
func (e *Endpoint) Address() string { return e.listener.Addr().String() }

// SetBehaviour sets how calls are answered from now on.
func (e *Endpoint) SetBehaviour(behave func(*http.Request) Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behave = behave
}

// Runs returns the calls that were run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// CanceledCalls tells of each silent call whose connection was closed.
func (e *Endpoint) CanceledCalls() <-chan string { return e.left }

// Close stops the endpoint and its connections.
func (e *Endpoint) Close() {
	_ = e.listener.Close()
	e.mu.Lock()
	for conn := range e.conns {
		_ = conn.Close()
	}
	e.mu.Unlock()
	e.served.Wait()
}

func (e *Endpoint) run() {
	defer e.served.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[conn] = true
		e.mu.Unlock()
		e.served.Add(1)
		go e.runConn(conn)
	}
}

func (e *Endpoint) runConn(conn net.Conn) {
	defer e.served.Done()
	defer func() {
		_ = conn.Close()
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.answer(conn, request) {
			return
		}
	}
}

// errEnd ends a connection on purpose.
var errEnd = errors.New("end of the connection")

// answer serves one call and reports whether the connection goes on.
func (e *Endpoint) answer(conn net.Conn, request *http.Request) bool {
	e.mu.Lock()
	behaviour := e.behave(request)
	e.mu.Unlock()
	if _, early := behaviour.(EarlyAnswer); early {
		e.note(request, nil)
		_, err := conn.Write(e.whole(request, nil, true))
		return err == nil && drain(request)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return false
	}
	return e.behaveAs(conn, request, body, behaviour) == nil
}

func drain(request *http.Request) bool {
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

func (e *Endpoint) note(request *http.Request, body []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{
		ID:     request.Header.Get(e.settings.Names.RequestID),
		Target: request.RequestURI,
		Method: request.Method,
		Header: request.Header.Clone(),
		Body:   body,
	})
}

// behaveAs writes the answer. An error ends the connection.
func (e *Endpoint) behaveAs(conn net.Conn, request *http.Request, body []byte, behaviour Behaviour) error {
	id := request.Header.Get(e.settings.Names.RequestID)
	switch behaviour.(type) {
	case Decline:
		return e.write(conn, e.plain(http.StatusServiceUnavailable, id, e.settings.Names.NotRun+": 1\r\n", "busy"))
	case Misdirection:
		return e.write(conn, e.plain(http.StatusMisdirectedRequest, id, "", "not here"))
	}
	e.note(request, body)
	switch b := behaviour.(type) {
	case ErrorStatus:
		return e.write(conn, e.plain(b.Status, id, e.mark(), "failed"))
	case FalseNotRun:
		return e.write(conn, e.plain(b.Status, id, e.mark(), "promised"))
	case ClosedConnection:
		return errEnd
	case Hang:
		_, _ = conn.Read(make([]byte, 1))
		e.left <- id
		return errEnd
	case Garbage:
		return errors.Join(e.write(conn, []byte("no answer at all\r\n\r\n")), errEnd)
	case WrongRequestID:
		return e.write(conn, e.plain(http.StatusOK, "another-request", e.mark(), "somebody else's"))
	case MissingMark:
		return e.write(conn, e.plain(http.StatusOK, id, "", "unsigned"))
	case TruncatedAnswer:
		whole := e.whole(request, body, true)
		head := bytes.Index(whole, []byte("\r\n\r\n")) + 4
		return errors.Join(e.write(conn, whole[:min(head+b.Bytes, len(whole))]), errEnd)
	case MissingLength:
		return errors.Join(e.write(conn, e.whole(request, body, false)), errEnd)
	case ExtraAnswer:
		answers := append(e.whole(request, body, true), e.plain(http.StatusOK, "earlier-request", e.mark(), "late")...)
		return e.write(conn, answers)
	case SkippedEvent:
		return e.write(conn, e.stream(request, b.Event))
	}
	if request.Method == http.MethodHead {
		return e.write(conn, withoutBody(e.whole(request, body, true)))
	}
	return e.write(conn, e.whole(request, body, true))
}

func (e *Endpoint) write(conn net.Conn, answer []byte) error {
	_, err := conn.Write(answer)
	return err
}

// withoutBody returns the header of an answer, which is all that a HEAD gets.
func withoutBody(answer []byte) []byte {
	head, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return append(head, "\r\n\r\n"...)
}

func (e *Endpoint) mark() string { return e.settings.Names.Mark + ": " + e.settings.ID + "\r\n" }

func (e *Endpoint) plain(status int, id, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), e.settings.Names.RequestID, id, header, len(body), body)
}

// AnswerBody returns the body of a whole answer to a call with the given body.
func AnswerBody(body []byte) []byte {
	return append([]byte("answer to "), body...)
}

// StreamEvent returns an event of a stream.
func StreamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", id, id) }

// whole returns a whole answer, with a length or without.
func (e *Endpoint) whole(request *http.Request, body []byte, framed bool) []byte {
	if isStream(request) {
		return e.stream(request, -1)
	}
	id := request.Header.Get(e.settings.Names.RequestID)
	answer := AnswerBody(body)
	if framed {
		return e.plain(http.StatusOK, id, e.mark(), string(answer))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", e.settings.Names.RequestID, id, e.mark(), answer)
}

func isStream(request *http.Request) bool {
	return bytes.HasSuffix([]byte(request.URL.Path), []byte("stream"))
}

// stream returns a whole stream in chunks, from behind the event that the caller
// has, without the event to be skipped.
func (e *Endpoint) stream(request *http.Request, skip int) []byte {
	from := 0
	if last := request.Header.Get(e.settings.Names.LastEventID); last != "" {
		if _, err := fmt.Sscan(last, &from); err == nil {
			from++
		}
	}
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		e.settings.Names.RequestID, request.Header.Get(e.settings.Names.RequestID), e.mark())
	for id := from; id < e.settings.Events; id++ {
		if id != skip {
			event := StreamEvent(id)
			fmt.Fprintf(&answer, "%x\r\n%s\r\n", len(event), event)
		}
	}
	answer.WriteString("0\r\n\r\n")
	return answer.Bytes()
}
