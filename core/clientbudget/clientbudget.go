// Package clientbudget decides how a host divides its memory and file descriptors
// over what it holds for clients, and which clients are disconnected first when a
// share is short.
//
// # Usage
//
//	limits := clientbudget.Divide(clientbudget.Resources{
//		MemoryBytes: 144 << 20,
//		Descriptors: 4100,
//	})
//	if open >= limits.Connections {
//		for _, i := range clientbudget.SelectConns(conns, len(addresses), clientbudget.BatchSize(limits.Connections)) {
//			... close conns[i] ...
//		}
//	}
//
// The package is designed for hosts of 32 MB and more with some thousand connections
// of which most may belong to clients that send nothing, stop within a request or do
// not read their responses, while ordinary callers complete requests over a few.
package clientbudget

import (
	"cmp"
	"slices"
	"time"
)

const (
	// connectionShare, headerShare, bodyShare and responseShare are the shares of a
	// host's memory for connections, for the fields of request headers beyond
	// freeHeaderCost, for request bodies and for buffered parts of responses. The
	// rest is the host's own, with the collector's garbage.
	connectionShare = 0.2
	headerShare     = 0.06
	bodyShare       = 0.15
	responseShare   = 0.1
	// connectionBytes is the memory of a connection with its goroutines' stacks and its
	// read and write buffers: 12 KB of a silent one, 17 KB with an unfinished header of 4 KB.
	connectionBytes = 16 << 10
	// descriptorShare is the share of the descriptors for clients. Each call needs
	// another one for its endpoint.
	descriptorShare = 0.5
	// reservedDescriptors are those for files, the store, other hosts and listeners.
	reservedDescriptors = 200
	// operatorFraction is the fraction of the connections for the operators' listener,
	// and minConnections the minimum for each listener.
	operatorFraction = 3
	minConnections   = 16
	// batchFraction is the fraction of the connections that are disconnected at once,
	// so that the search for them costs little for each new connection.
	batchFraction = 64
)

// Resources is what a process may use. Zero means not limited.
type Resources struct {
	MemoryBytes int64
	Descriptors int
}

// Limits are the limits on what a host holds for clients. Zero means no limit.
type Limits struct {
	// Connections and OperatorConnections are the numbers of open connections at the
	// callers' and at the operators' listener.
	Connections         int
	OperatorConnections int
	// HeaderBytes, BodyBytes and ResponseBytes are totals over all connections.
	HeaderBytes   int64
	BodyBytes     int64
	ResponseBytes int64
}

// Divide divides the resources of a process.
func Divide(resources Resources) Limits {
	memory := float64(resources.MemoryBytes)
	limits := Limits{
		HeaderBytes:   int64(headerShare * memory),
		BodyBytes:     int64(bodyShare * memory),
		ResponseBytes: int64(responseShare * memory),
	}
	total := 0
	if resources.MemoryBytes > 0 {
		total = int(connectionShare * memory / connectionBytes)
	}
	if resources.Descriptors > 0 {
		forClients := int(descriptorShare * float64(max(resources.Descriptors-reservedDescriptors, 0)))
		if total == 0 || forClients < total {
			total = max(forClients, 2*minConnections)
		}
	}
	if total == 0 {
		return limits
	}
	limits.OperatorConnections = max(total/operatorFraction, minConnections)
	limits.Connections = max(total-limits.OperatorConnections, minConnections)
	return limits
}

// BatchSize returns how many connections are disconnected at once if all of a limit are
// open.
func BatchSize(limit int) int { return max(limit/batchFraction, 1) }

// Phase is what a connection does. The phases are in the order in which connections are
// disconnected when connections are short: those that hold no request and have never
// completed one are first.
type Phase uint8

// The phases.
const (
	// Silent connections have not sent a byte.
	Silent Phase = iota
	// Header connections have sent a part of a request's header.
	Header
	// Body connections have sent a part of a request's body.
	Body
	// Idle connections have completed a request.
	Idle
	// Writing connections do not read their response.
	Writing
	// Serving connections have sent a whole request that has no response yet. They are
	// never disconnected: the request may have run.
	Serving
)

const (
	// minRate is the rate of bytes, in bytes a second, at which a client makes
	// progress. It is below that of any link on which the calls' targets can be met.
	minRate = 16 << 10
	// minArrivalLag and minWritingLag are the lags from which arrivals and unread responses may
	// be evicted. Callers behind a lost packet lag for a retransmission timeout. A listener that
	// waits for minArrivalLag accepts as many connections in that time as it may hold.
	minArrivalLag = 300 * time.Millisecond
	minWritingLag = time.Second
	// overShareFactor is the multiple of an even share of the connections from which
	// an address is disconnected before others in the same phase.
	overShareFactor = 2
)

