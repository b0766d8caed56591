package scheduling

import (
	"container/list"
	"slices"
	"time"

	"cactuswell/core/directory"
)

const (
	// paceWeight is the weight of a new observation in the averages of an
	// endpoint's speed.
	paceWeight = 0.25
	// minSlowness and maxSlowness bound the factor on an endpoint's times.
	minSlowness = 0.7
	maxSlowness = 20
	// freshLoad is the age up to which an endpoint's own account of its load
	// counts: a few hundred milliseconds of lag are in it already.
	freshLoad = 500 * time.Millisecond
	// cacheShare is the part of an engine's memory that is expected to keep
	// prompts; the rest holds what runs.
	cacheShare = 0.6
)

// target is an endpoint as this host's decisions see it.
type target struct {
	entry directory.Entry
	key   Key
	hash  uint64
	// idHash is the hash of the id, by which hosts order the endpoints alike.
	idHash uint64
	// leaving endpoints get no new calls.
	leaving bool
	// pending are the own calls sent and not begun, oldest first; running counts
	// all own calls there.
	pending []*call
	running int
	tight   int
	// peers is the work of other hosts.
	peers   map[string]peerWork
	load    ReportedLoad
	loadAt  time.Time
	ownThen int
	// slowness is the factor on the model's times.
	slowness float64
	health   health
	cache    cacheIndex
	// fullTill is until when the endpoint asked not to be sent calls.
	fullTill time.Time
	// coldTill is until when the endpoint is slow after its start.
	coldTill time.Time
	// dirty says that the work changed since other hosts were told.
	dirty bool
	// told is the work that other hosts were told last.
	told peerWork
	// laneRank is the place in the order of lanes.
	laneRank int
}

// peerWork is the work of another host, as told at a time.
type peerWork struct {
	PeerLoad
	at time.Time
	// own says that this host's own work is part of it.
	own bool
}

// readingNow returns what is left to read of what was told.
func (w *peerWork) readingNow(now time.Time) time.Duration {
	return max(w.PrefillBacklog-now.Sub(w.at), 0)
}

func newTarget(now time.Time, entry directory.Entry) *target {
	key := keyOf(entry)
	return &target{
		entry:    entry,
		key:      key,
		hash:     key.Hash(),
		idHash:   hashID(entry.ID),
		leaving:  entry.Leaving,
		coldTill: now.Add(entry.ColdFor),
		peers:    make(map[string]peerWork),
		slowness: 1,
		cache:    newCacheIndex(),
	}
}

// reading returns the engine time that prompts sent before now still need.
func (t *target) reading(now time.Time) time.Duration {
	own := t.ownReading(now)
	for _, work := range t.peers {
		others := work.readingNow(now)
		if work.own {
			others = max(others-t.told.readingNow(now), 0)
		}
		own += others
	}
	return own
}

// ownReading is reading for this host's calls alone. The oldest pending call is
// taken to be under way since it was sent; if it is overdue, the endpoint is
// slower than believed, and the calls behind it are as well.
func (t *target) ownReading(now time.Time) time.Duration {
	if len(t.pending) == 0 {
		return 0
	}
	total := time.Duration(0)
	for _, c := range t.pending {
		total += c.work
	}
	oldest := t.pending[0]
	elapsed := now.Sub(oldest.sentAt)
	if elapsed <= oldest.predicted {
		return max(total-min(elapsed, oldest.work), 0)
	}
	overdue := float64(elapsed) / float64(max(oldest.predicted, time.Millisecond))
	return time.Duration(float64(total) * min(overdue, maxSlowness))
}

// busy returns the number of calls believed to run or wait at the endpoint.
func (t *target) busy(now time.Time) int {
	others := 0
	for _, work := range t.peers {
		others += work.Running
		if work.own {
			others -= min(t.told.Running, work.Running)
		}
	}
	if t.load.Known && now.Sub(t.loadAt) < freshLoad {
		others = max(others, t.load.Running+t.load.Waiting-t.ownThen)
	}
	return t.running + others
}

// tightStreams returns the number of running streams with short pauses.
func (t *target) tightStreams() int {
	tight := t.tight
	for _, work := range t.peers {
		tight += work.LatencySensitive
		if work.own {
			tight -= min(t.told.LatencySensitive, work.LatencySensitive)
		}
	}
	return tight
}

func (t *target) takeLoad(now time.Time, load ReportedLoad) {
	if !load.Known {
		return
	}
	t.load = load
	t.loadAt = now
	t.ownThen = t.running
}

// observe moves the endpoint's slowness towards a measured ratio of observed to
// expected time.
func (t *target) observe(ratio float64) {
	ratio = min(max(ratio, minSlowness), maxSlowness)
	t.slowness += paceWeight * (ratio - t.slowness)
}

func (t *target) removePending(c *call) {
	t.pending = slices.DeleteFunc(t.pending, func(pending *call) bool { return pending == c })
}

// cacheIndex is what an engine's memory is believed to hold: the hashes of
// leading runs of prompts, the least recently used first to go.
type cacheIndex struct {
	order  *list.List
	byHash map[uint64]*list.Element
	tokens int
}

type cacheItem struct {
	chain  uint64
	tokens int
	// usedAt is when a prompt with it was last given to the endpoint, and readAt
	// when it has probably been read.
	usedAt time.Time
	readAt time.Time
}

func newCacheIndex() cacheIndex {
	return cacheIndex{
		order:  list.New(),
		byHash: make(map[uint64]*list.Element),
	}
}

func (x *cacheIndex) has(chain uint64) bool {
	_, ok := x.byHash[chain]
	return ok
}

// usedSince reports whether a run was given to the endpoint since then.
func (x *cacheIndex) usedSince(chain uint64, since time.Time) bool {
	item, ok := x.item(chain)
	return ok && item.usedAt.After(since)
}

// item returns what is known of a run.
func (x *cacheIndex) item(chain uint64) (*cacheItem, bool) {
	element, ok := x.byHash[chain]
	if !ok {
		return nil, false
	}
	return element.Value.(*cacheItem), true
}

// add remembers a run that ends with a part of the given size, and is read by readAt.
func (x *cacheIndex) add(now, readAt time.Time, chain uint64, tokens, capacity int) {
	if element, ok := x.byHash[chain]; ok {
		element.Value.(*cacheItem).usedAt = now
		x.order.MoveToBack(element)
		return
	}
	x.byHash[chain] = x.order.PushBack(&cacheItem{
		chain:  chain,
		tokens: tokens,
		usedAt: now,
		readAt: readAt,
	})
	x.tokens += tokens
	for x.tokens > capacity && x.order.Len() > 1 {
		oldest := x.order.Remove(x.order.Front()).(*cacheItem)
		delete(x.byHash, oldest.chain)
		x.tokens -= oldest.tokens
	}
}
