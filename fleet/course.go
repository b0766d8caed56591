package fleet

import (
	"time"

	"cactuswell/load"
)

// Course is a scripted run: the load, and steps at their times.
type Course struct {
	Streams  []load.Stream
	Duration time.Duration
	Seed     uint64
	KeyShare float64
	Steps    []TimedStep
}

// TimedStep is a step and when it begins, from the start of the load.
type TimedStep struct {
	At   time.Duration
	Step Step
}

// Step is something that happens to the fleet. The types of this file are all
// there are. Steps are carried out one after the other.
type Step interface {
	isStep()
}

// KillHost ends a host with kill -9 and replaces it under the same addresses
// after a while.
type KillHost struct {
	Host  int
	After time.Duration
}

// PauseHost stops a host's process for a while and lets it go on.
type PauseHost struct {
	Host int
	For  time.Duration
}

// LogDown makes the log fail for a while.
type LogDown struct {
	For time.Duration
}

// LogFaulty makes the log slow and lose answers for a while, and lets two
// operators race on a profile through two hosts meanwhile.
type LogFaulty struct {
	For    time.Duration
	Rounds int
}

// RaceOperators lets two operators race on a profile through two hosts.
type RaceOperators struct {
	Rounds int
}

// SilenceEndpoint makes an endpoint's open streams silent for a while.
type SilenceEndpoint struct {
	Endpoint string
	For      time.Duration
}

// SlowEndpoint makes an endpoint slow for a while.
type SlowEndpoint struct {
	Endpoint string
	Factor   float64
	For      time.Duration
}

// CrashEndpoint makes an endpoint break every connection for a while.
type CrashEndpoint struct {
	Endpoint string
	For      time.Duration
}

// LoseAnswers makes a service run calls and then break the connection for a
// while.
type LoseAnswers struct {
	Endpoint string
	For      time.Duration
}

// RejectPool makes all endpoints of a pool refuse work as not started for a
// while.
type RejectPool struct {
	Pool string
	For  time.Duration
}

// LeaveEndpoint makes an endpoint say that it is leaving, and watches that it
// gets no new work after the bound.
type LeaveEndpoint struct {
	Endpoint string
	Watch    time.Duration
}

// RollingRestart stops every host in good order, one after the other, and
// replaces each.
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

// LongCourse returns the whole course of faults for Kelisim.
func LongCourse() Course {
	return Course{
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
		Steps:    longSteps(),
	}
}

// longSteps returns every fault, one after the other.
func longSteps() []TimedStep {
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

// ShortCourse returns a course for CI. Its checks are on promises only.
func ShortCourse() Course {
	return Course{
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
