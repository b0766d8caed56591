package claims

import (
	"time"

	"cactuswell/core/claim"
	"cactuswell/core/record"
)

// Dump is the state of a host's claims, without keys, teams or answers.
type Dump struct {
	Issuer claim.Issuer `json:"issuer"`
	// Position is the offset from which the claim stream is read next, and
	// Floor the oldest one that is remembered.
	Position record.Offset `json:"position"`
	Floor    record.Offset `json:"floor"`
	// CaughtUp says that the end of the claim stream was reached once.
	CaughtUp bool `json:"caughtUp"`
	// Keys and IssuedKeys are the claimed and the issued keys remembered.
	Keys           int `json:"keys"`
	UsedIssuedKeys int `json:"issuedKeys"`
	// KeysUsedRecords say which keys of hosts that left were not used.
	KeysUsedRecords int `json:"leftRecords"`
	// WaitingCalls calls have no decision yet; Open ones have none or hold a ticket.
	WaitingCalls     int   `json:"waiting"`
	OpenCalls        int64 `json:"open"`
	UnwrittenRecords int   `json:"unwritten"`
	// HasUnreadableClaim says that the stream holds a claim that this release cannot read.
	HasUnreadableClaim bool `json:"blind"`
	// LastReadAt is when the log last answered a read, and LastReadError why it
	// did not since.
	LastReadAt    time.Time         `json:"lastRead"`
	LastReadError string            `json:"lastReadError,omitempty"`
	Counts        claim.Counts      `json:"counts"`
	Table         claim.TableCounts `json:"table"`
}

// Dump returns the state as of the decider's last step. Its counters are those
// of the decider's present life.
func (c *Claims) Dump() Dump {
	dump := *c.dump.Load()
	dump.OpenCalls = c.open.Load()
	return dump
}

func (d *decider) publish() {
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
		LastReadAt:         d.lastRead,
		LastReadError:      d.lastError,
		Counts:             d.machine.Counts(),
		Table:              table.Counts(),
	})
}
