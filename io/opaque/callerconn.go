package opaque

import "context"

// CallerConn is the connection over which a call arrived.
type CallerConn interface {
	// HasEnded reports whether the caller or this host has closed the connection. It does
	// not block.
	HasEnded() bool
}

// callerConnKey is the key of a CallerConn in a context.
type callerConnKey struct{}

// WithCallerConn returns the context for calls that arrive over a connection.
func WithCallerConn(ctx context.Context, conn CallerConn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// CallerLeftError reports a call that was not sent as its caller has closed the connection.
type CallerLeftError struct{}

// Error returns a message.
func (*CallerLeftError) Error() string { return "the caller has closed its connection" }

// hasCallerLeft reports whether the connection of the call has ended. The context of the request
// tells that as well, but only some time after the request was read: a process that was
// stopped finds requests in its sockets whose callers have long left.
func (x *exchange) hasCallerLeft() bool {
	conn, ok := x.request.Context().Value(callerConnKey{}).(CallerConn)
	return ok && conn.HasEnded()
}
