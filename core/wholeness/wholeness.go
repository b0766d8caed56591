// Package wholeness decides whether the body of a response is whole, and all of one response. A caller may
// be told that its answer is complete only with the proof that a Body or another function of this package gives.
//
// An endpoint may break off a response and continue with another one on the same connection. A parser then takes what
// the first one lacks from the second. The framing of the body alone does not show that: a Body also searches for the
// beginning of another response within the bytes of the body as they arrive, framing included, and compares where
// that one would end with where the body ends, and with the bytes that follow it. Bodies may quote responses.
//
// # What counts as proof
//
// A body by length is spliced if a response that begins within it
//
//   - names the request of the body, or an earlier one on its connection, and ends with it or later, or breaks off;
//   - continues after the end of the body: the bytes that follow are no response of their own, and fit the header;
//   - ends within the body, or breaks off after its header, and what follows the body is no response: it is the rest of the
//     first one;
//
// or if a chunk within it continues in the bytes that follow, up to the size line of the next chunk.
//
// A body in chunks is spliced if
//
//   - a response that begins within it ends where the body ends. A quotation ends before that, unless it is that of
//     the header of a response in chunks, which takes the end of the body for its own, and has no data;
//   - a response that begins within it names the request and does not end before it;
//   - a response begins within a size line or the trailer;
//   - within the data of a chunk are chunks that end exactly where it ends.
//
// A body that ends with the connection is spliced if a response that begins within it names any request or has the mark
// and ends with the connection, too, or names the request and ends anywhere.
//
// # What cannot be detected
//
// These bodies get the proof though they are not whole:
//
//   - A part is missing or is there twice, and the framing continues in order.
//   - A part of another response without its status line, of exactly the size that a chunk lacks, or of any size in a body
//     by length, unless size lines show it as above.
//   - Another response that names another request or none, and of which the body by length takes exactly the whole; or
//     more than that, if what it leaves arrives late or may be the beginning of a status line.
//   - A response without data of which a chunk takes the header but for its last line end.
//   - A response that names no request within a body that ends with the connection, or one that ends before it does. The
//     end of such a body proves nothing itself.
//
// These bodies are refused though they are whole:
//
//   - A body by length that quotes a response, or ends within a status line or a header, if bytes follow it that
//     are no response. The quotation of a status line counts only if the rest of the line may be a reason and fields
//     follow it.
//   - A body that ends with a quotation that names its own request, or with any quotation that names one if the end of
//     the connection ends it as well.
//   - A body in chunks of which one ends in a line with the size of what follows it in the chunk, or one ends in the
//     header of a response in chunks but for the last line end, and more chunks follow.
//   - A trailer or an extension of a chunk that holds a status line.
//
// # Usage
//
//	body := wholeness.NewBody(wholeness.Settings{
//		Framing:   wholeness.Chunked,
//		RequestID: id,
//	})
//	body.Observe(raw) // as the bytes arrive, with their framing
//	...
//	if body.NeedsFollowing() {
//		// what follows the body, if anything, makes a difference; body.AwaitsFollowing reports whether to wait for it
//	}
//	proof, err := body.End(following)
//	if err != nil {
//		// the body is that of several responses
//	}
package wholeness

import "fmt"

// Whole proves that an answer is whole. Only this package makes one.
type Whole interface{ isWhole() }

// whole is the proof of a body that was checked, or of bytes that are the host's own.
type whole struct{}

func (whole) isWhole() {}

// Own returns the proof for an answer that the host has written itself, from the first byte to the last.
func Own() Whole { return whole{} }

// Framing is how the end of a body is marked.
type Framing int

// The framings.
const (
	// ByLength means that the header names the length.
	ByLength Framing = iota
	// Chunked means that the body is in chunks, of which the last one is empty.
	Chunked
	// ToEnd means that the body ends with the connection.
	ToEnd
)

// Settings configures a Body.
type Settings struct {
	Framing Framing
	// RequestID is the ID of the request, which the header of its response repeats in the field
	// RequestIDField, and MarkField the field that endpoints set in each response.
	RequestID      string
	RequestIDField string
	MarkField      string
	// IsSent reports whether a request with an ID was sent on the connection before, or is nil. Its response may come late.
	IsSent func(requestID string) bool
}

// mayBeAnswered reports whether a response with an ID may be one to the request, or to an earlier one on the connection.
func (s *Settings) mayBeAnswered(requestID string) bool {
	return requestID == s.RequestID || s.IsSent != nil && s.IsSent(requestID)
}

// SplicedError reports a body that consists of parts of several responses.
type SplicedError struct {
	// Offset is where the other response begins, in bytes from the beginning of the body with its framing.
	Offset int64
	// Reason is what shows that.
	Reason Reason
}

// Reason is what shows that a body is not that of one response.
type Reason string

// The reasons.
const (
	// ReasonEndsTogether means that another response ends where the body ends.
	ReasonEndsTogether Reason = "endsTogether"
	// ReasonNamesRequest means that a response to the request itself begins within the body and has not ended before its end, or
	// lies within a body that ends with the connection.
	ReasonNamesRequest Reason = "namesRequest"
	// ReasonRunsOn means that another response begins within the body and continues in the bytes that follow it.
	ReasonRunsOn Reason = "runsOn"
	// ReasonRestFollows means that another response ends within the body, and what follows the body is no response.
	ReasonRestFollows Reason = "restFollows"
	// ReasonInFraming means that another response begins within the size of a chunk or the trailer.
	ReasonInFraming Reason = "inFraming"
	// ReasonChunksWithin means that chunks within the data of a chunk end where that chunk ends.
	ReasonChunksWithin Reason = "chunksWithin"
	// ReasonChunksRunOn means that chunks within a body by length continue after its end.
	ReasonChunksRunOn Reason = "chunksRunOn"
	// ReasonHeadWithin means that a stream of events holds the header of a response with fields that events do not
	// have. It is a reason only for Spliced.
	ReasonHeadWithin Reason = "headWithin"
	// ReasonEventOfSeveral means that an event of a stream has lines of several responses. It is a reason only for
	// CheckEvent.
	ReasonEventOfSeveral Reason = "eventOfSeveral"
)

// Error returns a message with the offset and the reason.
func (e *SplicedError) Error() string {
	return fmt.Sprintf("the body holds a part of another response from byte %d (%s)", e.Offset, e.Reason)
}
