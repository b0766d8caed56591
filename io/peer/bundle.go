package peer

import (
	"encoding/binary"
	"net"
	"time"
)

// bundleMark precedes further messages after the first one of a datagram, each of which has
// its size as a variable-length integer before it. A relay bundles what it sends to the
// hosts of its zone, as each datagram costs them a wake-up. Earlier releases read the first
// message and ignore the others.
const bundleMark = 1

// maxPendingForwards bounds the messages of other zones that wait for the next bundle.
// Further ones are dropped, as later ones replace them.
const maxPendingForwards = 256

// bundle returns the datagrams that hold the messages, in order and with as many in each
// as fit.
func bundle(messages [][]byte) [][]byte {
	var datagrams [][]byte
	var current []byte
	for _, message := range messages {
		if current != nil && len(current)+1+binary.MaxVarintLen32+len(message) > maxDatagram {
			datagrams = append(datagrams, current)
			current = nil
		}
		if current == nil {
			current = message[:len(message):len(message)]
			continue
		}
		current = append(current, bundleMark)
		current = binary.AppendUvarint(current, uint64(len(message)))
		current = append(current, message...)
	}
	if current != nil {
		datagrams = append(datagrams, current)
	}
	return datagrams
}

// unbundle calls handle with each message of a datagram and its encoded form, until one is
// malformed.
func unbundle(datagram []byte, handle func(message *Message, encoded []byte)) {
	first, rest, err := decodeFirst(datagram)
	if err != nil {
		return
	}
	handle(&first, datagram[:len(datagram)-len(rest)])
	for len(rest) > 0 && rest[0] == bundleMark {
		size, n := binary.Uvarint(rest[1:])
		if n <= 0 || size > uint64(len(rest)-1-n) {
			return
		}
		encoded := rest[1+n : 1+n+int(size)]
		message, err := Decode(encoded)
		if err != nil {
			return
		}
		handle(&message, encoded)
		rest = rest[1+n+int(size):]
	}
}

// writePaced sends a datagram and counts it against the relay's share of its link.
func (m *Mesh) writePaced(now time.Time, datagram []byte, addresses []net.Addr) {
	if len(datagram) > maxDatagram {
		return
	}
	m.writeBytes(datagram, addresses)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.relayPacer.recordSent(now, len(addresses), len(datagram))
}
