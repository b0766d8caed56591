// Package batching models the timing of a model engine with continuous batching,
// and predicts the prefill time of a request and the gaps between the events of a
// stream.
//
// # Usage
//
//	model := batching.Default()
//	compute := model.PrefillCompute(cached, uncached)
//	gap := model.EventGap(running, context, cached, uncached)
//
// In each step an engine produces one token for every running request. Prefill is
// chunked, one chunk a step, so that a step with a chunk takes longer and delays
// every running request. The scheduler and the simulated engines of experiments use
// the same model.
package batching

import "time"

// Model holds the times of one kind of engine at its nominal speed.
type Model struct {
	// Step is the duration of a step with one request and no prefill.
	Step time.Duration
	// StepPerRequest is added for each running request.
	StepPerRequest time.Duration
	// StepPerThousand is added for each thousand tokens that the running requests
	// hold in memory.
	StepPerThousand time.Duration
	// PrefillPerThousand is the prefill time of a thousand tokens, without
	// attention.
	PrefillPerThousand time.Duration
	// AttentionPerMillion is the attention time of a million pairs of a prefilled
	// token and a token before it.
	AttentionPerMillion time.Duration
	// FirstStepDelay is the time from a request's arrival to its first step.
	FirstStepDelay time.Duration
	// ChunkTokens is the greatest number of tokens prefilled in one step.
	ChunkTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Default returns the times of a 70-billion-parameter model on eight accelerators,
// as published for the engines in use. Observed times correct them by a factor for
// each endpoint.
func Default() Model {
	return Model{
		Step:                5180 * time.Microsecond,
		StepPerRequest:      37 * time.Microsecond,
		StepPerThousand:     5 * time.Microsecond,
		PrefillPerThousand:  20160 * time.Microsecond,
		AttentionPerMillion: 368 * time.Microsecond,
		FirstStepDelay:      16 * time.Millisecond,
		ChunkTokens:         2048,
		TokensPerEvent:      3,
	}
}

// PrefillCompute returns the compute time to prefill uncached tokens after cached
// ones.
func (m Model) PrefillCompute(cached, uncached int) time.Duration {
	linear := time.Duration(uncached) * m.PrefillPerThousand / 1000
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2) / 1e6
	return linear + time.Duration(pairs*float64(m.AttentionPerMillion))
}

// PrefillTime returns the time from the first to the last step of a prefill: its
// compute time, and the duration of the steps themselves, one for each chunk.
func (m Model) PrefillTime(cached, uncached int) time.Duration {
	chunks := (uncached + m.ChunkTokens - 1) / max(m.ChunkTokens, 1)
	return m.PrefillCompute(cached, uncached) + time.Duration(chunks)*m.Step
}

// StepTime returns the duration of a step without prefill.
func (m Model) StepTime(running, context int) time.Duration {
	return m.Step + time.Duration(running)*m.StepPerRequest + time.Duration(context)*m.StepPerThousand/1000
}

// EventGap returns the longest gap between two events of a stream while a prompt
// with the given number of uncached tokens, after cached ones, is prefilled on the
// same engine.
func (m Model) EventGap(running, context, cached, uncached int) time.Duration {
	step := m.StepTime(running, context)
	steps := (uncached + m.ChunkTokens - 1) / max(m.ChunkTokens, 1)
	if steps == 0 {
		return time.Duration(m.TokensPerEvent) * step
	}
	longestChunk := m.PrefillCompute(cached+max(uncached-m.ChunkTokens, 0), min(uncached, m.ChunkTokens))
	return time.Duration(m.TokensPerEvent)*step + time.Duration(min(steps, m.TokensPerEvent))*longestChunk
}

// DecodeTime returns the time to produce tokens in a batch of the given size.
func (m Model) DecodeTime(running, context, tokens int) time.Duration {
	return time.Duration(tokens) * m.StepTime(running, context)
}
