package gateway

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestCallerConnsCloseOnlyIdleOnes plays what comes on one connection before the
// host closes its idle ones.
func TestCallerConnsCloseOnlyIdleOnes(t *testing.T) {
	const wait = 2 * requestTime
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
		name  string
		play  func(t *testing.T, conns *callerConns, conn net.Conn)
		after time.Duration
		left  int
	}{
		{"new", func(*testing.T, *callerConns, net.Conn) {}, 0, 1},
		{"newAndSilent", func(*testing.T, *callerConns, net.Conn) {}, wait, 0},
		{"readAndNotBegun", func(t *testing.T, conns *callerConns, conn net.Conn) {
			write(t, conn)
			conns.note(conn, http.StateIdle)
			read(t, conn)
		}, 0, 1},
		{"served", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.note(conn, http.StateActive)
			write(t, conn)
		}, wait, 1},
		{"answered", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.note(conn, http.StateActive)
			write(t, conn)
			conns.note(conn, http.StateIdle)
		}, 0, 0},
		{"ended", func(t *testing.T, conns *callerConns, conn net.Conn) {
			read(t, conn)
			conns.note(conn, http.StateActive)
			conns.note(conn, http.StateClosed)
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			conns := newCallerConns()
			conn := acceptOne(t, conns)
			c.play(t, conns, conn)
			if left := conns.closeIdle(time.Now().Add(c.after)); left != c.left {
				t.Errorf("%d connections left, want %d", left, c.left)
			}
		})
	}
}

// TestCallerConnDropsWhatComesAfterItsClose covers bytes that were under way to
// the reader when the connection was closed as idle.
func TestCallerConnDropsWhatComesAfterItsClose(t *testing.T) {
	conns := newCallerConns()
	conn := acceptOne(t, conns)
	if left := conns.closeIdle(time.Now().Add(2 * requestTime)); left != 0 {
		t.Fatalf("%d connections left", left)
	}
	n, err := conn.Read(make([]byte, 100))
	if n != 0 || !errors.Is(err, net.ErrClosed) {
		t.Errorf("read %d bytes and %v", n, err)
	}
}

// acceptOne returns a connection whose reads always bring bytes.
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

// TestCallerConnsCloseAfterTheLastAnswer covers a stream whose header went out
// before the stop: its connection stayed open and brought another request long
// after.
func TestCallerConnsCloseAfterTheLastAnswer(t *testing.T) {
	conns := newCallerConns()
	conn := acceptOne(t, conns)
	if _, err := conn.Read(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	conns.note(conn, http.StateActive)
	if left := conns.closeIdle(time.Now()); left != 1 {
		t.Fatalf("%d connections left while one is served", left)
	}
	if _, err := conn.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	conns.note(conn, http.StateIdle)
	if _, err := conn.Read(make([]byte, 100)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the connection takes another request: %v", err)
	}
}
