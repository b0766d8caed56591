package claim

import "time"

// outbox holds the records that this host has yet to write. A record is removed
// when the log confirms its append or when it is read back from the stream.
type outbox struct {
	items []*outboxRecord
	byID  map[string]*outboxRecord
	// inFlight is the number of leading items in the append in flight.
	inFlight int
	// awaitingRead is true from an append with an unknown result until a later
	// read has reached the end of the stream. Nothing is appended meanwhile.
	awaitingRead bool
	// unknownResultAt is the time at which the latest append with an unknown result
	// ended.
	unknownResultAt time.Time
	// firstAddedAt is the time at which a record was added to the empty outbox.
	firstAddedAt time.Time
	nextAppendAt time.Time
	// baseInterval is the interval between appends at this host's share of the
	// append rate.
	baseInterval time.Duration
	// appendInterval is the current interval. It is doubled after a refusal, up to
	// MaxAppendInterval, and reduced by 1/8 after a success, down to baseInterval.
	appendInterval time.Duration
	settings       Settings
}

type outboxRecord struct {
	id   string
	data []byte
	// maybeAppended is true if the record is in the append in flight or was in
	// one whose result is not known.
	maybeAppended bool
	resultUnknown bool
	removed       bool
}

func newOutbox(settings Settings) *outbox {
	o := &outbox{
		byID:     make(map[string]*outboxRecord),
		settings: settings,
	}
	o.setHostCount(1)
	return o
}

// setHostCount divides the append rate evenly among the hosts.
func (o *outbox) setHostCount(hosts int) {
	seconds := float64(max(hosts, 1)) / o.settings.AppendsPerSecond
	o.baseInterval = time.Duration(seconds * float64(time.Second))
	o.appendInterval = max(o.appendInterval, o.baseInterval)
}

func (o *outbox) add(now time.Time, id string, data []byte) {
	if len(o.byID) == 0 {
		o.firstAddedAt = now
	}
	item := &outboxRecord{
		id:   id,
		data: data,
	}
	o.items = append(o.items, item)
	o.byID[id] = item
}

// remove removes a record. It reports whether the record is certainly not in the
// log and not in an append in flight. For an unknown id it reports false.
func (o *outbox) remove(id string) (neverAppended bool) {
	item, ok := o.byID[id]
	if !ok {
		return false
	}
	item.removed = true
	item.data = nil
	delete(o.byID, id)
	return !item.maybeAppended
}

func (o *outbox) has(id string) bool {
	_, ok := o.byID[id]
	return ok
}

func (o *outbox) len() int { return len(o.byID) }

// dueAt returns the time at which the next append is due. It reports false if
// there is nothing to append or the result of the previous append is awaited.
func (o *outbox) dueAt() (time.Time, bool) {
	if o.inFlight > 0 || o.awaitingRead || len(o.byID) == 0 {
		return time.Time{}, false
	}
	due := o.firstAddedAt.Add(o.settings.BatchDelay)
	if o.nextAppendAt.After(due) {
		due = o.nextAppendAt
	}
	return due, true
}

// takeBatch returns the records to append now, or nil if no append is due.
func (o *outbox) takeBatch(now time.Time) [][]byte {
	due, ok := o.dueAt()
	if !ok || due.After(now) {
		return nil
	}
	o.compact()
	var records [][]byte
	for _, item := range o.items[:min(len(o.items), o.settings.MaxBatchRecords)] {
		item.maybeAppended = true
		records = append(records, item.data)
	}
	o.inFlight = len(records)
	o.nextAppendAt = now.Add(o.appendInterval)
	return records
}

func (o *outbox) handleSuccess() {
	for _, item := range o.items[:o.inFlight] {
		o.remove(item.id)
	}
	o.inFlight = 0
	o.appendInterval = max(o.baseInterval, o.appendInterval-o.appendInterval/8)
	o.compact()
}

func (o *outbox) handleRefusal(now time.Time, retryAfter time.Duration) {
	for _, item := range o.items[:o.inFlight] {
		item.maybeAppended = item.resultUnknown
	}
	o.inFlight = 0
	o.appendInterval = min(2*o.appendInterval, max(o.settings.MaxAppendInterval, o.baseInterval))
	o.nextAppendAt = now.Add(max(retryAfter, o.appendInterval))
	o.compact()
}

func (o *outbox) handleUnknownResult(now time.Time) {
	for _, item := range o.items[:o.inFlight] {
		item.resultUnknown = true
	}
	o.inFlight = 0
	o.awaitingRead = true
	o.unknownResultAt = now
	o.compact()
}

// handleCaughtUp is called when a read that started at readStartedAt has
// reached the end of the stream. Records whose append had an unknown result and
// that were not read back by then are appended again.
func (o *outbox) handleCaughtUp(readStartedAt time.Time) {
	if o.awaitingRead && !readStartedAt.Before(o.unknownResultAt) {
		o.awaitingRead = false
	}
}

func (o *outbox) compact() {
	kept := o.items[:0]
	for _, item := range o.items {
		if !item.removed {
			kept = append(kept, item)
		}
	}
	clear(o.items[len(kept):])
	o.items = kept
}
