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
	// Closes is the share of answers after which the connection is closed without notice.
	Closes float64
	// EarlyAnswers is the share of requests that are answered before their body was read.
	EarlyAnswers float64
}
