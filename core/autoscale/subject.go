package autoscale

import "time"

const (
	// reflectMargin is the time beyond the boot time until an executed order is observed: the
	// delay of the store, and the time for which released endpoints still serve.
	reflectMargin = 4 * time.Second
	// minConflictBackoff and minReclaimBackoff are the first delays after a conflict and after a
	// reclaim. A reclaim of a zone means a lasting shortage there more often than a conflict.
	// maxBackoff bounds both.
	minConflictBackoff = 2 * time.Second
	minReclaimBackoff  = 10 * time.Second
	maxBackoff         = 2 * time.Minute
	// backoffMemory is the time without a shortage after which the next one counts as the first.
	backoffMemory = 5 * time.Minute
	// minRepeatDelay and maxRepeatDelay bound the time until an order with an unknown outcome is
	// repeated.
	minRepeatDelay = time.Second
	maxRepeatDelay = 8 * time.Second
	// maxProbeHalvings bounds the halvings of an order after conflicts.
	maxProbeHalvings = 8
)

// subject is the state of one subject's orders.
type subject struct {
	isSpot bool
	count  Count
	isSeen bool
	// isOrdered is set if an order may be in force, for desired endpoints. It was sent last at
	// sentAt; repeats counts how often in a row, and repeatAt is when it is due again, if its
	// outcome is unknown.
	isOrdered bool
	desired   int
	sentAt    time.Time
	repeats   int
	repeatAt  time.Time
	unknowns  int
	boot      time.Duration
	// retryAt is when more endpoints are ordered again after a shortage, backoff the delay until
	// then, and conflicts the number of orders in a row that were rejected.
	retryAt   time.Time
	backoff   time.Duration
	shortAt   time.Time
	conflicts int
	// shortages counts the shortages, and shortCause is the cause of the last one.
	shortages  int
	shortCause ShortCause
}

// ShortCause is why no more endpoints are ordered for some time.
type ShortCause string

// The causes.
const (
	// ShortReclaimed is that the platform has reclaimed spot endpoints.
	ShortReclaimed ShortCause = "reclaimed"
	// ShortConflict is that an order was rejected.
	ShortConflict ShortCause = "conflict"
	// ShortNotObserved is that an accepted order and its repetition have not led to endpoints.
	ShortNotObserved ShortCause = "notObserved"
)

// observe takes the number of endpoints.
func (s *subject) observe(now time.Time, count Count, boot time.Duration) {
	before, expected, wasSeen := s.count, s.committed(), s.isSeen
	s.count = count
	s.isSeen = true
	s.boot = boot
	if s.isSpot && count.Leaving > before.Leaving && (!wasSeen || count.Present < expected) {
		s.isOrdered = false
		s.markShort(now, ShortReclaimed, minReclaimBackoff)
		return
	}
	if !s.isOrdered || count.Present == s.desired {
		s.repeats = 0
		return
	}
	if now.Sub(s.sentAt) <= s.reflectTime() || count.Present > s.desired || s.repeats == 0 {
		return
	}
	// The order was repeated, and there are still too few.
	s.isOrdered = false
	s.repeats = 0
	s.markShort(now, ShortNotObserved, minConflictBackoff)
}

// committed returns the number that was ordered, or else observed.
func (s *subject) committed() int {
	if s.isOrdered {
		return s.desired
	}
	return s.count.Present
}

// isShort reports whether no more endpoints are available at the moment.
func (s *subject) isShort(now time.Time) bool { return now.Before(s.retryAt) }

// reflectTime returns the time after which an executed order is observed.
func (s *subject) reflectTime() time.Duration {
	// Orders that were repeated in vain are repeated less often.
	return (s.boot + reflectMargin) << min(s.repeats, 3)
}

// isRepeatDue reports whether the last order is to be sent again.
func (s *subject) isRepeatDue(now time.Time) bool {
	if !s.isOrdered {
		return false
	}
	if !s.repeatAt.IsZero() {
		return !now.Before(s.repeatAt)
	}
	return s.count.Present != s.desired && now.Sub(s.sentAt) > s.reflectTime()
}

// probe returns the number to order in place of a wanted one: after conflicts, part of it may be
// available.
func (s *subject) probe(before, desired int) int {
	return before + max((desired-before)>>min(s.conflicts, maxProbeHalvings), 1)
}

func (s *subject) markShort(now time.Time, cause ShortCause, first time.Duration) {
	s.shortages++
	s.shortCause = cause
	if s.backoff == 0 || now.Sub(s.shortAt) > backoffMemory {
		s.backoff = first
	} else {
		s.backoff = min(max(2*s.backoff, first), maxBackoff)
	}
	s.shortAt = now
	s.retryAt = now.Add(s.backoff)
}

// record takes the outcome of an order.
func (s *subject) record(now time.Time, order Order, outcome Outcome) {
	if order.Reason == ReasonRepeat && s.repeatAt.IsZero() {
		s.repeats++
	} else if order.Reason != ReasonRepeat {
		s.repeats = 0
	}
	switch outcome {
	case Accepted:
		s.conflicts, s.unknowns = 0, 0
		s.repeatAt = time.Time{}
		s.set(now, order.Desired)
	case Conflicted:
		s.conflicts++
		s.repeatAt = time.Time{}
		s.isOrdered = false
		s.markShort(now, ShortConflict, minConflictBackoff)
	case Limited:
	case Unknown:
		s.set(now, order.Desired)
		s.repeatAt = now.Add(min(minRepeatDelay<<min(s.unknowns, 8), maxRepeatDelay))
		s.unknowns++
	}
}

func (s *subject) set(now time.Time, desired int) {
	s.isOrdered = true
	s.desired = desired
	s.sentAt = now
}
