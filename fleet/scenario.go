package fleet

import (
	"time"

	"cactuswell/load"
)

// Scenario describes a run: the load, and the steps with their times.
type Scenario struct {
	Streams  []load.Stream
	Duration time.Duration
	Seed     uint64
	KeyShare float64
	Steps    []TimedStep
}

// TimedStep is a step and its start time, relative to the start of the load.
type TimedStep struct {
	StartOffset time.Duration
	Step        Step
}

// Step is an action on the fleet, such as an injected fault. All implementations are in
// this file. Steps are executed one after the other.
type Step interface {
	isStep()
}

// KillHost kills a host with SIGKILL and restarts it under the same addresses after the
// given time.
type KillHost struct {
	Host     int
	Downtime time.Duration
}

// PauseHost suspends a host's process with SIGSTOP for the given time.
type PauseHost struct {
	Host     int
	Duration time.Duration
}

// DisableLog makes the log unavailable for the given time.
type DisableLog struct {
	Duration time.Duration
}

// DegradeLog makes the log slow and drops a part of its answers for the given time.
// Meanwhile, two operators change the same profile through two hosts concurrently.
type DegradeLog struct {
	Duration time.Duration
	Rounds   int
}

// RaceOperators makes two operators change the same profile through two hosts
// concurrently.
type RaceOperators struct {
	Rounds int
}

// SilenceEndpoint stops all output on an endpoint's open streams for the given time.
type SilenceEndpoint struct {
	Endpoint string
	Duration time.Duration
}

// SlowEndpoint multiplies an endpoint's durations by a factor for the given time.
type SlowEndpoint struct {
	Endpoint string
	Factor   float64
	Duration time.Duration
}

// CrashEndpoint makes an endpoint close every connection without an answer for the
// given time.
type CrashEndpoint struct {
	Endpoint string
	Duration time.Duration
}

// DropAnswers makes a service run calls and then close the connection without an
// answer, for the given time.
type DropAnswers struct {
	Endpoint string
	Duration time.Duration
}

// RejectPoolWork makes all endpoints of a pool refuse new work and report it as not started,
// for the given time.
type RejectPoolWork struct {
	Pool     string
	Duration time.Duration
}

// MarkEndpointLeaving makes an endpoint report that it is leaving, and checks that it gets no
// new work after maxLeavingDelay.
type MarkEndpointLeaving struct {
	Endpoint        string
	ObservationTime time.Duration
}

// RollingRestart stops the hosts gracefully, one after the other, and restarts each.
type RollingRestart struct{}

func (KillHost) isStep()            {}
func (PauseHost) isStep()           {}
func (DisableLog) isStep()          {}
func (DegradeLog) isStep()          {}
func (RaceOperators) isStep()       {}
func (SilenceEndpoint) isStep()     {}
func (SlowEndpoint) isStep()        {}
func (CrashEndpoint) isStep()       {}
func (DropAnswers) isStep()         {}
func (RejectPoolWork) isStep()      {}
func (MarkEndpointLeaving) isStep() {}
func (RollingRestart) isStep()      {}

// LongScenario returns the scenario with all faults for Kelisim.
func LongScenario() Scenario {
	return Scenario{
		Streams: []load.Stream{
			{
				Profile: "roomHold",
				Rate:    12,
			},
			{
				Profile: "roomAvailability",
				Rate:    20,
			},
			{
				Profile: "schedulingDraft",
				Rate:    25,
			},
			{
				Profile: "hearingSummary",
				Rate:    8,
			},
			{
				Profile: "caseFileBriefing",
				Rate:    5,
			},
		},
		Duration: 160 * time.Second,
		Seed:     1,
		KeyShare: 0.5,
		Steps:    longScenarioSteps(),
	}
}

// longScenarioSteps returns all faults, one after the other.
func longScenarioSteps() []TimedStep {
	return []TimedStep{
		{
			StartOffset: 5 * time.Second,
			Step: KillHost{
				Host:     2,
				Downtime: 2 * time.Second,
			},
		},
		{
			StartOffset: 12 * time.Second,
			Step: PauseHost{
				Host:     3,
				Duration: 8 * time.Second,
			},
		},
		{
			StartOffset: 25 * time.Second,
			Step:        DisableLog{Duration: 10 * time.Second},
		},
		{
			StartOffset: 40 * time.Second,
			Step: DegradeLog{
				Duration: 10 * time.Second,
				Rounds:   5,
			},
		},
		{
			StartOffset: 55 * time.Second,
			Step: SilenceEndpoint{
				Endpoint: "drafting-2",
				Duration: 8 * time.Second,
			},
		},
		{
			StartOffset: 66 * time.Second,
			Step: SlowEndpoint{
				Endpoint: "drafting-3",
				Factor:   6,
				Duration: 12 * time.Second,
			},
		},
		{
			StartOffset: 80 * time.Second,
			Step: CrashEndpoint{
				Endpoint: "drafting-5",
				Duration: 6 * time.Second,
			},
		},
		{
			StartOffset: 88 * time.Second,
			Step: DropAnswers{
				Endpoint: "booking-2",
				Duration: 5 * time.Second,
			},
		},
		{
			StartOffset: 95 * time.Second,
			Step: MarkEndpointLeaving{
				Endpoint:        "drafting-4",
				ObservationTime: 8 * time.Second,
			},
		},
		{
			StartOffset: 107 * time.Second,
			Step: RejectPoolWork{
				Pool:     "booking",
				Duration: 7 * time.Second,
			},
		},
		{
			StartOffset: 116 * time.Second,
			Step:        RollingRestart{},
		},
	}
}

// ShortScenario returns a short scenario for CI. It checks guarantees only, not speed.
func ShortScenario() Scenario {
	return Scenario{
		Streams: []load.Stream{
			{
				Profile: "roomHold",
				Rate:    10,
			},
			{
				Profile: "schedulingDraft",
				Rate:    10,
			},
			{
				Profile: "caseFileBriefing",
				Rate:    2,
			},
		},
		Duration: 32 * time.Second,
		Seed:     1,
		KeyShare: 0.5,
		Steps: []TimedStep{
			{
				StartOffset: 1 * time.Second,
				Step: KillHost{
					Host:     1,
					Downtime: time.Second,
				},
			},
			{
				StartOffset: 4 * time.Second,
				Step:        DisableLog{Duration: 2 * time.Second},
			},
			{
				StartOffset: 7 * time.Second,
				Step:        RaceOperators{Rounds: 3},
			},
			{
				StartOffset: 9 * time.Second,
				Step: DropAnswers{
					Endpoint: "booking-2",
					Duration: time.Second,
				},
			},
			{
				StartOffset: 11 * time.Second,
				Step: RejectPoolWork{
					Pool:     "booking",
					Duration: 6 * time.Second,
				},
			},
			{
				StartOffset: 18 * time.Second,
				Step: MarkEndpointLeaving{
					Endpoint:        "drafting-4",
					ObservationTime: 2 * time.Second,
				},
			},
			{
				StartOffset: 24 * time.Second,
				Step:        RollingRestart{},
			},
		},
	}
}
