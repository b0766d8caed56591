package trail

import "time"

const (
	// mergeInterval is how long lines with one key are merged after one was
	// written: long compared with the state changes of a flapping endpoint, short
	// for a reader who follows the log.
	mergeInterval = time.Second
	// maxMergeKeys bounds the number of keys that are tracked; lines with other
	// keys are not merged.
	maxMergeKeys = 4096
)

// mergeKey identifies lines that are merged: an event and its subject, such as an
// endpoint.
type mergeKey struct {
	event   string
	subject string
}

// mergeState tracks the lines with one mergeKey.
type mergeState struct {
	// until is when lines are written immediately again.
	until time.Time
	// pending is the newest line that is not written yet, or nil, and merged the
	// number of earlier lines that it replaces.
	pending *Line
	merged  int64
}

// Merge ends a line about a state that may change often. The first line with a
// given event and subject is written immediately. Of the lines that follow within
// mergeInterval, only the last is written, at the end of the interval and with the
// number of the others in the field "merged".
func (l *Line) Merge(subject string) {
	t := l.trail
	if l.importance == importanceCount {
		l.End()
		return
	}
	now := t.timers.Now()
	key := mergeKey{
		event:   l.event,
		subject: subject,
	}
	t.mu.Lock()
	state, ok := t.merges[key]
	if ok && now.Before(state.until) {
		if state.pending != nil {
			state.merged++
			t.pool.Put(state.pending)
		}
		state.pending = l
		t.mu.Unlock()
		return
	}
	var previous *Line
	switch {
	case ok:
		previous = state.takePending()
		state.until = now.Add(mergeInterval)
	case len(t.merges) < maxMergeKeys:
		t.merges[key] = &mergeState{
			until: now.Add(mergeInterval),
		}
	}
	t.mu.Unlock()
	if previous != nil {
		previous.End()
	}
	l.End()
}

// takePending removes and returns the pending line, with the number of lines that
// it replaces added, or nil.
func (r *mergeState) takePending() *Line {
	pending := r.pending
	if pending != nil && r.merged > 0 {
		pending.Int("merged", r.merged)
	}
	r.pending, r.merged = nil, 0
	return pending
}

// endPendingMerges writes the pending lines whose interval is over, or all of
// them.
func (t *Trail) endPendingMerges(all bool) {
	now := t.timers.Now()
	var due []*Line
	t.mu.Lock()
	for key, state := range t.merges {
		if !all && now.Before(state.until) {
			continue
		}
		if pending := state.takePending(); pending != nil {
			due = append(due, pending)
			state.until = now.Add(mergeInterval)
			continue
		}
		delete(t.merges, key)
	}
	t.mu.Unlock()
	for _, line := range due {
		line.End()
	}
}
