// Package upload decides whether a response that ends with its connection is complete while the request was
// still on its way.
//
// Such a response has no length: its end is that of the connection, which must be in order. A connection reports
// a reset once, to whichever of the goroutines that read and write it asks first, so that the reader may see an
// end in order instead. And an endpoint that closes its connection before the request has arrived ends it in
// order first, and resets it once more of the request arrives. What tells these from an endpoint that has ended
// its response early and goes on reading is what becomes of the request after the end.
//
// # Usage
//
//	watch := upload.New(transfer)
//	for watch.Judge(transfer, waited) == upload.Pending {
//		... wait, and get the transfer again ...
//	}
//
// Load: responses without a length to long requests. All others are decided at once.
package upload

import "time"

const (
	// SettleTime bounds the wait for the fate of the request after the response has ended. It is longer than the delay
	// of an acknowledgment and the first retransmission of lost bytes, after which a closed connection is reset.
	SettleTime = 400 * time.Millisecond
	// OpenTime bounds it where the endpoint has acknowledged a part of the request after the end, which a closed
	// connection does not. The last acknowledgment may be delayed by 200 ms.
	OpenTime = 50 * time.Millisecond
)

// Transfer is the state of a request on its connection.
type Transfer struct {
	// IsWritten is set once all of the request was handed to the operating system, and IsWriteFailed if that failed.
	IsWritten     bool
	IsWriteFailed bool
	// IsReset is set if the connection was reset or has timed out.
	IsReset bool
	// IsKnown is set if the other fields are known. Without it nothing tells what has become of the written bytes.
	IsKnown bool
	// Unacked is the number of written bytes that the endpoint has not acknowledged, and Acked the number that it has,
	// counted from any beginning.
	Unacked int64
	Acked   uint64
	// IsHeldBack is set if bytes wait for the endpoint to make room, and none are in the network.
	IsHeldBack bool
}

// Verdict is the decision on a response.
type Verdict string

// The verdicts. The response is complete with Arrived and HalfClosed. Pending is no decision yet.
const (
	Pending Verdict = "pending"
	// Arrived means that the endpoint has acknowledged the whole request.
	Arrived Verdict = "arrived"
	// HalfClosed means that the endpoint has ended its response and not its connection, which still takes the request or
	// has no room for it. A closed one would have been reset.
	HalfClosed Verdict = "halfClosed"
	// WriteFailed means that the request could not be written: a reset was reported to the write.
	WriteFailed Verdict = "writeFailed"
	// Reset means that the connection was reset before the request had arrived.
	Reset Verdict = "reset"
	// Unacknowledged means that the endpoint has acknowledged nothing since the end.
	Unacknowledged Verdict = "unacknowledged"
	// Unknown means that nothing tells whether the request has arrived.
	Unknown Verdict = "unknown"
)

// IsComplete reports whether the response is complete.
func (v Verdict) IsComplete() bool { return v == Arrived || v == HalfClosed }

// Watch follows a request from the end of its response on.
type Watch struct {
	ackedAtEnd uint64
}

// New returns a Watch that begins at the end of the response.
func New(atEnd Transfer) *Watch { return &Watch{ackedAtEnd: atEnd.Acked} }

// Judge returns the decision at the given time since the end of the response.
func (w *Watch) Judge(transfer Transfer, waited time.Duration) Verdict {
	switch {
	case transfer.IsWriteFailed:
		return WriteFailed
	case transfer.IsKnown && transfer.IsWritten && transfer.Unacked == 0:
		// No write can have got the report of a reset, so that the end was in order.
		return Arrived
	case transfer.IsReset:
		return Reset
	case !transfer.IsKnown:
		return Unknown
	case waited >= OpenTime && transfer.Acked != w.ackedAtEnd:
		return HalfClosed
	case waited < SettleTime:
		return Pending
	case transfer.IsHeldBack:
		return HalfClosed
	}
	return Unacknowledged
}
