package weighed

import "time"

const (
	heartbeatPeriod  = 2 * time.Second
	heartbeatTimeout = 3 * heartbeatPeriod
	// oneWayBytes is what a call with an empty answer takes.
	oneWayBytes = callBytes + answerBytes
)

// heartbeats is a host that sends a heartbeat to every other one.
type heartbeats struct {
	environment Environment
	sendAt      time.Time
	heardAt     []time.Time
	live        []bool
	removals    int
}

// heartbeat is the message.
type heartbeat struct{}

// NewHeartbeats returns a host of the all-to-all scheme. It knows all hosts from
// the start.
func NewHeartbeats(environment Environment) Scheme {
	return &heartbeats{
		environment: environment,
		heardAt:     make([]time.Time, environment.Hosts),
		live:        make([]bool, environment.Hosts),
	}
}

// Start implements Scheme.
func (s *heartbeats) Start(now time.Time) {
	for i := range s.live {
		s.live[i] = true
		s.heardAt[i] = now
	}
	s.sendAt = now.Add(time.Duration(s.environment.Random.Int64N(int64(heartbeatPeriod))))
}

// Receive implements Scheme.
func (s *heartbeats) Receive(now time.Time, from int, _ any) {
	s.heardAt[from] = now
	s.live[from] = true
}

// Wake implements Scheme.
func (s *heartbeats) Wake(now time.Time) {
	s.sendAt = now.Add(heartbeatPeriod)
	for i := range s.live {
		if i == s.environment.Index {
			continue
		}
		s.environment.Sender.Send(i, oneWayBytes, heartbeat{})
		if s.live[i] && now.Sub(s.heardAt[i]) > heartbeatTimeout {
			s.live[i] = false
			s.removals++
		}
	}
}

// NextWake implements Scheme.
func (s *heartbeats) NextWake() (time.Time, bool) {
	return s.sendAt, true
}

// Live implements Scheme.
func (s *heartbeats) Live(host int) bool {
	return s.live[host]
}

// Removals implements Scheme.
func (s *heartbeats) Removals() int {
	return s.removals
}
