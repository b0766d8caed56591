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

// Extend is asked at a deadline for a later one. It reports false if reading ends.
type Extend func() (time.Time, bool)

// readLimit is until when a connection is read.
type readLimit struct {
	deadline time.Time
	// extend is asked for a later deadline, unless it is nil.
	extend Extend
}

// deadlineReader reads from a connection until a deadline. If the process was paused when
// the deadline passed, it reads on for pauseGrace: bytes that arrived in time must not be
// taken for silence of the peer.
type deadlineReader struct {
	conn  net.Conn
	limit readLimit
	// hasGrace is set once the deadline was extended because of a pause.
	hasGrace bool
}

// setLimit sets the limit of all later reads. A zero deadline is none.
func (r *deadlineReader) setLimit(limit readLimit) {
	r.limit = limit
	r.hasGrace = false
	_ = r.conn.SetReadDeadline(limit.deadline)
}

// shorten ends reads after a time, unless they end before, until the returned function is called.
func (r *deadlineReader) shorten(timeout time.Duration) (restore func()) {
	before := r.limit
	deadline := time.Now().Add(timeout)
	if !before.deadline.IsZero() && !deadline.Before(before.deadline) {
		return func() {}
	}
	r.setLimit(readLimit{deadline: deadline})
	return func() { r.setLimit(before) }
}

// Read implements io.Reader.
func (r *deadlineReader) Read(p []byte) (int, error) {
	for {
		n, err := r.conn.Read(p)
		if n > 0 || !tcp.IsTimeout(err) {
			return n, err
		}
		if now := time.Now(); !r.hasGrace && now.Sub(r.limit.deadline) >= pauseThreshold {
			r.hasGrace = true
			_ = r.conn.SetReadDeadline(now.Add(pauseGrace))
			continue
		}
		if r.limit.extend == nil {
			return n, err
		}
		deadline, ok := r.limit.extend()
		if !ok {
			return n, err
		}
		r.limit.deadline = deadline
		r.hasGrace = false
		_ = r.conn.SetReadDeadline(deadline)
	}
}
