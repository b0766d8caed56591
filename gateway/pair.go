package gateway

import (
	"errors"
	"net"
	"strings"
	"syscall"
)

// pairTries is the number of ports that are tried if the settings leave the port to
// the system, which looks only for one that is free for connections.
const pairTries = 16

// listenPair listens for connections at an address and opens its port for datagrams
// too. The error is that of one of the sockets.
func listenPair(address string, openDatagrams func(address string) error) (net.Listener, error) {
	for try := 1; ; try++ {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		err = openDatagrams(listener.Addr().String())
		if err == nil {
			return listener, nil
		}
		err = errors.Join(err, listener.Close())
		if try == pairTries || !strings.HasSuffix(address, ":0") || !errors.Is(err, syscall.EADDRINUSE) {
			return nil, err
		}
	}
}
