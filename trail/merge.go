package trail

import "time"

const (
	// mergeFor is how long the lines on one subject are merged after one was
	// written: long against the changes of an endpoint that comes and goes, short
	// for a reader who follows the log.
	mergeFor = time.Second
	// maxRepeated bounds the events that are followed; the lines on others are
	// written one by one.
	maxRepeated = 4096
)

// occasion is an event about one subject, such as an endpoint.
type occasion struct {
	event   string
	subject string
}

// repeated follows the lines on one occasion.
type repeated struct {
	// till is when the next line is written at once again.
	till time.Time
	// last is the newest line since the last that was written, or nil, and merged
	// the number of those before it that are left out.
	last   *Line
	merged int64
}

// Merge ends a line on a belief that may change often. The first line with its event
// and subject goes to the writer at once. Of those that follow within a second only
// the last is written at the end of that time, with the number of the others in
// "merged".
func (l *Line) Merge(subject string) {
	t := l.trail
	if l.importance == weights {
		l.End()
		return
	}
	now := t.timers.Now()
	about := occasion{
		event:   l.event,
		subject: subject,
	}
	t.mu.Lock()
	known, ok := t.repeats[about]
	if ok && now.Before(known.till) {
		if known.last != nil {
			known.merged++
			t.pool.Put(known.last)
		}
		known.last = l
		t.mu.Unlock()
		return
	}
	var before *Line
	switch {
	case ok:
		before = known.close()
		known.till = now.Add(mergeFor)
	case len(t.repeats) < maxRepeated:
		t.repeats[about] = &repeated{
			till: now.Add(mergeFor),
		}
	}
	t.mu.Unlock()
	if before != nil {
		before.End()
	}
	l.End()
}

// close returns the line that waits, with the number of those that it stands for,
// or nil.
func (r *repeated) close() *Line {
	last := r.last
	if last != nil && r.merged > 0 {
		last.Int("merged", r.merged)
	}
	r.last, r.merged = nil, 0
	return last
}

// endMerged hands the lines to the writer whose time of merging is over, or all of
// them.
func (t *Trail) endMerged(all bool) {
	now := t.timers.Now()
	var ended []*Line
	t.mu.Lock()
	for about, known := range t.repeats {
		if !all && now.Before(known.till) {
			continue
		}
		if last := known.close(); last != nil {
			ended = append(ended, last)
			known.till = now.Add(mergeFor)
			continue
		}
		delete(t.repeats, about)
	}
	t.mu.Unlock()
	for _, line := range ended {
		line.End()
	}
}
