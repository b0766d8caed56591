// Package splice recognizes responses of which the header was torn and runs into that of the response
// after it. A parser reads the two as one response: the status and some fields are of the first, the
// others, like the ID of the request, of the second.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	if err := splice.Check(response); err != nil {
//		// the response is malformed
//	}
//
// A header that is torn between two lines or within a name cannot be parsed at all.
package splice

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches a value that ends with a status line, in any case, as names of fields are
// converted to their usual form.
var statusLine = regexp.MustCompile(`(?i)HTTP/1\.[01] [1-5][0-9]{2}( [ -~]*)?$`)

// Error reports a response that consists of the beginning of one response and the whole of another.
type Error struct {
	// Field is the field in which the second one begins, or empty for the status line.
	Field string
}

// Error returns a message with the field.
func (e *Error) Error() string {
	if e.Field == "" {
		return "the status line of the response runs into that of another one"
	}
	return fmt.Sprintf("the field %s of the response runs into the status line of another one", e.Field)
}

// Check returns an *Error if the header of a response holds the status line of another one.
func Check(response *http.Response) error {
	if endsWithStatusLine(response.Status) {
		return &Error{}
	}
	for name, values := range response.Header {
		for _, value := range values {
			if endsWithStatusLine(value) {
				return &Error{Field: name}
			}
		}
	}
	// The parser moves the values of the field Trailer to the keys of the trailer.
	for name := range response.Trailer {
		if endsWithStatusLine(name) {
			return &Error{Field: "Trailer"}
		}
	}
	return nil
}

func endsWithStatusLine(text string) bool {
	// Most values do not hold the slash, and the expression costs more.
	return strings.Contains(text, "/1.") && statusLine.MatchString(text)
}
