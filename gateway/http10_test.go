package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	standin "cactuswell/standin/opaque"
)

// TestBrokenAnswerOverHTTP10 guards against a part of an answer that a caller takes for the whole. Over
// HTTP/1.0 an answer without a length ends with its connection, and a host that broke off the answer
// closed the connection in order.
func TestBrokenAnswerOverHTTP10(t *testing.T) {
	for name, test := range map[string]struct {
		behaviour standin.Behaviour
		isWhole   bool
	}{
		"whole":  {behaviour: standin.CompleteAnswer{}, isWhole: true},
		"broken": {behaviour: standin.TruncatedAnswer{Bytes: len(standin.StreamEvent(0)) + 10}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.setBehaviour(func(*http.Request) standin.Behaviour { return test.behaviour })
			_, reader := f.dialAndSend("POST /draft/stream HTTP/1.0\r\nHost: firm.example\r\nX-Request-Id: old\r\n" +
				"Authorization: Bearer secret\r\nCactuswell-Tokens: 100,50\r\nContent-Length: 1\r\n\r\nx")
			got, err := io.ReadAll(reader)
			if isWhole := err == nil; isWhole != test.isWhole {
				t.Errorf("the answer ended with %v after %q", err, got)
			}
			if test.isWhole && !strings.HasSuffix(string(got), completeStream()) {
				t.Errorf("the caller got %q", got)
			}
		})
	}
}
