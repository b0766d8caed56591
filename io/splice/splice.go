// Package splice recognizes responses of which the header was torn and runs into that of the response
// after it. A parser reads the two as one response: the status and some fields are of the first, the
// others, like the ID of the request, of the second.
//
// # Usage
//
//	response, err := http.ReadResponse(reader, request)
//	...
//	if err := splice.CheckHead(raw); err != nil {
//		// the response is malformed
//	}
//
// The raw bytes are those that the reader has got for the header. They are checked once the header was
// parsed, so that bytes that are no response are recognized as soon as before. Where only the parsed response is at hand, Check finds most of them: the parser removes some fields,
// such as Connection if one of its values is close. An http.Transport whose connections carry one request
// each dials with CheckFirst. A header that is torn between two lines or within a
// name cannot be parsed at all. A sound response with a field that ends with a status line, as a quotation,
// counts as torn.
package splice

import (
	"bytes"
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches a line or a value that ends with a status line as the parser takes it, in any case, as
// names of fields are converted to their usual form.
var statusLine = regexp.MustCompile(`(?i)HTTP/[0-9]\.[0-9][ \t]+[0-9]{3}([ \t].*)?$`)

// versionBytes is the size of the version with which a status line begins.
const versionBytes = len("HTTP/1.1")

// Error reports a response that consists of the beginning of one response and the whole of another.
type Error struct {
	// Field is the field in which the second one begins, or empty for the status line and for a line that
	// continues a field.
	Field string
}

// Error returns a message with the field.
func (e *Error) Error() string {
	if e.Field == "" {
		return "the header of the response runs into the status line of another one"
	}
	return fmt.Sprintf("the field %s of the response runs into the status line of another one", e.Field)
}

// CheckHead returns an *Error if the bytes of a header, with or without those that follow it, hold the
// status line of another response.
func CheckHead(head []byte) error {
	isFirst := true
	for line := range bytes.Lines(head) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 && !isFirst {
			return nil
		}
		if isFirst {
			line = line[min(versionBytes, len(line)):]
		}
		if bytes.Contains(line, []byte("HTTP/")) && endsWithStatusLine(string(line)) {
			name, _, isField := bytes.Cut(line, []byte(":"))
			if isFirst || !isField {
				name = nil
			}
			return &Error{Field: string(name)}
		}
		isFirst = false
	}
	return nil
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
	// Most lines do not hold the slash, and the expression costs more.
	return strings.Contains(text, "/") && statusLine.MatchString(text)
}
