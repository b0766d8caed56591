// Package crowd opens connections of clients that make no progress, send more than a
// server accepts or do not read what they get.
//
// # Usage
//
//	clients := crowd.Start(crowd.Settings{
//		Address: server.Address(),
//		Path:    "/hold/x",
//		Kind:    crowd.StoppedBody,
//		Clients: 50,
//	})
//	... make ordinary requests ...
//	clients.Close()
//
// A client whose connection was closed connects again after a pause.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Kind is what the clients of a crowd do.
type Kind string

// The kinds.
const (
	// StoppedBody clients stop one byte before the end of a body of the permitted size,
	// which they send in one piece, PiecedBody ones in small pieces and ChunkedBody ones
	// in chunks.
	StoppedBody Kind = "stopped body"
	PiecedBody  Kind = "body in pieces"
	ChunkedBody Kind = "chunked body"
	// LargeBody clients declare a body far over the limit and send it, EndlessChunks ones
	// do not declare it, FalseLength ones stop long before the end that they declare.
	LargeBody     Kind = "large body"
	EndlessChunks Kind = "endless chunks"
	FalseLength   Kind = "false length"
	// Continue clients declare a body over the limit and wait for the server's consent.
	Continue Kind = "expect continue"
	// ShortFields clients send a header of many short and empty fields, Extensions ones
	// long chunk extensions, Trailers ones many trailers.
	ShortFields Kind = "short fields"
	Extensions  Kind = "chunk extensions"
	Trailers    Kind = "trailers"
	// Pipelined clients send many requests and read nothing, SlowRead ones read a byte a
	// second, HalfClosed ones close their sending side after a request.
	Pipelined  Kind = "pipelined"
	SlowRead   Kind = "slow read"
	HalfClosed Kind = "half closed"
	// Silent clients send nothing, Trickling ones a byte a second, StoppedLine ones stop
	// within the request line and StoppedHeader ones within the header.
	Silent        Kind = "silent"
	Trickling     Kind = "trickling"
	StoppedLine   Kind = "stopped request line"
	StoppedHeader Kind = "stopped header"
)

// Kinds returns all kinds.
func Kinds() []Kind {
	return []Kind{
		StoppedBody, PiecedBody, ChunkedBody, LargeBody, EndlessChunks, FalseLength, Continue, ShortFields, Extensions,
		Trailers, Pipelined, SlowRead, HalfClosed, Silent, Trickling, StoppedLine, StoppedHeader,
	}
}

const (
	// maxBody is the largest permitted body in bytes.
	maxBody = 4 << 20
	// pieceBytes is the size of a small piece.
	pieceBytes = 8 << 10
	// shortFieldCount is the number of fields of ShortFields, below the limit on lines.
	shortFieldCount = 240
	// pipelineLength is the number of requests of Pipelined.
	pipelineLength = 400
	// reconnectPause is the time before a client connects again.
	reconnectPause = 500 * time.Millisecond
	dialTimeout    = 2 * time.Second
	// trickleInterval is the time between two bytes.
	trickleInterval = time.Second
	// writeBytes is the size of a write of clients that send much, and writePause the time
	// between two, so that a crowd leaves processor time to what is tested.
	writeBytes = 64 << 10
	writePause = 5 * time.Millisecond
	// receiveBuffer bounds what the sockets of clients that do not read take, in bytes.
	receiveBuffer = 4096
)

var (
	filler         = bytes.Repeat([]byte("x"), writeBytes)
	manyChunks     = bytes.Repeat(fmt.Appendf(nil, "%x\r\n%s\r\n", pieceBytes, filler[:pieceBytes]), writeBytes/pieceBytes)
	manyExtensions = bytes.Repeat(fmt.Appendf(nil, "1;%s\r\nx\r\n", filler[:3000]), 10)
	manyTrailers   = bytes.Repeat([]byte("X-Trailer: 1\r\n"), 1000)
)

// Settings describes a crowd.
type Settings struct {
	// Address is the server's address, and Path the path of the requests. Fields are header
	// lines that each end with CRLF.
	Address string
	Path    string
	Fields  string
	Kind    Kind
	Clients int
}

