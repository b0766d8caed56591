package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
)

const (
	// firstPort is the first port of all blocks. The operating system gives none of them to outgoing
	// connections, which could take them while a host is down.
	firstPort  = 12_000
	blockPorts = 200
	blocks     = 100
)

// portBlock is a range of ports on the loopback interface that no other soak uses: its first port is
// kept open.
type portBlock struct {
	guard net.Listener
	// next is the next port that was not given out.
	next, end int
}

// reservePorts reserves a block that no soak uses, also in other processes.
func reservePorts() (*portBlock, error) {
	var failure error
	for _, block := range rand.Perm(blocks) {
		first := firstPort + block*blockPorts
		guard, err := net.Listen("tcp", loopbackAddress(first))
		if err != nil {
			failure = err
			continue
		}
		return &portBlock{
			guard: guard,
			next:  first + 1,
			end:   first + blockPorts,
		}, nil
	}
	return nil, failure
}

// addresses returns addresses that are free and that it has not returned before.
func (b *portBlock) addresses(n int) ([]string, error) {
	var addresses []string
	for len(addresses) < n {
		if b.next == b.end {
			return nil, &PortsError{Ports: blockPorts}
		}
		address := loopbackAddress(b.next)
		b.next++
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func (b *portBlock) close() { _ = b.guard.Close() }

func loopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// PortsError reports that a block has no free ports left.
type PortsError struct{ Ports int }

// Error returns a message with the number of ports.
func (e *PortsError) Error() string { return fmt.Sprintf("none of %d ports is left", e.Ports) }
