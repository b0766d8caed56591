package upstream

import (
	"fmt"
	"net/http"
	"regexp"
	"strings"
)

// statusLine matches a value that ends with a status line.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}( [ -~]*)?$`)

// SplicedResponseError reports a response of which the header was torn and runs into that of the next
// one. The status and some fields are of the one, the others of the other.
type SplicedResponseError struct {
	// Field is the field in which the second header begins, or empty for the status line.
	Field string
}

// Error returns a message with the field.
func (e *SplicedResponseError) Error() string {
	if e.Field == "" {
		return "the status line of the response runs into that of another one"
	}
	return fmt.Sprintf("the field %s of the response runs into the status line of another one", e.Field)
}

// checkSplice returns a *SplicedResponseError if the header of a response holds the status line of
// another one. A header that ends between two lines or in a name cannot be parsed at all.
func checkSplice(response *http.Response) error {
	if endsWithStatusLine(response.Status) {
		return &SplicedResponseError{}
	}
	for name, values := range response.Header {
		for _, value := range values {
			if endsWithStatusLine(value) {
				return &SplicedResponseError{Field: name}
			}
		}
	}
	return nil
}

func endsWithStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}
