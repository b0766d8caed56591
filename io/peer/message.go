package peer

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"

	"cactuswell/core/quarantine"
	"cactuswell/core/replica"
	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
)

const (
	// formatVersion is the first byte of each datagram. Datagrams of another
	// version are dropped.
	formatVersion = 2
	// maxTextBytes bounds each string in a datagram.
	maxTextBytes = 255
	// maxItems bounds each list in a datagram, so that a datagram with full lists
	// stays below maxDatagram.
	maxItems = 256
	// readAgoStep and maxReadAgo are the resolution and the bound of a Copy's ReadAgo, which
	// shares a byte with its Reads.
	readAgoStep = 16 * time.Millisecond
	maxReadAgo  = 254 * readAgoStep
	// maxUvarint bounds each count, and each duration in milliseconds. Larger ones are encoded
	// as the bound, and receivers refuse them.
	maxUvarint = 1 << 30
)

// Flags of a message.
const (
	flagComplete = 1 << iota
	flagStoreUnavailable
	flagShuttingDown
	flagAggregate
	flagLink
	flagCopies
	flagNotices
	flagDemands
)

// Message is the report of a host to the others.
type Message struct {
	// Host is the name of the sender, and Incarnation the Unix time in milliseconds
	// at which it started.
	Host        string
	Incarnation int64
	// Address is the IP and port on which the sender serves other hosts, and Zone
	// its availability zone.
	Address string
	Zone    string
	// Aggregate is set in the report of a relay, where Loads holds the sum over Hosts
	// hosts of the zone.
	Aggregate bool
	Hosts     int
	// LinkMbps is the bandwidth of the sender's network link in Mbit/s, or zero if it is
	// not known.
	LinkMbps float64
	// ConfigurationVersion is the version of the configuration that the sender has
	// in force.
	ConfigurationVersion int64
	// StoreUnavailable is set while the sender cannot reach the store.
	StoreUnavailable bool
	// ShuttingDown is set once the sender shuts down.
	ShuttingDown bool
	// Complete is set if Loads lists all endpoints on which the sender has load, not
	// only those whose load changed.
	Complete   bool
	Loads      []scheduling.PeerLoad
	Placements []scheduling.Placement
	// Copies are the sender's copies of the store's topics.
	Copies []Copy
	// Notices are what endpoints have told their callers.
	Notices []scheduling.Notice
	// Findings are what callers of the endpoints have found about prompts that crash them.
	Findings []quarantine.Finding
	// Limits are what the sender knows of the limits that endpoints name, and CallDemands
	// the demand for the services that have limits. Complete reports have all of it.
	Limits      []scheduling.LimitReport
	CallDemands []scheduling.CallDemand
	// Speeds are the observations of endpoints' speeds that the sender has made lately.
	Speeds []speed.Observation
	// Demands is the demand that callers make on the sender. It is part of complete
	// reports.
	Demands []scheduling.Demand
	// Duty is the announcement of the host that holds the lease on the singleton duties, or nil.
	Duty *Duty
}

// Copy is a host's copy of a topic.
type Copy struct {
	Topic string
	End   replica.Position
	// Reads is set while the host reads the topic from the store with success.
	Reads bool
	// ReadAgo is how long ago the store last answered, if Reads is set. It is exchanged in
	// steps of readAgoStep, and up to maxReadAgo.
	ReadAgo time.Duration
}

// MalformedError reports a datagram that cannot be decoded.
type MalformedError struct {
	Reason string
}

// Error returns a message with the reason.
func (e *MalformedError) Error() string {
	return fmt.Sprintf("malformed datagram: %s", e.Reason)
}