// Lag returns by how much longer than necessary a client has taken to transfer a number
// of bytes. Clients that trickle bytes lag almost as much as those that stop.
func Lag(elapsed time.Duration, bytes int64) time.Duration {
	return elapsed - time.Duration(float64(bytes)/minRate*float64(time.Second))
}

// Conn describes a connection.
type Conn struct {
	Phase Phase
	// Lag is that of the body's or response's transfer, else the time in the phase. Headers
	// of ordinary callers arrive at once, whatever their size.
	Lag time.Duration
	// AddressConns is the number of connections of the client's address.
	AddressConns int
}

// IsNew reports whether the request that a connection was opened for, or the rest of its header, may
// still be on its way.
func (c *Conn) IsNew() bool { return (c.Phase == Silent || c.Phase == Header) && c.Lag < minArrivalLag }

// AreMostlyIdle reports whether most connections are idle. Then it is these that fill the host, and they
// make room although new ones might.
func AreMostlyIdle(conns []Conn) bool {
	idle := 0
	for i := range conns {
		if conns[i].Phase == Idle {
			idle++
		}
	}
	return 2*idle > len(conns)
}

// MayClose reports whether a connection may be evicted for others.
func (c *Conn) MayClose() bool {
	switch c.Phase {
	case Silent, Header, Idle:
		return true
	case Body:
		return c.Lag >= minArrivalLag
	case Writing:
		return c.Lag >= minWritingLag
	case Serving:
	}
	return false
}

// SelectConns returns the indexes of at most count connections to disconnect, the first
// ones first: by phase, then those of addresses with far more than an even share, then by
// lag. A single address, as that of a balancer, has no more than its share.
func SelectConns(conns []Conn, addresses, count int) []int {
	overShare := overShareFactor * len(conns) / max(addresses, 1)
	isOver := func(c *Conn) int {
		if c.AddressConns > overShare {
			return 0
		}
		return 1
	}
	var selected []int
	for i := range conns {
		if conns[i].MayClose() {
			selected = append(selected, i)
		}
	}
	slices.SortFunc(selected, func(i, j int) int {
		a, b := &conns[i], &conns[j]
		return cmp.Or(cmp.Compare(a.Phase, b.Phase), cmp.Compare(isOver(a), isOver(b)), cmp.Compare(b.Lag, a.Lag), cmp.Compare(i, j))
	})
	return selected[:min(count, len(selected))]
}

// Cause is why a client was disconnected or refused.
type Cause string

// The causes.
const (
	CauseConnections    Cause = "connections"
	CauseHeaderLines    Cause = "headerLines"
	CauseHeaderMemory   Cause = "headerMemory"
	CauseHeaderTimeout  Cause = "headerTimeout"
	CauseIdleTimeout    Cause = "idleTimeout"
	CauseBodyMemory     Cause = "bodyMemory"
	CauseUnreadResponse Cause = "unreadResponse"
)

// unreadResponseTimeout is the lag from which a connection whose response is not read is
// closed although nothing is short.
const unreadResponseTimeout = 10 * time.Second

// Timeouts are the configured timeouts. Zero means none.
type Timeouts struct {
	Header time.Duration
	Idle   time.Duration
}

// Expired returns why a connection is closed although nothing is short, or an empty cause.
// InPhase is the time in the phase.
func (t Timeouts) Expired(phase Phase, inPhase, lag time.Duration) Cause {
	switch {
	case (phase == Silent || phase == Header) && t.Header > 0 && inPhase > t.Header:
		return CauseHeaderTimeout
	case phase == Idle && t.Idle > 0 && inPhase > t.Idle:
		return CauseIdleTimeout
	case phase == Writing && lag > unreadResponseTimeout:
		return CauseUnreadResponse
	}
	return ""
}

const (
	// headerByteCost and headerLineCost are the memory of a header's byte and line:
	// fields are held as they came, and as the maps that are sent to endpoints.
	headerByteCost = 2
	headerLineCost = 300
	// freeHeaderCost is what each connection may hold without taking from the total.
	// It fits the headers of ordinary calls.
	freeHeaderCost = 16 << 10
)

// HeaderCost returns what a request's header takes from HeaderBytes.
func HeaderCost(bytes, lines int) int64 {
	return max(int64(bytes)*headerByteCost+int64(lines)*headerLineCost-freeHeaderCost, 0)
}
