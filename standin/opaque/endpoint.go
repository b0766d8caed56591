// Package opaque is a stand-in for an endpoint that runs opaque calls over HTTP/1.1.
// It can be set to misbehave for any call.
//
// # Usage
//
//	endpoint, err := opaque.New(opaque.Settings{
//		ID:    "endpoint-1",
//		Names: names,
//	})
//	defer endpoint.Close()
//	endpoint.SetBehaviour(func(request *http.Request) opaque.Behaviour {
//		return opaque.TruncatedAnswer{Bytes: 10}
//	})
//	runs := endpoint.Runs()
//
// It writes the bytes of its answers to the connection itself, because an HTTP server
// library does not allow violations of the protocol.
package opaque

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	product "cactuswell/io/opaque"
	"cactuswell/standin/endless"
)

// maxBodyBytes is the maximum size of the recorded body of a call.
const maxBodyBytes = 64 << 20

// Behaviour is how the endpoint answers one call. It is implemented only by the types
// in this file.
type Behaviour interface {
	isBehaviour()
}

// CompleteAnswer answers with the complete body, or with the complete stream if the
// path ends with "stream".
type CompleteAnswer struct{}

// ErrorStatus runs the call and answers with the given status.
type ErrorStatus struct{ Status int }

// Decline does not run the call and answers with the header that says so. Status is the
// answer's status, if it is not 503, and RetryAfter the value of its Retry-After header, if it
// is not empty.
type Decline struct {
	RetryAfter string
	Status     int
	// WithoutID omits the call's ID.
	WithoutID bool
	// Copies is the number of further copies of the answer, which are sent after Delay.
	Copies int
	Delay  time.Duration
	// After is the time until the answer.
	After time.Duration
}

// RepeatedAnswer runs the call, but sends the first answer of the connection once more before
// the call's own, byte by byte if IsSlow is set, and without its ID if WithoutID is.
type RepeatedAnswer struct {
	IsSlow    bool
	WithoutID bool
}

// PrecededAnswer runs the call, and sends the given bytes before the complete answer, which says that it closes
// the connection if Closes is set.
type PrecededAnswer struct {
	By     string
	Closes bool
}

// LeavingAnswer is a complete answer with the header that says that the endpoint is
// leaving.
type LeavingAnswer struct{}

// LimitedAnswer is a complete answer with the header that names a limit of requests a second.
type LimitedAnswer struct{ Limit string }

// Misdirection does not run the call and answers with status 421, as an endpoint does
// that has taken over the address of another.
type Misdirection struct{}

// TruncatedAnswer closes the connection after the given number of bytes of the answer's
// body.
type TruncatedAnswer struct{ Bytes int }

// Crash sends the given number of bytes of the answer's body, and then ends all connections
// of the endpoint and refuses new ones until Restart. The answer has neither a length nor chunks if IsUnframed is set.
type Crash struct {
	Bytes      int
	IsUnframed bool
}

// ClosedConnection runs the call and closes the connection without an answer.
type ClosedConnection struct{}

// Hang runs the call and sends nothing until the host closes the connection.
type Hang struct{}

// ExtraAnswer sends a second answer, to an earlier call, directly after the first.
type ExtraAnswer struct{}

// WrongRequestID answers with the ID of another request.
type WrongRequestID struct{}

// MissingMark answers without the endpoint's mark header.
type MissingMark struct{}

// MissingLength answers without a length; the answer ends when the connection is closed.
type MissingLength struct{}

// UnframedStream sends a stream with neither a length nor chunks, which ends when the
// connection is closed, after all of its events or the given number of bytes of them and Rest.
type UnframedStream struct {
	IsCut bool
	Bytes int
	Rest  string
}

// StalledUnframedAnswer sends the given number of bytes of an answer's body with neither a length
// nor chunks, and nothing more until the host closes the connection.
type StalledUnframedAnswer struct{ Bytes int }

// DelayedAnswer is a complete answer to a call that takes the given time.
type DelayedAnswer struct{ After time.Duration }

// EarlyAnswer answers before it has read the body of the request.
type EarlyAnswer struct{}

// Garbage sends bytes that are not an HTTP answer.
type Garbage struct{}

// SkippedEvent omits one event from a stream.
type SkippedEvent struct{ Event int }

// FalseNotRun runs the call but answers with a status that guarantees that it was not
// run.
type FalseNotRun struct{ Status int }

