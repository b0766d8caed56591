package membership

import (
	"cmp"
	"slices"
)

type newsKind int

const (
	memberNews newsKind = iota
	endpointNews
)

// newsKey names what a piece of news is about; its content is read when it is
// sent, so that the latest is told.
type newsKey struct {
	kind newsKind
	name string
}

type newsItem struct {
	key newsKey
	// urgent news goes first, and early.
	urgent    bool
	transmits int
	sequence  uint64
}

// newsQueue holds the news that this host passes on.
type newsQueue struct {
	limit    int
	items    []*newsItem
	sequence uint64
	dropped  uint64
}

func newNewsQueue(limit int) *newsQueue {
	return &newsQueue{
		limit: limit,
	}
}

// put queues news about key, or starts its count anew.
func (q *newsQueue) put(key newsKey, urgent bool) {
	q.sequence++
	for _, item := range q.items {
		if item.key == key {
			item.urgent = item.urgent || urgent
			item.transmits = 0
			item.sequence = q.sequence
			return
		}
	}
	if len(q.items) >= q.limit {
		q.dropMostSent()
	}
	q.items = append(q.items, &newsItem{
		key:      key,
		urgent:   urgent,
		sequence: q.sequence,
	})
}

func (q *newsQueue) dropMostSent() {
	most := slices.MaxFunc(q.items, compareItems)
	q.drop(most)
	q.dropped++
}

func (q *newsQueue) drop(gone *newsItem) {
	q.items = slices.DeleteFunc(q.items, func(item *newsItem) bool {
		return item == gone
	})
}

// sort puts urgent news first, then what was sent least often, and the newest
// among these.
func (q *newsQueue) sort() {
	slices.SortFunc(q.items, compareItems)
}

func compareItems(a, b *newsItem) int {
	if a.urgent != b.urgent {
		if a.urgent {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.transmits, b.transmits), cmp.Compare(b.sequence, a.sequence))
}

// credit takes back one transmission of the news about key, as it did not
// arrive.
func (q *newsQueue) credit(sent newsItem) {
	for _, item := range q.items {
		if item.key == sent.key {
			item.transmits = max(0, item.transmits-1)
			return
		}
	}
	if len(q.items) >= q.limit {
		return
	}
	sent.transmits--
	q.items = append(q.items, &sent)
}

// dropCalm forgets the news that is not urgent.
func (q *newsQueue) dropCalm() {
	q.items = slices.DeleteFunc(q.items, func(item *newsItem) bool {
		return !item.urgent
	})
}

func (q *newsQueue) dropSent(limit int) {
	q.items = slices.DeleteFunc(q.items, func(item *newsItem) bool {
		return item.transmits >= limit
	})
}
