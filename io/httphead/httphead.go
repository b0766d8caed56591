// Package httphead checks heads of responses that net/http has read. net/http accepts invalid ones: with a status below
// 100, with a switch to a protocol that was not requested, and with blanks in names of fields or after them, as in
// "Content-Length : 5", which it keeps as a field of another name, so that the length does not count.
//
// A response with an invalid head is malformed (RFC 9110, sections 5.1 and 15). Nothing in it holds: not its status, nor a
// refusal, nor a notice.
//
// # Usage
//
//	response, err := client.Do(request.WithContext(httphead.WithTrace(ctx)))
//	...
//	if err := httphead.Check(response); err != nil {
//		// the response is malformed
//	}
//
// Interim responses are checked in the same way. An http.Transport reads them itself; its requests get the trace of
// WithTrace. Trailers are checked by CheckFields. Responses over HTTP/2 need no check, as their reader makes it.
package httphead

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// Reason is why a head is invalid.
type Reason string

// Reasons.
const (
	// StatusBelow100 means that the status is out of range.
	StatusBelow100 Reason = "statusBelow100"
	// UnrequestedSwitch means that the response switches to another protocol.
	UnrequestedSwitch Reason = "unrequestedSwitch"
	// FieldName means that the name of a field is invalid.
	FieldName Reason = "fieldName"
	// ManyInterim means that more than maxInterim interim responses came before the response.
	ManyInterim Reason = "manyInterim"
)

// maxInterim bounds the interim responses that an http.Transport reads for one request.
const maxInterim = 5

// Error reports an invalid head.
type Error struct {
	Reason Reason
	// Status is the status of the head, or zero for fields alone.
	Status int
	// Field is the invalid name.
	Field string
}

// Error returns a message with what is wrong.
func (e *Error) Error() string {
	if e.Reason == FieldName {
		return fmt.Sprintf("the response has a field with the invalid name %q", e.Field)
	}
	return fmt.Sprintf("the response has the status %03d (%s)", e.Status, e.Reason)
}

// Check returns an *Error if the head of a final or interim response is invalid. The request must not have asked for another
// protocol.
func Check(response *http.Response) error {
	switch {
	case response.StatusCode < http.StatusContinue:
		return &Error{
			Reason: StatusBelow100,
			Status: response.StatusCode,
		}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return &Error{
			Reason: UnrequestedSwitch,
			Status: response.StatusCode,
		}
	}
	return checkNames(response.StatusCode, response.Header)
}

// CheckFields returns an *Error if the name of one of the fields is invalid. Fields without a value have been announced only.
func CheckFields(fields http.Header) error { return checkNames(0, fields) }

func checkNames(status int, fields map[string][]string) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return &Error{
				Reason: FieldName,
				Status: status,
				Field:  name,
			}
		}
	}
	return nil
}

// WithTrace returns a context for a request of an http.Transport, which fails with an *Error if the head of an interim response
// is invalid, or if there are too many. Without a trace of them the transport has the same bound.
func WithTrace(ctx context.Context) context.Context {
	var count atomic.Int32
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, fields textproto.MIMEHeader) error {
			if count.Add(1) > maxInterim {
				return &Error{
					Reason: ManyInterim,
					Status: status,
				}
			}
			return checkNames(status, fields)
		},
	})
}
