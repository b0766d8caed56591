package opaque_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"cactuswell/io/opaque"
)

// oneEvent is the body of a sound answer, which is a stream of one event, too.
const oneEvent = "id: 0\ndata: a\n\n"

// oneEventAnswer returns a sound answer to a request with additional fields.
func oneEventAnswer(request *http.Request, fields string) string {
	return answerHead(request, "200 OK", fmt.Sprintf("Content-Type: text/event-stream\r\nContent-Length: %d\r\n%s", len(oneEvent), fields)) + oneEvent
}

// headCase is what an endpoint sends. In before and fields stand whole lines.
type headCase struct {
	// before is sent before a sound answer.
	before string
	// fields are added to the head of a sound answer.
	fields string
	// answer replaces the sound answer.
	answer func(request *http.Request) string
	// isSound is set if the caller must get the answer.
	isSound bool
}

func (c headCase) bytes(request *http.Request) string {
	if c.answer != nil {
		return c.answer(request)
	}
	return c.before + oneEventAnswer(request, c.fields)
}

// inChunks returns a sound answer in chunks with the lines of a trailer.
func inChunks(trailer string) func(*http.Request) string {
	return func(request *http.Request) string {
		head := answerHead(request, "200 OK", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
		return fmt.Sprintf("%s%x\r\n%s\r\n0\r\n%s\r\n", head, len(oneEvent), oneEvent, trailer)
	}
}

// withHead returns an answer with a status line and fields in place of those of a sound one.
func withHead(status, fields string) func(*http.Request) string {
	return func(request *http.Request) string { return answerHead(request, status, fields) + oneEvent }
}

var headCases = map[string]headCase{
	"sound":                          {isSound: true},
	"all marks that a name may hold": {fields: "!#$%&'*+-.^_`|~09azAZ: 1\r\n", isSound: true},
	"a folded value":                 {fields: "X-Odd: 1\r\n 2\r\n", isSound: true},
	"100 before":                     {before: "HTTP/1.1 100 Continue\r\n\r\n", isSound: true},
	"102 and 103 before":             {before: "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", isSound: true},
	"199 before":                     {before: "HTTP/1.1 199 Odd\r\n\r\n", isSound: true},
	"a trailer":                      {answer: inChunks("X-Odd: 1\r\n"), isSound: true},

	"000 before":                 {before: "HTTP/1.1 000 Odd\r\n\r\n"},
	"000 with a length before":   {before: "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n"},
	"099 before":                 {before: "HTTP/1.1 099 Odd\r\n\r\n"},
	"-00 before":                 {before: "HTTP/1.1 -00 Odd\r\n\r\n"},
	"+99 before":                 {before: "HTTP/1.1 +99 Odd\r\n\r\n"},
	"101 before":                 {before: "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"},
	"101 without fields before":  {before: "HTTP/1.1 101 Switching Protocols\r\n\r\n"},
	"100 and 000 before":         {before: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n"},
	"000 alone":                  {answer: withHead("000 Odd", "Content-Length: 15\r\n")},
	"000 without a length":       {answer: withHead("000 Odd", "")},
	"no digits":                  {answer: withHead("2OO OK", "Content-Length: 15\r\n")},
	"two digits":                 {answer: withHead("20 OK", "Content-Length: 15\r\n")},
	"four digits":                {answer: withHead("2000 OK", "Content-Length: 15\r\n")},
	"a sign":                     {answer: withHead("+20 OK", "Content-Length: 15\r\n")},
	"a blank in a name":          {fields: "X Odd: 1\r\n"},
	"a blank after a name":       {fields: "X-Odd : 1\r\n"},
	"a blank in an interim head": {before: "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n"},
	"a blank after interim name": {before: "HTTP/1.1 100 Continue\r\nX-Odd : 1\r\n\r\n"},
	"a blank in a trailer":       {answer: inChunks("X Odd: 1\r\n")},
	"a blank after trailer name": {answer: inChunks("X-Odd : 1\r\n")},
	"a blank after Content-Type": {fields: "Content-Type : text/plain\r\n"},
	"a second length":            {fields: "Content Length: 3\r\n"},
	"a length with a blank":      {answer: withHead("200 OK", "Content-Length : 5\r\n")},
	"a length after a tab":       {answer: withHead("200 OK", "Content-Length\t: 5\r\n")},
	"chunks with a blank":        {answer: withHead("200 OK", "Transfer-Encoding : chunked\r\n")},
	"a name on two lines":        {fields: "X-Odd\r\n : 1\r\n"},
	"a first line that continues": {answer: func(r *http.Request) string {
		return strings.Replace(oneEventAnswer(r, ""), "\r\n", "\r\n X-Odd: 1\r\n", 1)
	}},
	"no name":  {fields: ": 1\r\n"},
	"no colon": {fields: "X-Odd\r\n"},
}

// controlBytes are no part of a name. The parser refuses them in values, too, but for the tab.
func addControlCases(cases map[string]headCase) {
	for _, odd := range []byte{0, 1, 7, '\t', 11, '\r', 27, 31, 127, 128, 255, '(', '"', '/', '@', '[', '{'} {
		cases["byte "+strconv.Itoa(int(odd))+" in a name"] = headCase{fields: "X" + string([]byte{odd}) + "Odd: 1\r\n"}
	}
	for _, odd := range []byte{0, 7, '\r'} {
		cases["byte "+strconv.Itoa(int(odd))+" in a value"] = headCase{fields: "X-Odd: 1" + string([]byte{odd}) + "2\r\n"}
	}
}

// TestInvalidHeadIsNoAnswer guards against callers who get an answer with an invalid head: with a status below 100 or a protocol
// that nobody asked for, both skipped as interim, or with an invalid name of a field, passed on with that line or with a
// body of another length.
func TestInvalidHeadIsNoAnswer(t *testing.T) {
	addControlCases(headCases)
	for _, isTunnelled := range []bool{false, true} {
		for name, test := range headCases {
			t.Run(fmt.Sprintf("tunnelled %v/%s", isTunnelled, name), func(t *testing.T) {
				t.Parallel()
				endpoint := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
					return scriptedAnswer{bytes: test.bytes(request)}
				})
				address := startScripted(t, isTunnelled, endpoint.address, endpoint.address)
				for _, kind := range []string{"safe", "once", "stream"} {
					got := dialCaller(t, address, "1.1").get("head-"+kind, "/"+kind+"/x")
					isServed := got.status == http.StatusOK && got.isWhole
					if isServed != test.isSound || isServed && got.body != oneEvent {
						t.Errorf("%s: the caller got %+v", kind, got)
					}
					if !isServed && got.status != http.StatusBadGateway && (got.status != http.StatusOK || got.isWhole) {
						t.Errorf("%s: the caller got the status %d", kind, got.status)
					}
				}
			})
		}
	}
}

