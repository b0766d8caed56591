package dispatch

import (
	"time"

	"cactuswell/core/profile"
	"cactuswell/core/routing"
)

// attempt is a running attempt at a request.
type attempt struct {
	id      AttemptID
	request *request
	work    routing.Attempt
	// expectedDelay is the predicted time from the start to the event that the
	// latency target measures: the first token or the completion.
	// expectedFirstToken is the predicted time to the first token.
	expectedDelay      time.Duration
	expectedFirstToken time.Duration
	// progressAt is the time of the start, the last progress or the last resume,
	// whichever is latest.
	progressAt time.Time
	tokens     int
	// resumes counts all resumes; unansweredResumes counts those since the last
	// progress.
	resumes           int
	unansweredResumes int
	isHedge           bool
	// nextStallCheck is the earliest time of the next stall check, or zero.
	nextStallCheck time.Time
	// ignoreStall marks a stalled attempt that can be neither resumed nor
	// restarted.
	ignoreStall bool

	// previous, next and inList belong to the attemptList.
	previous *attempt
	next     *attempt
	inList   bool
}

// attemptList is a linked list of the running attempts of one tier that may be
// preempted, in start order.
type attemptList struct {
	last   *attempt
	length int
}

func (l *attemptList) push(a *attempt) {
	a.inList = true
	a.previous = l.last
	if l.last != nil {
		l.last.next = a
	}
	l.last = a
	l.length++
}

func (l *attemptList) remove(a *attempt) {
	if !a.inList {
		return
	}
	if a.previous != nil {
		a.previous.next = a.next
	}
	if a.next != nil {
		a.next.previous = a.previous
	} else {
		l.last = a.previous
	}
	a.previous, a.next, a.inList = nil, nil, false
	l.length--
}

// expectedDelay returns the predicted time to the event that the latency target
// measures.
func expectedDelay(measure profile.Measure, choice routing.Choice) time.Duration {
	if measure == profile.MeasureFirstToken {
		return choice.TimeToFirstToken
	}
	return choice.TimeToCompletion
}
