// Package httphead checks heads of responses that net/http has read. It reads some that are none: a status below
// 100 and a switch to a protocol that was not requested.
//
// Such a head is no response (RFC 9110, section 15). Nothing in it holds: not its status, nor a refusal,
// nor a notice.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	if err := httphead.Check(response); err != nil {
//		// the response is malformed
//	}
//
// Interim responses are checked in the same way.
package httphead

import (
	"fmt"
	"net/http"
)

// Reason is why a head is none.
type Reason string

// Reasons.
const (
	// StatusBelow100 means that the status is no status.
	StatusBelow100 Reason = "statusBelow100"
	// UnrequestedSwitch means that the response switches to another protocol.
	UnrequestedSwitch Reason = "unrequestedSwitch"
)

// Error reports a head that is none.
type Error struct {
	Reason Reason
	Status int
}

// Error returns a message with what is wrong.
func (e *Error) Error() string {
	return fmt.Sprintf("the response has the status %03d (%s)", e.Status, e.Reason)
}

// Check returns an *Error if the head of a final or interim response is none. The request must not have asked for another
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
	return nil
}
