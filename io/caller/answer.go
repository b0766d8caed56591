package caller

import (
	"context"
	"sync"

	"cactuswell/core/dispatch"
	"cactuswell/ring"
)

// answerCapacity bounds the parts that are buffered for a slow caller.
const answerCapacity = 8192

// Part is one piece of an answer. This file declares all implementations.
type Part interface {
	isPart()
}

// TextPart is text to append to a model's answer.
type TextPart struct {
	Text string
}

// EndPart ends a complete answer of a model.
type EndPart struct {
	FinishReason string
	// Tokens is the length of the answer in tokens.
	Tokens int
}

// BodyPart is the complete answer of a plain service and ends it.
type BodyPart struct {
	ContentType string
	Body        []byte
	// Replayed is set if this is the recorded answer to an earlier call with the
	// same key.
	Replayed bool
}

// ProblemPart ends an incomplete answer.
type ProblemPart struct {
	Problem Problem
}

func (TextPart) isPart()    {}
func (EndPart) isPart()     {}
func (BodyPart) isPart()    {}
func (ProblemPart) isPart() {}

// Answer passes the parts of one answer from the attempt that produces them to the
// caller. Several goroutines may write it concurrently; only one may read it.
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

// Push adds a part. It returns false if the buffer is full because the caller reads
// too slowly. After the end of the answer it drops the part and returns true.
func (a *Answer) Push(part Part) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.end != nil || a.parts.TryPush(part)
}

// End adds the last part of an answer. It never fails for lack of room. Only the
// first call has an effect.
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

// Next waits for the next part. It fails only with the error of ctx.
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

// TryNext returns the next part, if there is one. After the buffered parts, every
// call returns the last part of an ended answer.
func (a *Answer) TryNext() (Part, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if part, ok := a.parts.Pop(); ok {
		return part, true
	}
	return a.end, a.end != nil
}

// refusalTexts holds the message to the caller for each reason of a refusal.
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
