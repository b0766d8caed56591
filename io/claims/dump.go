package claims

import (
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/record"
)

// Dump is a snapshot of the state of a host's claims, without keys, teams or
// answers.
type Dump struct {
	Issuer claim.Issuer `json:"issuer"`
	// Position is the offset from which the claim stream is read next, and
	// Floor is the offset from which on every record has been applied.
	Position record.Offset `json:"position"`
	Floor    record.Offset `json:"floor"`
	// CaughtUp is true once the end of the claim stream has been reached.
	CaughtUp bool `json:"caughtUp"`
	// Keys is the number of claimed keys in the table, and UsedIssuedKeys that
	// of the issued keys recorded as used.
	Keys           int `json:"keys"`
	UsedIssuedKeys int `json:"issuedKeys"`
	// KeysUsedRecords is the number of stored records about the keys of hosts
	// that shut down.
	KeysUsedRecords int `json:"leftRecords"`
	// WaitingCalls is the number of calls without a decision.
	WaitingCalls int `json:"waiting"`
	// OpenCalls is the number of calls without a decision or with an open
	// ticket.
	OpenCalls int64 `json:"open"`
	// UnwrittenRecords is the number of records that are not yet known to be in
	// the log.
	UnwrittenRecords int `json:"unwritten"`
	// HasUnreadableClaim is true if the stream contains a claim of a newer
	// version whose key could not be read.
	HasUnreadableClaim bool `json:"blind"`
	// LastReadAt is the time at which the latest read without an error ended,
	// and LastReadError the error of the latest read if it failed.
	LastReadAt    time.Time         `json:"lastRead"`
	LastReadError string            `json:"lastReadError,omitempty"`
	Counts        claim.Counts      `json:"counts"`
	Table         claim.TableCounts `json:"table"`
}

// Dump returns the state as of the decider's last step. Its counters are those
// of the current instance of the machine.
func (c *Claims) Dump() Dump {
	dump := *c.dump.Load()
	dump.OpenCalls = c.openCalls.Load()
	return dump
}

func (d *decider) publishDump() {
	table := d.machine.Table()
	d.claims.dump.Store(&Dump{
		Issuer:             d.machine.Issuer(),
		Position:           d.machine.Position(),
		Floor:              table.Floor(),
		CaughtUp:           d.machine.CaughtUp(),
		Keys:               table.KeyCount(),
		UsedIssuedKeys:     d.machine.UsedIssuedKeys(),
		KeysUsedRecords:    table.KeysUsedRecords(),
		WaitingCalls:       d.machine.WaitingCalls(),
		UnwrittenRecords:   d.machine.UnwrittenRecords(),
		HasUnreadableClaim: table.HasUnreadableClaim(),
		LastReadAt:         d.lastReadAt,
		LastReadError:      d.lastReadError,
		Counts:             d.machine.Counts(),
		Table:              table.Counts(),
	})
}
