package clientconns_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"cactuswell/io/clientconns"
	"cactuswell/timer"
)

const simpleRequest = "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx"

// readingHandler reads the body and answers.
func readingHandler(w http.ResponseWriter, r *http.Request) {
	if conn := clientconns.FromContext(r.Context()); conn != nil && r.ContentLength != 0 {
		conn.BeginBody()
		defer conn.EndBody()
	}
	_, _ = io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, 1<<16))
	w.WriteHeader(http.StatusNoContent)
}

// serve serves a listener until the test ends.
func serve(t *testing.T, conns *clientconns.Conns) (address string, stop func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{
		Handler:     http.HandlerFunc(readingHandler),
		ConnState:   conns.TrackState,
		ConnContext: clientconns.WithConn,
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(conns.Listen(listener)) }()
	return listener.Addr().String(), func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}
}

func request(t *testing.T, conn net.Conn) {
	t.Helper()
	if _, err := io.WriteString(conn, simpleRequest); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || response.StatusCode != http.StatusNoContent {
		t.Fatalf("response %v, error %v", response, err)
	}
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// TestFullListenerServesNewCallers guards against clients that hold all connections: callers that
// come later must be served, a caller with a served request keeps its connection, and no goroutine
// or memory is left.
func TestFullListenerServesNewCallers(t *testing.T) {
	for name, beginning := range map[string]string{
		"silent": "",
		"line":   "POST /x",
		"header": "POST /x HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-A: 1\r\n", 100),
	} {
		t.Run(name, func(t *testing.T) {
			ignored := goleak.IgnoreCurrent()
			conns := clientconns.New(clientconns.Settings{
				MaxConns:       8,
				HeaderBytes:    64 << 10,
				MaxHeaderLines: 256,
				Timers:         timer.New(),
			})
			address, stop := serve(t, conns)
			kept := dial(t, address)
			request(t, kept)
			var open []net.Conn
			for range 30 {
				conn := dial(t, address)
				open = append(open, conn)
				if _, err := io.WriteString(conn, beginning); err != nil && beginning == "" {
					t.Fatal(err)
				}
				caller := dial(t, address)
				request(t, caller)
				_ = caller.Close()
			}
			request(t, kept)
			for _, conn := range append(open, kept) {
				_ = conn.Close()
			}
			stop()
			goleak.VerifyNone(t, ignored)
			if n := conns.HeaderBytes(); n != 0 {
				t.Errorf("%d bytes of headers are held", n)
			}
		})
	}
}

// TestBurstOfConnectionsLeavesTimeToSend guards against a caller whose connection is closed because
// many others connect before it has sent its request.
func TestBurstOfConnectionsLeavesTimeToSend(t *testing.T) {
	const limit = 8
	synctest.Test(t, func(t *testing.T) {
		conns := clientconns.New(clientconns.Settings{
			MaxConns: limit,
			Timers:   timer.New(),
		})
		listener := pipeListener{conns: make(chan net.Conn)}
		accepted := make(chan net.Conn)
		go func() {
			defer close(accepted)
			for tracked := conns.Listen(listener); ; {
				conn, err := tracked.Accept()
				if err != nil {
					return
				}
				accepted <- conn
			}
		}()
		connect := func() net.Conn {
			client, inner := net.Pipe()
			listener.conns <- inner
			return client
		}
		caller := connect()
		server := <-accepted
		time.Sleep(time.Millisecond)
		for range limit - 1 {
			defer func(conn net.Conn) { _ = conn.Close() }(connect())
			<-accepted
		}
		defer func(conn net.Conn) { _ = conn.Close() }(connect())
		time.Sleep(250 * time.Millisecond)
		go func() { _, _ = io.WriteString(caller, "GET") }()
		if n, err := server.Read(make([]byte, 3)); n != 3 {
			t.Errorf("the caller is not served: %v", err)
		}
		// Connections that stay silent make room.
		<-accepted
		if n := conns.OpenCount(); n != limit {
			t.Errorf("%d connections are open, want %d", n, limit)
		}
		if conns.AcceptWait() < 250*time.Millisecond {
			t.Errorf("Accept waited for %s", conns.AcceptWait())
		}
		if clientconns.Unwrap(server).IsClosed() {
			t.Error("the caller's connection is closed before those that have sent nothing")
		}
		close(listener.conns)
		_ = caller.Close()
	})
}

// TestIdleConnectionsMakeRoomAtOnce guards against connections that wait to be accepted although idle
// ones could make room, as a few clients are new and silent.
func TestIdleConnectionsMakeRoomAtOnce(t *testing.T) {
	const limit = 8
	conns := clientconns.New(clientconns.Settings{
		MaxConns: limit,
		Timers:   timer.New(),
	})
	address, stop := serve(t, conns)
	defer stop()
	for range limit {
		conn := dial(t, address)
		defer func() { _ = conn.Close() }()
		request(t, conn)
	}
	silent := dial(t, address)
	defer func() { _ = silent.Close() }()
	caller := dial(t, address)
	defer func() { _ = caller.Close() }()
	request(t, caller)
	if waited := conns.AcceptWait(); waited > 0 {
		t.Errorf("Accept waited for %s", waited)
	}
}

