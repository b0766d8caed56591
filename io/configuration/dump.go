package configuration

import (
	"cactuswell/core/configuration"
	"cactuswell/core/follow"
	"cactuswell/core/record"
)

// Dump is the part of a host's dump that tells of its configuration.
type Dump struct {
	NextOffset record.Offset `json:"nextOffset"`
	Digest     uint64        `json:"digest"`
	Ready      bool          `json:"ready"`
	Reason     string        `json:"reason,omitempty"`
	// Reader tells that the host follows the log itself.
	Reader bool `json:"reader"`
	// ConfirmedAgeMs is how long ago the log was known to hold nothing newer,
	// or -1 if it never was.
	ConfirmedAgeMs int64                       `json:"confirmedAgeMs"`
	LivePeers      int                         `json:"livePeers"`
	Records        configuration.VerdictCounts `json:"records"`
	Alarms         map[follow.AlarmKind]uint64 `json:"alarms,omitempty"`
	Profiles       []configuration.Entry       `json:"profiles"`
	Drains         []configuration.Drain       `json:"drains,omitempty"`
}

// Dump returns the host's view of its configuration.
func (c *Configuration) Dump() Dump {
	current := c.current.Load()
	ready, reason := c.Ready()
	dump := Dump{
		NextOffset:     current.state.NextOffset(),
		Digest:         current.state.Digest(),
		Ready:          ready,
		Reason:         reason,
		Reader:         current.reader,
		ConfirmedAgeMs: -1,
		LivePeers:      len(c.dependencies.Peers.Live()),
		Records:        current.state.Counts(),
		Alarms:         current.alarms,
		Profiles:       current.state.Entries(),
		Drains:         current.state.Drains(),
	}
	if !current.confirmedAt.IsZero() {
		dump.ConfirmedAgeMs = c.now().Sub(current.confirmedAt).Milliseconds()
	}
	return dump
}
