package upstream

import (
	"net"
	"time"

	"cactuswell/io/tcp"
)

const (
	// pauseThreshold is how late a read deadline must be noticed for the process to count
	// as paused. A host with little processor time notices it some milliseconds late.
	pauseThreshold = 150 * time.Millisecond
	// pauseGrace is how long bytes that arrived during a pause may take to be read after
	// it.
	pauseGrace = 100 * time.Millisecond
)

// deadlineReader reads from a connection until a deadline. If the process was paused when
// the deadline passed, it reads on for pauseGrace: bytes that arrived in time must not be
// taken for silence of the peer.
type deadlineReader struct {
	conn     net.Conn
	deadline time.Time
	// hasGrace is set once the deadline was extended.
	hasGrace bool
}

// setDeadline sets the deadline of all later reads, or none if it is zero.
func (r *deadlineReader) setDeadline(deadline time.Time) {
	r.deadline = deadline
	r.hasGrace = false
	_ = r.conn.SetReadDeadline(deadline)
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	now := time.Now()
	if n > 0 || r.hasGrace || !tcp.IsTimeout(err) || now.Sub(r.deadline) < pauseThreshold {
		return n, err
	}
	r.hasGrace = true
	_ = r.conn.SetReadDeadline(now.Add(pauseGrace))
	return r.conn.Read(p)
}
