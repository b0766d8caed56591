package peer

import (
	"encoding/binary"
	"fmt"
	"time"

	"cactuswell/core/scheduling"
)

const (
	// formatVersion begins each datagram; others are dropped.
	formatVersion = 2
	// maxText bounds the names in a datagram.
	maxText = 255
	// maxItems bounds the lists in a datagram, which stays below the usual size
	// of a packet.
	maxItems = 256
)

// The flags of a message.
const (
	flagFull = 1 << iota
	flagStoreLost
	flagLeaving
	flagAggregate
)

// Message is what a host tells the others of itself.
type Message struct {
	// Host and Born name the sender and its incarnation; Born is the Unix
	// millisecond of its start.
	Host        string
	Incarnation int64
	// Address is the IP and port on which the sender serves other hosts, and Zone
	// its availability zone.
	Address string
	Zone    string
	// Aggregate says that Work is that of Hosts hosts of the zone together.
	Aggregate bool
	Hosts     int
	// ConfigurationVersion is that of the configuration which the sender has in force.
	ConfigurationVersion int64
	// StoreUnavailable says that the store does not answer the sender.
	StoreUnavailable bool
	// ShuttingDown says that the sender stops.
	ShuttingDown bool
	// Complete says that Work is all that the sender has, not what changed only.
	Complete   bool
	Load       []scheduling.PeerLoad
	Placements []scheduling.Placement
}

// MalformedError is a datagram that cannot be read.
type MalformedError struct {
	Reason string
}

// Error says why.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed datagram: %s", e.Reason)
}

// Append appends the message's bytes.
func (m *Message) Append(to []byte) []byte {
	to = append(to, formatVersion)
	flags := byte(0)
	if m.Complete {
		flags |= flagFull
	}
	if m.StoreUnavailable {
		flags |= flagStoreLost
	}
	if m.ShuttingDown {
		flags |= flagLeaving
	}
	if m.Aggregate {
		flags |= flagAggregate
	}
	to = append(to, flags)
	to = appendText(to, m.Host)
	to = appendText(to, m.Address)
	to = appendText(to, m.Zone)
	to = binary.AppendUvarint(to, uint64(max(m.Hosts, 0)))
	to = binary.AppendVarint(to, m.Incarnation)
	to = binary.AppendVarint(to, m.ConfigurationVersion)
	work := m.Load[:min(len(m.Load), maxItems)]
	to = binary.AppendUvarint(to, uint64(len(work)))
	for _, w := range work {
		to = binary.BigEndian.AppendUint64(to, w.Endpoint)
		to = binary.AppendUvarint(to, uint64(max(w.PrefillBacklog.Milliseconds(), 0)))
		to = binary.AppendUvarint(to, uint64(max(w.Running, 0)))
		to = binary.AppendUvarint(to, uint64(max(w.LatencySensitive, 0)))
		ejected := byte(0)
		if w.Ejected {
			ejected = 1
		}
		to = append(to, ejected)
	}
	placed := m.Placements[:min(len(m.Placements), maxItems)]
	to = binary.AppendUvarint(to, uint64(len(placed)))
	for _, p := range placed {
		to = binary.BigEndian.AppendUint64(to, p.Endpoint)
		to = binary.BigEndian.AppendUint64(to, p.PrefixHash)
		to = binary.AppendUvarint(to, uint64(max(p.Tokens, 0)))
	}
	return to
}

func appendText(to []byte, text string) []byte {
	text = text[:min(len(text), maxText)]
	to = append(to, byte(len(text)))
	return append(to, text...)
}

// Decode reads a datagram. The error is a *MalformedError.
func Decode(bytes []byte) (Message, error) {
	d := decoder{rest: bytes}
	if version := d.byte(); version != formatVersion {
		return Message{}, &MalformedError{Reason: fmt.Sprintf("its format is %d", version)}
	}
	flags := d.byte()
	m := Message{
		Complete:             flags&flagFull != 0,
		StoreUnavailable:     flags&flagStoreLost != 0,
		ShuttingDown:         flags&flagLeaving != 0,
		Aggregate:            flags&flagAggregate != 0,
		Host:                 d.text(),
		Address:              d.text(),
		Zone:                 d.text(),
		Hosts:                int(d.bounded()),
		Incarnation:          d.varint(),
		ConfigurationVersion: d.varint(),
	}
	for range d.count() {
		m.Load = append(m.Load, scheduling.PeerLoad{
			Endpoint:         d.uint64(),
			PrefillBacklog:   time.Duration(d.bounded()) * time.Millisecond,
			Running:          int(d.bounded()),
			LatencySensitive: int(d.bounded()),
			Ejected:          d.byte() != 0,
		})
	}
	for range d.count() {
		m.Placements = append(m.Placements, scheduling.Placement{
			Endpoint:   d.uint64(),
			PrefixHash: d.uint64(),
			Tokens:     int(d.bounded()),
		})
	}
	if d.failed || m.Host == "" {
		return Message{}, &MalformedError{Reason: "it is cut"}
	}
	return m, nil
}

// decoder takes a datagram apart. After a failure it returns zeros.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if d.failed || len(d.rest) < n {
		d.failed = true
		return make([]byte, n)
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken
}

func (d *decoder) byte() byte { return d.take(1)[0] }

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

func (d *decoder) text() string { return string(d.take(int(d.byte()))) }

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.rest)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return value
}

// bounded returns a number that is a sensible amount of anything.
func (d *decoder) bounded() uint32 {
	value, n := binary.Uvarint(d.rest)
	if n <= 0 || value > 1<<30 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return uint32(value)
}

func (d *decoder) count() int {
	n := d.bounded()
	if n > maxItems {
		d.failed = true
	}
	if d.failed {
		return 0
	}
	return int(n)
}
