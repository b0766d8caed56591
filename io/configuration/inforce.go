package configuration

import (
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

// maxHeadCalls limits the concurrent calls of one QueryInForce.
const maxHeadCalls = 64

// InForceStatus lists the live hosts that have applied a record and those that
// lag. Hosts that do not answer count as lagging. Both lists are sorted.
type InForceStatus struct {
	Applied []string
	Lagging []string
}

// QueryInForce queries which live hosts, including this one, have applied the
// record at offset.
func (c *Configuration) QueryInForce(ctx context.Context, offset record.Offset) InForceStatus {
	query := &inForceQuery{
		configuration: c,
		offset:        offset,
		peers:         c.dependencies.Peers.Live(),
	}
	query.addResult(c.dependencies.Host, c.NextOffset() > offset)
	var group sync.WaitGroup
	for range min(maxHeadCalls, len(query.peers)) {
		group.Add(1)
		go query.run(ctx, &group)
	}
	group.Wait()
	slices.Sort(query.result.Applied)
	slices.Sort(query.result.Lagging)
	return query.result
}

// inForceQuery queries the heads of many hosts concurrently.
type inForceQuery struct {
	configuration *Configuration
	offset        record.Offset
	peers         []Peer

	mu        sync.Mutex
	nextIndex int
	result    InForceStatus
}

func (q *inForceQuery) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		peer, ok := q.nextPeer()
		if !ok {
			return
		}
		q.addResult(peer.Name, q.hasApplied(ctx, peer))
	}
}

func (q *inForceQuery) hasApplied(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := q.configuration.dependencies.Dial(peer)
	defer conn.Close()
	response, err := conn.Head(ctx, connect.NewRequest(&nodev1.HeadRequest{}))
	return err == nil && response.Msg.GetNextOffset() > int64(q.offset)
}

func (q *inForceQuery) nextPeer() (Peer, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.nextIndex == len(q.peers) {
		return Peer{}, false
	}
	q.nextIndex++
	return q.peers[q.nextIndex-1], true
}

func (q *inForceQuery) addResult(name string, applied bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if applied {
		q.result.Applied = append(q.result.Applied, name)
		return
	}
	q.result.Lagging = append(q.result.Lagging, name)
}
