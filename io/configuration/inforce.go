package configuration

import (
	"context"
	"slices"
	"sync"

	"connectrpc.com/connect"

	"cactuswell/core/record"
	"cactuswell/io/node/nodev1"
)

// maxHeadCalls bounds the calls that one InForce makes at a time.
const maxHeadCalls = 64

// InForceStatus says which live hosts have applied a record. Hosts that do not answer
// count as lagging. Both lists are sorted.
type InForceStatus struct {
	Applied []string
	Lagging []string
}

// QueryInForce asks every live host, this one included, whether it has applied the
// record at offset.
func (c *Configuration) QueryInForce(ctx context.Context, offset record.Offset) InForceStatus {
	survey := &headSurvey{
		configuration: c,
		offset:        offset,
		peers:         c.dependencies.Peers.Live(),
	}
	survey.note(c.dependencies.Host, c.NextOffset() > offset)
	var group sync.WaitGroup
	for range min(maxHeadCalls, len(survey.peers)) {
		group.Add(1)
		go survey.run(ctx, &group)
	}
	group.Wait()
	slices.Sort(survey.result.Applied)
	slices.Sort(survey.result.Lagging)
	return survey.result
}

// headSurvey asks many hosts for their heads.
type headSurvey struct {
	configuration *Configuration
	offset        record.Offset
	peers         []Peer

	mu     sync.Mutex
	next   int
	result InForceStatus
}

func (s *headSurvey) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		peer, ok := s.take()
		if !ok {
			return
		}
		s.note(peer.Name, s.hasApplied(ctx, peer))
	}
}

func (s *headSurvey) hasApplied(ctx context.Context, peer Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn := s.configuration.dependencies.Dial(peer)
	defer conn.Close()
	response, err := conn.Head(ctx, connect.NewRequest(&nodev1.HeadRequest{}))
	return err == nil && response.Msg.GetNextOffset() > int64(s.offset)
}

func (s *headSurvey) take() (Peer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == len(s.peers) {
		return Peer{}, false
	}
	s.next++
	return s.peers[s.next-1], true
}

func (s *headSurvey) note(name string, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if applied {
		s.result.Applied = append(s.result.Applied, name)
		return
	}
	s.result.Lagging = append(s.result.Lagging, name)
}