// EndlessAnswer runs the call and sends an answer of which a part does not end. Status is
// the answer's status line, if it is not "200 OK".
type EndlessAnswer struct {
	Part   endless.Part
	Pace   endless.Pace
	Status string
	// Events is the number of complete events with which a stream starts.
	Events int
}

// EndlessDecline does not run the call, and sends a body without end after the header
// that says so.
type EndlessDecline struct{ Pace endless.Pace }

// LargeAnswer answers with a body of the given size, in chunks if Chunked is set. If CutAfter is not zero, the
// connection is closed after so many bytes of the body.
type LargeAnswer struct {
	Bytes    int
	Chunked  bool
	CutAfter int
}

// LongHeader answers with the given number of additional header fields of 100 bytes.
type LongHeader struct{ Fields int }

// PaddedStream sends comments and blank events before, between and after the events of a
// stream.
type PaddedStream struct{}

// SlowStream sends a complete stream with a pause before each event, and each event byte
// by byte.
type SlowStream struct{ Pause time.Duration }

func (CompleteAnswer) isBehaviour()   {}
func (SlowStream) isBehaviour()       {}
func (EndlessAnswer) isBehaviour()    {}
func (EndlessDecline) isBehaviour()   {}
func (LargeAnswer) isBehaviour()      {}
func (LongHeader) isBehaviour()       {}
func (PaddedStream) isBehaviour()     {}
func (ErrorStatus) isBehaviour()      {}
func (Decline) isBehaviour()          {}
func (RepeatedAnswer) isBehaviour()   {}
func (PrecededAnswer) isBehaviour()   {}
func (LeavingAnswer) isBehaviour()    {}
func (LimitedAnswer) isBehaviour()    {}
func (Misdirection) isBehaviour()     {}
func (TruncatedAnswer) isBehaviour()  {}
func (Crash) isBehaviour()            {}
func (ClosedConnection) isBehaviour() {}
func (Hang) isBehaviour()             {}
func (ExtraAnswer) isBehaviour()      {}
func (WrongRequestID) isBehaviour()   {}
func (MissingMark) isBehaviour()      {}
func (MissingLength) isBehaviour()    {}
func (UnframedStream) isBehaviour()   {}

func (StalledUnframedAnswer) isBehaviour() {}

func (DelayedAnswer) isBehaviour() {}

func (EarlyAnswer) isBehaviour()  {}
func (Garbage) isBehaviour()      {}
func (SkippedEvent) isBehaviour() {}
func (FalseNotRun) isBehaviour()  {}

// Settings configures an Endpoint.
type Settings struct {
	ID string
	// Names holds the header names.
	Names product.HeaderNames
	// Events is the number of events in a stream.
	Events int
}

// Run is the record of a call that the endpoint ran.
type Run struct {
	ID     string
	Target string
	Method string
	Header http.Header
	Body   []byte
}

// Endpoint is a running stand-in. It is safe for concurrent use.
type Endpoint struct {
	settings   Settings
	address    string
	goroutines sync.WaitGroup

	mu              sync.Mutex
	listener        net.Listener
	chooseBehaviour func(*http.Request) Behaviour
	runs            []Run
	conns           map[net.Conn]bool
	isDown          bool
	canceled        chan string
	cutAnswers      int
	slowAnswers     chan struct{}
}

// New starts an endpoint on a loopback address.
func New(settings Settings) (*Endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{
		settings:        settings,
		address:         listener.Addr().String(),
		listener:        listener,
		chooseBehaviour: func(*http.Request) Behaviour { return CompleteAnswer{} },
		conns:           make(map[net.Conn]bool),
		canceled:        make(chan string, 64),
		slowAnswers:     make(chan struct{}, 64),
	}
	e.goroutines.Add(1)
	go e.acceptConnections(listener)
	return e, nil
}

// Address returns the IP address and port.
func (e *Endpoint) Address() string { return e.address }

// SetBehaviour sets the function that chooses how each later call is answered.
func (e *Endpoint) SetBehaviour(behave func(*http.Request) Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.chooseBehaviour = behave
}

// Runs returns the calls that were run, in their order.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// CanceledCalls receives the request ID of each Hang call whose connection was closed.
func (e *Endpoint) CanceledCalls() <-chan string { return e.canceled }

// SlowAnswers receives a value after each answer of a SlowStream was sent.
func (e *Endpoint) SlowAnswers() <-chan struct{} { return e.slowAnswers }

