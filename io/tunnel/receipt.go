package tunnel

import (
	"encoding/binary"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"cactuswell/core/upload"
	"cactuswell/io/tcp"
)

const (
	// receiptsHeader names the form in which the end of the endpoint's connection is followed by receipts, in the request
	// for a tunnel and in the response of a host that sends them. Hosts of earlier versions do not know it.
	receiptsHeader = "Cactuswell-Receipts"
	// receiptsCount is the only form: each frame of length zero is followed by a receipt. The first one ends the
	// endpoint's bytes, and further ones follow when the receipt has changed.
	receiptsCount = "count"
	// receiptBytes is the size of a receipt: a big-endian integer and a byte with flags.
	receiptBytes = 9
	// heldBackFlag says that bytes wait for the endpoint to make room.
	heldBackFlag = 1
	// receiptTime is how long receipts follow the end of the endpoint's connection. The other host has decided by then.
	receiptTime = 2 * upload.SettleTime
	// receiptInterval is the time between two looks at what the endpoint has acknowledged.
	receiptInterval = 2 * time.Millisecond
	// quietTime is how long a host that gets no receipts must have sent nothing to count as done with its request.
	quietTime = 20 * time.Millisecond
)

// receipt says how much of what the other host has sent has reached the endpoint.
type receipt struct {
	// acked is the number of bytes since the tunnel was opened that the endpoint has acknowledged.
	acked uint64
	// isHeldBack is set if bytes wait for the endpoint to make room.
	isHeldBack bool
}

// append appends the encoded receipt.
func (r receipt) append(p []byte) []byte {
	p = binary.BigEndian.AppendUint64(p, r.acked)
	if r.isHeldBack {
		return append(p, heldBackFlag)
	}
	return append(p, 0)
}

// parseReceipt decodes a receipt of receiptBytes.
func parseReceipt(p []byte) receipt {
	return receipt{
		acked:      binary.BigEndian.Uint64(p),
		isHeldBack: p[receiptBytes-1]&heldBackFlag != 0,
	}
}

// acceptsReceipts reports whether the header of a request or response names receiptsCount.
func acceptsReceipts(header http.Header) bool { return header.Get(receiptsHeader) == receiptsCount }

// requestWriter writes what the other host has sent to the endpoint.
type requestWriter struct {
	endpoint net.Conn
	// ackedBefore is what the endpoint's connection counted as acknowledged when the tunnel was opened.
	ackedBefore uint64
	// received is the number of bytes that were to be written, and written that of those that were handed to the
	// operating system.
	received atomic.Uint64
	written  atomic.Uint64
	// hasFailed is set if a write has failed.
	hasFailed atomic.Bool
	// activity receives a value after a write, unless one waits there.
	activity chan struct{}
}

func newRequestWriter(endpoint net.Conn) *requestWriter {
	// Without a state the bytes that were written count.
	before, _ := tcp.InspectTransfer(endpoint)
	return &requestWriter{
		endpoint:    endpoint,
		ackedBefore: before.Acked,
		activity:    make(chan struct{}, 1),
	}
}

// Write implements io.Writer.
func (w *requestWriter) Write(p []byte) (int, error) {
	w.received.Add(uint64(len(p)))
	n, err := w.endpoint.Write(p)
	w.written.Add(uint64(n))
	if err != nil {
		w.hasFailed.Store(true)
	}
	select {
	case w.activity <- struct{}{}:
	default:
	}
	return n, err
}

// transfer returns the state of what the other host has sent so far. IsWritten is set if nothing else of it has arrived.
func (w *requestWriter) transfer(host net.Conn) upload.Transfer {
	written := w.written.Load()
	transfer, err := tcp.InspectTransfer(w.endpoint)
	switch {
	case errors.Is(err, tcp.ErrNotInspectable):
		transfer.Acked = written
	case err != nil:
		// The connection has been closed after a failed write, or as the other host has left.
		transfer.IsReset = true
	default:
		transfer.Acked -= w.ackedBefore
	}
	transfer.IsWritten = written == w.received.Load() && !tcp.HasUnreadBytes(host)
	transfer.IsWriteFailed = w.hasFailed.Load()
	return transfer
}

