package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"

	"cactuswell/standin/worker"
)

const (
	// largeShare and unframedShare are the shares of the plain requests for a large answer, and for one that ends
	// with its connection.
	largeShare    = 0.15
	unframedShare = 0.1
	// earlyShare is the share of the plain requests that endpoints answer early, of callers that send long ones.
	earlyShare = 0.3
	// excerptBytes is how much of a body the journal holds around the byte at which it differs.
	excerptBytes = 200
)

// doubt is what a caller finds in a whole answer that is not one endpoint's whole body.
type doubt struct {
	detail string
	// isCutShort is set if the answer ends with the connection to the endpoint and is the beginning of
	// the endpoint's body: nothing on the wire shows that it is not whole.
	isCutShort bool
	// isBrokenUp is set if the answer did not end as a whole one.
	isBrokenUp bool
}

// drawPath draws the path of a request, which determines what answer the endpoint sends.
func (c *caller) drawPath(kind operationKind, request string) string {
	path := kind.path + request
	if kind.isStream {
		return path + "/stream"
	}
	if c.sendsLong && c.random.Float64() < earlyShare {
		return path + worker.EarlySuffix
	}
	if !c.variesAnswers {
		return path
	}
	switch drawn := c.random.Float64(); {
	case drawn < largeShare:
		return path + worker.LargeSuffix
	case drawn < largeShare+unframedShare:
		return path + worker.UnframedSuffix
	}
	return path
}

// doubtOf compares the body of a whole answer with the one that the endpoint in the mark sends, and returns nil if
// they are the same.
func doubtOf(body []byte, mark, request, path string) *doubt {
	want := worker.Body(mark, request, strings.HasSuffix(path, worker.LargeSuffix))
	if bytes.Equal(body, want) {
		return nil
	}
	at := 0
	for at < len(body) && at < len(want) && body[at] == want[at] {
		at++
	}
	return &doubt{
		detail: fmt.Sprintf("%s: %d bytes, want %d of %s, different from byte %d: %q", path, len(body), len(want), mark, at,
			body[max(0, at-excerptBytes):min(len(body), at+excerptBytes)]),
		isCutShort: at == len(body) && strings.HasSuffix(path, worker.UnframedSuffix),
	}
}

// doubtOfHead returns what a caller finds if an answer has an invalid head, or comes after one, and nil otherwise.
func doubtOfHead(header http.Header) *doubt {
	form := header.Get(worker.BadHeadField)
	if form == "" {
		return nil
	}
	return &doubt{detail: "the head is invalid, or comes after an invalid one: form " + form}
}

// recordDoubt records that a whole answer is not one endpoint's, if that is so.
func (c *caller) recordDoubt(event Event, s *stream) {
	if s.doubt == nil {
		return
	}
	switch {
	case s.doubt.isCutShort:
		event.Kind = AnswerCutShort
	case s.doubt.isBrokenUp:
		event.Kind = EventMixed
	default:
		event.Kind = AnswerMixed
	}
	event.Detail = s.doubt.detail
	c.journal.Record(event)
}
