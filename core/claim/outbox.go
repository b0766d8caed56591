package claim

import "time"

// outbox holds the records that this host has still to write. A record leaves
// it when the log confirmed it or when it was read back from the stream.
type outbox struct {
	items     []*unwritten
	byID      map[string]*unwritten
	inFlight  int
	uncertain bool
	// uncertainAt is when the last append without a clear answer ended.
	uncertainAt time.Time
	firstAt     time.Time
	nextAt      time.Time
	base        time.Duration
	interval    time.Duration
	settings    Settings
}

type unwritten struct {
	id   string
	data []byte
	// appended marks a record that is in an append now, or was in one without a
	// clear answer.
	appended  bool
	uncertain bool
	gone      bool
}

func newOutbox(settings Settings) *outbox {
	o := &outbox{
		byID:     make(map[string]*unwritten),
		settings: settings,
	}
	o.setHosts(1)
	return o
}

// setHosts divides the rate of appends among the hosts.
func (o *outbox) setHosts(hosts int) {
	seconds := float64(max(hosts, 1)) / o.settings.AppendsPerSecond
	o.base = time.Duration(seconds * float64(time.Second))
	o.interval = max(o.interval, o.base)
}

func (o *outbox) add(now time.Time, id string, data []byte) {
	if len(o.byID) == 0 {
		o.firstAt = now
	}
	item := &unwritten{
		id:   id,
		data: data,
	}
	o.items = append(o.items, item)
	o.byID[id] = item
}

// remove takes a record out and reports whether it was certainly never sent.
func (o *outbox) remove(id string) (neverSent bool) {
	item, ok := o.byID[id]
	if !ok {
		return false
	}
	item.gone = true
	item.data = nil
	delete(o.byID, id)
	return !item.appended
}

func (o *outbox) has(id string) bool {
	_, ok := o.byID[id]
	return ok
}

func (o *outbox) len() int { return len(o.byID) }

// readyAt returns when the next append is due. It reports false if none is.
func (o *outbox) readyAt() (time.Time, bool) {
	if o.inFlight > 0 || o.uncertain || len(o.byID) == 0 {
		return time.Time{}, false
	}
	due := o.firstAt.Add(o.settings.BatchDelay)
	if o.nextAt.After(due) {
		due = o.nextAt
	}
	return due, true
}

// take returns the records of the append that is due, if one is.
func (o *outbox) take(now time.Time) [][]byte {
	due, ok := o.readyAt()
	if !ok || due.After(now) {
		return nil
	}
	o.compact()
	var records [][]byte
	for _, item := range o.items[:min(len(o.items), o.settings.MaxBatchRecords)] {
		item.appended = true
		records = append(records, item.data)
	}
	o.inFlight = len(records)
	o.nextAt = now.Add(o.interval)
	return records
}

func (o *outbox) succeeded() {
	for _, item := range o.items[:o.inFlight] {
		o.remove(item.id)
	}
	o.inFlight = 0
	o.interval = max(o.base, o.interval-o.interval/8)
	o.compact()
}

func (o *outbox) refused(now time.Time, retryAfter time.Duration) {
	for _, item := range o.items[:o.inFlight] {
		item.appended = item.uncertain
	}
	o.inFlight = 0
	o.interval = min(2*o.interval, max(o.settings.MaxAppendInterval, o.base))
	o.nextAt = now.Add(max(retryAfter, o.interval))
	o.compact()
}

func (o *outbox) failed(now time.Time) {
	for _, item := range o.items[:o.inFlight] {
		item.uncertain = true
	}
	o.inFlight = 0
	o.uncertain = true
	o.uncertainAt = now
	o.compact()
}

// caughtUp is called when a read that began at began has reached the end of the
// stream. What was appended and not read back by then is written again.
func (o *outbox) caughtUp(began time.Time) {
	if o.uncertain && !began.Before(o.uncertainAt) {
		o.uncertain = false
	}
}

func (o *outbox) compact() {
	kept := o.items[:0]
	for _, item := range o.items {
		if !item.gone {
			kept = append(kept, item)
		}
	}
	clear(o.items[len(kept):])
	o.items = kept
}
