package worker

import "time"

// Faults are the faults of a worker. A share is the part of the requests that is affected,
// from 0 to 1. The zero value has no faults.
type Faults struct {
	// Declines is the share of requests that are declined although there is room.
	Declines float64
	// RepeatedRefusals is the share of refusals that are sent once more, before the answer
	// to the next request on the connection.
	RepeatedRefusals float64
	// RefusalsWithOtherStatus is the share of refusals whose status is 429, 408 or 400 in place of 503.
	RefusalsWithOtherStatus float64
	// MisplacedRefusals is the share of the requests that run before whose answer the endpoint sends
	// an earlier refusal, whichever connection that was sent to: of the same request if there is one.
	MisplacedRefusals float64
	// NamelessRefusals is the share of the requests that run before whose answer a refusal without a
	// request ID is sent.
	NamelessRefusals float64
	// SplicedRefusals is the share of the requests that run before whose answer the beginning of the
	// header of a refusal is sent.
	SplicedRefusals float64
	// ForeignRefusals is the share of the requests that run before whose answer a refusal of another
	// request is sent.
	ForeignRefusals float64
	// ExtraAnswers is the share of answers that are followed by another one to the same
	// request, after ExtraAnswerDelay.
	ExtraAnswers     float64
	ExtraAnswerDelay time.Duration
	// LostAnswers is the share of requests that are run and then get no answer: the
	// connection ends.
	LostAnswers float64
	// ResetAnswers is the same, but the connection is reset.
	ResetAnswers float64
	// CutAnswers is the share of answers that end in the middle.
	CutAnswers float64
	// OddAnswers is the share of plain requests that are run and then get bytes that are no answer, an
	// interim response alone, a failure, silence, an answer with a refusal behind it, or nothing.
	OddAnswers float64
	// Closes is the share of answers after which the connection is closed without notice.
	Closes float64
	// EarlyAnswers is the share of requests that are answered before their body was read.
	EarlyAnswers float64
	// ChunkedAnswers is the share of plain answers that are sent in chunks.
	ChunkedAnswers float64
	// The shares of answers that are sent in parts: LateAnswers are sent once more when the next answer on the
	// connection pauses within its body, PausedAnswers pause, TornAnswers stop within the body and go on
	// with another answer, and CutBodies end there with the connection, in order or with a reset. In streams,
	// one event is affected.
	LateAnswers   float64
	PausedAnswers float64
	TornAnswers   float64
	CutBodies     float64
	// EndlessEvents is the share of streams that have an event without an end.
	EndlessEvents float64
	// ForeignPieces is the share of streams that stop within an event, go on with the end of another answer's event, and end with
	// their connection, in order or with a reset.
	ForeignPieces float64
	// ForeignEvents is the share of streams that go on with events of another answer, and end with their connection.
	ForeignEvents float64
	// Preemptions is the share of streams that pause before an event for up to the time that callers wait, once: not
	// after they were resumed.
	Preemptions float64
	// EarlyCuts is the share of the early answers to long requests that are cut by a reset, or by a close that leaves the
	// request unread.
	EarlyCuts float64
	// BadHeads is the share of plain answers with an invalid head, or after one.
	BadHeads float64
}
