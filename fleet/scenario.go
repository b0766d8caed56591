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
	At   time.Duration
	Step Step
}

// Step is an action on the fleet, such as an injected fault. All implementations are in
// this file. Steps are executed one after the other.
type Step interface {
	isStep()
}

// KillHost kills a host with SIGKILL and restarts it under the same addresses after the
// given time.
type KillHost struct {
	Host  int
	After time.Duration
}

// PauseHost suspends a host's process with SIGSTOP for the given time.
type PauseHost struct {
	Host int
	For  time.Duration
}

// LogDown makes the log unavailable for the given time.
type LogDown struct {
	For time.Duration
}

// LogFaulty makes the log slow and drops a part of its answers for the given time.
// Meanwhile, two operators change the same profile through two hosts at once.
type LogFaulty struct {
	For    time.Duration
	Rounds int
}

// RaceOperators makes two operators change the same profile through two hosts at once.
type RaceOperators struct {
	Rounds int
}

// SilenceEndpoint stops all output on an endpoint's open streams for the given time.
type SilenceEndpoint struct {
	Endpoint string
	For      time.Duration
}

// SlowEndpoint multiplies an endpoint's durations by a factor for the given time.
type SlowEndpoint struct {
	Endpoint string
	Factor   float64
	For      time.Duration
}

// CrashEndpoint makes an endpoint close every connection without an answer for the
// given time.
type CrashEndpoint struct {
	Endpoint string
	For      time.Duration
}

// LoseAnswers makes a service run calls and then close the connection without an
// answer, for the given time.
type LoseAnswers struct {
	Endpoint string
	For      time.Duration
}

// RejectPool makes all endpoints of a pool refuse new work and report it as not started,
// for the given time.
type RejectPool struct {
	Pool string
	For  time.Duration
}

// LeaveEndpoint makes an endpoint report that it is leaving, and checks that it gets no
// new work after maxLeavingDelay.
type LeaveEndpoint struct {
	Endpoint string
	Watch    time.Duration
}

// RollingRestart stops the hosts gracefully, one after the other, and restarts each.
type RollingRestart struct{}

func (KillHost) isStep()        {}
func (PauseHost) isStep()       {}
func (LogDown) isStep()         {}
func (LogFaulty) isStep()       {}
func (RaceOperators) isStep()   {}
func (SilenceEndpoint) isStep() {}
func (SlowEndpoint) isStep()    {}
func (CrashEndpoint) isStep()   {}
func (LoseAnswers) isStep()     {}
func (RejectPool) isStep()      {}
func (LeaveEndpoint) isStep()   {}
func (RollingRestart) isStep()  {}

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
			At: 5 * time.Second,
			Step: KillHost{
				Host:  2,
				After: 2 * time.Second,
			},
		},
		{
			At: 12 * time.Second,
			Step: PauseHost{
				Host: 3,
				For:  8 * time.Second,
			},
		},
		{
			At:   25 * time.Second,
			Step: LogDown{For: 10 * time.Second},
		},
		{
			At: 40 * time.Second,
			Step: LogFaulty{
				For:    10 * time.Second,
				Rounds: 5,
			},
		},
		{
			At: 55 * time.Second,
			Step: SilenceEndpoint{
				Endpoint: "drafting-2",
				For:      8 * time.Second,
			},
		},
		{
			At: 66 * time.Second,
			Step: SlowEndpoint{
				Endpoint: "drafting-3",
				Factor:   6,
				For:      12 * time.Second,
			},
		},
		{
			At: 80 * time.Second,
			Step: CrashEndpoint{
				Endpoint: "drafting-5",
				For:      6 * time.Second,
			},
		},
		{
			At: 88 * time.Second,
			Step: LoseAnswers{
				Endpoint: "booking-2",
				For:      5 * time.Second,
			},
		},
		{
			At: 95 * time.Second,
			Step: LeaveEndpoint{
				Endpoint: "drafting-4",
				Watch:    8 * time.Second,
			},
		},
		{
			At: 107 * time.Second,
			Step: RejectPool{
				Pool: "booking",
				For:  7 * time.Second,
			},
		},
		{
			At:   116 * time.Second,
			Step: RollingRestart{},
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
				At: 1 * time.Second,
				Step: KillHost{
					Host:  1,
					After: time.Second,
				},
			},
			{
				At:   4 * time.Second,
				Step: LogDown{For: 2 * time.Second},
			},
			{
				At:   7 * time.Second,
				Step: RaceOperators{Rounds: 3},
			},
			{
				At: 9 * time.Second,
				Step: LoseAnswers{
					Endpoint: "booking-2",
					For:      time.Second,
				},
			},
			{
				At: 11 * time.Second,
				Step: RejectPool{
					Pool: "booking",
					For:  6 * time.Second,
				},
			},
			{
				At: 18 * time.Second,
				Step: LeaveEndpoint{
					Endpoint: "drafting-4",
					Watch:    2 * time.Second,
				},
			},
			{
				At:   24 * time.Second,
				Step: RollingRestart{},
			},
		},
	}
}
