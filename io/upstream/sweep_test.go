package upstream_test

import (
	"io"
	"runtime"
	"testing"
	"time"
)

// TestSweepClosesConnWithBytes guards against bytes that an endpoint goes on sending on an
// idle connection: they stayed in the socket's buffer, and counted as the host's memory,
// until the connection was due for another call.
func TestSweepClosesConnWithBytes(t *testing.T) {
	pool, conn, server := openConn(t)
	if _, err := io.WriteString(server, "HTTP/1.1 204 No Content\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	conn.Release(readResponse(t, conn))
	keep := map[string]bool{server.LocalAddr().String(): true}
	pool.Sweep(time.Now(), keep)
	if pool.OpenCount() != 1 {
		t.Fatal("a sound idle connection was closed")
	}
	if _, err := io.WriteString(server, "more"); err != nil {
		t.Fatal(err)
	}
	for pool.OpenCount() == 1 {
		pool.Sweep(time.Now(), keep)
		runtime.Gosched()
	}
	if pool.UnsolicitedCount() != 1 {
		t.Errorf("%d connections with unsolicited bytes, want 1", pool.UnsolicitedCount())
	}
	if got, again := pool.TakeUnsolicited(), pool.TakeUnsolicited(); got[server.LocalAddr().String()] != 1 || len(again) != 0 {
		t.Errorf("unsolicited bytes by address: %v, then %v", got, again)
	}
}