// CutAnswers returns the number of endless answers whose connection the host has closed.
func (e *Endpoint) CutAnswers() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutAnswers
}

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	e.crash()
	e.goroutines.Wait()
}

func (e *Endpoint) acceptConnections(listener net.Listener) {
	defer e.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if e.addConnection(listener, conn) {
			go e.serveConnection(conn)
		}
	}
}

// addConnection adds a connection to those that a crash ends. It closes the connection and
// reports false if the endpoint has crashed since the listener accepted it.
func (e *Endpoint) addConnection(listener net.Listener, conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown || e.listener != listener {
		_ = conn.Close()
		return false
	}
	e.conns[conn] = true
	e.goroutines.Add(1)
	return true
}

// recorder is a connection that keeps the first bytes that were written at once.
type recorder struct {
	net.Conn
	first []byte
}

// Write implements net.Conn.
func (r *recorder) Write(p []byte) (int, error) {
	if r.first == nil {
		r.first = bytes.Clone(p)
	}
	return r.Conn.Write(p)
}

func (e *Endpoint) serveConnection(accepted net.Conn) {
	defer e.goroutines.Done()
	defer func() {
		_ = accepted.Close()
		e.mu.Lock()
		delete(e.conns, accepted)
		e.mu.Unlock()
	}()
	conn := &recorder{Conn: accepted}
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !e.serveRequest(conn, request) {
			return
		}
	}
}

// errCloseConnection makes the endpoint close the connection after an answer.
var errCloseConnection = errors.New("end of the connection")

// serveRequest answers one call and reports whether the connection stays open.
func (e *Endpoint) serveRequest(conn net.Conn, request *http.Request) bool {
	e.mu.Lock()
	behaviour := e.chooseBehaviour(request)
	e.mu.Unlock()
	if _, early := behaviour.(EarlyAnswer); early {
		e.recordRun(request, nil)
		_, err := conn.Write(e.completeAnswer(request, nil, true))
		return err == nil && discardBody(request)
	}
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBodyBytes))
	if err != nil {
		return false
	}
	return e.writeAnswer(conn, request, body, behaviour) == nil
}

func discardBody(request *http.Request) bool {
	_, err := io.Copy(io.Discard, request.Body)
	return err == nil
}

