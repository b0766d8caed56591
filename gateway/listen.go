package gateway

import (
	"errors"
	"net"
	"strings"
	"syscall"
)

// maxPortTries is the number of ports to try if the operating system chooses the
// port. It only ensures that the port is free for TCP, not for UDP.
const maxPortTries = 16

// listenTCPAndUDP listens for TCP connections on an address and calls openUDP to
// open a UDP socket on the same port. The error is that of one of the sockets.
func listenTCPAndUDP(address string, openUDP func(address string) error) (net.Listener, error) {
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		err = openUDP(listener.Addr().String())
		if err == nil {
			return listener, nil
		}
		err = errors.Join(err, listener.Close())
		if try == maxPortTries || !strings.HasSuffix(address, ":0") || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
}
