// Package tcp opens connections that detect an unresponsive peer within a bounded
// time.
//
// # Usage
//
//	dialer := tcp.NewDialer(tcp.Settings{
//		DialTimeout: 250 * time.Millisecond,
//		AckTimeout:  time.Second,
//	})
//	conn, err := dialer.DialContext(ctx, "tcp", address)
package tcp

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cactuswell/core/upload"
)

// keepAliveProbes is the number of unanswered keep-alive probes after which a
// connection is considered broken.
const keepAliveProbes = 2

// Settings holds the timeouts of connections.
type Settings struct {
	// DialTimeout is the maximum time to open a connection.
	DialTimeout time.Duration
	// AckTimeout is the maximum time that sent bytes may remain unacknowledged by
	// the peer.
	AckTimeout time.Duration
	// KeepAlive is the idle time after which the peer is probed and the interval
	// between probes, in whole seconds.
	KeepAlive time.Duration
}

// Dialer opens connections. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
}

// NewDialer returns a Dialer.
func NewDialer(settings Settings) *Dialer {
	d := &Dialer{
		dialer: net.Dialer{
			Timeout: settings.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{
				Enable:   true,
				Idle:     settings.KeepAlive,
				Interval: settings.KeepAlive,
				Count:    keepAliveProbes,
			},
		},
	}
	timeout := int(settings.AckTimeout / time.Millisecond)
	d.dialer.Control = func(_, _ string, raw syscall.RawConn) error {
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		return errors.Join(err, setErr)
	}
	return d
}

// SetAckTimeout changes the time that sent bytes may remain unacknowledged on a connection. The kernel
// applies it to bytes that the peer has no room for as well: a peer that does not read for so long
// counts as broken, although it is alive.
func SetAckTimeout(conn net.Conn, timeout time.Duration) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return
	}
	// Without effect, the timeout of the dialer stays.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(max(timeout, time.Millisecond)/time.Millisecond))
	})
}

// DialContext opens a connection to an IP and port.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, network, address)
}

// IsIdle reports whether a connection is open at both ends and has no unread bytes.
// It does not block.
func IsIdle(conn net.Conn) bool {
	_, err := peek(conn)
	return errors.Is(err, unix.EAGAIN) || errors.Is(err, ErrNotInspectable)
}

// UnreadInspector is implemented by connections some of whose bytes belong to their own framing.
type UnreadInspector interface {
	// HasUnreadBytes reports whether other bytes wait to be read. It does not block.
	HasUnreadBytes() bool
}

// HasUnreadBytes reports whether a connection has unread bytes. It does not block.
func HasUnreadBytes(conn net.Conn) bool {
	if inspector, ok := conn.(UnreadInspector); ok {
		return inspector.HasUnreadBytes()
	}
	n, err := peek(conn)
	return err == nil && n > 0
}

// HasEnded reports whether the peer has closed or reset a connection, if no unread bytes are
// before that. It does not block, also while another goroutine reads.
func HasEnded(conn net.Conn) bool {
	n, err := peek(conn)
	return err == nil && n == 0 || IsClosedByPeer(err)
}

// ErrNotInspectable is the error for a connection that is not a socket.
var ErrNotInspectable = notInspectableError{}

type notInspectableError struct{}

// Error implements error.
func (notInspectableError) Error() string { return "the connection is not a socket" }

// peek returns the number of unread bytes, at most one. The results are those of Peek.
func peek(conn net.Conn) (int, error) {
	var buffer [1]byte
	return Peek(conn, buffer[:])
}

// Peek copies unread bytes into the buffer without taking them or waiting for any, and returns their
// number. The error is EAGAIN if there are none, and nil with zero bytes if the peer has closed the
// connection.
func Peek(conn net.Conn, buffer []byte) (int, error) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, ErrNotInspectable
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	var recvErr error
	err = raw.Control(func(fd uintptr) {
		n, _, recvErr = unix.Recvfrom(int(fd), buffer, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.Join(err, recvErr)
}

// AckedBytes returns how many bytes the peer has acknowledged since the connection was
// opened. It reports false if that is not known.
func AckedBytes(conn net.Conn) (uint64, bool) {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || infoErr != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}

// stateClosed is the state of a connection that was reset or has timed out (TCP_CLOSE).
const stateClosed = 7

// TransferInspector is implemented by connections of which the socket does not lead to the endpoint.
type TransferInspector interface {
	// Transfer returns the state of what was written, as InspectTransfer does. It does not block.
	Transfer() (upload.Transfer, error)
}

// InspectTransfer returns the state of what was written to a connection. Whether all of it has been written is for
// the caller to add. The error is ErrNotInspectable, or that of a closed connection. It does not block.
func InspectTransfer(conn net.Conn) (upload.Transfer, error) {
	if inspector, ok := conn.(TransferInspector); ok {
		return inspector.Transfer()
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return upload.Transfer{}, ErrNotInspectable
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return upload.Transfer{}, err
	}
	var info *unix.TCPInfo
	var unacked int
	var infoErr, unackedErr error
	err = raw.Control(func(fd uintptr) {
		// In this order, an acknowledgment in between leaves bytes that count as unacknowledged and as acknowledged. In the other
		// one, all bytes could be acknowledged while the number of those that are is an earlier one.
		unacked, unackedErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err := errors.Join(err, infoErr, unackedErr); err != nil {
		return upload.Transfer{}, err
	}
	return upload.Transfer{
		IsReset:    info.State == stateClosed,
		IsKnown:    true,
		Unacked:    int64(unacked),
		Acked:      info.Bytes_acked,
		IsHeldBack: info.Notsent_bytes > 0 && info.Unacked == 0,
	}, nil
}

// IsTimeout reports whether an error was caused by a timeout.
func IsTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// IsRefused reports whether an error means that nothing listens at the peer's address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// IsClosedByPeer reports whether an error means that the peer has closed or reset
// the connection.
func IsClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