// endResponses tells the other host that the endpoint has ended its connection, and reports whether the tunnel may end in
// order. The endpoint may have been reset: the write of the request has got the report then.
func (t *tunnel) endResponses(frames *frameWriter, requestsDone <-chan struct{}) bool {
	endedAt := time.Now()
	end := time.NewTimer(receiptTime)
	defer end.Stop()
	ticker := time.NewTicker(receiptInterval)
	defer ticker.Stop()
	transfer := t.requests.transfer(t.host)
	follower := t.newFollower(frames, transfer)
	for {
		if next := follower.follow(transfer, time.Since(endedAt)); next != goOn {
			return next == endInOrder
		}
		var ticks <-chan time.Time
		if !t.sendsReceipts || !transfer.IsWritten || transfer.Unacked > 0 {
			// Otherwise nothing changes before the next write: idle tunnels cost no looks.
			ticks = ticker.C
		}
		select {
		case <-requestsDone:
			if !t.requests.hasFailed.Load() {
				// The other host has left.
				return true
			}
		case <-t.requests.activity:
		case <-ticks:
		case <-end.C:
		}
		transfer = t.requests.transfer(t.host)
	}
}

// step is what becomes of a tunnel after the end of the endpoint's connection.
type step int

const (
	goOn step = iota
	endInOrder
	breakOff
)

// follower takes the state of the request at a time since the end of the endpoint's connection. It is implemented only by
// reporter and judge.
type follower interface {
	follow(transfer upload.Transfer, waited time.Duration) step
}

func (t *tunnel) newFollower(frames *frameWriter, atEnd upload.Transfer) follower {
	if t.sendsReceipts {
		return &reporter{frames: frames}
	}
	return &judge{
		frames: frames,
		watch:  upload.New(atEnd),
		acked:  atEnd.Acked,
	}
}

// reporter sends receipts to a host that decides by them.
type reporter struct {
	frames *frameWriter
	// last is the last receipt, if hasSent is set.
	last    receipt
	hasSent bool
}

func (r *reporter) follow(transfer upload.Transfer, waited time.Duration) step {
	if transfer.IsWriteFailed || transfer.IsReset && (transfer.Unacked > 0 || !transfer.IsKnown) {
		return breakOff
	}
	next := receipt{
		acked:      transfer.Acked,
		isHeldBack: transfer.IsHeldBack,
	}
	if !r.hasSent || r.last != next {
		if r.frames.endWithReceipt(next) != nil {
			return breakOff
		}
		r.last, r.hasSent = next, true
	}
	if waited >= receiptTime {
		return endInOrder
	}
	return goOn
}

// judge decides for a host of an earlier version, which takes the end of the tunnel for that of the response. It is not known
// whether that host has sent its whole request, so that it must have been quiet.
type judge struct {
	// frames is nil if the other host expects none.
	frames *frameWriter
	watch  *upload.Watch
	// acked is what the endpoint has acknowledged, and changedAt the time since which that is so.
	acked     uint64
	changedAt time.Duration
}

func (j *judge) follow(transfer upload.Transfer, waited time.Duration) step {
	if transfer.Acked != j.acked {
		j.acked, j.changedAt = transfer.Acked, waited
	}
	verdict := j.watch.Judge(transfer, waited)
	switch {
	case verdict == upload.Pending, verdict == upload.Arrived && waited-j.changedAt < quietTime:
		return goOn
	case !verdict.IsComplete(), j.frames != nil && j.frames.end() != nil:
		return breakOff
	}
	return endInOrder
}

// Transfer implements tcp.TransferInspector. It is called after the end of the endpoint's connection, by the goroutine that
// reads. The error is tcp.ErrNotInspectable if the other host sends no receipts.
func (c *clientConn) Transfer() (upload.Transfer, error) {
	if !c.hasReceipts {
		return upload.Transfer{}, tcp.ErrNotInspectable
	}
	hasEnded := !c.readReceipts()
	written := c.written.Load()
	return upload.Transfer{
		IsReset:    hasEnded,
		IsKnown:    true,
		Unacked:    int64(written - min(written, c.receipt.acked)),
		Acked:      c.receipt.acked,
		IsHeldBack: c.receipt.isHeldBack,
	}, nil
}

// readReceipts reads the receipts that have arrived, and reports whether the tunnel is open.
func (c *clientConn) readReceipts() bool {
	for {
		var next [frameHeaderBytes + receiptBytes]byte
		n, err := tcp.Peek(c.Conn, next[:])
		if n < len(next) {
			return n > 0 || errors.Is(err, unix.EAGAIN)
		}
		// All of it has arrived.
		if _, err := c.Conn.Read(next[:]); err != nil || binary.BigEndian.Uint16(next[:]) != 0 {
			return false
		}
		c.receipt = parseReceipt(next[frameHeaderBytes:])
	}
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written.Add(uint64(n))
	return n, err
}
