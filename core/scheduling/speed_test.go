package scheduling_test

import (
	"math"
	"testing"
	"time"

	"cactuswell/core/scheduling"
	"cactuswell/core/speed"
)

// reportSpeeds makes another host report eight event gaps at each engine, which are the given
// factors of the usual time.
func (h *harness) reportSpeeds(factors ...float64) {
	var observations []speed.Observation
	for i, factor := range factors {
		key := scheduling.Key{ID: entry(models, i).ID, Incarnation: 1}
		observations = append(observations, speed.Observation{
			Endpoint: key.Hash(),
			Kind:     speed.EventGap,
			Count:    2,
			LogRatio: math.Log(factor),
		})
	}
	for range 8 {
		h.now = h.now.Add(300 * time.Millisecond)
		h.step(scheduling.PeerReported{
			Peer:   "other",
			Speeds: observations,
		})
	}
}

// TestSharedSpeedsDecide guards against hosts that learn only from their own calls which engines are
// slow: what another host has measured decides where the first calls go, and how many of them.
func TestSharedSpeedsDecide(t *testing.T) {
	const slow = 0
	for name, test := range map[string]struct {
		factors []float64
		toSlow  bool
	}{
		"uneven": {factors: []float64{4, 0.55, 1.2, 1.2}},
		"alike":  {factors: []float64{1.1, 1, 1, 1.1}, toSlow: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, len(test.factors))
			h.reportSpeeds(test.factors...)
			atSlow, sent := 0, 0
			for range 10 {
				_, commands := h.startCallWithPrompt("draft", 0, 100)
				for _, command := range commands {
					if send, ok := command.(scheduling.Send); ok {
						sent++
						if send.Key.ID == entry(models, slow).ID {
							atSlow++
						}
					}
				}
			}
			if sent != 10 || (atSlow > 0) != test.toSlow || atSlow > 4 {
				t.Errorf("%d calls sent, %d of them to the slow engine", sent, atSlow)
			}
			// The slow engine takes what the others have no room for.
			for range 6 {
				h.startCallWithPrompt("draft", 0, 100)
			}
			if queued := h.scheduler.QueuedCalls(); queued != 0 {
				t.Errorf("%d calls are queued while the slow engine has room", queued)
			}
		})
	}
}