func (e *Endpoint) recordRun(request *http.Request, body []byte) {
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

// writeAnswer runs the call if the behaviour does, and writes the answer. The connection
// is closed if it returns an error.
func (e *Endpoint) writeAnswer(conn net.Conn, request *http.Request, body []byte, behaviour Behaviour) error {
	switch behaviour.(type) {
	case Decline, EndlessDecline, Misdirection:
		return e.writeNotRun(conn, request.Header.Get(e.settings.Names.RequestID), behaviour)
	}
	e.recordRun(request, body)
	if b, ok := behaviour.(PrecededAnswer); ok {
		return e.writePreceded(conn, e.completeAnswer(request, body, true), b)
	}
	return e.writeRun(conn, request, body, behaviour)
}

// writeNotRun writes the answer to a call that does not run.
func (e *Endpoint) writeNotRun(conn net.Conn, id string, behaviour Behaviour) error {
	switch b := behaviour.(type) {
	case Decline:
		return e.writeDecline(conn, id, b)
	case EndlessDecline:
		return e.writeEndless(conn, endless.Body.ResponseWithStatus("503 Service Unavailable", e.idHeader(id)+e.settings.Names.NotRun+": 1\r\n"), b.Pace)
	}
	return e.write(conn, e.plainAnswer(http.StatusMisdirectedRequest, id, "", "not here"))
}

// writeDecline writes the answer to a call that is declined, and its copies.
func (e *Endpoint) writeDecline(conn net.Conn, id string, b Decline) error {
	<-time.After(b.After)
	header := e.settings.Names.NotRun + ": 1\r\n"
	if b.RetryAfter != "" {
		header += "Retry-After: " + b.RetryAfter + "\r\n"
	}
	status := b.Status
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	answer := e.plainAnswer(status, id, header, "busy")
	if b.WithoutID {
		answer = e.withoutID(answer)
	}
	if err := e.write(conn, answer); err != nil || b.Copies == 0 {
		return err
	}
	timer := time.NewTimer(b.Delay)
	defer timer.Stop()
	<-timer.C
	return e.write(conn, bytes.Repeat(answer, b.Copies))
}

// writeRun writes the answer to a call that has run.
func (e *Endpoint) writeRun(conn net.Conn, request *http.Request, body []byte, behaviour Behaviour) error {
	id := request.Header.Get(e.settings.Names.RequestID)
	switch b := behaviour.(type) {
	case LeavingAnswer:
		header := e.markHeader() + e.settings.Names.Leaving + ": 1\r\n"
		return e.write(conn, e.plainAnswer(http.StatusOK, id, header, string(AnswerBody(body))))
	case LimitedAnswer:
		header := e.markHeader() + e.settings.Names.Limit + ": " + b.Limit + "\r\n"
		return e.write(conn, e.plainAnswer(http.StatusOK, id, header, string(AnswerBody(body))))
	case ErrorStatus:
		return e.write(conn, e.plainAnswer(b.Status, id, e.markHeader(), "failed"))
	case FalseNotRun:
		return e.write(conn, e.plainAnswer(b.Status, id, e.markHeader(), "promised"))
	case EndlessAnswer:
		return e.writeEndless(conn, e.endlessResponse(id, b), b.Pace)
	case LargeAnswer:
		return e.writeLarge(conn, request, b)
	case LongHeader:
		header := strings.Repeat("X-Field: "+strings.Repeat("x", 89)+"\r\n", b.Fields)
		return e.write(conn, e.plainAnswer(http.StatusOK, id, e.markHeader()+header, string(AnswerBody(body))))
	case RepeatedAnswer:
		return e.writeAfterRepeat(conn, e.completeAnswer(request, body, true), b)
	case SlowStream:
		return e.writeSlowly(conn, e.completeAnswer(request, body, true), b.Pause)
	case PaddedStream:
		return errors.Join(e.write(conn, e.paddedStream(id)), errCloseConnection)
	case ClosedConnection:
		return errCloseConnection
	case Hang:
		_, _ = conn.Read(make([]byte, 1))
		e.canceled <- id
		return errCloseConnection
	case Garbage:
		return errors.Join(e.write(conn, []byte("no answer at all\r\n\r\n")), errCloseConnection)
	case WrongRequestID:
		return e.write(conn, e.plainAnswer(http.StatusOK, "another-request", e.markHeader(), "somebody else's"))
	case MissingMark:
		return e.write(conn, e.plainAnswer(http.StatusOK, id, "", "unsigned"))
	case TruncatedAnswer:
		return errors.Join(e.writeTruncated(conn, e.completeAnswer(request, body, true), b.Bytes), errCloseConnection)
	case Crash:
		err := e.writeTruncated(conn, e.crashAnswer(request, body, b), b.Bytes)
		e.crash()
		return errors.Join(err, errCloseConnection)
	case MissingLength:
		return errors.Join(e.write(conn, e.completeAnswer(request, body, false)), errCloseConnection)
	case UnframedStream:
		return errors.Join(e.write(conn, e.unframedStream(request, b)), errCloseConnection)
	case DelayedAnswer:
		<-time.After(b.After)
		return e.write(conn, e.completeAnswer(request, body, true))
	case StalledUnframedAnswer:
		return errors.Join(e.writeStalled(conn, request, body, b), errCloseConnection)
	case ExtraAnswer:
		answers := append(e.completeAnswer(request, body, true), e.plainAnswer(http.StatusOK, "earlier-request", e.markHeader(), "late")...)
		return e.write(conn, answers)
	case SkippedEvent:
		return e.write(conn, e.streamAnswer(request, b.Event))
	}
	if request.Method == http.MethodHead {
		return e.write(conn, withoutBody(e.completeAnswer(request, body, true)))
	}
	return e.write(conn, e.completeAnswer(request, body, true))
}

// writePreceded sends an answer after the bytes that precede it.
func (e *Endpoint) writePreceded(conn net.Conn, answer []byte, b PrecededAnswer) error {
	if b.Closes {
		answer = bytes.Replace(answer, []byte("\r\n\r\n"), []byte("\r\nConnection: close\r\n\r\n"), 1)
	}
	return e.write(conn, append([]byte(b.By), answer...))
}

// writeAfterRepeat sends an answer after the first one of the connection.
func (e *Endpoint) writeAfterRepeat(conn net.Conn, answer []byte, b RepeatedAnswer) error {
	first := conn.(*recorder).first
	if b.WithoutID {
		first = e.withoutID(first)
	}
	if !b.IsSlow {
		return e.write(conn, append(bytes.Clone(first), answer...))
	}
	for _, octet := range first {
		if err := e.write(conn, []byte{octet}); err != nil {
			return err
		}
	}
	return e.write(conn, answer)
}

// writeTruncated sends the header and the given number of bytes of the body of an answer.
func (e *Endpoint) writeTruncated(conn net.Conn, answer []byte, size int) error {
	headerSize := bytes.Index(answer, []byte("\r\n\r\n")) + 4
	return e.write(conn, answer[:min(headerSize+size, len(answer))])
}

// crashAnswer returns the answer of which a Crash sends the beginning.
func (e *Endpoint) crashAnswer(request *http.Request, body []byte, b Crash) []byte {
	if b.IsUnframed && isStream(request) {
		return e.unframedStream(request, UnframedStream{})
	}
	return e.completeAnswer(request, body, !b.IsUnframed)
}

// crash ends all connections and refuses new ones.
func (e *Endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown = true
	_ = e.listener.Close()
	for conn := range e.conns {
		_ = conn.Close()
	}
}

// IsDown reports whether the endpoint has crashed and was not restarted.
func (e *Endpoint) IsDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDown
}