// TestNewConnectionsMakeRoomBeforeIdleOnes guards against a caller that loses its kept connection to
// clients that have sent nothing, while the other connections serve calls.
func TestNewConnectionsMakeRoomBeforeIdleOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := clientconns.New(clientconns.Settings{
			MaxConns: 4,
			Timers:   timer.New(),
		})
		listener := pipeListener{conns: make(chan net.Conn, 1)}
		tracked := conns.Listen(listener)
		var accepted []net.Conn
		for _, state := range []http.ConnState{http.StateIdle, http.StateActive, http.StateActive, http.StateNew, http.StateNew} {
			client, inner := net.Pipe()
			defer func() { _ = client.Close() }()
			listener.conns <- inner
			conn, err := tracked.Accept()
			if err != nil {
				t.Fatal(err)
			}
			conns.TrackState(conn, state)
			accepted = append(accepted, conn)
		}
		if clientconns.Unwrap(accepted[0]).IsClosed() || !clientconns.Unwrap(accepted[3]).IsClosed() {
			t.Error("the idle connection made room before the silent one")
		}
	})
}

// TestNewConnectionsAreAwaitedBesideCalls guards against connections that are turned away at once, as the
// others serve calls or are new and cannot make room yet.
func TestNewConnectionsAreAwaitedBesideCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := clientconns.New(clientconns.Settings{
			MaxConns: 2,
			Timers:   timer.New(),
		})
		listener := pipeListener{conns: make(chan net.Conn, 3)}
		tracked := conns.Listen(listener)
		var accepted []net.Conn
		for i := range 3 {
			client, inner := net.Pipe()
			defer func() { _ = client.Close() }()
			listener.conns <- inner
			if i == 2 {
				close(listener.conns)
			}
			conn, err := tracked.Accept()
			if err != nil {
				t.Fatalf("connection %d is not accepted: %v", i, err)
			}
			accepted = append(accepted, conn)
			if i == 0 {
				conns.TrackState(conn, http.StateActive)
			}
		}
		if clientconns.Unwrap(accepted[0]).IsClosed() || !clientconns.Unwrap(accepted[1]).IsClosed() {
			t.Error("the silent connection did not make room")
		}
	})
}

// pipeListener accepts one connection.
type pipeListener struct {
	conns chan net.Conn
}

func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l pipeListener) Close() error   { return nil }
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// FuzzRequests guards against bytes of a client that make the bookkeeping of its connection leak
// memory, or panic, in the reading of header lines, chunked bodies and trailers.
func FuzzRequests(f *testing.F) {
	head := "POST /x HTTP/1.1\r\nHost: x\r\n"
	for _, seed := range []string{
		simpleRequest + simpleRequest,
		head + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: 1\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		head + strings.Repeat("a:\r\n", 300) + "\r\n",
		head + "Expect: 100-continue\r\nContent-Length: 99999999\r\n\r\n",
		"\r\n\r\nGET",
		head + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		f.Add([]byte(seed), byte(7))
	}
	f.Fuzz(func(t *testing.T, sent []byte, piece byte) {
		conns := clientconns.New(clientconns.Settings{
			MaxConns:       2,
			HeaderBytes:    32 << 10,
			MaxHeaderLines: 256,
			Timers:         timer.New(),
		})
		closed := make(chan struct{})
		server := &http.Server{
			Handler: http.HandlerFunc(readingHandler),
			ConnState: func(conn net.Conn, state http.ConnState) {
				conns.TrackState(conn, state)
				if state == http.StateClosed {
					close(closed)
				}
			},
			ConnContext:       clientconns.WithConn,
			ReadHeaderTimeout: time.Second,
		}
		client, inner := net.Pipe()
		listener := pipeListener{conns: make(chan net.Conn, 1)}
		listener.conns <- inner
		go func() { _ = server.Serve(conns.Listen(listener)) }()
		received := make(chan struct{})
		go func() {
			defer close(received)
			_, _ = io.Copy(io.Discard, client)
		}()
		size := int(piece) + 1
		for rest := sent; len(rest) > 0; rest = rest[min(size, len(rest)):] {
			if _, err := client.Write(rest[:min(size, len(rest))]); err != nil {
				break
			}
		}
		_ = client.Close()
		<-received
		<-closed
		close(listener.conns)
		if conns.HeaderBytes() != 0 || conns.OpenCount() != 0 {
			t.Errorf("%d bytes and %d connections are held", conns.HeaderBytes(), conns.OpenCount())
		}
	})
}

// repeatConn is a connection whose reads return the same bytes.
type repeatConn struct {
	net.Conn
	text []byte
}

func (c *repeatConn) Read(p []byte) (int, error) { return copy(p, c.text), nil }

func (c *repeatConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// BenchmarkRead measures what the bookkeeping adds to the reads of a header of 1 KB and a body.
func BenchmarkRead(b *testing.B) {
	inner := &repeatConn{text: bytes.Repeat([]byte("X-Field: value1234567890123456\r\n"), 32)}
	conns := clientconns.New(clientconns.Settings{
		HeaderBytes:    1 << 20,
		MaxHeaderLines: 256,
		Timers:         timer.New(),
	})
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	listener.conns <- inner
	conn, err := conns.Listen(listener).Accept()
	if err != nil {
		b.Fatal(err)
	}
	buffer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = conn.Read(buffer)
		conns.TrackState(conn, http.StateActive)
		clientconns.Unwrap(conn).BeginBody()
		_, _ = conn.Read(buffer)
		clientconns.Unwrap(conn).EndBody()
		conns.TrackState(conn, http.StateIdle)
	}
}
