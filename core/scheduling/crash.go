package scheduling

import (
	"time"

	"cactuswell/core/quarantine"
)

// MaxStartEvents is the number of events up to which an answer is at its beginning.
const MaxStartEvents = 1

// statusGatewayTimeout is the status of a response whose endpoint reached the call's deadline.
const statusGatewayTimeout = 504

// SharedPartHashes returns the hashes by which hosts identify the parts of a prompt that
// other prompts to the same service may hold: all but the last.
func SharedPartHashes(service string, prompt []PromptPart) []uint64 {
	if len(prompt) < 2 {
		return nil
	}
	seed := hashID(service)
	hashes := make([]uint64, 0, len(prompt)-1)
	for _, part := range prompt[:len(prompt)-1] {
		hashes = append(hashes, mix(seed, part.ID))
	}
	return hashes
}

// recordCrash records an attempt whose answer broke at its beginning because the endpoint
// crashed. The same request, and other calls with the same prompt part, may crash further
// endpoints.
func (s *Scheduler) recordCrash(c *call, e *endpoint, event AttemptEnded) {
	broken, ok := event.Outcome.(Broken)
	if !ok || !broken.EndpointDown {
		return
	}
	s.applyQuarantineChanges(s.quarantine.RecordCrash(s.now, quarantine.Crash{
		ID:       mix(uint64(c.sends), mix(uint64(c.spec.ID), hashID(c.spec.RequestID))),
		Endpoint: e.keyHash,
		Request:  c.spec.RequestHash,
		Began:    broken.JustBegun,
		Parts:    c.parts,
		Flight:   s.now.Sub(c.sentAt),
	}))
}

// handleAnswerContinued records that an answer went on after its beginning, so that neither
// the request nor anything in its prompt crashes endpoints.
func (s *Scheduler) handleAnswerContinued(id CallID) {
	if c := s.calls[id]; c != nil && c.started {
		s.recordSound(c, c.parts)
	}
}

// recordSound records an answer to a call, which shows that its request and some parts of its
// prompt crash no endpoints.
func (s *Scheduler) recordSound(c *call, parts []uint64) {
	if c.isSound {
		return
	}
	c.isSound = true
	startedAt := s.now
	if c.started {
		startedAt = c.startedAt
	}
	s.applyQuarantineChanges(s.quarantine.RecordAnswer(s.now, startedAt, c.spec.RequestHash, parts))
}

// recordFailure records a failure response as an answer to the request. At the call's deadline,
// endpoints respond without having run the request to its end.
func (s *Scheduler) recordFailure(c *call, failed Failed) {
	if failed.Status != statusGatewayTimeout {
		s.recordSound(c, nil)
	}
}

// isHeld reports whether a call is kept from the endpoints, and for how long.
func (s *Scheduler) isHeld(c *call) (time.Duration, bool) {
	return s.quarantine.Held(s.now, c.spec.RequestHash, c.parts)
}

// applyQuarantineChanges reports changes of the quarantines and refuses the queued calls
// that are quarantined now.
func (s *Scheduler) applyQuarantineChanges(changes []quarantine.Change) {
	for _, change := range changes {
		s.commands = append(s.commands, QuarantineChanged{Change: change})
	}
	if len(changes) == 0 {
		return
	}
	for _, p := range s.poolsInOrder {
		kept := p.queue[:0]
		for _, c := range p.queue {
			if _, held := s.isHeld(c); held {
				c.queued = false
				s.refuse(c, ReasonQuarantined)
				continue
			}
			kept = append(kept, c)
		}
		clear(p.queue[len(kept):])
		p.queue = kept
	}
}

// refuseQuarantined refuses a call that is quarantined, and reports whether it is.
func (s *Scheduler) refuseQuarantined(c *call) bool {
	if _, held := s.isHeld(c); !held {
		return false
	}
	s.refuse(c, ReasonQuarantined)
	return true
}

// TakeFindings returns what this host reports to others about calls that crash endpoints.
func (s *Scheduler) TakeFindings(now time.Time, complete bool) []quarantine.Finding {
	return s.quarantine.Take(now, complete)
}

// Quarantines returns the quarantines in force.
func (s *Scheduler) Quarantines(now time.Time) []quarantine.Quarantine {
	return s.quarantine.Quarantines(now)
}