// Restart listens again after a crash, at the same address.
func (e *Endpoint) Restart() error {
	listener, err := net.Listen("tcp", e.Address())
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener = listener
	e.isDown = false
	e.mu.Unlock()
	e.goroutines.Add(1)
	go e.acceptConnections(listener)
	return nil
}

func (e *Endpoint) write(conn net.Conn, answer []byte) error {
	_, err := conn.Write(answer)
	return err
}

// withoutBody returns the header of an answer, which is the answer to a HEAD request.
func withoutBody(answer []byte) []byte {
	header, _, _ := bytes.Cut(answer, []byte("\r\n\r\n"))
	return append(header, "\r\n\r\n"...)
}

func (e *Endpoint) idHeader(id string) string { return e.settings.Names.RequestID + ": " + id + "\r\n" }

// withoutID returns an answer without the header field that names the call.
func (e *Endpoint) withoutID(answer []byte) []byte {
	var out []byte
	for line := range bytes.Lines(answer) {
		if !bytes.HasPrefix(line, []byte(e.settings.Names.RequestID+": ")) {
			out = append(out, line...)
		}
	}
	return out
}

func (e *Endpoint) endlessResponse(id string, b EndlessAnswer) endless.Response {
	var events []string
	for i := range b.Events {
		events = append(events, StreamEvent(i))
	}
	status := b.Status
	if status == "" {
		status = "200 OK"
	}
	return b.Part.ResponseWithStatus(status, e.idHeader(id)+e.markHeader(), events...)
}

// writeSlowly sends an answer byte by byte, with a pause after each empty line.
func (e *Endpoint) writeSlowly(conn net.Conn, answer []byte, pause time.Duration) error {
	defer func() {
		select {
		case e.slowAnswers <- struct{}{}:
		default:
		}
	}()
	const byteInterval = time.Millisecond
	tick := time.NewTicker(byteInterval)
	defer tick.Stop()
	for i, b := range answer {
		<-tick.C
		if i > 0 && b == '\n' && answer[i-1] == '\n' {
			// Bytes of the next event come late, not those of this one.
			tick.Reset(pause)
			if err := e.write(conn, []byte{b}); err != nil {
				return err
			}
			<-tick.C
			tick.Reset(byteInterval)
			continue
		}
		if err := e.write(conn, []byte{b}); err != nil {
			return err
		}
	}
	return nil
}

// writeEndless sends an endless response until the host closes the connection.
func (e *Endpoint) writeEndless(conn net.Conn, response endless.Response, pace endless.Pace) error {
	err := response.Send(conn, pace)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutAnswers++
	return err
}

func (e *Endpoint) writeLarge(conn net.Conn, request *http.Request, b LargeAnswer) error {
	id := request.Header.Get(e.settings.Names.RequestID)
	body := LargeBody(b.Bytes)
	if request.Method == http.MethodHead {
		return e.write(conn, withoutBody(e.plainAnswer(http.StatusOK, id, e.markHeader(), body)))
	}
	answer := e.plainAnswer(http.StatusOK, id, e.markHeader(), body)
	if b.Chunked {
		answer = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			e.idHeader(id), e.markHeader(), len(body), body)
	}
	if b.CutAfter == 0 {
		return e.write(conn, answer)
	}
	return errors.Join(e.write(conn, answer[:bytes.Index(answer, []byte("0123456789abcdef"))+b.CutAfter]), errCloseConnection)
}

