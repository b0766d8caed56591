// Package fault holds the ways in which a stand-in endpoint misbehaves, and
// switches them while it runs.
//
// # Usage
//
//	switches := fault.New()
//	router.Handle("/faults", reply.Document(switches.Current, switches.Set))
//	if switches.Current().Crashed {
//		...
//	}
package fault

import (
	"sync/atomic"
	"time"
)

// Faults are the ways in which an endpoint misbehaves. The zero value is an
// endpoint without faults.
type Faults struct {
	// Crashed breaks every connection without an answer.
	Crashed bool `json:"crashed"`
	// Rejecting refuses all new work as not started.
	Rejecting bool `json:"rejecting"`
	// Failing answers all new work with an error at once.
	Failing bool `json:"failing"`
	// Slowdown multiplies all times, when above 1.
	Slowdown float64 `json:"slowdown"`
	// Silent keeps streams open but sends nothing more on them. New streams
	// and resumed ones work.
	Silent bool `json:"silent"`
	// TruncateAfter breaks each stream after that many tokens, when above 0.
	TruncateAfter int `json:"truncateAfter"`
	// Crossed answers with another attempt's id.
	Crossed bool `json:"crossed"`
	// LostAnswers runs the work and then breaks the connection.
	LostAnswers bool `json:"lostAnswers"`
	// AnswerDelayMs holds back the start of every answer.
	AnswerDelayMs int64 `json:"answerDelayMs"`
	// ReportLagMs makes load reports that old.
	ReportLagMs int64 `json:"reportLagMs"`
	// Leaving makes load reports say that the endpoint is leaving.
	Leaving bool `json:"leaving"`
}

// AnswerDelay returns how long the start of an answer is held back.
func (f Faults) AnswerDelay() time.Duration {
	return time.Duration(f.AnswerDelayMs) * time.Millisecond
}

// ApplySlowdown returns duration as the slowdown lengthens it.
func (f Faults) ApplySlowdown(duration time.Duration) time.Duration {
	if f.Slowdown <= 1 {
		return duration
	}
	return time.Duration(float64(duration) * f.Slowdown)
}

// Injector holds the faults in force. It is safe for concurrent use.
type Injector struct {
	current atomic.Pointer[Faults]
}

// New returns switches with no fault on.
func New() *Injector {
	s := &Injector{}
	s.Set(Faults{})
	return s
}

// Current returns the faults in force.
func (s *Injector) Current() Faults { return *s.current.Load() }

// Set replaces the faults.
func (s *Injector) Set(faults Faults) { s.current.Store(&faults) }
