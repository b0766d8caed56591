// Package fault describes the faults that can be injected into a stand-in endpoint, and
// allows changing them while the endpoint runs.
//
// # Usage
//
//	injector := fault.New()
//	router.Handle("/faults", reply.DocumentHandler(injector.Current, injector.Set))
//	if injector.Current().Crashed {
//		...
//	}
package fault

import (
	"sync/atomic"
	"time"
)

// Faults lists the injected faults of an endpoint. The zero value has no faults.
type Faults struct {
	// Crashed closes every connection without an answer.
	Crashed bool `json:"crashed"`
	// Rejecting refuses all new work and reports it as not started.
	Rejecting bool `json:"rejecting"`
	// Failing answers all new work with an immediate error.
	Failing bool `json:"failing"`
	// Slowdown multiplies all durations if it is above 1.
	Slowdown float64 `json:"slowdown"`
	// Silent keeps open streams open but sends nothing more on them. New and resumed
	// streams work.
	Silent bool `json:"silent"`
	// TruncateAfter breaks each stream off after this number of tokens if it is above 0.
	TruncateAfter int `json:"truncateAfter"`
	// Crossed makes answers carry the ID of another attempt.
	Crossed bool `json:"crossed"`
	// LostAnswers runs the work and then closes the connection without an answer.
	LostAnswers bool `json:"lostAnswers"`
	// AnswerDelayMs delays the start of every answer.
	AnswerDelayMs int64 `json:"answerDelayMs"`
	// ReportLagMs is the age of load reports.
	ReportLagMs int64 `json:"reportLagMs"`
	// Leaving sets the leaving state in load reports.
	Leaving bool `json:"leaving"`
}

// AnswerDelay returns the delay of the start of an answer.
func (f Faults) AnswerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMs) * time.Millisecond
}

// ApplySlowdown returns the duration multiplied by the slowdown.
func (f Faults) ApplySlowdown(duration time.Duration) time.Duration {
	if f.Slowdown <= 1 {
		return duration
	}
	return time.Duration(float64(duration) * f.Slowdown)
}

// Injector holds the current faults of an endpoint. It is safe for concurrent use.
type Injector struct {
	current atomic.Pointer[Faults]
}

// New returns an Injector without faults.
func New() *Injector {
	i := &Injector{}
	i.Set(Faults{})
	return i
}

// Current returns the current faults.
func (i *Injector) Current() Faults { return *i.current.Load() }

// Set replaces the faults.
func (i *Injector) Set(faults Faults) { i.current.Store(&faults) }
