package claim

import (
	"slices"

	"cactuswell/core/record"
)

const (
	// maxKeysUsedSpan bounds the sequences that one keysUsed record covers.
	maxKeysUsedSpan = 8192
	// maxLeftRanges bounds the keysUsed records that are remembered. A key
	// whose record was forgotten has an unknown outcome and is not run.
	maxLeftRanges = 512
)

// leftIssuers remembers which keys of hosts that left were not used.
type leftIssuers struct {
	ranges map[Issuer][]keysUsedBody
	order  fifo[Issuer]
}

// issuedState is what is known of a key of another host.
type issuedState int

const (
	// issuedNotPublished says that the issuer has published nothing of the key.
	issuedNotPublished issuedState = iota
	issuedUsed
	issuedUnused
)

func newLeftIssuers() *leftIssuers {
	return &leftIssuers{
		ranges: make(map[Issuer][]keysUsedBody),
	}
}

// add takes a record in unless the reader has not read all claims that may
// have been made of its keys.
func (l *leftIssuers) add(body keysUsedBody, floor record.Offset) error {
	if body.To < body.From || body.To-body.From > maxKeysUsedSpan || !IsValidHost(body.Issuer.Host) ||
		!slices.IsSorted(body.Used) {
		return &record.MalformedError{Reason: "keysUsed out of bounds"}
	}
	if body.Floor < floor {
		return nil
	}
	for _, known := range l.ranges[body.Issuer] {
		if known.From == body.From && known.To == body.To {
			return nil
		}
	}
	l.ranges[body.Issuer] = append(l.ranges[body.Issuer], body)
	l.order.push(body.Issuer)
	if l.order.len() > maxLeftRanges {
		oldest, _ := l.order.pop()
		l.dropOldest(oldest)
	}
	return nil
}

// lookup treats a key as used if any record says so.
func (l *leftIssuers) lookup(key IssuedKey) issuedState {
	state := issuedNotPublished
	for _, body := range l.ranges[key.Issuer] {
		if key.Sequence < body.From || key.Sequence >= body.To {
			continue
		}
		if _, used := slices.BinarySearch(body.Used, key.Sequence); used {
			return issuedUsed
		}
		state = issuedUnused
	}
	return state
}

// forget drops the records whose keys may have been claimed before floor.
func (l *leftIssuers) forget(floor record.Offset) {
	for {
		oldest, ok := l.order.peek()
		if !ok || l.ranges[oldest][0].Floor >= floor {
			return
		}
		l.order.pop()
		l.dropOldest(oldest)
	}
}

func (l *leftIssuers) len() int { return l.order.len() }

func (l *leftIssuers) dropOldest(issuer Issuer) {
	remaining := l.ranges[issuer][1:]
	if len(remaining) == 0 {
		delete(l.ranges, issuer)
		return
	}
	l.ranges[issuer] = remaining
}
