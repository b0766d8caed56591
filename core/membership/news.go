package membership

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"cactuswell/core/endpoint"
)

const (
	maxHeads = 4
	// maxNameBytes bounds names, zones, addresses and streams in news.
	maxNameBytes = 128
	// maxIncarnation and maxVersion bound what a peer may claim, so that this
	// host can always raise its own above it.
	maxIncarnation = 1 << 62
	maxVersion     = 1 << 30
	// maxNewsItems bounds the items of one message.
	maxNewsItems = 2048
	// minStateBytes is about what a member's state takes on the wire without
	// its texts.
	minStateBytes = 18
	// minKeyBytes is about what an endpoint's key takes without its name.
	minKeyBytes = 12
)

// MalformedNewsError says that a message from a peer cannot be used.
type MalformedNewsError struct {
	Reason string
}

// Error names the reason.
func (e *MalformedNewsError) Error() string {
	return "malformed membership news: " + e.Reason
}

// Validate checks a message that came from a peer. The error is a
// *MalformedNewsError.
func (m Message) Validate() error {
	if m.From == "" || len(m.From) > maxNameBytes || m.Incarnation == 0 || m.Incarnation > maxIncarnation {
		return &MalformedNewsError{Reason: "bad sender"}
	}
	return m.News.Validate()
}

// Validate checks news that came from a peer. The error is a
// *MalformedNewsError.
func (n News) Validate() error {
	if len(n.Members)+len(n.LeavingEndpoints) > maxNewsItems {
		return &MalformedNewsError{Reason: "too many items"}
	}
	if len(n.Heads) > maxHeads {
		return &MalformedNewsError{Reason: "too many stream heads"}
	}
	for _, state := range n.Members {
		if err := state.Validate(); err != nil {
			return err
		}
	}
	for _, key := range n.LeavingEndpoints {
		if key.Name == "" || len(key.Name) > maxNameBytes {
			return &MalformedNewsError{Reason: "bad endpoint name"}
		}
	}
	for _, head := range n.Heads {
		if head.Stream == "" || len(head.Stream) > maxNameBytes || head.NextOffset < 0 {
			return &MalformedNewsError{Reason: "bad stream head"}
		}
	}
	return nil
}

// Validate checks a state that came from a peer. The error is a
// *MalformedNewsError.
func (s State) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxNameBytes:
		return &MalformedNewsError{Reason: "bad member name"}
	case len(s.Address) > maxNameBytes || len(s.Zone) > maxNameBytes:
		return &MalformedNewsError{Reason: "address or zone too long"}
	case s.Incarnation == 0 || s.Incarnation > maxIncarnation || s.Version > maxVersion:
		return &MalformedNewsError{Reason: "bad incarnation or version"}
	case s.Status < Alive || s.Status > Left:
		return &MalformedNewsError{Reason: fmt.Sprintf("unknown status %d", s.Status)}
	case s.Status == Alive && s.Address == "":
		return &MalformedNewsError{Reason: "live member without address"}
	}
	return nil
}

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

func (m *Machine) enqueueMember(e *entry, urgent bool) {
	m.queue.put(newsKey{
		kind: memberNews,
		name: e.member.Name,
	}, urgent)
	if urgent {
		m.hurry()
	}
}

func (m *Machine) enqueueEndpoint(name string) {
	m.queue.put(newsKey{
		kind: endpointNews,
		name: name,
	}, true)
	m.endpointWaits = true
	m.hurry()
}

// hurry plans an early round of probes for urgent news.
func (m *Machine) hurry() {
	at := m.now.Add(m.settings.EagerDelay)
	if m.eagerAt.IsZero() || m.endpointWaits && m.eagerAt.After(at) {
		m.eagerAt = at
	}
}

// transmitLimit is how often this host passes one piece of news on.
func (m *Machine) transmitLimit() int {
	return int(math.Ceil(m.settings.TransmitFactor * math.Log2(float64(m.table.liveCount+1))))
}

// message builds what goes to the named host.
func (m *Machine) message(to string) Message {
	return Message{
		From:        m.self.member.Name,
		Incarnation: m.self.member.Incarnation,
		Digest:      m.digest(),
		News:        m.news(to),
	}
}

func (m *Machine) news(to string) News {
	news := News{
		Heads: slices.Clone(m.heads),
	}
	calmBytes := m.newsAllowance()
	urgentBytes := max(calmBytes, m.settings.UrgentBytes)
	bytes := 0
	if e := m.table.get(to); e != nil && (e.status == Suspect || e.status == Dead) {
		state := wireState(e)
		news.Members = append(news.Members, state)
		bytes += stateBytes(state)
	}
	m.queue.sort()
	m.lastSent = nil
	for _, item := range m.queue.items {
		allowed := calmBytes
		if item.urgent {
			allowed = urgentBytes
		}
		if item.urgent && len(m.lastSent) == 0 {
			allowed = m.settings.NewsBytes
		}
		size, ok := m.appendItem(&news, item.key, to, allowed-bytes)
		if ok {
			item.transmits++
			bytes += size
			m.lastSent = append(m.lastSent, *item)
		}
	}
	m.newsBytes.take(m.now, float64(bytes))
	m.queue.dropSent(m.transmitLimit())
	m.counters.NewsDropped = m.queue.dropped
	return news
}

// newsAllowance returns how many bytes of news the next message may carry;
// urgent news may have UrgentBytes in any case, and one piece whatever its size.
func (m *Machine) newsAllowance() int {
	return min(m.settings.NewsBytes, int(m.newsBytes.level(m.now)))
}

// appendItem adds one piece of news and returns how many bytes it took. It
// reports false if there is no room for it. What the receiver must know anyway,
// and what is not known here any more, counts as sent.
func (m *Machine) appendItem(news *News, key newsKey, to string, room int) (int, bool) {
	if key.kind == endpointNews {
		return m.appendEndpoint(news, key.name, room)
	}
	e := m.table.get(key.name)
	if e == nil || key.name == to {
		return 0, true
	}
	state := wireState(e)
	size := stateBytes(state)
	if size > room {
		return 0, false
	}
	news.Members = append(news.Members, state)
	return size, true
}

func (m *Machine) appendEndpoint(news *News, name string, room int) (int, bool) {
	incarnation, ok := m.endpoints.leaving[name]
	if !ok {
		return 0, true
	}
	size := minKeyBytes + len(name)
	if size > room {
		return 0, false
	}
	news.LeavingEndpoints = append(news.LeavingEndpoints, endpoint.Key{
		Name:        name,
		Incarnation: incarnation,
	})
	return size, true
}

// wireState leaves out the address and the zone where the news is about a member
// that the receiver must know already to make use of it.
func wireState(e *entry) State {
	state := e.state()
	if state.Status != Alive {
		state.Address = ""
		state.Zone = ""
	}
	return state
}

func stateBytes(state State) int {
	size := minStateBytes + len(state.Name)
	if state.Address != "" {
		size += 4 + len(state.Address) + len(state.Zone)
	}
	return size
}

// hear takes in a peer's message.
func (m *Machine) hear(message Message) {
	for _, state := range message.News.Members {
		m.apply(state)
	}
	for _, key := range message.News.LeavingEndpoints {
		m.learnEndpoint(key)
	}
	for _, head := range message.News.Heads {
		m.emit(HeadHeard{
			Name:        message.From,
			Incarnation: message.Incarnation,
			Stream:      head.Stream,
			NextOffset:  head.NextOffset,
		})
	}
}
