package placement

import "time"

// reservation is how long a waiting urgent load holds back other loads.
const reservation = 10 * time.Second

// Store is what is known of the weight store.
type Store struct {
	// Available reports whether the store answered.
	Available      bool
	BytesPerSecond int64
}

// Loads shares the weight store's rate: a load may start once the store can
// have finished all earlier ones. It is a token bucket whose size is one load.
type Loads struct {
	readyAt     time.Time
	urgentUntil time.Time
}

// NewLoads returns the share of a holder that does not know what its
// predecessor started: one load of the given size counts as started at now.
func NewLoads(now time.Time, bytes, bytesPerSecond int64) *Loads {
	l := &Loads{
		readyAt: now,
	}
	l.Started(now, bytes, bytesPerSecond)
	return l
}

// MayStart reports whether a load may start now. An urgent one that may not
// holds back those that are not.
func (l *Loads) MayStart(now time.Time, urgent bool) bool {
	if now.Before(l.readyAt) {
		if urgent {
			l.urgentUntil = l.readyAt.Add(reservation)
		}
		return false
	}
	return urgent || !now.Before(l.urgentUntil)
}

// ReadyAt returns the time from which the store has finished all loads.
func (l *Loads) ReadyAt() time.Time { return l.readyAt }

// Started notes a load. Its size is in bytes.
func (l *Loads) Started(now time.Time, bytes, bytesPerSecond int64) {
	if l.readyAt.Before(now) {
		l.readyAt = now
	}
	if bytesPerSecond <= 0 || bytes <= 0 {
		return
	}
	seconds := float64(bytes) / float64(bytesPerSecond)
	l.readyAt = l.readyAt.Add(time.Duration(seconds * float64(time.Second)))
	l.urgentUntil = time.Time{}
}
