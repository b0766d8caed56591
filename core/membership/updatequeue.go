package membership

import (
	"cmp"
	"slices"
)

type updateKind int

const (
	memberUpdate updateKind = iota
	endpointUpdate
)

// updateKey identifies what an update is about. The content is read when the
// update is sent, so that the latest state is sent.
type updateKey struct {
	kind updateKind
	name string
}

type queuedUpdate struct {
	key updateKey
	// urgent items are sent first and trigger an eager probe round.
	urgent        bool
	transmitCount int
	sequence      uint64
}

// updateQueue holds the updates that this host has yet to send.
type updateQueue struct {
	limit        int
	items        []*queuedUpdate
	sequence     uint64
	evictedCount uint64
}

func newUpdateQueue(limit int) *updateQueue {
	return &updateQueue{
		limit: limit,
	}
}

// enqueue queues an update about key; if there is one already, its transmit
// count starts again.
func (q *updateQueue) enqueue(key updateKey, urgent bool) {
	q.sequence++
	for _, item := range q.items {
		if item.key == key {
			item.urgent = item.urgent || urgent
			item.transmitCount = 0
			item.sequence = q.sequence
			return
		}
	}
	if len(q.items) >= q.limit {
		q.evictMostSent()
	}
	q.items = append(q.items, &queuedUpdate{
		key:      key,
		urgent:   urgent,
		sequence: q.sequence,
	})
}

func (q *updateQueue) evictMostSent() {
	most := slices.MaxFunc(q.items, compareItems)
	q.remove(most)
	q.evictedCount++
}

func (q *updateQueue) remove(removed *queuedUpdate) {
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool {
		return item == removed
	})
}

// sort orders the items: urgent ones first, then those sent least often, and
// the newest among these.
func (q *updateQueue) sort() {
	slices.SortFunc(q.items, compareItems)
}

func compareItems(a, b *queuedUpdate) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.transmitCount, b.transmitCount), cmp.Compare(b.sequence, a.sequence))
}

// undoTransmission undoes one transmission of an update that did not arrive.
func (q *updateQueue) undoTransmission(sent queuedUpdate) {
	for _, item := range q.items {
		if item.key == sent.key {
			item.transmitCount = max(0, item.transmitCount-1)
			return
		}
	}
	if len(q.items) >= q.limit {
		return
	}
	sent.transmitCount--
	q.items = append(q.items, &sent)
}

// dropNonUrgent removes the updates that are not urgent.
func (q *updateQueue) dropNonUrgent() {
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool {
		return !item.urgent
	})
}

func (q *updateQueue) dropFullySent(limit int) {
	q.items = slices.DeleteFunc(q.items, func(item *queuedUpdate) bool {
		return item.transmitCount >= limit
	})
}
