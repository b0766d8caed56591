package admission

// lateList is a linked list of a team's entries that can no longer meet their
// target, in the order in which they were found late. The newest is served
// first, because it misses its target by the least; the oldest is evicted first.
type lateList struct {
	oldest *Entry
	newest *Entry
	length int
}

func (l *lateList) add(entry *Entry) {
	entry.older = l.newest
	if l.newest != nil {
		l.newest.newer = entry
	} else {
		l.oldest = entry
	}
	l.newest = entry
	l.length++
}

func (l *lateList) remove(entry *Entry) {
	if entry.older != nil {
		entry.older.newer = entry.newer
	} else {
		l.oldest = entry.newer
	}
	if entry.newer != nil {
		entry.newer.older = entry.older
	} else {
		l.newest = entry.older
	}
	entry.older, entry.newer = nil, nil
	l.length--
}
