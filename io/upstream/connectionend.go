package upstream

import (
	"fmt"
	"net"
	"time"

	"cactuswell/core/upload"
	"cactuswell/io/tcp"
)

// transferInterval is the time between two looks at the request's transfer.
const transferInterval = 2 * time.Millisecond

// ConnectionEnd describes how a response has ended with its connection.
type ConnectionEnd struct {
	// Verdict is empty if the response has not ended so.
	Verdict upload.Verdict
	// Waited is the time from the end of the response to the verdict.
	Waited time.Duration
	// Unacked is the number of written bytes of the request that the endpoint had not acknowledged at the end.
	Unacked int64
}

// CutError reports a response that ended with its connection, without proof that it is complete: the request was still on its
// way.
type CutError struct {
	End ConnectionEnd
}

// Error returns a message with the verdict.
func (e *CutError) Error() string {
	return fmt.Sprintf("the connection ended while the request was on its way (%s, %d bytes unacknowledged)", e.End.Verdict, e.End.Unacked)
}

// bodyWrite is the writing of a request's body while the response is awaited.
type bodyWrite struct {
	done chan struct{}
	err  error
}

func (w *bodyWrite) run(conn net.Conn, body []byte) {
	defer close(w.done)
	_, w.err = conn.Write(body)
}

// state reports whether the writing has ended, and whether it has failed. A body that was written before the response was
// awaited has no bodyWrite.
func (w *bodyWrite) state() (hasEnded, hasFailed bool) {
	if w == nil {
		return true, false
	}
	select {
	case <-w.done:
		return true, w.err != nil
	default:
		return false, false
	}
}

// ConnectionEnd returns how the response that was read last has ended with its connection. It is known after EndBody.
func (c *Conn) ConnectionEnd() ConnectionEnd { return c.connectionEnd }

// endConnection decides whether a response that has ended with the connection is complete. It waits while the request is on
// its way. The error is a *CutError.
func (c *Conn) endConnection() error {
	endedAt := time.Now()
	transfer := c.transfer()
	watch := upload.New(transfer)
	c.connectionEnd = ConnectionEnd{Unacked: transfer.Unacked}
	ticker := time.NewTicker(transferInterval)
	defer ticker.Stop()
	for {
		c.connectionEnd.Waited = time.Since(endedAt)
		c.connectionEnd.Verdict = watch.Judge(transfer, c.connectionEnd.Waited)
		if c.connectionEnd.Verdict != upload.Pending {
			break
		}
		if transfer.IsWritten {
			c.endRequest()
		}
		<-ticker.C
		transfer = c.transfer()
	}
	if !c.connectionEnd.Verdict.IsComplete() {
		return &CutError{End: c.connectionEnd}
	}
	return nil
}

// endRequest ends this host's side of a direct connection, of which the request was the last one: the endpoint acknowledges
// that at once, and with it the request, while it may delay the acknowledgment of bytes by 200 ms. A tunnel would end.
func (c *Conn) endRequest() {
	if conn, ok := c.conn.(interface{ CloseWrite() error }); ok {
		// Without effect the acknowledgment is waited for. Another call has no effect.
		_ = conn.CloseWrite()
	}
}

// transfer returns the state of the request.
func (c *Conn) transfer() upload.Transfer {
	// Whether all is written is asked first: what is written later counts as unacknowledged then.
	isWritten, isFailed := c.bodyWrite.state()
	transfer, err := tcp.InspectTransfer(c.conn)
	if err != nil {
		// A short request was written in one piece before the response was read, so that no write can have got the report
		// of a reset.
		transfer = upload.Transfer{IsKnown: c.bodyWrite == nil}
	}
	transfer.IsWritten = isWritten
	transfer.IsWriteFailed = isFailed
	return transfer
}
