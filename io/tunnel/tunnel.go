// Package tunnel connects a host to endpoints through another host, with the CONNECT
// method of HTTP/1.1 (RFC 9110, section 9.3.6).
//
// # Usage
//
//	server := tunnel.NewServer(tunnel.ServerDependencies{...})
//	... pass CONNECT requests of other hosts to server ...
//
//	client := tunnel.NewClient(hosts)
//	conn, host, err := client.Connect(ctx, address)
//
// A tunnel carries bytes only: the host that has accepted a call decides on it, and the
// other host neither reads nor repeats anything. The end of a tunnel tells how the
// connection to the endpoint has ended: a connection that breaks off resets the tunnel, so that an
// answer that ends with its connection is not taken for complete.
package tunnel

import (
	"fmt"
	"syscall"
)

// Reason is why a host did not connect to an endpoint.
type Reason string

// Reasons. The host states its own in the response header.
const (
	// Refused means that nothing listens at the endpoint's address.
	Refused Reason = "refused"
	// Unreachable means that the endpoint did not accept the connection.
	Unreachable Reason = "unreachable"
	// Unproven means that the host did not reach the endpoint, but cannot say whether the
	// endpoint or its own path is at fault.
	Unproven Reason = "unproven"
	// PathLost means that the host has lost its own path to the endpoint's service.
	PathLost Reason = "pathLost"
	// Full means that the host serves as many tunnels as it may.
	Full Reason = "full"
	// Stopping means that the host shuts down.
	Stopping Reason = "stopping"
	// UnknownEndpoint means that the host knows no endpoint at the address.
	UnknownEndpoint Reason = "unknownEndpoint"
	// HostUnreachable means that the host itself did not answer.
	HostUnreachable Reason = "hostUnreachable"
	// NoHost means that no other host could be asked.
	NoHost Reason = "noHost"
)

// reasonHeader is the response header that carries the Reason.
const reasonHeader = "Cactuswell-Reason"

// ConnectError reports that no tunnel was opened.
type ConnectError struct {
	// Host is the address of the host that was asked last, or empty.
	Host    string
	Address string
	Reason  Reason
	// Err is the cause if the host did not answer.
	Err error
}

// Error returns a message with both addresses and the reason.
func (e *ConnectError) Error() string {
	text := fmt.Sprintf("no connection to %s through host %q: %s", e.Address, e.Host, e.Reason)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Err }

// Is reports whether the error is that of a refused connection: the other host got it.
func (e *ConnectError) Is(target error) bool {
	return e.Reason == Refused && target == syscall.ECONNREFUSED
}

// IsEndpointDown reports whether the other host has found that the endpoint accepts no
// connections.
func (e *ConnectError) IsEndpointDown() bool {
	return e.Reason == Refused || e.Reason == Unreachable
}

// StatusError reports a response that grants no tunnel.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the host answered with status %d", e.Status)
}

// ResponseError reports a response that breaks the protocol.
type ResponseError struct {
	Problem string
}

// Error returns a message with the problem.
func (e *ResponseError) Error() string { return "the host's response " + e.Problem }

var (
	errEarlyBytes   = &ResponseError{Problem: "is followed by bytes that nobody has requested"}
	errLongResponse = &ResponseError{Problem: "is too long"}
)
