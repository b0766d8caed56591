package tunnel

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"cactuswell/io/tcp"
)

const (
	// framingHeader names the form of the bytes from the endpoint, in the request for a tunnel and in
	// the response of a host that sends them so.
	framingHeader = "Cactuswell-Framing"
	// framingLength puts the length of the bytes that follow before them. A length of zero says
	// that the endpoint has closed its connection.
	framingLength = "length"
	// frameHeaderBytes is the size of the length, a big-endian integer.
	frameHeaderBytes = 2
)

// clientConn is the connection of the host that has asked for a tunnel. Its regular end is that of
// the endpoint's connection: the kernel of the other host also closes the connections of a process
// that was killed, in the same way.
type clientConn struct {
	net.Conn
	// isFramed is set if the other host marks the end of the endpoint's connection. Hosts of
	// earlier versions do not.
	isFramed bool
	// hasReceipts is set if receipts follow that mark. Hosts of earlier versions send none.
	hasReceipts bool
	// header holds the header of the next frame, and the receipt that follows if its length is zero.
	header [frameHeaderBytes + receiptBytes]byte
	// headerBytes is the number of bytes of the header that have arrived, and left the number of
	// bytes of the frame that have not been read.
	headerBytes int
	left        int
	hasEnded    bool
	// written is the number of bytes that were handed to the operating system, and receipt the last one of the other host.
	written atomic.Uint64
	receipt receipt
}

var (
	_ net.Conn              = (*clientConn)(nil)
	_ syscall.Conn          = (*clientConn)(nil)
	_ tcp.UnreadInspector   = (*clientConn)(nil)
	_ tcp.TransferInspector = (*clientConn)(nil)
)

// Read implements net.Conn. It returns io.EOF if the endpoint has closed its connection, and
// io.ErrUnexpectedEOF if the tunnel ended otherwise, or it is not known why.
func (c *clientConn) Read(p []byte) (int, error) {
	if !c.isFramed {
		n, err := c.Conn.Read(p)
		return n, unexpected(err)
	}
	if c.left == 0 {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, unexpected(err)
}

// readHeader reads the length of the next frame, with the receipt after it. It goes on where an earlier call has timed out.
func (c *clientConn) readHeader() error {
	if c.hasEnded {
		return io.EOF
	}
	if err := c.fillHeader(frameHeaderBytes); err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint16(c.header[:]))
	if length == 0 && c.hasReceipts {
		if err := c.fillHeader(len(c.header)); err != nil {
			return err
		}
		c.receipt = parseReceipt(c.header[frameHeaderBytes:])
	}
	c.headerBytes = 0
	c.left = length
	c.hasEnded = length == 0
	if c.hasEnded {
		return io.EOF
	}
	return nil
}

// fillHeader reads until the given number of bytes of the header have arrived.
func (c *clientConn) fillHeader(until int) error {
	for c.headerBytes < until {
		n, err := c.Conn.Read(c.header[c.headerBytes:until])
		c.headerBytes += n
		if err != nil {
			return unexpected(err)
		}
	}
	return nil
}

// takeBuffered takes the bytes that have arrived together with the response of the host: at most
// the frame that says that the endpoint has closed its connection at once, with its receipt.
func (c *clientConn) takeBuffered(reader *bufio.Reader) error {
	buffered := reader.Buffered()
	if buffered == 0 {
		return nil
	}
	limit := frameHeaderBytes
	if c.hasReceipts {
		limit = len(c.header)
	}
	if !c.isFramed || buffered > limit {
		return errEarlyBytes
	}
	n, err := io.ReadFull(reader, c.header[:buffered])
	c.headerBytes = n
	if err == nil && n >= frameHeaderBytes && binary.BigEndian.Uint16(c.header[:]) > 0 {
		err = errEarlyBytes
	}
	return err
}

// unexpected returns the error for the end of a connection that nothing has announced.
func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// SyscallConn implements syscall.Conn.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, tcp.ErrNotInspectable
	}
	return inner.SyscallConn()
}

// HasUnreadBytes reports whether bytes of the endpoint wait to be read. It does not block.
func (c *clientConn) HasUnreadBytes() bool {
	if !c.isFramed {
		return tcp.HasUnreadBytes(c.Conn)
	}
	if c.hasEnded || c.left > 0 {
		return c.left > 0
	}
	next := [frameHeaderBytes]byte(c.header[:frameHeaderBytes])
	if c.headerBytes >= frameHeaderBytes {
		return false
	}
	n, err := tcp.Peek(c.Conn, next[c.headerBytes:])
	return err == nil && n > 0 && binary.BigEndian.Uint16(next[:]) > 0
}

// frameWriter writes the bytes of an endpoint to the host that has asked for the tunnel.
type frameWriter struct {
	conn   net.Conn
	buffer [frameHeaderBytes + copyBufferBytes]byte
}

// Write implements io.Writer.
func (w *frameWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n := copy(w.buffer[frameHeaderBytes:], p[written:])
		if err := w.writeFrame(n); err != nil {
			return written, err
		}
		written += n
	}
	return written, nil
}

// end says that the endpoint has closed its connection.
func (w *frameWriter) end() error { return w.writeFrame(0) }

// endWithReceipt does the same, and says how much of the request has reached the endpoint.
func (w *frameWriter) endWithReceipt(r receipt) error {
	_, err := w.conn.Write(r.append(make([]byte, frameHeaderBytes, frameHeaderBytes+receiptBytes)))
	return err
}

// writeFrame writes a frame with the first bytes of the buffer after the header.
func (w *frameWriter) writeFrame(length int) error {
	binary.BigEndian.PutUint16(w.buffer[:], uint16(length))
	_, err := w.conn.Write(w.buffer[:frameHeaderBytes+length])
	return err
}

// acceptsFrames reports whether the header of a request or response names framingLength.
func acceptsFrames(header http.Header) bool { return header.Get(framingHeader) == framingLength }
