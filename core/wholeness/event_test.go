package wholeness_test

import (
	"testing"

	"cactuswell/core/wholeness"
)

// TestEventOfTwoResponsesIsFound guards against an event that ends with lines of another response, and against sound events
// that are taken for one.
func TestEventOfTwoResponsesIsFound(t *testing.T) {
	for name, test := range map[string]struct {
		event     string
		isSpliced bool
	}{
		"usual":                       {event: "id: 1\ndata: a\n\n"},
		"in CRLF":                     {event: "id: 1\r\ndata: a\r\n\r\n"},
		"comment":                     {event: ": wait\n\n"},
		"blank":                       {event: "\n"},
		"field of its own, first":     {event: "x-version: 3\nid: 1\ndata: a\n\n"},
		"the same in CRLF":            {event: "x-version: 3\r\nid: 1\r\ndata: a\r\n\r\n"},
		"quotes a header":             {event: "id: 1\ndata: HTTP/1.1 200 OK\r\ndata: Server: x\r\ndata:\r\n\n"},
		"line without a name":         {event: "data: a\nb c d\n\n"},
		"two IDs":                     {event: "id: 1\nid: 2\ndata: a\n\n", isSpliced: true},
		"rest of a header":            {event: "id: 1\ndata: aServer: x\r\nContent-Length: 5\r\n\r\n", isSpliced: true},
		"rest of a line":              {event: "id: 1\ndata: a5\r\n\r\n", isSpliced: true},
		"status line alone":           {event: "id: 1\ndata: aHTTP/1.1 200 OK\r\n\r\n", isSpliced: true},
		"header and nothing else":     {event: "Content-Length: 5\r\n\r\n", isSpliced: true},
		"rest of a header, then more": {event: "id: 1\ndata: a\r\nServer: x\r\n\r\n", isSpliced: true},
	} {
		t.Run(name, func(t *testing.T) {
			err := wholeness.CheckEvent([]byte(test.event))
			if test.isSpliced {
				isRefused(t, err, wholeness.ReasonEventOfSeveral)
			} else if err != nil {
				t.Error(err)
			}
		})
	}
}

// TestDoubtfulEndOfData guards against a stream that goes on after an event that another response has ended, and against one
// that is broken off after an event that was whole.
func TestDoubtfulEndOfData(t *testing.T) {
	const event = "data: x\n\n"
	for name, test := range map[string]struct {
		raw  string
		end  int64
		want bool
	}{
		"in order":                            {raw: "9\r\n" + event + "\r\n9\r\n" + event, end: 9},
		"damaged size after a chunk":          {raw: "9\r\n" + event + "\r\nHT", end: 9},
		"bytes where the chunk should end":    {raw: "12\r\n" + event + event + "Content", end: 18, want: true},
		"chunk without its line break":        {raw: "12\r\n" + event + event, end: 18, want: true},
		"chunk that is cut off":               {raw: "14\r\n" + event + event, end: 18, want: true},
		"chunk that is cut off later":         {raw: "9\r\n" + event + "\r\n9\r\ndata", end: 9},
		"event in the chunk before":           {raw: "9\r\n" + event + "\r\n9\r\ndata: \r\n\rmore", end: 9},
		"event within the damaged chunk":      {raw: "14\r\ndata: x\r\n\r\ndata: 45more", end: 11, want: true},
		"event before a status line":          {raw: "20\r\n" + event + "data: aHTTP/1.1 200 OK\r\nmore", end: 9},
		"event before a part of a status":     {raw: "14\r\n" + event + "data: HTTP/1.1 2", end: 9},
		"event behind a status line":          {raw: "24\r\n" + event + "HTTP/1.1 200 OK\r\n\r\ndata: amore", end: 28, want: true},
		"chunk in order, then a damaged size": {raw: "12\r\n" + event + event + "\r\nzz", end: 18},
	} {
		t.Run(name, func(t *testing.T) {
			body := wholeness.NewBody(settingsOf(wholeness.Chunked))
			body.Observe([]byte(test.raw))
			if got := body.IsDoubtful(test.end); got != test.want {
				t.Errorf("doubtful: %v, want %v", got, test.want)
			}
		})
	}
}
