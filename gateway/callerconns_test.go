package gateway

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCloseIdleKeepsBusyConnections checks which connections closeIdle closes,
// depending on what happened on them before.
func TestCloseIdleKeepsBusyConnections(t *testing.T) {
	const wait = 2 * requestGracePeriod
	read := func(t *testing.T, conn net.Conn) {
		t.Helper()
		if _, err := conn.Read(make([]byte, 100)); err != nil {
			t.Fatal(err)
		}
	}
	write := func(t *testing.T, conn net.Conn) {
		t.Helper()
		if _, err := conn.Write([]byte("answer")); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		name          string
		prepare       func(t *testing.T, conns *callerConns, conn net.Conn)
		after         time.Duration
		wantRemaining int
	}{
		{"new", func(*testing.T, *callerConns, net.Conn) {}, 0, 1},
		{"newAndSilent", func(*testing.T, *callerConns, net.Conn) {}, wait, 0},
		{"readAndNotBegun", func(t *testing.T, conns *callerConns, conn net.Conn) {
			write(t, conn)
			conns.trackState(conn, http.StateIdle)
			read(t, conn)
		}, 0, 1},
		{"served", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.trackState(conn, http.StateActive)
			write(t, conn)
		}, wait, 1},
		{"answered", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.trackState(conn, http.StateActive)
			write(t, conn)
			conns.trackState(conn, http.StateIdle)
		}, 0, 0},
		{"ended", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.trackState(conn, http.StateActive)
			conns.trackState(conn, http.StateClosed)
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newCallerConns()
			conn := acceptOne(t, conns)
			c.prepare(t, conns, conn)
			if remaining := conns.closeIdle(time.Now().Add(c.after)); remaining != c.wantRemaining {
				t.Errorf("%d connections remain, want %d", remaining, c.wantRemaining)
			}
		})
	}
}

// TestClosedCallerConnDropsLateBytes checks that bytes that were in flight to the
// reader when the connection was closed as idle are discarded.
func TestClosedCallerConnDropsLateBytes(t *testing.T) {
	conns := newCallerConns()
	conn := acceptOne(t, conns)
	if remaining := conns.closeIdle(time.Now().Add(2 * requestGracePeriod)); remaining != 0 {
		t.Fatalf("%d connections remain, want 0", remaining)
	}
	n, err := conn.Read(make([]byte, 100))
	if n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes with error %v", n, err)
	}
}

// TestConnClosedByShutdownHasEnded guards against a call that is sent although the host has closed its connection as idle.
func TestConnClosedByShutdownHasEnded(t *testing.T) {
	conns := newCallerConns()
	conn := acceptOne(t, conns)
	tracked := conn.(*callerConn)
	if tracked.HasEnded() {
		t.Error("an open connection has ended")
	}
	conns.closeIdle(time.Now().Add(2 * requestGracePeriod))
	if !tracked.HasEnded() {
		t.Error("the closed connection has not ended")
	}
}

// acceptOne returns a tracked connection whose reads always return bytes.
func acceptOne(t *testing.T, conns *callerConns) net.Conn {
	t.Helper()
	conn, err := conns.listen(endlessListener{}).Accept()
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

type endlessListener struct {
	net.Listener
}

func (endlessListener) Accept() (net.Conn, error) { return endlessConn{}, nil }

type endlessConn struct {
	net.Conn
}

func (endlessConn) Read(p []byte) (int, error)  { return len(p), nil }
func (endlessConn) Write(p []byte) (int, error) { return len(p), nil }
func (endlessConn) Close() error                { return nil }

// TestCallerConnClosesAfterLastAnswer guards against a connection that stays open
// during a shutdown: the header of a stream was sent before the shutdown started, and
// the connection accepted another request long afterwards.
func TestCallerConnClosesAfterLastAnswer(t *testing.T) {
	conns := newCallerConns()
	conn := acceptOne(t, conns)
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	conns.trackState(conn, http.StateActive)
	if remaining := conns.closeIdle(time.Now()); remaining != 1 {
		t.Fatalf("%d connections remain while one is serving, want 1", remaining)
	}
	if _, err := conn.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	conns.trackState(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 100)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection accepts another request: %v", err)
	}
}
