// Package batching describes how a model engine with continuous batching spends
// its time, and predicts from that when a request gets its first token and how
// long the pauses between tokens are.
//
// # Usage
//
//	model := batching.Default()
//	work := model.Prefill(cached, uncached)
//	pause := model.Pause(running, context, stride, chunked)
//
// One step of an engine gives a token to each running request. A prompt is read
// in chunks, one chunk a step, so that a step which reads is longer, and every
// running request waits for it. The prediction, the placement and the fake
// engines of experiments share this one description.
package batching

import "time"

// Model holds the times of one kind of engine at its nominal speed.
type Model struct {
	// Step is the length of a step that serves one request and reads nothing.
	Step time.Duration
	// StepPerRequest is added for each running request.
	StepPerRequest time.Duration
	// StepPerThousand is added for each thousand tokens that the running
	// requests hold in memory.
	StepPerThousand time.Duration
	// PrefillPerThousand is the time to read a thousand tokens of a prompt.
	PrefillPerThousand time.Duration
	// AttentionPerMillion is the time for a million pairs of a token that is read
	// and a token before it.
	AttentionPerMillion time.Duration
	// FirstStepDelay is the time from a request's arrival to its first step.
	FirstStepDelay time.Duration
	// ChunkTokens is the number of tokens read in one step at most.
	ChunkTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
}

// Default returns the times of a 70-billion-parameter model on eight
// accelerators, as published for the engines in use. Observed times correct it
// by a factor for each endpoint.
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

// PrefillCompute returns the engine time to read uncached tokens after cached ones.
func (m Model) PrefillCompute(cached, uncached int) time.Duration {
	read := time.Duration(uncached) * m.PrefillPerThousand / 1000
	pairs := float64(uncached) * (float64(cached) + float64(uncached)/2) / 1e6
	return read + time.Duration(pairs*float64(m.AttentionPerMillion))
}

// PrefillTime returns the time from the first to the last step that reads a prompt:
// that of reading, and that of the steps themselves, one for each chunk.
func (m Model) PrefillTime(cached, uncached int) time.Duration {
	chunks := (uncached + m.ChunkTokens - 1) / max(m.ChunkTokens, 1)
	return m.PrefillCompute(cached, uncached) + time.Duration(chunks)*m.Step
}

// StepTime returns the length of a step that reads nothing.
func (m Model) StepTime(running, context int) time.Duration {
	return m.Step + time.Duration(running)*m.StepPerRequest + time.Duration(context)*m.StepPerThousand/1000
}

// EventGap returns the longest time between two events of a stream while prompts
// of the given size are being read beside it. Behind is the number of tokens
// before the part that is read.
func (m Model) EventGap(running, context, behind, reading int) time.Duration {
	step := m.StepTime(running, context)
	steps := (reading + m.ChunkTokens - 1) / max(m.ChunkTokens, 1)
	if steps == 0 {
		return time.Duration(m.TokensPerEvent) * step
	}
	longest := m.PrefillCompute(behind+max(reading-m.ChunkTokens, 0), min(reading, m.ChunkTokens))
	return time.Duration(m.TokensPerEvent)*step + time.Duration(min(steps, m.TokensPerEvent))*longest
}

// DecodeTime returns the time to produce tokens in a batch of the given size.
func (m Model) DecodeTime(running, context, tokens int) time.Duration {
	return time.Duration(tokens) * m.StepTime(running, context)
}
