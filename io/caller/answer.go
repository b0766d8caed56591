package caller

import (
	"context"
	"sync"

	"cactuswell/core/dispatch"
	"cactuswell/ring"
)

// answerCapacity bounds the parts that wait for a slow caller.
const answerCapacity = 8192

// Part is a piece of an answer. The types of this file are all there are.
type Part interface {
	isPart()
}

// TextPart adds text to a model's answer.
type TextPart struct {
	Text string
}

// EndPart says that a model's answer is whole.
type EndPart struct {
	FinishReason string
	// Tokens is the length of the answer.
	Tokens int
}

// BodyPart is a plain service's whole answer.
type BodyPart struct {
	ContentType string
	Body        []byte
	// Replayed marks the recorded answer to an earlier call with the same key.
	Replayed bool
}

// ProblemPart ends an answer that is not whole.
type ProblemPart struct {
	Problem Problem
}

func (TextPart) isPart()    {}
func (EndPart) isPart()     {}
func (BodyPart) isPart()    {}
func (ProblemPart) isPart() {}

// Answer carries the parts of one answer from the attempt that produces them to
// the caller. Any goroutine may push; one takes.
type Answer struct {
	parts  *ring.Ring[Part]
	signal ring.Signal

	mu  sync.Mutex
	end Part
}

// NewAnswer returns an empty answer.
func NewAnswer() *Answer {
	signal := ring.NewSignal()
	return &Answer{
		parts:  ring.NewWithSignal[Part](answerCapacity, signal),
		signal: signal,
	}
}

// Push adds a part and reports whether there was room. There is none when the
// caller is far too slow. A part that comes after the end is dropped.
func (a *Answer) Push(part Part) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil || a.parts.TryPush(part)
}

// End adds the last part of an answer, for which there is always room. An answer
// has one end: the first.
func (a *Answer) End(part Part) {
	a.mu.Lock()
	if a.end == nil {
		a.end = part
	}
	a.mu.Unlock()
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// Next waits for the next part. It fails only with the context's error.
func (a *Answer) Next(ctx context.Context) (Part, error) {
	for {
		if part, ok := a.TryNext(); ok {
			return part, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-a.signal:
		}
	}
}

// TryNext returns the next part if there is one. After the others it is the end,
// each time.
func (a *Answer) TryNext() (Part, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, ok := a.parts.Pop(); ok {
		return part, true
	}
	return a.end, a.end != nil
}

// refusalTexts says what each refusal means to a caller.
var refusalTexts = map[dispatch.RefuseReason]string{
	dispatch.RefuseQueueFull:         "the queue is full of work that goes before this request",
	dispatch.RefuseWaitLimit:         "the request waited as long as its profile allows",
	dispatch.RefuseCannotMeetLimit:   "the request could not be started within its wait limit",
	dispatch.RefuseNoEndpoint:        "no endpoint of the pool takes work",
	dispatch.RefuseHostStopping:      "this host is stopping",
	dispatch.RefuseAttemptsExhausted: "every allowed attempt failed",
	dispatch.RefuseOutcomeUnknown:    "the call was sent and its outcome is unknown",
	dispatch.RefuseEndpointError:     "the endpoint rejected the request",
	dispatch.RefuseTimedOut:          "the answer took longer than the host waits",
	dispatch.RefuseStreamTruncated:   "the answer was cut short",
	dispatch.RefuseDutyRestarted:     "a part of this host failed and was restarted",
	dispatch.RefuseTeamQueueFull:     "the team has too many requests waiting",
}