// Crowd is a crowd of clients.
type Crowd struct {
	settings Settings
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

// Start starts the clients.
func Start(settings Settings) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{
		settings: settings,
		cancel:   cancel,
	}
	for range settings.Clients {
		c.wait.Add(1)
		go c.run(ctx)
	}
	return c
}

// Close closes all connections and waits until the clients have ended.
func (c *Crowd) Close() {
	c.cancel()
	c.wait.Wait()
}

// run is one client.
func (c *Crowd) run(ctx context.Context) {
	defer c.wait.Done()
	dialer := net.Dialer{Timeout: dialTimeout}
	if c.settings.Kind == Pipelined || c.settings.Kind == SlowRead {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				// A larger buffer only makes the client stall later.
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
			})
		}
	}
	for ctx.Err() == nil {
		if conn, err := dialer.DialContext(ctx, "tcp", c.settings.Address); err == nil {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
			c.play(ctx, conn)
			stop()
			_ = conn.Close()
		}
		pause(ctx, reconnectPause)
	}
}

// pause waits for a time. It reports false if the context is done.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Crowd) head(framing string) string {
	return "POST " + c.settings.Path + " HTTP/1.1\r\nHost: firm.example\r\n" + c.settings.Fields + framing
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// play does what the kind says, until the server closes the connection.
func (c *Crowd) play(ctx context.Context, conn net.Conn) {
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	// writeMuch writes a text again and again, up to a size.
	writeMuch := func(text []byte, size int) {
		for sent := 0; sent+len(text) <= size; sent += len(text) {
			if _, err := conn.Write(text); err != nil || !pause(ctx, writePause) {
				return
			}
		}
	}
	switch c.settings.Kind {
	case StoppedBody:
		write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)))
		writeMuch(filler[:writeBytes], maxBody-writeBytes)
		_, _ = conn.Write(filler[:writeBytes-1])
	case PiecedBody:
		write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBody)))
		writeMuch(filler[:pieceBytes], maxBody-pieceBytes)
	case ChunkedBody:
		write(c.head(chunked))
		writeMuch(manyChunks, maxBody-writeBytes)
	case LargeBody:
		write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", 100*maxBody)))
		writeMuch(filler[:writeBytes], 100*maxBody)
	case EndlessChunks:
		write(c.head(chunked))
		writeMuch(manyChunks, 100*maxBody)
	case FalseLength:
		write(c.head(fmt.Sprintf("Content-Length: %d\r\n\r\nabc", maxBody)))
	case Continue:
		write(c.head(fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", 100*maxBody)))
	case ShortFields:
		write(c.head(strings.Repeat("a:\r\n", shortFieldCount) + "Content-Length: 1\r\n\r\n"))
	case Extensions:
		write(c.head(chunked))
		writeMuch(manyExtensions, 100*maxBody)
	case Trailers:
		write(c.head(chunked) + "1\r\nx\r\n0\r\n")
		writeMuch(manyTrailers, 100*maxBody)
	case Pipelined:
		write(strings.Repeat(c.head("Content-Length: 1\r\n\r\nx"), pipelineLength))
		pause(ctx, time.Minute)
		return
	case SlowRead:
		write(c.head("Content-Length: 1\r\n\r\nx"))
		for pause(ctx, trickleInterval) {
			if _, err := conn.Read(make([]byte, 1)); err != nil {
				return
			}
		}
	case HalfClosed:
		write(c.head("Content-Length: 1\r\n\r\nx"))
		_ = conn.(*net.TCPConn).CloseWrite()
	case Silent:
	case Trickling:
		text := c.head("X-Long: ")
		for i := 0; pause(ctx, trickleInterval) && write(string(text[i%len(text)])); i++ {
			continue
		}
	case StoppedLine:
		write("POST " + c.settings.Path)
	case StoppedHeader:
		write(c.head("X-Long: " + string(filler[:4000])))
	}
	_, _ = io.Copy(io.Discard, conn)
}
