package placement

import (
	"context"
	"sync"
	"time"

	"cactuswell/core/placement"
)

// survey reads the engines of a pool, several at a time.
type survey struct {
	placement *Placement
	known     []Endpoint
	// engines and reportedAt have the order of known. Each place is written by
	// the goroutine that took it.
	engines    []placement.Engine
	reportedAt []time.Time

	mu   sync.Mutex
	next int
}

func (p *Placement) newSurvey(pool string) *survey {
	var known []Endpoint
	for _, one := range p.dependencies.Endpoints() {
		if one.Descriptor.Pool == pool {
			known = append(known, one)
		}
	}
	return &survey{
		placement:  p,
		known:      known,
		engines:    make([]placement.Engine, len(known)),
		reportedAt: make([]time.Time, len(known)),
	}
}

// run reads engines until each one was taken.
func (s *survey) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	for {
		i, ok := s.take()
		if !ok {
			return
		}
		s.engines[i], s.reportedAt[i] = s.placement.readEngine(ctx, s.known[i])
	}
}

// take returns the place of the next engine to read. It reports false when none
// is left.
func (s *survey) take() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == len(s.known) {
		return 0, false
	}
	s.next++
	return s.next - 1, true
}
