// Package endless sends HTTP/1.1 responses of which one part never ends.
//
// # Usage
//
//	server, err := endless.New(endless.HeaderFields.Response(""), endless.NoPause)
//	defer server.Close()
//	... let a client call server.Address() ...
//	<-server.Cut()
//
// A response goes on until its reader closes the connection.
package endless

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Part is the part of a response that does not end.
type Part string

// The parts of a response to any request.
const (
	StatusLine       Part = "status line"
	HeaderLine       Part = "header line"
	HeaderFields     Part = "header fields"
	InterimResponses Part = "interim responses"
	ChunkSize        Part = "chunk size"
	ChunkExtension   Part = "chunk extension"
	ChunkExtensions  Part = "extensions of small chunks"
	Trailers         Part = "trailers"
	AfterBody        Part = "bytes after the body"
	Body             Part = "body without a length"
	ChunkedBody      Part = "chunked body"
	EventLine        Part = "event line"
	CommentLine      Part = "comment line"
	CommentLines     Part = "comment lines"
	Comments         Part = "comments"
	EmptyLines       Part = "empty lines"
	BlankEvents      Part = "blank events"
	Events           Part = "events without ids"
)

// Plain returns the parts that any response may have.
func Plain() []Part {
	return []Part{
		StatusLine, HeaderLine, HeaderFields, InterimResponses, ChunkSize, ChunkExtension, ChunkExtensions, Trailers,
		AfterBody, Body, ChunkedBody,
	}
}

// Stream returns the parts that only a stream of events has.
func Stream() []Part {
	return []Part{EventLine, CommentLine, CommentLines, Comments, EmptyLines, BlankEvents, Events}
}

// Response is the beginning of a response and what follows it again and again.
type Response struct {
	Beginning string
	Unit      string
}

// CompleteBody is the complete part of a body. It is JSON.
const CompleteBody = `"done"`

// Response returns a response with status 200 and the given header lines, each of which
// ends with CRLF. A stream of events starts with the given events.
func (p Part) Response(headerLines string, events ...string) Response {
	return p.ResponseWithStatus("200 OK", headerLines, events...)
}

// ResponseWithStatus is like Response, with a status line of its own.
func (p Part) ResponseWithStatus(status, headerLines string, events ...string) Response {
	head := "HTTP/1.1 " + status + "\r\n" + headerLines
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	plain := head + "\r\n" + strings.Join(events, "")
	responses := map[Part]Response{
		StatusLine:       {Beginning: "HTTP/1.1 200 ", Unit: "O"},
		HeaderLine:       {Beginning: head + "X-Long: ", Unit: "x"},
		HeaderFields:     {Beginning: head, Unit: "X-More: 1\r\n"},
		InterimResponses: {Unit: "HTTP/1.1 102 Processing\r\n\r\n"},
		ChunkSize:        {Beginning: chunked, Unit: "0"},
		ChunkExtension:   {Beginning: chunked + "6;x=", Unit: "y"},
		ChunkExtensions:  {Beginning: chunked, Unit: "1;x=" + strings.Repeat("y", 300) + "\r\nz\r\n"},
		Trailers:         {Beginning: chunked + "6\r\n" + CompleteBody + "\r\n0\r\n", Unit: "X-Trailer: 1\r\n"},
		AfterBody:        {Beginning: head + "Content-Length: 6\r\n\r\n" + CompleteBody, Unit: "x"},
		Body:             {Beginning: head + "\r\n", Unit: "x"},
		ChunkedBody:      {Beginning: chunked, Unit: "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
		EventLine:        {Beginning: plain + "data: ", Unit: "x"},
		CommentLine:      {Beginning: plain + ": ", Unit: "x"},
		CommentLines:     {Beginning: plain, Unit: ": wait\n"},
		Comments:         {Beginning: plain, Unit: ": wait\n\n"},
		EmptyLines:       {Beginning: plain, Unit: "\n"},
		BlankEvents:      {Beginning: plain, Unit: "data:\n\n"},
		Events:           {Beginning: plain, Unit: "data: " + strings.Repeat("x", 1000) + "\n\n"},
	}
	return responses[p]
}

// Pace is how a response is sent.
type Pace string

const (
	// NoPause sends as fast as the connection takes it.
	NoPause Pace = "without a pause"
	// ByteByByte sends the beginning at once and then one byte at a time.
	ByteByByte Pace = "byte by byte"
)

const (
	// byteInterval is the time between two bytes of ByteByByte.
	byteInterval = 5 * time.Millisecond
	// writeSize is the size of a write without a pause.
	writeSize = 16 << 10
)

// Send sends the response until a write fails, and returns the error of that write.
func (r Response) Send(conn io.Writer, pace Pace) error {
	if pace == ByteByByte {
		return r.sendBytes(conn)
	}
	units := []byte(strings.Repeat(r.Unit, writeSize/len(r.Unit)+1))
	_, err := conn.Write(append([]byte(r.Beginning), units...))
	for err == nil {
		_, err = conn.Write(units)
	}
	return err
}

func (r Response) sendBytes(conn io.Writer) error {
	tick := time.NewTicker(byteInterval)
	defer tick.Stop()
	_, err := io.WriteString(conn, r.Beginning)
	for i := 0; err == nil; i++ {
		<-tick.C
		_, err = conn.Write([]byte{r.Unit[i%len(r.Unit)]})
	}
	return err
}

// Server answers each request with an endless response.
type Server struct {
	response   Response
	pace       Pace
	listener   net.Listener
	begun      chan struct{}
	cut        chan struct{}
	goroutines sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// New starts a server on a loopback address.
func New(response Response, pace Pace) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		response: response,
		pace:     pace,
		listener: listener,
		begun:    make(chan struct{}, 1),
		cut:      make(chan struct{}, 1),
	}
	s.goroutines.Add(1)
	go s.run()
	return s, nil
}

// Address returns the IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Begun receives a value when a response begins.
func (s *Server) Begun() <-chan struct{} { return s.begun }

// Cut receives a value after a client has closed the connection of a response.
func (s *Server) Cut() <-chan struct{} { return s.cut }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}

func (s *Server) run() {
	defer s.goroutines.Done()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns = append(s.conns, conn)
		s.mu.Unlock()
		s.goroutines.Add(1)
		go s.runConn(conn)
	}
}

func (s *Server) runConn(conn net.Conn) {
	defer s.goroutines.Done()
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	signal(s.begun)
	_ = s.response.Send(conn, s.pace)
	signal(s.cut)
}

func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