// TestRefusalWithInvalidHeadProvesNothing guards against a call that may have run and that is refused as not run, or sent once
// more, by the word of an invalid head.
func TestRefusalWithInvalidHeadProvesNothing(t *testing.T) {
	names := opaque.DefaultHeaderNames()
	for name, refusal := range map[string]struct {
		status, fields string
		isProof        bool
	}{
		"sound":              {status: "503 Service Unavailable", isProof: true},
		"full":               {status: "503 Service Unavailable", fields: "X Odd: 1\r\n"},
		"too many":           {status: "429 Too Many Requests", fields: "X-Odd : 1\r\n"},
		"misdirected":        {status: "421 Misdirected Request", fields: "X Odd: 1\r\n"},
		"after an odd head":  {status: "000 Odd\r\n\r\nHTTP/1.1 503 Service Unavailable"},
		"after 101":          {status: "101 Switching Protocols\r\n\r\nHTTP/1.1 503 Service Unavailable"},
		"in the status line": {status: "-03 Service Unavailable"},
	} {
		t.Run(name, func(t *testing.T) {
			endpoint := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
				head := "HTTP/1.1 " + refusal.status + "\r\n" + names.RequestID + ": " + request.Header.Get(names.RequestID) + "\r\n"
				return scriptedAnswer{bytes: head + names.NotRun + ": 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n" + refusal.fields + "\r\n"}
			})
			second := newScriptedEndpoint(t, func(request *http.Request) scriptedAnswer {
				return scriptedAnswer{bytes: oneEventAnswer(request, "")}
			})
			got := dialCaller(t, startScripted(t, false, endpoint.address, second.address), "1.1").get("refused", "/once/x")
			if refusal.isProof != (got.status == http.StatusOK) || !refusal.isProof && got.status != http.StatusBadGateway {
				t.Errorf("the caller got %+v", got)
			}
		})
	}
}