// Append appends the encoded message to a buffer and returns the buffer. It encodes
// at most maxItems entries of Loads and of Placements. A report of which loads are left
// out is not encoded as complete, since receivers take what a complete one lacks for idle.
func (m *Message) Append(to []byte) []byte {
	to = append(to, formatVersion)
	flags := byte(0)
	if m.Complete && len(m.Loads) <= maxItems {
		flags |= flagComplete
	}
	if m.StoreUnavailable {
		flags |= flagStoreUnavailable
	}
	if m.ShuttingDown {
		flags |= flagShuttingDown
	}
	if m.Aggregate {
		flags |= flagAggregate
	}
	if m.LinkMbps > 0 {
		flags |= flagLink
	}
	if len(m.Copies) > 0 {
		flags |= flagCopies
	}
	if len(m.Notices) > 0 {
		flags |= flagNotices
	}
	if len(m.Demands) > 0 {
		flags |= flagDemands
	}
	to = append(to, flags)
	to = appendText(to, m.Host)
	to = appendText(to, m.Address)
	to = appendText(to, m.Zone)
	to = appendCount(to, m.Hosts)
	to = binary.AppendVarint(to, m.Incarnation)
	to = binary.AppendVarint(to, m.ConfigurationVersion)
	loads := m.Loads[:min(len(m.Loads), maxItems)]
	to = binary.AppendUvarint(to, uint64(len(loads)))
	for _, l := range loads {
		to = binary.BigEndian.AppendUint64(to, l.Endpoint)
		to = appendMillis(to, l.PendingPrefill)
		to = appendCount(to, l.Running)
		to = appendCount(to, l.LatencySensitive)
		to = appendBool(to, l.Ejected)
	}
	placements := m.Placements[:min(len(m.Placements), maxItems)]
	to = binary.AppendUvarint(to, uint64(len(placements)))
	for _, p := range placements {
		to = binary.BigEndian.AppendUint64(to, p.Endpoint)
		to = binary.BigEndian.AppendUint64(to, p.PrefixHash)
		to = appendCount(to, p.Tokens)
	}
	// Earlier releases ignore what follows the placements.
	if m.LinkMbps > 0 {
		to = binary.BigEndian.AppendUint64(to, math.Float64bits(m.LinkMbps))
	}
	if len(m.Copies) > 0 {
		to = appendCopies(to, m.Copies[:min(len(m.Copies), maxItems)])
	}
	if len(m.Notices) > 0 {
		to = appendNotices(to, m.Notices[:min(len(m.Notices), maxItems)])
	}
	if len(m.Demands) > 0 {
		to = appendDemands(to, m.Demands[:min(len(m.Demands), maxItems)])
	}
	if len(m.Findings) > 0 {
		to = appendExtension(to, extensionFindings, appendFindings(nil, m.Findings[:min(len(m.Findings), maxItems)]))
	}
	if len(m.Limits) > 0 || len(m.CallDemands) > 0 {
		to = appendExtension(to, extensionLimits,
			appendLimits(nil, m.Limits[:min(len(m.Limits), maxItems)], m.CallDemands[:min(len(m.CallDemands), maxItems)]))
	}
	if m.Duty != nil {
		to = appendExtension(to, extensionDuty, appendDuty(nil, m.Duty))
	}
	if len(m.Speeds) > 0 {
		to = appendExtension(to, extensionSpeeds, appendSpeeds(nil, m.Speeds[:min(len(m.Speeds), maxItems)]))
	}
	return to
}

func appendCopies(to []byte, copies []Copy) []byte {
	to = binary.AppendUvarint(to, uint64(len(copies)))
	for _, c := range copies {
		to = appendText(to, c.Topic)
		to = binary.AppendVarint(to, c.End.Era)
		to = binary.AppendVarint(to, c.End.Offset)
		to = append(to, readsByte(c))
	}
	return to
}

// readsByte returns 0 for a host that does not read the topic, and 1 more than the steps since
// the store has answered for one that does. Earlier releases send and read only 0 and not 0.
func readsByte(c Copy) byte {
	if !c.Reads {
		return 0
	}
	ago := min(max(c.ReadAgo, 0), maxReadAgo)
	return byte(1 + (ago+readAgoStep-1)/readAgoStep)
}

func (c *Copy) setReads(value byte) {
	c.Reads = value != 0
	if c.Reads {
		c.ReadAgo = time.Duration(value-1) * readAgoStep
	}
}

func appendNotices(to []byte, notices []scheduling.Notice) []byte {
	to = binary.AppendUvarint(to, uint64(len(notices)))
	for _, n := range notices {
		to = binary.BigEndian.AppendUint64(to, n.Endpoint)
		to = appendBool(to, n.Leaving)
		to = appendMillis(to, n.QuietFor)
	}
	return to
}

func appendDemands(to []byte, demands []scheduling.Demand) []byte {
	to = binary.AppendUvarint(to, uint64(len(demands)))
	for _, demand := range demands {
		to = binary.BigEndian.AppendUint64(to, demand.Service)
		to = appendMillis(to, demand.LatencySensitive)
		to = appendMillis(to, demand.Other)
	}
	return to
}

// appendCount appends a count, at most maxUvarint.
func appendCount(to []byte, count int) []byte {
	return binary.AppendUvarint(to, uint64(min(max(count, 0), maxUvarint)))
}

// appendMillis appends a duration in milliseconds, at most maxUvarint.
func appendMillis(to []byte, duration time.Duration) []byte {
	return binary.AppendUvarint(to, uint64(min(max(duration.Milliseconds(), 0), maxUvarint)))
}

func appendBool(to []byte, value bool) []byte {
	if value {
		return append(to, 1)
	}
	return append(to, 0)
}

func appendText(to []byte, text string) []byte {
	text = text[:min(len(text), maxTextBytes)]
	to = append(to, byte(len(text)))
	return append(to, text...)
}

// Decode decodes a datagram. The error is a *MalformedError.
func Decode(bytes []byte) (Message, error) {
	m, _, err := decodeFirst(bytes)
	return m, err
}