// LargeBody returns the body of a LargeAnswer of n bytes.
func LargeBody(n int) string { return strings.Repeat("0123456789abcdef", n/16+1)[:n] }

// PaddedEvents is the body of a PaddedStream.
func PaddedEvents(events int) string {
	const padding = ": wait\n\n\ndata:\n\n"
	var body strings.Builder
	body.WriteString(padding)
	for id := range events {
		body.WriteString(StreamEvent(id) + padding)
	}
	return body.String()
}

func (e *Endpoint) paddedStream(id string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s%s\r\n%s", e.idHeader(id), e.markHeader(), PaddedEvents(e.settings.Events))
}

func (e *Endpoint) markHeader() string { return e.settings.Names.Mark + ": " + e.settings.ID + "\r\n" }

func (e *Endpoint) plainAnswer(status int, id, header, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), e.settings.Names.RequestID, id, header, len(body), body)
}

// AnswerBody returns the body of a complete answer to a call with the given body.
func AnswerBody(body []byte) []byte {
	return append([]byte("answer to "), body...)
}

// StreamEvent returns the encoded event of a stream with the given ID.
func StreamEvent(id int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", id, id) }

// completeAnswer returns a complete answer, with or without a length.
func (e *Endpoint) completeAnswer(request *http.Request, body []byte, framed bool) []byte {
	if isStream(request) {
		return e.streamAnswer(request, -1)
	}
	id := request.Header.Get(e.settings.Names.RequestID)
	answer := AnswerBody(body)
	if framed {
		return e.plainAnswer(http.StatusOK, id, e.markHeader(), string(answer))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n%s", e.settings.Names.RequestID, id, e.markHeader(), answer)
}

func isStream(request *http.Request) bool {
	return bytes.HasSuffix([]byte(request.URL.Path), []byte("stream"))
}

// streamAnswer returns a chunked stream of the events after the last event that the
// caller received, without the event to skip.
func (e *Endpoint) streamAnswer(request *http.Request, skip int) []byte {
	answer := bytes.NewBufferString(e.streamHeader(request) + "Transfer-Encoding: chunked\r\n\r\n")
	for id := e.firstEvent(request); id < e.settings.Events; id++ {
		if id != skip {
			event := StreamEvent(id)
			fmt.Fprintf(answer, "%x\r\n%s\r\n", len(event), event)
		}
	}
	answer.WriteString("0\r\n\r\n")
	return answer.Bytes()
}

// firstEvent returns the ID of the event after the last one that the caller received.
func (e *Endpoint) firstEvent(request *http.Request) int {
	var last int
	if _, err := fmt.Sscan(request.Header.Get(e.settings.Names.LastEventID), &last); err != nil {
		return 0
	}
	return last + 1
}

func (e *Endpoint) streamHeader(request *http.Request) string {
	return "HTTP/1.1 200 OK\r\n" + e.idHeader(request.Header.Get(e.settings.Names.RequestID)) + e.markHeader() +
		"Content-Type: text/event-stream\r\n"
}

// writeStalled sends the beginning of an answer and waits until the host closes the connection.
func (e *Endpoint) writeStalled(conn net.Conn, request *http.Request, body []byte, b StalledUnframedAnswer) error {
	head, rest, _ := bytes.Cut(e.completeAnswer(request, body, false), []byte("\r\n\r\n"))
	if isStream(request) {
		head, rest, _ = bytes.Cut(e.unframedStream(request, UnframedStream{}), []byte("\r\n\r\n"))
	}
	if err := e.write(conn, append(append(head, "\r\n\r\n"...), rest[:b.Bytes]...)); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// unframedStream returns a stream without a length and chunks.
func (e *Endpoint) unframedStream(request *http.Request, b UnframedStream) []byte {
	var events bytes.Buffer
	for id := e.firstEvent(request); id < e.settings.Events; id++ {
		events.WriteString(StreamEvent(id))
	}
	if b.IsCut {
		events.Truncate(b.Bytes)
		events.WriteString(b.Rest)
	}
	return append([]byte(e.streamHeader(request)+"\r\n"), events.Bytes()...)
}
