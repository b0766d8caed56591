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
	// expected is the predicted time from the start to the moment that the
	// request's target bounds; firstToken to the first token.
	expected   time.Duration
	firstToken time.Duration
	// progressAt is the time of the start, the last progress or the last
	// resume.
	progressAt time.Time
	tokens     int
	// resumes counts all resumes; unanswered those since the last progress.
	resumes    int
	unanswered int
	hedge      bool
	// lookAt puts off the next look at a silent attempt, unless it is zero.
	lookAt time.Time
	// gaveUp marks a silent attempt of which nothing more can be tried.
	gaveUp bool

	// previous and next link the attempts that may be preempted.
	previous *attempt
	next     *attempt
	listed   bool
}

// attemptList holds the running attempts of one tier that may be preempted, in
// the order of their start.
type attemptList struct {
	last   *attempt
	length int
}

func (l *attemptList) push(a *attempt) {
	a.listed = true
	a.previous = l.last
	if l.last != nil {
		l.last.next = a
	}
	l.last = a
	l.length++
}

func (l *attemptList) remove(a *attempt) {
	if !a.listed {
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
	a.previous, a.next, a.listed = nil, nil, false
	l.length--
}

// expectedDelay returns the predicted time to the moment that the request's
// target bounds.
func expectedDelay(measure profile.Measure, choice routing.Choice) time.Duration {
	if measure == profile.MeasureFirstToken {
		return choice.TimeToFirstToken
	}
	return choice.TimeToCompletion
}