// decodeFirst decodes the first message of a datagram and returns what follows it.
func decodeFirst(bytes []byte) (m Message, rest []byte, err error) {
	d := decoder{remaining: bytes}
	if version := d.byte(); version != formatVersion {
		return Message{}, nil, &MalformedError{Reason: fmt.Sprintf("unsupported format version %d", version)}
	}
	flags := d.byte()
	m = Message{
		Complete:             flags&flagComplete != 0,
		StoreUnavailable:     flags&flagStoreUnavailable != 0,
		ShuttingDown:         flags&flagShuttingDown != 0,
		Aggregate:            flags&flagAggregate != 0,
		Host:                 d.text(),
		Address:              d.text(),
		Zone:                 d.text(),
		Hosts:                int(d.boundedUvarint()),
		Incarnation:          d.varint(),
		ConfigurationVersion: d.varint(),
	}
	for range d.listLength() {
		m.Loads = append(m.Loads, scheduling.PeerLoad{
			Endpoint:         d.uint64(),
			PendingPrefill:   time.Duration(d.boundedUvarint()) * time.Millisecond,
			Running:          int(d.boundedUvarint()),
			LatencySensitive: int(d.boundedUvarint()),
			Ejected:          d.byte() != 0,
		})
	}
	for range d.listLength() {
		m.Placements = append(m.Placements, scheduling.Placement{
			Endpoint:   d.uint64(),
			PrefixHash: d.uint64(),
			Tokens:     int(d.boundedUvarint()),
		})
	}
	if flags&flagLink != 0 {
		// A bandwidth that is no number is not known.
		m.LinkMbps, _ = d.rate()
	}
	if flags&flagCopies != 0 {
		m.Copies = d.copies()
	}
	if flags&flagNotices != 0 {
		m.Notices = d.notices()
	}
	if flags&flagDemands != 0 {
		m.Demands = d.demands()
	}
	m.decodeExtensions(&d)
	if d.failed || m.Host == "" {
		return Message{}, nil, &MalformedError{Reason: "truncated or out of bounds"}
	}
	return m, d.remaining, nil
}

// maxFixedBytes is the size of the largest field of fixed size.
const maxFixedBytes = 8

// decoder decodes the fields of a datagram. Once failed is set, the returned values
// are meaningless.
type decoder struct {
	remaining []byte
	failed    bool
}

// next returns the next n bytes. If there are fewer, it returns as many as the fields of fixed
// size need at most.
func (d *decoder) next(n int) []byte {
	if d.failed || len(d.remaining) < n {
		d.failed = true
		return make([]byte, maxFixedBytes)
	}
	bytes := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return bytes
}

func (d *decoder) copies() []Copy {
	var copies []Copy
	for range d.listLength() {
		c := Copy{
			Topic: d.text(),
			End: replica.Position{
				Era:    d.varint(),
				Offset: d.varint(),
			},
		}
		c.setReads(d.byte())
		copies = append(copies, c)
	}
	return copies
}

func (d *decoder) notices() []scheduling.Notice {
	var notices []scheduling.Notice
	for range d.listLength() {
		notices = append(notices, scheduling.Notice{
			Endpoint: d.uint64(),
			Leaving:  d.byte() != 0,
			QuietFor: time.Duration(d.boundedUvarint()) * time.Millisecond,
		})
	}
	return notices
}

func (d *decoder) demands() []scheduling.Demand {
	var demands []scheduling.Demand
	for range d.listLength() {
		demands = append(demands, scheduling.Demand{
			Service:          d.uint64(),
			LatencySensitive: time.Duration(d.boundedUvarint()) * time.Millisecond,
			Other:            time.Duration(d.boundedUvarint()) * time.Millisecond,
		})
	}
	return demands
}

func (d *decoder) byte() byte { return d.next(1)[0] }

func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.next(8)) }

// rate decodes a number that is neither negative nor infinite. It reports false for others.
func (d *decoder) rate() (float64, bool) {
	value := math.Float64frombits(d.uint64())
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return 0, false
	}
	return value, true
}

func (d *decoder) text() string { return string(d.next(int(d.byte()))) }

func (d *decoder) varint() int64 {
	value, n := binary.Varint(d.remaining)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.remaining = d.remaining[n:]
	return value
}

// boundedUvarint decodes a count or a duration. It fails for implausibly large
// values.
func (d *decoder) boundedUvarint() uint32 {
	value, n := binary.Uvarint(d.remaining)
	if n <= 0 || value > maxUvarint {
		d.failed = true
		return 0
	}
	d.remaining = d.remaining[n:]
	return uint32(value)
}

func (d *decoder) listLength() int {
	n := d.boundedUvarint()
	if n > maxItems {
		d.failed = true
	}
	if d.failed {
		return 0
	}
	return int(n)
}
