// Package tcp makes connections that notice within a bounded time that their
// peer is silent.
//
// # Usage
//
//	dialer := tcp.NewDialer(tcp.Settings{
//		DialTimeout: 250 * time.Millisecond,
//		PeerTimeout: time.Second,
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
)

// keepAliveProbes is the number of keep-alive probes without an answer after
// which a connection counts as lost.
const keepAliveProbes = 2

// Settings bounds the silence of a peer.
type Settings struct {
	// DialTimeout is the longest time to make a connection.
	DialTimeout time.Duration
	// AckTimeout is the longest time that sent bytes may be without the peer's
	// acknowledgement.
	AckTimeout time.Duration
	// KeepAlive is the idle time after which the peer is probed, and the time
	// between two probes, in whole seconds.
	KeepAlive time.Duration
}

// Dialer makes connections. It is safe for concurrent use.
type Dialer struct {
	dialer net.Dialer
}

// NewDialer returns a dialer.
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
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		return errors.Join(err, failed)
	}
	return d
}

// DialContext makes a connection to an IP and port.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return d.dialer.DialContext(ctx, network, address)
}

// IsIdle reports whether an idle connection is open at both ends and holds no
// bytes that were not read. It does not wait.
func IsIdle(conn net.Conn) bool {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var buffer [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, failed := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// IsTimeout reports whether an error is that of a deadline.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// IsClosedByPeer reports whether an error is the peer's end of the connection.
func IsClosedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
